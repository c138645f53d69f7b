//! Parts of prompts that crash engines, among sound ones, while engines also end for other reasons.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::IncarnationId;
use ponddrift_fleet::fingerprint::{Fingerprint, PartContent};
use ponddrift_fleet::quarantine::{LostRun, Quarantine, Standing, SuspectKind, Suspicion};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(20);
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
const ENGINES: usize = 12;
/// When requests with a part that crashes engines begin to come.
const CRASHING_FROM: Duration = Duration::from_secs(4);
/// Crashes under one part after which it must be refused, and how long that may take.
const TOLERATED_CRASHES: usize = 5;
const DECISION_TIME: Duration = Duration::from_secs(3);
/// Which requests come.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Probability of a new sound request, and of one with a part that crashes engines, in a step.
    sound_per_step: f64,
    crashing_per_step: f64,
    /// Whether engines serve the bad parts at first, until [`CRASHING_FROM`].
    is_sound_before: bool,
    /// Whether racks fail and engines are replaced as well.
    has_other_ends: bool,
}

const BUSY: Load = Load {
    sound_per_step: 0.35,
    crashing_per_step: 0.04,
    is_sound_before: false,
    has_other_ends: true,
};
/// Two sound requests a second, and five with a bad part in six seconds.
const QUIET: Load = Load {
    sound_per_step: 0.01,
    crashing_per_step: 0.004_2,
    is_sound_before: true,
    has_other_ends: false,
};

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&PartContent {
        tenant: None,
        service: "models",
        part: name,
    })
}

#[derive(Clone)]
struct Request {
    number: u32,
    parts: Vec<String>,
    bad: Option<usize>,
    tries: u32,
}

struct Run {
    request: Request,
    begun: Instant,
    first_event: Instant,
    ends: Instant,
    has_written: bool,
}

/// One incarnation after the other of an engine.
struct Engine {
    incarnation: usize,
    back_at: Instant,
    runs: Vec<Run>,
}

#[derive(Default)]
struct Outcome {
    sound_refused: usize,
    sound_served: usize,
    bad_refused: usize,
    crashes: HashMap<usize, Vec<Instant>>,
    late_sends: usize,
}

struct World {
    random: Pcg64Mcg,
    quarantine: Quarantine,
    engines: Vec<Engine>,
    bad_parts: usize,
    load: Load,
    crashes: bool,
    outcome: Outcome,
    next_number: u32,
}

impl World {
    fn new(seed: u64, bad_parts: usize, load: Load, now: Instant) -> Self {
        let engines = (0..ENGINES).map(|_number| Engine {
            incarnation: 0,
            back_at: now,
            runs: Vec::new(),
        });
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            quarantine: Quarantine::default(),
            engines: engines.collect(),
            bad_parts,
            load,
            crashes: false,
            outcome: Outcome::default(),
            next_number: 0,
        }
    }

    /// All requests share a part; the next ones are shared by many and by few.
    fn new_request(&mut self, is_bad: bool) -> Request {
        self.next_number += 1;
        let topic = self.random.random_range(0..6) * self.random.random_range(0..2);
        let site = self.random.random_range(0..40);
        let mut parts = vec![
            String::from("all"),
            format!("topic{topic}"),
            format!("site{site}"),
        ];
        let bad = is_bad.then(|| self.random.random_range(0..self.bad_parts));
        if let Some(bad) = bad {
            let place = self.random.random_range(0..=parts.len());
            parts.insert(place, format!("bad{bad}"));
        }
        Request {
            number: self.next_number,
            parts,
            bad,
            tries: 0,
        }
    }

    fn send(&mut self, request: Request, now: Instant) {
        self.quarantine.refresh(now);
        let is_refused = request.parts.iter().any(|name| {
            let standing = self.quarantine.standing(part(name), now);
            matches!(standing, Standing::Quarantined { .. })
        });
        if is_refused {
            match request.bad {
                Some(_) => self.outcome.bad_refused += 1,
                None => self.outcome.sound_refused += 1,
            }
            return;
        }
        if let Some(bad) = request.bad {
            let crashes = self.outcome.crashes.get(&bad);
            let fifth = crashes.and_then(|crashes| crashes.get(TOLERATED_CRASHES - 1));
            let is_late = fifth.is_some_and(|fifth| now > *fifth + DECISION_TIME);
            self.outcome.late_sends += usize::from(is_late);
        }
        let ready: Vec<usize> = (0..ENGINES)
            .filter(|index| self.engines[*index].back_at <= now)
            .collect();
        let Some(index) = ready.choose(&mut self.random).copied() else {
            return;
        };
        let until_event = Duration::from_millis(self.random.random_range(20..120));
        let until_end = until_event + Duration::from_millis(self.random.random_range(50..300));
        self.engines[index].runs.push(Run {
            request,
            begun: now,
            first_event: now + until_event,
            ends: now + until_end,
            has_written: false,
        });
    }

    /// Lets the runs of an engine go on. Returns whether one of them crashes it.
    fn advance(&mut self, index: usize, now: Instant) -> bool {
        let mut crashes = false;
        for run in &mut self.engines[index].runs {
            if run.has_written || run.first_event > now {
                continue;
            }
            if let Some(bad) = run.request.bad.filter(|_| self.crashes) {
                self.outcome.crashes.entry(bad).or_default().push(now);
                crashes = true;
                continue;
            }
            run.has_written = true;
            self.quarantine.record_answer();
            let parts = run.request.parts.iter().map(|name| part(name));
            self.quarantine.record_sound_parts(parts, now);
        }
        crashes
    }

    /// Ends an engine, and repeats the requests that have had no event once.
    fn end_engine(&mut self, index: usize, now: Instant) {
        let engine = &mut self.engines[index];
        let id = IncarnationId::parse(&format!("i-{index}-{}", engine.incarnation));
        engine.incarnation += 1;
        engine.back_at = now + RESTART_DELAY;
        let runs = std::mem::take(&mut engine.runs);
        for run in runs.into_iter().filter(|run| !run.has_written) {
            for (place, name) in run.request.parts.iter().enumerate() {
                let lost = LostRun {
                    engine: id.clone(),
                    request: run.request.number,
                    begun: run.begun,
                    ended: now,
                };
                let place = u16::try_from(place).expect("few parts");
                let kind = SuspectKind::Part { place };
                self.quarantine
                    .record_lost_run(part(name), kind, 0, lost, now);
            }
            if run.request.tries == 0 {
                let request = Request {
                    tries: 1,
                    ..run.request
                };
                self.send(request, now);
            }
        }
    }

    fn step(&mut self, elapsed: Duration, now: Instant) {
        self.crashes = elapsed >= CRASHING_FROM;
        if self.random.random_bool(self.load.sound_per_step) {
            let request = self.new_request(false);
            self.send(request, now);
        }
        let comes = self.bad_parts > 0 && (self.crashes || self.load.is_sound_before);
        if comes && self.random.random_bool(self.load.crashing_per_step) {
            let request = self.new_request(true);
            self.send(request, now);
        }
        for index in 0..ENGINES {
            let crashes = self.advance(index, now);
            self.engines[index].runs.retain(|run| {
                let is_whole = run.ends <= now;
                self.outcome.sound_served += usize::from(is_whole);
                !is_whole
            });
            if crashes {
                self.end_engine(index, now);
            }
        }
    }
}

/// Engines that end for other reasons in a step.
fn other_ends(random: &mut Pcg64Mcg, elapsed: Duration) -> Vec<usize> {
    const RACK: std::ops::Range<usize> = 0..4;
    const ZONE: std::ops::Range<usize> = 6..12;
    let at = |seconds: u64| {
        elapsed >= Duration::from_secs(seconds) && elapsed < Duration::from_secs(seconds) + STEP
    };
    if at(3) || at(6) || at(9) {
        return RACK.collect();
    }
    if at(7) {
        return ZONE.collect();
    }
    let rolling_step = u32::try_from(elapsed.as_millis()).unwrap_or_default();
    let is_rolling = elapsed >= Duration::from_secs(10) && rolling_step % 300 < 5;
    if is_rolling {
        return vec![(rolling_step / 300) as usize % ENGINES];
    }
    if random.random_bool(0.002) {
        return vec![random.random_range(0..ENGINES)];
    }
    Vec::new()
}

fn play(seed: u64, bad_parts: usize, load: Load) -> Outcome {
    let start = Instant::now() + Duration::from_secs(3_600);
    let mut world = World::new(seed, bad_parts, load, start);
    let mut faults = Pcg64Mcg::seed_from_u64(seed ^ 0xffff);
    let mut elapsed = Duration::ZERO;
    while elapsed < RUN_TIME {
        let now = start + elapsed;
        world.step(elapsed, now);
        let ending = if load.has_other_ends {
            other_ends(&mut faults, elapsed)
        } else {
            Vec::new()
        };
        for index in ending {
            if world.engines[index].back_at <= now {
                world.end_engine(index, now);
            }
        }
        elapsed += STEP;
    }
    world.outcome
}

#[test]
fn sound_parts_are_served_whatever_ends_engines() {
    let mut refused = Vec::new();
    for seed in 0..100 {
        for bad_parts in 0..=4 {
            let outcome = play(seed, bad_parts, BUSY);
            assert!(outcome.sound_served > 300, "seed {seed}, {bad_parts} parts");
            if outcome.sound_refused > 0 {
                refused.push((seed, bad_parts, outcome.sound_refused));
            }
        }
    }
    assert!(refused.is_empty(), "sound requests refused: {refused:?}");
}

#[test]
fn parts_that_crash_engines_are_refused_whatever_else_ends_engines() {
    let mut late = Vec::new();
    for seed in 0..100 {
        for bad_parts in 1..=4 {
            let outcome = play(seed, bad_parts, BUSY);
            assert!(outcome.bad_refused > 0, "seed {seed}, {bad_parts} parts");
            if outcome.late_sends > 0 {
                late.push((seed, bad_parts, outcome.late_sends));
            }
        }
    }
    assert!(late.is_empty(), "sent long after the fifth crash: {late:?}");
}

/// A run that its engine lost, of a prompt with these parts.
fn lose_prompt(
    quarantine: &mut Quarantine,
    number: u32,
    tenant: u32,
    parts: &[String],
    now: Instant,
) {
    let run = LostRun {
        engine: IncarnationId::parse(&format!("i-{number}")),
        request: number,
        begun: now - Duration::from_millis(20),
        ended: now,
    };
    let suspicions: Vec<Suspicion> = parts
        .iter()
        .zip(0..)
        .map(|(name, place)| {
            let kind = SuspectKind::Part { place };
            Suspicion::of_lost_run(part(name), kind, tenant, run.clone())
        })
        .collect();
    quarantine.record_lost_runs(&suspicions, now);
}

/// Guards against evidence that is evicted because it is older, by prompts with a thousand parts of
/// which none comes again.
#[test]
fn long_prompts_do_not_evict_the_evidence_against_a_part_of_shorter_ones() {
    const BETWEEN: u32 = 40;
    let start = Instant::now() + Duration::from_secs(3_600);
    for tenant in [0, 7] {
        let mut quarantine = Quarantine::default();
        let mut now = start;
        let mut number = 0;
        for crash in 0..3 {
            let mut parts = vec![String::from("bad")];
            parts.extend((0..40).map(|other| format!("crash{crash}-{other}")));
            number += 1;
            lose_prompt(&mut quarantine, number, tenant, &parts, now);
            for _prompt in 0..BETWEEN {
                now += Duration::from_millis(50);
                number += 1;
                let parts: Vec<String> = (0..1_200)
                    .map(|other| format!("long{number}-{other}"))
                    .collect();
                lose_prompt(&mut quarantine, number, tenant, &parts, now);
            }
        }
        now += Duration::from_secs(1);
        quarantine.refresh(now);
        let standing = quarantine.standing(part("bad"), now);
        assert!(standing.is_quarantined(), "tenant {tenant}: {standing:?}");
        let remembered = quarantine.counts(now).remembered;
        assert!(remembered <= 16_384, "{remembered} parts");
    }
}

/// Guards against costs that grow with the square of the number of parts.
#[test]
fn a_prompt_with_a_thousand_parts_is_recorded_at_once() {
    let start = Instant::now() + Duration::from_secs(3_600);
    let mut quarantine = Quarantine::default();
    let parts: Vec<String> = (0..1_200).map(|number| format!("p{number}")).collect();
    let mut now = start;
    let begun = Instant::now();
    for number in 0..20 {
        now += Duration::from_millis(200);
        lose_prompt(&mut quarantine, number, 0, &parts, now);
        quarantine.refresh(now + Duration::from_millis(100));
    }
    eprintln!("20 prompts of 1,200 parts: {:?}", begun.elapsed());
    now += Duration::from_secs(1);
    quarantine.refresh(now);
    let last = quarantine.standing(part("p1199"), now);
    assert!(last.is_quarantined(), "{last:?}");
}

/// Outcomes of a quiet service over many seeds.
#[derive(Debug, Default)]
struct QuietOutcome {
    /// Seeds with more sends long after the fifth crash than are tolerated, and their number.
    late: Vec<(u64, usize)>,
    /// Seeds with refused sound requests, and their number.
    refused: Vec<(u64, usize)>,
}

fn play_quiet_service(bad_parts: usize, has_other_ends: bool) -> QuietOutcome {
    const SEEDS: u64 = 200;
    /// Sends that are tolerated long after the fifth crash.
    const TOLERATED_SENDS: usize = 3;
    let load = Load {
        has_other_ends,
        ..QUIET
    };
    let mut sum = QuietOutcome::default();
    for seed in 0..SEEDS {
        let outcome = play(seed, bad_parts, load);
        if outcome.late_sends > TOLERATED_SENDS {
            sum.late.push((seed, outcome.late_sends));
        }
        if outcome.sound_refused > 0 {
            sum.refused.push((seed, outcome.sound_refused));
        }
    }
    eprintln!(
        "{bad_parts} bad parts, other ends {has_other_ends}: of {SEEDS} plays late in {}, sound requests refused in {}",
        sum.late.len(),
        sum.refused.len()
    );
    sum
}

#[test]
fn sound_parts_of_a_quiet_service_are_served_whatever_ends_engines() {
    for has_other_ends in [false, true] {
        let outcome = play_quiet_service(0, has_other_ends);
        assert_eq!(outcome.refused, [], "other ends {has_other_ends}");
    }
}

/// Parts that come together, in a service that gives few answers, cannot always be told apart in time.
#[test]
fn only_a_part_that_begins_to_crash_engines_is_refused_while_few_answers_begin() {
    for has_other_ends in [false, true] {
        let outcome = play_quiet_service(1, has_other_ends);
        assert_eq!(outcome.late, [], "other ends {has_other_ends}");
        assert_eq!(outcome.refused, [], "other ends {has_other_ends}");
    }
}
