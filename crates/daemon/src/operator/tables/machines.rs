//! Rows of plain back ends, and what they share with engines: drains and failures.

use ponddrift_core::MachineId;
use ponddrift_core::drain::{DrainMark, DrainSource, DrainState};
use ponddrift_core::machine::{Machine, MachineKind, MachineState};
use ponddrift_core::routing::Eligibility;
use ponddrift_query::{Row, Table};

use super::Tables;
use super::record::{RowBuilder, count};

/// Returns the mark by which a back end is being drained, if any.
pub(super) fn draining(tables: &Tables, back_end: MachineId) -> Option<&DrainMark> {
    let mut marks = tables.view.marks.iter();
    marks.find(|mark| mark.back_end == back_end && mark.state == DrainState::Draining)
}

pub(super) fn drain_text(mark: &DrainMark) -> String {
    let source = match mark.source {
        DrainSource::Controller => "its cell's controller",
        DrainSource::MachineList => "the machine list",
    };
    let seconds = mark.age_ms / 1_000;
    format!(
        "drained by {source} since {seconds} s: {}",
        mark.reason.as_str()
    )
}

/// Describes why this daemon's outlier detection excludes a back end, if it does.
pub(super) fn failure_text(tables: &Tables, back_end: MachineId) -> Option<String> {
    match tables.standings.get(&back_end)?.eligibility {
        Eligibility::InService => None,
        Eligibility::Probe => Some(String::from(
            "set aside by this daemon after failures; one request probes it now",
        )),
        Eligibility::Ejected { until } => Some(format!(
            "set aside by this daemon after failures, for {} ms more",
            until.since(tables.now).as_millis()
        )),
    }
}

pub(super) fn back_ends(tables: &Tables) -> Vec<Row> {
    let machines = tables.list.machines.iter();
    machines
        .filter_map(|machine| back_end(tables, machine))
        .collect()
}

fn back_end(tables: &Tables, machine: &Machine) -> Option<Row> {
    let MachineKind::Plain { pool } = &machine.kind else {
        return None;
    };
    let standing = tables.standings.get(&machine.id);
    let (state, reason) = state(tables, machine);
    let row = RowBuilder::new(Table::BackEnds)
        .set("id", machine.id.0)
        .set("pool", pool.as_str())
        .set("zone", machine.zone.as_str())
        .set("region", machine.region.as_str())
        .set("address", machine.address.to_string())
        .set("state", state)
        .set("running", standing.map(|standing| count(standing.running)))
        .set("reason", reason)
        .finish();
    Some(row)
}

fn state(tables: &Tables, machine: &Machine) -> (&'static str, String) {
    if let Some(mark) = draining(tables, machine.id) {
        return ("leaving", drain_text(mark));
    }
    if machine.state == MachineState::Leaving {
        return ("leaving", String::from("the machine list says so"));
    }
    match failure_text(tables, machine.id) {
        Some(reason) => ("unreachable", reason),
        None => ("live", String::from("in the machine list")),
    }
}
