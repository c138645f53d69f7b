//! Checks that clients never get a truncated or wrong answer as complete when a back end crashes,
//! sends another record, or truncates its answer.

use eyre::{ContextCompat, Result};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use ponddrift_core::Execution;
use ponddrift_emulator::engine::expected_text;
use ponddrift_emulator::records::expected_record;
use ponddrift_engine::wire::headers::REQUEST_ID;
use ponddrift_http::body;
use ponddrift_process_tests::answers::{
    read_completion_text, read_problem, read_streamed_completion,
};
use ponddrift_process_tests::fleet::{Fleet, FleetSize, read};
use ponddrift_process_tests::wait::eventually;
use rustix::process::Signal;
use serde_json::json;

const PROMPT: &str = "thirty cartons of vaccine and a thermometer that told of a warm night";

#[tokio::test]
async fn a_stream_ends_with_an_error_event_when_its_engine_dies() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 1,
        records: 0,
    })
    .await?;
    fleet
        .set_engine_behaviour(0, &json!({"slowness": 3.0}))
        .await?;
    let completion =
        json!({"model": "reconcile", "prompt": PROMPT, "max_tokens": 4000, "stream": true});
    let mut response = fleet.complete(0, &completion).await?;
    assert_eq!(response.status(), StatusCode::OK);
    let first = response
        .body_mut()
        .frame()
        .await
        .wrap_err("a first body frame")??;
    assert!(first.is_data());
    fleet.engines[0].signal(Signal::KILL)?;
    let answer = read_streamed_completion(response).await?;
    assert!(!answer.is_complete);
    let problem = answer.problem.wrap_err("an explicit error event")?;
    assert_eq!(problem.execution, Execution::Unknown);
    Ok(())
}

#[tokio::test]
async fn requests_fail_over_from_a_dead_engine_before_the_first_byte() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 2,
        records: 0,
    })
    .await?;
    fleet.engines[0].signal(Signal::KILL)?;
    for _ in 0..8 {
        let completion = json!({"model": "reconcile", "prompt": PROMPT, "max_tokens": 5});
        let response = fleet.complete(0, &completion).await?;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(
            read_completion_text(response).await?,
            expected_text(PROMPT, 5)
        );
    }
    Ok(())
}

#[tokio::test]
async fn a_client_disconnect_cancels_the_request_at_the_engine() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 1,
        records: 0,
    })
    .await?;
    fleet
        .set_engine_behaviour(0, &json!({"slowness": 3.0}))
        .await?;
    let completion =
        json!({"model": "reconcile", "prompt": PROMPT, "max_tokens": 100_000, "stream": true});
    let mut response = fleet.complete(0, &completion).await?;
    let first = response
        .body_mut()
        .frame()
        .await
        .wrap_err("a first body frame")??;
    assert!(first.is_data());
    drop(response);
    eventually("the engine cancelled the request", || async {
        let counters = fleet.engine_counters(0).await.ok()?;
        (counters.cancelled == 1).then_some(())
    })
    .await
}

#[tokio::test]
async fn wrong_or_truncated_records_are_never_returned_as_complete() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 0,
        records: 1,
    })
    .await?;
    let gateway = fleet.gateway(0)?;
    for faults in [
        json!({"crossed": 1.0}),
        json!({"truncated": 1.0}),
        json!({"reset": 1.0}),
    ] {
        fleet.set_records_faults(0, &faults).await?;
        let request = Request::get(format!("http://{gateway}/services/records/probes/9"))
            .body(body::empty())?;
        let response = fleet.send(request).await?;
        assert!(
            response.status().is_server_error(),
            "{faults} gave {}",
            response.status()
        );
        let problem = read_problem(response).await?;
        assert_eq!(problem.execution, Execution::Unknown, "{faults}");
    }
    Ok(())
}

#[tokio::test]
async fn clients_do_not_notice_one_faulty_back_end_of_two() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 0,
        records: 2,
    })
    .await?;
    let gateway = fleet.gateway(0)?;
    fleet
        .set_records_faults(0, &json!({"truncated": 1.0}))
        .await?;
    for number in 0..12 {
        let path = format!("/probes/{number}");
        let request =
            Request::get(format!("http://{gateway}/services/records{path}")).body(body::empty())?;
        let response = fleet.send(request).await?;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(read(response).await?, expected_record(&path, None));
    }
    Ok(())
}

#[tokio::test]
async fn a_request_that_may_have_run_is_not_retried() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 0,
        records: 2,
    })
    .await?;
    let gateway = fleet.gateway(0)?;
    for index in 0..2 {
        fleet
            .set_records_faults(index, &json!({"reset": 1.0}))
            .await?;
    }
    let request = Request::post(format!("http://{gateway}/services/post/journal"))
        .body(body::full("debit 4 credit 4"))?;
    let response = fleet.send(request).await?;
    let request_id = response.headers()[REQUEST_ID].to_str()?.to_owned();
    assert_eq!(read_problem(response).await?.execution, Execution::Unknown);
    assert_eq!(fleet.runs_of_request(&request_id).await?.started, 1);
    Ok(())
}

#[tokio::test]
async fn a_daemon_shutdown_completes_running_streams() -> Result<()> {
    let mut fleet = Fleet::start(FleetSize {
        daemons: 1,
        engines: 1,
        records: 0,
    })
    .await?;
    fleet
        .set_engine_behaviour(0, &json!({"slowness": 3.0}))
        .await?;
    let completion =
        json!({"model": "reconcile", "prompt": PROMPT, "max_tokens": 60, "stream": true});
    let mut response = fleet.complete(0, &completion).await?;
    let first = response
        .body_mut()
        .frame()
        .await
        .wrap_err("a first body frame")??;
    let daemon = fleet.daemons.remove(0);
    daemon.signal(Signal::TERM)?;
    let answer = read_streamed_completion(response).await?;
    assert!(answer.is_complete);
    let whole = expected_text(PROMPT, 60);
    assert!(
        whole.ends_with(&answer.text),
        "the rest of the answer came after the first part"
    );
    assert!(first.is_data());
    assert_eq!(daemon.wait_for_exit().await?, Some(0));
    Ok(())
}
