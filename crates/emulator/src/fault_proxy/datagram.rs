//! Datagram forwarder with faults. Each caller gets an own socket towards the target, so answers find back.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_runtime::{Datagram, Runtime};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::{Block, Direction, ProxyControl};
use crate::server::StandInServer;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_535;

/// Faults of a datagram proxy. Probabilities from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DatagramFaults {
    /// Datagrams that are dropped.
    pub drop: f64,
    /// Datagrams that arrive twice.
    pub duplicate: f64,
    /// Datagrams that are held back by `reorder_ms`, so that later ones overtake them.
    pub reorder: f64,
    /// How long reordered datagrams are held back, in milliseconds.
    pub reorder_ms: u64,
    /// Added time of each datagram, in milliseconds.
    pub delay_ms: u64,
    /// Further time, drawn evenly from 0 to this, in milliseconds.
    pub jitter_ms: u64,
    /// Which way nothing passes; what is sent meanwhile is lost.
    pub block: Block,
}

/// What passed a datagram proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DatagramCounters {
    /// Datagrams that came.
    pub received: u64,
    /// Datagrams that were passed on, doubled ones twice.
    pub sent: u64,
    /// Datagrams dropped by probability or block.
    pub dropped: u64,
    /// Datagrams doubled.
    pub duplicated: u64,
    /// Datagrams held back.
    pub reordered: u64,
}

/// Handle of a datagram proxy; clones share it.
#[derive(Clone)]
pub struct DatagramControl {
    state: Arc<Mutex<State>>,
}

struct State {
    faults: DatagramFaults,
    counters: DatagramCounters,
    random: SeededRandom,
}

impl DatagramControl {
    fn new(faults: DatagramFaults, seed: u64) -> Self {
        let state = State {
            faults,
            counters: DatagramCounters::default(),
            random: seeded(seed, "datagram proxy"),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> DatagramFaults {
        self.lock().faults
    }

    /// Replaces the faults.
    pub fn set(&self, faults: DatagramFaults) {
        self.lock().faults = faults;
    }

    /// What passed so far.
    #[must_use]
    pub fn counters(&self) -> DatagramCounters {
        self.lock().counters
    }

    /// Delays of the copies of one datagram; none when it is dropped.
    fn draw(&self, direction: Direction) -> Vec<Duration> {
        let state = &mut *self.lock();
        let faults = state.faults;
        state.counters.received += 1;
        if faults.block.holds(direction) || state.happens(faults.drop) {
            state.counters.dropped += 1;
            return Vec::new();
        }
        let mut delays = vec![state.delay()];
        if state.happens(faults.duplicate) {
            state.counters.duplicated += 1;
            delays.push(state.delay());
        }
        state.counters.sent += delays.len() as u64;
        delays
    }
}

impl State {
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }

    fn delay(&mut self) -> Duration {
        let faults = self.faults;
        let jitter = match faults.jitter_ms {
            0 => 0,
            most => self.random.random_range(0..=most),
        };
        let held = self.happens(faults.reorder);
        self.counters.reordered += u64::from(held);
        let held_ms = if held { faults.reorder_ms } else { 0 };
        Duration::from_millis(faults.delay_ms + jitter + held_ms)
    }
}

/// A proxy of one target.
pub struct DatagramFaultProxy {
    address: SocketAddr,
    control_address: SocketAddr,
    control: DatagramControl,
    stop: CancellationToken,
    _control_server: StandInServer,
}

impl DatagramFaultProxy {
    /// Starts a proxy of `target`; port 0 takes a free one.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(
        runtime: &Runtime,
        address: SocketAddr,
        control_address: SocketAddr,
        target: SocketAddr,
        faults: DatagramFaults,
    ) -> io::Result<Self> {
        let socket: Arc<dyn Datagram> = Arc::from(runtime.network.bind_datagram(address).await?);
        let address = socket.local_address()?;
        let control = DatagramControl::new(faults, runtime.seed);
        let served = Arc::new(ProxyControl::Datagram(control.clone()));
        let control_server = StandInServer::start(runtime, control_address, served).await?;
        let stop = CancellationToken::new();
        let forwarder = Forwarder {
            runtime: runtime.clone(),
            control: control.clone(),
            stop: stop.clone(),
        };
        let running = forwarder.run(socket, target);
        runtime.spawner.spawn(Box::pin(running));
        Ok(Self {
            address,
            control_address: control_server.address(),
            control,
            stop,
            _control_server: control_server,
        })
    }

    /// Where callers send.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where faults are changed over HTTP.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// The handle.
    #[must_use]
    pub fn control(&self) -> &DatagramControl {
        &self.control
    }
}

impl Drop for DatagramFaultProxy {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

#[derive(Clone)]
struct Forwarder {
    runtime: Runtime,
    control: DatagramControl,
    stop: CancellationToken,
}

impl Forwarder {
    async fn run(self, socket: Arc<dyn Datagram>, target: SocketAddr) {
        let mut outward: IndexMap<SocketAddr, Arc<dyn Datagram>> = IndexMap::new();
        while let Some((bytes, caller)) = self.receive(&*socket).await {
            let towards = match outward.get(&caller) {
                Some(known) => Arc::clone(known),
                None => {
                    let Some(opened) = self.open(&socket, caller, target).await else {
                        continue;
                    };
                    outward.insert(caller, Arc::clone(&opened));
                    opened
                }
            };
            self.pass(Direction::ToTarget, bytes, &towards, target);
        }
    }

    /// Opens the socket of one caller towards the target, and passes the answers back.
    async fn open(
        &self,
        socket: &Arc<dyn Datagram>,
        caller: SocketAddr,
        target: SocketAddr,
    ) -> Option<Arc<dyn Datagram>> {
        let any_port = SocketAddr::new(target.ip(), 0);
        let bound = self.runtime.network.bind_datagram(any_port).await.ok()?;
        let bound: Arc<dyn Datagram> = Arc::from(bound);
        let forwarder = self.clone();
        let (inner, outer) = (Arc::clone(&bound), Arc::clone(socket));
        self.runtime.spawner.spawn(Box::pin(async move {
            while let Some((bytes, _from)) = forwarder.receive(&*inner).await {
                forwarder.pass(Direction::ToCaller, bytes, &outer, caller);
            }
        }));
        Some(bound)
    }

    async fn receive(&self, socket: &dyn Datagram) -> Option<(Vec<u8>, SocketAddr)> {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let received = tokio::select! {
                biased;
                () = self.stop.cancelled() => return None,
                received = socket.receive_from(&mut buffer) => received,
            };
            // An error tells of an earlier datagram that found no receiver; the socket goes on.
            if let Ok((length, from)) = received {
                buffer.truncate(length);
                return Some((buffer, from));
            }
        }
    }

    fn pass(
        &self,
        direction: Direction,
        bytes: Vec<u8>,
        socket: &Arc<dyn Datagram>,
        target: SocketAddr,
    ) {
        for delay in self.control.draw(direction) {
            let (socket, bytes) = (Arc::clone(socket), bytes.clone());
            self.runtime.spawner.spawn(Box::pin(async move {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                let _sent = socket.send_to(&bytes, target).await;
            }));
        }
    }
}
