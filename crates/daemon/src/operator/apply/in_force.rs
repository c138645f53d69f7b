//! Bringing an accepted change into force, and seeing where it is.

use std::time::Duration;

use ponddrift_core::configuration::{Delta, DeltaOutcome};
use ponddrift_core::{MachineId, Revision};

use super::super::OperatorContext;
use super::super::wire::ApplyAnswer;
use super::Accepted;
use crate::actors::configuration::{ApplyDelta, ApplySnapshot, PeersWithoutRevision};
use crate::actors::peer::RequestPeerRevisions;
use crate::actors::peer::operators::ViewFleet;
use crate::actors::{ActorStopped, ask, tell};

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// Looks between two questions to daemons that have not said so yet.
const LOOKS_PER_QUESTION: u32 = 8;

/// Takes the change here at once; gossip brings it to the others.
pub(super) async fn adopt(
    context: &OperatorContext,
    accepted: &Accepted,
) -> Result<(), ActorStopped> {
    let delta = Delta {
        from_revision: accepted.base.revision,
        to_revision: accepted.revision,
        change: accepted.change.id,
        author: accepted.change.author.clone(),
        writes: accepted.change.writes(),
    };
    let outcome = ask(&context.configuration, ApplyDelta(delta)).await?;
    if !matches!(outcome, DeltaOutcome::Gap { .. }) {
        return Ok(());
    }
    match accepted.result() {
        Some(configuration) => ask(&context.configuration, ApplySnapshot(configuration)).await,
        None => Ok(()),
    }
}

/// Live daemons at one look.
struct Standing {
    live: usize,
    missing: Vec<MachineId>,
}

/// Waits until the change is in force at all live daemons, at most for `limit`.
pub(super) async fn wait(
    context: &OperatorContext,
    accepted: &Accepted,
    limit: Duration,
) -> Result<ApplyAnswer, ActorStopped> {
    let begin = context.gateway.now();
    let mut looks = 0;
    loop {
        let standing = look(context, accepted.revision).await?;
        let waited = context.gateway.now().since(begin);
        if standing.missing.is_empty() || waited >= limit {
            return Ok(ApplyAnswer {
                change: accepted.change.id,
                author: accepted.change.author.clone(),
                revision: accepted.revision,
                in_force: standing.live - standing.missing.len(),
                live: standing.live,
                not_yet_in_force: standing.missing,
                waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            });
        }
        if looks % LOOKS_PER_QUESTION == 0 {
            tell(&context.peers, RequestPeerRevisions(standing.missing));
        }
        looks += 1;
        tokio::time::sleep(LOOK_INTERVAL.min(limit - waited)).await;
    }
}

async fn look(context: &OperatorContext, revision: Revision) -> Result<Standing, ActorStopped> {
    let view = ask(&context.peers, ViewFleet).await?;
    let others = view.live().map(|record| record.machine);
    let others: Vec<MachineId> = others.filter(|machine| *machine != context.own).collect();
    let live = others.len() + 1;
    let question = PeersWithoutRevision {
        revision,
        live: others,
    };
    let mut missing = ask(&context.configuration, question).await?;
    if context.gateway.configuration.borrow().revision < revision {
        missing.push(context.own);
    }
    missing.sort_unstable();
    Ok(Standing { live, missing })
}
