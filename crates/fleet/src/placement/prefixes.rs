//! Which prompt heads engines are believed to keep.
//!
//! Every daemon notes its own sends and hears of its peers'. A head that nobody has seen goes to its home, which
//! every daemon computes alike (rendezvous hashing), so that even heads that come to two daemons at once meet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::BackEnd;
use crate::prompt::Prompt;

/// A head that was used within this time is taken as kept.
const BELIEVED_FOR: Duration = Duration::from_secs(30);
/// Share of an engine's memory that is believed to keep heads; the rest goes to what runs.
const MEMORY_SHARE: f64 = 0.6;
/// Uses that peers have not been told of, at most.
const MAXIMUM_UNTOLD: usize = 256;

/// One use of a head at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadUse {
    /// Engine.
    pub engine: Arc<str>,
    /// Head.
    pub head: u64,
    /// Its tokens.
    pub tokens: u32,
}

impl HeadUse {
    /// The use that a prompt makes of an engine's cache; none where it shares no head.
    #[must_use]
    pub fn of(prompt: &Prompt, engine: &BackEnd) -> Option<Self> {
        Some(Self {
            engine: Arc::clone(&engine.id),
            head: prompt.shared_head()?,
            tokens: prompt.shared_tokens(),
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    last_used: Instant,
    tokens: u32,
}

#[derive(Debug, Default)]
struct Heads {
    by_use: IndexMap<u64, Kept>,
    tokens: u64,
}

/// Heads by engine, in the order of their last use.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    by_engine: HashMap<Arc<str>, Heads>,
    capacity_tokens: u64,
    untold: Vec<HeadUse>,
}

impl PrefixMemory {
    /// Tells how many tokens an engine's memory holds.
    pub fn set_capacity(&mut self, tokens: u64) {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few hundred thousand tokens"
        )]
        let share = (tokens as f64 * MEMORY_SHARE) as u64;
        self.capacity_tokens = share;
    }

    /// An engine has read, or fetched, a prompt with this head, sent by this daemon.
    pub fn used(&mut self, usage: HeadUse, now: Instant) {
        self.note(&usage, now);
        if self.untold.len() < MAXIMUM_UNTOLD {
            self.untold.push(usage);
        }
    }

    /// A peer's request had this head read.
    pub fn used_by_peer(&mut self, usage: &HeadUse, now: Instant) {
        self.note(usage, now);
    }

    /// Own uses since the last call, for telling peers.
    pub fn take_untold(&mut self) -> Vec<HeadUse> {
        std::mem::take(&mut self.untold)
    }

    fn note(&mut self, usage: &HeadUse, now: Instant) {
        let heads = self.by_engine.entry(Arc::clone(&usage.engine)).or_default();
        let kept = Kept {
            last_used: now,
            tokens: usage.tokens,
        };
        if let Some(before) = heads.by_use.shift_remove(&usage.head) {
            heads.tokens -= u64::from(before.tokens);
        }
        heads.by_use.insert(usage.head, kept);
        heads.tokens += u64::from(kept.tokens);
        while heads.tokens > self.capacity_tokens && heads.by_use.len() > 1 {
            let Some((_head, oldest)) = heads.by_use.shift_remove_index(0) else {
                break;
            };
            heads.tokens -= u64::from(oldest.tokens);
        }
    }

    /// Whether the engine is believed to keep this head.
    #[must_use]
    pub fn is_kept(&self, engine: &str, head: u64, now: Instant) -> bool {
        self.by_engine
            .get(engine)
            .and_then(|heads| heads.by_use.get(&head))
            .is_some_and(|kept| now.saturating_duration_since(kept.last_used) < BELIEVED_FOR)
    }

    /// An engine did not keep what it was believed to keep.
    pub fn was_missing(&mut self, engine: &str, head: u64) {
        let Some(heads) = self.by_engine.get_mut(engine) else {
            return;
        };
        if let Some(kept) = heads.by_use.shift_remove(&head) {
            heads.tokens -= u64::from(kept.tokens);
        }
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
