//! Messages of the etcd v3 JSON gateway. Bytes are encoded as base64, 64-bit integers as strings.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// `POST` [`RangeRequest`].
pub const RANGE_PATH: &str = "/v3/kv/range";
/// `POST` [`PutRequest`].
pub const PUT_PATH: &str = "/v3/kv/put";
/// `POST` [`TxnRequest`].
pub const TXN_PATH: &str = "/v3/kv/txn";
/// `POST` [`LeaseGrantRequest`].
pub const LEASE_GRANT_PATH: &str = "/v3/lease/grant";
/// `POST` [`LeaseKeepAliveRequest`]. The response is a stream with one line.
pub const LEASE_KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
/// `POST` [`LeaseRevokeRequest`].
pub const LEASE_REVOKE_PATH: &str = "/v3/lease/revoke";
/// `POST` [`WatchRequest`]. The response is a stream of JSON lines.
pub const WATCH_PATH: &str = "/v3/watch";

/// gRPC status `RESOURCE_EXHAUSTED` (HTTP 429): the call exceeded a rate limit.
pub const CODE_RESOURCE_EXHAUSTED: i32 = 8;
/// gRPC status `NOT_FOUND` (HTTP 404): the lease does not exist.
pub const CODE_NOT_FOUND: i32 = 5;
/// gRPC status `UNAVAILABLE` (HTTP 503): the service is unavailable. Clients must not
/// conclude from it that the call had no effect.
pub const CODE_UNAVAILABLE: i32 = 14;

/// 64-bit integer, serialized as a string. Deserialization also accepts a number, since gateways
/// differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum TextOrNumber {
            Text(String),
            Number(i64),
        }
        match TextOrNumber::deserialize(deserializer)? {
            TextOrNumber::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
            TextOrNumber::Number(number) => Ok(Self(number)),
        }
    }
}

/// Bytes, serialized as base64.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Base64Bytes(pub Vec<u8>);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use base64::Engine as _;
        serializer.serialize_str(&base64::engine::general_purpose::STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        use base64::Engine as _;
        let text = String::deserialize(deserializer)?;
        base64::engine::general_purpose::STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// Header of each response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// Current revision of the store.
    #[serde(default)]
    pub revision: Int64,
}

/// A key and its value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    pub key: Base64Bytes,
    /// Value.
    #[serde(default)]
    pub value: Base64Bytes,
    /// Revision at which the key was created.
    #[serde(default)]
    pub create_revision: Int64,
    /// Revision of the last modification.
    #[serde(default)]
    pub mod_revision: Int64,
    /// Number of modifications since the key was created; 1 after its creation.
    #[serde(default)]
    pub version: Int64,
    /// Lease of the key, or 0 for none.
    #[serde(default)]
    pub lease: Int64,
}

/// Reads `key`, or the range from `key` (inclusive) to `range_end` (exclusive).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// First key of the range.
    pub key: Base64Bytes,
    /// End of the range (exclusive).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
}

/// Response to [`RangeRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Response header.
    pub header: ResponseHeader,
    /// Values, ordered by key.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Stores a value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Key.
    pub key: Base64Bytes,
    /// Value.
    pub value: Base64Bytes,
    /// Lease to attach the key to, or 0 for none.
    #[serde(default)]
    pub lease: Int64,
}

/// Response to [`PutRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutResponse {
    /// Response header.
    pub header: ResponseHeader,
}

/// Removes a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRangeRequest {
    /// Key.
    pub key: Base64Bytes,
}

/// Property of a key that a condition compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of modifications; 0 if the key does not exist.
    Version,
    /// Creation revision; 0 if the key does not exist.
    Create,
    /// Revision of the last modification; 0 if the key does not exist.
    Mod,
}

/// Comparison operator. Only equality is used here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    Equal,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareRequest {
    /// Comparison operator.
    pub result: CompareResult,
    /// Property to compare.
    pub target: CompareTarget,
    /// Key.
    pub key: Base64Bytes,
    /// Expected value for [`CompareTarget::Version`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Int64>,
    /// Expected value for [`CompareTarget::Create`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int64>,
    /// Expected value for [`CompareTarget::Mod`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int64>,
}

/// An operation of a transaction. Exactly one field must be set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOperation {
    /// Stores a value.
    #[serde(
        default,
        rename = "requestPut",
        skip_serializing_if = "Option::is_none"
    )]
    pub request_put: Option<PutRequest>,
    /// Removes a key.
    #[serde(
        default,
        rename = "requestDeleteRange",
        skip_serializing_if = "Option::is_none"
    )]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// Transaction: applies `success` if all conditions in `compare` hold, and `failure` otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions.
    #[serde(default)]
    pub compare: Vec<CompareRequest>,
    /// Operations to apply if all conditions hold.
    #[serde(default)]
    pub success: Vec<RequestOperation>,
    /// Operations to apply otherwise.
    #[serde(default)]
    pub failure: Vec<RequestOperation>,
}

/// Response to [`TxnRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Response header.
    pub header: ResponseHeader,
    /// Whether all conditions held. The gateway omits the field if it is `false`.
    #[serde(default)]
    pub succeeded: bool,
}

/// Grants a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Requested time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
    /// Lease id, or 0 to let the service choose one.
    #[serde(default, rename = "ID")]
    pub id: Int64,
}

/// Response to [`LeaseGrantRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantResponse {
    /// Response header.
    pub header: ResponseHeader,
    /// Lease id.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Granted time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Renews a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseKeepAliveRequest {
    /// Lease id.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// One line of the response to [`LeaseKeepAliveRequest`]. A `TTL` that is 0 or absent means that
/// the lease has expired.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseKeepAliveResponse {
    /// Response header.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Lease id.
    #[serde(default, rename = "ID")]
    pub id: Int64,
    /// Remaining time to live in seconds.
    #[serde(default, rename = "TTL")]
    pub ttl: Int64,
}

/// Revokes a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRevokeRequest {
    /// Lease id.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// Response to [`LeaseRevokeRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRevokeResponse {
    /// Response header.
    pub header: ResponseHeader,
}

/// Starts a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Keys and start revision to watch.
    pub create_request: WatchCreateRequest,
}

/// Keys and start revision of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreateRequest {
    /// First key of the range.
    pub key: Base64Bytes,
    /// End of the range (exclusive).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64Bytes>,
    /// First revision to report, or 0 to report only future changes.
    #[serde(default)]
    pub start_revision: Int64,
}

/// One line of a streamed response, in which the gateway wraps each message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLine<T> {
    /// Message, if the call succeeded.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// Error, if the call failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorBody>,
}

/// One message of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Response header.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether this is the first message, which confirms that the watch was created.
    #[serde(default)]
    pub created: bool,
    /// Whether the service cancelled the watch.
    #[serde(default)]
    pub canceled: bool,
    /// Oldest revision that can be watched, if the requested one was compacted; 0 otherwise.
    #[serde(default)]
    pub compact_revision: Int64,
    /// Changes.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Type of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventType {
    /// A value was stored. The gateway omits this value.
    #[default]
    Put,
    /// A key was removed.
    Delete,
}

/// A change of a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Type of the change.
    #[serde(default, rename = "type")]
    pub event_type: EventType,
    /// Key and value. For a removal, only the key and `mod_revision` are set.
    pub kv: KeyValue,
}

/// Body of an error response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// gRPC status code.
    #[serde(default)]
    pub code: i32,
    /// Error message.
    #[serde(default)]
    pub message: String,
}
