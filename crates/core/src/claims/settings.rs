//! Settings of claims.

use std::time::Duration;

/// Settings of claims. They must be the same on all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClaimSettings {
    /// Time from the start of a claim within which the winner must begin its dispatch, by its own
    /// clock.
    pub dispatch_validity: Duration,
    /// Longest time that a dispatched request may run; passed to the back end as the deadline.
    pub longest_deadline: Duration,
    /// How long a member keeps a claim after it was granted or completed. Within this time,
    /// repeated requests with the same key are recognized.
    pub retention: Duration,
    /// Largest drift between the clocks of two machines, as a share of the elapsed time.
    pub clock_drift: f64,
    /// Time within which the members must answer a claim.
    pub answer_timeout: Duration,
    /// Number of rounds to try when the votes are split between claimants.
    pub rounds: u32,
    /// Longest delay before another round; the delay is random.
    pub round_delay: Duration,
    /// Most claims that a member keeps over all shards. A full member refuses new claims.
    pub maximum_claims: usize,
    /// Largest answer body that is kept for repeated requests, in bytes.
    pub maximum_answer_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            dispatch_validity: Duration::from_secs(5),
            longest_deadline: Duration::from_secs(300),
            retention: Duration::from_secs(900),
            clock_drift: 0.1,
            answer_timeout: Duration::from_millis(500),
            rounds: 3,
            round_delay: Duration::from_millis(50),
            maximum_claims: 100_000,
            maximum_answer_bytes: 4_096,
        }
    }
}

/// The retention is too short: a claim could be removed while its request is still running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the retention of claims is {retention:?}; set it to more than {needed:?}")]
pub struct InvalidClaimSettings {
    /// Configured retention.
    pub retention: Duration,
    /// Sum of the dispatch validity and the longest deadline, extended by the clock drift.
    pub needed: Duration,
}

impl ClaimSettings {
    /// Checks that a claim is kept until its request can no longer start or run.
    ///
    /// # Errors
    /// [`InvalidClaimSettings`] if the retention is too short.
    pub fn check(&self) -> Result<(), InvalidClaimSettings> {
        let active = self.dispatch_validity + self.longest_deadline;
        let needed = active.mul_f64(1.0 + self.clock_drift);
        if self.retention > needed {
            return Ok(());
        }
        Err(InvalidClaimSettings {
            retention: self.retention,
            needed,
        })
    }

    /// How long a group that starts without the claims of its predecessor refuses all claims: the
    /// retention, extended by the clock drift, after which the lost claims would have expired.
    #[must_use]
    pub fn quarantine(&self) -> Duration {
        self.retention.mul_f64(1.0 + self.clock_drift)
    }
}
