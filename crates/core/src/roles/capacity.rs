//! What a role split can serve within the latency targets.

use std::time::Duration;

use super::split::RoleSplit;

/// Steps of the bisection for mixed engines; 2^-20 of the answer is left.
const BISECTION_STEPS: u32 = 20;
/// Largest multiple of the demand that is told apart: more than enough is enough.
const LARGEST_SHARE: f64 = 4.0;
/// Smallest demand that is reckoned with, in tokens a second.
const SMALLEST_DEMAND: f64 = 1.0;
/// Share of requests lost to queues where capacity just equals the mean demand.
const LOSS_AT_FULL_LOAD: f64 = 0.11;
/// How fast that loss falls with the spare capacity.
const LOSS_DECAY: f64 = 5.0;
/// Power of the served share by which goodput falls when capacity is short: queues waste some of it.
const SHORTAGE_POWER: f64 = 1.5;

/// Latency targets of interactive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
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

/// Demand in tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenDemand {
    /// Requests a second.
    pub requests: f64,
    /// Prompt tokens a second that have to be read (not found in a prefix cache).
    pub uncached_prompt_tokens: f64,
    /// All prompt tokens a second.
    pub prompt_tokens: f64,
    /// Tokens a second to generate.
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

    /// The mean a second, when this is a sum over `seconds`.
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

    /// Mean KV cache of a request half way through its answer, in tokens.
    fn cache_tokens(self) -> f64 {
        let requests = self.requests.max(f64::MIN_POSITIVE);
        ((self.prompt_tokens + self.output_tokens) / requests).max(1.0)
    }
}

/// What one engine can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCapacity {
    /// Prompt tokens read a second.
    pub prefill_tokens_per_second: f64,
    /// Seconds of a decode step without any sequence.
    pub decode_base_seconds: f64,
    /// Seconds that each sequence adds to a decode step.
    pub decode_sequence_seconds: f64,
    /// Most sequences at once.
    pub maximum_sequences: f64,
    /// Tokens that the KV cache holds.
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
    /// Share of the demand that a split can serve, 1 for just all of it, at most 4.
    #[must_use]
    pub fn served_share(
        &self,
        split: RoleSplit,
        demand: TokenDemand,
        targets: LatencyTargets,
    ) -> f64 {
        let alike = self.handover_share(split, demand, targets)
            + self.largest_share(|share| {
                let read = share * demand.uncached_prompt_tokens;
                let generated = share * demand.output_tokens;
                self.mixed_can_serve(split.mixed, demand, targets, read, generated)
            });
        let divided = self.divided_share(split, demand, targets);
        f64::midpoint(alike, divided).min(LARGEST_SHARE)
    }

    /// Share of the demand's requests that end in time: queues cost some even before the capacity is
    /// used up.
    #[must_use]
    pub fn goodput(&self, split: RoleSplit, demand: TokenDemand, targets: LatencyTargets) -> f64 {
        let share = self.served_share(split, demand, targets);
        if share < 1.0 {
            return share.powf(SHORTAGE_POWER) * (1.0 - LOSS_AT_FULL_LOAD);
        }
        1.0 - LOSS_AT_FULL_LOAD * (-LOSS_DECAY * (share - 1.0)).exp()
    }

    fn handover_share(
        &self,
        split: RoleSplit,
        demand: TokenDemand,
        targets: LatencyTargets,
    ) -> f64 {
        let read = f64::from(split.prefill) * self.prefill_tokens_per_second;
        let generated = self.generated(split.decode, demand, targets);
        let read_share = read / demand.uncached_prompt_tokens.max(SMALLEST_DEMAND);
        let generated_share = generated / demand.output_tokens.max(SMALLEST_DEMAND);
        read_share.min(generated_share)
    }

    /// Tokens a second that decode engines generate.
    fn generated(&self, engines: u32, demand: TokenDemand, targets: LatencyTargets) -> f64 {
        let sequences = self.sequences(demand, targets.token_interval.as_secs_f64());
        let step = self.decode_base_seconds + self.decode_sequence_seconds * sequences;
        f64::from(engines) * sequences / step
    }

    /// Sequences decoded at once within a time for each step, the KV cache and the engine's bound.
    fn sequences(&self, demand: TokenDemand, step_seconds: f64) -> f64 {
        let in_time = (step_seconds - self.decode_base_seconds) / self.decode_sequence_seconds;
        let in_cache = self.kv_cache_tokens / demand.cache_tokens();
        in_time.min(in_cache).min(self.maximum_sequences).max(0.0)
    }

    /// Share served when mixed engines take just what the dedicated ones leave: requests with long prompts
    /// are handed over, the others go to mixed engines.
    fn divided_share(&self, split: RoleSplit, demand: TokenDemand, targets: LatencyTargets) -> f64 {
        let has_pair = split.prefill > 0 && split.decode > 0;
        let dedicated = if has_pair { 1.0 } else { 0.0 };
        let reads = dedicated * f64::from(split.prefill) * self.prefill_tokens_per_second;
        let generates = dedicated * self.generated(split.decode, demand, targets);
        self.largest_share(|share| {
            let read = share * demand.uncached_prompt_tokens - reads;
            let generated = share * demand.output_tokens - generates;
            self.mixed_can_serve(
                split.mixed,
                demand,
                targets,
                read.max(0.0),
                generated.max(0.0),
            )
        })
    }

    /// The largest share for which `serves` holds; it must hold for every smaller one too.
    fn largest_share(&self, serves: impl Fn(f64) -> bool) -> f64 {
        let (mut low, mut high) = (0.0, LARGEST_SHARE);
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            if serves(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Whether mixed engines can read and generate so many tokens a second: one that reads for a part of
    /// its time has the rest for decode steps.
    fn mixed_can_serve(
        &self,
        engines: u32,
        demand: TokenDemand,
        targets: LatencyTargets,
        read: f64,
        generated: f64,
    ) -> bool {
        if read <= 0.0 && generated <= 0.0 {
            return true;
        }
        if engines == 0 {
            return false;
        }
        let engines = f64::from(engines);
        let reading = read / engines / self.prefill_tokens_per_second;
        if reading >= 1.0 {
            return false;
        }
        let interval = targets.token_interval.as_secs_f64();
        let sequences = self.sequences(demand, interval * (1.0 - reading));
        let step = self.decode_base_seconds + self.decode_sequence_seconds * sequences;
        generated <= engines * (1.0 - reading) * sequences / step
    }
}
