//! Checks of the invariants, made after a run.

pub mod silences;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{OrderRecord, Run};
use tokio::time::Instant;

use crate::load::RequestRecord;
use crate::platform::EngineMember;
use crate::silences::Silences;

/// Time after which an engine that drains or whose entry was removed must not get new requests: the
/// platform's limit plus a margin for requests in flight.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_200);
/// Time for information found by one daemon to reach all daemons.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Beginning of the names of requests whose prompts have a part that crashes engines.
pub const PART_CRASHER: &str = "crasherpart";
/// Crashes by one request after which it must not run.
const TOLERATED_CRASHES: usize = 3;
/// Crashes by requests with one part after which none with it must run.
const TOLERATED_CRASHES_OF_PART: usize = 5;
/// Attempts of a request that may still reach engines after it has crashed three of them.
const ALLOWED_LATE_ATTEMPTS: usize = 3;
/// Text in a daemon's rejection of a quarantined request.
const QUARANTINE_MESSAGE: &str = "engines ended while they ran this request: it is not run for now";
/// Duration of the lease for sending orders. Within it, control must not pass from one holder to
/// another and back.
const ORDER_LEASE_DURATION: Duration = Duration::from_secs(3);
/// Minimum time between the last order of one holder and the first order of the next: a holder
/// stops sending orders before its lease can expire.
const MIN_HANDOVER_GAP: Duration = Duration::from_millis(400);
/// Event ids of a complete stream.
const FULL_STREAM_EVENT_IDS: [&str; 4] = ["1", "2", "3", "4"];

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: &'static str,
    /// What was observed.
    pub observed: String,
}

/// Periods in which the store or the daemons were disrupted.
#[derive(Debug, Default, Clone)]
pub struct Disruptions(pub Vec<(Instant, Instant)>);

impl Disruptions {
    /// Whether any of these periods overlaps the time between `from` and `to`.
    #[must_use]
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.0
            .iter()
            .any(|(begin, end)| *begin <= to && *end >= from)
    }
}

/// A period in which a daemon's process was killed or suspended. Its requests may be lost.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// The daemon's address for callers.
    pub daemon: SocketAddr,
    /// Start of the outage.
    pub from: Instant,
    /// End of the suspension, or a time at which the killed process is certainly gone.
    pub stopped_to: Instant,
    /// End of the outage, including the time to recover.
    pub to: Instant,
}

/// Checks that every request that a daemon accepted or forwarded to an engine got an answer in
/// time.
///
/// Requests to a daemon that was killed or suspended meanwhile are exempt. A planned shutdown is no
/// exemption: callers keep using their connections until the process exits.
#[must_use]
pub fn check_every_request_answered(
    records: &[RequestRecord],
    members: &[EngineMember],
    outages: &[Outage],
) -> Vec<Violation> {
    let runs = members.iter().flat_map(|member| member.engine.runs());
    let forwarded: HashSet<String> = runs.map(|run| run.request).collect();
    let is_during_outage = |record: &RequestRecord| {
        outages.iter().any(|outage| {
            outage.daemon == record.daemon && outage.from <= record.ended && outage.to >= record.at
        })
    };
    let unanswered_requests = records
        .iter()
        .filter(|record| record.answer.is_none() && !record.abandoned)
        .filter(|record| !is_during_outage(record));
    unanswered_requests
        .filter_map(|record| {
            let limit = Duration::from_millis(record.request.deadline_ms);
            let rule = if record.ended - record.at > limit {
                "requests are answered in time"
            } else if forwarded.contains(&record.request.id) {
                "forwarded requests are answered"
            } else {
                // The request was sent while the daemon closed the connection.
                return None;
            };
            Some(Violation {
                rule,
                observed: format!(
                    "{} at {} after {:?}",
                    record.request.id,
                    record.daemon,
                    record.ended - record.at
                ),
            })
        })
        .collect()
}

/// Compares the recorded requests with the runs that the engines recorded.
#[must_use]
pub fn check(
    records: &[RequestRecord],
    members: &[EngineMember],
    disruptions: &Disruptions,
    silences: &Silences,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut runs: HashMap<String, Vec<(String, Run)>> = HashMap::new();
    for member in members {
        for run in member.engine.runs() {
            let of_request = runs.entry(run.request.clone()).or_default();
            of_request.push((run.engine.clone(), run));
        }
    }
    for record in records {
        let none = Vec::new();
        let of_request = runs.get(&record.request.id).unwrap_or(&none);
        check_request(record, of_request, &mut violations);
        check_not_quarantined(record, &mut violations);
    }
    check_stream_versions(records, &mut violations);
    check_departed_engines(members, disruptions, silences, &mut violations);
    check_orders(members, silences, &mut violations);
    violations
}

/// Checks that a request that has crashed three engines, or requests with a part under which five
/// have crashed, reach engines in at most `ALLOWED_LATE_ATTEMPTS` attempts once all daemons must know of it, newly started ones
/// included.
///
/// Attempts during a disruption of the store are exempt: a daemon that starts then may learn of the
/// request only when it crashes another engine.
#[must_use]
pub fn check_crashing_requests(
    members: &[EngineMember],
    store_disruptions: &Disruptions,
    silences: &Silences,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut tries: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for member in members {
        for mut run in member.engine.runs() {
            let name = run.request.split('-').next().unwrap_or_default().to_owned();
            if name.starts_with("crasher") {
                run.started_at = silences.earliest_arrival(member.engine.address(), run.started_at);
                tries.entry(name).or_default().push(run);
            }
        }
    }
    for (name, mut runs) in tries {
        runs.sort_by_key(|run| run.started_at);
        let crashes = runs.iter().filter(|run| !run.is_prefill);
        let tolerated = if name.starts_with(PART_CRASHER) {
            TOLERATED_CRASHES_OF_PART
        } else {
            TOLERATED_CRASHES
        };
        let last_tolerated = crashes.map(|run| run.started_at).nth(tolerated - 1);
        let Some(last_tolerated) = last_tolerated else {
            continue;
        };
        let late: BTreeSet<&str> = runs
            .iter()
            .filter(|run| run.started_at > last_tolerated + PROPAGATION_LIMIT)
            .filter(|run| !store_disruptions.overlaps(last_tolerated, run.started_at))
            .map(|run| run.request.as_str())
            .collect();
        if late.len() > ALLOWED_LATE_ATTEMPTS {
            violations.push(Violation {
                rule: "requests that crash engines are quarantined",
                observed: format!(
                    "{name} reached engines in {} further attempts: {late:?}",
                    late.len()
                ),
            });
        }
    }
    violations
}

fn check_request(record: &RequestRecord, runs: &[(String, Run)], violations: &mut Vec<Violation>) {
    let id = &record.request.id;
    let full_runs = runs.iter().filter(|(_engine, run)| !run.is_prefill).count();
    let is_repeatable = matches!(record.request.route, "fetch" | "tag");
    if !is_repeatable && full_runs > 1 {
        violations.push(Violation {
            rule: "requests that must not be repeated run at most once",
            observed: format!("{id} ran {full_runs} times"),
        });
    }
    let Some(answer) = &record.answer else {
        return;
    };
    let claims_not_run = matches!(
        answer.status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    if claims_not_run && !is_repeatable && full_runs > 0 {
        violations.push(Violation {
            rule: "rejected requests did not run",
            observed: format!("{id} was answered {} but ran", answer.status),
        });
    }
    if !answer.status.is_success() {
        return;
    }
    let ran_on_signer = answer.signed_by().is_some_and(|engine| {
        let mut engines = runs.iter().map(|(engine, _run)| engine);
        engines.any(|ran| ran == engine)
    });
    if !ran_on_signer {
        violations.push(Violation {
            rule: "answers are signed by the engine that ran the request",
            observed: format!("{id} signed by {:?}", answer.signed_by()),
        });
    }
    check_body(record, violations);
}

/// Checks that the callers' ordinary requests, none of which crashes engines, are not quarantined.
fn check_not_quarantined(record: &RequestRecord, violations: &mut Vec<Violation>) {
    let Some(answer) = &record.answer else {
        return;
    };
    if answer.text().contains(QUARANTINE_MESSAGE) {
        violations.push(Violation {
            rule: "requests that crash no engine are not quarantined",
            observed: format!("{} was answered {}", record.request.id, answer.status),
        });
    }
}

fn check_body(record: &RequestRecord, violations: &mut Vec<Violation>) {
    let (Some(answer), id) = (&record.answer, &record.request.id) else {
        return;
    };
    let text = answer.text();
    let is_valid = if record.request.prompt.is_some() {
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        let taken_up = record.request.takes_up.as_ref();
        let skipped = taken_up.map_or(0, |stream| stream.last_event);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let expected = FULL_STREAM_EVENT_IDS.get(skipped..).unwrap_or_default();
        expected.starts_with(&ids) && (!answer.is_complete || ids == expected)
    } else {
        !answer.is_complete || text.ends_with(&format!(" to {id}"))
    };
    if !is_valid {
        violations.push(Violation {
            rule: "answers are complete and belong to their request",
            observed: format!("{id} got {text:?}, complete: {}", answer.is_complete),
        });
    }
}

/// Checks that no stream holds events of two versions of the engines' software, over all tries of its
/// caller.
fn check_stream_versions(records: &[RequestRecord], violations: &mut Vec<Violation>) {
    let mut versions: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for record in records {
        let answer = record.answer.iter();
        let of_answer = answer.flat_map(ponddrift_platform_stand_ins::Answer::versions);
        versions
            .entry(record.stream())
            .or_default()
            .extend(of_answer);
    }
    for (stream, versions) in versions {
        if versions.len() > 1 {
            violations.push(Violation {
                rule: "streams go on at the software version that began them",
                observed: format!("{stream} holds events of {versions:?}"),
            });
        }
    }
}

fn check_departed_engines(
    members: &[EngineMember],
    disruptions: &Disruptions,
    silences: &Silences,
    violations: &mut Vec<Violation>,
) {
    for member in members {
        let Some(left_at) = member.left_at else {
            continue;
        };
        let address = member.engine.address();
        let late = member
            .engine
            .runs()
            .into_iter()
            .filter(|run| {
                silences.earliest_arrival(address, run.started_at) > left_at + DRAIN_LIMIT
            })
            .filter(|run| !disruptions.overlaps(left_at, run.started_at));
        for run in late {
            violations.push(Violation {
                rule: "departed engines get no new requests",
                observed: format!(
                    "{} at {} {:?} after it left",
                    run.request,
                    member.engine.id(),
                    run.started_at - left_at
                ),
            });
        }
    }
}

/// Orders that an engine read after a silence are left out: they were sent at an unknown time
/// before.
fn check_orders(members: &[EngineMember], silences: &Silences, violations: &mut Vec<Violation>) {
    let mut orders: Vec<OrderRecord> = members
        .iter()
        .flat_map(|member| {
            let address = member.engine.address();
            let orders = member.engine.orders().into_iter();
            orders.filter(move |order| silences.earliest_arrival(address, order.at) == order.at)
        })
        .collect();
    orders.sort_by_key(|order| order.at);
    for pair in orders.windows(2) {
        let changes = pair[0].holder != pair[1].holder;
        let too_soon = pair[1].at - pair[0].at <= MIN_HANDOVER_GAP;
        if changes && (too_soon || pair[1].fence <= pair[0].fence) {
            violations.push(Violation {
                rule: "only one holder sends orders at a time",
                observed: format!("{pair:?}"),
            });
        }
    }
    for (index, first) in orders.iter().enumerate() {
        let within = orders[index..]
            .iter()
            .take_while(|order| order.at - first.at <= ORDER_LEASE_DURATION);
        let mut saw_other_holder = false;
        for order in within {
            saw_other_holder |= order.holder != first.holder;
            if saw_other_holder && order.holder == first.holder {
                violations.push(Violation {
                    rule: "control does not alternate between holders",
                    observed: format!("{first:?}, then others, then {order:?}"),
                });
            }
        }
    }
}
