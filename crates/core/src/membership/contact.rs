//! Detection of isolation from peers, by the outcomes of this daemon's latest probes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Number of latest probe outcomes that are evaluated.
const MAXIMUM_OUTCOMES: usize = 8;
/// Age after which an outcome is ignored.
const OUTCOME_LIFETIME: Duration = Duration::from_secs(10);

/// Whether this daemon reaches its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// No other daemon has ever been known.
    Alone,
    /// More than half of the latest probes were answered.
    InContact,
    /// At most half of the latest probes were answered, or there were none since the start or since
    /// the process was suspended. Its view of other daemons must not be trusted.
    Isolated,
}

/// Outcomes of the latest probes.
#[derive(Debug, Default)]
pub(super) struct ProbeHistory {
    outcomes: VecDeque<(Timestamp, bool)>,
}

impl ProbeHistory {
    /// Records the outcome of a probe. `sent` is the time of the ping, not that of the answer.
    pub fn record(&mut self, sent: Timestamp, answered: bool) {
        self.outcomes.push_back((sent, answered));
        if self.outcomes.len() > MAXIMUM_OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    /// Discards all outcomes, which say nothing about the present after a suspension of the
    /// process.
    pub fn clear(&mut self) {
        self.outcomes.clear();
    }

    /// Evaluates the outcomes that are not too old.
    pub fn evaluate(&self, now: Timestamp) -> Contact {
        let recent = self
            .outcomes
            .iter()
            .filter(|(sent, _)| now.since(*sent) <= OUTCOME_LIFETIME);
        let (answered, all) = recent.fold((0, 0), |(answered, all), (_, outcome)| {
            (answered + usize::from(*outcome), all + 1)
        });
        if answered * 2 > all {
            Contact::InContact
        } else {
            Contact::Isolated
        }
    }
}
