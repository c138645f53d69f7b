//! Guards against usage counts that are lost or counted twice when copies are merged, and against
//! windows that depend on the clock of one machine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bolero::generator::TypeGenerator;
use ponddrift_fleet::fleet_time::FleetTime;
use ponddrift_fleet::usage::{
    DaemonInstance, Tally, TallyRecord, UsageLedger, end_of_window, window_at,
};

const LENGTH: Duration = Duration::from_secs(5);
const FIRST: DaemonInstance = DaemonInstance {
    daemon: 1,
    start: 1,
};
const RESTARTED: DaemonInstance = DaemonInstance {
    daemon: 1,
    start: 2,
};
const SECOND: DaemonInstance = DaemonInstance {
    daemon: 2,
    start: 1,
};

/// A copy of a tally. The values come from small sets, so that copies of the same tally occur.
#[derive(Debug, Clone, TypeGenerator)]
struct Row {
    daemon: bool,
    window: bool,
    tenant: bool,
    count: u8,
    closed: Option<u8>,
}

fn copy(row: &Row) -> TallyRecord {
    let tenant = if row.tenant { "a" } else { "b" };
    TallyRecord {
        instance: if row.daemon { FIRST } else { SECOND },
        window: u64::from(row.window),
        tally: Tally {
            counts: [(Arc::from(tenant), u32::from(row.count))].into(),
            final_total: row.closed.map(u64::from),
        },
    }
}

fn merged<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<Vec<TallyRecord>> {
    let mut ledger = UsageLedger::default();
    rows.for_each(|row| ledger.merge(&copy(row)));
    (0..2).map(|window| ledger.tallies(window)).collect()
}

#[test]
fn merging_copies_is_commutative_associative_and_idempotent() {
    bolero::check!().with_type::<Vec<Row>>().for_each(|rows| {
        let once = merged(rows.iter());
        assert_eq!(merged(rows.iter().rev()), once, "commutative");
        assert_eq!(merged(rows.iter().chain(rows)), once, "idempotent");
        let (left, right) = rows.split_at(rows.len() / 2);
        let mut groups = UsageLedger::default();
        for group in [right, left] {
            for tallies in merged(group.iter()) {
                tallies.iter().for_each(|tally| groups.merge(tally));
            }
        }
        let grouped: Vec<_> = (0..2).map(|window| groups.tallies(window)).collect();
        assert_eq!(grouped, once, "associative");
    });
}

#[test]
fn instances_add_up_and_copies_of_one_instance_do_not() {
    let mut own = UsageLedger::default();
    let tenant: Arc<str> = Arc::from("a");
    for instance in [FIRST, FIRST, RESTARTED, SECOND] {
        own.count(instance, 3, &tenant);
    }
    let mut replica = UsageLedger::default();
    for _ in 0..2 {
        own.tallies(3).iter().for_each(|tally| replica.merge(tally));
    }
    assert_eq!(replica.totals(3)[&tenant], 4);
    assert!(replica.totals(4).is_empty());
}

#[test]
fn counts_are_final_once_all_parts_of_a_closed_window_are_merged() {
    let mut own = UsageLedger::default();
    let (a, b): (Arc<str>, Arc<str>) = (Arc::from("a"), Arc::from("b"));
    own.count(FIRST, 3, &a);
    own.count(FIRST, 3, &b);
    let whole = own.close(FIRST, 3);
    let mut replica = UsageLedger::default();
    assert!(!replica.is_final(3, FIRST.daemon));
    for (tenant, count) in &whole.counts {
        assert!(!replica.is_final(3, FIRST.daemon));
        replica.merge(&TallyRecord {
            instance: FIRST,
            window: 3,
            tally: Tally {
                counts: [(Arc::clone(tenant), *count)].into(),
                final_total: whole.final_total,
            },
        });
    }
    assert!(replica.is_final(3, FIRST.daemon));
    assert!(!replica.is_final(3, SECOND.daemon));
}

#[test]
fn an_empty_tally_is_final_once_its_window_is_closed() {
    let mut own = UsageLedger::default();
    let nothing = own.close(FIRST, 3);
    assert!(nothing.is_final());
    assert!(own.knows(3));
    own.forget_before(4);
    assert!(!own.knows(3));
}

#[test]
fn consecutive_windows_have_no_gap() {
    let noon = Duration::from_secs(1_767_225_600);
    let window = window_at(noon, LENGTH);
    assert_eq!(window, 353_445_120);
    let end = end_of_window(window, LENGTH);
    assert_eq!(window_at(end - Duration::from_millis(1), LENGTH), window);
    assert_eq!(window_at(end, LENGTH), window + 1);
}

#[test]
fn the_time_of_day_is_the_median_of_the_daemons() {
    let start = Instant::now();
    let noon = Duration::from_secs(1_767_225_600);
    let ahead = noon + Duration::from_secs(2);
    let mut time = FleetTime::default();
    assert_eq!(time.now(ahead, start), ahead, "there is no sample");
    for (source, reported) in [(1, noon), (2, noon), (3, ahead), (4, noon)] {
        time.observe(source, reported, start);
    }
    let later = start + Duration::from_millis(400);
    let expected = noon + Duration::from_millis(400);
    assert_eq!(time.now(ahead, later), expected, "own clock is ahead");
    time.forget_old(start + Duration::from_secs(6));
    let own = noon + Duration::from_secs(9);
    assert_eq!(time.now(own, start + Duration::from_secs(6)), own);
}

#[test]
fn extreme_times_do_not_panic() {
    let mut time = FleetTime::default();
    let start = Instant::now();
    time.observe(1, Duration::from_millis(u64::MAX), start);
    time.observe(2, Duration::ZERO, start);
    let reported = time.now(Duration::from_secs(5), start);
    assert_eq!(window_at(reported, LENGTH), 1);
    assert_eq!(
        end_of_window(u64::MAX, LENGTH),
        Duration::from_millis(u64::MAX)
    );
}
