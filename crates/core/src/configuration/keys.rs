//! Layout of the configuration in the key-value service: one JSON value for each record, and one
//! for the latest change.
//!
//! Every accepted change writes [`LATEST_CHANGE_KEY`] in the same transaction as its records, on
//! the condition that the key's revision has not changed since it was read. Changes are therefore
//! totally ordered, and the revision of the configuration is the `mod_revision` of this key.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::change::{ConfigurationChange, ConfigurationItem, Delta, ItemKey, ItemWrite};
use super::model::Configuration;
use crate::{ChangeId, MachineId, Revision};

/// Prefix of all keys of the configuration.
pub const CONFIGURATION_PREFIX: &str = "ponddrift/configuration/";
/// Key under which the [`LatestChange`] is stored.
pub const LATEST_CHANGE_KEY: &str = "ponddrift/configuration/head";
/// Number of earlier changes that [`LatestChange`] lists. They tell whether a change was accepted
/// when the answer to its transaction was lost.
pub const MAXIMUM_RECENT_CHANGES: usize = 32;

const SERVICES: &str = "services";
const TENANTS: &str = "tenants";
const PRIORITIES: &str = "priorities";
const MODELS: &str = "models";
const PINS: &str = "pins";

/// An accepted change before the latest one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct RecentChange {
    /// Identifier of the change.
    pub change: ChangeId,
    /// Operator who requested the change.
    pub author: String,
    /// Revision of the configuration after the change.
    pub revision: Revision,
}

/// The latest accepted change, and a bounded list of earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
pub struct LatestChange {
    /// Identifier of the change.
    pub change: ChangeId,
    /// Operator who requested the change.
    pub author: String,
    /// Revision of the configuration before the change; 0 for the first change.
    pub previous: Revision,
    /// Earlier changes, newest first; at most [`MAXIMUM_RECENT_CHANGES`].
    #[serde(default)]
    pub recent: Vec<RecentChange>,
}

/// [`LatestChange`] as read from the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLatestChange {
    /// Value of the key.
    pub latest: LatestChange,
    /// `mod_revision` of the key, which is the revision of the configuration.
    pub revision: Revision,
}

/// A write to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyWrite {
    /// Stores a value.
    Put {
        /// Key to write.
        key: String,
        /// Value as JSON.
        value_json: String,
    },
    /// Removes a key.
    Delete {
        /// Key to remove.
        key: String,
    },
}

/// A key as read from the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// Name of the key.
    pub key: String,
    /// Value as JSON.
    pub value_json: String,
    /// Revision at which the key was last written.
    pub mod_revision: Revision,
}

/// Error for keys below [`CONFIGURATION_PREFIX`] that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// ponddrift does not write such a key.
    #[error("key {key} was not written by ponddrift: remove it from the key-value service")]
    UnknownKey {
        /// Name of the key.
        key: String,
    },
    /// The value is not a valid record of the kind that its key names.
    #[error("the value of key {key} cannot be read ({reason}): write the record again")]
    UnreadableValue {
        /// Name of the key.
        key: String,
        /// Message of the JSON parser.
        reason: String,
    },
    /// The writes of a change do not include [`LATEST_CHANGE_KEY`].
    #[error(
        "the writes of a change lack key {LATEST_CHANGE_KEY}: read the whole configuration again"
    )]
    LatestChangeMissing,
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

fn put_json(key: String, json: serde_json::Result<String>) -> KeyWrite {
    let value_json = json.expect("records have string keys only and always make valid JSON");
    KeyWrite::Put { key, value_json }
}

/// Returns the writes of an accepted change, with that of [`LATEST_CHANGE_KEY`] last.
///
/// The caller must send them in one transaction, on the condition that the `mod_revision` of
/// [`LATEST_CHANGE_KEY`] is `base.revision`, or that the key is absent if `base` is `None`.
#[must_use]
pub fn key_writes(
    change: &ConfigurationChange,
    base: Option<&StoredLatestChange>,
) -> Vec<KeyWrite> {
    let mut writes: Vec<KeyWrite> = Vec::new();
    for write in change.writes() {
        let write = match write {
            ItemWrite::Put(item) => put_json(item_key(&item.key()), item_json(&item)),
            ItemWrite::Delete(key) => KeyWrite::Delete {
                key: item_key(&key),
            },
        };
        // The service allows only one write of a key in a transaction, so only the last one is
        // kept.
        writes.retain(|earlier| earlier.key() != write.key());
        writes.push(write);
    }
    let latest = next_latest_change(change, base);
    writes.push(put_json(
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
    /// Key that is written or removed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

fn unknown_key(key: &str) -> KeyError {
    KeyError::UnknownKey {
        key: key.to_owned(),
    }
}

fn parse_key(key: &str) -> Result<ItemKey, KeyError> {
    let relative_key = key.strip_prefix(CONFIGURATION_PREFIX);
    let (kind, name) = relative_key
        .and_then(|relative_key| relative_key.split_once('/'))
        .ok_or_else(|| unknown_key(key))?;
    let parsed = match kind {
        SERVICES => name.parse().map(ItemKey::Service).ok(),
        TENANTS => name.parse().map(ItemKey::Tenant).ok(),
        PRIORITIES => name.parse().map(ItemKey::Priority).ok(),
        MODELS => name.parse().map(ItemKey::Model).ok(),
        PINS => name.parse().map(MachineId).map(ItemKey::Pin).ok(),
        _ => None,
    };
    parsed.ok_or_else(|| unknown_key(key))
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

/// Builds the whole configuration from a read of all keys below [`CONFIGURATION_PREFIX`].
///
/// # Errors
/// [`KeyError`] for the first key that cannot be read.
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

/// Builds a delta from the writes that a watch reported for one `revision`.
///
/// # Errors
/// [`KeyError`] for the first key that cannot be read, or [`KeyError::LatestChangeMissing`].
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
    let latest = latest.ok_or(KeyError::LatestChangeMissing)?;
    Ok(Delta {
        from_revision: latest.previous,
        to_revision: revision,
        change: latest.change,
        author: latest.author,
        writes: items,
    })
}
