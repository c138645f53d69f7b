//! The open connections of a server: how many there are, and which of them are closed first.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use tokio::time::Instant;

use super::connection::{ConnectionState, Phase};
use super::{CloseReason, ConnectionTimeouts};

/// Interval at which a stopping server checks whether its connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All connections that are not closed, including those that are shutting down.
#[derive(Default)]
pub(super) struct Connections {
    /// Those that can be shut down together.
    current: Mutex<GracefulShutdown>,
    open: Mutex<OpenStates>,
}

#[derive(Default)]
struct OpenStates {
    next_id: u64,
    by_id: HashMap<u64, Entry>,
}

struct Entry {
    state: Arc<ConnectionState>,
    /// Why the server closes it, once it does.
    closing: Option<CloseReason>,
}

/// Counts a connection until it is closed.
pub(super) struct OpenConnection {
    connections: Arc<Connections>,
    id: u64,
}

impl Connections {
    pub(super) fn add(self: &Arc<Self>, state: &Arc<ConnectionState>) -> OpenConnection {
        let mut open = self.open();
        let id = open.next_id;
        open.next_id += 1;
        let entry = Entry {
            state: Arc::clone(state),
            closing: None,
        };
        open.by_id.insert(id, entry);
        OpenConnection {
            connections: Arc::clone(self),
            id,
        }
    }

    pub(super) fn watch<C: GracefulConnection>(
        &self,
        connection: C,
    ) -> impl Future<Output = C::Output> + use<C> {
        self.current().watch(connection)
    }

    pub(super) fn count(&self) -> usize {
        self.open().by_id.len()
    }

    /// Closes all current connections after their requests in progress.
    pub(super) fn close_current(&self) -> impl Future<Output = ()> + Send + 'static {
        let current = std::mem::take(&mut *self.current());
        current.shutdown()
    }

    /// Waits until no connection is open.
    pub(super) async fn closed(&self) {
        while self.count() > 0 {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    /// Closes the connections that have exceeded their time limits.
    pub(super) fn close_expired(&self, timeouts: ConnectionTimeouts) {
        let now = Instant::now();
        // A limit may be too long to be added to a time.
        let has_passed =
            |since: Instant, limit: Duration| now.saturating_duration_since(since) >= limit;
        for entry in self.open().by_id.values_mut() {
            let reason = match entry.state.phase() {
                Phase::Idle(since) if has_passed(since, timeouts.idle) => CloseReason::IdleTimeout,
                Phase::ReadingHead(since) if has_passed(since, timeouts.head) => {
                    CloseReason::HeadTimeout
                }
                _ => continue,
            };
            entry.close(reason);
        }
    }

    /// Closes up to `count` connections without a request in progress: those that have been idle, or
    /// in the middle of a head, for longest. Returns how many.
    pub(super) fn close_unused(&self, count: usize, reason: CloseReason) -> usize {
        let mut open = self.open();
        let mut unused: Vec<(Instant, u64)> = open
            .by_id
            .iter()
            .filter(|(_id, entry)| entry.closing.is_none())
            .filter_map(|(id, entry)| match entry.state.phase() {
                Phase::Idle(since) | Phase::ReadingHead(since) => Some((since, *id)),
                Phase::Busy => None,
            })
            .collect();
        unused.sort_unstable();
        unused.truncate(count);
        for (_since, id) in &unused {
            if let Some(entry) = open.by_id.get_mut(id) {
                entry.close(reason);
            }
        }
        unused.len()
    }

    fn current(&self) -> MutexGuard<'_, GracefulShutdown> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> MutexGuard<'_, OpenStates> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn close(&mut self, reason: CloseReason) {
        if self.closing.is_none() {
            self.closing = Some(reason);
            self.state.close();
        }
    }
}

impl OpenConnection {
    /// Why the connection is closed at once.
    pub(super) fn close_reason(&self) -> CloseReason {
        let open = self.connections.open();
        let entry = open.by_id.get(&self.id);
        let reason = entry.and_then(|entry| entry.closing);
        reason.unwrap_or(CloseReason::MemoryNeeded)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open().by_id.remove(&self.id);
    }
}
