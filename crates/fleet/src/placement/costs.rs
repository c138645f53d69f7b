//! Which back ends can be chosen, and what each costs in expected milliseconds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::{Placement, Urgency};
use crate::announcements::{Availability, LONGEST_BACKOFF};
use crate::directory::{BackEnd, Usability};
use crate::rate_limits::Allowance;

/// Cost of a way into another zone, in milliseconds.
const OTHER_ZONE_MS: f64 = 2.0;
/// Share of an engine's slots from which a newcomer may have to wait for one: what peers send is known a little late.
const NEARLY_FULL: f64 = 0.7;
/// How many times longer than a warm one a back end is taken to need at the beginning of its slow start, until its own
/// answers tell more. How slow they are the platform does not say; 1.6 was seen.
const COLD_SLOWNESS: f64 = 2.0;
/// Random part of each cost, so that daemons with the same picture do not all choose the same.
const JITTER_SHARE: f64 = 0.1;

/// What one way to serve a request takes, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    /// Expected time to the first event.
    pub(super) time_ms: f64,
    /// What it costs others, as so much time.
    pub(super) burden_ms: f64,
}

/// When this daemon may send one more request to back ends that all limit the rate of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NextRateToken {
    /// When the first token is there.
    pub at: Instant,
    /// Tokens a second, of all these back ends.
    pub per_second: f64,
}

impl NextRateToken {
    /// When the turn of a request comes that has so many ahead of it.
    #[must_use]
    pub fn turn_after(self, ahead: u32) -> Instant {
        let wait = Duration::try_from_secs_f64(f64::from(ahead) / self.per_second);
        // Where no tokens come, none has come to be waited for either.
        self.at + wait.unwrap_or(LONGEST_BACKOFF)
    }
}

/// When a back end takes a request of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Opening {
    Now,
    At(Instant),
    Never,
}

/// A back end that was chosen.
#[derive(Debug, Clone)]
pub(super) struct Choice {
    pub(super) back_end: Arc<BackEnd>,
    /// Expected time to the first event, in milliseconds.
    pub(super) time_ms: f64,
    /// The same with what it costs others.
    pub(super) cost_ms: f64,
}

impl Placement {
    /// Those that fit and were not tried, as far as nothing speaks against them; where none is left, those to be used at need.
    pub(super) fn usable(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
        fits: impl Fn(&BackEnd) -> bool,
    ) -> Vec<Arc<BackEnd>> {
        let fitting: Vec<(Usability, &Arc<BackEnd>)> = ready
            .iter()
            .filter(|back_end| fits(back_end))
            .map(|back_end| (self.usability(back_end, tried, now), back_end))
            .filter(|(usability, _back_end)| *usability != Usability::Closed)
            .collect();
        let best = fitting
            .iter()
            .map(|(usability, _back_end)| *usability)
            .min();
        fitting
            .into_iter()
            .filter(|(usability, _back_end)| Some(*usability) == best)
            .map(|(_usability, back_end)| Arc::clone(back_end))
            .collect()
    }

    /// How well a request that went to `tried` before can go to the back end.
    #[must_use]
    pub fn usability(&self, back_end: &BackEnd, tried: &[Arc<str>], now: Instant) -> Usability {
        let is_allowed = self.rate_limits.allowance(back_end, now) == Allowance::Now;
        if tried.contains(&back_end.id) || self.is_closed(back_end, now) || !is_allowed {
            return Usability::Closed;
        }
        let is_well = !self.health.is_ejected(&back_end.id)
            && !self.is_away(back_end, now)
            && !self.is_being_tried(&back_end.id)
            && !self.may_back_off_again(back_end, tried, now);
        if is_well {
            Usability::Well
        } else {
            Usability::AtNeed
        }
    }

    /// Whether the time that the back end asked for has just ended and it is no place for this request: one request finds out
    /// whether it takes any, and not one that was turned away before. Where 5 of 10 engines asked for more time again and again,
    /// this brought the callers refused from 16 to 1 of 9,270 (four loads on simulated engines, the same seed).
    fn may_back_off_again(&self, back_end: &BackEnd, tried: &[Arc<str>], now: Instant) -> bool {
        self.announcements.is_on_trial(back_end, now)
            && (!tried.is_empty() || self.load.own_requests(&back_end.id) > 0.0)
    }

    /// Whether the back end announced that it drains, or that callers are to back off for now. It holds also where no other back
    /// end is left: one that drains may end under the request, and one that is backed off from refuses it, which costs the caller
    /// a try.
    #[must_use]
    pub fn is_closed(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.announcements.availability(back_end, now) != Availability::Open
    }

    /// When the first of these back ends takes a request of this daemon, where all of them drain, asked their callers to back off or
    /// limit the rate of requests. None where one of them takes requests now, or none ever does.
    #[must_use]
    pub fn earliest_available(&self, back_ends: &[Arc<BackEnd>], now: Instant) -> Option<Instant> {
        let mut first = None;
        for back_end in back_ends {
            match self.opening(back_end, now) {
                Opening::Now => return None,
                Opening::Never => {}
                Opening::At(opens) => {
                    first = Some(first.map_or(opens, |first: Instant| first.min(opens)));
                }
            }
        }
        first
    }

    /// When the first of these back ends that were not tried has a token for this daemon, where all that are open to it limit the rate of
    /// requests. None where one is open without, or none ever is.
    #[must_use]
    pub fn next_rate_token(
        &self,
        back_ends: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
    ) -> Option<NextRateToken> {
        let mut open: Vec<Arc<BackEnd>> = back_ends.to_vec();
        open.retain(|back_end| !tried.contains(&back_end.id) && !self.is_closed(back_end, now));
        let has_limit = |back_end: &Arc<BackEnd>| self.rate_limits.limit(back_end).is_some();
        if !open.iter().all(has_limit) {
            return None;
        }
        let allowances = open
            .iter()
            .map(|back_end| self.rate_limits.allowance(back_end, now));
        let first = allowances.filter_map(|allowance| match allowance {
            Allowance::Now => Some(now),
            Allowance::At(at) => Some(at),
            Allowance::None => None,
        });
        Some(NextRateToken {
            at: first.min()?,
            per_second: self.rate_limits.shares(&open),
        })
    }

    /// When the back end takes a request of this daemon, by what it announced.
    fn opening(&self, back_end: &BackEnd, now: Instant) -> Opening {
        let allowance = self.rate_limits.allowance(back_end, now);
        let availability = self.announcements.availability(back_end, now);
        match (availability, allowance) {
            (Availability::Draining, _) | (_, Allowance::None) => Opening::Never,
            (Availability::Open, Allowance::Now) => Opening::Now,
            (Availability::Open, Allowance::At(opens)) => Opening::At(opens),
            (Availability::BackingOff { until }, Allowance::Now) => Opening::At(until),
            (Availability::BackingOff { until }, Allowance::At(opens)) => {
                Opening::At(until.max(opens))
            }
        }
    }

    /// A back end on trial has one of this daemon's requests already.
    pub(super) fn is_being_tried(&self, id: &str) -> bool {
        self.health.is_on_trial(id) && self.load.own_requests(id) > 0.0
    }

    /// The one with the least cost, its time weighed by what is known of its speed and its failures.
    pub(super) fn cheapest(
        &self,
        candidates: &[Arc<BackEnd>],
        now: Instant,
        random: &mut impl Rng,
        estimate: impl Fn(&BackEnd) -> Estimate,
    ) -> Option<Choice> {
        candidates
            .iter()
            .map(|back_end| {
                let estimate = estimate(back_end);
                let time_ms = estimate.time_ms * self.slowness(back_end, now);
                let failing = time_ms * self.health.cost_factor(&back_end.id);
                let cost_ms = failing + estimate.burden_ms + self.zone_ms(back_end);
                let jitter: f64 = random.random();
                (back_end, time_ms, cost_ms * (1.0 + JITTER_SHARE * jitter))
            })
            .min_by(|left, right| left.2.total_cmp(&right.2))
            .map(|(back_end, time_ms, cost_ms)| Choice {
                back_end: Arc::clone(back_end),
                time_ms,
                cost_ms,
            })
    }

    /// How many times longer than expected the back end takes: by its answers, or by what it says of its slow start.
    fn slowness(&self, back_end: &BackEnd, now: Instant) -> f64 {
        let cold_share = back_end
            .cold_start
            .map_or(0.0, |start| start.share_left(now));
        let by_start = 1.0 + (COLD_SLOWNESS - 1.0) * cold_share;
        self.speed.slowness(&back_end.id, now).max(by_start)
    }

    pub(super) fn zone_ms(&self, back_end: &BackEnd) -> f64 {
        if back_end.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_MS
        }
    }

    /// Time until a newcomer has a slot. One that is nearly full may be full by the time it comes; a slot is free as soon
    /// as any of the streams there ends.
    pub(super) fn slot_wait_ms(&self, back_end: &BackEnd, urgency: Urgency) -> f64 {
        let ahead = self.load.outstanding(&back_end.id).requests_ahead(urgency);
        let crowding = ahead / f64::from(back_end.slots.max(1));
        (crowding - NEARLY_FULL).max(0.0) * self.streams.usual_ms(&back_end.service)
    }

    /// Time until the prompts that wait at the engine are read.
    pub(super) fn backlog_ms(
        &self,
        back_end: &BackEnd,
        tokens_per_ms: f64,
        urgency: Urgency,
    ) -> f64 {
        let outstanding = self.load.outstanding(&back_end.id);
        outstanding.tokens_ahead(urgency) / tokens_per_ms
    }
}
