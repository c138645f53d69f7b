//! Sends whose back ends fell silent while their request is tried elsewhere.
//!
//! A silent back end may be dead, or go on after a second as if nothing had happened. Its connection
//! stays open until another back end has answered, so that the request loses nothing if that one
//! fails. The first usable answer wins; the other sends are closed, which ends their runs.

use std::pin::pin;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::future::{BoxFuture, select_all};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;

use super::Pipeline;
use super::attempt::{OpenSend, progress_of};
use super::job::Job;
use crate::time::{self, now};

/// Time limit for the check whether a silent engine has exited, so that its streams are resumed
/// before their callers give up.
const EXIT_CHECK_LIMIT: Duration = Duration::from_millis(600);
/// How long two back ends may run one request: a silent one is left this long after another one has
/// accepted the request, or began to run it while the silent one is reachable again.
const MAX_OVERLAP: Duration = Duration::from_millis(200);
/// Interval at which this is checked.
const OVERLAP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a request that found no other back end looks for one again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// How far the current run of a request has come, for those who hold silent sends beside it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum RunStage {
    /// Nothing runs.
    #[default]
    None,
    /// It was sent to a back end.
    Sent,
    /// A back end has sent the head of an answer.
    Accepted,
}

/// The stage of a request's run, shared within its task.
#[derive(Debug, Default)]
pub(super) struct SharedRunStage(Mutex<RunStage>);

impl SharedRunStage {
    pub(super) fn set(&self, stage: RunStage) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = stage;
    }

    fn get(&self) -> RunStage {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An answer that may come late.
pub(super) trait LateAnswer {
    /// Whether the request can continue with it. An unusable answer does not interrupt an attempt
    /// elsewhere.
    fn is_usable(&self) -> bool;
}

/// A send whose answer is still accepted.
pub(super) struct SilentSend<Context, Answer> {
    pub(super) open: OpenSend,
    /// What is needed to continue with the answer.
    pub(super) context: Context,
    pub(super) answer: BoxFuture<'static, Answer>,
    /// When the request turned elsewhere.
    silent_since: Instant,
    /// Since when the back end may run the request beside another one.
    overlaps_since: Option<Instant>,
}

impl<Context, Answer> SilentSend<Context, Answer> {
    pub(super) fn new(
        open: OpenSend,
        context: Context,
        answer: BoxFuture<'static, Answer>,
    ) -> Self {
        Self {
            open,
            context,
            answer,
            silent_since: now(),
            overlaps_since: None,
        }
    }
}

/// The answer of a send that was silent.
pub(super) struct Late<Context, Answer> {
    pub(super) open: OpenSend,
    pub(super) context: Context,
    pub(super) answer: Answer,
}

/// What came first.
pub(super) enum First<Context, Answer, Output> {
    Late(Late<Context, Answer>),
    Attempt(Output),
}

/// The sends of one request that are still accepted, at most one for each run.
pub(super) struct SilentSends<Context, Answer> {
    sends: Vec<SilentSend<Context, Answer>>,
    /// Answers that are not usable.
    unusable: Vec<Late<Context, Answer>>,
    /// Sends that were closed and have not been recorded yet.
    closed: Vec<OpenSend>,
}

impl<Context, Answer> Default for SilentSends<Context, Answer> {
    fn default() -> Self {
        Self {
            sends: Vec::new(),
            unusable: Vec::new(),
            closed: Vec::new(),
        }
    }
}

impl<Context, Answer: LateAnswer> SilentSends<Context, Answer> {
    pub(super) fn push(&mut self, send: SilentSend<Context, Answer>) {
        self.sends.push(send);
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// An unusable answer that came while an attempt was under way.
    pub(super) fn take_unusable(&mut self) -> Option<Late<Context, Answer>> {
        self.unusable.pop()
    }

    /// Whether an answer may still come in time.
    pub(super) fn may_answer(&self, job: &Job) -> bool {
        !self.sends.is_empty() && !job.time_left().is_zero()
    }

    /// Waits for the next answer until another attempt is worth while, at most until the deadline.
    /// `None` if there is none until then or no send is left.
    pub(super) async fn next_before_retry(
        &mut self,
        job: &mut Job,
    ) -> Option<Late<Context, Answer>> {
        if let Some(late) = self.unusable.pop() {
            return Some(late);
        }
        // Others may need the retry meanwhile.
        job.held_retry = None;
        if self.sends.is_empty() {
            return None;
        }
        let until = if job.may_run_again() {
            job.deadline.min(now() + RETRY_INTERVAL)
        } else {
            job.deadline
        };
        time::timeout_at(until, self.next()).await
    }

    async fn next(&mut self) -> Late<Context, Answer> {
        let answers = self.sends.iter_mut().map(|send| &mut send.answer);
        let (answer, index, _others) = select_all(answers).await;
        let send = self.sends.swap_remove(index);
        Late {
            open: send.open,
            context: send.context,
            answer,
        }
    }

    /// Makes an attempt elsewhere, which a usable answer interrupts.
    ///
    /// `stage` tells how far it has come.
    pub(super) async fn beside<Output>(
        &mut self,
        pipeline: &Pipeline,
        stage: &SharedRunStage,
        attempt: impl Future<Output = Output>,
    ) -> First<Context, Answer, Output> {
        let mut attempt = pin!(attempt);
        loop {
            let overlap = time::sleep_until(now() + OVERLAP_CHECK_INTERVAL);
            tokio::select! {
                biased;
                late = self.next(), if !self.sends.is_empty() => {
                    if late.answer.is_usable() {
                        return First::Late(late);
                    }
                    self.unusable.push(late);
                }
                output = &mut attempt => return First::Attempt(output),
                () = overlap, if !self.sends.is_empty() => {
                    self.close_overlapping(pipeline, stage.get());
                }
            }
        }
    }

    /// Closes the sends whose back ends may have run the request beside another one for
    /// [`MAX_OVERLAP`].
    fn close_overlapping(&mut self, pipeline: &Pipeline, stage: RunStage) {
        for send in &mut self.sends {
            let overlaps = match stage {
                RunStage::None => false,
                RunStage::Sent => pipeline.is_reachable(&send.open.back_end, send.silent_since),
                RunStage::Accepted => true,
            };
            if overlaps {
                send.overlaps_since.get_or_insert_with(now);
            } else {
                send.overlaps_since = None;
            }
        }
        let is_reachable = |send: &mut SilentSend<Context, Answer>| {
            send.overlaps_since
                .is_some_and(|since| now().saturating_duration_since(since) >= MAX_OVERLAP)
        };
        // Dropping a send locks the placement, which therefore must not be locked here.
        let reachable: Vec<_> = self.sends.extract_if(.., is_reachable).collect();
        let closed = reachable.into_iter().map(|send| send.open);
        self.closed.extend(closed);
    }

    /// Closes all sends. `outcome` says why in the request trace.
    pub(super) fn close(&mut self, pipeline: &Pipeline, job: &mut Job, outcome: &'static str) {
        let late = self.unusable.drain(..).map(|late| late.open);
        self.closed.extend(late);
        let open = self.sends.drain(..).map(|send| send.open);
        self.closed.extend(open);
        for send in self.closed.drain(..) {
            pipeline.open_send_ended(job, &send, outcome);
        }
    }
}

impl Pipeline {
    /// Whether a back end that was silent at `since` may work on the request again. An engine at
    /// capacity delays its health checks as it delays requests, but accepts connections.
    fn is_reachable(&self, back_end: &BackEnd, since: Instant) -> bool {
        if self.paths().is_cut(back_end.address) {
            return false;
        }
        let accepts_connections = self
            .paths()
            .paths()
            .has_contact_since(back_end.address, since);
        let health = &self.placement().health;
        let is_engine = back_end.stage.is_some();
        let has_no_silence = health.silent_since(&back_end.id).is_none();
        health.active_since(&back_end.id, since)
            || (is_engine && (accepts_connections || has_no_silence))
    }

    /// Checks whether the engines that the request left in silence have exited: their runs do not
    /// count as attempts then.
    pub(super) async fn check_silent_runs(&self, job: &mut Job) {
        while let Some(run) = job.silent_runs.pop() {
            let silent = Some(Outcome::Unresponsive);
            let check = self.check_lost_run(
                job,
                &run.back_end,
                silent,
                run.started_at,
                progress_of(run.purpose),
            );
            let has_ended = time::timeout_at(now() + EXIT_CHECK_LIMIT, check).await;
            if has_ended == Some(true) {
                job.note_ended_run(&run.back_end);
            }
        }
    }
}
