//! Tests which engines the stage planner moves, and when.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::stages::{EngineTime, StageChange, StagePlanner, StageWork};
use support::engines;

const STEP: Duration = Duration::from_millis(500);

struct Scene {
    planner: StagePlanner,
    engines: Vec<Arc<BackEnd>>,
    now: Instant,
    changes: usize,
    /// Time for which a change to prefill makes an engine unavailable.
    change_time: Duration,
    /// Share of the change itself in that time; waiting for the streams of a decode engine takes
    /// the rest.
    change_share: f64,
}

impl Scene {
    fn new(prefill: u8, decode: u8) -> Self {
        Self {
            planner: StagePlanner::default(),
            engines: engines(prefill, decode),
            now: Instant::now(),
            changes: 0,
            change_time: Duration::from_secs(1),
            change_share: 1.0,
        }
    }

    /// Observes `work` once and returns the planned changes without carrying them out.
    fn step(&mut self, work: StageWork) -> Vec<StageChange> {
        self.now += STEP;
        self.planner.observe(work, &self.engines, self.now);
        let change_time = |stage| match stage {
            Stage::Prefill => self.change_time,
            Stage::Decode => self.change_time.mul_f64(self.change_share),
        };
        self.planner
            .plan(&self.engines, |_| Some(0.0), change_time, self.now)
    }

    /// Observes `work` until the planner returns changes.
    fn run_until_changes(&mut self, work: StageWork) -> Vec<StageChange> {
        loop {
            let changes = self.step(work);
            if !changes.is_empty() {
                return changes;
            }
        }
    }

    /// Observes `work` for `time` and carries out all changes at once.
    fn run(&mut self, time: Duration, work: StageWork) {
        let end = self.now + time;
        while self.now < end {
            for change in self.step(work) {
                self.carry_out(&change);
            }
        }
    }

    fn carry_out(&mut self, change: &StageChange) {
        self.planner.record_order(change, self.now);
        self.changes += 1;
        for engine in &mut self.engines {
            if engine.id == change.engine.id {
                let mut changed = BackEnd::clone(engine);
                changed.stage = Some(change.stage);
                *engine = Arc::new(changed);
            }
        }
    }

    fn prefill(&self) -> usize {
        let prefill = self
            .engines
            .iter()
            .filter(|engine| engine.stage == Some(Stage::Prefill));
        prefill.count()
    }
}

const fn work(prefill: f64, decode: f64) -> StageWork {
    StageWork {
        prefill,
        short_reading: 0.0,
        decode,
        decode_reading: 0.0,
        slots: 0.0,
    }
}

#[test]
fn balanced_work_causes_no_change() {
    let mut scene = Scene::new(7, 11);
    scene.run(Duration::from_secs(60), work(1.5, 1.5));
    assert_eq!(scene.changes, 0);
}

#[test]
fn prefill_load_moves_idle_engines() {
    let mut scene = Scene::new(7, 11);
    scene.run(Duration::from_secs(20), work(5.0, 1.0));
    assert!(scene.prefill() > 7, "{}", scene.prefill());
    let settled = scene.changes;
    scene.run(Duration::from_secs(60), work(5.0, 1.0));
    assert_eq!(scene.changes, settled, "the planner settles");
}

#[test]
fn a_stage_keeps_its_minimum_share() {
    let mut scene = Scene::new(6, 6);
    scene.run(Duration::from_secs(120), work(9.0, 0.01));
    assert!(scene.prefill() <= 8, "three tenths remain decode engines");
    scene.run(Duration::from_secs(120), work(0.01, 9.0));
    assert!(scene.prefill() >= 3, "a quarter remains prefill engines");
}

#[test]
fn a_busy_stage_gives_up_no_engine() {
    let mut scene = Scene::new(7, 11);
    scene.run(Duration::from_secs(60), work(6.0, 6.0));
    assert_eq!(scene.changes, 0);
}

#[test]
fn a_spike_in_one_sample_causes_no_change() {
    let mut scene = Scene::new(7, 11);
    scene.run(Duration::from_secs(10), work(1.0, 1.0));
    for _ in 0..20 {
        scene.run(STEP, work(9.0, 1.0));
        scene.run(Duration::from_secs(3), work(0.2, 1.0));
    }
    assert_eq!(scene.changes, 0);
}

#[test]
fn excess_short_prompts_move_engines_to_prefill() {
    let mut scene = Scene::new(6, 12);
    let work = StageWork {
        short_reading: 4.5,
        decode: 0.5,
        ..StageWork::default()
    };
    scene.run(Duration::from_secs(20), work);
    assert!(scene.prefill() > 6, "{}", scene.prefill());
}

#[test]
fn a_large_fleet_changes_several_engines_at_a_time() {
    let mut scene = Scene::new(20, 40);
    scene.run(Duration::from_secs(4), work(18.0, 1.0));
    scene
        .planner
        .observe(work(18.0, 1.0), &scene.engines, scene.now);
    let changes = scene.run_until_changes(work(18.0, 1.0));
    assert!(changes.len() > 1 && changes.len() <= 5, "{}", changes.len());
}

#[test]
fn a_planner_that_only_observed_needs_no_warm_up() {
    let mut scene = Scene::new(7, 11);
    let reading = work(5.0, 1.0);
    for _ in 0..10 {
        scene.now += STEP;
        scene.planner.observe(reading, &scene.engines, scene.now);
    }
    let begun = scene.now;
    while scene.changes == 0 {
        scene.run(STEP, reading);
    }
    assert!(scene.now - begun <= STEP * 3, "{:?}", scene.now - begun);
}

#[test]
fn changes_in_progress_count_for_the_new_stage() {
    let mut scene = Scene::new(4, 8);
    scene.change_time = Duration::from_secs(3);
    let reading = work(3.0, 0.2);
    let mut order_count = 0;
    // The directory shows none of the changes, so all are in progress.
    for _ in 0..16 {
        for change in &scene.step(reading) {
            assert_eq!(
                change.prefill_engines,
                4 + order_count,
                "earlier changes are counted"
            );
            scene.planner.record_order(change, scene.now);
            order_count += 1;
        }
    }
    assert!((1..=4).contains(&order_count), "{order_count}");
}

#[test]
fn a_shift_shorter_than_a_change_is_ignored() {
    let mut scene = Scene::new(4, 8);
    scene.change_time = Duration::from_secs(10);
    for _ in 0..6 {
        scene.run(Duration::from_secs(4), work(3.6, 0.2));
        scene.run(Duration::from_secs(4), work(0.5, 0.5));
    }
    assert_eq!(scene.changes, 0);
    scene.run(Duration::from_secs(60), work(3.6, 0.2));
    assert!(scene.changes > 0, "a lasting shift causes changes");
}

#[test]
fn a_rejected_order_leaves_the_engine_in_its_stage() {
    let mut scene = Scene::new(4, 8);
    scene.run(Duration::from_secs(2), work(1.0, 1.0));
    let reading = work(3.6, 0.2);
    let change = scene.run_until_changes(reading).remove(0);
    scene.planner.record_order(&change, scene.now);
    scene.planner.record_rejected_order(&change.engine.id);
    let again = scene.run_until_changes(reading);
    assert_eq!(again[0].prefill_engines, 4);
}

#[test]
fn recently_held_slots_prevent_a_change() {
    let mut scene = Scene::new(4, 8);
    scene.change_share = 1.0 / 3.0;
    let held = StageWork {
        slots: 4.0,
        ..work(0.5, 0.5)
    };
    scene.run(Duration::from_secs(5), held);
    scene.run(Duration::from_secs(10), work(3.6, 0.2));
    assert_eq!(scene.changes, 0, "the mix that held the slots may return");
    scene.run(Duration::from_secs(30), work(3.6, 0.2));
    assert!(scene.changes > 0, "the mix has not returned");
}

/// Short streams neither keep an engine from changing for long nor make others wait long for their
/// slots.
#[test]
fn short_streams_allow_a_change_with_more_held_slots() {
    for (change_share, may_change) in [(1.0 / 3.0, false), (0.7, true)] {
        let mut scene = Scene::new(4, 8);
        scene.change_share = change_share;
        let held = StageWork {
            slots: 2.4,
            ..work(3.6, 0.2)
        };
        scene.run(Duration::from_secs(30), held);
        assert_eq!(scene.changes > 0, may_change, "{change_share}");
    }
}

#[test]
fn full_decode_engines_get_engines_from_prefill() {
    let mut scene = Scene::new(9, 3);
    let full = StageWork {
        slots: 2.9,
        ..work(0.8, 0.5)
    };
    scene.run(Duration::from_secs(15), full);
    assert!(scene.prefill() < 9, "{}", scene.prefill());
}

fn engine_times(scene: &Scene, time_of: impl Fn(usize) -> f64) -> Vec<(Arc<str>, EngineTime)> {
    let times = scene.engines.iter().enumerate().map(|(index, engine)| {
        let time = time_of(index);
        let time = EngineTime {
            prefill: time,
            decode: time,
        };
        (Arc::clone(&engine.id), time)
    });
    times.collect()
}

/// Load: prefill work for six engines before four prefill and twelve idle decode engines, of which
/// the last three take 1.8 times as long as the others. Bound: streams keep their gaps only at the
/// fast ones, so the slow ones change to prefill first.
#[test]
fn slow_engines_change_to_prefill_first() {
    let mut scene = Scene::new(4, 12);
    let times = engine_times(&scene, |index| if index >= 13 { 1.8 } else { 1.0 });
    let slow: Vec<Arc<str>> = times[13..]
        .iter()
        .map(|(id, _time)| Arc::clone(id))
        .collect();
    scene.planner.set_engine_times(times);
    let changes = scene.run_until_changes(work(4.5, 0.5));
    for change in &changes {
        assert_eq!(change.stage, Stage::Prefill);
        assert!(slow.contains(&change.engine.id));
    }
}

/// Load: decode work for six engines before twelve idle prefill engines, of which the last three
/// take half as long as the others, and four decode engines. Bound: streams keep their gaps best at
/// the fast ones, so these change to decode first.
#[test]
fn fast_engines_change_to_decode_first() {
    let mut scene = Scene::new(12, 4);
    let is_fast = |index: usize| (9..12).contains(&index);
    let times = engine_times(&scene, |index| if is_fast(index) { 0.5 } else { 1.0 });
    let fast: Vec<Arc<str>> = times[9..12]
        .iter()
        .map(|(id, _time)| Arc::clone(id))
        .collect();
    scene.planner.set_engine_times(times);
    let changes = scene.run_until_changes(work(0.5, 4.5));
    for change in &changes {
        assert_eq!(change.stage, Stage::Decode);
        assert!(fast.contains(&change.engine.id));
    }
}

/// Load: prefill work for two average engines before six prefill and six decode engines, for a
/// minute; the prefill engines are average in one case and take three times as long in the other.
/// Bound: the slow ones are as busy as with work for six engines, so they get help.
#[test]
fn prefill_capacity_is_counted_in_work() {
    let changes_with = |time: f64| {
        let mut scene = Scene::new(6, 6);
        let times = engine_times(&scene, |index| if index < 6 { time } else { 1.0 });
        scene.planner.set_engine_times(times);
        scene.run(Duration::from_secs(60), work(2.0, 0.3));
        scene.changes
    };
    assert_eq!(changes_with(1.0), 0);
    assert!(changes_with(3.0) > 0);
}
