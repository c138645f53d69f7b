//! Requests and parts of prompts that are known to be sound.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::fingerprint::Fingerprint;

/// Requests that ran to their end recently, and parts on which engines have begun to write recently,
/// in two generations: the older one is forgotten when the newer one is full or old.
#[derive(Debug, Default)]
pub(super) struct RecentlySound {
    newer: HashMap<Fingerprint, Instant>,
    older: HashMap<Fingerprint, Instant>,
    since: Option<Instant>,
}

impl RecentlySound {
    /// A single prompt may have more than a thousand parts.
    const MAX_SUSPECTS: usize = 16_384;
    const MAX_AGE: Duration = Duration::from_secs(60);

    pub(super) fn record(&mut self, suspect: Fingerprint, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let is_old = now.saturating_duration_since(since) >= Self::MAX_AGE;
        if is_old || self.newer.len() >= Self::MAX_SUSPECTS {
            self.older = std::mem::take(&mut self.newer);
            self.since = Some(now);
        }
        self.newer.insert(suspect, now);
    }

    pub(super) fn last_seen(&self, suspect: Fingerprint) -> Option<Instant> {
        let newer = self.newer.get(&suspect);
        newer.or_else(|| self.older.get(&suspect)).copied()
    }
}
