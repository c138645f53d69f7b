//! The check, after the faults, that all requests are served when the back ends of a service are
//! silent for a short time.

use std::time::Duration;

use eyre::Result;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, ClientStandIn};
use rand::RngExt;
use rustix::process::Signal;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::{Soak, TERMINATION_GRACE};
use crate::checks::Violation;
use crate::checks::silences::is_served;
use crate::platform::EngineMember;
use crate::silences::Silencer;

/// Duration of each silence.
const SILENCE_DURATION: Duration = Duration::from_secs(1);
/// Time that the callers give each request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time that a caller waits after the deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Part of the requests, one in this many, that are sent before the silence begins.
const SENT_BEFORE_DIVISOR: usize = 2;
/// Time between the first requests and the silence: streams have begun then and last longer.
const LEAD_TIME: Duration = Duration::from_millis(150);
/// Number of requests for each silence, no more than the back ends' slots, if there are fewer daemons.
const MIN_REQUESTS: usize = 24;
/// Events of a stream, and the time between them in milliseconds.
const STREAM_EVENTS: u64 = 25;
const STREAM_GAP_MS: u64 = 20;
/// Time between two silences.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// What happens during a silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occasion {
    Steady,
    ConfigurationChange,
    PlannedStop,
}

const OCCASIONS: [Occasion; 3] = [
    Occasion::Steady,
    Occasion::ConfigurationChange,
    Occasion::PlannedStop,
];

/// The outcome of a request: `None` if it was served, otherwise what was seen.
type Outcome = JoinHandle<Option<String>>;

impl Soak {
    /// Checks for each service and occasion that all requests are served when all back ends of the
    /// service are silent.
    pub(super) async fn check_silences(&mut self) -> Result<()> {
        let Some(mut silencer) = self.silencer.take() else {
            return Ok(());
        };
        let restorer = self.restorer.take();
        let rate_limiter = self.rate_limiter.take();
        let path_cutter = self.path_cutter.take();
        for occasion in OCCASIONS {
            for is_model in [false, true] {
                self.check_silence(occasion, is_model, &mut silencer)
                    .await?;
            }
        }
        self.silencer = Some(silencer);
        self.restorer = restorer;
        self.rate_limiter = rate_limiter;
        self.path_cutter = path_cutter;
        Ok(())
    }

    async fn check_silence(
        &mut self,
        occasion: Occasion,
        is_model: bool,
        silencer: &mut Silencer,
    ) -> Result<()> {
        self.set_stream_length(Some(STREAM_EVENTS));
        let stopped = self.random.random_range(0..self.daemons.len());
        let requests = self.silence_requests(occasion, is_model);
        let before = requests.len() / SENT_BEFORE_DIVISOR;
        let mut outcomes = Vec::new();
        for request in &requests[..before] {
            outcomes.push(self.send(request));
        }
        sleep(LEAD_TIME).await;
        let silenced: Vec<&EngineMember> = self
            .platform
            .members
            .iter()
            .filter(|member| member.engine.is_model_engine() == is_model)
            .collect();
        silencer.silence(&silenced, SILENCE_DURATION);
        let pause = SILENCE_DURATION / u32::try_from(requests.len() - before + 1)?;
        let middle = before + (requests.len() - before) / 2;
        for (number, request) in requests.iter().enumerate().skip(before) {
            if number == middle {
                self.begin(occasion, stopped)?;
            }
            let is_stopping = occasion == Occasion::PlannedStop && number >= middle;
            // Callers stop sending to a daemon that announces its stop.
            if !is_stopping || request.daemon != stopped {
                outcomes.push(self.send(request));
            }
            sleep(pause).await;
        }
        let mut unserved = Vec::new();
        for outcome in outcomes {
            unserved.extend(outcome.await?);
        }
        self.set_stream_length(None);
        if !unserved.is_empty() {
            self.violations.push(Violation {
                rule: "requests are served in spite of a short silence of all back ends",
                observed: format!(
                    "{occasion:?}: {} of {} unserved: {unserved:#?}",
                    unserved.len(),
                    requests.len()
                ),
            });
        }
        let recovery = match occasion {
            Occasion::PlannedStop => TERMINATION_GRACE,
            Occasion::Steady | Occasion::ConfigurationChange => RECOVERY_TIME,
        };
        self.run_until_ready(recovery).await
    }

    fn begin(&mut self, occasion: Occasion, stopped: usize) -> Result<()> {
        match occasion {
            Occasion::Steady => {}
            Occasion::ConfigurationChange => {
                let has_toggled_route = !self.platform.has_toggled_route;
                self.platform.configure(has_toggled_route);
            }
            Occasion::PlannedStop => {
                self.mark_disturbed(stopped, TERMINATION_GRACE);
                self.daemons[stopped].signal(Signal::TERM)?;
            }
        }
        Ok(())
    }

    fn set_stream_length(&self, events: Option<u64>) {
        for member in &self.platform.members {
            match events {
                Some(events) if member.engine.is_model_engine() => {
                    member.engine.set_default_behaviour(Behaviour::Stream {
                        events,
                        gap_ms: STREAM_GAP_MS,
                    });
                }
                _ => member.engine.clear_behaviours(),
            }
        }
    }

    /// Requests to all daemons in turn, of all kinds for the service.
    fn silence_requests(&self, occasion: Occasion, is_model: bool) -> Vec<AddressedRequest> {
        let daemons = self.daemons.len();
        let count = daemons.max(MIN_REQUESTS);
        (0..count)
            .map(|number| {
                let daemon = number % daemons;
                // Each daemon gets both kinds, if it gets more than one request.
                let is_first_kind = (number / daemons + daemon).is_multiple_of(2);
                let id = format!("silent-{occasion:?}-{is_model}-{number}");
                let request = match (is_model, is_first_kind) {
                    (false, true) => ClientRequest::plain(&id, "post"),
                    (false, false) => ClientRequest::plain(&id, "fetch"),
                    (true, true) => ClientRequest::prompt(&id, "tag", 40, 200),
                    (true, false) => ClientRequest::prompt(&id, "verdict", 40, 200),
                };
                let deadline = u64::try_from(REQUEST_DEADLINE.as_millis()).unwrap_or(u64::MAX);
                AddressedRequest {
                    daemon,
                    request: ClientRequest {
                        deadline_ms: deadline,
                        body: format!("question of {id}"),
                        ..request
                    },
                }
            })
            .collect()
    }

    fn send(&self, request: &AddressedRequest) -> Outcome {
        let daemon = &self.daemons[request.daemon];
        let (name, address) = (daemon.name.clone(), daemon.caller_address);
        let (client, request) = (self.client.clone(), request.request.clone());
        tokio::spawn(async move {
            let unserved = find_unserved(&client, address, &request).await?;
            Some(format!(
                "{} ({}) at {name}: {unserved}",
                request.id, request.route
            ))
        })
    }
}

/// A request and the index of the daemon that it is sent to.
struct AddressedRequest {
    daemon: usize,
    request: ClientRequest,
}

/// Sends a request; `None` if it was served, otherwise what was seen.
async fn find_unserved(
    client: &ClientStandIn,
    daemon: std::net::SocketAddr,
    request: &ClientRequest,
) -> Option<String> {
    let response = client.ask(daemon, request);
    let Ok(answer) = timeout(REQUEST_DEADLINE + ANSWER_GRACE, response).await else {
        return Some(String::from("no answer in time"));
    };
    let Some(answer) = answer else {
        return Some(String::from("closed connection"));
    };
    let text = answer.text();
    if !is_served(&answer) {
        return Some(format!("{} {text}", answer.status));
    }
    let is_whole = if request.prompt.is_some() {
        text.ends_with(&format!("data: piece {STREAM_EVENTS}\n\n"))
    } else {
        text.ends_with(&format!(" to {}", request.id))
    };
    (!is_whole).then(|| format!("incomplete answer {text}"))
}
