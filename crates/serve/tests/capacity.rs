//! Engine orders: on-demand engines are released only after their spot replacements serve, refused
//! and lost orders are repeated, and nothing is ordered where the configuration does not allow it.

mod support;

use std::time::Duration;

use ponddrift_platform_stand_ins::{EngineStandIn, ProviderMode, ScalingRecord};
use support::{Fleet, FleetOptions, MODELS, configuration, routes};

const OPTIONS: FleetOptions = FleetOptions {
    daemons: 3,
    records: 1,
    prefill: 0,
    decode: 0,
    zones: 1,
    reports_usage: false,
    orders_engines: true,
    max_requests: support::MAX_REQUESTS_IN_PROGRESS,
    is_first_start: false,
};
const ZONES: [&str; 2] = ["a", "b"];
/// On-demand engines in each zone at the start.
const ON_DEMAND_PER_ZONE: usize = 3;
/// Expected spot engines in each zone while the load is unknown: each zone alone must have 1.5
/// times the initial engines of both zones, less the one on-demand engine that each zone keeps.
const SPOT_PER_ZONE: u64 = 7;
/// Boot time of an engine in the configuration.
const BOOT_TIME: Duration = Duration::from_secs(2);

fn configuration_with_autoscaling(version: u64) -> String {
    let text = configuration(version, &routes());
    let mut value: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let services = value["services"]
        .as_array_mut()
        .expect("a list of services");
    let model_service = services
        .iter_mut()
        .find(|service| service["name"] == MODELS);
    model_service.expect("the service of model engines")["autoscaling"] = serde_json::json!({
        "min": 1,
        "max": 36,
        "bootS": BOOT_TIME.as_secs(),
        "spotPrice": 0.22,
        "zonePrices": {"a": 1.0, "b": 0.8},
    });
    value.to_string()
}

/// A fleet with on-demand engines in both zones and a configuration that allows engine orders.
fn fleet(size: FleetOptions) -> (Fleet, Vec<EngineStandIn>) {
    let mut fleet = Fleet::without_configuration(size);
    let mut engines = Vec::new();
    for zone in ZONES {
        for _ in 0..ON_DEMAND_PER_ZONE {
            let (engine, _host) = fleet.add_engine_in(zone, MODELS, Some("decode"), false);
            engines.push(engine);
        }
    }
    fleet
        .store
        .put("op/config", configuration_with_autoscaling(1));
    (fleet, engines)
}

fn engine_orders_of_kind(fleet: &Fleet, spot: bool) -> Vec<ScalingRecord> {
    let engine_orders = fleet.provider.engine_orders().into_iter();
    engine_orders.filter(|order| order.spot == spot).collect()
}

/// Engine count of the newest order for a zone and kind of engine.
fn newest_order_count(fleet: &Fleet, zone: &str, spot: bool) -> Option<u64> {
    let orders = engine_orders_of_kind(fleet, spot);
    let newest = orders.iter().rev().find(|order| order.zone == zone);
    newest.map(|order| order.count)
}

/// Adds as many spot engines as were ordered, as the provider does.
fn add_ordered_spot_engines(fleet: &mut Fleet) {
    for zone in ZONES {
        for _ in 0..newest_order_count(fleet, zone, true).unwrap_or_default() {
            fleet.add_engine_in(zone, MODELS, Some("decode"), true);
        }
    }
}

#[test]
fn on_demand_engines_are_released_only_once_spot_engines_serve() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.wait(Duration::from_secs(8));
    for zone in ZONES {
        assert_eq!(
            newest_order_count(&fleet, zone, true),
            Some(SPOT_PER_ZONE),
            "zone {zone}"
        );
    }
    assert!(
        engine_orders_of_kind(&fleet, false).is_empty(),
        "their replacements do not serve yet"
    );
    add_ordered_spot_engines(&mut fleet);
    fleet.wait(Duration::from_secs(2));
    for zone in ZONES {
        assert_eq!(
            newest_order_count(&fleet, zone, false),
            Some(1),
            "zone {zone}"
        );
    }
    let engine_orders = fleet.provider.engine_orders();
    assert!(
        engine_orders
            .iter()
            .all(|order| order.service == MODELS && order.accepted)
    );
    assert!(
        engine_orders
            .windows(2)
            .all(|pair| pair[0].holder == pair[1].holder)
    );
}

#[test]
fn a_refused_order_is_repeated_at_a_low_rate_until_it_is_accepted() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.provider.set_spot_unavailable(true);
    fleet.wait(Duration::from_secs(14));
    let refused = engine_orders_of_kind(&fleet, true);
    assert!(refused.iter().all(|order| !order.accepted));
    assert!(
        (4..=14).contains(&refused.len()),
        "{} in 14 s",
        refused.len()
    );
    assert!(
        engine_orders_of_kind(&fleet, false).is_empty(),
        "all on-demand engines are kept"
    );
    fleet.provider.set_spot_unavailable(false);
    fleet.wait(Duration::from_secs(3));
    assert!(
        engine_orders_of_kind(&fleet, true)
            .iter()
            .any(|order| order.accepted)
    );
}

#[test]
fn an_order_whose_response_is_lost_is_repeated_with_the_same_count() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.provider.set_mode(ProviderMode::DropAnswers);
    fleet.wait(Duration::from_secs(12));
    let repeated_orders = engine_orders_of_kind(&fleet, true);
    assert!(repeated_orders.len() > 2, "the order is repeated");
    assert!(
        repeated_orders
            .iter()
            .all(|order| order.count == SPOT_PER_ZONE),
        "{repeated_orders:?}"
    );
}

#[test]
fn spot_engines_that_the_provider_reclaims_are_ordered_again() {
    let (mut fleet, _engines) = fleet(OPTIONS);
    fleet.wait(Duration::from_secs(8));
    let mut spot = Vec::new();
    for zone in ZONES {
        for _ in 0..SPOT_PER_ZONE {
            let (engine, _host) = fleet.add_engine_in(zone, MODELS, Some("decode"), true);
            spot.push((zone, engine));
        }
    }
    fleet.wait(Duration::from_secs(8));
    let earlier_order_count = engine_orders_of_kind(&fleet, true).len();
    for (_zone, engine) in spot.iter().filter(|(zone, _engine)| *zone == "a") {
        engine.record(&fleet.store, "draining");
    }
    fleet.wait(Duration::from_secs(3));
    let new_orders = engine_orders_of_kind(&fleet, true).split_off(earlier_order_count);
    assert!(!new_orders.is_empty());
    assert!(
        new_orders
            .iter()
            .all(|order| order.zone == "a" && order.count == SPOT_PER_ZONE)
    );
}

#[test]
fn nothing_is_ordered_where_the_provider_takes_no_orders_or_the_configuration_sets_no_autoscaling()
{
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
