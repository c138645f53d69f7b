//! The work that requests bring, metered for the planner of the stages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{LatencyTargets, MS_PER_S, Placement, PromptPlan};
use crate::configuration::Stage;
use crate::directory::BackEnd;
use crate::stages::{DECODE_READING_SHARE, StageWork};

/// Tokens that a decode engine reads in this part of the target gap hold its streams up little.
const UNNOTICED_GAP_SHARE: f64 = 0.13;
/// Part of what the target gap leaves beside the usual pause that reading may take of decode engines' time.
const READING_OF_HEADROOM: f64 = 0.5;
/// A stream that holds a slot takes this share of what the slot could do: streams of a batch share each step.
const SLOT_WEIGHT: f64 = 0.3;
/// Work of all daemons is added up this often.
const WORK_PERIOD: Duration = Duration::from_millis(100);

impl Placement {
    /// Work of every service, of all daemons; added up anew where that is some time ago.
    pub fn fleet_work(&mut self, now: Instant) -> &[(Arc<str>, StageWork)] {
        let is_due = self
            .work_added_up
            .is_none_or(|last| now.saturating_duration_since(last) >= WORK_PERIOD);
        if is_due {
            let own = self.work.rates(now);
            self.fleet_work = self.peer_work.with_own(&own, self.daemons, now);
            self.work_added_up = Some(now);
        }
        &self.fleet_work
    }

    /// Share of their time that the service's decode engines read beyond what the pauses of their streams bear.
    /// Measured (chladnica-hq, scale-2): with two thirds of their time spent reading short prompts, most streams there
    /// paused beyond their target, while prefill engines idled.
    pub(super) fn excess_reading(&self, decoders: &[Arc<BackEnd>], latency_targets: LatencyTargets) -> f64 {
        let Some(first) = decoders.first() else {
            return 0.0;
        };
        let known = self
            .fleet_work
            .iter()
            .find(|(service, _work)| *service == first.service);
        let work = known.map_or(0.0, |(_service, work)| work.decode_reading);
        #[expect(clippy::cast_precision_loss, reason = "some ten thousand engines")]
        let busy = work / self.ready_engines(decoders, Stage::Decode) as f64;
        (busy - self.bearable_reading(&first.service, latency_targets)).max(0.0)
    }

    /// Share of their time that decode engines may read.
    fn bearable_reading(&self, service: &str, latency_targets: LatencyTargets) -> f64 {
        let quiet_ms = self.streams.quiet_gap_ms(service);
        let Some(target) = latency_targets.gap.filter(|_| quiet_ms > 0.0) else {
            return DECODE_READING_SHARE;
        };
        let target_ms = target.as_secs_f64() * MS_PER_S;
        let headroom = (1.0 - quiet_ms / target_ms).max(0.0);
        (headroom * READING_OF_HEADROOM).max(DECODE_READING_SHARE)
    }

    /// Tokens that a decode engine reads without holding its streams up noticeably.
    fn unnoticed_tokens(&self, latency_targets: LatencyTargets) -> f64 {
        let target = latency_targets.gap.unwrap_or(latency_targets.latency);
        let time_ms = target.as_secs_f64() * MS_PER_S * UNNOTICED_GAP_SHARE;
        time_ms * self.speed.decode_tokens_per_ms()
    }

    /// Adds the reading that a plan brings to the work of its service.
    pub fn record_prompt_work(&mut self, service: &Arc<str>, plan: &PromptPlan, latency_targets: LatencyTargets, now: Instant) {
        let prefill_s = plan.tokens_to_read / self.speed.prefill_tokens_per_ms() / MS_PER_S;
        let decode_s = plan.tokens_to_read / self.speed.decode_tokens_per_ms() / MS_PER_S;
        let mut work = StageWork::default();
        if plan.tokens_to_read > self.unnoticed_tokens(latency_targets) {
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

    /// Adds a stream's time to the work of its service: it held one of the engine's slots.
    pub fn record_stream_work(&mut self, service: &Arc<str>, slots: u32, time: Duration, now: Instant) {
        self.streams.ran(service, time, now);
        let held = time.as_secs_f64() / f64::from(slots.max(1));
        let work = StageWork {
            decode: held * SLOT_WEIGHT,
            ..StageWork::default()
        };
        self.work.add(service, work, now);
    }
}
