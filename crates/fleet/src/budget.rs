//! Limits retries across all daemons.
//!
//! Each daemon earns a fraction of a retry per request and may save up to its share of the slack. A
//! restarted daemon begins with nothing, so that restarts cannot spend the slack repeatedly.
//!
//! If there are more daemons than retries in the slack, a daemon's share is less than one retry and
//! it would take long to earn one. The daemons of a zone then deposit what they earn into a
//! [`RetryPool`] owned by one of them and request each retry from it. Every amount is deposited at
//! most once, so retries stay within what was earned even if messages or the pool owner are lost.

use std::collections::HashMap;
use std::sync::Arc;

/// Share of the allowed retries that is used; the rest covers requests that span two windows.
const USED_SHARE: f64 = 0.8;

/// Settings of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Retries earned per request.
    pub ratio: f64,
    /// Additional retries allowed per window, over all daemons.
    pub slack: f64,
}

/// Retries available to this daemon, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    daemons: usize,
    saved: HashMap<Arc<str>, f64>,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            daemons: 1,
            saved: HashMap::new(),
        }
    }

    /// Sets the number of daemons that share the slack.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Earns the fraction of a retry for one caller request to `service`.
    pub fn earn(&mut self, service: &Arc<str>) {
        let max_saved = self.max_saved();
        let saved = self.saved.entry(Arc::clone(service)).or_default();
        let earned = self.settings.ratio * USED_SHARE;
        // More than the maximum is saved only after a retry was given back.
        *saved = (*saved + earned).min(max_saved.max(*saved));
    }

    /// Takes one retry. Returns `false` if less than one is saved.
    pub fn take(&mut self, service: &Arc<str>) -> bool {
        let saved = self.saved.entry(Arc::clone(service)).or_default();
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }

    /// Returns a retry that was taken but not used. A share below one retry still holds it, until it
    /// is deposited into the pool.
    pub fn give_back(&mut self, service: &Arc<str>) {
        let max_saved = self.max_saved().max(1.0);
        let saved = self.saved.entry(Arc::clone(service)).or_default();
        *saved = (*saved + 1.0).min(max_saved);
    }

    /// Whether this daemon's share of the slack is less than one retry, so that retries come from
    /// the zone's pool.
    #[must_use]
    pub fn is_pooled(&self) -> bool {
        self.share() < 1.0
    }

    /// Removes and returns everything saved, to be deposited into the pool.
    pub fn take_deposits(&mut self) -> Vec<(Arc<str>, f64)> {
        self.saved
            .iter_mut()
            .filter(|(_service, saved)| **saved > 0.0)
            .map(|(service, saved)| (Arc::clone(service), std::mem::take(saved)))
            .collect()
    }

    /// Retries left for `service`.
    #[must_use]
    pub fn left(&self, service: &str) -> f64 {
        self.saved.get(service).copied().unwrap_or_default()
    }

    fn max_saved(&self) -> f64 {
        self.share()
    }

    /// This daemon's share of the slack, in retries.
    fn share(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
        let daemons = self.daemons as f64;
        self.settings.slack * USED_SHARE / daemons
    }
}

/// Deposits of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Deposits {
    /// Hash of the daemon's name and start, which identifies this run of it.
    pub origin: u64,
    /// Sequence number; a repeated or outdated deposit is ignored.
    pub sequence: u32,
    /// Retries by hash of the service name.
    pub repeats: Vec<(u32, f64)>,
}

/// Retries shared by the daemons of a zone. A new owner starts with an empty pool.
#[derive(Debug, Default)]
pub struct RetryPool {
    saved: HashMap<u32, f64>,
    newest: HashMap<u64, u32>,
}

impl RetryPool {
    /// Adds the deposits of a daemon. `max_saved` is the zone's share of the slack, which limits
    /// what is saved.
    pub fn deposit(&mut self, deposits: &Deposits, max_saved: f64) {
        let newest = self.newest.entry(deposits.origin).or_default();
        if deposits.sequence <= *newest {
            return;
        }
        *newest = deposits.sequence;
        for (service, repeats) in &deposits.repeats {
            // A non-finite value would corrupt the sum permanently.
            if !repeats.is_finite() || *repeats <= 0.0 {
                continue;
            }
            let saved = self.saved.entry(*service).or_default();
            *saved = (*saved + repeats).min(max_saved);
        }
    }

    /// Takes one retry. Returns `false` if less than one is saved.
    pub fn withdraw(&mut self, service: u32) -> bool {
        let saved = self.saved.entry(service).or_default();
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}

/// Capacity of a zone's pool, in retries: the combined shares of its daemons.
#[must_use]
pub fn pool_capacity(settings: BudgetSettings, zone_daemons: usize, daemons: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
    let part = zone_daemons as f64 / daemons.max(1) as f64;
    settings.slack * USED_SHARE * part
}
