//! Estimates the demand that a role split can serve within the latency targets.

use std::time::Duration;

use super::split::RoleSplit;

/// Number of bisection steps for the served share; leaves an error of 2^-20 of the range.
const BISECTION_STEPS: u32 = 20;
/// Upper bound of the served share; more spare capacity than this makes no difference.
const MAXIMUM_SERVED_SHARE: f64 = 4.0;
/// Lower bound of the demand; avoids division by zero.
const MINIMUM_TOKENS_PER_SECOND: f64 = 1.0;
/// Share of requests that miss their targets due to queueing when capacity equals mean demand.
const LOSS_AT_FULL_LOAD: f64 = 0.11;
/// Exponential decay rate of that loss with the spare share of capacity.
const LOSS_DECAY: f64 = 5.0;
/// Exponent applied to the served share when capacity is short, because queueing wastes some of it.
const SHORTAGE_EXPONENT: f64 = 1.5;

/// Latency targets of interactive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Time to first token.
    pub first_token: Duration,
    /// Time between output tokens.
    pub token_interval: Duration,
}

impl Default for LatencyTargets {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(910),
            token_interval: Duration::from_millis(59),
        }
    }
}

/// Demand as rates per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenDemand {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second that require prefill because no prefix cache holds them.
    pub uncached_prompt_tokens: f64,
    /// Prompt tokens per second, cached or not.
    pub prompt_tokens: f64,
    /// Output tokens per second.
    pub output_tokens: f64,
}

impl TokenDemand {
    /// The sum of two demands.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            uncached_prompt_tokens: self.uncached_prompt_tokens + other.uncached_prompt_tokens,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            output_tokens: self.output_tokens + other.output_tokens,
        }
    }

    /// Converts totals over `seconds` to mean rates.
    #[must_use]
    pub fn over(self, seconds: f64) -> Self {
        let seconds = seconds.max(f64::MIN_POSITIVE);
        Self {
            requests: self.requests / seconds,
            uncached_prompt_tokens: self.uncached_prompt_tokens / seconds,
            prompt_tokens: self.prompt_tokens / seconds,
            output_tokens: self.output_tokens / seconds,
        }
    }

    /// Tokens of KV cache that a request needs on average for its prompt and output; at least 1.
    fn cache_tokens(self) -> f64 {
        let requests = self.requests.max(f64::MIN_POSITIVE);
        ((self.prompt_tokens + self.output_tokens) / requests).max(1.0)
    }
}

/// Capacity of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Prefill throughput in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Fixed duration of a decode step, in seconds.
    pub decode_base_seconds: f64,
    /// Additional duration of a decode step per sequence, in seconds.
    pub decode_sequence_seconds: f64,
    /// Maximum number of concurrent sequences.
    pub maximum_sequences: f64,
    /// Capacity of the KV cache in tokens.
    pub kv_cache_tokens: f64,
}

impl Default for EngineCapacity {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000.0,
            decode_base_seconds: 0.020,
            decode_sequence_seconds: 0.000_25,
            maximum_sequences: 128.0,
            kv_cache_tokens: 200_000.0,
        }
    }
}

impl EngineCapacity {
    /// Share of the demand that a split can serve: 1 means exactly all of it; at most 4.
    ///
    /// The mean of two estimates: dedicated and mixed engines serving separate requests, and mixed
    /// engines serving only what exceeds the capacity of the dedicated ones.
    #[must_use]
    pub fn served_share(
        &self,
        split: RoleSplit,
        demand: TokenDemand,
        targets: LatencyTargets,
    ) -> f64 {
        let without_overflow = self.disaggregated_share(split, demand, targets)
            + self.largest_share(|share| {
                let prefill_rate = share * demand.uncached_prompt_tokens;
                let decode_rate = share * demand.output_tokens;
                self.mixed_can_serve(split.mixed, demand, targets, prefill_rate, decode_rate)
            });
        let with_overflow = self.overflow_to_mixed_share(split, demand, targets);
        f64::midpoint(without_overflow, with_overflow).min(MAXIMUM_SERVED_SHARE)
    }

    /// Share of requests expected to meet the latency targets. Queueing causes some losses even
    /// below full load.
    #[must_use]
    pub fn goodput(&self, split: RoleSplit, demand: TokenDemand, targets: LatencyTargets) -> f64 {
        let share = self.served_share(split, demand, targets);
        if share < 1.0 {
            return share.powf(SHORTAGE_EXPONENT) * (1.0 - LOSS_AT_FULL_LOAD);
        }
        1.0 - LOSS_AT_FULL_LOAD * (-LOSS_DECAY * (share - 1.0)).exp()
    }

    /// Share of the demand that dedicated prefill and decode engines can serve.
    fn disaggregated_share(
        &self,
        split: RoleSplit,
        demand: TokenDemand,
        targets: LatencyTargets,
    ) -> f64 {
        let prefill_rate = f64::from(split.prefill) * self.prefill_tokens_per_second;
        let decode_rate = self.decode_rate(split.decode, demand, targets);
        let prefill_share =
            prefill_rate / demand.uncached_prompt_tokens.max(MINIMUM_TOKENS_PER_SECOND);
        let decode_share = decode_rate / demand.output_tokens.max(MINIMUM_TOKENS_PER_SECOND);
        prefill_share.min(decode_share)
    }

    /// Output tokens per second of the given number of decode engines.
    fn decode_rate(&self, engines: u32, demand: TokenDemand, targets: LatencyTargets) -> f64 {
        let sequences = self.sequences(demand, targets.token_interval.as_secs_f64());
        let step = self.decode_base_seconds + self.decode_sequence_seconds * sequences;
        f64::from(engines) * sequences / step
    }

    /// Number of concurrent sequences that fit the step duration, the KV cache and the engine's
    /// limit.
    fn sequences(&self, demand: TokenDemand, step_seconds: f64) -> f64 {
        let latency_limit =
            (step_seconds - self.decode_base_seconds) / self.decode_sequence_seconds;
        let cache_limit = self.kv_cache_tokens / demand.cache_tokens();
        latency_limit
            .min(cache_limit)
            .min(self.maximum_sequences)
            .max(0.0)
    }

    /// Share of the demand served if mixed engines take only the work that exceeds the capacity of
    /// the dedicated prefill and decode engines.
    fn overflow_to_mixed_share(
        &self,
        split: RoleSplit,
        demand: TokenDemand,
        targets: LatencyTargets,
    ) -> f64 {
        let has_dedicated_pair = split.prefill > 0 && split.decode > 0;
        let pair_factor = if has_dedicated_pair { 1.0 } else { 0.0 };
        let dedicated_prefill_rate =
            pair_factor * f64::from(split.prefill) * self.prefill_tokens_per_second;
        let dedicated_decode_rate = pair_factor * self.decode_rate(split.decode, demand, targets);
        self.largest_share(|share| {
            let prefill_rate = share * demand.uncached_prompt_tokens - dedicated_prefill_rate;
            let decode_rate = share * demand.output_tokens - dedicated_decode_rate;
            self.mixed_can_serve(
                split.mixed,
                demand,
                targets,
                prefill_rate.max(0.0),
                decode_rate.max(0.0),
            )
        })
    }

    /// The largest share for which `is_served` holds. The predicate must be monotonic: if it holds
    /// for a share, it must hold for every smaller one.
    fn largest_share(&self, is_served: impl Fn(f64) -> bool) -> f64 {
        let (mut low, mut high) = (0.0, MAXIMUM_SERVED_SHARE);
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            if is_served(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Whether mixed engines can sustain the given prefill and decode rates, in tokens per second.
    /// Time that an engine spends on prefill is not available for decode steps.
    fn mixed_can_serve(
        &self,
        engines: u32,
        demand: TokenDemand,
        targets: LatencyTargets,
        prefill_rate: f64,
        decode_rate: f64,
    ) -> bool {
        if prefill_rate <= 0.0 && decode_rate <= 0.0 {
            return true;
        }
        if engines == 0 {
            return false;
        }
        let engines = f64::from(engines);
        let prefill_time_share = prefill_rate / engines / self.prefill_tokens_per_second;
        if prefill_time_share >= 1.0 {
            return false;
        }
        let interval = targets.token_interval.as_secs_f64();
        let sequences = self.sequences(demand, interval * (1.0 - prefill_time_share));
        let step = self.decode_base_seconds + self.decode_sequence_seconds * sequences;
        decode_rate <= engines * (1.0 - prefill_time_share) * sequences / step
    }
}
