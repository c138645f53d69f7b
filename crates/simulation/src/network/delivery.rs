//! Packet delivery, including packets that wait for a cut link.

use std::io;
use std::net::SocketAddr;

use crate::host::HostId;
use crate::network::Event;
use crate::network::connection::{Endpoint, EndpointId, Packet, Payload, Phase, Receiver};
use crate::trace::TraceEvent;
use crate::world::World;

/// Maximum number of connections that wait for a listener's `accept`.
const ACCEPT_BACKLOG: usize = 1_024;

impl World {
    pub(crate) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Packet(packet) => self.handle_packet(packet),
            Event::Datagram(datagram) => self.handle_datagram(datagram),
            Event::RetransmissionLimit { endpoint, stall } => {
                self.retransmission_limit(endpoint, stall);
            }
        }
    }

    fn handle_packet(&mut self, packet: Packet) {
        let link = (packet.from, packet.to);
        if self.is_blocked(packet.from, packet.to) {
            self.stall_sender(packet.sender);
            self.held_packets.entry(link).or_default().push_back(packet);
            return;
        }
        if self.is_blocked(packet.to, packet.from) {
            // The bytes arrive, but their acknowledgement does not.
            self.stall_sender(packet.sender);
        }
        if self.is_blackholed(packet.receiver) {
            return;
        }
        match packet.receiver {
            Receiver::Listener { .. } if self.refuses(packet.from, packet.to) => {
                self.reply_without_endpoint(&packet, Payload::Refused);
            }
            Receiver::Listener { from, to } => self.handle_open(&packet, from, to),
            Receiver::Endpoint(receiver) => self.deliver_to_endpoint(receiver, packet),
        }
    }

    /// Drops all further packets of the open connections between two hosts, without a reset. New
    /// connections work.
    pub(crate) fn blackhole_connections(&mut self, first: HostId, second: HostId) {
        for endpoint in self.connections.endpoints.values_mut() {
            let ends = (endpoint.host, endpoint.remote_host);
            endpoint.is_blackholed |= ends == (first, second) || ends == (second, first);
        }
    }

    /// Resets the open connections between two hosts.
    pub(crate) fn reset_connections_between(&mut self, first: HostId, second: HostId) {
        for id in self.connections.endpoints_between(first, second) {
            self.fail_endpoint(id, io::ErrorKind::ConnectionReset);
        }
    }

    fn is_blackholed(&self, receiver: Receiver) -> bool {
        let Receiver::Endpoint(id) = receiver else {
            return false;
        };
        let endpoint = self.connections.endpoints.get(&id);
        endpoint.is_some_and(|endpoint| endpoint.is_blackholed)
    }

    fn handle_open(&mut self, packet: &Packet, from: SocketAddr, to: SocketAddr) {
        let has_room = |backlog: usize| backlog < ACCEPT_BACKLOG;
        let listener = self.connections.listeners.get(&to);
        if !listener.is_some_and(|listener| has_room(listener.waiting.len())) {
            self.reply_without_endpoint(packet, Payload::Refused);
            return;
        }
        let mut endpoint = Endpoint::new(packet.to, packet.from, to, from);
        endpoint.peer = Some(packet.sender);
        endpoint.phase = Phase::Open;
        endpoint.expected_sequence = 1;
        let id = self.connections.add(endpoint);
        self.record(TraceEvent::Connected { from, to });
        self.send_payload(id, Payload::Accepted(id));
        if let Some(listener) = self.connections.listeners.get_mut(&to) {
            listener.waiting.push_back(id);
            let waker = listener.waker.take();
            self.wake(waker);
        }
    }

    fn reply_without_endpoint(&mut self, packet: &Packet, payload: Payload) {
        self.transmit(Packet {
            from: packet.to,
            to: packet.from,
            sender: 0,
            receiver: Receiver::Endpoint(packet.sender),
            sequence: None,
            payload,
        });
    }

    fn deliver_to_endpoint(&mut self, id: EndpointId, packet: Packet) {
        let Some(endpoint) = self.connections.endpoints.get_mut(&id) else {
            if !matches!(packet.payload, Payload::Reset | Payload::Refused) {
                self.reply_without_endpoint(&packet, Payload::Reset);
            }
            return;
        };
        match packet.sequence {
            None => self.process_payload(id, packet.payload),
            Some(sequence) => {
                endpoint.out_of_order.insert(sequence, packet.payload);
                self.process_in_order(id);
            }
        }
    }

    fn process_in_order(&mut self, id: EndpointId) {
        loop {
            let Some(endpoint) = self.connections.endpoints.get_mut(&id) else {
                return;
            };
            let Some(payload) = endpoint.out_of_order.remove(&endpoint.expected_sequence) else {
                return;
            };
            endpoint.expected_sequence += 1;
            self.process_payload(id, payload);
        }
    }

    fn process_payload(&mut self, id: EndpointId, payload: Payload) {
        let Some(endpoint) = self.connections.endpoints.get_mut(&id) else {
            return;
        };
        match payload {
            Payload::Open => {}
            Payload::Refused => self.fail_endpoint(id, io::ErrorKind::ConnectionRefused),
            Payload::Reset => self.fail_endpoint(id, io::ErrorKind::ConnectionReset),
            Payload::Accepted(peer) => {
                endpoint.peer = Some(peer);
                endpoint.phase = Phase::Open;
                self.wake_reader(id);
            }
            Payload::End => {
                endpoint.end_received = true;
                self.wake_reader(id);
            }
            Payload::Data(bytes) => {
                endpoint.inbox.extend(bytes);
                let (from, to) = (endpoint.remote, endpoint.local);
                self.record(TraceEvent::SegmentDelivered { from, to });
                self.wake_reader(id);
            }
        }
    }

    fn wake_reader(&mut self, id: EndpointId) {
        let endpoint = self.connections.endpoints.get_mut(&id);
        let waker = endpoint.and_then(|end| end.read_waker.take());
        self.wake(waker);
    }

    /// Frees `bytes` of the sender's window after `receiver` has read them. If the link is cut, the
    /// credit is deferred.
    pub(super) fn credit_sender(&mut self, receiver: EndpointId, bytes: usize) {
        let Some(endpoint) = self.connections.endpoints.get(&receiver) else {
            return;
        };
        let (host, remote_host, peer) = (endpoint.host, endpoint.remote_host, endpoint.peer);
        if self.is_blocked(host, remote_host) {
            if let Some(endpoint) = self.connections.endpoints.get_mut(&receiver) {
                endpoint.deferred_credit_bytes += bytes;
            }
            return;
        }
        let sender = peer.and_then(|peer| self.connections.endpoints.get_mut(&peer));
        let waker = sender.and_then(|sender| {
            sender.outstanding = sender.outstanding.saturating_sub(bytes);
            sender.write_waker.take()
        });
        self.wake(waker);
    }

    /// Sends the packets and acknowledgements that waited for links which now work again.
    pub(crate) fn resend_held_packets(&mut self) {
        for (link, packets) in std::mem::take(&mut self.held_packets) {
            if self.is_blocked(link.0, link.1) {
                self.held_packets.insert(link, packets);
            } else {
                packets.into_iter().for_each(|packet| self.transmit(packet));
            }
        }
        self.release_endpoints();
    }

    fn release_endpoints(&mut self) {
        let ids: Vec<EndpointId> = self.connections.endpoints.keys().copied().collect();
        for id in ids {
            let Some(endpoint) = self.connections.endpoints.get(&id) else {
                continue;
            };
            let (local_host, peer_host) = (endpoint.host, endpoint.remote_host);
            let credit = endpoint.deferred_credit_bytes;
            let sends = !self.is_blocked(local_host, peer_host);
            let is_whole = sends && !self.is_blocked(peer_host, local_host);
            if let Some(endpoint) = self.connections.endpoints.get_mut(&id) {
                if sends {
                    endpoint.deferred_credit_bytes = 0;
                }
                if is_whole {
                    endpoint.stall = None;
                }
            }
            if sends && credit > 0 {
                self.credit_sender(id, credit);
            }
        }
    }
}
