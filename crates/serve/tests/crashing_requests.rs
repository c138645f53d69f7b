//! Requests that crash every engine that runs them.
//!
//! Guards against retries by daemons and callers that send such a request to one engine after the
//! other: after three crashes all daemons must quarantine it, and no other request with it.

mod support;

use std::future::Future;
use std::time::Duration;

use futures::future::{Either, select};
use futures::stream::{FuturesUnordered, StreamExt};
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest};
use ponddrift_simulation::{DatagramFaults, HostId};
use support::{Fleet, FleetOptions, crash_engines, wait_until};
use tokio::time::{Instant, sleep};

/// Text in the body of a request that makes engines crash.
const CRASH_TEXT: &str = "crashes engines";
/// Time until a crashed engine is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time until all daemons must know what one of them has found out.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which the request must not run any more.
const TOLERATED_CRASHES: usize = 3;
/// Number of sends to engines that are tolerated after that.
const TOLERATED_SENDS: usize = 3;

/// Number of callers that send sound requests beside those that crash engines.
const SOUND_CALLERS: usize = 16;

/// Repetitions of a request by callers, each with a new request identity and at another daemon.
#[derive(Clone, Copy)]
struct Repetitions {
    count: usize,
    interval: Duration,
}

fn fleet_options() -> FleetOptions {
    FleetOptions {
        daemons: 4,
        prefill: 1,
        decode: 6,
        zones: 2,
        ..FleetOptions::default()
    }
}

fn crashing_fleet(fleet_options: FleetOptions) -> Fleet {
    let fleet = Fleet::new(fleet_options);
    for engine in &fleet.decode {
        engine.crash_on(CRASH_TEXT);
    }
    fleet
}

fn crashing_request(number: usize) -> ClientRequest {
    ClientRequest {
        body: String::from(CRASH_TEXT),
        ..ClientRequest::prompt(&format!("crasher-{number}"), "tag", 0, 30)
    }
}

fn harmless_request(number: usize) -> ClientRequest {
    ClientRequest {
        body: format!("question {number}"),
        ..ClientRequest::prompt(&format!("innocent-{number}"), "tag", 0, 30)
    }
}

/// Whether the response says that the request is quarantined.
fn is_quarantined(answer: &Answer) -> bool {
    answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.text().contains("engines ended while they ran")
}

/// Identity of the request that the response belongs to.
fn request_id(answer: &Answer) -> Option<&str> {
    answer.headers.get("ponddrift-request-id")?.to_str().ok()
}

/// Sends the repetitions of `request` to the daemons in turn while engines crash and restart.
/// Returns the responses in their order of arrival, without requests whose connection closed
/// unanswered.
fn send_repeatedly(
    fleet: &mut Fleet,
    repetitions: Repetitions,
    request: impl Fn(usize) -> ClientRequest,
) -> Vec<Answer> {
    let engines = fleet.decode_engines_and_hosts();
    let crashes = crash_engines(
        fleet.simulation.handle(),
        fleet.store.clone(),
        engines,
        RESTART_DELAY,
    );
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let calls: FuturesUnordered<_> = (0..repetitions.count)
        .map(|number| {
            let client = fleet.client.clone();
            let target = targets[number % targets.len()];
            let request = request(number);
            let pause = repetitions.interval * u32::try_from(number).expect("a small number");
            async move {
                sleep(pause).await;
                client.ask(target, &request).await
            }
        })
        .collect();
    fleet.run(async move {
        let answers = Box::pin(calls.filter_map(|answer| async { answer }).collect());
        match select(answers, Box::pin(crashes)).await {
            Either::Left((answers, _crashes)) => answers,
            Either::Right(((), _answers)) => unreachable!("the crash driver never completes"),
        }
    })
}

fn all_crashes(fleet: &Fleet) -> Vec<Instant> {
    let mut crashes: Vec<Instant> = fleet
        .decode
        .iter()
        .flat_map(|engine| engine.crashes())
        .collect();
    crashes.sort_unstable();
    crashes
}

/// Number of runs that engines began after `after` of requests whose identity has this prefix.
fn runs_begun_after(fleet: &Fleet, prefix: &str, after: Instant) -> usize {
    let engines = fleet.prefill.iter().chain(&fleet.decode);
    engines
        .flat_map(|engine| engine.runs())
        .filter(|run| run.request.starts_with(prefix) && run.started_at > after)
        .count()
}

/// Daemons without paths of their own run requests through a peer, and learn from peers that the
/// engine exited.
#[test]
fn a_request_that_crashes_engines_is_quarantined_while_most_daemons_have_no_paths() {
    let mut fleet = crashing_fleet(fleet_options());
    let cut: Vec<HostId> = fleet.daemons[..3]
        .iter()
        .map(|daemon| daemon.host)
        .collect();
    let engines = [fleet.prefill_hosts.clone(), fleet.decode_hosts.clone()].concat();
    fleet.simulation.handle().partition(&cut, &engines);
    let repetitions = Repetitions {
        count: 80,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, harmless_request);
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    let crashes = all_crashes(&fleet);
    let third_crash = crashes[TOLERATED_CRASHES - 1];
    let sends = runs_begun_after(&fleet, "crasher", third_crash + PROPAGATION_TIME);
    assert!(sends <= TOLERATED_SENDS, "{sends} sends after that");
}

#[test]
fn a_request_that_crashes_engines_is_not_run_after_the_third_crash() {
    let mut fleet = crashing_fleet(fleet_options());
    let repetitions = Repetitions {
        count: 80,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    let crashes = all_crashes(&fleet);
    let third_crash = crashes[TOLERATED_CRASHES - 1];
    let sends = runs_begun_after(&fleet, "crasher", third_crash + PROPAGATION_TIME);
    assert!(
        sends <= TOLERATED_SENDS,
        "sent to engines {sends} times, long after the third crash; {} crashes in all",
        crashes.len()
    );
}

/// Other requests that were running on crashing engines must not be taken for the cause, however
/// often they are interrupted.
#[test]
fn requests_that_run_on_crashing_engines_are_not_quarantined_with_the_one_that_crashes_them() {
    let mut fleet = crashing_fleet(fleet_options());
    let repetitions = Repetitions {
        count: 600,
        interval: Duration::from_millis(10),
    };
    // One request in ten crashes engines. The others are repeated with the same body a second
    // later.
    let mixed = |number: usize| match number % 10 {
        0 => crashing_request(number),
        _ => ClientRequest {
            body: format!("question {}", number % 100),
            ..harmless_request(number)
        },
    };
    let answers = send_repeatedly(&mut fleet, repetitions, mixed);
    let crashes = all_crashes(&fleet);
    let refused: Vec<&str> = answers
        .iter()
        .filter(|answer| is_quarantined(answer))
        .filter_map(request_id)
        .collect();
    assert!(crashes.len() <= 6, "{} engines crashed", crashes.len());
    assert!(!refused.is_empty(), "the crashing request is quarantined");
    let harmless = refused.iter().filter(|id| id.starts_with("innocent"));
    assert_eq!(harmless.count(), 0, "{refused:?}");
    let served = answers
        .iter()
        .filter(|answer| answer.status == StatusCode::OK && answer.is_complete);
    assert!(served.count() > 500, "{} engines crashed", crashes.len());
}

/// Daemons learn some milliseconds late at which engines others lost requests. A sound request that was lost at the
/// same engines as one that crashes them must not be refused meanwhile when its caller repeats it.
#[test]
fn sound_requests_are_not_quarantined_before_daemons_know_of_the_one_that_crashes_engines() {
    let mut fleet = crashing_fleet(FleetOptions {
        decode: 3,
        ..fleet_options()
    });
    fleet
        .simulation
        .handle()
        .set_datagram_faults(DatagramFaults {
            reordering: 1.0,
            reordering_delay: Duration::from_millis(40),
            ..DatagramFaults::default()
        });
    let callers: Vec<_> = (0..SOUND_CALLERS)
        .map(|caller| repeat_lost_requests(&fleet, caller))
        .collect();
    let callers = fleet.simulation.block_on(async {
        callers
            .into_iter()
            .map(tokio::task::spawn_local)
            .collect::<Vec<_>>()
    });
    // Every two seconds another request crashes engines.
    let repetitions = Repetitions {
        count: 150,
        interval: Duration::from_millis(200),
    };
    send_repeatedly(&mut fleet, repetitions, |number| ClientRequest {
        body: format!("{CRASH_TEXT}, number {}", number / 10),
        ..crashing_request(number)
    });
    let refused: Vec<String> = fleet.run(async move {
        let refused = futures::future::join_all(callers).await;
        refused
            .into_iter()
            .flat_map(|refused| refused.expect("no caller panics"))
            .collect()
    });
    assert_eq!(refused, [""; 0]);
}

/// Sends sound requests one after the other, and repeats each that fails at once. Returns those
/// that were refused as quarantined.
fn repeat_lost_requests(
    fleet: &Fleet,
    caller: usize,
) -> impl Future<Output = Vec<String>> + 'static {
    let client = fleet.client.clone();
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let end = Duration::from_secs(30);
    async move {
        let begun = Instant::now();
        let mut refused = Vec::new();
        let mut number = 0;
        while begun.elapsed() < end {
            number += 1;
            for attempt in 0..6 {
                let request = ClientRequest {
                    body: format!("question {number} of {caller}"),
                    ..ClientRequest::prompt(
                        &format!("innocent-{caller}-{number}-{attempt}"),
                        "tag",
                        0,
                        30,
                    )
                };
                let target = targets[caller % targets.len()];
                let answer = client.ask(target, &request).await;
                if answer.as_ref().is_some_and(is_quarantined) {
                    refused.push(request.id);
                }
                if answer
                    .is_some_and(|answer| answer.status == StatusCode::OK && answer.is_complete)
                {
                    break;
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
        refused
    }
}

/// The quarantine is kept in the store.
#[test]
fn a_quarantine_survives_the_loss_of_all_daemons() {
    let mut fleet = crashing_fleet(fleet_options());
    let repetitions = Repetitions {
        count: 20,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    let crashes_before = all_crashes(&fleet).len();
    let simulation = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        simulation.kill(daemon.host);
    }
    fleet.wait(Duration::from_millis(500));
    for daemon in &fleet.daemons {
        simulation.restart(daemon.host);
    }
    fleet.wait(Duration::from_secs(3));
    let answers = send_repeatedly(&mut fleet, repetitions, crashing_request);
    assert_eq!(all_crashes(&fleet).len(), crashes_before);
    assert!(answers.iter().all(is_quarantined), "{answers:?}");
}

/// An operator removes the key of a request that no longer crashes engines.
#[test]
fn an_operator_ends_a_quarantine_by_removing_its_key() {
    let mut fleet = crashing_fleet(fleet_options());
    let repetitions = Repetitions {
        count: 20,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    fleet.wait(RESTART_DELAY);
    for engine in &fleet.decode {
        engine.crash_on("nothing is like this");
    }
    let quarantined = send_repeatedly(
        &mut fleet,
        Repetitions {
            count: 4,
            ..repetitions
        },
        crashing_request,
    );
    assert!(quarantined.iter().all(is_quarantined), "{quarantined:?}");
    let keys = fleet.store.keys("ponddrift/quarantine/");
    assert_eq!(keys.len(), 1, "{keys:?}");
    fleet.store.remove(&keys[0]);
    fleet.wait(Duration::from_secs(1));
    let answers = send_repeatedly(
        &mut fleet,
        Repetitions {
            count: 4,
            ..repetitions
        },
        crashing_request,
    );
    let statuses: Vec<StatusCode> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, [StatusCode::OK; 4]);
}

/// While the store is unavailable, daemons tell each other of the quarantine; they store it later.
#[test]
fn a_quarantine_takes_effect_without_the_store_and_is_stored_later() {
    let mut fleet = crashing_fleet(fleet_options());
    let simulation = fleet.simulation.handle();
    for daemon in &fleet.daemons {
        simulation.cut(daemon.host, fleet.store_host);
    }
    let repetitions = Repetitions {
        count: 30,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    assert!(all_crashes(&fleet).len() <= 5, "{:?}", all_crashes(&fleet));
    for daemon in &fleet.daemons {
        simulation.heal(daemon.host, fleet.store_host);
    }
    fleet.wait(Duration::from_secs(8));
    assert_eq!(fleet.store.keys("ponddrift/quarantine/").len(), 1);
}

#[test]
fn a_quarantine_stays_in_force_and_is_stored_again_after_the_store_is_restored_from_an_older_copy()
{
    let mut fleet = crashing_fleet(fleet_options());
    fleet.store.set_era(1);
    fleet.wait(Duration::from_secs(1));
    let copy = fleet.store.copy();
    let repetitions = Repetitions {
        count: 30,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    fleet.wait(Duration::from_secs(1));
    assert_eq!(fleet.store.keys("ponddrift/quarantine/").len(), 1);
    fleet.store.restore_from(&copy);
    fleet.wait(Duration::from_secs(4));
    let few_repetitions = Repetitions {
        count: 4,
        ..repetitions
    };
    let quarantined = send_repeatedly(&mut fleet, few_repetitions, crashing_request);
    assert!(quarantined.iter().all(is_quarantined), "{quarantined:?}");
    assert_eq!(fleet.store.keys("ponddrift/quarantine/").len(), 1);
}

/// The copy still contains the quarantine that an operator has ended since.
#[test]
fn a_quarantine_ended_by_an_operator_stays_ended_after_the_store_is_restored_from_an_older_copy() {
    let mut fleet = crashing_fleet(fleet_options());
    fleet.store.set_era(1);
    let repetitions = Repetitions {
        count: 30,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    for engine in &fleet.decode {
        engine.crash_on("nothing is like this");
    }
    fleet.wait(RESTART_DELAY);
    let copy = fleet.store.copy();
    let keys = fleet.store.keys("ponddrift/quarantine/");
    fleet.store.remove(&keys[0]);
    fleet.wait(Duration::from_secs(1));
    fleet.store.restore_from(&copy);
    fleet.wait(Duration::from_secs(2));
    let few_repetitions = Repetitions {
        count: 4,
        ..repetitions
    };
    let answers = send_repeatedly(&mut fleet, few_repetitions, crashing_request);
    assert!(!answers.iter().any(is_quarantined), "{answers:?}");
}

/// Daemons must learn of the quarantine although one datagram in three is lost.
#[test]
fn a_quarantine_reaches_all_daemons_though_datagrams_are_lost() {
    let mut fleet = crashing_fleet(fleet_options());
    fleet
        .simulation
        .handle()
        .set_datagram_faults(DatagramFaults {
            loss: 0.33,
            ..DatagramFaults::default()
        });
    let repetitions = Repetitions {
        count: 60,
        interval: Duration::from_millis(100),
    };
    send_repeatedly(&mut fleet, repetitions, crashing_request);
    assert!(all_crashes(&fleet).len() <= 6, "{:?}", all_crashes(&fleet));
}

/// A power failure ends all engines at once while they run the same popular request: it must not be
/// taken for the cause.
#[test]
fn a_popular_request_is_served_after_all_engines_failed_at_once() {
    let mut fleet = Fleet::new(fleet_options());
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    let simulation = fleet.simulation.handle();
    let engines = fleet.decode_engines_and_hosts();
    let store = fleet.store.clone();
    let popular_request = |number: usize| ClientRequest {
        body: String::from("a popular question"),
        ..harmless_request(number)
    };
    let client = fleet.client.clone();
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let calls: FuturesUnordered<_> = (0..12)
        .map(|number| {
            let client = client.clone();
            let target = targets[number % targets.len()];
            async move { client.ask(target, &popular_request(number)).await }
        })
        .collect();
    let power_failure = async move {
        sleep(Duration::from_millis(300)).await;
        for (_engine, host) in &engines {
            simulation.kill(*host);
        }
        sleep(RESTART_DELAY).await;
        for (engine, host) in &engines {
            store.remove(&engine.key());
            engine.record_crash();
            engine.clear_behaviours();
            engine.record(&store, "ready");
            simulation.restart(*host);
        }
    };
    fleet.run(async move {
        futures::join!(calls.collect::<Vec<_>>(), power_failure);
    });
    fleet.wait(Duration::from_secs(2));
    let repetitions = Repetitions {
        count: 8,
        interval: Duration::from_millis(50),
    };
    let answers = send_repeatedly(&mut fleet, repetitions, |number| {
        popular_request(100 + number)
    });
    let statuses: Vec<StatusCode> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, [StatusCode::OK; 8]);
}

/// A network partition is no evidence that the interrupted requests crash engines.
#[test]
fn a_request_whose_engines_are_repeatedly_partitioned_is_not_quarantined() {
    let mut fleet = Fleet::new(fleet_options());
    let simulation = fleet.simulation.handle();
    let popular_request = |number: usize| ClientRequest {
        body: String::from("a popular question"),
        ..harmless_request(number)
    };
    let daemons: Vec<HostId> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
    let engines = fleet.decode_hosts.clone();
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Hang);
    }
    for round in 0..4 {
        let client = fleet.client.clone();
        let target = fleet.daemons[0].callers_address;
        let partitioning = async {
            sleep(Duration::from_millis(200)).await;
            simulation.partition(&daemons, &engines);
        };
        let request = popular_request(round);
        let asking = client.ask(target, &request);
        fleet.run(async move { futures::join!(asking, partitioning) });
        simulation.heal_all();
        fleet.wait(Duration::from_secs(1));
    }
    for engine in &fleet.decode {
        engine.clear_behaviours();
    }
    fleet.wait(Duration::from_secs(8));
    let repetitions = Repetitions {
        count: 8,
        interval: Duration::from_millis(50),
    };
    let answers = send_repeatedly(&mut fleet, repetitions, |number| {
        popular_request(100 + number)
    });
    let statuses: Vec<StatusCode> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, [StatusCode::OK; 8]);
}

/// How the engines of [`outcome_in_a_small_service`] start again, and how the request comes.
#[derive(Debug, Clone, Copy)]
struct SmallServiceCase {
    /// Whether engines start again under the IDs that they had.
    keeps_ids: bool,
    /// Requests with the same content that are sent at once, each to another daemon.
    copies: usize,
    /// Pause between two rounds.
    interval: Duration,
}

struct SmallServiceOutcome {
    crashes: usize,
    /// Runs of the request that began later than [`PROPAGATION_TIME`] after the third crash.
    late_runs: usize,
    sound: usize,
    sound_served: usize,
    sound_quarantined: usize,
}

/// Sends a request that crashes engines to a service of three plain back ends and no others, beside
/// sound requests. All engines are often down at the same time, so that no daemon reaches another one.
fn outcome_in_a_small_service(case: SmallServiceCase) -> SmallServiceOutcome {
    /// Time until an engine is back.
    const DOWN_TIME: Duration = Duration::from_secs(2);
    const DURATION: Duration = Duration::from_secs(40);
    const SOUND_INTERVAL: Duration = Duration::from_millis(40);
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 3,
        prefill: 0,
        decode: 0,
        zones: 2,
        ..FleetOptions::default()
    });
    for engine in &fleet.records {
        engine.crash_on(CRASH_TEXT);
        if case.keeps_ids {
            engine.keep_id();
            engine.record(&fleet.store, "ready");
        }
    }
    fleet.wait(Duration::from_millis(500));
    let engines = fleet.records.clone();
    let hosts = fleet.records_hosts.clone();
    let crashes = crash_engines(
        fleet.simulation.handle(),
        fleet.store.clone(),
        engines.into_iter().zip(hosts).collect(),
        DOWN_TIME,
    );
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let mut requests: Vec<(Duration, usize, ClientRequest)> = Vec::new();
    let mut after = Duration::ZERO;
    for round in 0.. {
        if after >= DURATION {
            break;
        }
        for copy in 0..case.copies {
            let request = ClientRequest {
                body: String::from(CRASH_TEXT),
                ..ClientRequest::plain(&format!("crasher-{round}-{copy}"), "fetch")
            };
            requests.push((after, round + copy, request));
        }
        after += case.interval;
    }
    let mut after = Duration::ZERO;
    for number in 0.. {
        if after >= DURATION {
            break;
        }
        let request = ClientRequest {
            body: format!("question {number}"),
            ..ClientRequest::plain(&format!("innocent-{number}"), "fetch")
        };
        requests.push((after, number, request));
        after += SOUND_INTERVAL;
    }
    let client = fleet.client.clone();
    let calls: FuturesUnordered<_> = requests
        .into_iter()
        .map(|(after, target, request)| {
            let client = client.clone();
            let target = targets[target % targets.len()];
            async move {
                sleep(after).await;
                (request.id.clone(), client.ask(target, &request).await)
            }
        })
        .collect();
    let answers: Vec<(String, Option<Answer>)> = fleet.run(async move {
        match select(Box::pin(calls.collect()), Box::pin(crashes)).await {
            Either::Left((answers, _crashes)) => answers,
            Either::Right(((), _answers)) => unreachable!("the crash driver never completes"),
        }
    });
    let mut crashes: Vec<Instant> = fleet
        .records
        .iter()
        .flat_map(|engine| engine.crashes())
        .collect();
    crashes.sort_unstable();
    let runs = fleet.records.iter().flat_map(|engine| engine.runs());
    let late_runs = crashes.get(TOLERATED_CRASHES - 1).map_or(0, |third| {
        runs.filter(|run| run.request.starts_with("crasher"))
            .filter(|run| run.started_at > *third + PROPAGATION_TIME)
            .count()
    });
    let sound = answers
        .iter()
        .filter(|(id, _answer)| id.starts_with("innocent"));
    let sound_answers: Vec<&Answer> = sound
        .clone()
        .filter_map(|(_id, answer)| answer.as_ref())
        .collect();
    SmallServiceOutcome {
        crashes: crashes.len(),
        late_runs,
        sound: sound.count(),
        sound_served: sound_answers
            .iter()
            .filter(|answer| answer.status == StatusCode::OK)
            .count(),
        sound_quarantined: sound_answers
            .iter()
            .filter(|answer| is_quarantined(answer))
            .count(),
    }
}

/// Guards against evidence that is kept by the ID of an engine, so that its next incarnation counts
/// for nothing, and against crashes that no peer can confirm because no other engine is up.
#[test]
fn a_request_that_crashes_all_engines_of_a_small_service_is_quarantined() {
    for keeps_ids in [true, false] {
        for copies in [1, 2] {
            for interval_ms in [350, 1_000, 4_000] {
                let case = SmallServiceCase {
                    keeps_ids,
                    copies,
                    interval: Duration::from_millis(interval_ms),
                };
                let outcome = outcome_in_a_small_service(case);
                let SmallServiceOutcome {
                    crashes,
                    late_runs,
                    sound,
                    sound_served,
                    sound_quarantined,
                } = outcome;
                eprintln!(
                    "{case:?}: {crashes} crashes, {late_runs} late runs, {sound_served} of {sound} sound requests served"
                );
                assert!(
                    late_runs <= TOLERATED_SENDS,
                    "{case:?}: {late_runs} late runs, {crashes} crashes"
                );
                assert_eq!(sound_quarantined, 0, "{case:?}");
                assert!(
                    sound_served * 4 >= sound * 3,
                    "{case:?}: {sound_served} of {sound} sound requests served"
                );
            }
        }
    }
}

/// Guards against an exit that one daemon can prove and another cannot: the innocent requests of the
/// first would count, and the cause at the second would not.
#[test]
fn a_run_counts_if_a_peer_knows_that_its_engine_has_exited() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 3,
        prefill: 0,
        decode: 0,
        ..FleetOptions::default()
    });
    let simulation = fleet.simulation.handle();
    // Only the first daemon reaches other engines than the one that crashes, so it has no witness.
    let without_others = [fleet.daemons[1].host, fleet.daemons[2].host];
    simulation.partition(&without_others, &fleet.records_hosts[1..]);
    for engine in &fleet.records[1..] {
        engine.record(&fleet.store, "draining");
    }
    fleet.wait(Duration::from_millis(500));
    let crashing = fleet.records[0].clone();
    crashing.set_default_behaviour(Behaviour::Hang);
    crashing.crash_on(CRASH_TEXT);
    let host = fleet.records_hosts[0];
    let client = fleet.client.clone();
    let [first, second] = [0, 1].map(|daemon: usize| fleet.daemons[daemon].callers_address);
    fleet.run(async move {
        let cause = ClientRequest {
            body: String::from(CRASH_TEXT),
            ..ClientRequest::plain("crasher", "post")
        };
        let innocent = ClientRequest::plain("innocent", "post");
        let asking_innocent = client.ask(second, &innocent);
        let asking_cause = async {
            sleep(Duration::from_millis(500)).await;
            client.ask(first, &cause).await
        };
        let crash = async {
            wait_until(|| crashing.is_crashing()).await;
            simulation.kill(host);
        };
        futures::join!(asking_innocent, asking_cause, crash)
    });
    fleet.wait(Duration::from_millis(500));
    let lost = [0, 1].map(|daemon| fleet.metric(daemon, "ponddrift_runs_lost_with_engine_total"));
    assert!(lost[1] >= 1.0, "the second daemon has a witness: {lost:?}");
    assert!(lost[0] >= 1.0, "the first learns of it: {lost:?}");
}
