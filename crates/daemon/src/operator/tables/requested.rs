//! Rows of requests in progress and of decisions.

use ponddrift_query::{Row, Table};

use super::Tables;
use super::record::{RowBuilder, milliseconds};

pub(super) fn requests(tables: &Tables) -> Vec<Row> {
    let requests = tables.requests.iter();
    let rows = requests.map(|request| {
        let service = tables.configuration.services.get(&request.service);
        let priority = service.map(|service| service.priority.as_str());
        RowBuilder::new(Table::Requests)
            .set("id", request.id.to_string())
            .set("service", request.service.as_str())
            .set("tenant", request.tenant.as_str())
            .set("priority", priority)
            .set("state", request.state.as_str())
            .set("back_end", request.back_end.map(|back_end| back_end.0))
            .set("attempts", request.attempts)
            .set("age_ms", milliseconds(tables.now.since(request.arrived)))
            .set(
                "remaining_ms",
                milliseconds(request.deadline.since(tables.now)),
            )
            .set("prompt_tokens", request.prompt_tokens)
            .finish()
    });
    rows.collect()
}

pub(super) fn decisions(tables: &Tables) -> Vec<Row> {
    let decisions = tables.decided.decisions.iter();
    let rows = decisions.map(|decided| {
        let record = &decided.record;
        RowBuilder::new(Table::Decisions)
            .set("at_ms", record.at.as_millis())
            .set("daemon", decided.by.0)
            .set("kind", record.kind.as_str())
            .set("subject", record.subject.as_str())
            .set("outcome", record.outcome.as_str())
            .set("reason", record.reason.as_str())
            .finish()
    });
    rows.collect()
}
