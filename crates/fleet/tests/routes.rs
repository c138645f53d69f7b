//! Routes by host and prefix, and splits by weight.

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
fn the_longest_prefix_wins_and_hosts_are_apart() {
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
fn shares_follow_weights_evenly_spread() {
    let route = route("r", "h", "/", &[("big", 90), ("small", 10)]);
    let mut dealer = SplitScheduler::default();
    for _ in 0..5 {
        let dealt: Vec<Arc<str>> = (0..10).filter_map(|_| dealer.next(&route)).collect();
        let small = dealt
            .iter()
            .filter(|service| &***service == "small")
            .count();
        assert_eq!(small, 1, "one in every ten");
    }
}

#[test]
fn a_part_without_weight_gets_nothing() {
    let mut dealer = SplitScheduler::default();
    let half = route("r", "h", "/", &[("on", 3), ("off", 0)]);
    for _ in 0..20 {
        assert_eq!(dealer.next(&half).as_deref(), Some("on"));
    }
    let none = route("n", "h", "/", &[("off", 0), ("also", 0)]);
    assert_eq!(dealer.next(&none), None);
}

#[test]
fn changed_weights_are_in_force_with_the_next_request() {
    let mut dealer = SplitScheduler::default();
    let before = route("r", "h", "/", &[("a", 1), ("b", 1)]);
    for _ in 0..7 {
        dealer.next(&before);
    }
    let after = route("r", "h", "/", &[("a", 0), ("b", 1)]);
    for _ in 0..7 {
        assert_eq!(dealer.next(&after).as_deref(), Some("b"));
    }
}
