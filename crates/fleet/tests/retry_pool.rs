//! Tests that retries stay within the budget with and without a shared pool, for up to 6,000
//! daemons.

use std::sync::Arc;

use ponddrift_fleet::budget::{BudgetSettings, Deposits, RetryBudget, RetryPool, pool_capacity};

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 1_040.0,
};
const ZONES: usize = 6;
const SERVICE: u32 = 7;

/// One zone of a fleet, whose daemons deposit their earnings into one pool.
struct Zone {
    budgets: Vec<RetryBudget>,
    pool: RetryPool,
    max_saved: f64,
    sequence: u32,
}

impl Zone {
    fn new(daemons: usize) -> Self {
        let zone_daemons = daemons / ZONES;
        let budget = || {
            let mut budget = RetryBudget::new(SETTINGS);
            budget.set_daemons(daemons);
            budget
        };
        Self {
            budgets: std::iter::repeat_with(budget).take(zone_daemons).collect(),
            pool: RetryPool::default(),
            max_saved: pool_capacity(SETTINGS, zone_daemons, daemons),
            sequence: 0,
        }
    }

    /// Every daemon earns for one request and deposits its earnings.
    fn run_requests(&mut self) {
        let service = Arc::from("s");
        self.sequence += 1;
        for (origin, budget) in (1..).zip(&mut self.budgets) {
            budget.earn(&service);
            let deposits = budget.take_deposits();
            let deposits = Deposits {
                origin,
                sequence: self.sequence,
                repeats: deposits
                    .into_iter()
                    .map(|(_service, repeats)| (SERVICE, repeats))
                    .collect(),
            };
            self.pool.deposit(&deposits, self.max_saved);
        }
    }

    fn withdraw_all(&mut self) -> usize {
        let withdrawn = std::iter::repeat_with(|| self.pool.withdraw(SERVICE));
        withdrawn.take_while(|granted| *granted).count()
    }
}

#[test]
fn a_daemon_saves_retries_itself_while_its_share_is_at_least_one() {
    for (daemons, is_pooled) in [(95, false), (800, false), (986, true), (1_972, true)] {
        let mut budget = RetryBudget::new(SETTINGS);
        budget.set_daemons(daemons);
        assert_eq!(budget.is_pooled(), is_pooled, "{daemons} daemons");
    }
}

/// One answer in seven fails; each daemon gets one request per round.
#[test]
fn the_pool_covers_failed_answers_from_the_first_round() {
    for daemons in [986, 1_972] {
        let mut zone = Zone::new(daemons);
        zone.run_requests();
        let failed = zone.budgets.len() / 7;
        assert!(zone.withdraw_all() >= failed, "{daemons} daemons");
    }
}

#[test]
fn retries_of_all_zones_stay_within_ratio_and_slack() {
    for daemons in [986, 1_972, 6_000] {
        let mut zone = Zone::new(daemons);
        for _ in 0..200 {
            zone.run_requests();
        }
        let saved_up = zone.withdraw_all();
        zone.run_requests();
        let run_requests = zone.budgets.len();
        let retries = (saved_up + zone.withdraw_all()) * ZONES;
        #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
        let (retries, run_requests) = (retries as f64, (run_requests * ZONES) as f64);
        let allowed = SETTINGS.slack + SETTINGS.ratio * run_requests;
        assert!(
            retries <= allowed,
            "{daemons} daemons: {retries} retries, {allowed} allowed"
        );
    }
}

#[test]
fn a_pooled_daemon_takes_no_retry_from_its_own_budget() {
    let service = Arc::from("s");
    let mut budget = RetryBudget::new(SETTINGS);
    budget.set_daemons(1_972);
    for _ in 0..1_000 {
        budget.earn(&service);
    }
    assert!(!budget.take(&service));
}

#[test]
fn repeated_and_outdated_deposits_are_ignored() {
    let mut pool = RetryPool::default();
    let deposits = |sequence, repeats| Deposits {
        origin: 1,
        sequence,
        repeats: vec![(SERVICE, repeats)],
    };
    pool.deposit(&deposits(2, 1.5), 100.0);
    pool.deposit(&deposits(2, 1.5), 100.0);
    pool.deposit(&deposits(1, 1.5), 100.0);
    assert!(pool.withdraw(SERVICE));
    assert!(!pool.withdraw(SERVICE));
}

#[test]
fn invalid_deposits_are_ignored() {
    let mut pool = RetryPool::default();
    for (sequence, repeats) in (1..).zip([f64::NAN, f64::INFINITY, -5.0]) {
        let deposits = Deposits {
            origin: 1,
            sequence,
            repeats: vec![(SERVICE, repeats)],
        };
        pool.deposit(&deposits, 100.0);
        assert!(!pool.withdraw(SERVICE), "{repeats}");
    }
}

/// A fleet of 77 daemons in three zones whose shares are about two retries each.
const SMALL_SHARES: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 194.0,
};

fn budget_that_pools_small_shares() -> RetryBudget {
    let mut budget = RetryBudget::new(SMALL_SHARES);
    budget.pool_small_shares();
    budget.set_daemons(77);
    budget
}

#[test]
fn retries_that_some_daemons_save_serve_the_failures_of_others() {
    // Load: a zone of 26 daemons; each serves a request a second for ten seconds, then one of them
    // has eight failures at once.
    let service = Arc::from("s");
    let mut budgets: Vec<RetryBudget> = (0..26).map(|_| budget_that_pools_small_shares()).collect();
    let capacity = budgets[0].pool_capacity(budgets.len());
    let mut pool = RetryPool::default();
    for second in 1..=10 {
        for (origin, budget) in (1..).zip(&mut budgets) {
            budget.earn(&service);
            let deposits = budget.take_deposits().into_iter();
            let deposits = Deposits {
                origin,
                sequence: second,
                repeats: deposits
                    .map(|(_service, retries)| (SERVICE, retries))
                    .collect(),
            };
            pool.deposit(&deposits, capacity);
        }
    }
    let mut granted = 0;
    for _failure in 0..8 {
        granted += u32::from(budgets[0].take(&service) || pool.withdraw(SERVICE));
    }
    assert_eq!(granted, 8, "the fleet earned 1.6 for each daemon");
    let mut alone = RetryBudget::new(SMALL_SHARES);
    alone.set_daemons(77);
    for _request in 0..10 {
        alone.earn(&service);
    }
    assert!(!alone.is_pooled());
    assert!(alone.take(&service));
    assert!(!alone.take(&service), "one of eight without a pool");
}

#[test]
fn pooled_small_shares_stay_within_the_slack() {
    // Load: 77 daemons that save for a long time, deposit now and then, and then spend everything.
    let service = Arc::from("s");
    let mut spent = 0.0;
    for zone_daemons in [25, 24, 28] {
        let mut budgets: Vec<RetryBudget> = (0..zone_daemons)
            .map(|_| budget_that_pools_small_shares())
            .collect();
        let capacity = budgets[0].pool_capacity(zone_daemons);
        let mut pool = RetryPool::default();
        for round in 1..=40 {
            for (origin, budget) in (1..).zip(&mut budgets) {
                for _request in 0..20 {
                    budget.earn(&service);
                }
                // After the last round, what is saved is not deposited.
                if round < 40 {
                    let deposits = budget.take_deposits().into_iter();
                    let deposits = Deposits {
                        origin,
                        sequence: round,
                        repeats: deposits
                            .map(|(_service, retries)| (SERVICE, retries))
                            .collect(),
                    };
                    pool.deposit(&deposits, capacity);
                }
            }
        }
        spent += budgets
            .iter()
            .map(|budget| budget.left(&service))
            .sum::<f64>();
        while pool.withdraw(SERVICE) {
            spent += 1.0;
        }
    }
    assert!(spent <= SMALL_SHARES.slack, "{spent}");
}

#[test]
fn small_shares_are_pooled_only_in_a_fleet_with_a_pool_that_asks_for_it() {
    // Load: fleets of sizes at which a share is small, large, and less than one retry.
    let mut budget = RetryBudget::new(SMALL_SHARES);
    budget.pool_small_shares();
    for (daemons, is_pooled) in [
        (1, false),
        (12, false),
        (24, false),
        (77, true),
        (500, true),
    ] {
        budget.set_daemons(daemons);
        assert_eq!(budget.is_pooled(), is_pooled, "{daemons} daemons");
    }
    let mut without = RetryBudget::new(SMALL_SHARES);
    without.set_daemons(77);
    assert!(!without.is_pooled());
}
