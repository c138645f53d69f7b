//! Engines of this process that can crash: everything that one of them runs ends at once.

use std::sync::{Arc, Mutex, MutexGuard};

use futures::future::BoxFuture;
use ponddrift_runtime::{Runtime, Spawner};
use tokio::task::AbortHandle;

/// The tasks of one engine's life.
#[derive(Debug, Default)]
pub struct TaskGroup {
    tasks: Mutex<Vec<AbortHandle>>,
}

impl TaskGroup {
    /// A runtime like `runtime` whose tasks belong to a new group.
    #[must_use]
    pub fn of(runtime: &Runtime) -> (Arc<Self>, Runtime) {
        let group: Arc<Self> = Arc::default();
        let grouped = Runtime {
            spawner: Arc::clone(&group) as Arc<dyn Spawner>,
            ..runtime.clone()
        };
        (group, grouped)
    }

    /// Ends all tasks: listeners close, and connections break.
    pub fn crash(&self) {
        for task in self.lock().drain(..) {
            task.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<AbortHandle>> {
        self.tasks
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Spawner for TaskGroup {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        let mut tasks = self.lock();
        tasks.retain(|task| !task.is_finished());
        tasks.push(tokio::spawn(task).abort_handle());
    }
}
