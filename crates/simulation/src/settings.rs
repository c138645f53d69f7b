//! Settings of a simulation.

use std::time::Duration;

/// One-way delays by distance. Tokio's timers have a resolution of 1 ms, so arrival times are
/// rounded up to whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencySettings {
    /// Within one host.
    pub same_host: Duration,
    /// Between two hosts of the same zone.
    pub same_zone: Duration,
    /// Between two zones of the same region.
    pub same_region: Duration,
    /// Between two regions.
    pub between_regions: Duration,
    /// Maximum random delay added to each packet between two hosts.
    pub jitter: Duration,
}

impl Default for LatencySettings {
    fn default() -> Self {
        Self {
            same_host: Duration::ZERO,
            same_zone: Duration::from_micros(250),
            same_region: Duration::from_micros(1_500),
            between_regions: Duration::from_millis(15),
            jitter: Duration::from_micros(500),
        }
    }
}

/// Datagram faults. Probabilities must be between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DatagramFaults {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplication: f64,
    /// Probability that a datagram is delayed further, so that later ones can overtake it.
    pub reordering: f64,
    /// Maximum additional delay of a reordered datagram.
    pub reordering_delay: Duration,
}

/// Settings of a simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct SimulationSettings {
    /// Seed from which all random choices are derived.
    pub seed: u64,
    /// Network delays.
    pub latency: LatencySettings,
    /// Initial datagram faults.
    pub datagram_faults: DatagramFaults,
    /// Time without an acknowledgement after which a sender aborts a connection.
    pub retransmission_limit: Duration,
    /// Maximum number of bytes per direction of a connection that were sent but not yet read.
    pub window_bytes: usize,
    /// Number of polls at one instant above which a host is considered stuck in a busy loop.
    pub polls_per_instant_limit: u32,
    /// Maximum number of trace entries kept. Later entries only go into the hash.
    pub trace_capacity: usize,
}

impl SimulationSettings {
    /// Returns the default settings with the given seed.
    #[must_use]
    pub fn with_seed(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            latency: LatencySettings::default(),
            datagram_faults: DatagramFaults::default(),
            retransmission_limit: Duration::from_secs(30),
            window_bytes: 256 * 1024,
            polls_per_instant_limit: 100_000,
            trace_capacity: 1_000_000,
        }
    }
}
