//! Whatever work comes, and whatever engines do with their orders, the planner keeps its bounds.

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

/// Orders of all histories.
static ORDERS: AtomicUsize = AtomicUsize::new(0);
const LOOK: Duration = Duration::from_millis(500);

/// Looks in a row at the same work: long enough for the planner to believe in it.
const LOOKS_IN_A_ROW: usize = 60;
/// Phases of one history, at most.
const MOST_PHASES: usize = 8;

/// Work of one phase, in eighths of an engine, and what becomes of the orders of that time.
type Phase = (u8, u8, u8, bool, bool);

fn looks(phases: &[Phase]) -> impl Iterator<Item = Phase> {
    let phases = phases.iter().take(MOST_PHASES);
    phases.flat_map(|phase| std::iter::repeat_n(*phase, LOOKS_IN_A_ROW))
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

fn least(all: usize, share: f64) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few engines"
    )]
    let least = (all as f64 * share).ceil() as usize;
    least
}

#[test]
fn no_work_takes_a_stage_below_its_share_or_an_engine_twice() {
    check!()
        .with_type::<(u8, u8, Vec<Phase>)>()
        .for_each(|(prefill, decode, phases)| {
            let (prefill, decode) = (prefill % 12 + 3, decode % 24 + 6);
            let mut engines = engines(prefill, decode);
            let all = engines.len();
            let floor_of_prefill = usize::from(prefill).min(least(all, 0.25));
            let floor_of_decode = usize::from(decode).min(least(all, 0.3));
            let mut planner = StagePlanner::default();
            let mut under_way: Vec<StageChange> = Vec::new();
            let mut now = Instant::now();
            let mut taken_at = VecDeque::new();
            for look in looks(phases) {
                let (.., is_taken, is_done) = look;
                now += LOOK;
                planner.observe(work(look), &engines, now);
                let away = Duration::from_secs(4);
                let changes = planner.plan(&engines, |_| Some(0.0), |_| away, now);
                assert!(changes.len() <= (all / 12).max(1), "{}", changes.len());
                for change in changes {
                    let twice = under_way
                        .iter()
                        .any(|other| other.engine.id == change.engine.id);
                    assert!(!twice, "{} is under way", change.engine.id);
                    assert_ne!(change.engine.stage, Some(change.stage));
                    ORDERS.fetch_add(1, Ordering::Relaxed);
                    planner.record_order(&change, now);
                    if is_taken {
                        under_way.push(change);
                        taken_at.push_back(now);
                    } else {
                        planner.record_rejected_order(&change.engine.id);
                    }
                }
                // An order that is not carried out long after its time is taken as failed: here all are, in time.
                while let Some(at) = taken_at.front()
                    && (is_done || now.saturating_duration_since(*at) >= Duration::from_secs(3))
                {
                    taken_at.pop_front();
                    carry_out(&mut engines, &under_way.remove(0));
                }
                assert!(count(&engines, &under_way, Stage::Prefill) >= floor_of_prefill);
                assert!(count(&engines, &under_way, Stage::Decode) >= floor_of_decode);
            }
        });
    assert!(
        ORDERS.load(Ordering::Relaxed) > 0,
        "no history had an order"
    );
}

#[test]
fn net_gains_are_finite_and_positive_for_every_order() {
    check!()
        .with_type::<(Vec<Phase>, u16)>()
        .for_each(|(phases, away_ms)| {
            let engines = engines(4, 8);
            let mut planner = StagePlanner::default();
            let mut now = Instant::now();
            let away = Duration::from_millis(u64::from(*away_ms));
            for look in looks(phases) {
                now += LOOK;
                planner.observe(work(look), &engines, now);
                for change in planner.plan(&engines, |_| Some(0.0), |_| away, now) {
                    assert!(change.net_gain.is_finite() && change.net_gain > 0.0);
                    assert!(change.gain > 0.0, "{}", change.gain);
                    planner.record_order(&change, now);
                }
            }
        });
}
