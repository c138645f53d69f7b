//! How many requests of each tenant began to run in each reporting window.
//!
//! Each life of a daemon counts what it saw. Its counts only grow, so they can be sent again, out of order and in parts:
//! whoever holds a copy merges by maximum. A killed daemon's counts are known from the copies. What several lives counted
//! is added up only when a window is reported.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

/// Number of a reporting window: window `k` starts `k` window lengths after the start of 1970.
pub type WindowNumber = u64;

/// Counts of each tenant, by name.
pub type TenantCounts = BTreeMap<Arc<str>, u32>;

/// The window that a time of day falls into.
#[must_use]
pub fn window_at(time_of_day: Duration, length: Duration) -> WindowNumber {
    let windows = time_of_day.as_millis() / length.as_millis().max(1);
    u64::try_from(windows).unwrap_or(u64::MAX)
}

/// Time of day at which a window ends.
#[must_use]
pub fn end_of_window(window: WindowNumber, length: Duration) -> Duration {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(window.saturating_add(1).saturating_mul(length_ms))
}

/// One life of one daemon.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct DaemonInstance {
    /// Which daemon.
    pub daemon: u64,
    /// Which start of its process.
    pub start: u64,
}

/// What one life counted in one window, or a part of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Tally {
    /// Requests that began to run.
    pub counts: TenantCounts,
    /// Sum over all tenants, once the window has ended there and the counts grow no more.
    pub final_total: Option<u64>,
}

impl Tally {
    /// Takes what another copy knows.
    pub fn merge(&mut self, other: &Self) {
        for (tenant, count) in &other.counts {
            let known = self.counts.entry(Arc::clone(tenant)).or_default();
            *known = (*known).max(*count);
        }
        self.final_total = self.final_total.max(other.final_total);
    }

    /// Whether these are all counts of a window that has ended.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.final_total == Some(self.total())
    }

    fn total(&self) -> u64 {
        self.counts.values().copied().map(u64::from).sum()
    }
}

/// A tally with whose and when.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TallyRecord {
    /// Whose.
    pub instance: DaemonInstance,
    /// Of which window.
    pub window: WindowNumber,
    /// What was counted.
    pub tally: Tally,
}

/// Every tally that a daemon knows of.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowNumber, BTreeMap<DaemonInstance, Tally>>,
}

impl UsageLedger {
    /// One more request of `tenant` began to run, as seen by `instance` itself.
    pub fn count(&mut self, instance: DaemonInstance, window: WindowNumber, tenant: &Arc<str>) {
        let tally = self.tally_mut(instance, window);
        let count = tally.counts.entry(Arc::clone(tenant)).or_default();
        *count = count.saturating_add(1);
    }

    /// The window has ended for `instance`, which counts nothing more in it. Returns its tally.
    pub fn close(&mut self, instance: DaemonInstance, window: WindowNumber) -> Tally {
        let tally = self.tally_mut(instance, window);
        tally.final_total = Some(tally.total());
        tally.clone()
    }

    /// Takes another copy of a tally, or a part of one.
    pub fn merge(&mut self, other: &TallyRecord) {
        self.tally_mut(other.instance, other.window).merge(&other.tally);
    }

    /// Every tally of a window.
    #[must_use]
    pub fn tallies(&self, window: WindowNumber) -> Vec<TallyRecord> {
        let lives = self.windows.get(&window).into_iter().flatten();
        lives
            .map(|(instance, tally)| TallyRecord {
                instance: *instance,
                window,
                tally: tally.clone(),
            })
            .collect()
    }

    /// Whether anything is known of a window.
    #[must_use]
    pub fn knows(&self, window: WindowNumber) -> bool {
        self.windows.contains_key(&window)
    }

    /// Whether the counts of some life of this daemon are complete: the window has ended there, and all of them are here.
    #[must_use]
    pub fn is_final(&self, window: WindowNumber, daemon: u64) -> bool {
        let mut lives = self.windows.get(&window).into_iter().flatten();
        lives.any(|(instance, tally)| instance.daemon == daemon && tally.is_final())
    }

    /// What all lives counted in a window.
    #[must_use]
    pub fn totals(&self, window: WindowNumber) -> TenantCounts {
        let mut totals = TenantCounts::new();
        for tally in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            for (tenant, count) in &tally.counts {
                let total = totals.entry(Arc::clone(tenant)).or_default();
                *total = total.saturating_add(*count);
            }
        }
        totals
    }

    /// What one life counted of a tenant in a window.
    #[must_use]
    pub fn count_of(&self, instance: DaemonInstance, window: WindowNumber, tenant: &str) -> Option<u32> {
        let tally = self.windows.get(&window)?.get(&instance)?;
        tally.counts.get(tenant).copied()
    }

    /// Forgets windows before this one.
    pub fn forget_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
    }

    fn tally_mut(&mut self, instance: DaemonInstance, window: WindowNumber) -> &mut Tally {
        let lives = self.windows.entry(window).or_default();
        lives.entry(instance).or_default()
    }
}
