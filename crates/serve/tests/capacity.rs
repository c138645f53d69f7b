//! Orders of engines: what is given back once its replacement serves, what is ordered again, and what nobody orders.

mod support;

use std::time::Duration;

use ponddrift_platform_stand_ins::{EngineOrderNote, EngineStandIn, ProviderMode};
use support::{Fleet, MODELS, FleetOptions, configuration, routes};

const OPTIONS: FleetOptions = FleetOptions {
    daemons: 3,
    records: 1,
    prefill: 0,
    decode: 0,
    zones: 1,
    reports_usage: false,
    orders_engines: true,
};
const ZONES: [&str; 2] = ["a", "b"];
/// On-demand engines of each zone at the start.
const INITIAL: usize = 3;
/// Spot engines of each zone that a fleet of unknown load is to have: half as many again as were there, in the other zone
/// alone, less the one on-demand engine that each zone keeps.
const SPOT: u64 = 7;
/// Time for the boot of an engine, as configured.
const BOOT: Duration = Duration::from_secs(2);

fn with_autoscaling(version: u64) -> String {
    let text = configuration(version, &routes());
    let mut value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let services = value["services"].as_array_mut().expect("a list");
    let models = services
        .iter_mut()
        .find(|service| service["name"] == MODELS);
    models.expect("there")["autoscaling"] = serde_json::json!({
        "min": 1,
        "max": 36,
        "bootS": BOOT.as_secs(),
        "spotPrice": 0.22,
        "zonePrices": {"a": 1.0, "b": 0.8},
    });
    value.to_string()
}

/// A fleet with on-demand engines in both zones, whose engines may be ordered.
fn fleet(size: FleetOptions) -> (Fleet, Vec<EngineStandIn>) {
    let mut fleet = Fleet::without_configuration(size);
    let mut engines = Vec::new();
    for zone in ZONES {
        for _ in 0..INITIAL {
            let (engine, _host) = fleet.add_engine_in(zone, MODELS, Some("decode"), false);
            engines.push(engine);
        }
    }
    fleet.store.put("op/config", with_autoscaling(1));
    (fleet, engines)
}

fn orders(fleet: &Fleet, spot: bool) -> Vec<EngineOrderNote> {
    let orders = fleet.provider.engine_orders().into_iter();
    orders.filter(|order| order.spot == spot).collect()
}

/// The newest order for a zone and kind.
fn newest(fleet: &Fleet, zone: &str, spot: bool) -> Option<u64> {
    let orders = orders(fleet, spot);
    let newest = orders.iter().rev().find(|order| order.zone == zone);
    newest.map(|order| order.count)
}

/// What the provider does with orders that it took: as many spot engines as were ordered.
fn boot_spot_engines(fleet: &mut Fleet) {
    for zone in ZONES {
        for _ in 0..newest(fleet, zone, true).unwrap_or_default() {
            fleet.add_engine_in(zone, MODELS, Some("decode"), true);
        }
    }
}

#[test]
fn on_demand_engines_are_given_back_only_once_spot_engines_serve() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.wait(Duration::from_secs(8));
    for zone in ZONES {
        assert_eq!(newest(&fleet, zone, true), Some(SPOT), "zone {zone}");
    }
    assert!(
        orders(&fleet, false).is_empty(),
        "nothing takes their place yet"
    );
    boot_spot_engines(&mut fleet);
    fleet.wait(Duration::from_secs(2));
    for zone in ZONES {
        assert_eq!(newest(&fleet, zone, false), Some(1), "zone {zone}");
    }
    let orders = fleet.provider.engine_orders();
    assert!(
        orders
            .iter()
            .all(|order| order.service == MODELS && order.taken)
    );
    assert!(
        orders
            .windows(2)
            .all(|pair| pair[0].holder == pair[1].holder)
    );
}

#[test]
fn a_refused_order_is_given_again_until_it_is_taken_and_not_in_a_hurry() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.provider.set_spot_unavailable(true);
    fleet.wait(Duration::from_secs(14));
    let refused = orders(&fleet, true);
    assert!(refused.iter().all(|order| !order.taken));
    assert!(
        (4..=14).contains(&refused.len()),
        "{} in 14 s",
        refused.len()
    );
    assert!(orders(&fleet, false).is_empty(), "all engines stay");
    fleet.provider.set_spot_unavailable(false);
    fleet.wait(Duration::from_secs(3));
    assert!(orders(&fleet, true).iter().any(|order| order.taken));
}

#[test]
fn an_order_whose_answer_is_lost_names_the_same_number_again() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.provider.set_mode(ProviderMode::LosesAnswers);
    fleet.wait(Duration::from_secs(12));
    let given = orders(&fleet, true);
    assert!(given.len() > 2, "given again");
    assert!(given.iter().all(|order| order.count == SPOT), "{given:?}");
}

#[test]
fn spot_engines_that_are_taken_away_are_ordered_again() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.wait(Duration::from_secs(8));
    let mut spot = Vec::new();
    for zone in ZONES {
        for _ in 0..SPOT {
            let (engine, _host) = fleet.add_engine_in(zone, MODELS, Some("decode"), true);
            spot.push((zone, engine));
        }
    }
    fleet.wait(Duration::from_secs(8));
    let before = orders(&fleet, true).len();
    for (_zone, engine) in spot.iter().filter(|(zone, _engine)| *zone == "a") {
        engine.record(&fleet.store, "draining");
    }
    fleet.wait(Duration::from_secs(3));
    let since = orders(&fleet, true).split_off(before);
    assert!(!since.is_empty());
    assert!(
        since
            .iter()
            .all(|order| order.zone == "a" && order.count == SPOT)
    );
}

#[test]
fn nothing_is_ordered_where_the_configuration_allows_none_or_operators_do_it_themselves() {
    let (mut fleet, _engines) = fleet(FleetOptions {
        orders_engines: false,
        ..OPTIONS
    });
    fleet.wait(Duration::from_secs(8));
    assert!(fleet.provider.engine_orders().is_empty());
    let mut fleet = Fleet::new(OPTIONS);
    fleet.wait(Duration::from_secs(8));
    assert!(fleet.provider.engine_orders().is_empty());
}
