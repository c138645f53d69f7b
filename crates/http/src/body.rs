//! HTTP bodies: construction, and reading within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, TryStreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::memory::{MemoryExhausted, Reservation};

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
    /// The memory for it was not available, or had to be given to others that go on.
    #[error(transparent)]
    NoMemory(#[from] MemoryExhausted),
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
    let reading = read_within(body, size_limit, None);
    let read = tokio::time::timeout(time_limit, reading).await;
    read.unwrap_or(Err(ReadError::TooSlow { limit: time_limit }))
}

/// What to do when there is no memory for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WhenFull {
    /// Fail at once.
    Fail,
    /// Wait until there is some; a body that states its length waits before anything is read.
    Wait,
}

/// Like [`read_all`], with the memory of `reservation`.
///
/// # Errors
/// As [`read_all`], or [`ReadError::NoMemory`].
pub async fn read_reserved<B>(
    body: B,
    size_limit: usize,
    time_limit: Duration,
    reservation: &Reservation,
    when_full: WhenFull,
) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let reading = read_within(body, size_limit, Some((reservation, when_full)));
    let limited = tokio::time::timeout(time_limit, reading);
    tokio::select! {
        biased;
        () = reservation.must_yield() => Err(ReadError::NoMemory(MemoryExhausted)),
        read = limited => read.unwrap_or(Err(ReadError::TooSlow { limit: time_limit })),
    }
}

/// Copies the pieces of a body into one buffer. Kept as they are, small pieces would take many times
/// their size, since each keeps the buffer that it was received in.
async fn read_within<B>(
    body: B,
    size_limit: usize,
    memory: Option<(&Reservation, WhenFull)>,
) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(body);
    let mut whole = BodyBuffer::new(size_limit, memory);
    if let Some(length) = body.size_hint().exact() {
        whole
            .expect(usize::try_from(length).unwrap_or(usize::MAX))
            .await?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.into().to_string()))?;
        if let Ok(piece) = frame.into_data() {
            whole.add(&piece).await?;
        }
    }
    Ok(Bytes::from(whole.bytes))
}

/// A body as far as it was read.
struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    size_limit: usize,
    memory: Option<(&'a Reservation, WhenFull)>,
    /// Bytes since progress was last recorded.
    unrecorded: usize,
}

impl<'a> BodyBuffer<'a> {
    const fn new(size_limit: usize, memory: Option<(&'a Reservation, WhenFull)>) -> Self {
        Self {
            bytes: Vec::new(),
            size_limit,
            memory,
            unrecorded: 0,
        }
    }

    /// Prepares for a body that states its length. Only a body that may wait for memory takes it
    /// before it is there: the sender of another one may stop at any point.
    async fn expect(&mut self, length: usize) -> Result<(), ReadError> {
        if length > self.size_limit {
            return Err(self.too_large());
        }
        match self.memory {
            Some((_reservation, WhenFull::Wait)) => self.grow(length).await,
            _ => Ok(()),
        }
    }

    async fn add(&mut self, piece: &[u8]) -> Result<(), ReadError> {
        let length = self.bytes.len() + piece.len();
        if length > self.size_limit {
            return Err(self.too_large());
        }
        if length > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).min(self.size_limit);
            self.grow(length.max(doubled)).await?;
        }
        self.bytes.extend_from_slice(piece);
        self.record_progress(piece.len());
        Ok(())
    }

    async fn grow(&mut self, capacity: usize) -> Result<(), ReadError> {
        match self.memory {
            Some((reservation, WhenFull::Fail)) => reservation.grow_to(capacity)?,
            Some((reservation, WhenFull::Wait)) => reservation.grow_when_free(capacity).await,
            None => {}
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// A sender that takes long for so many bytes counts as stalled.
    fn record_progress(&mut self, bytes: usize) {
        const PROGRESS_BYTES: usize = 16 << 10;
        self.unrecorded += bytes;
        if self.unrecorded >= PROGRESS_BYTES
            && let Some((reservation, _when_full)) = self.memory
        {
            self.unrecorded = 0;
            reservation.progressed();
        }
    }

    const fn too_large(&self) -> ReadError {
        ReadError::TooLarge {
            limit: self.size_limit,
        }
    }
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
