//! Tests fair shares of tenants of which each daemon sees a small, random part.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::{FairShares, OfferedRequest};
use ponddrift_fleet::scarcity::demand::DemandReport;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const DAEMONS: usize = 40;
const SMALL_TENANTS: u32 = 20;
const STEP: Duration = Duration::from_millis(5);

/// Requests of a tenant, and those of them that yielded.
type Counts = HashMap<u32, (u32, u32)>;

/// Work of a request.
const WORK: std::ops::Range<f64> = 10.0..200.0;
/// Six tenths of the work that is wanted can be done.
const WORK_DONE_PER_STEP: f64 = 63.0;
/// A request can be in time if less work than is done in 200 ms is ahead of it.
const AHEAD_IN_TIME: f64 = 40.0 * WORK_DONE_PER_STEP;

/// Requests come one every 5 ms to a random daemon for 20 s; half are of tenant 0. Each daemon
/// reports once a second to twelve others, and one report in ten is lost.
fn run(is_shared: bool, seed: u64) -> Counts {
    let service: Arc<str> = Arc::from("s");
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut daemons: Vec<FairShares> = (0..DAEMONS)
        .map(|_| {
            let mut shares = FairShares::default();
            if is_shared {
                shares.share_with_peers();
            }
            shares.set_daemons(DAEMONS);
            shares
        })
        .collect();
    let mut counts = Counts::new();
    let mut now = Instant::now();
    let mut ahead: f64 = 0.0;
    for step in 0..4_000_u32 {
        now += STEP;
        ahead = (ahead - WORK_DONE_PER_STEP).max(0.0);
        let tenant = if random.random_bool(0.5) {
            0
        } else {
            random.random_range(1..=SMALL_TENANTS)
        };
        let offer = OfferedRequest {
            service: &service,
            tenant: &Arc::from(format!("t{tenant}")),
            work: random.random_range(WORK),
            can_be_in_time: ahead < AHEAD_IN_TIME,
        };
        let draw = random.random_range(0.0..1.0);
        let daemon = random.random_range(0..DAEMONS);
        let yields = daemons[daemon].yields(offer, draw, now);
        if !yields && offer.can_be_in_time {
            ahead += offer.work;
        }
        // The first five seconds show the overload to all.
        if step >= 1_000 {
            let count = counts.entry(tenant).or_default();
            count.0 += 1;
            count.1 += u32::from(yields);
        }
        if step % 5 == 0 {
            let from = usize::try_from(step / 5).expect("few") % DAEMONS;
            let report = DemandReport {
                origin: u64::try_from(from).expect("few"),
                sequence: step,
                services: daemons[from].own_demand(now),
            };
            for neighbour in 1..=12 {
                let to = (from + neighbour * 3) % DAEMONS;
                if random.random_bool(0.9) {
                    daemons[to].receive(report.clone(), now);
                }
            }
        }
    }
    counts
}

fn yielding_share(counts: &Counts, tenants: impl Iterator<Item = u32>) -> f64 {
    let (mut requests, mut yielding) = (0, 0);
    for tenant in tenants {
        let (offered, yielded) = counts[&tenant];
        requests += offered;
        yielding += yielded;
    }
    f64::from(yielding) / f64::from(requests)
}

#[test]
fn a_large_tenant_yields_everywhere_and_a_small_one_not_by_chance() {
    // Load: 200 requests a second over 40 daemons; one tenant wants half, twenty share the rest;
    // six tenths of the work can be done.
    for seed in 1..4 {
        let shared = run(true, seed);
        let small = yielding_share(&shared, 1..=SMALL_TENANTS);
        assert!(small <= 0.03, "small tenants yield by chance: {small}");
        let large = yielding_share(&shared, 0..=0);
        // The others leave it a fifth of what it wants; at least half of the average share is its.
        assert!(large >= 0.5, "the large tenant yields: {large}");
        assert!(large <= 0.75, "and is not starved: {large}");
        let alone = run(false, seed);
        let by_chance = yielding_share(&alone, 1..=SMALL_TENANTS);
        assert!(
            small * 4.0 <= by_chance,
            "a daemon alone makes {by_chance} yield, all together {small}"
        );
    }
}

#[test]
fn without_news_of_others_each_daemon_decides_on_what_it_sees() {
    // Load: one daemon of a fleet of 40 that hears of no other.
    let service: Arc<str> = Arc::from("s");
    let (mut alone, mut sharing) = (FairShares::default(), FairShares::default());
    sharing.share_with_peers();
    sharing.set_daemons(DAEMONS);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut now = Instant::now();
    for _request in 0..4_000 {
        now += STEP;
        let tenant = if random.random_bool(0.6) {
            "large"
        } else {
            "small"
        };
        let offer = OfferedRequest {
            service: &service,
            tenant: &Arc::from(tenant),
            work: 100.0,
            can_be_in_time: random.random_bool(0.3),
        };
        let draw = random.random_range(0.0..1.0);
        let decision = alone.yields(offer, draw, now);
        assert_eq!(sharing.yields(offer, draw, now), decision);
    }
}
