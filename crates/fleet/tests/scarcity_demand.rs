//! Tests the merge of demand reports of daemons: any order, repetitions and losses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::placement::{OfferedRequest, Placement};
use ponddrift_fleet::scarcity::demand::{
    DemandReport, FleetDemand, MAX_ORIGINS, MAX_TENANT_ROWS, REPORT_TTL, ReportMerge,
    ServiceDemand, TenantRow,
};

const SERVICE: u32 = 9;

fn report(origin: u64, sequence: u32, tenants: &[(u32, f64)]) -> DemandReport {
    let rows = tenants
        .iter()
        .map(|(tenant, work)| TenantRow {
            tenant: *tenant,
            work: *work,
        })
        .collect();
    let mut demand = ServiceDemand {
        service: SERVICE,
        prioritized: f64::from(sequence),
        tenants: rows,
        ..ServiceDemand::default()
    };
    demand.limit_tenants();
    DemandReport {
        origin,
        sequence,
        services: vec![demand],
    }
}

/// A fleet of `daemons` whose reports arrive in this order.
fn receive_all(reports: &[DemandReport], daemons: usize, now: Instant) -> FleetDemand {
    let mut fleet = FleetDemand::default();
    fleet.set_daemons(daemons);
    for report in reports {
        fleet.receive(report.clone(), now);
    }
    fleet
}

#[test]
fn reports_in_any_order_and_number_add_up_to_the_same_demand() {
    // Load: up to 255 reports of 16 origins, each delivered in another order and some twice.
    bolero::check!()
        .with_type::<Vec<(u8, u8, u16)>>()
        .for_each(|rows| {
            let now = Instant::now();
            let reports: Vec<DemandReport> = rows
                .iter()
                .map(|(origin, sequence, work)| {
                    // Two reports of an origin with one number are equal, as a daemon sends them.
                    let work = f64::from(work / 4096) + f64::from(*sequence);
                    report(
                        u64::from(origin % 16),
                        u32::from(*sequence),
                        &[(1, work.floor()), (2, f64::from(*origin))],
                    )
                })
                .collect();
            let mut unique = reports.clone();
            unique.sort_by_key(|report| (report.origin, report.sequence));
            unique.dedup_by_key(|report| (report.origin, report.sequence));
            let mut twice = unique.clone();
            twice.reverse();
            twice.extend(unique.iter().step_by(2).cloned());
            let in_order = receive_all(&unique, 17, now).peers(SERVICE, now);
            let otherwise = receive_all(&twice, 17, now).peers(SERVICE, now);
            assert_eq!(in_order, otherwise);
        });
}

#[test]
fn lost_reports_leave_the_newest_that_arrived() {
    // Load: three origins, of one of which the newest report is lost.
    let now = Instant::now();
    let received = [
        report(1, 5, &[(7, 10.0)]),
        report(2, 1, &[(7, 1.0)]),
        report(3, 9, &[(7, 4.0)]),
        report(1, 4, &[(7, 99.0)]),
    ];
    let fleet = receive_all(&received, 4, now);
    let peers = fleet.peers(SERVICE, now).expect("all others are known");
    assert_eq!(peers.known_daemons, 3);
    assert!((peers.sum.tenants[0].work - 15.0).abs() < 1e-9, "{peers:?}");
}

#[test]
fn the_kept_origins_do_not_depend_on_the_order_in_which_they_report() {
    // Load: reports of 400 daemons, more than are kept.
    let now = Instant::now();
    let reports: Vec<DemandReport> = (0..400).map(|origin| report(origin, 1, &[])).collect();
    let mut reversed = reports.clone();
    reversed.reverse();
    let forward = receive_all(&reports, 401, now);
    let backward = receive_all(&reversed, 401, now);
    assert_eq!(forward.known_daemons(), MAX_ORIGINS);
    assert_eq!(forward.peers(SERVICE, now), backward.peers(SERVICE, now));
}

#[test]
fn a_sample_is_scaled_to_the_fleet_and_too_small_a_one_is_unknown() {
    // Load: 10 of 41 daemons report; callers need shares of tenants, which a quarter shows.
    let now = Instant::now();
    let reports: Vec<DemandReport> = (0..10)
        .map(|origin| report(origin, 1, &[(1, 3.0)]))
        .collect();
    let fleet = receive_all(&reports, 41, now);
    let peers = fleet.peers(SERVICE, now).expect("a quarter is known");
    assert!((peers.sum.tenants[0].work - 120.0).abs() < 1e-9);
    let fleet = receive_all(&reports[..4], 41, now);
    assert_eq!(fleet.peers(SERVICE, now), None, "a tenth is too few");
    let fleet = receive_all(&[], 41, now);
    assert_eq!(fleet.peers(SERVICE, now), None);
    // In a fleet of any size, a hundred daemons are sample enough.
    let reports: Vec<DemandReport> = (0..100)
        .map(|origin| report(origin, 1, &[(1, 3.0)]))
        .collect();
    let fleet = receive_all(&reports, 986, now);
    assert!(fleet.peers(SERVICE, now).is_some());
}

#[test]
fn old_reports_count_for_nothing() {
    // Load: two daemons, one of which stops reporting.
    let start = Instant::now();
    let mut fleet = receive_all(&[report(1, 1, &[(1, 5.0)])], 3, start);
    let later = start + REPORT_TTL;
    assert_eq!(fleet.peers(SERVICE, later), None);
    fleet.receive(report(2, 1, &[(1, 2.0)]), later);
    let peers = fleet.peers(SERVICE, later).expect("half is known");
    assert_eq!(peers.known_daemons, 1);
    assert_eq!(peers.oldest, Duration::ZERO);
}

#[test]
fn implausible_reports_are_dropped() {
    // Load: reports that no daemon can have measured.
    let now = Instant::now();
    let mut fleet = FleetDemand::default();
    for work in [f64::NAN, f64::INFINITY, -1.0, 1e15] {
        let merge = fleet.receive(report(1, 1, &[(1, work)]), now);
        assert_eq!(merge, ReportMerge::Implausible, "{work}");
    }
    let mut too_many = report(1, 1, &[]);
    too_many.services[0].tenants = vec![
        TenantRow {
            tenant: 1,
            work: 1.0
        };
        MAX_TENANT_ROWS + 1
    ];
    assert_eq!(fleet.receive(too_many, now), ReportMerge::Implausible);
    let mut many_services = report(1, 1, &[]);
    many_services.services = vec![many_services.services[0].clone(); 5];
    assert_eq!(fleet.receive(many_services, now), ReportMerge::Implausible);
    assert_eq!(fleet.known_daemons(), 0);
}

#[test]
fn a_report_holds_the_largest_tenants_and_the_sum_of_the_others() {
    // Load: 81 tenants, the largest with 81 units, the smallest with one.
    let tenants: Vec<(u32, f64)> = (1..=81).map(|tenant| (tenant, f64::from(tenant))).collect();
    let report = report(1, 1, &tenants);
    let demand = &report.services[0];
    assert_eq!(demand.tenants.len(), MAX_TENANT_ROWS);
    assert_eq!(demand.tenants[0].tenant, 81);
    assert_eq!(usize::from(demand.rest_tenants), 81 - MAX_TENANT_ROWS);
    let total = demand.rest + demand.tenants.iter().map(|row| row.work).sum::<f64>();
    assert!((total - f64::from(81 * 82 / 2)).abs() < 1e-6);
}

#[test]
fn arrivals_of_the_fleet_are_those_reported_not_a_multiple_of_the_own() {
    // Load: three daemons; one sends 30 prompts within a second, the others report none and two.
    let service: Arc<str> = Arc::from("models");
    let tenant: Arc<str> = Arc::from("t");
    let now = Instant::now();
    let mut busy = Placement::new(Arc::from("a"));
    assert!(busy.own_demand(now).is_empty(), "demand is not shared");
    busy.share_out_room();
    busy.set_daemons(3);
    let offer = OfferedRequest {
        service: &service,
        tenant: &tenant,
        work: 1.0,
        can_be_in_time: true,
    };
    busy.fairness.yields(offer, 0.5, now);
    for _prompt in 0..30 {
        busy.arrivals.add(&service, Stage::Decode, now);
    }
    let demand = busy.own_demand(now);
    let own_rate = demand[0].decode_arrivals;
    assert!(own_rate > 0.0);
    for (origin, decode_arrivals) in [(1, 0.0), (2, 2.0)] {
        let report = DemandReport {
            origin,
            sequence: 1,
            services: vec![ServiceDemand {
                decode_arrivals,
                ..demand[0].clone()
            }],
        };
        busy.fairness.receive(report, now);
    }
    let later = now + Duration::from_millis(1_100);
    busy.fairness.yields(offer, 0.5, later);
    let peers = busy.fairness.known_peers("models").expect("both are known");
    assert!((peers.sum.decode_arrivals - 2.0).abs() < 1e-9);
}
