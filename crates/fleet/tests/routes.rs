//! Tests route lookup by host and path prefix, and weighted splits.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::configuration::{Configuration, RequestKind, Route, SplitPart};
use ponddrift_fleet::routes::{RouteTable, SplitScheduler};

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(name),
        host: Arc::from(host),
        path_prefix: Arc::from(prefix),
        kind: RequestKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_gap: None,
        caller_stall_timeout: None,
        priority: 0,
        is_public: false,
        split: split
            .iter()
            .map(|(service, weight)| SplitPart {
                service: Arc::from(*service),
                weight: *weight,
            })
            .collect(),
        maximum_attempts: 1,
    })
}

fn table(routes: Vec<Arc<Route>>) -> RouteTable {
    RouteTable::new(&Configuration {
        routes,
        ..Configuration::default()
    })
}

#[test]
fn the_longest_prefix_of_the_host_matches() {
    let table = table(vec![
        route("all", "one.example", "/", &[("s", 1)]),
        route("deep", "one.example", "/a/b/", &[("s", 1)]),
        route("shallow", "one.example", "/a/", &[("s", 1)]),
        route("other", "two.example", "/", &[("s", 1)]),
    ]);
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("one.example", "/a/b/c").as_deref(), Some("deep"));
    assert_eq!(name("one.example", "/a/bc").as_deref(), Some("shallow"));
    assert_eq!(name("ONE.example:80", "/z").as_deref(), Some("all"));
    assert_eq!(name("two.example", "/a/b/c").as_deref(), Some("other"));
    assert_eq!(name("three.example", "/"), None);
}

#[test]
fn requests_are_spread_evenly_by_weight() {
    let route = route("r", "h", "/", &[("big", 90), ("small", 10)]);
    let mut scheduler = SplitScheduler::default();
    for _ in 0..5 {
        let services: Vec<Arc<str>> = (0..10).filter_map(|_| scheduler.next(&route)).collect();
        let small = services
            .iter()
            .filter(|service| &***service == "small")
            .count();
        assert_eq!(small, 1, "one in every ten");
    }
}

#[test]
fn a_part_with_weight_zero_gets_no_requests() {
    let mut scheduler = SplitScheduler::default();
    let half = route("r", "h", "/", &[("on", 3), ("off", 0)]);
    for _ in 0..20 {
        assert_eq!(scheduler.next(&half).as_deref(), Some("on"));
    }
    let none = route("n", "h", "/", &[("off", 0), ("also", 0)]);
    assert_eq!(scheduler.next(&none), None);
}

#[test]
fn changed_weights_apply_to_the_next_request() {
    let mut scheduler = SplitScheduler::default();
    let before = route("r", "h", "/", &[("a", 1), ("b", 1)]);
    for _ in 0..7 {
        scheduler.next(&before);
    }
    let after = route("r", "h", "/", &[("a", 0), ("b", 1)]);
    for _ in 0..7 {
        assert_eq!(scheduler.next(&after).as_deref(), Some("b"));
    }
}
