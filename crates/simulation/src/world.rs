//! State shared by all hosts: hosts, links and the queue of pending network events.

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

/// First port of the ephemeral range.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

/// Shared [`World`]. Everything runs on one thread, so the lock is never contended.
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

    /// Runs `action` on the world. Wakers that it queued are called only after the lock is
    /// released.
    pub(crate) fn with<R>(&self, action: impl FnOnce(&mut World) -> R) -> R {
        // Outside of the runtime, `Instant::now` would return the real time.
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

/// State of one host that the network and fault injection use.
pub(crate) struct Host {
    pub(crate) spec: HostSpec,
    /// Number of the running incarnation, or `None` while the host is down.
    pub(crate) incarnation: Option<u64>,
    incarnation_count: u64,
    frozen: bool,
    /// Whether the machine is on. A machine that is off does not even refuse connections.
    powered: bool,
    next_port: u16,
    waker: Option<Waker>,
}

/// One direction of the connection between two hosts: sender, receiver.
pub(crate) type Link = (HostId, HostId);

pub(crate) struct World {
    pub(crate) settings: SimulationSettings,
    pub(crate) datagram_faults: DatagramFaults,
    pub(crate) random: SeededRandom,
    pub(crate) trace: Trace,
    pub(crate) panics: Vec<String>,
    pub(crate) connections: Connections,
    pub(crate) datagrams: DatagramSockets,
    /// Stream packets that wait for a link to be restored.
    pub(crate) held_packets: BTreeMap<Link, VecDeque<Packet>>,
    hosts: Vec<Host>,
    host_by_ip: BTreeMap<IpAddr, HostId>,
    /// Offset of each host's time of day from the simulated time, in milliseconds.
    clock_offsets_ms: BTreeMap<HostId, i64>,
    down_links: BTreeSet<Link>,
    /// Links over which connections are refused; open connections and datagrams pass.
    refusing_links: BTreeSet<Link>,
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
            held_packets: BTreeMap::new(),
            hosts: Vec::new(),
            host_by_ip: BTreeMap::new(),
            clock_offsets_ms: BTreeMap::new(),
            down_links: BTreeSet::new(),
            refusing_links: BTreeSet::new(),
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

    pub(crate) fn clock_offset_ms(&self, host: HostId) -> i64 {
        self.clock_offsets_ms
            .get(&host)
            .copied()
            .unwrap_or_default()
    }

    pub(crate) fn set_clock_offset(&mut self, host: HostId, ahead_ms: i64) {
        self.clock_offsets_ms.insert(host, ahead_ms);
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

    /// Processes all due events. Returns the time of the next event, if there is one.
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
        let taken = self.host_by_ip.insert(spec.ip, id);
        assert!(
            taken.is_none(),
            "IP address {} is already assigned to another host",
            spec.ip
        );
        self.hosts.push(Host {
            spec,
            incarnation: None,
            incarnation_count: 0,
            frozen: false,
            powered: true,
            next_port: FIRST_EPHEMERAL_PORT,
            waker: None,
        });
        self.start_incarnation(id);
        id
    }

    pub(crate) fn host(&self, id: HostId) -> &Host {
        &self.hosts[id.0 as usize]
    }

    fn host_mut(&mut self, id: HostId) -> &mut Host {
        &mut self.hosts[id.0 as usize]
    }

    pub(crate) fn host_ids(&self) -> Vec<HostId> {
        self.host_by_ip
            .values()
            .copied()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect()
    }

    pub(crate) fn host_at(&self, ip: IpAddr) -> Option<HostId> {
        self.host_by_ip.get(&ip).copied()
    }

    /// Returns the random seed of one incarnation of a host.
    pub(crate) fn host_seed(&self, id: HostId, incarnation: u64) -> u64 {
        let name = &self.host(id).spec.name;
        let stream = format!("host {name} life {incarnation}");
        seeded(self.settings.seed, &stream).random()
    }

    pub(crate) fn host_control(&mut self, id: HostId, waker: &Waker) -> HostControl {
        let host = self.host_mut(id);
        host.waker = Some(waker.clone());
        HostControl {
            incarnation: host.incarnation,
            frozen: host.frozen,
        }
    }

    fn wake_host(&mut self, id: HostId) {
        let waker = self.host_mut(id).waker.take();
        self.wake(waker);
    }

    fn start_incarnation(&mut self, id: HostId) {
        let host = self.host_mut(id);
        host.incarnation_count += 1;
        let incarnation = host.incarnation_count;
        host.incarnation = Some(incarnation);
        self.record(TraceEvent::HostStarted {
            host: id,
            incarnation,
        });
        self.wake_host(id);
    }

    /// Starts a new incarnation of a host, without any state. A running one is killed first.
    pub(crate) fn restart_host(&mut self, id: HostId) {
        self.kill_host(id);
        let was_off = !std::mem::replace(&mut self.host_mut(id).powered, true);
        self.start_incarnation(id);
        if was_off {
            self.resend_held_packets();
        }
    }

    /// Kills a host's process. Its operating system resets the open connections.
    pub(crate) fn kill_host(&mut self, id: HostId) {
        if self.host(id).incarnation.is_some() {
            self.record(TraceEvent::HostKilled(id));
            self.reset_connections_of(id);
            self.end_incarnation(id);
        }
    }

    /// Powers off a host's machine. Peers are not notified.
    pub(crate) fn power_off_host(&mut self, id: HostId) {
        if self.host(id).powered {
            self.record(TraceEvent::HostPoweredOff(id));
            self.host_mut(id).powered = false;
            self.forget_connections_of(id);
            self.end_incarnation(id);
        }
    }

    fn end_incarnation(&mut self, id: HostId) {
        let host = self.host_mut(id);
        host.incarnation = None;
        host.frozen = false;
        self.remove_listeners_of(id);
        self.datagrams.remove_host(id);
        self.wake_host(id);
    }

    /// Handles the end of a host's main task. Dropping the `LocalSet` has closed its sockets.
    pub(crate) fn handle_host_exit(&mut self, id: HostId, incarnation: u64) {
        if self.host(id).incarnation == Some(incarnation) {
            self.record(TraceEvent::HostExited(id));
            self.reset_connections_of(id);
            self.end_incarnation(id);
        }
    }

    /// Kills a host that keeps running without letting virtual time advance.
    pub(crate) fn kill_stuck_host(&mut self, id: HostId) {
        let limit = self.settings.polls_per_instant_limit;
        let message = format!("busy loop: polled more than {limit} times at one instant");
        self.record_panic(id, message);
        self.kill_host(id);
    }

    pub(crate) fn set_frozen(&mut self, id: HostId, frozen: bool) {
        let host = self.host_mut(id);
        if host.incarnation.is_none() || host.frozen == frozen {
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
        self.host(id).incarnation.is_some()
    }

    pub(crate) fn is_frozen(&self, id: HostId) -> bool {
        self.host(id).frozen
    }

    /// Returns the next ephemeral port for which `is_taken` is false, or `None` if there is none.
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
        self.down_links.contains(&(from, to)) || !self.host(to).powered
    }

    pub(crate) fn cut_link(&mut self, from: HostId, to: HostId) {
        if from != to && self.down_links.insert((from, to)) {
            self.record(TraceEvent::LinkCut { from, to });
        }
    }

    pub(crate) fn heal_link(&mut self, from: HostId, to: HostId) {
        if self.down_links.remove(&(from, to)) {
            self.record(TraceEvent::LinkHealed { from, to });
            self.resend_held_packets();
        }
    }

    pub(crate) fn refuses(&self, from: HostId, to: HostId) -> bool {
        self.refusing_links.contains(&(from, to))
    }

    pub(crate) fn set_refusing(&mut self, from: HostId, to: HostId, refuses: bool) {
        if refuses {
            self.refusing_links.insert((from, to));
        } else {
            self.refusing_links.remove(&(from, to));
        }
    }

    pub(crate) fn accept_everywhere(&mut self) {
        self.refusing_links.clear();
    }

    pub(crate) fn cut_links(&self) -> Vec<Link> {
        self.down_links.iter().copied().collect()
    }

    /// Draws the delay of one packet, including jitter.
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

    pub(crate) fn draw_up_to(&mut self, max: Duration) -> Duration {
        let microseconds = u64::try_from(max.as_micros()).unwrap_or(u64::MAX);
        if microseconds == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(self.random.random_range(0..=microseconds))
    }
}
