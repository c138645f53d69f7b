//! The store itself: keys, revisions, leases and history. No I/O; the caller gives the time.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_platform::etcd::wire::{
    Base64Bytes, CompareRequest, CompareTarget, DeleteRangeRequest, Event, EventType, Int64,
    KeyValue, PutRequest, RequestOperation, TxnRequest,
};

/// Revisions of history that are kept before the oldest are compacted.
const HISTORY_LIMIT: usize = 100_000;
/// gRPC status of a malformed call (`INVALID_ARGUMENT`).
const CODE_INVALID_ARGUMENT: i32 = 3;
/// gRPC status of a taken lease id (`FAILED_PRECONDITION`).
const CODE_FAILED_PRECONDITION: i32 = 9;

/// Why a call was refused; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// gRPC status.
    pub code: i32,
    /// Text as etcd words it.
    pub message: Cow<'static, str>,
}

const LEASE_NOT_FOUND: Refusal = Refusal {
    code: ponddrift_platform::etcd::wire::CODE_NOT_FOUND,
    message: Cow::Borrowed("etcdserver: requested lease not found"),
};
const LEASE_EXISTS: Refusal = Refusal {
    code: CODE_FAILED_PRECONDITION,
    message: Cow::Borrowed("etcdserver: lease already exists"),
};
const DUPLICATE_KEY: Refusal = Refusal {
    code: CODE_INVALID_ARGUMENT,
    message: Cow::Borrowed("etcdserver: duplicate key given in txn request"),
};
const INVALID_OPERATION: Refusal = Refusal {
    code: CODE_INVALID_ARGUMENT,
    message: Cow::Borrowed(
        "etcdserver: an operation sets exactly one of requestPut and requestDeleteRange",
    ),
};
const INVALID_COMPARE: Refusal = Refusal {
    code: CODE_INVALID_ARGUMENT,
    message: Cow::Borrowed("etcdserver: a compare sets the member that its target names"),
};
const INVALID_TTL: Refusal = Refusal {
    code: CODE_INVALID_ARGUMENT,
    message: Cow::Borrowed("etcdserver: the TTL of a lease is at least one second"),
};

/// One key, or the half-open range from it to an end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRange {
    /// First key.
    pub key: Vec<u8>,
    /// End; absent for one key, a single zero byte for "to the last key".
    pub end: Option<Vec<u8>>,
}

impl KeyRange {
    /// The range that a request names.
    #[must_use]
    pub fn new(key: &Base64Bytes, end: Option<&Base64Bytes>) -> Self {
        let end = end.map(|end| end.0.clone()).filter(|end| !end.is_empty());
        Self {
            key: key.0.clone(),
            end,
        }
    }

    /// Whether `key` lies in the range.
    #[must_use]
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_deref() {
            None => key == self.key,
            Some([0]) => key >= self.key.as_slice(),
            Some(end) => key >= self.key.as_slice() && key < end,
        }
    }
}

struct Lease {
    time_to_live: Duration,
    expires: Timestamp,
    keys: BTreeSet<Vec<u8>>,
}

/// Keys, revisions, leases and history.
pub struct Store {
    revision: i64,
    /// Oldest revision that can be watched.
    oldest: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    history: BTreeMap<i64, Vec<Event>>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: 1,
            oldest: 1,
            keys: BTreeMap::new(),
            history: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 7_001,
        }
    }
}

impl Store {
    /// The newest revision.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The oldest revision that can be watched.
    #[must_use]
    pub fn oldest_revision(&self) -> i64 {
        self.oldest
    }

    /// Values in `range`, by key.
    #[must_use]
    pub fn range(&self, range: &KeyRange) -> Vec<KeyValue> {
        self.keys
            .range(range.key.clone()..)
            .take_while(|(key, _value)| range.contains(key))
            .map(|(_key, value)| value.clone())
            .collect()
    }

    /// Stores one value.
    ///
    /// # Errors
    /// When the lease does not exist.
    pub fn put(&mut self, request: PutRequest) -> Result<(), Refusal> {
        self.check_lease(&request)?;
        let revision = self.revision + 1;
        let event = self.apply_put(request, revision);
        self.commit(vec![event]);
        Ok(())
    }

    /// Carries out a transaction as one revision; gives whether its conditions held.
    ///
    /// # Errors
    /// When it is malformed or names a missing lease; nothing is changed then.
    pub fn transact(&mut self, request: TxnRequest) -> Result<bool, Refusal> {
        let mut succeeded = true;
        for compare in &request.compare {
            succeeded &= self.holds(compare)?;
        }
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        self.check_operations(&operations)?;
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for operation in operations {
            let event = match (operation.request_put, operation.request_delete_range) {
                (Some(put), _) => Some(self.apply_put(put, revision)),
                (None, Some(delete)) => self.apply_delete(&delete.key.0, revision),
                (None, None) => None,
            };
            events.extend(event);
        }
        self.commit(events);
        Ok(succeeded)
    }

    fn holds(&self, compare: &CompareRequest) -> Result<bool, Refusal> {
        let absent = KeyValue::default();
        let value = self.keys.get(&compare.key.0).unwrap_or(&absent);
        let (actual, wanted) = match compare.target {
            CompareTarget::Version => (value.version, compare.version),
            CompareTarget::Create => (value.create_revision, compare.create_revision),
            CompareTarget::Mod => (value.mod_revision, compare.mod_revision),
        };
        // The gateway leaves out zeros, but a member of another target is a mistake of the caller.
        let members = [
            compare.version,
            compare.create_revision,
            compare.mod_revision,
        ];
        if wanted.is_none() && members.iter().any(Option::is_some) {
            return Err(INVALID_COMPARE);
        }
        Ok(actual == wanted.unwrap_or_default())
    }

    fn check_operations(&self, operations: &[RequestOperation]) -> Result<(), Refusal> {
        let mut touched = BTreeSet::new();
        for operation in operations {
            let key = match (&operation.request_put, &operation.request_delete_range) {
                (Some(put), None) => {
                    self.check_lease(put)?;
                    &put.key
                }
                (None, Some(DeleteRangeRequest { key })) => key,
                _ => return Err(INVALID_OPERATION),
            };
            if !touched.insert(key) {
                return Err(DUPLICATE_KEY);
            }
        }
        Ok(())
    }

    fn check_lease(&self, put: &PutRequest) -> Result<(), Refusal> {
        if put.lease.0 == 0 || self.leases.contains_key(&put.lease.0) {
            return Ok(());
        }
        Err(LEASE_NOT_FOUND)
    }

    fn apply_put(&mut self, put: PutRequest, revision: i64) -> Event {
        let key = put.key.0.clone();
        let previous = self.keys.get(&key);
        let value = KeyValue {
            create_revision: previous.map_or(Int64(revision), |value| value.create_revision),
            version: Int64(previous.map_or(0, |value| value.version.0) + 1),
            mod_revision: Int64(revision),
            key: put.key,
            value: put.value,
            lease: put.lease,
        };
        self.detach(&key);
        if let Some(lease) = self.leases.get_mut(&value.lease.0) {
            lease.keys.insert(key.clone());
        }
        self.keys.insert(key, value.clone());
        Event {
            event_type: EventType::Put,
            kv: value,
        }
    }

    fn apply_delete(&mut self, key: &[u8], revision: i64) -> Option<Event> {
        self.detach(key);
        let removed = self.keys.remove(key)?;
        let kv = KeyValue {
            key: removed.key,
            mod_revision: Int64(revision),
            ..KeyValue::default()
        };
        Some(Event {
            event_type: EventType::Delete,
            kv,
        })
    }

    fn detach(&mut self, key: &[u8]) {
        let lease = self.keys.get(key).map_or(0, |value| value.lease.0);
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.remove(key);
        }
    }

    /// Makes `events` one revision; nothing for no events.
    fn commit(&mut self, events: Vec<Event>) {
        if events.is_empty() {
            return;
        }
        self.revision += 1;
        self.history.insert(self.revision, events);
        if self.history.len() > HISTORY_LIMIT
            && let Some((revision, _events)) = self.history.pop_first()
        {
            self.oldest = revision + 1;
        }
    }

    /// Forgets the history before `oldest`.
    pub fn compact(&mut self, oldest: i64) {
        self.oldest = oldest.clamp(self.oldest, self.revision + 1);
        self.history = self.history.split_off(&self.oldest);
    }

    /// Events in `range` from revision `from` on. Whole revisions, oldest first.
    #[must_use]
    pub fn events(&self, range: &KeyRange, from: i64) -> Vec<Event> {
        self.history
            .range(from..)
            .flat_map(|(_revision, events)| events)
            .filter(|event| range.contains(&event.kv.key.0))
            .cloned()
            .collect()
    }

    /// Takes a lease of `seconds`; `wanted` 0 lets the store choose its id.
    ///
    /// # Errors
    /// When the id is taken or the time is below one second.
    pub fn grant(&mut self, now: Timestamp, wanted: i64, seconds: i64) -> Result<i64, Refusal> {
        let seconds = u64::try_from(seconds).ok().filter(|seconds| *seconds > 0);
        let time_to_live = Duration::from_secs(seconds.ok_or(INVALID_TTL)?);
        let id = if wanted == 0 { self.next_lease } else { wanted };
        if self.leases.contains_key(&id) {
            return Err(LEASE_EXISTS);
        }
        self.next_lease = self.next_lease.max(id) + 1;
        let lease = Lease {
            time_to_live,
            expires: now + time_to_live,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Prolongs a lease; gives its seconds, or `None` when it has ended.
    pub fn keep_alive(&mut self, now: Timestamp, id: i64) -> Option<u64> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.time_to_live;
        Some(lease.time_to_live.as_secs())
    }

    /// Ends a lease; its keys go in one revision.
    ///
    /// # Errors
    /// When it does not exist.
    pub fn revoke(&mut self, id: i64) -> Result<(), Refusal> {
        let lease = self.leases.remove(&id).ok_or(LEASE_NOT_FOUND)?;
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for key in &lease.keys {
            events.extend(self.apply_delete(key, revision));
        }
        self.commit(events);
        Ok(())
    }

    /// Ends every lease whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        let over = self
            .leases
            .iter()
            .filter(|(_id, lease)| lease.expires <= now);
        let over: Vec<i64> = over.map(|(id, _lease)| *id).collect();
        for id in over {
            let _known = self.revoke(id);
        }
    }

    /// When the next lease ends.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.leases.values().map(|lease| lease.expires).min()
    }
}
