//! Settings of routing.

use std::time::Duration;

use super::{OutlierSettings, PrefixIndexSettings};

/// Settings of a [`super::Router`]. The defaults are the ones measured in `docs/design/routing.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// Candidates sampled and compared for each choice; 2 is the power of two choices.
    pub sampled_candidates: usize,
    /// Age at which a digest counts half and the mean of its cell the other half.
    pub digest_half_life: Duration,
    /// How old the load in a digest is when the digest arrives; own sends younger than this are added.
    pub digest_lag: Duration,
    /// One way between two zones of a region.
    pub zone_distance: Duration,
    /// One way between two regions.
    pub region_distance: Duration,
    /// Prefill rate assumed before the first observation, in tokens a second.
    pub initial_prefill_rate: f64,
    /// Time between tokens of an otherwise empty engine, assumed before the first observation.
    pub initial_token_interval: Duration,
    /// Batch size at which the time between tokens is twice that of an empty engine.
    pub batch_of_double_interval: f64,
    /// Fixed time of a hand-over of a KV cache.
    pub transfer_fixed: Duration,
    /// Further time of a hand-over for each prompt token.
    pub transfer_per_token: Duration,
    /// Weight of the delay that a prefill brings to each sequence decoded by the same engine.
    pub interference_weight: f64,
    /// Share of the KV cache from which an engine gets a penalty, in thousandths.
    pub cache_pressure_permille: u16,
    /// The penalty of an engine whose KV cache is full.
    pub cache_pressure_penalty: Duration,
    /// Share of the prompt that must look cached before the engine joins the sampled ones.
    pub affinity_minimum_share: f64,
    /// Response time assumed of a plain back end before the first observation.
    pub initial_response_time: Duration,
    /// When an own send whose end was never reported is forgotten.
    pub send_timeout: Duration,
    /// Setting failing back ends aside.
    pub outlier: OutlierSettings,
    /// The approximate index of prefix caches.
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
