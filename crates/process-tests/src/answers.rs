//! Parsing of daemon responses.

use bytes::Bytes;
use eyre::{ContextCompat, Result};
use futures::TryStreamExt;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ponddrift_engine::wire::completions::{CompletionResponse, DONE};
use ponddrift_http::Problem;

use crate::fleet::read;

/// A streamed completion as received by the client.
#[derive(Debug, Default)]
pub struct StreamedCompletion {
    /// Concatenated text of all events.
    pub text: String,
    /// Whether the final `[DONE]` event was received.
    pub is_complete: bool,
    /// Problem document of an error event, if there was one.
    pub problem: Option<Problem>,
}

/// Reads a streamed completion to its end.
///
/// # Errors
/// If an event cannot be parsed or the connection breaks.
pub async fn read_streamed_completion(response: Response<Incoming>) -> Result<StreamedCompletion> {
    let chunks: Vec<Bytes> = response
        .into_body()
        .into_data_stream()
        .try_collect()
        .await?;
    let event_stream = String::from_utf8(chunks.concat())?;
    let mut completion = StreamedCompletion::default();
    for event in event_stream.split("\n\n").filter(|event| !event.is_empty()) {
        let mut lines = event.lines();
        let data = lines
            .find_map(|line| line.strip_prefix("data: "))
            .wrap_err("event without a data line")?;
        if event.starts_with("event: error") {
            completion.problem = Some(serde_json::from_str(data)?);
        } else if data == DONE {
            completion.is_complete = true;
        } else {
            let part: CompletionResponse = serde_json::from_str(data)?;
            completion
                .text
                .extend(part.choices.into_iter().filter_map(|choice| choice.text));
        }
    }
    Ok(completion)
}

/// Reads the text of a completion that was not streamed.
///
/// # Errors
/// If the body cannot be read or is not a completion with text.
pub async fn read_completion_text(response: Response<Incoming>) -> Result<String> {
    let mut answer: CompletionResponse = serde_json::from_slice(&read(response).await?)?;
    answer
        .choices
        .pop()
        .and_then(|choice| choice.text)
        .wrap_err("completion without text")
}

/// Reads a problem document.
///
/// # Errors
/// If the body cannot be read or is not a problem document.
pub async fn read_problem(response: Response<Incoming>) -> Result<Problem> {
    Ok(serde_json::from_slice(&read(response).await?)?)
}
