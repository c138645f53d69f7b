//! Back ends that announce in responses that they are draining, or that reject requests and ask for
//! a backoff with `Retry-After`.
//!
//! Guards against daemons that ignore these announcements while the store cannot report the change,
//! and keep sending requests to such back ends although others are available.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{
    Answer, Arrival, Behaviour, ClientRequest, EngineStandIn, StoreMode,
};
use support::{Fleet, FleetOptions};
use tokio::time::{Instant, sleep};

/// Nothing new may reach a back end this long after its announcement.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(2);
/// Backoff that back ends ask for in these tests.
const BACKOFF: Duration = Duration::from_secs(3);
/// The same as a value of `Retry-After`, in seconds.
const BACKOFF_TEXT: &str = "3";
/// Requests already in flight when a back end asks for a backoff may reach it for this long.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Sends `count` requests to one daemon, one after the other with a pause between them.
fn send_requests(
    fleet: &mut Fleet,
    daemon: usize,
    count: u32,
    pause: Duration,
    request: impl Fn(u32) -> ClientRequest,
) -> Vec<Answer> {
    let (client, target) = (fleet.client.clone(), fleet.daemons[daemon].callers_address);
    fleet.run(async move {
        let mut answers = Vec::new();
        for number in 0..count {
            let answer = client.ask(target, &request(number)).await;
            answers.push(answer.expect("a response, not a closed connection"));
            sleep(pause).await;
        }
        answers
    })
}

fn plain_requests(name: &str, route: &'static str) -> impl Fn(u32) -> ClientRequest + use<> {
    let name = name.to_owned();
    move |number| ClientRequest::plain(&format!("{name}-{number}"), route)
}

/// Prompts without a shared prefix.
fn prompt_requests(name: &str, route: &'static str) -> impl Fn(u32) -> ClientRequest + use<> {
    let name = name.to_owned();
    move |number| ClientRequest::prompt(&format!("{name}-{number}"), route, 0, 900)
}

/// Current virtual time of the simulation.
fn virtual_now(fleet: &mut Fleet) -> Instant {
    fleet.run(async { Instant::now() })
}

/// Sends requests until the retry budget covers the retries after the first rejections.
fn build_up_retry_budget(fleet: &mut Fleet, request: impl Fn(u32) -> ClientRequest) {
    let answers = send_requests(fleet, 0, 40, Duration::from_millis(20), request);
    assert!(all_served(&answers), "all back ends are healthy");
}

fn arrivals_since(engine: &EngineStandIn, since: Instant) -> Vec<Arrival> {
    let mut arrivals = engine.arrivals();
    arrivals.retain(|arrival| arrival.at >= since);
    arrivals
}

/// Number of requests that daemons sent during a backoff that the engine had asked them for.
/// Requests that may have been in flight do not count.
fn arrivals_during_backoff(engine: &EngineStandIn, backoff: Duration) -> usize {
    let arrivals = engine.arrivals();
    let is_during_backoff = |arrival: &Arrival| {
        arrivals.iter().any(|announcement| {
            let elapsed = arrival.at.saturating_duration_since(announcement.at);
            announcement.has_retry_after
                && announcement.from == arrival.from
                && elapsed > IN_FLIGHT_TIME
                && elapsed < backoff
        })
    };
    arrivals
        .iter()
        .filter(|arrival| is_during_backoff(arrival))
        .count()
}

fn reject_with_backoff(engine: &EngineStandIn) {
    engine.set_default_behaviour(Behaviour::Refuse);
    engine.set_retry_after(&[BACKOFF_TEXT]);
}

fn all_served(answers: &[Answer]) -> bool {
    answers.iter().all(|answer| answer.status == StatusCode::OK)
}

#[test]
fn a_back_end_that_announces_draining_gets_no_new_requests_while_the_store_is_unavailable() {
    for mode in [StoreMode::Busy, StoreMode::Silent] {
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.store.set_mode(mode);
        let draining = fleet.records[0].clone();
        draining.announce_draining();
        let pause = Duration::from_millis(20);
        send_requests(&mut fleet, 0, 20, pause, plain_requests("first", "post"));
        assert!(
            !draining.arrivals().is_empty(),
            "it received requests at first"
        );
        fleet.wait(ANNOUNCEMENT_DELAY);
        let since = virtual_now(&mut fleet);
        let answers = send_requests(&mut fleet, 0, 40, pause, plain_requests("later", "post"));
        assert!(all_served(&answers), "another back end serves");
        assert_eq!(arrivals_since(&draining, since), [], "{mode:?}");
    }
}

#[test]
fn a_prefill_or_decode_engine_that_announces_draining_gets_no_new_requests() {
    for is_prefill in [true, false] {
        let mut fleet = Fleet::new(FleetOptions {
            prefill: 2,
            ..FleetOptions::default()
        });
        fleet.store.set_mode(StoreMode::Busy);
        let draining = if is_prefill {
            fleet.prefill[0].clone()
        } else {
            fleet.decode[0].clone()
        };
        draining.announce_draining();
        let pause = Duration::from_millis(20);
        send_requests(&mut fleet, 0, 20, pause, prompt_requests("first", "tag"));
        assert!(
            !draining.arrivals().is_empty(),
            "it received requests at first"
        );
        fleet.wait(ANNOUNCEMENT_DELAY);
        let since = virtual_now(&mut fleet);
        let answers = send_requests(&mut fleet, 0, 40, pause, prompt_requests("later", "tag"));
        assert!(all_served(&answers), "another back end serves");
        assert_eq!(
            arrivals_since(&draining, since),
            [],
            "prefill engine: {is_prefill}"
        );
    }
}

#[test]
fn a_back_end_that_asks_for_a_backoff_gets_no_requests_from_that_daemon_until_it_ends() {
    let mut fleet = Fleet::new(FleetOptions {
        records: 4,
        ..FleetOptions::default()
    });
    build_up_retry_budget(&mut fleet, plain_requests("earn", "fetch"));
    for engine in &fleet.records[..2] {
        reject_with_backoff(engine);
    }
    let pause = Duration::from_millis(30);
    let answers = send_requests(&mut fleet, 0, 150, pause, plain_requests("ask", "fetch"));
    for engine in &fleet.records[..2] {
        assert!(
            !engine.arrivals().is_empty(),
            "it received requests at first"
        );
        assert_eq!(arrivals_during_backoff(engine, BACKOFF), 0);
    }
    assert!(all_served(&answers), "the two other back ends serve");
}

#[test]
fn prefill_and_decode_engines_that_ask_for_a_backoff_get_no_requests_until_it_ends() {
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 3,
        decode: 4,
        ..FleetOptions::default()
    });
    build_up_retry_budget(&mut fleet, prompt_requests("earn", "tag"));
    let backing_off = [&fleet.prefill[0], &fleet.decode[0], &fleet.decode[1]].map(Clone::clone);
    for engine in &backing_off {
        reject_with_backoff(engine);
    }
    let pause = Duration::from_millis(30);
    let answers = send_requests(&mut fleet, 0, 150, pause, prompt_requests("ask", "tag"));
    for engine in &backing_off {
        assert!(
            !engine.arrivals().is_empty(),
            "it received requests at first"
        );
        assert_eq!(arrivals_during_backoff(engine, BACKOFF), 0);
    }
    assert!(all_served(&answers), "the other engines serve");
}

/// Sends rounds of prompts, one to each daemon. Returns the round of each request that failed.
fn failed_rounds(fleet: &mut Fleet, rounds: u32, pause: Duration) -> Vec<u32> {
    let client = fleet.client.clone();
    let targets: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    fleet.run(async move {
        let mut asked = Vec::new();
        for round in 0..rounds {
            for (daemon, target) in targets.iter().enumerate() {
                let (client, target) = (client.clone(), *target);
                let request = ClientRequest::prompt(&format!("{round}-{daemon}"), "tag", 0, 200);
                asked.push(async move {
                    sleep(pause * round).await;
                    let answer = client.ask(target, &request).await;
                    let status = answer.expect("a response, not a closed connection").status;
                    (status != StatusCode::OK).then_some(round)
                });
            }
        }
        join_all(asked).await.into_iter().flatten().collect()
    })
}

/// An engine may ask for a backoff again as soon as one has ended. Only one request may probe it,
/// and a retried request must go to an engine that serves: otherwise callers are refused whenever
/// several backoffs end at once.
#[test]
fn callers_are_served_while_half_of_the_engines_repeatedly_ask_for_a_backoff() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        prefill: 4,
        decode: 6,
        ..FleetOptions::default()
    });
    let pause = Duration::from_millis(15);
    failed_rounds(&mut fleet, 100, pause);
    for engine in fleet.prefill[..2].iter().chain(&fleet.decode[..3]) {
        engine.set_default_behaviour(Behaviour::Refuse);
        engine.set_retry_after(&["1"]);
    }
    let failed = failed_rounds(&mut fleet, 700, pause);
    // In the first second the daemons do not know yet which engines asked for a backoff.
    let later: Vec<u32> = failed.into_iter().filter(|round| *round > 67).collect();
    assert!(later.is_empty(), "{later:?}");
}

#[test]
fn a_caller_is_refused_at_once_with_retry_after_while_all_back_ends_ask_for_a_backoff() {
    let requests = [("fetch", false), ("tag", true)];
    for (route, is_prompt) in requests {
        let mut fleet = Fleet::new(FleetOptions::default());
        let engines: Vec<EngineStandIn> = if is_prompt {
            fleet.decode.clone()
        } else {
            fleet.records.clone()
        };
        for engine in &engines {
            reject_with_backoff(engine);
        }
        let pause = Duration::from_millis(5);
        let request = |name: &str| -> Box<dyn Fn(u32) -> ClientRequest> {
            if is_prompt {
                Box::new(prompt_requests(name, route))
            } else {
                Box::new(plain_requests(name, route))
            }
        };
        send_requests(&mut fleet, 0, 20, pause, request("first"));
        fleet.wait(IN_FLIGHT_TIME);
        let arrivals_before: usize = engines.iter().map(|engine| engine.arrivals().len()).sum();
        let started_at = virtual_now(&mut fleet);
        let answers = send_requests(&mut fleet, 0, 10, Duration::ZERO, request("later"));
        let took = virtual_now(&mut fleet) - started_at;
        assert!(took < Duration::from_millis(500), "at once: {took:?}");
        for answer in answers {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{route}");
            let retry_after_s = answer.retry_after_s().expect("a Retry-After header");
            assert!(
                (1.5..=4.0).contains(&retry_after_s),
                "the end of the first backoff: {retry_after_s}"
            );
        }
        let arrivals_after: usize = engines.iter().map(|engine| engine.arrivals().len()).sum();
        assert_eq!(
            arrivals_after, arrivals_before,
            "{route}: no request during the backoff"
        );
        for engine in &engines {
            engine.clear_behaviours();
        }
        fleet.wait(BACKOFF);
        let answers = send_requests(&mut fleet, 0, 5, pause, request("after"));
        assert!(
            all_served(&answers),
            "{route}: they serve once the backoff has ended"
        );
    }
}

/// A restarted back end has announced nothing yet. A new store entry of the same incarnation does
/// not revoke an announcement, because the back end may have written it before the announcement.
#[test]
fn a_back_end_that_restarts_under_the_same_identity_gets_requests_again() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let draining = fleet.records[0].clone();
    draining.start_new_incarnation(1_000);
    draining.record(&fleet.store, "ready");
    draining.announce_draining();
    let pause = Duration::from_millis(20);
    send_requests(&mut fleet, 0, 20, pause, plain_requests("first", "post"));
    let since = virtual_now(&mut fleet);
    send_requests(&mut fleet, 0, 20, pause, plain_requests("leaving", "post"));
    assert_eq!(arrivals_since(&draining, since), [], "it is draining");
    // A new store entry of the same incarnation: it is still draining.
    draining.record(&fleet.store, "ready");
    fleet.wait(Duration::from_millis(50));
    send_requests(&mut fleet, 0, 20, pause, plain_requests("written", "post"));
    assert_eq!(arrivals_since(&draining, since), [], "it is still draining");
    draining.start_new_incarnation(2_000);
    draining.record(&fleet.store, "ready");
    fleet.records[1].remove_entry(&fleet.store);
    fleet.wait(Duration::from_millis(50));
    let answers = send_requests(&mut fleet, 0, 20, pause, plain_requests("again", "post"));
    assert!(
        all_served(&answers),
        "it has restarted and is the only back end"
    );
}

#[test]
fn invalid_retry_after_values_are_ignored() {
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 0,
        ..FleetOptions::default()
    });
    build_up_retry_budget(&mut fleet, prompt_requests("earn", "tag"));
    let engine = fleet.decode[0].clone();
    engine.set_default_behaviour(Behaviour::Refuse);
    engine.set_retry_after(&["Wed, 21 Oct 2026 07:28:00 GMT", "soon", "-4", "NaN"]);
    let since = virtual_now(&mut fleet);
    let pause = Duration::from_millis(50);
    send_requests(&mut fleet, 0, 40, pause, prompt_requests("ask", "tag"));
    let asked = arrivals_since(&engine, since).len();
    assert!(
        asked > 2,
        "it named no valid backoff, so it is tried again soon"
    );
}

/// The chosen decode engine may start to drain while the prompt is prefilled, which takes seconds.
/// The prompt must not be sent to it, even if no other decode engine is left.
#[test]
fn a_prefilled_prompt_is_not_sent_to_a_decode_engine_that_began_to_drain_meanwhile() {
    let mut fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    let (prefill_engine, decode_engine) = (fleet.prefill[0].clone(), fleet.decode[0].clone());
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    let store = fleet.store.clone();
    let engine = decode_engine.clone();
    let answer = fleet.run(async move {
        let mut request = ClientRequest::prompt("long", "verdict", 0, 12_000);
        request.deadline_ms = 10_000;
        let (answer, ()) = tokio::join!(client.ask(target, &request), async {
            sleep(Duration::from_millis(100)).await;
            engine.record(&store, "draining");
        });
        answer.expect("a response, not a closed connection")
    });
    assert!(
        !prefill_engine.arrivals().is_empty(),
        "the prompt was prefilled separately"
    );
    assert_eq!(decode_engine.arrivals(), []);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    fleet.wait(Duration::from_millis(100));
    assert_eq!(
        prefill_engine.released_handles().len(),
        1,
        "its handle is freed"
    );
}
