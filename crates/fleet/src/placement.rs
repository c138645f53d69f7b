//! Chooses back ends by the time they are expected to take.

mod arrivals;
mod confidence;
mod costs;
mod fairness;
mod link;
mod load;
mod metering;
mod prefixes;
mod reading;
mod speed;
mod stream_times;
mod work;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::announcements::Announcements;
use crate::configuration::{EngineTraits, Stage};
use crate::directory::{BackEnd, ReadyCounts};
use crate::health::Health;
use crate::prompt::Prompt;
use crate::rate_limits::RateLimits;
use crate::stages::StageWork;

pub use arrivals::Arrivals;
pub use confidence::Confidence;
pub use costs::NextRateToken;
use costs::{Choice, Estimate};
pub use fairness::{FairShares, OfferedRequest};
pub use link::LocalLink;
pub use load::{LoadTable, Outstanding, Urgency, WorkReport, WorkRow};
pub use prefixes::{PrefixState, PrefixUse, MIN_PREFIX_TOKENS, PrefixMemory, tracked_prefix};
use reading::Reading;
pub use speed::{PromptReading, SpeedTable};
pub use stream_times::StreamTimes;
pub use work::{PeerWork, WorkMeter};

/// Share of an unknown head that its home is taken to read: a little less than others, since another daemon may have
/// sent it there just now.
const HOME_READ_SHARE: f64 = 0.85;
/// What it is worth that a decode engine keeps the prompt's head already, as a part of the time that the head's reading
/// takes: what is handed over then pushes no other head out of its memory, and a head that is kept nowhere is read again.
const KEPT_AT_DECODE: f64 = 0.45;
/// The same for the engine where all daemons would begin to keep it.
const HOME_AT_DECODE: f64 = 0.27;
/// Part of an engine's reading that a stream which goes on there meets before its first event.
const MET_BACKLOG: f64 = 0.25;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// Expected time of a plain request that nothing is known of, in milliseconds.
const PLAIN_DEFAULT_MS: f64 = 20.0;

/// What a request asks of its answer.
#[derive(Debug, Clone, Copy)]
pub struct LatencyTargets {
    /// Time to the first event in which the answer is worth all.
    pub latency: Duration,
    /// Longest pause between two events that is in time.
    pub gap: Option<Duration>,
}

impl LatencyTargets {
    fn latency_ms(self) -> f64 {
        self.latency.as_secs_f64() * MS_PER_S
    }
}

/// A prompt that engines are chosen for.
#[derive(Debug, Clone, Copy)]
pub struct PromptRequest<'a> {
    /// The prompt.
    pub prompt: &'a Prompt,
    /// What is asked of its answer.
    pub latency_targets: LatencyTargets,
    /// What the engines of its service can do.
    pub traits: &'a EngineTraits,
    /// Behind what it waits.
    pub urgency: Urgency,
    /// Bytes of its body, which leave once for each engine that it is sent to.
    pub body_bytes: usize,
}

/// A prompt that was read at one engine and is to be continued at another.
#[derive(Debug, Clone, Copy)]
pub struct HandOver<'a> {
    /// The engine that read it.
    pub reader: &'a BackEnd,
    /// Time that its KV cache takes to another engine of the reader's zone, in milliseconds.
    pub move_ms: f64,
}

impl<'a> HandOver<'a> {
    /// A prompt of so many tokens that `reader` has read.
    #[must_use]
    pub fn of(prompt: &Prompt, reader: &'a BackEnd, traits: &EngineTraits) -> Self {
        Self {
            reader,
            move_ms: reading::move_ms(traits, prompt.input_tokens),
        }
    }

    /// The engines of the reader's zone.
    fn engines_near(self, engines: &[Arc<BackEnd>]) -> Vec<Arc<BackEnd>> {
        let near = engines
            .iter()
            .filter(|engine| engine.zone == self.reader.zone);
        near.cloned().collect()
    }

    /// What the move takes longer to this engine than to one of the reader's zone, in milliseconds.
    fn detour_ms(self, engine: &BackEnd) -> f64 {
        if engine.zone == self.reader.zone {
            0.0
        } else {
            self.move_ms * (reading::OTHER_ZONE_MOVE_FACTOR - 1.0)
        }
    }
}

/// Which engines serve a prompt.
#[derive(Debug, Clone)]
pub struct PromptPlan {
    /// Reads the prompt; none where the decode engine does.
    pub prefill: Option<Arc<BackEnd>>,
    /// Generates.
    pub decode: Arc<BackEnd>,
    /// Keeps the prompt's head, which the reader fetches instead of reading it.
    pub fetch_from: Option<Arc<BackEnd>>,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Expected time that the head takes to be fetched, in milliseconds.
    pub fetch_ms: f64,
    /// Tokens that are expected to be read.
    pub tokens_to_read: f64,
}

impl PromptPlan {
    /// A request that tells nothing of its prompt goes to this engine.
    #[must_use]
    pub const fn unknown(decode: Arc<BackEnd>) -> Self {
        Self {
            prefill: None,
            decode,
            fetch_from: None,
            expected_ms: 0.0,
            fetch_ms: 0.0,
            tokens_to_read: 0.0,
        }
    }

    /// Expected time to the first event.
    #[must_use]
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms / MS_PER_S)
    }
}

/// An engine that is about to change.
#[derive(Debug, Clone, Copy)]
struct Away {
    until: Instant,
    own: bool,
    /// Its stage then; with another it has changed, and is back.
    stage: Option<Stage>,
}

/// What choices are based on.
#[derive(Debug)]
pub struct Placement {
    /// Zone of this daemon.
    pub zone: Arc<str>,
    /// Work in progress.
    pub load: LoadTable,
    /// Failures.
    pub health: Health,
    /// What back ends announced in their answers.
    pub announcements: Announcements,
    /// Rates that back ends set for all daemons together.
    pub rate_limits: RateLimits,
    /// Rates learned from answers.
    pub speed: SpeedTable,
    /// How long streams run.
    pub streams: StreamTimes,
    /// How far expected times can be relied on.
    pub confidence: Confidence,
    /// What tenants ask for.
    pub fairness: FairShares,
    /// How often prompts come.
    pub arrivals: Arrivals,
    /// What this daemon's link takes.
    pub link: LocalLink,
    /// Prompt heads that engines are believed to keep.
    pub prefixes: PrefixMemory,
    /// Daemons that serve, this one among them.
    pub daemons: usize,
    /// Work of all daemons by service, as it was added up last.
    fleet_work: Vec<(Arc<str>, StageWork)>,
    work_added_up: Option<Instant>,
    /// Work that own requests bring.
    pub work: WorkMeter,
    /// Work that peers' requests bring.
    pub peer_work: PeerWork,
    /// Engines that are about to change, and until when they get nothing new.
    away: HashMap<Arc<str>, Away>,
    /// Ready engines by service, where choices are made among a part of them.
    ready: HashMap<Arc<str>, ReadyCounts>,
}

impl Placement {
    /// Nothing known yet.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            load: LoadTable::default(),
            health: Health::default(),
            announcements: Announcements::default(),
            rate_limits: RateLimits::default(),
            speed: SpeedTable::default(),
            streams: StreamTimes::default(),
            confidence: Confidence::default(),
            fairness: FairShares::default(),
            arrivals: Arrivals::default(),
            link: LocalLink::default(),
            prefixes: PrefixMemory::default(),
            daemons: 1,
            fleet_work: Vec::new(),
            work_added_up: None,
            work: WorkMeter::default(),
            peer_work: PeerWork::default(),
            away: HashMap::new(),
            ready: HashMap::new(),
        }
    }

    /// Tells how many engines of a service are ready, of which the candidates of a choice are a part.
    pub fn set_ready_counts(&mut self, service: &Arc<str>, ready: ReadyCounts) {
        self.ready.insert(Arc::clone(service), ready);
    }

    /// Engines of the stage among which all daemons spread the requests that go to one of these.
    fn ready_engines(&self, candidates: &[Arc<BackEnd>], stage: Stage) -> usize {
        let service = candidates.first().map(|engine| &engine.service);
        let ready = service.and_then(|service| self.ready.get(service));
        let of_stage = ready.map_or(0, |ready| match stage {
            Stage::Prefill => ready.prefill,
            Stage::Decode => ready.others,
        });
        of_stage.max(candidates.len())
    }

    /// An engine is about to change: it gets nothing new for so long. `own`: this daemon changes it, and tells peers.
    pub fn suspend_engine(&mut self, engine: &BackEnd, time: Duration, own: bool, now: Instant) {
        self.away.retain(|_id, away| away.until > now);
        let until = now + time;
        let is_known = self
            .away
            .get(&engine.id)
            .is_some_and(|away| away.until >= until && away.stage == engine.stage);
        if !is_known {
            let stage = engine.stage;
            let away = Away { until, own, stage };
            self.away.insert(Arc::clone(&engine.id), away);
        }
    }

    /// An engine that was about to change takes requests again.
    pub fn resume_engine(&mut self, id: &str) {
        self.away.remove(id);
    }

    /// Engines that this daemon is about to change, with the time that is left, for telling peers; the latest first.
    #[must_use]
    pub fn suspended_engines(&self, now: Instant) -> Vec<(Arc<str>, Duration)> {
        let mut away: Vec<(Arc<str>, Duration)> = self
            .away
            .iter()
            .filter(|(_id, away)| away.own && away.until > now)
            .map(|(id, away)| (Arc::clone(id), away.until - now))
            .collect();
        away.sort_unstable_by_key(|(_id, left)| std::cmp::Reverse(*left));
        away
    }

    fn is_away(&self, engine: &BackEnd, now: Instant) -> bool {
        self.away
            .get(&engine.id)
            .is_some_and(|away| away.until > now && away.stage == engine.stage)
    }

    /// Chooses a plain back end, or an engine for a request that tells nothing of its prompt.
    pub fn choose_plain(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        let candidates = self.usable(ready, tried, now, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        self.cheapest(&candidates, now, random, |back_end| {
            let ahead = self.load.requests(&back_end.id);
            let expected = self
                .speed
                .plain_ms(&back_end.id)
                .unwrap_or(PLAIN_DEFAULT_MS);
            Estimate {
                time_ms: expected * (1.0 + ahead / f64::from(back_end.slots.max(1))),
                burden_ms: 0.0,
            }
        })
        .map(|choice| choice.back_end)
    }

    /// Chooses the engines for a prompt.
    pub fn plan_prompt(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        request: &PromptRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<PromptPlan> {
        let prompt = request.prompt;
        let keepers = self.keepers(ready, prompt, now);
        let decoders = self.usable(ready, tried, now, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        let prefills = self.usable(ready, tried, now, |back_end| {
            back_end.stage == Some(Stage::Prefill)
        });
        let reading = Reading {
            placement: self,
            request,
            keepers: &keepers,
            excess_reading: self.excess_reading(&decoders, request.latency_targets),
            link_wait_ms: self.link.wait_ms(now),
            direct_per_ms: self.reads_per_ms(&decoders, Stage::Decode),
            apart_per_ms: self.reads_per_ms(&prefills, Stage::Prefill),
        };
        let decoders_home = reading.home(&decoders);
        let direct = self.cheapest(&decoders, now, random, |back_end| {
            reading.direct(back_end, decoders_home)
        })?;
        let prefills_home = reading.home(&prefills);
        let reader = self.cheapest(&prefills, now, random, |back_end| {
            reading.apart(back_end, prefills_home)
        });
        let Some(reader) = reader else {
            return Some(reading.plan(None, direct.back_end, decoders_home, direct.time_ms));
        };
        let decoder = self.cheapest_decoder(&decoders, Some(prompt), None, now, random)?;
        if reader.cost_ms + decoder.cost_ms >= direct.cost_ms {
            return Some(reading.plan(None, direct.back_end, decoders_home, direct.time_ms));
        }
        let time_ms = reader.time_ms + decoder.time_ms;
        let prefill = Some(reader.back_end);
        Some(reading.plan(prefill, decoder.back_end, prefills_home, time_ms))
    }

    /// The engine where prompts with this head meet. One that limits the rate of requests is none where another is left: it takes now one and
    /// now none, and each change of the home has the head read once more.
    fn home<'a>(&self, engines: &'a [Arc<BackEnd>], head: u64) -> Option<&'a Arc<BackEnd>> {
        let unlimited = engines
            .iter()
            .filter(|engine| self.rate_limits.limit(engine).is_none());
        prefixes::home(unlimited, head).or_else(|| prefixes::home(engines.iter(), head))
    }

    /// Engines that are believed to keep the prompt's head.
    fn keepers(&self, ready: &[Arc<BackEnd>], prompt: &Prompt, now: Instant) -> Vec<Arc<BackEnd>> {
        let Some(head) = prefixes::tracked_prefix(prompt) else {
            return Vec::new();
        };
        ready
            .iter()
            .filter(|engine| self.prefixes.state(&engine.id, head, now) == Some(PrefixState::Cached))
            .filter(|engine| self.may_hand_on(engine, now))
            .cloned()
            .collect()
    }

    /// Whether another engine may fetch what this one keeps.
    fn may_hand_on(&self, engine: &BackEnd, now: Instant) -> bool {
        !self.health.is_ejected(&engine.id) && !self.is_closed(engine, now)
    }

    /// Whether the prompt's head is being read for another request, and kept nowhere yet: an engine that reads two
    /// prompts with one head at a time reads it twice.
    #[must_use]
    pub fn is_prefix_pending(&self, ready: &[Arc<BackEnd>], prompt: &Prompt, now: Instant) -> bool {
        let Some(head) = prefixes::tracked_prefix(prompt) else {
            return false;
        };
        let states = ready
            .iter()
            .filter(|engine| self.may_hand_on(engine, now))
            .filter_map(|engine| self.prefixes.state(&engine.id, head, now));
        let mut is_coming = false;
        for state in states {
            match state {
                PrefixState::Cached => return false,
                PrefixState::Pending => is_coming = true,
            }
        }
        is_coming
    }

    /// Chooses the engine that goes on from a handle.
    pub fn choose_decode(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        prompt: Option<&Prompt>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        self.choose_decode_after_prefill(ready, tried, prompt, None, now, random)
    }

    /// The same where it is known which engine holds what is moved.
    pub fn choose_decode_after_prefill(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        prompt: Option<&Prompt>,
        hand_over: Option<HandOver<'_>>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        let decoders = self.usable(ready, tried, now, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        self.cheapest_decoder(&decoders, prompt, hand_over, now, random)
            .map(|choice| choice.back_end)
    }

    fn cheapest_decoder(
        &self,
        decoders: &[Arc<BackEnd>],
        prompt: Option<&Prompt>,
        hand_over: Option<HandOver<'_>>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let rate = self.speed.decode_tokens_per_ms();
        let head = prompt.and_then(prefixes::tracked_prefix);
        // All daemons know alike where a prefix is read, and so where it is handed over to.
        let near_reader = hand_over.map(|hand_over| hand_over.engines_near(decoders));
        let rivals = near_reader.filter(|near| !near.is_empty());
        let home = head.and_then(|head| self.home(rivals.as_deref().unwrap_or(decoders), head));
        let head_ms = prompt.map_or(0.0, |prompt| self.head_reading_ms(prompt));
        self.cheapest(decoders, now, random, |back_end| {
            let time_ms = self.slot_wait_ms(back_end, Urgency::InTime)
                + self.speed.message_ms()
                + hand_over.map_or(0.0, |hand_over| hand_over.detour_ms(back_end))
                + self.backlog_ms(back_end, rate, Urgency::InTime) * MET_BACKLOG;
            let missing = match head {
                None => 0.0,
                Some(head) if self.prefixes.state(&back_end.id, head, now).is_some() => 0.0,
                Some(_) if home.is_some_and(|home| home.id == back_end.id) => {
                    KEPT_AT_DECODE - HOME_AT_DECODE
                }
                Some(_) => KEPT_AT_DECODE,
            };
            Estimate {
                time_ms,
                burden_ms: missing * head_ms,
            }
        })
    }

    /// Prompts that come to each of these engines to be read, in a millisecond. Peers send about as many each.
    #[expect(clippy::cast_precision_loss, reason = "some ten thousand")]
    fn reads_per_ms(&self, engines: &[Arc<BackEnd>], stage: Stage) -> f64 {
        let Some(first) = engines.first() else {
            return 0.0;
        };
        let of_all = self.arrivals.per_ms(&first.service, stage) * self.daemons as f64;
        of_all / self.ready_engines(engines, stage) as f64
    }

    /// Time that a prefill engine takes to read the prompt's shared head.
    fn head_reading_ms(&self, prompt: &Prompt) -> f64 {
        f64::from(prompt.shared_tokens()) / self.speed.prefill_tokens_per_ms()
    }
}
