//! Streams while engines of two software versions serve: a stream goes on only at the version that
//! began it.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{
    Answer, Behaviour, BrokenStream, ClientRequest, ClientStandIn, EngineStandIn,
};
use ponddrift_simulation::{DatagramFaults, SimulationHandle};
use support::timed_requests::earn_retries;
use support::{DaemonHost, Fleet, FleetOptions};
use tokio::time::sleep;

/// Events of a stream in these tests.
const STREAM_EVENTS: u64 = 12;
/// Time between two of them, in milliseconds.
const EVENT_GAP_MS: u64 = 100;
/// When faults strike: all streams have events by then, and none has ended.
const FAULT_DELAY: Duration = Duration::from_millis(600);
/// Pause of a client before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Gap after which a client gives up a try.
const EVENT_GAP_LIMIT: Duration = Duration::from_secs(2);
/// Total time of a client for a stream, in milliseconds.
const DEADLINE_MS: u64 = 6_000;

/// Version of the second half of the engines.
const NEW_VERSION: &str = "v2";

/// What a client got over all of its tries.
struct Taken {
    tries: Vec<Option<Answer>>,
}

impl Taken {
    /// Versions of the engines whose events the client holds, in their order.
    fn versions(&self) -> Vec<String> {
        let answers = self.tries.iter().flatten();
        let mut versions: Vec<String> = answers.flat_map(Answer::versions).collect();
        versions.dedup();
        versions
    }

    /// Whether it got all events, each once.
    fn is_whole(&self) -> bool {
        let answers = self.tries.iter().flatten();
        let text: String = answers.map(whole_events).collect();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
        ids == (1..=STREAM_EVENTS).collect::<Vec<u64>>()
    }

    /// Whether a later try brought further events.
    fn went_on(&self) -> bool {
        let later = self.tries.iter().skip(1).flatten();
        later
            .into_iter()
            .any(|answer| answer.status == StatusCode::OK && answer.last_event().is_some())
    }

    /// Whether a later try went on with a stream that has events.
    fn was_taken_up(&self) -> bool {
        self.tries.len() > 1
            && self.tries[0]
                .as_ref()
                .is_some_and(|answer| answer.last_event().is_some())
    }

    fn end(&self) -> String {
        let ends = self.tries.iter().map(|answer| match answer {
            None => String::from("closed"),
            Some(answer) if answer.status == StatusCode::OK => {
                format!("{:?} up to {:?}", answer.versions(), answer.last_event())
            }
            Some(answer) => format!("{} {}", answer.status, answer.text()),
        });
        ends.collect::<Vec<String>>().join(", then ")
    }
}

fn whole_events(answer: &Answer) -> String {
    let text = answer.text();
    text.rsplit_once("\n\n")
        .map_or(String::new(), |(events, _rest)| format!("{events}\n"))
}

fn is_whole_stream(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.status == StatusCode::OK && answer.is_complete)
}

/// Sends a stream to the first of `targets`, and takes it up at the others until it is whole.
async fn take_stream(
    client: ClientStandIn,
    targets: Vec<std::net::SocketAddr>,
    request: ClientRequest,
    pause: Duration,
) -> Taken {
    let mut tries: Vec<Option<Answer>> = Vec::new();
    let mut begun_by: Option<String> = None;
    let mut last_event = None;
    for (number, target) in targets.into_iter().enumerate() {
        let id = format!("{}-try-{number}", request.id);
        let takes_up = begun_by.clone().zip(last_event);
        let attempt = ClientRequest {
            id: id.clone(),
            takes_up: takes_up.map(|(request, last_event)| BrokenStream {
                request,
                last_event,
            }),
            ..request.clone()
        };
        let answer = client
            .ask_patiently(target, &attempt, EVENT_GAP_LIMIT)
            .await;
        let is_whole = is_whole_stream(answer.as_ref());
        if let Some(event) = answer.as_ref().and_then(Answer::last_event) {
            last_event = Some(event);
            begun_by.get_or_insert(id);
        }
        tries.push(answer);
        if is_whole {
            break;
        }
        sleep(pause).await;
    }
    Taken { tries }
}

/// A fleet whose decode engines are of two versions in turn.
fn fleet_of_two_versions(daemons: u8, decode: u8) -> Fleet {
    fleet_of_two_versions_from_start(daemons, decode, false)
}

/// Like [`fleet_of_two_versions`]; its daemons may be the first that ever run.
fn fleet_of_two_versions_from_start(daemons: u8, decode: u8, is_first_start: bool) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        prefill: 0,
        decode,
        zones: 3.min(daemons),
        is_first_start,
        ..FleetOptions::default()
    });
    let newer = fleet.decode.iter().skip(1).step_by(2);
    for engine in newer {
        engine.set_version(NEW_VERSION);
        engine.record(&fleet.store, "ready");
    }
    fleet.wait(Duration::from_millis(300));
    earn_retries(&mut fleet, usize::from(daemons));
    set_streams(&fleet);
    fleet
}

/// A fleet that has had engines of one version since its first start.
fn fleet_of_one_version(daemons: u8) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        daemons,
        prefill: 0,
        decode: 4,
        is_first_start: true,
        ..FleetOptions::default()
    });
    earn_retries(&mut fleet, usize::from(daemons));
    set_streams(&fleet);
    fleet
}

fn set_streams(fleet: &Fleet) {
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: STREAM_EVENTS,
            gap_ms: EVENT_GAP_MS,
        });
    }
}

/// Sends `count` streams to the first daemon beside `faults`; clients take them up at the others.
fn take_streams(fleet: &mut Fleet, count: usize, faults: impl Future<Output = ()>) -> Vec<Taken> {
    let others: Vec<usize> = (1..fleet.daemons.len()).collect();
    take_streams_at(fleet, count, &others, faults)
}

/// Like [`take_streams`]; clients take the streams up at the daemons with these numbers.
fn take_streams_at(
    fleet: &mut Fleet,
    count: usize,
    others: &[usize],
    faults: impl Future<Output = ()>,
) -> Vec<Taken> {
    take_streams_after(fleet, count, others, RETRY_PAUSE, faults)
}

/// Like [`take_streams_at`]; clients pause for so long between their tries.
fn take_streams_after(
    fleet: &mut Fleet,
    count: usize,
    others: &[usize],
    pause: Duration,
    faults: impl Future<Output = ()>,
) -> Vec<Taken> {
    let client = fleet.client.clone();
    let addresses = fleet.daemons.iter().map(|daemon| daemon.callers_address);
    let addresses: Vec<_> = addresses.collect();
    fleet.run(async move {
        let streams = (0..count).map(|number| {
            let mut targets = vec![addresses[0]];
            if !others.is_empty() {
                targets.push(addresses[others[number % others.len()]]);
                targets.push(addresses[others[(number + 1) % others.len()]]);
            }
            let request = ClientRequest {
                deadline_ms: DEADLINE_MS,
                ..ClientRequest::prompt(&format!("stream-{number}"), "tag", 40, 200)
            };
            take_stream(client.clone(), targets, request, pause)
        });
        let (taken, ()) = futures::join!(join_all(streams), faults);
        taken
    })
}

fn assert_one_version_each(taken: &[Taken], case: &str) {
    let mixed = taken.iter().filter(|taken| taken.versions().len() > 1);
    let mixed: Vec<String> = mixed.map(Taken::end).collect();
    assert!(
        mixed.is_empty(),
        "{case}: {} of {} streams hold events of two versions: {mixed:#?}",
        mixed.len(),
        taken.len()
    );
}

/// Asserts that this share of the streams that clients took up went on to their ends.
fn assert_share_taken_up(taken: &[Taken], share: f64, case: &str) {
    let taken_up: Vec<&Taken> = taken.iter().filter(|taken| taken.was_taken_up()).collect();
    assert!(taken_up.len() >= 12, "{case}: {} taken up", taken_up.len());
    let whole = taken_up.iter().filter(|taken| taken.is_whole()).count();
    let ends: Vec<String> = taken_up
        .iter()
        .filter(|taken| !taken.is_whole())
        .map(|taken| taken.end())
        .collect();
    #[expect(clippy::cast_precision_loss, reason = "a few streams")]
    let share_whole = whole as f64 / taken_up.len() as f64;
    assert!(
        share_whole >= share,
        "{case}: {whole} of {} went on: {ends:#?}",
        taken_up.len()
    );
}

#[test]
fn streams_of_a_killed_daemon_go_on_at_the_version_that_began_them() {
    for daemons in [3, 9] {
        let mut fleet = fleet_of_two_versions(daemons, 8);
        let (simulation, host) = (fleet.simulation.handle(), fleet.daemons[0].host);
        let kill = async move {
            sleep(FAULT_DELAY).await;
            simulation.kill(host);
        };
        let taken = take_streams(&mut fleet, 20, kill);
        let case = format!("{daemons} daemons");
        assert_one_version_each(&taken, &case);
        assert_share_taken_up(&taken, 0.9, &case);
    }
}

#[test]
fn streams_of_a_killed_engine_go_on_at_the_version_that_began_them() {
    let mut fleet = fleet_of_two_versions(1, 8);
    let (simulation, host) = (fleet.simulation.handle(), fleet.decode_hosts[0]);
    let kill = async move {
        sleep(FAULT_DELAY).await;
        simulation.kill(host);
    };
    let taken = take_streams(&mut fleet, 24, kill);
    assert_one_version_each(&taken, "in one answer");
    assert!(taken.iter().all(Taken::is_whole));
}

#[test]
fn streams_beside_a_silence_go_on_at_the_version_that_began_them() {
    let mut fleet = fleet_of_two_versions(1, 8);
    let simulation = fleet.simulation.handle();
    let silent: Vec<_> = fleet.decode_hosts[..2].to_vec();
    let silence = async move {
        sleep(FAULT_DELAY).await;
        for host in &silent {
            simulation.freeze(*host);
        }
        sleep(Duration::from_secs(3)).await;
        for host in &silent {
            simulation.thaw(*host);
        }
    };
    let taken = take_streams(&mut fleet, 24, silence);
    assert_one_version_each(&taken, "beside a silence");
    assert!(taken.iter().all(Taken::is_whole));
}

#[test]
fn streams_of_a_zone_without_power_go_on_at_the_version_that_began_them() {
    let mut fleet = fleet_of_two_versions(9, 8);
    let simulation = fleet.simulation.handle();
    // Daemons are in the three zones in turn; clients try the others.
    let zone: Vec<_> = [0, 3, 6].map(|daemon| fleet.daemons[daemon].host).to_vec();
    let power_loss = async move {
        sleep(FAULT_DELAY).await;
        for host in zone {
            simulation.power_off(host);
        }
    };
    let taken = take_streams_at(&mut fleet, 20, &[1, 2, 4, 5, 7, 8], power_loss);
    assert_one_version_each(&taken, "a zone without power");
    assert_share_taken_up(&taken, 0.9, "a zone without power");
}

#[test]
fn streams_go_on_at_their_version_although_messages_are_lost() {
    let mut fleet = fleet_of_two_versions(9, 8);
    let (simulation, host) = (fleet.simulation.handle(), fleet.daemons[0].host);
    simulation.set_datagram_faults(DatagramFaults {
        loss: 0.2,
        ..DatagramFaults::default()
    });
    let kill = async move {
        sleep(FAULT_DELAY).await;
        simulation.kill(host);
    };
    let taken = take_streams(&mut fleet, 40, kill);
    assert_one_version_each(&taken, "lost messages");
    assert_share_taken_up(&taken, 0.9, "lost messages");
}

/// The stopping daemon takes longer for its streams than it is given.
#[test]
fn streams_cut_by_a_planned_stop_go_on_at_the_version_that_began_them() {
    let mut fleet = fleet_of_two_versions(3, 8);
    let (simulation, daemon) = (fleet.simulation.handle(), fleet.daemons[0].clone());
    let stop = async move {
        sleep(Duration::from_millis(300)).await;
        daemon.terminate();
        sleep(Duration::from_millis(300)).await;
        simulation.kill(daemon.host);
    };
    let taken = take_streams(&mut fleet, 20, stop);
    assert_one_version_each(&taken, "a planned stop");
    assert_share_taken_up(&taken, 0.9, "a planned stop");
}

/// No daemon knows where the streams began: neither those that just started, nor one that reaches no
/// other.
#[test]
fn streams_that_no_daemon_knows_are_refused_at_once() {
    for are_all_restarted in [true, false] {
        let mut fleet = fleet_of_two_versions(3, 8);
        let simulation = fleet.simulation.handle();
        let hosts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
        if !are_all_restarted {
            simulation.partition(&hosts[..1], &hosts[1..]);
        }
        let kill = async move {
            sleep(FAULT_DELAY).await;
            let killed = if are_all_restarted {
                &hosts[..]
            } else {
                &hosts[..1]
            };
            for host in killed {
                simulation.kill(*host);
                simulation.restart(*host);
            }
            sleep(Duration::from_millis(300)).await;
        };
        let begun = fleet.simulation.handle().elapsed();
        let taken = take_streams(&mut fleet, 20, kill);
        let took = fleet.simulation.handle().elapsed() - begun;
        assert_one_version_each(&taken, &format!("all restarted: {are_all_restarted}"));
        assert!(took < Duration::from_secs(4), "{took:?}");
    }
}

/// A daemon whose directory is out of date must not take the only version that it knows for that of
/// each stream.
#[test]
fn a_daemon_out_of_touch_does_not_go_on_at_the_version_that_it_knows() {
    let mut fleet = fleet_of_two_versions(2, 4);
    for engine in fleet.decode.iter().skip(1).step_by(2) {
        engine.remove_entry(&fleet.store);
    }
    // Longer than streams last, so that the first daemon knows a single version.
    fleet.wait(Duration::from_secs(40));
    let simulation = fleet.simulation.handle();
    let hosts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
    simulation.partition(&hosts[1..], &[fleet.store_host, hosts[0]]);
    fleet.wait(Duration::from_secs(4));
    for engine in fleet.decode.iter().skip(1).step_by(2) {
        engine.record(&fleet.store, "ready");
    }
    for engine in fleet.decode.iter().step_by(2) {
        engine.record(&fleet.store, "draining");
    }
    fleet.wait(Duration::from_millis(500));
    let kill = async move {
        sleep(FAULT_DELAY).await;
        simulation.kill(hosts[0]);
    };
    let taken = take_streams_at(&mut fleet, 12, &[1], kill);
    assert!(taken.iter().any(Taken::was_taken_up));
    assert_one_version_each(&taken, "a daemon out of touch");
}

#[test]
fn streams_go_on_without_a_record_if_there_was_only_one_version() {
    let mut fleet = fleet_of_one_version(3);
    fleet.wait(Duration::from_secs(20));
    let simulation = fleet.simulation.handle();
    let hosts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
    // The first daemon can tell the others nothing.
    simulation.partition(&hosts[..1], &hosts[1..]);
    let kill = async move {
        sleep(FAULT_DELAY).await;
        simulation.kill(hosts[0]);
    };
    let taken = take_streams(&mut fleet, 20, kill);
    assert_share_taken_up(&taken, 1.0, "a single version");
}

/// The engines' daemon reaches them through a peer only.
#[test]
fn streams_through_a_peer_go_on_at_the_version_that_began_them() {
    let mut fleet = fleet_of_two_versions(3, 8);
    let simulation = fleet.simulation.handle();
    let daemon = fleet.daemons[0].host;
    simulation.partition(&[daemon], &fleet.back_end_hosts());
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet.run(async move {
        for number in 0..12 {
            let request = ClientRequest::plain(&format!("cut-{number}"), "fetch");
            client.ask(target, &request).await;
        }
    });
    let kill = async move {
        sleep(Duration::from_millis(1_000)).await;
        simulation.kill(daemon);
    };
    let taken = take_streams(&mut fleet, 20, kill);
    assert_one_version_each(&taken, "through a peer");
    assert_share_taken_up(&taken, 0.9, "through a peer");
}

/// Engines start again under their IDs and addresses with other software, before the store says so.
#[test]
fn streams_do_not_go_on_at_engines_that_came_back_with_other_software() {
    let mut fleet = fleet_of_two_versions(1, 4);
    let (simulation, store) = (fleet.simulation.handle(), fleet.store.clone());
    let engines = fleet.decode_engines_and_hosts();
    let upgrade = async move {
        sleep(FAULT_DELAY).await;
        let (engine, host) = &engines[0];
        simulation.kill(*host);
        engine.set_version(NEW_VERSION);
        engine.start_new_incarnation(2);
        simulation.restart(*host);
        let (engine, host) = &engines[2];
        simulation.kill(*host);
        engine.set_version(NEW_VERSION);
        engine.start_new_incarnation(2);
        engine.record(&store, "ready");
        simulation.restart(*host);
        engines[0].0.record(&store, "ready");
    };
    let taken = take_streams(&mut fleet, 24, upgrade);
    assert_one_version_each(&taken, "engines that came back");
}

/// Without an engine of their version, streams end; they don't go on at another one.
#[test]
fn streams_whose_version_is_gone_are_refused_at_once() {
    let mut fleet = fleet_of_two_versions(3, 4);
    let (simulation, store) = (fleet.simulation.handle(), fleet.store.clone());
    let old: Vec<(EngineStandIn, _)> = fleet
        .decode_engines_and_hosts()
        .into_iter()
        .step_by(2)
        .collect();
    let upgrade = async move {
        sleep(FAULT_DELAY).await;
        for (engine, host) in &old {
            engine.remove_entry(&store);
            simulation.kill(*host);
        }
    };
    let begun = fleet.simulation.handle().elapsed();
    let taken = take_streams(&mut fleet, 20, upgrade);
    assert_one_version_each(&taken, "an upgrade");
    let took = fleet.simulation.handle().elapsed() - begun;
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// The KV cache of one version doesn't fit an engine of another.
#[test]
fn prompts_are_decoded_at_the_version_that_read_them() {
    const PROMPTS: usize = 24;
    let mut fleet = Fleet::new(FleetOptions {
        prefill: 2,
        decode: 4,
        ..FleetOptions::default()
    });
    let newer = [&fleet.prefill[1], &fleet.decode[1], &fleet.decode[3]];
    for engine in newer {
        engine.set_version(NEW_VERSION);
        engine.record(&fleet.store, "ready");
    }
    fleet.wait(Duration::from_millis(300));
    let client = fleet.client.clone();
    let target = fleet.daemons[0].callers_address;
    fleet.run(async move {
        for number in 0..PROMPTS {
            let request = ClientRequest {
                deadline_ms: 5_000,
                ..ClientRequest::prompt(&format!("long-{number}"), "verdict", 6_000, 900)
            };
            let answer = client.ask(target, &request).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK);
        }
    });
    let readers = fleet.prefill.iter().flat_map(EngineStandIn::runs);
    let readers: Vec<_> = readers.collect();
    let decoded = fleet.decode.iter().flat_map(EngineStandIn::runs);
    let handed_over: Vec<_> = decoded.filter(|run| run.source.is_some()).collect();
    assert!(!handed_over.is_empty());
    for run in handed_over {
        let reader = readers.iter().find(|reader| reader.request == run.request);
        let read_at = reader.map(|reader| reader.version.as_str());
        assert_eq!(read_at, Some(run.version.as_str()), "{}", run.request);
    }
}

/// What changes while the daemons are down.
#[derive(Debug, Clone, Copy)]
enum ChangeDuringLoss {
    /// The engines of the old version leave.
    OldVersionLeaves,
    /// The engines of the new version leave.
    NewVersionLeaves,
    /// The engines of the old version come back under their IDs with the new one.
    OldVersionIsReplaced,
}

impl ChangeDuringLoss {
    fn apply(self, fleet_engines: &[(EngineStandIn, ponddrift_simulation::HostId)], parts: &Parts) {
        let leaving = match self {
            Self::OldVersionLeaves | Self::OldVersionIsReplaced => 0,
            Self::NewVersionLeaves => 1,
        };
        for (engine, host) in fleet_engines.iter().skip(leaving).step_by(2) {
            parts.simulation.kill(*host);
            if matches!(self, Self::OldVersionIsReplaced) {
                engine.set_version(NEW_VERSION);
                engine.start_new_incarnation(2);
                engine.record(&parts.store, "ready");
                parts.simulation.restart(*host);
            } else {
                engine.remove_entry(&parts.store);
            }
        }
    }
}

/// The parts of a fleet that faults act on.
struct Parts {
    simulation: ponddrift_simulation::SimulationHandle,
    store: ponddrift_platform_stand_ins::StoreStandIn,
    daemons: Vec<ponddrift_simulation::HostId>,
}

impl Parts {
    fn of(fleet: &Fleet) -> Self {
        Self {
            simulation: fleet.simulation.handle(),
            store: fleet.store.clone(),
            daemons: fleet.daemons.iter().map(|daemon| daemon.host).collect(),
        }
    }

    async fn restart_all_daemons(&self, pause: Duration) {
        for host in &self.daemons {
            self.simulation.kill(*host);
        }
        sleep(pause).await;
        for host in &self.daemons {
            self.simulation.restart(*host);
        }
    }
}

/// Guards against streams that are joined from two versions after all daemons were lost: a version
/// that is the only one now need not be the one that began a stream, however late its client returns.
#[test]
fn streams_of_lost_daemons_do_not_go_on_at_the_version_that_is_left() {
    let changes = [
        ChangeDuringLoss::OldVersionLeaves,
        ChangeDuringLoss::NewVersionLeaves,
        ChangeDuringLoss::OldVersionIsReplaced,
    ];
    for (change, losses, pause_s, is_first_start) in changes.into_iter().flat_map(|change| {
        [
            (change, 1, 12, false),
            (change, 2, 12, true),
            (change, 1, 60, true),
        ]
    }) {
        let mut fleet = fleet_of_two_versions_from_start(3, 8, is_first_start);
        let parts = Parts::of(&fleet);
        let engines = fleet.decode_engines_and_hosts();
        let faults = async move {
            sleep(FAULT_DELAY).await;
            change.apply(&engines, &parts);
            for _ in 0..losses {
                parts.restart_all_daemons(Duration::from_millis(500)).await;
                sleep(Duration::from_secs(2)).await;
            }
        };
        let pause = Duration::from_secs(pause_s);
        let taken = take_streams_after(&mut fleet, 20, &[1, 2], pause, faults);
        assert!(taken.iter().any(Taken::was_taken_up));
        let case = format!("{change:?}, {losses} losses, {pause_s} s, {is_first_start}");
        assert_one_version_each(&taken, &case);
    }
}

/// Guards against refusing streams of lost daemons although no other version ever served.
#[test]
fn streams_of_lost_daemons_go_on_if_there_was_only_one_version_since_the_first_start() {
    let mut fleet = fleet_of_one_version(3);
    fleet.wait(Duration::from_secs(5));
    let parts = Parts::of(&fleet);
    let loss = async move {
        sleep(FAULT_DELAY).await;
        parts.restart_all_daemons(Duration::from_millis(100)).await;
    };
    let pause = Duration::from_millis(1_500);
    let taken = take_streams_after(&mut fleet, 20, &[1, 2], pause, loss);
    assert_share_taken_up(&taken, 0.9, "a loss of all daemons");
}

/// Guards against a history that begins when a route becomes resumable: a version that left before would count as
/// one that never served.
#[test]
fn versions_count_that_left_before_the_route_became_resumable() {
    let mut routes = support::routes();
    for route in &mut routes {
        route.resumable = false;
    }
    let mut fleet = Fleet::without_configuration(FleetOptions {
        daemons: 1,
        prefill: 0,
        decode: 2,
        is_first_start: true,
        ..FleetOptions::default()
    });
    fleet.decode[1].set_version(NEW_VERSION);
    fleet.decode[1].record(&fleet.store, "ready");
    fleet
        .store
        .put("op/config", support::configuration(1, &routes));
    fleet.wait(Duration::from_secs(5));
    fleet.decode[0].remove_entry(&fleet.store);
    fleet.wait(Duration::from_secs(30));
    fleet
        .store
        .put("op/config", support::configuration(2, &support::routes()));
    fleet.wait(Duration::from_secs(5));
    let request = ClientRequest {
        takes_up: Some(BrokenStream {
            request: String::from("lost"),
            last_event: 1,
        }),
        ..ClientRequest::prompt("again", "tag", 0, 30)
    };
    let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
    let answer = fleet.run(async move { client.ask(target, &request).await });
    let status = answer.map(|answer| answer.status);
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
}

/// How a daemon is out of step while engines of another version join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutOfStep {
    /// It is cut off from the store and from the other daemons.
    Cut,
    /// It stands still, and answers of the store wait for it.
    Frozen,
}

/// Guards against a daemon that takes the versions that it has seen for all that serve.
#[test]
fn a_daemon_that_has_not_seen_a_new_version_does_not_go_on_at_an_old_one() {
    /// Short, so that the daemon has not noticed yet.
    const JOIN_DELAY: Duration = Duration::from_millis(100);
    let cases = [OutOfStep::Cut, OutOfStep::Frozen].map(|kind| [(kind, 1), (kind, 2)]);
    for (out_of_step, late) in cases.into_iter().flatten() {
        let mut fleet = fleet_of_one_version(3);
        let joining: Vec<EngineStandIn> = fleet.decode.iter().skip(2).cloned().collect();
        for engine in &joining {
            engine.remove_entry(&fleet.store);
        }
        fleet.wait(Duration::from_secs(40));
        let simulation = fleet.simulation.handle();
        let hosts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
        match out_of_step {
            OutOfStep::Cut => {
                let others = [fleet.store_host, hosts[0], hosts[3 - late]];
                simulation.partition(&hosts[late..=late], &others);
            }
            OutOfStep::Frozen => {
                simulation.freeze(hosts[late]);
                fleet.wait(JOIN_DELAY / 2);
                // Answers the call that the daemon has under way.
                fleet.records[0].record(&fleet.store, "ready");
            }
        }
        fleet.wait(JOIN_DELAY);
        for engine in &joining {
            engine.set_version(NEW_VERSION);
            engine.record(&fleet.store, "ready");
        }
        for engine in fleet.decode.iter().take(2) {
            engine.record(&fleet.store, "draining");
        }
        fleet.wait(JOIN_DELAY);
        let kill = async move {
            sleep(JOIN_DELAY * 2).await;
            simulation.kill(hosts[0]);
            sleep(JOIN_DELAY * 2).await;
            if out_of_step == OutOfStep::Frozen {
                simulation.thaw(hosts[late]);
            }
        };
        let taken = take_streams_at(&mut fleet, 16, &[late], kill);
        let taken_up = taken.iter().filter(|taken| taken.was_taken_up()).count();
        let case = format!("{out_of_step:?}, daemon {late}");
        assert!(taken_up >= 12, "{case}: {taken_up} taken up");
        assert_one_version_each(&taken, &case);
    }
}

/// How all daemons are replaced in [`outcome_of_replaced_daemons`].
#[derive(Debug, Clone, Copy)]
enum Replacement {
    /// One planned stop begins after the other.
    Rolling { pause: Duration },
    /// The first daemon, which serves the streams, is killed after the rolling restart of the others.
    RollingThenKilled { pause: Duration },
}

/// Streams of this length outlast a rolling restart of a small fleet.
const LONG_STREAM_EVENTS: u64 = 90;
const LONG_STREAM_GAP_MS: u64 = 150;
/// Total time of a client for such a stream, in milliseconds.
const LONG_STREAM_DEADLINE_MS: u64 = 16_000;
/// Time in which a daemon is down between two processes.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Routes whose streams may take as long as [`LONG_STREAM_DEADLINE_MS`].
fn configure_long_streams(fleet: &Fleet) {
    let mut routes = support::routes();
    for route in &mut routes {
        route.timeout_ms = LONG_STREAM_DEADLINE_MS;
    }
    fleet.configure(2, &routes);
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: LONG_STREAM_EVENTS,
            gap_ms: LONG_STREAM_GAP_MS,
        });
    }
}

/// Stops a daemon as planned, and starts it again once it has exited.
async fn replace_daemon(simulation: SimulationHandle, daemon: DaemonHost) {
    daemon.terminate();
    while !daemon.has_stopped() {
        sleep(Duration::from_millis(10)).await;
    }
    simulation.kill(daemon.host);
    sleep(DOWN_TIME).await;
    simulation.restart(daemon.host);
}

/// Replaces all daemons while long streams of two versions run at the first one. Clients take their
/// streams up at the others, which have been replaced meanwhile.
fn outcome_of_replaced_daemons(daemons: u8, replacement: Replacement, loss: f64) -> Vec<Taken> {
    const STREAMS: usize = 24;
    let mut fleet = fleet_of_two_versions(daemons, 8);
    configure_long_streams(&fleet);
    fleet.wait(Duration::from_millis(500));
    let simulation = fleet.simulation.handle();
    simulation.set_datagram_faults(DatagramFaults {
        loss,
        ..DatagramFaults::default()
    });
    let hosts = fleet.daemons.clone();
    let replacing = async move {
        sleep(FAULT_DELAY).await;
        let (pause, is_killed) = match replacement {
            Replacement::Rolling { pause } => (pause, false),
            Replacement::RollingThenKilled { pause } => (pause, true),
        };
        let mut restarts = Vec::new();
        for daemon in hosts.iter().skip(1).chain(hosts.first()) {
            if daemon.host == hosts[0].host && is_killed {
                join_all(restarts.drain(..)).await;
                sleep(Duration::from_secs(3)).await;
                simulation.kill(daemon.host);
                break;
            }
            let restart = replace_daemon(simulation.clone(), daemon.clone());
            restarts.push(tokio::task::spawn_local(restart));
            sleep(pause).await;
        }
        join_all(restarts).await;
    };
    let client = fleet.client.clone();
    let addresses: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let others = addresses.len() - 1;
    fleet.run(async move {
        let streams = (0..STREAMS).map(|number| {
            let targets = vec![
                addresses[0],
                addresses[1 + number % others],
                addresses[1 + (number + 1) % others],
            ];
            let request = ClientRequest {
                deadline_ms: LONG_STREAM_DEADLINE_MS,
                ..ClientRequest::prompt(&format!("long-{number}"), "tag", 40, 200)
            };
            take_stream(client.clone(), targets, request, RETRY_PAUSE)
        });
        let (taken, ()) = futures::join!(join_all(streams), replacing);
        taken
    })
}

/// Guards against records of streams that only daemons hold which are all replaced while the stream
/// lasts.
#[test]
fn streams_go_on_after_all_daemons_were_replaced_one_after_the_other() {
    let pause = Duration::from_secs(1);
    let short = Duration::from_millis(300);
    let cases = [
        (4, Replacement::Rolling { pause }, 0.0),
        (4, Replacement::Rolling { pause: short }, 0.0),
        (4, Replacement::Rolling { pause }, 0.2),
        (9, Replacement::Rolling { pause: short }, 0.0),
        (4, Replacement::RollingThenKilled { pause }, 0.0),
        (9, Replacement::RollingThenKilled { pause: short }, 0.1),
    ];
    for (daemons, replacement, loss) in cases {
        let case = format!("{daemons} daemons, {replacement:?}, loss {loss}");
        let taken = outcome_of_replaced_daemons(daemons, replacement, loss);
        assert_one_version_each(&taken, &case);
        let taken_up = taken.iter().filter(|taken| taken.was_taken_up());
        let went_on = taken_up.clone().filter(|taken| taken.went_on()).count();
        let taken_up = taken_up.count();
        eprintln!("{case}: {went_on} of {taken_up} went on");
        assert!(taken_up >= 12, "{case}: {taken_up} taken up");
        assert!(
            went_on * 10 >= taken_up * 9,
            "{case}: {went_on} of {taken_up} went on"
        );
    }
}
