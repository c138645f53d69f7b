//! Which prompt heads engines are believed to keep.
//!
//! Every daemon notes its own sends and hears of its peers'. What an engine reads or fetches pushes out what it used the
//! longest ago, so a head is believed to be kept until as much has come in since its last use as the engine's memory
//! holds. A head that nobody has seen goes to its home, which every daemon computes alike (rendezvous hashing), so that
//! even heads that come to two daemons at once meet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, owner_score};
use crate::prompt::Prompt;

/// A head that was used within this time is taken as kept.
const BELIEVED_FOR: Duration = Duration::from_secs(60);
/// A prompt that was sent is read within this time, or lost.
const COMING_FOR: Duration = Duration::from_secs(4);
/// Share of an engine's memory that is believed to keep what was read; what runs takes the rest.
const MEMORY_SHARE: f64 = 0.8;
/// Uses that peers have not been told of, at most.
const MAXIMUM_UNTOLD: usize = 256;
/// A head of fewer tokens is read anew in a few milliseconds: it is neither remembered nor told.
pub const MIN_PREFIX_TOKENS: u32 = 500;
/// Engines that are noted for one head before those that no longer keep it are dropped.
const HOLDERS_TIDIED_ABOVE: usize = 64;
/// Heads that are remembered of one engine before the forgotten ones are dropped.
const TIDIED_ABOVE: usize = 256;

/// How far an engine is with a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixState {
    /// A prompt with it is on its way there: whatever comes behind it finds it kept.
    Pending,
    /// It is kept, and others can fetch it.
    Cached,
}

/// One use of a head at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixUse {
    /// Engine.
    pub engine: Arc<str>,
    /// Head.
    pub prefix: u64,
    /// Its tokens.
    pub tokens: u32,
    /// Tokens of the prompt that follow it; they take memory too.
    pub own_tokens: u32,
    /// How far the engine is with it.
    pub state: PrefixState,
}

impl PrefixUse {
    /// The use that a prompt makes of an engine's cache; none where it shares no head worth remembering.
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
struct Cached {
    state: PrefixState,
    last_used: Instant,
    /// What had come in until then, in tokens.
    record_inserted_tokens: u64,
}

#[derive(Debug, Default)]
struct Heads {
    kept: HashMap<u64, Cached>,
    /// All that has come into the engine's memory, in tokens.
    record_inserted_tokens: u64,
}

impl Heads {
    fn holds(&self, kept: &Cached, capacity_tokens: u64, now: Instant) -> bool {
        let since = self.record_inserted_tokens - kept.record_inserted_tokens;
        let age = now.saturating_duration_since(kept.last_used);
        let life = match kept.state {
            PrefixState::Pending => COMING_FOR,
            PrefixState::Cached => BELIEVED_FOR,
        };
        since <= capacity_tokens && age < life
    }
}

/// Heads by engine.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    by_engine: HashMap<Arc<str>, Heads>,
    /// Engines that have kept a head, some of which may have dropped it since.
    by_head: HashMap<u64, Vec<Arc<str>>>,
    capacity_tokens: u64,
    unpublished: Vec<PrefixUse>,
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
    pub fn used(&mut self, usage: PrefixUse, now: Instant) {
        self.note(&usage, now);
        if self.unpublished.len() < MAXIMUM_UNTOLD {
            self.unpublished.push(usage);
        }
    }

    /// Own uses since the last call, for telling peers.
    pub fn take_unpublished(&mut self) -> Vec<PrefixUse> {
        std::mem::take(&mut self.unpublished)
    }

    /// An engine has read a prompt with this head, sent by another daemon or seen in the engine's own words.
    pub fn note(&mut self, usage: &PrefixUse, now: Instant) {
        let capacity = self.capacity_tokens;
        let heads = self.by_engine.entry(Arc::clone(&usage.engine)).or_default();
        let before = heads.kept.get(&usage.prefix).copied();
        let before = before.filter(|kept| heads.holds(kept, capacity, now));
        let record_inserted_tokens = match (before.map(|kept| kept.state), usage.state) {
            (Some(PrefixState::Cached), PrefixState::Cached) => usage.own_tokens,
            (_, PrefixState::Cached) => usage.tokens + usage.own_tokens,
            (_, PrefixState::Pending) => 0,
        };
        let was_read = before.is_some_and(|kept| kept.state == PrefixState::Cached);
        heads.record_inserted_tokens += u64::from(record_inserted_tokens);
        let kept = Cached {
            state: if was_read {
                PrefixState::Cached
            } else {
                usage.state
            },
            last_used: now,
            record_inserted_tokens: heads.record_inserted_tokens,
        };
        heads.kept.insert(usage.prefix, kept);
        if heads.kept.len() > TIDIED_ABOVE {
            let record_inserted_tokens = heads.record_inserted_tokens;
            heads
                .kept
                .retain(|_head, kept| record_inserted_tokens - kept.record_inserted_tokens <= capacity);
        }
        self.note_holder(usage, now);
    }

    fn note_holder(&mut self, usage: &PrefixUse, now: Instant) {
        let mut holders = self.by_head.remove(&usage.prefix).unwrap_or_default();
        if holders.len() > HOLDERS_TIDIED_ABOVE {
            holders.retain(|engine| self.state(engine, usage.prefix, now).is_some());
        }
        if !holders.contains(&usage.engine) {
            holders.push(Arc::clone(&usage.engine));
        }
        self.by_head.insert(usage.prefix, holders);
    }

    /// Engines that keep this head, or are about to.
    #[must_use]
    pub fn holders(&self, prefix: u64, now: Instant) -> Vec<Arc<str>> {
        let noted = self.by_head.get(&prefix).into_iter().flatten();
        noted
            .filter(|engine| self.state(engine, prefix, now).is_some())
            .cloned()
            .collect()
    }

    /// Prompts without a head worth remembering came into an engine's memory: so many tokens, of all daemons together.
    pub fn record_inserted_tokens(&mut self, engine: &str, tokens: u64) {
        if let Some(heads) = self.by_engine.get_mut(engine) {
            heads.record_inserted_tokens += tokens;
        }
    }

    /// How far the engine is believed to be with this head; none where it does not keep it.
    #[must_use]
    pub fn state(&self, engine: &str, prefix: u64, now: Instant) -> Option<PrefixState> {
        let heads = self.by_engine.get(engine)?;
        let kept = heads.kept.get(&prefix)?;
        heads
            .holds(kept, self.capacity_tokens, now)
            .then_some(kept.state)
    }

    /// An engine did not keep what it was believed to keep.
    pub fn record_miss(&mut self, engine: &str, prefix: u64) {
        if let Some(heads) = self.by_engine.get_mut(engine) {
            heads.kept.remove(&prefix);
        }
    }

    /// Forgets engines for which `keep` is false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_engine.retain(|id, _heads| keep(id));
        let known = &self.by_engine;
        self.by_head.retain(|prefix, engines| {
            engines.retain(|id| {
                let heads = known.get(id);
                heads.is_some_and(|heads| heads.kept.contains_key(prefix))
            });
            !engines.is_empty()
        });
    }
}

/// The prompt's shared head, if it is worth remembering.
#[must_use]
pub fn tracked_prefix(prompt: &Prompt) -> Option<u64> {
    let is_long = prompt.shared_tokens() >= MIN_PREFIX_TOKENS;
    prompt.shared_prefix().filter(|_head| is_long)
}

/// The engine where prompts with this head meet: the one with the highest hash of both.
pub(super) fn home<'a>(
    engines: impl Iterator<Item = &'a Arc<BackEnd>>,
    prefix: u64,
) -> Option<&'a Arc<BackEnd>> {
    engines.max_by_key(|engine| owner_score(engine.id.as_bytes(), prefix))
}
