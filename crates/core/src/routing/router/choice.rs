//! Choice among eligible back ends: samples a few and takes the one with the lowest estimated cost.

use rand::RngExt;

use super::eligible::Candidate;
use crate::EngineRole;
use crate::random::SeededRandom;
use crate::routing::placement::{
    Placement, PlacementPlan, PlacementReason, RouteTarget, RoutingRefusal,
};
use crate::routing::score::{Estimate, Scorer, seconds};

/// The cheapest sampled candidate, with the estimates of all sampled candidates.
struct Winner<'a> {
    candidate: Candidate<'a>,
    estimate: Estimate,
    weighed: Vec<Estimate>,
}

pub(super) fn choose(
    scorer: &Scorer<'_>,
    random: &mut SeededRandom,
    candidates: &[Candidate<'_>],
) -> Result<Placement, RoutingRefusal> {
    if matches!(scorer.request.target, RouteTarget::Plain { .. }) {
        let estimate = |candidate: &Candidate<'_>| scorer.plain(candidate.state);
        let winner =
            pick(scorer, random, candidates, &estimate).ok_or(RoutingRefusal::NoneServes)?;
        return Ok(single(winner, candidates.len()));
    }
    let of_role = |role| with_role(candidates, role);
    let whole = |candidate: &Candidate<'_>| scorer.engine(candidate.state, true, true);
    let prefill_estimate = |candidate: &Candidate<'_>| scorer.engine(candidate.state, true, false);
    let decode_estimate = |candidate: &Candidate<'_>| scorer.engine(candidate.state, false, true);
    let mixed = pick(scorer, random, &of_role(EngineRole::Mixed), &whole);
    let prefill = pick(
        scorer,
        random,
        &of_role(EngineRole::Prefill),
        &prefill_estimate,
    );
    let decode = pick(
        scorer,
        random,
        &of_role(EngineRole::Decode),
        &decode_estimate,
    );
    let eligible = candidates.len();
    match (mixed, prefill, decode) {
        (Some(mixed), Some(prefill), Some(decode)) => {
            let transfer = scorer.transfer(prefill.candidate.state, decode.candidate.state);
            let handover_cost = prefill.estimate.cost() + transfer + decode.estimate.cost();
            if handover_cost < mixed.estimate.cost() {
                Ok(handover(prefill, decode, transfer, eligible))
            } else {
                Ok(single(mixed, eligible))
            }
        }
        (Some(mixed), _, _) => Ok(single(mixed, eligible)),
        (None, Some(prefill), Some(decode)) => {
            let transfer = scorer.transfer(prefill.candidate.state, decode.candidate.state);
            Ok(handover(prefill, decode, transfer, eligible))
        }
        _ => Err(RoutingRefusal::NoPartner),
    }
}

fn with_role<'a>(candidates: &[Candidate<'a>], role: EngineRole) -> Vec<Candidate<'a>> {
    let fits = |candidate: &&Candidate<'_>| {
        candidate.state.engine().and_then(|engine| engine.role) == Some(role)
    };
    candidates.iter().filter(fits).copied().collect()
}

/// Samples candidates, mainly from the caller's region, and returns the cheapest.
fn pick<'a>(
    scorer: &Scorer<'_>,
    random: &mut SeededRandom,
    candidates: &[Candidate<'a>],
    estimate: &dyn Fn(&Candidate<'_>) -> Estimate,
) -> Option<Winner<'a>> {
    let region = &scorer.request.caller_region;
    let is_near = |candidate: &&Candidate<'_>| candidate.state.view.region == *region;
    let (near, far): (Vec<&Candidate<'_>>, Vec<&Candidate<'_>>) =
        candidates.iter().partition(is_near);
    let wanted = scorer.settings.sampled_candidates.max(1);
    let mut sampled = sample(random, &near, wanted);
    let from_far = if near.is_empty() { wanted } else { 1 };
    sampled.extend(sample(random, &far, from_far));
    if let Some(cached) = best_cached(scorer, random, &near)
        && !sampled.iter().any(|known| is_same_back_end(known, &cached))
    {
        sampled.push(cached);
    }
    let weighed: Vec<Estimate> = sampled
        .iter()
        .map(|candidate| Estimate {
            probe: candidate.probe,
            ..estimate(candidate)
        })
        .collect();
    let best = (0..weighed.len())
        .min_by(|&left, &right| weighed[left].cost().total_cmp(&weighed[right].cost()))?;
    Some(Winner {
        candidate: sampled[best],
        estimate: weighed[best],
        weighed,
    })
}

fn is_same_back_end(left: &Candidate<'_>, right: &Candidate<'_>) -> bool {
    left.state.view.id == right.state.view.id
}

/// Draws `count` distinct candidates at random, or all if there are fewer.
fn sample<'a>(
    random: &mut SeededRandom,
    candidates: &[&Candidate<'a>],
    count: usize,
) -> Vec<Candidate<'a>> {
    let mut pool: Vec<Candidate<'a>> = candidates.iter().map(|candidate| **candidate).collect();
    let count = count.min(pool.len());
    for position in 0..count {
        let other = random.random_range(position..pool.len());
        pool.swap(position, other);
    }
    pool.truncate(count);
    pool
}

/// The candidate that probably has the longest cached prefix, if it reaches the minimum share.
///
/// Ties are broken at random, so that a prefix cached everywhere does not concentrate requests on
/// one engine.
fn best_cached<'a>(
    scorer: &Scorer<'_>,
    random: &mut SeededRandom,
    candidates: &[&Candidate<'a>],
) -> Option<Candidate<'a>> {
    if scorer.request.prefix_blocks.is_empty() {
        return None;
    }
    let min_cached_tokens =
        f64::from(scorer.request.prompt_tokens) * scorer.settings.affinity_minimum_share;
    let mut best: Option<(f64, Candidate<'a>)> = None;
    let mut ties = 0_u32;
    for &&candidate in candidates {
        let cached = scorer.trusted_cached_tokens(candidate.state.view.id);
        if cached < min_cached_tokens || cached <= 0.0 {
            continue;
        }
        match &best {
            Some((best_tokens, _)) if cached < *best_tokens => continue,
            Some((best_tokens, _)) if cached > *best_tokens => ties = 1,
            _ => ties += 1,
        }
        if random.random_range(0..ties) == 0 {
            best = Some((cached, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

fn single(winner: Winner<'_>, eligible: usize) -> Placement {
    let estimate = winner.estimate;
    Placement {
        plan: PlacementPlan::Single {
            back_end: estimate.back_end,
        },
        reason: PlacementReason {
            expected_first_token: seconds(estimate.first_token),
            expected_total: seconds(estimate.total()),
            transfer: seconds(0.0),
            eligible,
            weighed: winner
                .weighed
                .iter()
                .map(Estimate::candidate_estimate)
                .collect(),
        },
    }
}

fn handover(prefill: Winner<'_>, decode: Winner<'_>, transfer: f64, eligible: usize) -> Placement {
    let first_token = prefill.estimate.first_token + transfer + decode.estimate.first_token;
    let generation = decode.estimate.total() - decode.estimate.first_token;
    let weighed = prefill.weighed.iter().chain(&decode.weighed);
    Placement {
        plan: PlacementPlan::Handover {
            prefill: prefill.estimate.back_end,
            decode: decode.estimate.back_end,
        },
        reason: PlacementReason {
            expected_first_token: seconds(first_token),
            expected_total: seconds(first_token + generation),
            transfer: seconds(transfer),
            eligible,
            weighed: weighed.map(Estimate::candidate_estimate).collect(),
        },
    }
}
