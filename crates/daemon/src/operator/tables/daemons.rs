//! Rows of daemons, and of the configuration in force at each.

use ponddrift_core::Revision;
use ponddrift_core::membership::{MemberRecord, MemberState, Readiness};
use ponddrift_query::{Row, Table, Value};

use super::Tables;
use super::record::{RowBuilder, count};

pub(super) fn daemons(tables: &Tables) -> Vec<Row> {
    let members = tables.view.members.iter();
    members.map(|record| daemon(tables, record)).collect()
}

fn daemon(tables: &Tables, member: &MemberRecord) -> Row {
    let is_own = member.machine == tables.own;
    let own_requests = is_own.then(|| count(tables.requests.len()));
    RowBuilder::new(Table::Daemons)
        .set("id", member.machine.0)
        .set("zone", member.zone.as_str())
        .set("region", member.region.as_str())
        .set("address", member.operator_address.to_string())
        .set("state", state(member))
        .set("incarnation", member.life.incarnation.0)
        .set("configuration_revision", revision(tables, member).0)
        .set("requests", own_requests)
        .set("heard_ms_ago", last_heard(is_own))
        .finish()
}

fn state(member: &MemberRecord) -> &'static str {
    match member.state {
        MemberState::Alive if member.facts.readiness == Readiness::Leaving => "leaving",
        MemberState::Left => "leaving",
        state @ (MemberState::Alive | MemberState::Suspect | MemberState::Dead) => state.as_str(),
    }
}

/// Age of the last contact, known for this daemon only: gossip carries no timestamps.
fn last_heard(is_own: bool) -> Value {
    Value::from(is_own.then_some(0_u32))
}

fn revision(tables: &Tables, member: &MemberRecord) -> Revision {
    if member.machine == tables.own {
        return tables.configuration.revision;
    }
    let reported = tables.revisions.get(&member.machine).copied();
    reported.unwrap_or_default().max(member.facts.configuration)
}

pub(super) fn configuration(tables: &Tables) -> Vec<Row> {
    let live: Vec<&MemberRecord> = tables.view.live().collect();
    let revisions = live.iter().map(|member| revision(tables, member));
    let newest = revisions.max().unwrap_or_default();
    let row = |member: &&MemberRecord| {
        let revision = revision(tables, member);
        RowBuilder::new(Table::Configuration)
            .set("daemon", member.machine.0)
            .set("revision", revision.0)
            .set("current", revision == newest)
            .set("heard_ms_ago", last_heard(member.machine == tables.own))
            .finish()
    };
    live.iter().map(row).collect()
}
