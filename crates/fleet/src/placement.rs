//! Selects back ends for requests by their expected latency.

mod arrivals;
mod confidence;
mod costs;
mod decoding;
mod fairness;
mod gap_line;
mod gap_risk;
mod idle_connections;
mod learning;
mod link;
mod load;
mod metering;
mod plan_engines;
mod prefixes;
mod prompt_times;
mod reading;
mod request;
mod speed;
mod stream_times;
mod work;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::announcements::Announcements;
use crate::configuration::Stage;
use crate::directory::{BackEnd, Incarnation, ReadyCounts};
use crate::health::Health;
use crate::profiles::Profiles;
use crate::prompt::Prompt;
use crate::rate_limits::RateLimits;
use crate::stages::StageWork;

pub use arrivals::Arrivals;
pub use confidence::Confidence;
use costs::{Choice, Estimate};
pub use costs::{NextRateToken, ShortSilence};
use decoding::{DecodeEstimator, MIN_GAPS_TO_EXPLAIN};
pub use decoding::{FastestEngine, StreamPlacement};
pub use fairness::{FairShares, OfferedRequest};
pub use gap_risk::{GapForecast, StreamNeeds};
pub use idle_connections::IdleConnections;
pub use learning::PromptTime;
pub use link::LocalLink;
pub use load::{LoadTable, Outstanding, Urgency, WorkReport, WorkRow};
use plan_engines::{PlanEngines, PlanWithCost};
pub use prefixes::{MIN_PREFIX_TOKENS, PrefixMemory, PrefixState, PrefixUse, tracked_prefix};
pub use prompt_times::{PromptDuration, PromptTimes};
use reading::PrefillEstimator;
pub use request::{DecodeRequest, HandOver, LatencyTargets, PromptPlan, PromptRequest};
pub use speed::{PromptReading, SpeedTable};
pub use stream_times::StreamTimes;
pub(crate) use work::half_life_decay;
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

/// Period during which an engine that is about to change its stage gets no new requests.
#[derive(Debug, Clone, Copy)]
struct Suspension {
    until: Instant,
    own: bool,
    /// Stage at the time of the suspension. Once the engine reports another stage, it has changed
    /// and the suspension no longer applies.
    stage: Option<Stage>,
    /// Incarnation that is about to change.
    incarnation: Incarnation,
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
    /// Back ends that can be reached without opening a connection.
    pub idle_connections: IdleConnections,
    /// Times that prefill engines need for prompts.
    pub prompt_times: PromptTimes,
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
            arrivals: Arrivals::default(),
            link: LocalLink::default(),
            prefixes: PrefixMemory::default(),
            daemons: 1,
            fleet_work: Vec::new(),
            fleet_work_updated_at: None,
            idle_connections: IdleConnections::default(),
            prompt_times: PromptTimes::default(),
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
            suspension.until >= until && self.applies(suspension, engine)
        });
        if !is_known {
            let stage = engine.stage;
            let incarnation = engine.incarnation;
            let suspension = Suspension {
                until,
                own,
                stage,
                incarnation,
            };
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
            .is_some_and(|suspension| suspension.until > now && self.applies(suspension, engine))
    }

    /// Whether the suspension is that of the engine as it is now. Where profiles are used,
    /// suspensions last until a change is overdue, and a new incarnation knows nothing of its order.
    fn applies(&self, suspension: &Suspension, engine: &BackEnd) -> bool {
        let is_same_run =
            suspension.incarnation == engine.incarnation || !self.profiles.is_enabled();
        suspension.stage == engine.stage && is_same_run
    }

    /// Chooses a plain back end, or an engine for a request that does not describe its prompt.
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
            let expected = self.plain_ms(back_end, now);
            Estimate {
                time_ms: expected * (1.0 + ahead / f64::from(back_end.slots.max(1))),
                burden_ms: 0.0,
            }
        })
        .map(|choice| choice.back_end)
    }

    /// Chooses the engines for a prompt: either one decode engine for everything, or a prefill
    /// engine followed by a decode engine, whichever is expected to cost less. All engines of a plan
    /// run the same software, because the KV cache of one version doesn't fit another.
    pub fn plan_prompt(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        request: &PromptRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<PromptPlan> {
        let engines = PlanEngines {
            holders: self.holders(ready, request.prompt, now),
            decoders: self.usable(ready, tried, now, |back_end| {
                back_end.stage != Some(Stage::Prefill)
            }),
            prefills: self.usable(ready, tried, now, |back_end| {
                back_end.stage == Some(Stage::Prefill)
            }),
        };
        let plans = engines.by_version().into_iter();
        let plans = plans.filter_map(|engines| self.plan_among(&engines, request, now, random));
        plans
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
            .map(|cheapest| cheapest.plan)
    }

    /// Plans a prompt among engines that run the same software.
    fn plan_among(
        &self,
        engines: &PlanEngines,
        request: &PromptRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<PlanWithCost> {
        let PlanEngines {
            holders,
            decoders,
            prefills,
        } = engines;
        let reading = PrefillEstimator {
            placement: self,
            request,
            holders,
            excess_reading: self.excess_reading(decoders, request.latency_targets),
            link_wait_ms: self.link.wait_ms(now),
            decoding: self.decode_estimator(request.stream, now),
            decode_arrivals_per_ms: self.arrivals_per_engine_per_ms(decoders, Stage::Decode),
            prefill_arrivals_per_ms: self.arrivals_per_engine_per_ms(prefills, Stage::Prefill),
            now,
        };
        let preferred_decoder = reading.preferred_engine(decoders);
        let direct = self.cheapest(decoders, now, random, |back_end| {
            reading.estimate_at_decode(back_end, preferred_decoder)
        })?;
        let preferred_prefill = reading.preferred_engine(prefills);
        let reader = self.cheapest(prefills, now, random, |back_end| {
            reading.estimate_at_prefill(back_end, preferred_prefill)
        });
        let direct_plan = |direct: Choice| PlanWithCost {
            cost_ms: direct.cost_ms,
            plan: reading.plan(None, direct.back_end, preferred_decoder, direct.time_ms),
        };
        let Some(reader) = reader else {
            return Some(direct_plan(direct));
        };
        let decode_request = DecodeRequest {
            prompt: Some(request.prompt),
            hand_over: None,
            stream: request.stream,
        };
        let decoder = self.cheapest_decoder(decoders, &decode_request, now, random)?;
        let time_ms = reader.time_ms + decoder.time_ms;
        let cost_ms = reader.cost_ms + decoder.cost_ms;
        let spares_streams =
            reading.should_spare_streams(&direct.back_end, preferred_decoder, time_ms);
        if cost_ms >= direct.cost_ms && !spares_streams {
            return Some(direct_plan(direct));
        }
        let prefill = Some(reader.back_end);
        Some(PlanWithCost {
            cost_ms,
            plan: reading.plan(prefill, decoder.back_end, preferred_prefill, time_ms),
        })
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
        let request = DecodeRequest {
            prompt,
            ..DecodeRequest::default()
        };
        self.choose_decode_after_prefill(ready, tried, &request, now, random)
    }

    /// Like [`Self::choose_decode`], for a known engine that holds the KV cache.
    pub fn choose_decode_after_prefill(
        &self,
        ready: &[Arc<BackEnd>],
        tried: &[Arc<str>],
        request: &DecodeRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Arc<BackEnd>> {
        let decoders = self.usable(ready, tried, now, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        self.cheapest_decoder(&decoders, request, now, random)
            .map(|choice| choice.back_end)
    }

    /// Explains why a stream was placed at `chosen`; `None` while the gaps of streams are unknown or
    /// profiles are not used.
    #[must_use]
    pub fn explain_stream(
        &self,
        chosen: &BackEnd,
        ready: &[Arc<BackEnd>],
        stream: Option<StreamNeeds>,
        now: Instant,
    ) -> Option<StreamPlacement> {
        let stream = stream.filter(|stream| stream.gaps >= MIN_GAPS_TO_EXPLAIN);
        if !self.profiles.is_enabled() || stream.is_none() {
            return None;
        }
        let decoders = self.usable(ready, &[], now, |back_end| {
            back_end.stage != Some(Stage::Prefill)
        });
        self.decode_estimator(stream, now)
            .explain(chosen, &decoders)
    }

    fn decode_estimator(&self, stream: Option<StreamNeeds>, now: Instant) -> DecodeEstimator<'_> {
        DecodeEstimator {
            placement: self,
            stream,
            now,
        }
    }

    fn cheapest_decoder(
        &self,
        decoders: &[Arc<BackEnd>],
        request: &DecodeRequest<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let DecodeRequest {
            prompt, hand_over, ..
        } = *request;
        let decoding = self.decode_estimator(request.stream, now);
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
            let time_ms = self.slot_wait_ms(back_end, Urgency::InTime, now)
                + self.speed.message_overhead_ms()
                + hand_over.map_or(0.0, |hand_over| hand_over.extra_transfer_ms(back_end))
                + self.backlog_ms(back_end, rate, Urgency::InTime, now) * ENCOUNTERED_BACKLOG_SHARE;
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
                burden_ms: miss_share * prefix_ms + decoding.stream_burden_ms(back_end),
            }
        })
    }

    /// Prompts per millisecond that arrive at each of these engines for prefill. Assumes that every
    /// daemon sends about as many as this one.
    #[expect(
        clippy::cast_precision_loss,
        reason = "at most tens of thousands of daemons and engines"
    )]
    fn arrivals_per_engine_per_ms(&self, engines: &[Arc<BackEnd>], stage: Stage) -> f64 {
        let Some(first) = engines.first() else {
            return 0.0;
        };
        let fleet_per_ms = self.arrivals.per_ms(&first.service, stage) * self.daemons as f64;
        fleet_per_ms / self.ready_engines(engines, stage) as f64
    }

    /// Time a prefill engine takes to process the prompt's shared prefix, in milliseconds.
    fn prefix_reading_ms(&self, prompt: &Prompt) -> f64 {
        f64::from(prompt.shared_tokens()) / self.speed.prefill_tokens_per_ms()
    }
}
