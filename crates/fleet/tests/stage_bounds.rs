//! Property tests: the stage planner keeps its bounds for any work and any outcome of its orders.

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bolero::check;
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::stages::{StageChange, StagePlanner, StageWork};
use support::engines;

/// Number of orders over all generated histories.
static ORDERS: AtomicUsize = AtomicUsize::new(0);
const STEP: Duration = Duration::from_millis(500);

/// Samples per phase; enough for the planner to act on the work.
const STEPS_PER_PHASE: usize = 60;
/// Maximum number of phases per history.
const MAX_PHASES: usize = 8;

/// Prefill, decode and slot work of one phase in eighths of an engine, and whether its orders are
/// accepted and carried out at once.
type Phase = (u8, u8, u8, bool, bool);

fn steps(phases: &[Phase]) -> impl Iterator<Item = Phase> {
    let phases = phases.iter().take(MAX_PHASES);
    phases.flat_map(|phase| std::iter::repeat_n(*phase, STEPS_PER_PHASE))
}

fn work((prefill, decode, slots, ..): Phase) -> StageWork {
    StageWork {
        prefill: f64::from(prefill) / 8.0,
        decode: f64::from(decode) / 8.0,
        slots: f64::from(slots) / 8.0,
        ..StageWork::default()
    }
}

fn count(engines: &[Arc<BackEnd>], under_way: &[StageChange], stage: Stage) -> usize {
    let will_be = |engine: &Arc<BackEnd>| {
        let change = under_way
            .iter()
            .find(|change| change.engine.id == engine.id);
        change.map(|change| change.stage).or(engine.stage)
    };
    let of_stage = engines
        .iter()
        .filter(|engine| will_be(engine) == Some(stage));
    of_stage.count()
}

fn carry_out(engines: &mut [Arc<BackEnd>], change: &StageChange) {
    for engine in engines {
        if engine.id == change.engine.id {
            let mut changed = BackEnd::clone(engine);
            changed.stage = Some(change.stage);
            *engine = Arc::new(changed);
        }
    }
}

fn min_engines(all: usize, share: f64) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few engines"
    )]
    let min_engines = (all as f64 * share).ceil() as usize;
    min_engines
}

#[test]
fn stages_keep_their_minimum_and_no_engine_is_ordered_twice() {
    check!()
        .with_type::<(u8, u8, Vec<Phase>)>()
        .for_each(|(prefill, decode, phases)| {
            let (prefill, decode) = (prefill % 12 + 3, decode % 24 + 6);
            let mut engines = engines(prefill, decode);
            let all = engines.len();
            let min_prefill = usize::from(prefill).min(min_engines(all, 0.25));
            let min_decode = usize::from(decode).min(min_engines(all, 0.3));
            let mut planner = StagePlanner::default();
            let mut under_way: Vec<StageChange> = Vec::new();
            let mut now = Instant::now();
            let mut accepted_at = VecDeque::new();
            for step in steps(phases) {
                let (.., is_accepted, is_done) = step;
                now += STEP;
                planner.observe(work(step), &engines, now);
                let change_time = Duration::from_secs(4);
                let changes = planner.plan(&engines, |_| Some(0.0), |_| change_time, now);
                assert!(changes.len() <= (all / 12).max(1), "{}", changes.len());
                for change in changes {
                    let twice = under_way
                        .iter()
                        .any(|other| other.engine.id == change.engine.id);
                    assert!(!twice, "a change of {} is in progress", change.engine.id);
                    assert_ne!(change.engine.stage, Some(change.stage));
                    ORDERS.fetch_add(1, Ordering::Relaxed);
                    planner.record_order(&change, now);
                    if is_accepted {
                        under_way.push(change);
                        accepted_at.push_back(now);
                    } else {
                        planner.record_rejected_order(&change.engine.id);
                    }
                }
                // The planner considers overdue orders failed, so all orders are carried out in
                // time.
                while let Some(at) = accepted_at.front()
                    && (is_done || now.saturating_duration_since(*at) >= Duration::from_secs(3))
                {
                    accepted_at.pop_front();
                    carry_out(&mut engines, &under_way.remove(0));
                }
                assert!(count(&engines, &under_way, Stage::Prefill) >= min_prefill);
                assert!(count(&engines, &under_way, Stage::Decode) >= min_decode);
            }
        });
    assert!(
        ORDERS.load(Ordering::Relaxed) > 0,
        "no history caused an order"
    );
}

#[test]
fn every_order_has_a_finite_positive_net_gain() {
    check!()
        .with_type::<(Vec<Phase>, u16)>()
        .for_each(|(phases, change_time_ms)| {
            let engines = engines(4, 8);
            let mut planner = StagePlanner::default();
            let mut now = Instant::now();
            let change_time = Duration::from_millis(u64::from(*change_time_ms));
            for step in steps(phases) {
                now += STEP;
                planner.observe(work(step), &engines, now);
                for change in planner.plan(&engines, |_| Some(0.0), |_| change_time, now) {
                    assert!(change.net_gain.is_finite() && change.net_gain > 0.0);
                    assert!(change.gain > 0.0, "{}", change.gain);
                    planner.record_order(&change, now);
                }
            }
        });
}
