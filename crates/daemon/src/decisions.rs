//! In-memory log of this daemon's latest decisions, with reasons, for operators.
//!
//! Placements and refusals of requests are frequent, so they have a buffer of their own and cannot
//! evict other decisions.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use ponddrift_core::decision::{DecisionKind, DecisionRecord};
use ponddrift_runtime::Clock;

/// Capacity for placement and refusal decisions; the oldest are evicted first.
const REQUEST_CAPACITY: usize = 4_096;
/// Capacity for all other decisions; the oldest are evicted first.
const OTHER_CAPACITY: usize = 4_096;

/// Decision log; clones share its content.
#[derive(Clone)]
pub(crate) struct DecisionLog {
    clock: Arc<dyn Clock>,
    kept: Arc<Mutex<Kept>>,
}

/// A decision and its position in the log.
struct Entry {
    position: u64,
    record: DecisionRecord,
}

/// Bounded buffer of decisions, ordered by position.
struct DecisionRing {
    capacity: usize,
    entries: VecDeque<Entry>,
}

impl DecisionRing {
    const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    fn push(&mut self, entry: Entry) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    fn after(&self, position: u64) -> impl Iterator<Item = &Entry> {
        let first = self
            .entries
            .partition_point(|entry| entry.position <= position);
        self.entries.range(first..)
    }
}

struct Kept {
    requests: DecisionRing,
    others: DecisionRing,
    /// Total number of decisions recorded, which is the position of the newest one.
    position: u64,
}

impl Default for Kept {
    fn default() -> Self {
        Self {
            requests: DecisionRing::new(REQUEST_CAPACITY),
            others: DecisionRing::new(OTHER_CAPACITY),
            position: 0,
        }
    }
}

/// A page of the log.
pub(crate) struct DecisionPage {
    pub(crate) records: Vec<DecisionRecord>,
    /// Position of the last record of the page.
    pub(crate) position: u64,
    pub(crate) has_more: bool,
}

impl DecisionLog {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            kept: Arc::new(Mutex::new(Kept::default())),
        }
    }

    /// Records a decision and logs it.
    pub(crate) fn record(
        &self,
        kind: DecisionKind,
        subject: impl ToString,
        outcome: impl ToString,
        reason: impl ToString,
    ) {
        self.keep(DecisionRecord {
            at: self.clock.now(),
            kind,
            subject: subject.to_string(),
            outcome: outcome.to_string(),
            reason: reason.to_string(),
        });
    }

    /// Records and logs a decision that already has a timestamp.
    pub(crate) fn keep(&self, record: DecisionRecord) {
        tracing::info!(
            kind = record.kind.as_str(),
            subject = record.subject,
            outcome = record.outcome,
            reason = record.reason,
            "decision"
        );
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.position += 1;
        let position = kept.position;
        let ring = match record.kind {
            DecisionKind::Placement | DecisionKind::Refusal => &mut kept.requests,
            DecisionKind::Role
            | DecisionKind::Version
            | DecisionKind::Drain
            | DecisionKind::Authority
            | DecisionKind::Configuration => &mut kept.others,
        };
        ring.push(Entry { position, record });
    }

    /// Returns up to `limit` decisions after `position`, oldest first.
    pub(crate) fn after(&self, position: u64, limit: usize) -> DecisionPage {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mut newer: Vec<&Entry> = kept.requests.after(position).collect();
        newer.extend(kept.others.after(position));
        newer.sort_unstable_by_key(|entry| entry.position);
        let has_more = newer.len() > limit;
        newer.truncate(limit);
        DecisionPage {
            position: newer
                .last()
                .map_or(position.min(kept.position), |entry| entry.position),
            records: newer.iter().map(|entry| entry.record.clone()).collect(),
            has_more,
        }
    }
}
