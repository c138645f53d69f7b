//! Client of the etcd v3 JSON gateway.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ponddrift_core::Revision;
use ponddrift_http::{Client, body};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::convert;
use super::watch;
use super::wire;
use crate::store::{
    Compare, KeyValueStore, LeaseId, RangeResult, StoreError, StoredValue, TransactionResult,
    WatchStream, Write,
};

/// Maximum size of a response body.
const RESPONSE_SIZE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Settings of an [`EtcdStore`].
#[derive(Debug, Clone)]
pub struct EtcdSettings {
    /// Gateway addresses in order of preference. The next one is tried if a request could not be
    /// sent.
    pub addresses: Vec<SocketAddr>,
    /// Time limit of one call.
    pub time_limit: Duration,
}

/// [`KeyValueStore`] over an etcd v3 JSON gateway.
pub struct EtcdStore {
    client: Client,
    settings: EtcdSettings,
}

/// Whether a call writes. If the response to a write is lost, the write may have taken effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Reads,
    Writes,
}

impl CallKind {
    fn lost_answer_error(self, reason: String) -> StoreError {
        match self {
            Self::Reads => StoreError::Unreachable { reason },
            Self::Writes => StoreError::AnswerLost { reason },
        }
    }
}

impl EtcdStore {
    /// Creates a client of the gateways in `settings`.
    #[must_use]
    pub fn new(client: Client, settings: EtcdSettings) -> Self {
        Self { client, settings }
    }

    async fn call<Q, A>(
        &self,
        path: &str,
        request: &Q,
        call_kind: CallKind,
    ) -> Result<A, StoreError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let limit = self.settings.time_limit;
        let exchange = async {
            let response = self.post(path, request, call_kind).await?;
            let bytes = body::read_all(response.into_body(), RESPONSE_SIZE_LIMIT_BYTES, limit)
                .await
                .map_err(|error| call_kind.lost_answer_error(error.to_string()))?;
            serde_json::from_slice(&bytes)
                .map_err(|error| StoreError::Protocol(format!("response to {path}: {error}")))
        };
        tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_elapsed| {
                call_kind.lost_answer_error(format!("no response within {limit:?}"))
            })?
    }

    async fn post<Q>(
        &self,
        path: &str,
        request: &Q,
        call_kind: CallKind,
    ) -> Result<Response<Incoming>, StoreError>
    where
        Q: Serialize + Sync,
    {
        let bytes = serde_json::to_vec(request)
            .map_err(|error| StoreError::Protocol(format!("request to {path}: {error}")))?;
        let mut reason = String::from("no gateway address is configured");
        for address in &self.settings.addresses {
            let request = Request::post(format!("http://{address}{path}"))
                .header(header::CONTENT_TYPE, "application/json")
                .body(body::full(bytes.clone()))
                .map_err(|error| StoreError::Protocol(error.to_string()))?;
            match self.client.send(request).await {
                Ok(response) => return self.check_status(response, call_kind).await,
                Err(error) if error.was_not_sent() => reason = error.to_string(),
                Err(error) => return Err(call_kind.lost_answer_error(error.to_string())),
            }
        }
        Err(StoreError::Unreachable { reason })
    }

    async fn check_status(
        &self,
        response: Response<Incoming>,
        call_kind: CallKind,
    ) -> Result<Response<Incoming>, StoreError> {
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let error: wire::ErrorBody = body::read_json(
            response.into_body(),
            RESPONSE_SIZE_LIMIT_BYTES,
            self.settings.time_limit,
        )
        .await
        .unwrap_or_default();
        Err(error_from_response(status, &error, call_kind))
    }
}

fn error_from_response(
    status: StatusCode,
    error: &wire::ErrorBody,
    call_kind: CallKind,
) -> StoreError {
    match error.code {
        wire::CODE_RESOURCE_EXHAUSTED => StoreError::RateLimited,
        wire::CODE_NOT_FOUND => StoreError::LeaseNotFound,
        // etcd also returns UNAVAILABLE for a proposal that timed out but may still take effect.
        _ if status.is_server_error() => {
            call_kind.lost_answer_error(format!("{status}: {}", error.message))
        }
        _ if status == StatusCode::TOO_MANY_REQUESTS => StoreError::RateLimited,
        _ => StoreError::Protocol(format!("{status}: {}", error.message)),
    }
}

impl KeyValueStore for EtcdStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        Box::pin(async move {
            let request = wire::RangeRequest {
                key: convert::key_bytes(key),
                range_end: None,
            };
            let answer: wire::RangeResponse = self
                .call(wire::RANGE_PATH, &request, CallKind::Reads)
                .await?;
            answer
                .kvs
                .into_iter()
                .next()
                .map(convert::stored_value)
                .transpose()
        })
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<RangeResult, StoreError>> {
        Box::pin(async move {
            let request = wire::RangeRequest {
                key: convert::key_bytes(prefix),
                range_end: Some(convert::prefix_end(prefix)),
            };
            let answer: wire::RangeResponse = self
                .call(wire::RANGE_PATH, &request, CallKind::Reads)
                .await?;
            let values: Result<Vec<_>, _> =
                answer.kvs.into_iter().map(convert::stored_value).collect();
            Ok(RangeResult {
                revision: convert::revision(answer.header.revision)?,
                values: values?,
            })
        })
    }

    fn transaction<'a>(
        &'a self,
        compares: Vec<Compare>,
        writes: Vec<Write>,
    ) -> BoxFuture<'a, Result<TransactionResult, StoreError>> {
        Box::pin(async move {
            let request = wire::TxnRequest {
                compare: compares.into_iter().map(convert::compare).collect(),
                success: writes.into_iter().map(convert::operation).collect(),
                failure: Vec::new(),
            };
            let answer: wire::TxnResponse = self
                .call(wire::TXN_PATH, &request, CallKind::Writes)
                .await?;
            Ok(TransactionResult {
                succeeded: answer.succeeded,
                revision: convert::revision(answer.header.revision)?,
            })
        })
    }

    fn grant_lease(&self, time_to_live: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        Box::pin(async move {
            let seconds = i64::try_from(time_to_live.as_secs().max(1)).unwrap_or(i64::MAX);
            let request = wire::LeaseGrantRequest {
                ttl: wire::Int64(seconds),
                id: wire::Int64(0),
            };
            let answer: wire::LeaseGrantResponse = self
                .call(wire::LEASE_GRANT_PATH, &request, CallKind::Writes)
                .await?;
            Ok(LeaseId(answer.id.0))
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            let request = wire::LeaseKeepAliveRequest {
                id: wire::Int64(lease.0),
            };
            let line: wire::StreamLine<wire::LeaseKeepAliveResponse> = self
                .call(wire::LEASE_KEEP_ALIVE_PATH, &request, CallKind::Writes)
                .await?;
            match line.result {
                Some(answer) if answer.ttl.0 > 0 => Ok(()),
                _ => Err(StoreError::LeaseNotFound),
            }
        })
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            let request = wire::LeaseRevokeRequest {
                id: wire::Int64(lease.0),
            };
            let _answer: wire::LeaseRevokeResponse = self
                .call(wire::LEASE_REVOKE_PATH, &request, CallKind::Writes)
                .await?;
            Ok(())
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> BoxFuture<'a, Result<WatchStream, StoreError>> {
        Box::pin(async move {
            let request = wire::WatchRequest {
                create_request: wire::WatchCreateRequest {
                    key: convert::key_bytes(prefix),
                    range_end: Some(convert::prefix_end(prefix)),
                    start_revision: convert::number(from),
                },
            };
            let opening = self.post(wire::WATCH_PATH, &request, CallKind::Reads);
            let response = tokio::time::timeout(self.settings.time_limit, opening)
                .await
                .map_err(|_elapsed| {
                    CallKind::Reads.lost_answer_error(String::from(
                        "no response to the watch request within the time limit",
                    ))
                })??;
            Ok(watch::events(response.into_body()))
        })
    }
}
