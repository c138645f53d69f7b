//! What daemons know and tell each other of a suspect.

use std::time::Instant;

use crate::directory::IncarnationId;
use crate::fingerprint::Fingerprint;

/// What may crash engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectKind {
    /// A request as a whole.
    #[default]
    Request,
    /// A part of prompts.
    Part {
        /// Number of parts before it. Of parts that come together, the last one is in the fewest
        /// prompts.
        place: u16,
    },
}

impl SuspectKind {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Part { .. } => "part",
        }
    }
}

/// A run that was lost because its engine terminated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The engine. Each of its incarnations terminates once.
    pub engine: IncarnationId,
    /// Short fingerprint of the request, if the suspect is a part of its prompt; otherwise 0.
    pub request: u32,
    /// Start of the run.
    pub begun: Instant,
    /// Time when the engine terminated.
    pub ended: Instant,
}

/// What is known about one suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// Whether it is a request or a part.
    pub kind: SuspectKind,
    /// Hash of the tenant's name; 0 if callers are not authenticated.
    pub tenant: u32,
    /// Lost runs, ordered by the time when their engines terminated.
    pub lost_runs: Vec<LostRun>,
    /// Time of the last completed run.
    pub cleared: Option<Instant>,
}

impl Suspicion {
    /// What one lost run says against a suspect.
    #[must_use]
    pub fn of_lost_run(
        fingerprint: Fingerprint,
        kind: SuspectKind,
        tenant: u32,
        run: LostRun,
    ) -> Self {
        Self {
            fingerprint,
            kind,
            tenant,
            lost_runs: vec![run],
            cleared: None,
        }
    }
}

/// Whether a request may run; worse standings order last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Too few engines have terminated under it.
    Clear,
    /// Two engines have terminated under it. It may still run, and all daemons are informed.
    Suspected,
    /// Enough engines have terminated under it for a quarantine. It must not run until the given
    /// time, when it is quarantined unless another suspect explains the terminations.
    Pending {
        /// When the quarantine is decided.
        until: Instant,
    },
    /// The request must not run until the given time.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
}

impl Standing {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Suspected => "suspected",
            Self::Pending { .. } => "pending",
            Self::Quarantined { .. } => "quarantined",
        }
    }

    /// Whether the request is known to crash engines.
    #[must_use]
    pub const fn is_quarantined(self) -> bool {
        matches!(self, Self::Quarantined { .. })
    }
}
