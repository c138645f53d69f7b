//! Background work of a daemon: ticks, datagrams, the machine list, who watches the store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use ponddrift_core::configuration::Configuration;
use ponddrift_core::demand::DemandCounter;
use ponddrift_core::membership::Contact;
use ponddrift_core::membership::assignment::store_watchers;
use ponddrift_core::{MachineId, ZoneName};
use ponddrift_protocol::MAXIMUM_DATAGRAM_BYTES;
use ponddrift_runtime::Datagram;
use ponddrift_runtime::watch;
use tokio::time::MissedTickBehavior;
use xtra::Address;

use crate::actors::peer::receive::Received;
use crate::actors::peer::{
    ConfigurationAdopted, MachineListUpdated, PEER_TICK_PERIOD, PeerActor, ReportDemand, Tick,
};
use crate::actors::{ask, tell};
use crate::fleet::FleetReceiver;
use crate::metrics::Metrics;
use crate::peer::view::MembersView;
use crate::peer::{PeerIdentity, socket};

/// Daemons of a zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// Most datagrams that are handled without a look at anything else.
const DATAGRAMS_AT_ONCE: usize = 32;
/// Largest datagram and one byte, so that a longer one is noticed.
const BUFFER_BYTES: usize = MAXIMUM_DATAGRAM_BYTES + 1;

/// Ticks the peer actor. A tick waits for the one before.
pub(super) async fn tick(peers: Address<PeerActor>) {
    let mut ticker = tokio::time::interval(PEER_TICK_PERIOD);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        if ask(&peers, Tick).await.is_err() {
            return;
        }
    }
}

/// Hands datagrams to the peer actor, those that have come together at once. The next ones wait for it: a flood
/// fills the socket, not the memory. One by one a busy machine would wake two tasks for each datagram, and
/// the socket would overflow meanwhile.
pub(super) async fn receive(
    datagrams: Arc<dyn Datagram>,
    metrics: Arc<Metrics>,
    identity: PeerIdentity,
    peers: Address<PeerActor>,
) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let first = socket::receive(datagrams.as_ref(), &metrics, identity, &mut buffer).await;
        let mut batch = match first {
            Ok(first) => vec![first],
            Err(error) => {
                tracing::warn!(%error, "receiving datagrams failed");
                tokio::time::sleep(PEER_TICK_PERIOD).await;
                continue;
            }
        };
        while batch.len() < DATAGRAMS_AT_ONCE {
            let next = socket::receive(datagrams.as_ref(), &metrics, identity, &mut buffer);
            let Some(Ok(next)) = next.now_or_never() else {
                break;
            };
            batch.push(next);
        }
        if ask(&peers, Received(batch)).await.is_err() {
            return;
        }
    }
}

/// Tells the peer actor of each new machine list.
pub(super) async fn pass_on_fleet(mut fleet: FleetReceiver, peers: Address<PeerActor>) {
    while fleet.changed().await.is_ok() {
        tell(&peers, MachineListUpdated);
    }
}

/// Tells the peer actor of each new configuration.
pub(super) async fn pass_on_configuration(
    mut configuration: watch::Receiver<Arc<Configuration>>,
    peers: Address<PeerActor>,
) {
    while configuration.changed().await.is_ok() {
        let revision = configuration.borrow_and_update().revision;
        tell(&peers, ConfigurationAdopted(revision));
    }
}

/// Tells the controllers, at an interval, what arrived here.
pub(super) async fn report_demand(
    demand: Arc<Mutex<DemandCounter>>,
    interval: Duration,
    peers: Address<PeerActor>,
) {
    let mut ticker = tokio::time::interval(interval);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let counted = demand.lock().unwrap_or_else(PoisonError::into_inner).take();
        if ask(&peers, ReportDemand(counted)).await.is_err() {
            return;
        }
    }
}

/// Decides whether this daemon watches the store: about two of each zone do, and any that knows nobody.
pub(super) async fn elect_watcher(
    own: MachineId,
    zone: ZoneName,
    mut members: watch::Receiver<Arc<MembersView>>,
    is_watcher: watch::Sender<bool>,
) {
    loop {
        let view = Arc::clone(&members.borrow_and_update());
        let live = view.live_records();
        let watchers = store_watchers(&zone, &live, WATCHERS_PER_ZONE);
        let is_chosen = watchers.iter().any(|watcher| watcher.machine == own);
        let stands_alone = view.contact != Contact::InContact;
        is_watcher.send_if_modified(|current| {
            let should_watch = is_chosen || stands_alone;
            std::mem::replace(current, should_watch) != should_watch
        });
        if members.changed().await.is_err() {
            return;
        }
    }
}
