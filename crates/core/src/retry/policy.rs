//! Retry policy for failed attempts.

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
    /// Maximum number of attempts per request, including the first.
    pub maximum_attempts: u32,
    /// Upper bound of the delay before the first retry; doubled for each further retry.
    pub base_delay: Duration,
    /// Upper bound of any retry delay.
    pub max_delay: Duration,
    /// Retry budget.
    pub budget: RetryBudgetSettings,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            maximum_attempts: 3,
            base_delay: Duration::from_millis(10),
            max_delay: Duration::from_millis(500),
            budget: RetryBudgetSettings::default(),
        }
    }
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GiveUpReason {
    /// Part of the answer was already forwarded to the caller.
    #[error(
        "part of the answer was already forwarded; send the request again if it is safe to repeat"
    )]
    FirstByteSent,
    /// The request may have run and must not run twice.
    #[error(
        "the request may have run and must not be repeated; ask for its outcome before sending it again"
    )]
    NotRepeatable,
    /// The maximum number of attempts was reached.
    #[error("all attempts failed; retry later")]
    AttemptsUsed,
    /// Another attempt is not expected to finish before the deadline.
    #[error("there is no time left for another attempt; send the request with a later deadline")]
    DeadlineTooNear,
    /// The retry budget is exhausted.
    #[error("the retry budget is exhausted because too many requests are failing; retry later")]
    BudgetUsed,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again.
    Retry {
        /// Delay before the retry.
        after: Duration,
        /// Back end that must not be chosen again for this request.
        exclude: MachineId,
        /// Zone to avoid, if it may have caused the failure.
        avoid_zone: Option<ZoneName>,
    },
    /// Answer the caller immediately.
    GiveUp {
        /// Why the request is not retried.
        reason: GiveUpReason,
        /// Whether the request may have run, over all attempts.
        execution: Execution,
    },
}

/// Retry policy shared by all requests of one daemon.
#[derive(Debug, Clone)]
pub struct RetryPolicy {
    settings: RetrySettings,
    budget: RetryBudget,
    random: SeededRandom,
}

impl RetryPolicy {
    /// Creates a policy with a fresh budget.
    #[must_use]
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            settings,
            budget: RetryBudget::new(settings.budget),
            random: seeded(seed, "retry"),
        }
    }

    /// Records a successful request, which adds to the retry budget.
    pub fn succeeded(&mut self, now: Timestamp) {
        self.budget.succeeded(now);
    }

    /// Decides whether to retry after a failed attempt. A retry is charged to the budget.
    pub fn decide(
        &mut self,
        now: Timestamp,
        outcome: &AttemptOutcome,
        facts: &RequestFacts,
    ) -> RetryDecision {
        let record = facts.earlier.with(outcome.failure.execution());
        let execution = record.combined();
        let after = self.delay(record.attempts());
        if let Some(reason) =
            self.reason_to_give_up(now, after, record.attempts(), execution, facts)
        {
            return RetryDecision::GiveUp { reason, execution };
        }
        let zone_suspected = outcome.failure.suggests_zone_failure();
        RetryDecision::Retry {
            after,
            exclude: outcome.back_end,
            avoid_zone: zone_suspected.then(|| outcome.zone.clone()),
        }
    }

    /// The first reason against a retry. The budget is checked last so that only actual retries are
    /// charged.
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
        if !self.budget.try_consume(now) {
            return Some(GiveUpReason::BudgetUsed);
        }
        None
    }

    /// Exponential backoff with full jitter: uniform between zero and a bound that doubles per
    /// attempt.
    fn delay(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let bound = self.settings.base_delay.saturating_mul(1 << doublings);
        let bound = bound.min(self.settings.max_delay);
        bound.mul_f64(self.random.random::<f64>())
    }
}
