//! Asks the store for the changes that this daemon has not seen, for decisions that must not rest on
//! an old state.
//!
//! The time since the store's last answer is not sufficient: changes can follow within the time that
//! a daemon takes to notice that it is cut off, and an answer can wait while the daemon is suspended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Mutex;

use super::FollowStatus;
use crate::fleet_state::{FleetState, UpdateSource};
use crate::store::StoreError;
use crate::time::now;

/// Time limit for a check: several answers of the store.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks of this daemon's state, one at a time.
pub(crate) struct StoreCheck {
    state: Arc<FleetState>,
    follow_status: Arc<FollowStatus>,
    newest: Mutex<Option<FinishedCheck>>,
}

/// A check that has ended.
#[derive(Debug, Clone, Copy)]
struct FinishedCheck {
    started: Instant,
    is_up_to_date: bool,
}

impl StoreCheck {
    pub(crate) fn new(state: &Arc<FleetState>, follow_status: &Arc<FollowStatus>) -> Self {
        Self {
            state: Arc::clone(state),
            follow_status: Arc::clone(follow_status),
            newest: Mutex::default(),
        }
    }

    /// Whether this daemon has applied every change that the store acknowledged before the call.
    pub(crate) async fn is_up_to_date(&self) -> bool {
        let asked = now();
        let check = async {
            let mut newest = self.newest.lock().await;
            // A check that started after this call also covers it.
            if let Some(check) = newest.filter(|check| check.started >= asked) {
                return check.is_up_to_date;
            }
            let started = now();
            let result = self.read_changes().await;
            if let Err(error) = &result {
                tracing::info!(%error, "state_not_confirmed");
            }
            let is_up_to_date = result.is_ok();
            *newest = Some(FinishedCheck {
                started,
                is_up_to_date,
            });
            is_up_to_date
        };
        let checked = tokio::time::timeout(CHECK_TIMEOUT, check).await;
        checked.unwrap_or_else(|_elapsed| {
            tracing::info!(error = "no answer in time", "state_not_confirmed");
            false
        })
    }

    async fn read_changes(&self) -> Result<(), StoreError> {
        let position = self.state.position().ok_or(StoreError::HistoryCompacted)?;
        let store = self.state.store();
        let changes = store.changes(position, Duration::ZERO).await?;
        self.follow_status
            .publish_to_neighbours(&self.state, &changes);
        // They begin at a position that this daemon has reached, so they are always applied.
        self.state
            .apply_changes(changes, UpdateSource::Store, now());
        Ok(())
    }
}
