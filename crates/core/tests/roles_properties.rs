//! Properties that hold for every plan.

#[path = "support/role_fleet.rs"]
mod role_fleet;

use bolero::{TypeGenerator, check};
use ponddrift_core::roles::{
    EngineAvailability, EngineState, Plan, PlannerProfile, PlannerSettings, RolePlanner, RoleSplit,
};
use ponddrift_core::{EngineRole, Timestamp};
use role_fleet::{Fleet, Rates, WINDOW, engine, sample};

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct DrawnEngine {
    role: u8,
    availability: u8,
    pinned: u8,
    age_seconds: u8,
    sequences: u8,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct DrawnRates {
    requests: u8,
    prompt_kilotokens: u8,
    output_kilotokens: u8,
}

#[derive(Debug, Clone, TypeGenerator)]
struct Drawn {
    engines: Vec<DrawnEngine>,
    demand: Vec<DrawnRates>,
    head_office: bool,
}

const MOST_ENGINES: usize = 24;
const MOST_SAMPLES: usize = 20;
const LONG_AGO: u64 = 1_000_000;

fn role(number: u8) -> EngineRole {
    [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed][usize::from(number % 3)]
}

fn engine_state(id: u32, drawn: DrawnEngine, now: Timestamp) -> EngineState {
    let mut state = engine(id, role(drawn.role));
    state.since = Timestamp(now.0 - u64::from(drawn.age_seconds) * 1_000_000);
    state.sequences = u32::from(drawn.sequences);
    state.pinned = drawn
        .pinned
        .is_multiple_of(4)
        .then(|| role(drawn.pinned / 4));
    state.availability = match drawn.availability % 8 {
        0 => EngineAvailability::Changing {
            to: role(drawn.availability / 8),
        },
        1 => EngineAvailability::Lost,
        2 => EngineAvailability::Unassigned,
        _ => EngineAvailability::Serving,
    };
    if state.availability == EngineAvailability::Unassigned {
        state.role = None;
    }
    state
}

/// Runs the drawn samples through a planner; gives the engines and the plan.
fn planned(drawn: &Drawn, settings: &PlannerSettings) -> (Timestamp, Vec<EngineState>, Plan) {
    let mut planner = RolePlanner::new(settings.clone());
    let mut now = Timestamp::from_millis(LONG_AGO);
    let engines: Vec<EngineState> = (0..)
        .zip(drawn.engines.iter().take(MOST_ENGINES))
        .map(|(id, engine)| engine_state(id, *engine, now))
        .collect();
    let mut plan = planner.plan(now, &engines);
    for rates in drawn.demand.iter().take(MOST_SAMPLES) {
        now = now + WINDOW;
        planner.observe(
            now,
            &sample(Rates {
                requests: u64::from(rates.requests),
                prompt_tokens: u64::from(rates.prompt_kilotokens) * 1_000,
                output_tokens: u64::from(rates.output_kilotokens) * 100,
            }),
        );
        plan = planner.plan(now, &engines);
    }
    (now, engines, plan)
}

fn settings(drawn: &Drawn) -> PlannerSettings {
    PlannerSettings::of(if drawn.head_office {
        PlannerProfile::HeadOffice
    } else {
        PlannerProfile::Hanbit
    })
}

fn serving(engines: &[EngineState], without: &Plan) -> RoleSplit {
    let changed = |engine: &EngineState| {
        let mut decisions = without.decisions.iter();
        decisions.any(|decision| decision.engine == engine.id)
    };
    engines
        .iter()
        .filter(|engine| engine.availability == EngineAvailability::Serving && !changed(engine))
        .filter_map(|engine| engine.role)
        .fold(RoleSplit::default(), RoleSplit::with)
}

#[test]
fn a_plan_keeps_pins_dwell_share_away_and_service() {
    check!().with_type::<Drawn>().for_each(|drawn| {
        let settings = settings(drawn);
        let (now, engines, plan) = planned(drawn, &settings);
        let state = |id| engines.iter().find(|one| one.id == id).expect("known");
        let mut begun = 0;
        for decision in &plan.decisions {
            let engine = state(decision.engine);
            assert_eq!(decision.from, engine.role);
            assert_ne!(decision.from, Some(decision.to));
            if let Some(pinned) = engine.pinned {
                assert_eq!(decision.to, pinned);
            }
            if engine.availability == EngineAvailability::Serving {
                begun += 1;
                let dwelt = now.since(engine.since) >= settings.minimum_dwell;
                assert!(dwelt || engine.pinned.is_some());
            } else {
                assert_eq!(engine.availability, EngineAvailability::Unassigned);
            }
        }
        let is_away =
            |one: &&EngineState| matches!(one.availability, EngineAvailability::Changing { .. });
        let away = engines.iter().filter(is_away).count();
        let present = serving(&engines, &Plan::default()).total() as usize + away;
        let allowed = (present as f64 * settings.maximum_away_share).max(1.0) as usize;
        assert!(
            begun == 0 || away + begun <= allowed,
            "{away} {begun} {present}"
        );
        let before = serving(&engines, &Plan::default());
        let during = serving(&engines, &plan);
        assert!(
            during.can_serve() || !before.can_serve(),
            "{before:?} {during:?}"
        );
    });
}

#[test]
fn equal_input_gives_an_equal_plan() {
    check!().with_type::<Drawn>().for_each(|drawn| {
        let settings = settings(drawn);
        assert_eq!(planned(drawn, &settings).2, planned(drawn, &settings).2);
    });
}

#[test]
fn a_lone_spike_of_any_height_changes_nothing() {
    check!().with_type::<DrawnRates>().for_each(|spike| {
        let steady = Rates {
            requests: 40,
            prompt_tokens: 50_000,
            output_tokens: 4_000,
        };
        let split = RoleSplit {
            prefill: 4,
            decode: 4,
            mixed: 4,
        };
        let mut fleet = Fleet::new(PlannerSettings::default(), split);
        for _ in 0..40 {
            fleet.step(steady);
        }
        let before = fleet.changes;
        fleet.step(Rates {
            requests: u64::from(spike.requests) * 4,
            prompt_tokens: u64::from(spike.prompt_kilotokens) * 10_000,
            output_tokens: u64::from(spike.output_kilotokens) * 1_000,
        });
        for _ in 0..5 {
            fleet.step(steady);
        }
        assert_eq!(fleet.changes, before);
    });
}
