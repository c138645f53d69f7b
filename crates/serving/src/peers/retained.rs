//! What daemons know that the store lacks since it came back from an older copy, told to those that only know the copy.
//!
//! A daemon that starts right then reads an older configuration, and back ends that have left since. Daemons that know more say so with each
//! regular digest until it has been written again; whoever has not seen just that set asks for it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::message::{self, Message};
use super::publish::in_turn;
use super::{Peers, relay};
use crate::time::now;

/// Sets of other daemons that are remembered, so that none is asked for twice.
const SETS_REMEMBERED: usize = 64;

/// Sets of retained items that other daemons have told of.
#[derive(Debug, Default)]
pub(super) struct SeenSets(VecDeque<u64>);

impl SeenSets {
    fn contains(&self, set: u64) -> bool {
        self.0.contains(&set)
    }

    fn add(&mut self, set: u64) {
        if self.0.len() == SETS_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(set);
    }
}

impl Peers {
    /// Says that this daemon knows what the store lacks, where it does.
    pub(super) async fn publish_retained(&self, round: u32) {
        let Some(set) = self.state.retained_hash() else {
            return;
        };
        let targets = in_turn(&self.neighbours(), round);
        let notice = message::encode(&Message::Retained { set });
        self.send(notice, &targets).await;
    }

    /// A peer knows what the store lacks.
    pub(super) fn notice_retained(self: &Arc<Self>, set: u64, from: SocketAddr) {
        let is_known = self.state.retained_hash() == Some(set) || self.seen_sets().contains(set);
        let can_take = self.state.position().is_some() && !self.state.is_of_earlier_era();
        if is_known || !can_take || self.is_asking_for_retained.swap(true, Ordering::Relaxed) {
            return;
        }
        let peers = Arc::clone(self);
        self.runtime.spawner.spawn(Box::pin(async move {
            peers.fetch_retained(set, from).await;
            peers.is_asking_for_retained.store(false, Ordering::Relaxed);
        }));
    }

    async fn fetch_retained(&self, set: u64, from: SocketAddr) {
        match relay::fetch_retained(&self.runtime, from).await {
            Ok(retained) => {
                let items = retained.items.len();
                let taken = self.state.apply_retained(retained, now());
                tracing::info!(%from, items, taken, "retained_taken");
                self.seen_sets().add(set);
            }
            // It says so again.
            Err(error) => tracing::info!(%from, %error, "retained_not_fetched"),
        }
    }
}
