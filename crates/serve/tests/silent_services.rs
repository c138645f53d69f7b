//! Services whose back ends all fall silent for about a second and then go on, or for good.

mod support;

use std::time::Duration;

use http::{StatusCode, header};
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest};
use ponddrift_simulation::HostId;
use support::{Fleet, FleetOptions, MAX_REQUESTS_IN_PROGRESS};
use tokio::time::{Instant, sleep, sleep_until};

/// Events of a stream in these tests; its last one comes 0.5 s after the first.
const STREAM_EVENTS: u64 = 5;
/// Time between two of them, in milliseconds.
const EVENT_GAP_MS: u64 = 100;
/// When the back ends fall silent, after the first requests.
const SILENCE_STARTS: Duration = Duration::from_millis(800);
/// Shortest and longest silence of sound back ends.
const SILENCES: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(1_500)];
/// When all is well again after a silence.
const RECOVERED_AFTER: Duration = Duration::from_millis(300);

/// A request and when it is sent, to which daemon.
struct Sent {
    after: Duration,
    daemon: usize,
    request: ClientRequest,
}

impl Sent {
    fn at_start(daemon: usize, request: ClientRequest) -> Self {
        Self {
            after: Duration::ZERO,
            daemon,
            request,
        }
    }
}

/// A request and the answer that its caller got; `None` if the connection was closed without one.
struct Answered {
    request: ClientRequest,
    answer: Option<Answer>,
    took: Duration,
}

impl Answered {
    fn is_served(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.status == StatusCode::OK && answer.is_complete)
    }

    /// Whether it was refused with the time at which to come back.
    fn is_refused(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| {
            answer.status == StatusCode::SERVICE_UNAVAILABLE
                && answer.headers.contains_key(header::RETRY_AFTER)
        })
    }

    /// How it ended, for the message of a failed test.
    fn end(&self) -> String {
        let id = &self.request.id;
        match &self.answer {
            None => format!("{id}: closed"),
            Some(answer) if !answer.is_complete => format!("{id}: {} cut", answer.status),
            Some(answer) => format!("{id}: {} {}", answer.status, answer.text()),
        }
    }
}

/// One request of each route to each daemon each 150 ms for `time`.
fn requests_of_each_route(daemons: usize, from: Duration, time: Duration) -> Vec<Sent> {
    const INTERVAL: Duration = Duration::from_millis(150);
    let mut requests = Vec::new();
    let mut after = from;
    while after < from + time {
        for daemon in 0..daemons {
            let id = |route: &str| format!("{route}-{daemon}-at-{}", after.as_millis());
            let all = [
                ClientRequest::plain(&id("fetch"), "fetch"),
                ClientRequest::plain(&id("post"), "post"),
                ClientRequest::prompt(&id("tag"), "tag", 40, 200),
                ClientRequest::prompt(&id("verdict"), "verdict", 40, 200),
            ];
            requests.extend(all.map(|request| Sent {
                after,
                daemon,
                request: ClientRequest {
                    deadline_ms: 3_000,
                    ..request
                },
            }));
        }
        after += INTERVAL;
    }
    requests
}

/// Sends the requests while `faults` runs, and waits for all answers.
fn send_beside(
    fleet: &mut Fleet,
    requests: Vec<Sent>,
    faults: impl Future<Output = ()>,
) -> Vec<Answered> {
    let client = fleet.client.clone();
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    fleet.run(async move {
        let start = Instant::now();
        let sent = requests.into_iter().map(|sent| {
            let client = client.clone();
            let target = targets[sent.daemon];
            async move {
                sleep_until(start + sent.after).await;
                let sent_at = Instant::now();
                let answer = client.ask(target, &sent.request).await;
                Answered {
                    request: sent.request,
                    answer,
                    took: sent_at.elapsed(),
                }
            }
        });
        let (answered, ()) = futures::join!(futures::future::join_all(sent), faults);
        answered
    })
}

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

fn earn_retries(fleet: &mut Fleet, daemons: usize) {
    const REQUESTS_PER_DAEMON: usize = 30;
    let requests = (0..daemons * REQUESTS_PER_DAEMON).map(|number| {
        let id = format!("earn-{number}");
        let requests = [
            ClientRequest::prompt(&id, "tag", 40, 200),
            ClientRequest::plain(&format!("plain-{id}"), "fetch"),
        ];
        requests.map(|request| Sent::at_start(number % daemons, request))
    });
    let requests = requests.flatten().collect();
    send_beside(fleet, requests, std::future::ready(()));
}

fn assert_all_served(answered: &[Answered], case: &str) {
    let unserved: Vec<String> = answered
        .iter()
        .filter(|answered| !answered.is_served())
        .map(Answered::end)
        .collect();
    assert!(
        unserved.is_empty(),
        "{case}: {} of {} not served: {unserved:#?}",
        unserved.len(),
        answered.len()
    );
}

#[test]
fn requests_with_time_to_wait_outlast_a_silence_of_all_back_ends() {
    for (cause, time) in silences() {
        let mut fleet = fleet_of(3, 3);
        let requests = requests_of_each_route(3, SILENCE_STARTS, time);
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
        let requests = requests_of_each_route(3, Duration::ZERO, ends);
        let after = requests_of_each_route(3, ends + RECOVERED_AFTER, Duration::from_secs(1));
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
        let requests = requests_of_each_route(3, Duration::ZERO, from);
        let late = requests_of_each_route(3, from, Duration::from_secs(2));
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
        let requests = requests_of_each_route(3, Duration::ZERO, ends + RECOVERED_AFTER);
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
