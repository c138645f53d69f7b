//! Compares policies for sharing the rate limits of back ends among daemons.
//!
//! Six back ends announce the same limit. Each daemon receives requests at a rate of its own, in
//! total 1.3 times the sum of the limits. It sends each request to the first back end for which it
//! has a token, waits up to 0.15 s for one, and otherwise refuses the request. Every 5 s a daemon
//! terminates or returns; each of the others learns of it at a different time within one second.
//!
//! `cargo run --release -p ponddrift-fleet --example shared_rates`

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::rate_limits::{Members, RequestRate, Share, SharedBackEnd, TokenBucket};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const BACK_ENDS: usize = 6;
const ZONES: u64 = 3;
const STEP_MS: u64 = 5;
const RUN_MS: u64 = 60_000;
const WINDOW_MS: u64 = 4_000;
const MAX_WAIT_MS: u64 = 150;
const CHURN_INTERVAL_MS: u64 = 5_000;
const MAX_VIEW_LAG_MS: u64 = 1_000;
/// Total request rate as a multiple of the sum of all limits.
const DEMAND_FACTOR: f64 = 1.3;

#[derive(Debug, Clone, Copy)]
enum SharingPolicy {
    /// Each daemon applies the whole rate by itself.
    WholeRateEach,
    /// All daemons have equal shares.
    EqualShares,
    /// A few daemons have equal shares; together they accumulate one second of the rate.
    Accumulate1s,
    /// As above with 1.5 seconds of the rate; the policy of the product.
    Accumulate1500ms,
    /// As above with two seconds of the rate and five requests; leaves no reserve within the
    /// tolerance of back ends.
    Accumulate2s,
    /// The few daemons with the highest demand have shares in proportion to it.
    ByDemand,
}

const POLICIES: [SharingPolicy; 6] = [
    SharingPolicy::WholeRateEach,
    SharingPolicy::EqualShares,
    SharingPolicy::Accumulate1s,
    SharingPolicy::Accumulate1500ms,
    SharingPolicy::Accumulate2s,
    SharingPolicy::ByDemand,
];

struct Daemon {
    demand: f64,
    members: Arc<Members>,
    next_members: (u64, Arc<Members>),
    buckets: Vec<TokenBucket>,
    waiting: VecDeque<u64>,
    is_running: bool,
}

/// Equal shares for the first daemons in the back end's order, which together accumulate
/// `accumulated` tokens.
fn equal_parts(members: &Members, back_end: SharedBackEnd<'_>, accumulated: f64) -> Share {
    let rate = back_end.rate.per_second();
    let holders = (accumulated as usize).clamp(1, members.daemons.len().max(1));
    if !members.is_holder(back_end, holders) {
        return Share::NONE;
    }
    Share {
        per_second: rate / holders as f64,
        burst: (accumulated / holders as f64).max(1.0),
    }
}

fn by_demand(members: &Members, rate: f64, demands: &[f64]) -> Share {
    let demand_of = |id: u64| demands[usize::try_from(id - 1).expect("few")];
    let mut ranked: Vec<(f64, u64)> = members
        .daemons
        .iter()
        .map(|(_zone, id)| (demand_of(*id), *id))
        .collect();
    ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
    ranked.truncate((1.0 + rate * 1.5) as usize);
    let sum: f64 = ranked.iter().map(|(demand, _id)| demand).sum();
    let own = ranked.iter().find(|(_demand, id)| *id == members.own);
    own.map_or(Share::NONE, |(demand, _id)| {
        let per_second = rate * demand / sum;
        Share {
            per_second,
            burst: (per_second * 1.5).max(1.0),
        }
    })
}

fn share(
    policy: SharingPolicy,
    members: &Members,
    index: usize,
    rate: f64,
    demands: &[f64],
) -> Share {
    let zone = format!("z{}", index as u64 % ZONES);
    let id = format!("i-{index}");
    let back_end = SharedBackEnd {
        id: &id,
        zone: &zone,
        rate: RequestRate::new(rate).expect("a rate"),
    };
    match policy {
        SharingPolicy::WholeRateEach => Share {
            per_second: rate,
            burst: 1.0,
        },
        SharingPolicy::EqualShares => equal_parts(members, back_end, members.daemons.len() as f64),
        SharingPolicy::Accumulate1s => equal_parts(members, back_end, 1.0 + rate),
        SharingPolicy::Accumulate1500ms => equal_parts(members, back_end, 1.0 + rate * 1.5),
        SharingPolicy::Accumulate2s => equal_parts(members, back_end, 5.0 + rate * 2.0),
        SharingPolicy::ByDemand => by_demand(members, rate, demands),
    }
}

fn members_of(running: &[bool], own: u64) -> Arc<Members> {
    let numbers = (0..)
        .zip(running)
        .filter(|(_number, is_running)| **is_running);
    Arc::new(Members {
        own: own + 1,
        daemons: numbers
            .map(|(index, _): (u64, _)| (Arc::from(format!("z{}", index % ZONES)), index + 1))
            .collect(),
    })
}

struct Results {
    used_fraction: f64,
    most_requests_in_window: usize,
    served_fraction: f64,
    lowest_served_fraction: f64,
}

fn run(policy: SharingPolicy, daemons: usize, rate: f64) -> Results {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let weights: Vec<f64> = (0..daemons)
        .map(|_| random.random_range(0.3..1.7))
        .collect();
    let sum: f64 = weights.iter().sum();
    let total_rate = rate * BACK_ENDS as f64;
    let demands: Vec<f64> = weights
        .iter()
        .map(|weight| weight / sum * total_rate * DEMAND_FACTOR)
        .collect();
    let running = vec![true; daemons];
    let mut fleet: Vec<Daemon> = (0..)
        .zip(&demands)
        .map(|(own, demand)| Daemon {
            demand: *demand,
            members: members_of(&running, own),
            next_members: (0, members_of(&running, own)),
            buckets: vec![TokenBucket::empty(start); BACK_ENDS],
            waiting: VecDeque::new(),
            is_running: true,
        })
        .collect();
    let mut sends: Vec<Vec<u64>> = vec![Vec::new(); BACK_ENDS];
    let (mut asked, mut served, mut per_daemon) = (0_u64, 0_u64, vec![(0_u64, 0_u64); daemons]);
    let mut stopped: Option<usize> = None;
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        if now_ms > 0 && now_ms % CHURN_INTERVAL_MS == 0 {
            churn(&mut fleet, &mut stopped, now_ms, &mut random);
        }
        for (index, daemon) in fleet.iter_mut().enumerate() {
            let is_new = !Arc::ptr_eq(&daemon.members, &daemon.next_members.1);
            if is_new && daemon.next_members.0 <= now_ms {
                daemon.members = Arc::clone(&daemon.next_members.1);
                for (back_end, bucket) in daemon.buckets.iter_mut().enumerate() {
                    let share = share(policy, &daemon.members, back_end, rate, &demands);
                    bucket.set(share.per_second, share.burst, at(now_ms));
                }
            }
            if !daemon.is_running {
                daemon.waiting.clear();
                continue;
            }
            let chance = daemon.demand * STEP_MS as f64 / 1_000.0;
            if random.random_range(0.0..1.0) < chance {
                asked += 1;
                per_daemon[index].0 += 1;
                daemon.waiting.push_back(now_ms);
            }
            daemon.waiting.retain(|since| now_ms - since <= MAX_WAIT_MS);
            while !daemon.waiting.is_empty() {
                let taken = daemon
                    .buckets
                    .iter_mut()
                    .position(|bucket| bucket.take(at(now_ms)));
                let Some(back_end) = taken else { break };
                daemon.waiting.pop_front();
                sends[back_end].push(now_ms);
                served += 1;
                per_daemon[index].1 += 1;
            }
        }
    }
    let most_requests_in_window = sends.iter().map(|times| count_busiest_window(times)).max();
    let shares = per_daemon.iter().filter(|(asked, _served)| *asked > 0);
    let lowest_fraction = shares
        .map(|(asked, served)| *served as f64 / *asked as f64)
        .fold(f64::INFINITY, f64::min);
    Results {
        used_fraction: served as f64 / (total_rate * RUN_MS as f64 / 1_000.0),
        most_requests_in_window: most_requests_in_window.unwrap_or_default(),
        served_fraction: served as f64 / asked as f64,
        lowest_served_fraction: lowest_fraction,
    }
}

fn churn(fleet: &mut [Daemon], stopped: &mut Option<usize>, now_ms: u64, random: &mut impl Rng) {
    match stopped.take() {
        Some(restarted) => fleet[restarted].is_running = true,
        None => {
            let index = random.random_range(0..fleet.len());
            fleet[index].is_running = false;
            *stopped = Some(index);
        }
    }
    let running: Vec<bool> = fleet.iter().map(|daemon| daemon.is_running).collect();
    for (own, daemon) in (0..).zip(fleet) {
        let lag = random.random_range(0..MAX_VIEW_LAG_MS);
        daemon.next_members = (now_ms + lag, members_of(&running, own));
    }
}

fn count_busiest_window(times: &[u64]) -> usize {
    let mut first = 0;
    let mut most_requests_in_window = 0;
    for (last, time) in times.iter().enumerate() {
        while time - times[first] >= WINDOW_MS {
            first += 1;
        }
        most_requests_in_window = most_requests_in_window.max(last + 1 - first);
    }
    most_requests_in_window
}

fn main() {
    println!(
        "policy, daemons, rate, limits used, most in 4 s, tolerated, served, lowest served by a daemon"
    );
    for rate in [0.5, 3.3, 12.0] {
        for daemons in [3, 9, 95] {
            for policy in POLICIES {
                let results = run(policy, daemons, rate);
                let tolerated = 1.5 * rate * 4.0 + 5.0;
                println!(
                    "{policy:?}, {daemons}, {rate}, {:.2}, {}, {tolerated:.0}, {:.2}, {:.2}",
                    results.used_fraction,
                    results.most_requests_in_window,
                    results.served_fraction,
                    results.lowest_served_fraction
                );
            }
        }
    }
}
