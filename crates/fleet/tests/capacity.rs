//! How many engines there are, of which kind, where.

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

/// What is left when the spot engines of the zone with most of them are gone.
fn left(plan: &CapacityPlan) -> u32 {
    let spot = plan
        .desired
        .iter()
        .filter(|((_zone, kind), _count)| *kind == Contract::Spot);
    let most = spot.map(|(_key, count)| *count).max().unwrap_or_default();
    total(plan, Contract::OnDemand) + total(plan, Contract::Spot) - most
}

fn planned(
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
fn nothing_is_planned_before_anything_was_seen() {
    let autoscaling = autoscaling(&["a", "b"], Some(0.2));
    let mut planner = CapacityPlanner::default();
    assert_eq!(
        planner.plan(&EngineCounts::new(), &autoscaling, SETTINGS),
        None
    );
}

#[test]
fn cheap_spot_engines_carry_the_load_without_those_of_any_zone() {
    let autoscaling = autoscaling(&["a", "b", "c", "d"], Some(0.22));
    let present = engines(&[("a", Contract::OnDemand, 10), ("b", Contract::OnDemand, 10)]);
    let plan = planned(reading(20.0), &present, &autoscaling);
    assert!(
        (plan.needed - 40.0).abs() < 1e-9,
        "twenty engines, half busy"
    );
    assert_eq!(
        total(&plan, Contract::OnDemand),
        4,
        "the fewest of each zone"
    );
    assert_eq!(total(&plan, Contract::Spot), 48);
    assert!(left(&plan) >= 40);
}

#[test]
fn spot_engines_that_cost_more_with_a_zone_to_spare_are_not_taken() {
    let dear = autoscaling(&["a", "b"], Some(0.6));
    let present = engines(&[("a", Contract::OnDemand, 10), ("b", Contract::OnDemand, 10)]);
    let plan = planned(reading(10.0), &present, &dear);
    assert_eq!(total(&plan, Contract::Spot), 0, "twice as many at 0.6 each");
    assert_eq!(total(&plan, Contract::OnDemand), 20);
    let alone = autoscaling(&["a"], Some(0.1));
    let plan = planned(reading(10.0), &present, &alone);
    assert_eq!(total(&plan, Contract::Spot), 0, "all could go at once");
    let none = autoscaling(&["a", "b"], None);
    let plan = planned(reading(10.0), &present, &none);
    assert_eq!(
        plan.desired.len(),
        2,
        "no order for a kind that there is not"
    );
}

#[test]
fn the_share_that_is_to_stay_on_demand_stays() {
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
    assert!(left(&plan) >= 40);
}

#[test]
fn a_fleet_of_unknown_load_gets_room_for_peaks_and_a_new_leader_asks_no_more() {
    let zones = ["a", "b", "c", "d"];
    let autoscaling = autoscaling(&zones, Some(0.22));
    let initial: Vec<_> = zones
        .iter()
        .map(|zone| (*zone, Contract::OnDemand, 10))
        .collect();
    let first = planned(None, &engines(&initial), &autoscaling);
    assert!(left(&first) >= 60, "{first:?}");
    let again = planned(None, &first.desired, &autoscaling);
    assert!(again.needed <= first.left_after_loss + 1e-9);
    assert_eq!(again.desired, first.desired);
}

/// It knows a part of the load yet.
#[test]
fn a_daemon_that_has_just_started_gives_nothing_back_that_was_planned_before() {
    let zones = ["a", "b", "c", "d"];
    let autoscaling = autoscaling(&zones, Some(0.22));
    let initial: Vec<_> = zones
        .iter()
        .map(|zone| (*zone, Contract::OnDemand, 10))
        .collect();
    let fleet = planned(None, &engines(&initial), &autoscaling).desired;
    let after_restart = planned(reading(0.5), &fleet, &autoscaling);
    assert_eq!(after_restart.desired, fleet);
    let untouched = planned(reading(0.5), &engines(&initial), &autoscaling);
    assert!(left(&untouched) >= 40, "{untouched:?}");
}

#[test]
fn more_is_wanted_at_once_and_less_only_after_long() {
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
    assert!((at(59, 3.0) - 60.0).abs() < 1e-9, "the peak may be back");
    assert!(
        (at(70, 28.0) - 60.0).abs() < 1e-9,
        "too little to change anything"
    );
    assert!((at(140, 3.0) - 6.0).abs() < 1e-9);
}

#[test]
fn held_slots_count_where_they_need_more_than_the_work() {
    let autoscaling = autoscaling(&["a", "b"], None);
    let work = StageWork {
        decode: 1.0,
        slots: 12.0,
        ..StageWork::default()
    };
    let plan = planned(
        Some(work),
        &engines(&[("a", Contract::OnDemand, 4)]),
        &autoscaling,
    );
    assert!(plan.needed > 19.0, "{plan:?}");
}

/// On the way, no zone holds too many, and what is left carries the load.
#[test]
fn on_demand_engines_are_replaced_in_steps_that_fit_and_leave_enough() {
    let zones = ["a", "b", "c", "d"];
    let autoscaling = autoscaling(&zones, Some(0.22));
    let initial: Vec<_> = zones
        .iter()
        .map(|zone| (*zone, Contract::OnDemand, 18))
        .collect();
    let mut present = engines(&initial);
    let plan = planned(None, &present, &autoscaling);
    let mut steps = 0;
    while present != plan.desired {
        let step = next_step(&plan, &present, &autoscaling);
        assert_ne!(step, present, "it goes on: {present:?}");
        for zone in zones {
            let of = |kind| step[&(Arc::from(zone), kind)];
            assert!(of(Contract::OnDemand) + of(Contract::Spot) <= autoscaling.maximum);
        }
        assert!(step.values().sum::<u32>() >= 72, "no fewer than there were");
        present = step;
        steps += 1;
    }
    assert!(steps <= 3, "{steps} steps");
}

#[test]
fn nothing_is_given_back_before_what_takes_its_place_serves() {
    let autoscaling = autoscaling(&["a", "b", "c", "d"], Some(0.22));
    let present = engines(&[("a", Contract::OnDemand, 14)]);
    let plan = planned(reading(10.0), &present, &autoscaling);
    let step = next_step(&plan, &present, &autoscaling);
    assert_eq!(
        step[&(Arc::from("a"), Contract::OnDemand)],
        14,
        "13.3 carry it"
    );
}

#[test]
fn whatever_the_load_and_prices_the_bounds_hold_and_a_zone_may_go() {
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
                full || f64::from(left(&plan)) + 1e-9 >= plan.needed,
                "{plan:?}"
            );
        });
}
