//! How many engines of a service read prompts for others, and how many generate.
//!
//! Work comes in engine-seconds a second. With `u` the share of time that the engines of a stage are busy, waiting
//! grows as `u / (1 - u)`. A change takes an engine away from both stages until the streams that it runs have ended and
//! it has changed. The planner moves one engine where what that saves from then on is more than what is lost until then.
//! How long a mix will last nobody knows; it is expected to last for a multiple of the time that it has lasted so far, so
//! that a change which takes long is wanted for long before it is ordered. An engine that changes is no longer counted
//! where it was; where it will be, it counts for later changes only.

mod gain;
mod work;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configuration::Stage;
use crate::directory::BackEnd;
use gain::{Engines, better, net_gain};
pub(crate) use work::DECODE_READ_PACE;
pub use work::{DECODE_READING_SHARE, StageWork};

/// A mix is expected to go on for so many times as long as it has lasted: of durations without a scale of their own
/// (Pareto, with shape 1.5) this is the mean of what is left.
const LASTS_AGAIN: f64 = 2.0;
/// A change that the directory does not show after so many times the expected time has failed, or was undone.
const OVERDUE_FACTOR: f64 = 3.0;
/// Weight of the newest measurement of work.
const NEWEST_WEIGHT: f64 = 0.4;
/// Shortest time between two changes.
const PAUSE: Duration = Duration::from_millis(900);
/// Shortest time until an engine changes back.
const DWELL: Duration = Duration::from_secs(5);
/// Time over which the peak of work counts.
const PEAK_TIME: Duration = Duration::from_secs(3);
/// Time over which the peak of held slots counts: streams hold them long, and a mix that brought them so lately may be back
/// before a change has ended.
const SLOTS_PEAK_TIME: Duration = Duration::from_secs(15);
/// Work must have been seen for this long before the first change: while everything is read for the first time,
/// and the first streams have not ended, it says little.
const LEARNING: Duration = Duration::from_secs(4);
/// Part that a change itself is taken to have of the time that a decode engine is away for it, until that is known.
const CHANGE_SHARE_UNKNOWN: f64 = 1.0 / 3.0;
/// Of so many engines one may change at a time.
const ENGINES_PER_CHANGE: usize = 12;

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
    /// See [`gain::better`]; none before the first plan.
    change_share: Option<f64>,
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
        let change_share = change_share(&away);
        self.change_share = Some(change_share);
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
            && let Some((better_stage, gain)) = better(work, peak, counts, change_share)
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
            let record_order = self
                .changed
                .iter()
                .rev()
                .find(|record_order| record_order.is_under_way(engine, now));
            let stage = record_order.map(|record_order| record_order.stage).or(engine.stage);
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
    pub fn record_order(&mut self, change: &StageChange, now: Instant) {
        self.last_change = Some(now);
        self.changed.retain(|record_order| {
            let kept = DWELL.max(Duration::from_secs_f64(record_order.away_s * OVERDUE_FACTOR));
            now.saturating_duration_since(record_order.at) < kept
        });
        self.changed.push(Ordered {
            engine: Arc::clone(&change.engine.id),
            stage: change.stage,
            at: now,
            away_s: change.away_s,
        });
    }

    /// An order was not taken: its engine stays as it was.
    pub fn record_rejected_order(&mut self, engine: &str) {
        self.changed.retain(|record_order| &*record_order.engine != engine);
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
        let change_share = self.change_share.unwrap_or(CHANGE_SHARE_UNKNOWN);
        let wanted_by = |work| better(work, peak, counts, change_share).map(|(stage, _gain)| stage);
        // A short spike stays in the average for a while; what was measured last does not confirm it.
        let wanted = wanted_by(work).filter(|stage| wanted_by(measured) == Some(*stage));
        let before = self.wanted.filter(|before| Some(before.stage) == wanted);
        self.wanted = before.or_else(|| wanted.map(|stage| Wanted { stage, since: now }));
    }

    fn dwells(&self, engine: &BackEnd, now: Instant) -> bool {
        self.changed.iter().any(|record_order| {
            let is_recent = now.saturating_duration_since(record_order.at) < DWELL;
            record_order.is_under_way(engine, now) || (record_order.engine == engine.id && is_recent)
        })
    }
}

/// Part that the change itself has of the time that a decode engine is away for one: a prefill engine has no streams that
/// must end first.
fn change_share(away: &impl Fn(Stage) -> Duration) -> f64 {
    let with_streams = away(Stage::Prefill).as_secs_f64();
    let alone = away(Stage::Decode).as_secs_f64();
    if with_streams > 0.0 {
        (alone / with_streams).min(1.0)
    } else {
        1.0
    }
}
