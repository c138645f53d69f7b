//! Tests that the choice of engines does not depend on profiles where they are not used.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::EngineTraits;
use ponddrift_fleet::placement::{
    LatencyTargets, Placement, PrefixState, PrefixUse, PromptReading, PromptRequest, StreamNeeds,
    Urgency,
};
use ponddrift_fleet::prompt::{Prompt, PromptPart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::engines;
use xxhash_rust::xxh3::Xxh3;

const TARGETS: LatencyTargets = LatencyTargets {
    latency: Duration::from_millis(250),
    gap: Some(Duration::from_millis(200)),
};

/// Hash of the choices and expected times without profiles.
const EXPECTED_CHOICES: u64 = 16_439_203_186_269_928_296;

fn prompt(random: &mut Pcg64Mcg) -> Prompt {
    let is_long = random.random_bool(0.7);
    let (shared, own, output_tokens) = if is_long {
        (6_300, random.random_range(1_500..4_500), 2)
    } else {
        (79, random.random_range(60..300), 72)
    };
    let head = random.random_range(0..5_u32);
    let part = |id: String, tokens| PromptPart {
        id: Arc::from(id),
        tokens,
    };
    Prompt {
        input_tokens: shared + own,
        output_tokens,
        parts: vec![
            part(format!("head-{head}"), shared),
            part("own".to_owned(), own),
        ],
    }
}

/// Load: 2,000 prompts, one each 5 ms, seven in ten long with an answer of two events, the others
/// short with 72, before three prefill and nine decode engines, some of which answered slowly; each
/// request stays for up to 0.4 s. Bound: exactly the recorded choices.
#[test]
fn choices_without_profiles_are_the_recorded_ones() {
    let mut placement = Placement::new(Arc::from("a"));
    placement.prefixes.set_capacity(400_000);
    placement.daemons = 4;
    let engines = engines(3, 9);
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let start = Instant::now();
    let mut running: Vec<(Instant, Arc<str>, f64)> = Vec::new();
    let mut hash = Xxh3::new();
    for number in 0..2_000_u64 {
        let now = start + Duration::from_millis(number * 5);
        let (ended, still): (Vec<_>, Vec<_>) = running.into_iter().partition(|one| one.0 <= now);
        running = still;
        for (_end, engine, tokens) in ended {
            placement.load.prompt_read(&engine, tokens, Urgency::InTime);
            placement.load.end(&engine, Urgency::InTime, true);
        }
        let slow = &engines[usize::try_from(number % 12).expect("a small number")];
        let elapsed_ms = random.random_range(10.0..120.0);
        placement
            .speed
            .record_engine_answer(&slow.id, 40.0, elapsed_ms, now);
        let tokens = random.random_range(100.0..4_000.0);
        placement.speed.prompt_read(PromptReading {
            tokens,
            took_ms: 6.0 + tokens / 150.0,
        });
        let service = &slow.service;
        let gap = Duration::from_millis(random.random_range(30..90));
        placement.streams.record_baseline_gap(service, gap);
        placement.record_stream_work(service, 16, gap * 8, now);
        placement.fleet_work(now);
        let prompt = prompt(&mut random);
        let request = PromptRequest {
            prompt: &prompt,
            latency_targets: TARGETS,
            traits: &EngineTraits {
                slots: 32,
                cache_tokens: 400_000,
                token_bytes: 18_432,
                link_megabits: 2_900_000.0,
                stage_change: Duration::from_secs(1),
            },
            urgency: if number % 9 == 0 {
                Urgency::Late
            } else {
                Urgency::InTime
            },
            body_bytes: 2_000,
            stream: StreamNeeds::of(&prompt, TARGETS, 0, Duration::from_secs(2), None),
        };
        let plan = placement
            .plan_prompt(&engines, &[], &request, now, &mut random)
            .expect("an engine");
        placement.record_prompt_work(service, &plan, TARGETS, now);
        let decoder = placement
            .choose_decode(&engines, &[], Some(&prompt), now, &mut random)
            .expect("an engine");
        let reader = plan.prefill.as_ref().unwrap_or(&plan.decode);
        for chosen in [reader, &decoder] {
            hash.update(chosen.id.as_bytes());
            placement
                .load
                .begin(&chosen.id, plan.tokens_to_read, Urgency::InTime);
            placement.load.generates(&chosen.id, Urgency::InTime);
            let stays = Duration::from_millis(random.random_range(20..400));
            running.push((now + stays, Arc::clone(&chosen.id), plan.tokens_to_read));
        }
        hash.update(&plan.expected_ms.to_bits().to_le_bytes());
        if let Some(usage) = PrefixUse::of(&prompt, reader, PrefixState::Cached) {
            placement.prefixes.used(usage, now);
        }
    }
    assert_eq!(hash.digest(), EXPECTED_CHOICES);
}
