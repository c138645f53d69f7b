//! Requests that crash the engines of a small service, among sound ones, while engines also end for
//! other reasons and start again under the IDs that they had.

use std::time::{Duration, Instant};

use ponddrift_fleet::directory::{Incarnation, IncarnationId};
use ponddrift_fleet::fingerprint::{Fingerprint, RequestContent};
use ponddrift_fleet::quarantine::{LostRun, Quarantine, Standing, SuspectKind};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(30);
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// When requests that crash engines begin to come.
const CRASHING_FROM: Duration = Duration::from_secs(4);
/// Crashes under one request after which it must be refused, and how long that may take.
const TOLERATED_CRASHES: usize = 3;
const DECISION_TIME: Duration = Duration::from_secs(3);
/// Sends that are tolerated after that.
const TOLERATED_SENDS: usize = 3;
/// Probability of a new sound request in a step.
const SOUND_PER_STEP: f64 = 0.3;
/// Sound requests with the same content that come again and again.
const POPULAR: u32 = 8;
/// First number of requests that crash engines.
const FIRST_CRASHING: u32 = 1_000_000;

#[derive(Debug, Clone, Copy)]
struct Case {
    engines: usize,
    /// Requests that crash engines, and the pause after which each comes again.
    crashing: u32,
    pause: Duration,
    /// Whether racks fail and engines are replaced as well.
    has_other_ends: bool,
}

fn fingerprint(number: u32) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        tenant: None,
        method: "POST",
        host: "models.example",
        path: "/tag/",
        body: &number.to_le_bytes(),
    })
}

#[derive(Clone)]
struct Request {
    number: u32,
    /// Further tries of the daemon and of the caller.
    retries_left: u32,
}

impl Request {
    const fn crashes_engines(&self) -> bool {
        self.number >= FIRST_CRASHING
    }
}

struct Run {
    request: Request,
    begun: Instant,
    ends: Instant,
}

struct Engine {
    started: u64,
    back_at: Instant,
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
struct Outcome {
    sound_refused: usize,
    sound_served: usize,
    late_sends: usize,
}

struct World {
    case: Case,
    random: Pcg64Mcg,
    quarantine: Quarantine,
    engines: Vec<Engine>,
    crashes: Vec<Vec<Instant>>,
    outcome: Outcome,
    next_number: u32,
}

impl World {
    fn new(seed: u64, case: Case, now: Instant) -> Self {
        let engines = (0..case.engines).map(|_number| Engine {
            started: 1,
            back_at: now,
            runs: Vec::new(),
        });
        Self {
            case,
            random: Pcg64Mcg::seed_from_u64(seed),
            quarantine: Quarantine::default(),
            engines: engines.collect(),
            crashes: (0..case.crashing).map(|_request| Vec::new()).collect(),
            outcome: Outcome::default(),
            next_number: POPULAR,
        }
    }

    fn sound_request(&mut self) -> Request {
        let number = if self.random.random_bool(0.3) {
            self.random.random_range(0..POPULAR)
        } else {
            self.next_number += 1;
            self.next_number
        };
        Request {
            number,
            retries_left: 3,
        }
    }

    fn send(&mut self, request: Request, now: Instant) {
        let suspect = fingerprint(request.number);
        self.quarantine.refresh(now);
        let standing = self.quarantine.standing(suspect, now);
        if let Standing::Quarantined { .. } | Standing::Pending { .. } = standing {
            let is_refused = standing.is_quarantined() && !request.crashes_engines();
            self.outcome.sound_refused += usize::from(is_refused);
            return;
        }
        if request.crashes_engines() {
            let crashes = &self.crashes[(request.number - FIRST_CRASHING) as usize];
            let third = crashes.get(TOLERATED_CRASHES - 1);
            let is_late = third.is_some_and(|third| now > *third + DECISION_TIME);
            self.outcome.late_sends += usize::from(is_late);
        }
        let ready: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].back_at <= now)
            .collect();
        let Some(index) = ready.choose(&mut self.random).copied() else {
            return;
        };
        let run_ms = self.random.random_range(20..150);
        self.engines[index].runs.push(Run {
            request,
            begun: now,
            ends: now + Duration::from_millis(run_ms),
        });
    }

    /// Ends engines at the same moment. Their requests are repeated at once, at others.
    fn end_engines(&mut self, indices: &[usize], now: Instant) {
        let mut lost_requests = Vec::new();
        for index in indices {
            let engine = &mut self.engines[*index];
            let id = IncarnationId {
                back_end: format!("i-{index}").into(),
                incarnation: Incarnation(engine.started),
            };
            engine.started += 1;
            engine.back_at = now + RESTART_DELAY;
            for run in std::mem::take(&mut engine.runs) {
                let lost = LostRun {
                    engine: id.clone(),
                    request: 0,
                    begun: run.begun,
                    ended: now,
                };
                let suspect = fingerprint(run.request.number);
                self.quarantine
                    .record_lost_run(suspect, SuspectKind::Request, 0, lost, now);
                lost_requests.push(run.request);
            }
        }
        for request in lost_requests {
            if request.retries_left > 0 {
                let retries_left = request.retries_left - 1;
                let request = Request {
                    retries_left,
                    ..request
                };
                self.send(request, now);
            }
        }
    }

    fn step(&mut self, elapsed: Duration, now: Instant) {
        if self.random.random_bool(SOUND_PER_STEP) {
            let request = self.sound_request();
            self.send(request, now);
        }
        let pause_ms = self.case.pause.as_millis();
        if elapsed >= CRASHING_FROM && elapsed.as_millis().is_multiple_of(pause_ms) {
            for number in 0..self.case.crashing {
                let request = Request {
                    number: FIRST_CRASHING + number,
                    retries_left: 1,
                };
                self.send(request, now);
            }
        }
        for index in 0..self.engines.len() {
            self.advance(index, now);
        }
    }

    fn advance(&mut self, index: usize, now: Instant) {
        let engine = &mut self.engines[index];
        let due: Vec<Run> = engine.runs.extract_if(.., |run| run.ends <= now).collect();
        let (crashing, whole): (Vec<Run>, Vec<Run>) = due
            .into_iter()
            .partition(|run| run.request.crashes_engines());
        for run in whole {
            self.outcome.sound_served += 1;
            let suspect = fingerprint(run.request.number);
            self.quarantine.record_good_run(suspect, now);
        }
        if crashing.is_empty() {
            return;
        }
        for run in &crashing {
            let request = run.request.number - FIRST_CRASHING;
            self.crashes[request as usize].push(now);
        }
        self.engines[index].runs.extend(crashing);
        self.end_engines(&[index], now);
    }
}

/// Engines that end for other reasons in a step: racks of a third of them, rolling replacement, and
/// single failures.
fn other_ends(random: &mut Pcg64Mcg, engines: usize, elapsed: Duration) -> Vec<usize> {
    let milliseconds = u64::try_from(elapsed.as_millis()).unwrap_or_default();
    if [3_000, 6_000, 9_000, 9_700, 14_000].contains(&milliseconds) {
        return (0..engines.div_ceil(3)).collect();
    }
    if milliseconds == 7_000 {
        return (0..engines).collect();
    }
    if (16_000..22_000).contains(&milliseconds) && milliseconds.is_multiple_of(300) {
        return vec![usize::try_from(milliseconds / 300).unwrap_or_default() % engines];
    }
    if random.random_bool(0.002) {
        return vec![random.random_range(0..engines)];
    }
    Vec::new()
}

fn play(seed: u64, case: Case) -> Outcome {
    let start = Instant::now() + Duration::from_secs(3_600);
    let mut world = World::new(seed, case, start);
    let mut faults = Pcg64Mcg::seed_from_u64(seed ^ 0xffff);
    let mut elapsed = Duration::ZERO;
    while elapsed < RUN_TIME {
        let now = start + elapsed;
        world.step(elapsed, now);
        if case.has_other_ends {
            let mut ending = other_ends(&mut faults, case.engines, elapsed);
            ending.retain(|index| world.engines[*index].back_at <= now);
            world.end_engines(&ending, now);
        }
        elapsed += STEP;
    }
    world.outcome
}

fn cases(fleets: &[(usize, u32)]) -> Vec<Case> {
    let cases = fleets.iter().flat_map(|(engines, crashing)| {
        [100, 1_000].into_iter().flat_map(move |pause_ms| {
            [false, true].map(|has_other_ends| Case {
                engines: *engines,
                crashing: *crashing,
                pause: Duration::from_millis(pause_ms),
                has_other_ends,
            })
        })
    });
    cases.collect()
}

fn assert_only_crashing_requests_are_refused(fleets: &[(usize, u32)]) {
    const SEEDS: u64 = 40;
    let mut late = Vec::new();
    let mut refused = Vec::new();
    for case in cases(fleets) {
        let (mut refusing_plays, mut sound_refused, mut late_sends) = (0, 0, 0);
        for seed in 0..SEEDS {
            let outcome = play(seed, case);
            assert!(outcome.sound_served > 100, "{case:?}, seed {seed}");
            refusing_plays += usize::from(outcome.sound_refused > 0);
            sound_refused += outcome.sound_refused;
            late_sends += outcome.late_sends;
            if outcome.late_sends > TOLERATED_SENDS * case.crashing as usize {
                late.push((case, seed, outcome.late_sends));
            }
            if outcome.sound_refused > 0 {
                refused.push((case, seed, outcome.sound_refused));
            }
        }
        eprintln!(
            "{case:?}: {refusing_plays} of {SEEDS} plays with {sound_refused} sound requests refused, {late_sends} late sends"
        );
    }
    assert!(late.is_empty(), "sent long after the third crash: {late:?}");
    assert!(refused.is_empty(), "sound requests refused: {refused:?}");
}

/// Guards against evidence that is kept by the ID of an engine: each of its incarnations ends once.
/// Also guards sound requests that come often: they must not be refused because engines end around
/// them.
#[test]
fn requests_that_crash_engines_are_refused_and_sound_ones_are_served() {
    assert_only_crashing_requests_are_refused(&[(3, 0), (3, 1), (12, 0), (12, 1), (12, 2)]);
}

/// Two requests that always come together, to a service whose engines are then all down, are lost at
/// the same engines, so that it takes five terminations to tell them from sound ones.
#[test]
fn two_requests_that_crash_all_engines_of_a_service_together_are_refused() {
    assert_only_crashing_requests_are_refused(&[(3, 2)]);
}
