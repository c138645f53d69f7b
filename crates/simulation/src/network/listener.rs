//! Listeners for incoming connections.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};

use futures::future::BoxFuture;
use ponddrift_runtime::{BoxedStream, Listener};

use crate::host::HostId;
use crate::network::connection::EndpointId;
use crate::network::stream::SimulatedStream;
use crate::world::{SharedWorld, World};

/// The network's side of a bound listener.
pub(super) struct ListenerState {
    pub(super) host: HostId,
    /// Established connections that wait for `accept`.
    pub(super) waiting: VecDeque<EndpointId>,
    pub(super) waker: Option<Waker>,
}

/// The application's side of a listener.
pub(super) struct SimulatedListener {
    world: SharedWorld,
    local: SocketAddr,
    host: HostId,
    incarnation: u64,
}

impl SimulatedListener {
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

    fn poll_accept(&self, context: &Context<'_>) -> Poll<io::Result<(EndpointId, SocketAddr)>> {
        self.world.with(|world| {
            let connections = &mut world.connections;
            let Some(listener) = connections.listeners.get_mut(&self.local) else {
                return Poll::Ready(Err(io::Error::other("the host of the listener is down")));
            };
            while let Some(id) = listener.waiting.pop_front() {
                if let Some(endpoint) = connections.endpoints.get(&id) {
                    return Poll::Ready(Ok((id, endpoint.remote)));
                }
            }
            listener.waker = Some(context.waker().clone());
            Poll::Pending
        })
    }
}

impl Listener for SimulatedListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(BoxedStream, SocketAddr)>> {
        Box::pin(async move {
            let (endpoint, peer) = poll_fn(|context| self.poll_accept(context)).await?;
            let stream = SimulatedStream::new(self.world.clone(), endpoint);
            Ok((Box::new(stream) as BoxedStream, peer))
        })
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        Ok(self.local)
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        self.world.with(|world| {
            if world.host(self.host).incarnation == Some(self.incarnation) {
                world.remove_listener(self.local);
            }
        });
    }
}

impl World {
    pub(super) fn bind_listener(
        &mut self,
        host: HostId,
        requested: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let is_taken =
            |world: &Self, address: SocketAddr| world.connections.listeners.contains_key(&address);
        let local = self.local_address(host, requested, is_taken)?;
        let state = ListenerState {
            host,
            waiting: VecDeque::new(),
            waker: None,
        };
        self.connections.listeners.insert(local, state);
        Ok(local)
    }

    fn remove_listener(&mut self, local: SocketAddr) {
        if let Some(listener) = self.connections.listeners.remove(&local) {
            for id in listener.waiting {
                self.close_endpoint(id);
            }
        }
    }

    /// Removes all listeners of a host whose process ended.
    pub(crate) fn remove_listeners_of(&mut self, host: HostId) {
        let listeners = &mut self.connections.listeners;
        listeners.retain(|_, listener| listener.host != host);
    }
}
