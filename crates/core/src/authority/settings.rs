//! Settings of elections and leases.

use std::time::Duration;

/// Times of elections and leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuthoritySettings {
    /// Time to live of the lease, in whole seconds.
    pub time_to_live: Duration,
    /// Time between two keep-alives.
    pub keep_alive_period: Duration,
    /// Taken off the lease for clocks that run at different speeds.
    pub clock_margin: Duration,
    /// The candidate of rank `n` waits `n` times this long before it stands.
    pub rank_delay: Duration,
    /// Candidates of this rank and above do not stand at all.
    pub maximum_rank: u32,
    /// A candidate looks again at the key this often, if no watch tells it sooner.
    pub key_read_period: Duration,
    /// First wait after a failed call.
    pub backoff_minimum: Duration,
    /// Longest wait after failed calls.
    pub backoff_maximum: Duration,
}

impl Default for AuthoritySettings {
    fn default() -> Self {
        Self {
            time_to_live: Duration::from_secs(10),
            keep_alive_period: Duration::from_secs(3),
            clock_margin: Duration::from_millis(500),
            rank_delay: Duration::from_secs(2),
            maximum_rank: 5,
            key_read_period: Duration::from_secs(15),
            backoff_minimum: Duration::from_millis(500),
            backoff_maximum: Duration::from_secs(20),
        }
    }
}
