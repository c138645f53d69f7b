//! The OpenAI completions API with the extensions `priority` and `kv_transfer_params`, which
//! engines commonly add.

use serde::{Deserialize, Serialize};

/// `POST /v1/completions`.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// `POST /v1/chat/completions`.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// `GET /v1/streams/<request id>` with `Last-Event-ID`: resumes an interrupted stream. `DELETE`
/// cancels the completion.
pub const STREAMS_PATH: &str = "/v1/streams/";
/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// Request body of both completion calls. Unknown members are kept and forwarded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the service in requests to a daemon, name of the model in requests to an engine.
    pub model: String,
    /// Prompt of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<ChatMessage>>,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Priority level; 0 is the highest. Set by the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Transfer of the KV cache between engines. Set by the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
    /// All other members.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Transfer of a prompt's KV cache from a prefill engine to a decode engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum KvTransferParams {
    /// Run only the prefill, keep the cache for export, and answer with its handle and no text.
    Export,
    /// Fetch the cache from another engine before decoding.
    Import {
        /// The handle returned by the exporting engine.
        handle: String,
        /// The exporting engine's HTTP address, `IP:port`.
        source: String,
    },
}

/// A complete answer or one event of a streamed answer; `object` distinguishes them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// Id of the request.
    pub id: String,
    /// `text_completion`, `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// The model that answered.
    pub model: String,
    /// Choices of the answer; always exactly one.
    pub choices: Vec<Choice>,
    /// Token counts. Present in complete answers and in the last event of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Handle of the exported cache, in answers to [`KvTransferParams::Export`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_handle: Option<String>,
}

/// One choice of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always 0.
    pub index: u32,
    /// Text of a plain completion; in a stream only the new part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Message of a chat completion that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// New part of a streamed chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// `stop` or `length` once the answer is complete.
    pub finish_reason: Option<String>,
}

/// New part of a chat message.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Role of the message; only in the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// New text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Number of prompt tokens found in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}
