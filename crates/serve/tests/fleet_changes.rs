//! Changes in a fleet: draining and vanished engines, an unavailable store, new configurations and
//! graceful stops.

mod support;

use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, StoreMode, config};
use support::{Fleet, FleetOptions, routes, wait_until};
use tokio::time::sleep;

fn ask_at(fleet: &mut Fleet, daemon: usize, request: &ClientRequest) -> Option<Answer> {
    let client = fleet.client.clone();
    let target = fleet.daemons[daemon].callers_address;
    fleet.run(async move { client.ask(target, request).await })
}

/// The request with a deadline that is longer than its stream.
fn with_long_deadline(request: ClientRequest) -> ClientRequest {
    ClientRequest {
        deadline_ms: 20_000,
        ..request
    }
}

fn ask(fleet: &mut Fleet, request: &ClientRequest) -> Answer {
    ask_at(fleet, 0, request).expect("a response, not a closed connection")
}

#[test]
fn a_draining_or_removed_engine_gets_no_new_requests() {
    for is_draining in [true, false] {
        let mut fleet = Fleet::new(FleetOptions::default());
        if is_draining {
            fleet.records[0].record(&fleet.store, "draining");
        } else {
            fleet.records[0].remove_entry(&fleet.store);
        }
        fleet.wait(Duration::from_millis(50));
        for number in 0..10 {
            let answer = ask(
                &mut fleet,
                &ClientRequest::plain(&number.to_string(), "fetch"),
            );
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert!(
            fleet.records[0].runs().is_empty(),
            "draining entry: {is_draining}"
        );
    }
}

/// Another party may write under the engines' prefix: such an entry names no engine to use.
#[test]
fn an_engine_whose_entry_names_no_usable_one_gets_no_requests_until_it_is_written_again() {
    let address = r#""address":"10.0.9.9:80","zone":"a","slots":1,"sequence":1"#;
    for value in [
        String::from("\u{1}\u{2}"),
        String::from("{}"),
        format!(r#"{{"service":"records",{address},"state":"paused"}}"#),
        format!(r#"{{"service":"elsewhere",{address},"state":"ready"}}"#),
    ] {
        let mut fleet = Fleet::new(FleetOptions {
            daemons: 3,
            ..FleetOptions::default()
        });
        fleet.store.put(&fleet.records[0].key(), value.clone());
        fleet.wait(Duration::from_millis(500));
        let ask_all = |fleet: &mut Fleet, name: &str| {
            for number in 0..12 {
                let request = ClientRequest::plain(&format!("{name}{number}"), "fetch");
                let answer = ask_at(fleet, number % 3, &request).expect("an answer");
                assert_eq!(answer.status, StatusCode::OK);
            }
        };
        ask_all(&mut fleet, "a");
        assert!(fleet.records[0].runs().is_empty(), "{value}");
        assert!(!fleet.records[1].runs().is_empty(), "the others hold");
        fleet.records[0].record(&fleet.store, "ready");
        fleet.wait(Duration::from_millis(500));
        ask_all(&mut fleet, "b");
        assert!(!fleet.records[0].runs().is_empty(), "{value}");
    }
}

/// The entry is known before the configuration that names its service.
#[test]
fn an_engine_of_a_service_of_a_later_configuration_is_used() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let key = fleet.records[0].key();
    fleet.records[1].remove_entry(&fleet.store);
    fleet.store.remove(&key);
    fleet.store.put("op/config", config(2, &[], &[]));
    fleet.wait(Duration::from_millis(300));
    fleet.records[0].record(&fleet.store, "ready");
    fleet.wait(Duration::from_millis(300));
    fleet.configure(3, &routes());
    fleet.wait(Duration::from_millis(300));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fleet.records[0].runs().len(), 1);
}

#[test]
fn a_drain_missing_from_the_watch_history_is_found_by_reading_the_store_again() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let store_host = fleet.store_host;
    let handle = fleet.simulation.handle();
    handle.freeze(store_host);
    fleet.records[0].record(&fleet.store, "draining");
    fleet.store.compact_history();
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
fn entries_that_expire_while_the_store_is_unavailable_do_not_empty_the_fleet() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.store.set_mode(StoreMode::Busy);
    fleet.wait(Duration::from_secs(4));
    for engine in &fleet.records {
        engine.remove_entry(&fleet.store);
    }
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait(Duration::from_millis(600));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
    assert_eq!(answer.status, StatusCode::OK);
}

#[test]
fn requests_are_served_from_the_last_known_state_while_the_store_is_unavailable() {
    for mode in [StoreMode::Busy, StoreMode::Silent] {
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.store.set_mode(mode);
        fleet.wait(Duration::from_secs(20));
        let answer = ask(&mut fleet, &ClientRequest::plain("1", "post"));
        assert_eq!(answer.status, StatusCode::OK, "{mode:?}");
    }
}

#[test]
fn a_newer_configuration_is_applied_soon_after_a_silent_store_returns() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet.store.set_mode(StoreMode::Silent);
    fleet.wait(Duration::from_secs(5));
    let mut remaining_routes = routes();
    remaining_routes.truncate(1);
    fleet.configure(2, &remaining_routes);
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait(Duration::from_millis(1_900));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[test]
fn a_daemon_that_the_store_refuses_gets_changes_from_its_peers() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        ..FleetOptions::default()
    });
    fleet.wait(Duration::from_secs(1));
    fleet.store.refuse(fleet.daemons[1].daemon_ip);
    fleet.wait(Duration::from_secs(3));
    let mut remaining_routes = routes();
    remaining_routes.truncate(1);
    fleet.configure(2, &remaining_routes);
    fleet.records[0].record(&fleet.store, "draining");
    fleet.wait(Duration::from_millis(1_900));
    let removed_route =
        ask_at(&mut fleet, 1, &ClientRequest::plain("1", "fetch")).expect("a response");
    assert_eq!(removed_route.status, StatusCode::NOT_FOUND);
    for number in 2..6 {
        let request = ClientRequest::plain(&number.to_string(), "post");
        let answer = ask_at(&mut fleet, 1, &request).expect("a response");
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert!(fleet.records[0].runs().is_empty(), "it is draining");
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut fleet = Fleet::new(FleetOptions::default());
    let mut remaining_routes = routes();
    remaining_routes.truncate(1);
    fleet.configure(5, &remaining_routes);
    fleet.wait(Duration::from_millis(100));
    fleet.configure(4, &routes());
    fleet.wait(Duration::from_millis(100));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[test]
fn an_invalid_configuration_leaves_the_last_valid_one_in_force() {
    let mut fleet = Fleet::new(FleetOptions::default());
    fleet
        .store
        .put("op/config", "{\"version\": 9, \"routes\": 3}");
    fleet.wait(Duration::from_millis(100));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::OK);
}

#[test]
fn a_graceful_stop_completes_its_requests_and_is_not_ready_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: 20,
            gap_ms: 100,
        });
    }
    let daemon = fleet.daemons[0].clone();
    let client = fleet.client.clone();
    let answer = fleet.run(async move {
        let request = with_long_deadline(ClientRequest::prompt("1", "verdict", 40, 200));
        let (response, readiness) =
            tokio::join!(client.ask(daemon.callers_address, &request), async {
                sleep(Duration::from_millis(200)).await;
                daemon.terminate();
                sleep(Duration::from_millis(20)).await;
                client.status(daemon.readiness_address, "/readiness").await
            });
        assert_eq!(readiness, Some(StatusCode::SERVICE_UNAVAILABLE));
        wait_until(|| daemon.has_stopped()).await;
        response
    });
    let answer = answer.expect("a response");
    assert!(answer.is_complete);
}

#[test]
fn a_stopping_daemon_closes_connections_and_later_refuses_requests_at_once() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: 40,
            gap_ms: 100,
        });
    }
    let daemon = fleet.daemons[0].clone();
    let client = fleet.client.clone();
    fleet.run(async move {
        let long = with_long_deadline(ClientRequest::prompt("1", "verdict", 40, 200));
        let response = client.ask(daemon.callers_address, &long);
        let later_requests = async {
            sleep(Duration::from_millis(100)).await;
            daemon.terminate();
            sleep(Duration::from_millis(1_000)).await;
            let early_request = ClientRequest::plain("2", "post");
            let early_response = client
                .ask(daemon.callers_address, &early_request)
                .await
                .expect("a response");
            assert_eq!(early_response.status, StatusCode::OK);
            assert_eq!(early_response.headers["connection"], "close");
            sleep(Duration::from_millis(2_500)).await;
            let late_request = ClientRequest::plain("3", "post");
            let late_response = client
                .ask(daemon.callers_address, &late_request)
                .await
                .expect("a response");
            assert_eq!(late_response.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(late_response.retry_after_s().is_some());
        };
        let (response, ()) = tokio::join!(response, later_requests);
        assert!(response.expect("a response").is_complete);
    });
}

#[test]
fn a_restarted_daemon_finds_an_engine_that_has_a_prompt_prefix_cached() {
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 6,
        ..FleetOptions::default()
    });
    let prompt = |id: &str| ClientRequest::prompt(id, "verdict", 6_000, 900);
    let find_prefilling_engine = |fleet: &Fleet, id: &str| {
        let has_prefilled = |engine: &&ponddrift_platform_stand_ins::EngineStandIn| {
            engine.runs().iter().any(|run| run.request == id)
        };
        // A decode engine also ran a prompt that was prefilled separately, but did not prefill it.
        let mut engines = fleet.prefill.iter().chain(&fleet.decode);
        engines
            .find(has_prefilled)
            .expect("an engine that prefilled it")
            .id()
            .to_owned()
    };
    let first_engine = {
        ask(&mut fleet, &prompt("1"));
        find_prefilling_engine(&fleet, "1")
    };
    // The first engine drains, and another engine prefills and caches the prefix.
    let draining_engine = fleet
        .prefill
        .iter()
        .find(|engine| engine.id() == first_engine);
    draining_engine
        .expect("an engine of this identity")
        .record(&fleet.store, "draining");
    fleet.wait(Duration::from_millis(100));
    ask(&mut fleet, &prompt("2"));
    let second_engine = find_prefilling_engine(&fleet, "2");
    assert_ne!(second_engine, first_engine);
    let returning_engine = fleet
        .prefill
        .iter()
        .find(|engine| engine.id() == first_engine);
    returning_engine
        .expect("an engine of this identity")
        .record(&fleet.store, "ready");
    let handle = fleet.simulation.handle();
    handle.power_off(fleet.daemons[0].host);
    fleet.wait(Duration::from_millis(200));
    handle.restart(fleet.daemons[0].host);
    fleet.wait(Duration::from_millis(600));
    ask(&mut fleet, &prompt("3"));
    let last_engine = find_prefilling_engine(&fleet, "3");
    // Both engines have the prefix cached; a third one would have to prefill it again.
    assert!(
        last_engine == second_engine || last_engine == first_engine,
        "{last_engine}"
    );
}

#[test]
fn an_engine_at_the_former_address_of_another_service_runs_none_of_its_requests() {
    let mut fleet = Fleet::new(FleetOptions {
        records: 1,
        ..FleetOptions::default()
    });
    // A stale entry, whose address belongs to an engine of another service now.
    let stale_entry =
        r#"{"service":"records","address":"10.0.1.3:8080","zone":"a","slots":8,"state":"ready"}"#;
    fleet.store.put("servers/i-old", stale_entry);
    fleet.wait(Duration::from_millis(50));
    let other_engine = fleet.decode[0].clone();
    for number in 0..12 {
        let request = ClientRequest::plain(&number.to_string(), "post");
        let answer = ask(&mut fleet, &request);
        let is_served = answer.status == StatusCode::OK;
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(is_served || is_refused, "{}", answer.status);
    }
    assert!(
        other_engine.rejected() > 0,
        "it received and rejected requests"
    );
    assert!(other_engine.runs().is_empty());
}

#[test]
fn a_daemon_that_the_store_refuses_gets_a_large_configuration_from_its_peers() {
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

/// An entry that is removed without a preceding drain is no failure of the engine: running streams
/// must continue.
#[test]
fn a_stream_continues_at_an_engine_whose_entry_is_removed() {
    let mut fleet = Fleet::new(FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    });
    let engine = fleet.decode[0].clone();
    engine.set_default_behaviour(Behaviour::Stream {
        events: 20,
        gap_ms: 100,
    });
    let (daemon, client) = (fleet.daemons[0].clone(), fleet.client.clone());
    let store = fleet.store.clone();
    let answer = fleet.run(async move {
        let request = with_long_deadline(ClientRequest::prompt("1", "verdict", 40, 200));
        let (answer, ()) = tokio::join!(client.ask(daemon.callers_address, &request), async {
            sleep(Duration::from_millis(500)).await;
            engine.remove_entry(&store);
        });
        answer.expect("a response")
    });
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_complete, "the stream was cut");
    assert_eq!(fleet.decode[0].runs().len(), 1);
}

#[test]
fn an_engine_with_an_invalid_slow_start_time_still_serves() {
    let mut fleet = Fleet::new(FleetOptions::default());
    for engine in &fleet.records {
        engine.record_with_cold_time(&fleet.store, serde_json::json!("soon"));
    }
    fleet.wait(Duration::from_millis(50));
    let answer = ask(&mut fleet, &ClientRequest::plain("1", "fetch"));
    assert_eq!(answer.status, StatusCode::OK);
}
