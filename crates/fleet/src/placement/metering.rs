//! The work that requests bring, metered for the planner of the stages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Placement, PromptPlan, reading};
use crate::directory::BackEnd;
use crate::stages::{DECODE_READING_SHARE, StageWork};

/// What each busy share of decode engines beyond [`DECODE_READING_SHARE`] counts as, in milliseconds. Measured (chladnica-hq, scale-2): with two thirds of
/// their time spent reading short prompts, most streams there paused beyond their target, while prefill engines idled.
const BUSY_DECODE_MS: f64 = 500.0;
/// A stream that holds a slot takes this share of what the slot could do: streams of a batch share each step.
const SLOT_WEIGHT: f64 = 0.3;
/// Work of all daemons is added up this often.
const WORK_PERIOD: Duration = Duration::from_millis(100);

impl Placement {
    /// Work of every service, of all daemons; added up anew where that is some time ago.
    pub fn work_of_all(&mut self, now: Instant) -> &[(Arc<str>, StageWork)] {
        let is_due = self
            .work_added_up
            .is_none_or(|last| now.saturating_duration_since(last) >= WORK_PERIOD);
        if is_due {
            let own = self.work.rates(now);
            self.work_of_all = self.peer_work.with_own(&own, self.daemons, now);
            self.work_added_up = Some(now);
        }
        &self.work_of_all
    }

    /// What further reading at the service's decode engines costs the streams there, in milliseconds.
    pub(super) fn busy_decode_ms(&self, decoders: &[Arc<BackEnd>]) -> f64 {
        let Some(first) = decoders.first() else {
            return 0.0;
        };
        let known = self
            .work_of_all
            .iter()
            .find(|(service, _work)| *service == first.service);
        let work = known.map_or(0.0, |(_service, work)| work.decode_reading);
        #[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
        let busy = work / decoders.len() as f64;
        (busy - DECODE_READING_SHARE).max(0.0) * BUSY_DECODE_MS
    }

    /// Adds the reading that a plan brings to the work of its service.
    pub fn meter(&mut self, service: &Arc<str>, plan: &PromptPlan, now: Instant) {
        const MS_PER_S: f64 = 1000.0;
        let prefill_s = plan.tokens_to_read / self.speed.prefill_tokens_per_ms() / MS_PER_S;
        let decode_s = plan.tokens_to_read / self.speed.decode_tokens_per_ms() / MS_PER_S;
        let mut work = StageWork::default();
        if plan.tokens_to_read > reading::UNNOTICED_TOKENS {
            work.prefill = prefill_s;
        } else {
            work.short_reading = prefill_s;
        }
        if plan.prefill.is_none() {
            work.decode_reading = decode_s;
        }
        self.work.add(service, work, now);
    }

    /// Adds a stream's time to the work of its service: it held one of the engine's slots.
    pub fn meter_stream(&mut self, service: &Arc<str>, slots: u32, time: Duration, now: Instant) {
        self.streams.ran(service, time, now);
        let held = time.as_secs_f64() / f64::from(slots.max(1));
        let work = StageWork {
            decode: held * SLOT_WEIGHT,
            ..StageWork::default()
        };
        self.work.add(service, work, now);
    }
}
