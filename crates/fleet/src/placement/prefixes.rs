//! Tracks which prompt prefixes engines are assumed to cache.
//!
//! Daemons track the prompts they send and share them with their peers. Engines evict the least
//! recently used prefix, so a prefix is assumed to be cached until as many tokens have been
//! inserted since its last use as the engine's cache holds. A new prefix goes to its preferred
//! engine, which all daemons compute by rendezvous hashing, so that requests with the same prefix
//! meet even if they arrive at different daemons at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, owner_score};
use crate::prompt::Prompt;

/// A prefix is assumed to be cached for at most this time after its last use.
const CACHED_TTL: Duration = Duration::from_secs(60);
/// A prompt that has been sent is processed within this time or lost.
const PENDING_TTL: Duration = Duration::from_secs(4);
/// Share of an engine's cache that is assumed to hold reusable prefixes; running requests use the
/// rest.
const MEMORY_SHARE: f64 = 0.8;
/// Maximum number of uses that wait to be published.
const MAX_UNPUBLISHED: usize = 256;
/// Shorter prefixes are neither tracked nor published, because processing them again takes only a
/// few milliseconds.
pub const MIN_PREFIX_TOKENS: u32 = 500;
/// Number of holders of one prefix above which outdated ones are removed.
const HOLDER_PRUNE_THRESHOLD: usize = 64;
/// Number of prefixes of one engine above which evicted ones are removed.
const PREFIX_PRUNE_THRESHOLD: usize = 256;

/// State of a prefix at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixState {
    /// A prompt with the prefix has been sent; requests queued behind it will find it cached.
    Pending,
    /// The prefix is cached and can be fetched by other engines.
    Cached,
}

/// One use of a prefix at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixUse {
    /// Identifier of the engine.
    pub engine: Arc<str>,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Tokens of the prefix.
    pub tokens: u32,
    /// Prompt tokens after the prefix; they occupy cache memory as well.
    pub own_tokens: u32,
    /// State of the prefix at the engine.
    pub state: PrefixState,
}

impl PrefixUse {
    /// Use of an engine's cache by a prompt; `None` if the prompt has no prefix worth tracking.
    #[must_use]
    pub fn of(prompt: &Prompt, engine: &BackEnd, state: PrefixState) -> Option<Self> {
        Some(Self {
            engine: Arc::clone(&engine.id),
            prefix: tracked_prefix(prompt)?,
            tokens: prompt.shared_tokens(),
            own_tokens: prompt.own_tokens(),
            state,
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct PrefixEntry {
    state: PrefixState,
    last_used: Instant,
    /// Value of the engine's `inserted_tokens` at the last use.
    inserted_tokens: u64,
}

#[derive(Debug, Default)]
struct EnginePrefixes {
    entries: HashMap<u64, PrefixEntry>,
    /// Total tokens ever inserted into the engine's cache.
    inserted_tokens: u64,
}

impl EnginePrefixes {
    fn holds(&self, entry: &PrefixEntry, capacity_tokens: u64, now: Instant) -> bool {
        let since = self.inserted_tokens - entry.inserted_tokens;
        let age = now.saturating_duration_since(entry.last_used);
        let life = match entry.state {
            PrefixState::Pending => PENDING_TTL,
            PrefixState::Cached => CACHED_TTL,
        };
        since <= capacity_tokens && age < life
    }
}

/// Assumed cache contents of all engines.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    by_engine: HashMap<Arc<str>, EnginePrefixes>,
    /// Engines that have cached a prefix; some may have evicted it since.
    by_prefix: HashMap<u64, Vec<Arc<str>>>,
    capacity_tokens: u64,
    unpublished: Vec<PrefixUse>,
}

impl PrefixMemory {
    /// Sets the cache size of an engine, in tokens.
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

    /// Records that an engine has processed or fetched a prompt of this daemon.
    pub fn used(&mut self, usage: PrefixUse, now: Instant) {
        self.note(&usage, now);
        if self.unpublished.len() < MAX_UNPUBLISHED {
            self.unpublished.push(usage);
        }
    }

    /// Uses recorded by [`Self::used`] since the last call, to be published to peers.
    pub fn take_unpublished(&mut self) -> Vec<PrefixUse> {
        std::mem::take(&mut self.unpublished)
    }

    /// Records a use reported by another daemon or by the engine itself.
    pub fn note(&mut self, usage: &PrefixUse, now: Instant) {
        let capacity = self.capacity_tokens;
        let engine_prefixes = self.by_engine.entry(Arc::clone(&usage.engine)).or_default();
        let before = engine_prefixes.entries.get(&usage.prefix).copied();
        let before = before.filter(|entry| engine_prefixes.holds(entry, capacity, now));
        let inserted_tokens = match (before.map(|entry| entry.state), usage.state) {
            (Some(PrefixState::Cached), PrefixState::Cached) => usage.own_tokens,
            (_, PrefixState::Cached) => usage.tokens + usage.own_tokens,
            (_, PrefixState::Pending) => 0,
        };
        let was_cached = before.is_some_and(|entry| entry.state == PrefixState::Cached);
        engine_prefixes.inserted_tokens += u64::from(inserted_tokens);
        let entry = PrefixEntry {
            state: if was_cached {
                PrefixState::Cached
            } else {
                usage.state
            },
            last_used: now,
            inserted_tokens: engine_prefixes.inserted_tokens,
        };
        engine_prefixes.entries.insert(usage.prefix, entry);
        if engine_prefixes.entries.len() > PREFIX_PRUNE_THRESHOLD {
            let inserted_tokens = engine_prefixes.inserted_tokens;
            engine_prefixes
                .entries
                .retain(|_prefix, entry| inserted_tokens - entry.inserted_tokens <= capacity);
        }
        self.note_holder(usage, now);
    }

    fn note_holder(&mut self, usage: &PrefixUse, now: Instant) {
        let mut holders = self.by_prefix.remove(&usage.prefix).unwrap_or_default();
        if holders.len() > HOLDER_PRUNE_THRESHOLD {
            holders.retain(|engine| self.state(engine, usage.prefix, now).is_some());
        }
        if !holders.contains(&usage.engine) {
            holders.push(Arc::clone(&usage.engine));
        }
        self.by_prefix.insert(usage.prefix, holders);
    }

    /// Engines at which the prefix is cached or pending.
    #[must_use]
    pub fn holders(&self, prefix: u64, now: Instant) -> Vec<Arc<str>> {
        let known_holders = self.by_prefix.get(&prefix).into_iter().flatten();
        known_holders
            .filter(|engine| self.state(engine, prefix, now).is_some())
            .cloned()
            .collect()
    }

    /// Records that prompts without a tracked prefix inserted `tokens` into an engine's cache,
    /// summed over all daemons.
    pub fn record_inserted_tokens(&mut self, engine: &str, tokens: u64) {
        if let Some(engine_prefixes) = self.by_engine.get_mut(engine) {
            engine_prefixes.inserted_tokens += tokens;
        }
    }

    /// Assumed state of the prefix at the engine; `None` if it is not cached.
    #[must_use]
    pub fn state(&self, engine: &str, prefix: u64, now: Instant) -> Option<PrefixState> {
        let engine_prefixes = self.by_engine.get(engine)?;
        let entry = engine_prefixes.entries.get(&prefix)?;
        engine_prefixes
            .holds(entry, self.capacity_tokens, now)
            .then_some(entry.state)
    }

    /// Records that an engine did not have a prefix that was assumed to be cached there.
    pub fn record_miss(&mut self, engine: &str, prefix: u64) {
        if let Some(engine_prefixes) = self.by_engine.get_mut(engine) {
            engine_prefixes.entries.remove(&prefix);
        }
    }

    /// Removes engines for which `keep` returns false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_engine.retain(|id, _prefixes| keep(id));
        let known = &self.by_engine;
        self.by_prefix.retain(|prefix, engines| {
            engines.retain(|id| {
                let engine_prefixes = known.get(id);
                engine_prefixes
                    .is_some_and(|engine_prefixes| engine_prefixes.entries.contains_key(prefix))
            });
            !engines.is_empty()
        });
    }
}

/// Hash of the prompt's shared prefix if it is long enough to be tracked.
#[must_use]
pub fn tracked_prefix(prompt: &Prompt) -> Option<u64> {
    let is_long = prompt.shared_tokens() >= MIN_PREFIX_TOKENS;
    prompt.shared_prefix().filter(|_prefix| is_long)
}

/// Preferred engine of a prefix: the one with the highest combined hash.
pub(super) fn preferred_engine<'a>(
    engines: impl Iterator<Item = &'a Arc<BackEnd>>,
    prefix: u64,
) -> Option<&'a Arc<BackEnd>> {
    engines.max_by_key(|engine| owner_score(engine.id.as_bytes(), prefix))
}
