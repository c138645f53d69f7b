//! Conversion between the gateway's messages and the types of [`crate::store`].

use bytes::Bytes;
use ponddrift_core::Revision;

use super::wire;
use crate::store::{Compare, LeaseId, StoreError, StoredValue, WatchEvent, Write};

pub(super) fn key_bytes(key: &str) -> wire::Base64Bytes {
    wire::Base64Bytes(key.as_bytes().to_vec())
}

/// Returns the end of the half-open range of all keys with the given prefix: the prefix with its
/// last byte incremented.
pub(super) fn prefix_end(prefix: &str) -> wire::Base64Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return wire::Base64Bytes(end);
        }
    }
    // For etcd, a single zero byte means that the range has no upper bound.
    wire::Base64Bytes(vec![0])
}

pub(super) fn revision(number: wire::Int64) -> Result<Revision, StoreError> {
    u64::try_from(number.0)
        .map(Revision)
        .map_err(|_negative| StoreError::Protocol(format!("negative revision {}", number.0)))
}

pub(super) fn number(revision: Revision) -> wire::Int64 {
    wire::Int64(i64::try_from(revision.0).unwrap_or(i64::MAX))
}

fn key_text(key: wire::Base64Bytes) -> Result<String, StoreError> {
    String::from_utf8(key.0)
        .map_err(|error| StoreError::Protocol(format!("a key is not UTF-8: {error}")))
}

pub(super) fn stored_value(pair: wire::KeyValue) -> Result<StoredValue, StoreError> {
    Ok(StoredValue {
        key: key_text(pair.key)?,
        value: Bytes::from(pair.value.0),
        create_revision: revision(pair.create_revision)?,
        mod_revision: revision(pair.mod_revision)?,
        lease: (pair.lease.0 != 0).then_some(LeaseId(pair.lease.0)),
    })
}

pub(super) fn watch_event(event: wire::Event) -> Result<WatchEvent, StoreError> {
    match event.event_type {
        wire::EventType::Put => stored_value(event.kv).map(WatchEvent::Put),
        wire::EventType::Delete => Ok(WatchEvent::Delete {
            revision: revision(event.kv.mod_revision)?,
            key: key_text(event.kv.key)?,
        }),
    }
}

pub(super) fn compare(compare: Compare) -> wire::CompareRequest {
    let mut request = wire::CompareRequest {
        result: wire::CompareResult::Equal,
        target: wire::CompareTarget::Version,
        key: wire::Base64Bytes::default(),
        version: None,
        create_revision: None,
        mod_revision: None,
    };
    match compare {
        Compare::Absent { key } => {
            request.key = key_bytes(&key);
            request.version = Some(wire::Int64(0));
        }
        Compare::ModRevision { key, revision } => {
            request.target = wire::CompareTarget::Mod;
            request.key = key_bytes(&key);
            request.mod_revision = Some(number(revision));
        }
        Compare::CreateRevision { key, revision } => {
            request.target = wire::CompareTarget::Create;
            request.key = key_bytes(&key);
            request.create_revision = Some(number(revision));
        }
    }
    request
}

pub(super) fn operation(write: Write) -> wire::RequestOperation {
    match write {
        Write::Put { key, value, lease } => wire::RequestOperation {
            request_put: Some(wire::PutRequest {
                key: key_bytes(&key),
                value: wire::Base64Bytes(value.to_vec()),
                lease: wire::Int64(lease.map_or(0, |lease| lease.0)),
            }),
            request_delete_range: None,
        },
        Write::Delete { key } => wire::RequestOperation {
            request_put: None,
            request_delete_range: Some(wire::DeleteRangeRequest {
                key: key_bytes(&key),
            }),
        },
    }
}
