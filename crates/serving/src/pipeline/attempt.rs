//! One send to one back end, up to the answer's head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Request;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_http::body;

use super::Pipeline;
use super::job::Job;
use crate::connections::{ExchangeError, NotSent, Reply};
use crate::dialect::{SendFacts, SendStep};
use crate::follow::now;
use crate::trail::Step;

/// How a send ended, as far as the head.
pub(super) enum HeadEnd {
    /// The head of the answer to this request, from a back end that ran it.
    Answered(Reply),
    /// It did not arrive anywhere.
    NotSent(&'static str),
    /// A back end says that it did not run it.
    NotRun(&'static str),
    /// It may have run.
    Unsure(&'static str),
}

/// What only some sends bear.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SendExtra {
    /// The stream goes on after this event.
    pub(super) resume_after: Option<u64>,
    /// Engine from which the prompt's head is fetched.
    pub(super) fetch_from: Option<SocketAddr>,
}

impl Pipeline {
    /// Sends the request and waits for the head of its answer until `patience`.
    pub(super) async fn send(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        step: SendStep<'_>,
        extra: SendExtra,
        patience: Instant,
    ) -> HeadEnd {
        let facts = SendFacts {
            back_end: &back_end.id,
            time_left: job.time_left(),
            priority: job.route.priority,
            step,
            resume_after: extra.resume_after,
            fetch_from: extra.fetch_from,
        };
        let Some(request) = self.build(job, &facts) else {
            return HeadEnd::NotSent("request_not_writable");
        };
        let most = self.connection_share(job.service.maximum_connections);
        let begun = now();
        let exchange = self.connections.exchange(back_end.address, most, request);
        let wait = patience.saturating_duration_since(begun);
        let answer = tokio::time::timeout(wait, exchange).await;
        let (end, outcome, status) = match answer {
            Err(_elapsed) => (
                HeadEnd::Unsure("no_answer_in_time"),
                Some(Outcome::Silent),
                None,
            ),
            Ok(Err(ExchangeError::NotSent(NotSent::Unreachable))) => (
                HeadEnd::NotSent("unreachable"),
                Some(Outcome::Unreachable),
                None,
            ),
            Ok(Err(ExchangeError::NotSent(NotSent::Exhausted))) => {
                (HeadEnd::NotSent("connections_in_use"), None, None)
            }
            Ok(Err(ExchangeError::Broken(_error))) => (
                HeadEnd::Unsure("connection_broke"),
                Some(Outcome::Broken),
                None,
            ),
            Ok(Ok(reply)) => {
                let status = reply.response.status().as_u16();
                let (end, outcome) = self.judge(job, step, reply);
                (end, outcome, Some(status))
            }
        };
        let purpose = purpose(step);
        if let Some(outcome) = outcome {
            self.note_outcome(back_end, &job.service.health_path, outcome);
        }
        if !matches!(end, HeadEnd::Answered(_)) {
            let name = match &end {
                HeadEnd::Answered(_) => "answered",
                HeadEnd::NotSent(name) | HeadEnd::NotRun(name) | HeadEnd::Unsure(name) => name,
            };
            job.trail.add(Step::Ended {
                purpose,
                back_end: Arc::clone(&back_end.id),
                outcome: name,
                status,
                took: now().saturating_duration_since(begun),
            });
        }
        self.count(job, &end, step);
        end
    }

    /// Counts what arrived and what may have run.
    fn count(&self, job: &mut Job, end: &HeadEnd, step: SendStep<'_>) {
        let is_prefill = matches!(step, SendStep::Prefill);
        match end {
            HeadEnd::NotSent(_) => {}
            HeadEnd::NotRun(_) => job.arrivals += 1,
            // The reading of a prompt is no run, and its first taking up no arrival that counts.
            HeadEnd::Answered(_) | HeadEnd::Unsure(_) if is_prefill => job.prefills += 1,
            HeadEnd::Answered(_) | HeadEnd::Unsure(_) => {
                job.arrivals += 1;
                job.runs += 1;
            }
        }
    }

    fn judge(&self, job: &Job, step: SendStep<'_>, reply: Reply) -> (HeadEnd, Option<Outcome>) {
        let (head, body) = reply.response.into_parts();
        let facts = self.dialect.read_answer(&head, &job.id);
        if !facts.belongs {
            let end = HeadEnd::Unsure("answer_to_another_request");
            return (end, Some(Outcome::Broken));
        }
        if facts.not_run {
            return (HeadEnd::NotRun("back_end_refused"), None);
        }
        if head.headers.contains_key(http::header::CONTENT_ENCODING) {
            let end = HeadEnd::Unsure("answer_encoded");
            return (end, Some(Outcome::Broken));
        }
        let is_for_caller = !matches!(step, SendStep::Prefill);
        if is_for_caller && head.status.is_success() && !facts.signed {
            let end = HeadEnd::Unsure("answer_unsigned");
            return (end, Some(Outcome::Broken));
        }
        let reply = Reply {
            response: http::Response::from_parts(head, body),
            connection: reply.connection,
        };
        (HeadEnd::Answered(reply), None)
    }

    fn build(&self, job: &Job, facts: &SendFacts<'_>) -> Option<Request<body::Body>> {
        let path = job.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(job.method.clone())
            .uri(path)
            .body(if job.body.is_empty() {
                body::empty()
            } else {
                body::full(job.body.clone())
            })
            .ok()?;
        *request.headers_mut() = job.headers.clone();
        self.dialect.write_send(request.headers_mut(), facts);
        Some(request)
    }

    /// Notes how a request at a back end ended, and has it checked where that ejects it.
    pub(super) fn note_outcome(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        health_path: &Arc<str>,
        outcome: Outcome,
    ) {
        let pause = self.placement().health.record(&back_end.id, outcome, now());
        if let Some(pause) = pause {
            tracing::warn!(
                back_end = &*back_end.id,
                outcome = ?outcome,
                "back_end_ejected"
            );
            self.check_until_well(back_end, health_path, pause);
        }
    }
}

/// The step's name in logs.
pub(super) const fn purpose(step: SendStep<'_>) -> &'static str {
    match step {
        SendStep::Serve => "serve",
        SendStep::Prefill => "prefill",
        SendStep::Continue { .. } => "decode",
    }
}

/// When a send that may be repeated is given up for another: `share` of what is left, at least `least`.
pub(super) fn patience_until(job: &Job, patience: Option<Duration>) -> Instant {
    patience.map_or(job.end, |patience| (now() + patience).min(job.end))
}
