//! Tests the capacity planner: number, contract and zone of engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::capacity::{
    CapacityPlan, CapacityPlanner, CapacitySettings, Contract, EngineCounts, next_step,
};
use ponddrift_fleet::configuration::Autoscaling;
use ponddrift_fleet::stages::StageWork;

const SETTINGS: CapacitySettings = CapacitySettings {
    busy_share: 0.5,
    on_demand_share: 0.0,
};
const BOOT: Duration = Duration::from_secs(4);

fn autoscaling(zones: &[&str], spot_price: Option<f64>) -> Autoscaling {
    Autoscaling {
        minimum: 1,
        maximum: 36,
        boot: BOOT,
        spot_price,
        zone_prices: zones.iter().map(|zone| (Arc::from(*zone), 1.0)).collect(),
    }
}

fn engines(rows: &[(&str, Contract, u32)]) -> EngineCounts {
    let rows = rows.iter();
    rows.map(|(zone, contract, count)| ((Arc::from(*zone), *contract), *count))
        .collect()
}

fn reading(engines: f64) -> Option<StageWork> {
    Some(StageWork {
        prefill: engines,
        ..StageWork::default()
    })
}

fn total(plan: &CapacityPlan, contract: Contract) -> u32 {
    let counts = plan
        .desired
        .iter()
        .filter(|((_zone, kind), _count)| *kind == contract);
    counts.map(|(_key, count)| *count).sum()
}

/// Engines left after the loss of the zone with the most spot engines.
fn engines_after_zone_loss(plan: &CapacityPlan) -> u32 {
    let spot = plan
        .desired
        .iter()
        .filter(|((_zone, kind), _count)| *kind == Contract::Spot);
    let max_in_zone = spot.map(|(_key, count)| *count).max().unwrap_or_default();
    total(plan, Contract::OnDemand) + total(plan, Contract::Spot) - max_in_zone
}

fn plan_for(
    work: Option<StageWork>,
    present: &EngineCounts,
    autoscaling: &Autoscaling,
) -> CapacityPlan {
    let mut planner = CapacityPlanner::default();
    planner.observe(work, present, autoscaling, SETTINGS, Instant::now());
    planner
        .plan(present, autoscaling, SETTINGS)
        .expect("a plan")
}

#[test]
fn there_is_no_plan_before_the_first_observation() {
    let autoscaling = autoscaling(&["a", "b"], Some(0.2));
    let mut planner = CapacityPlanner::default();
    assert_eq!(
        planner.plan(&EngineCounts::new(), &autoscaling, SETTINGS),
        None
    );
}

#[test]
fn cheap_spot_engines_carry_the_load_after_the_loss_of_a_zone() {
    let autoscaling = autoscaling(&["a", "b", "c", "d"], Some(0.22));
    let present = engines(&[("a", Contract::OnDemand, 10), ("b", Contract::OnDemand, 10)]);
    let plan = plan_for(reading(20.0), &present, &autoscaling);
    assert!(
        (plan.needed - 40.0).abs() < 1e-9,
        "20 engines of work at a utilization of 0.5"
    );
    assert_eq!(
        total(&plan, Contract::OnDemand),
        4,
        "the minimum of each zone"
    );
    assert_eq!(total(&plan, Contract::Spot), 48);
    assert!(engines_after_zone_loss(&plan) >= 40);
}

#[test]
fn spot_engines_are_not_used_if_spare_capacity_makes_them_dearer() {
    let expensive = autoscaling(&["a", "b"], Some(0.6));
    let present = engines(&[("a", Contract::OnDemand, 10), ("b", Contract::OnDemand, 10)]);
    let plan = plan_for(reading(10.0), &present, &expensive);
    assert_eq!(
        total(&plan, Contract::Spot),
        0,
        "twice as many engines at a price of 0.6"
    );
    assert_eq!(total(&plan, Contract::OnDemand), 20);
    let alone = autoscaling(&["a"], Some(0.1));
    let plan = plan_for(reading(10.0), &present, &alone);
    assert_eq!(
        total(&plan, Contract::Spot),
        0,
        "all spot engines could be lost at once"
    );
    let none = autoscaling(&["a", "b"], None);
    let plan = plan_for(reading(10.0), &present, &none);
    assert_eq!(
        plan.desired.len(),
        2,
        "no orders for spot engines that are not offered"
    );
}

#[test]
fn the_configured_on_demand_share_is_kept() {
    let autoscaling = autoscaling(&["a", "b", "c", "d"], Some(0.22));
    let settings = CapacitySettings {
        on_demand_share: 0.5,
        ..SETTINGS
    };
    let mut planner = CapacityPlanner::default();
    let present = engines(&[("a", Contract::OnDemand, 10)]);
    planner.observe(
        reading(20.0),
        &present,
        &autoscaling,
        settings,
        Instant::now(),
    );
    let plan = planner
        .plan(&present, &autoscaling, settings)
        .expect("a plan");
    assert_eq!(total(&plan, Contract::OnDemand), 20);
    assert!(engines_after_zone_loss(&plan) >= 40);
}

#[test]
fn unknown_load_adds_peak_headroom_only_once() {
    let zones = ["a", "b", "c", "d"];
    let autoscaling = autoscaling(&zones, Some(0.22));
    let initial: Vec<_> = zones
        .iter()
        .map(|zone| (*zone, Contract::OnDemand, 10))
        .collect();
    let first = plan_for(None, &engines(&initial), &autoscaling);
    assert!(engines_after_zone_loss(&first) >= 60, "{first:?}");
    let again = plan_for(None, &first.desired, &autoscaling);
    assert!(again.needed <= first.left_after_loss + 1e-9);
    assert_eq!(again.desired, first.desired);
}

/// A restarted daemon knows only part of the load and must not release engines that carry the rest.
#[test]
fn a_restarted_daemon_releases_no_planned_engines() {
    let zones = ["a", "b", "c", "d"];
    let autoscaling = autoscaling(&zones, Some(0.22));
    let initial: Vec<_> = zones
        .iter()
        .map(|zone| (*zone, Contract::OnDemand, 10))
        .collect();
    let fleet = plan_for(None, &engines(&initial), &autoscaling).desired;
    let after_restart = plan_for(reading(0.5), &fleet, &autoscaling);
    assert_eq!(after_restart.desired, fleet);
    let untouched = plan_for(reading(0.5), &engines(&initial), &autoscaling);
    assert!(engines_after_zone_loss(&untouched) >= 40, "{untouched:?}");
}

#[test]
fn capacity_is_raised_at_once_and_lowered_after_a_delay() {
    let zones = ["a", "b", "c", "d"];
    let autoscaling = autoscaling(&zones, Some(0.22));
    let present = engines(&[("a", Contract::OnDemand, 4)]);
    let mut planner = CapacityPlanner::default();
    let start = Instant::now();
    let mut at = |seconds: u64, engines: f64| {
        let now = start + Duration::from_secs(seconds);
        planner.observe(reading(engines), &present, &autoscaling, SETTINGS, now);
        planner
            .plan(&present, &autoscaling, SETTINGS)
            .expect("a plan")
            .needed
    };
    assert!((at(0, 10.0) - 20.0).abs() < 1e-9);
    assert!((at(1, 30.0) - 60.0).abs() < 1e-9);
    assert!((at(2, 3.0) - 60.0).abs() < 1e-9);
    assert!(
        (at(59, 3.0) - 60.0).abs() < 1e-9,
        "the peak is within the window"
    );
    assert!((at(70, 28.0) - 60.0).abs() < 1e-9, "too small a reduction");
    assert!((at(140, 3.0) - 6.0).abs() < 1e-9);
}

#[test]
fn held_slots_can_determine_the_needed_engines() {
    let autoscaling = autoscaling(&["a", "b"], None);
    let work = StageWork {
        decode: 1.0,
        slots: 12.0,
        ..StageWork::default()
    };
    let plan = plan_for(
        Some(work),
        &engines(&[("a", Contract::OnDemand, 4)]),
        &autoscaling,
    );
    assert!(plan.needed > 19.0, "{plan:?}");
}

/// No step may exceed a zone's maximum or leave too few engines for the load.
#[test]
fn engines_are_replaced_in_steps_within_the_zone_maximum() {
    let zones = ["a", "b", "c", "d"];
    let autoscaling = autoscaling(&zones, Some(0.22));
    let initial: Vec<_> = zones
        .iter()
        .map(|zone| (*zone, Contract::OnDemand, 18))
        .collect();
    let mut present = engines(&initial);
    let plan = plan_for(None, &present, &autoscaling);
    let mut steps = 0;
    while present != plan.desired {
        let step = next_step(&plan, &present, &autoscaling);
        assert_ne!(step, present, "no progress from {present:?}");
        for zone in zones {
            let of = |kind| step[&(Arc::from(zone), kind)];
            assert!(of(Contract::OnDemand) + of(Contract::Spot) <= autoscaling.maximum);
        }
        assert!(
            step.values().sum::<u32>() >= 72,
            "fewer engines than initially"
        );
        present = step;
        steps += 1;
    }
    assert!(steps <= 3, "{steps} steps");
}

#[test]
fn engines_are_released_only_after_their_replacements_serve() {
    let autoscaling = autoscaling(&["a", "b", "c", "d"], Some(0.22));
    let present = engines(&[("a", Contract::OnDemand, 14)]);
    let plan = plan_for(reading(10.0), &present, &autoscaling);
    let step = next_step(&plan, &present, &autoscaling);
    assert_eq!(
        step[&(Arc::from("a"), Contract::OnDemand)],
        14,
        "at least 13.3 engines carry the load"
    );
}

#[test]
fn plans_stay_within_bounds_and_survive_the_loss_of_a_zone() {
    type Case = (u16, u8, u8, u8, u8);
    bolero::check!()
        .with_type::<Case>()
        .for_each(|(load, zones, maximum, price, share)| {
            let names: Vec<String> = (0..zones % 7 + 1).map(|zone| format!("z{zone}")).collect();
            let maximum = u32::from(*maximum % 60 + 1);
            let autoscaling = Autoscaling {
                minimum: 1,
                maximum,
                boot: BOOT,
                spot_price: Some(f64::from(*price) / 128.0),
                zone_prices: names
                    .iter()
                    .map(|zone| (Arc::from(zone.as_str()), 1.0))
                    .collect::<BTreeMap<_, _>>(),
            };
            let settings = CapacitySettings {
                busy_share: 0.4,
                on_demand_share: f64::from(*share) / 255.0,
            };
            let present = engines(&[("z0", Contract::OnDemand, 3)]);
            let mut planner = CapacityPlanner::default();
            let work = reading(f64::from(*load) / 300.0);
            planner.observe(work, &present, &autoscaling, settings, Instant::now());
            let plan = planner
                .plan(&present, &autoscaling, settings)
                .expect("a plan");
            let mut full = true;
            for zone in &names {
                let of = |kind| plan.desired[&(Arc::from(zone.as_str()), kind)];
                let both = of(Contract::OnDemand) + of(Contract::Spot);
                assert!((1..=maximum).contains(&both), "{plan:?}");
                full &= both == maximum;
            }
            assert!(
                full || f64::from(engines_after_zone_loss(&plan)) + 1e-9 >= plan.needed,
                "{plan:?}"
            );
        });
}
