//! Filters usable back ends and computes their costs in milliseconds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::{DEFAULT_PLAIN_MS, Placement, Urgency};
use crate::announcements::{Availability, MAX_BACKOFF};
use crate::directory::{BackEnd, Eligibility};
use crate::health::SHORT_SILENCE;
use crate::profiles::WorkKind;
use crate::rate_limits::Allowance;

/// Cost of sending a request to another zone, in milliseconds.
const OTHER_ZONE_COST_MS: f64 = 2.0;
/// Occupancy from which a new request may have to wait for a slot. Below 1 because reports of peers
/// lag.
const SLOT_WAIT_THRESHOLD: f64 = 0.7;
/// Assumed slowdown of a back end at the beginning of its slow start, until its answers show the
/// actual value. The platform does not state it; back ends have shown 1.6.
const COLD_START_SLOWNESS: f64 = 2.0;
/// Maximum random increase of a cost, so that daemons with the same state do not all choose the
/// same back end.
const JITTER_SHARE: f64 = 0.1;

/// Estimated cost of one way to serve a request, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    /// Expected time to the first event.
    pub(super) time_ms: f64,
    /// Additional cost imposed on other requests.
    pub(super) burden_ms: f64,
}

/// Next time at which this daemon may send a request, if every open back end limits its request
/// rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NextRateToken {
    /// Time at which the first token becomes available.
    pub at: Instant,
    /// Total token rate of these back ends, per second.
    pub per_second: f64,
}

impl NextRateToken {
    /// Time at which a request with `ahead` requests queued before it can be sent.
    #[must_use]
    pub fn turn_after(self, ahead: u32) -> Instant {
        let wait = Duration::try_from_secs_f64(f64::from(ahead) / self.per_second);
        // The rate may be zero; the wait is then capped at the longest backoff.
        self.at + wait.unwrap_or(MAX_BACKOFF)
    }
}

/// Silent back ends that a request could be sent to once they go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortSilence {
    /// A silence that lasts longer is no short one any more.
    pub ends_by: Instant,
    /// IDs of the silent back ends.
    pub silent: Vec<Arc<str>>,
}

/// When a back end accepts a request of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Acceptance {
    Now,
    At(Instant),
    Never,
}

/// A chosen back end.
#[derive(Debug, Clone)]
pub(super) struct Choice {
    pub(super) back_end: Arc<BackEnd>,
    /// Expected time to the first event, in milliseconds.
    pub(super) time_ms: f64,
    /// Weighted cost including the burden on other requests, in milliseconds.
    pub(super) cost_ms: f64,
}

impl Placement {
    /// Suitable back ends of the best [`Eligibility`] available, without excluded ones. Back ends that
    /// are only a fallback are returned if there are no better ones.
    pub(super) fn usable(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
        is_suitable: impl Fn(&BackEnd) -> bool,
    ) -> Vec<Arc<BackEnd>> {
        let suitable: Vec<(Eligibility, &Arc<BackEnd>)> = ready
            .iter()
            .filter(|back_end| is_suitable(back_end))
            .map(|back_end| (self.eligibility(back_end, tried, now), back_end))
            .filter(|(eligibility, _back_end)| *eligibility != Eligibility::Excluded)
            .collect();
        let best = suitable
            .iter()
            .map(|(eligibility, _back_end)| *eligibility)
            .min();
        suitable
            .into_iter()
            .filter(|(eligibility, _back_end)| Some(*eligibility) == best)
            .map(|(_eligibility, back_end)| Arc::clone(back_end))
            .collect()
    }

    /// Eligibility of a back end for a request that has already been sent to `tried`.
    #[must_use]
    pub fn eligibility(&self, back_end: &BackEnd, tried: &[Arc<str>], now: Instant) -> Eligibility {
        let is_allowed = self.rate_limits.allowance(back_end, now) == Allowance::Now;
        let is_silent = self.health.silent_since(&back_end.id).is_some();
        let is_closed = self.is_closed(back_end, now);
        if tried.contains(&back_end.id) || is_closed || is_silent || !is_allowed {
            return Eligibility::Excluded;
        }
        let is_preferred = !self.health.is_ejected(&back_end.id)
            && !self.is_suspended(back_end, now)
            && !self.has_trial_request(&back_end.id)
            && !self.may_back_off_again(back_end, tried, now);
        if is_preferred {
            Eligibility::Preferred
        } else {
            Eligibility::Fallback
        }
    }

    /// Until when silent back ends among these are expected to go on, and which ones they are.
    /// `None` if one of the others accepts requests.
    #[must_use]
    pub fn short_silence(
        &self,
        back_ends: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
    ) -> Option<ShortSilence> {
        let mut ends_by = None;
        let mut silent = Vec::new();
        for back_end in back_ends {
            if self.eligibility(back_end, tried, now) != Eligibility::Excluded {
                return None;
            }
            if let Some(since) = self.health.silent_since(&back_end.id)
                && !self.is_closed(back_end, now)
            {
                ends_by = ends_by.max(Some(since + SHORT_SILENCE));
                silent.push(Arc::clone(&back_end.id));
            }
        }
        let ends_by = ends_by?;
        Some(ShortSilence { ends_by, silent })
    }

    /// Free slots of those back ends that accept a request, at least one for each that is idle.
    #[must_use]
    pub fn free_slots(&self, back_ends: &[Arc<BackEnd>], tried: &[Arc<str>], now: Instant) -> f64 {
        let accepting = back_ends
            .iter()
            .filter(|back_end| self.eligibility(back_end, tried, now) != Eligibility::Excluded);
        accepting
            .map(|back_end| {
                let requests = self.load.requests(&back_end.id);
                (f64::from(back_end.slots.max(1)) - requests).max(0.0)
            })
            .sum()
    }

    /// Whether one of these back ends is still silent.
    #[must_use]
    pub fn any_silent(&self, ids: &[Arc<str>]) -> bool {
        ids.iter().any(|id| self.health.silent_since(id).is_some())
    }

    /// Whether the back end's backoff has just ended and this request should not be the probe. A
    /// single request tests whether the back end accepts requests again, and never one that was
    /// already refused elsewhere.
    fn may_back_off_again(&self, back_end: &BackEnd, tried: &[Arc<str>], now: Instant) -> bool {
        self.announcements.is_on_trial(back_end, now)
            && (!tried.is_empty() || self.load.own_requests(&back_end.id) > 0.0)
    }

    /// Whether the back end announced that it drains or asked callers to back off. Applies even if
    /// no other back end is left: a draining one may end during the request, and one that asked for
    /// backoff refuses it, which costs the caller an attempt.
    #[must_use]
    pub fn is_closed(&self, back_end: &BackEnd, now: Instant) -> bool {
        self.announcements.availability(back_end, now) != Availability::Open
    }

    /// Earliest time at which one of these back ends accepts a request of this daemon, if all of
    /// them drain, ask for backoff or limit their request rate. `None` if one accepts requests now
    /// or none ever will.
    #[must_use]
    pub fn earliest_available(&self, back_ends: &[Arc<BackEnd>], now: Instant) -> Option<Instant> {
        let mut first = None;
        for back_end in back_ends {
            match self.acceptance(back_end, now) {
                Acceptance::Now => return None,
                Acceptance::Never => {}
                Acceptance::At(opens_at) => {
                    first = Some(first.map_or(opens_at, |first: Instant| first.min(opens_at)));
                }
            }
        }
        first
    }

    /// Next rate-limit token among the back ends that were not tried and are open. `None` if one of
    /// them has no rate limit or none will ever grant a token.
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

    /// When the back end accepts a request of this daemon, according to its announcements and rate
    /// limit.
    fn acceptance(&self, back_end: &BackEnd, now: Instant) -> Acceptance {
        let allowance = self.rate_limits.allowance(back_end, now);
        let availability = self.announcements.availability(back_end, now);
        match (availability, allowance) {
            (Availability::Draining, _) | (_, Allowance::None) => Acceptance::Never,
            (Availability::Open, Allowance::Now) => Acceptance::Now,
            (Availability::Open, Allowance::At(opens_at)) => Acceptance::At(opens_at),
            (Availability::BackingOff { until }, Allowance::Now) => Acceptance::At(until),
            (Availability::BackingOff { until }, Allowance::At(opens_at)) => {
                Acceptance::At(until.max(opens_at))
            }
        }
    }

    /// Whether a back end on trial already serves a request of this daemon.
    pub(super) fn has_trial_request(&self, id: &str) -> bool {
        self.health.is_on_trial(id) && self.load.own_requests(id) > 0.0
    }

    /// Candidate with the lowest cost. The expected time is weighted by the observed slowness and
    /// failures.
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
                let failure_weighted_ms = time_ms * self.health.cost_factor(&back_end.id);
                let opening_ms = self.idle_connections.opening_cost_ms(back_end.address);
                let cost_ms =
                    failure_weighted_ms + estimate.burden_ms + self.zone_ms(back_end) + opening_ms;
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

    /// Slowdown factor of the back end, from its answers or from its announced slow start,
    /// whichever is higher. Where profiles are used, the estimates already contain what its answers
    /// have shown.
    fn slowness(&self, back_end: &BackEnd, now: Instant) -> f64 {
        let cold_share = back_end
            .cold_start
            .map_or(0.0, |start| start.remaining_fraction(now));
        let cold_start_slowness = 1.0 + (COLD_START_SLOWNESS - 1.0) * cold_share;
        if self.profiles.is_enabled() {
            return cold_start_slowness;
        }
        self.speed
            .slowness(&back_end.id, now)
            .max(cold_start_slowness)
    }

    /// Time of a back end compared with the average; 1 while profiles are not used.
    pub(super) fn time_factor(&self, back_end: &BackEnd, kind: WorkKind, now: Instant) -> f64 {
        if self.profiles.is_enabled() {
            self.profiles.factor(back_end, kind, now)
        } else {
            1.0
        }
    }

    /// Expected response time of an idle plain back end, in milliseconds: from its profile, which
    /// all daemons share, otherwise from the answers that this daemon received from it.
    pub(super) fn plain_ms(&self, back_end: &BackEnd, now: Instant) -> f64 {
        let known = self.profiles.known(back_end, WorkKind::Plain, now);
        known
            .zip(self.profiles.plain_ms(&back_end.service))
            .map(|(profile, average_ms)| profile.factor * average_ms)
            .or_else(|| self.speed.plain_ms(&back_end.id))
            .unwrap_or(DEFAULT_PLAIN_MS)
    }

    pub(super) fn zone_ms(&self, back_end: &BackEnd) -> f64 {
        if back_end.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_COST_MS
        }
    }

    /// Expected wait for a slot, in milliseconds. A nearly full engine may be full when the request
    /// arrives; a slot becomes free as soon as any stream there ends.
    pub(super) fn slot_wait_ms(&self, back_end: &BackEnd, urgency: Urgency, now: Instant) -> f64 {
        let ahead = self.load.outstanding(&back_end.id).requests_ahead(urgency);
        let occupancy = ahead / f64::from(back_end.slots.max(1));
        let stream_ms = self.streams.average_ms(&back_end.service)
            * self.time_factor(back_end, WorkKind::Decode, now);
        (occupancy - SLOT_WAIT_THRESHOLD).max(0.0) * stream_ms
    }

    /// Time until the engine has processed the prompts queued ahead of a request, in milliseconds.
    pub(super) fn backlog_ms(
        &self,
        back_end: &BackEnd,
        tokens_per_ms: f64,
        urgency: Urgency,
        now: Instant,
    ) -> f64 {
        let outstanding = self.load.outstanding(&back_end.id);
        let factor = self.time_factor(back_end, WorkKind::Prefill, now);
        outstanding.tokens_ahead(urgency) / tokens_per_ms * factor
    }
}
