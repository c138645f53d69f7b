//! Counts the requests of each tenant that start to run, and reports them.
//!
//! Every daemon counts its own requests and replicates the counts to some of its neighbours
//! ([`crate::peers`]). The leader gathers the copies of a window that has ended and reports their
//! sum ([`report`]).

pub mod report;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ponddrift_fleet::fleet_time::FleetTime;
use ponddrift_fleet::usage::{
    DaemonInstance, Tally, TallyRecord, TenantCounts, UsageLedger, WindowNumber, window_at,
};
use ponddrift_runtime::Clock;

use crate::time::now;

/// Number of past windows to keep. The provider accepts no reports for older ones.
const RETAINED_WINDOWS: u64 = 12;
/// A tally of a window that is further ahead than this comes from a clock that is badly wrong.
const MAX_WINDOWS_AHEAD: u64 = 2;
/// How often the tally of a window that has ended is sent, because datagrams may be lost.
const CLOSED_TALLY_SENDS: u32 = 3;

/// Counts usage, and keeps the copies that other daemons sent.
pub struct UsageRecorder {
    clock: Arc<dyn Clock>,
    instance: DaemonInstance,
    window_length: Duration,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    time: FleetTime,
    ledger: UsageLedger,
    /// The window that requests are counted in. It never goes back, so that a closed window stays
    /// unchanged.
    current: Option<WindowNumber>,
    /// Counts that have not been sent to replicas yet.
    unsent: BTreeSet<(WindowNumber, Arc<str>)>,
    closed_windows: VecDeque<ClosedWindow>,
    /// Figures that this daemon settled as the leader. The store may lose them if it is restored
    /// from a backup.
    settled: BTreeMap<WindowNumber, TenantCounts>,
}

/// A window that has ended, and how often its tally is still to be sent to replicas.
struct ClosedWindow {
    window: WindowNumber,
    sends_left: u32,
}

impl UsageRecorder {
    /// Creates a recorder without any counts.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        instance: DaemonInstance,
        window_length: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            instance,
            window_length,
            inner: Mutex::default(),
        })
    }

    /// Length of a reporting window.
    #[must_use]
    pub const fn window_length(&self) -> Duration {
        self.window_length
    }

    /// Time of day by this machine's clock, since the Unix epoch.
    #[must_use]
    pub fn own_time(&self) -> Duration {
        self.clock.time_of_day()
    }

    /// Records the time of day by another daemon's clock, since the Unix epoch.
    pub fn observe_time(&self, source: u64, clock_time: Duration) {
        self.lock().time.observe(source, clock_time, now());
    }

    /// The time of day that most daemons agree on, since the Unix epoch.
    #[must_use]
    pub fn fleet_time(&self) -> Duration {
        self.lock().time.now(self.own_time(), now())
    }

    /// Counts a request of `tenant` that started to run at a back end.
    pub fn record_request(&self, tenant: &Arc<str>) {
        let mut inner = self.lock();
        let window = self.close_ended_windows(&mut inner);
        inner.ledger.count(self.instance, window, tenant);
        inner.unsent.insert((window, Arc::clone(tenant)));
    }

    /// Merges a copy, or a part of one, from another daemon. Copies of windows too far in the past
    /// or the future are dropped.
    pub fn merge(&self, copy: &TallyRecord) {
        let mut inner = self.lock();
        let current = self.close_ended_windows(&mut inner);
        let is_in_range = copy.window.saturating_add(RETAINED_WINDOWS) >= current
            && copy.window <= current.saturating_add(MAX_WINDOWS_AHEAD);
        if is_in_range && copy.instance != self.instance {
            inner.ledger.merge(copy);
        }
    }

    /// All copies of a window.
    #[must_use]
    pub fn tallies(&self, window: WindowNumber) -> Vec<TallyRecord> {
        let mut inner = self.lock();
        self.close_ended_windows(&mut inner);
        inner.ledger.tallies(window)
    }

    /// Whether any count of a window is known.
    #[must_use]
    pub fn knows(&self, window: WindowNumber) -> bool {
        self.lock().ledger.knows(window)
    }

    /// Whether the counts of a daemon in a window are known to be complete.
    #[must_use]
    pub fn is_final(&self, window: WindowNumber, daemon: u64) -> bool {
        self.lock().ledger.is_final(window, daemon)
    }

    /// All copies of all daemons in all windows that are kept.
    #[must_use]
    pub fn all_copies(&self) -> Vec<TallyRecord> {
        let mut inner = self.lock();
        let current = self.close_ended_windows(&mut inner);
        inner.retained_copies(current)
    }

    /// The sum of all daemons' counts in a window, as far as they are known here.
    #[must_use]
    pub fn totals(&self, window: WindowNumber) -> TenantCounts {
        self.lock().ledger.totals(window)
    }

    /// Records the figures of a window that the store holds and the leader reports.
    pub fn record_settled(&self, window: WindowNumber, counts: &TenantCounts) {
        self.lock().settled.insert(window, counts.clone());
    }

    /// The figures of a window that this daemon settled or saw settled.
    #[must_use]
    pub fn settled(&self, window: WindowNumber) -> Option<TenantCounts> {
        self.lock().settled.get(&window).cloned()
    }

    /// Takes the counts that are to be sent to replicas now.
    #[must_use]
    pub fn take_unsent(&self) -> Vec<TallyRecord> {
        let mut inner = self.lock();
        let current = self.close_ended_windows(&mut inner);
        inner.time.forget_old(now());
        inner
            .ledger
            .forget_before(current.saturating_sub(RETAINED_WINDOWS));
        inner.settled = inner
            .settled
            .split_off(&current.saturating_sub(RETAINED_WINDOWS));
        let closed = inner.take_closed_tallies(self.instance);
        let changed = inner.take_changed(self.instance);
        closed.into_iter().chain(changed).collect()
    }

    /// Queues all counts of this daemon that are still kept, after the set of replicas has changed.
    pub fn resend_all(&self) {
        let mut inner = self.lock();
        let current = self.close_ended_windows(&mut inner);
        let retained_copies = inner.retained_copies(current).into_iter();
        for known in retained_copies.filter(|known| known.instance == self.instance) {
            if known.tally.final_total.is_some() {
                inner.queue_closed_window(known.window, 1);
                continue;
            }
            let tenants = known.tally.counts.into_keys();
            let rows = tenants.map(|tenant| (known.window, tenant));
            inner.unsent.extend(rows);
        }
    }

    /// Closes the windows that have ended. Returns the current window.
    fn close_ended_windows(&self, inner: &mut Inner) -> WindowNumber {
        let time = inner.time.now(self.own_time(), now());
        let window = window_at(time, self.window_length);
        let before = inner.current.unwrap_or(window);
        let current = window.max(before);
        let ended = before.max(current.saturating_sub(RETAINED_WINDOWS))..current;
        for window in ended {
            let tally = inner.ledger.close(self.instance, window);
            tracing::debug!(window, requests = tally.final_total, "usage_window_closed");
            inner.queue_closed_window(window, CLOSED_TALLY_SENDS);
        }
        inner.current = Some(current);
        current
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Inner {
    /// All copies of the windows up to `current` that are kept.
    fn retained_copies(&self, current: WindowNumber) -> Vec<TallyRecord> {
        (current.saturating_sub(RETAINED_WINDOWS)..=current)
            .flat_map(|window| self.ledger.tallies(window))
            .collect()
    }

    fn queue_closed_window(&mut self, window: WindowNumber, sends: u32) {
        let known = self
            .closed_windows
            .iter_mut()
            .find(|known| known.window == window);
        match known {
            Some(closed_window) => closed_window.sends_left = closed_window.sends_left.max(sends),
            None => self.closed_windows.push_back(ClosedWindow {
                window,
                sends_left: sends,
            }),
        }
    }

    /// Complete tallies of windows that have ended.
    fn take_closed_tallies(&mut self, instance: DaemonInstance) -> Vec<TallyRecord> {
        let mut closed = Vec::new();
        for closed_window in &mut self.closed_windows {
            closed_window.sends_left = closed_window.sends_left.saturating_sub(1);
            let tallies = self.ledger.tallies(closed_window.window).into_iter();
            closed.extend(tallies.filter(|known| known.instance == instance));
            self.unsent
                .retain(|(window, _tenant)| *window != closed_window.window);
        }
        self.closed_windows
            .retain(|closed_window| closed_window.sends_left > 0);
        closed
    }

    /// Counts that have increased since they were sent to replicas.
    fn take_changed(&mut self, instance: DaemonInstance) -> Vec<TallyRecord> {
        let mut by_window: BTreeMap<WindowNumber, TenantCounts> = BTreeMap::new();
        for (window, tenant) in std::mem::take(&mut self.unsent) {
            if let Some(count) = self.ledger.count_of(instance, window, &tenant) {
                by_window.entry(window).or_default().insert(tenant, count);
            }
        }
        let changed = by_window.into_iter().map(|(window, counts)| TallyRecord {
            instance,
            window,
            tally: Tally {
                counts,
                final_total: None,
            },
        });
        changed.collect()
    }
}
