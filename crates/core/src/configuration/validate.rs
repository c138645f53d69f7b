//! Validation of a configuration.

use std::collections::{BTreeMap, BTreeSet};

use super::change::ItemKey;
use super::model::{Configuration, ServiceKind, ServiceSettings};
use crate::{MachineId, ModelName, PoolName, PriorityName, Revision, ServiceName};

/// Shortest deadline of a service, in milliseconds.
pub const MINIMUM_DEADLINE_MS: u64 = 10;
/// Longest deadline of a service, in milliseconds.
pub const MAXIMUM_DEADLINE_MS: u64 = 3_600_000;

/// Engines and pools of the fleet, against which a configuration is validated.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetFacts {
    /// Memory of each known engine for model weights and KV cache, in MiB.
    pub engine_memory_mib: BTreeMap<MachineId, u32>,
    /// Pools of plain back ends.
    pub pools: BTreeSet<PoolName>,
}

/// Why a change is refused. The message says how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ValidationError {
    /// The configuration has changed since the operator read it.
    #[error(
        "the configuration is at revision {current}, not {expected}: read it again and repeat the change with WHERE revision = {current}"
    )]
    RevisionMismatch {
        /// Revision that the operator expects.
        expected: Revision,
        /// Current revision.
        current: Revision,
    },
    /// An insert of an existing record.
    #[error("{key} already exists: use UPDATE to change it")]
    AlreadyExists {
        /// Key of the record.
        key: ItemKey,
    },
    /// An update or delete of a record that does not exist.
    #[error("{key} does not exist: use INSERT to add it, or correct the name")]
    DoesNotExist {
        /// Key of the record.
        key: ItemKey,
    },
    /// A service names a model that does not exist.
    #[error("service {service} names model {model}, which does not exist: add the model first")]
    UnknownModel {
        /// Service with the error.
        service: ServiceName,
        /// Model that it names.
        model: ModelName,
    },
    /// A service names a priority class that does not exist.
    #[error(
        "service {service} names priority {priority}, which does not exist: add the priority first"
    )]
    UnknownPriority {
        /// Service with the error.
        service: ServiceName,
        /// Priority class that it names.
        priority: PriorityName,
    },
    /// A service names a pool that has no back ends.
    #[error(
        "service {service} names pool {pool}, which no machine belongs to: correct the name, or add machines to the machine list"
    )]
    UnknownPool {
        /// Service with the error.
        service: ServiceName,
        /// Pool that it names.
        pool: PoolName,
    },
    /// The engine shares of all models exceed 100%.
    #[error("the engine shares of all models add up to {total}%: lower them to 100% at most")]
    SharesExceedFleet {
        /// Sum of the shares, in per cent.
        total: u32,
    },
    /// The rollout share of a service is out of bounds.
    #[error("rollout_percent of service {service} is {percent}: use 1 to 100")]
    RolloutOutOfBounds {
        /// Service with the error.
        service: ServiceName,
        /// Configured share, in per cent.
        percent: u8,
    },
    /// The deadline of a service is out of bounds.
    #[error(
        "deadline_ms of service {service} is {deadline_ms}: use {MINIMUM_DEADLINE_MS} to {MAXIMUM_DEADLINE_MS}"
    )]
    DeadlineOutOfBounds {
        /// Service with the error.
        service: ServiceName,
        /// Configured deadline, in milliseconds.
        deadline_ms: u64,
    },
    /// No engine has enough memory for the weights of a model.
    #[error(
        "model {model} needs {weights_mib} MiB, and the largest engine has {largest_mib} MiB: use a smaller model, or correct weights_mib"
    )]
    ModelTooLarge {
        /// Model with the error.
        model: ModelName,
        /// Size of its weights, in MiB.
        weights_mib: u32,
        /// Memory of the largest engine, in MiB.
        largest_mib: u32,
    },
    /// A pin names an unknown engine.
    #[error("engine {engine} of the pin is not known: correct the number, or remove the pin")]
    UnknownEngine {
        /// Engine that the pin names.
        engine: MachineId,
    },
    /// A tenant has weight 0 and would never be served.
    #[error("tenant {tenant} has weight 0 and would never be served: use 1 or more")]
    WeightZero {
        /// Tenant with the error.
        tenant: crate::TenantName,
    },
}

/// Validates a whole configuration, as it would be after a change.
///
/// A model or priority class in use cannot be deleted, since the services that name it would become
/// invalid. While no engine is known, checks against engine memory and engine numbers are skipped.
///
/// # Errors
/// All errors, in the order of the records.
pub fn validate(
    configuration: &Configuration,
    facts: &FleetFacts,
) -> Result<(), Vec<ValidationError>> {
    let mut errors = Vec::new();
    for (name, settings) in &configuration.services {
        check_service(configuration, facts, name, settings, &mut errors);
    }
    check_models(configuration, facts, &mut errors);
    check_tenants(configuration, &mut errors);
    check_pins(configuration, facts, &mut errors);
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn check_service(
    configuration: &Configuration,
    facts: &FleetFacts,
    service: &ServiceName,
    settings: &ServiceSettings,
    errors: &mut Vec<ValidationError>,
) {
    match &settings.kind {
        ServiceKind::Completion { model, .. } if !configuration.models.contains_key(model) => {
            errors.push(ValidationError::UnknownModel {
                service: service.clone(),
                model: model.clone(),
            });
        }
        ServiceKind::Plain { pool } if !facts.pools.contains(pool) => {
            errors.push(ValidationError::UnknownPool {
                service: service.clone(),
                pool: pool.clone(),
            });
        }
        ServiceKind::Completion { .. } | ServiceKind::Plain { .. } => {}
    }
    if !configuration.priorities.contains_key(&settings.priority) {
        errors.push(ValidationError::UnknownPriority {
            service: service.clone(),
            priority: settings.priority.clone(),
        });
    }
    if !(1..=100).contains(&settings.rollout_percent) {
        errors.push(ValidationError::RolloutOutOfBounds {
            service: service.clone(),
            percent: settings.rollout_percent,
        });
    }
    if !(MINIMUM_DEADLINE_MS..=MAXIMUM_DEADLINE_MS).contains(&settings.deadline_ms) {
        errors.push(ValidationError::DeadlineOutOfBounds {
            service: service.clone(),
            deadline_ms: settings.deadline_ms,
        });
    }
}

fn check_models(
    configuration: &Configuration,
    facts: &FleetFacts,
    errors: &mut Vec<ValidationError>,
) {
    let models = &configuration.models;
    let shares = models.values().map(|model| model.engine_share_percent);
    let total = shares.map(u32::from).sum();
    if total > 100 {
        errors.push(ValidationError::SharesExceedFleet { total });
    }
    let Some(largest_mib) = facts.engine_memory_mib.values().max().copied() else {
        return;
    };
    for (model, settings) in models {
        if settings.weights_mib > largest_mib {
            errors.push(ValidationError::ModelTooLarge {
                model: model.clone(),
                weights_mib: settings.weights_mib,
                largest_mib,
            });
        }
    }
}

fn check_tenants(configuration: &Configuration, errors: &mut Vec<ValidationError>) {
    for (tenant, settings) in &configuration.tenants {
        if settings.weight == 0 {
            errors.push(ValidationError::WeightZero {
                tenant: tenant.clone(),
            });
        }
    }
}

fn check_pins(
    configuration: &Configuration,
    facts: &FleetFacts,
    errors: &mut Vec<ValidationError>,
) {
    if facts.engine_memory_mib.is_empty() {
        return;
    }
    for engine in configuration.pins.keys() {
        if !facts.engine_memory_mib.contains_key(engine) {
            errors.push(ValidationError::UnknownEngine { engine: *engine });
        }
    }
}
