//! Checks that a version rollout or the loss of the controller interrupts no request.

use eyre::Result;
use http::StatusCode;
use ponddrift_core::configuration::ChangeStep;
use ponddrift_emulator::engine::expected_text;
use ponddrift_engine::wire::control::{EngineReport, STATE_PATH};
use ponddrift_process_tests::answers::{read_completion_text, read_streamed_completion};
use ponddrift_process_tests::fleet::{Fleet, FleetSize, reconcile_at_version};
use ponddrift_process_tests::wait::eventually;
use rustix::process::Signal;
use serde_json::json;

const PROMPT: &str = "one journal line about a pallet that was paid for twice";

async fn versions(fleet: &Fleet) -> Result<Vec<Option<u32>>> {
    let mut versions = Vec::new();
    for engine in &fleet.engines {
        let report: EngineReport = fleet
            .get_json(engine.address("/address")?, STATE_PATH)
            .await?;
        let is_settled = report.running_order.is_none() && report.role.is_some();
        versions.push(
            report
                .model
                .filter(|_| is_settled)
                .map(|model| model.version),
        );
    }
    Ok(versions)
}

async fn wait_for_version(fleet: &Fleet, version: u32) -> Result<()> {
    eventually("all engines hold the version", || async {
        let versions = versions(fleet).await.ok()?;
        versions
            .iter()
            .all(|held| *held == Some(version))
            .then_some(())
    })
    .await
}

async fn assert_no_request_interrupted(fleet: &Fleet) -> Result<()> {
    for index in 0..fleet.engines.len() {
        let counters = fleet.engine_counters(index).await?;
        assert_eq!(counters.cut_by_change, 0, "engine {index}");
        assert_eq!(counters.refused_by_change, 0, "engine {index}");
    }
    Ok(())
}

/// Sends requests one after the other until `done` is set.
async fn send_requests_until_done(
    fleet: &Fleet,
    daemon: usize,
    done: &tokio::sync::watch::Sender<bool>,
) {
    let mut number = 0;
    while !*done.borrow() {
        number += 1;
        let prompt = format!("{PROMPT} number {number}");
        let completion = json!({
            "model": "reconcile", "prompt": prompt, "max_tokens": 20, "stream": number % 2 == 0,
        });
        let response = fleet
            .complete(daemon, &completion)
            .await
            .expect("an answer");
        assert_eq!(response.status(), StatusCode::OK, "request {number}");
        let text = if number % 2 == 0 {
            let answer = read_streamed_completion(response).await.expect("a stream");
            assert!(answer.is_complete, "request {number}");
            answer.text
        } else {
            read_completion_text(response).await.expect("a body")
        };
        assert_eq!(text, expected_text(&prompt, 20));
    }
}

#[tokio::test]
async fn a_version_rollout_interrupts_no_request() -> Result<()> {
    let fleet = Fleet::start(FleetSize {
        daemons: 3,
        engines: 4,
        records: 0,
    })
    .await?;
    let done = tokio::sync::watch::Sender::new(false);
    let rollout = async {
        fleet
            .change(vec![ChangeStep::Update(reconcile_at_version(2)?)])
            .await?;
        wait_for_version(&fleet, 2).await?;
        done.send_replace(true);
        Ok::<(), eyre::Report>(())
    };
    let clients = futures::future::join_all(
        (0..3).map(|daemon| send_requests_until_done(&fleet, daemon, &done)),
    );
    let (rolled_out, _asked) = futures::join!(rollout, clients);
    rolled_out?;
    assert_no_request_interrupted(&fleet).await
}

#[tokio::test]
async fn another_daemon_takes_over_when_the_controller_is_killed() -> Result<()> {
    let mut fleet = Fleet::start(FleetSize {
        daemons: 3,
        engines: 2,
        records: 0,
    })
    .await?;
    fleet
        .change(vec![ChangeStep::Update(reconcile_at_version(2)?)])
        .await?;
    wait_for_version(&fleet, 2).await?;
    let controller = fleet.controller_index().await?;
    fleet.daemons[controller].signal(Signal::KILL)?;
    fleet.daemons.remove(controller);
    fleet
        .change(vec![ChangeStep::Update(reconcile_at_version(3)?)])
        .await?;
    wait_for_version(&fleet, 3).await?;
    assert_no_request_interrupted(&fleet).await
}

#[tokio::test]
async fn a_controller_frozen_past_its_lease_has_no_effect_when_it_wakes() -> Result<()> {
    let mut fleet = Fleet::start(FleetSize {
        daemons: 3,
        engines: 2,
        records: 0,
    })
    .await?;
    fleet
        .change(vec![ChangeStep::Update(reconcile_at_version(2)?)])
        .await?;
    wait_for_version(&fleet, 2).await?;
    let controller = fleet.controller_index().await?;
    fleet.daemons[controller].signal(Signal::STOP)?;
    let frozen = fleet.daemons.remove(controller);
    fleet
        .change(vec![ChangeStep::Update(reconcile_at_version(3)?)])
        .await?;
    wait_for_version(&fleet, 3).await?;
    frozen.signal(Signal::CONT)?;
    fleet.daemons.push(frozen);
    fleet.wait_until_ready().await?;
    fleet
        .change(vec![ChangeStep::Update(reconcile_at_version(4)?)])
        .await?;
    wait_for_version(&fleet, 4).await?;
    assert_no_request_interrupted(&fleet).await
}
