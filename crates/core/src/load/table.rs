//! Table of the newest load digest of each engine, with its gossip state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use super::LoadDigest;
use crate::{MachineId, Timestamp};

/// Settings of a [`LoadTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTableSettings {
    /// Maximum number of digests per message; each is about 28 bytes.
    pub digests_per_message: usize,
    /// Number of times a digest is sent to peers.
    pub retransmits: u32,
    /// Age up to which a digest is sent to peers.
    pub max_gossip_age: Duration,
    /// Age after which a digest is dropped.
    pub forget_after: Duration,
}

impl Default for LoadTableSettings {
    fn default() -> Self {
        Self {
            digests_per_message: 40,
            retransmits: 3,
            max_gossip_age: Duration::from_secs(4),
            forget_after: Duration::from_secs(60),
        }
    }
}

/// A digest with its age at the time of sending, because clocks of daemons are not comparable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AgedDigest {
    /// The digest.
    pub digest: LoadDigest,
    /// Its age in milliseconds, excluding network latency.
    pub age_ms: u16,
}

/// Newest known load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLoad {
    /// The newest digest.
    pub digest: LoadDigest,
    /// When it arrived at this daemon.
    pub received: Timestamp,
    /// Its age now.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    digest: LoadDigest,
    received: Timestamp,
    polled: Timestamp,
    sends_left: u32,
}

/// Newest digests of the engines that this daemon subscribes to.
#[derive(Debug, Clone)]
pub struct LoadTable {
    settings: LoadTableSettings,
    subscribed: BTreeSet<MachineId>,
    entries: BTreeMap<MachineId, Entry>,
}

impl LoadTable {
    /// Creates a table without subscriptions.
    #[must_use]
    pub const fn new(settings: LoadTableSettings) -> Self {
        Self {
            settings,
            subscribed: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Replaces the set of engines whose digests are kept; digests of other engines are dropped.
    pub fn subscribe(&mut self, engines: impl IntoIterator<Item = MachineId>) {
        self.subscribed = engines.into_iter().collect();
        let subscribed = &self.subscribed;
        self.entries.retain(|engine, _| subscribed.contains(engine));
    }

    /// Stores a digest from an own poll (age 0) or a peer if it is newer. Returns whether it was
    /// stored.
    pub fn take(&mut self, now: Timestamp, aged: AgedDigest) -> bool {
        let digest = aged.digest;
        if !self.subscribed.contains(&digest.engine) {
            return false;
        }
        let known = self.entries.get(&digest.engine).map(|entry| &entry.digest);
        if known.is_some_and(|known| known.version() >= digest.version()) {
            return false;
        }
        let age = u64::from(aged.age_ms) * 1_000;
        let entry = Entry {
            digest,
            received: now,
            polled: Timestamp(now.0.saturating_sub(age)),
            sends_left: self.settings.retransmits,
        };
        self.entries.insert(digest.engine, entry);
        true
    }

    /// Known load of an engine.
    #[must_use]
    pub fn get(&self, now: Timestamp, engine: MachineId) -> Option<KnownLoad> {
        self.entries.get(&engine).map(|entry| entry.known(now))
    }

    /// Known loads of all engines, ordered by machine id.
    pub fn iter(&self, now: Timestamp) -> impl Iterator<Item = KnownLoad> {
        self.entries.values().map(move |entry| entry.known(now))
    }

    /// Digests for one message, most recent first. Each digest is returned a bounded number of
    /// times.
    pub fn take_for_gossip(&mut self, now: Timestamp) -> Vec<AgedDigest> {
        let limit = self.settings.max_gossip_age;
        let mut waiting: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.sends_left > 0 && now.since(entry.polled) <= limit)
            .collect();
        waiting.sort_by_key(|entry| u64::MAX - entry.polled.0);
        waiting.truncate(self.settings.digests_per_message);
        let send = |entry: &mut Entry| {
            entry.sends_left -= 1;
            let age = now.since(entry.polled).as_millis();
            AgedDigest {
                digest: entry.digest,
                age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            }
        };
        waiting.into_iter().map(send).collect()
    }

    /// Drops digests older than [`LoadTableSettings::forget_after`].
    pub fn forget_old(&mut self, now: Timestamp) {
        let limit = self.settings.forget_after;
        self.entries
            .retain(|_, entry| now.since(entry.polled) <= limit);
    }
}

impl Entry {
    const fn known(&self, now: Timestamp) -> KnownLoad {
        KnownLoad {
            digest: self.digest,
            received: self.received,
            age: now.since(self.polled),
        }
    }
}

impl LoadDigest {
    /// Ordering of digests of one engine: by incarnation, then sequence.
    const fn version(&self) -> (u64, u32) {
        (self.incarnation.0, self.sequence)
    }
}
