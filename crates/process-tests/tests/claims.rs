//! Checks that a request with an idempotency key runs at most once across several daemons.

use eyre::Result;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_core::Execution;
use ponddrift_http::body;
use ponddrift_process_tests::answers::read_problem;
use ponddrift_process_tests::fleet::{Fleet, FleetSize, read};
use ponddrift_process_tests::wait::eventually;
use rustix::process::Signal;
use serde_json::json;

const POSTING: &str = "debit 1000 credit 1000";

async fn post(fleet: &Fleet, daemon: usize, key: &str) -> Result<Response<Incoming>> {
    let gateway = fleet.gateway(daemon)?;
    let request = Request::post(format!("http://{gateway}/services/post/journal"))
        .header("idempotency-key", key)
        .body(body::full(POSTING))?;
    fleet.send(request).await
}

/// Waits until idempotency keys can be claimed through every daemon. Each attempt uses a new key.
async fn wait_until_claims_work(fleet: &Fleet) -> Result<()> {
    for daemon in 0..fleet.daemons.len() {
        let attempt = std::sync::atomic::AtomicU32::new(0);
        eventually("a key can be claimed", || async {
            let number = attempt.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let response = post(fleet, daemon, &format!("probe-{daemon}-{number}"))
                .await
                .ok()?;
            (response.status() == StatusCode::OK).then_some(())
        })
        .await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_key_sent_to_three_daemons_concurrently_runs_at_most_once() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 3,
        engines: 0,
        records: 2,
    })
    .await?;
    wait_until_claims_work(&fleet).await?;
    for round in 0..10 {
        let key = format!("same-{round}");
        let posts = (0..9).map(|number| post(&fleet, number % 3, &key));
        for response in futures::future::join_all(posts).await {
            let response = response?;
            if response.status() != StatusCode::OK {
                let problem = read_problem(response).await?;
                assert_eq!(problem.execution, Execution::Unknown, "{}", problem.detail);
            }
        }
        assert!(
            fleet.runs_with_idempotency_key(&key).await? <= 1,
            "round {round}"
        );
    }
    Ok(())
}

#[tokio::test]
async fn a_retry_at_another_daemon_returns_the_first_response() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 3,
        engines: 0,
        records: 1,
    })
    .await?;
    wait_until_claims_work(&fleet).await?;
    let first = read(post(&fleet, 0, "once").await?).await?;
    eventually("the repeat gets the kept answer", || async {
        let response = post(&fleet, 1, "once").await.ok()?;
        (response.status() == StatusCode::OK).then_some(())
    })
    .await?;
    let repeated = read(post(&fleet, 2, "once").await?).await?;
    assert_eq!(first, repeated);
    assert_eq!(fleet.runs_with_idempotency_key("once").await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_retry_after_its_daemon_was_killed_does_not_run_again() -> Result<()> {
    let mut fleet = Fleet::start(FleetSize {
        daemons: 3,
        engines: 0,
        records: 1,
    })
    .await?;
    wait_until_claims_work(&fleet).await?;
    fleet
        .set_records_faults(0, &json!({"latency_ms": 600_000}))
        .await?;
    let posting = post(&fleet, 0, "killed");
    let killed = async {
        eventually("the posting has reached the back end", || async {
            (fleet.runs_with_idempotency_key("killed").await.ok()? == 1).then_some(())
        })
        .await?;
        fleet.daemons[0].signal(Signal::KILL)
    };
    let (first, killed) = futures::join!(posting, killed);
    killed?;
    assert!(first.is_err(), "its daemon died before it answered");
    fleet.daemons.remove(0);
    fleet
        .set_records_faults(0, &json!({"latency_ms": 0}))
        .await?;
    for daemon in 0..2 {
        let response = post(&fleet, daemon, "killed").await?;
        assert_eq!(response.status(), StatusCode::CONFLICT);
        assert_eq!(read_problem(response).await?.execution, Execution::Unknown);
    }
    assert_eq!(fleet.runs_with_idempotency_key("killed").await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_request_without_enough_daemons_to_store_its_key_is_refused_as_not_started() -> Result<()>
{
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 0,
        records: 1,
    })
    .await?;
    let response = post(&fleet, 0, "alone").await?;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        read_problem(response).await?.execution,
        Execution::NotStarted
    );
    assert_eq!(fleet.runs_with_idempotency_key("alone").await?, 0);
    Ok(())
}

#[tokio::test]
async fn consecutive_daemon_shutdowns_hand_over_claims() -> Result<()> {
    let mut fleet = Fleet::start(FleetSize {
        daemons: 5,
        engines: 0,
        records: 1,
    })
    .await?;
    wait_until_claims_work(&fleet).await?;
    let keys: Vec<String> = (0..20).map(|number| format!("kept-{number}")).collect();
    for key in &keys {
        assert_eq!(post(&fleet, 0, key).await?.status(), StatusCode::OK);
    }
    for _ in 0..2 {
        let stopping = fleet.daemons.remove(0);
        stopping.signal(Signal::TERM)?;
        assert_eq!(stopping.wait_for_exit().await?, Some(0));
    }
    for key in &keys {
        let response = post(&fleet, 0, key).await?;
        assert_eq!(
            response.status(),
            StatusCode::OK,
            "{key} is answered from the kept claim"
        );
        assert_eq!(fleet.runs_with_idempotency_key(key).await?, 1);
    }
    Ok(())
}

/// Sends the keys to all daemons in turn until one of them does not answer from the kept claim.
async fn repeat_until_refused(fleet: &Fleet, keys: &[String]) -> Result<()> {
    loop {
        for key in keys {
            for daemon in 0..fleet.daemons.len() {
                let status = post(fleet, daemon, key).await?.status();
                eyre::ensure!(
                    status == StatusCode::OK,
                    "{key} at daemon {daemon}: {status}"
                );
            }
        }
    }
}

/// Guards against refusals while a stopping daemon hands its claims over: the other daemons hold
/// the claims of the old group or of the new one at any time.
#[tokio::test]
async fn kept_keys_are_answered_while_daemons_shut_down() -> Result<()> {
    let mut fleet = Fleet::start(FleetSize {
        daemons: 5,
        engines: 0,
        records: 1,
    })
    .await?;
    wait_until_claims_work(&fleet).await?;
    let keys: Vec<String> = (0..20).map(|number| format!("kept-{number}")).collect();
    for key in &keys {
        assert_eq!(post(&fleet, 0, key).await?.status(), StatusCode::OK);
    }
    for _ in 0..2 {
        let stopping = fleet.daemons.remove(0);
        stopping.signal(Signal::TERM)?;
        tokio::select! {
            exit_code = stopping.wait_for_exit() => assert_eq!(exit_code?, Some(0)),
            refused = repeat_until_refused(&fleet, &keys) => refused?,
        }
    }
    Ok(())
}
