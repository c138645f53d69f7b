//! When no daemon can route to a back end any more, as the cell's controller judges it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::mark::{DrainAck, DrainMark, DrainReason, DrainSource, DrainState, DrainVersion};
use crate::membership::{Contact, MemberState};
use crate::{FencingToken, Incarnation, MachineId, Timestamp};

/// Times of the tracker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTrackerSettings {
    /// How long a view is valid that was answered; the same as the daemons' setting.
    pub view_validity: Duration,
    /// After its death is known, a daemon counts as able to route for this long: until then it has
    /// noticed that its peers do not answer. Longer than the judged time of `Contact`.
    pub isolation_window: Duration,
    /// Allowance for clocks that run at different speeds, in thousandths of a wait.
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

/// A daemon as the controller's membership knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownDaemon {
    /// Its machine.
    pub machine: MachineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
}

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainProgress {
    /// The back end has no mark of this controller.
    NotDraining,
    /// These daemons may still route there.
    WaitingFor(Vec<MachineId>),
    /// No daemon can route there any more.
    Acknowledged,
}

#[derive(Debug, Clone)]
struct Drain {
    mark: DrainMark,
    since: Timestamp,
    acknowledged: BTreeMap<MachineId, Incarnation>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    daemon: KnownDaemon,
    changed: Timestamp,
    view_ends: Timestamp,
}

/// Drains of one cell under one token. A new controller begins with an empty tracker and marks
/// again what must stay drained.
#[derive(Debug, Clone)]
pub struct DrainTracker {
    settings: DrainTrackerSettings,
    token: FencingToken,
    counter: u64,
    drains: BTreeMap<MachineId, Drain>,
    daemons: BTreeMap<MachineId, Seen>,
    started: Timestamp,
}

impl DrainTracker {
    /// Starts under a token.
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

    /// Marks a back end as drained. The mark is gossiped and goes into every view.
    pub fn begin(&mut self, now: Timestamp, back_end: MachineId, reason: DrainReason) -> DrainMark {
        let mark = self.next_mark(back_end, DrainState::Draining, reason);
        let drain = Drain {
            mark,
            since: now,
            acknowledged: BTreeMap::new(),
        };
        self.drains.insert(back_end, drain);
        mark
    }

    /// Releases a back end. The mark is gossiped.
    pub fn release(&mut self, now: Timestamp, back_end: MachineId) -> DrainMark {
        let reason = self
            .drains
            .get(&back_end)
            .map_or(DrainReason::UnclearState, |drain| drain.mark.reason);
        let mark = self.next_mark(back_end, DrainState::Released, reason);
        let drain = Drain {
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

    /// A daemon acknowledged a mark.
    pub fn acknowledge(&mut self, daemon: MachineId, incarnation: Incarnation, ack: DrainAck) {
        let Some(drain) = self.drains.get_mut(&ack.back_end) else {
            return;
        };
        if drain.mark.version == ack.version {
            drain.acknowledged.insert(daemon, incarnation);
        }
    }

    /// A daemon's request for a view is answered now with the returned marks.
    pub fn answer_view_request(&mut self, now: Timestamp, daemon: KnownDaemon) -> Vec<DrainMark> {
        let view_ends = now + self.stretched(self.settings.view_validity);
        self.update_daemon(now, daemon);
        if let Some(seen) = self.daemons.get_mut(&daemon.machine) {
            seen.view_ends = view_ends;
        }
        let aged = |drain: &Drain| DrainMark {
            age_ms: u32::try_from(now.since(drain.since).as_millis()).unwrap_or(u32::MAX),
            ..drain.mark
        };
        self.drains.values().map(aged).collect()
    }

    /// Membership knows something of a daemon.
    pub fn update_daemon(&mut self, now: Timestamp, daemon: KnownDaemon) {
        let first = Seen {
            daemon,
            changed: now,
            // An earlier controller may have answered a view just before this one began.
            view_ends: self.started + self.stretched(self.settings.view_validity),
        };
        let seen = self.daemons.entry(daemon.machine).or_insert(first);
        if seen.daemon.incarnation > daemon.incarnation {
            return;
        }
        if seen.daemon != daemon {
            seen.daemon = daemon;
            seen.changed = now;
        }
    }

    fn stretched(&self, wait: Duration) -> Duration {
        wait + wait * self.settings.clock_drift_permille / 1_000
    }

    /// How far the drain of a back end is. `contact` is the controller's own: cut off from its
    /// peers, it must not conclude that silent daemons have stopped.
    #[must_use]
    pub fn progress(&self, now: Timestamp, back_end: MachineId, contact: Contact) -> DrainProgress {
        let Some(drain) = self.drains.get(&back_end) else {
            return DrainProgress::NotDraining;
        };
        if drain.mark.state != DrainState::Draining {
            return DrainProgress::NotDraining;
        }
        let may_route = |seen: &&Seen| self.may_route(now, drain, seen, contact);
        let waiting: Vec<_> = self
            .daemons
            .values()
            .filter(may_route)
            .map(|seen| seen.daemon.machine)
            .collect();
        if waiting.is_empty() {
            DrainProgress::Acknowledged
        } else {
            DrainProgress::WaitingFor(waiting)
        }
    }

    fn may_route(&self, now: Timestamp, drain: &Drain, seen: &Seen, contact: Contact) -> bool {
        let daemon = seen.daemon;
        let acknowledged = drain.acknowledged.get(&daemon.machine);
        if acknowledged == Some(&daemon.incarnation) {
            return false;
        }
        match daemon.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Left => false,
            MemberState::Dead => {
                let isolated_at = seen.changed + self.stretched(self.settings.isolation_window);
                let is_over = now >= isolated_at && now >= seen.view_ends;
                !is_over || contact == Contact::Isolated
            }
        }
    }
}
