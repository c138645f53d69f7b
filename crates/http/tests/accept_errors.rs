//! Errors of `accept`.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use ponddrift_http::body::{self, Body};
use ponddrift_http::server::{Server, ServerSettings};
use ponddrift_runtime::{BoxedDatagram, BoxedListener, BoxedStream, Listener, Network, Runtime};
use rustix::io::Errno;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The system's network, whose listener accepts one connection, fails once, and goes on.
struct FailingNetwork {
    inner: Arc<dyn Network>,
    error: Errno,
}

struct FailingListener {
    inner: BoxedListener,
    outcomes: Mutex<VecDeque<Option<Errno>>>,
}

impl Network for FailingNetwork {
    fn connect(&self, target: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        self.inner.connect(target)
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedListener>> {
        async move {
            let listener = FailingListener {
                inner: self.inner.listen(address).await?,
                outcomes: Mutex::new(VecDeque::from([None, Some(self.error)])),
            };
            Ok(Box::new(listener) as BoxedListener)
        }
        .boxed()
    }

    fn bind_datagram(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedDatagram>> {
        self.inner.bind_datagram(address)
    }
}

impl Listener for FailingListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(BoxedStream, SocketAddr)>> {
        let outcome = self.outcomes.lock().expect("no test panicked").pop_front();
        match outcome.flatten() {
            Some(error) => futures::future::err(error.into()).boxed(),
            None => self.inner.accept(),
        }
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        self.inner.local_address()
    }
}

fn answer(_request: Request<Incoming>, _peer: SocketAddr) -> BoxFuture<'static, Response<Body>> {
    async { Response::new(body::full("served")) }.boxed()
}

/// Whether a connection that was idle when `accept` failed still serves a request.
async fn idle_connection_serves_after(error: Errno) -> bool {
    let system = Runtime::system(1);
    let runtime = Runtime {
        network: Arc::new(FailingNetwork {
            inner: Arc::clone(&system.network),
            error,
        }),
        ..system
    };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(
        &runtime,
        any_port,
        ServerSettings::default(),
        Arc::new(answer),
    )
    .await
    .expect("a free port");
    let mut idle = connect(&server).await;
    // The next connection is accepted after the failure.
    let mut next = connect(&server).await;
    assert!(serves(&mut next).await);
    serves(&mut idle).await
}

async fn connect(server: &Server) -> TcpStream {
    TcpStream::connect(server.address())
        .await
        .expect("it listens")
}

async fn serves(connection: &mut TcpStream) -> bool {
    let request = b"GET / HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";
    if connection.write_all(request).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let read = connection.read_to_end(&mut answer).await;
    read.is_ok() && answer.starts_with(b"HTTP/1.1 200")
}

/// A caller that gives up before its connection is accepted is no reason to close the idle connections of others.
#[tokio::test]
async fn idle_connections_are_closed_only_if_descriptors_are_exhausted() {
    assert!(idle_connection_serves_after(Errno::CONNABORTED).await);
    assert!(!idle_connection_serves_after(Errno::MFILE).await);
    assert!(!idle_connection_serves_after(Errno::NFILE).await);
}
