//! A channel that holds the latest value, with the calls of `tokio::sync::watch` that ponddrift uses.
//!
//! tokio's own spreads its receivers at random over several queues, so the order in which they wake differs
//! from run to run, and a simulation's trace with it; its random numbers cannot be seeded without an
//! unstable build flag. Here receivers wake in the order in which they began to wait.

use std::fmt;
use std::ops::Deref;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use tokio::sync::Notify;

/// Every sender is gone, and the last value was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the sender of the watched value is gone: its task has ended")]
pub struct Closed;

/// How work ended that was done while a watched value was as wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunWhileOutcome<T> {
    /// It came to its end.
    Done(T),
    /// The value is no longer as wanted.
    Changed,
    /// Every sender is gone.
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

/// Changes the value. Dropping it closes the channel.
pub struct Sender<T>(Arc<Shared<T>>);

/// Reads the value and waits for changes.
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
    seen: u64,
}

/// The value, held against changes; not to be kept.
pub struct Ref<'a, T>(RwLockReadGuard<'a, State<T>>);

/// A channel that holds `value`.
#[must_use]
pub fn channel<T>(value: T) -> (Sender<T>, Receiver<T>) {
    let sender = Sender::new(value);
    let receiver = sender.subscribe();
    (sender, receiver)
}

impl<T> Sender<T> {
    /// A channel without a receiver yet.
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

    /// A receiver that has seen the present value.
    #[must_use]
    pub fn subscribe(&self) -> Receiver<T> {
        let seen = self.0.read().version;
        Receiver {
            shared: Arc::clone(&self.0),
            seen,
        }
    }

    /// The value.
    pub fn borrow(&self) -> Ref<'_, T> {
        Ref(self.0.read())
    }

    /// Replaces the value; gives the old one.
    pub fn send_replace(&self, value: T) -> T {
        let mut value = value;
        self.send_modify(|held| std::mem::swap(held, &mut value));
        value
    }

    /// Changes the value.
    pub fn send_modify(&self, change: impl FnOnce(&mut T)) {
        self.send_if_modified(|value| {
            change(value);
            true
        });
    }

    /// Changes the value; receivers are told only where `change` says so. Gives what it said.
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
    /// The value; a change that was not seen stays unseen.
    pub fn borrow(&self) -> Ref<'_, T> {
        Ref(self.shared.read())
    }

    /// The value, which is seen by it.
    pub fn borrow_and_update(&mut self) -> Ref<'_, T> {
        let state = self.shared.read();
        self.seen = state.version;
        Ref(state)
    }

    /// Waits until there is a value that was not seen, and marks it as seen.
    ///
    /// # Errors
    /// [`Closed`] when there will be none.
    pub async fn changed(&mut self) -> Result<(), Closed> {
        loop {
            // It hears of every change from here on, also of one before it is awaited.
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

    /// Waits until `condition` holds, at once if it does now; the value is seen by it.
    ///
    /// # Errors
    /// [`Closed`] when it will not hold.
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
    /// Does `work` for as long as `is_wanted` holds for the value.
    ///
    /// That the channel is closed is told apart from a change: a caller that took it for one and waited again would be told the
    /// same at once, and keep its thread for good.
    pub async fn run_while<W: Future>(
        &mut self,
        is_wanted: impl Fn(&T) -> bool,
        work: W,
    ) -> RunWhileOutcome<W::Output> {
        tokio::select! {
            biased;
            changed = self.wait_for(|value| !is_wanted(value)) => match changed {
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
