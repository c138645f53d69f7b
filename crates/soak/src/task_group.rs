//! Groups of tasks that are aborted together, which simulates the crash of an engine.

use std::sync::{Arc, Mutex, MutexGuard};

use futures::future::BoxFuture;
use ponddrift_runtime::{Runtime, Spawner};
use tokio::task::AbortHandle;

/// The tasks of an engine between its start and its crash.
#[derive(Debug, Default)]
pub struct TaskGroup {
    tasks: Mutex<Vec<AbortHandle>>,
}

impl TaskGroup {
    /// Creates a group, and a copy of `runtime` that spawns its tasks in the group.
    #[must_use]
    pub fn of(runtime: &Runtime) -> (Arc<Self>, Runtime) {
        let group: Arc<Self> = Arc::default();
        let grouped = Runtime {
            spawner: Arc::clone(&group) as Arc<dyn Spawner>,
            ..runtime.clone()
        };
        (group, grouped)
    }

    /// Aborts all tasks, which closes their listeners and breaks their connections.
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
