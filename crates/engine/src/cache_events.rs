//! Client of an engine's KV cache events.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::BoxStream;
use http::Request;
use ponddrift_http::{Client, body};

use crate::completions::{ensure_success, events};
use crate::error::CallError;
use crate::wire::cache_events::{CACHE_EVENTS_PATH, CacheEvent};

/// Stream of an engine's cache events. An error ends the stream.
pub type CacheEventStream = BoxStream<'static, Result<CacheEvent, CallError>>;

/// Opens the event stream of an engine.
///
/// # Errors
/// [`CallError`] when the engine rejects the request or does not answer within
/// `time_limit`. The limit does not apply to the events.
pub async fn open(
    client: &Client,
    engine: SocketAddr,
    time_limit: Duration,
) -> Result<CacheEventStream, CallError> {
    let request = Request::get(format!("http://{engine}{CACHE_EVENTS_PATH}"))
        .body(body::empty())
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    let opening = async { ensure_success(client.send(request).await?).await };
    let response = tokio::time::timeout(time_limit, opening)
        .await
        .map_err(|_elapsed| CallError::TimedOut(time_limit))??;
    let stream = events(response).map(|event| {
        let event = event?;
        serde_json::from_str(&event.data).map_err(|error| CallError::Protocol(error.to_string()))
    });
    Ok(stream.boxed())
}
