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
use ponddrift_platform_stand_ins::{ClientRequest, EngineStandIn};
use support::{Fleet, Size};
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

/// What each daemon is asked: requests of one kind, this far apart, for so long.
#[derive(Clone, Copy)]
struct Load {
    route: &'static str,
    pause: Duration,
    time: Duration,
}

impl Load {
    /// Plain requests, 16 a second to each daemon.
    const fn plain(time: Duration) -> Self {
        Self {
            route: "fetch",
            pause: Duration::from_millis(60),
            time,
        }
    }

    /// Prompts that share nothing, as often.
    const fn prompts(time: Duration) -> Self {
        Self {
            route: "tag",
            ..Self::plain(time)
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
    let targets: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let name = name.to_owned();
    fleet.run(async move {
        let rounds = u32::try_from(load.time.as_millis() / load.pause.as_millis()).expect("few");
        let mut asked = Vec::new();
        for (daemon, target) in (0..).zip(targets.iter().copied()) {
            // Daemons are not asked at one moment.
            let offset = load.pause * daemon / u32::try_from(targets.len()).expect("few");
            for round in 0..rounds {
                let client = client.clone();
                let request = load.request(&format!("{name}-{round}-{daemon}"));
                asked.push(async move {
                    sleep(offset + load.pause * round).await;
                    let answer = client.ask(target, &request).await;
                    answer.expect("never a bare close").status
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
    Fleet::new(Size {
        daemons,
        zones,
        records: 6,
        prefill: 2,
        decode: 6,
        ..Size::default()
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
    let load = Load {
        pause: Duration::from_millis(600),
        ..Load::plain(Duration::from_secs(11))
    };
    check_limit(&mut fleet, &engine, load);
}
