//! What came out of the demonstration.

use eyre::Result;

use super::fleet::DemoFleet;
use super::operator::OperatorClient;
use super::say;
use crate::load::{LoadOutcome, LoadReport, Outcome, Violation, compare};

/// Whether every answer was whole and right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Each answer was whole and its own; refusals said so and were true.
    Right,
    /// So many answers were not, or the back ends' logs contradict them.
    Wrong(usize),
}

/// Prints the report.
///
/// # Errors
/// When the operators' endpoint refuses a question.
pub async fn print(
    fleet: &DemoFleet,
    operator: &OperatorClient,
    outcome: &LoadOutcome,
) -> Result<Verdict> {
    let violations = compare(&outcome.results, &fleet.run_reports());
    figures(&outcome.report, fleet.cut_by_changes());
    operator
        .show("SELECT at_ms, daemon, subject, outcome, reason FROM decisions WHERE kind = 'role' ORDER BY at_ms LIMIT 20")
        .await?;
    operator
        .show("SELECT kind, COUNT(*) FROM decisions GROUP BY kind")
        .await?;
    let wrong = faults(outcome, &violations);
    let verdict = match wrong {
        0 => Verdict::Right,
        many => Verdict::Wrong(many),
    };
    say(match verdict {
        Verdict::Right => "verdict: every answer was whole and right",
        Verdict::Wrong(_) => "verdict: NOT every answer was whole and right; see above",
    });
    Ok(verdict)
}

fn figures(report: &LoadReport, cut_by_changes: u64) {
    let whole = report.outcomes.get("whole").copied().unwrap_or_default();
    say(&format!(
        "requests {} in {:.1} s; whole answers {whole}",
        report.requests, report.seconds
    ));
    if report.refusals.is_empty() {
        say("refusals: none");
    }
    for refusal in &report.refusals {
        say(&format!(
            "refusals: {} {} ({}), execution {:?}",
            refusal.count, refusal.problem, refusal.status, refusal.execution
        ));
    }
    say(&format!(
        "goodput {:.1} requests/s within the targets ({} of {}), {:.0} tokens/s; first token p50 {:.0} ms, p95 {:.0} ms; between tokens p95 {:.0} ms",
        report.good_per_second,
        report.good,
        report.requests,
        report.tokens_per_second,
        report.time_to_first_token.p50_ms,
        report.time_to_first_token.p95_ms,
        report.time_between_tokens.p95_ms,
    ));
    say(&format!(
        "requests cut by planned changes: {cut_by_changes}"
    ));
}

/// Prints and counts what is neither a whole answer nor a refusal, and what the logs contradict.
fn faults(outcome: &LoadOutcome, violations: &[Violation]) -> usize {
    let results = outcome.results.iter();
    let faulty: Vec<_> = results
        .filter(|result| !matches!(result.outcome, Outcome::Whole(_) | Outcome::Refused { .. }))
        .collect();
    for result in &faulty {
        say(&format!(
            "fault: request {}: {:?}",
            result.request_id, result.outcome
        ));
    }
    for violation in violations {
        say(&format!("fault: {violation:?}"));
    }
    faulty.len() + violations.len()
}
