//! What back ends say of themselves, as the store holds it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::capacity::Contract;
use crate::configuration::Stage;

/// How long a back end whose entry vanished while the store was in doubt may still be used. Back ends that are well write
/// their entries anew within about two seconds of the store's return (the platform's promise); half a second more until
/// that is known here. One that is still missing then is gone.
pub const DOUBT_GRACE: Duration = Duration::from_millis(2_500);

/// How long the removal of an entry is remembered, so that no older news brings it back.
pub const TOMBSTONE_LIFE: Duration = Duration::from_secs(60);

/// Whether a back end takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes requests.
    Ready,
    /// Ends what it has and leaves.
    Draining,
}

/// What a back end's entry says of its slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It is as fast as it will be.
    Warm,
    /// It was slow for so much longer when the entry was written.
    ColdFor(Duration),
    /// The entry holds no usable time; the back end is taken as warm.
    Unusable,
}

/// A slow start that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// The longest time that the back end was seen to have left.
    whole: Duration,
    warm_at: Instant,
}

impl ColdStart {
    /// A back end was seen to be slow for so much longer; `before` is what was known of this life's start.
    #[must_use]
    pub fn seen(left: Duration, before: Option<Self>, now: Instant) -> Self {
        let whole = before.map_or(left, |before| before.whole.max(left));
        Self {
            whole,
            warm_at: now + left,
        }
    }

    /// Part of the slow start that is left: 1 at its beginning, 0 from its end on.
    #[must_use]
    pub fn share_left(self, now: Instant) -> f64 {
        let left = self.warm_at.saturating_duration_since(now);
        if self.whole.is_zero() {
            return 0.0;
        }
        left.as_secs_f64() / self.whole.as_secs_f64()
    }
}

/// One life of a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct BackEnd {
    /// Identity of this life; another life has another.
    pub id: Arc<str>,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// What a model engine does; none for a plain back end.
    pub stage: Option<Stage>,
    /// Its slow start; none where it is warm.
    pub cold_start: Option<ColdStart>,
    /// How long it stays.
    pub contract: Contract,
}

#[derive(Debug)]
struct Entry {
    revision: u64,
    presence: Presence,
}

#[derive(Debug)]
enum Presence {
    Present(Arc<BackEnd>),
    Vanished(Vanished),
}

#[derive(Debug)]
struct Vanished {
    since: Instant,
    /// The last word of a back end that vanished while the store was in doubt.
    doubted: Option<Arc<BackEnd>>,
}

/// All back ends that the store knows or has lately known.
#[derive(Debug, Default)]
pub struct Directory {
    entries: IndexMap<Arc<str>, Entry>,
}

impl Directory {
    /// Takes an entry as the store holds it. Returns whether it was news.
    pub fn put(&mut self, back_end: BackEnd, revision: u64) -> bool {
        if self.is_stale(&back_end.id, revision) {
            return false;
        }
        let id = Arc::clone(&back_end.id);
        let presence = Presence::Present(Arc::new(back_end));
        self.entries.insert(id, Entry { revision, presence });
        true
    }

    /// Takes the removal of an entry. `store_in_doubt`: the store was lately away, so that entries may
    /// have lapsed though their back ends are well. Returns whether it was news.
    pub fn remove(&mut self, id: &str, revision: u64, now: Instant, store_in_doubt: bool) -> bool {
        if self.is_stale(id, revision) {
            return false;
        }
        let last = self.entries.get(id).and_then(Entry::present).cloned();
        let doubted =
            last.filter(|back_end| store_in_doubt && back_end.lifecycle == Lifecycle::Ready);
        let vanished = Vanished {
            since: now,
            doubted,
        };
        let presence = Presence::Vanished(vanished);
        self.entries
            .insert(Arc::from(id), Entry { revision, presence });
        true
    }

    fn is_stale(&self, id: &str, revision: u64) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| entry.revision >= revision)
    }

    /// Back ends of `service` that take new requests. Those that vanished in doubt count only while
    /// they are the greater part.
    #[must_use]
    pub fn ready(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        let mut ready: Vec<Arc<BackEnd>> = self
            .present()
            .filter(|back_end| &*back_end.service == service)
            .filter(|back_end| back_end.lifecycle == Lifecycle::Ready)
            .cloned()
            .collect();
        let doubted = self.doubted(service, now);
        if doubted.len() > ready.len() {
            ready.extend(doubted);
        }
        ready
    }

    fn doubted(&self, service: &str, now: Instant) -> Vec<Arc<BackEnd>> {
        self.entries
            .values()
            .filter_map(|entry| match &entry.presence {
                Presence::Vanished(vanished)
                    if now.saturating_duration_since(vanished.since) < DOUBT_GRACE =>
                {
                    vanished.doubted.clone()
                }
                _ => None,
            })
            .filter(|back_end| &*back_end.service == service)
            .collect()
    }

    /// Every back end that has an entry.
    pub fn present(&self) -> impl Iterator<Item = &Arc<BackEnd>> {
        self.entries.values().filter_map(Entry::present)
    }

    /// The entry of this back end.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<BackEnd>> {
        self.entries.get(id)?.present()
    }

    /// Forgets removals that are long past.
    pub fn forget_removals(&mut self, now: Instant) {
        self.entries.retain(|_id, entry| match &entry.presence {
            Presence::Present(_) => true,
            Presence::Vanished(vanished) => {
                now.saturating_duration_since(vanished.since) < TOMBSTONE_LIFE
            }
        });
    }
}

impl Entry {
    fn present(&self) -> Option<&Arc<BackEnd>> {
        match &self.presence {
            Presence::Present(back_end) => Some(back_end),
            Presence::Vanished(_) => None,
        }
    }
}
