//! Guards routing: eligibility of back ends, spread of choices and learned rates.

use std::collections::BTreeMap;
use std::time::Duration;

use ponddrift_core::load::LoadDigest;
use ponddrift_core::routing::{
    BackEndKind, BackEndView, EngineView, PlacementPlan, PrefixChange, RouteRequest, RouteTarget,
    Router, RouterSettings, RoutingEvent, RoutingRefusal, SendOutcome, SendStage, Sent,
    VersionRule,
};
use ponddrift_core::{
    CellName, EngineRole, Incarnation, MachineId, ModelName, PoolName, RegionName, RequestId,
    Timestamp, ZoneName,
};

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn engine(id: u32, role: EngineRole) -> BackEndView {
    BackEndView {
        id: MachineId(id),
        kind: BackEndKind::Engine(EngineView {
            cell: CellName::new("cell").unwrap(),
            incarnation: Incarnation(1),
            role: Some(role),
            model: Some(ModelName::new("ledger").unwrap()),
            version: 1,
            adapters: Vec::new(),
        }),
        zone: ZoneName::new("a").unwrap(),
        region: RegionName::new("r").unwrap(),
        draining: false,
    }
}

fn in_zone(mut view: BackEndView, zone: &str) -> BackEndView {
    view.zone = ZoneName::new(zone).unwrap();
    view
}

fn plain(id: u32) -> BackEndView {
    let mut view = engine(id, EngineRole::Mixed);
    view.kind = BackEndKind::Plain {
        pool: PoolName::new("records").unwrap(),
    };
    view
}

fn digest(
    id: u32,
    sequence: u32,
    role: EngineRole,
    waiting_blocks: u16,
    running: u16,
) -> LoadDigest {
    LoadDigest {
        engine: MachineId(id),
        incarnation: Incarnation(1),
        sequence,
        role: Some(role),
        waiting: 0,
        running,
        waiting_prompt_blocks: waiting_blocks,
        cache_used_permille: 0,
    }
}

fn request(serial: u128) -> RouteRequest {
    RouteRequest {
        request: RequestId(serial),
        target: RouteTarget::Completion {
            model: ModelName::new("ledger").unwrap(),
            version: VersionRule::Any,
            adapter: None,
        },
        prompt_tokens: 1_600,
        expected_output_tokens: 20,
        prefix_blocks: Vec::new(),
        deadline: NOW + Duration::from_secs(60),
        priority: 0,
        excluded: Vec::new(),
        avoided_zone: None,
        caller_zone: ZoneName::new("a").unwrap(),
        caller_region: RegionName::new("r").unwrap(),
        may_probe: true,
    }
}

fn router(seed: u64, views: impl IntoIterator<Item = BackEndView>) -> Router {
    let mut router = Router::new(RouterSettings::default(), seed);
    for view in views {
        router.handle(NOW, RoutingEvent::BackEnd(view));
    }
    router
}

fn mixed(count: u32) -> Vec<BackEndView> {
    (0..count).map(|id| engine(id, EngineRole::Mixed)).collect()
}

fn single(router: &mut Router, now: Timestamp, request: &RouteRequest) -> u32 {
    match router.choose(now, request).unwrap().plan {
        PlacementPlan::Single { back_end } => back_end.0,
        PlacementPlan::Handover { .. } => panic!("expected one back end"),
    }
}

fn send(router: &mut Router, now: Timestamp, request: &RouteRequest, back_end: u32) {
    let sent = Sent {
        request: request.request,
        back_end: MachineId(back_end),
        stage: SendStage::Whole,
        prompt_tokens: request.prompt_tokens,
        prefix_blocks: request.prefix_blocks.clone(),
        priority: request.priority,
    };
    router.handle(now, RoutingEvent::Sent(sent));
}

fn end(router: &mut Router, now: Timestamp, serial: u128, back_end: u32, outcome: SendOutcome) {
    let event = RoutingEvent::Ended {
        request: RequestId(serial),
        back_end: MachineId(back_end),
        outcome,
    };
    router.handle(now, event);
}

#[test]
fn refusals_state_the_reason() {
    let mut empty = router(1, []);
    assert_eq!(
        empty.choose(NOW, &request(1)),
        Err(RoutingRefusal::NoneServes)
    );

    let mut two = router(1, mixed(2));
    let mut excluded = request(1);
    excluded.excluded = vec![MachineId(0), MachineId(1)];
    assert_eq!(
        two.choose(NOW, &excluded),
        Err(RoutingRefusal::AllExcluded { serving: 2 })
    );

    for id in 0..2 {
        let back_end = MachineId(id);
        two.handle(
            NOW,
            RoutingEvent::Draining {
                back_end,
                draining: true,
            },
        );
    }
    assert_eq!(
        two.choose(NOW, &request(1)),
        Err(RoutingRefusal::AllDraining { serving: 2 })
    );

    let mut late = request(1);
    late.deadline = NOW;
    assert_eq!(two.choose(NOW, &late), Err(RoutingRefusal::DeadlinePassed));

    let mut prefill_only = router(1, [engine(0, EngineRole::Prefill)]);
    assert_eq!(
        prefill_only.choose(NOW, &request(1)),
        Err(RoutingRefusal::NoPartner)
    );
}

#[test]
fn an_engine_that_drains_or_has_no_role_gets_no_requests() {
    let mut router = router(2, mixed(3));
    let back_end = MachineId(0);
    router.handle(
        NOW,
        RoutingEvent::Draining {
            back_end,
            draining: true,
        },
    );
    let mut changing = digest(1, 1, EngineRole::Mixed, 0, 0);
    changing.role = None;
    router.handle(NOW, RoutingEvent::Digest(changing));
    for serial in 0..200 {
        assert_eq!(single(&mut router, NOW, &request(serial)), 2);
    }
}

#[test]
fn only_engines_with_the_requested_version_and_adapter_are_chosen() {
    let mut views = mixed(4);
    if let BackEndKind::Engine(held) = &mut views[3].kind {
        held.version = 2;
        held.adapters = vec!["vans".parse().unwrap()];
    }
    let mut router = router(3, views);
    let mut exact = request(1);
    exact.target = RouteTarget::Completion {
        model: ModelName::new("ledger").unwrap(),
        version: VersionRule::Exactly(2),
        adapter: Some("vans".parse().unwrap()),
    };
    for _ in 0..50 {
        assert_eq!(single(&mut router, NOW, &exact), 3);
    }
}

#[test]
fn own_sends_spread_a_burst_before_digests_include_it() {
    let mut router = router(4, mixed(8));
    let mut counts = BTreeMap::<u32, u32>::new();
    for serial in 0..160 {
        let chosen = single(&mut router, NOW, &request(serial));
        send(&mut router, NOW, &request(serial), chosen);
        *counts.entry(chosen).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    assert!(
        counts.values().all(|&count| (14..=26).contains(&count)),
        "{counts:?}"
    );
}

#[test]
fn one_large_own_prompt_weighs_more_than_several_small_ones() {
    let mut router = router(4, mixed(2));
    let mut large = request(1);
    large.prompt_tokens = 50_000;
    send(&mut router, NOW, &large, 0);
    for serial in 2..7 {
        let mut small = request(serial);
        small.prompt_tokens = 16;
        assert_eq!(single(&mut router, NOW, &small), 1);
        send(&mut router, NOW, &small, 1);
    }
}

#[test]
fn daemons_with_the_same_stale_view_do_not_all_choose_its_idle_engine() {
    let mut to_empty = 0;
    for daemon in 0..400 {
        let mut router = router(daemon, mixed(20));
        for id in 0..20 {
            let waiting = if id == 7 { 0 } else { 500 };
            let load = digest(id, 1, EngineRole::Mixed, waiting, 0);
            router.handle(NOW, RoutingEvent::Digest(load));
        }
        to_empty += u32::from(single(&mut router, NOW, &request(1)) == 7);
    }
    // With two samples out of twenty, one daemon in ten (40 of 400) is expected to sample engine 7.
    assert!((20..=65).contains(&to_empty), "{to_empty} of 400");
}

#[test]
fn the_same_seed_gives_the_same_choices() {
    let choices = |seed| {
        let mut router = router(seed, mixed(16));
        (0..64)
            .map(|serial| single(&mut router, NOW, &request(serial)))
            .collect::<Vec<_>>()
    };
    assert_eq!(choices(5), choices(5));
    assert_ne!(choices(5), choices(6));
}

#[test]
fn a_handover_is_chosen_only_if_it_costs_less() {
    let views = [
        engine(0, EngineRole::Mixed),
        engine(1, EngineRole::Prefill),
        engine(2, EngineRole::Decode),
    ];
    let mut router = router(6, views);
    let idle = router.choose(NOW, &request(1)).unwrap();
    assert_eq!(
        idle.plan,
        PlacementPlan::Single {
            back_end: MachineId(0)
        }
    );

    for (id, role) in [(1, EngineRole::Prefill), (2, EngineRole::Decode)] {
        router.handle(NOW, RoutingEvent::Digest(digest(id, 1, role, 0, 0)));
    }
    let busy = digest(0, 1, EngineRole::Mixed, 400, 60);
    router.handle(NOW, RoutingEvent::Digest(busy));
    let loaded = router.choose(NOW, &request(2)).unwrap();
    let prefill = MachineId(1);
    let decode = MachineId(2);
    assert_eq!(loaded.plan, PlacementPlan::Handover { prefill, decode });
    assert!(loaded.reason.transfer > Duration::ZERO);
    assert!(loaded.reason.expected_total > loaded.reason.expected_first_token);
}

#[test]
fn a_cached_prefix_attracts_requests_until_the_queue_costs_more() {
    let mut router = router(7, mixed(30));
    let mut cached = request(1);
    cached.prefix_blocks = (0..100).collect();
    let change = PrefixChange::Stored(cached.prefix_blocks.clone());
    router.handle(
        NOW,
        RoutingEvent::CacheChanged {
            engine: MachineId(11),
            incarnation: Incarnation(1),
            sequence: 1,
            change,
        },
    );
    for _ in 0..40 {
        assert_eq!(single(&mut router, NOW, &cached), 11);
    }
    let busy = digest(11, 1, EngineRole::Mixed, 2_000, 0);
    router.handle(NOW, RoutingEvent::Digest(busy));
    for id in (0..30).filter(|&id| id != 11) {
        let free = digest(id, 1, EngineRole::Mixed, 0, 0);
        router.handle(NOW, RoutingEvent::Digest(free));
    }
    for _ in 0..40 {
        assert_ne!(single(&mut router, NOW, &cached), 11);
    }
}

#[test]
fn a_slow_engine_is_avoided_after_own_observations() {
    let mut router = router(8, mixed(2));
    let mut now = NOW;
    for serial in 0..40 {
        let id = (serial % 2) as u32;
        let elapsed = if id == 0 { 2_000 } else { 100 };
        send(&mut router, now, &request(serial), id);
        now = now + Duration::from_millis(elapsed);
        let first = RoutingEvent::FirstToken {
            request: RequestId(serial),
            back_end: MachineId(id),
        };
        router.handle(now, first);
        let outcome = SendOutcome::Succeeded {
            output_tokens: 1,
            cached_tokens: None,
        };
        end(&mut router, now, serial, id, outcome);
    }
    let mut late = request(100);
    late.deadline = now + Duration::from_secs(60);
    for _ in 0..50 {
        assert_eq!(single(&mut router, now, &late), 1);
    }
}

#[test]
fn plain_back_ends_are_chosen_by_in_flight_requests_and_zone() {
    let mut views: Vec<_> = (0..2).map(plain).collect();
    views.push(in_zone(plain(2), "b"));
    let mut router = router(9, views);
    let mut records = request(1);
    records.target = RouteTarget::Plain {
        pool: PoolName::new("records").unwrap(),
    };
    let mut counts = [0; 3];
    for serial in 0..60 {
        records.request = RequestId(serial);
        let chosen = single(&mut router, NOW, &records);
        send(&mut router, NOW, &records, chosen);
        counts[chosen as usize] += 1;
    }
    assert!(
        counts.iter().all(|&count| (15..=25).contains(&count)),
        "{counts:?}"
    );

    records.avoided_zone = Some(ZoneName::new("a").unwrap());
    assert_eq!(single(&mut router, NOW, &records), 2);
}

#[test]
fn a_failing_back_end_is_ejected_probed_once_and_readmitted() {
    let mut router = router(10, mixed(4));
    for serial in 0..3 {
        send(&mut router, NOW, &request(serial), 0);
        end(&mut router, NOW, serial, 0, SendOutcome::Failed);
    }
    assert_eq!(router.ejected_count(), 1);
    for serial in 10..60 {
        assert_ne!(single(&mut router, NOW, &request(serial)), 0);
    }
    let later = NOW + Duration::from_millis(1_500);
    let mut only_probe = request(70);
    only_probe.excluded = (1..4).map(MachineId).collect();
    only_probe.may_probe = false;
    assert!(matches!(
        router.choose(later, &only_probe),
        Err(RoutingRefusal::AllSetAside { .. })
    ));
    only_probe.may_probe = true;
    assert_eq!(single(&mut router, later, &only_probe), 0);
    send(&mut router, later, &only_probe, 0);
    assert!(matches!(
        router.choose(later, &only_probe),
        Err(RoutingRefusal::AllSetAside { .. })
    ));
    let outcome = SendOutcome::Succeeded {
        output_tokens: 5,
        cached_tokens: None,
    };
    end(&mut router, later, 70, 0, outcome);
    assert_eq!(router.ejected_count(), 0);
}
