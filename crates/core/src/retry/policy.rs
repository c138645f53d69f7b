//! The decision about one failed attempt.

use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::attempt::{AttemptOutcome, RequestFacts};
use super::budget::{RetryBudget, RetryBudgetSettings};
use crate::random::{SeededRandom, seeded};
use crate::{Execution, MachineId, Timestamp, ZoneName};

/// Settings of a [`RetryPolicy`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Attempts of one request in all.
    pub maximum_attempts: u32,
    /// Upper bound of the wait before the first retry; doubled at each further one.
    pub base_delay: Duration,
    /// Upper bound of any wait.
    pub longest_delay: Duration,
    /// The budget.
    pub budget: RetryBudgetSettings,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            maximum_attempts: 3,
            base_delay: Duration::from_millis(10),
            longest_delay: Duration::from_millis(500),
            budget: RetryBudgetSettings::default(),
        }
    }
}

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GiveUpReason {
    /// A part of the answer has gone to the caller.
    #[error(
        "a part of the answer was already passed on; send the request again if that is allowed"
    )]
    FirstByteSent,
    /// It may have run, and the service allows one run only.
    #[error(
        "the request may have run and must not be repeated; ask for its outcome before sending it again"
    )]
    NotRepeatable,
    /// All attempts are used.
    #[error("all attempts failed; come back later")]
    AttemptsUsed,
    /// There is no time for another attempt.
    #[error("there is no time left for another attempt; send the request with a later deadline")]
    DeadlineTooNear,
    /// Too many requests fail.
    #[error("too many requests fail at the moment; come back later")]
    BudgetUsed,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again.
    Retry {
        /// Wait before it.
        after: Duration,
        /// The back end that must not be chosen again.
        exclude: MachineId,
        /// The zone to be left for another, if the failure speaks against it.
        avoid_zone: Option<ZoneName>,
    },
    /// Answer the caller at once.
    GiveUp {
        /// Why.
        reason: GiveUpReason,
        /// What is known of the request's execution over all attempts.
        execution: Execution,
    },
}

/// Decides for all requests of one daemon.
#[derive(Debug, Clone)]
pub struct RetryPolicy {
    settings: RetrySettings,
    budget: RetryBudget,
    random: SeededRandom,
}

impl RetryPolicy {
    /// A policy with a fresh budget.
    #[must_use]
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            settings,
            budget: RetryBudget::new(settings.budget),
            random: seeded(seed, "retry"),
        }
    }

    /// A request succeeded.
    pub fn succeeded(&mut self, now: Timestamp) {
        self.budget.succeeded(now);
    }

    /// Decides about a failed attempt. A retry is taken out of the budget.
    pub fn decide(
        &mut self,
        now: Timestamp,
        outcome: &AttemptOutcome,
        facts: &RequestFacts,
    ) -> RetryDecision {
        let record = facts.earlier.with(outcome.failure.execution());
        let execution = record.combined();
        let after = self.delay(record.attempts());
        if let Some(reason) = self.reason_to_give_up(now, after, record.attempts(), execution, facts) {
            return RetryDecision::GiveUp { reason, execution };
        }
        let zone_suspected = outcome.failure.suggests_zone_failure();
        RetryDecision::Retry {
            after,
            exclude: outcome.back_end,
            avoid_zone: zone_suspected.then(|| outcome.zone.clone()),
        }
    }

    /// What forbids a retry. The budget comes last, so that only real retries use it up.
    fn reason_to_give_up(
        &mut self,
        now: Timestamp,
        after: Duration,
        attempts: u32,
        execution: Execution,
        facts: &RequestFacts,
    ) -> Option<GiveUpReason> {
        if facts.first_byte_sent {
            return Some(GiveUpReason::FirstByteSent);
        }
        if !facts.repeatable && execution == Execution::Unknown {
            return Some(GiveUpReason::NotRepeatable);
        }
        if attempts >= self.settings.maximum_attempts {
            return Some(GiveUpReason::AttemptsUsed);
        }
        if now + after + facts.expected_service > facts.deadline {
            return Some(GiveUpReason::DeadlineTooNear);
        }
        if !self.budget.take(now) {
            return Some(GiveUpReason::BudgetUsed);
        }
        None
    }

    /// Full jitter: anything from nothing to the bound, which doubles with each attempt.
    fn delay(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let bound = self.settings.base_delay.saturating_mul(1 << doublings);
        let bound = bound.min(self.settings.longest_delay);
        bound.mul_f64(self.random.random::<f64>())
    }
}
