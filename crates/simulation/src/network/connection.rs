//! Connections: ordered byte streams between two endpoints, with the failure modes of TCP.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::task::Waker;

use crate::host::HostId;
use crate::network::Event;
use crate::network::listener::ListenerState;
use crate::trace::TraceEvent;
use crate::world::World;

/// Identifies one endpoint of a connection. Numbers are never reused.
pub(crate) type EndpointId = u64;

/// Content of a packet.
pub(crate) enum Payload {
    /// Connection request.
    Open,
    /// The request was accepted; carries the endpoint on the listener's side.
    Accepted(EndpointId),
    /// The request was refused.
    Refused,
    /// Stream bytes.
    Data(Vec<u8>),
    /// The sender has shut down its write side.
    End,
    /// The sender's endpoint no longer exists.
    Reset,
}

/// A stream packet in flight.
pub(crate) struct Packet {
    pub(crate) from: HostId,
    pub(crate) to: HostId,
    pub(super) sender: EndpointId,
    pub(super) receiver: Receiver,
    /// Position in the sender's sequence; `None` for a reply from a host without such an endpoint.
    pub(super) sequence: Option<u64>,
    pub(super) payload: Payload,
}

/// Destination of a packet.
#[derive(Clone, Copy)]
pub(super) enum Receiver {
    /// A listener, for a connection request.
    Listener {
        /// Client address.
        from: SocketAddr,
        /// Listener address.
        to: SocketAddr,
    },
    /// An endpoint of a connection.
    Endpoint(EndpointId),
}

/// Connection state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for the listener's reply.
    Opening,
    /// Established.
    Open,
}

/// One endpoint of a connection.
pub(super) struct Endpoint {
    pub(super) host: HostId,
    pub(super) remote_host: HostId,
    pub(super) local: SocketAddr,
    pub(super) remote: SocketAddr,
    pub(super) peer: Option<EndpointId>,
    pub(super) phase: Phase,
    /// Received bytes that the application has not read yet.
    pub(super) inbox: VecDeque<u8>,
    /// Whether the peer has shut down its write side.
    pub(super) end_received: bool,
    /// Whether this side has shut down its write side.
    pub(super) end_sent: bool,
    /// Error that every later operation returns, once the connection has failed.
    pub(super) failure: Option<io::ErrorKind>,
    /// Whether all packets to this endpoint are dropped without a reset.
    pub(super) is_blackholed: bool,
    /// Bytes sent that the peer has not read yet.
    pub(super) outstanding: usize,
    /// Bytes read here whose acknowledgement is waiting for the link to be restored.
    pub(super) deferred_credit_bytes: usize,
    /// Identifies the current stall while sent packets are not acknowledged.
    pub(super) stall: Option<u64>,
    pub(super) next_sequence: u64,
    pub(super) expected_sequence: u64,
    /// Payloads that arrived before one with a lower sequence number.
    pub(super) out_of_order: BTreeMap<u64, Payload>,
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
            is_blackholed: false,
            outstanding: 0,
            deferred_credit_bytes: 0,
            stall: None,
            next_sequence: 0,
            expected_sequence: 0,
            out_of_order: BTreeMap::new(),
            read_waker: None,
            write_waker: None,
        }
    }
}

/// All listeners and connection endpoints.
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

    fn endpoints_of_host(&self, host: HostId) -> Vec<EndpointId> {
        let endpoints = self.endpoints.iter().filter(|(_, end)| end.host == host);
        endpoints.map(|(id, _)| *id).collect()
    }

    /// Endpoints of both sides of the connections between two hosts.
    pub(super) fn endpoints_between(&self, first: HostId, second: HostId) -> Vec<EndpointId> {
        let connects = |end: &Endpoint| {
            let ends = (end.host, end.remote_host);
            ends == (first, second) || ends == (second, first)
        };
        let endpoints = self.endpoints.iter().filter(|(_, end)| connects(end));
        endpoints.map(|(id, _)| *id).collect()
    }
}

impl World {
    /// Sends a connection request. The endpoint is usable once the listener has accepted it.
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

    /// Sends a payload from an endpoint to its peer, in order.
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
        self.transmit(packet);
    }

    /// Schedules the arrival of a packet after the link's delay.
    pub(super) fn transmit(&mut self, packet: Packet) {
        let delay = self.draw_delay(packet.from, packet.to);
        self.schedule(delay, Event::Packet(packet));
    }

    /// Closes an endpoint that the application dropped. Unread bytes cause a reset, as in TCP.
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

    /// Marks an endpoint as failed and wakes its reader and writer.
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

    /// Marks a sender as stalled and starts its retransmission timer, unless it is already stalled.
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

    /// Fails a connection whose sender is still in this stall, and drops its waiting packets.
    pub(super) fn retransmission_limit(&mut self, id: EndpointId, stall: u64) {
        let endpoint = self.connections.endpoints.get(&id);
        if endpoint.is_some_and(|end| end.stall == Some(stall)) {
            self.fail_endpoint(id, io::ErrorKind::TimedOut);
            for packets in self.held_packets.values_mut() {
                packets.retain(|packet| packet.sender != id);
            }
        }
    }

    /// Resets every connection of a host whose process ended.
    pub(crate) fn reset_connections_of(&mut self, host: HostId) {
        for id in self.connections.endpoints_of_host(host) {
            self.send_payload(id, Payload::Reset);
            self.connections.endpoints.remove(&id);
        }
    }

    /// Removes the connections of a host that lost power, without notifying its peers.
    pub(crate) fn forget_connections_of(&mut self, host: HostId) {
        for id in self.connections.endpoints_of_host(host) {
            self.connections.endpoints.remove(&id);
        }
        self.held_packets.retain(|(from, _), _| *from != host);
    }
}
