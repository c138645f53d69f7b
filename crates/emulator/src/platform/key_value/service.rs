//! HTTP side of the key-value service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_core::Timestamp;
use ponddrift_http::{Body, body};
use ponddrift_platform::etcd::wire::{
    self, ErrorBody, Int64, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest,
    LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse, PutResponse, RangeRequest,
    RangeResponse, ResponseHeader, StreamLine, TxnResponse, WatchRequest,
};
use ponddrift_runtime::Runtime;
use ponddrift_runtime::watch;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::faults::{FaultControl, KeyValueFaults, Outage};
use super::store::{KeyRange, Refusal, Store};
use super::watch::WatchFeed;
use crate::server::{Answer, DropConnection, StandIn, json_ok, not_found, read_bytes};

/// Calls by kind, refused ones included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Range reads.
    pub range: u64,
    /// Puts.
    pub put: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases granted.
    pub lease_grant: u64,
    /// Leases prolonged.
    pub lease_keep_alive: u64,
    /// Leases revoked.
    pub lease_revoke: u64,
    /// Watches begun.
    pub watch: u64,
    /// Calls refused by the rate limit.
    pub rate_limited: u64,
    /// Calls that met an outage.
    pub outage: u64,
    /// Writes whose answer was lost.
    pub answers_lost: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    Range,
    Put,
    Txn,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
}

impl Call {
    fn from_path(path: &str) -> Option<Self> {
        Some(match path {
            wire::RANGE_PATH => Self::Range,
            wire::PUT_PATH => Self::Put,
            wire::TXN_PATH => Self::Txn,
            wire::LEASE_GRANT_PATH => Self::LeaseGrant,
            wire::LEASE_KEEP_ALIVE_PATH => Self::LeaseKeepAlive,
            wire::LEASE_REVOKE_PATH => Self::LeaseRevoke,
            wire::WATCH_PATH => Self::Watch,
            _ => return None,
        })
    }

    const fn is_write(self) -> bool {
        !matches!(self, Self::Range | Self::Watch)
    }

    fn counter(self, counts: &mut CallCounts) -> &mut u64 {
        match self {
            Self::Range => &mut counts.range,
            Self::Put => &mut counts.put,
            Self::Txn => &mut counts.txn,
            Self::LeaseGrant => &mut counts.lease_grant,
            Self::LeaseKeepAlive => &mut counts.lease_keep_alive,
            Self::LeaseRevoke => &mut counts.lease_revoke,
            Self::Watch => &mut counts.watch,
        }
    }
}

/// The key-value service's stand-in.
pub struct KeyValueService {
    runtime: Runtime,
    faults: FaultControl,
    store: Mutex<Store>,
    calls: Mutex<CallCounts>,
    revision: watch::Sender<i64>,
    leases_changed: Notify,
}

impl KeyValueService {
    /// An empty store; starts the task that ends leases by the clock.
    #[must_use]
    pub fn new(runtime: &Runtime, faults: KeyValueFaults) -> Arc<Self> {
        let store = Store::default();
        let revision = watch::Sender::new(store.revision());
        let service = Arc::new(Self {
            runtime: runtime.clone(),
            faults: FaultControl::new(faults, runtime.seed),
            store: Mutex::new(store),
            calls: Mutex::default(),
            revision,
            leases_changed: Notify::new(),
        });
        let expiring = Arc::clone(&service).end_leases();
        runtime.spawner.spawn(Box::pin(expiring));
        service
    }

    /// The faults' handle.
    #[must_use]
    pub fn faults(&self) -> &FaultControl {
        &self.faults
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        *self.lock_calls()
    }

    /// The newest revision.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.lock().revision()
    }

    /// Revision at which a key came into being; `None` while it does not exist.
    #[must_use]
    pub fn create_revision(&self, key: &str) -> Option<i64> {
        let range = KeyRange::new(&wire::Base64Bytes(key.as_bytes().to_vec()), None);
        let held = self.lock().range(&range);
        held.first().map(|one| one.create_revision.0)
    }

    /// Forgets the history before `oldest`.
    pub fn compact(&self, oldest: i64) {
        self.lock().compact(oldest);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn watch_revision(&self) -> watch::Receiver<i64> {
        self.revision.subscribe()
    }

    fn lock_calls(&self) -> MutexGuard<'_, CallCounts> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        self.runtime.clock.now()
    }

    async fn end_leases(self: Arc<Self>) {
        loop {
            let wait = self.lock().next_expiry().map(|end| end.since(self.now()));
            let changed = self.leases_changed.notified();
            match wait {
                None => changed.await,
                Some(wait) => {
                    // One step past the end, so that a clock of whole microseconds has passed it.
                    let slept = tokio::time::sleep(wait + Duration::from_millis(1));
                    tokio::select! {
                        biased;
                        () = changed => {}
                        () = slept => {}
                    }
                }
            }
            let now = self.now();
            self.change(|store| store.expire(now));
        }
    }

    /// Changes the store and tells the watches.
    fn change<T>(&self, apply: impl FnOnce(&mut Store) -> T) -> T {
        let (result, revision) = {
            let mut store = self.lock();
            let result = apply(&mut store);
            (result, store.revision())
        };
        self.revision.send_if_modified(|known| {
            let grew = revision > *known;
            *known = revision.max(*known);
            grew
        });
        result
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let Some(call) = Call::from_path(request.uri().path()) else {
            return Ok(not_found(request.uri().path()));
        };
        *call.counter(&mut self.lock_calls()) += 1;
        if let Some(answer) = self.outage() {
            return answer;
        }
        if !self.faults.admits() {
            self.lock_calls().rate_limited += 1;
            let code = wire::CODE_RESOURCE_EXHAUSTED;
            return Ok(refusal_response(code, "etcdserver: too many requests"));
        }
        tokio::time::sleep(self.faults.slowness()).await;
        let bytes = match read_bytes(request).await {
            Ok(bytes) => bytes,
            Err(refused) => return Ok(refused.into_response()),
        };
        if let Some(answer) = self.outage() {
            return answer;
        }
        let answer = Arc::clone(&self).carry_out(call, &bytes);
        let succeeded = answer.is_ok();
        if succeeded && call.is_write() && self.faults.loses_answer() {
            self.lock_calls().answers_lost += 1;
            return Err(DropConnection);
        }
        Ok(answer.unwrap_or_else(|refusal| refusal_response(refusal.code, &refusal.message)))
    }

    fn outage(&self) -> Option<Answer> {
        let answer = match self.faults.get().outage {
            Outage::None => return None,
            Outage::Drop => Err(DropConnection),
            Outage::Refuse => Ok(refusal_response(
                wire::CODE_UNAVAILABLE,
                "etcdserver: no leader",
            )),
        };
        self.lock_calls().outage += 1;
        Some(answer)
    }

    fn carry_out(self: Arc<Self>, call: Call, bytes: &Bytes) -> Result<Response<Body>, Refusal> {
        match call {
            Call::Range => self.range(&parse(bytes)?),
            Call::Put => {
                let request = parse(bytes)?;
                self.change(|store| store.put(request))?;
                Ok(json_ok(&PutResponse {
                    header: self.header(),
                }))
            }
            Call::Txn => {
                let request = parse(bytes)?;
                let (succeeded, header) = self.change(|store| {
                    let succeeded = store.transact(request)?;
                    Ok::<_, Refusal>((succeeded, header_of(store)))
                })?;
                Ok(json_ok(&TxnResponse { header, succeeded }))
            }
            Call::LeaseGrant => self.grant(&parse(bytes)?),
            Call::LeaseKeepAlive => self.keep_alive(&parse(bytes)?),
            Call::LeaseRevoke => {
                let request: LeaseRevokeRequest = parse(bytes)?;
                self.change(|store| store.revoke(request.id.0))?;
                self.leases_changed.notify_one();
                Ok(json_ok(&LeaseRevokeResponse {
                    header: self.header(),
                }))
            }
            Call::Watch => {
                let request: WatchRequest = parse(bytes)?;
                let feed = WatchFeed::new(self, &request.create_request);
                Ok(Response::new(body::streamed(feed.into_stream())))
            }
        }
    }

    fn header(&self) -> ResponseHeader {
        header_of(&self.lock())
    }

    fn range(&self, request: &RangeRequest) -> Result<Response<Body>, Refusal> {
        let range = KeyRange::new(&request.key, request.range_end.as_ref());
        let store = self.lock();
        Ok(json_ok(&RangeResponse {
            header: header_of(&store),
            kvs: store.range(&range),
        }))
    }

    fn grant(&self, request: &LeaseGrantRequest) -> Result<Response<Body>, Refusal> {
        let now = self.now();
        let id = self.change(|store| store.grant(now, request.id.0, request.ttl.0))?;
        self.leases_changed.notify_one();
        Ok(json_ok(&LeaseGrantResponse {
            header: self.header(),
            id: Int64(id),
            ttl: request.ttl,
        }))
    }

    fn keep_alive(&self, request: &LeaseKeepAliveRequest) -> Result<Response<Body>, Refusal> {
        let now = self.now();
        let seconds = self.change(|store| {
            store.expire(now);
            store.keep_alive(now, request.id.0)
        });
        self.leases_changed.notify_one();
        let result = LeaseKeepAliveResponse {
            header: self.header(),
            id: request.id,
            ttl: Int64(seconds.map_or(0, |seconds| i64::try_from(seconds).unwrap_or(i64::MAX))),
        };
        Ok(Response::new(body::full(line_of(result))))
    }
}

impl StandIn for KeyValueService {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(self.answer(request))
    }
}

fn header_of(store: &Store) -> ResponseHeader {
    ResponseHeader {
        revision: Int64(store.revision()),
    }
}

/// One line of a streamed answer.
pub(super) fn line_of<T: Serialize>(result: T) -> Bytes {
    let line = StreamLine {
        result: Some(result),
        error: None,
    };
    let mut bytes = serde_json::to_vec(&line).expect("wire types serialize");
    bytes.push(b'\n');
    Bytes::from(bytes)
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &Bytes) -> Result<T, Refusal> {
    const CODE_INVALID_ARGUMENT: i32 = 3;
    serde_json::from_slice(bytes).map_err(|error| Refusal {
        code: CODE_INVALID_ARGUMENT,
        message: error.to_string().into(),
    })
}

fn refusal_response(code: i32, message: &str) -> Response<Body> {
    let status = match code {
        wire::CODE_RESOURCE_EXHAUSTED => StatusCode::TOO_MANY_REQUESTS,
        wire::CODE_UNAVAILABLE => StatusCode::SERVICE_UNAVAILABLE,
        wire::CODE_NOT_FOUND => StatusCode::NOT_FOUND,
        _ => StatusCode::BAD_REQUEST,
    };
    let error = ErrorBody {
        code,
        message: message.to_owned(),
    };
    body::json_response(status, &error)
}
