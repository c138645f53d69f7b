//! Hosts: tasks in a separate `LocalSet` that can be frozen, killed and restarted.

use std::any::Any;
use std::fmt;
use std::future::Future;
use std::net::IpAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ponddrift_core::{RegionName, ZoneName};
use ponddrift_runtime::Runtime;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

use crate::clock::SimulatedClock;
use crate::network::SimulatedNetwork;
use crate::spawner::{SimulatedSpawner, SpawnQueue};
use crate::trace::TraceEvent;
use crate::world::SharedWorld;

/// Identifies a host. Numbers are assigned from 0 in the order in which hosts are added.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

impl fmt::Display for HostId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "host-{}", self.0)
    }
}

/// Name, address and location of a host.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Name used in messages and to derive the host's random seed.
    pub name: String,
    /// The host's only IP address.
    pub ip: IpAddr,
    /// Zone, which determines the latency to other hosts.
    pub zone: ZoneName,
    /// Region, which determines the latency to other hosts.
    pub region: RegionName,
}

/// Creates the main task of each incarnation of a host.
pub(crate) type HostFactory = Box<dyn Fn(Runtime) -> LocalBoxFuture<'static, ()>>;

/// The tasks of a host between a start and the next stop.
struct Incarnation {
    number: u64,
    queue: Arc<SpawnQueue>,
    tasks: LocalSet,
    main: JoinHandle<()>,
}

/// Polls a host's `LocalSet` unless the host is frozen or down.
pub(crate) struct HostTask {
    id: HostId,
    world: SharedWorld,
    factory: HostFactory,
    active: Option<Incarnation>,
    polls: PollCounter,
    /// Span of the host's log lines. All hosts log to one stream.
    span: tracing::Span,
}

/// Desired state of a host, as set by fault injection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HostControl {
    /// Incarnation that should run, or `None` if the host should be down.
    pub(crate) incarnation: Option<u64>,
    /// Whether the host's tasks must not be polled.
    pub(crate) frozen: bool,
}

impl HostTask {
    pub(crate) fn new(id: HostId, world: SharedWorld, factory: HostFactory, limit: u32) -> Self {
        let polls = PollCounter {
            instant: Instant::now(),
            count: 0,
            limit,
        };
        let name = world.with(|world| world.host(id).spec.name.clone());
        let span = tracing::error_span!("host", name);
        Self {
            id,
            world,
            factory,
            active: None,
            polls,
            span,
        }
    }

    fn start(&mut self, number: u64) {
        let queue = Arc::new(SpawnQueue::default());
        let runtime = self.runtime(number, Arc::clone(&queue));
        let tasks = LocalSet::new();
        let main = (self.factory)(runtime);
        let main = tasks.spawn_local(record_task_panic(self.id, self.world.clone(), main));
        self.active = Some(Incarnation {
            number,
            queue,
            tasks,
            main,
        });
    }

    fn runtime(&self, incarnation: u64, queue: Arc<SpawnQueue>) -> Runtime {
        Runtime {
            network: Arc::new(SimulatedNetwork::new(
                self.world.clone(),
                self.id,
                incarnation,
            )),
            spawner: Arc::new(SimulatedSpawner(queue)),
            clock: Arc::new(SimulatedClock::start(self.world.clone(), self.id)),
            seed: self
                .world
                .with(|world| world.host_seed(self.id, incarnation)),
        }
    }

    fn end_incarnation(&mut self) {
        if let Some(incarnation) = self.active.take() {
            incarnation.queue.close();
            drop(incarnation);
        }
    }

    fn poll_incarnation(&mut self, context: &mut Context<'_>) {
        let Some(run) = &mut self.active else { return };
        for task in run.queue.take(context.waker()) {
            run.tasks
                .spawn_local(record_task_panic(self.id, self.world.clone(), task));
        }
        let _all_ended = self
            .span
            .in_scope(|| Pin::new(&mut run.tasks).poll(context));
        if run.main.is_finished() {
            let number = run.number;
            self.end_incarnation();
            self.world
                .with(|world| world.handle_host_exit(self.id, number));
        }
    }
}

impl Future for HostTask {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = self.get_mut();
        let control = this
            .world
            .with(|world| world.host_control(this.id, context.waker()));
        let running = this.active.as_ref().map(|run| run.number);
        if running != control.incarnation {
            this.end_incarnation();
            if let Some(number) = control.incarnation {
                this.start(number);
            }
        }
        if control.frozen {
            return Poll::Pending;
        }
        if this.polls.record_poll_and_check() {
            this.end_incarnation();
            this.world.with(|world| world.kill_stuck_host(this.id));
            return Poll::Pending;
        }
        this.poll_incarnation(context);
        Poll::Pending
    }
}

/// Detects a host that is polled repeatedly without virtual time advancing.
struct PollCounter {
    instant: Instant,
    count: u32,
    limit: u32,
}

impl PollCounter {
    fn record_poll_and_check(&mut self) -> bool {
        let now = Instant::now();
        if now != self.instant {
            self.instant = now;
            self.count = 0;
        }
        self.count += 1;
        self.count > self.limit
    }
}

/// Runs a task and records a panic, which tokio would otherwise only report in the `JoinHandle`.
async fn record_task_panic(host: HostId, world: SharedWorld, task: impl Future<Output = ()>) {
    if let Err(panic) = AssertUnwindSafe(task).catch_unwind().await {
        let message = panic_message(panic.as_ref());
        world.with(|world| world.record_panic(host, message));
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    "a panic without a message".to_owned()
}

impl crate::world::World {
    /// Records a panic of a host's task. `Simulation::block_on` panics because of it.
    pub(crate) fn record_panic(&mut self, host: HostId, message: String) {
        let name = self.host(host).spec.name.clone();
        self.panics.push(format!("{name} ({host}): {message}"));
        self.record(TraceEvent::HostPanicked { host, message });
    }
}
