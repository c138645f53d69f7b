//! Hosts: real code in a `LocalSet` of its own that can be frozen, killed and started again.

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

/// Number of a host, in the order in which hosts were added.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

impl fmt::Display for HostId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "host-{}", self.0)
    }
}

/// A host's place.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Its name, for messages.
    pub name: String,
    /// Its only address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// Makes the main task of each life of a host.
pub(crate) type HostFactory = Box<dyn Fn(Runtime) -> LocalBoxFuture<'static, ()>>;

/// One life of a host.
struct Life {
    number: u64,
    queue: Arc<SpawnQueue>,
    tasks: LocalSet,
    main: JoinHandle<()>,
}

/// The task that polls a host's `LocalSet` unless the host is frozen or dead.
pub(crate) struct HostTask {
    id: HostId,
    world: SharedWorld,
    factory: HostFactory,
    life: Option<Life>,
    polls: PollCounter,
}

/// What the faults want of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HostControl {
    /// The life that is to run; `None` when dead.
    pub(crate) life: Option<u64>,
    /// Whether its tasks are held.
    pub(crate) frozen: bool,
}

impl HostTask {
    pub(crate) fn new(id: HostId, world: SharedWorld, factory: HostFactory, limit: u32) -> Self {
        let polls = PollCounter {
            instant: Instant::now(),
            count: 0,
            limit,
        };
        Self {
            id,
            world,
            factory,
            life: None,
            polls,
        }
    }

    fn start(&mut self, number: u64) {
        let queue = Arc::new(SpawnQueue::default());
        let runtime = self.runtime(number, Arc::clone(&queue));
        let tasks = LocalSet::new();
        let main = (self.factory)(runtime);
        let main = tasks.spawn_local(watched(self.id, self.world.clone(), main));
        self.life = Some(Life {
            number,
            queue,
            tasks,
            main,
        });
    }

    fn runtime(&self, life: u64, queue: Arc<SpawnQueue>) -> Runtime {
        Runtime {
            network: Arc::new(SimulatedNetwork::new(self.world.clone(), self.id, life)),
            spawner: Arc::new(SimulatedSpawner(queue)),
            clock: Arc::new(SimulatedClock::start(self.world.clone(), self.id)),
            seed: self.world.with(|world| world.host_seed(self.id, life)),
        }
    }

    fn end_life(&mut self) {
        if let Some(life) = self.life.take() {
            life.queue.close();
            drop(life);
        }
    }

    fn poll_life(&mut self, context: &mut Context<'_>) {
        let Some(life) = &mut self.life else { return };
        for task in life.queue.take(context.waker()) {
            life.tasks
                .spawn_local(watched(self.id, self.world.clone(), task));
        }
        let _all_ended = Pin::new(&mut life.tasks).poll(context);
        if life.main.is_finished() {
            let number = life.number;
            self.end_life();
            self.world.with(|world| world.host_exited(self.id, number));
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
        let running = this.life.as_ref().map(|life| life.number);
        if running != control.life {
            this.end_life();
            if let Some(number) = control.life {
                this.start(number);
            }
        }
        if control.frozen {
            return Poll::Pending;
        }
        if this.polls.exceed_limit() {
            this.end_life();
            this.world.with(|world| world.host_stuck(this.id));
            return Poll::Pending;
        }
        this.poll_life(context);
        Poll::Pending
    }
}

/// Notices a host that runs on and on without letting the virtual time pass.
struct PollCounter {
    instant: Instant,
    count: u32,
    limit: u32,
}

impl PollCounter {
    fn exceed_limit(&mut self) -> bool {
        let now = Instant::now();
        if now != self.instant {
            self.instant = now;
            self.count = 0;
        }
        self.count += 1;
        self.count > self.limit
    }
}

/// Runs a task and records its panic, which tokio would keep to itself.
async fn watched(host: HostId, world: SharedWorld, task: impl Future<Output = ()>) {
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
    /// Records the panic of a host's task; the run ends with it.
    pub(crate) fn record_panic(&mut self, host: HostId, message: String) {
        let name = self.host(host).spec.name.clone();
        self.panics.push(format!("{name} ({host}): {message}"));
        self.record(TraceEvent::HostPanicked { host, message });
    }
}
