//! Outstanding work per back end: this daemon's own, and that of its peers as last reported.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::BackEnd;

/// Reports of peers expire after this time.
const PEER_REPORT_TTL: Duration = Duration::from_secs(3);
/// Average unprocessed share of a prompt that an engine has already started.
const REMAINING_SHARE_OF_STARTED: f64 = 0.5;
/// Minimum interval between removals of expired reports.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Work queued or running at one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outstanding {
    /// Number of requests.
    pub requests: f64,
    /// Requests whose first event has arrived.
    pub generating: f64,
    /// Late requests whose first event has not arrived; requests on time get slots before them.
    pub late_waiting: f64,
    /// Unprocessed prompt tokens of requests that can be on time.
    pub prompt_tokens: f64,
    /// Unprocessed prompt tokens of late requests; engines process them only when nothing else
    /// waits.
    pub late_tokens: f64,
}

/// Whether a request can still meet its latency target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It can; it has priority.
    InTime,
    /// It cannot; it uses capacity left by other requests.
    Late,
}

impl Urgency {
    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
        }
    }
}

impl Outstanding {
    /// Prompt tokens processed before those of a new request. An engine prefers the more urgent
    /// prompt but completes one that it has started.
    #[must_use]
    pub fn tokens_ahead(&self, urgency: Urgency) -> f64 {
        match urgency {
            Urgency::InTime => {
                let average_late_tokens = self.late_tokens / self.late_waiting.max(1.0);
                self.prompt_tokens + average_late_tokens * REMAINING_SHARE_OF_STARTED
            }
            Urgency::Late => self.prompt_tokens + self.late_tokens,
        }
    }

    /// Requests that get a slot before a new one.
    #[must_use]
    pub fn requests_ahead(&self, urgency: Urgency) -> f64 {
        match urgency {
            Urgency::InTime => (self.requests - self.late_waiting).max(0.0),
            Urgency::Late => self.requests,
        }
    }

    fn end_late_wait(&mut self, urgency: Urgency) {
        if urgency == Urgency::Late {
            self.late_waiting = (self.late_waiting - 1.0).max(0.0);
        }
    }

    fn tokens_of(&mut self, urgency: Urgency) -> &mut f64 {
        match urgency {
            Urgency::InTime => &mut self.prompt_tokens,
            Urgency::Late => &mut self.late_tokens,
        }
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.generating += other.generating;
        self.late_waiting += other.late_waiting;
        self.prompt_tokens += other.prompt_tokens;
        self.late_tokens += other.late_tokens;
    }

    fn take(&mut self, other: Self) {
        self.requests = (self.requests - other.requests).max(0.0);
        self.generating = (self.generating - other.generating).max(0.0);
        self.late_waiting = (self.late_waiting - other.late_waiting).max(0.0);
        self.prompt_tokens = (self.prompt_tokens - other.prompt_tokens).max(0.0);
        self.late_tokens = (self.late_tokens - other.late_tokens).max(0.0);
    }
}

/// Outstanding work of one daemon at one back end.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkRow {
    /// Identifier of the back end.
    pub id: Arc<str>,
    /// Outstanding work.
    pub outstanding: Outstanding,
}

/// Complete work report of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkReport {
    /// Hash of the daemon's name and start, which identifies this run of it.
    pub origin: u64,
    /// Sequence number; a report that arrives out of order is ignored.
    pub sequence: u32,
    /// Work per back end.
    pub rows: Vec<WorkRow>,
}

/// Outstanding work at all back ends.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: HashMap<Arc<str>, Outstanding>,
    peers: HashMap<u64, PeerLoad>,
    peer_sum: HashMap<Arc<str>, Outstanding>,
    last_expiry: Option<Instant>,
}

#[derive(Debug)]
struct PeerLoad {
    received_at: Instant,
    sequence: u32,
    rows: Vec<WorkRow>,
}

impl LoadTable {
    /// Records the start of a request at a back end.
    pub fn begin(&mut self, id: &Arc<str>, prompt_tokens: f64, urgency: Urgency) {
        let own = self.own.entry(Arc::clone(id)).or_default();
        own.requests += 1.0;
        if urgency == Urgency::Late {
            own.late_waiting += 1.0;
        }
        *own.tokens_of(urgency) += prompt_tokens;
    }

    /// Records that the request's prompt has been processed.
    pub fn prompt_read(&mut self, id: &str, prompt_tokens: f64, urgency: Urgency) {
        if let Some(own) = self.own.get_mut(id) {
            let tokens = own.tokens_of(urgency);
            *tokens = (*tokens - prompt_tokens).max(0.0);
        }
    }

    /// Records the first event of a request.
    pub fn generates(&mut self, id: &str, urgency: Urgency) {
        if let Some(own) = self.own.get_mut(id) {
            own.generating += 1.0;
            own.end_late_wait(urgency);
        }
    }

    /// Records the end of a request; `generated` tells whether its first event had arrived.
    pub fn end(&mut self, id: &str, urgency: Urgency, generated: bool) {
        let Some(own) = self.own.get_mut(id) else {
            return;
        };
        own.requests -= 1.0;
        if generated {
            own.generating = (own.generating - 1.0).max(0.0);
        } else {
            own.end_late_wait(urgency);
        }
        if own.requests <= 0.0 {
            self.own.remove(id);
        }
    }

    /// Stores a report of a peer. Returns `false` if it is not newer than the last one.
    pub fn receive(&mut self, report: WorkReport, now: Instant) -> bool {
        self.expire(now);
        if let Some(known) = self.peers.get_mut(&report.origin) {
            if known.sequence >= report.sequence {
                return false;
            }
            let before = std::mem::take(&mut known.rows);
            subtract_rows(&mut self.peer_sum, &before);
        }
        for row in &report.rows {
            let peer_sum = self.peer_sum.entry(Arc::clone(&row.id)).or_default();
            peer_sum.add(row.outstanding);
        }
        let peer_load = PeerLoad {
            received_at: now,
            sequence: report.sequence,
            rows: report.rows,
        };
        self.peers.insert(report.origin, peer_load);
        true
    }

    /// Removes expired reports of peers.
    pub fn expire(&mut self, now: Instant) {
        let is_due = self
            .last_expiry
            .is_none_or(|last| now.saturating_duration_since(last) >= EXPIRY_INTERVAL);
        if !is_due {
            return;
        }
        self.last_expiry = Some(now);
        let peer_sum = &mut self.peer_sum;
        self.peers.retain(|_origin, load| {
            let is_fresh = now.saturating_duration_since(load.received_at) < PEER_REPORT_TTL;
            if !is_fresh {
                subtract_rows(peer_sum, &load.rows);
            }
            is_fresh
        });
        peer_sum.retain(|_id, work| work.requests > 0.0 || work.tokens_ahead(Urgency::Late) > 0.0);
    }

    /// This daemon's work, to be published to peers.
    #[must_use]
    pub fn own_rows(&self) -> Vec<WorkRow> {
        self.own
            .iter()
            .map(|(id, outstanding)| WorkRow {
                id: Arc::clone(id),
                outstanding: *outstanding,
            })
            .collect()
    }

    /// This daemon's requests at one back end.
    #[must_use]
    pub fn own_requests(&self, id: &str) -> f64 {
        self.own.get(id).map_or(0.0, |own| own.requests)
    }

    /// Whether this daemon has far more requests in progress than its peers have on average.
    #[must_use]
    pub fn exceeds_peers(&self) -> bool {
        /// Multiple of the average beyond the differences that an uneven distribution of callers causes.
        const FACTOR: f64 = 2.0;
        /// Difference in requests that is ignored, because small numbers vary by chance.
        const MARGIN: f64 = 4.0;
        if self.peers.is_empty() {
            return false;
        }
        let own: f64 = self.own.values().map(|work| work.requests).sum();
        let of_peers: f64 = self.peer_sum.values().map(|work| work.requests).sum();
        #[expect(clippy::cast_precision_loss, reason = "at most thousands of daemons")]
        let average = of_peers / self.peers.len() as f64;
        own > average * FACTOR + MARGIN
    }

    /// Requests of all daemons at one back end.
    #[must_use]
    pub fn requests(&self, id: &str) -> f64 {
        self.outstanding(id).requests
    }

    /// Slots held by streams of all daemons at these engines, as a number of engines.
    #[must_use]
    pub fn slots_held(&self, engines: &[Arc<BackEnd>]) -> f64 {
        let held = engines.iter().map(|engine| {
            let generating = self.outstanding(&engine.id).generating;
            generating / f64::from(engine.slots.max(1))
        });
        held.sum()
    }

    /// Outstanding work of all daemons at one back end.
    #[must_use]
    pub fn outstanding(&self, id: &str) -> Outstanding {
        let mut work = self.own.get(id).copied().unwrap_or_default();
        work.add(self.peer_sum.get(id).copied().unwrap_or_default());
        work
    }
}

fn subtract_rows(peer_sum: &mut HashMap<Arc<str>, Outstanding>, rows: &[WorkRow]) {
    for row in rows {
        if let Some(work) = peer_sum.get_mut(&row.id) {
            work.take(row.outstanding);
        }
    }
}
