//! Has a prompt read by a prefill engine.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{HeadUse, PromptPlan};

use super::Pipeline;
use super::attempt::{HeadEnd, SendOrder};
use super::guards::{HeldHandle, LoadGuard};
use super::job::Job;
use super::patience::Patience;
use crate::dialect::SendStep;
use crate::follow::now;
use crate::trail::{Step, milliseconds};

/// A prefill engine's health is asked for after this many times the expected time,
const SUSPICION_FACTOR: f64 = 1.5;
/// and this much more.
const SUSPICION_MORE: Duration = Duration::from_millis(150);

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
        let _load = LoadGuard::new(self, engine, tokens_to_read);
        let expected = Duration::from_secs_f64(expected_ms / 1000.0);
        let suspicious_after = expected.mul_f64(SUSPICION_FACTOR) + SUSPICION_MORE;
        let patience = Patience::new(job, None, Some(suspicious_after));
        let begun = now();
        let order = SendOrder {
            fetch_from: plan.fetch_from.as_ref().map(|keeper| keeper.address),
            ..SendOrder::new(SendStep::Prefill, patience)
        };
        let end = self.send(job, engine, order).await;
        let HeadEnd::Answered(reply) = end else {
            return None;
        };
        let answer = self.read_whole(reply, patience.until).await;
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
            self.note_outcome(engine, &job.service.health_path, Outcome::Broken);
            return None;
        };
        self.note_outcome(engine, &job.service.health_path, Outcome::Success);
        self.learn_prefill(job, engine, expected_ms, milliseconds(took), was_alone);
        let most = self.connection_share(job.service.maximum_connections);
        Some(HeldHandle::new(self, engine.address, result.handle, most))
    }

    fn expected_prefill_ms(&self, engine: &BackEnd, tokens: f64) -> f64 {
        let placement = self.placement();
        let waiting = placement.load.outstanding(&engine.id).prompt_tokens;
        (waiting + tokens) / placement.speed.prefill_tokens_per_ms()
    }

    fn learn_prefill(
        &self,
        job: &Job,
        engine: &Arc<BackEnd>,
        expected_ms: f64,
        took_ms: f64,
        was_alone: bool,
    ) {
        let Some(prompt) = &job.facts.prompt else {
            return;
        };
        let mut placement = self.placement();
        let now = now();
        if let Some(usage) = HeadUse::of(prompt, engine) {
            let was_kept = placement.prefixes.is_kept(&engine.id, usage.head, now);
            if was_kept && was_alone {
                let own = f64::from(prompt.own_tokens());
                placement.speed.prompt_read(own, took_ms);
            }
            placement.prefixes.used(usage, now);
        }
        if was_alone {
            placement
                .speed
                .engine_answered(&engine.id, expected_ms, took_ms);
        }
    }
}
