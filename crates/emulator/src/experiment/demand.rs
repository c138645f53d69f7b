//! Demand of a trace, and scaling it to a share of what a fleet can serve.

use ponddrift_core::random::seeded;
use ponddrift_core::roles::{EngineCapacity, LatencyTargets, RoleSplit, TokenDemand};
use rand::RngExt;

use super::trace::ExperimentRequest;

/// Farthest that a repeated request is moved, in milliseconds.
const REPEATED_WITHIN_MS: u64 = 1_000;

/// Mean demand of the requests that engines serve. Prefix caches are not taken into account.
#[must_use]
pub fn mean_demand<'a>(
    requests: impl IntoIterator<Item = &'a ExperimentRequest>,
    seconds: f64,
) -> TokenDemand {
    let mut sum = TokenDemand::default();
    for request in requests {
        if request.is_lookup() {
            continue;
        }
        sum.requests += 1.0;
        sum.prompt_tokens += f64::from(request.prompt_tokens);
        sum.output_tokens += f64::from(request.output_tokens);
    }
    let seconds = seconds.max(f64::MIN_POSITIVE);
    TokenDemand {
        requests: sum.requests / seconds,
        uncached_prompt_tokens: sum.prompt_tokens / seconds,
        prompt_tokens: sum.prompt_tokens / seconds,
        output_tokens: sum.output_tokens / seconds,
    }
}

/// Every split of so many engines that serves.
#[must_use]
pub fn all_splits(engines: u32) -> Vec<RoleSplit> {
    let mut splits = Vec::new();
    for prefill in 0..=engines {
        for decode in 0..=(engines - prefill) {
            let mixed = engines - prefill - decode;
            splits.push(RoleSplit {
                prefill,
                decode,
                mixed,
            });
        }
    }
    splits.retain(|split| split.can_serve());
    splits
}

/// The split that serves the largest share of a steady demand, and that share.
#[must_use]
pub fn best_for(demand: TokenDemand, capacity: &EngineCapacity, engines: u32) -> (RoleSplit, f64) {
    let targets = LatencyTargets::default();
    let mut best = (RoleSplit::all_mixed(engines), 0.0);
    for split in all_splits(engines) {
        let share = capacity.served_share(split, demand, targets);
        if share > best.1 {
            best = (split, share);
        }
    }
    best
}

/// Mean demand as a share of what the fleet can serve: 1 / (largest share of it that a split serves).
#[must_use]
pub fn load_of(demand: TokenDemand, capacity: &EngineCapacity, engines: u32) -> f64 {
    // The share is bounded, so a small demand is measured at a multiple of it.
    let multiple = 1_000.0;
    let many = TokenDemand {
        requests: demand.requests * multiple,
        uncached_prompt_tokens: demand.uncached_prompt_tokens * multiple,
        prompt_tokens: demand.prompt_tokens * multiple,
        output_tokens: demand.output_tokens * multiple,
    };
    let (_split, share) = best_for(many, capacity, engines);
    1.0 / (share * multiple).max(f64::MIN_POSITIVE)
}

/// Thins or repeats the requests of a trace so that there are `factor` times as many, at the same times.
#[must_use]
pub fn scale(requests: &[ExperimentRequest], factor: f64, seed: u64) -> Vec<ExperimentRequest> {
    let mut random = seeded(seed, "experiment scale");
    let mut scaled = Vec::new();
    for request in requests {
        let mut left = factor;
        let mut copy = 0;
        while left > 0.0 {
            let kept = random.random::<f64>() < left;
            let moved = random.random_range(0..=REPEATED_WITHIN_MS);
            if kept {
                let mut request = request.clone();
                request.arrival_ms += if copy == 0 { 0 } else { moved };
                scaled.push(request);
            }
            left -= 1.0;
            copy += 1;
        }
    }
    scaled.sort_by_key(|request| request.arrival_ms);
    scaled
}
