//! Record of the events of a simulation, and their hash.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::host::HostId;

/// Reason why a datagram was not delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// Random loss.
    Loss,
    /// The link is cut, the machine is off, or no host has the address.
    Unreachable,
    /// No socket is bound to the target address.
    NoSocket,
    /// The receive buffer of the target socket is full.
    BufferFull,
}

/// One event of a simulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceEvent {
    /// A host was started.
    HostStarted {
        /// The host.
        host: HostId,
        /// Number of the host's incarnation, starting at 1.
        incarnation: u64,
    },
    /// A host's process was killed.
    HostKilled(HostId),
    /// A host's machine was powered off.
    HostPoweredOff(HostId),
    /// A host's main task completed.
    HostExited(HostId),
    /// A host's tasks were suspended.
    HostFrozen(HostId),
    /// A frozen host was resumed.
    HostThawed(HostId),
    /// A task of a host panicked.
    HostPanicked {
        /// The host.
        host: HostId,
        /// Panic message.
        message: String,
    },
    /// The link from one host to another was cut.
    LinkCut {
        /// Sender.
        from: HostId,
        /// Receiver.
        to: HostId,
    },
    /// The link from one host to another was restored.
    LinkHealed {
        /// Sender.
        from: HostId,
        /// Receiver.
        to: HostId,
    },
    /// A connection request reached a listener.
    Connected {
        /// Client address.
        from: SocketAddr,
        /// Listener address.
        to: SocketAddr,
    },
    /// A connection request was refused: no listener, or its backlog was full.
    ConnectionRefused {
        /// Client address.
        from: SocketAddr,
        /// Requested address.
        to: SocketAddr,
    },
    /// An endpoint of a connection received a reset.
    ConnectionReset {
        /// Address of the endpoint that received the reset.
        local: SocketAddr,
        /// Address of the remote endpoint.
        remote: SocketAddr,
    },
    /// A sender aborted a connection because its bytes were not acknowledged in time.
    ConnectionTimedOut {
        /// Address of the sender.
        local: SocketAddr,
        /// Address of the remote endpoint.
        remote: SocketAddr,
    },
    /// Stream bytes arrived. Their number is not recorded because it can depend on the real time,
    /// for example through a `Date` header.
    SegmentDelivered {
        /// Sender.
        from: SocketAddr,
        /// Receiver.
        to: SocketAddr,
    },
    /// A datagram arrived.
    DatagramDelivered {
        /// Sender.
        from: SocketAddr,
        /// Receiver.
        to: SocketAddr,
        /// Length in bytes.
        bytes: usize,
    },
    /// A datagram was not delivered.
    DatagramDropped {
        /// Sender.
        from: SocketAddr,
        /// Receiver.
        to: SocketAddr,
        /// Reason for the drop.
        reason: DropReason,
    },
    /// An application-defined note.
    Note {
        /// Source of the note.
        source: String,
        /// Content of the note.
        text: String,
    },
}

impl TraceEvent {
    /// Whether the event is only hashed, not kept, because such events are very frequent.
    const fn is_only_hashed(&self) -> bool {
        matches!(self, Self::SegmentDelivered { .. })
    }
}

impl fmt::Display for TraceEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HostStarted { host, incarnation } => {
                write!(formatter, "start {host} life {incarnation}")
            }
            Self::HostKilled(host) => write!(formatter, "kill {host}"),
            Self::HostPoweredOff(host) => write!(formatter, "power-off {host}"),
            Self::HostExited(host) => write!(formatter, "exit {host}"),
            Self::HostFrozen(host) => write!(formatter, "freeze {host}"),
            Self::HostThawed(host) => write!(formatter, "thaw {host}"),
            Self::HostPanicked { host, message } => write!(formatter, "panic {host}: {message}"),
            Self::LinkCut { from, to } => write!(formatter, "cut {from} -> {to}"),
            Self::LinkHealed { from, to } => write!(formatter, "heal {from} -> {to}"),
            Self::Connected { from, to } => write!(formatter, "connect {from} -> {to}"),
            Self::ConnectionRefused { from, to } => write!(formatter, "refuse {from} -> {to}"),
            Self::ConnectionReset { local, remote } => {
                write!(formatter, "reset {local} <- {remote}")
            }
            Self::ConnectionTimedOut { local, remote } => {
                write!(formatter, "time-out {local} -> {remote}")
            }
            Self::SegmentDelivered { from, to } => write!(formatter, "segment {from} -> {to}"),
            Self::DatagramDelivered { from, to, bytes } => {
                write!(formatter, "datagram {from} -> {to}, {bytes} bytes")
            }
            Self::DatagramDropped { from, to, reason } => {
                write!(formatter, "drop {from} -> {to}: {reason:?}")
            }
            Self::Note { source, text } => write!(formatter, "note {source}: {text}"),
        }
    }
}

/// An event and the virtual time at which it occurred.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceEntry {
    /// Virtual time since the simulation was created.
    pub at: Duration,
    /// Event.
    pub event: TraceEvent,
}

impl fmt::Display for TraceEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} us {}", self.at.as_micros(), self.event)
    }
}

/// The events of a simulation in the order in which they occurred.
#[derive(Clone)]
pub struct Trace {
    entries: Vec<TraceEntry>,
    capacity: usize,
    hash: Xxh3,
}

impl Trace {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            entries: Vec::new(),
            capacity,
            hash: Xxh3::new(),
        }
    }

    pub(crate) fn record(&mut self, at: Duration, event: TraceEvent) {
        let entry = TraceEntry { at, event };
        self.hash.update(entry.to_string().as_bytes());
        self.hash.update(b"\n");
        if !entry.event.is_only_hashed() && self.entries.len() < self.capacity {
            self.entries.push(entry);
        }
    }

    /// Returns the kept entries: those up to the capacity, without delivered segments.
    #[must_use]
    pub fn entries(&self) -> &[TraceEntry] {
        &self.entries
    }

    /// Returns the hash over all events and their times, whether kept or not.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash.digest()
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.entries {
            writeln!(formatter, "{entry}")?;
        }
        Ok(())
    }
}
