//! Background tasks of a daemon: ticks, datagrams, machine list updates, election of store
//! watchers.

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
use crate::fleet::MachineListReceiver;
use crate::metrics::Metrics;
use crate::peer::view::MembersView;
use crate::peer::{PeerIdentity, socket};

/// Number of daemons per zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;
/// Maximum number of datagrams passed to the peer actor in one message.
const MAXIMUM_BATCH_DATAGRAMS: usize = 32;
/// One byte more than the largest datagram, so that oversized datagrams are detected.
const BUFFER_BYTES: usize = MAXIMUM_DATAGRAM_BYTES + 1;

/// Ticks the peer actor. Each tick waits until the previous one is complete.
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

/// Passes datagrams to the peer actor in batches and waits for each batch to be processed. The wait
/// bounds memory use under load: excess datagrams stay in the socket buffer. Batching avoids two
/// task wakeups per datagram.
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
        while batch.len() < MAXIMUM_BATCH_DATAGRAMS {
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

/// Notifies the peer actor of each new machine list.
pub(super) async fn forward_machine_list(
    mut fleet: MachineListReceiver,
    peers: Address<PeerActor>,
) {
    while fleet.changed().await.is_ok() {
        tell(&peers, MachineListUpdated);
    }
}

/// Notifies the peer actor of each new configuration.
pub(super) async fn forward_configuration(
    mut configuration: watch::Receiver<Arc<Configuration>>,
    peers: Address<PeerActor>,
) {
    while configuration.changed().await.is_ok() {
        let revision = configuration.borrow_and_update().revision;
        tell(&peers, ConfigurationAdopted(revision));
    }
}

/// Periodically reports the demand measured at this daemon to the controllers.
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

/// Decides whether this daemon watches the store: [`WATCHERS_PER_ZONE`] daemons per zone do, and
/// any daemon that has no contact with its peers.
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
        let has_no_contact = view.contact != Contact::InContact;
        is_watcher.send_if_modified(|current| {
            let should_watch = is_chosen || has_no_contact;
            std::mem::replace(current, should_watch) != should_watch
        });
        if members.changed().await.is_err() {
            return;
        }
    }
}
