//! Work in progress at back ends: our own at once, the peers' as they last told it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::BackEnd;

/// What a peer told is forgotten after this long.
const PEER_ROW_LIFE: Duration = Duration::from_secs(3);
/// Part of a prompt that is left on average when another comes.
const LEFT_OF_BEGUN: f64 = 0.5;
/// Time between two looks for what is to be forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Work that waits or runs at one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outstanding {
    /// Requests.
    pub requests: f64,
    /// Requests among them that generate: their first event has come.
    pub generating: f64,
    /// Requests among them that will be late and have not begun: more urgent ones get their places first.
    pub late_waiting: f64,
    /// Prompt tokens still to read, of requests that can be in time.
    pub prompt_tokens: f64,
    /// Prompt tokens still to read, of requests that will be late: engines read them when nothing else waits.
    pub late_tokens: f64,
}

/// Whether a request can be answered in its time in target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It can: it goes first.
    InTime,
    /// It cannot: it takes what time the others leave.
    Late,
}

impl Urgency {
    /// Name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
        }
    }
}

impl Outstanding {
    /// Prompt tokens that are read before those of a newcomer. An engine takes the more urgent prompt next, but reads the
    /// one that it has begun to its end.
    #[must_use]
    pub fn tokens_ahead(&self, urgency: Urgency) -> f64 {
        match urgency {
            Urgency::InTime => {
                let one_late = self.late_tokens / self.late_waiting.max(1.0);
                self.prompt_tokens + one_late * LEFT_OF_BEGUN
            }
            Urgency::Late => self.prompt_tokens + self.late_tokens,
        }
    }

    /// Requests that a newcomer finds in its way to a slot.
    #[must_use]
    pub fn requests_ahead(&self, urgency: Urgency) -> f64 {
        match urgency {
            Urgency::InTime => (self.requests - self.late_waiting).max(0.0),
            Urgency::Late => self.requests,
        }
    }

    fn late_no_longer_waits(&mut self, urgency: Urgency) {
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

/// One daemon's work at one back end.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkRow {
    /// Back end.
    pub id: Arc<str>,
    /// Work.
    pub outstanding: Outstanding,
}

/// All work of one daemon, as it told it.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkReport {
    /// Which daemon: a hash of its name and of this life of it.
    pub origin: u64,
    /// Counts its reports; one that comes late, by another way, changes nothing.
    pub sequence: u32,
    /// Its work.
    pub rows: Vec<WorkRow>,
}

/// Work at every back end.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: HashMap<Arc<str>, Outstanding>,
    peers: HashMap<u64, PeerLoad>,
    sum: HashMap<Arc<str>, Outstanding>,
    expired: Option<Instant>,
}

#[derive(Debug)]
struct PeerLoad {
    heard: Instant,
    sequence: u32,
    rows: Vec<WorkRow>,
}

impl LoadTable {
    /// A request begins at a back end.
    pub fn begin(&mut self, id: &Arc<str>, prompt_tokens: f64, urgency: Urgency) {
        let own = self.own.entry(Arc::clone(id)).or_default();
        own.requests += 1.0;
        if urgency == Urgency::Late {
            own.late_waiting += 1.0;
        }
        *own.tokens_of(urgency) += prompt_tokens;
    }

    /// A request's prompt has been read.
    pub fn prompt_read(&mut self, id: &str, prompt_tokens: f64, urgency: Urgency) {
        if let Some(own) = self.own.get_mut(id) {
            let tokens = own.tokens_of(urgency);
            *tokens = (*tokens - prompt_tokens).max(0.0);
        }
    }

    /// A request's first event has come.
    pub fn generates(&mut self, id: &str, urgency: Urgency) {
        if let Some(own) = self.own.get_mut(id) {
            own.generating += 1.0;
            own.late_no_longer_waits(urgency);
        }
    }

    /// A request ends; `generated`: its first event had come.
    pub fn end(&mut self, id: &str, urgency: Urgency, generated: bool) {
        let Some(own) = self.own.get_mut(id) else {
            return;
        };
        own.requests -= 1.0;
        if generated {
            own.generating = (own.generating - 1.0).max(0.0);
        } else {
            own.late_no_longer_waits(urgency);
        }
        if own.requests <= 0.0 {
            self.own.remove(id);
        }
    }

    /// Takes what a daemon tells of its work. Returns whether it was news.
    pub fn receive(&mut self, report: WorkReport, now: Instant) -> bool {
        self.expire(now);
        if let Some(known) = self.peers.get_mut(&report.origin) {
            if known.sequence >= report.sequence {
                return false;
            }
            let before = std::mem::take(&mut known.rows);
            take_away(&mut self.sum, &before);
        }
        for row in &report.rows {
            let sum = self.sum.entry(Arc::clone(&row.id)).or_default();
            sum.add(row.outstanding);
        }
        let heard = PeerLoad {
            heard: now,
            sequence: report.sequence,
            rows: report.rows,
        };
        self.peers.insert(report.origin, heard);
        true
    }

    /// Forgets what was told too long ago.
    pub fn expire(&mut self, now: Instant) {
        let is_due = self
            .expired
            .is_none_or(|last| now.saturating_duration_since(last) >= EXPIRY_INTERVAL);
        if !is_due {
            return;
        }
        self.expired = Some(now);
        let sum = &mut self.sum;
        self.peers.retain(|_origin, load| {
            let is_fresh = now.saturating_duration_since(load.heard) < PEER_ROW_LIFE;
            if !is_fresh {
                take_away(sum, &load.rows);
            }
            is_fresh
        });
        sum.retain(|_id, work| work.requests > 0.0 || work.tokens_ahead(Urgency::Late) > 0.0);
    }

    /// Own work, for telling peers.
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

    /// Own requests at one back end.
    #[must_use]
    pub fn own_requests(&self, id: &str) -> f64 {
        self.own.get(id).map_or(0.0, |own| own.requests)
    }

    /// Requests of all daemons at one back end.
    #[must_use]
    pub fn requests(&self, id: &str) -> f64 {
        self.outstanding(id).requests
    }

    /// Slots of these engines that streams of all daemons hold, in engines.
    #[must_use]
    pub fn slots_held(&self, engines: &[Arc<BackEnd>]) -> f64 {
        let held = engines.iter().map(|engine| {
            let generating = self.outstanding(&engine.id).generating;
            generating / f64::from(engine.slots.max(1))
        });
        held.sum()
    }

    /// Work of all daemons at one back end.
    #[must_use]
    pub fn outstanding(&self, id: &str) -> Outstanding {
        let mut work = self.own.get(id).copied().unwrap_or_default();
        work.add(self.sum.get(id).copied().unwrap_or_default());
        work
    }
}

fn take_away(sum: &mut HashMap<Arc<str>, Outstanding>, rows: &[WorkRow]) {
    for row in rows {
        if let Some(work) = sum.get_mut(&row.id) {
            work.take(row.outstanding);
        }
    }
}
