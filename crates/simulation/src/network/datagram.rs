//! Datagrams, which can be lost, duplicated, delayed and reordered.

use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};

use futures::future::BoxFuture;
use ponddrift_runtime::Datagram;
use rand::RngExt;

use crate::host::HostId;
use crate::network::Event;
use crate::trace::{DropReason, TraceEvent};
use crate::world::{SharedWorld, World};

/// Maximum payload of a UDP datagram over IPv4.
const MAXIMUM_DATAGRAM_BYTES: usize = 65_507;
/// Maximum number of unread datagrams per socket. Further ones are dropped.
const RECEIVE_BUFFER_DATAGRAMS: usize = 1_024;

/// A datagram in flight.
pub(crate) struct InFlightDatagram {
    from: SocketAddr,
    to: SocketAddr,
    link: (HostId, HostId),
    bytes: Vec<u8>,
}

struct SocketState {
    host: HostId,
    inbox: VecDeque<(Vec<u8>, SocketAddr)>,
    waker: Option<Waker>,
}

/// All datagram sockets by local address.
#[derive(Default)]
pub(crate) struct DatagramSockets(BTreeMap<SocketAddr, SocketState>);

impl DatagramSockets {
    pub(crate) fn remove_host(&mut self, host: HostId) {
        self.0.retain(|_, socket| socket.host != host);
    }
}

/// The application's side of a datagram socket.
pub(super) struct SimulatedDatagram {
    world: SharedWorld,
    local: SocketAddr,
    host: HostId,
    incarnation: u64,
}

impl SimulatedDatagram {
    pub(super) fn new(
        world: SharedWorld,
        local: SocketAddr,
        host: HostId,
        incarnation: u64,
    ) -> Self {
        Self {
            world,
            local,
            host,
            incarnation,
        }
    }

    fn poll_receive(
        &self,
        context: &Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<(usize, SocketAddr)>> {
        self.world.with(|world| {
            let Some(socket) = world.datagrams.0.get_mut(&self.local) else {
                return Poll::Ready(Err(io::Error::other("the host of the socket is down")));
            };
            let Some((bytes, from)) = socket.inbox.pop_front() else {
                socket.waker = Some(context.waker().clone());
                return Poll::Pending;
            };
            // As with UDP, bytes that do not fit into the buffer are discarded.
            let length = bytes.len().min(buffer.len());
            buffer[..length].copy_from_slice(&bytes[..length]);
            Poll::Ready(Ok((length, from)))
        })
    }
}

impl Datagram for SimulatedDatagram {
    fn send_to<'a>(
        &'a self,
        bytes: &'a [u8],
        target: SocketAddr,
    ) -> BoxFuture<'a, io::Result<usize>> {
        Box::pin(async move {
            if bytes.len() > MAXIMUM_DATAGRAM_BYTES {
                return Err(io::Error::other("the datagram is longer than 65507 bytes"));
            }
            self.world.with(|world| {
                if world.host(self.host).incarnation == Some(self.incarnation) {
                    world.send_datagram(self.host, self.local, target, bytes);
                }
            });
            Ok(bytes.len())
        })
    }

    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        Box::pin(poll_fn(move |context| self.poll_receive(context, buffer)))
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        Ok(self.local)
    }
}

impl Drop for SimulatedDatagram {
    fn drop(&mut self) {
        self.world.with(|world| {
            if world.host(self.host).incarnation == Some(self.incarnation) {
                world.datagrams.0.remove(&self.local);
            }
        });
    }
}

impl World {
    pub(super) fn bind_datagram(
        &mut self,
        host: HostId,
        requested: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let is_taken = |world: &Self, address: SocketAddr| world.datagrams.0.contains_key(&address);
        let local = self.local_address(host, requested, is_taken)?;
        let socket = SocketState {
            host,
            inbox: VecDeque::new(),
            waker: None,
        };
        self.datagrams.0.insert(local, socket);
        Ok(local)
    }

    fn send_datagram(&mut self, host: HostId, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let Some(remote_host) = self.host_at(to.ip()) else {
            self.drop_datagram(from, to, DropReason::Unreachable);
            return;
        };
        let faults = self.datagram_faults;
        if self.random.random_bool(faults.loss) {
            self.drop_datagram(from, to, DropReason::Loss);
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(faults.duplication));
        for _ in 0..copies {
            let mut delay = self.draw_delay(host, remote_host);
            if self.random.random_bool(faults.reordering) {
                delay += self.draw_up_to(faults.reordering_delay);
            }
            let datagram = InFlightDatagram {
                from,
                to,
                link: (host, remote_host),
                bytes: bytes.to_vec(),
            };
            self.schedule(delay, Event::Datagram(datagram));
        }
    }

    pub(super) fn handle_datagram(&mut self, datagram: InFlightDatagram) {
        let InFlightDatagram {
            from,
            to,
            link,
            bytes,
        } = datagram;
        if self.is_blocked(link.0, link.1) {
            self.drop_datagram(from, to, DropReason::Unreachable);
            return;
        }
        let Some(socket) = self.datagrams.0.get_mut(&to) else {
            self.drop_datagram(from, to, DropReason::NoSocket);
            return;
        };
        if socket.inbox.len() >= RECEIVE_BUFFER_DATAGRAMS {
            self.drop_datagram(from, to, DropReason::BufferFull);
            return;
        }
        let length = bytes.len();
        socket.inbox.push_back((bytes, from));
        let waker = socket.waker.take();
        self.wake(waker);
        self.record(TraceEvent::DatagramDelivered {
            from,
            to,
            bytes: length,
        });
    }

    fn drop_datagram(&mut self, from: SocketAddr, to: SocketAddr, reason: DropReason) {
        self.record(TraceEvent::DatagramDropped { from, to, reason });
    }
}
