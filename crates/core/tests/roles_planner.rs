//! Guards against role plans that miss lasting demand changes or react to noise.

#[path = "support/role_fleet.rs"]
mod role_fleet;

use ponddrift_core::roles::{
    EngineAvailability, KeepReason, PlannerProfile, PlannerSettings, RolePlanner, RoleReason,
    RoleSplit, TokenDemand,
};
use ponddrift_core::{EngineRole, MachineId};
use role_fleet::{Fleet, Rates, engine, engines, model};

/// Long prompts and short outputs.
const PREFILL_HEAVY: Rates = Rates {
    requests: 14,
    prompt_tokens: 120_000,
    output_tokens: 900,
};
/// Short prompts and longer outputs.
const DECODE_HEAVY: Rates = Rates {
    requests: 90,
    prompt_tokens: 30_000,
    output_tokens: 15_000,
};

fn fleet(profile: PlannerProfile) -> Fleet {
    let split = RoleSplit {
        prefill: 3,
        decode: 9,
        mixed: 0,
    };
    Fleet::new(PlannerSettings::of(profile), split)
}

/// Share of a demand that the fleet's split serves; 1 means exactly all of it.
fn served_fraction(fleet: &Fleet, rates: Rates) -> f64 {
    let settings = fleet.planner.settings();
    let demand = TokenDemand {
        requests: rates.requests as f64,
        uncached_prompt_tokens: rates.prompt_tokens as f64,
        prompt_tokens: rates.prompt_tokens as f64,
        output_tokens: rates.output_tokens as f64,
    };
    let capacity = &settings.engine;
    capacity.served_share(fleet.split(), demand, settings.targets)
}

#[test]
fn a_lasting_demand_shift_is_served_in_both_directions() {
    for profile in [PlannerProfile::Hanbit, PlannerProfile::HeadOffice] {
        let mut fleet = fleet(profile);
        let before = served_fraction(&fleet, PREFILL_HEAVY);
        assert!(before < 0.6, "{profile:?}: {before}");
        for _ in 0..60 {
            fleet.step(PREFILL_HEAVY);
        }
        let prefill_share = served_fraction(&fleet, PREFILL_HEAVY);
        assert!(
            prefill_share > 1.1,
            "{profile:?}: {prefill_share} by {:?}",
            fleet.split()
        );
        for _ in 0..90 {
            fleet.step(DECODE_HEAVY);
        }
        let decode_share = served_fraction(&fleet, DECODE_HEAVY);
        assert!(
            decode_share > 1.1,
            "{profile:?}: {decode_share} by {:?}",
            fleet.split()
        );
    }
}

#[test]
fn a_steady_demand_causes_no_further_changes() {
    let mut fleet = fleet(PlannerProfile::Hanbit);
    for _ in 0..60 {
        fleet.step(PREFILL_HEAVY);
    }
    let changes = fleet.changes;
    for _ in 0..300 {
        fleet.step(PREFILL_HEAVY);
    }
    assert_eq!(fleet.changes, changes);
}

#[test]
fn a_single_spike_changes_nothing() {
    for profile in [PlannerProfile::Hanbit, PlannerProfile::HeadOffice] {
        let mut fleet = fleet(profile);
        for _ in 0..60 {
            fleet.step(DECODE_HEAVY);
        }
        let changes = fleet.changes;
        for _ in 0..2 {
            fleet.step(PREFILL_HEAVY);
        }
        for _ in 0..30 {
            fleet.step(DECODE_HEAVY);
        }
        assert_eq!(fleet.changes, changes, "{profile:?}");
    }
}

#[test]
fn a_demand_ramp_is_served_in_advance() {
    let mut fleet = fleet(PlannerProfile::Hanbit);
    let step = |at: u64| Rates {
        requests: 10,
        prompt_tokens: 30_000 + 1_000 * at,
        output_tokens: 1_000,
    };
    for _ in 0..40 {
        fleet.step(step(0));
    }
    let capacity = fleet.planner.settings().engine.prefill_tokens_per_second;
    for at in 0..80 {
        fleet.step(step(at));
        let needed = step(at).prompt_tokens as f64 / capacity;
        let split = fleet.split();
        let prefill_capable = f64::from(split.prefill + split.mixed);
        assert!(
            prefill_capable >= needed,
            "step {at}: {split:?} for {needed} engines"
        );
    }
}

#[test]
fn head_office_changes_no_more_than_hanbit() {
    let changes = |profile| {
        let mut fleet = fleet(profile);
        for at in 0..300 {
            fleet.step(if at / 30 % 2 == 0 {
                PREFILL_HEAVY
            } else {
                DECODE_HEAVY
            });
        }
        fleet.changes
    };
    assert!(changes(PlannerProfile::HeadOffice) <= changes(PlannerProfile::Hanbit));
}

#[test]
fn a_pinned_engine_takes_its_role_and_keeps_it() {
    let mut fleet = fleet(PlannerProfile::Hanbit);
    fleet.engines[5].pinned = Some(EngineRole::Mixed);
    let plan = fleet.step(DECODE_HEAVY);
    let decision = plan.decisions.first().expect("the pin is applied");
    assert_eq!(decision.engine, MachineId(5));
    assert_eq!(decision.reason, RoleReason::Pinned);
    for _ in 0..100 {
        let plan = fleet.step(PREFILL_HEAVY);
        assert!(
            plan.decisions
                .iter()
                .all(|change| change.engine != MachineId(5))
        );
    }
    assert_eq!(fleet.engines[5].role, Some(EngineRole::Mixed));
}

#[test]
fn a_phase_without_engines_is_restored_immediately() {
    let mut planner = RolePlanner::new(PlannerSettings::default());
    let mut engines = engines(RoleSplit {
        prefill: 3,
        decode: 1,
        mixed: 0,
    });
    engines[3].availability = EngineAvailability::Lost;
    let plan = planner.plan(
        engines[0].since + planner.settings().minimum_dwell,
        &engines,
    );
    assert_eq!(plan.decisions.len(), 1);
    assert!(matches!(
        plan.decisions[0].reason,
        RoleReason::Unserved { .. }
    ));
    assert!(
        plan.targets
            .iter()
            .all(|target| target.engine != MachineId(3))
    );
}

#[test]
fn engines_without_a_role_get_one() {
    let mut planner = RolePlanner::new(PlannerSettings::default());
    let mut fresh = engine(1, EngineRole::Mixed);
    fresh.role = None;
    fresh.availability = EngineAvailability::Unassigned;
    let plan = planner.plan(fresh.since, &[fresh]);
    assert_eq!(plan.targets.len(), 1);
    assert_eq!(plan.decisions[0].to, EngineRole::Mixed);
}

#[test]
fn models_are_planned_independently() {
    let mut fleet = fleet(PlannerProfile::Hanbit);
    for id in 100..104 {
        let mut other = engine(id, EngineRole::Mixed);
        other.model = model("tagger");
        fleet.engines.push(other);
    }
    for _ in 0..60 {
        let plan = fleet.step(PREFILL_HEAVY);
        assert_eq!(plan.models.len(), 2);
        assert!(plan.decisions.iter().all(|change| change.engine.0 < 100));
        assert!(matches!(
            plan.models[1].kept,
            Some(KeepReason::TooFewSamples { samples: 0 })
        ));
    }
}
