//! Fault injection and queries on a running simulation.

use std::time::Duration;

use ponddrift_core::ZoneName;

use crate::fault_schedule::Fault;
use crate::host::HostId;
use crate::settings::DatagramFaults;
use crate::trace::{Trace, TraceEvent};
use crate::world::SharedWorld;

/// Injects faults into a simulation, from a driver or between two runs.
#[derive(Clone)]
pub struct SimulationHandle {
    pub(crate) world: SharedWorld,
}

impl SimulationHandle {
    pub(crate) fn new(world: SharedWorld) -> Self {
        Self { world }
    }

    /// Kills a host's process. Its operating system resets the open connections.
    pub fn kill(&self, host: HostId) {
        self.world.with(|world| world.kill_host(host));
    }

    /// Powers off a host's machine. Peers are not notified, and nothing on it answers.
    pub fn power_off(&self, host: HostId) {
        self.world.with(|world| world.power_off_host(host));
    }

    /// Starts a new incarnation of a host, without any state. A running one is killed first.
    pub fn restart(&self, host: HostId) {
        self.world.with(|world| world.restart_host(host));
    }

    /// Suspends all tasks of a host. Its operating system still receives packets.
    pub fn freeze(&self, host: HostId) {
        self.world.with(|world| world.set_frozen(host, true));
    }

    /// Resumes a frozen host.
    pub fn thaw(&self, host: HostId) {
        self.world.with(|world| world.set_frozen(host, false));
    }

    /// Permanently drops all packets of the open connections between two hosts, without a reset.
    /// New connections work.
    pub fn blackhole_connections(&self, first: HostId, second: HostId) {
        self.world
            .with(|world| world.blackhole_connections(first, second));
    }

    /// Sets the offset of a host's time of day from the simulated time, in milliseconds. A negative
    /// offset makes it late.
    pub fn set_clock_offset(&self, host: HostId, ahead_ms: i64) {
        self.world
            .with(|world| world.set_clock_offset(host, ahead_ms));
    }

    /// Cuts the link between two hosts in both directions.
    pub fn cut(&self, first: HostId, second: HostId) {
        self.cut_one_way(first, second);
        self.cut_one_way(second, first);
    }

    /// Cuts the link from one host to another. The opposite direction still works.
    pub fn cut_one_way(&self, from: HostId, to: HostId) {
        self.world.with(|world| world.cut_link(from, to));
    }

    /// Restores the link between two hosts in both directions.
    pub fn heal(&self, first: HostId, second: HostId) {
        self.world.with(|world| {
            world.heal_link(first, second);
            world.heal_link(second, first);
        });
    }

    /// Restores the link from one host to another. The opposite direction is unchanged.
    pub fn heal_one_way(&self, from: HostId, to: HostId) {
        self.world.with(|world| world.heal_link(from, to));
    }

    /// Cuts every link between two groups of hosts in both directions.
    pub fn partition(&self, first: &[HostId], second: &[HostId]) {
        for &left in first {
            for &right in second {
                self.cut(left, right);
            }
        }
    }

    /// Refuses new connections from each host of the first group to each host of the second. Open
    /// connections and datagrams still pass.
    pub fn refuse_connections(&self, from: &[HostId], to: &[HostId]) {
        self.world.with(|world| {
            for &client in from {
                for &server in to {
                    world.set_refusing(client, server, true);
                }
            }
        });
    }

    /// Resets the open connections between two groups of hosts.
    pub fn reset_connections(&self, first: &[HostId], second: &[HostId]) {
        self.world.with(|world| {
            for &left in first {
                for &right in second {
                    world.reset_connections_between(left, right);
                }
            }
        });
    }

    /// Restores every link.
    pub fn heal_all(&self) {
        self.world.with(|world| {
            world.accept_everywhere();
            for (from, to) in world.cut_links() {
                world.heal_link(from, to);
            }
        });
    }

    /// Replaces the datagram fault settings.
    pub fn set_datagram_faults(&self, faults: DatagramFaults) {
        self.world.with(|world| world.datagram_faults = faults);
    }

    /// Injects one fault of a schedule.
    pub fn apply(&self, fault: Fault) {
        match fault {
            Fault::Kill(host) => self.kill(host),
            Fault::PowerOff(host) => self.power_off(host),
            Fault::Restart(host) => self.restart(host),
            Fault::Freeze(host) => self.freeze(host),
            Fault::Thaw(host) => self.thaw(host),
            Fault::Cut(first, second) => self.cut(first, second),
            Fault::CutOneWay { from, to } => self.cut_one_way(from, to),
            Fault::Heal(first, second) => self.heal(first, second),
        }
    }

    /// Returns whether a host's process is running. A frozen process counts as running.
    #[must_use]
    pub fn is_running(&self, host: HostId) -> bool {
        self.world.with(|world| world.is_running(host))
    }

    /// Returns whether a host is frozen.
    #[must_use]
    pub fn is_frozen(&self, host: HostId) -> bool {
        self.world.with(|world| world.is_frozen(host))
    }

    /// Returns all hosts in the order in which they were added.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostId> {
        self.world.with(|world| world.host_ids())
    }

    /// Returns the hosts of a zone in the order in which they were added.
    #[must_use]
    pub fn hosts_in_zone(&self, zone: &ZoneName) -> Vec<HostId> {
        self.world.with(|world| {
            let hosts = world.host_ids().into_iter();
            hosts
                .filter(|id| world.host(*id).spec.zone == *zone)
                .collect()
        })
    }

    /// Returns the virtual time since the simulation was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.world.with(|world| world.elapsed())
    }

    /// Returns a [`Tracer`] whose notes name `source`.
    #[must_use]
    pub fn tracer(&self, source: &str) -> Tracer {
        Tracer {
            world: self.world.clone(),
            source: source.to_owned(),
        }
    }

    /// Returns a copy of the trace recorded so far.
    #[must_use]
    pub fn trace(&self) -> Trace {
        self.world.with(|world| world.trace.clone())
    }

    pub(crate) fn take_panics(&self) -> Vec<String> {
        self.world.with(|world| std::mem::take(&mut world.panics))
    }
}

/// Adds application-defined notes to the trace.
#[derive(Clone)]
pub struct Tracer {
    world: SharedWorld,
    source: String,
}

impl Tracer {
    /// Records a note that a test can check or compare between runs.
    pub fn note(&self, text: impl Into<String>) {
        let event = TraceEvent::Note {
            source: self.source.clone(),
            text: text.into(),
        };
        self.world.with(|world| world.record(event));
    }
}
