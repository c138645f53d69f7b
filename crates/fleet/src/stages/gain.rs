//! Estimates the benefit and the cost of moving an engine between stages.

use super::StageWork;
use crate::configuration::Stage;

/// Weight of waiting for prefill, which uses up a large part of the latency target.
const PREFILL_WEIGHT: f64 = 2.0;
/// Weight of waiting at decode engines, which delays the first event as well as every later event
/// of the streams there.
const DECODE_WEIGHT: f64 = 2.0;
/// Cost of an unavailable engine in addition to the waiting it causes, as a multiple of the
/// unavailable time.
const ENGINE_UNAVAILABLE_COST: f64 = 1.0;
/// Minimum saving of a change, in engine-seconds per second; smaller values are within the normal
/// fluctuation of work.
const MIN_GAIN: f64 = 0.6;
/// Upper bound of the saving or loss caused by one engine, in engine-seconds per second. Estimated
/// waiting is unbounded under overload, but the throughput of an engine is not.
const MAX_EFFECT_OF_ENGINE: f64 = 2.0;
/// Utilization above which the waiting estimate grows only linearly.
const LINEAR_ABOVE_UTILIZATION: f64 = 0.95;
/// Minimum share of prefill engines, whatever the current work: work shifts faster than engines can
/// change, and engines and the leader may fail at that time. Without it, a shift right after the
/// planner had moved to 9 engines of 12 in one stage cost more than the changes had gained.
const MIN_PREFILL_SHARE: f64 = 0.25;
/// Minimum share of decode engines, see [`MIN_PREFILL_SHARE`].
const MIN_DECODE_SHARE: f64 = 0.3;
/// Maximum utilization of a stage, at its recent peak, after it has given up an engine. Keeps
/// capacity for bursts, because an engine returns only after seconds.
const MAX_DONOR_UTILIZATION: f64 = 0.33;
/// Maximum utilization of the prefill stage after it has given up an engine to a decode stage
/// without free slots, whose streams are already waiting.
const MAX_DONOR_UTILIZATION_FOR_FULL: f64 = 0.66;
/// Maximum share of slots held at the remaining decode engines, at the recent peak, after one has
/// been given up; applies to engines that can change immediately. A shift in the mix may bring
/// several times as many streams, and a stream without a slot waits until another ends. The share
/// is reduced where waiting for streams makes up most of the time of a change: with streams of 3 to
/// 10 s and changes of 3 s, 0.2 serves better than 0.4; with streams of 1 to 2 s, no engine ever
/// changes at 0.2.
const MAX_SLOTS_HELD_SHARE: f64 = 0.6;
/// Share of held slots up to which no stream waits for one.
const SLOT_WAIT_THRESHOLD: f64 = 0.7;
/// Waiting time per held slot if all slots are held, as a multiple of the holding time.
const FULL_SLOTS_WAIT_FACTOR: f64 = 3.0;

/// Number of engines per stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Engines {
    pub(super) prefill: usize,
    pub(super) decode: usize,
}

impl Engines {
    pub(super) const fn all(self) -> usize {
        self.prefill + self.decode
    }

    /// With one engine fewer in the stage that gives up an engine to `to`.
    pub(super) const fn without_donor(self, to: Stage) -> Self {
        match to {
            Stage::Prefill => Self {
                decode: self.decode - 1,
                ..self
            },
            Stage::Decode => Self {
                prefill: self.prefill - 1,
                ..self
            },
        }
    }

    /// With one engine more in `stage`.
    pub(super) const fn with_one_more(self, stage: Stage) -> Self {
        match stage {
            Stage::Prefill => Self {
                prefill: self.prefill + 1,
                ..self
            },
            Stage::Decode => Self {
                decode: self.decode + 1,
                ..self
            },
        }
    }

    pub(super) const fn moved(self, to: Stage) -> Self {
        self.without_donor(to).with_one_more(to)
    }
}

/// Stage that benefits most from one more engine, with the waiting time saved in engine-seconds per
/// second. `change_share` is the share of the change itself in the time a decode engine is
/// unavailable; waiting for its streams takes the rest.
pub(super) fn best_move(
    work: StageWork,
    peak: StageWork,
    engines: Engines,
    change_share: f64,
) -> Option<(Stage, f64)> {
    let Engines { prefill, decode } = engines;
    let decode_can_give = decode > min_engines(engines.all(), MIN_DECODE_SHARE)
        && utilization(peak.by_stage(decode - 1).1, decode - 1) <= MAX_DONOR_UTILIZATION
        && utilization(peak.slots, decode - 1) <= MAX_SLOTS_HELD_SHARE * change_share;
    let is_full = utilization(work.slots, decode) > SLOT_WAIT_THRESHOLD;
    let max_prefill_utilization = if is_full {
        MAX_DONOR_UTILIZATION_FOR_FULL
    } else {
        MAX_DONOR_UTILIZATION
    };
    let prefill_can_give = prefill > min_engines(engines.all(), MIN_PREFILL_SHARE)
        && utilization(peak.by_stage(decode + 1).0, prefill - 1) <= max_prefill_utilization;
    let choices = [
        (Stage::Prefill, decode_can_give),
        (Stage::Decode, prefill_can_give),
    ];
    choices
        .into_iter()
        .filter(|(_stage, can_give)| *can_give)
        .map(|(stage, _is_given)| {
            let gain = waiting_time(work, engines) - waiting_time(work, engines.moved(stage));
            (stage, gain)
        })
        .filter(|(_stage, gain)| *gain > MIN_GAIN)
        .max_by(|left, right| left.1.total_cmp(&right.1))
}

/// Net saving of one more engine in `stage` within the horizon, in engine-seconds: the gain after
/// the change minus the loss while the engine is unavailable.
pub(super) fn net_gain(
    work: StageWork,
    engines: Engines,
    stage: Stage,
    away_s: f64,
    horizon_s: f64,
) -> f64 {
    let now = waiting_time(work, engines);
    let loss = (waiting_time(work, engines.without_donor(stage)) - now).min(MAX_EFFECT_OF_ENGINE);
    let gain = (now - waiting_time(work, engines.moved(stage))).min(MAX_EFFECT_OF_ENGINE);
    gain * (horizon_s - away_s) - (loss + ENGINE_UNAVAILABLE_COST) * away_s
}

/// Minimum number of engines of a stage, at least one.
fn min_engines(all: usize, share: f64) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few hundred engines"
    )]
    let min_engines = (all as f64 * share).ceil() as usize;
    min_engines.max(1)
}

fn waiting_time(work: StageWork, engines: Engines) -> f64 {
    let Engines { prefill, decode } = engines;
    let (reading, generating) = work.by_stage(decode);
    let at_decode = queueing_time(generating, decode).max(slot_waiting_time(work.slots, decode));
    PREFILL_WEIGHT * queueing_time(reading, prefill) + DECODE_WEIGHT * at_decode
}

/// Waiting time of `work` at this many engines, in engine-seconds per second.
fn queueing_time(work: f64, engines: usize) -> f64 {
    let utilization = utilization(work, engines);
    if utilization < LINEAR_ABOVE_UTILIZATION {
        return work * utilization / (1.0 - utilization);
    }
    let factor_at_threshold = LINEAR_ABOVE_UTILIZATION / (1.0 - LINEAR_ABOVE_UTILIZATION);
    work * factor_at_threshold * (utilization / LINEAR_ABOVE_UTILIZATION)
}

/// Waiting time for slots, in engine-seconds per second. All streams of an engine share its slots,
/// so nobody waits until nearly all are held.
fn slot_waiting_time(slots: f64, engines: usize) -> f64 {
    let excess = (utilization(slots, engines) - SLOT_WAIT_THRESHOLD).max(0.0);
    slots * FULL_SLOTS_WAIT_FACTOR * (excess / (1.0 - SLOT_WAIT_THRESHOLD)).powi(2)
}

/// Utilization of this many engines.
#[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
fn utilization(work: f64, engines: usize) -> f64 {
    work / engines.max(1) as f64
}
