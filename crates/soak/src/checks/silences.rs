//! The check that a short silence of back ends costs no request its answer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{Answer, Behaviour};
use tokio::time::Instant;

use super::{Disruptions, Outage, Violation};
use crate::cuts::CutPeriod;
use crate::load::RequestRecord;
use crate::platform::{EngineMember, ROUTE_TIMEOUT};
use crate::silences::Silences;

/// Longest time between sending a request and learning that the daemon was closing the connection.
const CLOSING_RACE: Duration = Duration::from_millis(200);
/// Inaccuracy of the time that a caller measures for an answer that the daemon sent on time.
const TIMING_TOLERANCE: Duration = Duration::from_millis(50);
/// Time for a crash of an engine to be recorded after its connections broke.
const CRASH_RECORD_DELAY: Duration = Duration::from_millis(100);
/// Statuses that tell the caller that the request was not run.
const REFUSALS: [StatusCode; 4] = [
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
];

/// Everything that happened in a run beside its silences.
#[derive(Debug, Clone, Copy)]
pub struct OtherFaults<'a> {
    /// Kills and suspensions of daemons.
    pub outages: &'a [Outage],
    /// Disruptions of the store or a daemon's link to it.
    pub store_disruptions: &'a Disruptions,
    /// Cuts between daemons and back ends.
    pub cuts: &'a [CutPeriod],
}

/// Results of the check.
#[derive(Debug, Default)]
pub struct SilenceReport {
    /// Number of requests that met a silence and no other fault.
    pub checked: usize,
    /// Number of these with a complete, successful answer.
    pub served: usize,
    /// Number of these that were refused.
    pub refused: usize,
    /// Those with any other end.
    pub violations: Vec<Violation>,
}

/// Checks that each request that met a silence of its service's back ends, and no other fault, got
/// a whole answer or a refusal, or ran until its time was over.
///
/// Planned stops, reloads of settings, changes of the configuration and departures of engines are
/// no faults.
#[must_use]
pub fn check_silences(
    records: &[RequestRecord],
    members: &[EngineMember],
    silences: &Silences,
    other_faults: OtherFaults<'_>,
) -> SilenceReport {
    let arrivals = arrivals_by_request(members);
    let plain = addresses(members, false);
    let models = addresses(members, true);
    let mut report = SilenceReport::default();
    for record in records.iter().filter(|record| !record.abandoned) {
        let is_model = record.request.prompt.is_some();
        let engines = if is_model { &models } else { &plain };
        if !silences.overlaps(engines, record.at, record.ended)
            || is_disturbed(record, members, other_faults)
        {
            continue;
        }
        let behaviours = arrivals.get(record.request.id.as_str());
        if behaviours.is_some_and(|all| all.iter().any(|one| *one != Behaviour::Serve)) {
            continue;
        }
        check_record(record, behaviours.is_some(), &mut report);
    }
    report
}

fn check_record(record: &RequestRecord, is_forwarded: bool, report: &mut SilenceReport) {
    let took = record.ended - record.at;
    let Some(answer) = &record.answer else {
        if is_forwarded || took > CLOSING_RACE {
            report.add_violation(record, took, "no answer");
        }
        return;
    };
    report.checked += 1;
    if is_served(answer) {
        report.served += 1;
    } else if REFUSALS.contains(&answer.status) {
        report.refused += 1;
    } else if took < time_limit(record) || !may_run_out_of_time(answer) {
        let end = if answer.status.is_success() {
            String::from("cut answer")
        } else {
            format!("{} {}", answer.status, answer.text())
        };
        report.checked -= 1;
        report.add_violation(record, took, &end);
    }
}

impl SilenceReport {
    fn add_violation(&mut self, record: &RequestRecord, took: Duration, end: &str) {
        self.checked += 1;
        self.violations.push(Violation {
            rule: "short silences of back ends cost no request its answer",
            observed: format!(
                "{} ({}) at {} after {took:?}: {end}",
                record.request.id, record.request.route, record.daemon
            ),
        });
    }
}

/// Whether a request may end like this once its time is over: with 504, or in the middle of a
/// stream.
fn may_run_out_of_time(answer: &Answer) -> bool {
    answer.status == StatusCode::GATEWAY_TIMEOUT || answer.status.is_success()
}

/// Whether the answer is a complete, successful one.
#[must_use]
pub fn is_served(answer: &Answer) -> bool {
    answer.status.is_success() && answer.is_complete
}

/// Time that the daemon has for a request, less the inaccuracy of the measured time.
fn time_limit(record: &RequestRecord) -> Duration {
    let deadline = Duration::from_millis(record.request.deadline_ms);
    deadline.min(ROUTE_TIMEOUT).saturating_sub(TIMING_TOLERANCE)
}

fn is_disturbed(
    record: &RequestRecord,
    members: &[EngineMember],
    other_faults: OtherFaults<'_>,
) -> bool {
    let (at, ended) = (record.at, record.ended);
    let is_model = record.request.prompt.is_some();
    let has_outage = other_faults.outages.iter().any(|outage| {
        // Another daemon may be relaying the request.
        let is_own = outage.daemon == record.daemon;
        let to = if is_own { outage.to } else { outage.stopped_to };
        outage.from <= ended && to >= at
    });
    let is_cut = other_faults.cuts.iter().any(|cut| {
        cut.daemons.contains(&record.daemon)
            && cut.from <= ended
            && cut.to.is_none_or(|to| to >= at)
    });
    let has_crash = members
        .iter()
        .filter(|member| member.engine.is_model_engine() == is_model)
        .flat_map(|member| member.engine.crashes())
        .any(|crash| is_within(crash, at, ended + CRASH_RECORD_DELAY));
    has_outage || is_cut || has_crash || other_faults.store_disruptions.overlaps(at, ended)
}

fn is_within(time: Instant, from: Instant, to: Instant) -> bool {
    from <= time && time <= to
}

fn addresses(members: &[EngineMember], are_models: bool) -> HashSet<SocketAddr> {
    let of_kind = members
        .iter()
        .filter(|member| member.engine.is_model_engine() == are_models);
    of_kind.map(|member| member.engine.address()).collect()
}

/// How engines handled each request that reached them.
fn arrivals_by_request(members: &[EngineMember]) -> HashMap<String, Vec<Behaviour>> {
    let mut arrivals: HashMap<String, Vec<Behaviour>> = HashMap::new();
    for arrival in members.iter().flat_map(|member| member.engine.arrivals()) {
        let of_request = arrivals.entry(arrival.request).or_default();
        of_request.push(arrival.behaviour);
    }
    arrivals
}
