//! How many engines of a service read prompts for others, and how many generate.
//!
//! Work comes in engine-seconds a second. With `u` the share of time that the engines of a stage are busy, waiting
//! grows as `u / (1 - u)`. The planner moves one engine where that lowers the waiting of both stages together by
//! more, over a horizon, than the engine's time away costs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configuration::Stage;
use crate::directory::BackEnd;

/// Waiting before a prompt is read weighs more than other time: reading takes a good part of the time in target
/// already.
const PREFILL_WEIGHT: f64 = 2.0;
/// Waiting at a decode engine shows twice: before the first event, and in the gaps of all streams there.
const DECODE_WEIGHT: f64 = 2.0;
/// Time over which a change must pay off, in seconds.
const HORIZON_S: f64 = 8.0;
/// What a change costs beside the engine's time away, in engine-seconds.
const CHANGE_COST: f64 = 5.0;
/// Busy share from which waiting is taken to grow no further but steeply.
const NEARLY_FULL: f64 = 0.95;
/// Weight of the newest measurement of work.
const NEWEST_WEIGHT: f64 = 0.4;
/// Shortest time between two changes.
const PAUSE: Duration = Duration::from_millis(900);
/// Shortest time until an engine changes back.
const DWELL: Duration = Duration::from_secs(5);
/// Each stage keeps this share of the engines, whatever the work is now: it shifts faster than engines change, and
/// engines and the holder of the orders fail just then. Measured: without this, a shift right after the planner had
/// gone to 9 of 12 cost more than all that it had brought.
const LEAST_PREFILL_SHARE: f64 = 0.25;
/// See [`LEAST_PREFILL_SHARE`].
const LEAST_DECODE_SHARE: f64 = 0.5;
/// A stage gives an engine away only if the rest is then busy for no more than this share, at its recent peak.
/// Measured: an engine taken from decode engines that a burst is about to fill is missed for seconds.
const BUSY_AFTER_GIVING: f64 = 0.33;
/// Time over which the peak counts.
const PEAK_TIME: Duration = Duration::from_secs(3);
/// Work must have been seen for this long before the first change: while everything is read for the first time,
/// and the first streams have not ended, it says little.
const LEARNING: Duration = Duration::from_secs(4);
/// Looks in a row that must find the same change better.
const LOOKS: u32 = 2;

/// Work of one service, in engine-seconds a second. What each stage is wanted for counts there, wherever it was done: a
/// full stage spills into the other, which must not look as if that were its own work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageWork {
    /// Reading long prompts.
    pub prefill: f64,
    /// Generating, and reading short prompts.
    pub decode: f64,
    /// Reading that decode engines really do.
    pub decode_reading: f64,
}

impl StageWork {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prefill += other.prefill;
        self.decode += other.decode;
        self.decode_reading += other.decode_reading;
    }

    /// This work, so many times.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            decode: self.decode * factor,
            decode_reading: self.decode_reading * factor,
        }
    }
}

/// One engine is to change.
#[derive(Debug, Clone)]
pub struct StageChange {
    /// The engine.
    pub engine: Arc<BackEnd>,
    /// Its stage from then on.
    pub stage: Stage,
    /// Work on which the decision rests.
    pub work: StageWork,
    /// Engines in each stage before.
    pub prefill_engines: usize,
    /// Engines in each stage before.
    pub decode_engines: usize,
    /// Waiting that it saves, in engine-seconds a second.
    pub gain: f64,
}

/// Plans the stages of one service's engines.
#[derive(Debug, Default)]
pub struct StagePlanner {
    work: Option<StageWork>,
    last_change: Option<Instant>,
    changed: Vec<(Arc<str>, Instant)>,
    wanted: Option<Stage>,
    looks: u32,
    first_work: Option<Instant>,
    recent: VecDeque<(Instant, StageWork)>,
}

impl StagePlanner {
    /// Takes the work measured last, and decides. `busyness` tells the requests at an engine; engines that it does
    /// not know are left alone.
    pub fn plan(
        &mut self,
        engines: &[Arc<BackEnd>],
        measured: StageWork,
        busyness: impl Fn(&BackEnd) -> Option<f64>,
        now: Instant,
    ) -> Option<StageChange> {
        let work = self.smooth(measured);
        let is_too_soon = self
            .last_change
            .is_some_and(|last| now.saturating_duration_since(last) < PAUSE);
        if is_too_soon {
            return None;
        }
        let prefill = count(engines, Stage::Prefill);
        let decode = count(engines, Stage::Decode);
        let peak = self.peak(measured, now);
        if !self.has_learned(measured, now) {
            return None;
        }
        let wanted = better(work, peak, prefill, decode);
        let (stage, gain) = self.confirmed(wanted)?;
        let from = match stage {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        };
        let engine = engines
            .iter()
            .filter(|engine| engine.stage == Some(from))
            .filter(|engine| !self.dwells(&engine.id, now))
            .filter_map(|engine| Some((engine, busyness(engine)?)))
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(engine, _requests)| Arc::clone(engine))?;
        Some(StageChange {
            engine,
            stage,
            work,
            prefill_engines: prefill,
            decode_engines: decode,
            gain,
        })
    }

    /// A change was ordered.
    pub fn ordered(&mut self, engine: &Arc<str>, now: Instant) {
        self.last_change = Some(now);
        self.changed
            .retain(|(_id, at)| now.saturating_duration_since(*at) < DWELL);
        self.changed.push((Arc::clone(engine), now));
    }

    fn smooth(&mut self, measured: StageWork) -> StageWork {
        let work = self.work.get_or_insert(measured);
        work.prefill += NEWEST_WEIGHT * (measured.prefill - work.prefill);
        work.decode += NEWEST_WEIGHT * (measured.decode - work.decode);
        *work
    }

    /// The highest work of each stage lately.
    fn peak(&mut self, measured: StageWork, now: Instant) -> StageWork {
        self.recent.push_back((now, measured));
        while let Some((at, _work)) = self.recent.front()
            && now.saturating_duration_since(*at) > PEAK_TIME
        {
            self.recent.pop_front();
        }
        let highest = |of: fn(&StageWork) -> f64| {
            let values = self.recent.iter().map(|(_at, work)| of(work));
            values.fold(0.0, f64::max)
        };
        StageWork {
            prefill: highest(|work| work.prefill),
            decode: highest(|work| work.decode),
            ..StageWork::default()
        }
    }

    fn has_learned(&mut self, measured: StageWork, now: Instant) -> bool {
        if measured.prefill + measured.decode <= 0.0 {
            return false;
        }
        let first = *self.first_work.get_or_insert(now);
        now.saturating_duration_since(first) >= LEARNING
    }

    fn confirmed(&mut self, wanted: Option<(Stage, f64)>) -> Option<(Stage, f64)> {
        let stage = wanted.map(|(stage, _gain)| stage);
        if stage == self.wanted {
            self.looks += 1;
        } else {
            self.wanted = stage;
            self.looks = 1;
        }
        wanted.filter(|_| self.looks >= LOOKS)
    }

    fn dwells(&self, id: &str, now: Instant) -> bool {
        self.changed
            .iter()
            .any(|(known, at)| &**known == id && now.saturating_duration_since(*at) < DWELL)
    }
}

fn count(engines: &[Arc<BackEnd>], stage: Stage) -> usize {
    let of_stage = engines.iter().filter(|engine| engine.stage == Some(stage));
    of_stage.count()
}

/// The stage that should have one engine more, if that pays, and what it saves.
fn better(work: StageWork, peak: StageWork, prefill: usize, decode: usize) -> Option<(Stage, f64)> {
    let all = prefill + decode;
    let now = waiting(work, prefill, decode);
    let decode_gives = decode > least(all, LEAST_DECODE_SHARE)
        && busy(peak.decode, decode - 1) <= BUSY_AFTER_GIVING;
    let prefill_gives = prefill > least(all, LEAST_PREFILL_SHARE)
        && busy(peak.prefill, prefill - 1) <= BUSY_AFTER_GIVING;
    let to_prefill = decode_gives.then(|| now - waiting(work, prefill + 1, decode - 1));
    let to_decode = prefill_gives.then(|| now - waiting(work, prefill - 1, decode + 1));
    let choices = [(Stage::Prefill, to_prefill), (Stage::Decode, to_decode)];
    choices
        .into_iter()
        .filter_map(|(stage, gain)| Some((stage, gain?)))
        .filter(|(_stage, gain)| gain * HORIZON_S > CHANGE_COST)
        .max_by(|left, right| left.1.total_cmp(&right.1))
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

fn waiting(work: StageWork, prefill: usize, decode: usize) -> f64 {
    PREFILL_WEIGHT * waiting_of(work.prefill, prefill)
        + DECODE_WEIGHT * waiting_of(work.decode, decode)
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

/// Share of time that so many engines are busy with this work.
#[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
fn busy(work: f64, engines: usize) -> f64 {
    work / engines.max(1) as f64
}
