//! A host that can be killed or frozen: wraps a runtime so that all its tasks share one switch.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use futures::future::BoxFuture;
use ponddrift_runtime::{Runtime, Spawner};

/// Stops, freezes and thaws every task that was spawned through it.
#[derive(Clone, Default)]
pub struct HostSwitch {
    inner: Arc<Mutex<SwitchState>>,
}

#[derive(Default)]
struct SwitchState {
    killed: bool,
    frozen: bool,
    next_task: u64,
    /// One waker for each live task.
    wakers: BTreeMap<u64, Waker>,
}

impl HostSwitch {
    /// A switch of a host that runs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The runtime as the host sees it: what it spawns hangs on this switch.
    #[must_use]
    pub fn attach(&self, runtime: &Runtime) -> Runtime {
        let spawner = SwitchedSpawner {
            inner: Arc::clone(&runtime.spawner),
            switch: self.clone(),
        };
        Runtime {
            spawner: Arc::new(spawner),
            ..runtime.clone()
        }
    }

    /// Drops all tasks; sockets close, nothing is answered any more.
    pub fn kill(&self) {
        self.change(|state| state.killed = true);
    }

    /// Stops polling all tasks until [`HostSwitch::thaw`]; sockets stay open.
    pub fn freeze(&self) {
        self.change(|state| state.frozen = true);
    }

    /// Goes on after [`HostSwitch::freeze`].
    pub fn thaw(&self) {
        self.change(|state| state.frozen = false);
    }

    fn change(&self, apply: impl FnOnce(&mut SwitchState)) {
        let wakers = {
            let mut state = self.lock();
            apply(&mut state);
            std::mem::take(&mut state.wakers)
        };
        wakers.into_values().for_each(Waker::wake);
    }

    fn lock(&self) -> MutexGuard<'_, SwitchState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What a task may do now; a held task is woken at the next change.
    fn permission(&self, task: u64, context: &Context<'_>) -> Permission {
        let mut state = self.lock();
        if state.killed {
            return Permission::End;
        }
        let waker = state
            .wakers
            .entry(task)
            .or_insert_with(|| context.waker().clone());
        waker.clone_from(context.waker());
        if state.frozen {
            return Permission::Hold;
        }
        Permission::Run
    }
}

#[derive(PartialEq, Eq)]
enum Permission {
    Run,
    Hold,
    End,
}

struct SwitchedSpawner {
    inner: Arc<dyn Spawner>,
    switch: HostSwitch,
}

impl Spawner for SwitchedSpawner {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        let number = {
            let mut state = self.switch.lock();
            state.next_task += 1;
            state.next_task
        };
        self.inner.spawn(Box::pin(SwitchedTask {
            number,
            task: Some(task),
            switch: self.switch.clone(),
        }));
    }
}

struct SwitchedTask {
    number: u64,
    task: Option<BoxFuture<'static, ()>>,
    switch: HostSwitch,
}

impl Future for SwitchedTask {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        match self.switch.permission(self.number, context) {
            Permission::Hold => return Poll::Pending,
            Permission::End => {
                self.task = None;
                return Poll::Ready(());
            }
            Permission::Run => {}
        }
        let Some(task) = self.task.as_mut() else {
            return Poll::Ready(());
        };
        task.as_mut().poll(context)
    }
}

impl Drop for SwitchedTask {
    fn drop(&mut self) {
        // The task goes first: what it drops may spawn, which takes the lock.
        self.task = None;
        self.switch.lock().wakers.remove(&self.number);
    }
}
