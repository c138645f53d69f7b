//! Router of one daemon: tracks back ends and chooses between them.

use indexmap::IndexMap;

use super::outlier::{Eligibility, OutlierDetector, OutlierGroup};
use super::placement::{Placement, RouteRequest, RoutingRefusal};
use super::prefix_index::{PrefixChange, PrefixIndex};
use super::rates::{ClassRates, EngineRates};
use super::score::{CellMeans, Scorer, batch_factor};
use super::settings::RouterSettings;
use super::view::{BackEndKind, BackEndState, BackEndView, OwnSend};
use crate::load::LoadDigest;
use crate::random::{SeededRandom, seeded};
use crate::{Incarnation, MachineId, RequestId, Timestamp};

mod choice;
mod eligible;

/// Part of a request that was sent to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendStage {
    /// Prefill and decode, or a request to a plain back end.
    Whole,
    /// Prefill only, followed by a handover.
    Prefill,
    /// Decode only, from a KV cache that was handed over.
    Decode,
}

/// A request that was sent to a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// The request.
    pub request: RequestId,
    /// The back end.
    pub back_end: MachineId,
    /// The part of the request that was sent.
    pub stage: SendStage,
    /// Number of prompt tokens; 0 for a plain back end.
    pub prompt_tokens: u32,
    /// Hashes of the prompt blocks, as in [`RouteRequest`].
    pub prefix_blocks: Vec<u64>,
    /// Priority level of the request.
    pub priority: u8,
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// With a complete answer.
    Succeeded {
        /// Number of generated tokens; 0 for a plain back end.
        output_tokens: u32,
        /// Prompt tokens that the engine found in its prefix cache, if reported.
        cached_tokens: Option<u32>,
    },
    /// With an error, a timeout or a lost connection.
    Failed,
    /// Without information on the back end's health: cancelled, or refused without being run.
    Neutral,
}

/// Input of [`Router::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingEvent {
    /// A back end was added or changed.
    BackEnd(BackEndView),
    /// A back end was removed.
    Removed(MachineId),
    /// A back end started or stopped draining.
    Draining {
        /// The back end.
        back_end: MachineId,
        /// Whether it is draining and gets no new work.
        draining: bool,
    },
    /// A load digest arrived.
    Digest(LoadDigest),
    /// An event of an engine's prefix cache arrived.
    CacheChanged {
        /// The engine.
        engine: MachineId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Sequence number of the event.
        sequence: u64,
        /// The change of the cache.
        change: PrefixChange,
    },
    /// A request was sent.
    Sent(Sent),
    /// The first token, or the handle of a finished prefill, arrived.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The back end.
        back_end: MachineId,
    },
    /// A send ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The back end.
        back_end: MachineId,
        /// How the send ended.
        outcome: SendOutcome,
    },
}

/// Chooses back ends for one daemon.
#[derive(Debug, Clone)]
pub struct Router {
    settings: RouterSettings,
    back_ends: IndexMap<MachineId, BackEndState>,
    outliers: OutlierDetector,
    index: PrefixIndex,
    class_rates: ClassRates,
    random: SeededRandom,
}

impl Router {
    /// Creates a router without back ends.
    #[must_use]
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            back_ends: IndexMap::new(),
            outliers: OutlierDetector::new(settings.outlier),
            index: PrefixIndex::new(settings.prefix_index),
            class_rates: ClassRates::new(EngineRates::assumed(&settings)),
            random: seeded(seed, "routing"),
            settings,
        }
    }

    /// Handles an event. If it ejects a back end, returns the end of the ejection.
    pub fn handle(&mut self, now: Timestamp, event: RoutingEvent) -> Option<Timestamp> {
        match event {
            RoutingEvent::BackEnd(view) => self.take_view(view),
            RoutingEvent::Removed(back_end) => self.remove(back_end),
            RoutingEvent::Draining { back_end, draining } => {
                if let Some(state) = self.back_ends.get_mut(&back_end) {
                    state.view.draining = draining;
                }
            }
            RoutingEvent::Digest(digest) => self.take_digest(now, digest),
            RoutingEvent::CacheChanged {
                engine,
                incarnation,
                sequence,
                change,
            } => {
                if self.back_ends.contains_key(&engine) {
                    self.index.apply(engine, incarnation, sequence, &change);
                }
            }
            RoutingEvent::Sent(sent) => self.record_send(now, sent),
            RoutingEvent::FirstToken { request, back_end } => {
                self.first_token(now, request, back_end);
            }
            RoutingEvent::Ended {
                request,
                back_end,
                outcome,
            } => return self.ended(now, request, back_end, outcome),
        }
        None
    }

    /// All back ends, in the order in which they were added.
    pub fn back_ends(&self) -> impl Iterator<Item = MachineId> {
        self.back_ends.keys().copied()
    }

    /// Number of ejected back ends, including those waiting for a probe.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        self.outliers.ejected_count()
    }

    /// Whether a back end may receive a request now, according to this daemon's own sends.
    #[must_use]
    pub fn eligibility(&self, now: Timestamp, back_end: MachineId) -> Eligibility {
        self.outliers.eligibility(now, back_end)
    }

    /// Whether a back end gets no new work; true for unknown back ends.
    #[must_use]
    pub fn is_draining(&self, back_end: MachineId) -> bool {
        let state = self.back_ends.get(&back_end);
        state.is_none_or(|state| state.view.draining)
    }

    /// Number of own sends to a back end that have not ended.
    #[must_use]
    pub fn in_flight(&self, back_end: MachineId) -> usize {
        self.back_ends
            .get(&back_end)
            .map_or(0, |state| state.sends.len())
    }

    /// Chooses the back ends for a request. Nothing is recorded until the caller reports
    /// [`RoutingEvent::Sent`].
    ///
    /// # Errors
    /// [`RoutingRefusal`] if no back end can be chosen; the request was not started.
    pub fn choose(
        &mut self,
        now: Timestamp,
        request: &RouteRequest,
    ) -> Result<Placement, RoutingRefusal> {
        if now >= request.deadline {
            return Err(RoutingRefusal::DeadlinePassed);
        }
        let eligible = eligible::collect(
            &self.settings,
            &self.back_ends,
            &self.outliers,
            now,
            request,
        );
        if eligible.candidates.is_empty() {
            return Err(eligible.refusal(now));
        }
        let mut means = CellMeans::default();
        for candidate in &eligible.candidates {
            means.add(candidate.state);
        }
        let scorer = Scorer {
            settings: &self.settings,
            now,
            request,
            means,
            index: &self.index,
            class_rates: &self.class_rates,
        };
        choice::choose(&scorer, &mut self.random, &eligible.candidates)
    }

    fn take_view(&mut self, view: BackEndView) {
        let id = view.id;
        self.outliers.add(id, outlier_group(&view.kind));
        let Some(state) = self.back_ends.get_mut(&id) else {
            let rates = EngineRates::assumed(&self.settings);
            self.back_ends.insert(id, BackEndState::new(view, rates));
            return;
        };
        let restarted = match (&state.view.kind, &view.kind) {
            (BackEndKind::Engine(old), BackEndKind::Engine(new)) => {
                old.incarnation < new.incarnation
            }
            _ => false,
        };
        state.view = view;
        if restarted {
            self.outliers.reset(id);
        }
    }

    fn remove(&mut self, back_end: MachineId) {
        self.back_ends.shift_remove(&back_end);
        self.outliers.remove(back_end);
        self.index.remove(back_end);
    }

    fn take_digest(&mut self, now: Timestamp, digest: LoadDigest) {
        let Some(state) = self.back_ends.get_mut(&digest.engine) else {
            return;
        };
        if state.take_digest(now, digest) {
            state.forget_old_sends(now, &self.settings);
        }
    }

    fn record_send(&mut self, now: Timestamp, sent: Sent) {
        let Some(state) = self.back_ends.get_mut(&sent.back_end) else {
            return;
        };
        let matched = self
            .index
            .matched_tokens(sent.back_end, &sent.prefix_blocks);
        let matched = matched.min(sent.prompt_tokens);
        let unseen = state.unseen_prompt_tokens(&self.settings, sent.priority);
        let running = state.reported_running().unwrap_or(0.0) + 1.0;
        let generates_only = sent.stage == SendStage::Decode;
        let cached = f64::from(matched) * self.index.trust(sent.back_end);
        let own = OwnSend {
            sent_at: now,
            uncached_tokens: f64::from(sent.prompt_tokens) - cached,
            matched_tokens: matched,
            prefix_blocks: sent.prefix_blocks,
            priority: sent.priority,
            queued_tokens: state.reported_prompt_tokens().unwrap_or(0.0) + unseen,
            batch_factor: batch_factor(&self.settings, running),
            first_token_at: generates_only.then_some(now),
        };
        state.sends.insert(sent.request, own);
        self.outliers.record_send(now, sent.back_end);
    }

    fn first_token(&mut self, now: Timestamp, request: RequestId, back_end: MachineId) {
        let Some(state) = self.back_ends.get_mut(&back_end) else {
            return;
        };
        let Some(send) = state.sends.get_mut(&request) else {
            return;
        };
        if send.first_token_at.is_some() {
            return;
        }
        send.first_token_at = Some(now);
        let prefix_blocks = std::mem::take(&mut send.prefix_blocks);
        let tokens = send.queued_tokens + send.uncached_tokens;
        let elapsed = now.since(send.sent_at);
        let Some(incarnation) = state.engine().map(|engine| engine.incarnation) else {
            return;
        };
        state.rates.observe_first_token(tokens, elapsed);
        self.class_rates
            .entry(state)
            .observe_first_token(tokens, elapsed);
        self.index
            .observed_prompt(back_end, incarnation, &prefix_blocks);
    }

    fn ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        back_end: MachineId,
        outcome: SendOutcome,
    ) -> Option<Timestamp> {
        let state = self.back_ends.get_mut(&back_end)?;
        let send = state.sends.swap_remove(&request);
        match outcome {
            SendOutcome::Succeeded {
                output_tokens,
                cached_tokens,
            } => {
                if let Some(send) = send {
                    learn_from_end(
                        state,
                        self.class_rates.entry(state),
                        &send,
                        now,
                        output_tokens,
                    );
                    if let Some(found) = cached_tokens {
                        self.index
                            .observed_hit(back_end, send.matched_tokens, found);
                    }
                }
                self.outliers.record_success(back_end);
                None
            }
            SendOutcome::Neutral => {
                self.outliers.record_neutral(back_end);
                None
            }
            SendOutcome::Failed => self.outliers.record_failure(now, back_end),
        }
    }
}

fn outlier_group(kind: &BackEndKind) -> OutlierGroup {
    match kind {
        BackEndKind::Engine(engine) => OutlierGroup::Engines(engine.model.clone()),
        BackEndKind::Plain { pool } => OutlierGroup::Pool(pool.clone()),
    }
}

fn learn_from_end(
    state: &mut BackEndState,
    class_rates: &mut EngineRates,
    send: &OwnSend,
    now: Timestamp,
    output_tokens: u32,
) {
    if state.engine().is_none() {
        let elapsed = now.since(send.sent_at);
        state.rates.observe_response(elapsed);
        class_rates.observe_response(elapsed);
        return;
    }
    if let Some(first) = send.first_token_at {
        let elapsed = now.since(first);
        state
            .rates
            .observe_decode(output_tokens, send.batch_factor, elapsed);
        class_rates.observe_decode(output_tokens, send.batch_factor, elapsed);
    }
}
