//! How the key-value service holds the configuration: one JSON value for each record, and a head.
//!
//! Every accepted change writes the head in the same transaction, under a compare with the head's
//! last revision. So changes are totally ordered, and the revision of the configuration is the
//! `mod_revision` of the head.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::change::{ConfigurationChange, ConfigurationItem, Delta, ItemKey, ItemWrite};
use super::model::Configuration;
use crate::{ChangeId, MachineId, Revision};

/// All keys of the configuration begin so.
pub const CONFIGURATION_PREFIX: &str = "ponddrift/configuration/";
/// Key of the [`LatestChange`].
pub const LATEST_CHANGE_KEY: &str = "ponddrift/configuration/head";
/// How many earlier changes the head names, to settle lost answers.
pub const MAXIMUM_RECENT_CHANGES: usize = 32;

const SERVICES: &str = "services";
const TENANTS: &str = "tenants";
const PRIORITIES: &str = "priorities";
const MODELS: &str = "models";
const PINS: &str = "pins";

/// An accepted change before the last one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct RecentChange {
    /// The change.
    pub change: ChangeId,
    /// Who asked for it.
    pub author: String,
    /// The revision it led to.
    pub revision: Revision,
}

/// The last accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct LatestChange {
    /// The change.
    pub change: ChangeId,
    /// Who asked for it.
    pub author: String,
    /// The revision it was made on; 0 for the first change.
    pub previous: Revision,
    /// Changes before it, newest first.
    #[serde(default)]
    pub recent: Vec<RecentChange>,
}

/// The head as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLatestChange {
    /// Its value.
    pub latest: LatestChange,
    /// Its `mod_revision`: the configuration's revision.
    pub revision: Revision,
}

/// A write to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyWrite {
    /// Stores a value.
    Put {
        /// The key.
        key: String,
        /// The value as JSON.
        value_json: String,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// A stored key as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// The key.
    pub key: String,
    /// The value as JSON.
    pub value_json: String,
    /// Revision of its last change.
    pub mod_revision: Revision,
}

/// Something under the prefix that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is none that ponddrift writes.
    #[error("key {key} is none that ponddrift writes: remove it from the key-value service")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// The value is not what its key says.
    #[error("the value of key {key} cannot be read ({reason}): write the record again")]
    UnreadableValue {
        /// The key.
        key: String,
        /// Why.
        reason: String,
    },
    /// A batch of writes without the head.
    #[error("the writes of a change lack the head: read the whole configuration again")]
    HeadMissing,
}

fn item_key(key: &ItemKey) -> String {
    match key {
        ItemKey::Service(name) => format!("{CONFIGURATION_PREFIX}{SERVICES}/{name}"),
        ItemKey::Tenant(name) => format!("{CONFIGURATION_PREFIX}{TENANTS}/{name}"),
        ItemKey::Priority(name) => format!("{CONFIGURATION_PREFIX}{PRIORITIES}/{name}"),
        ItemKey::Model(name) => format!("{CONFIGURATION_PREFIX}{MODELS}/{name}"),
        ItemKey::Pin(engine) => format!("{CONFIGURATION_PREFIX}{PINS}/{engine}"),
    }
}

fn item_json(item: &ConfigurationItem) -> serde_json::Result<String> {
    match item {
        ConfigurationItem::Service { settings, .. } => serde_json::to_string(settings),
        ConfigurationItem::Tenant { settings, .. } => serde_json::to_string(settings),
        ConfigurationItem::Priority { settings, .. } => serde_json::to_string(settings),
        ConfigurationItem::Model { settings, .. } => serde_json::to_string(settings),
        ConfigurationItem::Pin { pin, .. } => serde_json::to_string(pin),
    }
}

fn put(key: String, json: serde_json::Result<String>) -> KeyWrite {
    let value_json = json.expect("records have string keys only and always make valid JSON");
    KeyWrite::Put { key, value_json }
}

/// The writes of an accepted change, the head last.
///
/// The shell sends them under a compare: the head's `mod_revision` is `base.revision`, or, without
/// a base, the head is absent.
#[must_use]
pub fn key_writes(
    change: &ConfigurationChange,
    base: Option<&StoredLatestChange>,
) -> Vec<KeyWrite> {
    let mut writes: Vec<KeyWrite> = Vec::new();
    for write in change.writes() {
        let write = match write {
            ItemWrite::Put(item) => put(item_key(&item.key()), item_json(&item)),
            ItemWrite::Delete(key) => KeyWrite::Delete {
                key: item_key(&key),
            },
        };
        // The service allows one write of a key in a transaction: the last one counts.
        writes.retain(|earlier| earlier.key() != write.key());
        writes.push(write);
    }
    let latest = next_latest_change(change, base);
    writes.push(put(
        LATEST_CHANGE_KEY.to_owned(),
        serde_json::to_string(&latest),
    ));
    writes
}

fn next_latest_change(
    change: &ConfigurationChange,
    base: Option<&StoredLatestChange>,
) -> LatestChange {
    let last = base.map(|base| RecentChange {
        change: base.latest.change,
        author: base.latest.author.clone(),
        revision: base.revision,
    });
    let earlier = base
        .map(|base| base.latest.recent.clone())
        .unwrap_or_default();
    let recent = last.into_iter().chain(earlier);
    LatestChange {
        change: change.id,
        author: change.author.clone(),
        previous: base.map_or(Revision(0), |base| base.revision),
        recent: recent.take(MAXIMUM_RECENT_CHANGES).collect(),
    }
}

impl KeyWrite {
    /// The key that is written.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

fn unknown(key: &str) -> KeyError {
    KeyError::UnknownKey {
        key: key.to_owned(),
    }
}

fn parse_key(key: &str) -> Result<ItemKey, KeyError> {
    let path = key.strip_prefix(CONFIGURATION_PREFIX);
    let (kind, name) = path
        .and_then(|path| path.split_once('/'))
        .ok_or_else(|| unknown(key))?;
    let parsed = match kind {
        SERVICES => name.parse().map(ItemKey::Service).ok(),
        TENANTS => name.parse().map(ItemKey::Tenant).ok(),
        PRIORITIES => name.parse().map(ItemKey::Priority).ok(),
        MODELS => name.parse().map(ItemKey::Model).ok(),
        PINS => name.parse().map(MachineId).map(ItemKey::Pin).ok(),
        _ => None,
    };
    parsed.ok_or_else(|| unknown(key))
}

fn parse_value<T: DeserializeOwned>(key: &str, json: &str) -> Result<T, KeyError> {
    serde_json::from_str(json).map_err(|error| KeyError::UnreadableValue {
        key: key.to_owned(),
        reason: error.to_string(),
    })
}

fn parse_item(key: &str, json: &str) -> Result<ConfigurationItem, KeyError> {
    let item = match parse_key(key)? {
        ItemKey::Service(name) => ConfigurationItem::Service {
            name,
            settings: parse_value(key, json)?,
        },
        ItemKey::Tenant(name) => ConfigurationItem::Tenant {
            name,
            settings: parse_value(key, json)?,
        },
        ItemKey::Priority(name) => ConfigurationItem::Priority {
            name,
            settings: parse_value(key, json)?,
        },
        ItemKey::Model(name) => ConfigurationItem::Model {
            name,
            settings: parse_value(key, json)?,
        },
        ItemKey::Pin(engine) => ConfigurationItem::Pin {
            engine,
            pin: parse_value(key, json)?,
        },
    };
    Ok(item)
}

/// The whole configuration and its head from a read of all keys under the prefix.
///
/// # Errors
/// The first key that cannot be read.
pub fn snapshot_from_entries(
    entries: &[StoredEntry],
) -> Result<(Configuration, Option<StoredLatestChange>), KeyError> {
    let mut configuration = Configuration::default();
    let mut stored_latest_change = None;
    for entry in entries {
        if entry.key == LATEST_CHANGE_KEY {
            configuration.revision = entry.mod_revision;
            stored_latest_change = Some(StoredLatestChange {
                latest: parse_value(&entry.key, &entry.value_json)?,
                revision: entry.mod_revision,
            });
        } else {
            let item = parse_item(&entry.key, &entry.value_json)?;
            configuration
                .row_revisions
                .insert(item.key(), entry.mod_revision);
            configuration.put(item);
        }
    }
    Ok((configuration, stored_latest_change))
}

/// The delta from the writes that a watch saw at one `revision`.
///
/// # Errors
/// The first key that cannot be read, or [`KeyError::HeadMissing`].
pub fn delta_from_writes(revision: Revision, writes: &[KeyWrite]) -> Result<Delta, KeyError> {
    let mut latest: Option<LatestChange> = None;
    let mut items = Vec::new();
    for write in writes {
        match write {
            KeyWrite::Put { key, value_json } if key == LATEST_CHANGE_KEY => {
                latest = Some(parse_value(key, value_json)?);
            }
            KeyWrite::Put { key, value_json } => {
                items.push(ItemWrite::Put(parse_item(key, value_json)?));
            }
            KeyWrite::Delete { key } => items.push(ItemWrite::Delete(parse_key(key)?)),
        }
    }
    let latest = latest.ok_or(KeyError::HeadMissing)?;
    Ok(Delta {
        from_revision: latest.previous,
        to_revision: revision,
        change: latest.change,
        author: latest.author,
        writes: items,
    })
}
