//! Remembers where the streams of callers began, so that any daemon can go on with a stream at the
//! software that began it.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest, Sha256};

/// Size of an identifier in bytes.
const ID_BYTES: usize = 16;
/// Maximum number of streams that are remembered, about 200 bytes each.
const MAX_STREAMS: usize = 16_384;
/// A caller may take up a stream for no longer than this.
pub const MAX_RETENTION: Duration = Duration::from_secs(600);
/// Interval at which the daemon that serves a stream renews its record at the recorders, all of which
/// may have been replaced in between. Shorter streams are never renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Identifies a stream over all tries of its caller: the tenant and the ID of the request that
/// brought the first event. Collision-resistant, because callers choose their request IDs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct StreamId([u8; ID_BYTES]);

impl StreamId {
    /// Identifies the stream whose first event answered `request`.
    #[must_use]
    pub fn of(tenant: Option<&str>, request: &str) -> Self {
        let mut hasher = Sha256::new();
        let tenant = tenant.map(str::as_bytes);
        hasher.update([u8::from(tenant.is_some())]);
        let tenant = tenant.unwrap_or_default();
        // The length distinguishes "ab" + "c" from "a" + "bc".
        hasher.update(tenant.len().to_le_bytes());
        hasher.update(tenant);
        hasher.update(request.as_bytes());
        let mut bytes = [0; ID_BYTES];
        for (to, from) in bytes.iter_mut().zip(hasher.finalize()) {
            *to = from;
        }
        Self(bytes)
    }

    /// The bytes of the identifier.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for StreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Service of the back end that sent the first event.
    pub service: Arc<str>,
    /// Version of the software of that back end.
    pub version: Arc<str>,
}

/// What is known of where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownOrigin {
    /// All records agree.
    Known(StreamOrigin),
    /// Two records contradict each other, because a caller used an ID twice.
    Contradictory,
    /// There is no record.
    Unrecorded,
}

/// The record of a stream, as daemons send it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamId,
    /// Where it began.
    pub origin: StreamOrigin,
    /// For how long its caller may take it up from now on.
    pub retention: Duration,
}

#[derive(Debug)]
struct Record {
    /// `None` if two origins were recorded.
    origin: Option<StreamOrigin>,
    expires_at: Instant,
    /// When the record is renewed at the recorders; `None` for a stream that this daemon does not serve.
    renewal_at: Option<Instant>,
}

/// Origins of the streams that callers may still take up.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamId, Record>,
    by_expiry: BTreeSet<(Instant, StreamId)>,
    by_renewal: BTreeSet<(Instant, StreamId)>,
}

impl StreamOrigins {
    /// Records where a stream began; callers may take it up for `retention`. If there are too many
    /// streams, forgets the one that expires first.
    pub fn record(
        &mut self,
        stream: StreamId,
        origin: StreamOrigin,
        retention: Duration,
        now: Instant,
    ) {
        let expires_at = now + retention.min(MAX_RETENTION);
        self.forget_expired(now);
        match self.records.get_mut(&stream) {
            Some(known) => {
                if known.origin.as_ref() != Some(&origin) {
                    known.origin = None;
                }
                if known.expires_at < expires_at {
                    self.by_expiry.remove(&(known.expires_at, stream));
                    self.by_expiry.insert((expires_at, stream));
                    known.expires_at = expires_at;
                }
            }
            None => {
                if self.records.len() >= MAX_STREAMS {
                    self.forget_first();
                }
                let record = Record {
                    origin: Some(origin),
                    expires_at,
                    renewal_at: None,
                };
                self.records.insert(stream, record);
                self.by_expiry.insert((expires_at, stream));
            }
        }
    }

    /// Records where a stream began that this daemon serves from now on. The record is renewed after
    /// each [`RENEWAL_INTERVAL`] until the stream ends.
    pub fn record_served(
        &mut self,
        stream: StreamId,
        origin: StreamOrigin,
        retention: Duration,
        now: Instant,
    ) {
        self.record(stream, origin, retention, now);
        self.schedule_renewal(stream, Some(now + RENEWAL_INTERVAL));
    }

    /// Records that a stream was served to its end here, so that its caller does not take it up.
    pub fn finish(&mut self, stream: StreamId) {
        self.schedule_renewal(stream, None);
    }

    /// The records that are to be renewed at their recorders now.
    pub fn take_due_renewals(&mut self, now: Instant) -> Vec<StreamRecord> {
        self.forget_expired(now);
        let due = self.by_renewal.iter();
        let due: Vec<StreamId> = due
            .take_while(|(renewal_at, _stream)| *renewal_at <= now)
            .map(|(_renewal_at, stream)| *stream)
            .collect();
        for stream in &due {
            self.schedule_renewal(*stream, Some(now + RENEWAL_INTERVAL));
        }
        due.iter()
            .filter_map(|stream| self.record_of(*stream, now))
            .collect()
    }

    /// When the next record is to be renewed; `None` if this daemon serves no stream.
    #[must_use]
    pub fn next_renewal(&self) -> Option<Instant> {
        let first = self.by_renewal.first();
        first.map(|(renewal_at, _stream)| *renewal_at)
    }

    /// Everything that is known, for a daemon that takes over.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<StreamRecord> {
        let streams = self.records.keys();
        streams
            .filter_map(|stream| self.record_of(*stream, now))
            .collect()
    }

    fn record_of(&self, stream: StreamId, now: Instant) -> Option<StreamRecord> {
        let record = self.records.get(&stream)?;
        let retention = record.expires_at.saturating_duration_since(now);
        let origin = record.origin.clone().filter(|_| !retention.is_zero())?;
        Some(StreamRecord {
            stream,
            origin,
            retention,
        })
    }

    fn schedule_renewal(&mut self, stream: StreamId, renewal_at: Option<Instant>) {
        let Some(record) = self.records.get_mut(&stream) else {
            return;
        };
        if let Some(before) = std::mem::replace(&mut record.renewal_at, renewal_at) {
            self.by_renewal.remove(&(before, stream));
        }
        self.by_renewal
            .extend(renewal_at.map(|renewal_at| (renewal_at, stream)));
    }

    /// Where a stream began.
    #[must_use]
    pub fn find(&self, stream: StreamId, now: Instant) -> KnownOrigin {
        let record = self.records.get(&stream);
        match record.filter(|record| record.expires_at > now) {
            None => KnownOrigin::Unrecorded,
            Some(record) => match &record.origin {
                Some(origin) => KnownOrigin::Known(origin.clone()),
                None => KnownOrigin::Contradictory,
            },
        }
    }

    /// Number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn forget_expired(&mut self, now: Instant) {
        while let Some((expires_at, _stream)) = self.by_expiry.first()
            && *expires_at <= now
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_expires_at, stream)) = self.by_expiry.pop_first() {
            self.schedule_renewal(stream, None);
            self.records.remove(&stream);
        }
    }
}

/// A daemon that may record where streams began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecorderCandidate<A> {
    /// Identity of the daemon, which survives its restarts.
    pub daemon: u64,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where to reach it.
    pub address: A,
}

/// Orders daemons by how suitable they are to record where a stream began. All daemons compute the
/// same order. Neighbours in it are of different zones, so that a zone may fail as a whole, and a
/// daemon more or less moves the others by few places.
#[must_use]
pub fn recorders_in_order<A>(
    stream: StreamId,
    daemons: Vec<RecorderCandidate<A>>,
) -> Vec<RecorderCandidate<A>> {
    let mut ranked: Vec<(u64, RecorderCandidate<A>)> = daemons
        .into_iter()
        .map(|daemon| {
            let rank = xxhash_rust::xxh3::xxh3_64_with_seed(stream.as_bytes(), daemon.daemon);
            (rank, daemon)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _daemon)| *rank);
    let mut places: HashMap<Arc<str>, usize> = HashMap::new();
    let mut placed: Vec<(usize, RecorderCandidate<A>)> = ranked
        .into_iter()
        .map(|(_rank, daemon)| {
            let place = places.entry(Arc::clone(&daemon.zone)).or_default();
            *place += 1;
            (*place, daemon)
        })
        .collect();
    // Stable, so that daemons of the same place keep the order of their ranks.
    placed.sort_by_key(|(place, _daemon)| *place);
    placed.into_iter().map(|(_place, daemon)| daemon).collect()
}
