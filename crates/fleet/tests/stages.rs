//! The stage planner: what it moves, and what it leaves.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::stages::{StageChange, StagePlanner, StageWork};
use support::engines;

const LOOK: Duration = Duration::from_millis(500);

struct Scene {
    planner: StagePlanner,
    engines: Vec<Arc<BackEnd>>,
    now: Instant,
    changes: usize,
    /// How long a change takes an engine away.
    away: Duration,
    /// Part of that which the change itself takes; the streams of a decode engine take the rest.
    change_share: f64,
}

impl Scene {
    fn new(prefill: u8, decode: u8) -> Self {
        Self {
            planner: StagePlanner::default(),
            engines: engines(prefill, decode),
            now: Instant::now(),
            changes: 0,
            away: Duration::from_secs(1),
            change_share: 1.0,
        }
    }

    /// One look at this work, and the changes that it brings; none is carried out.
    fn look_once(&mut self, work: StageWork) -> Vec<StageChange> {
        self.now += LOOK;
        self.planner.observe(work, &self.engines, self.now);
        let away = |stage| match stage {
            Stage::Prefill => self.away,
            Stage::Decode => self.away.mul_f64(self.change_share),
        };
        self.planner
            .plan(&self.engines, |_| Some(0.0), away, self.now)
    }

    /// Looks at this work until that brings changes.
    fn look_until_changes(&mut self, work: StageWork) -> Vec<StageChange> {
        loop {
            let changes = self.look_once(work);
            if !changes.is_empty() {
                return changes;
            }
        }
    }

    /// Looks for `time` at this work; changes are carried out at once.
    fn look(&mut self, time: Duration, work: StageWork) {
        let end = self.now + time;
        while self.now < end {
            for change in self.look_once(work) {
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
fn balanced_work_changes_nothing() {
    let mut scene = Scene::new(7, 11);
    scene.look(Duration::from_secs(60), work(1.5, 1.5));
    assert_eq!(scene.changes, 0);
}

#[test]
fn much_reading_draws_engines_that_have_little_to_do() {
    let mut scene = Scene::new(7, 11);
    scene.look(Duration::from_secs(20), work(5.0, 1.0));
    assert!(scene.prefill() > 7, "{}", scene.prefill());
    let settled = scene.changes;
    scene.look(Duration::from_secs(60), work(5.0, 1.0));
    assert_eq!(scene.changes, settled, "it settles");
}

#[test]
fn a_stage_keeps_its_least_share_whatever_the_work() {
    let mut scene = Scene::new(6, 6);
    scene.look(Duration::from_secs(120), work(9.0, 0.01));
    assert!(scene.prefill() <= 8, "three tenths stay with decode");
    scene.look(Duration::from_secs(120), work(0.01, 9.0));
    assert!(scene.prefill() >= 3, "a quarter stays with prefill");
}

#[test]
fn a_busy_stage_gives_nothing_away() {
    let mut scene = Scene::new(7, 11);
    scene.look(Duration::from_secs(60), work(6.0, 6.0));
    assert_eq!(scene.changes, 0);
}

#[test]
fn a_spike_shorter_than_two_looks_changes_nothing() {
    let mut scene = Scene::new(7, 11);
    scene.look(Duration::from_secs(10), work(1.0, 1.0));
    for _ in 0..20 {
        scene.look(LOOK, work(9.0, 1.0));
        scene.look(Duration::from_secs(3), work(0.2, 1.0));
    }
    assert_eq!(scene.changes, 0);
}

#[test]
fn short_prompts_that_decode_engines_have_no_time_for_draw_engines_to_prefill() {
    let mut scene = Scene::new(6, 12);
    let work = StageWork {
        short_reading: 4.5,
        decode: 0.5,
        ..StageWork::default()
    };
    scene.look(Duration::from_secs(20), work);
    assert!(scene.prefill() > 6, "{}", scene.prefill());
}

#[test]
fn of_a_large_fleet_several_engines_change_at_a_time() {
    let mut scene = Scene::new(20, 40);
    scene.look(Duration::from_secs(4), work(18.0, 1.0));
    scene
        .planner
        .observe(work(18.0, 1.0), &scene.engines, scene.now);
    let changes = scene.look_until_changes(work(18.0, 1.0));
    assert!(changes.len() > 1 && changes.len() <= 5, "{}", changes.len());
}

#[test]
fn whoever_only_observed_decides_as_soon_as_it_may() {
    let mut scene = Scene::new(7, 11);
    let reading = work(5.0, 1.0);
    for _ in 0..10 {
        scene.now += LOOK;
        scene.planner.observe(reading, &scene.engines, scene.now);
    }
    let begun = scene.now;
    while scene.changes == 0 {
        scene.look(LOOK, reading);
    }
    assert!(scene.now - begun <= LOOK * 3, "{:?}", scene.now - begun);
}

#[test]
fn changes_under_way_count_where_their_engines_will_be() {
    let mut scene = Scene::new(4, 8);
    scene.away = Duration::from_secs(3);
    let reading = work(3.0, 0.2);
    let mut order_count = 0;
    // The directory shows none of the changes: all are under way.
    for _ in 0..16 {
        for change in &scene.look_once(reading) {
            assert_eq!(
                change.prefill_engines,
                4 + order_count,
                "each counts those before"
            );
            scene.planner.record_order(change, scene.now);
            order_count += 1;
        }
    }
    assert!((1..=4).contains(&order_count), "{order_count}");
}

#[test]
fn a_shift_that_is_shorter_than_a_change_takes_changes_nothing() {
    let mut scene = Scene::new(4, 8);
    scene.away = Duration::from_secs(10);
    for _ in 0..6 {
        scene.look(Duration::from_secs(4), work(3.6, 0.2));
        scene.look(Duration::from_secs(4), work(0.5, 0.5));
    }
    assert_eq!(scene.changes, 0);
    scene.look(Duration::from_secs(60), work(3.6, 0.2));
    assert!(scene.changes > 0, "one that stays is followed");
}

#[test]
fn an_order_that_was_not_taken_leaves_its_engine_where_it_was() {
    let mut scene = Scene::new(4, 8);
    scene.look(Duration::from_secs(2), work(1.0, 1.0));
    let reading = work(3.6, 0.2);
    let change = scene.look_until_changes(reading).remove(0);
    scene.planner.record_order(&change, scene.now);
    scene.planner.record_rejected_order(&change.engine.id);
    let again = scene.look_until_changes(reading);
    assert_eq!(again[0].prefill_engines, 4);
}

#[test]
fn slots_that_were_held_lately_keep_their_engines() {
    let mut scene = Scene::new(4, 8);
    scene.change_share = 1.0 / 3.0;
    let held = StageWork {
        slots: 4.0,
        ..work(0.5, 0.5)
    };
    scene.look(Duration::from_secs(5), held);
    scene.look(Duration::from_secs(10), work(3.6, 0.2));
    assert_eq!(scene.changes, 0, "a mix that held them may be back");
    scene.look(Duration::from_secs(30), work(3.6, 0.2));
    assert!(scene.changes > 0, "it has not come back");
}

/// Streams that end soon keep no engine from changing, and nobody waits long for their slots.
#[test]
fn more_slots_may_be_held_where_streams_end_soon() {
    for (change_share, may_change) in [(1.0 / 3.0, false), (0.7, true)] {
        let mut scene = Scene::new(4, 8);
        scene.change_share = change_share;
        let held = StageWork {
            slots: 2.4,
            ..work(3.6, 0.2)
        };
        scene.look(Duration::from_secs(30), held);
        assert_eq!(scene.changes > 0, may_change, "{change_share}");
    }
}

#[test]
fn decode_engines_without_free_slots_get_engines_back() {
    let mut scene = Scene::new(9, 3);
    let full = StageWork {
        slots: 2.9,
        ..work(0.8, 0.5)
    };
    scene.look(Duration::from_secs(15), full);
    assert!(scene.prefill() < 9, "{}", scene.prefill());
}
