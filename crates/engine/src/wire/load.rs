//! Metrics of an engine's load, in the Prometheus text format on `GET /metrics`.

/// Path of the metrics page.
pub const METRICS_PATH: &str = "/metrics";
/// Gauge: number of requests waiting for prefill.
pub const WAITING: &str = "engine_requests_waiting";
/// Gauge: number of sequences being decoded.
pub const RUNNING: &str = "engine_requests_running";
/// Gauge: number of prompt tokens waiting for prefill.
pub const WAITING_PROMPT_TOKENS: &str = "engine_prompt_tokens_waiting";
/// Gauge: fraction of the KV cache in use, from 0 to 1.
pub const CACHE_USED: &str = "engine_kv_cache_usage_ratio";
/// Counter: number of prefilled prompt tokens.
pub const PROMPT_TOKENS: &str = "engine_prompt_tokens_total";
/// Counter: number of generated tokens.
pub const GENERATED_TOKENS: &str = "engine_generated_tokens_total";
/// Gauge: the engine's incarnation.
pub const INCARNATION: &str = "engine_incarnation";
/// Gauge with the label `role`: 1 for the engine's current role.
pub const ROLE: &str = "engine_role";
