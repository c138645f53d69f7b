//! HTTP bodies: construction, and reading within limits of size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{Stream, TryStreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Error while a body is transferred.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of the requests and responses that are sent.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates an empty body.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from bytes that are all known.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body that is streamed from chunks. An `Err` chunk aborts the message, which the
/// receiver detects.
pub fn streamed<S>(pieces: S) -> Body
where
    S: Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
{
    StreamBody::new(pieces.map_ok(Frame::data)).boxed_unsync()
}

/// Creates a response with a JSON body.
///
/// # Panics
/// When `value` cannot be serialized, which must not be possible for the types passed here.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("wire types serialize");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body exceeds the size limit.
    #[error("the body is larger than {limit} bytes: send less, or raise the limit in the settings")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body did not arrive within the time limit.
    #[error("the body did not arrive within {limit:?}: send it faster, or raise the limit")]
    TooSlow {
        /// The time limit.
        limit: Duration,
    },
    /// The connection failed before the end of the body.
    #[error("the connection broke while the body was read: {0}")]
    Broken(String),
    /// The body is not JSON of the expected type.
    #[error("the body is not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a whole body of at most `size_limit` bytes within `time_limit`.
///
/// # Errors
/// [`ReadError::TooLarge`], [`ReadError::TooSlow`] or [`ReadError::Broken`].
pub async fn read_all<B>(
    body: B,
    size_limit: usize,
    time_limit: Duration,
) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let reading = read_within(body, size_limit);
    let read = tokio::time::timeout(time_limit, reading).await;
    read.unwrap_or(Err(ReadError::TooSlow { limit: time_limit }))
}

/// Copies the pieces of a body into one buffer. Kept as they are, small pieces would take many times
/// their size, since each keeps the buffer that it was received in.
async fn read_within<B>(body: B, size_limit: usize) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.into().to_string()))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if whole.len() + piece.len() > size_limit {
            return Err(ReadError::TooLarge { limit: size_limit });
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}

/// Reads a body of at most `size_limit` bytes within `time_limit`, and parses it as JSON.
///
/// # Errors
/// As [`read_all`], or [`ReadError::Json`] when the body is not JSON of type `T`.
pub async fn read_json<T, B>(
    body: B,
    size_limit: usize,
    time_limit: Duration,
) -> Result<T, ReadError>
where
    T: DeserializeOwned,
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let bytes = read_all(body, size_limit, time_limit).await?;
    Ok(serde_json::from_slice(&bytes)?)
}
