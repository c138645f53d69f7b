//! Aggregates the parts of a streamed completion into one response.

use ponddrift_engine::wire::completions::{ChatMessage, Choice, CompletionResponse, Usage};

const CHAT_CHUNK_OBJECT: &str = "chat.completion.chunk";
const CHAT_OBJECT: &str = "chat.completion";
const ASSISTANT_ROLE: &str = "assistant";

/// Collects the parts of one answer.
#[derive(Debug, Default)]
pub(super) struct CompletionAggregator {
    id: String,
    model: String,
    is_chat: bool,
    content: String,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl CompletionAggregator {
    pub(super) fn add(&mut self, part: &CompletionResponse) {
        self.id.clone_from(&part.id);
        self.model.clone_from(&part.model);
        self.is_chat = part.object == CHAT_CHUNK_OBJECT;
        if part.usage.is_some() {
            self.usage = part.usage;
        }
        let Some(choice) = part.choices.first() else {
            return;
        };
        if let Some(text) = &choice.text {
            self.content.push_str(text);
        }
        if let Some(content) = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_ref())
        {
            self.content.push_str(content);
        }
        if choice.finish_reason.is_some() {
            self.finish_reason.clone_from(&choice.finish_reason);
        }
    }

    /// Token usage reported by the engine, if any part contained it.
    pub(super) fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Builds the complete response.
    pub(super) fn finish(self) -> CompletionResponse {
        let mut choice = Choice {
            index: 0,
            text: None,
            message: None,
            delta: None,
            finish_reason: self.finish_reason,
        };
        let object = if self.is_chat {
            let role = ASSISTANT_ROLE.to_owned();
            choice.message = Some(ChatMessage {
                role,
                content: self.content,
            });
            CHAT_OBJECT
        } else {
            choice.text = Some(self.content);
            "text_completion"
        };
        CompletionResponse {
            id: self.id,
            object: object.to_owned(),
            model: self.model,
            choices: vec![choice],
            usage: self.usage,
            kv_transfer_handle: None,
        }
    }
}
