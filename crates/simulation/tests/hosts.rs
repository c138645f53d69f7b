//! Guards against tasks that escape their host when it is frozen, killed or restarted.

mod support;

use std::time::Duration;

use ponddrift_runtime::Runtime;
use ponddrift_simulation::{SimulationSettings, TraceEvent};
use support::{Log, host, simulation};
use tokio::time::{MissedTickBehavior, interval, sleep};

async fn tick(runtime: Runtime, ticks: Log<u64>) {
    let mut ticker = interval(Duration::from_secs(1));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        ticks.push(runtime.clock.now().as_millis());
    }
}

/// Runs the ticker as a task of the spawner, so that the tests cover spawned tasks.
async fn spawn_ticker(runtime: Runtime, ticks: Log<u64>) {
    let task = tick(runtime.clone(), ticks);
    runtime.spawner.spawn(Box::pin(task));
    std::future::pending().await
}

#[test]
fn a_frozen_ticker_does_not_tick_and_goes_on_when_thawed() {
    let ticks = Log::default();
    let mut simulation = simulation(1);
    let log = ticks.clone();
    let id = simulation.add_host(host(1), move |runtime| spawn_ticker(runtime, log.clone()));
    let handle = simulation.handle();
    simulation.run_for(Duration::from_millis(2_500));
    handle.freeze(id);
    assert!(handle.is_frozen(id));
    simulation.run_for(Duration::from_secs(10));
    assert_eq!(ticks.values(), [0, 1_000, 2_000]);
    handle.thaw(id);
    simulation.run_for(Duration::from_millis(2_400));
    assert_eq!(ticks.values(), [0, 1_000, 2_000, 12_500, 13_500, 14_500]);
}

#[test]
fn a_killed_host_stops_and_restarts_with_empty_memory_and_its_own_clock() {
    let ticks = Log::default();
    let seeds = Log::default();
    let mut simulation = simulation(1);
    let (tick_log, seed_log) = (ticks.clone(), seeds.clone());
    let id = simulation.add_host(host(1), move |runtime| {
        seed_log.push(runtime.seed);
        spawn_ticker(runtime, tick_log.clone())
    });
    let handle = simulation.handle();
    simulation.run_for(Duration::from_millis(1_500));
    handle.kill(id);
    assert!(!handle.is_running(id));
    simulation.run_for(Duration::from_secs(5));
    assert_eq!(ticks.values(), [0, 1_000]);
    handle.restart(id);
    simulation.run_for(Duration::from_millis(1_500));
    assert_eq!(ticks.values(), [0, 1_000, 0, 1_000]);
    let seeds = seeds.values();
    assert_eq!(seeds.len(), 2);
    assert_ne!(seeds[0], seeds[1]);
}

#[test]
fn a_task_spawned_from_outside_still_belongs_to_its_host() {
    let ticks = Log::default();
    let mut simulation = simulation(1);
    let (id, runtime) = simulation.add_client(host(1));
    let task = tick(runtime.clone(), ticks.clone());
    simulation.block_on(async { runtime.spawner.spawn(Box::pin(task)) });
    simulation.run_for(Duration::from_millis(1_500));
    simulation.handle().kill(id);
    simulation.run_for(Duration::from_secs(5));
    assert_eq!(ticks.values(), [0, 1_000]);
    runtime
        .spawner
        .spawn(Box::pin(async { panic!("the life has ended") }));
    simulation.run_for(Duration::from_secs(1));
}

#[test]
fn a_host_whose_main_task_ends_is_gone_with_all_its_tasks() {
    let ticks = Log::default();
    let mut simulation = simulation(1);
    let log = ticks.clone();
    let id = simulation.add_host(host(1), move |runtime| {
        let task = tick(runtime.clone(), log.clone());
        async move {
            runtime.spawner.spawn(Box::pin(task));
            sleep(Duration::from_millis(1_500)).await;
        }
    });
    simulation.run_for(Duration::from_secs(9));
    assert!(!simulation.handle().is_running(id));
    assert_eq!(ticks.values(), [0, 1_000]);
    let trace = simulation.trace();
    let last = trace.entries().last().expect("events");
    assert_eq!(last.event, TraceEvent::HostExited(id));
}

#[test]
#[should_panic(expected = "machine-1 (host-0): the ledger is unbalanced")]
fn a_panic_in_a_host_ends_the_run() {
    let mut simulation = simulation(1);
    simulation.add_host(host(1), |runtime| async move {
        let task = async { panic!("the ledger is unbalanced") };
        runtime.spawner.spawn(Box::pin(task));
        std::future::pending().await
    });
    simulation.run_for(Duration::from_secs(1));
}

#[test]
#[should_panic(expected = "busy loop: polled more than 1000 times at one instant")]
fn a_busy_loop_is_noticed_although_the_clock_stands_still() {
    let mut simulation = ponddrift_simulation::Simulation::new(SimulationSettings {
        polls_per_instant_limit: 1_000,
        ..SimulationSettings::default()
    });
    simulation.add_host(host(1), |_runtime| async {
        loop {
            tokio::task::yield_now().await;
        }
    });
    simulation.run_for(Duration::from_secs(1));
}

#[test]
fn run_until_stops_at_the_condition_or_at_the_limit() {
    let ticks = Log::default();
    let mut simulation = simulation(1);
    let log = ticks.clone();
    simulation.add_host(host(1), move |runtime| spawn_ticker(runtime, log.clone()));
    let reached = simulation.run_until(|| ticks.values().len() == 3, Duration::from_secs(9));
    assert_eq!(reached, Ok(()));
    // The third tick is at 2 s, but the condition is evaluated each millisecond before the hosts
    // run.
    assert_eq!(simulation.handle().elapsed(), Duration::from_millis(2_001));
    let missed = simulation.run_until(|| ticks.values().len() == 9, Duration::from_secs(3));
    assert!(missed.is_err());
}
