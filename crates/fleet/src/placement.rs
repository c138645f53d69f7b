//! Chooses back ends by the time they are expected to take.

mod load;
mod prefixes;
mod speed;

use std::sync::Arc;
use std::time::Instant;

use rand::{Rng, RngExt};

use crate::configuration::{EngineTraits, Stage};
use crate::directory::BackEnd;
use crate::health::Health;
use crate::prompt::Prompt;

pub use load::{LoadTable, Outstanding, PeerRow};
pub use prefixes::PrefixMemory;
pub use speed::SpeedTable;

/// What a hand-over costs beside the move itself, in milliseconds: two more messages, and its price.
const HAND_OVER_MS: f64 = 40.0;
/// Cost of a way into another zone, in milliseconds.
const OTHER_ZONE_MS: f64 = 2.0;
/// Share of prompts whose head is taken as kept at its home though nothing is known.
const HOME_MISS_SHARE: f64 = 0.3;
/// Reading at a decode engine holds up what it generates; each millisecond counts as so many.
const DECODE_READ_WEIGHT: f64 = 1.3;
/// Tokens that a decode engine reads without holding its streams up noticeably.
const UNNOTICED_TOKENS: f64 = 600.0;
/// Each millisecond of reading beyond those counts as so many: every stream there pauses meanwhile.
const PAUSE_WEIGHT: f64 = 4.0;
/// Expected time of a plain request that nothing is known of, in milliseconds.
const PLAIN_DEFAULT_MS: f64 = 20.0;
/// Random part of each cost, so that daemons with the same picture do not all choose the same.
const JITTER_SHARE: f64 = 0.1;

/// Which engines serve a prompt.
#[derive(Debug, Clone)]
pub struct PromptPlan {
    /// Reads the prompt; none where the decode engine does.
    pub prefill: Option<Arc<BackEnd>>,
    /// Generates.
    pub decode: Arc<BackEnd>,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Tokens that are expected to be read.
    pub tokens_to_read: f64,
}

/// What choices are based on.
#[derive(Debug)]
pub struct Placement {
    /// Zone of this daemon.
    pub zone: Arc<str>,
    /// Work in progress.
    pub load: LoadTable,
    /// Failures.
    pub health: Health,
    /// Rates learned from answers.
    pub speed: SpeedTable,
    /// Prompt heads that engines are believed to keep.
    pub prefixes: PrefixMemory,
}

impl Placement {
    /// Nothing known yet.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            load: LoadTable::default(),
            health: Health::default(),
            speed: SpeedTable::default(),
            prefixes: PrefixMemory::default(),
        }
    }

    /// Chooses a plain back end, or an engine for a request that tells nothing of its prompt.
    pub fn choose_plain(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        let candidates = self.usable(ready, tried, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        self.cheapest(&candidates, random, |back_end| {
            let ahead = self.load.requests(&back_end.id);
            let expected = self
                .speed
                .plain_ms(&back_end.id)
                .unwrap_or(PLAIN_DEFAULT_MS);
            expected * (1.0 + ahead / f64::from(back_end.slots.max(1)))
        })
        .map(|(back_end, _cost)| back_end)
    }

    /// Chooses the engines for a prompt.
    pub fn plan_prompt(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        traits: &EngineTraits,
        prompt: &Prompt,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<PromptPlan> {
        let decoders = self.usable(ready, tried, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        let direct = self.cheapest(&decoders, random, |back_end| {
            self.direct_ms(back_end, &decoders, prompt, now)
        });
        let prefills = self.usable(ready, tried, |back_end| {
            back_end.stage == Some(Stage::Prefill)
        });
        let handed_over = self.cheapest(&prefills, random, |back_end| {
            self.prefill_ms(back_end, &prefills, prompt, now) + move_ms(traits, prompt)
        });
        let (decode, direct_ms) = direct?;
        let direct_tokens = self.tokens_to_read(&decode, &decoders, prompt, now);
        let direct_plan = PromptPlan {
            prefill: None,
            decode,
            expected_ms: direct_ms,
            tokens_to_read: direct_tokens,
        };
        let Some((prefill, prefill_ms)) = handed_over else {
            return Some(direct_plan);
        };
        let (decode, decode_ms) = self.cheapest(&decoders, random, |back_end| {
            self.waiting_ms(
                back_end,
                DECODE_READ_WEIGHT / self.speed.decode_tokens_per_ms(),
            )
        })?;
        let handed_over_ms = prefill_ms + decode_ms + HAND_OVER_MS;
        if handed_over_ms >= direct_ms {
            return Some(direct_plan);
        }
        let tokens_to_read = self.tokens_to_read(&prefill, &prefills, prompt, now);
        Some(PromptPlan {
            prefill: Some(prefill),
            decode,
            expected_ms: handed_over_ms,
            tokens_to_read,
        })
    }

    /// Chooses the engine that goes on from a handle.
    pub fn choose_decode(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        let decoders = self.usable(ready, tried, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        let weight = DECODE_READ_WEIGHT / self.speed.decode_tokens_per_ms();
        self.cheapest(&decoders, random, |back_end| {
            self.waiting_ms(back_end, weight)
        })
        .map(|(back_end, _cost)| back_end)
    }

    /// Those that fit, were not tried and are not ejected; where all are ejected, they all count.
    fn usable(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        fits: impl Fn(&BackEnd) -> bool,
    ) -> Vec<Arc<BackEnd>> {
        let fitting: Vec<Arc<BackEnd>> = ready
            .iter()
            .filter(|back_end| fits(back_end) && !tried.contains(&back_end.id))
            .cloned()
            .collect();
        let well: Vec<Arc<BackEnd>> = fitting
            .iter()
            .filter(|back_end| !self.health.is_ejected(&back_end.id))
            .cloned()
            .collect();
        if well.is_empty() { fitting } else { well }
    }

    fn cheapest(
        &self,
        candidates: &[Arc<BackEnd>],
        random: &mut impl Rng,
        cost_ms: impl Fn(&BackEnd) -> f64,
    ) -> Option<(Arc<BackEnd>, f64)> {
        candidates
            .iter()
            .map(|back_end| {
                let own = cost_ms(back_end) * self.speed.slowness(&back_end.id);
                let failing = own * self.health.cost_factor(&back_end.id);
                let cost = failing + self.zone_ms(back_end);
                let jitter: f64 = random.random();
                (back_end, cost * (1.0 + JITTER_SHARE * jitter))
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(back_end, cost)| (Arc::clone(back_end), cost))
    }

    fn zone_ms(&self, back_end: &BackEnd) -> f64 {
        if back_end.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_MS
        }
    }

    fn direct_ms(
        &self,
        back_end: &BackEnd,
        rivals: &[Arc<BackEnd>],
        prompt: &Prompt,
        now: Instant,
    ) -> f64 {
        let per_token = DECODE_READ_WEIGHT / self.speed.decode_tokens_per_ms();
        let tokens = self.tokens_to_read(back_end, rivals, prompt, now);
        let pausing = (tokens - UNNOTICED_TOKENS).max(0.0);
        self.waiting_ms(back_end, per_token) + (tokens + PAUSE_WEIGHT * pausing) * per_token
    }

    fn prefill_ms(
        &self,
        back_end: &BackEnd,
        rivals: &[Arc<BackEnd>],
        prompt: &Prompt,
        now: Instant,
    ) -> f64 {
        let per_token = 1.0 / self.speed.prefill_tokens_per_ms();
        let tokens = self.tokens_to_read(back_end, rivals, prompt, now);
        self.waiting_ms(back_end, per_token) + tokens * per_token
    }

    /// Time until what waits at the engine is read, and what running requests add to each step.
    fn waiting_ms(&self, back_end: &BackEnd, ms_per_token: f64) -> f64 {
        let outstanding = self.load.outstanding(&back_end.id);
        let crowding = outstanding.requests / f64::from(back_end.slots.max(1));
        let base = 5.0 * (1.0 + crowding);
        outstanding.prompt_tokens * ms_per_token + base + queue_ms(crowding)
    }

    /// Tokens of `prompt` that the engine would read, by what is known of its cache.
    fn tokens_to_read(
        &self,
        back_end: &BackEnd,
        rivals: &[Arc<BackEnd>],
        prompt: &Prompt,
        now: Instant,
    ) -> f64 {
        let own = f64::from(prompt.own_tokens());
        let shared = f64::from(prompt.shared_tokens());
        let Some(head) = prompt.shared_head() else {
            return f64::from(prompt.input_tokens);
        };
        if self.prefixes.is_kept(&back_end.id, head, now) {
            return own;
        }
        if prefixes::home(rivals, head).is_some_and(|home| home.id == back_end.id) {
            return own + shared * HOME_MISS_SHARE;
        }
        own + shared
    }
}

/// A full engine lets newcomers wait for a slot.
fn queue_ms(crowding: f64) -> f64 {
    (crowding - 1.0).max(0.0) * 200.0
}

fn move_ms(traits: &EngineTraits, prompt: &Prompt) -> f64 {
    const BITS: f64 = 8.0;
    const KILOBITS_IN_MEGABIT: f64 = 1000.0;
    #[expect(clippy::cast_precision_loss, reason = "bytes of one token's cache")]
    let token_bits = traits.token_bytes as f64 * BITS;
    let bits_per_ms = traits.link_megabits * KILOBITS_IN_MEGABIT;
    if bits_per_ms <= 0.0 {
        return 0.0;
    }
    f64::from(prompt.input_tokens) * token_bits / bits_per_ms
}
