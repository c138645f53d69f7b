//! Which back ends can be chosen, and what each costs in expected milliseconds.

use std::sync::Arc;
use std::time::Instant;

use rand::{Rng, RngExt};

use super::Placement;
use crate::directory::BackEnd;

/// Cost of a way into another zone, in milliseconds.
const OTHER_ZONE_MS: f64 = 2.0;
/// Reading at a decode engine holds up what it generates; each millisecond counts as so many.
const DECODE_READ_WEIGHT: f64 = 1.3;
/// Share of an engine's slots from which it counts as nearly full,
const NEARLY_FULL: f64 = 0.7;
/// and what each share beyond that counts as, in milliseconds.
const FULL_MS: f64 = 300.0;
/// Random part of each cost, so that daemons with the same picture do not all choose the same.
const JITTER_SHARE: f64 = 0.1;

impl Placement {
    /// Those that fit, were not tried, and are neither ejected nor away; where none is left, they all count.
    pub(super) fn usable(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
        fits: impl Fn(&BackEnd) -> bool,
    ) -> Vec<Arc<BackEnd>> {
        let fitting: Vec<Arc<BackEnd>> = ready
            .iter()
            .filter(|back_end| fits(back_end) && !tried.contains(&back_end.id))
            .cloned()
            .collect();
        let well: Vec<Arc<BackEnd>> = fitting
            .iter()
            .filter(|back_end| !self.health.is_ejected(&back_end.id))
            .filter(|back_end| !self.is_away(back_end, now))
            .filter(|back_end| !self.is_being_tried(&back_end.id))
            .cloned()
            .collect();
        if well.is_empty() { fitting } else { well }
    }

    /// A back end on trial has one of this daemon's requests already.
    pub(super) fn is_being_tried(&self, id: &str) -> bool {
        self.health.is_on_trial(id) && self.load.own_requests(id) > 0.0
    }

    pub(super) fn cheapest(
        &self,
        candidates: &[Arc<BackEnd>],
        random: &mut impl Rng,
        cost_ms: impl Fn(&BackEnd) -> f64,
    ) -> Option<(Arc<BackEnd>, f64)> {
        candidates
            .iter()
            .map(|back_end| {
                let own = cost_ms(back_end) * self.speed.slowness(&back_end.id);
                let failing = own * self.health.cost_factor(&back_end.id);
                let cost = failing + self.zone_ms(back_end);
                let jitter: f64 = random.random();
                (back_end, cost * (1.0 + JITTER_SHARE * jitter))
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(back_end, cost)| (Arc::clone(back_end), cost))
    }

    pub(super) fn zone_ms(&self, back_end: &BackEnd) -> f64 {
        if back_end.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_MS
        }
    }

    pub(super) fn decode_weight(&self) -> f64 {
        DECODE_READ_WEIGHT / self.speed.decode_tokens_per_ms()
    }

    /// Time until what waits at the engine is read, and what running requests add to each step.
    pub(super) fn waiting_ms(&self, back_end: &BackEnd, ms_per_token: f64) -> f64 {
        let outstanding = self.load.outstanding(&back_end.id);
        let crowding = outstanding.requests / f64::from(back_end.slots.max(1));
        let base = 5.0 * (1.0 + crowding);
        outstanding.prompt_tokens * ms_per_token + base + queue_ms(crowding)
    }
}

/// A full engine lets newcomers wait for a slot; one that is nearly full may be, by the time they come.
fn queue_ms(crowding: f64) -> f64 {
    (crowding - NEARLY_FULL).max(0.0) * FULL_MS
}
