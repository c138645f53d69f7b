//! Rows of engines, cells and adapters.

use std::collections::BTreeMap;
use std::time::Duration;

use ponddrift_core::configuration::ServiceKind;
use ponddrift_core::decision::{DecisionKind, DecisionRecord};
use ponddrift_core::load::PROMPT_BLOCK_TOKENS;
use ponddrift_core::machine::{Machine, MachineKind, MachineState};
use ponddrift_core::{AdapterName, CellName, EngineRole, MachineId, ModelName};
use ponddrift_query::{Row, Table, Value};

use super::Tables;
use super::machines::{drain_text, draining, failure_text};
use super::record::{RowBuilder, count, milliseconds};

/// Age of the last load reading after which an engine is shown as unreachable.
const LOAD_STALE_AFTER: Duration = Duration::from_secs(5);
/// Converts permille to percent.
const PERMILLE_IN_PERCENT: f64 = 10.0;

pub(super) fn engines(tables: &Tables) -> Vec<Row> {
    let engines = listed_engines(tables);
    engines
        .map(|(machine, cell)| engine(tables, machine, cell))
        .collect()
}

fn listed_engines(tables: &Tables) -> impl Iterator<Item = (&Machine, &CellName)> {
    let machines = tables.list.machines.iter();
    machines.filter_map(|machine| match &machine.kind {
        MachineKind::Engine { cell } => Some((machine, cell)),
        MachineKind::Daemon | MachineKind::Plain { .. } => None,
    })
}

fn engine(tables: &Tables, machine: &Machine, cell: &CellName) -> Row {
    let facts = tables.view.facts.get(&machine.id);
    let held = facts.and_then(|facts| facts.model.as_ref());
    let adapters = held.map(|held| {
        let names = held.adapters.iter().map(AdapterName::as_str);
        names.collect::<Vec<_>>().join(",")
    });
    let (state, reason) = state(tables, machine);
    let role = facts.and_then(|facts| facts.role);
    let record = RowBuilder::new(Table::Engines)
        .set("id", machine.id.0)
        .set("name", format!("engine-{}", machine.id))
        .set("cell", cell.as_str())
        .set("zone", machine.zone.as_str())
        .set("region", machine.region.as_str())
        .set("address", machine.address.to_string())
        .set("state", state)
        .set("role", role.map(EngineRole::as_str))
        .set(
            "target_role",
            target_role(tables, machine.id).map(EngineRole::as_str),
        )
        .set("model", held.map(|held| held.model.as_str()))
        .set("version", held.map(|held| held.version))
        .set("adapters", adapters)
        .set(
            "pinned",
            tables.configuration.pins.contains_key(&machine.id),
        )
        .set("incarnation", facts.map(|facts| facts.incarnation.0))
        .set("reason", reason);
    with_load(tables, machine.id, record).finish()
}

fn with_load(tables: &Tables, engine: MachineId, record: RowBuilder) -> RowBuilder {
    let Some(known) = tables.view.load.get(&engine) else {
        return record;
    };
    let digest = known.digest;
    let waiting_tokens = u64::from(digest.waiting_prompt_blocks) * PROMPT_BLOCK_TOKENS;
    let cache_used = f64::from(digest.cache_used_permille) / PERMILLE_IN_PERCENT;
    record
        .set("waiting", u32::from(digest.waiting))
        .set("running", u32::from(digest.running))
        .set("waiting_prompt_tokens", waiting_tokens)
        .set("cache_used_percent", cache_used)
        .set("observed_ms_ago", milliseconds(known.age))
}

/// Returns the engine's state and the known reasons for it.
fn state(tables: &Tables, machine: &Machine) -> (&'static str, String) {
    let mut reasons = Vec::new();
    let mark = draining(tables, machine.id);
    reasons.extend(mark.map(drain_text));
    reasons.extend(failure_text(tables, machine.id));
    if let Some(pin) = tables.configuration.pins.get(&machine.id) {
        reasons.push(format!("pinned to {} by an operator", pin.role));
    }
    if let Some(decision) = role_decision(tables, machine.id) {
        reasons.push(format!("{}: {}", decision.outcome, decision.reason));
    }
    let load = tables.view.load.get(&machine.id);
    let state = match tables.view.facts.get(&machine.id) {
        None => {
            reasons.push(String::from("no daemon has read its control endpoint yet"));
            "unreachable"
        }
        Some(_) if load.is_none_or(|known| known.age > LOAD_STALE_AFTER) => {
            reasons.push(String::from("its load could not be read lately"));
            "unreachable"
        }
        Some(_) if machine.state == MachineState::Leaving => "leaving",
        Some(facts) if facts.role.is_none() || facts.model.is_none() => "changing",
        Some(_) if mark.is_some() => "draining",
        Some(_) => "live",
    };
    if reasons.is_empty() {
        reasons.push(String::from("as it was found; no decision changed it"));
    }
    (state, reasons.join("; "))
}

/// Returns the newest collected role decision about an engine.
fn role_decision(tables: &Tables, engine: MachineId) -> Option<&DecisionRecord> {
    let decisions = tables.decided.decisions.iter().rev();
    let mut records = decisions.map(|decided| &decided.record);
    records
        .find(|record| record.kind == DecisionKind::Role && names_engine(&record.subject, engine))
}

/// Whether a subject like `engine 7`, `engine-7` or `7` names the engine.
fn names_engine(subject: &str, engine: MachineId) -> bool {
    let digits = subject.trim_start_matches(|sign: char| !sign.is_ascii_digit());
    digits.parse() == Ok(engine.0)
}

/// Returns the pinned role, or else the role of the controller's latest decision, if it names one.
fn target_role(tables: &Tables, engine: MachineId) -> Option<EngineRole> {
    if let Some(pin) = tables.configuration.pins.get(&engine) {
        return Some(pin.role);
    }
    let outcome = &role_decision(tables, engine)?.outcome;
    let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed];
    roles.into_iter().find(|role| role.as_str() == outcome)
}

pub(super) fn cells(tables: &Tables) -> Vec<Row> {
    let mut cells: BTreeMap<&CellName, Vec<MachineId>> = BTreeMap::new();
    for (machine, cell) in listed_engines(tables) {
        cells.entry(cell).or_default().push(machine.id);
    }
    let rows = cells.iter();
    rows.map(|(name, engines)| cell(tables, name, engines))
        .collect()
}

fn cell(tables: &Tables, name: &CellName, engines: &[MachineId]) -> Row {
    let controller = tables.view.controllers.get(name);
    let facts = |engine: &MachineId| tables.view.facts.get(engine);
    let in_role = |wanted: EngineRole| {
        let has_role =
            |engine: &&MachineId| facts(engine).is_some_and(|facts| facts.role == Some(wanted));
        count(engines.iter().filter(has_role).count())
    };
    let is_changing = |engine: &&MachineId| facts(engine).is_some_and(|facts| facts.role.is_none());
    RowBuilder::new(Table::Cells)
        .set("name", name.as_str())
        .set("controller", controller.map(|known| known.machine.0))
        .set("fencing_token", controller.map(|known| known.token.0))
        .set("engines", count(engines.len()))
        .set("prefill", in_role(EngineRole::Prefill))
        .set("decode", in_role(EngineRole::Decode))
        .set("mixed", in_role(EngineRole::Mixed))
        .set(
            "changing",
            count(engines.iter().filter(is_changing).count()),
        )
        .set("reason", cell_reason(tables, name, controller.is_some()))
        .finish()
}

fn cell_reason(tables: &Tables, name: &CellName, has_controller: bool) -> String {
    let decisions = tables.decided.decisions.iter().rev();
    let mut records = decisions.map(|decided| &decided.record);
    let about_cell = |record: &&DecisionRecord| {
        record.kind == DecisionKind::Role && record.subject.contains(name.as_str())
    };
    match records.find(about_cell) {
        Some(record) => format!("{}: {}", record.outcome, record.reason),
        None if has_controller => String::from("no role decision of its controller is kept"),
        None => String::from("no controller is known here; its engines keep their roles"),
    }
}

#[derive(Default)]
struct AdapterUse {
    model: Option<ModelName>,
    services: usize,
    engines: usize,
}

pub(super) fn adapters(tables: &Tables) -> Vec<Row> {
    let mut adapters: BTreeMap<&AdapterName, AdapterUse> = BTreeMap::new();
    for settings in tables.configuration.services.values() {
        if let ServiceKind::Completion {
            model,
            adapter: Some(adapter),
            ..
        } = &settings.kind
        {
            let entry = adapters.entry(adapter).or_default();
            entry.model = Some(model.clone());
            entry.services += 1;
        }
    }
    let held = tables.view.facts.values();
    for held in held.filter_map(|facts| facts.model.as_ref()) {
        for adapter in &held.adapters {
            let entry = adapters.entry(adapter).or_default();
            entry.model.get_or_insert_with(|| held.model.clone());
            entry.engines += 1;
        }
    }
    adapters.into_iter().map(adapter).collect()
}

fn adapter((name, uses): (&AdapterName, AdapterUse)) -> Row {
    let model = uses.model.as_ref().map(ModelName::as_str);
    RowBuilder::new(Table::Adapters)
        .set("name", name.as_str())
        .set("model", model.map_or(Value::Null, Value::from))
        .set("services", count(uses.services))
        .set("engines", count(uses.engines))
        .finish()
}
