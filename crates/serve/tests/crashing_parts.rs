//! Prompt parts on which engines crash when they begin to write.
//!
//! No two requests with such a part are alike, and sound requests share all their other parts.

mod support;

use std::time::Duration;

use futures::future::{Either, join_all, select};
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, ClientRequest};
use ponddrift_simulation::DatagramFaults;
use support::{Fleet, FleetOptions, crash_engines};
use tokio::time::{Instant, sleep, sleep_until};

/// Time until a crashed engine is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time until all daemons must refuse the part, from the fifth crash on.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Crashes after which that time begins.
const TOLERATED_CRASHES: usize = 5;
/// Pause between two requests with a part that crashes engines.
const CRASHING_INTERVAL: Duration = Duration::from_millis(70);
/// Pause between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(14);
/// How long sound requests are sent alone.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// How long both are sent.
const CRASHING_TIME: Duration = Duration::from_secs(9);

/// Where the part that crashes engines stands among the shared ones.
#[derive(Debug, Clone, Copy)]
enum Place {
    First,
    Middle,
    Last,
}

/// A request and when its answer came.
struct Asked {
    request: ClientRequest,
    sent_at: Instant,
    answer: Option<Answer>,
}

impl Asked {
    fn is_served(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.status == StatusCode::OK && answer.is_complete)
    }

    fn is_quarantined(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| {
            answer.status == StatusCode::SERVICE_UNAVAILABLE
                && answer.text().contains("engines ended while they ran")
        })
    }
}

fn fleet_with(daemons: u8, bad_parts: &[String]) -> Fleet {
    let fleet = Fleet::new(FleetOptions {
        daemons,
        prefill: 1,
        decode: 7,
        zones: 2,
        ..FleetOptions::default()
    });
    for engine in &fleet.decode {
        engine.crash_on_parts(bad_parts);
    }
    fleet
}

fn bad_parts(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("bad{number}")).collect()
}

/// A sound request. All share their first part; the next part is one of a few.
fn sound_request(number: usize) -> ClientRequest {
    ClientRequest {
        further_parts: vec![
            format!("topic{}", number % 5),
            format!("site{}", number % 11),
        ],
        body: format!("sound {number}"),
        ..ClientRequest::prompt(&format!("sound-{number}"), "tag", 40, 200)
    }
}

/// A request with a part that crashes engines; its other parts are those of sound ones.
fn crashing_request(number: usize, parts: &[String], place: Place) -> ClientRequest {
    let bad = parts[number % parts.len()].clone();
    let like = sound_request(number);
    let [topic, site] = [&like.further_parts[0], &like.further_parts[1]].map(String::clone);
    let further_parts = match place {
        Place::First => vec![bad, topic, site],
        Place::Middle => vec![topic, bad, site],
        Place::Last => vec![topic, site, bad],
    };
    ClientRequest {
        further_parts,
        body: format!("crashing {number}"),
        ..ClientRequest::prompt(&format!("crasher-{number}"), "tag", 40, 200)
    }
}

/// Sends sound requests, and after [`QUIET_TIME`] also those that crash engines, to all daemons.
fn send_all(fleet: &mut Fleet, parts: &[String], place: Place) -> Vec<Asked> {
    let mut requests: Vec<(Duration, ClientRequest)> = Vec::new();
    let mut after = Duration::ZERO;
    while after < QUIET_TIME + CRASHING_TIME {
        requests.push((after, sound_request(requests.len())));
        after += SOUND_INTERVAL;
    }
    let mut after = QUIET_TIME;
    let mut number = 0;
    while after < QUIET_TIME + CRASHING_TIME {
        requests.push((after, crashing_request(number, parts, place)));
        after += CRASHING_INTERVAL;
        number += 1;
    }
    let asked = send_while_engines_crash(fleet, requests, std::future::ready(()));
    fleet.wait(RESTART_DELAY);
    asked
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

/// Runs that engines began after `after` of requests that crash them.
fn crashing_runs_after(fleet: &Fleet, after: Instant) -> usize {
    let engines = fleet.prefill.iter().chain(&fleet.decode);
    engines
        .flat_map(|engine| engine.runs())
        .filter(|run| run.request.starts_with("crasher") && run.started_at > after)
        .count()
}

/// Share of the sound requests sent in this time that were served.
fn sound_share(asked: &[Asked], from: Instant, to: Instant) -> f64 {
    let sound = asked.iter().filter(|asked| {
        asked.request.id.starts_with("sound") && asked.sent_at >= from && asked.sent_at < to
    });
    let sound: Vec<&Asked> = sound.collect();
    let served = sound.iter().filter(|asked| asked.is_served()).count();
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let share = served as f64 / sound.len() as f64;
    share
}

fn assert_part_is_refused(fleet: &mut Fleet, parts: &[String], place: Place, case: &str) {
    let asked = send_all(fleet, parts, place);
    let begun = asked[0].sent_at;
    let crashes = all_crashes(fleet);
    let last_tolerated = (TOLERATED_CRASHES * parts.len()).min(crashes.len());
    let fifth = crashes[last_tolerated - 1];
    let known_to_all = fifth + PROPAGATION_TIME;
    let runs = crashing_runs_after(fleet, known_to_all);
    assert_eq!(runs, 0, "{case}: {} crashes", crashes.len());
    let refused = asked
        .iter()
        .filter(|asked| asked.request.id.starts_with("sound") && asked.is_quarantined());
    let refused: Vec<&str> = refused.map(|asked| asked.request.id.as_str()).collect();
    assert!(
        refused.is_empty(),
        "{case}: sound requests refused: {refused:?}"
    );
    let end = begun + QUIET_TIME + CRASHING_TIME;
    let before = sound_share(
        &asked,
        begun,
        begun + QUIET_TIME - Duration::from_millis(100),
    );
    let after = sound_share(&asked, known_to_all, end);
    assert!(
        after >= 0.95 * before,
        "{case}: sound requests served: {before:.3} before, {after:.3} after"
    );
}

#[test]
fn requests_with_a_part_that_crashes_engines_are_refused_after_the_fifth_crash() {
    for place in [Place::First, Place::Middle, Place::Last] {
        for daemons in [4, 9] {
            let parts = bad_parts(1);
            let mut fleet = fleet_with(daemons, &parts);
            let case = format!("{place:?}, {daemons} daemons");
            assert_part_is_refused(&mut fleet, &parts, place, &case);
        }
    }
}

#[test]
fn a_part_that_crashes_engines_is_refused_although_messages_are_lost() {
    let parts = bad_parts(1);
    let mut fleet = fleet_with(9, &parts);
    fleet
        .simulation
        .handle()
        .set_datagram_faults(DatagramFaults {
            loss: 0.2,
            ..DatagramFaults::default()
        });
    assert_part_is_refused(&mut fleet, &parts, Place::Middle, "lost messages");
}

#[test]
fn several_parts_that_crash_engines_are_refused() {
    for count in [2, 3] {
        let parts = bad_parts(count);
        let mut fleet = fleet_with(4, &parts);
        let case = format!("{count} parts");
        assert_part_is_refused(&mut fleet, &parts, Place::Middle, &case);
    }
}

/// In a fleet of this size, single lost runs are sent to a few daemons only.
#[test]
fn a_part_that_crashes_engines_is_refused_in_a_fleet_with_recorders() {
    let parts = bad_parts(1);
    let mut fleet = fleet_with(36, &parts);
    assert_part_is_refused(&mut fleet, &parts, Place::Middle, "36 daemons");
}

/// A prompt with many shared parts, after the first one and before the others of
/// [`sound_request`]. All requests share them.
fn with_shared_parts(mut request: ClientRequest, count: usize) -> ClientRequest {
    let shared = (0..count).map(|number| format!("p{number}"));
    request.further_parts.extend(shared);
    request.deadline_ms = 3_000;
    request
}

/// Sends each request after its time, to the daemons in turn, beside `other`. Engines that crash are
/// started again.
fn send_while_engines_crash(
    fleet: &mut Fleet,
    requests: Vec<(Duration, ClientRequest)>,
    other: impl Future<Output = ()>,
) -> Vec<Asked> {
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let client = fleet.client.clone();
    let crashes = crash_engines(
        fleet.simulation.handle(),
        fleet.store.clone(),
        fleet.decode_engines_and_hosts(),
        RESTART_DELAY,
    );
    fleet.run(async move {
        let start = Instant::now();
        let calls = requests
            .into_iter()
            .enumerate()
            .map(|(number, (after, request))| {
                let client = client.clone();
                let target = targets[number % targets.len()];
                async move {
                    sleep_until(start + after).await;
                    let sent_at = Instant::now();
                    let answer = client.ask(target, &request).await;
                    Asked {
                        request,
                        sent_at,
                        answer,
                    }
                }
            });
        let calls = async { futures::join!(join_all(calls), other).0 };
        match select(Box::pin(calls), Box::pin(crashes)).await {
            Either::Left((asked, _crashes)) => asked,
            Either::Right(((), _calls)) => unreachable!("the crash driver never completes"),
        }
    })
}

/// Sends prompts of many shared parts, of which the second crashes engines in some. Returns the number
/// of runs of these that began long after the fifth crash, and the sound requests that were refused.
fn outcome_of_long_prompts(shared_parts: usize) -> (usize, Vec<String>) {
    const DURATION: Duration = Duration::from_secs(10);
    let parts = bad_parts(1);
    let mut fleet = fleet_with(2, &parts);
    let mut requests: Vec<(Duration, ClientRequest)> = Vec::new();
    let mut after = Duration::ZERO;
    while after < DURATION {
        let number = requests.len();
        let sound = with_shared_parts(sound_request(number), shared_parts);
        requests.push((after, sound));
        after += Duration::from_millis(50);
    }
    let mut after = Duration::from_secs(1);
    let mut number = 0;
    while after < DURATION {
        let crashing = crashing_request(number, &parts, Place::First);
        requests.push((after, with_shared_parts(crashing, shared_parts)));
        after += Duration::from_millis(300);
        number += 1;
    }
    let asked = send_while_engines_crash(&mut fleet, requests, std::future::ready(()));
    let crashes = all_crashes(&fleet);
    let runs = crashes.get(TOLERATED_CRASHES - 1).map_or(0, |fifth| {
        crashing_runs_after(&fleet, *fifth + PROPAGATION_TIME)
    });
    let refused = asked
        .iter()
        .filter(|asked| asked.request.id.starts_with("sound") && asked.is_quarantined());
    let refused = refused.map(|asked| asked.request.id.clone()).collect();
    eprintln!(
        "{shared_parts} parts: {} crashes, {runs} late runs",
        crashes.len()
    );
    (runs, refused)
}

/// Guards against a limit on the parts of a prompt that are looked at: whatever comes after it must
/// not protect a part from suspicion.
#[test]
fn a_part_early_in_a_long_prompt_is_refused() {
    for shared_parts in [40, 400, 1_200] {
        let (late_runs, refused) = outcome_of_long_prompts(shared_parts);
        assert!(
            late_runs <= 3,
            "{shared_parts} parts: {late_runs} late runs"
        );
        assert_eq!(refused, [""; 0], "{shared_parts} parts");
    }
}

/// Guards against a decision that waits for more answers to other requests than a quiet service gives:
/// a part that was served before begins to crash engines.
#[test]
fn a_part_that_begins_to_crash_engines_of_a_quiet_service_is_refused() {
    const SOUND_TIME: Duration = Duration::from_secs(5);
    const DURATION: Duration = Duration::from_secs(40);
    for daemons in [2, 4] {
        let parts = bad_parts(1);
        let mut fleet = Fleet::new(FleetOptions {
            daemons,
            prefill: 0,
            decode: 12,
            zones: 2,
            ..FleetOptions::default()
        });
        let shared = ["p1", "p2", "p3"].map(String::from);
        let mut requests: Vec<(Duration, ClientRequest)> = Vec::new();
        for number in 0.. {
            let after = Duration::from_millis(500) * number;
            if after >= DURATION {
                break;
            }
            let sound = ClientRequest {
                further_parts: shared.to_vec(),
                body: format!("sound {number}"),
                ..ClientRequest::prompt(&format!("sound-{number}"), "tag", 40, 200)
            };
            requests.push((after, sound));
        }
        for number in 0.. {
            let after = Duration::from_millis(1_200) * number;
            if after >= DURATION {
                break;
            }
            let further_parts = parts.iter().chain(&shared).cloned().collect();
            let crashing = ClientRequest {
                further_parts,
                body: format!("crashing {number}"),
                ..ClientRequest::prompt(&format!("crasher-{number}"), "tag", 40, 200)
            };
            requests.push((after, crashing));
        }
        requests.sort_by_key(|(after, _request)| *after);
        let engines = fleet.decode.clone();
        let crashing_parts = parts.clone();
        let begin_to_crash = async move {
            sleep(SOUND_TIME).await;
            for engine in &engines {
                engine.crash_on_parts(&crashing_parts);
            }
        };
        let asked = send_while_engines_crash(&mut fleet, requests, begin_to_crash);
        let crashes = all_crashes(&fleet);
        let fifth = crashes[TOLERATED_CRASHES - 1];
        let runs = crashing_runs_after(&fleet, fifth + PROPAGATION_TIME);
        eprintln!(
            "{daemons} daemons: {} crashes, {runs} late runs",
            crashes.len()
        );
        assert!(runs <= 3, "{daemons} daemons: {runs} late runs");
        let refused = asked
            .iter()
            .filter(|asked| asked.request.id.starts_with("sound") && asked.is_quarantined());
        assert_eq!(refused.count(), 0, "{daemons} daemons");
    }
}
