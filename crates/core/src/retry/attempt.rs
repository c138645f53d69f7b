//! State of a request and its attempts, as input of retry decisions.

use std::time::Duration;

use crate::{Execution, MachineId, Timestamp, ZoneName};

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request reached the back end: no connection, or no back end was chosen.
    NotSent,
    /// The back end stated that it did not run the request.
    RefusedNotRun,
    /// The back end answered with an error status and did not say whether it ran the request.
    ErrorStatus {
        /// The HTTP status.
        status: u16,
    },
    /// No answer arrived in time.
    TimedOut,
    /// The connection broke after all or part of the request was sent.
    ConnectionLost,
    /// The answer was incomplete or invalid.
    AnswerBroken,
}

impl AttemptFailure {
    /// Whether the back end may have run the request despite the failure.
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

    /// Whether the cause may be the back end's zone rather than its load.
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

/// Whether a request may have run, over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ExecutionRecord {
    maybe_started: bool,
    attempts: u32,
}

impl ExecutionRecord {
    /// Adds the result of one attempt. Once an attempt may have run, the combined result stays
    /// [`Execution::Unknown`].
    #[must_use]
    pub const fn with(self, execution: Execution) -> Self {
        Self {
            maybe_started: self.maybe_started || matches!(execution, Execution::Unknown),
            attempts: self.attempts.saturating_add(1),
        }
    }

    /// Combined result: [`Execution::NotStarted`] only if every attempt is known not to have run.
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

/// Properties of a request when one of its attempts has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the service allows a request to run more than once.
    pub repeatable: bool,
    /// Whether a byte of the answer was forwarded to the caller.
    pub first_byte_sent: bool,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Expected duration of another attempt.
    pub expected_service: Duration,
    /// Record of the attempts before the one that just failed.
    pub earlier: ExecutionRecord,
}
