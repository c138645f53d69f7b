//! One send to one back end, up to the answer's head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::{Outcome, Results};
use ponddrift_fleet::placement::Urgency;
use ponddrift_http::body;

use super::Pipeline;
use super::announcements::AnswerOrigin;
use super::job::Job;
use super::wait_policy::WaitPolicy;
use crate::connections::{ExchangeError, NotSent, Reply, Reuse};
use crate::dialect::{SendFacts, SendStep};
use crate::request_trace::{Step, milliseconds};
use crate::time::now;

/// Rank of everything that generates.
const GENERATING_RANK: u8 = 0;
/// Ranks by which a request that will be late stands behind those that can be in time.
const LATE_RANKS: u8 = 5;
/// Ranks by which a request beyond its tenant's fair share stands behind those of other tenants. It is placed as any other:
/// where nobody else waits, it loses nothing.
const YIELDING_RANKS: u8 = 3;
/// A back end that refused a request gets nothing new for this long, while others can be asked.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// The same for one that is another than the directory says, or has another stage: the directory lags.
const ANOTHER_PAUSE: Duration = Duration::from_millis(800);

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

/// One send, and how long it may take.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendOrder<'a> {
    /// What is to be done.
    pub(super) step: SendStep<'a>,
    /// The stream goes on after this event.
    pub(super) resume_after: Option<u64>,
    /// Engine from which the prompt's head is fetched.
    pub(super) fetch_from: Option<SocketAddr>,
    /// When it is given up.
    pub(super) wait_policy: WaitPolicy,
}

impl<'a> SendOrder<'a> {
    pub(super) const fn new(step: SendStep<'a>, wait_policy: WaitPolicy) -> Self {
        Self {
            step,
            resume_after: None,
            fetch_from: None,
            wait_policy,
        }
    }
}

/// An answer's head as it was judged.
struct Judged {
    end: HeadEnd,
    outcome: Option<Outcome>,
    status: Option<u16>,
    /// Whether the back end most likely ran the request, though its answer is of no use.
    has_run: bool,
}

impl Judged {
    const fn new(end: HeadEnd, outcome: Option<Outcome>) -> Self {
        Self {
            end,
            outcome,
            status: None,
            has_run: false,
        }
    }
}

impl Pipeline {
    /// Sends the request and waits for the head of its answer.
    pub(super) async fn send(
        self: &Arc<Self>,
        job: &mut Job,
        back_end: &Arc<BackEnd>,
        order: SendOrder<'_>,
    ) -> HeadEnd {
        let facts = SendFacts {
            back_end: &back_end.id,
            time_left: job.time_left(),
            tenant: job.tenant.as_ref().map(|tenant| &*tenant.name),
            priority: rank_at(order.step, job.priority(), ranks_behind(job)),
            step: order.step,
            resume_after: order.resume_after,
            fetch_from: order.fetch_from,
        };
        let Some(request) = self.build(job, &facts) else {
            return HeadEnd::NotSent("request_not_writable");
        };
        let permit = match self.permit_request(back_end) {
            Ok(permit) => permit,
            Err(reason) => return self.not_sent(job, back_end, order.step, reason),
        };
        let most = self.connection_share(job.service.maximum_connections);
        let begun = now();
        self.placement().link.record_send(job.body.len(), begun);
        let reuse = if job.met_silence {
            Reuse::Never
        } else {
            Reuse::Idle
        };
        let exchange = self
            .connections
            .exchange(permit, back_end.address, most, reuse, request);
        let answer = self
            .wait_for(
                exchange,
                back_end,
                &job.service.health_path,
                order.wait_policy,
            )
            .await;
        let judged = match answer {
            Err(wait_end) => {
                job.met_silence = true;
                Judged::new(HeadEnd::Unsure(wait_end.name()), wait_end.outcome())
            }
            Ok(Err(error)) => judge_error(&error),
            Ok(Ok(reply)) => self.judge(job, back_end, order.step, reply, begun),
        };
        match &judged.end {
            HeadEnd::Answered(_) => {
                let announcements = &mut self.placement().announcements;
                announcements.took_request(back_end, now());
            }
            HeadEnd::NotRun(_) => self.leave_alone(back_end, judged.status),
            HeadEnd::NotSent(_) | HeadEnd::Unsure(_) => {}
        }
        if let Some(outcome) = judged.outcome {
            self.note_outcome(back_end, &job.service.health_path, outcome);
        }
        if matches!(judged.end, HeadEnd::Unsure(_)) {
            self.run_was_cut(job, back_end, judged.outcome, begun).await;
        }
        if let HeadEnd::NotSent(name) | HeadEnd::NotRun(name) | HeadEnd::Unsure(name) = &judged.end
        {
            self.attempt_ended(
                job,
                Step::Ended {
                    purpose: purpose(order.step),
                    back_end: Arc::clone(&back_end.id),
                    outcome: name,
                    status: judged.status,
                    took: now().saturating_duration_since(begun),
                },
            );
        }
        self.count(job, &judged.end, order.step);
        if judged.has_run && !matches!(order.step, SendStep::Prefill) {
            self.note_run(job);
        }
        judged.end
    }

    /// Notes a send that was not made.
    fn not_sent(
        &self,
        job: &mut Job,
        back_end: &BackEnd,
        step: SendStep<'_>,
        reason: &'static str,
    ) -> HeadEnd {
        self.attempt_ended(
            job,
            Step::Ended {
                purpose: purpose(step),
                back_end: Arc::clone(&back_end.id),
                outcome: reason,
                status: None,
                took: Duration::ZERO,
            },
        );
        HeadEnd::NotSent(reason)
    }

    /// Notes the end of a send.
    pub(super) fn attempt_ended(&self, job: &mut Job, step: Step) {
        if let Step::Ended {
            purpose, outcome, ..
        } = &step
        {
            self.metrics.attempt(purpose, outcome);
        }
        job.trace.add(step);
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

    fn judge(
        &self,
        job: &Job,
        back_end: &Arc<BackEnd>,
        step: SendStep<'_>,
        reply: Reply,
        sent: Instant,
    ) -> Judged {
        let (head, body) = reply.response.into_parts();
        let facts = self.dialect.read_answer(&head, &job.id);
        let status = Some(head.status.as_u16());
        // Another back end that took over the address says so with this status, and speaks for itself.
        let is_another = head.status == StatusCode::MISDIRECTED_REQUEST;
        if facts.belongs && !is_another {
            let origin = AnswerOrigin::request(purpose(step), sent, !facts.not_run);
            self.note_announcement(back_end, head.status, &head.headers, origin);
        }
        let is_for_caller = !matches!(step, SendStep::Prefill);
        let is_success = head.status.is_success();
        let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
        let (end, outcome) = if !facts.belongs {
            let end = HeadEnd::Unsure("answer_to_another_request");
            (end, Some(Outcome::Broken))
        } else if facts.not_run {
            (HeadEnd::NotRun("back_end_refused"), None)
        } else if is_encoded {
            (HeadEnd::Unsure("answer_encoded"), Some(Outcome::Broken))
        } else if is_for_caller && is_success && !facts.signed {
            (HeadEnd::Unsure("answer_unsigned"), Some(Outcome::Broken))
        } else {
            let reply = Reply {
                response: http::Response::from_parts(head, body),
                connection: reply.connection,
            };
            (HeadEnd::Answered(reply), None)
        };
        Judged {
            has_run: matches!(end, HeadEnd::Unsure(_)),
            end,
            outcome,
            status,
        }
    }

    /// Counts a request that began to run for its tenant.
    pub(super) fn note_run(&self, job: &Job) {
        if let (Some(usage), Some(tenant)) = (&self.usage, &job.tenant) {
            usage.began(&tenant.name);
        }
    }

    /// A back end that refuses is full, changes, or is not what it was taken for: others are asked for a moment.
    fn leave_alone(&self, back_end: &BackEnd, status: Option<u16>) {
        let is_another = status == Some(StatusCode::MISDIRECTED_REQUEST.as_u16());
        let time = if is_another {
            ANOTHER_PAUSE
        } else {
            REFUSED_PAUSE
        };
        self.placement()
            .suspend_engine(back_end, time, false, now());
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
            self.ejected(back_end, health_path, pause, "own_requests");
        }
    }

    /// Results of another daemon of the zone.
    pub fn receive_results(self: &Arc<Self>, back_end: &Arc<BackEnd>, results: Results) {
        let pause = self
            .placement()
            .health
            .receive(&back_end.id, results, now());
        if let Some(pause) = pause
            && let Some(health_path) = self.health_path(back_end)
        {
            self.ejected(back_end, &health_path, pause, "requests_of_the_zone");
        }
    }

    fn ejected(
        self: &Arc<Self>,
        back_end: &Arc<BackEnd>,
        health_path: &Arc<str>,
        pause: Duration,
        evidence: &'static str,
    ) {
        self.metrics.ejected();
        tracing::warn!(
            back_end = &*back_end.id,
            evidence,
            pause_ms = milliseconds(pause),
            "back_end_ejected"
        );
        self.check_until_well(back_end, health_path, pause);
    }
}

/// Rank of a request at its engine. Where it generates, all have the same: one that a more urgent one displaces there
/// is read anew, in the time of everybody on that engine.
fn rank_at(step: SendStep<'_>, priority: u8, behind: u8) -> u8 {
    match step {
        SendStep::Prefill => priority.saturating_add(behind),
        SendStep::Serve => GENERATING_RANK + behind,
        SendStep::Continue { .. } => GENERATING_RANK,
    }
}

/// Ranks by which a request stands behind others at its engine.
fn ranks_behind(job: &Job) -> u8 {
    match job.urgency {
        Urgency::Late => LATE_RANKS,
        Urgency::InTime if job.yields => YIELDING_RANKS,
        Urgency::InTime => 0,
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

fn judge_error(error: &ExchangeError) -> Judged {
    match error {
        ExchangeError::NotSent(NotSent::Unreachable) => {
            Judged::new(HeadEnd::NotSent("unreachable"), Some(Outcome::Unreachable))
        }
        ExchangeError::NotSent(NotSent::Exhausted) => {
            Judged::new(HeadEnd::NotSent("connections_in_use"), None)
        }
        ExchangeError::Broken(_error) => Judged {
            has_run: true,
            ..Judged::new(HeadEnd::Unsure("connection_broke"), Some(Outcome::Broken))
        },
    }
}
