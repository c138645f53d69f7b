//! Conflict errors: who changed the row first, and how to proceed.

use ponddrift_core::Revision;
use ponddrift_core::configuration::ItemKey;
use ponddrift_http::{Problem, ProblemKind};

use super::RequestedChange;
use super::read::StoredConfiguration;

/// Builds the conflict error for a row now at revision `row` (`None` if it was deleted).
pub(super) fn problem(
    requested: &RequestedChange,
    stored: &StoredConfiguration,
    row: Option<Revision>,
) -> Problem {
    let key = &requested.key;
    let select_statement = select_statement(key);
    let detail = match row {
        Some(revision) => {
            let author = stored.author_of(revision);
            let author = author.unwrap_or("someone whose change is too long ago to be named");
            let expected = requested.request.expected_revision;
            let expected = expected.map_or_else(String::new, |expected| {
                format!(", not at revision {expected} any more")
            });
            format!(
                "{key} was changed by {author} and is at revision {revision} now{expected}; your change was not applied: check with {select_statement}, then repeat your change with AND revision = {revision}"
            )
        }
        None => {
            let last = stored.latest.as_ref().map(|stored| &stored.latest.author);
            let last = last.map_or("nobody", String::as_str);
            format!(
                "{key} was deleted meanwhile (the last change of the configuration is by {last}); your change was not applied: check with {select_statement}, then use INSERT if you still want it"
            )
        }
    };
    Problem::not_started(ProblemKind::Conflict, detail)
}

/// Returns the query that shows the row.
pub(super) fn select_statement(key: &ItemKey) -> String {
    match key {
        ItemKey::Service(name) => format!("SELECT * FROM services WHERE name = '{name}'"),
        ItemKey::Model(name) => format!("SELECT * FROM models WHERE name = '{name}'"),
        ItemKey::Tenant(name) => format!("SELECT * FROM tenants WHERE name = '{name}'"),
        ItemKey::Priority(name) => format!("SELECT * FROM priorities WHERE name = '{name}'"),
        ItemKey::Pin(engine) => format!("SELECT * FROM pins WHERE engine = {engine}"),
    }
}
