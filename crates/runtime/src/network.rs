//! Traits for stream connections and datagram sockets.

use std::io;
use std::net::SocketAddr;

use futures::future::BoxFuture;
use tokio::io::{AsyncRead, AsyncWrite};

/// A bidirectional byte stream.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T> Stream for T where T: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

/// A connection of any [`Network`].
pub type BoxedStream = Box<dyn Stream>;
/// A listener of any [`Network`].
pub type BoxedListener = Box<dyn Listener>;
/// A datagram socket of any [`Network`].
pub type BoxedDatagram = Box<dyn Datagram>;

/// A socket that accepts connections.
pub trait Listener: Send + Sync + 'static {
    /// Waits for the next connection; returns it with the address of the peer.
    fn accept(&self) -> BoxFuture<'_, io::Result<(BoxedStream, SocketAddr)>>;
    /// The bound address. If port 0 was requested, it contains the port that was chosen.
    ///
    /// # Errors
    /// When the address cannot be read from the socket.
    fn local_address(&self) -> io::Result<SocketAddr>;
}

/// A datagram socket. Datagrams may be lost, duplicated and reordered.
pub trait Datagram: Send + Sync + 'static {
    /// Sends a datagram. Success does not mean that it was delivered.
    fn send_to<'a>(
        &'a self,
        bytes: &'a [u8],
        target: SocketAddr,
    ) -> BoxFuture<'a, io::Result<usize>>;
    /// Waits for the next datagram and copies it into `buffer`. Returns its length and its sender.
    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>>;
    /// The bound address.
    ///
    /// # Errors
    /// When the address cannot be read from the socket.
    fn local_address(&self) -> io::Result<SocketAddr>;
}

/// A network: the operating system's or the simulator's.
pub trait Network: Send + Sync + 'static {
    /// Opens a connection. Has no time limit of its own; callers must set one.
    fn connect(&self, target: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>>;
    /// Binds a listener to `address`.
    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedListener>>;
    /// Binds a datagram socket to `address`.
    fn bind_datagram(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedDatagram>>;
}
