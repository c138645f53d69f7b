//! Application of changes to a configuration.

use super::change::{ChangeStep, ConfigurationChange, ConfigurationItem, ItemKey, ItemWrite};
use super::model::Configuration;
use super::validate::{FleetFacts, ValidationError, validate};
use crate::Revision;

/// Returns the configuration after `change`, at `revision`. The result is not validated; see
/// [`super::validate()`].
///
/// # Errors
/// [`ValidationError::RevisionMismatch`] if the configuration is not at the expected revision, else
/// an error for each step that inserts an existing record or refers to a missing one.
pub fn apply(
    configuration: &Configuration,
    change: &ConfigurationChange,
    revision: Revision,
) -> Result<Configuration, Vec<ValidationError>> {
    let expected = change.expected.unwrap_or(configuration.revision);
    if expected != configuration.revision {
        return Err(vec![ValidationError::RevisionMismatch {
            expected,
            current: configuration.revision,
        }]);
    }
    let mut changed = configuration.clone();
    let mut errors = Vec::new();
    for step in &change.steps {
        if let Err(error) = apply_step(&mut changed, step) {
            errors.push(error);
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    for write in change.writes() {
        changed.write(write, revision);
    }
    changed.revision = revision;
    Ok(changed)
}

/// Applies `change` and validates the result.
///
/// Errors that the configuration already had, for example because an engine or a pool has left the
/// fleet, do not cause a change to be refused. Only errors that the change adds do.
///
/// # Errors
/// All reasons why the change is refused.
pub fn accept(
    configuration: &Configuration,
    change: &ConfigurationChange,
    revision: Revision,
    facts: &FleetFacts,
) -> Result<Configuration, Vec<ValidationError>> {
    let changed = apply(configuration, change, revision)?;
    let before = validate(configuration, facts).err().unwrap_or_default();
    let after = validate(&changed, facts).err().unwrap_or_default();
    let added: Vec<_> = after
        .into_iter()
        .filter(|error| !before.contains(error))
        .collect();
    if added.is_empty() {
        Ok(changed)
    } else {
        Err(added)
    }
}

fn apply_step(configuration: &mut Configuration, step: &ChangeStep) -> Result<(), ValidationError> {
    let key = match step {
        ChangeStep::Insert(item) | ChangeStep::Update(item) => item.key(),
        ChangeStep::Delete(key) => key.clone(),
    };
    let exists = configuration.contains(&key);
    match step {
        ChangeStep::Insert(_) if exists => return Err(ValidationError::AlreadyExists { key }),
        ChangeStep::Update(_) | ChangeStep::Delete(_) if !exists => {
            return Err(ValidationError::DoesNotExist { key });
        }
        ChangeStep::Insert(item) | ChangeStep::Update(item) => configuration.put(item.clone()),
        ChangeStep::Delete(key) => configuration.remove(key),
    }
    Ok(())
}

impl ConfigurationChange {
    /// Writes that the change makes when it is accepted, in the order of its steps.
    #[must_use]
    pub fn writes(&self) -> Vec<ItemWrite> {
        let write = |step: &ChangeStep| match step {
            ChangeStep::Insert(item) | ChangeStep::Update(item) => ItemWrite::Put(item.clone()),
            ChangeStep::Delete(key) => ItemWrite::Delete(key.clone()),
        };
        self.steps.iter().map(write).collect()
    }
}

impl Configuration {
    /// Whether the configuration has a record with this key.
    #[must_use]
    pub fn contains(&self, key: &ItemKey) -> bool {
        match key {
            ItemKey::Service(name) => self.services.contains_key(name),
            ItemKey::Tenant(name) => self.tenants.contains_key(name),
            ItemKey::Priority(name) => self.priorities.contains_key(name),
            ItemKey::Model(name) => self.models.contains_key(name),
            ItemKey::Pin(engine) => self.pins.contains_key(engine),
        }
    }

    /// Stores a record. Records stay sorted by key, so that all daemons have them in the same
    /// order.
    pub(super) fn put(&mut self, item: ConfigurationItem) {
        match item {
            ConfigurationItem::Service { name, settings } => {
                self.services.insert_sorted(name, settings);
            }
            ConfigurationItem::Tenant { name, settings } => {
                self.tenants.insert_sorted(name, settings);
            }
            ConfigurationItem::Priority { name, settings } => {
                self.priorities.insert_sorted(name, settings);
            }
            ConfigurationItem::Model { name, settings } => {
                self.models.insert_sorted(name, settings);
            }
            ConfigurationItem::Pin { engine, pin } => {
                self.pins.insert_sorted(engine, pin);
            }
        }
    }

    /// Removes a record if it exists.
    pub(super) fn remove(&mut self, key: &ItemKey) {
        match key {
            ItemKey::Service(name) => {
                self.services.shift_remove(name);
            }
            ItemKey::Tenant(name) => {
                self.tenants.shift_remove(name);
            }
            ItemKey::Priority(name) => {
                self.priorities.shift_remove(name);
            }
            ItemKey::Model(name) => {
                self.models.shift_remove(name);
            }
            ItemKey::Pin(engine) => {
                self.pins.shift_remove(engine);
            }
        }
    }

    /// Sorts the records of a configuration that was received from a peer or the store.
    pub(super) fn sort(&mut self) {
        self.services.sort_unstable_keys();
        self.tenants.sort_unstable_keys();
        self.priorities.sort_unstable_keys();
        self.models.sort_unstable_keys();
        self.pins.sort_unstable_keys();
    }

    /// Applies one write of a change that was accepted at `revision`.
    pub(super) fn write(&mut self, write: ItemWrite, revision: Revision) {
        match write {
            ItemWrite::Put(item) => {
                self.row_revisions.insert(item.key(), revision);
                self.put(item);
            }
            ItemWrite::Delete(key) => {
                self.row_revisions.remove(&key);
                self.remove(&key);
            }
        }
    }

    /// Revision at which a record was last changed; `None` if it does not exist.
    #[must_use]
    pub fn row_revision(&self, key: &ItemKey) -> Option<Revision> {
        self.row_revisions.get(key).copied()
    }
}
