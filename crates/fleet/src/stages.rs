//! Plans how many engines of a service run prefill and how many run decode.
//!
//! Work is measured in engine-seconds per second. With `u` as the utilization of a stage, waiting
//! grows as `u / (1 - u)`. An engine that changes its stage serves neither stage until its streams
//! have ended and the change is complete. The planner moves an engine if the waiting time saved
//! afterwards exceeds what is lost until then.
//!
//! How long a request mix will last is unknown; it is assumed to last for a multiple of the time it
//! has lasted so far, so a slow change must be wanted for long before it is ordered. An engine that
//! is changing no longer counts for its old stage; it counts for its new stage only when further
//! changes are planned.

mod engine_times;
mod gain;
mod work;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configuration::Stage;
use crate::directory::BackEnd;
pub use engine_times::EngineTime;
use engine_times::EngineTimes;
use gain::{Engines, best_move, net_gain};
pub(crate) use work::{DECODE_READ_SPEED_RATIO, STREAM_SLOT_WEIGHT};
pub use work::{DECODE_READING_SHARE, StageWork};

/// Expected remaining duration of a request mix as a multiple of its duration so far: the mean
/// residual of a Pareto distribution with shape 1.5.
const EXPECTED_REMAINING_FACTOR: f64 = 2.0;
/// A change that the directory does not show after this multiple of its expected time is considered
/// failed or undone.
pub const OVERDUE_FACTOR: f64 = 3.0;
/// Weight of the newest sample in the moving average of work.
const NEWEST_WEIGHT: f64 = 0.4;
/// Minimum interval between two changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(900);
/// Minimum time before an engine changes again.
const MIN_DWELL_TIME: Duration = Duration::from_secs(5);
/// Window for the peak of prefill and decode work.
const WORK_PEAK_WINDOW: Duration = Duration::from_secs(3);
/// Window for the peak of held slots. Longer, because streams hold slots for long and the mix that
/// caused the peak may return before a change completes.
const SLOTS_PEAK_WINDOW: Duration = Duration::from_secs(15);
/// Time for which work must have been observed before the first change: with cold caches and before
/// the first streams end, measurements are not representative.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// Assumed share of the change itself in the time a decode engine is unavailable, before it is
/// known.
const DEFAULT_CHANGE_SHARE: f64 = 1.0 / 3.0;
/// One engine may change at a time per this many engines.
const ENGINES_PER_CHANGE: usize = 12;

/// A planned stage change of one engine.
#[derive(Debug, Clone)]
pub struct StageChange {
    /// Engine to change.
    pub engine: Arc<BackEnd>,
    /// New stage.
    pub stage: Stage,
    /// Work on which the decision is based.
    pub work: StageWork,
    /// Prefill engines before the change.
    pub prefill_engines: usize,
    /// Decode engines before the change.
    pub decode_engines: usize,
    /// Waiting time saved once the change is complete, in engine-seconds per second.
    pub gain: f64,
    /// Expected time until the engine serves its new stage, in seconds.
    pub away_s: f64,
    /// Expected net saving after the cost of the change, in engine-seconds.
    pub net_gain: f64,
}

/// An ordered change that may still be in progress.
#[derive(Debug)]
struct OrderedChange {
    engine: Arc<str>,
    stage: Stage,
    at: Instant,
    away_s: f64,
}

impl OrderedChange {
    fn is_under_way(&self, engine: &BackEnd, now: Instant) -> bool {
        let limit = Duration::from_secs_f64(self.away_s * OVERDUE_FACTOR);
        self.engine == engine.id
            && engine.stage != Some(self.stage)
            && now.saturating_duration_since(self.at) < limit
    }
}

/// Stage planner of one service.
#[derive(Debug, Default)]
pub struct StagePlanner {
    work: Option<StageWork>,
    last_change: Option<Instant>,
    orders: Vec<OrderedChange>,
    wanted: Option<Wanted>,
    first_work: Option<Instant>,
    /// Share of the change itself in the time a decode engine is unavailable, see
    /// [`gain::best_move`]; `None` before the first plan.
    change_share: Option<f64>,
    recent: VecDeque<(Instant, StageWork)>,
    times: EngineTimes,
}

/// Stage that needs more engines, and since when without interruption.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    stage: Stage,
    since: Instant,
}

impl StagePlanner {
    /// Replaces what is known of the speed of engines. Without it they count as equal.
    pub fn set_engine_times(&mut self, times: impl IntoIterator<Item = (Arc<str>, EngineTime)>) {
        self.times = EngineTimes::new(times);
    }

    /// Records measured work and the engines that performed it. Daemons that do not order changes
    /// also observe, so that they can take over without a warm-up.
    pub fn observe(&mut self, measured: StageWork, engines: &[Arc<BackEnd>], now: Instant) {
        // Prompts are measured at the speed of an average engine; held slots and decode work already
        // contain the speed of the engines.
        let prefill_time = self.times.of_prefill_stage(engines);
        let measured = StageWork {
            prefill: measured.prefill * prefill_time,
            short_reading: measured.short_reading * prefill_time,
            ..measured
        };
        self.smooth(measured);
        self.recent.push_back((now, measured));
        while let Some((at, _work)) = self.recent.front()
            && now.saturating_duration_since(*at) > SLOTS_PEAK_WINDOW
        {
            self.recent.pop_front();
        }
        if measured.total() > 0.0 {
            self.first_work.get_or_insert(now);
        }
        self.update_wanted(measured, engines, now);
    }

    /// Plans stage changes from the observed work. `busyness` returns the number of requests at an
    /// engine; engines for which it returns `None` are not changed. `change_time` returns how long
    /// a change to a stage makes an engine unavailable, including the time until its streams end.
    /// Large fleets may change several engines at a time.
    pub fn plan(
        &mut self,
        engines: &[Arc<BackEnd>],
        busyness: impl Fn(&BackEnd) -> Option<f64>,
        change_time: impl Fn(Stage) -> Duration,
        now: Instant,
    ) -> Vec<StageChange> {
        let Some(work) = self.work else {
            return Vec::new();
        };
        let change_share = change_share(&change_time);
        self.change_share = Some(change_share);
        let mut counts = self.expected_engines(engines, now);
        let peak = self.peak(now);
        let Some(wanted) = self.wanted else {
            return Vec::new();
        };
        let is_too_soon = self
            .last_change
            .is_some_and(|last| now.saturating_duration_since(last) < MIN_CHANGE_INTERVAL);
        if is_too_soon || !self.is_warmed_up(now) {
            return Vec::new();
        }
        let stage = wanted.stage;
        let away_s = change_time(stage).as_secs_f64();
        let wanted_for_s = now.saturating_duration_since(wanted.since).as_secs_f64();
        let horizon_s = wanted_for_s * EXPECTED_REMAINING_FACTOR;
        let max_changes = (counts.all() / ENGINES_PER_CHANGE).max(1);
        let mut candidates = self.candidates(engines, stage, busyness, now);
        let mut changes = Vec::new();
        while changes.len() < max_changes
            && let Some((best_stage, gain)) = best_move(work, peak, counts, change_share)
            && best_stage == stage
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

    /// Engines per stage after all changes in progress have completed.
    fn expected_engines(&self, engines: &[Arc<BackEnd>], now: Instant) -> Engines {
        let mut counts = Engines {
            prefill: 0,
            decode: 0,
        };
        for engine in engines {
            let order = self
                .orders
                .iter()
                .rev()
                .find(|order| order.is_under_way(engine, now));
            let stage = order.map(|order| order.stage).or(engine.stage);
            if let Some(stage) = stage {
                counts = counts.with_one_more(stage);
            }
        }
        counts
    }

    /// Engines that may change to `stage`, the least busy and most suitable last.
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
            .filter(|engine| !self.must_dwell(engine, now))
            .filter_map(|engine| Some((engine, busyness(engine)?)))
            .collect();
        candidates.sort_by(|left, right| {
            let (left, right) = ((&**left.0, left.1), (&**right.0, right.1));
            self.times.compare(stage, left, right)
        });
        let engines = candidates.into_iter();
        engines
            .map(|(engine, _requests)| Arc::clone(engine))
            .collect()
    }

    /// Records that a change was ordered.
    pub fn record_order(&mut self, change: &StageChange, now: Instant) {
        self.last_change = Some(now);
        self.orders.retain(|order| {
            let kept = MIN_DWELL_TIME.max(Duration::from_secs_f64(order.away_s * OVERDUE_FACTOR));
            now.saturating_duration_since(order.at) < kept
        });
        self.orders.push(OrderedChange {
            engine: Arc::clone(&change.engine.id),
            stage: change.stage,
            at: now,
            away_s: change.away_s,
        });
    }

    /// Records that an engine rejected its order and keeps its stage.
    pub fn record_rejected_order(&mut self, engine: &str) {
        self.orders.retain(|order| &*order.engine != engine);
    }

    fn smooth(&mut self, measured: StageWork) {
        let work = self.work.get_or_insert(measured);
        let kept = work.scaled(1.0 - NEWEST_WEIGHT);
        *work = measured.scaled(NEWEST_WEIGHT);
        work.add(kept);
    }

    /// Recent peak of each kind of work.
    fn peak(&self, now: Instant) -> StageWork {
        let highest = |of: fn(&StageWork) -> f64| {
            let values = self.recent.iter().map(|(_at, work)| of(work));
            values.fold(0.0, f64::max)
        };
        let since = now.checked_sub(WORK_PEAK_WINDOW);
        let is_in_window = |at: Instant| since.is_none_or(|since| at >= since);
        let highest_in_window = |of: fn(&StageWork) -> f64| {
            let in_window = self.recent.iter().filter(|(at, _work)| is_in_window(*at));
            in_window.map(|(_at, work)| of(work)).fold(0.0, f64::max)
        };
        StageWork {
            prefill: highest_in_window(|work| work.prefill),
            short_reading: highest_in_window(|work| work.short_reading),
            decode: highest_in_window(|work| work.decode),
            slots: highest(|work| work.slots),
            ..StageWork::default()
        }
    }

    fn is_warmed_up(&self, now: Instant) -> bool {
        self.first_work
            .is_some_and(|first| now.saturating_duration_since(first) >= WARM_UP_TIME)
    }

    /// Updates which stage needs more engines; the start time is kept while the stage stays the
    /// same.
    fn update_wanted(&mut self, measured: StageWork, engines: &[Arc<BackEnd>], now: Instant) {
        let Some(work) = self.work else {
            return;
        };
        let counts = self.expected_engines(engines, now);
        let peak = self.peak(now);
        let change_share = self.change_share.unwrap_or(DEFAULT_CHANGE_SHARE);
        let wanted_by =
            |work| best_move(work, peak, counts, change_share).map(|(stage, _gain)| stage);
        // A short spike remains in the average for a while, so the latest measurement must confirm
        // it.
        let wanted = wanted_by(work).filter(|stage| wanted_by(measured) == Some(*stage));
        let before = self.wanted.filter(|before| Some(before.stage) == wanted);
        self.wanted = before.or_else(|| wanted.map(|stage| Wanted { stage, since: now }));
    }

    fn must_dwell(&self, engine: &BackEnd, now: Instant) -> bool {
        self.orders.iter().any(|order| {
            let is_recent = now.saturating_duration_since(order.at) < MIN_DWELL_TIME;
            order.is_under_way(engine, now) || (order.engine == engine.id && is_recent)
        })
    }
}

/// Share of the change itself in the time a decode engine is unavailable. A prefill engine has no
/// streams to wait for, so its time is that of the change alone.
fn change_share(change_time: &impl Fn(Stage) -> Duration) -> f64 {
    let with_streams = change_time(Stage::Prefill).as_secs_f64();
    let without_streams = change_time(Stage::Decode).as_secs_f64();
    if with_streams > 0.0 {
        (without_streams / with_streams).min(1.0)
    } else {
        1.0
    }
}
