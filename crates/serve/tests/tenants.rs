//! API keys and tenants: which requests are accepted, and what engines learn about the tenant.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{
    Answer, ClientRequest, RouteConfig, Run, StoreMode, TenantConfig, with_tenants,
};
use support::{Fleet, FleetOptions, RECORDS, configuration, routes};

const ALICE: TenantConfig = TenantConfig {
    name: "alice",
    api_keys: &["key-of-alice", "second-of-alice"],
    priority: None,
};
const BOB: TenantConfig = TenantConfig {
    name: "bob",
    api_keys: &["key-of-bob"],
    priority: Some(0),
};

fn with_public_route() -> Vec<RouteConfig> {
    let public_route = RouteConfig {
        public: true,
        ..RouteConfig::new("open", "safe", RECORDS)
    };
    routes().into_iter().chain([public_route]).collect()
}

fn configure(fleet: &mut Fleet, version: u64, tenants: &[TenantConfig]) {
    let text = configuration(version, &with_public_route());
    fleet.store.put("op/config", with_tenants(&text, tenants));
    fleet.wait(Duration::from_millis(600));
}

fn fleet_of(size: FleetOptions, tenants: &[TenantConfig]) -> Fleet {
    let mut fleet = Fleet::new(size);
    configure(&mut fleet, 2, tenants);
    fleet
}

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> Answer {
    ask_at(fleet, 0, request)
}

fn ask_at(fleet: &mut Fleet, daemon: usize, request: &ClientRequest) -> Answer {
    let client = fleet.client.clone();
    let target = fleet.daemons[daemon].callers_address;
    fleet
        .run(async move { client.ask(target, request).await })
        .expect("a response, not a closed connection")
}

fn runs(fleet: &Fleet) -> Vec<Run> {
    let engines = fleet
        .records
        .iter()
        .chain(&fleet.prefill)
        .chain(&fleet.decode);
    engines.flat_map(|engine| engine.runs()).collect()
}

#[test]
fn engines_learn_the_tenant_and_never_the_key() {
    let mut fleet = fleet_of(FleetOptions::default(), &[ALICE, BOB]);
    let requests = [
        ClientRequest::plain("1", "post").with_key("second-of-alice"),
        ClientRequest::plain("2", "fetch").with_key("key-of-bob"),
        ClientRequest::prompt("3", "verdict", 4_000, 800).with_key("key-of-alice"),
        ClientRequest::prompt("4", "tag", 0, 30).with_key("key-of-bob"),
    ];
    for request in &requests {
        let mut request = request.clone();
        request.headers.push(("ponddrift-tenant-id", "forged"));
        assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
    }
    let runs = runs(&fleet);
    assert!(
        runs.iter().any(|run| run.is_prefill),
        "one prompt is prefilled separately"
    );
    for run in runs {
        let expected_tenant = if matches!(&*run.request, "1" | "3") {
            "alice"
        } else {
            "bob"
        };
        assert_eq!(run.tenant.as_deref(), Some(expected_tenant), "{run:?}");
        assert!(!run.received_api_key, "{run:?}");
    }
}

#[test]
fn requests_without_a_valid_key_get_the_same_refusal_and_do_not_run() {
    let mut fleet = fleet_of(FleetOptions::default(), &[ALICE, BOB]);
    let plain = |id: &str| ClientRequest::plain(id, "fetch");
    let repeated_key = plain("2").with_key("key-of-alice").with_key("key-of-alice");
    let requests = [
        plain("1"),
        repeated_key,
        plain("3").with_key(""),
        plain("4").with_key("key-of-nobody"),
        plain("5").with_key("key-of-alice,key-of-bob"),
        plain("6").with_key("Bearer key-of-alice"),
    ];
    let answers: Vec<Answer> = requests
        .iter()
        .map(|request| ask(&mut fleet, request))
        .collect();
    for answer in &answers {
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        assert_eq!(
            answer.text(),
            answers[0].text(),
            "does not reveal the reason"
        );
        assert_eq!(answer.retry_after_s(), None, "a retry would not help");
    }
    assert!(runs(&fleet).is_empty());
}

#[test]
fn a_public_route_needs_no_key_but_attributes_requests_with_a_valid_key() {
    let mut fleet = fleet_of(FleetOptions::default(), &[ALICE]);
    let requests = [
        (ClientRequest::plain("1", "open"), None),
        (ClientRequest::plain("2", "open").with_key("nobody's"), None),
        (
            ClientRequest::plain("3", "open").with_key("key-of-alice"),
            Some("alice"),
        ),
    ];
    for (request, tenant) in requests {
        assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
        let run = runs(&fleet)
            .into_iter()
            .find(|run| run.request == request.id);
        let run = run.expect("the request ran");
        assert_eq!(run.tenant.as_deref(), tenant);
        assert!(!run.received_api_key);
    }
}

#[test]
fn a_key_moved_to_another_tenant_in_one_revision_belongs_to_that_tenant() {
    let mut fleet = fleet_of(FleetOptions::default(), &[ALICE, BOB]);
    let moved = TenantConfig {
        api_keys: &["key-of-bob", "key-of-alice"],
        ..BOB
    };
    let remaining = TenantConfig {
        api_keys: &["second-of-alice"],
        ..ALICE
    };
    configure(&mut fleet, 3, &[remaining, moved]);
    let request = ClientRequest::plain("1", "fetch").with_key("key-of-alice");
    assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
    assert_eq!(runs(&fleet)[0].tenant.as_deref(), Some("bob"));
}

#[test]
fn a_revoked_key_is_refused_and_the_other_key_of_the_tenant_still_works() {
    let mut fleet = fleet_of(FleetOptions::default(), &[ALICE]);
    let request = ClientRequest::plain("1", "fetch").with_key("key-of-alice");
    assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
    let remaining = TenantConfig {
        api_keys: &["second-of-alice"],
        ..ALICE
    };
    configure(&mut fleet, 3, &[remaining]);
    let request = ClientRequest::plain("2", "fetch").with_key("key-of-alice");
    assert_eq!(ask(&mut fleet, &request).status, StatusCode::UNAUTHORIZED);
    let request = ClientRequest::plain("3", "fetch").with_key("second-of-alice");
    assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
}

/// The revocation must reach it through its peers.
#[test]
fn a_daemon_cut_off_from_the_store_refuses_a_revoked_key() {
    let size = FleetOptions {
        daemons: 4,
        ..FleetOptions::default()
    };
    let mut fleet = fleet_of(size, &[ALICE, BOB]);
    let handle = fleet.simulation.handle();
    let cut_off = [0, 1];
    for daemon in cut_off {
        handle.cut(fleet.daemons[daemon].host, fleet.store_host);
    }
    fleet.wait(Duration::from_secs(3));
    configure(&mut fleet, 3, &[ALICE]);
    fleet.wait(Duration::from_secs(2));
    for daemon in cut_off {
        let request = ClientRequest::plain("1", "fetch").with_key("key-of-bob");
        let answer = ask_at(&mut fleet, daemon, &request);
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "daemon {daemon}");
    }
}

/// Daemons keep no configuration on disk: one that starts while the store is unavailable must not
/// accept a key, which may have been revoked.
#[test]
fn a_daemon_without_a_configuration_refuses_requests_with_a_key() {
    let mut fleet = fleet_of(FleetOptions::default(), &[ALICE]);
    fleet.store.set_mode(StoreMode::Silent);
    let handle = fleet.simulation.handle();
    handle.restart(fleet.daemons[0].host);
    fleet.wait(Duration::from_secs(2));
    let request = ClientRequest::plain("1", "fetch").with_key("key-of-alice");
    let answer = ask(&mut fleet, &request);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(runs(&fleet).is_empty());
}

/// Prefill engines order requests by rank; the rank of a tenant overrides that of the route.
#[test]
fn the_rank_of_a_tenant_overrides_that_of_the_route() {
    let mut fleet = fleet_of(FleetOptions::default(), &[ALICE, BOB]);
    for (id, key) in [("1", "key-of-alice"), ("2", "key-of-bob")] {
        let request = ClientRequest::prompt(id, "verdict", 4_000, 800).with_key(key);
        assert_eq!(ask(&mut fleet, &request).status, StatusCode::OK);
    }
    let prefill_rank = |request: &str| {
        let runs = runs(&fleet).into_iter();
        let mut prefill_runs = runs.filter(|run| run.is_prefill && run.request == request);
        prefill_runs.next().expect("prefilled separately").priority
    };
    assert_eq!(prefill_rank("1"), Some(1), "the rank of the route");
    assert_eq!(prefill_rank("2"), Some(0), "the rank of the tenant");
}
