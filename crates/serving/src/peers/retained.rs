//! Exchanges the items that daemons retain although the store lost them when it was restored from a
//! backup.
//!
//! A daemon that starts at that time reads an older configuration and back ends that have left
//! since. Daemons that know more announce it with each regular digest until the items are written
//! to the store again. A daemon that has not seen that set of items fetches it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::message::{self, Message};
use super::publish::next_targets;
use super::{Peers, queries};
use crate::time::now;

/// Number of item sets of other daemons to remember, so that none is fetched twice.
const MAX_SEEN_SETS: usize = 64;

/// Hashes of the sets of retained items that were fetched from other daemons.
#[derive(Debug, Default)]
pub(super) struct SeenSets(VecDeque<u64>);

impl SeenSets {
    fn contains(&self, items_hash: u64) -> bool {
        self.0.contains(&items_hash)
    }

    fn add(&mut self, items_hash: u64) {
        if self.0.len() == MAX_SEEN_SETS {
            self.0.pop_front();
        }
        self.0.push_back(items_hash);
    }
}

impl Peers {
    /// Announces the items that this daemon retains, if there are any.
    pub(super) async fn publish_retained(&self, round: u32) {
        let Some(items_hash) = self.state.retained_hash() else {
            return;
        };
        let targets = next_targets(&self.neighbours(), round);
        let announcement = message::encode(&Message::Retained { items_hash });
        self.send(announcement, &targets).await;
    }

    /// Fetches the items that a peer retains, unless they are known or this daemon cannot apply
    /// them yet.
    pub(super) fn observe_retained(self: &Arc<Self>, items_hash: u64, from: SocketAddr) {
        let is_known =
            self.state.retained_hash() == Some(items_hash) || self.seen_sets().contains(items_hash);
        let can_apply = self.state.position().is_some() && !self.state.is_of_earlier_era();
        if is_known || !can_apply || self.is_fetching_retained.swap(true, Ordering::Relaxed) {
            return;
        }
        let peers = Arc::clone(self);
        self.runtime.spawner.spawn(Box::pin(async move {
            peers.fetch_retained(items_hash, from).await;
            peers.is_fetching_retained.store(false, Ordering::Relaxed);
        }));
    }

    async fn fetch_retained(&self, items_hash: u64, from: SocketAddr) {
        match queries::fetch_retained(&self.runtime, from).await {
            Ok(retained) => {
                let items = retained.items.len();
                let taken = self.state.apply_retained(retained, now());
                tracing::info!(%from, items, taken, "retained_taken");
                self.seen_sets().add(items_hash);
            }
            // The peer announces them again.
            Err(error) => tracing::info!(%from, %error, "retained_not_fetched"),
        }
    }
}
