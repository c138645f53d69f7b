//! Has a prompt read by a prefill engine.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{PrefixState, PrefixUse, PromptPlan, PromptReading};
use ponddrift_fleet::prompt::Prompt;

use super::Pipeline;
use super::attempt::{HeadEnd, SendOrder};
use super::guards::{HeldHandle, LoadGuard};
use super::job::Job;
use super::wait_policy::WaitPolicy;
use crate::dialect::SendStep;
use crate::request_trace::{Step, milliseconds};
use crate::time::{self, now};

/// A prefill engine's health is asked for after this many times the expected time,
const SUSPICION_FACTOR: f64 = 1.5;
/// and this much more.
const SUSPICION_MORE: Duration = Duration::from_millis(150);

/// Share of a request's target for which it waits until its prompt's head has been read for another.
const HEAD_WAIT_SHARE: f64 = 0.6;

impl Pipeline {
    /// Has the prompt read; none if that fails, after which nothing has run.
    pub(super) async fn prefill(
        self: &Arc<Self>,
        job: &mut Job,
        engine: &Arc<BackEnd>,
        plan: &PromptPlan,
    ) -> Option<HeldHandle> {
        let tokens_to_read = plan.tokens_to_read;
        let expected_ms = self.expected_prefill_ms(engine, tokens_to_read);
        let was_alone = self.placement().load.requests(&engine.id) < 0.5;
        self.note_head(job, engine, PrefixState::Pending);
        let _load = LoadGuard::new(self, engine, tokens_to_read, job.urgency);
        let expected = Duration::from_secs_f64(expected_ms / 1000.0);
        let suspicious_after = expected.mul_f64(SUSPICION_FACTOR) + SUSPICION_MORE;
        let wait_policy = WaitPolicy::new(job, None, Some(suspicious_after));
        let begun = now();
        let order = SendOrder {
            fetch_from: plan.fetch_from.as_ref().map(|keeper| keeper.address),
            ..SendOrder::new(SendStep::Prefill, wait_policy)
        };
        let end = self.send(job, engine, order).await;
        let HeadEnd::Answered(reply) = end else {
            self.head_lost(job, engine);
            return None;
        };
        let answer = self.read_whole(reply, wait_policy.until).await;
        let took = now().saturating_duration_since(begun);
        let status = answer.as_ref().map(|answer| answer.head.status);
        let result = answer
            .filter(|answer| answer.head.status == StatusCode::OK)
            .and_then(|answer| self.dialect.read_prefill(&answer.body));
        self.attempt_ended(
            job,
            Step::Ended {
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
            let cut = Some(Outcome::Broken);
            self.run_was_cut(job, engine, cut, begun).await;
            self.note_outcome(engine, &job.service.health_path, Outcome::Broken);
            self.head_lost(job, engine);
            return None;
        };
        self.note_outcome(engine, &job.service.health_path, Outcome::Success);
        let took_ms = milliseconds(took);
        let read = was_alone.then_some(PromptReading {
            tokens: tokens_to_read,
            took_ms: (took_ms - plan.fetch_ms).max(0.0),
        });
        self.note_head(job, engine, PrefixState::Cached);
        if let Some(reading) = read {
            let speed = &mut self.placement().speed;
            speed.prompt_read(reading);
            speed.record_engine_answer(&engine.id, expected_ms + plan.fetch_ms, took_ms, now());
        }
        let most = self.connection_share(job.service.maximum_connections);
        Some(HeldHandle::new(self, engine.address, result.handle, most))
    }

    fn expected_prefill_ms(&self, engine: &BackEnd, tokens: f64) -> f64 {
        let placement = self.placement();
        let waiting = placement.load.outstanding(&engine.id).prompt_tokens;
        (waiting + tokens) / placement.speed.prefill_tokens_per_ms()
    }

    /// Waits while the prompt's head is read for another request, as long as that may help this one.
    pub(super) async fn await_head(&self, job: &mut Job) {
        let begun = now();
        self.head_has_come(job).await;
        let waited = now().saturating_duration_since(begun);
        if !waited.is_zero() {
            self.metrics.head_wait(waited);
            job.trace.add(Step::HeadAwaited { waited });
        }
    }

    async fn head_has_come(&self, job: &Job) {
        let Some(prompt) = &job.facts.prompt else {
            return;
        };
        let until = job.arrived + job.route.target_latency.mul_f64(HEAD_WAIT_SHARE);
        loop {
            let changed = self.heads_changed.notified();
            let holders = self.prefix_holders(job);
            if now() >= until || !self.placement().is_prefix_pending(&holders, prompt, now()) {
                return;
            }
            // Either way it is looked at anew.
            time::timeout_at(until, changed).await;
        }
    }

    /// The engine reads, or has read, the prompt: its head is kept there.
    pub(super) fn note_head(&self, job: &Job, engine: &BackEnd, state: PrefixState) {
        let Some(prompt) = &job.facts.prompt else {
            return;
        };
        if let Some(usage) = PrefixUse::of(prompt, engine, state) {
            self.placement().prefixes.used(usage, now());
            self.heads_have_changed();
            // Peers should know of it at once: what they do not know of they have read again.
            self.heavy_work_changed.notify_one();
        } else if state == PrefixState::Cached {
            // Peers do not tell of these: they send as many, each.
            let mut placement = self.placement();
            let daemons = u64::try_from(placement.daemons).unwrap_or(1);
            let tokens = u64::from(prompt.input_tokens) * daemons;
            placement
                .prefixes
                .record_inserted_tokens(&engine.id, tokens);
        }
    }

    /// The reading failed: nobody knows what the engine keeps of it.
    fn head_lost(&self, job: &Job, engine: &BackEnd) {
        let head = job.facts.prompt.as_ref().and_then(Prompt::shared_prefix);
        if let Some(head) = head {
            self.placement().prefixes.record_miss(&engine.id, head);
            self.heads_have_changed();
        }
    }
}
