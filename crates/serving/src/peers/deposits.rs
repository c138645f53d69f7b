//! Adds the retry tokens that this daemon earned to the pool of its zone.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::budget::Deposits;

use super::Peers;
use super::message::{self, Message};
use super::translate::deposits_to_wire;
use crate::back_end_index::hash;

/// Interval between deposits. Tokens earned in the meantime are not yet available for retries.
const DEPOSIT_INTERVAL: Duration = Duration::from_secs(1);

impl Peers {
    pub(super) async fn deposit_retries(self: Arc<Self>) {
        let mut sequence = 0;
        loop {
            tokio::time::sleep(DEPOSIT_INTERVAL).await;
            let Some(pool_holder) = self.state.topology().retry_pool_owner() else {
                continue;
            };
            let earned = self.pipeline.take_deposits();
            if earned.is_empty() {
                continue;
            }
            sequence += 1;
            let deposits = Deposits {
                origin: self.origin,
                sequence,
                repeats: earned
                    .into_iter()
                    .map(|(service, retries)| (hash(&service), retries))
                    .collect(),
            };
            if pool_holder == self.state.own().peer_address {
                self.pipeline.receive_deposits(&deposits);
            } else {
                let row = Message::Deposits(deposits_to_wire(&deposits));
                self.send(message::encode(&row), &[pool_holder]).await;
            }
        }
    }
}
