//! Binds the UDP socket and the TCP listener of the peer address to the same port.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ponddrift_protocol::{Datagram, MAXIMUM_DATAGRAM_BYTES, decode_datagram};
use ponddrift_runtime::{BoxedDatagram, BoxedListener, Datagram as DatagramSocket, Runtime};

use super::PeerIdentity;
use super::outbox::OutgoingDatagram;
use crate::metrics::{Direction, Metrics};

/// Maximum attempts to find a port free for both UDP and TCP when port 0 is configured.
const BIND_ATTEMPTS: usize = 16;

/// The bound sockets of the peer address.
pub(crate) struct PeerSockets {
    pub(crate) datagrams: Arc<dyn DatagramSocket>,
    pub(crate) listener: BoxedListener,
    pub(crate) address: SocketAddr,
}

/// Binds both sockets to `address`; with port 0, to a common port chosen by the system.
pub(crate) async fn bind(runtime: &Runtime, address: SocketAddr) -> io::Result<PeerSockets> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..BIND_ATTEMPTS {
        let listener = runtime.network.listen(address).await?;
        let bound = listener.local_address()?;
        match runtime.network.bind_datagram(bound).await {
            Ok(datagrams) => return Ok(sockets(datagrams, listener, bound)),
            Err(error) if address.port() == 0 => last_error = error,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

fn sockets(datagrams: BoxedDatagram, listener: BoxedListener, address: SocketAddr) -> PeerSockets {
    PeerSockets {
        datagrams: Arc::from(datagrams),
        listener,
        address,
    }
}

/// Sends datagrams without retries; the gossip protocols tolerate lost ones.
pub(crate) async fn send_all(
    socket: &dyn DatagramSocket,
    metrics: &Metrics,
    outgoing: Vec<OutgoingDatagram>,
) {
    for datagram in outgoing {
        metrics.datagram(Direction::Sent, datagram.bytes.len());
        if let Err(error) = socket.send_to(&datagram.bytes, datagram.target).await {
            tracing::debug!(target_address = %datagram.target, %error, "sending a datagram failed");
        }
    }
}

/// Receives the next datagram of this cluster; counts and drops invalid ones and those of others.
pub(crate) async fn receive(
    socket: &dyn DatagramSocket,
    metrics: &Metrics,
    identity: PeerIdentity,
    buffer: &mut [u8; MAXIMUM_DATAGRAM_BYTES + 1],
) -> io::Result<(SocketAddr, Datagram)> {
    loop {
        let (length, from) = socket.receive_from(buffer.as_mut_slice()).await?;
        metrics.datagram(Direction::Received, length);
        match decode_datagram(&buffer[..length]) {
            Ok(datagram) if datagram.cluster == identity.cluster => return Ok((from, datagram)),
            Ok(_other_cluster) => metrics.bad_datagram(),
            Err(error) => {
                tracing::debug!(%from, %error, "datagram dropped");
                metrics.bad_datagram();
            }
        }
    }
}
