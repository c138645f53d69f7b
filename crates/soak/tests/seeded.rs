//! Short soak runs with fixed seeds, which must not violate any invariant.

use std::time::Duration;

use ponddrift_soak::{Report, SoakSettings, run};

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(12);

async fn soak(seed: u64) -> Report {
    soak_with(seed, ExtraEvents::default()).await
}

/// Events to inject in addition to the faults.
#[derive(Default)]
struct ExtraEvents {
    limits: bool,
    restores: bool,
    cuts: bool,
    silences: bool,
}

async fn soak_with(seed: u64, extra_events: ExtraEvents) -> Report {
    let folder =
        std::env::temp_dir().join(format!("ponddrift-seeded-{}-{seed}", std::process::id()));
    let settings = SoakSettings {
        seed,
        duration: FAULT_DURATION,
        daemons: 4,
        callers: 8,
        limits: extra_events.limits,
        restores: extra_events.restores,
        cuts: extra_events.cuts,
        silences: extra_events.silences,
        folder: folder.clone(),
    };
    let report = run(&settings).await.expect("the soak run failed");
    let faults = &report.faults;
    let scheduled: Vec<String> = faults
        .iter()
        .map(|scheduled| format!("{scheduled:?}"))
        .collect();
    assert!(
        report.violations.is_empty(),
        "seed {seed}, logs in {}: {:#?}\nfaults: {scheduled:#?}",
        folder.display(),
        report.violations
    );
    assert!(report.served > 0, "seed {seed}: no request was served");
    drop(std::fs::remove_dir_all(folder));
    report
}

/// Guards against two leaders when the leader's link to the store stalls and its lease expires.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_leaders_link_to_the_store_stalls() {
    soak(204).await;
}

/// Guards against a false violation when a leader loses its lease while the store rejects calls, so
/// that the next leader may send orders earlier.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_loses_its_lease_while_the_store_refuses_calls() {
    soak(328).await;
}

/// Requests that crash engines must be quarantined while daemons are killed and stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_crash_engines_with_other_faults() {
    let report = soak(1).await;
    let crashing = report
        .faults
        .iter()
        .filter(|scheduled| scheduled.fault == ponddrift_soak::faults::Fault::CrashingRequest);
    assert!(
        crashing.count() > 0,
        "the seed must draw a crashing request"
    );
}

/// Rate limits of engines must hold for all daemons together while daemons are killed, suspended
/// and restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_set_rate_limits_with_other_faults() {
    let extra_events = ExtraEvents {
        limits: true,
        ..ExtraEvents::default()
    };
    let report = soak_with(8, extra_events).await;
    assert!(report.limits > 0, "engines must set rate limits");
}

/// Guards against two leaders when the store is restored from copies a few seconds old while
/// daemons are killed, suspended and restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_store_is_restored_from_older_copies_with_other_faults() {
    let extra_events = ExtraEvents {
        limits: true,
        restores: true,
        ..ExtraEvents::default()
    };
    let report = soak_with(8001, extra_events).await;
    assert!(report.restores > 0, "the store must be restored");
}

/// Guards against requests that are lost or run twice, and against conclusions that other daemons draw, when
/// daemons lose their paths to back ends while others are killed, stopped and restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paths_to_back_ends_are_cut_with_other_faults() {
    let extra_events = ExtraEvents {
        cuts: true,
        ..ExtraEvents::default()
    };
    let report = soak_with(62, extra_events).await;
    assert!(report.cuts > 0, "paths must be cut");
}

/// Guards against requests that get no answer, or only a part of it, when back ends are silent for a
/// short time while daemons are killed, stopped and given another configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn back_ends_are_silent_for_short_times_with_other_faults() {
    let extra_events = ExtraEvents {
        silences: true,
        ..ExtraEvents::default()
    };
    let report = soak_with(3, extra_events).await;
    assert!(report.silences > 0, "back ends must be silent");
    let checked = report.silence_report.checked;
    assert!(checked > 0, "a request must meet only a silence");
}
