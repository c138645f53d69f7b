//! A channel that holds the latest value, with a subset of the API of `tokio::sync::watch`.
//!
//! Receivers wake in the order in which they began to wait, which keeps simulations reproducible.
//! Tokio's channel distributes its receivers randomly over several queues, and that randomness
//! cannot be seeded without an unstable build flag.

use std::fmt;
use std::ops::Deref;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use tokio::sync::Notify;

/// The sender has been dropped, and its last value has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the sender of the watched value was dropped: its task has ended")]
pub struct Closed;

/// Result of [`Receiver::run_while`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunWhileOutcome<T> {
    /// The work completed with this output.
    Done(T),
    /// The condition no longer holds for the value.
    Changed,
    /// The sender has been dropped.
    Closed,
}

struct State<T> {
    value: T,
    version: u64,
    is_closed: bool,
}

struct Shared<T> {
    state: RwLock<State<T>>,
    changed: Notify,
}

impl<T> Shared<T> {
    fn read(&self) -> RwLockReadGuard<'_, State<T>> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, State<T>> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The sending half, which changes the value. Dropping it closes the channel.
pub struct Sender<T>(Arc<Shared<T>>);

/// The receiving half, which reads the value and waits for changes.
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
    seen: u64,
}

/// A borrow of the value. It holds a read lock that blocks the sender, so it must be short-lived.
pub struct Ref<'a, T>(RwLockReadGuard<'a, State<T>>);

/// Creates a channel that holds `value`.
#[must_use]
pub fn channel<T>(value: T) -> (Sender<T>, Receiver<T>) {
    let sender = Sender::new(value);
    let receiver = sender.subscribe();
    (sender, receiver)
}

impl<T> Sender<T> {
    /// Creates a channel without a receiver.
    #[must_use]
    pub fn new(value: T) -> Self {
        let state = State {
            value,
            version: 0,
            is_closed: false,
        };
        Self(Arc::new(Shared {
            state: RwLock::new(state),
            changed: Notify::new(),
        }))
    }

    /// Creates a receiver that has seen the current value.
    #[must_use]
    pub fn subscribe(&self) -> Receiver<T> {
        let seen = self.0.read().version;
        Receiver {
            shared: Arc::clone(&self.0),
            seen,
        }
    }

    /// Borrows the current value.
    pub fn borrow(&self) -> Ref<'_, T> {
        Ref(self.0.read())
    }

    /// Replaces the value and notifies the receivers. Returns the old value.
    pub fn send_replace(&self, value: T) -> T {
        let mut value = value;
        self.send_modify(|current| std::mem::swap(current, &mut value));
        value
    }

    /// Modifies the value and notifies the receivers.
    pub fn send_modify(&self, change: impl FnOnce(&mut T)) {
        self.send_if_modified(|value| {
            change(value);
            true
        });
    }

    /// Modifies the value, and notifies the receivers only if `change` returns true. Returns the
    /// result of `change`.
    pub fn send_if_modified(&self, change: impl FnOnce(&mut T) -> bool) -> bool {
        let is_modified = {
            let mut state = self.0.write();
            let is_modified = change(&mut state.value);
            state.version += u64::from(is_modified);
            is_modified
        };
        if is_modified {
            self.0.changed.notify_waiters();
        }
        is_modified
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.0.write().is_closed = true;
        self.0.changed.notify_waiters();
    }
}

impl<T> Receiver<T> {
    /// Borrows the current value without marking it as seen.
    pub fn borrow(&self) -> Ref<'_, T> {
        Ref(self.shared.read())
    }

    /// Borrows the current value and marks it as seen.
    pub fn borrow_and_update(&mut self) -> Ref<'_, T> {
        let state = self.shared.read();
        self.seen = state.version;
        Ref(state)
    }

    /// Waits for a value that has not been seen, and marks it as seen.
    ///
    /// # Errors
    /// [`Closed`] when the sender has been dropped and the last value has been seen.
    pub async fn changed(&mut self) -> Result<(), Closed> {
        loop {
            // Registered before the check, so that a change between check and wait is not missed.
            let notified = self.shared.changed.notified();
            {
                let state = self.shared.read();
                if state.version != self.seen {
                    self.seen = state.version;
                    return Ok(());
                }
                if state.is_closed {
                    return Err(Closed);
                }
            }
            notified.await;
        }
    }

    /// Waits until `condition` holds, and marks the value as seen. Returns immediately if it holds
    /// now.
    ///
    /// # Errors
    /// [`Closed`] when the sender has been dropped and the condition does not hold for the
    /// last value.
    pub async fn wait_for(
        &mut self,
        mut condition: impl FnMut(&T) -> bool,
    ) -> Result<Ref<'_, T>, Closed> {
        loop {
            let holds = condition(&self.borrow_and_update());
            if holds {
                return Ok(self.borrow());
            }
            self.changed().await?;
        }
    }
}

impl<T> Receiver<T> {
    /// Runs `work` until it completes or `condition` no longer holds for the value.
    ///
    /// A closed channel is reported separately from a change: a caller that treated it as a change
    /// and waited again would loop forever without yielding.
    pub async fn run_while<W: Future>(
        &mut self,
        condition: impl Fn(&T) -> bool,
        work: W,
    ) -> RunWhileOutcome<W::Output> {
        tokio::select! {
            biased;
            changed = self.wait_for(|value| !condition(value)) => match changed {
                Ok(_value) => RunWhileOutcome::Changed,
                Err(Closed) => RunWhileOutcome::Closed,
            },
            output = work => RunWhileOutcome::Done(output),
        }
    }
}

impl<T> Clone for Receiver<T> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            seen: self.seen,
        }
    }
}

impl<T> Deref for Ref<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0.value
    }
}

impl<T: fmt::Debug> fmt::Debug for Ref<'_, T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.value.fmt(formatter)
    }
}

impl<T> fmt::Debug for Sender<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("watch::Sender")
    }
}

impl<T> fmt::Debug for Receiver<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("watch::Receiver")
    }
}
