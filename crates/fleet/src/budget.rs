//! Bounds the sends beyond the first of each request, over all daemons together.
//!
//! Every daemon earns a share of each own request and may save up its part of the slack. A new life begins
//! with nothing saved, so that daemons that come and go do not spend the slack again and again.

use std::collections::HashMap;
use std::sync::Arc;

/// Part of what is allowed that is used; the rest covers requests that overlap two windows.
const SHARE_USED: f64 = 0.8;

/// Settings of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Repeats earned by one request.
    pub ratio: f64,
    /// Repeats allowed beyond that in one window, over all daemons.
    pub slack: f64,
}

/// Repeats that this daemon may make, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    daemons: usize,
    saved: HashMap<Arc<str>, f64>,
}

impl RetryBudget {
    /// A budget with nothing saved.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            daemons: 1,
            saved: HashMap::new(),
        }
    }

    /// Tells how many daemons share the slack.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// A request of a caller for `service` earns its share.
    pub fn earn(&mut self, service: &Arc<str>) {
        let most = self.most();
        let saved = self.saved.entry(Arc::clone(service)).or_default();
        *saved = (*saved + self.settings.ratio * SHARE_USED).min(most);
    }

    /// Takes one repeat, if there is one.
    pub fn take(&mut self, service: &Arc<str>) -> bool {
        let saved = self.saved.entry(Arc::clone(service)).or_default();
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }

    /// Gives back a repeat that was taken and not made.
    pub fn give_back(&mut self, service: &Arc<str>) {
        let most = self.most();
        let saved = self.saved.entry(Arc::clone(service)).or_default();
        *saved = (*saved + 1.0).min(most);
    }

    /// Repeats left for `service`.
    #[must_use]
    pub fn left(&self, service: &str) -> f64 {
        self.saved.get(service).copied().unwrap_or_default()
    }

    fn most(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred daemons")]
        let daemons = self.daemons as f64;
        (self.settings.slack * SHARE_USED / daemons).max(1.0)
    }
}
