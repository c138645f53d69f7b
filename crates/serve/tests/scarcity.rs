//! Room that is shared out: plain requests beyond it are refused at once, and their callers find
//! room when they come back.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, ClientRequest, EngineStandIn, RouteConfig};
use support::{Fleet, FleetOptions, RECORDS};

/// Requests that come at once: one back end with 8 slots of 20 ms ends 24 of them within 60 ms.
const BURST: usize = 50;
/// Answers from which on a daemon trusts their average time.
const FIRST_ANSWERS: u32 = 10;

fn fleet(shares_room: bool) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 2,
        records: 1,
        shares_room,
        ..FleetOptions::default()
    });
    let fetch = RouteConfig {
        target_ms: 60,
        ..RouteConfig::new("fetch", "safe", RECORDS)
    };
    fleet.configure(2, &[fetch]);
    fleet.wait(Duration::from_millis(500));
    // The first answers show both daemons the time of a run.
    let first = (0..FIRST_ANSWERS * 2).map(|number| {
        let text = format!("first-{number}");
        let pause = Duration::from_millis(30) * number;
        (pause, usize::from(number % 2 == 1), request(&text, &text))
    });
    let answers = ask(&mut fleet, first.collect());
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    fleet
}

fn request(id: &str, body: &str) -> ClientRequest {
    ClientRequest {
        body: body.to_owned(),
        ..ClientRequest::plain(id, "fetch")
    }
}

/// Sends each request to a daemon after a pause.
fn ask(fleet: &mut Fleet, requests: Vec<(Duration, usize, ClientRequest)>) -> Vec<Answer> {
    let client = fleet.client.clone();
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    fleet.run(async move {
        let asked = requests.into_iter().map(|(pause, daemon, request)| {
            let (client, target) = (client.clone(), targets[daemon]);
            async move {
                tokio::time::sleep(pause).await;
                let answer = client.ask(target, &request).await;
                answer.expect("an answer, not a closed connection")
            }
        });
        join_all(asked).await
    })
}

fn burst() -> Vec<(Duration, usize, ClientRequest)> {
    (0..BURST)
        .map(|number| {
            let request = request(&format!("burst-{number}"), &format!("body-{number}"));
            (Duration::ZERO, 0, request)
        })
        .collect()
}

fn runs(engines: &[EngineStandIn]) -> usize {
    engines.iter().map(|engine| engine.runs().len()).sum()
}

fn metrics(fleet: &mut Fleet, daemon: usize) -> String {
    let (client, address) = (
        fleet.client.clone(),
        fleet.daemons[daemon].readiness_address,
    );
    let text = fleet.run(async move { client.text(address, "/metrics").await });
    text.expect("metrics")
}

#[test]
fn requests_beyond_the_room_are_refused_unrun_and_find_room_when_they_come_back() {
    let mut fleet = fleet(true);
    let runs_before = runs(&fleet.records);
    let answers = ask(&mut fleet, burst());
    let refused: Vec<usize> = (0..BURST)
        .filter(|number| answers[*number].status == StatusCode::SERVICE_UNAVAILABLE)
        .collect();
    let served = BURST - refused.len();
    assert!((16..=32).contains(&served), "about 24 have room: {served}");
    assert_eq!(
        runs(&fleet.records),
        runs_before + served,
        "what is refused did not run"
    );
    // Every other caller comes back to the other daemon, which has been told of its time.
    let back = refused.iter().enumerate().map(|(index, number)| {
        let answer = &answers[*number];
        let pause = answer.retry_after_s().expect("a time to come back");
        assert!(pause <= 2.0 / 3.0, "within a third of its time: {pause}");
        let request = request(&format!("back-{number}"), &format!("body-{number}"));
        (Duration::from_secs_f64(pause), index % 2, request)
    });
    let back: Vec<_> = back.collect();
    let answers = ask(&mut fleet, back);
    let served = answers
        .iter()
        .filter(|answer| answer.status == StatusCode::OK)
        .count();
    assert!(
        served * 5 >= refused.len() * 4,
        "four of five find room: {served} of {}",
        refused.len()
    );
    for daemon in 0..2 {
        let metrics = metrics(&mut fleet, daemon);
        assert!(
            metrics.contains("ponddrift_returns_total{result=\"kept\"}"),
            "daemon {daemon}: {:?}",
            metrics
                .lines()
                .filter(|line| line.contains("returns") || line.contains("room_claims"))
                .collect::<Vec<_>>()
        );
    }
}

#[test]
fn without_the_setting_every_request_is_sent() {
    let mut fleet = fleet(false);
    let runs_before = runs(&fleet.records);
    let answers = ask(&mut fleet, burst());
    let served = answers
        .iter()
        .filter(|answer| answer.status == StatusCode::OK);
    assert_eq!(served.count(), BURST);
    assert_eq!(runs(&fleet.records), runs_before + BURST);
}
