//! State that all hosts share: hosts, links and the queue of coming network events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Waker;
use std::time::Duration;

use ponddrift_core::random::{SeededRandom, seeded};
use rand::RngExt;
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::host::{HostControl, HostId, HostSpec};
use crate::network::{Connections, DatagramSockets, Event, Packet};
use crate::settings::{DatagramFaults, SimulationSettings};
use crate::trace::{Trace, TraceEvent};

/// First port that a host hands out itself.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

/// The world behind its lock. Everything runs on one thread, so the lock is never contended.
#[derive(Clone)]
pub(crate) struct SharedWorld {
    world: Arc<Mutex<World>>,
    runtime: Handle,
}

impl SharedWorld {
    pub(crate) fn new(settings: SimulationSettings, runtime: Handle) -> Self {
        let world = {
            let _virtual_time = runtime.enter();
            Arc::new(Mutex::new(World::new(settings)))
        };
        Self { world, runtime }
    }

    /// Runs `action` on the world, and wakes whom it woke only after the lock is free again.
    pub(crate) fn with<R>(&self, action: impl FnOnce(&mut World) -> R) -> R {
        // Outside of the runtime, `Instant::now` would tell the real time.
        let _virtual_time = self.runtime.enter();
        let (result, wakers) = {
            let mut world = self.world.lock().unwrap_or_else(PoisonError::into_inner);
            let result = action(&mut world);
            (result, std::mem::take(&mut world.wakers))
        };
        wakers.into_iter().for_each(Waker::wake);
        result
    }
}

/// One host as the network and the faults see it.
pub(crate) struct Host {
    pub(crate) spec: HostSpec,
    /// The life that runs; `None` when dead.
    pub(crate) life: Option<u64>,
    lives: u64,
    frozen: bool,
    /// Whether its machine has power: without it nothing answers, not even with a refusal.
    powered: bool,
    next_port: u16,
    waker: Option<Waker>,
}

/// A direction between two hosts.
pub(crate) type Link = (HostId, HostId);

pub(crate) struct World {
    pub(crate) settings: SimulationSettings,
    pub(crate) datagram_faults: DatagramFaults,
    pub(crate) random: SeededRandom,
    pub(crate) trace: Trace,
    pub(crate) panics: Vec<String>,
    pub(crate) connections: Connections,
    pub(crate) datagrams: DatagramSockets,
    /// Packets of connections that wait for a link to heal.
    pub(crate) held: BTreeMap<Link, VecDeque<Packet>>,
    hosts: Vec<Host>,
    by_address: BTreeMap<IpAddr, HostId>,
    /// How far the time of day of a host is ahead of the true one, in milliseconds.
    clock_steps_ms: BTreeMap<HostId, i64>,
    cut: BTreeSet<Link>,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    start: Instant,
    wakers: Vec<Waker>,
    network_waker: Option<Waker>,
}

impl World {
    fn new(settings: SimulationSettings) -> Self {
        Self {
            datagram_faults: settings.datagram_faults,
            random: seeded(settings.seed, "network"),
            trace: Trace::new(settings.trace_capacity),
            settings,
            panics: Vec::new(),
            connections: Connections::default(),
            datagrams: DatagramSockets::default(),
            held: BTreeMap::new(),
            hosts: Vec::new(),
            by_address: BTreeMap::new(),
            clock_steps_ms: BTreeMap::new(),
            cut: BTreeSet::new(),
            events: BTreeMap::new(),
            next_event: 0,
            start: Instant::now(),
            wakers: Vec::new(),
            network_waker: None,
        }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn clock_step_ms(&self, host: HostId) -> i64 {
        self.clock_steps_ms.get(&host).copied().unwrap_or_default()
    }

    pub(crate) fn set_clock_offset(&mut self, host: HostId, ahead_ms: i64) {
        self.clock_steps_ms.insert(host, ahead_ms);
    }

    pub(crate) fn record(&mut self, event: TraceEvent) {
        let at = self.elapsed();
        self.trace.record(at, event);
    }

    pub(crate) fn wake(&mut self, waker: Option<Waker>) {
        self.wakers.extend(waker);
    }

    // Events.

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        let at = Instant::now() + delay;
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
        let waker = self.network_waker.take();
        self.wake(waker);
    }

    /// Handles every event that is due. Returns when the next one is.
    pub(crate) fn handle_due_events(&mut self, waker: &Waker) -> Option<Instant> {
        let now = Instant::now();
        while let Some(entry) = self.events.first_entry() {
            let (at, _order) = *entry.key();
            if at > now {
                break;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
        self.network_waker = Some(waker.clone());
        self.events.first_key_value().map(|((at, _order), _)| *at)
    }

    // Hosts.

    pub(crate) fn add_host(&mut self, spec: HostSpec) -> HostId {
        let id = HostId(u32::try_from(self.hosts.len()).expect("fewer than 2^32 hosts"));
        let taken = self.by_address.insert(spec.ip, id);
        assert!(taken.is_none(), "address {} is given twice", spec.ip);
        self.hosts.push(Host {
            spec,
            life: None,
            lives: 0,
            frozen: false,
            powered: true,
            next_port: FIRST_EPHEMERAL_PORT,
            waker: None,
        });
        self.start_life(id);
        id
    }

    pub(crate) fn host(&self, id: HostId) -> &Host {
        &self.hosts[id.0 as usize]
    }

    fn host_mut(&mut self, id: HostId) -> &mut Host {
        &mut self.hosts[id.0 as usize]
    }

    pub(crate) fn host_ids(&self) -> Vec<HostId> {
        self.by_address
            .values()
            .copied()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect()
    }

    pub(crate) fn host_at(&self, ip: IpAddr) -> Option<HostId> {
        self.by_address.get(&ip).copied()
    }

    /// Seed of one life of a host.
    pub(crate) fn host_seed(&self, id: HostId, life: u64) -> u64 {
        let name = &self.host(id).spec.name;
        let stream = format!("host {name} life {life}");
        seeded(self.settings.seed, &stream).random()
    }

    pub(crate) fn host_control(&mut self, id: HostId, waker: &Waker) -> HostControl {
        let host = self.host_mut(id);
        host.waker = Some(waker.clone());
        HostControl {
            life: host.life,
            frozen: host.frozen,
        }
    }

    fn wake_host(&mut self, id: HostId) {
        let waker = self.host_mut(id).waker.take();
        self.wake(waker);
    }

    fn start_life(&mut self, id: HostId) {
        let host = self.host_mut(id);
        host.lives += 1;
        let life = host.lives;
        host.life = Some(life);
        self.record(TraceEvent::HostStarted { host: id, life });
        self.wake_host(id);
    }

    /// Starts a dead host with empty memory. A running one is killed first.
    pub(crate) fn restart_host(&mut self, id: HostId) {
        self.kill_host(id);
        let was_off = !std::mem::replace(&mut self.host_mut(id).powered, true);
        self.start_life(id);
        if was_off {
            self.release_held_packets();
        }
    }

    /// Ends a host's process. Its machine resets the connections.
    pub(crate) fn kill_host(&mut self, id: HostId) {
        if self.host(id).life.is_some() {
            self.record(TraceEvent::HostKilled(id));
            self.reset_connections_of(id);
            self.end_life(id);
        }
    }

    /// Takes the power of a host's machine away: nobody is told.
    pub(crate) fn power_off_host(&mut self, id: HostId) {
        if self.host(id).powered {
            self.record(TraceEvent::HostPoweredOff(id));
            self.host_mut(id).powered = false;
            self.forget_connections_of(id);
            self.end_life(id);
        }
    }

    fn end_life(&mut self, id: HostId) {
        let host = self.host_mut(id);
        host.life = None;
        host.frozen = false;
        self.remove_listeners_of(id);
        self.datagrams.remove_host(id);
        self.wake_host(id);
    }

    /// The main task of a life ended by itself; its sockets were closed with the `LocalSet`.
    pub(crate) fn host_exited(&mut self, id: HostId, life: u64) {
        if self.host(id).life == Some(life) {
            self.record(TraceEvent::HostExited(id));
            self.reset_connections_of(id);
            self.end_life(id);
        }
    }

    /// A host never lets the virtual time pass.
    pub(crate) fn host_stuck(&mut self, id: HostId) {
        let limit = self.settings.polls_per_instant_limit;
        let message = format!("busy loop: polled more than {limit} times at one instant");
        self.record_panic(id, message);
        self.kill_host(id);
    }

    pub(crate) fn set_frozen(&mut self, id: HostId, frozen: bool) {
        let host = self.host_mut(id);
        if host.life.is_none() || host.frozen == frozen {
            return;
        }
        host.frozen = frozen;
        self.record(if frozen {
            TraceEvent::HostFrozen(id)
        } else {
            TraceEvent::HostThawed(id)
        });
        self.wake_host(id);
    }

    pub(crate) fn is_running(&self, id: HostId) -> bool {
        self.host(id).life.is_some()
    }

    pub(crate) fn is_frozen(&self, id: HostId) -> bool {
        self.host(id).frozen
    }

    /// A local port that is free for `is_taken`.
    pub(crate) fn free_port(
        &mut self,
        id: HostId,
        is_taken: impl Fn(&Self, SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let ip = self.host(id).spec.ip;
        for _ in FIRST_EPHEMERAL_PORT..=u16::MAX {
            let host = self.host_mut(id);
            let address = SocketAddr::new(ip, host.next_port);
            host.next_port = host
                .next_port
                .checked_add(1)
                .unwrap_or(FIRST_EPHEMERAL_PORT);
            if !is_taken(self, address) {
                return Some(address);
            }
        }
        None
    }

    // Links.

    pub(crate) fn is_blocked(&self, from: HostId, to: HostId) -> bool {
        self.cut.contains(&(from, to)) || !self.host(to).powered
    }

    pub(crate) fn cut_link(&mut self, from: HostId, to: HostId) {
        if from != to && self.cut.insert((from, to)) {
            self.record(TraceEvent::LinkCut { from, to });
        }
    }

    pub(crate) fn heal_link(&mut self, from: HostId, to: HostId) {
        if self.cut.remove(&(from, to)) {
            self.record(TraceEvent::LinkHealed { from, to });
            self.release_held_packets();
        }
    }

    pub(crate) fn cut_links(&self) -> Vec<Link> {
        self.cut.iter().copied().collect()
    }

    /// Delay of one packet, with its jitter.
    pub(crate) fn draw_delay(&mut self, from: HostId, to: HostId) -> Duration {
        let latency = self.settings.latency;
        if from == to {
            return latency.same_host;
        }
        let (from, to) = (&self.host(from).spec, &self.host(to).spec);
        let base = if from.region != to.region {
            latency.between_regions
        } else if from.zone != to.zone {
            latency.same_region
        } else {
            latency.same_zone
        };
        base + self.draw_up_to(latency.jitter)
    }

    pub(crate) fn draw_up_to(&mut self, longest: Duration) -> Duration {
        let microseconds = u64::try_from(longest.as_micros()).unwrap_or(u64::MAX);
        if microseconds == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(self.random.random_range(0..=microseconds))
    }
}
