//! Compares ways to share the rate limits of back ends among daemons.
//!
//! Six back ends set the same limit. Each daemon is asked for requests at a rate of its own, 1.3 times the limits' sum in all, and sends each to the first
//! back end for which it has a token, waits 0.15 s at most for one, or refuses. Every 5 s a daemon is gone for 5 s; the others know of either
//! within a second, each at another moment.
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
const LONGEST_WAIT_MS: u64 = 150;
const CHURN_MS: u64 = 5_000;
const LONGEST_LAG_MS: u64 = 1_000;
/// Demand, in parts of what all back ends take.
const DEMAND: f64 = 1.3;

#[derive(Debug, Clone, Copy)]
enum Way {
    /// Each daemon keeps the whole rate by itself.
    Alone,
    /// All daemons have equal parts.
    All,
    /// A few have equal parts, and save up a second of the rate together.
    SavingOne,
    /// The same with a second and a half, as the product does.
    SavingOneAndHalf,
    /// The same with two and five requests more, which leaves nothing of what back ends bear.
    SavingTwo,
    /// The few with the greatest demand, in its proportion, as they told each other a quarter of a second ago.
    ByDemand,
}

const WAYS: [Way; 6] = [
    Way::Alone,
    Way::All,
    Way::SavingOne,
    Way::SavingOneAndHalf,
    Way::SavingTwo,
    Way::ByDemand,
];

struct Daemon {
    demand: f64,
    members: Arc<Members>,
    next_members: (u64, Arc<Members>),
    buckets: Vec<TokenBucket>,
    waiting: VecDeque<u64>,
    is_there: bool,
}

/// Equal parts for the first daemons in the back end's order, which save up so many requests together.
fn equal_parts(members: &Members, back_end: SharedBackEnd<'_>, saved_up: f64) -> Share {
    let rate = back_end.rate.per_second();
    let holders = (saved_up as usize).clamp(1, members.daemons.len().max(1));
    if !members.is_holder(back_end, holders) {
        return Share::NONE;
    }
    Share {
        per_second: rate / holders as f64,
        burst: (saved_up / holders as f64).max(1.0),
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

fn share(way: Way, members: &Members, number: usize, rate: f64, demands: &[f64]) -> Share {
    let zone = format!("z{}", number as u64 % ZONES);
    let id = format!("i-{number}");
    let back_end = SharedBackEnd {
        id: &id,
        zone: &zone,
        rate: RequestRate::new(rate).expect("a rate"),
    };
    match way {
        Way::Alone => Share {
            per_second: rate,
            burst: 1.0,
        },
        Way::All => equal_parts(members, back_end, members.daemons.len() as f64),
        Way::SavingOne => equal_parts(members, back_end, 1.0 + rate),
        Way::SavingOneAndHalf => equal_parts(members, back_end, 1.0 + rate * 1.5),
        Way::SavingTwo => equal_parts(members, back_end, 5.0 + rate * 2.0),
        Way::ByDemand => by_demand(members, rate, demands),
    }
}

fn members_of(there: &[bool], own: u64) -> Arc<Members> {
    let numbers = (0..).zip(there).filter(|(_number, is_there)| **is_there);
    Arc::new(Members {
        own: own + 1,
        daemons: numbers
            .map(|(number, _): (u64, _)| (Arc::from(format!("z{}", number % ZONES)), number + 1))
            .collect(),
    })
}

struct Figures {
    used: f64,
    worst: usize,
    in_time: f64,
    spread: f64,
}

fn run(way: Way, daemons: usize, rate: f64) -> Figures {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let weights: Vec<f64> = (0..daemons)
        .map(|_| random.random_range(0.3..1.7))
        .collect();
    let sum: f64 = weights.iter().sum();
    let whole = rate * BACK_ENDS as f64;
    let demands: Vec<f64> = weights
        .iter()
        .map(|weight| weight / sum * whole * DEMAND)
        .collect();
    let there = vec![true; daemons];
    let mut fleet: Vec<Daemon> = (0..)
        .zip(&demands)
        .map(|(own, demand)| Daemon {
            demand: *demand,
            members: members_of(&there, own),
            next_members: (0, members_of(&there, own)),
            buckets: vec![TokenBucket::empty(start); BACK_ENDS],
            waiting: VecDeque::new(),
            is_there: true,
        })
        .collect();
    let mut sends: Vec<Vec<u64>> = vec![Vec::new(); BACK_ENDS];
    let (mut asked, mut served, mut of_daemons) = (0_u64, 0_u64, vec![(0_u64, 0_u64); daemons]);
    let mut gone: Option<usize> = None;
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        if now_ms > 0 && now_ms % CHURN_MS == 0 {
            churn(&mut fleet, &mut gone, now_ms, &mut random);
        }
        for (number, daemon) in fleet.iter_mut().enumerate() {
            let is_new = !Arc::ptr_eq(&daemon.members, &daemon.next_members.1);
            if is_new && daemon.next_members.0 <= now_ms {
                daemon.members = Arc::clone(&daemon.next_members.1);
                for (back_end, bucket) in daemon.buckets.iter_mut().enumerate() {
                    let share = share(way, &daemon.members, back_end, rate, &demands);
                    bucket.set(share.per_second, share.burst, at(now_ms));
                }
            }
            if !daemon.is_there {
                daemon.waiting.clear();
                continue;
            }
            let chance = daemon.demand * STEP_MS as f64 / 1_000.0;
            if random.random_range(0.0..1.0) < chance {
                asked += 1;
                of_daemons[number].0 += 1;
                daemon.waiting.push_back(now_ms);
            }
            daemon
                .waiting
                .retain(|since| now_ms - since <= LONGEST_WAIT_MS);
            while !daemon.waiting.is_empty() {
                let taken = daemon
                    .buckets
                    .iter_mut()
                    .position(|bucket| bucket.take(at(now_ms)));
                let Some(back_end) = taken else { break };
                daemon.waiting.pop_front();
                sends[back_end].push(now_ms);
                served += 1;
                of_daemons[number].1 += 1;
            }
        }
    }
    let worst = sends.iter().map(|times| worst_window(times)).max();
    let shares = of_daemons.iter().filter(|(asked, _served)| *asked > 0);
    let lowest = shares
        .map(|(asked, served)| *served as f64 / *asked as f64)
        .fold(f64::INFINITY, f64::min);
    Figures {
        used: served as f64 / (whole * RUN_MS as f64 / 1_000.0),
        worst: worst.unwrap_or_default(),
        in_time: served as f64 / asked as f64,
        spread: lowest,
    }
}

fn churn(fleet: &mut [Daemon], gone: &mut Option<usize>, now_ms: u64, random: &mut impl Rng) {
    match gone.take() {
        Some(back) => fleet[back].is_there = true,
        None => {
            let number = random.random_range(0..fleet.len());
            fleet[number].is_there = false;
            *gone = Some(number);
        }
    }
    let there: Vec<bool> = fleet.iter().map(|daemon| daemon.is_there).collect();
    for (own, daemon) in (0..).zip(fleet) {
        let lag = random.random_range(0..LONGEST_LAG_MS);
        daemon.next_members = (now_ms + lag, members_of(&there, own));
    }
}

fn worst_window(times: &[u64]) -> usize {
    let mut first = 0;
    let mut worst = 0;
    for (last, time) in times.iter().enumerate() {
        while time - times[first] >= WINDOW_MS {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst
}

fn main() {
    println!(
        "way, daemons, rate, used of the limits, worst 4 s, borne, served of asked, lowest daemon's"
    );
    for rate in [0.5, 3.3, 12.0] {
        for daemons in [3, 9, 95] {
            for way in WAYS {
                let figures = run(way, daemons, rate);
                let borne = 1.5 * rate * 4.0 + 5.0;
                println!(
                    "{way:?}, {daemons}, {rate}, {:.2}, {}, {borne:.0}, {:.2}, {:.2}",
                    figures.used, figures.worst, figures.in_time, figures.spread
                );
            }
        }
    }
}
