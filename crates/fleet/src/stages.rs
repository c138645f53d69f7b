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
const LEAST_DECODE_SHARE: f64 = 0.3;
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
/// Of so many engines one may change at a time.
const ENGINES_PER_CHANGE: usize = 12;
/// Decode engines read short prompts themselves for up to this share of their time; beyond it the pauses show in their
/// streams, and prefill engines read the rest.
pub const DECODE_READING_SHARE: f64 = 0.1;
/// A decode engine reads prompts at this share of a prefill engine's pace.
pub(crate) const DECODE_READ_PACE: f64 = 0.5;

/// Work of one service, in engine-seconds a second. What each stage is wanted for counts there, wherever it was done: a
/// full stage spills into the other, which must not look as if that were its own work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageWork {
    /// Reading long prompts.
    pub prefill: f64,
    /// Reading short prompts, at the pace of prefill engines.
    pub short_reading: f64,
    /// Generating.
    pub decode: f64,
    /// Reading that decode engines really do.
    pub decode_reading: f64,
}

impl StageWork {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prefill += other.prefill;
        self.short_reading += other.short_reading;
        self.decode += other.decode;
        self.decode_reading += other.decode_reading;
    }

    /// This work, so many times.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            short_reading: self.short_reading * factor,
            decode: self.decode * factor,
            decode_reading: self.decode_reading * factor,
        }
    }

    /// All work.
    #[must_use]
    pub fn total(self) -> f64 {
        self.prefill + self.short_reading + self.decode
    }

    /// Work of each stage where so many engines decode: prefill engines read the short prompts that these have no time
    /// for.
    fn by_stage(self, decode_engines: usize) -> (f64, f64) {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
        let time_for_reading = DECODE_READING_SHARE * decode_engines as f64;
        let read_there = (self.short_reading / DECODE_READ_PACE).min(time_for_reading);
        let read_apart = self.short_reading - read_there * DECODE_READ_PACE;
        (self.prefill + read_apart, self.decode + read_there)
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
    /// Takes the work measured last. Daemons that do not order observe too, so that whoever comes to has learned.
    pub fn observe(&mut self, measured: StageWork, now: Instant) {
        self.smooth(measured);
        self.recent.push_back((now, measured));
        while let Some((at, _work)) = self.recent.front()
            && now.saturating_duration_since(*at) > PEAK_TIME
        {
            self.recent.pop_front();
        }
        if measured.total() > 0.0 {
            self.first_work.get_or_insert(now);
        }
    }

    /// Decides by what was observed. `busyness` tells the requests at an engine; engines that it does not know are left
    /// alone. Of large fleets several engines change at a time.
    pub fn plan(
        &mut self,
        engines: &[Arc<BackEnd>],
        busyness: impl Fn(&BackEnd) -> Option<f64>,
        now: Instant,
    ) -> Vec<StageChange> {
        let is_too_soon = self
            .last_change
            .is_some_and(|last| now.saturating_duration_since(last) < PAUSE);
        let Some(work) = self.work else {
            return Vec::new();
        };
        if is_too_soon || !self.has_learned(now) {
            return Vec::new();
        }
        let mut prefill = count(engines, Stage::Prefill);
        let mut decode = count(engines, Stage::Decode);
        let most = ((prefill + decode) / ENGINES_PER_CHANGE).max(1);
        let peak = self.peak();
        let wanted = better(work, peak, prefill, decode).map(|(stage, _gain)| stage);
        let Some(stage) = self.confirmed(wanted) else {
            return Vec::new();
        };
        let mut candidates = self.candidates(engines, stage, busyness, now);
        let mut changes = Vec::new();
        while changes.len() < most
            && let Some((wanted, gain)) = better(work, peak, prefill, decode)
            && wanted == stage
            && let Some(engine) = candidates.pop()
        {
            changes.push(StageChange {
                engine,
                stage,
                work,
                prefill_engines: prefill,
                decode_engines: decode,
                gain,
            });
            match stage {
                Stage::Prefill => (prefill, decode) = (prefill + 1, decode - 1),
                Stage::Decode => (prefill, decode) = (prefill - 1, decode + 1),
            }
        }
        changes
    }

    /// Engines that may change to `stage`, the least busy last.
    fn candidates(
        &self,
        engines: &[Arc<BackEnd>],
        stage: Stage,
        busyness: impl Fn(&BackEnd) -> Option<f64>,
        now: Instant,
    ) -> Vec<Arc<BackEnd>> {
        let mut candidates: Vec<(&Arc<BackEnd>, f64)> = engines
            .iter()
            .filter(|engine| engine.stage.is_some_and(|from| from != stage))
            .filter(|engine| !self.dwells(&engine.id, now))
            .filter_map(|engine| Some((engine, busyness(engine)?)))
            .collect();
        candidates.sort_by(|left, right| right.1.total_cmp(&left.1));
        let engines = candidates.into_iter();
        engines
            .map(|(engine, _requests)| Arc::clone(engine))
            .collect()
    }

    /// A change was ordered.
    pub fn ordered(&mut self, engine: &Arc<str>, now: Instant) {
        self.last_change = Some(now);
        self.changed
            .retain(|(_id, at)| now.saturating_duration_since(*at) < DWELL);
        self.changed.push((Arc::clone(engine), now));
    }

    fn smooth(&mut self, measured: StageWork) {
        let work = self.work.get_or_insert(measured);
        let kept = work.times(1.0 - NEWEST_WEIGHT);
        *work = measured.times(NEWEST_WEIGHT);
        work.add(kept);
    }

    /// The highest work of each kind lately.
    fn peak(&self) -> StageWork {
        let highest = |of: fn(&StageWork) -> f64| {
            let values = self.recent.iter().map(|(_at, work)| of(work));
            values.fold(0.0, f64::max)
        };
        StageWork {
            prefill: highest(|work| work.prefill),
            short_reading: highest(|work| work.short_reading),
            decode: highest(|work| work.decode),
            ..StageWork::default()
        }
    }

    fn has_learned(&self, now: Instant) -> bool {
        self.first_work
            .is_some_and(|first| now.saturating_duration_since(first) >= LEARNING)
    }

    /// The wanted stage, once some looks in a row have found the same.
    fn confirmed(&mut self, wanted: Option<Stage>) -> Option<Stage> {
        if wanted == self.wanted {
            self.looks += 1;
        } else {
            self.wanted = wanted;
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
        && busy(peak.by_stage(decode - 1).1, decode - 1) <= BUSY_AFTER_GIVING;
    let prefill_gives = prefill > least(all, LEAST_PREFILL_SHARE)
        && busy(peak.by_stage(decode + 1).0, prefill - 1) <= BUSY_AFTER_GIVING;
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
    let (reading, generating) = work.by_stage(decode);
    PREFILL_WEIGHT * waiting_of(reading, prefill) + DECODE_WEIGHT * waiting_of(generating, decode)
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
