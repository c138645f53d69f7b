//! Guards against plans that violate pins, dwell times or the limit on unavailable engines.

#[path = "support/role_fleet.rs"]
mod role_fleet;

use bolero::{TypeGenerator, check};
use ponddrift_core::roles::{
    EngineAvailability, EngineState, Plan, PlannerProfile, PlannerSettings, RolePlanner, RoleSplit,
};
use ponddrift_core::{EngineRole, Timestamp};
use role_fleet::{Fleet, Rates, WINDOW, engine, sample};

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct GeneratedEngine {
    role: u8,
    availability: u8,
    pinned: u8,
    age_seconds: u8,
    sequences: u8,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct GeneratedRates {
    requests: u8,
    prompt_kilotokens: u8,
    output_kilotokens: u8,
}

#[derive(Debug, Clone, TypeGenerator)]
struct GeneratedCase {
    engines: Vec<GeneratedEngine>,
    demand: Vec<GeneratedRates>,
    head_office: bool,
}

const MAXIMUM_ENGINES: usize = 24;
const MAXIMUM_SAMPLES: usize = 20;
const START_MS: u64 = 1_000_000;

fn role(number: u8) -> EngineRole {
    [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed][usize::from(number % 3)]
}

fn engine_state(id: u32, case: GeneratedEngine, now: Timestamp) -> EngineState {
    let mut state = engine(id, role(case.role));
    state.since = Timestamp(now.0 - u64::from(case.age_seconds) * 1_000_000);
    state.sequences = u32::from(case.sequences);
    state.pinned = case.pinned.is_multiple_of(4).then(|| role(case.pinned / 4));
    state.availability = match case.availability % 8 {
        0 => EngineAvailability::Changing {
            to: role(case.availability / 8),
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

/// Feeds the generated samples to a planner; returns the end time, the engines and the last plan.
fn run_planner(
    case: &GeneratedCase,
    settings: &PlannerSettings,
) -> (Timestamp, Vec<EngineState>, Plan) {
    let mut planner = RolePlanner::new(settings.clone());
    let mut now = Timestamp::from_millis(START_MS);
    let engines: Vec<EngineState> = (0..)
        .zip(case.engines.iter().take(MAXIMUM_ENGINES))
        .map(|(id, engine)| engine_state(id, *engine, now))
        .collect();
    let mut plan = planner.plan(now, &engines);
    for rates in case.demand.iter().take(MAXIMUM_SAMPLES) {
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

fn settings(case: &GeneratedCase) -> PlannerSettings {
    PlannerSettings::of(if case.head_office {
        PlannerProfile::HeadOffice
    } else {
        PlannerProfile::Hanbit
    })
}

fn serving(engines: &[EngineState], excluded_plan: &Plan) -> RoleSplit {
    let changed = |engine: &EngineState| {
        let mut decisions = excluded_plan.decisions.iter();
        decisions.any(|decision| decision.engine == engine.id)
    };
    engines
        .iter()
        .filter(|engine| engine.availability == EngineAvailability::Serving && !changed(engine))
        .filter_map(|engine| engine.role)
        .fold(RoleSplit::default(), RoleSplit::with)
}

#[test]
fn plans_respect_pins_dwell_times_the_unavailable_limit_and_service() {
    check!().with_type::<GeneratedCase>().for_each(|case| {
        let settings = settings(case);
        let (now, engines, plan) = run_planner(case, &settings);
        let state = |id| {
            engines
                .iter()
                .find(|candidate| candidate.id == id)
                .expect("known")
        };
        let mut started = 0;
        for decision in &plan.decisions {
            let engine = state(decision.engine);
            assert_eq!(decision.from, engine.role);
            assert_ne!(decision.from, Some(decision.to));
            if let Some(pinned) = engine.pinned {
                assert_eq!(decision.to, pinned);
            }
            if engine.availability == EngineAvailability::Serving {
                started += 1;
                let dwell_elapsed = now.since(engine.since) >= settings.minimum_dwell;
                assert!(dwell_elapsed || engine.pinned.is_some());
            } else {
                assert_eq!(engine.availability, EngineAvailability::Unassigned);
            }
        }
        let is_changing = |candidate: &&EngineState| {
            matches!(candidate.availability, EngineAvailability::Changing { .. })
        };
        let unavailable = engines.iter().filter(is_changing).count();
        let present = serving(&engines, &Plan::default()).total() as usize + unavailable;
        let allowed = (present as f64 * settings.maximum_unavailable_share).max(1.0) as usize;
        assert!(
            started == 0 || unavailable + started <= allowed,
            "{unavailable} {started} {present}"
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
    check!().with_type::<GeneratedCase>().for_each(|case| {
        let settings = settings(case);
        assert_eq!(
            run_planner(case, &settings).2,
            run_planner(case, &settings).2
        );
    });
}

#[test]
fn a_single_spike_of_any_height_changes_nothing() {
    check!().with_type::<GeneratedRates>().for_each(|spike| {
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
