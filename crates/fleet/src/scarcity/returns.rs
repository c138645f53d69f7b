//! When a refused caller may come back, and whether it came back at that time.
//!
//! The time follows from the room: when the backlog ahead of the request has ended, and not before
//! the callers that were told earlier have had their turn. Callers that come back are spread at the
//! rate at which work ends. A caller never gets a time at which its request could not run any more
//! before its deadline; if there is none, it learns when there will be room, and that it is too late
//! for this request.
//!
//! The daemon remembers whom it told what time, by the fingerprint of the request, so no caller has
//! to be trusted. The daemons of a neighbourhood share this. A caller that repeats earlier is
//! treated as new and keeps its time: repeating gains nothing. A daemon that does not know a time
//! treats its caller as new.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fingerprint::RequestFingerprint;
use crate::scarcity::name_hash;

/// Times that are remembered, own and of neighbours; bounds the memory to about 100 KB. Callers
/// beyond it are treated as new.
pub const MAX_PROMISES: usize = 2_048;
/// A caller counts as punctual up to this much before its time, because clocks and links vary.
const EARLY_TOLERANCE: Duration = Duration::from_millis(30);
/// A caller counts as punctual up to this long after its time.
const LATE_TOLERANCE: Duration = Duration::from_millis(1_500);
/// Time within which a caller that comes back is sure to be a new arrival, not an echo.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest time that a caller is told, however large the backlog.
pub const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Callers wait for the time that they are told only up to this share of the time that they have left.
pub const HONOURED_SHARE: f64 = 1.0 / 3.0;
/// Interval between removals of promises whose time has passed, while there is no space.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Callers that come back are spread over this share of the time at least.
const SPREAD_SHARE: f64 = 0.25;
/// Time constant of the rate at which work ends.
const RATE_TIME: Duration = Duration::from_secs(3);
/// A promise that was due this long ago and not kept reserves no room any more.
const RESERVED_AFTER_DUE: Duration = Duration::from_millis(100);
/// Weight of one promise in the average share of promises that are kept.
const KEPT_WEIGHT: f64 = 0.02;
/// Assumed share of promises that are kept until some were due: some callers give up.
const INITIAL_KEPT_SHARE: f64 = 0.7;
/// Lowest rate at which returns are scheduled, per second: a daemon that has seen nothing end for a
/// while still lets one caller try.
const MIN_RATE: f64 = 0.5;

/// What is known when a caller is refused.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Time after which the backlog ahead of the request has ended.
    pub room_in: Duration,
    /// Time until the caller's deadline; `None` if it is not known.
    pub time_left: Option<Duration>,
    /// Expected time of the run.
    pub run: Duration,
    /// Time between two ends of work that this daemon's callers may follow, while the back ends are
    /// full; `None` if only the measured rate is known.
    pub interval: Option<Duration>,
    /// Whether the caller may get a turn before new ones. Not if its tenant exceeds its fair share.
    pub may_have_turn: bool,
}

/// What a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// Time after which it may come back.
    pub after: Duration,
    /// Whether its deadline passes before the request could run; the time is then for its next
    /// request.
    pub is_too_late: bool,
    /// Whether it has a turn then; otherwise it may come for what others leave.
    pub has_turn: bool,
}

/// How a request relates to earlier ones with the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Return {
    /// No time was promised to its caller, as far as known.
    New,
    /// Its caller was told to come back later than now.
    Early {
        /// Time left until the promised time.
        remaining: Duration,
    },
    /// Its caller came back at the promised time.
    Punctual,
}

/// A promise as daemons share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPromise {
    /// Hash of the service's name.
    pub service: u32,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Time at which its caller may come back.
    pub due: Instant,
    /// Whether the caller has a turn then; otherwise it may come for what others leave.
    pub has_turn: bool,
    /// Whether its caller has come back.
    pub is_kept: bool,
}

/// A promise as this daemon knows it.
#[derive(Debug, Clone, Copy)]
struct KnownPromise {
    service: u32,
    due: Instant,
    has_turn: bool,
    is_kept: bool,
}

impl KnownPromise {
    /// Takes in another promise for the same request. Returns whether anything changed.
    fn merge(&mut self, other: SharedPromise) -> bool {
        let is_before = (other.due, !other.has_turn) < (self.due, !self.has_turn);
        if is_before {
            self.due = other.due;
            self.has_turn = other.has_turn;
        }
        let is_news = other.is_kept && !self.is_kept;
        self.is_kept |= other.is_kept;
        is_before || is_news
    }
}

/// Returns of one service.
#[derive(Debug)]
struct Schedule {
    /// Work ended per second.
    rate: f64,
    rate_at: Instant,
    /// Time of the next return.
    next: Instant,
}

/// Promised times, and the rates from which they follow.
#[derive(Debug)]
pub struct Returns {
    schedules: BTreeMap<Arc<str>, Schedule>,
    known: HashMap<RequestFingerprint, KnownPromise>,
    unpublished: Vec<SharedPromise>,
    /// Number of promises made.
    pub promised: u64,
    /// Number of promised callers that came back at their time.
    pub kept: u64,
    /// Average share of promises that are kept.
    kept_share: f64,
    last_expiry: Option<Instant>,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            schedules: BTreeMap::new(),
            known: HashMap::new(),
            unpublished: Vec::new(),
            promised: 0,
            kept: 0,
            kept_share: INITIAL_KEPT_SHARE,
            last_expiry: None,
        }
    }
}

impl Schedule {
    const fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            rate_at: now,
            next: now,
        }
    }

    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.rate_at).as_secs_f64();
        self.rate * (-age / RATE_TIME.as_secs_f64()).exp()
    }
}

impl Returns {
    /// Records that a request of this daemon ended at a back end of the service.
    pub fn record_end(&mut self, service: &Arc<str>, now: Instant) {
        let schedule = self.schedule(service, now);
        schedule.rate = schedule.rate(now) + 1.0 / RATE_TIME.as_secs_f64();
        schedule.rate_at = now;
    }

    /// Decides when a refused caller may come back. `draw` is a random number in `0.0..1.0`.
    pub fn promise(
        &mut self,
        service: &Arc<str>,
        refusal: Refusal,
        draw: f64,
        now: Instant,
    ) -> Promise {
        let schedule = self.schedule(service, now);
        let measured = Duration::from_secs_f64(1.0 / schedule.rate(now).max(MIN_RATE));
        // What ended of late may be less than what ends while the back ends are full.
        let gap = refusal
            .interval
            .map_or(measured, |interval| interval.min(measured));
        let earliest = refusal.room_in.max(MIN_PAUSE);
        let turn = schedule.next.saturating_duration_since(now).max(earliest);
        let latest = refusal
            .time_left
            .map(|left| latest_return(left, refusal.run));
        let spread = gap.max(turn.mul_f64(SPREAD_SHARE)).mul_f64(draw);
        let is_too_late = latest.is_some_and(|latest| latest < earliest);
        let fits = latest.is_none_or(|latest| turn + spread <= latest);
        let has_turn = !is_too_late && fits && refusal.may_have_turn;
        let after = match latest {
            Some(latest) if !is_too_late && !fits => earliest + (latest - earliest).mul_f64(draw),
            _ => turn + spread,
        };
        let promise = Promise {
            after,
            is_too_late,
            has_turn,
        };
        if has_turn {
            schedule.next = (now + turn + gap).min(now + MAX_PAUSE);
        }
        Promise {
            after: promise.after.min(MAX_PAUSE),
            ..promise
        }
    }

    /// Remembers a promise. A time that was promised before stays; beyond [`MAX_PROMISES`] nothing
    /// more is remembered, and those callers are treated as new. Returns whether this one is.
    pub fn remember(
        &mut self,
        service: &str,
        fingerprint: RequestFingerprint,
        promise: Promise,
        now: Instant,
    ) -> bool {
        self.promised += 1;
        let promise = SharedPromise {
            service: name_hash(service),
            fingerprint,
            due: now + promise.after,
            has_turn: promise.has_turn,
            is_kept: false,
        };
        let is_remembered = self.merge(promise, now);
        if is_remembered {
            self.publish(promise);
        }
        is_remembered
    }

    fn publish(&mut self, promise: SharedPromise) {
        if self.unpublished.len() < MAX_PROMISES {
            self.unpublished.push(promise);
        }
    }

    /// Takes in a promise of another daemon.
    pub fn receive(&mut self, promise: SharedPromise, now: Instant) {
        if promise.due <= now + MAX_PAUSE {
            self.merge(promise, now);
        }
    }

    /// Of two times for one request the earlier holds, and one that was kept stays so; hence the
    /// order and number of messages do not matter. Returns whether anything changed.
    fn merge(&mut self, promise: SharedPromise, now: Instant) -> bool {
        if is_over(promise.due, now) {
            return false;
        }
        if let Some(known) = self.known.get_mut(&promise.fingerprint)
            && !is_over(known.due, now)
        {
            return known.merge(promise);
        }
        let may_expire = self
            .last_expiry
            .is_none_or(|last| now.saturating_duration_since(last) >= EXPIRY_INTERVAL);
        if self.known.len() >= MAX_PROMISES && may_expire {
            self.expire(now);
        }
        if self.known.len() >= MAX_PROMISES {
            return false;
        }
        let known = KnownPromise {
            service: promise.service,
            due: promise.due,
            has_turn: promise.has_turn,
            is_kept: promise.is_kept,
        };
        self.known.insert(promise.fingerprint, known);
        true
    }

    /// Whether no promise is remembered; requests need no fingerprint then.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Recognizes a caller that comes back. A promise is kept once.
    pub fn arrive(&mut self, fingerprint: &RequestFingerprint, now: Instant) -> Return {
        let Some(known) = self.known.get_mut(fingerprint) else {
            return Return::New;
        };
        if known.is_kept || is_over(known.due, now) {
            return Return::New;
        }
        let remaining = known.due.saturating_duration_since(now);
        if remaining > EARLY_TOLERANCE {
            return Return::Early { remaining };
        }
        if !known.has_turn {
            return Return::New;
        }
        known.is_kept = true;
        let kept = SharedPromise {
            service: known.service,
            fingerprint: *fingerprint,
            due: known.due,
            has_turn: known.has_turn,
            is_kept: true,
        };
        self.kept += 1;
        self.publish(kept);
        Return::Punctual
    }

    /// Number of callers that are likely to come back to a service within `time`. Room for them is
    /// not given to new ones.
    #[must_use]
    pub fn expected_within(&self, service: &str, time: Duration, now: Instant) -> f64 {
        let service = name_hash(service);
        let due = self.known.values().filter(|known| {
            known.has_turn
                && !known.is_kept
                && known.service == service
                && known.due <= now + time
                && now.saturating_duration_since(known.due) < RESERVED_AFTER_DUE
        });
        #[expect(clippy::cast_precision_loss, reason = "at most a few thousand")]
        let due = due.count() as f64;
        due * self.kept_share
    }

    /// Promises made and kept here that other daemons have not been told yet.
    pub fn take_unpublished(&mut self) -> Vec<SharedPromise> {
        std::mem::take(&mut self.unpublished)
    }

    /// Removes promises whose time has passed.
    pub fn expire(&mut self, now: Instant) {
        self.last_expiry = Some(now);
        let kept_share = &mut self.kept_share;
        self.known.retain(|_fingerprint, known| {
            let is_over = is_over(known.due, now);
            if is_over && known.has_turn {
                let was_kept = if known.is_kept { 1.0 } else { 0.0 };
                *kept_share += KEPT_WEIGHT * (was_kept - *kept_share);
            }
            !is_over
        });
    }

    fn schedule(&mut self, service: &Arc<str>, now: Instant) -> &mut Schedule {
        self.schedules
            .entry(Arc::clone(service))
            .or_insert_with(|| Schedule::new(now))
    }
}

/// Latest time at which a caller both comes back and leaves its request time to run.
#[must_use]
pub fn latest_return(time_left: Duration, run: Duration) -> Duration {
    let honoured = time_left.mul_f64(HONOURED_SHARE);
    time_left.saturating_sub(run).min(honoured)
}

/// Whether a promised time has passed for long enough that its caller will not come any more.
fn is_over(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) > LATE_TOLERANCE
}
