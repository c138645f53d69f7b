//! The virtual network as used by one host.

mod connection;
mod datagram;
mod delivery;
mod listener;
mod stream;

use std::io;
use std::net::SocketAddr;

use futures::future::BoxFuture;
use ponddrift_runtime::{BoxedDatagram, BoxedListener, BoxedStream, Network};

use crate::host::HostId;
use crate::world::{SharedWorld, World};

pub(crate) use connection::{Connections, Packet};
pub(crate) use datagram::DatagramSockets;

use connection::EndpointId;
use datagram::{InFlightDatagram, SimulatedDatagram};
use listener::SimulatedListener;
use stream::SimulatedStream;

/// A pending network event.
pub(crate) enum Event {
    /// Arrival of a stream packet.
    Packet(Packet),
    /// Arrival of a datagram.
    Datagram(InFlightDatagram),
    /// Aborts the connection of a sender that is still in the given stall.
    RetransmissionLimit {
        /// Endpoint of the sender.
        endpoint: EndpointId,
        /// Identifies the stall for which the timer was started.
        stall: u64,
    },
}

/// Network access of one incarnation of a host.
pub(crate) struct SimulatedNetwork {
    world: SharedWorld,
    host: HostId,
    incarnation: u64,
}

impl SimulatedNetwork {
    pub(crate) fn new(world: SharedWorld, host: HostId, incarnation: u64) -> Self {
        Self {
            world,
            host,
            incarnation,
        }
    }

    fn check_alive(&self, world: &World) -> io::Result<()> {
        if world.host(self.host).incarnation == Some(self.incarnation) {
            return Ok(());
        }
        Err(io::Error::other("this incarnation of the host has ended"))
    }
}

impl Network for SimulatedNetwork {
    fn connect(&self, target: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let endpoint = self.world.with(|world| {
                self.check_alive(world)?;
                world.open_connection(self.host, target)
            })?;
            let stream = SimulatedStream::new(self.world.clone(), endpoint);
            stream.established().await?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedListener>> {
        Box::pin(async move {
            let local = self.world.with(|world| {
                self.check_alive(world)?;
                world.bind_listener(self.host, address)
            })?;
            let listener =
                SimulatedListener::new(self.world.clone(), local, self.host, self.incarnation);
            Ok(Box::new(listener) as BoxedListener)
        })
    }

    fn bind_datagram(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedDatagram>> {
        Box::pin(async move {
            let local = self.world.with(|world| {
                self.check_alive(world)?;
                world.bind_datagram(self.host, address)
            })?;
            let socket =
                SimulatedDatagram::new(self.world.clone(), local, self.host, self.incarnation);
            Ok(Box::new(socket) as BoxedDatagram)
        })
    }
}

impl World {
    /// Resolves the local address to bind: the host's own IP address, and a free port for port 0.
    ///
    /// Fails with `AddrNotAvailable` for another host's IP address and with `AddrInUse` if no port
    /// is free.
    fn local_address(
        &mut self,
        host: HostId,
        requested: SocketAddr,
        is_taken: impl Fn(&Self, SocketAddr) -> bool,
    ) -> io::Result<SocketAddr> {
        let ip = self.host(host).spec.ip;
        if requested.ip() != ip && !requested.ip().is_unspecified() {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        }
        if requested.port() == 0 {
            return self
                .free_port(host, is_taken)
                .ok_or_else(|| io::ErrorKind::AddrInUse.into());
        }
        let local = SocketAddr::new(ip, requested.port());
        if is_taken(self, local) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(local)
    }
}
