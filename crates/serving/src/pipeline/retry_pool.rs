//! The retry pool that the daemons of a zone share if a single daemon earns too few retries.

use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::budget::{Deposits, RetryPool, pool_capacity};

use super::Pipeline;
use crate::back_end_index::hash;
use crate::peers;
use crate::time::now;

/// Time limit for the pool owner's answer: a few round trips within a zone plus scheduling. It
/// bounds the delay of a request if the pool owner is gone.
const POOL_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause after the pool denied a retry. If all engines fail, every request would ask the pool
/// otherwise.
const POOL_EMPTY_PAUSE: Duration = Duration::from_millis(250);

impl Pipeline {
    /// Takes the retries that this daemon earned since the last call; empty if it keeps its own
    /// budget.
    pub(crate) fn take_deposits(&self) -> Vec<(Arc<str>, f64)> {
        let mut budget = self.budget();
        if budget.is_pooled() {
            budget.take_deposits()
        } else {
            Vec::new()
        }
    }

    /// Adds the retries that a daemon of the zone earned to the pool.
    pub(crate) fn receive_deposits(&self, deposits: &Deposits) {
        let topology = self.state.topology();
        let zone_daemons = topology.neighbours.len() + 1;
        let zone_share = pool_capacity(self.budget_settings, zone_daemons, topology.daemons);
        self.retry_pool().deposit(deposits, zone_share);
    }

    /// Takes a retry from the pool that this daemon owns.
    pub(crate) fn withdraw_from_pool(&self, service: u32) -> bool {
        self.retry_pool().withdraw(service)
    }

    /// Asks the pool of the zone for a retry.
    pub(super) async fn withdraw_retry(&self, service: &str) -> bool {
        let Some(pool_owner) = self.state.topology().retry_pool_owner() else {
            return false;
        };
        if !self.pool_may_have_retry() {
            return false;
        }
        let service = hash(service);
        let granted = if pool_owner == self.state.own().peer_address {
            self.withdraw_from_pool(service)
        } else {
            self.request_retry_from_pool(pool_owner, service).await
        };
        if !granted {
            *self.pool_last_empty() = Some(now());
        }
        granted
    }

    async fn request_retry_from_pool(
        &self,
        pool_owner: std::net::SocketAddr,
        service: u32,
    ) -> bool {
        match peers::withdraw_retry(&self.runtime, pool_owner, service, POOL_REQUEST_TIMEOUT).await
        {
            Ok(granted) => granted,
            Err(error) => {
                tracing::info!(%pool_owner, %error, "retry_pool_unreachable");
                false
            }
        }
    }

    /// Whether the pool may hold a retry, as far as this daemon knows.
    pub(super) fn pool_may_have_retry(&self) -> bool {
        let was_empty = *self.pool_last_empty();
        was_empty.is_none_or(|last| now().saturating_duration_since(last) >= POOL_EMPTY_PAUSE)
    }

    fn pool_last_empty(&self) -> MutexGuard<'_, Option<Instant>> {
        self.pool_last_empty
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn retry_pool(&self) -> MutexGuard<'_, RetryPool> {
        self.retry_pool
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
