//! Task spawning.

use std::future::Future;
use std::sync::Arc;

use futures::future::BoxFuture;

/// Spawns the tasks of a process or simulated host.
pub trait Spawner: Send + Sync + 'static {
    /// Runs `task` in the background until it or its process ends.
    fn spawn(&self, task: BoxFuture<'static, ()>);
}

/// Spawns tasks on the current Tokio runtime.
#[derive(Debug, Clone, Copy)]
pub struct TokioSpawner;

impl Spawner for TokioSpawner {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        drop(tokio::spawn(task));
    }
}

/// Executor for hyper that spawns through a [`Spawner`]. With hyper-util's own executor, the tasks
/// would not belong to the simulated host.
#[derive(Clone)]
pub struct HyperExecutor(pub Arc<dyn Spawner>);

impl<F> hyper::rt::Executor<F> for HyperExecutor
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, future: F) {
        self.0.spawn(Box::pin(async move {
            drop(future.await);
        }));
    }
}
