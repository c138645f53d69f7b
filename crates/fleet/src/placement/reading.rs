//! Estimates the cost of processing a prompt at an engine, including cached and fetched prefixes.

use std::sync::Arc;
use std::time::Instant;

use super::costs::Estimate;
use super::decoding::DecodeEstimator;
use super::gap_risk::MIN_BUSY_FACTOR;
use super::{MS_PER_S, PREFERRED_ENGINE_READ_SHARE, Placement, PromptPlan, PromptRequest, Urgency};
use crate::configuration::EngineTraits;
use crate::directory::BackEnd;
use crate::profiles::{BUSY_QUANTILE, WorkKind};

/// Cost of a fetched prefix to other requests, as a share of its prefill time: it may evict another
/// prefix that must then be processed again.
const FETCH_BURDEN_SHARE: f64 = 0.18;
/// Shorter prefixes are processed rather than fetched.
const MIN_FETCH_TOKENS: u32 = 1000;
/// Factor by which a KV cache transfer to another zone takes longer than one within a zone.
pub(super) const OTHER_ZONE_TRANSFER_FACTOR: f64 = 2.0;
/// Share of the target gap from which the gaps of streams are penalized.
const GAP_PENALTY_THRESHOLD: f64 = 0.9;

/// Expected number of streams with a broken gap up to which a decode engine may process a prompt that
/// a prefill engine could process in time: the share of gaps that the busy factor leaves open.
const MAX_BROKEN_STREAMS: f64 = 1.0 - BUSY_QUANTILE;

/// Context for estimating the prefill of one prompt.
pub(super) struct PrefillEstimator<'a> {
    pub(super) placement: &'a Placement,
    pub(super) request: &'a PromptRequest<'a>,
    pub(super) decoding: DecodeEstimator<'a>,
    pub(super) holders: &'a [Arc<BackEnd>],
    /// Share of time that the service's decode engines spend on prefill beyond what their streams
    /// tolerate.
    pub(super) excess_reading: f64,
    /// Time until this daemon's link is free, in milliseconds.
    pub(super) link_wait_ms: f64,
    /// Prompts per millisecond that arrive at each decode engine for prefill.
    pub(super) decode_arrivals_per_ms: f64,
    /// Prompts per millisecond that arrive at each prefill engine.
    pub(super) prefill_arrivals_per_ms: f64,
    pub(super) now: Instant,
}

/// Work that an engine has to do before decoding can start.
struct ReadWork {
    tokens: f64,
    transfer_ms: f64,
    fetch_from: Option<Arc<BackEnd>>,
}

impl PrefillEstimator<'_> {
    /// Estimate for a decode engine that processes the prompt itself.
    pub(super) fn estimate_at_decode(
        &self,
        back_end: &BackEnd,
        preferred_engine: Option<&Arc<BackEnd>>,
    ) -> Estimate {
        let placement = self.placement;
        let work = self.read_work(back_end, preferred_engine);
        let prompt_ms = self.prompt_at_decode_ms(back_end, &work);
        let reading_ms = self.backlog_at_decode_ms(back_end) + prompt_ms;
        let late_streams = self.late_streams(back_end, reading_ms) + self.excess_reading;
        Estimate {
            time_ms: placement.slot_wait_ms(back_end, self.request.urgency, self.now)
                + placement.speed.message_overhead_ms()
                + self.send_ms(1.0)
                + work.transfer_ms
                + reading_ms,
            burden_ms: self.fetch_burden_ms(&work)
                + late_streams * self.request.latency_targets.latency_ms()
                + delay_of_others_ms(self.decode_arrivals_per_ms, prompt_ms)
                + self.decoding.stream_burden_ms(back_end),
        }
    }

    /// Estimate for a prefill engine, up to the end of the KV cache transfer to the decode engine.
    pub(super) fn estimate_at_prefill(
        &self,
        back_end: &BackEnd,
        preferred_engine: Option<&Arc<BackEnd>>,
    ) -> Estimate {
        let placement = self.placement;
        let rate = placement.speed.prefill_tokens_per_ms();
        let work = self.read_work(back_end, preferred_engine);
        let prompt_ms = work.tokens / rate * self.reading_factor(back_end);
        Estimate {
            time_ms: placement.slot_wait_ms(back_end, self.request.urgency, self.now)
                + placement.speed.message_overhead_ms()
                + self.send_ms(2.0)
                + work.transfer_ms
                + placement.backlog_ms(back_end, rate, self.request.urgency, self.now)
                + prompt_ms
                + transfer_ms(self.request.traits, self.request.prompt.input_tokens),
            burden_ms: self.fetch_burden_ms(&work) + self.delay_burden_ms(back_end, prompt_ms),
        }
    }

    /// Time until a decode engine has processed the prompts queued there, in milliseconds.
    fn backlog_at_decode_ms(&self, back_end: &BackEnd) -> f64 {
        let rate = self.placement.speed.decode_tokens_per_ms();
        let urgency = self.request.urgency;
        self.placement.backlog_ms(back_end, rate, urgency, self.now)
    }

    /// Time that a decode engine takes for the prompt itself, in milliseconds.
    fn prompt_at_decode_ms(&self, back_end: &BackEnd, work: &ReadWork) -> f64 {
        let rate = self.placement.speed.decode_tokens_per_ms();
        work.tokens / rate * self.reading_factor(back_end)
    }

    fn reading_factor(&self, back_end: &BackEnd) -> f64 {
        self.placement
            .time_factor(back_end, WorkKind::Prefill, self.now)
    }

    /// Whether the decode engine would break gaps of its streams by processing the prompt, while a
    /// prefill engine almost certainly serves it in time, in `time_ms` as expected.
    pub(super) fn should_spare_streams(
        &self,
        decode: &BackEnd,
        preferred_engine: Option<&Arc<BackEnd>>,
        time_ms: f64,
    ) -> bool {
        let Some(target) = self.request.latency_targets.gap else {
            return false;
        };
        let work = self.read_work(decode, preferred_engine);
        let reading_ms =
            self.backlog_at_decode_ms(decode) + self.prompt_at_decode_ms(decode, &work);
        let target_ms = target.as_secs_f64() * MS_PER_S;
        let broken = self
            .decoding
            .streams_broken_by(decode, reading_ms, target_ms);
        let busy_factor = self
            .placement
            .profiles
            .busy_factor(&decode.service, WorkKind::Prefill)
            .max(MIN_BUSY_FACTOR);
        let is_other_way_in_time =
            time_ms * busy_factor <= self.request.latency_targets.latency_ms();
        is_other_way_in_time && broken.is_some_and(|broken| broken > MAX_BROKEN_STREAMS)
    }

    /// Delay that processing the prompt at a prefill engine causes for others, in milliseconds. An
    /// engine completes a prompt that it has started, whatever arrives meanwhile. Requests on time
    /// avoid engines that process late prompts, so another late prompt there delays nobody; late
    /// prompts therefore gather at few engines.
    fn delay_burden_ms(&self, back_end: &BackEnd, reading_ms: f64) -> f64 {
        let outstanding = self.placement.load.outstanding(&back_end.id);
        let joins_late_prompts =
            self.request.urgency == Urgency::Late && outstanding.late_waiting >= 1.0;
        if joins_late_prompts {
            0.0
        } else {
            delay_of_others_ms(self.prefill_arrivals_per_ms, reading_ms)
        }
    }

    /// Time until the request has been sent `sends` times, in milliseconds.
    fn send_ms(&self, sends: f64) -> f64 {
        self.link_wait_ms + sends * self.placement.link.transmit_ms(self.request.body_bytes)
    }

    fn fetch_burden_ms(&self, work: &ReadWork) -> f64 {
        if work.transfer_ms > 0.0 {
            FETCH_BURDEN_SHARE * self.placement.prefix_reading_ms(self.request.prompt)
        } else {
            0.0
        }
    }

    /// Number of streams at the engine whose gap would exceed the target if it processed prompts
    /// for `reading_ms`. Streams advance between prefill chunks, so only the prefill time within
    /// one gap counts.
    fn late_streams(&self, back_end: &BackEnd, reading_ms: f64) -> f64 {
        let Some(target) = self.request.latency_targets.gap else {
            return 0.0;
        };
        let target_ms = target.as_secs_f64() * MS_PER_S;
        let broken = self
            .decoding
            .streams_broken_by(back_end, reading_ms, target_ms);
        if let Some(broken) = broken {
            return broken;
        }
        let baseline_ms = self.placement.streams.baseline_gap_ms(&back_end.service);
        let gap_ms = baseline_ms + reading_ms.min(target_ms);
        let beyond = gap_ms / target_ms - GAP_PENALTY_THRESHOLD;
        let late_share = (beyond / (1.0 - GAP_PENALTY_THRESHOLD)).clamp(0.0, 1.0);
        let generating = self.placement.load.outstanding(&back_end.id).generating;
        late_share * generating
    }

    /// Work at this engine, given the assumed cache contents.
    fn read_work(&self, back_end: &BackEnd, preferred_engine: Option<&Arc<BackEnd>>) -> ReadWork {
        let own = f64::from(self.request.prompt.own_tokens());
        let shared = f64::from(self.request.prompt.shared_tokens());
        let read = |tokens| ReadWork {
            tokens,
            transfer_ms: 0.0,
            fetch_from: None,
        };
        if self.request.prompt.shared_prefix().is_none() {
            return read(f64::from(self.request.prompt.input_tokens));
        }
        if self.holders.iter().any(|holder| holder.id == back_end.id) {
            return read(own);
        }
        if self.is_worth_a_fetch()
            && let Some(holder) = self.nearest_holder(back_end)
        {
            let zone_factor = if holder.zone == back_end.zone {
                1.0
            } else {
                OTHER_ZONE_TRANSFER_FACTOR
            };
            let prefix_transfer_ms =
                transfer_ms(self.request.traits, self.request.prompt.shared_tokens()) * zone_factor;
            return ReadWork {
                tokens: own,
                transfer_ms: prefix_transfer_ms,
                fetch_from: Some(Arc::clone(holder)),
            };
        }
        let Some(preferred_engine) = preferred_engine else {
            return read(own + shared);
        };
        if preferred_engine.id == back_end.id {
            return read(own + shared * PREFERRED_ENGINE_READ_SHARE);
        }
        ReadWork {
            tokens: own + shared,
            transfer_ms: 0.0,
            fetch_from: Some(Arc::clone(preferred_engine)),
        }
    }

    /// Preferred engine for the prompt's prefix among `eligible`; `None` if the prefix is fetched
    /// from a holder instead.
    pub(super) fn preferred_engine<'b>(
        &self,
        eligible: &'b [Arc<BackEnd>],
    ) -> Option<&'b Arc<BackEnd>> {
        let prefix = self.request.prompt.shared_prefix()?;
        if self.is_worth_a_fetch() && !self.holders.is_empty() {
            return None;
        }
        self.placement.preferred_engine(eligible, prefix)
    }

    fn is_worth_a_fetch(&self) -> bool {
        self.request.prompt.shared_tokens() >= MIN_FETCH_TOKENS
    }

    fn nearest_holder(&self, back_end: &BackEnd) -> Option<&Arc<BackEnd>> {
        self.holders
            .iter()
            .min_by_key(|holder| holder.zone != back_end.zone)
    }

    /// Builds the plan for the chosen engines.
    pub(super) fn plan(
        &self,
        prefill: Option<Arc<BackEnd>>,
        decode: Arc<BackEnd>,
        preferred_engine: Option<&Arc<BackEnd>>,
        expected_ms: f64,
    ) -> PromptPlan {
        let reader = prefill.as_ref().unwrap_or(&decode);
        let work = self.read_work(reader, preferred_engine);
        PromptPlan {
            fetch_from: work.fetch_from,
            fetch_ms: work.transfer_ms,
            tokens_to_read: work.tokens,
            prefill,
            decode,
            expected_ms,
        }
    }
}

/// Total delay of the requests that arrive while a prompt is processed; on average each waits for
/// half of the time.
fn delay_of_others_ms(per_ms: f64, reading_ms: f64) -> f64 {
    per_ms * reading_ms * reading_ms / 2.0
}

/// Time to transfer the KV cache of `tokens` tokens between two engines of a zone, in milliseconds.
pub(super) fn transfer_ms(traits: &EngineTraits, tokens: u32) -> f64 {
    const BITS_PER_BYTE: f64 = 8.0;
    const KILOBITS_PER_MEGABIT: f64 = 1000.0;
    #[expect(clippy::cast_precision_loss, reason = "bytes of one token's cache")]
    let token_bits = traits.token_bytes as f64 * BITS_PER_BYTE;
    let bits_per_ms = traits.link_megabits * KILOBITS_PER_MEGABIT;
    if bits_per_ms <= 0.0 {
        return 0.0;
    }
    f64::from(tokens) * token_bits / bits_per_ms
}
