//! Key-value store calls for the lease holder.

use std::time::Duration;

use bytes::Bytes;
use ponddrift_core::authority::{
    CallFailure, CallNumber, KeyHolder, LeaseNumber, StoreAnswer, StoreCall, controller_key,
};
use ponddrift_core::{FencingToken, Incarnation, MachineId};
use ponddrift_platform::store::{Compare, LeaseId, StoredValue, Write};
use ponddrift_platform::{KeyValueStore, StoreError};
use serde::{Deserialize, Serialize};

use super::{ControllerActor, StoreAnswered};
use crate::actors::tell;

/// Value stored under the controller key of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ControllerValue {
    machine: MachineId,
    incarnation: Incarnation,
}

impl ControllerActor {
    pub(super) fn call_store(&self, number: CallNumber, call: StoreCall) {
        let Some(own) = self.own.clone() else { return };
        let store = std::sync::Arc::clone(&self.deps.store);
        let key = controller_key(&self.cell);
        let value = ControllerValue {
            machine: self.deps.identity.machine,
            incarnation: self.deps.identity.incarnation,
        };
        self.deps.runtime.spawner.spawn(Box::pin(async move {
            let outcome = execute_call(store.as_ref(), key, value, call).await;
            let answer = outcome.unwrap_or_else(|error| StoreAnswer::Failed(call_failure(&error)));
            if let Some(own) = own.try_upgrade() {
                tell(&own, StoreAnswered { number, answer });
            }
        }));
    }
}

async fn execute_call(
    store: &dyn KeyValueStore,
    key: String,
    value: ControllerValue,
    call: StoreCall,
) -> Result<StoreAnswer, StoreError> {
    match call {
        StoreCall::Read => {
            let stored = store.get(&key).await?;
            Ok(StoreAnswer::KeyRead(
                stored.as_ref().map(key_holder).transpose()?,
            ))
        }
        StoreCall::Grant { time_to_live } => grant(store, time_to_live).await,
        StoreCall::Create { lease } => {
            let value = serde_json::to_vec(&value)
                .map_err(|error| StoreError::Protocol(error.to_string()))?;
            let put = Write::Put {
                key: key.clone(),
                value: Bytes::from(value),
                lease: Some(LeaseId(lease.0)),
            };
            let result = store
                .transaction(vec![Compare::Absent { key }], vec![put])
                .await?;
            Ok(StoreAnswer::Created {
                succeeded: result.succeeded,
            })
        }
        StoreCall::KeepAlive { lease } => {
            store.keep_alive(LeaseId(lease.0)).await?;
            Ok(StoreAnswer::KeptAlive)
        }
        StoreCall::Revoke { lease } => {
            store.revoke_lease(LeaseId(lease.0)).await?;
            Ok(StoreAnswer::Revoked)
        }
    }
}

async fn grant(
    store: &dyn KeyValueStore,
    time_to_live: Duration,
) -> Result<StoreAnswer, StoreError> {
    let lease = store.grant_lease(time_to_live).await?;
    Ok(StoreAnswer::Granted(LeaseNumber(lease.0)))
}

fn key_holder(stored: &StoredValue) -> Result<KeyHolder, StoreError> {
    let value: ControllerValue = serde_json::from_slice(&stored.value)
        .map_err(|error| StoreError::Protocol(format!("{}: {error}", stored.key)))?;
    Ok(KeyHolder {
        machine: value.machine,
        incarnation: value.incarnation,
        lease: LeaseNumber(stored.lease.map_or(0, |lease| lease.0)),
        token: FencingToken(stored.create_revision.0),
    })
}

fn call_failure(error: &StoreError) -> CallFailure {
    match error {
        StoreError::Unreachable { .. } => CallFailure::Unreachable,
        StoreError::RateLimited => CallFailure::RateLimited,
        StoreError::LeaseNotFound => CallFailure::LeaseNotFound,
        StoreError::AnswerLost { .. } | StoreError::Compacted(_) | StoreError::Protocol(_) => {
            CallFailure::AnswerLost
        }
    }
}
