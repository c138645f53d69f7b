//! The simulation run: a paused tokio runtime, the hosts and the virtual network.

use std::future::{Future, poll_fn};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use ponddrift_runtime::Runtime;
use tokio::task::LocalSet;
use tokio::time::{Instant, Sleep};

use crate::fault_schedule::FaultSchedule;
use crate::handle::SimulationHandle;
use crate::host::{HostId, HostSpec, HostTask};
use crate::settings::SimulationSettings;
use crate::trace::Trace;
use crate::world::SharedWorld;

/// Virtual time between two evaluations of the condition in [`Simulation::run_until`].
const CONDITION_STEP: Duration = Duration::from_millis(1);

/// The condition passed to [`Simulation::run_until`] did not hold within the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the condition did not come true within {limit:?} of virtual time")]
pub struct LimitReached {
    /// Virtual time that was allowed.
    pub limit: Duration,
}

/// A simulated system of hosts that are connected by a virtual network.
pub struct Simulation {
    handle: SimulationHandle,
    // Must be dropped before the runtime because its tasks hold timers.
    tasks: Option<LocalSet>,
    runtime: tokio::runtime::Runtime,
    settings: SimulationSettings,
}

impl Simulation {
    /// Creates a system without hosts at virtual time zero.
    ///
    /// # Panics
    /// If the tokio runtime cannot be created.
    #[must_use]
    pub fn new(settings: SimulationSettings) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a current-thread runtime without I/O starts");
        let world = SharedWorld::new(settings.clone(), runtime.handle().clone());
        let handle = SimulationHandle::new(world);
        let tasks = LocalSet::new();
        {
            let _inside = runtime.enter();
            tasks.spawn_local(run_network(handle.world.clone()));
        }
        Self {
            handle,
            tasks: Some(tasks),
            runtime,
            settings,
        }
    }

    fn tasks(&self) -> &LocalSet {
        self.tasks.as_ref().expect("present until the drop")
    }

    /// Adds a host and starts it. `main` is called for each incarnation to create its main task.
    ///
    /// # Panics
    /// If another host already has the same IP address.
    pub fn add_host<F, M>(&mut self, spec: HostSpec, main: F) -> HostId
    where
        F: Fn(Runtime) -> M + 'static,
        M: Future<Output = ()> + 'static,
    {
        let _inside = self.runtime.enter();
        let world = &self.handle.world;
        let id = world.with(|world| world.add_host(spec));
        // `main` is called inside the host's task so that a panic in it is recorded.
        let main = Rc::new(main);
        let factory = Box::new(move |runtime| {
            let main = Rc::clone(&main);
            Box::pin(async move { main(runtime).await }) as _
        });
        let limit = self.settings.polls_per_instant_limit;
        let task = HostTask::new(id, world.clone(), factory, limit);
        self.tasks().spawn_local(task);
        id
    }

    /// Adds a host whose main task is idle and returns the runtime of its first incarnation, for
    /// clients that a test drives itself.
    ///
    /// # Panics
    /// If another host already has the same IP address.
    pub fn add_client(&mut self, spec: HostSpec) -> (HostId, Runtime) {
        let (sender, receiver) = std::sync::mpsc::channel();
        let id = self.add_host(spec, move |runtime| {
            // Only the first incarnation's runtime is returned; later sends fail.
            let _unused_later = sender.send(runtime);
            std::future::pending()
        });
        self.block_on(tokio::task::yield_now());
        let runtime = receiver.try_recv().expect("the host's first life began");
        (id, runtime)
    }

    /// Returns a handle that injects faults and queries hosts. It can be cloned into a driver.
    #[must_use]
    pub fn handle(&self) -> SimulationHandle {
        self.handle.clone()
    }

    /// Injects the faults of a schedule at their times, measured from now, during later runs.
    pub fn schedule(&mut self, schedule: FaultSchedule) {
        let handle = self.handle.clone();
        let _inside = self.runtime.enter();
        let start = Instant::now();
        self.tasks().spawn_local(async move {
            for scheduled in schedule.faults {
                tokio::time::sleep_until(start + scheduled.at).await;
                handle.apply(scheduled.fault);
            }
        });
    }

    /// Runs the simulation until `driver` completes. The driver belongs to no host.
    ///
    /// # Panics
    /// If a task of a host panicked or a host is stuck in a busy loop.
    pub fn block_on<D: Future>(&mut self, driver: D) -> D::Output {
        let output = self.tasks().block_on(&self.runtime, driver);
        let panics = self.handle.take_panics();
        assert!(panics.is_empty(), "hosts panicked: {}", panics.join("; "));
        output
    }

    /// Runs the simulation for `duration` of virtual time.
    ///
    /// # Panics
    /// See [`Self::block_on`].
    pub fn run_for(&mut self, duration: Duration) {
        self.block_on(async move { tokio::time::sleep(duration).await });
    }

    /// Runs the simulation until `condition` holds. The condition is evaluated once per virtual
    /// millisecond, before the hosts run, so the run may end up to a millisecond late.
    ///
    /// # Errors
    /// [`LimitReached`] if the condition does not hold within `limit`.
    ///
    /// # Panics
    /// See [`Self::block_on`].
    pub fn run_until(
        &mut self,
        mut condition: impl FnMut() -> bool,
        limit: Duration,
    ) -> Result<(), LimitReached> {
        self.block_on(async move {
            let deadline = Instant::now() + limit;
            loop {
                if condition() {
                    return Ok(());
                }
                if Instant::now() >= deadline {
                    return Err(LimitReached { limit });
                }
                tokio::time::sleep(CONDITION_STEP).await;
            }
        })
    }

    /// Returns a copy of the trace recorded so far.
    #[must_use]
    pub fn trace(&self) -> Trace {
        self.handle.trace()
    }
}

impl Drop for Simulation {
    fn drop(&mut self) {
        let _inside = self.runtime.enter();
        self.tasks.take();
    }
}

/// Processes each network event when it is due.
async fn run_network(world: SharedWorld) {
    let mut timer: Option<std::pin::Pin<Box<Sleep>>> = None;
    poll_fn(move |context: &mut Context<'_>| {
        loop {
            let next = world.with(|world| world.handle_due_events(context.waker()));
            let Some(next) = next else {
                timer = None;
                return Poll::Pending;
            };
            let sleep = timer.insert(Box::pin(tokio::time::sleep_until(next)));
            if sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    })
    .await
}
