//! Collects decisions from several daemons and reports the daemons that did not answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use futures::StreamExt;
use futures::stream;
use ponddrift_core::MachineId;
use ponddrift_core::decision::DecisionRecord;
use ponddrift_protocol::{MAXIMUM_ROWS, Request, Response};

use super::OperatorContext;
use super::wire::MissingPart;
use crate::actors::peer::operators::FleetView;
use crate::decisions::DecisionPage;

/// Maximum number of decisions read for one query, over all daemons; bounds memory use.
const MAXIMUM_DECISIONS: u64 = 40_000;
/// Minimum number of decisions requested from each daemon.
const MINIMUM_DECISIONS_PER_DAEMON: u64 = 500;
/// Maximum number of daemons queried concurrently.
const MAXIMUM_CONCURRENT_QUERIES: usize = 16;

/// A decision and the daemon that made it.
#[derive(Debug, Clone)]
pub(super) struct AttributedDecision {
    pub(super) by: MachineId,
    pub(super) record: DecisionRecord,
}

/// The collected decisions.
#[derive(Debug, Clone, Default)]
pub(super) struct GatheredDecisions {
    /// Ordered by daemon, then from oldest to newest.
    pub(super) decisions: Vec<AttributedDecision>,
    pub(super) missing: Vec<MissingPart>,
}

/// The decisions of one daemon.
struct Part {
    records: Vec<DecisionRecord>,
    /// Why the records are incomplete, if they are.
    fault: Option<String>,
}

/// Reads the latest decisions of the daemons in `asked`.
pub(super) async fn gather(
    context: &OperatorContext,
    view: &FleetView,
    asked: &BTreeSet<MachineId>,
) -> GatheredDecisions {
    let count = u64::try_from(asked.len().max(1)).unwrap_or(u64::MAX);
    let budget = (MAXIMUM_DECISIONS / count).max(MINIMUM_DECISIONS_PER_DAEMON);
    let address_of = |daemon: MachineId| {
        let record = view.members.iter().find(|record| record.machine == daemon);
        record.map(|record| record.peer_address)
    };
    // Collected first, because the futures of a lazy iterator do not satisfy `Send` here.
    let reading: Vec<_> = asked
        .iter()
        .copied()
        .map(|daemon| read(context, daemon, address_of(daemon), budget))
        .collect();
    let parts: Vec<(MachineId, Part)> = stream::iter(reading)
        .buffered(MAXIMUM_CONCURRENT_QUERIES)
        .collect()
        .await;
    let mut gathered = GatheredDecisions::default();
    for (by, part) in parts {
        let decided = part
            .records
            .into_iter()
            .map(|record| AttributedDecision { by, record });
        gathered.decisions.extend(decided);
        if let Some(reason) = part.fault {
            gathered.missing.push(MissingPart { daemon: by, reason });
        }
    }
    gathered
}

async fn read(
    context: &OperatorContext,
    daemon: MachineId,
    address: Option<SocketAddr>,
    budget: u64,
) -> (MachineId, Part) {
    let mut records = Vec::new();
    let source = match address {
        _ if daemon == context.own => Some(Source::Own(context)),
        Some(address) => Some(Source::Peer(context, address)),
        None => None,
    };
    let fault = match source {
        Some(source) => read_pages(&mut records, budget, &source).await,
        None => Some(String::from("its address is not known; retry in a second")),
    };
    (daemon, Part { records, fault })
}

/// The daemon whose decisions are read.
enum Source<'a> {
    Own(&'a OperatorContext),
    Peer(&'a OperatorContext, SocketAddr),
}

impl Source<'_> {
    async fn page(&self, after: u64) -> Result<DecisionPage, String> {
        match self {
            Self::Own(context) => {
                let limit = usize::try_from(MAXIMUM_ROWS).unwrap_or(usize::MAX);
                Ok(context.gateway.decisions.after(after, limit))
            }
            Self::Peer(context, address) => peer_page(context, *address, after).await,
        }
    }
}

async fn peer_page(
    context: &OperatorContext,
    address: SocketAddr,
    after: u64,
) -> Result<DecisionPage, String> {
    let request = Request::PullDecisions {
        after,
        limit: MAXIMUM_ROWS,
    };
    match context.peer_client.ask(address, request).await {
        Ok(Response::Decisions {
            records,
            position,
            has_more,
        }) => Ok(DecisionPage {
            records,
            position,
            has_more,
        }),
        Ok(_other) => Err(String::from("it sent an unexpected response; retry")),
        Err(error) => Err(error.to_string()),
    }
}

/// Reads the newest `budget` decisions in pages. Returns the reason if the result is incomplete.
async fn read_pages(
    records: &mut Vec<DecisionRecord>,
    budget: u64,
    source: &Source<'_>,
) -> Option<String> {
    // The largest position returns no records, only the position of the newest one.
    let newest = match source.page(u64::MAX).await {
        Ok(page) => page.position,
        Err(reason) => return Some(reason),
    };
    let mut after = newest.saturating_sub(budget);
    let fault = (after > 0).then(|| {
        format!(
            "only the newest {budget} of its {newest} decisions were read; older ones are in its log"
        )
    });
    loop {
        let page = match source.page(after).await {
            Ok(page) => page,
            Err(reason) => return Some(reason),
        };
        records.extend(page.records);
        after = page.position;
        if !page.has_more || after >= newest {
            return fault;
        }
    }
}
