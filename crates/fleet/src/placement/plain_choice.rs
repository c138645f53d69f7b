//! Choice of a plain back end while room is shared out: by the room there, without all daemons
//! choosing the same one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::{DEFAULT_PLAIN_MS, MS_PER_S, OfferedRequest, Placement, ShareInputs};
use crate::configuration::Stage;
use crate::directory::{BackEnd, Eligibility};
use crate::scarcity::returns::Return;
use crate::scarcity::room::{Claim, KnownLoad, Verdict};

/// Back ends drawn from all others to be compared with one of this daemon's zone. Few draws spread the
/// requests of daemons with the same news almost as evenly as knowing each other's choices would; if
/// all were compared, those daemons would meet at the best one.
const OTHERS_COMPARED: usize = 1;
/// A back end is sound if its failures raise its cost by no more than this factor above the lowest.
/// One whose requests fail one in four times is not, chance errors of the application are below.
const MAX_SOUND_FACTOR: f64 = 1.5;
/// Share of the slots from which a request may have to wait, because reports lag.
const BUSY_SHARE: f64 = 0.7;

/// A request to a plain service that asks for room.
#[derive(Debug, Clone, Copy)]
pub struct PlainRequest<'a> {
    /// Service of the request.
    pub service: &'a Arc<str>,
    /// Tenant of the request, if it has one.
    pub tenant: Option<&'a Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// How it relates to an earlier refusal.
    pub returned: Return,
    /// Its time in target that is left.
    pub target_left: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Whether it yields to other tenants, if that was decided at an earlier attempt.
    pub yields_before: Option<bool>,
}

/// Decision on the room for a request, with its inputs.
#[derive(Debug, Clone, Copy)]
pub struct PlainClaim {
    /// The decision.
    pub verdict: Verdict,
    /// Load that it was decided on.
    pub load: KnownLoad,
    /// What the request asked for.
    pub claim: Claim,
    /// Demand of its tenant and its fair share.
    pub share: ShareInputs,
    /// Time between two ends of work at the full back ends, for this daemon's part of the callers;
    /// `None` if the time of a run is not known yet.
    pub interval: Option<Duration>,
}

/// A back end that may take the request.
struct Candidate<'a> {
    back_end: &'a Arc<BackEnd>,
    cost_ms: f64,
}

impl Placement {
    /// Decides whether a request to a plain service has room now. `draw` is a random number in
    /// `0.0..1.0`. `None` if no back end can take it at all.
    pub fn claim_plain_room(
        &mut self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        request: &PlainRequest<'_>,
        draw: f64,
        now: Instant,
    ) -> Option<PlainClaim> {
        let load = self.plain_load(ready, tried, request, now);
        if load.slots <= 0.0 {
            return None;
        }
        for back_end in ready {
            self.load.track(&back_end.id, now);
        }
        let service = request.service;
        let mut claim = Claim {
            priority: request.priority,
            yields: request.yields_before.unwrap_or_default(),
            returned: request.returned == Return::Punctual,
            is_early: matches!(request.returned, Return::Early { .. }),
            target_left: request.target_left,
            time_left: request.time_left,
        };
        self.rooms.note_arrival(service, claim.priority, now);
        // One that has its turn was counted, and its tenant's share was weighed, when it was refused.
        let is_new = request.yields_before.is_none() && !claim.returned;
        if let (Some(tenant), true) = (request.tenant, is_new) {
            let verdict = self.rooms.decide(service, load, &claim);
            let offer = OfferedRequest {
                service,
                tenant,
                work: self.rooms.run_ms(service).unwrap_or(DEFAULT_PLAIN_MS),
                can_be_in_time: verdict.can_be_in_time(&claim),
            };
            claim.yields = self.fairness.yields(offer, draw, now);
        }
        let share = request
            .tenant
            .map(|tenant| self.fairness.inputs(service, tenant, now));
        Some(PlainClaim {
            verdict: self.rooms.decide(service, load, &claim),
            load,
            claim,
            share: share.unwrap_or_default(),
            interval: self.rooms.run_ms(service).map(|run_ms| {
                #[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
                let daemons = self.daemons as f64;
                Duration::from_secs_f64(run_ms * daemons / load.slots / MS_PER_S)
            }),
        })
    }

    /// Load of the plain back ends that may take a request.
    fn plain_load(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        request: &PlainRequest<'_>,
        now: Instant,
    ) -> KnownLoad {
        // Back ends that are a fallback now take requests again soon, so they count as room.
        let mut usable = ready.to_vec();
        usable.retain(|back_end| {
            is_plain(back_end) && self.eligibility(back_end, tried, now) != Eligibility::Excluded
        });
        let slots = usable.iter().map(|back_end| f64::from(back_end.slots));
        let requests = usable
            .iter()
            .map(|back_end| self.load.requests(&back_end.id));
        KnownLoad {
            slots: slots.sum(),
            requests: requests.sum(),
            returning: self
                .returns
                .expected_within(request.service, request.target_left, now),
            all_full_for: self.all_full_for(&usable, now),
        }
    }

    /// Time until one of these back ends may be asked again, if each has just refused a request.
    fn all_full_for(&self, usable: &[Arc<BackEnd>], now: Instant) -> Option<Duration> {
        let mut shortest = None;
        for back_end in usable {
            let remaining = self.suspended_for(back_end, now)?;
            shortest = Some(shortest.map_or(remaining, |known: Duration| known.min(remaining)));
        }
        shortest
    }

    fn suspended_for(&self, back_end: &BackEnd, now: Instant) -> Option<Duration> {
        let suspension = self.suspensions.get(&back_end.id)?;
        let holds = suspension.until > now && suspension.stage == back_end.stage;
        holds.then(|| suspension.until - now)
    }

    /// Chooses a plain back end: of one drawn at random in this daemon's zone and another drawn from
    /// all, the one with the lower expected time.
    pub(super) fn choose_plain_by_room(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        let usable = self.usable(ready, tried, now, is_plain);
        let lowest_failure_factor = self.lowest_failure_factor(&usable);
        let is_sound = |back_end: &&Arc<BackEnd>| {
            let factor = self.health.cost_factor(&back_end.id);
            factor <= lowest_failure_factor * MAX_SOUND_FACTOR
        };
        let (sound, mut failing): (Vec<&Arc<BackEnd>>, Vec<&Arc<BackEnd>>) =
            usable.iter().partition(&is_sound);
        let (mut near, mut others): (Vec<&Arc<BackEnd>>, Vec<&Arc<BackEnd>>) = sound
            .into_iter()
            .partition(|back_end| back_end.zone == self.zone);
        let first = draw(&mut near, 1, random);
        others.append(&mut near);
        // One that fails more than the others gets what they have no room for.
        let drawn = first
            .into_iter()
            .chain(draw(&mut others, OTHERS_COMPARED, random))
            .chain(draw(&mut failing, 1, random));
        let compared = drawn.map(|back_end| {
            // Small differences are chance; they would send all requests to one of the sound ones.
            let failure_factor = if is_sound(&back_end) {
                1.0
            } else {
                self.health.cost_factor(&back_end.id) / lowest_failure_factor
            };
            let time_ms = self.plain_time_ms(back_end, now);
            Candidate {
                back_end,
                cost_ms: time_ms * failure_factor + self.zone_ms(back_end),
            }
        });
        compared
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
            .map(|cheapest| Arc::clone(cheapest.back_end))
    }

    /// Expected time of a request at a plain back end, in milliseconds.
    fn plain_time_ms(&self, back_end: &BackEnd, now: Instant) -> f64 {
        let run_ms = self
            .speed
            .plain_ms(&back_end.id)
            .or_else(|| self.rooms.rough_run_ms(&back_end.service))
            .unwrap_or(DEFAULT_PLAIN_MS);
        let ahead = self.load.expected_requests(&back_end.id, run_ms, now);
        let occupancy = (ahead + 1.0) / f64::from(back_end.slots.max(1));
        let wait_share = (occupancy - BUSY_SHARE).max(0.0);
        run_ms * self.slowness(back_end, now) * (1.0 + wait_share)
    }

    /// Failures that all back ends have in common come from the application and say nothing about
    /// one of them.
    fn lowest_failure_factor(&self, back_ends: &[Arc<BackEnd>]) -> f64 {
        let factors = back_ends
            .iter()
            .map(|back_end| self.health.cost_factor(&back_end.id));
        factors.min_by(f64::total_cmp).unwrap_or(1.0)
    }
}

fn is_plain(back_end: &BackEnd) -> bool {
    back_end.stage != Some(Stage::Prefill)
}

/// Draws `count` different back ends, or all if there are no more.
fn draw<'a>(
    back_ends: &mut Vec<&'a Arc<BackEnd>>,
    count: usize,
    random: &mut impl Rng,
) -> Vec<&'a Arc<BackEnd>> {
    let mut drawn = Vec::new();
    while drawn.len() < count && !back_ends.is_empty() {
        let index = random.random_range(0..back_ends.len());
        drawn.push(back_ends.swap_remove(index));
    }
    drawn
}
