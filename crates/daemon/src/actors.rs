//! Actors (xtra) that connect the I/O-free decision logic of `ponddrift-core` to clocks, sockets
//! and tasks.

pub(crate) mod admission;
pub(crate) mod claims;
pub(crate) mod configuration;
pub(crate) mod controller;
pub(crate) mod peer;
pub(crate) mod routing;

use std::future::Future;

use futures::FutureExt;
use ponddrift_runtime::Runtime;
use xtra::{Actor, Address, Handler, Mailbox};

/// The actor has stopped because the daemon is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the daemon is shutting down; send to another daemon")]
pub(crate) struct ActorStopped;

/// Starts an actor on the runtime's spawner.
pub(crate) fn start<A>(runtime: &Runtime, actor: A) -> Address<A>
where
    A: Actor<Stop = ()>,
{
    let (address, mailbox) = Mailbox::unbounded();
    runtime.spawner.spawn(Box::pin(xtra::run(mailbox, actor)));
    address
}

/// Sends a message to an actor and waits for the result.
pub(crate) fn ask<A, M>(
    address: &Address<A>,
    message: M,
) -> impl Future<Output = Result<<A as Handler<M>>::Return, ActorStopped>> + use<A, M>
where
    A: Actor + Handler<M>,
    M: Send + 'static,
{
    let sending = address.send(message);
    async move { sending.await.map_err(|_disconnected| ActorStopped) }
}

/// Sends a message to an actor without waiting for the result. Messages from one sender to one
/// actor keep their order.
///
/// Mailboxes are unbounded, so a single poll queues the message.
pub(crate) fn tell<A, M>(address: &Address<A>, message: M)
where
    A: Actor + Handler<M>,
    M: Send + 'static,
{
    // The message is dropped if the actor has stopped.
    let _queued = address.send(message).detach().now_or_never();
}
