//! Task spawning for one incarnation of a host.

use std::sync::{Arc, Mutex, PoisonError};

use futures::future::BoxFuture;
use futures::task::AtomicWaker;
use ponddrift_runtime::Spawner;

/// Spawned tasks that the incarnation's `LocalSet` has not taken over yet.
///
/// A queue is used instead of `spawn_local` because a task must run on its own host even if
/// [`Spawner::spawn`] is called from a destructor or from another host.
#[derive(Default)]
pub(crate) struct SpawnQueue {
    state: Mutex<QueueState>,
    waker: AtomicWaker,
}

#[derive(Default)]
struct QueueState {
    tasks: Vec<BoxFuture<'static, ()>>,
    closed: bool,
}

impl SpawnQueue {
    /// Takes all queued tasks and registers `waker` to be woken when the next one is spawned.
    pub(crate) fn take(&self, waker: &std::task::Waker) -> Vec<BoxFuture<'static, ()>> {
        self.waker.register(waker);
        std::mem::take(&mut self.lock().tasks)
    }

    /// Closes the queue. Queued and later tasks are dropped without being run.
    pub(crate) fn close(&self) {
        let tasks = {
            let mut state = self.lock();
            state.closed = true;
            std::mem::take(&mut state.tasks)
        };
        drop(tasks);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Spawns tasks into one incarnation of a host.
pub(crate) struct SimulatedSpawner(pub(crate) Arc<SpawnQueue>);

impl Spawner for SimulatedSpawner {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        let rejected = {
            let mut state = self.0.lock();
            if state.closed {
                Some(task)
            } else {
                state.tasks.push(task);
                None
            }
        };
        drop(rejected);
        self.0.waker.wake();
    }
}
