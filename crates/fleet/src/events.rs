//! Splits a byte stream into complete server-sent events (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes; a back end that sends a longer one is faulty.
pub const MAXIMUM_EVENT_BYTES: usize = 1 << 20;
/// What follows a larger event is moved out of its allocation, which is then freed with the event.
const MAX_SHARED_EVENT_BYTES: usize = 4 << 10;

/// One complete event, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Unmodified bytes of the event.
    pub bytes: Bytes,
    /// Value of the `id` field if it is a number.
    pub id: Option<u64>,
}

/// An event cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The event exceeds [`MAXIMUM_EVENT_BYTES`].
    #[error("an event is longer than {MAXIMUM_EVENT_BYTES} bytes: the back end is faulty")]
    TooLong,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// How far the buffer was searched for the end of the first event. Without it, an event in many
    /// small pieces would be searched from its beginning with each.
    searched: Searched,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if any.
    ///
    /// # Errors
    /// [`EventError::TooLong`] if the buffered part of an event exceeds [`MAXIMUM_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.searched.event_end(&self.buffer) else {
            if self.buffer.len() > MAXIMUM_EVENT_BYTES {
                return Err(EventError::TooLong);
            }
            return Ok(None);
        };
        self.searched = Searched::default();
        let bytes = self.buffer.split_to(end).freeze();
        if end > MAX_SHARED_EVENT_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        let id = event_id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Bytes in the buffer.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

#[derive(Debug, Default)]
struct Searched {
    /// Length of the part that was searched.
    bytes: usize,
    /// Start of the line that was not complete.
    line_start: usize,
}

impl Searched {
    /// Position after the empty line that ends the first event; accepts LF and CRLF line ends.
    fn event_end(&mut self, buffer: &[u8]) -> Option<usize> {
        while self.bytes < buffer.len() {
            let position = self.bytes;
            self.bytes += 1;
            if buffer[position] != b'\n' {
                continue;
            }
            let line = &buffer[self.line_start..position];
            let is_empty = line.is_empty() || line == b"\r";
            if is_empty && self.line_start > 0 {
                return Some(position + 1);
            }
            self.line_start = position + 1;
        }
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
