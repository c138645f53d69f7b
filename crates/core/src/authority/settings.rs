//! Settings of controller elections.

use std::time::Duration;

/// Timing and limits of controller elections and their leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuthoritySettings {
    /// Time to live of the lease, in whole seconds.
    pub time_to_live: Duration,
    /// Time between two renewals of the lease.
    pub keep_alive_period: Duration,
    /// Subtracted from the lease's time to live, since clocks may run at different speeds.
    pub clock_margin: Duration,
    /// The candidate of rank `n` waits `n` times this long before it calls the service.
    pub rank_delay: Duration,
    /// Daemons of this rank and above do not take part in the election.
    pub maximum_rank: u32,
    /// Time between two reads of the key by a follower, if no watch reports a change sooner. A
    /// random part of up to the same length is added.
    pub key_read_period: Duration,
    /// Delay after the first failed call.
    pub backoff_minimum: Duration,
    /// Longest delay after failed calls.
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
