//! Services whose back ends all fall silent for about a second and then go on, or for good.

mod support;

use std::time::Duration;

use ponddrift_platform_stand_ins::{Behaviour, ClientRequest};
use ponddrift_simulation::HostId;
use support::timed_requests::{
    Answered, Sent, assert_all_served, earn_retries, requests_of_each_route, send_beside,
};
use support::{Fleet, FleetOptions, MAX_REQUESTS_IN_PROGRESS};
use tokio::time::sleep;

/// Events of a stream in these tests; its last one comes 0.5 s after the first.
const STREAM_EVENTS: u64 = 5;
/// Time between two of them, in milliseconds.
const EVENT_GAP_MS: u64 = 100;
/// Time between two rounds of requests.
const INTERVAL: Duration = Duration::from_millis(150);
/// When the back ends fall silent, after the first requests.
const SILENCE_STARTS: Duration = Duration::from_millis(800);
/// Shortest and longest silence of sound back ends.
const SILENCES: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(1_500)];
/// When all is well again after a silence.
const RECOVERED_AFTER: Duration = Duration::from_millis(300);

/// Sends all requests while `faults` runs; returns the answers of `late` ones.
fn send_late_beside(
    fleet: &mut Fleet,
    requests: Vec<Sent>,
    late: Vec<Sent>,
    faults: impl Future<Output = ()>,
) -> Vec<Answered> {
    let earlier = requests.len();
    let all = requests.into_iter().chain(late).collect();
    let mut answered = send_beside(fleet, all, faults);
    answered.split_off(earlier)
}

/// What makes a back end silent.
#[derive(Debug, Clone, Copy)]
enum Cause {
    /// Its process stands still; its machine still accepts connections.
    Process,
    /// Nothing arrives there or comes back.
    Network,
}

const CAUSES: [Cause; 2] = [Cause::Process, Cause::Network];

/// Silences all back ends at [`SILENCE_STARTS`] for `time`.
fn silence(fleet: &Fleet, cause: Cause, time: Duration) -> impl Future<Output = ()> + use<> {
    let simulation = fleet.simulation.handle();
    let back_ends = fleet.back_end_hosts();
    let daemons: Vec<HostId> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
    async move {
        sleep(SILENCE_STARTS).await;
        match cause {
            Cause::Process => back_ends.iter().for_each(|host| simulation.freeze(*host)),
            Cause::Network => simulation.partition(&daemons, &back_ends),
        }
        sleep(time).await;
        match cause {
            Cause::Process => back_ends.iter().for_each(|host| simulation.thaw(*host)),
            Cause::Network => simulation.heal_all(),
        }
    }
}

fn silences() -> impl Iterator<Item = (Cause, Duration)> {
    CAUSES
        .into_iter()
        .flat_map(|cause| SILENCES.map(|time| (cause, time)))
}

fn fleet_of(daemons: u8, decode: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        decode,
        records: 3,
        ..FleetOptions::default()
    });
    earn_retries(&mut fleet, usize::from(daemons));
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: STREAM_EVENTS,
            gap_ms: EVENT_GAP_MS,
        });
    }
    fleet
}

#[test]
fn requests_with_time_to_wait_outlast_a_silence_of_all_back_ends() {
    for (cause, time) in silences() {
        let mut fleet = fleet_of(3, 3);
        let requests = requests_of_each_route(3, SILENCE_STARTS, time, INTERVAL);
        let silence = silence(&fleet, cause, time);
        let answered = send_beside(&mut fleet, requests, silence);
        assert_all_served(&answered, &format!("{cause:?}, silent for {time:?}"));
    }
}

#[test]
fn all_requests_are_served_soon_after_a_silence_of_all_back_ends() {
    for (cause, time) in silences() {
        let mut fleet = fleet_of(3, 3);
        let ends = SILENCE_STARTS + time;
        let requests = requests_of_each_route(3, Duration::ZERO, ends, INTERVAL);
        let after =
            requests_of_each_route(3, ends + RECOVERED_AFTER, Duration::from_secs(1), INTERVAL);
        let silence = silence(&fleet, cause, time);
        let answered = send_late_beside(&mut fleet, requests, after, silence);
        assert_all_served(&answered, &format!("{cause:?}, after {time:?} of silence"));
    }
}

#[test]
fn requests_are_refused_once_all_back_ends_are_silent_for_good() {
    /// When the silence is well over a short one.
    const KNOWN_SILENT_AFTER: Duration = Duration::from_secs(4);
    /// One attempt to connect.
    const REFUSED_WITHIN: Duration = Duration::from_millis(400);
    for cause in CAUSES {
        let mut fleet = fleet_of(3, 3);
        let from = SILENCE_STARTS + KNOWN_SILENT_AFTER;
        let requests = requests_of_each_route(3, Duration::ZERO, from, INTERVAL);
        let late = requests_of_each_route(3, from, Duration::from_secs(2), INTERVAL);
        let silence = silence(&fleet, cause, Duration::from_secs(20));
        let answered = send_late_beside(&mut fleet, requests, late, silence);
        let held: Vec<String> = answered
            .iter()
            .filter(|answered| !answered.is_refused() || answered.took > REFUSED_WITHIN)
            .map(|answered| format!("{} after {:?}", answered.end(), answered.took))
            .collect();
        let all = answered.len();
        assert!(
            held.is_empty(),
            "{cause:?}: {} of {all} held: {held:#?}",
            held.len()
        );
    }
}

/// Guards against requests of a silent service that take all places of a daemon.
#[test]
fn a_silent_service_leaves_room_for_others() {
    const BURST: usize = 2 * MAX_REQUESTS_IN_PROGRESS;
    let mut fleet = fleet_of(1, 3);
    let simulation = fleet.simulation.handle();
    let records = fleet.records_hosts.clone();
    let daemon = fleet.daemons[0].host;
    let silence = async move {
        sleep(SILENCE_STARTS).await;
        simulation.partition(&[daemon], &records);
    };
    let known_silent = SILENCE_STARTS + Duration::from_millis(500);
    let first = (0..9).map(|number| (SILENCE_STARTS, format!("first-{number}")));
    let burst = (0..BURST).map(|number| (known_silent, format!("burst-{number}")));
    let silenced = first.chain(burst).map(|(after, id)| Sent {
        after,
        daemon: 0,
        request: ClientRequest {
            deadline_ms: 3_000,
            ..ClientRequest::plain(&id, "fetch")
        },
    });
    let others = (0..5).map(|number| Sent {
        after: known_silent + Duration::from_millis(100 + 100 * number),
        daemon: 0,
        request: ClientRequest::prompt(&format!("tag-{number}"), "tag", 40, 200),
    });
    let answered = send_late_beside(&mut fleet, silenced.collect(), others.collect(), silence);
    assert_all_served(&answered, "the other service");
}

#[test]
fn one_back_end_that_comes_back_early_is_not_flooded() {
    const CAME_BACK: Duration = Duration::from_millis(600);
    /// Of an engine in these tests.
    const SLOTS: usize = 8;
    let mut fleet = fleet_of(1, 3);
    let simulation = fleet.simulation.handle();
    let engines = fleet.decode_hosts.clone();
    let daemon = fleet.daemons[0].host;
    let silence = async move {
        sleep(SILENCE_STARTS).await;
        simulation.partition(&[daemon], &engines);
        sleep(CAME_BACK).await;
        simulation.heal(daemon, engines[0]);
        sleep(CAME_BACK).await;
        simulation.heal_all();
    };
    let known_silent = SILENCE_STARTS + Duration::from_millis(500);
    let first = (0..6).map(|number| (SILENCE_STARTS, format!("first-{number}")));
    let held = (0..40).map(|number| (known_silent, format!("held-{number}")));
    let requests = first.chain(held).map(|(after, id)| Sent {
        after,
        daemon: 0,
        request: ClientRequest {
            deadline_ms: 5_000,
            ..ClientRequest::prompt(&id, "tag", 40, 200)
        },
    });
    let answered = send_beside(&mut fleet, requests.collect(), silence);
    assert_all_served(&answered, "one of three back early");
    let runs = fleet.decode[0].runs();
    let held_runs = runs.iter().filter(|run| run.request.starts_with("held"));
    let mut starts: Vec<_> = held_runs.map(|run| run.started_at).collect();
    starts.sort_unstable();
    let first = *starts.first().expect("held requests run there");
    // No run ends earlier.
    let run_time = Duration::from_millis(EVENT_GAP_MS * (STREAM_EVENTS - 1));
    let at_once = starts.iter().filter(|at| **at < first + run_time).count();
    assert!(at_once <= SLOTS, "{at_once} at once in {SLOTS} slots");
}

/// Guards against daemons that take a silence for a cut of their own paths, because a peer reached
/// the back end as soon as it went on.
#[test]
fn a_silence_of_back_ends_is_not_taken_for_cut_paths() {
    for (cause, time) in silences() {
        let mut fleet = fleet_of(3, 3);
        let ends = SILENCE_STARTS + time;
        let requests = requests_of_each_route(3, Duration::ZERO, ends + RECOVERED_AFTER, INTERVAL);
        let silence = silence(&fleet, cause, time);
        send_beside(&mut fleet, requests, silence);
        let cuts: Vec<f64> = (0..3)
            .map(|daemon| fleet.metric(daemon, "ponddrift_back_end_paths_cut_total"))
            .collect();
        assert!(
            cuts.iter().all(|cuts| *cuts == 0.0),
            "{cause:?}, {time:?}: {cuts:?}"
        );
    }
}
