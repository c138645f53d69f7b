//! Connections: ordered bytes between two ends, with TCP's ways of failing.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::task::Waker;

use crate::host::HostId;
use crate::network::Event;
use crate::network::listener::ListenerState;
use crate::trace::TraceEvent;
use crate::world::World;

/// Number of one end of a connection. Never used twice.
pub(crate) type EndpointId = u64;

/// What a packet carries.
pub(crate) enum Payload {
    /// Asks for a connection.
    Open,
    /// The listener's end.
    Accepted(EndpointId),
    /// No listener.
    Refused,
    /// Bytes.
    Data(Vec<u8>),
    /// The sender writes no more.
    End,
    /// The sender is gone.
    Reset,
}

/// A packet of a connection on its way.
pub(crate) struct Packet {
    pub(crate) from: HostId,
    pub(crate) to: HostId,
    pub(super) sender: EndpointId,
    pub(super) receiver: Receiver,
    /// Place in the sender's order; `None` for answers of a machine that knows no such connection.
    pub(super) sequence: Option<u64>,
    pub(super) payload: Payload,
}

/// Whom a packet is for.
#[derive(Clone, Copy)]
pub(super) enum Receiver {
    /// A listener.
    Listener {
        /// The caller's end.
        from: SocketAddr,
        /// The listener.
        to: SocketAddr,
    },
    /// An end.
    Endpoint(EndpointId),
}

/// How far an end is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for the listener's answer.
    Opening,
    /// Carries bytes.
    Open,
}

/// One end of a connection.
pub(super) struct Endpoint {
    pub(super) host: HostId,
    pub(super) remote_host: HostId,
    pub(super) local: SocketAddr,
    pub(super) remote: SocketAddr,
    pub(super) peer: Option<EndpointId>,
    pub(super) phase: Phase,
    /// Bytes that arrived and were not read.
    pub(super) inbox: VecDeque<u8>,
    /// The other side writes no more.
    pub(super) end_received: bool,
    /// This side writes no more.
    pub(super) end_sent: bool,
    /// Why the connection is unusable.
    pub(super) failure: Option<io::ErrorKind>,
    /// Nothing arrives any more, without a reset.
    pub(super) is_silent: bool,
    /// Bytes sent and not yet read by the other side.
    pub(super) outstanding: usize,
    /// Acknowledgements that a cut link holds back.
    pub(super) held_credit: usize,
    /// The running stall, if bytes wait for a cut link.
    pub(super) stall: Option<u64>,
    pub(super) next_sequence: u64,
    pub(super) expected_sequence: u64,
    /// Packets that arrived before an earlier one.
    pub(super) early: BTreeMap<u64, Payload>,
    pub(super) read_waker: Option<Waker>,
    pub(super) write_waker: Option<Waker>,
}

impl Endpoint {
    pub(super) fn new(
        host: HostId,
        remote_host: HostId,
        local: SocketAddr,
        remote: SocketAddr,
    ) -> Self {
        Self {
            host,
            remote_host,
            local,
            remote,
            peer: None,
            phase: Phase::Opening,
            inbox: VecDeque::new(),
            end_received: false,
            end_sent: false,
            failure: None,
            is_silent: false,
            outstanding: 0,
            held_credit: 0,
            stall: None,
            next_sequence: 0,
            expected_sequence: 0,
            early: BTreeMap::new(),
            read_waker: None,
            write_waker: None,
        }
    }
}

/// Every listener and every end of a connection.
#[derive(Default)]
pub(crate) struct Connections {
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(super) listeners: BTreeMap<SocketAddr, ListenerState>,
    next_endpoint: EndpointId,
    next_stall: u64,
}

impl Connections {
    pub(super) fn add(&mut self, endpoint: Endpoint) -> EndpointId {
        self.next_endpoint += 1;
        self.endpoints.insert(self.next_endpoint, endpoint);
        self.next_endpoint
    }

    fn of_host(&self, host: HostId) -> Vec<EndpointId> {
        let of_host = self.endpoints.iter().filter(|(_, end)| end.host == host);
        of_host.map(|(id, _)| *id).collect()
    }
}

impl World {
    /// Begins a connection; its end is usable when the listener has answered.
    pub(super) fn open_connection(
        &mut self,
        host: HostId,
        target: SocketAddr,
    ) -> io::Result<EndpointId> {
        let Some(remote_host) = self.host_at(target.ip()) else {
            return Err(io::ErrorKind::HostUnreachable.into());
        };
        let local = self
            .free_port(host, |_, _| false)
            .ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))?;
        let endpoint = Endpoint::new(host, remote_host, local, target);
        let id = self.connections.add(endpoint);
        let receiver = Receiver::Listener {
            from: local,
            to: target,
        };
        self.send_to(id, receiver, Payload::Open);
        Ok(id)
    }

    /// Sends from an end to its peer, in order.
    pub(super) fn send_payload(&mut self, id: EndpointId, payload: Payload) {
        if let Some(peer) = self.connections.endpoints.get(&id).and_then(|end| end.peer) {
            self.send_to(id, Receiver::Endpoint(peer), payload);
        }
    }

    fn send_to(&mut self, id: EndpointId, receiver: Receiver, payload: Payload) {
        let Some(endpoint) = self.connections.endpoints.get_mut(&id) else {
            return;
        };
        let sequence = endpoint.next_sequence;
        endpoint.next_sequence += 1;
        let packet = Packet {
            from: endpoint.host,
            to: endpoint.remote_host,
            sender: id,
            receiver,
            sequence: Some(sequence),
            payload,
        };
        self.launch(packet);
    }

    /// Puts a packet on its way.
    pub(super) fn launch(&mut self, packet: Packet) {
        let delay = self.draw_delay(packet.from, packet.to);
        self.schedule(delay, Event::Packet(packet));
    }

    /// The application lets go of an end.
    pub(super) fn close_endpoint(&mut self, id: EndpointId) {
        let Some(endpoint) = self.connections.endpoints.get(&id) else {
            return;
        };
        if endpoint.failure.is_none() {
            if !endpoint.inbox.is_empty() {
                self.send_payload(id, Payload::Reset);
            } else if !endpoint.end_sent {
                self.send_payload(id, Payload::End);
            }
        }
        self.connections.endpoints.remove(&id);
    }

    /// Makes an end unusable and tells its owner.
    pub(super) fn fail_endpoint(&mut self, id: EndpointId, failure: io::ErrorKind) {
        let Some(endpoint) = self.connections.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.failure.is_some() {
            return;
        }
        endpoint.failure = Some(failure);
        let (local, remote) = (endpoint.local, endpoint.remote);
        let wakers = [endpoint.read_waker.take(), endpoint.write_waker.take()];
        wakers.into_iter().for_each(|waker| self.wake(waker));
        match failure {
            io::ErrorKind::ConnectionRefused => self.record(TraceEvent::ConnectionRefused {
                from: local,
                to: remote,
            }),
            io::ErrorKind::TimedOut => {
                self.record(TraceEvent::ConnectionTimedOut { local, remote })
            }
            _ => self.record(TraceEvent::ConnectionReset { local, remote }),
        }
    }

    /// Notes that a sender's bytes are not acknowledged, and when it gives up.
    pub(super) fn stall_sender(&mut self, id: EndpointId) {
        let limit = self.settings.retransmission_limit;
        let connections = &mut self.connections;
        let Some(endpoint) = connections.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.stall.is_none() {
            connections.next_stall += 1;
            let stall = connections.next_stall;
            endpoint.stall = Some(stall);
            let event = Event::RetransmissionLimit {
                endpoint: id,
                stall,
            };
            self.schedule(limit, event);
        }
    }

    /// A stalled sender's time is over: its bytes that still wait are dropped with it.
    pub(super) fn retransmission_limit(&mut self, id: EndpointId, stall: u64) {
        let endpoint = self.connections.endpoints.get(&id);
        if endpoint.is_some_and(|end| end.stall == Some(stall)) {
            self.fail_endpoint(id, io::ErrorKind::TimedOut);
            for packets in self.held.values_mut() {
                packets.retain(|packet| packet.sender != id);
            }
        }
    }

    /// The process of a host ends: its machine resets every connection.
    pub(crate) fn reset_connections_of(&mut self, host: HostId) {
        for id in self.connections.of_host(host) {
            self.send_payload(id, Payload::Reset);
            self.connections.endpoints.remove(&id);
        }
    }

    /// A machine loses its power: its connections are forgotten, and nobody is told.
    pub(crate) fn forget_connections_of(&mut self, host: HostId) {
        for id in self.connections.of_host(host) {
            self.connections.endpoints.remove(&id);
        }
        self.held.retain(|(from, _), _| *from != host);
    }
}
