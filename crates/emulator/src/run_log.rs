//! What a back end ran, for tests: `GET /test/runs`.

use std::sync::{Mutex, MutexGuard, PoisonError};

use http::{HeaderMap, HeaderName};
use indexmap::IndexMap;
use ponddrift_engine::wire::headers;
use serde::{Deserialize, Serialize};

/// Path of the log.
pub const RUNS_PATH: &str = "/test/runs";
/// Entries kept when nothing else is set.
pub const DEFAULT_CAPACITY: usize = 200_000;

/// Names one request in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunKey {
    /// The request's id.
    pub request_id: String,
    /// The caller's idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
}

impl RunKey {
    /// The key that a request's headers give.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Self {
        Self {
            request_id: header_text(headers, headers::REQUEST_ID).unwrap_or_default(),
            idempotency_key: header_text(headers, headers::IDEMPOTENCY_KEY),
        }
    }
}

/// Text of a header, when it is there and readable.
#[must_use]
pub fn header_text(headers: &HeaderMap, name: &'static str) -> Option<String> {
    let value = headers.get(HeaderName::from_static(name))?;
    value.to_str().ok().map(ToOwned::to_owned)
}

/// How often one request ran here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RunCounts {
    /// Times its execution started.
    pub started: u32,
    /// Times its execution ended, whole or not.
    pub ended: u32,
    /// Times it was carried out whole.
    pub whole: u32,
    /// Times its prompt was read for export only; the decode counts elsewhere.
    pub exports: u32,
    /// Times it was refused as not run.
    pub refused: u32,
}

/// One line of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// The request.
    #[serde(flatten)]
    pub key: RunKey,
    /// Its counts.
    #[serde(flatten)]
    pub counts: RunCounts,
}

/// The whole log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RunReport {
    /// Entries, oldest first.
    pub runs: Vec<RunEntry>,
    /// Entries that were dropped for space; not 0 means that the log is not whole.
    pub dropped: u64,
}

/// Bounded log of executions. It survives the crashes of the stand-in that writes it.
pub struct RunLog {
    inner: Mutex<Entries>,
    capacity: usize,
}

#[derive(Default)]
struct Entries {
    counts: IndexMap<RunKey, RunCounts>,
    dropped: u64,
}

impl RunLog {
    /// A log of at most `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            inner: Mutex::default(),
            capacity,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the counts of one request.
    pub fn record(&self, key: &RunKey, change: impl FnOnce(&mut RunCounts)) {
        let mut entries = self.lock();
        if !entries.counts.contains_key(key) && entries.counts.len() >= self.capacity {
            entries.counts.shift_remove_index(0);
            entries.dropped += 1;
        }
        change(entries.counts.entry(key.clone()).or_default());
    }

    /// Executions started so far, KV exports included.
    #[must_use]
    pub fn started(&self) -> u64 {
        let entries = self.lock();
        let counts = entries.counts.values();
        let started = counts.map(|counts| u64::from(counts.started + counts.exports));
        started.sum()
    }

    /// The log as it stands.
    #[must_use]
    pub fn report(&self) -> RunReport {
        let entries = self.lock();
        let runs = entries.counts.iter().map(|(key, counts)| RunEntry {
            key: key.clone(),
            counts: *counts,
        });
        RunReport {
            runs: runs.collect(),
            dropped: entries.dropped,
        }
    }
}
