//! Bounds the sends beyond the first of each request, over all daemons together.
//!
//! Every daemon earns a share of each own request and may save up its part of the slack. A new life begins
//! with nothing saved, so that daemons that come and go do not spend the slack again and again.
//!
//! In a fleet with more daemons than retries in the slack a daemon's part is less than one retry, and what it earns takes it long to
//! add up to one: with one request in three seconds, half a minute. There the daemons of a zone put what they earn into a
//! [`RetryPool`] that one of them keeps, and ask it for each retry. What is put in is put in at most once, so that retries stay
//! within what was earned, whatever gets lost on the way or with a keeper.

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

    /// Whether this daemon's part of the slack is less than one repeat, so that it saves nothing up itself.
    #[must_use]
    pub fn is_pooled(&self) -> bool {
        self.share() < 1.0
    }

    /// Takes out all that is saved, for the pool.
    pub fn take_deposits(&mut self) -> Vec<(Arc<str>, f64)> {
        self.saved
            .iter_mut()
            .filter(|(_service, saved)| **saved > 0.0)
            .map(|(service, saved)| (Arc::clone(service), std::mem::take(saved)))
            .collect()
    }

    /// Repeats left for `service`.
    #[must_use]
    pub fn left(&self, service: &str) -> f64 {
        self.saved.get(service).copied().unwrap_or_default()
    }

    fn most(&self) -> f64 {
        self.share()
    }

    /// This daemon's part of the slack, in repeats.
    fn share(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
        let daemons = self.daemons as f64;
        self.settings.slack * SHARE_USED / daemons
    }
}

/// Deposits of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Deposits {
    /// Which daemon: a hash of its name and of this life of it.
    pub origin: u64,
    /// Counts its deposits; one that comes twice changes nothing.
    pub sequence: u32,
    /// Repeats by hash of the service.
    pub repeats: Vec<(u32, f64)>,
}

/// Repeats that the daemons of a zone save up together. Another keeper begins with nothing.
#[derive(Debug, Default)]
pub struct RetryPool {
    saved: HashMap<u32, f64>,
    newest: HashMap<u64, u32>,
}

impl RetryPool {
    /// A daemon puts in what it earned. `most` is the zone's part of the slack.
    pub fn deposit(&mut self, deposits: &Deposits, most: f64) {
        let newest = self.newest.entry(deposits.origin).or_default();
        if deposits.sequence <= *newest {
            return;
        }
        *newest = deposits.sequence;
        for (service, repeats) in &deposits.repeats {
            // What is no number of repeats would spoil the sum for good.
            if !repeats.is_finite() || *repeats <= 0.0 {
                continue;
            }
            let saved = self.saved.entry(*service).or_default();
            *saved = (*saved + repeats).min(most);
        }
    }

    /// Takes one repeat, if there is one.
    pub fn withdraw(&mut self, service: u32) -> bool {
        let saved = self.saved.entry(service).or_default();
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}

/// The part of the slack that a zone's pool saves up, in repeats: its daemons' parts together.
#[must_use]
pub fn pool_capacity(settings: BudgetSettings, of_zone: usize, daemons: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
    let part = of_zone as f64 / daemons.max(1) as f64;
    settings.slack * SHARE_USED * part
}
