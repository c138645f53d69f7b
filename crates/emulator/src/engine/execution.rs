//! One execution of a request: its progress, and the shapes of its answer.

use std::sync::atomic::{AtomicUsize, Ordering};

use ponddrift_engine::wire::completions::{
    ChatDelta, ChatMessage, Choice, CompletionResponse, Usage,
};
use ponddrift_runtime::watch;

use super::scheduler::SequenceId;
use super::text;
use crate::run_log::RunKey;

/// Reason of a finished answer: it always ends at its limit.
const FINISH_REASON: &str = "length";
/// Role of the messages that engines write.
const ASSISTANT: &str = "assistant";

/// Where an execution stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// In the queue.
    Waiting,
    /// Left the queue.
    Running,
    /// Whole.
    Whole,
    /// Ended early; some of it ran.
    Cut,
    /// Ended before any of it ran.
    NotRun,
}

/// How far an execution is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) stage: Stage,
    pub(super) generated: u32,
    pub(super) cached_tokens: u32,
}

impl Progress {
    pub(super) fn is_over(self) -> bool {
        !matches!(self.stage, Stage::Waiting | Stage::Running)
    }
}

/// Which of the two calls it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    Text,
    Chat,
}

/// What was asked for.
#[derive(Debug, Clone)]
pub(super) struct Wanted {
    pub(super) key: RunKey,
    pub(super) request_id: String,
    pub(super) model: String,
    pub(super) shape: Shape,
    pub(super) streamed: bool,
    pub(super) export: bool,
    pub(super) imported: bool,
    pub(super) priority: u8,
    pub(super) digest: u64,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
}

/// One execution.
pub(super) struct Execution {
    pub(super) wanted: Wanted,
    pub(super) sequence: SequenceId,
    progress: watch::Sender<Progress>,
    /// Connections that read its answer.
    pub(super) attached: AtomicUsize,
    /// Connections that ever began to, so that a grace ends when a new one comes.
    pub(super) attachments: AtomicUsize,
}

impl Execution {
    pub(super) fn new(wanted: Wanted, sequence: SequenceId) -> Self {
        let progress = Progress {
            stage: Stage::Waiting,
            generated: 0,
            cached_tokens: 0,
        };
        Self {
            wanted,
            sequence,
            progress: watch::Sender::new(progress),
            attached: AtomicUsize::new(0),
            attachments: AtomicUsize::new(0),
        }
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    pub(super) fn advance(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_modify(change);
    }

    pub(super) fn is_attached(&self) -> bool {
        self.attached.load(Ordering::SeqCst) > 0
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.wanted.prompt_tokens,
            completion_tokens: self.wanted.output_tokens,
            cached_tokens: self.progress().cached_tokens,
        }
    }

    fn response(&self, object: &str, choice: Choice, usage: Option<Usage>) -> CompletionResponse {
        CompletionResponse {
            id: self.wanted.request_id.clone(),
            object: object.to_owned(),
            model: self.wanted.model.clone(),
            choices: vec![choice],
            usage,
            kv_transfer_handle: None,
        }
    }

    /// Event of the token number `index` (from 0).
    pub(super) fn event(&self, index: u32) -> CompletionResponse {
        let piece = text::piece(self.wanted.digest, index);
        let is_last = index + 1 == self.wanted.output_tokens;
        let mut choice = Choice {
            index: 0,
            text: None,
            message: None,
            delta: None,
            finish_reason: is_last.then(|| FINISH_REASON.to_owned()),
        };
        let usage = is_last.then(|| self.usage());
        match self.wanted.shape {
            Shape::Text => {
                choice.text = Some(piece);
                self.response("text_completion", choice, usage)
            }
            Shape::Chat => {
                choice.delta = Some(ChatDelta {
                    role: (index == 0).then(|| ASSISTANT.to_owned()),
                    content: Some(piece),
                });
                self.response("chat.completion.chunk", choice, usage)
            }
        }
    }

    /// The whole answer; of an export the one without text.
    pub(super) fn whole(&self, handle: Option<String>) -> CompletionResponse {
        let content = text::text_of_digest(self.wanted.digest, self.wanted.output_tokens);
        let mut choice = Choice {
            index: 0,
            text: None,
            message: None,
            delta: None,
            finish_reason: Some(FINISH_REASON.to_owned()),
        };
        let object = match self.wanted.shape {
            Shape::Text => {
                choice.text = Some(content);
                "text_completion"
            }
            Shape::Chat => {
                choice.message = Some(ChatMessage {
                    role: ASSISTANT.to_owned(),
                    content,
                });
                "chat.completion"
            }
        };
        let mut response = self.response(object, choice, Some(self.usage()));
        response.kv_transfer_handle = handle;
        response
    }
}
