//! What is known of a request and of its attempts.

use std::time::Duration;

use crate::{Execution, MachineId, Timestamp, ZoneName};

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request reached the back end: no connection, or no back end was chosen.
    NotSent,
    /// The back end said that it did not run the request.
    RefusedNotRun,
    /// The back end answered with an error status and did not say whether it ran the request.
    ErrorStatus {
        /// The HTTP status.
        status: u16,
    },
    /// No answer came in time.
    TimedOut,
    /// The connection broke after the request was sent, in whole or part.
    ConnectionLost,
    /// The answer could not be made whole.
    AnswerBroken,
}

impl AttemptFailure {
    /// What the failure tells of the request's execution.
    #[must_use]
    pub const fn execution(self) -> Execution {
        match self {
            Self::NotSent | Self::RefusedNotRun => Execution::NotStarted,
            Self::ErrorStatus { .. }
            | Self::TimedOut
            | Self::ConnectionLost
            | Self::AnswerBroken => Execution::Unknown,
        }
    }

    /// Whether the failure may come from the back end's zone rather than from its load.
    #[must_use]
    pub const fn suggests_zone_failure(self) -> bool {
        matches!(self, Self::NotSent | Self::TimedOut | Self::ConnectionLost)
    }
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// The back end.
    pub back_end: MachineId,
    /// Its zone.
    pub zone: ZoneName,
    /// How it failed.
    pub failure: AttemptFailure,
}

/// What is known of a request's execution over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ExecutionRecord {
    maybe_started: bool,
    attempts: u32,
}

impl ExecutionRecord {
    /// Adds what an attempt told. One attempt that may have run makes the whole unknown for good.
    #[must_use]
    pub const fn with(self, execution: Execution) -> Self {
        Self {
            maybe_started: self.maybe_started || matches!(execution, Execution::Unknown),
            attempts: self.attempts.saturating_add(1),
        }
    }

    /// What may be stated: [`Execution::NotStarted`] only when every attempt is known not to have run.
    #[must_use]
    pub const fn combined(self) -> Execution {
        if self.maybe_started {
            Execution::Unknown
        } else {
            Execution::NotStarted
        }
    }

    /// Number of attempts.
    #[must_use]
    pub const fn attempts(self) -> u32 {
        self.attempts
    }
}

/// What is known of a request when one of its attempts failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the service allows a request to run more than once.
    pub repeatable: bool,
    /// Whether a byte of the answer was passed on to the caller.
    pub first_byte_sent: bool,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Time that a further attempt is expected to take.
    pub expected_service: Duration,
    /// The attempts before the one that failed now.
    pub earlier: ExecutionRecord,
}
