//! What must always hold, looked at after a run.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use ponddrift_platform_stand_ins::{OrderRecord, Run};
use tokio::time::Instant;

use crate::load::Asked;
use crate::platform::Member;

/// An engine gets nothing new this long after it left, as the platform's bound says, and a little for the runs that
/// were on their way.
const DRAIN_BOUND: Duration = Duration::from_millis(2_200);
/// Time in which all daemons learn what one of them found out.
const CONTACT: Duration = Duration::from_secs(3);
/// Tries of a request that has crashed three engines which may reach engines after that.
const FORGIVEN_TRIES: usize = 3;
/// How a daemon words the refusal of a request that is quarantined.
const QUARANTINED: &str = "engines ended while they ran this request: it is not run for now";
/// Life of the lease under which engines are ordered: nobody sees orders of A, then of B, then of A within it.
const ORDER_LEASE: Duration = Duration::from_secs(3);
/// The last order of a holder arrives so long before its lease can lapse, after which another may take it.
const HANDOVER: Duration = Duration::from_millis(400);
/// Events of a whole stream.
const EVENTS: [&str; 4] = ["1", "2", "3", "4"];

/// One thing that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Times in which the store was in trouble, or every daemon was disturbed.
#[derive(Debug, Default, Clone)]
pub struct Troubles(pub Vec<(Instant, Instant)>);

impl Troubles {
    /// Whether any of them touches the time between `from` and `to`.
    #[must_use]
    pub fn touch(&self, from: Instant, to: Instant) -> bool {
        self.0
            .iter()
            .any(|(begin, end)| *begin <= to && *end >= from)
    }
}

/// A time in which a daemon's process was killed or stood still: what it had is lost then.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// The daemon, by where callers connect.
    pub daemon: SocketAddr,
    /// When it began.
    pub from: Instant,
    /// When the process ran again.
    pub to: Instant,
}

/// Whatever an engine was given has an answer, and whatever a running daemon took as well, in time. Planned stops excuse
/// nothing: callers keep using their connections until the process is gone.
#[must_use]
pub fn check_answers(asked: &[Asked], members: &[Member], outages: &[Outage]) -> Vec<Violation> {
    let runs = members.iter().flat_map(|member| member.engine.runs());
    let passed_on: HashSet<String> = runs.map(|run| run.request).collect();
    let is_excused = |one: &Asked| {
        outages.iter().any(|outage| {
            outage.daemon == one.daemon && outage.from <= one.ended && outage.to >= one.at
        })
    };
    let unanswered = asked
        .iter()
        .filter(|one| one.answer.is_none() && !one.left)
        .filter(|one| !is_excused(one));
    unanswered
        .filter_map(|one| {
            let limit = Duration::from_millis(one.request.deadline_ms);
            let rule = if one.ended - one.at > limit {
                "an answer comes in time"
            } else if passed_on.contains(&one.request.id) {
                "what was passed on is answered"
            } else {
                // It crossed the end of the connection.
                return None;
            };
            Some(Violation {
                rule,
                seen: format!(
                    "{} at {} after {:?}",
                    one.request.id,
                    one.daemon,
                    one.ended - one.at
                ),
            })
        })
        .collect()
}

/// Checks all that was asked against all that ran.
#[must_use]
pub fn check(asked: &[Asked], members: &[Member], troubles: &Troubles) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut runs: HashMap<String, Vec<(String, Run)>> = HashMap::new();
    for member in members {
        for run in member.engine.runs() {
            let of_request = runs.entry(run.request.clone()).or_default();
            of_request.push((run.engine.clone(), run));
        }
    }
    for one in asked {
        let none = Vec::new();
        let of_request = runs.get(&one.request.id).unwrap_or(&none);
        check_request(one, of_request, &mut violations);
        check_innocence(one, &mut violations);
    }
    check_drains(members, troubles, &mut violations);
    check_orders(members, &mut violations);
    violations
}

/// A request that has crashed three engines reaches engines in no more than three tries later than all daemons must know,
/// daemons that have just started among them. Not where the store was in trouble meanwhile: a daemon that starts then may
/// learn of the request only from the engine that it costs.
#[must_use]
pub fn check_crashing_requests(members: &[Member], store_troubles: &Troubles) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut tries: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in members.iter().flat_map(|member| member.engine.runs()) {
        let name = run.request.split('-').next().unwrap_or_default();
        if name.starts_with("crasher") {
            tries.entry(name.to_owned()).or_default().push(run);
        }
    }
    for (name, mut runs) in tries {
        runs.sort_by_key(|run| run.started_at);
        let crashes = runs.iter().filter(|run| !run.is_prefill);
        let Some(third) = crashes.map(|run| run.started_at).nth(2) else {
            continue;
        };
        let late: BTreeSet<&str> = runs
            .iter()
            .filter(|run| run.started_at > third + CONTACT)
            .filter(|run| !store_troubles.touch(third, run.started_at))
            .map(|run| run.request.as_str())
            .collect();
        if late.len() > FORGIVEN_TRIES {
            violations.push(Violation {
                rule: "a request that crashes engines is run no more",
                seen: format!(
                    "{name} reached engines in {} tries more: {late:?}",
                    late.len()
                ),
            });
        }
    }
    violations
}

fn check_request(asked: &Asked, runs: &[(String, Run)], violations: &mut Vec<Violation>) {
    let id = &asked.request.id;
    let whole_runs = runs.iter().filter(|(_engine, run)| !run.is_prefill).count();
    let is_repeatable = matches!(asked.request.route, "fetch" | "tag");
    if !is_repeatable && whole_runs > 1 {
        violations.push(Violation {
            rule: "at most once",
            seen: format!("{id} ran {whole_runs} times"),
        });
    }
    let Some(answer) = &asked.answer else {
        return;
    };
    let promises = matches!(
        answer.status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    if promises && !is_repeatable && whole_runs > 0 {
        violations.push(Violation {
            rule: "a refusal did not run",
            seen: format!("{id} got {} and ran", answer.status),
        });
    }
    if !answer.status.is_success() {
        return;
    }
    let ran_there = answer.signed_by().is_some_and(|engine| {
        let mut engines = runs.iter().map(|(engine, _run)| engine);
        engines.any(|ran| ran == engine)
    });
    if !ran_there {
        violations.push(Violation {
            rule: "an answer is its engine's",
            seen: format!("{id} signed by {:?}", answer.signed_by()),
        });
    }
    check_body(asked, violations);
}

/// No request of the callers crashes engines: none of them is taken for one that does.
fn check_innocence(asked: &Asked, violations: &mut Vec<Violation>) {
    let Some(answer) = &asked.answer else {
        return;
    };
    if answer.text().contains(QUARANTINED) {
        violations.push(Violation {
            rule: "no innocent request is quarantined",
            seen: format!("{} got {}", asked.request.id, answer.status),
        });
    }
}

fn check_body(asked: &Asked, violations: &mut Vec<Violation>) {
    let (Some(answer), id) = (&asked.answer, &asked.request.id) else {
        return;
    };
    let text = answer.text();
    let is_right = if asked.request.prompt.is_some() {
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        EVENTS.starts_with(&ids) && (!answer.is_complete || ids == EVENTS)
    } else {
        !answer.is_complete || text.ends_with(&format!(" to {id}"))
    };
    if !is_right {
        violations.push(Violation {
            rule: "an answer is whole and its own",
            seen: format!("{id} got {text:?}, whole: {}", answer.is_complete),
        });
    }
}

fn check_drains(members: &[Member], troubles: &Troubles, violations: &mut Vec<Violation>) {
    for member in members {
        let Some(left) = member.left else {
            continue;
        };
        let late = member
            .engine
            .runs()
            .into_iter()
            .filter(|run| run.started_at > left + DRAIN_BOUND)
            .filter(|run| !troubles.touch(left, run.started_at));
        for run in late {
            violations.push(Violation {
                rule: "an engine that leaves gets nothing new",
                seen: format!(
                    "{} at {} {:?} after it left",
                    run.request,
                    member.engine.id(),
                    run.started_at - left
                ),
            });
        }
    }
}

fn check_orders(members: &[Member], violations: &mut Vec<Violation>) {
    let mut orders: Vec<OrderRecord> = members
        .iter()
        .flat_map(|member| member.engine.orders())
        .collect();
    orders.sort_by_key(|order| order.at);
    for pair in orders.windows(2) {
        let changes = pair[0].holder != pair[1].holder;
        let too_soon = pair[1].at - pair[0].at <= HANDOVER;
        if changes && (too_soon || pair[1].fence <= pair[0].fence) {
            violations.push(Violation {
                rule: "one holder orders at a time",
                seen: format!("{pair:?}"),
            });
        }
    }
    for (index, first) in orders.iter().enumerate() {
        let within = orders[index..]
            .iter()
            .take_while(|order| order.at - first.at <= ORDER_LEASE);
        let mut others_came = false;
        for order in within {
            others_came |= order.holder != first.holder;
            if others_came && order.holder == first.holder {
                violations.push(Violation {
                    rule: "holders do not take turns",
                    seen: format!("{first:?}, then others, then {order:?}"),
                });
            }
        }
    }
}
