//! Things that changed and that a task is to publish.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

/// Gathers what changed until a task takes it.
#[derive(Debug)]
pub(crate) struct PendingSet<T> {
    waiting: Mutex<BTreeSet<T>>,
    added: Notify,
}

impl<T> Default for PendingSet<T> {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
            added: Notify::new(),
        }
    }
}

impl<T: Ord> PendingSet<T> {
    pub(crate) fn add(&self, thing: T) {
        self.lock().insert(thing);
        self.added.notify_one();
    }

    /// Waits until there are some.
    pub(crate) async fn wait(&self) {
        self.added.notified().await;
    }

    pub(crate) fn take(&self) -> BTreeSet<T> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<T>> {
        self.waiting
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
