//! Back ends that announce in responses how many requests per second they accept from all daemons
//! together.
//!
//! Guards against daemons that ignore the limit, and against daemons that each keep to the whole
//! limit, so that together they exceed it.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, EngineStandIn, StoreMode};
use ponddrift_simulation::HostId;
use support::{DaemonHost, Fleet, FleetOptions};
use tokio::time::{Instant, sleep};

/// Rate limit that back ends announce in these tests, in requests per second.
const RATE_LIMIT: f64 = 3.3;
/// The same as the text of the response header.
const RATE_LIMIT_TEXT: &str = "3.3";
/// Time that daemons have to share out a limit after it was first announced.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Length of the sliding window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Greatest number of requests allowed to reach a back end within [`WINDOW`]: 1.5 times its rate,
/// plus 5.
fn max_allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// Greatest number of requests that reached the engine within any [`WINDOW`] from `since` on.
fn most_in_window(engine: &EngineStandIn, since: Instant) -> usize {
    let mut times: Vec<Instant> = engine.arrivals().iter().map(|arrival| arrival.at).collect();
    times.retain(|at| *at >= since);
    let in_window = |from: &Instant| {
        let times = times.iter();
        times
            .filter(|at| **at >= *from && **at - *from < WINDOW)
            .count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

fn arrivals_since(engine: &EngineStandIn, since: Instant) -> usize {
    let arrivals = engine.arrivals();
    arrivals
        .iter()
        .filter(|arrival| arrival.at >= since)
        .count()
}

/// Current virtual time of the simulation.
fn virtual_now(fleet: &mut Fleet) -> Instant {
    fleet.run(async { Instant::now() })
}

/// Load on all daemons together: requests of one route, their rate and the duration.
#[derive(Clone, Copy)]
struct Load {
    route: &'static str,
    per_second: u32,
    time: Duration,
}

impl Load {
    /// Plain requests at a rate that keeps the other back ends busy. At a low rate the limited back
    /// end would look slow beside idle ones.
    const fn plain(time: Duration) -> Self {
        Self {
            route: "fetch",
            per_second: 1_100,
            time,
        }
    }

    /// Prompts without a shared prefix.
    const fn prompts(time: Duration) -> Self {
        Self {
            route: "tag",
            per_second: 150,
            time,
        }
    }

    fn request(self, name: &str) -> ClientRequest {
        if self.route == "fetch" {
            ClientRequest::plain(name, self.route)
        } else {
            ClientRequest::prompt(name, self.route, 0, 200)
        }
    }
}

/// Applies the load to all daemons. Returns the statuses of the responses.
fn apply_load(fleet: &mut Fleet, name: &str, load: Load) -> Vec<StatusCode> {
    let client = fleet.client.clone();
    let targets: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let name = name.to_owned();
    fleet.run(async move {
        let daemons = u32::try_from(targets.len()).expect("a small number");
        let pause = Duration::from_secs(1) * daemons / load.per_second;
        let rounds =
            u32::try_from(load.time.as_micros() / pause.as_micros()).expect("a small number");
        let mut requests = Vec::new();
        for (daemon, target) in (0..).zip(targets.iter().copied()) {
            // Requests to different daemons are offset in time.
            let offset = pause * daemon / daemons;
            for round in 0..rounds {
                let client = client.clone();
                let request = load.request(&format!("{name}-{round}-{daemon}"));
                requests.push(async move {
                    sleep(offset + pause * round).await;
                    let answer = client.ask(target, &request).await;
                    answer.expect("a response, not a closed connection").status
                });
            }
        }
        join_all(requests).await
    })
}

fn failed_count(statuses: &[StatusCode]) -> usize {
    let statuses = statuses.iter();
    statuses.filter(|status| **status != StatusCode::OK).count()
}

/// A fleet with enough engines to serve all load without the one that sets a limit.
fn fleet_of(daemons: u8, zones: u8) -> Fleet {
    Fleet::new(FleetOptions {
        daemons,
        zones,
        records: 6,
        prefill: 2,
        decode: 6,
        ..FleetOptions::default()
    })
}

/// Sets the limit at one engine, applies the load and checks that neither too many nor too few
/// requests reach the engine.
fn check_limit(fleet: &mut Fleet, engine: &EngineStandIn, load: Load) {
    engine.set_rate_limit(&[RATE_LIMIT_TEXT]);
    let started_at = virtual_now(fleet);
    let statuses = apply_load(fleet, "limited", load);
    assert_eq!(failed_count(&statuses), 0, "other engines serve");
    let most = most_in_window(engine, started_at + SETTLING_TIME);
    assert!(
        most as f64 <= max_allowed(RATE_LIMIT),
        "{most} requests in 4 s, {} are allowed",
        max_allowed(RATE_LIMIT)
    );
    let arrivals = arrivals_since(engine, started_at + SETTLING_TIME) as f64;
    let acceptable = RATE_LIMIT * (load.time - SETTLING_TIME).as_secs_f64();
    assert!(
        arrivals >= 0.6 * acceptable,
        "{arrivals} of the {acceptable} requests that it accepts"
    );
}

#[test]
fn a_plain_back_end_gets_no_more_than_its_limit_from_3_and_from_9_daemons() {
    for daemons in [3, 9] {
        let mut fleet = fleet_of(daemons, 3);
        let engine = fleet.records[0].clone();
        check_limit(&mut fleet, &engine, Load::plain(Duration::from_secs(11)));
    }
}

#[test]
fn prefill_and_decode_engines_get_no_more_than_their_limit_from_9_daemons() {
    for is_prefill in [true, false] {
        let mut fleet = fleet_of(9, 3);
        let engine = if is_prefill {
            fleet.prefill[0].clone()
        } else {
            fleet.decode[0].clone()
        };
        check_limit(&mut fleet, &engine, Load::prompts(Duration::from_secs(11)));
    }
}

#[test]
fn a_back_end_gets_no_more_than_its_limit_from_95_daemons() {
    let mut fleet = fleet_of(95, 3);
    let engine = fleet.records[0].clone();
    check_limit(&mut fleet, &engine, Load::plain(Duration::from_secs(11)));
}

/// Sends one request to a daemon. Returns the response and the time it took.
fn ask(fleet: &mut Fleet, daemon: usize, request: &ClientRequest) -> (Answer, Duration) {
    let (client, target) = (fleet.client.clone(), fleet.daemons[daemon].callers_address);
    fleet.run(async move {
        let started_at = Instant::now();
        let answer = client.ask(target, request).await;
        (
            answer.expect("a response, not a closed connection"),
            started_at.elapsed(),
        )
    })
}

/// A limit that one daemon learns of must reach the others before they exceed it, in fleets of any
/// size.
#[test]
fn a_limit_learned_by_one_daemon_is_known_to_all_at_once() {
    for (daemons, zones) in [(3, 3), (9, 3), (95, 3)] {
        let mut fleet = Fleet::new(FleetOptions {
            daemons,
            zones,
            records: 1,
            ..FleetOptions::default()
        });
        // The daemons must discover each other first.
        fleet.wait(Duration::from_secs(3));
        let engine = fleet.records[0].clone();
        engine.set_rate_limit(&["0.1"]);
        ask(&mut fleet, 0, &ClientRequest::plain("first", "fetch"));
        fleet.wait(Duration::from_millis(500));
        let served = fleet.ask_each_daemon("others");
        assert!(served <= 1, "{daemons}: {served} daemons sent");
        assert!(engine.arrivals().len() <= 2, "{daemons}");
    }
}

/// Three daemons with one back end, which has announced a limit of one request in ten seconds.
fn fleet_with_one_limited_back_end() -> (Fleet, EngineStandIn) {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 1,
        ..FleetOptions::default()
    });
    let engine = fleet.records[0].clone();
    engine.set_rate_limit(&["0.1"]);
    ask(&mut fleet, 0, &ClientRequest::plain("first", "fetch"));
    (fleet, engine)
}

#[test]
fn a_restarted_daemon_learns_limits_from_its_peers() {
    let (mut fleet, engine) = fleet_with_one_limited_back_end();
    for number in 0..3 {
        let host = fleet.daemons[number].host;
        fleet.simulation.handle().kill(host);
        fleet.wait(Duration::from_millis(200));
        fleet.simulation.handle().restart(host);
        fleet.wait(Duration::from_millis(300));
    }
    let before = engine.arrivals().len();
    fleet.ask_each_daemon("again");
    let arrivals = engine.arrivals().len() - before;
    assert!(arrivals <= 1, "{arrivals} daemons sent");
}

/// A restarted daemon must know all limits as soon as it is ready, independently of when its peers
/// last sent them.
#[test]
fn a_restarted_daemon_knows_limits_before_its_first_request() {
    let (mut fleet, engine) = fleet_with_one_limited_back_end();
    for restart_number in 0..10 {
        let number = restart_number % 3;
        let host = fleet.daemons[number].host;
        fleet.simulation.handle().kill(host);
        let downtime_ms = u64::try_from(restart_number).expect("a small number") * 130 + 200;
        fleet.wait(Duration::from_millis(downtime_ms));
        fleet.simulation.handle().restart(host);
        fleet.wait(Duration::from_millis(150));
        let before = engine.arrivals().len();
        let request = ClientRequest::plain(&format!("started-{restart_number}"), "fetch");
        ask(&mut fleet, number, &request);
        assert_eq!(engine.arrivals().len(), before, "start {restart_number}");
    }
}

/// With a slow store, limits arrive from peers long before the daemon has read which back ends
/// exist.
#[test]
fn a_daemon_keeps_limits_of_back_ends_that_it_reads_from_the_store_later() {
    let (mut fleet, engine) = fleet_with_one_limited_back_end();
    fleet.wait(Duration::from_secs(1));
    for restart_number in 0..5 {
        let number = restart_number % 3;
        let host = fleet.daemons[number].host;
        fleet
            .store
            .set_mode(StoreMode::Slow(Duration::from_secs(1)));
        fleet.simulation.handle().restart(host);
        let extra_delay_ms = u64::try_from(restart_number).expect("a small number") * 10;
        fleet.wait(Duration::from_millis(1_155 + extra_delay_ms));
        let before = engine.arrivals().len();
        let request = ClientRequest::plain(&format!("late-{restart_number}"), "fetch");
        ask(&mut fleet, number, &request);
        assert_eq!(engine.arrivals().len(), before, "start {restart_number}");
        fleet.store.set_mode(StoreMode::Up);
        fleet.wait(Duration::from_secs(3));
    }
}

/// Only responses show that a limit has ended: neither the store nor peers do.
#[test]
fn a_limit_ends_when_responses_no_longer_announce_it() {
    let mut fleet = fleet_of(9, 3);
    let engine = fleet.records[0].clone();
    engine.set_rate_limit(&[RATE_LIMIT_TEXT]);
    apply_load(&mut fleet, "limited", Load::plain(Duration::from_secs(5)));
    engine.set_rate_limit(&[]);
    let lifted_at = virtual_now(&mut fleet);
    let statuses = apply_load(&mut fleet, "lifted", Load::plain(Duration::from_secs(5)));
    assert_eq!(failed_count(&statuses), 0);
    let arrivals = arrivals_since(&engine, lifted_at + SETTLING_TIME);
    assert!(
        arrivals > 100,
        "it gets as many requests as the others: {arrivals}"
    );
}

#[test]
fn a_rate_limit_of_zero_allows_one_request_in_ten_seconds() {
    let mut fleet = fleet_of(3, 1);
    let engine = fleet.records[0].clone();
    engine.set_rate_limit(&["0"]);
    apply_load(&mut fleet, "first", Load::plain(Duration::from_secs(1)));
    let since = virtual_now(&mut fleet);
    let statuses = apply_load(&mut fleet, "later", Load::plain(Duration::from_secs(12)));
    assert_eq!(failed_count(&statuses), 0);
    let arrivals = arrivals_since(&engine, since);
    assert!((1..=2).contains(&arrivals), "{arrivals}");
}

#[test]
fn invalid_rates_are_ignored_and_the_lowest_of_several_applies() {
    let mut fleet = fleet_of(1, 1);
    let engine = fleet.records[0].clone();
    engine.set_rate_limit(&["", "soon", "-1", "NaN", "inf", "1,5"]);
    let since = virtual_now(&mut fleet);
    apply_load(&mut fleet, "odd", Load::plain(Duration::from_secs(2)));
    let arrivals = arrivals_since(&engine, since);
    assert!(arrivals > 100, "none of the values is a limit: {arrivals}");
    engine.set_rate_limit(&["40", "2", "many"]);
    apply_load(&mut fleet, "several", Load::plain(Duration::from_secs(1)));
    let since = virtual_now(&mut fleet);
    apply_load(&mut fleet, "lowest", Load::plain(Duration::from_secs(5)));
    let arrivals = arrivals_since(&engine, since);
    assert!(arrivals <= 12, "{arrivals}");
}

/// If all back ends set limits, requests that can meet their deadline wait for their turn; all
/// others are refused at once with `Retry-After`.
#[test]
fn callers_wait_or_are_refused_at_once_if_all_back_ends_set_limits() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 4,
        ..FleetOptions::default()
    });
    let engines = fleet.records.clone();
    for engine in &engines {
        engine.set_rate_limit(&["20"]);
    }
    let load = Load {
        per_second: 200,
        ..Load::plain(Duration::from_secs(8))
    };
    apply_load(
        &mut fleet,
        "first",
        Load {
            time: SETTLING_TIME,
            ..load
        },
    );
    let since = virtual_now(&mut fleet);
    let statuses = apply_load(&mut fleet, "all", load);
    let served = statuses.len() - failed_count(&statuses);
    let capacity = 4.0 * 20.0 * load.time.as_secs_f64();
    assert!(
        served as f64 >= 0.8 * capacity,
        "{served} of {capacity} are served"
    );
    for engine in &engines {
        let most = most_in_window(engine, since);
        assert!(most as f64 <= max_allowed(20.0), "{most}");
    }
    let refusals: Vec<(Answer, Duration)> = (0..20)
        .map(|number| {
            ask(
                &mut fleet,
                0,
                &ClientRequest::plain(&format!("r-{number}"), "fetch"),
            )
        })
        .filter(|(answer, _took)| answer.status == StatusCode::SERVICE_UNAVAILABLE)
        .collect();
    for (answer, took) in refusals {
        assert!(took < Duration::from_millis(50), "at once: {took:?}");
        assert!(
            answer.retry_after_s().is_some(),
            "a Retry-After header is set"
        );
    }
}

/// What a decode engine announces while a prompt for it is being prefilled.
#[derive(Debug, Clone, Copy)]
enum Announcement {
    Draining,
    Backoff,
    ZeroRate,
}

/// While a long prompt is prefilled, the chosen decode engine announces in a response to another
/// request that it accepts no more. Only a check just before the send can hold the prompt back.
#[test]
fn the_chosen_engine_is_checked_again_just_before_the_send() {
    for announcement in [
        Announcement::Draining,
        Announcement::Backoff,
        Announcement::ZeroRate,
    ] {
        let mut fleet = Fleet::new(FleetOptions {
            decode: 1,
            ..FleetOptions::default()
        });
        let engine = fleet.decode[0].clone();
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        let announcing_engine = engine.clone();
        let (long, short) = fleet.run(async move {
            let mut request = ClientRequest::prompt("long", "verdict", 0, 12_000);
            request.deadline_ms = 10_000;
            let short = async {
                sleep(Duration::from_millis(100)).await;
                match announcement {
                    Announcement::Draining => announcing_engine.announce_draining(),
                    Announcement::Backoff => {
                        announcing_engine.queue_behaviours(&[Behaviour::Refuse]);
                        announcing_engine.set_retry_after(&["5"]);
                    }
                    Announcement::ZeroRate => announcing_engine.set_rate_limit(&["0"]),
                }
                let request = ClientRequest::prompt("short", "tag", 0, 20);
                client.ask(target, &request).await
            };
            tokio::join!(client.ask(target, &request), short)
        });
        assert!(short.is_some(), "its response carried the announcement");
        let long = long.expect("a response, not a closed connection");
        assert_eq!(
            long.status,
            StatusCode::SERVICE_UNAVAILABLE,
            "{announcement:?}"
        );
        let arrivals: Vec<String> = engine
            .arrivals()
            .into_iter()
            .map(|arrival| arrival.request)
            .collect();
        assert!(
            !arrivals.iter().any(|id| id.starts_with("long")),
            "{announcement:?}: {arrivals:?}"
        );
    }
}

/// Daemons that freeze and resume must not save up sends, and must learn of the changes they
/// missed.
#[test]
fn a_back_end_gets_no_more_than_its_limit_while_daemons_freeze_and_resume() {
    let mut fleet = fleet_of(9, 3);
    let engine = fleet.records[0].clone();
    engine.set_rate_limit(&[RATE_LIMIT_TEXT]);
    let started_at = virtual_now(&mut fleet);
    let handle = fleet.simulation.handle();
    let hosts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
    for frozen in hosts.chunks(3) {
        let load = Load::plain(Duration::from_secs(2));
        for host in frozen {
            handle.freeze(*host);
        }
        fleet.wait(Duration::from_millis(1_500));
        for host in frozen {
            handle.thaw(*host);
        }
        apply_load(&mut fleet, &format!("thawed-{frozen:?}"), load);
    }
    let most = most_in_window(&engine, started_at + SETTLING_TIME);
    assert!(most as f64 <= max_allowed(RATE_LIMIT), "{most}");
}

/// In a partition, the side with the store takes the other daemons for gone, while these continue
/// with what they know. Both sides together must not exceed the limit.
#[test]
fn the_two_sides_of_a_partition_together_keep_the_limit() {
    let mut fleet = fleet_of(9, 2);
    let engine = fleet.records[0].clone();
    engine.set_rate_limit(&[RATE_LIMIT_TEXT]);
    let started_at = virtual_now(&mut fleet);
    apply_load(&mut fleet, "whole", Load::plain(Duration::from_secs(4)));
    // The limit is shared by the daemons in the zone of the engine, which have even numbers.
    let numbered = fleet.daemons.iter().enumerate();
    let (cut_off, rest): (Vec<_>, Vec<_>) = numbered.partition(|(number, _)| number % 2 == 0);
    let hosts = |daemons: Vec<(usize, &DaemonHost)>| {
        let hosts = daemons.into_iter().map(|(_, daemon)| daemon.host);
        hosts.collect::<Vec<HostId>>()
    };
    let (cut_off, mut rest) = (hosts(cut_off), hosts(rest));
    rest.push(fleet.store_host);
    fleet.simulation.handle().partition(&cut_off, &rest);
    apply_load(&mut fleet, "halves", Load::plain(Duration::from_secs(20)));
    let most = most_in_window(&engine, started_at + SETTLING_TIME);
    assert!(most as f64 <= max_allowed(RATE_LIMIT), "{most}");
}
