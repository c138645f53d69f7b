//! Lets a cell's controller determine when no daemon can route to a back end any more.

use std::collections::BTreeMap;
use std::time::Duration;

use super::mark::{DrainAck, DrainMark, DrainReason, DrainSource, DrainState, DrainVersion};
use crate::membership::{Contact, MemberState};
use crate::{FencingToken, Incarnation, MachineId, Timestamp};

/// Time limits of a [`DrainTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTrackerSettings {
    /// Validity of a view after it was answered. Must equal the daemons'
    /// [`ViewLeaseSettings::validity`](super::ViewLeaseSettings::validity).
    pub view_validity: Duration,
    /// Time after a daemon is declared dead during which it may still route. By its end the daemon
    /// must have noticed that it is isolated, so it must exceed the detection time of [`Contact`].
    pub isolation_window: Duration,
    /// Margin for clocks that run at different speeds, in thousandths of each wait.
    pub clock_drift_permille: u32,
}

impl Default for DrainTrackerSettings {
    fn default() -> Self {
        Self {
            view_validity: Duration::from_secs(6),
            isolation_window: Duration::from_secs(12),
            clock_drift_permille: 10,
        }
    }
}

/// A daemon as known to the controller's membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownDaemon {
    /// Machine that the daemon runs on.
    pub machine: MachineId,
    /// Incarnation of the daemon; larger after each restart.
    pub incarnation: Incarnation,
    /// Membership state of the daemon.
    pub state: MemberState,
}

/// Progress of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainProgress {
    /// This controller has not drained the back end, or has released it.
    NotDraining,
    /// These daemons may still route to the back end.
    WaitingFor(Vec<MachineId>),
    /// No daemon can route to the back end any more.
    Acknowledged,
}

#[derive(Debug, Clone)]
struct TrackedDrain {
    mark: DrainMark,
    since: Timestamp,
    acknowledged: BTreeMap<MachineId, Incarnation>,
}

#[derive(Debug, Clone, Copy)]
struct TrackedDaemon {
    daemon: KnownDaemon,
    state_changed_at: Timestamp,
    view_ends_at: Timestamp,
}

/// Tracks the drains of one cell under one fencing token.
///
/// A new controller starts with an empty tracker and must mark again every back end that has to
/// stay drained.
#[derive(Debug, Clone)]
pub struct DrainTracker {
    settings: DrainTrackerSettings,
    token: FencingToken,
    counter: u64,
    drains: BTreeMap<MachineId, TrackedDrain>,
    daemons: BTreeMap<MachineId, TrackedDaemon>,
    started: Timestamp,
}

impl DrainTracker {
    /// Creates a tracker without drains for the given token.
    #[must_use]
    pub const fn new(settings: DrainTrackerSettings, token: FencingToken, now: Timestamp) -> Self {
        Self {
            settings,
            token,
            counter: 0,
            drains: BTreeMap::new(),
            daemons: BTreeMap::new(),
            started: now,
        }
    }

    /// Starts draining a back end. The caller must gossip the returned mark; later views contain
    /// it.
    pub fn begin(&mut self, now: Timestamp, back_end: MachineId, reason: DrainReason) -> DrainMark {
        let mark = self.next_mark(back_end, DrainState::Draining, reason);
        let drain = TrackedDrain {
            mark,
            since: now,
            acknowledged: BTreeMap::new(),
        };
        self.drains.insert(back_end, drain);
        mark
    }

    /// Releases a back end. The caller must gossip the returned mark.
    pub fn release(&mut self, now: Timestamp, back_end: MachineId) -> DrainMark {
        let reason = self
            .drains
            .get(&back_end)
            .map_or(DrainReason::UnclearState, |drain| drain.mark.reason);
        let mark = self.next_mark(back_end, DrainState::Released, reason);
        let drain = TrackedDrain {
            mark,
            since: now,
            acknowledged: BTreeMap::new(),
        };
        self.drains.insert(back_end, drain);
        mark
    }

    fn next_mark(
        &mut self,
        back_end: MachineId,
        state: DrainState,
        reason: DrainReason,
    ) -> DrainMark {
        self.counter += 1;
        DrainMark {
            back_end,
            source: DrainSource::Controller,
            version: DrainVersion {
                token: self.token,
                counter: self.counter,
            },
            state,
            reason,
            age_ms: 0,
        }
    }

    /// Records an acknowledgement. Ignored unless it names the current mark's version.
    pub fn acknowledge(&mut self, daemon: MachineId, incarnation: Incarnation, ack: DrainAck) {
        let Some(drain) = self.drains.get_mut(&ack.back_end) else {
            return;
        };
        if drain.mark.version == ack.version {
            drain.acknowledged.insert(daemon, incarnation);
        }
    }

    /// Returns the marks that answer a daemon's view request now, and records the end of that view.
    pub fn answer_view_request(&mut self, now: Timestamp, daemon: KnownDaemon) -> Vec<DrainMark> {
        let view_ends_at = now + self.with_clock_drift(self.settings.view_validity);
        self.update_daemon(now, daemon);
        if let Some(tracked) = self.daemons.get_mut(&daemon.machine) {
            tracked.view_ends_at = view_ends_at;
        }
        let with_age = |drain: &TrackedDrain| DrainMark {
            age_ms: u32::try_from(now.since(drain.since).as_millis()).unwrap_or(u32::MAX),
            ..drain.mark
        };
        self.drains.values().map(with_age).collect()
    }

    /// Records a daemon's membership state. Ignores reports of an earlier incarnation.
    pub fn update_daemon(&mut self, now: Timestamp, daemon: KnownDaemon) {
        let initial = TrackedDaemon {
            daemon,
            state_changed_at: now,
            // An earlier controller may have answered a view just before this tracker was created.
            view_ends_at: self.started + self.with_clock_drift(self.settings.view_validity),
        };
        let tracked = self.daemons.entry(daemon.machine).or_insert(initial);
        if tracked.daemon.incarnation > daemon.incarnation {
            return;
        }
        if tracked.daemon != daemon {
            tracked.daemon = daemon;
            tracked.state_changed_at = now;
        }
    }

    /// Extends a wait so that it also elapses on a slower clock.
    fn with_clock_drift(&self, wait: Duration) -> Duration {
        wait + wait * self.settings.clock_drift_permille / 1_000
    }

    /// Progress of draining a back end. `contact` is the controller's own contact state: while it
    /// is isolated from its peers, it must not conclude that unresponsive daemons stopped routing.
    #[must_use]
    pub fn progress(&self, now: Timestamp, back_end: MachineId, contact: Contact) -> DrainProgress {
        let Some(drain) = self.drains.get(&back_end) else {
            return DrainProgress::NotDraining;
        };
        if drain.mark.state != DrainState::Draining {
            return DrainProgress::NotDraining;
        }
        let may_route = |tracked: &&TrackedDaemon| self.may_route(now, drain, tracked, contact);
        let waiting: Vec<_> = self
            .daemons
            .values()
            .filter(may_route)
            .map(|tracked| tracked.daemon.machine)
            .collect();
        if waiting.is_empty() {
            DrainProgress::Acknowledged
        } else {
            DrainProgress::WaitingFor(waiting)
        }
    }

    fn may_route(
        &self,
        now: Timestamp,
        drain: &TrackedDrain,
        tracked: &TrackedDaemon,
        contact: Contact,
    ) -> bool {
        let daemon = tracked.daemon;
        let acknowledged = drain.acknowledged.get(&daemon.machine);
        if acknowledged == Some(&daemon.incarnation) {
            return false;
        }
        match daemon.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Left => false,
            MemberState::Dead => {
                let isolated_by = tracked.state_changed_at
                    + self.with_clock_drift(self.settings.isolation_window);
                let cannot_route = now >= isolated_by && now >= tracked.view_ends_at;
                !cannot_route || contact == Contact::Isolated
            }
        }
    }
}
