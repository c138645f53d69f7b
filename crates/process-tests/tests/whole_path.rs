//! End-to-end tests of requests from a client through a daemon to an engine or plain back end.

use eyre::Result;
use http::{Request, StatusCode};
use ponddrift_core::Execution;
use ponddrift_emulator::engine::expected_text;
use ponddrift_emulator::records::expected_record;
use ponddrift_http::body;
use ponddrift_process_tests::answers::{
    read_completion_text, read_problem, read_streamed_completion,
};
use ponddrift_process_tests::fleet::{Fleet, FleetSize, read};
use serde_json::json;

const PROMPT: &str = "the ledger of a client of whom nobody had heard before this test";
const MAX_TOKENS: u32 = 12;

async fn small_fleet() -> Result<Fleet> {
    Fleet::start(FleetSize {
        daemons: 1,
        engines: 1,
        records: 1,
    })
    .await
}

#[tokio::test]
async fn a_completion_returns_the_expected_text() -> Result<()> {
    let fleet = small_fleet().await?;
    let completion = json!({"model": "reconcile", "prompt": PROMPT, "max_tokens": MAX_TOKENS});
    let response = fleet.complete(0, &completion).await?;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(
        read_completion_text(response).await?,
        expected_text(PROMPT, MAX_TOKENS)
    );
    Ok(())
}

#[tokio::test]
async fn a_streamed_completion_is_complete_and_ends_with_done() -> Result<()> {
    let fleet = small_fleet().await?;
    let completion = json!({
        "model": "reconcile", "prompt": PROMPT, "max_tokens": MAX_TOKENS, "stream": true,
    });
    let response = fleet.complete(0, &completion).await?;
    assert_eq!(response.status(), StatusCode::OK);
    let answer = read_streamed_completion(response).await?;
    assert!(answer.is_complete);
    assert_eq!(answer.text, expected_text(PROMPT, MAX_TOKENS));
    Ok(())
}

#[tokio::test]
async fn a_records_lookup_gives_the_record() -> Result<()> {
    let fleet = small_fleet().await?;
    let gateway = fleet.gateway(0)?;
    let path = "/vouchers/2026/11/417";
    for size in [70_000, 3_000_000] {
        let query = format!("size={size}");
        let request = Request::get(format!("http://{gateway}/services/records{path}?{query}"))
            .body(body::empty())?;
        let response = fleet.send(request).await?;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(read(response).await?, expected_record(path, Some(&query)));
    }
    Ok(())
}

#[tokio::test]
async fn an_unknown_service_is_refused_as_not_started() -> Result<()> {
    let fleet = small_fleet().await?;
    let response = fleet
        .complete(0, &json!({"model": "nobody", "prompt": PROMPT}))
        .await?;
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
    assert_eq!(
        read_problem(response).await?.execution,
        Execution::NotStarted
    );
    Ok(())
}
