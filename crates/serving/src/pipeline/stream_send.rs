//! Sends that open a stream: what is known of one, how it ended, and what several came to.

use std::sync::Arc;
use std::time::Instant;

use futures::future::BoxFuture;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::PromptPlan;

use super::answers::Failure;
use super::attempt::{OpenSend, is_success};
use super::first_event::StartedStream;
use super::generate::OpenStream;
use super::guards::{KvCacheHandle, LoadGuard};
use super::intake::FinalAnswer;
use super::job::Job;
use super::plain::{NO_ANSWER, may_have_run_failure};
use super::silent_sends::{LateAnswer, SilentSend, SilentSends};
use crate::connections::{ExchangeError, Reply};

/// Timing of a send whose first event is awaited.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendTiming {
    pub(super) started_at: Instant,
    /// Whether the engine had no other prompt to prefill at the time of the send.
    pub(super) had_no_queued_prefill: bool,
    /// Prompt tokens of other requests that the engine was known to process before; `None` if the
    /// engine processed no prompt for this request or the request may have waited for a slot.
    pub(super) tokens_ahead: Option<f64>,
}

/// A prompt whose KV cache can be reused after another engine refused the request.
pub(super) struct PrefilledPrompt {
    pub(super) plan: PromptPlan,
    pub(super) handle: KvCacheHandle,
}

/// How one attempt to open a stream ended.
pub(super) enum OpenAttempt {
    Opened(Box<OpenStream>),
    Answer(FinalAnswer),
    /// The engine did not run the request. The prefilled prompt, if any, can be used by another one.
    NotRun {
        reason: &'static str,
        prefilled: Option<PrefilledPrompt>,
    },
    MayHaveRun(&'static str),
    /// The engine fell silent; its answer is still accepted.
    Silent(Box<SilentStreamSend>),
}

/// What a silent engine may still send.
pub(super) enum LateStart {
    /// The head of the answer, or why there is none.
    Head(Result<Reply, ExchangeError>),
    /// The first event, or why there is none.
    FirstEvent(Result<StartedStream, &'static str>),
}

/// What is needed to continue with the answer of an engine.
pub(super) struct StreamSend {
    pub(super) plan: PromptPlan,
    pub(super) decode: Arc<BackEnd>,
    pub(super) step: &'static str,
    pub(super) handle: Option<KvCacheHandle>,
    pub(super) load: LoadGuard,
    pub(super) timing: SendTiming,
}

impl LateAnswer for LateStart {
    fn is_usable(&self) -> bool {
        match self {
            Self::Head(result) => is_success(result),
            Self::FirstEvent(started) => started.is_ok(),
        }
    }
}

pub(super) type SilentStreamSend = SilentSend<StreamSend, LateStart>;
pub(super) type SilentStreamSends = SilentSends<StreamSend, LateStart>;

impl StreamSend {
    pub(super) fn fall_silent(
        mut self,
        job: &mut Job,
        answer: BoxFuture<'static, LateStart>,
    ) -> SilentStreamSend {
        // Its time says nothing about the speed of the engine.
        self.timing.had_no_queued_prefill = false;
        self.timing.tokens_ahead = None;
        let open = OpenSend {
            back_end: Arc::clone(&self.decode),
            purpose: self.step,
            started_at: self.timing.started_at,
        };
        job.silent_runs.push(open.clone());
        SilentSend::new(open, self, answer)
    }
}

/// What came of the attempts to open a stream so far.
pub(super) struct OpenProgress {
    pub(super) failure: Failure,
    pub(super) error_answer: Option<FinalAnswer>,
    /// A prompt that another engine can decode.
    pub(super) prefilled: Option<PrefilledPrompt>,
    may_reuse_handle: bool,
}

impl OpenProgress {
    pub(super) const fn new() -> Self {
        Self {
            failure: Failure::NotRun("no_back_end_ready"),
            error_answer: None,
            prefilled: None,
            may_reuse_handle: true,
        }
    }

    /// Notes how an attempt ended. Returns the stream if it is open.
    pub(super) fn note(
        &mut self,
        job: &Job,
        end: OpenAttempt,
        silent: &mut SilentStreamSends,
    ) -> Option<OpenStream> {
        match end {
            OpenAttempt::Opened(stream) => return Some(*stream),
            OpenAttempt::Answer(final_answer) => {
                self.failure = Failure::MayHaveRun("back_end_error");
                self.error_answer = Some(final_answer);
            }
            OpenAttempt::NotRun { reason, prefilled } => {
                if prefilled.is_some() && std::mem::take(&mut self.may_reuse_handle) {
                    self.prefilled = prefilled;
                }
                if job.runs == 0 {
                    self.failure = Failure::NotRun(reason);
                }
            }
            OpenAttempt::MayHaveRun(reason) => self.failure = may_have_run_failure(job, reason),
            OpenAttempt::Silent(send) => {
                self.failure = Failure::MayHaveRun(NO_ANSWER);
                silent.push(*send);
            }
        }
        None
    }
}
