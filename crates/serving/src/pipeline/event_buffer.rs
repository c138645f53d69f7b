//! Events of a stream that are being received or forwarded, and the memory that they take.
//!
//! Ordinary events are small and not charged. A large one is charged to the account of the memory that
//! callers and back ends can make grow, from its first bytes until it is written to the caller.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use ponddrift_fleet::events::{Event, EventSplitter};
use ponddrift_fleet::health::Outcome;
use ponddrift_http::memory::{MemoryBudget, Reservation};
use tokio::sync::Notify;

/// Bytes of an event that are not charged.
const UNCHARGED_BYTES: usize = 8 << 10;

/// Why no further event can be received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EventFault {
    /// An event is larger than any that is passed on.
    TooLong,
    /// There is no memory for an event of this size.
    NoMemory,
}

impl EventFault {
    /// Name in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::TooLong => "event_too_long",
            Self::NoMemory => "no_memory_for_event",
        }
    }
}

/// The outcome to record for the back end of a stream that ended for this reason; `None` if this
/// daemon lacked memory, which says nothing about the back end.
pub(super) fn outcome_of_end(reason: &'static str) -> Option<Outcome> {
    (reason != EventFault::NoMemory.name()).then_some(Outcome::Broken)
}

/// A complete event that has not been forwarded.
pub(super) struct ReceivedEvent {
    pub(super) event: Event,
    /// The memory of a large event.
    memory: Option<Reservation>,
}

/// Collects bytes until an event is complete.
pub(super) struct EventBuffer {
    splitter: EventSplitter,
    budget: MemoryBudget,
    /// The memory of the bytes that it holds, if they exceed [`UNCHARGED_BYTES`].
    memory: Option<Reservation>,
}

impl EventBuffer {
    pub(super) fn new(budget: &MemoryBudget) -> Self {
        Self {
            splitter: EventSplitter::default(),
            budget: budget.clone(),
            memory: None,
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    /// [`EventFault::NoMemory`] if there is no memory for them.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), EventFault> {
        let needed = self.splitter.buffered_bytes() + bytes.len();
        if needed > UNCHARGED_BYTES {
            let memory = self.memory.get_or_insert_with(|| self.budget.reserve());
            // A buffer that grows doubles its capacity.
            let capacity = needed.next_power_of_two();
            memory
                .grow_to(capacity)
                .map_err(|_exhausted| EventFault::NoMemory)?;
        }
        self.splitter.push(bytes);
        Ok(())
    }

    /// Returns the next complete event, if any.
    ///
    /// # Errors
    /// [`EventFault::TooLong`] if a part of an event is larger than any that is passed on.
    pub(super) fn next_event(&mut self) -> Result<Option<ReceivedEvent>, EventFault> {
        let event = self.splitter.next_event();
        let event = event.map_err(|_too_long| EventFault::TooLong)?;
        Ok(event.map(|event| ReceivedEvent {
            event,
            // The bytes that remain are a part of the newest frame, which is smaller than
            // `UNCHARGED_BYTES`.
            memory: self.memory.take(),
        }))
    }

    /// Whether it holds a part of an event.
    pub(super) fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }

    /// Completes when others need the memory of an event that does not go on.
    pub(super) async fn must_yield(&self) {
        match &self.memory {
            Some(memory) => memory.must_yield().await,
            None => std::future::pending().await,
        }
    }
}

/// The memory of the event that is being written to a caller, shared by the stream and its connection.
#[derive(Clone, Default)]
pub(super) struct ForwardedEvent(Arc<Mutex<ForwardedState>>);

#[derive(Default)]
struct ForwardedState {
    memory: Option<Reservation>,
    /// Closes the connection at once.
    close: Option<Arc<Notify>>,
}

impl ForwardedEvent {
    /// Takes over the memory of an event that is about to be written, in place of the one before.
    pub(super) fn begin(&self, received: ReceivedEvent) -> Bytes {
        let mut state = self.lock();
        if let (Some(memory), Some(close)) = (&received.memory, &state.close) {
            memory.yield_by(close);
        }
        state.memory = received.memory;
        received.event.bytes
    }

    /// Gives back the memory of an event that was written.
    pub(super) fn end(&self) {
        self.lock().memory = None;
    }

    /// Sets what closes the connection if the memory of an event has to be given to others.
    pub(super) fn answer_begins(&self, close: &Arc<Notify>) {
        self.lock().close = Some(Arc::clone(close));
    }

    /// Records that the caller reads.
    pub(super) fn progressed(&self) {
        if let Some(memory) = &self.lock().memory {
            memory.progressed();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ForwardedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
