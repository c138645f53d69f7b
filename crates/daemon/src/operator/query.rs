//! Questions: gathers what the table needs, then evaluates the statement over it.

use std::collections::BTreeSet;

use ponddrift_core::MachineId;
use ponddrift_http::{Problem, ProblemKind};
use ponddrift_query::{QueryError, Statement, Table, evaluate, parse};

use super::decisions::{self, Gathered};
use super::tables::Tables;
use super::wire::QueryAnswer;
use super::{OperatorContext, ending};
use crate::actors::ask;
use crate::actors::configuration::PeerRevisions;
use crate::actors::peer::operators::{FleetView, ViewFleet};
use crate::actors::routing::BackEndStatusQuery;

/// Answers one `SELECT`.
pub(super) async fn answer(
    context: &OperatorContext,
    statement: &str,
) -> Result<QueryAnswer, Problem> {
    let query = match parse(statement).map_err(|error| refused(&error))? {
        Statement::Select(query) => query,
        Statement::Change(_) => {
            return Err(Problem::not_started(
                ProblemKind::Refused,
                "this is a change: send it to POST /v1/apply, or with `ponddrift apply`",
            ));
        }
    };
    let tables = gather(context, query.table).await?;
    let result = evaluate(&query, &tables).map_err(|error| refused(&error))?;
    Ok(QueryAnswer {
        result,
        missing: tables.decided.missing,
    })
}

pub(super) fn refused(error: &QueryError) -> Problem {
    Problem::not_started(ProblemKind::Refused, error.to_string())
}

async fn gather(context: &OperatorContext, table: Table) -> Result<Tables, Problem> {
    let view = ask(&context.peers, ViewFleet).await.map_err(ending)?;
    let decided = gather_decisions(context, table, &view).await;
    let gateway = &context.gateway;
    let standings = ask(&gateway.routing, BackEndStatusQuery)
        .await
        .map_err(ending)?;
    let revisions = ask(&context.configuration, PeerRevisions)
        .await
        .map_err(ending)?;
    Ok(Tables {
        now: gateway.now(),
        own: context.own,
        configuration: gateway.configuration.borrow().clone(),
        list: gateway.fleet.borrow().clone(),
        requests: gateway.requests.all(),
        view,
        standings,
        revisions,
        decided,
    })
}

/// Decisions that the table shows: of all live daemons, or only of those that order engines.
async fn gather_decisions(context: &OperatorContext, table: Table, view: &FleetView) -> Gathered {
    let asked: BTreeSet<MachineId> = match table {
        Table::Decisions => view.live().map(|record| record.machine).collect(),
        Table::Engines | Table::Cells => {
            let controllers = view.controllers.values();
            controllers.map(|controller| controller.machine).collect()
        }
        _ => BTreeSet::new(),
    };
    decisions::gather(context, view, &asked).await
}
