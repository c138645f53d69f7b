//! Back ends that say in their answers how many requests a second they take from all daemons together.
//!
//! Two model engines in need named such a rate, 3.6 and 4 requests a second. Nine daemons passed their answers on, did not read what
//! they said of the rate, and went on sending 40 to 70 requests in every 4 s to each, as before, where 27 and 29 would have been
//! half as much again as they had asked for, and 5. The engines turned nothing away, so nothing else showed it. Reading the rate is not
//! enough: it belongs to the engine, and a daemon that keeps it alone is one of nine that do.
//!
//! What settled it, from daemons that only logged what the answers said:
//!
//! ```text
//! {"message":"rate_limit_changed","back_end":"i-7","incarnation":0,"rate":3.3,"source":"prefill"}
//! {"message":"sent_to_rate_limited","back_end":"i-7","purpose":"prefill","rate":3.3,"own_sends_in_4_s":8}
//! {"message":"sent_to_rate_limited","back_end":"i-1","purpose":"serve","rate":3.3,"own_sends_in_4_s":26}
//! ```
//!
//! The second is of nine daemons. None of them sent the engine more than the rate alone allows in 4 s, 13; together they sent it more than the
//! 24 that are allowed. The third is of three, where a daemon alone sent more than all together may.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest, EngineStandIn, StoreMode};
use ponddrift_simulation::HostId;
use support::{DaemonHost, Fleet, FleetOptions};
use tokio::time::{Instant, sleep};

/// Rate that back ends name here, in requests a second.
const RATE: f64 = 3.3;
/// The same as they say it.
const RATE_TEXT: &str = "3.3";
/// Daemons have this long to settle on a limit after it was first named.
const SETTLED: Duration = Duration::from_secs(3);
/// Arrivals are counted over any such time.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that may reach a back end within [`WINDOW`]: half as many again as its rate allows, and 5.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// Most requests that reached the engine within [`WINDOW`], from `since` on.
fn most_in_window(engine: &EngineStandIn, since: Instant) -> usize {
    let mut times: Vec<Instant> = engine.arrivals().iter().map(|arrival| arrival.at).collect();
    times.retain(|at| *at >= since);
    let in_window = |from: &Instant| {
        let times = times.iter();
        times
            .filter(|at| **at >= *from && **at - *from < WINDOW)
            .count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

fn arrivals_since(engine: &EngineStandIn, since: Instant) -> usize {
    let arrivals = engine.arrivals();
    arrivals
        .iter()
        .filter(|arrival| arrival.at >= since)
        .count()
}

/// Time on the clock of the simulation.
fn virtual_now(fleet: &mut Fleet) -> Instant {
    fleet.run(async { Instant::now() })
}

/// What all daemons are asked together: requests of one kind, so many a second, for so long.
#[derive(Clone, Copy)]
struct Load {
    route: &'static str,
    per_second: u32,
    time: Duration,
}

impl Load {
    /// Plain requests, as many as keep the back ends without a limit busy: else one that seldom gets a request looks slow beside them.
    const fn plain(time: Duration) -> Self {
        Self {
            route: "fetch",
            per_second: 1_100,
            time,
        }
    }

    /// Prompts that share nothing.
    const fn prompts(time: Duration) -> Self {
        Self {
            route: "tag",
            per_second: 150,
            time,
        }
    }

    fn request(self, name: &str) -> ClientRequest {
        if self.route == "fetch" {
            ClientRequest::plain(name, self.route)
        } else {
            ClientRequest::prompt(name, self.route, 0, 200)
        }
    }
}

/// Asks every daemon. Returns the answers' statuses.
fn ask_all(fleet: &mut Fleet, name: &str, load: Load) -> Vec<StatusCode> {
    let client = fleet.client.clone();
    let targets: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.callers_address).collect();
    let name = name.to_owned();
    fleet.run(async move {
        let daemons = u32::try_from(targets.len()).expect("a small number");
        let pause = Duration::from_secs(1) * daemons / load.per_second;
        let rounds = u32::try_from(load.time.as_micros() / pause.as_micros()).expect("a small number");
        let mut asked = Vec::new();
        for (daemon, target) in (0..).zip(targets.iter().copied()) {
            // Daemons are not asked at one moment.
            let offset = pause * daemon / daemons;
            for round in 0..rounds {
                let client = client.clone();
                let request = load.request(&format!("{name}-{round}-{daemon}"));
                asked.push(async move {
                    sleep(offset + pause * round).await;
                    let answer = client.ask(target, &request).await;
                    answer.expect("a response, not a closed connection").status
                });
            }
        }
        join_all(asked).await
    })
}

fn refused(statuses: &[StatusCode]) -> usize {
    let statuses = statuses.iter();
    statuses.filter(|status| **status != StatusCode::OK).count()
}

/// A fleet of so many daemons, with engines that are enough without the one that sets a limit.
fn fleet_of(daemons: u8, zones: u8) -> Fleet {
    Fleet::new(FleetOptions {
        daemons,
        zones,
        records: 6,
        prefill: 2,
        decode: 6,
        ..FleetOptions::default()
    })
}

/// Sets the limit at one engine, asks all daemons for some time, and checks what reached the engine.
fn check_limit(fleet: &mut Fleet, engine: &EngineStandIn, load: Load) {
    engine.limit_rate(&[RATE_TEXT]);
    let begun = virtual_now(fleet);
    let statuses = ask_all(fleet, "limited", load);
    assert_eq!(refused(&statuses), 0, "other engines serve");
    let most = most_in_window(engine, begun + SETTLED);
    assert!(
        most as f64 <= allowed(RATE),
        "{most} requests in 4 s, {} are allowed",
        allowed(RATE)
    );
    let reached = arrivals_since(engine, begun + SETTLED) as f64;
    let could_reach = RATE * (load.time - SETTLED).as_secs_f64();
    assert!(
        reached >= 0.6 * could_reach,
        "{reached} of {could_reach} that it takes"
    );
}

#[test]
fn a_plain_back_end_gets_no_more_than_it_takes_from_3_and_from_9_daemons_together() {
    for daemons in [3, 9] {
        let mut fleet = fleet_of(daemons, 3);
        let engine = fleet.records[0].clone();
        check_limit(&mut fleet, &engine, Load::plain(Duration::from_secs(11)));
    }
}

#[test]
fn engines_that_read_and_that_generate_get_no_more_than_they_take_from_9_daemons_together() {
    for reads in [true, false] {
        let mut fleet = fleet_of(9, 3);
        let engine = if reads {
            fleet.prefill[0].clone()
        } else {
            fleet.decode[0].clone()
        };
        check_limit(&mut fleet, &engine, Load::prompts(Duration::from_secs(11)));
    }
}

#[test]
fn a_back_end_gets_no_more_than_it_takes_from_95_daemons_together() {
    let mut fleet = fleet_of(95, 3);
    let engine = fleet.records[0].clone();
    check_limit(&mut fleet, &engine, Load::plain(Duration::from_secs(11)));
}

/// Sends one request to a daemon. Returns the answer and how long it took.
fn ask(fleet: &mut Fleet, daemon: usize, request: &ClientRequest) -> (Answer, Duration) {
    let (client, target) = (fleet.client.clone(), fleet.daemons[daemon].callers_address);
    fleet.run(async move {
        let begun = Instant::now();
        let answer = client.ask(target, request).await;
        (answer.expect("a response, not a closed connection"), begun.elapsed())
    })
}

/// One of the daemons hears of the limit. The others must not find out by requests of their own, at any size.
#[test]
fn what_one_daemon_hears_of_a_limit_all_know_at_once() {
    for (daemons, zones) in [(3, 3), (9, 3), (95, 3)] {
        let mut fleet = Fleet::new(FleetOptions {
            daemons,
            zones,
            records: 1,
            ..FleetOptions::default()
        });
        // The daemons have to hear of each other first.
        fleet.wait(Duration::from_secs(3));
        let engine = fleet.records[0].clone();
        engine.limit_rate(&["0.1"]);
        ask(&mut fleet, 0, &ClientRequest::plain("first", "fetch"));
        fleet.wait(Duration::from_millis(500));
        let served = fleet.ask_each_daemon("others");
        assert!(served <= 1, "{daemons}: {served} daemons sent");
        assert!(engine.arrivals().len() <= 2, "{daemons}");
    }
}

/// Three daemons before one back end, whose limit of a request in ten seconds has been named.
fn fleet_before_one_limited_back_end() -> (Fleet, EngineStandIn) {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 1,
        ..FleetOptions::default()
    });
    let engine = fleet.records[0].clone();
    engine.limit_rate(&["0.1"]);
    ask(&mut fleet, 0, &ClientRequest::plain("first", "fetch"));
    (fleet, engine)
}

#[test]
fn a_daemon_that_starts_again_is_told_of_limits_by_its_peers() {
    let (mut fleet, engine) = fleet_before_one_limited_back_end();
    for number in 0..3 {
        let host = fleet.daemons[number].host;
        fleet.simulation.handle().kill(host);
        fleet.wait(Duration::from_millis(200));
        fleet.simulation.handle().restart(host);
        fleet.wait(Duration::from_millis(300));
    }
    let before = engine.arrivals().len();
    fleet.ask_each_daemon("again");
    let reached = engine.arrivals().len() - before;
    assert!(reached <= 1, "{reached} daemons sent");
}

/// Its requests come as soon as it is ready: it must know by then, whenever its peers last published what is in force.
#[test]
fn a_daemon_that_starts_again_knows_limits_before_its_first_request() {
    let (mut fleet, engine) = fleet_before_one_limited_back_end();
    for start in 0..10 {
        let number = start % 3;
        let host = fleet.daemons[number].host;
        fleet.simulation.handle().kill(host);
        let down = u64::try_from(start).expect("a small number") * 130 + 200;
        fleet.wait(Duration::from_millis(down));
        fleet.simulation.handle().restart(host);
        fleet.wait(Duration::from_millis(150));
        let before = engine.arrivals().len();
        let request = ClientRequest::plain(&format!("started-{start}"), "fetch");
        ask(&mut fleet, number, &request);
        assert_eq!(engine.arrivals().len(), before, "start {start}");
    }
}

/// The store is slow: peers tell of the limit long before the daemon has read which back ends there are.
#[test]
fn a_daemon_that_reads_the_directory_late_keeps_limits_that_it_was_told_of_before() {
    let (mut fleet, engine) = fleet_before_one_limited_back_end();
    fleet.wait(Duration::from_secs(1));
    for start in 0..5 {
        let number = start % 3;
        let host = fleet.daemons[number].host;
        fleet
            .store
            .set_mode(StoreMode::Slow(Duration::from_secs(1)));
        fleet.simulation.handle().restart(host);
        let late = u64::try_from(start).expect("a small number") * 10;
        fleet.wait(Duration::from_millis(1_155 + late));
        let before = engine.arrivals().len();
        let request = ClientRequest::plain(&format!("late-{start}"), "fetch");
        ask(&mut fleet, number, &request);
        assert_eq!(engine.arrivals().len(), before, "start {start}");
        fleet.store.set_mode(StoreMode::Up);
        fleet.wait(Duration::from_secs(3));
    }
}

/// An entry in the directory and the daemons' own words agree on nothing here: only an answer shows that the limit has ended.
#[test]
fn a_limit_ends_when_answers_no_longer_name_it() {
    let mut fleet = fleet_of(9, 3);
    let engine = fleet.records[0].clone();
    engine.limit_rate(&[RATE_TEXT]);
    ask_all(&mut fleet, "limited", Load::plain(Duration::from_secs(5)));
    engine.limit_rate(&[]);
    let lifted = virtual_now(&mut fleet);
    let statuses = ask_all(&mut fleet, "lifted", Load::plain(Duration::from_secs(5)));
    assert_eq!(refused(&statuses), 0);
    let reached = arrivals_since(&engine, lifted + SETTLED);
    assert!(
        reached > 100,
        "it gets requests as the others do: {reached}"
    );
}

#[test]
fn a_rate_of_nothing_lets_a_request_in_ten_seconds_through() {
    let mut fleet = fleet_of(3, 1);
    let engine = fleet.records[0].clone();
    engine.limit_rate(&["0"]);
    ask_all(&mut fleet, "first", Load::plain(Duration::from_secs(1)));
    let since = virtual_now(&mut fleet);
    let statuses = ask_all(&mut fleet, "later", Load::plain(Duration::from_secs(12)));
    assert_eq!(refused(&statuses), 0);
    let reached = arrivals_since(&engine, since);
    assert!((1..=2).contains(&reached), "{reached}");
}

#[test]
fn what_is_no_rate_is_passed_over_and_of_several_the_lowest_holds() {
    let mut fleet = fleet_of(1, 1);
    let engine = fleet.records[0].clone();
    engine.limit_rate(&["", "soon", "-1", "NaN", "inf", "1,5"]);
    let since = virtual_now(&mut fleet);
    ask_all(&mut fleet, "odd", Load::plain(Duration::from_secs(2)));
    let reached = arrivals_since(&engine, since);
    assert!(reached > 100, "none of it limits it: {reached}");
    engine.limit_rate(&["40", "2", "many"]);
    ask_all(&mut fleet, "several", Load::plain(Duration::from_secs(1)));
    let since = virtual_now(&mut fleet);
    ask_all(&mut fleet, "lowest", Load::plain(Duration::from_secs(5)));
    let reached = arrivals_since(&engine, since);
    assert!(reached <= 12, "{reached}");
}

/// All back ends set a limit. Who can be in time waits for its turn; the others are refused at once and told when to come back.
#[test]
fn callers_wait_for_their_turn_or_are_refused_at_once_where_all_back_ends_set_limits() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 3,
        records: 4,
        ..FleetOptions::default()
    });
    let engines = fleet.records.clone();
    for engine in &engines {
        engine.limit_rate(&["20"]);
    }
    let load = Load {
        per_second: 200,
        ..Load::plain(Duration::from_secs(8))
    };
    ask_all(
        &mut fleet,
        "first",
        Load {
            time: SETTLED,
            ..load
        },
    );
    let since = virtual_now(&mut fleet);
    let statuses = ask_all(&mut fleet, "all", load);
    let served = statuses.len() - refused(&statuses);
    let could_serve = 4.0 * 20.0 * load.time.as_secs_f64();
    assert!(
        served as f64 >= 0.8 * could_serve,
        "{served} of {could_serve} are served"
    );
    for engine in &engines {
        let most = most_in_window(engine, since);
        assert!(most as f64 <= allowed(20.0), "{most}");
    }
    let refusals: Vec<(Answer, Duration)> = (0..20)
        .map(|number| {
            ask(
                &mut fleet,
                0,
                &ClientRequest::plain(&format!("r-{number}"), "fetch"),
            )
        })
        .filter(|(answer, _took)| answer.status == StatusCode::SERVICE_UNAVAILABLE)
        .collect();
    for (answer, took) in refusals {
        assert!(took < Duration::from_millis(50), "at once: {took:?}");
        assert!(answer.retry_after_s().is_some(), "when to come back");
    }
}

/// What a decode engine says while a prompt is read for it.
#[derive(Debug, Clone, Copy)]
enum Word {
    Leaves,
    BacksOff,
    TakesNothing,
}

/// Reading a prompt takes long. Meanwhile the only engine that could go on with it says in an answer to another request that it takes no more.
/// The request was placed before, so that only the last check before the send can hold it back.
#[test]
fn a_request_that_waited_since_its_engine_was_chosen_is_checked_again_before_it_leaves() {
    for word in [Word::Leaves, Word::BacksOff, Word::TakesNothing] {
        let mut fleet = Fleet::new(FleetOptions {
            decode: 1,
            ..FleetOptions::default()
        });
        let engine = fleet.decode[0].clone();
        let (client, target) = (fleet.client.clone(), fleet.daemons[0].callers_address);
        let told = engine.clone();
        let (long, short) = fleet.run(async move {
            let mut request = ClientRequest::prompt("long", "verdict", 0, 12_000);
            request.deadline_ms = 10_000;
            let short = async {
                sleep(Duration::from_millis(100)).await;
                match word {
                    Word::Leaves => told.say_leaving(),
                    Word::BacksOff => {
                        told.behave_next(&[Behaviour::Refuse]);
                        told.ask_for_rest(&["5"]);
                    }
                    Word::TakesNothing => told.limit_rate(&["0"]),
                }
                let request = ClientRequest::prompt("short", "tag", 0, 20);
                client.ask(target, &request).await
            };
            tokio::join!(client.ask(target, &request), short)
        });
        assert!(short.is_some(), "it brought the engine's word");
        let long = long.expect("a response, not a closed connection");
        assert_eq!(long.status, StatusCode::SERVICE_UNAVAILABLE, "{word:?}");
        let reached: Vec<String> = engine
            .arrivals()
            .into_iter()
            .map(|arrival| arrival.request)
            .collect();
        assert!(
            !reached.iter().any(|id| id.starts_with("long")),
            "{word:?}: {reached:?}"
        );
    }
}

/// Daemons freeze and wake while a back end sets a limit: nothing is saved up meanwhile, and what they missed they are told.
#[test]
fn a_back_end_gets_no_more_than_it_takes_while_daemons_freeze_and_wake() {
    let mut fleet = fleet_of(9, 3);
    let engine = fleet.records[0].clone();
    engine.limit_rate(&[RATE_TEXT]);
    let begun = virtual_now(&mut fleet);
    let handle = fleet.simulation.handle();
    let hosts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.host).collect();
    for frozen in hosts.chunks(3) {
        let load = Load::plain(Duration::from_secs(2));
        for host in frozen {
            handle.freeze(*host);
        }
        fleet.wait(Duration::from_millis(1_500));
        for host in frozen {
            handle.thaw(*host);
        }
        ask_all(&mut fleet, &format!("thawed-{frozen:?}"), load);
    }
    let most = most_in_window(&engine, begun + SETTLED);
    assert!(most as f64 <= allowed(RATE), "{most}");
}

/// Two halves of the daemons do not hear each other, and only one of them hears the store. It takes the others for gone, who go on with what they
/// know: both sides together must not send twice what the back end takes.
#[test]
fn two_halves_that_do_not_hear_each_other_do_not_both_take_the_whole() {
    let mut fleet = fleet_of(9, 2);
    let engine = fleet.records[0].clone();
    engine.limit_rate(&[RATE_TEXT]);
    let begun = virtual_now(&mut fleet);
    ask_all(&mut fleet, "whole", Load::plain(Duration::from_secs(4)));
    // All that share the limit are of the engine's zone, which the daemons with even numbers are of.
    let numbered = fleet.daemons.iter().enumerate();
    let (cut_off, rest): (Vec<_>, Vec<_>) = numbered.partition(|(number, _)| number % 2 == 0);
    let hosts = |daemons: Vec<(usize, &DaemonHost)>| {
        let hosts = daemons.into_iter().map(|(_, daemon)| daemon.host);
        hosts.collect::<Vec<HostId>>()
    };
    let (cut_off, mut rest) = (hosts(cut_off), hosts(rest));
    rest.push(fleet.store_host);
    fleet.simulation.handle().partition(&cut_off, &rest);
    ask_all(&mut fleet, "halves", Load::plain(Duration::from_secs(20)));
    let most = most_in_window(&engine, begun + SETTLED);
    assert!(most as f64 <= allowed(RATE), "{most}");
}
