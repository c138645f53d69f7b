//! Telling an operator who changed the row first, and what to do.

use ponddrift_core::Revision;
use ponddrift_core::configuration::ItemKey;
use ponddrift_http::{Problem, ProblemKind};

use super::Order;
use super::read::StoredConfiguration;

/// The row is at `row` (`None`: it is gone), and the change was made for another revision.
pub(super) fn problem(
    order: &Order,
    stored: &StoredConfiguration,
    row: Option<Revision>,
) -> Problem {
    let key = &order.key;
    let question = question(key);
    let detail = match row {
        Some(revision) => {
            let author = stored.author_of(revision);
            let author = author.unwrap_or("someone whose change is too long ago to be named");
            let expected = order.request.expected_revision;
            let expected = expected.map_or_else(String::new, |expected| {
                format!(", not at revision {expected} any more")
            });
            format!(
                "{key} was changed by {author} and is at revision {revision} now{expected}; nothing was changed by you: look with {question}, then repeat your change with AND revision = {revision}"
            )
        }
        None => {
            let last = stored.latest.as_ref().map(|stored| &stored.latest.author);
            let last = last.map_or("nobody", String::as_str);
            format!(
                "{key} was deleted meanwhile (the last change of the configuration is by {last}); nothing was changed by you: look with {question}, then use INSERT if you still want it"
            )
        }
    };
    Problem::not_started(ProblemKind::Conflict, detail)
}

/// The question that shows the row.
pub(super) fn question(key: &ItemKey) -> String {
    match key {
        ItemKey::Service(name) => format!("SELECT * FROM services WHERE name = '{name}'"),
        ItemKey::Model(name) => format!("SELECT * FROM models WHERE name = '{name}'"),
        ItemKey::Tenant(name) => format!("SELECT * FROM tenants WHERE name = '{name}'"),
        ItemKey::Priority(name) => format!("SELECT * FROM priorities WHERE name = '{name}'"),
        ItemKey::Pin(engine) => format!("SELECT * FROM pins WHERE engine = {engine}"),
    }
}
