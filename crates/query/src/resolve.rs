//! Merges typed changes into the current configuration to get complete records.

use ponddrift_core::configuration::{
    Configuration, ModelSettings, Pin, PrioritySettings, ServiceKind, ServiceSettings,
    TenantSettings,
};
use ponddrift_core::{MachineId, ModelName, PriorityName, ServiceName, TenantName};

use crate::change::{
    ChangeRequest, Edit, ModelPatch, ObjectChange, PinPatch, PriorityPatch, ServiceKindName,
    ServicePatch, TenantPatch,
};
use crate::error::QueryError;
use crate::schema::Table;

/// A configuration record to write or delete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordChange {
    /// Writes a service.
    PutService(ServiceName, ServiceSettings),
    /// Deletes a service.
    DeleteService(ServiceName),
    /// Writes a model.
    PutModel(ModelName, ModelSettings),
    /// Deletes a model.
    DeleteModel(ModelName),
    /// Writes a tenant.
    PutTenant(TenantName, TenantSettings),
    /// Deletes a tenant.
    DeleteTenant(TenantName),
    /// Writes a priority class.
    PutPriority(PriorityName, PrioritySettings),
    /// Deletes a priority class.
    DeletePriority(PriorityName),
    /// Writes a pin.
    PutPin(MachineId, Pin),
    /// Deletes a pin.
    DeletePin(MachineId),
}

/// Merges a change into the current configuration.
///
/// This does not check [`ChangeRequest::expected_revision`]: the caller must compare it in the
/// transaction that writes the records.
///
/// # Errors
/// [`QueryError::AlreadyExists`], [`QueryError::NotFound`], [`QueryError::MissingColumn`] or
/// [`QueryError::ColumnOfOtherKind`].
pub fn resolve(
    configuration: &Configuration,
    request: &ChangeRequest,
) -> Result<Vec<RecordChange>, QueryError> {
    let record_change = match &request.object {
        ObjectChange::Service(name, edit) => {
            let current = configuration.services.get(name);
            let merged = merge_edit(Table::Services, name, current, edit, merge_service)?;
            match merged {
                Some(settings) => RecordChange::PutService(name.clone(), settings),
                None => RecordChange::DeleteService(name.clone()),
            }
        }
        ObjectChange::Model(name, edit) => {
            let current = configuration.models.get(name);
            let merged = merge_edit(Table::Models, name, current, edit, merge_model)?;
            match merged {
                Some(settings) => RecordChange::PutModel(name.clone(), settings),
                None => RecordChange::DeleteModel(name.clone()),
            }
        }
        ObjectChange::Tenant(name, edit) => {
            let current = configuration.tenants.get(name);
            let merged = merge_edit(Table::Tenants, name, current, edit, merge_tenant)?;
            match merged {
                Some(settings) => RecordChange::PutTenant(name.clone(), settings),
                None => RecordChange::DeleteTenant(name.clone()),
            }
        }
        ObjectChange::Priority(name, edit) => {
            let current = configuration.priorities.get(name);
            let merged = merge_edit(Table::Priorities, name, current, edit, merge_priority)?;
            match merged {
                Some(settings) => RecordChange::PutPriority(name.clone(), settings),
                None => RecordChange::DeletePriority(name.clone()),
            }
        }
        ObjectChange::Pin(engine, edit) => {
            let current = configuration.pins.get(engine);
            match merge_edit(Table::Pins, engine, current, edit, merge_pin)? {
                Some(pin) => RecordChange::PutPin(*engine, pin),
                None => RecordChange::DeletePin(*engine),
            }
        }
    };
    Ok(vec![record_change])
}

/// Merges a patch into the current record, or builds a new record if there is none.
type MergePatch<P, S> = fn(&P, Option<&S>) -> Result<S, QueryError>;

/// Returns the record after the change; `None` if it is deleted.
fn merge_edit<P, S>(
    table: Table,
    key: &impl ToString,
    current: Option<&S>,
    edit: &Edit<P>,
    merge_patch: MergePatch<P, S>,
) -> Result<Option<S>, QueryError> {
    match (edit, current) {
        (Edit::Insert(_), Some(_)) => Err(QueryError::AlreadyExists {
            table,
            key: key.to_string(),
        }),
        (Edit::Update(_) | Edit::Delete, None) => Err(QueryError::NotFound {
            table,
            key: key.to_string(),
        }),
        (Edit::Insert(patch), None) => merge_patch(patch, None).map(Some),
        (Edit::Update(patch), Some(_)) => merge_patch(patch, current).map(Some),
        (Edit::Delete, Some(_)) => Ok(None),
    }
}

/// Returns the patched value of a column, or else its current value.
fn new_or_current<T: Clone>(
    table: Table,
    column: &'static str,
    patched: Option<&T>,
    current: Option<&T>,
) -> Result<T, QueryError> {
    let value = patched.or(current).cloned();
    value.ok_or(QueryError::MissingColumn { table, column })
}

fn merge_service(
    patch: &ServicePatch,
    current: Option<&ServiceSettings>,
) -> Result<ServiceSettings, QueryError> {
    let table = Table::Services;
    let priority = current.map(|settings| &settings.priority);
    let repeatable = current.map(|settings| &settings.repeatable);
    let deadline_ms = current.map(|settings| &settings.deadline_ms);
    let rollout_percent = current.map(|settings| &settings.rollout_percent);
    Ok(ServiceSettings {
        kind: merge_kind(patch, current.map(|settings| &settings.kind))?,
        priority: new_or_current(table, "priority", patch.priority.as_ref(), priority)?,
        repeatable: new_or_current(table, "repeatable", patch.repeatable.as_ref(), repeatable)?,
        deadline_ms: new_or_current(
            table,
            "deadline_ms",
            patch.deadline_ms.as_ref(),
            deadline_ms,
        )?,
        rollout_percent: new_or_current(
            table,
            "rollout_percent",
            patch.rollout_percent.as_ref(),
            rollout_percent,
        )?,
    })
}

const fn kind_name(kind: &ServiceKind) -> ServiceKindName {
    match kind {
        ServiceKind::Completion { .. } => ServiceKindName::Completion,
        ServiceKind::Plain { .. } => ServiceKindName::Plain,
    }
}

fn merge_kind(
    patch: &ServicePatch,
    current: Option<&ServiceKind>,
) -> Result<ServiceKind, QueryError> {
    let current_name = current.map(kind_name);
    let kind = new_or_current(
        Table::Services,
        "kind",
        patch.kind.as_ref(),
        current_name.as_ref(),
    )?;
    reject_columns_of_other_kind(patch, kind)?;
    match kind {
        ServiceKindName::Completion => merge_completion(patch, current),
        ServiceKindName::Plain => {
            let pool = match current {
                Some(ServiceKind::Plain { pool }) => Some(pool),
                _ => None,
            };
            let pool = new_or_current(Table::Services, "pool", patch.pool.as_ref(), pool)?;
            Ok(ServiceKind::Plain { pool })
        }
    }
}

fn merge_completion(
    patch: &ServicePatch,
    current: Option<&ServiceKind>,
) -> Result<ServiceKind, QueryError> {
    let (model, adapter, version) = match current {
        Some(ServiceKind::Completion {
            model,
            adapter,
            version,
        }) => (Some(model), adapter.clone(), Some(version)),
        _ => (None, None, None),
    };
    Ok(ServiceKind::Completion {
        model: new_or_current(Table::Services, "model", patch.model.as_ref(), model)?,
        adapter: patch.adapter.clone().unwrap_or(adapter),
        version: new_or_current(Table::Services, "version", patch.version.as_ref(), version)?,
    })
}

fn reject_columns_of_other_kind(
    patch: &ServicePatch,
    kind: ServiceKindName,
) -> Result<(), QueryError> {
    let is_completion = kind == ServiceKindName::Completion;
    let columns = [
        (patch.pool.is_some() && is_completion, "pool"),
        (patch.model.is_some() && !is_completion, "model"),
        (patch.version.is_some() && !is_completion, "version"),
        (
            matches!(patch.adapter, Some(Some(_))) && !is_completion,
            "adapter",
        ),
    ];
    match columns.into_iter().find(|(is_wrong, _)| *is_wrong) {
        Some((_, column)) => Err(QueryError::ColumnOfOtherKind { kind, column }),
        None => Ok(()),
    }
}

fn merge_model(
    patch: &ModelPatch,
    current: Option<&ModelSettings>,
) -> Result<ModelSettings, QueryError> {
    let table = Table::Models;
    let weights = current.map(|settings| &settings.weights_mib);
    let share = current.map(|settings| &settings.engine_share_percent);
    Ok(ModelSettings {
        weights_mib: new_or_current(table, "weights_mib", patch.weights_mib.as_ref(), weights)?,
        engine_share_percent: new_or_current(
            table,
            "engine_share_percent",
            patch.engine_share_percent.as_ref(),
            share,
        )?,
    })
}

fn merge_tenant(
    patch: &TenantPatch,
    current: Option<&TenantSettings>,
) -> Result<TenantSettings, QueryError> {
    let column = |name, patched: Option<u32>, current: Option<u32>| {
        new_or_current(Table::Tenants, name, patched.as_ref(), current.as_ref())
    };
    let requests = current.map(|settings| settings.requests_per_second);
    let concurrency = current.map(|settings| settings.concurrency);
    let tokens = current.map(|settings| settings.tokens_per_second);
    let weight = current.map(|settings| settings.weight);
    Ok(TenantSettings {
        requests_per_second: column("requests_per_second", patch.requests_per_second, requests)?,
        concurrency: column("concurrency", patch.concurrency, concurrency)?,
        tokens_per_second: column("tokens_per_second", patch.tokens_per_second, tokens)?,
        weight: column("weight", patch.weight, weight)?,
    })
}

fn merge_priority(
    patch: &PriorityPatch,
    current: Option<&PrioritySettings>,
) -> Result<PrioritySettings, QueryError> {
    let level = current.map(|settings| &settings.level);
    let level = new_or_current(Table::Priorities, "level", patch.level.as_ref(), level)?;
    Ok(PrioritySettings { level })
}

fn merge_pin(patch: &PinPatch, current: Option<&Pin>) -> Result<Pin, QueryError> {
    let role = current.map(|pin| &pin.role);
    let role = new_or_current(Table::Pins, "role", patch.role.as_ref(), role)?;
    Ok(Pin { role })
}
