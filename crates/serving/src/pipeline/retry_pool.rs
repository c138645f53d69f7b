//! Retries that the daemons of a zone save up together, where one daemon alone cannot.

use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::budget::{Deposits, RetryPool, pool_capacity};

use super::Pipeline;
use crate::back_end_index::hash;
use crate::peers;
use crate::time::now;

/// Time for the keeper's answer: some round trips within a zone, and its scheduling. A keeper that is gone costs a failed request
/// no more than this.
const KEEPER_LIMIT: Duration = Duration::from_millis(50);
/// After the pool had nothing it is not asked again for this long: when all engines fail, every request would.
const EMPTY_PAUSE: Duration = Duration::from_millis(250);

impl Pipeline {
    /// What this daemon earned since the last call; nothing where it saves up itself.
    pub(crate) fn take_deposits(&self) -> Vec<(Arc<str>, f64)> {
        let mut budget = self.budget();
        if budget.is_pooled() {
            budget.take_deposits()
        } else {
            Vec::new()
        }
    }

    /// A daemon of the zone puts in what it earned.
    pub(crate) fn receive_deposits(&self, deposits: &Deposits) {
        let topology = self.state.topology();
        let of_zone = topology.neighbours.len() + 1;
        let most = pool_capacity(self.budget_settings, of_zone, topology.daemons);
        self.retry_pool().deposit(deposits, most);
    }

    /// Takes a retry from the pool that this daemon keeps.
    pub(crate) fn withdraw_from_pool(&self, service: u32) -> bool {
        self.retry_pool().withdraw(service)
    }

    /// Asks the zone's pool for a retry.
    pub(super) async fn withdraw_retry(&self, service: &str) -> bool {
        let Some(keeper) = self.state.topology().retry_pool_owner() else {
            return false;
        };
        if !self.pool_may_have_one() {
            return false;
        }
        let service = hash(service);
        let granted = if keeper == self.state.own().peer_address {
            self.withdraw_from_pool(service)
        } else {
            self.ask_keeper(keeper, service).await
        };
        if !granted {
            *self.pool_was_empty() = Some(now());
        }
        granted
    }

    async fn ask_keeper(&self, keeper: std::net::SocketAddr, service: u32) -> bool {
        match peers::withdraw_retry(&self.runtime, keeper, service, KEEPER_LIMIT).await {
            Ok(granted) => granted,
            Err(error) => {
                tracing::info!(%keeper, %error, "retry_pool_unreachable");
                false
            }
        }
    }

    /// Whether the zone's pool is worth asking.
    pub(super) fn pool_may_have_one(&self) -> bool {
        let was_empty = *self.pool_was_empty();
        was_empty.is_none_or(|last| now().saturating_duration_since(last) >= EMPTY_PAUSE)
    }

    fn pool_was_empty(&self) -> MutexGuard<'_, Option<Instant>> {
        self.pool_was_empty
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn retry_pool(&self) -> MutexGuard<'_, RetryPool> {
        self.retry_pool
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
