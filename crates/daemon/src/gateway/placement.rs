//! Records placements in the decision log, in a form readable by operators.

use std::fmt::Write as _;
use std::time::Duration;

use ponddrift_core::RequestId;
use ponddrift_core::decision::DecisionKind;
use ponddrift_core::routing::{CandidateEstimate, Placement, PlacementPlan, PlacementReason};

use super::GatewayContext;
use super::permit::Permit;

/// Records the placement of a request and the reason for it.
pub(super) fn record(
    context: &GatewayContext,
    permit: &Permit,
    request: RequestId,
    placement: &Placement,
) {
    permit.record_placement(placement.plan);
    context.decisions.record(
        DecisionKind::Placement,
        request,
        plan_text(placement.plan),
        reason_text(&placement.reason),
    );
}

fn plan_text(plan: PlacementPlan) -> String {
    match plan {
        PlacementPlan::Single { back_end } => format!("back end {back_end}"),
        PlacementPlan::Handover { prefill, decode } => {
            format!("prefill on engine {prefill}, decode on engine {decode}")
        }
    }
}

fn reason_text(reason: &PlacementReason) -> String {
    let mut text = format!(
        "first token expected in {} ms and the whole answer in {} ms; {} weighed of {} eligible",
        reason.expected_first_token.as_millis(),
        reason.expected_total.as_millis(),
        reason.weighed.len(),
        reason.eligible,
    );
    if reason.transfer > Duration::ZERO {
        let _infallible = write!(text, "; KV transfer {} ms", reason.transfer.as_millis());
    }
    for candidate in &reason.weighed {
        let _infallible = write!(text, "; {}", candidate_text(candidate));
    }
    text
}

fn candidate_text(candidate: &CandidateEstimate) -> String {
    let mut text = format!(
        "{}: cost {} ms, {} tokens cached",
        candidate.back_end,
        candidate.cost.as_millis(),
        candidate.cached_tokens,
    );
    let _infallible = match candidate.digest_age {
        Some(age) => write!(text, ", load {} ms old", age.as_millis()),
        None => write!(text, ", load not known"),
    };
    if candidate.probe {
        text.push_str(", a probe after it was set aside");
    }
    text
}
