//! How one prompt could be read at an engine: what it keeps, what it fetches, how long that takes.

use std::sync::Arc;

use super::{HOME_READ_SHARE, Placement, PromptPlan, prefixes};
use crate::configuration::EngineTraits;
use crate::directory::BackEnd;
use crate::prompt::Prompt;

/// What a fetch costs beside the move itself, in milliseconds: its start, its price, and the head that it pushes out of
/// the engine's memory.
const FETCH_MS: f64 = 40.0;
/// A head of fewer tokens is not worth a fetch.
const LEAST_FETCHED_TOKENS: u32 = 1000;
/// Moves between zones take this many times as long.
const OTHER_ZONE_MOVE_FACTOR: f64 = 2.0;
/// Tokens that a decode engine reads without holding its streams up noticeably.
pub(super) const UNNOTICED_TOKENS: f64 = 600.0;
/// Each millisecond of reading beyond those counts as so many: every stream there pauses meanwhile.
const PAUSE_WEIGHT: f64 = 4.0;

/// How one prompt could be read.
pub(super) struct Reading<'a> {
    pub(super) placement: &'a Placement,
    pub(super) traits: &'a EngineTraits,
    pub(super) prompt: &'a Prompt,
    pub(super) keepers: &'a [Arc<BackEnd>],
    pub(super) busy_decode_ms: f64,
}

/// What an engine would have to do before a prompt is read.
struct Work {
    tokens: f64,
    fetch_ms: f64,
    fetch_from: Option<Arc<BackEnd>>,
}

impl Reading<'_> {
    /// Time to the first event where a decode engine reads the prompt itself.
    pub(super) fn direct_ms(&self, back_end: &BackEnd, home: Option<&Arc<BackEnd>>) -> f64 {
        let per_token = self.placement.decode_weight();
        let work = self.work(back_end, home);
        let pausing = (work.tokens - UNNOTICED_TOKENS).max(0.0);
        let reading = (work.tokens + PAUSE_WEIGHT * pausing) * per_token;
        self.placement.waiting_ms(back_end, per_token)
            + work.fetch_ms
            + reading
            + self.busy_decode_ms
    }

    /// Time until a prefill engine has read the prompt.
    pub(super) fn prefill_ms(&self, back_end: &BackEnd, home: Option<&Arc<BackEnd>>) -> f64 {
        let per_token = 1.0 / self.placement.speed.prefill_tokens_per_ms();
        let work = self.work(back_end, home);
        self.placement.waiting_ms(back_end, per_token) + work.fetch_ms + work.tokens * per_token
    }

    /// What the engine would do, by what is known of caches.
    fn work(&self, back_end: &BackEnd, home: Option<&Arc<BackEnd>>) -> Work {
        let own = f64::from(self.prompt.own_tokens());
        let shared = f64::from(self.prompt.shared_tokens());
        let read = |tokens| Work {
            tokens,
            fetch_ms: 0.0,
            fetch_from: None,
        };
        if self.prompt.shared_head().is_none() {
            return read(f64::from(self.prompt.input_tokens));
        }
        if self.keepers.iter().any(|keeper| keeper.id == back_end.id) {
            return read(own);
        }
        if self.is_worth_a_fetch()
            && let Some(keeper) = self.nearest_keeper(back_end)
        {
            let far = if keeper.zone == back_end.zone {
                1.0
            } else {
                OTHER_ZONE_MOVE_FACTOR
            };
            let moving = move_ms(self.traits, self.prompt.shared_tokens()) * far;
            return Work {
                tokens: own,
                fetch_ms: moving + FETCH_MS,
                fetch_from: Some(Arc::clone(keeper)),
            };
        }
        let Some(home) = home else {
            return read(own + shared);
        };
        if home.id == back_end.id {
            return read(own + shared * HOME_READ_SHARE);
        }
        Work {
            tokens: own + shared,
            fetch_ms: 0.0,
            fetch_from: Some(Arc::clone(home)),
        }
    }

    /// Where the prompt's head is at home among `rivals`; none where it is fetched from a keeper anyway.
    pub(super) fn home<'b>(&self, rivals: &'b [Arc<BackEnd>]) -> Option<&'b Arc<BackEnd>> {
        let head = self.prompt.shared_head()?;
        if self.is_worth_a_fetch() && !self.keepers.is_empty() {
            return None;
        }
        prefixes::home(rivals, head)
    }

    fn is_worth_a_fetch(&self) -> bool {
        self.prompt.shared_tokens() >= LEAST_FETCHED_TOKENS
    }

    fn nearest_keeper(&self, back_end: &BackEnd) -> Option<&Arc<BackEnd>> {
        self.keepers
            .iter()
            .min_by_key(|keeper| keeper.zone != back_end.zone)
    }

    /// The plan with this reader.
    pub(super) fn plan(
        &self,
        prefill: Option<Arc<BackEnd>>,
        decode: Arc<BackEnd>,
        home: Option<&Arc<BackEnd>>,
        expected_ms: f64,
    ) -> PromptPlan {
        let reader = prefill.as_ref().unwrap_or(&decode);
        let work = self.work(reader, home);
        PromptPlan {
            fetch_from: work.fetch_from,
            fetch_ms: work.fetch_ms,
            tokens_to_read: work.tokens,
            prefill,
            decode,
            expected_ms,
        }
    }
}

/// Time to move the KV cache of so many tokens between two engines of a zone.
pub(super) fn move_ms(traits: &EngineTraits, tokens: u32) -> f64 {
    const BITS: f64 = 8.0;
    const KILOBITS_IN_MEGABIT: f64 = 1000.0;
    #[expect(clippy::cast_precision_loss, reason = "bytes of one token's cache")]
    let token_bits = traits.token_bytes as f64 * BITS;
    let bits_per_ms = traits.link_megabits * KILOBITS_IN_MEGABIT;
    if bits_per_ms <= 0.0 {
        return 0.0;
    }
    f64::from(tokens) * token_bits / bits_per_ms
}
