//! Applies an accepted change locally and tracks its propagation to the other daemons.

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

/// Interval between status polls.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Number of status polls between queries to daemons that have not confirmed the revision.
const POLLS_PER_QUERY: u32 = 8;

/// Applies the change at this daemon; gossip propagates it to the others.
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

/// Propagation status at one poll.
struct RolloutStatus {
    live: usize,
    missing: Vec<MachineId>,
}

/// Waits, for at most `limit`, until the change is in force at all live daemons.
pub(super) async fn wait(
    context: &OperatorContext,
    accepted: &Accepted,
    limit: Duration,
) -> Result<ApplyAnswer, ActorStopped> {
    let begin = context.gateway.now();
    let mut polls = 0;
    loop {
        let rollout = poll_status(context, accepted.revision).await?;
        let waited = context.gateway.now().since(begin);
        if rollout.missing.is_empty() || waited >= limit {
            return Ok(ApplyAnswer {
                change: accepted.change.id,
                author: accepted.change.author.clone(),
                revision: accepted.revision,
                in_force: rollout.live - rollout.missing.len(),
                live: rollout.live,
                not_yet_in_force: rollout.missing,
                waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            });
        }
        if polls % POLLS_PER_QUERY == 0 {
            tell(&context.peers, RequestPeerRevisions(rollout.missing));
        }
        polls += 1;
        tokio::time::sleep(POLL_INTERVAL.min(limit - waited)).await;
    }
}

async fn poll_status(
    context: &OperatorContext,
    revision: Revision,
) -> Result<RolloutStatus, ActorStopped> {
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
    Ok(RolloutStatus { live, missing })
}
