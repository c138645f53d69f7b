//! How one prompt could be read at an engine: what it keeps, what it fetches, how long that takes.

use std::sync::Arc;

use super::costs::Estimate;
use super::{HOME_READ_SHARE, MS_PER_S, Placement, PromptPlan, PromptRequest, Urgency};
use crate::configuration::EngineTraits;
use crate::directory::BackEnd;

/// What a fetched head costs others, as a part of the time that its reading takes: it pushes another head out of the
/// engine's memory, which may have to be read again.
const FETCH_BURDEN: f64 = 0.18;
/// A head of fewer tokens is not worth a fetch.
const LEAST_FETCHED_TOKENS: u32 = 1000;
/// Moves between zones take this many times as long.
pub(super) const OTHER_ZONE_MOVE_FACTOR: f64 = 2.0;
/// Part of the target gap up to which reading may stretch the pauses of the streams at an engine.
const GAP_IN_USE: f64 = 0.9;

/// How one prompt could be read.
pub(super) struct Reading<'a> {
    pub(super) placement: &'a Placement,
    pub(super) request: &'a PromptRequest<'a>,
    pub(super) keepers: &'a [Arc<BackEnd>],
    /// Share of their time that the service's decode engines read, beyond what their streams bear.
    pub(super) excess_reading: f64,
    /// Time until this daemon's link is free.
    pub(super) link_wait_ms: f64,
    /// Prompts that come to each decode engine to be read there, in a millisecond.
    pub(super) direct_per_ms: f64,
    /// The same for each prefill engine.
    pub(super) apart_per_ms: f64,
}

/// What an engine would have to do before a prompt is read.
struct Work {
    tokens: f64,
    move_ms: f64,
    fetch_from: Option<Arc<BackEnd>>,
}

impl Reading<'_> {
    /// Where a decode engine reads the prompt itself.
    pub(super) fn direct(&self, back_end: &BackEnd, home: Option<&Arc<BackEnd>>) -> Estimate {
        let placement = self.placement;
        let rate = placement.speed.decode_tokens_per_ms();
        let work = self.work(back_end, home);
        let own_ms = work.tokens / rate;
        let reading_ms = placement.backlog_ms(back_end, rate, self.request.urgency) + own_ms;
        let late_streams = self.late_streams(back_end, reading_ms) + self.excess_reading;
        Estimate {
            time_ms: placement.slot_wait_ms(back_end, self.request.urgency)
                + placement.speed.message_ms()
                + self.leaving_ms(1.0)
                + work.move_ms
                + reading_ms,
            burden_ms: self.fetch_burden_ms(&work)
                + late_streams * self.request.latency_targets.latency_ms()
                + delay_of_others_ms(self.direct_per_ms, own_ms),
        }
    }

    /// Until a prefill engine has read the prompt, and it has been moved.
    pub(super) fn apart(&self, back_end: &BackEnd, home: Option<&Arc<BackEnd>>) -> Estimate {
        let placement = self.placement;
        let rate = placement.speed.prefill_tokens_per_ms();
        let work = self.work(back_end, home);
        let own_ms = work.tokens / rate;
        Estimate {
            time_ms: placement.slot_wait_ms(back_end, self.request.urgency)
                + placement.speed.message_ms()
                + self.leaving_ms(2.0)
                + work.move_ms
                + placement.backlog_ms(back_end, rate, self.request.urgency)
                + own_ms
                + move_ms(self.request.traits, self.request.prompt.input_tokens),
            burden_ms: self.fetch_burden_ms(&work) + self.blocking_ms(back_end, own_ms),
        }
    }

    /// What reading the prompt at a prefill engine delays others. An engine reads a prompt that it has begun to its end,
    /// whatever comes meanwhile. Prompts that can be in time avoid an engine that has late ones to read, so one more late
    /// prompt there delays nobody: late prompts gather at few engines.
    fn blocking_ms(&self, back_end: &BackEnd, reading_ms: f64) -> f64 {
        let outstanding = self.placement.load.outstanding(&back_end.id);
        let joins_late_ones =
            self.request.urgency == Urgency::Late && outstanding.late_waiting >= 1.0;
        if joins_late_ones {
            0.0
        } else {
            delay_of_others_ms(self.apart_per_ms, reading_ms)
        }
    }

    /// Time until the request has left this daemon, for so many engines.
    fn leaving_ms(&self, sends: f64) -> f64 {
        self.link_wait_ms + sends * self.placement.link.own_ms(self.request.body_bytes)
    }

    fn fetch_burden_ms(&self, work: &Work) -> f64 {
        if work.move_ms > 0.0 {
            FETCH_BURDEN * self.placement.head_reading_ms(self.request.prompt)
        } else {
            0.0
        }
    }

    /// Streams at the engine whose pauses would pass their target where it reads for so long. Between two of its pieces
    /// every stream gets on, so that what counts is the reading that falls into one pause.
    fn late_streams(&self, back_end: &BackEnd, reading_ms: f64) -> f64 {
        let Some(target) = self.request.latency_targets.gap else {
            return 0.0;
        };
        let target_ms = target.as_secs_f64() * MS_PER_S;
        let quiet_ms = self.placement.streams.quiet_gap_ms(&back_end.service);
        let gap_ms = quiet_ms + reading_ms.min(target_ms);
        let beyond = gap_ms / target_ms - GAP_IN_USE;
        let passed = (beyond / (1.0 - GAP_IN_USE)).clamp(0.0, 1.0);
        let generating = self.placement.load.outstanding(&back_end.id).generating;
        passed * generating
    }

    /// What the engine would do, by what is known of caches.
    fn work(&self, back_end: &BackEnd, home: Option<&Arc<BackEnd>>) -> Work {
        let own = f64::from(self.request.prompt.own_tokens());
        let shared = f64::from(self.request.prompt.shared_tokens());
        let read = |tokens| Work {
            tokens,
            move_ms: 0.0,
            fetch_from: None,
        };
        if self.request.prompt.shared_prefix().is_none() {
            return read(f64::from(self.request.prompt.input_tokens));
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
            let moving = move_ms(self.request.traits, self.request.prompt.shared_tokens()) * far;
            return Work {
                tokens: own,
                move_ms: moving,
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
            move_ms: 0.0,
            fetch_from: Some(Arc::clone(home)),
        }
    }

    /// Where the prompt's head is at home among `rivals`; none where it is fetched from a keeper anyway.
    pub(super) fn home<'b>(&self, rivals: &'b [Arc<BackEnd>]) -> Option<&'b Arc<BackEnd>> {
        let head = self.request.prompt.shared_prefix()?;
        if self.is_worth_a_fetch() && !self.keepers.is_empty() {
            return None;
        }
        self.placement.home(rivals, head)
    }

    fn is_worth_a_fetch(&self) -> bool {
        self.request.prompt.shared_tokens() >= LEAST_FETCHED_TOKENS
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
            fetch_ms: work.move_ms,
            tokens_to_read: work.tokens,
            prefill,
            decode,
            expected_ms,
        }
    }
}

/// What a reading delays those that come to its engine meanwhile, all together: on average each waits for half of it.
fn delay_of_others_ms(per_ms: f64, reading_ms: f64) -> f64 {
    per_ms * reading_ms * reading_ms / 2.0
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
