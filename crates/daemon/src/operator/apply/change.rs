//! Translates a statement into configuration change steps.

use ponddrift_core::configuration::{
    ChangeStep, Configuration, ConfigurationItem, FleetFacts, ItemKey, ValidationError,
};
use ponddrift_core::machine::{MachineKind, MachineList};
use ponddrift_http::{Problem, ProblemKind};
use ponddrift_query::{ChangeRequest, ObjectChange, RecordChange};

use super::super::limits;

/// Returns the key of the row that a statement changes.
pub(super) fn key(request: &ChangeRequest) -> ItemKey {
    match &request.object {
        ObjectChange::Service(name, _) => ItemKey::Service(name.clone()),
        ObjectChange::Model(name, _) => ItemKey::Model(name.clone()),
        ObjectChange::Tenant(name, _) => ItemKey::Tenant(name.clone()),
        ObjectChange::Priority(name, _) => ItemKey::Priority(name.clone()),
        ObjectChange::Pin(engine, _) => ItemKey::Pin(*engine),
    }
}

/// Converts `records` to insert, update and delete steps.
pub(super) fn steps(configuration: &Configuration, records: Vec<RecordChange>) -> Vec<ChangeStep> {
    let step = |record| step(configuration, record);
    records.into_iter().map(step).collect()
}

fn step(configuration: &Configuration, record: RecordChange) -> ChangeStep {
    let item = match record {
        RecordChange::PutService(name, settings) => ConfigurationItem::Service { name, settings },
        RecordChange::PutModel(name, settings) => ConfigurationItem::Model { name, settings },
        RecordChange::PutTenant(name, settings) => ConfigurationItem::Tenant { name, settings },
        RecordChange::PutPriority(name, settings) => ConfigurationItem::Priority { name, settings },
        RecordChange::PutPin(engine, pin) => ConfigurationItem::Pin { engine, pin },
        RecordChange::DeleteService(name) => return ChangeStep::Delete(ItemKey::Service(name)),
        RecordChange::DeleteModel(name) => return ChangeStep::Delete(ItemKey::Model(name)),
        RecordChange::DeleteTenant(name) => return ChangeStep::Delete(ItemKey::Tenant(name)),
        RecordChange::DeletePriority(name) => return ChangeStep::Delete(ItemKey::Priority(name)),
        RecordChange::DeletePin(engine) => return ChangeStep::Delete(ItemKey::Pin(engine)),
    };
    if configuration.contains(&item.key()) {
        ChangeStep::Update(item)
    } else {
        ChangeStep::Insert(item)
    }
}

/// Extracts fleet facts from the machine list. The list does not state the engines' memory, so
/// memory is treated as unlimited.
pub(super) fn fleet_facts(list: &MachineList) -> FleetFacts {
    let mut facts = FleetFacts::default();
    for machine in &list.machines {
        match &machine.kind {
            MachineKind::Engine { .. } => {
                facts.engine_memory_mib.insert(machine.id, u32::MAX);
            }
            MachineKind::Plain { pool } => {
                facts.pools.insert(pool.clone());
            }
            MachineKind::Daemon => {}
        }
    }
    facts
}

/// Builds the error for a change that would make the configuration invalid.
pub(super) fn invalid(errors: &[ValidationError], list: &MachineList) -> Problem {
    let names_pool = |error: &ValidationError| matches!(error, ValidationError::UnknownPool { .. });
    if list.revision == 0 && errors.iter().all(names_pool) {
        let detail = "this daemon has not read the machine list yet, so it knows no pool: nothing was changed, send it again in a second";
        return Problem::not_started(ProblemKind::Unavailable, detail)
            .retry_after(limits::RETRY_AFTER);
    }
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    Problem::not_started(ProblemKind::Refused, messages.join("; "))
}
