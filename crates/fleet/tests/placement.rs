//! Tests the choice of engines for prompts.

mod support;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::{EngineTraits, Stage};
use ponddrift_fleet::directory::{BackEnd, ColdStart};
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{
    DecodeRequest, HandOver, LatencyTargets, Outstanding, Placement, PrefixState, PrefixUse,
    PromptPlan, PromptRequest, StreamNeeds, Urgency, WorkReport, WorkRow,
};
use ponddrift_fleet::prompt::{Prompt, PromptPart};
use ponddrift_fleet::rate_limits::{
    Allowance, AnnouncedRate, Members, MembersTrust, RateAnswer, RequestRate,
};
use ponddrift_fleet::stages::StageWork;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::engines;

const TARGETS: LatencyTargets = LatencyTargets {
    latency: Duration::from_millis(500),
    gap: Some(Duration::from_millis(150)),
};

struct Scene {
    placement: Placement,
    engines: Vec<Arc<BackEnd>>,
    now: Instant,
    random: Pcg64Mcg,
    urgency: Urgency,
}

impl Scene {
    fn new(prefill: u8, decode: u8) -> Self {
        let mut placement = Placement::new(Arc::from("a"));
        placement.prefixes.set_capacity(400_000);
        Self {
            placement,
            engines: engines(prefill, decode),
            now: Instant::now(),
            random: Pcg64Mcg::seed_from_u64(3),
            urgency: Urgency::InTime,
        }
    }

    fn plan(&mut self, prompt: &Prompt) -> PromptPlan {
        self.placement
            .plan_prompt(
                &self.engines,
                &[],
                &PromptRequest {
                    prompt,
                    latency_targets: TARGETS,
                    traits: &traits(),
                    urgency: self.urgency,
                    body_bytes: 20_000,
                    stream: StreamNeeds::of(prompt, TARGETS, 0, Duration::from_secs(10), None),
                },
                self.now,
                &mut self.random,
            )
            .expect("an engine")
    }

    fn record_cached(&mut self, engine: usize, prompt: &Prompt) {
        self.record_use(engine, prompt, PrefixState::Cached);
    }

    fn record_use(&mut self, engine: usize, prompt: &Prompt, state: PrefixState) {
        let usage = PrefixUse::of(prompt, &self.engines[engine], state).expect("a shared prefix");
        self.placement.prefixes.used(usage, self.now);
    }

    fn assumed_state(&self, engine: usize, prompt: &Prompt) -> Option<PrefixState> {
        let prefix = prompt.shared_prefix().expect("a shared prefix");
        let id = &self.engines[engine].id;
        self.placement.prefixes.state(id, prefix, self.now)
    }

    /// Report of a peer whose requests cause `outstanding` work at an engine.
    fn peer_report(&self, engine: usize, sequence: u32, outstanding: Outstanding) -> WorkReport {
        let row = WorkRow {
            id: Arc::clone(&self.engines[engine].id),
            outstanding,
        };
        WorkReport {
            origin: 7,
            sequence,
            rows: vec![row],
        }
    }

    fn choose_decoder(&mut self, prompt: &Prompt) -> Arc<str> {
        let chosen = self.placement.choose_decode(
            &self.engines,
            &[],
            Some(prompt),
            self.now,
            &mut self.random,
        );
        Arc::clone(&chosen.expect("an engine").id)
    }

    fn add_peer_work(&mut self, engine: usize, prompt_tokens: f64) {
        self.add_peer_work_from(7, engine, prompt_tokens);
    }

    fn add_peer_work_from(&mut self, origin: u64, engine: usize, prompt_tokens: f64) {
        let outstanding = Outstanding {
            requests: 1.0,
            prompt_tokens,
            ..Outstanding::default()
        };
        let mut report = self.peer_report(engine, 1, outstanding);
        report.origin = origin;
        assert!(self.placement.load.receive(report, self.now));
    }
}

fn traits() -> EngineTraits {
    EngineTraits {
        slots: 32,
        cache_tokens: 400_000,
        token_bytes: 163_840,
        link_megabits: 1_400_000.0,
        stage_change: Duration::from_secs(1),
    }
}

fn prompt(prefix: &str, shared: u32, own: u32) -> Prompt {
    let part = |id: &str, tokens| PromptPart {
        id: Arc::from(id),
        tokens,
    };
    Prompt {
        input_tokens: shared + own,
        output_tokens: 20,
        parts: vec![part(prefix, shared), part("own", own)],
    }
}

#[test]
fn a_short_prompt_is_processed_by_its_decode_engine() {
    let mut scene = Scene::new(2, 3);
    let plan = scene.plan(&prompt("h", 60, 250));
    assert!(plan.prefill.is_none());
    assert_eq!(plan.decode.stage, Some(Stage::Decode));
}

#[test]
fn a_long_prompt_goes_to_a_prefill_engine() {
    let mut scene = Scene::new(2, 3);
    let plan = scene.plan(&prompt("h", 13_000, 3_700));
    assert!(plan.prefill.is_some());
}

#[test]
fn prompts_with_the_same_uncached_prefix_go_to_one_engine() {
    let mut scene = Scene::new(5, 3);
    let test_prompt = prompt("h", 13_000, 3_700);
    let first = scene
        .plan(&test_prompt)
        .prefill
        .expect("a prefill engine")
        .id
        .clone();
    for _ in 0..20 {
        assert_eq!(
            scene
                .plan(&test_prompt)
                .prefill
                .expect("a prefill engine")
                .id,
            first
        );
    }
}

#[test]
fn prompts_go_to_the_engine_that_caches_their_prefix() {
    for holder in 0..3 {
        let mut scene = Scene::new(3, 3);
        let test_prompt = prompt("h", 13_000, 3_700);
        scene.record_cached(holder, &test_prompt);
        let plan = scene.plan(&test_prompt);
        assert_eq!(
            plan.prefill.expect("a prefill engine").id,
            scene.engines[holder].id
        );
        assert!(plan.fetch_from.is_none());
        assert!((plan.tokens_to_read - 3_700.0).abs() < 1.0);
    }
}

#[test]
fn a_prefix_is_fetched_from_a_busy_holder() {
    let mut scene = Scene::new(3, 3);
    let test_prompt = prompt("h", 13_000, 3_700);
    scene.record_cached(0, &test_prompt);
    scene.add_peer_work(0, 60_000.0);
    let plan = scene.plan(&test_prompt);
    assert_ne!(
        plan.prefill.expect("a prefill engine").id,
        scene.engines[0].id
    );
    assert_eq!(plan.fetch_from.expect("a holder").id, scene.engines[0].id);
    assert!(
        (plan.tokens_to_read - 3_700.0).abs() < 1.0,
        "the prefix is fetched"
    );
}

#[test]
fn a_prefix_is_not_fetched_from_an_ejected_engine() {
    let mut scene = Scene::new(2, 2);
    let test_prompt = prompt("h", 13_000, 3_700);
    scene.record_cached(0, &test_prompt);
    let id = Arc::clone(&scene.engines[0].id);
    let pause = scene
        .placement
        .health
        .record(&id, Outcome::Unreachable, scene.now);
    assert!(pause.is_some());
    let plan = scene.plan(&test_prompt);
    assert_eq!(
        plan.prefill.expect("a prefill engine").id,
        scene.engines[1].id
    );
    assert!(plan.fetch_from.is_none());
}

#[test]
fn an_evicted_prefix_is_no_longer_assumed_cached() {
    let mut scene = Scene::new(1, 1);
    let first = prompt("first", 13_000, 100);
    scene.record_cached(0, &first);
    for number in 0..40 {
        scene.record_cached(0, &prompt(&format!("later-{number}"), 13_000, 100));
    }
    assert!(scene.assumed_state(0, &first).is_none());
}

#[test]
fn tokens_after_a_prefix_evict_other_prefixes() {
    let mut scene = Scene::new(1, 1);
    let first = prompt("first", 13_000, 100);
    scene.record_cached(0, &first);
    for _ in 0..40 {
        scene.record_cached(0, &prompt("other", 13_000, 20_000));
    }
    assert!(scene.assumed_state(0, &first).is_none());
    assert!(
        scene
            .assumed_state(0, &prompt("other", 13_000, 0))
            .is_some()
    );
}

#[test]
fn short_prompts_of_all_daemons_evict_prefixes() {
    let mut scene = Scene::new(1, 1);
    let first = prompt("first", 13_000, 100);
    scene.record_cached(0, &first);
    let id = Arc::clone(&scene.engines[0].id);
    scene
        .placement
        .prefixes
        .record_inserted_tokens(&id, 500_000);
    assert!(scene.assumed_state(0, &first).is_none());
}

#[test]
fn short_prefixes_are_neither_tracked_nor_published() {
    let scene = Scene::new(1, 1);
    let short = prompt("h", 90, 300);
    assert!(PrefixUse::of(&short, &scene.engines[0], PrefixState::Cached).is_none());
}

#[test]
fn a_prefix_is_pending_until_an_engine_caches_it() {
    let mut scene = Scene::new(2, 1);
    let test_prompt = prompt("h", 13_000, 100);
    let is_pending = |scene: &Scene| {
        let engines = &scene.engines;
        scene
            .placement
            .is_prefix_pending(engines, &test_prompt, scene.now)
    };
    assert!(!is_pending(&scene));
    scene.record_use(0, &test_prompt, PrefixState::Pending);
    assert!(is_pending(&scene));
    scene.record_cached(0, &test_prompt);
    assert!(!is_pending(&scene));
    scene.record_use(0, &test_prompt, PrefixState::Pending);
    assert_eq!(
        scene.assumed_state(0, &test_prompt),
        Some(PrefixState::Cached)
    );
}

#[test]
fn a_pending_prefix_expires() {
    let mut scene = Scene::new(1, 1);
    let test_prompt = prompt("h", 13_000, 100);
    scene.record_use(0, &test_prompt, PrefixState::Pending);
    scene.now += Duration::from_secs(10);
    assert!(scene.assumed_state(0, &test_prompt).is_none());
}

#[test]
fn decoding_prefers_the_engine_that_caches_the_prefix() {
    let mut scene = Scene::new(1, 8);
    let test_prompt = prompt("h", 13_000, 100);
    scene.record_cached(5, &test_prompt);
    let holder = Arc::clone(&scene.engines[5].id);
    for _ in 0..20 {
        assert_eq!(scene.choose_decoder(&test_prompt), holder);
    }
}

#[test]
fn all_daemons_choose_the_same_decoder_for_an_uncached_prefix() {
    let test_prompt = prompt("h", 13_000, 100);
    let choices: Vec<Arc<str>> = (0..10)
        .map(|seed| {
            let mut scene = Scene::new(1, 8);
            scene.random = Pcg64Mcg::seed_from_u64(seed);
            scene.choose_decoder(&test_prompt)
        })
        .collect();
    assert!(choices.iter().all(|choice| *choice == choices[0]));
}

#[test]
fn a_full_engine_is_avoided_even_if_it_caches_the_prefix() {
    let mut scene = Scene::new(1, 8);
    let test_prompt = prompt("h", 13_000, 100);
    scene.record_cached(5, &test_prompt);
    let outstanding_at_full = Outstanding {
        requests: f64::from(scene.engines[5].slots) * 1.2,
        ..Outstanding::default()
    };
    let report = scene.peer_report(5, 1, outstanding_at_full);
    scene.placement.load.receive(report, scene.now);
    let holder = Arc::clone(&scene.engines[5].id);
    assert_ne!(scene.choose_decoder(&test_prompt), holder);
}

#[test]
fn an_outdated_work_report_is_ignored() {
    let mut scene = Scene::new(2, 1);
    let work = |requests| Outstanding {
        requests,
        ..Outstanding::default()
    };
    let newer = scene.peer_report(0, 5, work(2.0));
    let older = scene.peer_report(0, 4, work(9.0));
    assert!(scene.placement.load.receive(newer, scene.now));
    assert!(!scene.placement.load.receive(older, scene.now));
    let requests = scene.placement.load.requests(&scene.engines[0].id);
    assert!((requests - 2.0).abs() < 1e-9, "{requests}");
}

#[test]
fn a_shorter_suspension_does_not_replace_a_longer_one() {
    let mut scene = Scene::new(0, 2);
    let engine = Arc::clone(&scene.engines[0]);
    let other = Arc::clone(&scene.engines[1].id);
    scene
        .placement
        .suspend_engine(&engine, Duration::from_secs(2), false, scene.now);
    scene
        .placement
        .suspend_engine(&engine, Duration::from_millis(200), false, scene.now);
    scene.now += Duration::from_secs(1);
    for _ in 0..10 {
        assert_eq!(scene.plan(&prompt("h", 60, 250)).decode.id, other);
    }
}

#[test]
fn prefix_uses_are_published_once() {
    let mut scene = Scene::new(1, 1);
    scene.record_cached(0, &prompt("h", 13_000, 100));
    assert_eq!(scene.placement.prefixes.take_unpublished().len(), 1);
    assert!(scene.placement.prefixes.take_unpublished().is_empty());
}

#[test]
fn reported_work_expires_when_the_peer_stops_reporting() {
    let mut scene = Scene::new(2, 1);
    scene.add_peer_work(0, 60_000.0);
    scene.now += Duration::from_secs(10);
    scene.add_peer_work(1, 1.0);
    let outstanding = scene.placement.load.outstanding(&scene.engines[0].id);
    assert!(outstanding.prompt_tokens < 1.0);
}

#[test]
fn ejected_engines_are_used_if_there_are_no_others() {
    let mut scene = Scene::new(0, 2);
    for engine in scene.engines.clone() {
        scene
            .placement
            .health
            .record(&engine.id, Outcome::Unreachable, scene.now);
    }
    scene.plan(&prompt("h", 60, 250));
}

#[test]
fn short_prompts_go_to_prefill_engines_while_decode_engines_are_busy_with_prefill() {
    let mut scene = Scene::new(3, 3);
    let short = prompt("h", 60, 250);
    assert!(scene.plan(&short).prefill.is_none());
    let busy = StageWork {
        decode_reading: 2.4,
        ..StageWork::default()
    };
    let service = Arc::from("models");
    let report = vec![(service, busy)];
    scene.placement.peer_work.receive(7, report, scene.now);
    scene.placement.fleet_work(scene.now);
    assert!(scene.plan(&short).prefill.is_some());
}

#[test]
fn long_prompts_processed_by_decode_engines_count_as_prefill_work() {
    let mut scene = Scene::new(0, 2);
    let service = Arc::from("models");
    let plan = scene.plan(&prompt("h", 10_000, 4_000));
    assert!(plan.prefill.is_none());
    scene
        .placement
        .record_prompt_work(&service, &plan, TARGETS, scene.now);
    let rates = scene.placement.work.rates(scene.now);
    let work = rates[0].1;
    assert!(work.prefill > 0.1 && work.decode_reading > work.prefill);
    assert!(work.decode < 0.01, "{work:?}");
}

#[test]
fn suspended_engines_are_listed_latest_first() {
    let mut scene = Scene::new(0, 20);
    for engine in scene.engines.clone() {
        scene
            .placement
            .suspend_engine(&engine, Duration::from_secs(2), true, scene.now);
        scene.now += Duration::from_millis(50);
    }
    let suspended = scene.placement.suspended_engines(scene.now);
    assert_eq!(suspended.len(), 20);
    assert_eq!(suspended[0].0, scene.engines[19].id);
}

#[test]
fn a_request_body_is_sent_only_once_over_a_slow_link() {
    let mut scene = Scene::new(2, 3);
    let long = prompt("h", 13_000, 3_700);
    assert!(scene.plan(&long).prefill.is_some());
    scene.placement.link.set_megabits(1);
    let slow = prompt("h", 0, 1_500);
    let plan = scene.plan(&slow);
    assert!(
        plan.prefill.is_none(),
        "sending the body twice takes 166 ms longer"
    );
    assert!(plan.expected_ms > 160.0, "{}", plan.expected_ms);
}

#[test]
fn the_send_queue_drains_at_the_link_speed() {
    let mut scene = Scene::new(1, 1);
    let link = &mut scene.placement.link;
    link.record_send(1_000_000, scene.now);
    assert!(
        link.wait_ms(scene.now) < 1e-9,
        "a link of unknown speed causes no delay"
    );
    link.set_megabits(8);
    let initial_wait_ms = link.wait_ms(scene.now);
    assert!(
        (1_000.0..1_001.0).contains(&initial_wait_ms),
        "{initial_wait_ms}"
    );
    let later_wait_ms = link.wait_ms(scene.now + Duration::from_millis(600));
    assert!((400.0..401.0).contains(&later_wait_ms), "{later_wait_ms}");
    assert!(link.wait_ms(scene.now + Duration::from_secs(2)) < 1e-9);
}

/// A scene whose streams have gaps of 50 ms without prefill, with 10 streams of other daemons at
/// every decode engine.
fn scene_with_streams(decode: u8) -> Scene {
    let mut scene = Scene::new(1, decode);
    let service = Arc::from("models");
    for _ in 0..200 {
        scene
            .placement
            .streams
            .record_baseline_gap(&service, Duration::from_millis(50));
    }
    let rows = scene.engines[1..].iter().map(|engine| WorkRow {
        id: Arc::clone(&engine.id),
        outstanding: Outstanding {
            requests: 10.0,
            generating: 10.0,
            ..Outstanding::default()
        },
    });
    let report = WorkReport {
        origin: 7,
        sequence: 1,
        rows: rows.collect(),
    };
    scene.placement.load.receive(report, scene.now);
    scene
}

#[test]
fn a_prefill_that_would_delay_streams_goes_to_a_slower_prefill_engine() {
    let mut scene = scene_with_streams(2);
    // The prefill engine is busy for 200 ms; a decode engine would complete the prompt in 130 ms.
    scene.add_peer_work_from(9, 0, 6_000.0);
    let plan = scene.plan(&prompt("h", 0, 2_000));
    assert!(
        plan.prefill.is_some(),
        "20 streams would have gaps of 180 ms, over the target of 150 ms"
    );
    let mut alone = Scene::new(1, 2);
    alone.add_peer_work_from(9, 0, 6_000.0);
    let plan = alone.plan(&prompt("h", 0, 2_000));
    assert!(plan.prefill.is_none(), "there are no streams to delay");
}

#[test]
fn a_short_prefill_does_not_delay_streams() {
    let mut scene = scene_with_streams(2);
    let plan = scene.plan(&prompt("h", 0, 300));
    assert!(plan.prefill.is_none());
}

#[test]
fn prefill_cost_includes_the_delay_of_later_arrivals() {
    let mut scene = Scene::new(1, 2);
    let long = prompt("h", 0, 2_000);
    scene.add_peer_work_from(9, 0, 6_000.0);
    assert!(scene.plan(&long).prefill.is_none());
    let service = Arc::from("models");
    for _ in 0..400 {
        scene
            .placement
            .arrivals
            .add(&service, Stage::Decode, scene.now);
        scene.now += Duration::from_millis(5);
    }
    scene.add_peer_work_from(10, 0, 6_000.0);
    assert!(
        scene.plan(&long).prefill.is_some(),
        "100 prompts per second arrive at each decode engine"
    );
}

#[test]
fn requests_on_time_are_served_before_late_ones() {
    let mut scene = Scene::new(1, 1);
    let late = Outstanding {
        requests: 40.0,
        late_waiting: 40.0,
        late_tokens: 200_000.0,
        ..Outstanding::default()
    };
    for (origin, engine) in [(7, 0), (8, 1)] {
        let mut report = scene.peer_report(engine, 1, late);
        report.origin = origin;
        scene.placement.load.receive(report, scene.now);
    }
    let test_prompt = prompt("h", 0, 1_000);
    let in_time = scene.plan(&test_prompt).expected_ms;
    scene.urgency = Urgency::Late;
    let behind = scene.plan(&test_prompt).expected_ms;
    assert!(in_time < 300.0, "{in_time}");
    assert!(behind > 5_000.0, "{behind}");
}

#[test]
fn a_back_end_in_its_slow_start_gets_fewer_requests() {
    let mut scene = Scene::new(0, 4);
    let left = Duration::from_secs(6);
    let mut cold = (*scene.engines[0]).clone();
    cold.cold_start = Some(ColdStart::observe(left, None, scene.now));
    scene.engines[0] = Arc::new(cold);
    let times_chosen = |scene: &mut Scene| {
        let chosen = (0..200).filter_map(|_| {
            let placement = &scene.placement;
            placement.choose_plain(&scene.engines, &[], scene.now, &mut scene.random)
        });
        chosen.filter(|chosen| &*chosen.id == "i-1").count()
    };
    assert_eq!(times_chosen(&mut scene), 0, "warm back ends are idle");
    scene.now += left;
    assert!(times_chosen(&mut scene) > 25);
}

/// Prefill engines chosen in forty plans.
fn readers(scene: &mut Scene, test_prompt: &Prompt) -> HashSet<Arc<str>> {
    let plans = (0..40).map(|_| scene.plan(test_prompt));
    let readers = plans.filter_map(|plan| plan.prefill);
    readers.map(|engine| Arc::clone(&engine.id)).collect()
}

/// Engines complete a prompt that they have started. A late prompt must therefore join other late
/// prompts and leave the idle engine to prompts on time.
#[test]
fn late_prompts_go_to_engines_that_process_late_prompts() {
    let mut scene = Scene::new(2, 2);
    let late = Outstanding {
        requests: 1.0,
        late_waiting: 1.0,
        late_tokens: 12_000.0,
        ..Outstanding::default()
    };
    let report = scene.peer_report(0, 1, late);
    scene.placement.load.receive(report, scene.now);
    for decode_engine in 2..4 {
        scene.add_peer_work_from(20 + decode_engine as u64, decode_engine, 30_000.0);
    }
    let service = Arc::from("models");
    for _ in 0..60 {
        let arrivals = &mut scene.placement.arrivals;
        arrivals.add(&service, Stage::Prefill, scene.now);
    }
    let test_prompt = prompt("h", 0, 20_000);
    scene.urgency = Urgency::Late;
    let joined: HashSet<Arc<str>> = HashSet::from([Arc::clone(&scene.engines[0].id)]);
    assert_eq!(readers(&mut scene, &test_prompt), joined);
    let test_prompt = prompt("h", 0, 2_000);
    scene.urgency = Urgency::InTime;
    let idle: HashSet<Arc<str>> = HashSet::from([Arc::clone(&scene.engines[1].id)]);
    assert_eq!(readers(&mut scene, &test_prompt), idle);
}

/// Transferring the KV cache of a long prompt to another zone takes twice as long.
#[test]
fn decoding_stays_in_the_zone_of_the_prefill_engine() {
    for seed in 0..10 {
        let mut scene = Scene::new(1, 6);
        scene.random = Pcg64Mcg::seed_from_u64(seed);
        for engine in &mut scene.engines[4..] {
            Arc::make_mut(engine).zone = Arc::from("far");
        }
        let mut reader = BackEnd::clone(&scene.engines[0]);
        reader.zone = Arc::from("far");
        let test_prompt = prompt("h", 30_000, 10_000);
        let hand_over = HandOver::of(&test_prompt, &reader, &traits());
        let chosen = scene.placement.choose_decode_after_prefill(
            &scene.engines,
            &[],
            &DecodeRequest {
                prompt: Some(&test_prompt),
                hand_over: Some(hand_over),
                stream: None,
            },
            scene.now,
            &mut scene.random,
        );
        assert_eq!(&*chosen.expect("an engine").zone, "far", "seed {seed}");
    }
}

/// The availability of a rate-limited engine changes from request to request. As a preferred engine
/// it would cause prefixes to move and to be processed again each time.
#[test]
fn a_rate_limited_engine_is_not_preferred_for_new_prefixes() {
    let mut scene = Scene::new(0, 6);
    let fresh = prompt("never-seen", 8_000, 200);
    let preferred_engine = scene.plan(&fresh).decode;
    let members = Arc::new(Members {
        own: 1,
        daemons: vec![(Arc::from("a"), 1)],
    });
    let limits = &mut scene.placement.rate_limits;
    limits.set_members(&members, MembersTrust::Confirmed, scene.now);
    let answer = RateAnswer {
        rate: AnnouncedRate::Limited(RequestRate::new(50.0).expect("a rate")),
        sent: scene.now,
        request_ran: true,
    };
    limits.note(&preferred_engine, answer, scene.now);
    scene.now += Duration::from_secs(1);
    let allowance = scene
        .placement
        .rate_limits
        .allowance(&preferred_engine, scene.now);
    assert_eq!(allowance, Allowance::Now, "the engine accepts the request");
    for _ in 0..20 {
        assert_ne!(scene.plan(&fresh).decode.id, preferred_engine.id);
    }
}
