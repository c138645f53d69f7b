//! What one engine more in a stage saves, and what it costs until then.

use super::StageWork;
use crate::configuration::Stage;

/// Waiting before a prompt is read weighs more than other time: reading takes a good part of the time in target
/// already.
const PREFILL_WEIGHT: f64 = 2.0;
/// Waiting at a decode engine shows twice: before the first event, and in the gaps of all streams there.
const DECODE_WEIGHT: f64 = 2.0;
/// What a change costs beside the waiting while the engine is away, as a multiple of that time: the engine itself.
const ENGINE_AWAY_COST: f64 = 1.0;
/// Waiting that a change saves at the least, in engine-seconds a second: what saves less than the better part of an
/// engine is within what work swings by anyway.
const LEAST_GAIN: f64 = 0.6;
/// The most that one engine more saves, or one less costs, in engine-seconds a second. Waiting grows without bound in an
/// overload; what an engine ends does not.
const MOST_OF_AN_ENGINE: f64 = 2.0;
/// Busy share from which waiting is taken to grow no further but steeply.
const NEARLY_FULL: f64 = 0.95;
/// Each stage keeps this share of the engines, whatever the work is now: it shifts faster than engines change, and
/// engines and the holder of the orders fail just then. Measured: without this, a shift right after the planner had
/// gone to 9 of 12 cost more than all that it had brought.
const LEAST_PREFILL_SHARE: f64 = 0.25;
/// See [`LEAST_PREFILL_SHARE`].
const LEAST_DECODE_SHARE: f64 = 0.3;
/// A stage gives an engine away only if the rest is then busy for no more than this share, at its recent peak.
/// Measured: an engine taken from decode engines that a burst is about to fill is missed for seconds.
const BUSY_AFTER_GIVING: f64 = 0.33;
/// The same where the other stage has no free slots left: its streams wait already.
const BUSY_AFTER_GIVING_TO_FULL: f64 = 0.66;
/// Share of the slots of the remaining decode engines that may be held at the recent peak after one is given away, where
/// an engine can change at once: a shift brings several times as many streams, and one that finds no slot waits until
/// another ends. Streams keep an engine from changing, and they are what others wait for: where they take most of the time
/// of a change, so much less may be held. Measured: 0.2 on ferragni-rota (streams of 3 to 10 s, changes of 3 s; with 0.4
/// trouble-1 fell from 0.70 to 0.62), 0.4 on chladnica-hq-large (streams of 1 to 2 s; with 0.2 no engine ever changed).
const SLOTS_HELD_AFTER_GIVING: f64 = 0.6;
/// Share of held slots up to which no stream waits for one,
const SLOTS_FREE_OF_WAITING: f64 = 0.7;
/// and the waiting for each where all are held, as a multiple of their time.
const WAITING_AT_FULL_SLOTS: f64 = 3.0;

/// Engines of each stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Engines {
    pub(super) prefill: usize,
    pub(super) decode: usize,
}

impl Engines {
    pub(super) const fn all(self) -> usize {
        self.prefill + self.decode
    }

    /// With one engine less in the stage that gives.
    pub(super) const fn without_giver(self, to: Stage) -> Self {
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
        self.without_giver(to).with_one_more(to)
    }
}

/// The stage that should have one engine more, and the waiting that this saves in the end, a second. `change_share` is the
/// part that the change itself has of the time that a decode engine is away for one; its streams take the rest.
pub(super) fn better(
    work: StageWork,
    peak: StageWork,
    engines: Engines,
    change_share: f64,
) -> Option<(Stage, f64)> {
    let Engines { prefill, decode } = engines;
    let decode_gives = decode > least(engines.all(), LEAST_DECODE_SHARE)
        && busy(peak.by_stage(decode - 1).1, decode - 1) <= BUSY_AFTER_GIVING
        && busy(peak.slots, decode - 1) <= SLOTS_HELD_AFTER_GIVING * change_share;
    let is_full = busy(work.slots, decode) > SLOTS_FREE_OF_WAITING;
    let busy_after_giving = if is_full {
        BUSY_AFTER_GIVING_TO_FULL
    } else {
        BUSY_AFTER_GIVING
    };
    let prefill_gives = prefill > least(engines.all(), LEAST_PREFILL_SHARE)
        && busy(peak.by_stage(decode + 1).0, prefill - 1) <= busy_after_giving;
    let choices = [
        (Stage::Prefill, decode_gives),
        (Stage::Decode, prefill_gives),
    ];
    choices
        .into_iter()
        .filter(|(_stage, is_given)| *is_given)
        .map(|(stage, _is_given)| {
            let gain = waiting(work, engines) - waiting(work, engines.moved(stage));
            (stage, gain)
        })
        .filter(|(_stage, gain)| *gain > LEAST_GAIN)
        .max_by(|left, right| left.1.total_cmp(&right.1))
}

/// What one engine more in `stage` saves within the horizon, in engine-seconds: the gain while it lasts, less what is
/// lost while the engine is away.
pub(super) fn net_gain(
    work: StageWork,
    engines: Engines,
    stage: Stage,
    away_s: f64,
    horizon_s: f64,
) -> f64 {
    let now = waiting(work, engines);
    let loss = (waiting(work, engines.without_giver(stage)) - now).min(MOST_OF_AN_ENGINE);
    let gain = (now - waiting(work, engines.moved(stage))).min(MOST_OF_AN_ENGINE);
    gain * (horizon_s - away_s) - (loss + ENGINE_AWAY_COST) * away_s
}

/// Engines that a stage keeps; one at least.
fn least(all: usize, share: f64) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few hundred engines"
    )]
    let least = (all as f64 * share).ceil() as usize;
    least.max(1)
}

fn waiting(work: StageWork, engines: Engines) -> f64 {
    let Engines { prefill, decode } = engines;
    let (reading, generating) = work.by_stage(decode);
    let at_decode = waiting_of(generating, decode).max(waiting_for_slots(work.slots, decode));
    PREFILL_WEIGHT * waiting_of(reading, prefill) + DECODE_WEIGHT * at_decode
}

/// Engine-seconds a second that work waits at so many engines.
fn waiting_of(work: f64, engines: usize) -> f64 {
    let busy = busy(work, engines);
    if busy < NEARLY_FULL {
        return work * busy / (1.0 - busy);
    }
    let at_the_edge = NEARLY_FULL / (1.0 - NEARLY_FULL);
    work * at_the_edge * (busy / NEARLY_FULL)
}

/// Engine-seconds a second that streams wait for slots. An engine's slots serve all its streams: nobody waits until
/// nearly all are held.
fn waiting_for_slots(slots: f64, engines: usize) -> f64 {
    let crowded = (busy(slots, engines) - SLOTS_FREE_OF_WAITING).max(0.0);
    slots * WAITING_AT_FULL_SLOTS * (crowded / (1.0 - SLOTS_FREE_OF_WAITING)).powi(2)
}

/// Share of time that so many engines are busy with this work.
#[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
fn busy(work: f64, engines: usize) -> f64 {
    work / engines.max(1) as f64
}
