//! Work in progress at back ends: our own at once, the peers' as they last told it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a peer told is forgotten after this long.
const PEER_ROW_LIFE: Duration = Duration::from_secs(3);

/// Work that waits or runs at one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outstanding {
    /// Requests.
    pub requests: f64,
    /// Prompt tokens still to read.
    pub prompt_tokens: f64,
}

/// One peer's work at one back end.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerRow {
    /// Back end.
    pub id: Arc<str>,
    /// Work.
    pub outstanding: Outstanding,
}

/// Work at every back end.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: HashMap<Arc<str>, Outstanding>,
    peers: HashMap<Arc<str>, PeerLoad>,
    sum: HashMap<Arc<str>, Outstanding>,
}

#[derive(Debug)]
struct PeerLoad {
    heard: Instant,
    rows: Vec<PeerRow>,
}

impl LoadTable {
    /// A request begins at a back end.
    pub fn begin(&mut self, id: &Arc<str>, prompt_tokens: f64) {
        let own = self.own.entry(Arc::clone(id)).or_default();
        own.requests += 1.0;
        own.prompt_tokens += prompt_tokens;
    }

    /// A request's prompt has been read.
    pub fn prompt_read(&mut self, id: &str, prompt_tokens: f64) {
        if let Some(own) = self.own.get_mut(id) {
            own.prompt_tokens = (own.prompt_tokens - prompt_tokens).max(0.0);
        }
    }

    /// A request ends.
    pub fn end(&mut self, id: &str) {
        let Some(own) = self.own.get_mut(id) else {
            return;
        };
        own.requests -= 1.0;
        if own.requests <= 0.0 {
            self.own.remove(id);
        }
    }

    /// Takes what a peer tells of its work.
    pub fn hear(&mut self, peer: &Arc<str>, rows: Vec<PeerRow>, now: Instant) {
        let heard = PeerLoad { heard: now, rows };
        self.peers.insert(Arc::clone(peer), heard);
        self.add_up(now);
    }

    fn add_up(&mut self, now: Instant) {
        self.peers
            .retain(|_peer, load| now.saturating_duration_since(load.heard) < PEER_ROW_LIFE);
        self.sum.clear();
        for row in self.peers.values().flat_map(|load| &load.rows) {
            let sum = self.sum.entry(Arc::clone(&row.id)).or_default();
            sum.requests += row.outstanding.requests;
            sum.prompt_tokens += row.outstanding.prompt_tokens;
        }
    }

    /// Own work, for telling peers.
    #[must_use]
    pub fn own_rows(&self) -> Vec<PeerRow> {
        self.own
            .iter()
            .map(|(id, outstanding)| PeerRow {
                id: Arc::clone(id),
                outstanding: *outstanding,
            })
            .collect()
    }

    /// Requests of all daemons at one back end.
    #[must_use]
    pub fn requests(&self, id: &str) -> f64 {
        self.outstanding(id).requests
    }

    /// Work of all daemons at one back end.
    #[must_use]
    pub fn outstanding(&self, id: &str) -> Outstanding {
        let own = self.own.get(id).copied().unwrap_or_default();
        let peers = self.sum.get(id).copied().unwrap_or_default();
        Outstanding {
            requests: own.requests + peers.requests,
            prompt_tokens: own.prompt_tokens + peers.prompt_tokens,
        }
    }
}
