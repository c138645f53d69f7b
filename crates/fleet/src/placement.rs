//! Selects back ends for requests by their expected latency.

mod arrivals;
mod confidence;
mod costs;
mod fairness;
mod link;
mod load;
mod metering;
mod peer_averages;
mod plain_choice;
mod prefixes;
mod reading;
mod sharing;
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
use crate::profiles::Profiles;
use crate::prompt::Prompt;
use crate::rate_limits::RateLimits;
use crate::scarcity::returns::Returns;
use crate::scarcity::room::Rooms;
use crate::stages::StageWork;

pub use arrivals::Arrivals;
pub use confidence::Confidence;
pub use costs::NextRateToken;
use costs::{Choice, Estimate};
pub use fairness::{FairShares, OfferedRequest, ShareInputs};
pub use link::LocalLink;
pub use load::{LoadTable, Outstanding, Urgency, WorkReport, WorkRow};
pub use plain_choice::{PlainClaim, PlainRequest};
pub use prefixes::{MIN_PREFIX_TOKENS, PrefixMemory, PrefixState, PrefixUse, tracked_prefix};
use reading::PrefillEstimator;
pub use speed::{PromptReading, SpeedTable};
pub use stream_times::StreamTimes;
pub use work::{PeerWork, WorkMeter};

/// Share of an uncached prefix that its preferred engine is expected to process. Below 1 because
/// another daemon may have sent the prefix there a moment ago.
const PREFERRED_ENGINE_READ_SHARE: f64 = 0.85;
/// Cost of decoding at an engine that does not cache the prompt's prefix, as a share of the
/// prefix's prefill time: the transferred KV cache may evict another prefix there.
const DECODE_MISS_BURDEN_SHARE: f64 = 0.45;
/// Reduction of [`DECODE_MISS_BURDEN_SHARE`] at the prefix's preferred engine, so that all daemons
/// begin to cache a new prefix at the same engine.
const PREFERRED_DECODER_DISCOUNT_SHARE: f64 = 0.27;
/// Share of a decode engine's prefill backlog that delays the first event of a stream handed over
/// to it.
const ENCOUNTERED_BACKLOG_SHARE: f64 = 0.25;
const MS_PER_S: f64 = 1000.0;
/// Expected latency of a plain back end that has not answered yet, in milliseconds.
const DEFAULT_PLAIN_MS: f64 = 20.0;

/// Latency targets of a request.
#[derive(Debug, Clone, Copy)]
pub struct LatencyTargets {
    /// Target time to the first event.
    pub latency: Duration,
    /// Longest acceptable gap between two events, if the route sets one.
    pub gap: Option<Duration>,
}

impl LatencyTargets {
    fn latency_ms(self) -> f64 {
        self.latency.as_secs_f64() * MS_PER_S
    }
}

/// Input of [`Placement::plan_prompt`].
#[derive(Debug, Clone, Copy)]
pub struct PromptRequest<'a> {
    /// Prompt to place.
    pub prompt: &'a Prompt,
    /// Latency targets of the answer.
    pub latency_targets: LatencyTargets,
    /// Properties of the service's engines.
    pub traits: &'a EngineTraits,
    /// Whether the request can still meet its target; decides which queued work it waits for.
    pub urgency: Urgency,
    /// Size of the request body, which is sent once to each chosen engine.
    pub body_bytes: usize,
}

/// A prompt that one engine has processed and another is to continue.
#[derive(Debug, Clone, Copy)]
pub struct HandOver<'a> {
    /// Engine that processed the prompt and holds its KV cache.
    pub reader: &'a BackEnd,
    /// Transfer time of the prompt's KV cache to another engine in the reader's zone, in
    /// milliseconds.
    pub transfer_ms: f64,
}

impl<'a> HandOver<'a> {
    /// Describes the handover of `prompt` after `reader` has processed it.
    #[must_use]
    pub fn of(prompt: &Prompt, reader: &'a BackEnd, traits: &EngineTraits) -> Self {
        Self {
            reader,
            transfer_ms: reading::transfer_ms(traits, prompt.input_tokens),
        }
    }

    fn engines_in_reader_zone(self, engines: &[Arc<BackEnd>]) -> Vec<Arc<BackEnd>> {
        let in_zone = engines
            .iter()
            .filter(|engine| engine.zone == self.reader.zone);
        in_zone.cloned().collect()
    }

    /// Additional transfer time to `engine` compared with an engine in the reader's zone, in
    /// milliseconds.
    fn extra_transfer_ms(self, engine: &BackEnd) -> f64 {
        if engine.zone == self.reader.zone {
            0.0
        } else {
            self.transfer_ms * (reading::OTHER_ZONE_TRANSFER_FACTOR - 1.0)
        }
    }
}

/// Engines chosen for a prompt.
#[derive(Debug, Clone)]
pub struct PromptPlan {
    /// Prefill engine; `None` if the decode engine processes the prompt itself.
    pub prefill: Option<Arc<BackEnd>>,
    /// Decode engine.
    pub decode: Arc<BackEnd>,
    /// Engine from which the reader fetches the cached prefix instead of processing it.
    pub fetch_from: Option<Arc<BackEnd>>,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Expected time to fetch the prefix, in milliseconds.
    pub fetch_ms: f64,
    /// Expected number of prompt tokens to process.
    pub tokens_to_read: f64,
}

impl PromptPlan {
    /// Plan for a request that does not describe its prompt.
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

/// Period during which an engine that is about to change its stage gets no new requests.
#[derive(Debug, Clone, Copy)]
struct Suspension {
    until: Instant,
    own: bool,
    /// Stage at the time of the suspension. Once the engine reports another stage, it has changed
    /// and the suspension no longer applies.
    stage: Option<Stage>,
}

/// State on which placement decisions are based.
#[derive(Debug)]
pub struct Placement {
    /// Zone of this daemon.
    pub zone: Arc<str>,
    /// Outstanding work per back end.
    pub load: LoadTable,
    /// Failures and ejections of back ends.
    pub health: Health,
    /// Draining and backoff announcements in answers of back ends.
    pub announcements: Announcements,
    /// Rate limits that back ends set for all daemons together.
    pub rate_limits: RateLimits,
    /// Processing speeds learned from answers.
    pub speed: SpeedTable,
    /// Speed of each back end compared with the others of its service.
    pub profiles: Profiles,
    /// Durations and event gaps of streams.
    pub streams: StreamTimes,
    /// Reliability of latency estimates.
    pub confidence: Confidence,
    /// Fair sharing between tenants.
    pub fairness: FairShares,
    /// Whether room is shared out among priorities and tenants over all daemons.
    is_scarce: bool,
    /// Times of runs at plain services, from which their room follows.
    pub rooms: Rooms,
    /// Times promised to refused callers.
    pub returns: Returns,
    /// Arrival rates of prompts.
    pub arrivals: Arrivals,
    /// Send queue of this daemon's network link.
    pub link: LocalLink,
    /// Prompt prefixes that engines are assumed to cache.
    pub prefixes: PrefixMemory,
    /// Number of serving daemons, including this one.
    pub daemons: usize,
    /// Work of all daemons per service, as of `fleet_work_updated_at`.
    fleet_work: Vec<(Arc<str>, StageWork)>,
    fleet_work_updated_at: Option<Instant>,
    /// Work caused by this daemon's requests.
    pub work: WorkMeter,
    /// Work caused by the requests of peers.
    pub peer_work: PeerWork,
    /// Suspended engines by identifier.
    suspensions: HashMap<Arc<str>, Suspension>,
    /// Ready engines per service; candidate lists may hold only some of them.
    ready: HashMap<Arc<str>, ReadyCounts>,
}

impl Placement {
    /// Creates an empty state for a daemon in `zone`.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            load: LoadTable::default(),
            health: Health::default(),
            announcements: Announcements::default(),
            rate_limits: RateLimits::default(),
            speed: SpeedTable::default(),
            profiles: Profiles::default(),
            streams: StreamTimes::default(),
            confidence: Confidence::default(),
            fairness: FairShares::default(),
            is_scarce: false,
            rooms: Rooms::default(),
            returns: Returns::default(),
            arrivals: Arrivals::default(),
            link: LocalLink::default(),
            prefixes: PrefixMemory::default(),
            daemons: 1,
            fleet_work: Vec::new(),
            fleet_work_updated_at: None,
            work: WorkMeter::default(),
            peer_work: PeerWork::default(),
            suspensions: HashMap::new(),
            ready: HashMap::new(),
        }
    }

    /// Sets how many engines of a service are ready in total. The candidates passed to a decision
    /// may be a subset of these.
    pub fn set_ready_counts(&mut self, service: &Arc<str>, ready: ReadyCounts) {
        self.ready.insert(Arc::clone(service), ready);
    }

    /// Number of engines of `stage` among which the fleet spreads the requests that may go to
    /// `candidates`.
    fn ready_engines(&self, candidates: &[Arc<BackEnd>], stage: Stage) -> usize {
        let service = candidates.first().map(|engine| &engine.service);
        let ready = service.and_then(|service| self.ready.get(service));
        let of_stage = ready.map_or(0, |ready| match stage {
            Stage::Prefill => ready.prefill,
            Stage::Decode => ready.others,
        });
        of_stage.max(candidates.len())
    }

    /// Suspends new requests to an engine that is about to change its stage. `own` marks a change
    /// made by this daemon, which must tell its peers. A shorter suspension does not replace a
    /// longer one.
    pub fn suspend_engine(&mut self, engine: &BackEnd, time: Duration, own: bool, now: Instant) {
        self.suspensions
            .retain(|_id, suspension| suspension.until > now);
        let until = now + time;
        let is_known = self.suspensions.get(&engine.id).is_some_and(|suspension| {
            suspension.until >= until && suspension.stage == engine.stage
        });
        if !is_known {
            let stage = engine.stage;
            let suspension = Suspension { until, own, stage };
            self.suspensions.insert(Arc::clone(&engine.id), suspension);
        }
    }

    /// Ends the suspension of an engine.
    pub fn resume_engine(&mut self, id: &str) {
        self.suspensions.remove(id);
    }

    /// Engines that this daemon has suspended, with the remaining time, to be published to peers.
    /// Sorted by remaining time, longest first.
    #[must_use]
    pub fn suspended_engines(&self, now: Instant) -> Vec<(Arc<str>, Duration)> {
        let mut suspended: Vec<(Arc<str>, Duration)> = self
            .suspensions
            .iter()
            .filter(|(_id, suspension)| suspension.own && suspension.until > now)
            .map(|(id, suspension)| (Arc::clone(id), suspension.until - now))
            .collect();
        suspended.sort_unstable_by_key(|(_id, remaining)| std::cmp::Reverse(*remaining));
        suspended
    }

    fn is_suspended(&self, engine: &BackEnd, now: Instant) -> bool {
        self.suspensions
            .get(&engine.id)
            .is_some_and(|suspension| suspension.until > now && suspension.stage == engine.stage)
    }

    /// Chooses a plain back end, or an engine for a request that does not describe its prompt.
    pub fn choose_plain(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        if self.is_scarce {
            return self.choose_plain_by_room(ready, tried, now, random);
        }
        let candidates = self.usable(ready, tried, now, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        self.cheapest(&candidates, now, random, |back_end| {
            let ahead = self.load.requests(&back_end.id);
            let expected = self
                .speed
                .plain_ms(&back_end.id)
                .unwrap_or(DEFAULT_PLAIN_MS);
            Estimate {
                time_ms: expected * (1.0 + ahead / f64::from(back_end.slots.max(1))),
                burden_ms: 0.0,
            }
        })
        .map(|choice| choice.back_end)
    }

    /// Chooses the engines for a prompt: either one decode engine for everything, or a prefill
    /// engine followed by a decode engine, whichever is expected to cost less.
    pub fn plan_prompt(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        request: &PromptRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<PromptPlan> {
        let prompt = request.prompt;
        let holders = self.holders(ready, prompt, now);
        let decoders = self.usable(ready, tried, now, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        let prefills = self.usable(ready, tried, now, |back_end| {
            back_end.stage == Some(Stage::Prefill)
        });
        let reading = PrefillEstimator {
            placement: self,
            request,
            holders: &holders,
            excess_reading: self.excess_reading(&decoders, request.latency_targets),
            link_wait_ms: self.link.wait_ms(now),
            decode_arrivals_per_ms: self.arrivals_per_engine_per_ms(&decoders, Stage::Decode),
            prefill_arrivals_per_ms: self.arrivals_per_engine_per_ms(&prefills, Stage::Prefill),
        };
        let preferred_decoder = reading.preferred_engine(&decoders);
        let direct = self.cheapest(&decoders, now, random, |back_end| {
            reading.estimate_at_decode(back_end, preferred_decoder)
        })?;
        let preferred_prefill = reading.preferred_engine(&prefills);
        let reader = self.cheapest(&prefills, now, random, |back_end| {
            reading.estimate_at_prefill(back_end, preferred_prefill)
        });
        let Some(reader) = reader else {
            return Some(reading.plan(None, direct.back_end, preferred_decoder, direct.time_ms));
        };
        let decoder = self.cheapest_decoder(&decoders, Some(prompt), None, now, random)?;
        if reader.cost_ms + decoder.cost_ms >= direct.cost_ms {
            return Some(reading.plan(None, direct.back_end, preferred_decoder, direct.time_ms));
        }
        let time_ms = reader.time_ms + decoder.time_ms;
        let prefill = Some(reader.back_end);
        Some(reading.plan(prefill, decoder.back_end, preferred_prefill, time_ms))
    }

    /// Engine on which all daemons place a prefix that is not cached yet. Skips rate-limited
    /// engines if possible: their availability changes from request to request, and each switch to
    /// another engine processes the prefix again.
    fn preferred_engine<'a>(
        &self,
        engines: &'a [Arc<BackEnd>],
        prefix: u64,
    ) -> Option<&'a Arc<BackEnd>> {
        let unlimited = engines
            .iter()
            .filter(|engine| self.rate_limits.limit(engine).is_none());
        prefixes::preferred_engine(unlimited, prefix)
            .or_else(|| prefixes::preferred_engine(engines.iter(), prefix))
    }

    /// Engines that are assumed to cache the prompt's prefix and from which it may be fetched.
    fn holders(&self, ready: &[Arc<BackEnd>], prompt: &Prompt, now: Instant) -> Vec<Arc<BackEnd>> {
        let Some(prefix) = prefixes::tracked_prefix(prompt) else {
            return Vec::new();
        };
        ready
            .iter()
            .filter(|engine| {
                self.prefixes.state(&engine.id, prefix, now) == Some(PrefixState::Cached)
            })
            .filter(|engine| self.may_serve_prefix(engine, now))
            .cloned()
            .collect()
    }

    /// Whether other engines may fetch cached prefixes from this one.
    fn may_serve_prefix(&self, engine: &BackEnd, now: Instant) -> bool {
        !self.health.is_ejected(&engine.id) && !self.is_closed(engine, now)
    }

    /// Whether the prompt's prefix is being processed for another request and not cached anywhere
    /// yet. Callers wait in that case, because an engine that processes two prompts with the same
    /// prefix at a time computes it twice.
    #[must_use]
    pub fn is_prefix_pending(&self, ready: &[Arc<BackEnd>], prompt: &Prompt, now: Instant) -> bool {
        let Some(prefix) = prefixes::tracked_prefix(prompt) else {
            return false;
        };
        let states = ready
            .iter()
            .filter(|engine| self.may_serve_prefix(engine, now))
            .filter_map(|engine| self.prefixes.state(&engine.id, prefix, now));
        let mut is_pending = false;
        for state in states {
            match state {
                PrefixState::Cached => return false,
                PrefixState::Pending => is_pending = true,
            }
        }
        is_pending
    }

    /// Chooses the decode engine for a prompt that has been processed elsewhere.
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

    /// Like [`Self::choose_decode`], for a known engine that holds the KV cache.
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
        let prefix = prompt.and_then(prefixes::tracked_prefix);
        // All daemons compute the same preferred engine, so they also hand over to the same one.
        let in_reader_zone = hand_over.map(|hand_over| hand_over.engines_in_reader_zone(decoders));
        let eligible = in_reader_zone.filter(|in_zone| !in_zone.is_empty());
        let preferred_engine = prefix.and_then(|prefix| {
            self.preferred_engine(eligible.as_deref().unwrap_or(decoders), prefix)
        });
        let prefix_ms = prompt.map_or(0.0, |prompt| self.prefix_reading_ms(prompt));
        self.cheapest(decoders, now, random, |back_end| {
            let time_ms = self.slot_wait_ms(back_end, Urgency::InTime)
                + self.speed.message_overhead_ms()
                + hand_over.map_or(0.0, |hand_over| hand_over.extra_transfer_ms(back_end))
                + self.backlog_ms(back_end, rate, Urgency::InTime) * ENCOUNTERED_BACKLOG_SHARE;
            let miss_share = match prefix {
                None => 0.0,
                Some(prefix) if self.prefixes.state(&back_end.id, prefix, now).is_some() => 0.0,
                Some(_)
                    if preferred_engine
                        .is_some_and(|preferred_engine| preferred_engine.id == back_end.id) =>
                {
                    DECODE_MISS_BURDEN_SHARE - PREFERRED_DECODER_DISCOUNT_SHARE
                }
                Some(_) => DECODE_MISS_BURDEN_SHARE,
            };
            Estimate {
                time_ms,
                burden_ms: miss_share * prefix_ms,
            }
        })
    }

    /// Time a prefill engine takes to process the prompt's shared prefix, in milliseconds.
    fn prefix_reading_ms(&self, prompt: &Prompt) -> f64 {
        f64::from(prompt.shared_tokens()) / self.speed.prefill_tokens_per_ms()
    }
}
