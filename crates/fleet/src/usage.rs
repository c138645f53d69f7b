//! Number of requests of each tenant that started to run in each reporting window.
//!
//! Each process of a daemon counts the requests it saw. Its counts only grow, so they may be sent
//! repeatedly, out of order and in parts; receivers merge copies by maximum. The counts of a killed
//! daemon are known from its copies. The counts of several processes are added up only when a
//! window is reported.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

/// Number of a reporting window: window `k` starts `k` window lengths after the Unix epoch.
pub type WindowNumber = u64;

/// Number of requests of each tenant, by name.
pub type TenantCounts = BTreeMap<Arc<str>, u32>;

/// The window that contains a time of day.
#[must_use]
pub fn window_at(time_of_day: Duration, length: Duration) -> WindowNumber {
    let windows = time_of_day.as_millis() / length.as_millis().max(1);
    u64::try_from(windows).unwrap_or(u64::MAX)
}

/// End of a window as a time of day since the Unix epoch.
#[must_use]
pub fn end_of_window(window: WindowNumber, length: Duration) -> Duration {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(window.saturating_add(1).saturating_mul(length_ms))
}

/// One process of a daemon. A restarted daemon is a new instance.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct DaemonInstance {
    /// Identity of the daemon.
    pub daemon: u64,
    /// Identifies the start of the process.
    pub start: u64,
}

/// Counts of one instance in one window, or a part of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Tally {
    /// Requests that started to run.
    pub counts: TenantCounts,
    /// Sum over all tenants once the instance has closed the window and its counts no longer grow.
    pub final_total: Option<u64>,
}

impl Tally {
    /// Merges another copy by maximum.
    pub fn merge(&mut self, other: &Self) {
        for (tenant, count) in &other.counts {
            let known = self.counts.entry(Arc::clone(tenant)).or_default();
            *known = (*known).max(*count);
        }
        self.final_total = self.final_total.max(other.final_total);
    }

    /// Whether the tally contains all counts of a closed window.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.final_total == Some(self.total())
    }

    fn total(&self) -> u64 {
        self.counts.values().copied().map(u64::from).sum()
    }
}

/// A tally with its instance and window.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TallyRecord {
    /// Instance that counted.
    pub instance: DaemonInstance,
    /// Window of the counts.
    pub window: WindowNumber,
    /// The counts.
    pub tally: Tally,
}

/// All tallies that a daemon knows.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowNumber, BTreeMap<DaemonInstance, Tally>>,
}

impl UsageLedger {
    /// Counts one more request of `tenant` that `instance`, this process, started to run.
    pub fn count(&mut self, instance: DaemonInstance, window: WindowNumber, tenant: &Arc<str>) {
        let tally = self.tally_mut(instance, window);
        let count = tally.counts.entry(Arc::clone(tenant)).or_default();
        *count = count.saturating_add(1);
    }

    /// Closes the window for `instance`, which must count nothing more in it. Returns its tally.
    pub fn close(&mut self, instance: DaemonInstance, window: WindowNumber) -> Tally {
        let tally = self.tally_mut(instance, window);
        tally.final_total = Some(tally.total());
        tally.clone()
    }

    /// Merges another copy of a tally, or a part of one.
    pub fn merge(&mut self, other: &TallyRecord) {
        self.tally_mut(other.instance, other.window)
            .merge(&other.tally);
    }

    /// All tallies of a window.
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

    /// Whether any tally of the window is known.
    #[must_use]
    pub fn knows(&self, window: WindowNumber) -> bool {
        self.windows.contains_key(&window)
    }

    /// Whether the counts of some instance of the daemon are complete: the instance has closed the
    /// window, and all of its counts are known here.
    #[must_use]
    pub fn is_final(&self, window: WindowNumber, daemon: u64) -> bool {
        let mut lives = self.windows.get(&window).into_iter().flatten();
        lives.any(|(instance, tally)| instance.daemon == daemon && tally.is_final())
    }

    /// Sum over all instances in a window.
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

    /// Count of one instance for a tenant in a window.
    #[must_use]
    pub fn count_of(
        &self,
        instance: DaemonInstance,
        window: WindowNumber,
        tenant: &str,
    ) -> Option<u32> {
        let tally = self.windows.get(&window)?.get(&instance)?;
        tally.counts.get(tenant).copied()
    }

    /// Removes windows before this one.
    pub fn forget_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
    }

    fn tally_mut(&mut self, instance: DaemonInstance, window: WindowNumber) -> &mut Tally {
        let lives = self.windows.entry(window).or_default();
        lives.entry(instance).or_default()
    }
}
