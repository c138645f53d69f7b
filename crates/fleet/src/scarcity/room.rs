//! Whether a plain service has room for a request, and who goes first if not.
//!
//! Back ends work on a number of requests at once and queue the next ones. A request that is sent
//! while the queues are long ends late and makes all after it late. The wait is therefore estimated
//! before the request is sent, and a request finds room only while that wait leaves it its time in
//! target. As the wait grows, requests of lower rank lose their room first: those of a less urgent
//! priority, and among equal priorities those of tenants beyond their fair share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::returns::latest_return;

/// A priority competes for room while a request of it arrived within this time; longer than the
/// pauses within a burst.
const PRIORITY_MEMORY: Duration = Duration::from_secs(5);
/// Weight of the newest sample in the average time of a run, once there are enough.
const NEWEST_WEIGHT: f64 = 0.05;
/// Answers from which on the average decides. Runs vary by half of their time: the average of ten is
/// within a sixth of it.
const MIN_ANSWERS: u32 = 10;
const MS_PER_S: f64 = 1000.0;

/// What is known of one service.
#[derive(Debug, Default)]
struct ServiceRoom {
    /// Average time of a run without waiting, in milliseconds.
    run_ms: f64,
    /// Answers that it was learned from.
    answers: u32,
    /// When a request of each priority last arrived.
    priorities: BTreeMap<u8, Instant>,
}

/// Times of runs and competing priorities by service.
#[derive(Debug, Default)]
pub struct Rooms {
    by_service: BTreeMap<Arc<str>, ServiceRoom>,
}

/// Load of the back ends of one service that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLoad {
    /// Requests that they work on at once, together.
    pub slots: f64,
    /// Requests of all daemons that are known to be there.
    pub requests: f64,
    /// Callers that were promised a turn and are likely to come back before a new request would
    /// have to wait too long.
    pub returning: f64,
    /// Time until one of them may be asked again, if all have just refused requests because they
    /// were full.
    pub all_full_for: Option<Duration>,
}

/// A request that asks for room.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether its tenant exceeds its fair share.
    pub yields: bool,
    /// Whether its caller was refused before and came back at the time that it was told.
    pub returned: bool,
    /// Whether its caller came back before the time that it was told.
    pub is_early: bool,
    /// Its time in target that is left.
    pub target_left: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// Why a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoom {
    /// All back ends have just refused requests because they were full.
    AllFull,
    /// Requests of its rank would be late.
    Late,
    /// No time is left in which it could run.
    Hopeless,
}

impl NoRoom {
    /// Name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AllFull => "all_full",
            Self::Late => "late",
            Self::Hopeless => "hopeless",
        }
    }
}

/// Decision on one request, with its inputs for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// Why the request is not sent; `None` if it has room.
    pub refusal: Option<NoRoom>,
    /// Expected wait for a slot, in milliseconds; `None` if the time of a run is not known yet.
    pub wait_ms: Option<f64>,
    /// Longest wait that the request's rank may find, in milliseconds.
    pub allowed_wait_ms: f64,
    /// Time after which a request of this rank would find room.
    pub room_in: Duration,
    /// Expected time of the run.
    pub run: Duration,
}

impl Verdict {
    /// Whether the request would be answered within its target.
    #[must_use]
    pub fn can_be_in_time(&self, claim: &Claim) -> bool {
        let run_ms = self.run.as_secs_f64() * MS_PER_S;
        let target_ms = claim.target_left.as_secs_f64() * MS_PER_S;
        self.refusal != Some(NoRoom::AllFull)
            && self.wait_ms.is_none_or(|wait| wait + run_ms <= target_ms)
    }
}

impl Rooms {
    /// Records an answer. `ahead` is the number of requests that were at the back end when the
    /// request was sent; the part of the time that they account for is not counted as its run.
    pub fn record_answer(&mut self, service: &Arc<str>, elapsed_ms: f64, ahead: f64, slots: u32) {
        let room = self.by_service.entry(Arc::clone(service)).or_default();
        let rounds = 1.0 + waiting_rounds(ahead, f64::from(slots.max(1)));
        let run_ms = elapsed_ms / rounds;
        room.answers = room.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(room.answers));
        room.run_ms += weight * (run_ms - room.run_ms);
    }

    /// Average time of a run without waiting; `None` while there are too few answers.
    #[must_use]
    pub fn run_ms(&self, service: &str) -> Option<f64> {
        let room = self.by_service.get(service)?;
        (room.answers >= MIN_ANSWERS).then_some(room.run_ms)
    }

    /// The same from however few answers there are; for a choice, not for a refusal.
    #[must_use]
    pub fn rough_run_ms(&self, service: &str) -> Option<f64> {
        let room = self.by_service.get(service)?;
        (room.answers > 0).then_some(room.run_ms)
    }

    /// Records that a request of this priority arrived.
    pub fn note_arrival(&mut self, service: &Arc<str>, priority: u8, now: Instant) {
        let room = self.by_service.entry(Arc::clone(service)).or_default();
        room.priorities.insert(priority, now);
        room.priorities
            .retain(|_priority, at| now.saturating_duration_since(*at) < PRIORITY_MEMORY);
    }

    /// Decides whether a request has room now.
    #[must_use]
    pub fn decide(&self, service: &str, load: KnownLoad, claim: &Claim) -> Verdict {
        let known = self.by_service.get(service);
        let run_ms = self.run_ms(service);
        let target_ms = claim.target_left.as_secs_f64() * MS_PER_S;
        let time_left_ms = claim.time_left.as_secs_f64() * MS_PER_S;
        let Some(run_ms) = run_ms else {
            return Verdict {
                refusal: load.all_full_for.map(|_time| NoRoom::AllFull),
                wait_ms: None,
                allowed_wait_ms: target_ms,
                room_in: load.all_full_for.unwrap_or_default(),
                // Not known; a request that is in time takes no longer.
                run: claim.target_left,
            };
        };
        let ahead = if claim.returned {
            load.requests
        } else {
            load.requests + load.returning
        };
        let wait_ms = waiting_rounds(ahead, load.slots.max(1.0)) * run_ms;
        let headroom_ms = (target_ms - run_ms).max(0.0);
        let share = known.map_or(1.0, |room| room.share_of(claim));
        let allowed_wait_ms = headroom_ms * share;
        let full_ms = load
            .all_full_for
            .map_or(0.0, |time| time.as_secs_f64() * MS_PER_S);
        let room_in_ms = (wait_ms - allowed_wait_ms).max(full_ms).max(0.0);
        // Runs vary: one that needs no wait may end in less than the average time.
        let needed_ms = wait_ms.max(full_ms);
        let can_end = needed_ms <= 0.0 || needed_ms + run_ms <= time_left_ms;
        let run = Duration::from_secs_f64(run_ms / MS_PER_S);
        let latest_return = latest_return(claim.time_left, run);
        let can_return = room_in_ms <= latest_return.as_secs_f64() * MS_PER_S;
        let refusal = if !can_end {
            Some(NoRoom::Hopeless)
        } else if load.all_full_for.is_some() {
            Some(NoRoom::AllFull)
        } else if wait_ms <= allowed_wait_ms {
            None
        } else if !claim.yields && (claim.returned || !can_return) {
            // It has kept its time already, or has no time to come back: a late answer is worth
            // more to its caller than none.
            None
        } else {
            Some(NoRoom::Late)
        };
        Verdict {
            refusal,
            wait_ms: Some(wait_ms),
            allowed_wait_ms,
            room_in: Duration::from_secs_f64(room_in_ms / MS_PER_S),
            run,
        }
    }
}

impl ServiceRoom {
    /// Share of the time in target that a request may find taken by others. The most urgent
    /// priority may find all of it taken; each step down in priority, and within a priority beyond
    /// the fair share or before the promised time, an equal part less.
    fn share_of(&self, claim: &Claim) -> f64 {
        let competing = self.priorities.keys();
        let before = competing
            .clone()
            .filter(|priority| **priority < claim.priority)
            .count();
        let after = competing
            .filter(|priority| **priority > claim.priority)
            .count();
        #[expect(clippy::cast_precision_loss, reason = "at most 256 priorities")]
        let (steps, all) = (
            (2 * before + usize::from(claim.yields || claim.is_early)) as f64,
            (2 * (before + after + 1)) as f64,
        );
        1.0 - steps / all
    }
}

/// How many runs pass before a request behind `ahead` others gets one of `slots`.
fn waiting_rounds(ahead: f64, slots: f64) -> f64 {
    ((ahead + 1.0 - slots) / slots).max(0.0)
}
