//! A set of changed items that wait to be published by a task.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

/// Collects changed items until a task takes them all.
#[derive(Debug)]
pub(crate) struct PendingSet<T> {
    pending: Mutex<BTreeSet<T>>,
    added: Notify,
}

impl<T> Default for PendingSet<T> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
            added: Notify::new(),
        }
    }
}

impl<T: Ord> PendingSet<T> {
    pub(crate) fn add(&self, item: T) {
        self.lock().insert(item);
        self.added.notify_one();
    }

    /// Waits until an item was added since the last wait.
    pub(crate) async fn wait(&self) {
        self.added.notified().await;
    }

    pub(crate) fn take(&self) -> BTreeSet<T> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<T>> {
        self.pending
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
