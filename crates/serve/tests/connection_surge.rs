//! Most new connections come to one daemon while the others have room.

mod support;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour, ClientRequest};
use support::{Fleet, FleetOptions};
use tokio::time::{Instant, sleep_until};

/// `limits.requests_in_progress` of each daemon.
const MAX_REQUESTS: usize = 20;
/// Time between two requests of all clients together.
const INTERVAL: Duration = Duration::from_millis(20);
/// When the surge begins.
const SURGE_STARTS: Duration = Duration::from_secs(4);
/// When it ends.
const SURGE_ENDS: Duration = Duration::from_secs(12);
/// Time from its start until the daemon must have adapted.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);
/// One connection in this many goes to another daemon in the surge.
const ELSEWHERE: usize = 8;

/// What a client got from its first daemon, and from the next one if that closed unread.
struct Asked {
    at: Duration,
    first: Option<Answer>,
    second: Option<Answer>,
}

impl Asked {
    fn is_served(answer: Option<&Answer>) -> bool {
        answer.is_some_and(|answer| answer.status == StatusCode::OK && answer.is_complete)
    }

    /// Whether the request was served at the first attempt that a daemon has read.
    fn is_served_when_read(&self) -> bool {
        let read = self.first.as_ref().or(self.second.as_ref());
        Self::is_served(read)
    }
}

fn share_served(asked: &[Asked], from: Duration, to: Duration) -> f64 {
    let asked = asked
        .iter()
        .filter(|asked| asked.at >= from && asked.at < to);
    let asked: Vec<&Asked> = asked.collect();
    let served = asked.iter().filter(|asked| asked.is_served_when_read());
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let share = served.count() as f64 / asked.len() as f64;
    share
}

#[test]
fn requests_that_are_read_are_served_while_most_new_connections_come_to_one_daemon() {
    let mut fleet = Fleet::new(FleetOptions {
        daemons: 4,
        prefill: 0,
        decode: 8,
        max_requests: MAX_REQUESTS,
        ..FleetOptions::default()
    });
    for engine in &fleet.decode {
        engine.set_default_behaviour(Behaviour::Stream {
            events: 10,
            gap_ms: 60,
        });
    }
    let targets: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.callers_address)
        .collect();
    let client = fleet.client.clone();
    let asked = fleet.run(async move {
        let start = Instant::now();
        let mut calls = Vec::new();
        let mut at = Duration::ZERO;
        while at < SURGE_ENDS {
            let number = calls.len();
            let is_surge = at >= SURGE_STARTS && number % ELSEWHERE != 0;
            let target = if is_surge { 0 } else { number % targets.len() };
            let (first, next) = (targets[target], targets[(target + 1 + number % 3) % 4]);
            let client = client.clone();
            calls.push(async move {
                sleep_until(start + at).await;
                let request = ClientRequest {
                    deadline_ms: 3_000,
                    ..ClientRequest::prompt(&format!("{number}-0"), "tag", 40, 200)
                };
                let first = client.ask(first, &request).await;
                let second = match &first {
                    Some(_read) => None,
                    None => {
                        let id = format!("{number}-1");
                        client.ask(next, &ClientRequest { id, ..request }).await
                    }
                };
                Asked { at, first, second }
            });
            at += INTERVAL;
        }
        join_all(calls).await
    });
    let before = share_served(&asked, Duration::ZERO, SURGE_STARTS);
    let during = share_served(&asked, SURGE_STARTS + ADAPTATION_TIME, SURGE_ENDS);
    assert!(before > 0.99, "{before:.3} served before");
    assert!(
        during >= 0.95 * before,
        "served: {before:.3} before, {during:.3} while most new connections come to one daemon"
    );
    let by_first = asked.iter().filter(|asked| asked.at >= SURGE_STARTS);
    let by_first = by_first.filter(|asked| Asked::is_served(asked.first.as_ref()));
    assert!(
        by_first.count() > 0,
        "the daemon goes on to take connections"
    );
}
