//! Back ends that fall silent for about a second and then go on, or for good.

mod support;

use std::time::Duration;

use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, EngineStandIn, RouteConfig, RunEnd};
use ponddrift_simulation::HostId;
use support::timed_requests::{
    Sent, assert_all_served, earn_retries, requests_of_each_route, send_beside,
};
use support::{Fleet, FleetOptions, wait_until};
use tokio::time::sleep;

/// Events of a stream in these tests; its last one comes 1.2 s after the first.
const STREAM_EVENTS: u64 = 12;
/// Time between two of them, in milliseconds.
const EVENT_GAP_MS: u64 = 100;
/// Time between two rounds of requests.
const INTERVAL: Duration = Duration::from_millis(50);
/// When the back ends fall silent, after the first requests.
const SILENCE_STARTS: Duration = Duration::from_millis(800);
/// Silence after which callers give up a stream.
const CALLERS_GIVE_UP: Duration = Duration::from_secs(2);
/// Longest silence of a sound back end.
const LONG_SILENCE: Duration = Duration::from_millis(1_600);

fn streams(route: &'static str, name: &str, count: usize) -> Vec<Sent> {
    (0..count)
        .map(|number| {
            let request = ClientRequest {
                deadline_ms: 5_000,
                ..ClientRequest::prompt(&format!("{name}-{number}"), route, 40, 200)
            };
            Sent::at_start(0, request)
        })
        .collect()
}

/// Freezes the hosts at [`SILENCE_STARTS`] for `time`.
fn silence(fleet: &Fleet, hosts: &[HostId], time: Duration) -> impl Future<Output = ()> + use<> {
    let simulation = fleet.simulation.handle();
    let hosts = hosts.to_vec();
    async move {
        sleep(SILENCE_STARTS).await;
        for host in &hosts {
            simulation.freeze(*host);
        }
        sleep(time).await;
        for host in &hosts {
            simulation.thaw(*host);
        }
    }
}

fn fleet_of(daemons: u8, decode: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        decode,
        records: 3,
        ..FleetOptions::default()
    });
    earn_retries(&mut fleet, usize::from(daemons));
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: STREAM_EVENTS,
            gap_ms: EVENT_GAP_MS,
        });
    }
    fleet
}

#[test]
fn a_stream_keeps_its_silent_engine_if_no_other_can_resume_it() {
    for route in ["tag", "verdict"] {
        for time in [Duration::from_secs(1), LONG_SILENCE] {
            let mut fleet = fleet_of(1, 1);
            let silence = silence(&fleet, &fleet.decode_hosts, time);
            let answered = send_beside(&mut fleet, streams(route, route, 6), silence);
            assert_all_served(&answered, &format!("{route}, {time:?}"));
        }
    }
}

#[test]
fn a_stream_without_a_retry_keeps_its_silent_engine() {
    let mut fleet = fleet_of(1, 3);
    let silent = &fleet.decode_hosts[..2];
    let silence = silence(&fleet, silent, LONG_SILENCE);
    // Far more streams than the budget holds retries.
    let answered = send_beside(&mut fleet, streams("tag", "tag", 40), silence);
    assert_all_served(&answered, "two of three engines silent");
}

#[test]
fn streams_beside_other_requests_outlast_a_second_of_silence_of_all_back_ends() {
    let mut fleet = fleet_of(3, 3);
    let mut requests = Vec::new();
    for daemon in 0..3 {
        for sent in streams("tag", &format!("tag-{daemon}"), 20) {
            requests.push(Sent { daemon, ..sent });
        }
    }
    let others = requests_of_each_route(3, Duration::ZERO, SILENCE_STARTS, INTERVAL);
    requests.extend(others);
    let silence = silence(
        &fleet,
        &fleet.back_end_hosts(),
        Duration::from_millis(1_200),
    );
    let answered = send_beside(&mut fleet, requests, silence);
    assert_all_served(&answered, "three daemons");
}

#[test]
fn streams_outlast_a_silence_beside_a_change_of_the_configuration() {
    let mut fleet = fleet_of(3, 2);
    let mut requests = Vec::new();
    for daemon in 0..3 {
        for sent in streams("tag", &format!("tag-{daemon}"), 8) {
            requests.push(Sent { daemon, ..sent });
        }
    }
    let silence = silence(&fleet, &fleet.decode_hosts, Duration::from_millis(1_200));
    let store = fleet.store.clone();
    let change = async move {
        sleep(SILENCE_STARTS + Duration::from_millis(200)).await;
        let longer = support::routes().into_iter().map(|route| RouteConfig {
            timeout_ms: route.timeout_ms + 500,
            ..route
        });
        let longer: Vec<RouteConfig> = longer.collect();
        store.put("op/config", support::configuration(2, &longer));
    };
    let faults = async move {
        futures::join!(silence, change);
    };
    let answered = send_beside(&mut fleet, requests, faults);
    assert_all_served(&answered, "a change of the time-outs");
}

#[test]
fn streams_of_a_stopping_daemon_outlast_a_silence() {
    let mut fleet = fleet_of(3, 2);
    let requests = streams("tag", "tag", 20);
    let silence = silence(&fleet, &fleet.decode_hosts, Duration::from_millis(1_200));
    let daemon = fleet.daemons[0].clone();
    let stop = async move {
        sleep(SILENCE_STARTS + Duration::from_millis(100)).await;
        daemon.terminate();
    };
    let faults = async move {
        futures::join!(silence, stop);
    };
    let answered = send_beside(&mut fleet, requests, faults);
    assert_all_served(&answered, "a planned stop");
}

#[test]
fn a_safe_request_keeps_its_silent_back_end_if_no_other_can_run_it() {
    let mut fleet = Fleet::new(FleetOptions {
        records: 1,
        ..FleetOptions::default()
    });
    earn_retries(&mut fleet, 1);
    let silence = silence(&fleet, &fleet.records_hosts, Duration::from_millis(1_200));
    let requests = (0..6).map(|number| Sent {
        after: SILENCE_STARTS + Duration::from_millis(1 + 40 * number),
        daemon: 0,
        request: ClientRequest {
            deadline_ms: 3_000,
            ..ClientRequest::plain(&format!("fetch-{number}"), "fetch")
        },
    });
    let answered = send_beside(&mut fleet, requests.collect(), silence);
    assert_all_served(&answered, "one of one back end");
}

#[test]
fn streams_of_dead_engines_are_resumed_before_callers_give_up() {
    let mut fleet = fleet_of(1, 3);
    let simulation = fleet.simulation.handle();
    let dead = fleet.decode_hosts[0];
    let crash = async move {
        sleep(SILENCE_STARTS).await;
        simulation.freeze(dead);
    };
    let answered = send_beside(&mut fleet, streams("tag", "tag", 6), crash);
    let longest = answered.iter().map(|answered| answered.took).max();
    let longest = longest.unwrap_or_default();
    assert_all_served(&answered, "one of three engines dead");
    // The events themselves take 1.2 s.
    let events_take = Duration::from_millis(STREAM_EVENTS * EVENT_GAP_MS);
    let limit = events_take + CALLERS_GIVE_UP;
    assert!(longest < limit, "{longest:?}, {limit:?} at most");
}

#[test]
fn a_stream_that_has_not_begun_keeps_its_silent_engine_if_no_other_can_run_it() {
    let mut fleet = fleet_of(1, 1);
    let silence = silence(&fleet, &fleet.decode_hosts, Duration::from_millis(1_200));
    let requests = streams("tag", "tag", 6).into_iter().map(|sent| Sent {
        after: SILENCE_STARTS - Duration::from_millis(EVENT_GAP_MS / 2),
        ..sent
    });
    let answered = send_beside(&mut fleet, requests.collect(), silence);
    assert_all_served(&answered, "silent before the first event");
}

#[test]
fn a_prompt_keeps_its_silent_prefill_engine_if_no_engine_can_decode() {
    let mut fleet = fleet_of(1, 2);
    for engine in &fleet.decode {
        engine.clear_behaviours();
    }
    let silence = silence(
        &fleet,
        &fleet.back_end_hosts(),
        Duration::from_millis(1_200),
    );
    let requests = (0..4).map(|number| Sent {
        after: SILENCE_STARTS - Duration::from_millis(10),
        daemon: 0,
        request: ClientRequest {
            deadline_ms: 5_000,
            ..ClientRequest::prompt(&format!("long-{number}"), "verdict", 6_000, 900)
        },
    });
    let answered = send_beside(&mut fleet, requests.collect(), silence);
    assert_all_served(&answered, "silent during the prefill");
}

/// Earns a fifth of a retry with each of `requests` requests.
fn earn_with(fleet: &mut Fleet, requests: u32) {
    let requests = (0..requests).map(|number| {
        let id = format!("earn-{number}");
        Sent::at_start(0, ClientRequest::prompt(&id, "tag", 40, 200))
    });
    send_beside(fleet, requests.collect(), std::future::ready(()));
}

/// A fleet of one daemon that has earned retries with so many requests, and two decode engines of
/// which the second takes no requests for now.
fn fleet_with_few_retries(earning_requests: u32) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 1,
        prefill: 0,
        decode: 2,
        ..FleetOptions::default()
    });
    earn_with(&mut fleet, earning_requests);
    fleet.decode[1].record(&fleet.store, "draining");
    fleet.wait(Duration::from_millis(100));
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: STREAM_EVENTS,
            gap_ms: EVENT_GAP_MS,
        });
    }
    fleet
}

/// Without the retry in hand, every stream of a silent engine would turn elsewhere for the same one.
#[test]
fn only_the_stream_that_holds_the_retry_leaves_a_silent_engine() {
    let mut fleet = fleet_with_few_retries(5);
    let denied = r#"ponddrift_repeats_total{granted="no"}"#;
    let denied_before = fleet.metric(0, denied);
    let (simulation, store) = (fleet.simulation.handle(), fleet.store.clone());
    let (silent, other) = (fleet.decode_hosts[0], fleet.decode[1].clone());
    let silence = async move {
        sleep(Duration::from_millis(400)).await;
        other.record(&store, "ready");
        sleep(Duration::from_millis(200)).await;
        simulation.freeze(silent);
        sleep(LONG_SILENCE).await;
        simulation.thaw(silent);
    };
    let answered = send_beside(&mut fleet, streams("tag", "tag", 6), silence);
    assert_all_served(&answered, "one retry for six streams");
    let resumed = fleet.decode[1].runs();
    let resumed = resumed.iter().filter(|run| run.resumed_after.is_some());
    assert_eq!(resumed.count(), 1);
    assert_eq!(fleet.metric(0, denied) - denied_before, 0.0);
}

/// The engine answers after all, and the retry that was taken for another one serves the next stream.
#[test]
fn a_retry_that_a_silent_engine_made_needless_serves_another_stream() {
    let mut fleet = fleet_with_few_retries(7);
    let (simulation, store) = (fleet.simulation.handle(), fleet.store.clone());
    let (silent, other) = (fleet.decode_hosts[0], fleet.decode[1].clone());
    let other_host = fleet.decode_hosts[1];
    let silence = async move {
        sleep(Duration::from_millis(400)).await;
        // Ready according to its entry, but no connection to it can be opened.
        simulation.kill(other_host);
        other.record(&store, "ready");
        sleep(Duration::from_millis(200)).await;
        simulation.freeze(silent);
        sleep(Duration::from_millis(1_700)).await;
        simulation.thaw(silent);
    };
    let answered = send_beside(&mut fleet, streams("tag", "first", 1), silence);
    assert_all_served(&answered, "the silent engine answers after all");
    let (simulation, failing) = (fleet.simulation.handle(), fleet.decode_hosts[0]);
    simulation.restart(other_host);
    fleet.wait(Duration::from_secs(5));
    let other = fleet.decode[1].clone();
    let store = fleet.store.clone();
    other.record(&store, "draining");
    fleet.wait(Duration::from_millis(200));
    let crash = async move {
        sleep(Duration::from_millis(400)).await;
        other.record(&store, "ready");
        sleep(Duration::from_millis(200)).await;
        simulation.kill(failing);
    };
    let answered = send_beside(&mut fleet, streams("tag", "second", 1), crash);
    assert_all_served(&answered, "resumed with the returned retry");
}

/// Guards against an engine at capacity that goes on with a request which another one runs: it delays
/// its health checks, but accepts connections, so it is reached.
#[test]
fn an_engine_that_delays_its_health_checks_is_left_before_two_work_on_a_request() {
    /// Two engines may work on a request for no longer than this.
    const MAX_OVERLAP: Duration = Duration::from_millis(400);
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 0,
        ..FleetOptions::default()
    });
    earn_retries(&mut fleet, 1);
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    let engines = fleet.decode.clone();
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    let request = ClientRequest {
        deadline_ms: 5_000,
        ..ClientRequest::prompt("doubled", "tag", 40, 200)
    };
    fleet.run(async move {
        let received =
            |engine: &EngineStandIn| engine.runs().iter().any(|run| run.request == "doubled");
        let watch = async {
            wait_until(|| engines.iter().any(received)).await;
            let first = engines.iter().find(|engine| received(engine));
            let first = first.expect("one has it");
            first.hold_health_checks();
            let second = engines.iter().find(|engine| !received(engine));
            let second = second.expect("the other has not");
            wait_until(|| received(second)).await;
            sleep(MAX_OVERLAP).await;
            let runs = first.runs();
            let run = runs.iter().find(|run| run.request == "doubled");
            assert_eq!(run.expect("it ran").end, RunEnd::Cancelled);
        };
        let asking = client.ask(target, &request);
        futures::pin_mut!(watch);
        futures::future::select(watch, Box::pin(asking)).await;
    });
}
