//! How many engines of a service read prompts for others, and how many generate.
//!
//! Work comes in engine-seconds a second. With `u` the share of time that the engines of a stage are busy, waiting
//! grows as `u / (1 - u)`. A change takes an engine away from both stages until the streams that it runs have ended and
//! it has changed. The planner moves one engine where what that saves from then on is more than what is lost until then.
//! How long a mix will last nobody knows; it is expected to last for a multiple of the time that it has lasted so far, so
//! that a change which takes long is wanted for long before it is ordered. A change under way counts as neither stage: not where the
//! engine was, and where it will be only for later changes.

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
/// A mix is expected to go on for so many times as long as it has lasted: of durations without a scale of their own
/// (Pareto, with shape 1.5) this is the mean of what is left.
const LASTS_AGAIN: f64 = 2.0;
/// What a change costs beside the waiting while the engine is away, as a multiple of that time: the engine itself.
const ENGINE_AWAY_COST: f64 = 1.0;
/// Waiting that a change saves at the least, in engine-seconds a second: what saves less than the better part of an
/// engine is within what work swings by anyway.
const LEAST_GAIN: f64 = 0.6;
/// The most that one engine more saves, or one less costs, in engine-seconds a second. Waiting grows without bound in an
/// overload; what an engine ends does not.
const MOST_OF_AN_ENGINE: f64 = 2.0;
/// A change that the directory does not show after so many times the expected time has failed, or was undone.
const OVERDUE_FACTOR: f64 = 3.0;
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
/// The same where the other stage has no free slots left: its streams wait already.
const BUSY_AFTER_GIVING_TO_FULL: f64 = 0.66;
/// Share of the slots of the remaining decode engines that may be held at the recent peak after one is given away: a
/// stream that finds none waits until another ends, and a shift brings several times as many streams.
const SLOTS_HELD_AFTER_GIVING: f64 = 0.2;
/// Share of held slots up to which no stream waits for one,
const SLOTS_FREE_OF_WAITING: f64 = 0.7;
/// and the waiting for each where all are held, as a multiple of their time.
const WAITING_AT_FULL_SLOTS: f64 = 3.0;
/// Time over which the peak of work counts.
const PEAK_TIME: Duration = Duration::from_secs(3);
/// Time over which the peak of held slots counts: streams hold them long, and a mix that brought them so lately may be back
/// before a change has ended.
const SLOTS_PEAK_TIME: Duration = Duration::from_secs(15);
/// Work must have been seen for this long before the first change: while everything is read for the first time,
/// and the first streams have not ended, it says little.
const LEARNING: Duration = Duration::from_secs(4);
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
    /// Slots that streams hold, in engines.
    pub slots: f64,
}

impl StageWork {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prefill += other.prefill;
        self.short_reading += other.short_reading;
        self.decode += other.decode;
        self.decode_reading += other.decode_reading;
        self.slots += other.slots;
    }

    /// This work, so many times.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            short_reading: self.short_reading * factor,
            decode: self.decode * factor,
            decode_reading: self.decode_reading * factor,
            slots: self.slots * factor,
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
    /// Waiting that it saves once the engine has changed, in engine-seconds a second.
    pub gain: f64,
    /// Time until then, in seconds.
    pub away_s: f64,
    /// What it is expected to save after all, in engine-seconds.
    pub net_gain: f64,
}

/// Engines of each stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Engines {
    prefill: usize,
    decode: usize,
}

impl Engines {
    const fn all(self) -> usize {
        self.prefill + self.decode
    }

    /// With one engine less in the stage that gives.
    const fn without_giver(self, to: Stage) -> Self {
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
    const fn with_one_more(self, stage: Stage) -> Self {
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

    const fn moved(self, to: Stage) -> Self {
        self.without_giver(to).with_one_more(to)
    }
}

/// A change that was ordered, and may not have ended.
#[derive(Debug)]
struct Ordered {
    engine: Arc<str>,
    stage: Stage,
    at: Instant,
    away_s: f64,
}

impl Ordered {
    fn is_under_way(&self, engine: &BackEnd, now: Instant) -> bool {
        let limit = Duration::from_secs_f64(self.away_s * OVERDUE_FACTOR);
        self.engine == engine.id
            && engine.stage != Some(self.stage)
            && now.saturating_duration_since(self.at) < limit
    }
}

/// Plans the stages of one service's engines.
#[derive(Debug, Default)]
pub struct StagePlanner {
    work: Option<StageWork>,
    last_change: Option<Instant>,
    changed: Vec<Ordered>,
    wanted: Option<Wanted>,
    first_work: Option<Instant>,
    recent: VecDeque<(Instant, StageWork)>,
}

/// The stage that should have more engines, and since when without a break.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    stage: Stage,
    since: Instant,
}

impl StagePlanner {
    /// Takes the work measured last, with the engines that do it. Daemons that do not order observe too, so that whoever
    /// comes to has learned.
    pub fn observe(&mut self, measured: StageWork, engines: &[Arc<BackEnd>], now: Instant) {
        self.smooth(measured);
        self.recent.push_back((now, measured));
        while let Some((at, _work)) = self.recent.front()
            && now.saturating_duration_since(*at) > SLOTS_PEAK_TIME
        {
            self.recent.pop_front();
        }
        if measured.total() > 0.0 {
            self.first_work.get_or_insert(now);
        }
        self.note_wanted(measured, engines, now);
    }

    /// Decides by what was observed. `busyness` tells the requests at an engine; engines that it does not know are left
    /// alone. `away`: how long a change to a stage takes an engine away, its streams' time among it. Of large fleets several engines
    /// change at a time.
    pub fn plan(
        &mut self,
        engines: &[Arc<BackEnd>],
        busyness: impl Fn(&BackEnd) -> Option<f64>,
        away: impl Fn(Stage) -> Duration,
        now: Instant,
    ) -> Vec<StageChange> {
        let Some(work) = self.work else {
            return Vec::new();
        };
        let mut counts = self.expected_engines(engines, now);
        let peak = self.peak(now);
        let Some(wanted) = self.wanted else {
            return Vec::new();
        };
        let is_too_soon = self
            .last_change
            .is_some_and(|last| now.saturating_duration_since(last) < PAUSE);
        if is_too_soon || !self.has_learned(now) {
            return Vec::new();
        }
        let stage = wanted.stage;
        let away_s = away(stage).as_secs_f64();
        let held_s = now.saturating_duration_since(wanted.since).as_secs_f64();
        let horizon_s = held_s * LASTS_AGAIN;
        let most = (counts.all() / ENGINES_PER_CHANGE).max(1);
        let mut candidates = self.candidates(engines, stage, busyness, now);
        let mut changes = Vec::new();
        while changes.len() < most
            && let Some((better_stage, gain)) = better(work, peak, counts)
            && better_stage == stage
            && let net_gain = net_gain(work, counts, stage, away_s, horizon_s)
            && net_gain > 0.0
            && let Some(engine) = candidates.pop()
        {
            changes.push(StageChange {
                engine,
                stage,
                work,
                prefill_engines: counts.prefill,
                decode_engines: counts.decode,
                gain,
                away_s,
                net_gain,
            });
            counts = counts.moved(stage);
        }
        changes
    }

    /// Engines of each stage once all changes under way have ended.
    fn expected_engines(&self, engines: &[Arc<BackEnd>], now: Instant) -> Engines {
        let mut counts = Engines {
            prefill: 0,
            decode: 0,
        };
        for engine in engines {
            let ordered = self
                .changed
                .iter()
                .rev()
                .find(|ordered| ordered.is_under_way(engine, now));
            let stage = ordered.map(|ordered| ordered.stage).or(engine.stage);
            if let Some(stage) = stage {
                counts = counts.with_one_more(stage);
            }
        }
        counts
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
            .filter(|engine| !self.dwells(engine, now))
            .filter_map(|engine| Some((engine, busyness(engine)?)))
            .collect();
        candidates.sort_by(|left, right| right.1.total_cmp(&left.1));
        let engines = candidates.into_iter();
        engines
            .map(|(engine, _requests)| Arc::clone(engine))
            .collect()
    }

    /// A change was ordered.
    pub fn ordered(&mut self, change: &StageChange, now: Instant) {
        self.last_change = Some(now);
        self.changed.retain(|ordered| {
            let kept = DWELL.max(Duration::from_secs_f64(ordered.away_s * OVERDUE_FACTOR));
            now.saturating_duration_since(ordered.at) < kept
        });
        self.changed.push(Ordered {
            engine: Arc::clone(&change.engine.id),
            stage: change.stage,
            at: now,
            away_s: change.away_s,
        });
    }

    /// An order was not taken: its engine stays as it was.
    pub fn not_taken(&mut self, engine: &str) {
        self.changed.retain(|ordered| &*ordered.engine != engine);
    }

    fn smooth(&mut self, measured: StageWork) {
        let work = self.work.get_or_insert(measured);
        let kept = work.times(1.0 - NEWEST_WEIGHT);
        *work = measured.times(NEWEST_WEIGHT);
        work.add(kept);
    }

    /// The highest work of each kind lately.
    fn peak(&self, now: Instant) -> StageWork {
        let highest = |of: fn(&StageWork) -> f64| {
            let values = self.recent.iter().map(|(_at, work)| of(work));
            values.fold(0.0, f64::max)
        };
        let since = now.checked_sub(PEAK_TIME);
        let is_late = |at: Instant| since.is_none_or(|since| at >= since);
        let highest_lately = |of: fn(&StageWork) -> f64| {
            let lately = self.recent.iter().filter(|(at, _work)| is_late(*at));
            lately.map(|(_at, work)| of(work)).fold(0.0, f64::max)
        };
        StageWork {
            prefill: highest_lately(|work| work.prefill),
            short_reading: highest_lately(|work| work.short_reading),
            decode: highest_lately(|work| work.decode),
            slots: highest(|work| work.slots),
            ..StageWork::default()
        }
    }

    fn has_learned(&self, now: Instant) -> bool {
        self.first_work
            .is_some_and(|first| now.saturating_duration_since(first) >= LEARNING)
    }

    /// Notes which stage should have more engines; as long as it stays the same, the time counts on.
    fn note_wanted(&mut self, measured: StageWork, engines: &[Arc<BackEnd>], now: Instant) {
        let Some(work) = self.work else {
            return;
        };
        let counts = self.expected_engines(engines, now);
        let peak = self.peak(now);
        let wanted_by = |work| better(work, peak, counts).map(|(stage, _gain)| stage);
        // A short spike stays in the average for a while; what was measured last does not confirm it.
        let wanted = wanted_by(work).filter(|stage| wanted_by(measured) == Some(*stage));
        let before = self.wanted.filter(|before| Some(before.stage) == wanted);
        self.wanted = before.or_else(|| wanted.map(|stage| Wanted { stage, since: now }));
    }

    fn dwells(&self, engine: &BackEnd, now: Instant) -> bool {
        self.changed.iter().any(|ordered| {
            let is_recent = now.saturating_duration_since(ordered.at) < DWELL;
            ordered.is_under_way(engine, now) || (ordered.engine == engine.id && is_recent)
        })
    }
}

/// The stage that should have one engine more, and the waiting that this saves in the end, a second.
fn better(work: StageWork, peak: StageWork, engines: Engines) -> Option<(Stage, f64)> {
    let Engines { prefill, decode } = engines;
    let decode_gives = decode > least(engines.all(), LEAST_DECODE_SHARE)
        && busy(peak.by_stage(decode - 1).1, decode - 1) <= BUSY_AFTER_GIVING
        && busy(peak.slots, decode - 1) <= SLOTS_HELD_AFTER_GIVING;
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
fn net_gain(work: StageWork, engines: Engines, stage: Stage, away_s: f64, horizon_s: f64) -> f64 {
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
