//! Engines that leave, a store in trouble, configurations, and planned stops.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, StoreMode};
use support::{Fleet, FleetOptions, routes, wait_until};
use tokio::time::sleep;

fn ask_at(fleet: &mut Fleet, daemon: usize, request: &ClientRequest) -> Option<Answer> {
    let client = fleet.client.clone();
    let target = fleet.daemons[daemon].callers_address;
    fleet.run(async move { client.ask(target, request).await })
}

/// A request that outlasts its stream.
fn patient(request: ClientRequest) -> ClientRequest {
    ClientRequest {
        deadline_ms: 20_000,
        ..request
    }
}

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> Answer {
    ask_at(fleet, 0, request).expect("a response, not a closed connection")
}

#[test]
fn an_engine_that_leaves_gets_nothing_new_whether_or_not_it_says_so() {
    for says_so in [true, false] {
        let mut fleet = Fleet::new(FleetOptions::default());
        if says_so {
            fleet.records[0].record(&fleet.store, "draining");
        } else {
            fleet.records[0].vanish(&fleet.store);
        }
        fleet.wait(Duration::from_millis(50));
        for number in 0..10 {
            let answer = ask(
                &mut fleet,
                &ClientRequest::plain(&number.to_string(), "fetch"),
            );
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert!(fleet.records[0].runs().is_empty(), "says so: {says_so}");
    }
}

#[test]
fn a_drain_in_a_gap_of_the_history_is_seen_by_reading_anew() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let store_host = fleet.store_host;
    let handle = fleet.simulation.handle();
    handle.freeze(store_host);
    fleet.records[0].record(&fleet.store, "draining");
    fleet.store.drop_history();
    fleet.wait(Duration::from_millis(200));
    handle.thaw(store_host);
    fleet.wait(Duration::from_millis(1_500));
    for number in 0..6 {
        ask(
            &mut fleet,
            &ClientRequest::plain(&number.to_string(), "fetch"),
        );
    }
    assert!(fleet.records[0].runs().is_empty());
}

#[test]
fn entries_that_lapse_while_the_store_is_away_do_not_empty_the_fleet() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.store.set_mode(StoreMode::Busy);
    fleet.wait(Duration::from_secs(4));
    for engine in &fleet.records {
        engine.vanish(&fleet.store);
    }
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait(Duration::from_millis(600));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
    assert_eq!(answer.status, StatusCode::OK);
}

#[test]
fn the_last_known_state_serves_while_the_store_is_away() {
    for mode in [StoreMode::Busy, StoreMode::Silent] {
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.store.set_mode(mode);
        fleet.wait(Duration::from_secs(20));
        let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
        assert_eq!(answer.status, StatusCode::OK, "{mode:?}");
    }
}

#[test]
fn a_newer_configuration_is_in_force_soon_after_a_silent_store_returns() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(Duration::from_secs(5));
    let mut changed = routes();
    changed.truncate(1);
    fleet.configure(2, &changed);
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait(Duration::from_millis(1_900));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[test]
fn a_daemon_that_the_store_refuses_gets_the_news_from_its_peers() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        ..FleetOptions::default()
    });
    fleet.wait(Duration::from_secs(1));
    fleet.store.refuse(fleet.daemons[1].daemon_ip);
    fleet.wait(Duration::from_secs(3));
    let mut changed = routes();
    changed.truncate(1);
    fleet.configure(2, &changed);
    fleet.records[0].record(&fleet.store, "draining");
    fleet.wait(Duration::from_millis(1_900));
    let gone = ask_at(&mut fleet, 1, &ClientRequest::plain("1", "fetch")).expect("a response");
    assert_eq!(gone.status, StatusCode::NOT_FOUND);
    for number in 2..6 {
        let request = ClientRequest::plain(&number.to_string(), "post");
        let answer = ask_at(&mut fleet, 1, &request).expect("a response");
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert!(fleet.records[0].runs().is_empty(), "it drains");
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let mut changed = routes();
    changed.truncate(1);
    fleet.configure(5, &changed);
    fleet.wait(Duration::from_millis(100));
    fleet.configure(4, &routes());
    fleet.wait(Duration::from_millis(100));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[test]
fn a_configuration_that_cannot_be_read_leaves_the_last_good_one_in_force() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet
        .store
        .put("op/config", "{\"version\": 9, \"routes\": 3}");
    fleet.wait(Duration::from_millis(100));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::OK);
}

#[test]
fn a_planned_stop_ends_what_it_has_and_is_not_ready_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.decode {
        engine.behave_always(Behaviour::Stream {
            events: 20,
            gap_ms: 100,
        });
    }
    let daemon = fleet.daemons[0].clone();
    let client = fleet.client.clone();
    let answer = fleet.run(async move {
        let request = patient(ClientRequest::prompt("1", "verdict", 40, 200));
        let (asked, ready) = tokio::join!(client.ask(daemon.callers_address, &request), async {
            sleep(Duration::from_millis(200)).await;
            daemon.terminate();
            sleep(Duration::from_millis(20)).await;
            client.status(daemon.readiness_address, "/readiness").await
        });
        assert_eq!(ready, Some(StatusCode::SERVICE_UNAVAILABLE));
        wait_until(|| daemon.has_stopped()).await;
        asked
    });
    let answer = answer.expect("a response");
    assert!(answer.is_whole);
}

#[test]
fn whoever_comes_late_to_a_stopping_daemon_is_sent_elsewhere_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.decode {
        engine.behave_always(Behaviour::Stream {
            events: 40,
            gap_ms: 100,
        });
    }
    let daemon = fleet.daemons[0].clone();
    let client = fleet.client.clone();
    fleet.run(async move {
        let long = patient(ClientRequest::prompt("1", "verdict", 40, 200));
        let asked = client.ask(daemon.callers_address, &long);
        let late = async {
            sleep(Duration::from_millis(100)).await;
            daemon.terminate();
            sleep(Duration::from_millis(1_000)).await;
            let early = ClientRequest::plain("2", "post");
            let early = client.ask(daemon.callers_address, &early).await.expect("a response");
            assert_eq!(early.status, StatusCode::OK);
            assert_eq!(early.headers["connection"], "close");
            sleep(Duration::from_millis(2_500)).await;
            let late = ClientRequest::plain("3", "post");
            let late = client.ask(daemon.callers_address, &late).await.expect("a response");
            assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(late.retry_after_s().is_some());
        };
        let (asked, ()) = tokio::join!(asked, late);
        assert!(asked.expect("a response").is_whole);
    });
}

#[test]
fn a_daemon_that_starts_anew_finds_out_which_engine_keeps_a_prompt() {
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 6,
        ..FleetOptions::default()
    });
    let prompt = |id: &str| ClientRequest::prompt(id, "verdict", 6_000, 900);
    let reader = |fleet: &Fleet, id: &str| {
        let read = |engine: &&ponddrift_platform_stand_ins::EngineStandIn| {
            engine.runs().iter().any(|run| run.request == id)
        };
        // Where it was read apart, a decode engine ran it too, but read nothing.
        let mut engines = fleet.prefill.iter().chain(&fleet.decode);
        engines.find(read).expect("read").id().to_owned()
    };
    let home = {
        ask(&mut fleet, &prompt("1"));
        reader(&fleet, "1")
    };
    // The home leaves, and another engine reads and keeps the head from then on.
    let leaver = fleet.prefill.iter().find(|engine| engine.id() == home);
    leaver.expect("there").record(&fleet.store, "draining");
    fleet.wait(Duration::from_millis(100));
    ask(&mut fleet, &prompt("2"));
    let keeper = reader(&fleet, "2");
    assert_ne!(keeper, home);
    let back = fleet.prefill.iter().find(|engine| engine.id() == home);
    back.expect("there").record(&fleet.store, "ready");
    let handle = fleet.simulation.handle();
    handle.power_off(fleet.daemons[0].host);
    fleet.wait(Duration::from_millis(200));
    handle.restart(fleet.daemons[0].host);
    fleet.wait(Duration::from_millis(600));
    ask(&mut fleet, &prompt("3"));
    let last = reader(&fleet, "3");
    // Both have read it once; either is right, any third would read it all.
    assert!(last == keeper || last == home, "{last}");
}

#[test]
fn an_address_that_another_service_took_over_runs_nothing() {
    let mut fleet = Fleet::new(FleetOptions {
        records: 1,
        ..FleetOptions::default()
    });
    // An entry that is out of date: its address belongs to an engine of another service now.
    let old =
        r#"{"service":"records","address":"10.0.1.3:8080","zone":"a","slots":8,"state":"ready"}"#;
    fleet.store.put("servers/i-old", old);
    fleet.wait(Duration::from_millis(50));
    let taken_over = fleet.decode[0].clone();
    for number in 0..12 {
        let request = ClientRequest::plain(&number.to_string(), "post");
        let answer = ask(&mut fleet, &request);
        let is_served = answer.status == StatusCode::OK;
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(is_served || is_refused, "{}", answer.status);
    }
    assert!(taken_over.rejected() > 0, "it was asked, and knew itself");
    assert!(taken_over.runs().is_empty());
}

#[test]
fn a_configuration_of_hundreds_of_routes_reaches_a_refused_daemon_too() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        ..FleetOptions::default()
    });
    fleet.wait(Duration::from_secs(1));
    fleet.store.refuse(fleet.daemons[1].daemon_ip);
    fleet
        .store
        .put("op/config", support::configuration_with_many_routes(2));
    fleet.wait(Duration::from_millis(1_900));
    let request = ClientRequest::plain("1", "more-399");
    for daemon in 0..3 {
        let answer = ask_at(&mut fleet, daemon, &request).expect("a response");
        assert_eq!(answer.status, StatusCode::OK, "daemon {daemon}");
    }
}

/// An engine that never said that it drains serves on as long as one that did: its entry going is no failure.
#[test]
fn a_stream_goes_on_at_an_engine_whose_entry_goes_in_calm() {
    let mut fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    let engine = fleet.decode[0].clone();
    engine.behave_always(Behaviour::Stream {
        events: 20,
        gap_ms: 100,
    });
    let (daemon, client) = (fleet.daemons[0].clone(), fleet.client.clone());
    let store = fleet.store.clone();
    let answer = fleet.run(async move {
        let request = patient(ClientRequest::prompt("1", "verdict", 40, 200));
        let (answer, ()) = tokio::join!(client.ask(daemon.callers_address, &request), async {
            sleep(Duration::from_millis(500)).await;
            engine.vanish(&store);
        });
        answer.expect("a response")
    });
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_whole, "the stream was cut");
    assert_eq!(fleet.decode[0].runs().len(), 1);
}

#[test]
fn an_engine_with_a_nonsensical_slow_start_serves_all_the_same() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.record_with_cold_time(&fleet.store, serde_json::json!("soon"));
    }
    fleet.wait(Duration::from_millis(50));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::OK);
}
