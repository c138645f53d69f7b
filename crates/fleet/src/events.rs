//! Cuts a stream of bytes into whole events (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// Longest event in bytes; a longer one is a fault of the back end.
pub const MAXIMUM_EVENT_BYTES: usize = 1 << 20;

/// One whole event, with its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they came.
    pub bytes: Bytes,
    /// The number in its `id` line.
    pub id: Option<u64>,
}

/// An event that cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// It is too long.
    #[error("an event is longer than {MAXIMUM_EVENT_BYTES} bytes: the back end is faulty")]
    TooLong,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    ///
    /// # Errors
    /// [`EventError`].
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = end_of_event(&self.buffer) else {
            if self.buffer.len() > MAXIMUM_EVENT_BYTES {
                return Err(EventError::TooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Whether a part of an event waits for its end.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// An event ends with an empty line, whatever ends its lines.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        let is_empty = line.is_empty() || line == b"\r";
        if is_empty && line_start > 0 {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
