//! Settings of routing.

use std::time::Duration;

use super::{OutlierSettings, PrefixIndexSettings};

/// Settings of a [`super::Router`].
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// Number of candidates sampled per choice; 2 gives "power of two choices" load balancing.
    pub sampled_candidates: usize,
    /// Age at which the weight of a digest has halved in favor of the mean of its cell.
    pub digest_half_life: Duration,
    /// Age of the load in a digest when it arrives. Own sends after that time are added to it.
    pub digest_lag: Duration,
    /// One-way latency between two zones of a region.
    pub zone_distance: Duration,
    /// One-way latency between two regions.
    pub region_distance: Duration,
    /// Prefill rate assumed before the first observation, in tokens per second.
    pub initial_prefill_rate: f64,
    /// Time between tokens of an otherwise idle engine, assumed before the first observation.
    pub initial_token_interval: Duration,
    /// Batch size at which the time between tokens is twice that of an idle engine.
    pub batch_of_double_interval: f64,
    /// Fixed time of a KV cache transfer.
    pub transfer_fixed: Duration,
    /// Additional time of a KV cache transfer per prompt token.
    pub transfer_per_token: Duration,
    /// Weight of the delay that a prefill causes to each sequence decoded by the same engine.
    pub interference_weight: f64,
    /// KV cache usage above which an engine is penalized, in thousandths.
    pub cache_pressure_permille: u16,
    /// Penalty of an engine with a full KV cache.
    pub cache_pressure_penalty: Duration,
    /// Minimum fraction of the prompt that must be cached for the engine to be compared as well.
    pub affinity_minimum_share: f64,
    /// Response time of a plain back end, assumed before the first observation.
    pub initial_response_time: Duration,
    /// Time after which an own send whose end was not reported is dropped.
    pub send_timeout: Duration,
    /// Outlier detection.
    pub outlier: OutlierSettings,
    /// Prefix cache index.
    pub prefix_index: PrefixIndexSettings,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            sampled_candidates: 2,
            digest_half_life: Duration::from_secs(1),
            digest_lag: Duration::from_millis(250),
            zone_distance: Duration::from_micros(1_500),
            region_distance: Duration::from_millis(30),
            initial_prefill_rate: 8_000.0,
            initial_token_interval: Duration::from_millis(20),
            batch_of_double_interval: 32.0,
            transfer_fixed: Duration::from_millis(5),
            transfer_per_token: Duration::from_micros(10),
            interference_weight: 0.1,
            cache_pressure_permille: 900,
            cache_pressure_penalty: Duration::from_secs(1),
            affinity_minimum_share: 0.25,
            initial_response_time: Duration::from_millis(20),
            send_timeout: Duration::from_secs(600),
            outlier: OutlierSettings::default(),
            prefix_index: PrefixIndexSettings::default(),
        }
    }
}
