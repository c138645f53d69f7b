//! Prefills a prompt on a separate prefill engine.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{PrefixState, PrefixUse, PromptPlan, PromptReading, PromptTime};
use ponddrift_fleet::profiles::WorkKind;
use ponddrift_fleet::prompt::Prompt;

use super::Pipeline;
use super::attempt::{SendEnd, SendOptions};
use super::guards::{KvCacheHandle, LoadGuard};
use super::job::Job;
use super::plain::read_complete;
use super::quarantining::RunProgress;
use super::wait_policy::{Release, WaitPolicy};
use crate::dialect::SendStep;
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::{self, now};

/// A prefill engine's health is checked after this multiple of the expected time, plus
/// [`HEALTH_CHECK_MARGIN`].
const HEALTH_CHECK_FACTOR: f64 = 1.5;
/// Added to the expected time before a health check.
const HEALTH_CHECK_MARGIN: Duration = Duration::from_millis(150);

/// Maximum share of the latency target that a request waits for another request to prefill the
/// shared prefix.
const MAX_PREFIX_WAIT_SHARE: f64 = 0.6;

impl Pipeline {
    /// Prefills the prompt on `engine`. Returns `None` if that fails; the request has not run then.
    pub(super) async fn prefill(
        self: &Arc<Self>,
        job: &mut Job,
        engine: &Arc<BackEnd>,
        plan: &PromptPlan,
    ) -> Option<KvCacheHandle> {
        let tokens_to_read = plan.tokens_to_read;
        let expected_ms = self.expected_prefill_ms(engine, tokens_to_read);
        let before = self.placement().load.outstanding(&engine.id);
        let engine_was_idle = before.requests < 0.5;
        self.note_prefix(job, engine, PrefixState::Pending);
        let _load = LoadGuard::new(self, engine, tokens_to_read, job.urgency);
        let expected = Duration::from_secs_f64(expected_ms / 1000.0);
        let health_check_after = expected.mul_f64(HEALTH_CHECK_FACTOR) + HEALTH_CHECK_MARGIN;
        let wait_policy =
            WaitPolicy::new(job, Release::WithBackEnd, None, Some(health_check_after));
        let started_at = now();
        let options = SendOptions {
            fetch_from: plan
                .fetch_from
                .as_ref()
                .map(|cache_source| cache_source.address),
            ..SendOptions::new(SendStep::Prefill, wait_policy)
        };
        let end = self.send(job, engine, options).await;
        let SendEnd::Answered(reply) = end else {
            self.forget_prefix(job, engine);
            return None;
        };
        let is_direct = reply.connection.relay().is_none();
        let route = reply.connection.route();
        let memory = self.memory.reserve();
        let mut reading = read_complete(*reply, memory, wait_policy.deadline()).boxed();
        let waited = self
            .wait_for(&mut reading, job, engine, wait_policy, &route)
            .await;
        // Without an answer in time the result is as unusable as one that broke off.
        let answer = waited.ok().flatten();
        let took = now().saturating_duration_since(started_at);
        let status = answer.as_ref().map(|answer| answer.head.status);
        let result = answer
            .filter(|answer| answer.head.status == StatusCode::OK)
            .and_then(|answer| self.dialect.read_prefill(&answer.body));
        self.attempt_ended(
            job,
            TraceStep::AttemptEnded {
                purpose: "prefill",
                back_end: Arc::clone(&engine.id),
                outcome: if result.is_some() {
                    "prompt_read"
                } else {
                    "answer_unusable"
                },
                status: status.map(|status| status.as_u16()),
                took,
            },
        );
        let Some(result) = result else {
            let broken = Some(Outcome::Broken);
            let reading = RunProgress::Reading;
            self.check_lost_run(job, engine, broken, started_at, reading)
                .await;
            self.note_outcome(engine, &job.service.health_path, Outcome::Broken);
            self.forget_prefix(job, engine);
            return None;
        };
        self.note_outcome(engine, &job.service.health_path, Outcome::Success);
        let took_ms = milliseconds(took);
        let measured = (engine_was_idle && is_direct).then_some(PromptReading {
            tokens: tokens_to_read,
            took_ms: (took_ms - plan.fetch_ms).max(0.0),
        });
        self.note_prefix(job, engine, PrefixState::Cached);
        let mut placement = self.placement();
        if let Some(reading) = measured {
            let at_average = placement.at_average_engine(engine, reading, now());
            let speed = &mut placement.speed;
            speed.prompt_read(at_average);
            speed.record_engine_answer(&engine.id, expected_ms + plan.fetch_ms, took_ms, now());
        }
        if is_direct && before.requests_ahead(job.urgency) < f64::from(engine.slots) {
            let time = PromptTime {
                tokens: tokens_to_read,
                tokens_ahead: before.tokens_ahead(job.urgency),
                took_ms: took_ms - plan.fetch_ms,
            };
            placement.learn_prompt(engine, time, now());
        }
        drop(placement);
        let max_connections = self.connection_share(job.service.maximum_connections);
        Some(KvCacheHandle::new(
            self,
            engine.address,
            result.handle,
            max_connections,
        ))
    }

    fn expected_prefill_ms(&self, engine: &BackEnd, tokens: f64) -> f64 {
        let placement = self.placement();
        let waiting = placement.load.outstanding(&engine.id).prompt_tokens;
        let factor = placement.profiles.factor(engine, WorkKind::Prefill, now());
        (waiting + tokens) / placement.speed.prefill_tokens_per_ms() * factor
    }

    /// Waits while another request prefills the shared prefix, as long as this request may benefit
    /// from it.
    pub(super) async fn await_prefix(&self, job: &mut Job) {
        let started_at = now();
        self.wait_for_prefix(job).await;
        let waited = now().saturating_duration_since(started_at);
        if !waited.is_zero() {
            self.metrics.prefix_wait(waited);
            job.trace.add(TraceStep::PrefixAwaited { waited });
        }
    }

    async fn wait_for_prefix(&self, job: &Job) {
        let Some(prompt) = &job.metadata.prompt else {
            return;
        };
        let until = job.arrived + job.route.target_latency.mul_f64(MAX_PREFIX_WAIT_SHARE);
        loop {
            let changed = self.prefixes_changed.notified();
            let holders = self.prefix_holders(job);
            if now() >= until || !self.placement().is_prefix_pending(&holders, prompt, now()) {
                return;
            }
            // After a change as after the timeout, the condition is checked again.
            time::timeout_at(until, changed).await;
        }
    }

    /// Records that the engine is prefilling the prompt or has prefilled it, and so holds its
    /// shared prefix.
    pub(super) fn note_prefix(&self, job: &Job, engine: &BackEnd, state: PrefixState) {
        let Some(prompt) = &job.metadata.prompt else {
            return;
        };
        if let Some(usage) = PrefixUse::of(prompt, engine, state) {
            self.placement().prefixes.used(usage, now());
            self.notify_prefix_change();
            // Publish this to peers at once: they would prefill the same prefix again otherwise.
            self.heavy_work_changed.notify_one();
        } else if state == PrefixState::Cached {
            // Peers do not publish prompts without a shared prefix. Assume that each daemon sends
            // as many tokens as this one.
            let mut placement = self.placement();
            let daemons = u64::try_from(placement.daemons).unwrap_or(1);
            let tokens = u64::from(prompt.input_tokens) * daemons;
            placement
                .prefixes
                .record_inserted_tokens(&engine.id, tokens);
        }
    }

    /// Forgets the shared prefix after a failed prefill, because the contents of the engine's cache
    /// are unknown.
    fn forget_prefix(&self, job: &Job, engine: &BackEnd) {
        let head = job.metadata.prompt.as_ref().and_then(Prompt::shared_prefix);
        if let Some(head) = head {
            self.placement().prefixes.record_miss(&engine.id, head);
            self.notify_prefix_change();
        }
    }
}
