//! Measures the work caused by requests, as input for the stage planner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{LatencyTargets, MS_PER_S, Placement, PromptPlan};
use crate::configuration::Stage;
use crate::directory::BackEnd;
use crate::stages::{DECODE_READING_SHARE, STREAM_SLOT_WEIGHT, StageWork};

/// A decode engine can process prompts for this share of the target gap without noticeably delaying
/// its streams.
const SHORT_READ_GAP_SHARE: f64 = 0.13;
/// Share of the headroom between the usual and the target gap that decode engines may spend on
/// prefill.
const READING_SHARE_OF_HEADROOM: f64 = 0.5;
/// Interval at which the work of all daemons is recomputed.
const FLEET_WORK_INTERVAL: Duration = Duration::from_millis(100);

impl Placement {
    /// Work of all daemons by service, recomputed if the last result is outdated.
    pub fn fleet_work(&mut self, now: Instant) -> &[(Arc<str>, StageWork)] {
        let is_due = self
            .fleet_work_updated_at
            .is_none_or(|last| now.saturating_duration_since(last) >= FLEET_WORK_INTERVAL);
        if is_due {
            let own = self.work.rates(now);
            self.fleet_work = self.peer_work.fleet_rates(&own, self.daemons, now);
            self.fleet_work_updated_at = Some(now);
        }
        &self.fleet_work
    }

    /// Share of time that the service's decode engines spend on prefill beyond what their streams
    /// tolerate. Sends short prompts to prefill engines before the gaps of the streams exceed their
    /// target: decode engines that spent two thirds of their time on short prompts caused most of
    /// their streams to exceed it, while prefill engines were idle.
    pub(super) fn excess_reading(
        &self,
        decoders: &[Arc<BackEnd>],
        latency_targets: LatencyTargets,
    ) -> f64 {
        let Some(first) = decoders.first() else {
            return 0.0;
        };
        let known = self
            .fleet_work
            .iter()
            .find(|(service, _work)| *service == first.service);
        let work = known.map_or(0.0, |(_service, work)| work.decode_reading);
        #[expect(
            clippy::cast_precision_loss,
            reason = "at most tens of thousands of engines"
        )]
        let busy = work / self.ready_engines(decoders, Stage::Decode) as f64;
        (busy - self.acceptable_reading(&first.service, latency_targets)).max(0.0)
    }

    /// Share of time that decode engines may spend on prefill.
    fn acceptable_reading(&self, service: &str, latency_targets: LatencyTargets) -> f64 {
        let baseline_ms = self.streams.baseline_gap_ms(service);
        let Some(target) = latency_targets.gap.filter(|_| baseline_ms > 0.0) else {
            return DECODE_READING_SHARE;
        };
        let target_ms = target.as_secs_f64() * MS_PER_S;
        let headroom = (1.0 - baseline_ms / target_ms).max(0.0);
        (headroom * READING_SHARE_OF_HEADROOM).max(DECODE_READING_SHARE)
    }

    /// Prompt tokens that a decode engine can process without noticeably delaying its streams.
    fn short_read_tokens(&self, latency_targets: LatencyTargets) -> f64 {
        let target = latency_targets.gap.unwrap_or(latency_targets.latency);
        let time_ms = target.as_secs_f64() * MS_PER_S * SHORT_READ_GAP_SHARE;
        time_ms * self.speed.decode_tokens_per_ms()
    }

    /// Adds the prefill work of a plan to the totals of its service.
    pub fn record_prompt_work(
        &mut self,
        service: &Arc<str>,
        plan: &PromptPlan,
        latency_targets: LatencyTargets,
        now: Instant,
    ) {
        let prefill_s = plan.tokens_to_read / self.speed.prefill_tokens_per_ms() / MS_PER_S;
        let decode_s = plan.tokens_to_read / self.speed.decode_tokens_per_ms() / MS_PER_S;
        self.prompt_times.record(service, prefill_s);
        let mut work = StageWork::default();
        if plan.tokens_to_read > self.short_read_tokens(latency_targets) {
            work.prefill = prefill_s;
        } else {
            work.short_reading = prefill_s;
        }
        if plan.prefill.is_none() {
            work.decode_reading = decode_s;
        }
        self.work.add(service, work, now);
        let reader = match plan.prefill {
            Some(_) => Stage::Prefill,
            None => Stage::Decode,
        };
        self.arrivals.add(service, reader, now);
    }

    /// Adds the time for which a stream held one of the engine's slots to the work of its service.
    pub fn record_stream_work(
        &mut self,
        service: &Arc<str>,
        slots: u32,
        time: Duration,
        now: Instant,
    ) {
        self.streams.record_stream(service, time, now);
        let held = time.as_secs_f64() / f64::from(slots.max(1));
        let work = StageWork {
            decode: held * STREAM_SLOT_WEIGHT,
            ..StageWork::default()
        };
        self.work.add(service, work, now);
    }
}
