//! Implementation of [`Network`] with the operating system's sockets.

use std::io;
use std::net::SocketAddr;

use futures::future::BoxFuture;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::network::{BoxedDatagram, BoxedListener, BoxedStream, Datagram, Listener, Network};

/// TCP and UDP sockets of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemNetwork;

impl Network for SystemNetwork {
    fn connect(&self, target: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let stream = TcpStream::connect(target).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedListener>> {
        Box::pin(async move {
            let listener = TcpListener::bind(address).await?;
            Ok(Box::new(SystemListener(listener)) as BoxedListener)
        })
    }

    fn bind_datagram(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedDatagram>> {
        Box::pin(async move {
            let socket = UdpSocket::bind(address).await?;
            Ok(Box::new(SystemDatagram(socket)) as BoxedDatagram)
        })
    }
}

struct SystemListener(TcpListener);

impl Listener for SystemListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(BoxedStream, SocketAddr)>> {
        Box::pin(async move {
            let (stream, peer) = self.0.accept().await?;
            stream.set_nodelay(true)?;
            Ok((Box::new(stream) as BoxedStream, peer))
        })
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

struct SystemDatagram(UdpSocket);

impl Datagram for SystemDatagram {
    fn send_to<'a>(
        &'a self,
        bytes: &'a [u8],
        target: SocketAddr,
    ) -> BoxFuture<'a, io::Result<usize>> {
        Box::pin(self.0.send_to(bytes, target))
    }

    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        Box::pin(self.0.recv_from(buffer))
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}
