//! Requests that are sent to daemons at set times, beside faults.

#![allow(dead_code, reason = "each test file uses only a part of it")]

use std::time::Duration;

use http::{StatusCode, header};
use ponddrift_platform_stand_ins::{Answer, ClientRequest};
use tokio::time::{Instant, sleep_until};

use super::Fleet;

/// A request and when it is sent, to which daemon.
pub struct Sent {
    pub after: Duration,
    pub daemon: usize,
    pub request: ClientRequest,
}

impl Sent {
    pub fn at_start(daemon: usize, request: ClientRequest) -> Self {
        Self {
            after: Duration::ZERO,
            daemon,
            request,
        }
    }
}

/// A request and the answer that its caller got; `None` if the connection was closed without one.
pub struct Answered {
    pub request: ClientRequest,
    pub answer: Option<Answer>,
    pub took: Duration,
}

impl Answered {
    pub fn is_served(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.status == StatusCode::OK && answer.is_complete)
    }

    /// Whether it was refused with the time at which to come back.
    pub fn is_refused(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| {
            answer.status == StatusCode::SERVICE_UNAVAILABLE
                && answer.headers.contains_key(header::RETRY_AFTER)
        })
    }

    /// How it ended, for the message of a failed test.
    pub fn end(&self) -> String {
        let id = &self.request.id;
        match &self.answer {
            None => format!("{id}: closed"),
            Some(answer) if !answer.is_complete => format!("{id}: {} cut", answer.status),
            Some(answer) => format!("{id}: {} {}", answer.status, answer.text()),
        }
    }
}

/// One request of each route to each daemon at each `interval` for `time`.
pub fn requests_of_each_route(
    daemons: usize,
    from: Duration,
    time: Duration,
    interval: Duration,
) -> Vec<Sent> {
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
        after += interval;
    }
    requests
}

/// Sends the requests while `faults` runs, and waits for all answers.
pub fn send_beside(
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

pub fn earn_retries(fleet: &mut Fleet, daemons: usize) {
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

pub fn assert_all_served(answered: &[Answered], case: &str) {
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
