//! Which prompt heads engines are believed to keep.
//!
//! Every daemon computes the same home of a head (rendezvous hashing), so that equal heads meet at one engine
//! without a word between daemons. Beyond that a daemon remembers its own sends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::BackEnd;

/// A head that was used within this time is taken as kept.
const BELIEVED_FOR: Duration = Duration::from_secs(20);
/// Most heads remembered for one engine.
const MAXIMUM_HEADS: usize = 256;

/// Heads by engine, with the time of their last use.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    by_engine: HashMap<Arc<str>, IndexMap<u64, Instant>>,
}

impl PrefixMemory {
    /// An engine has read, or fetched, a prompt with this head.
    pub fn used(&mut self, engine: &Arc<str>, head: u64, now: Instant) {
        let heads = self.by_engine.entry(Arc::clone(engine)).or_default();
        heads.shift_remove(&head);
        heads.insert(head, now);
        if heads.len() > MAXIMUM_HEADS {
            heads.shift_remove_index(0);
        }
    }

    /// Whether the engine is believed to keep this head.
    #[must_use]
    pub fn is_kept(&self, engine: &str, head: u64, now: Instant) -> bool {
        self.by_engine
            .get(engine)
            .and_then(|heads| heads.get(&head))
            .is_some_and(|last| now.saturating_duration_since(*last) < BELIEVED_FOR)
    }

    /// Forgets engines for which `keep` is false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_engine.retain(|id, _heads| keep(id));
    }
}

/// The engine where prompts with this head meet: the one with the highest hash of both.
pub(super) fn home(engines: &[Arc<BackEnd>], head: u64) -> Option<&Arc<BackEnd>> {
    engines
        .iter()
        .max_by_key(|engine| xxh3_64_with_seed(engine.id.as_bytes(), head))
}
