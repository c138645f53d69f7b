//! Counts the requests of each tenant that begin to run, and reports them.
//!
//! Every daemon counts what it sees and sends copies to some of its neighbours ([`crate::peers`]); the leader gathers the
//! copies of a window that has ended and reports their sum ([`report`]).

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

/// Windows that are kept: by then the provider takes no more reports.
const WINDOWS_KEPT: u64 = 12;
/// A tally of a later window than this many ahead comes from a clock that is badly wrong.
const WINDOWS_AHEAD: u64 = 2;
/// The tally of a window that has ended is sent so often: a datagram may be lost.
const CLOSING_SENDS: u32 = 3;

/// Counts usage, and holds the copies that other daemons sent.
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
    /// The window that is counted in; never goes back, so that a window once closed stays as it is.
    current: Option<WindowNumber>,
    /// What has not been sent to replicas yet.
    unsent: BTreeSet<(WindowNumber, Arc<str>)>,
    closings: VecDeque<Closing>,
    /// Figures that this daemon settled as the leader. The store may come back from an older copy that lacks them.
    settled: BTreeMap<WindowNumber, TenantCounts>,
}

/// A window that has ended, and how often its tally is still to be sent to replicas.
struct Closing {
    window: WindowNumber,
    sends_left: u32,
}

impl UsageRecorder {
    /// Nothing counted yet.
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

    /// What this machine's clock shows, since the start of 1970.
    #[must_use]
    pub fn own_time(&self) -> Duration {
        self.clock.time_of_day()
    }

    /// What another daemon's clock shows.
    pub fn observe_time(&self, source: u64, shown: Duration) {
        self.lock().time.observe(source, shown, now());
    }

    /// The time of day that most daemons agree on.
    #[must_use]
    pub fn fleet_time(&self) -> Duration {
        self.lock().time.now(self.own_time(), now())
    }

    /// A request of `tenant` began to run at a back end.
    pub fn began(&self, tenant: &Arc<str>) {
        let mut inner = self.lock();
        let window = self.roll(&mut inner);
        inner.ledger.count(self.instance, window, tenant);
        inner.unsent.insert((window, Arc::clone(tenant)));
    }

    /// Takes a copy, or a part of one, that another daemon sent. Copies of windows long past or far ahead are dropped.
    pub fn merge(&self, copy: &TallyRecord) {
        let mut inner = self.lock();
        let current = self.roll(&mut inner);
        let is_near = copy.window.saturating_add(WINDOWS_KEPT) >= current
            && copy.window <= current.saturating_add(WINDOWS_AHEAD);
        if is_near && copy.instance != self.instance {
            inner.ledger.merge(copy);
        }
    }

    /// Every copy of a window.
    #[must_use]
    pub fn tallies(&self, window: WindowNumber) -> Vec<TallyRecord> {
        let mut inner = self.lock();
        self.roll(&mut inner);
        inner.ledger.tallies(window)
    }

    /// Whether anything is known of a window.
    #[must_use]
    pub fn knows(&self, window: WindowNumber) -> bool {
        self.lock().ledger.knows(window)
    }

    /// Whether the counts of a daemon in a window are known to be complete.
    #[must_use]
    pub fn is_final(&self, window: WindowNumber, daemon: u64) -> bool {
        self.lock().ledger.is_final(window, daemon)
    }

    /// Every copy that is kept, of all windows and daemons.
    #[must_use]
    pub fn all_kept(&self) -> Vec<TallyRecord> {
        let mut inner = self.lock();
        let current = self.roll(&mut inner);
        inner.kept(current)
    }

    /// What all daemons counted in a window, as far as is known here.
    #[must_use]
    pub fn totals(&self, window: WindowNumber) -> TenantCounts {
        self.lock().ledger.totals(window)
    }

    /// These figures of a window stand in the store, and are reported.
    pub fn note_settled(&self, window: WindowNumber, counts: &TenantCounts) {
        self.lock().settled.insert(window, counts.clone());
    }

    /// The figures of a window that this daemon settled or saw settled.
    #[must_use]
    pub fn settled(&self, window: WindowNumber) -> Option<TenantCounts> {
        self.lock().settled.get(&window).cloned()
    }

    /// What is to be sent to replicas now.
    #[must_use]
    pub fn take_unsent(&self) -> Vec<TallyRecord> {
        let mut inner = self.lock();
        let current = self.roll(&mut inner);
        inner.time.forget_old(now());
        inner
            .ledger
            .forget_before(current.saturating_sub(WINDOWS_KEPT));
        inner.settled = inner
            .settled
            .split_off(&current.saturating_sub(WINDOWS_KEPT));
        let closed = inner.take_closings(self.instance);
        let changed = inner.take_changed(self.instance);
        closed.into_iter().chain(changed).collect()
    }

    /// The set of replicas has changed: everything that is still kept is sent once more.
    pub fn send_all_again(&self) {
        let mut inner = self.lock();
        let current = self.roll(&mut inner);
        let kept = inner.kept(current).into_iter();
        for known in kept.filter(|known| known.instance == self.instance) {
            if known.tally.final_total.is_some() {
                inner.note_closing(known.window, 1);
                continue;
            }
            let tenants = known.tally.counts.into_keys();
            let rows = tenants.map(|tenant| (known.window, tenant));
            inner.unsent.extend(rows);
        }
    }

    /// Closes the windows that have ended. Returns the one that is counted in now.
    fn roll(&self, inner: &mut Inner) -> WindowNumber {
        let time = inner.time.now(self.own_time(), now());
        let window = window_at(time, self.window_length);
        let before = inner.current.unwrap_or(window);
        let current = window.max(before);
        let ended = before.max(current.saturating_sub(WINDOWS_KEPT))..current;
        for window in ended {
            let tally = inner.ledger.close(self.instance, window);
            tracing::debug!(window, requests = tally.final_total, "usage_window_closed");
            inner.note_closing(window, CLOSING_SENDS);
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
    /// Every copy of the windows up to `current` that are still kept.
    fn kept(&self, current: WindowNumber) -> Vec<TallyRecord> {
        (current.saturating_sub(WINDOWS_KEPT)..=current)
            .flat_map(|window| self.ledger.tallies(window))
            .collect()
    }

    fn note_closing(&mut self, window: WindowNumber, sends: u32) {
        let known = self
            .closings
            .iter_mut()
            .find(|known| known.window == window);
        match known {
            Some(closing) => closing.sends_left = closing.sends_left.max(sends),
            None => self.closings.push_back(Closing {
                window,
                sends_left: sends,
            }),
        }
    }

    /// Whole tallies of windows that have ended.
    fn take_closings(&mut self, instance: DaemonInstance) -> Vec<TallyRecord> {
        let mut closed = Vec::new();
        for closing in &mut self.closings {
            closing.sends_left = closing.sends_left.saturating_sub(1);
            let tallies = self.ledger.tallies(closing.window).into_iter();
            closed.extend(tallies.filter(|known| known.instance == instance));
            self.unsent
                .retain(|(window, _tenant)| *window != closing.window);
        }
        self.closings.retain(|closing| closing.sends_left > 0);
        closed
    }

    /// Counts that have grown since they were sent to replicas.
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
