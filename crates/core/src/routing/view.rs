//! What a daemon knows of each back end.

use indexmap::IndexMap;

use super::rates::EngineRates;
use super::settings::RouterSettings;
use crate::load::{LoadDigest, PROMPT_BLOCK_TOKENS};
use crate::{
    AdapterName, CellName, EngineRole, Incarnation, MachineId, ModelName, PoolName, RegionName,
    RequestId, Timestamp, ZoneName,
};

/// What routing is told of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// The cell that orders it.
    pub cell: CellName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its role; `None` while it changes.
    pub role: Option<EngineRole>,
    /// The model it holds.
    pub model: Option<ModelName>,
    /// The model's version.
    pub version: u32,
    /// The adapters on top of it.
    pub adapters: Vec<AdapterName>,
}

/// What a back end is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackEndKind {
    /// A model engine.
    Engine(EngineView),
    /// A plain back end.
    Plain {
        /// The pool that it belongs to.
        pool: PoolName,
    },
}

/// What routing is told of a back end. A later view replaces the earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndView {
    /// The back end.
    pub id: MachineId,
    /// What it is.
    pub kind: BackEndKind,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Whether it is leaving or about to be changed: it gets no new work.
    pub draining: bool,
}

/// An own send that has not ended.
#[derive(Debug, Clone)]
pub(super) struct OwnSend {
    pub sent_at: Timestamp,
    /// Prompt tokens that the engine probably has to read.
    pub uncached_tokens: f64,
    /// Prompt tokens that the index held at the time of sending.
    pub matched_tokens: u32,
    /// Kept until the first token, when they are known to be in the engine's cache.
    pub prefix_blocks: Vec<u64>,
    pub priority: u8,
    pub queued_tokens: f64,
    pub batch_factor: f64,
    pub first_token_at: Option<Timestamp>,
}

/// A digest with the local time at which it arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedDigest {
    pub digest: LoadDigest,
    pub received_at: Timestamp,
}

/// A back end with everything that this daemon has gathered about it.
#[derive(Debug, Clone)]
pub(super) struct BackEndState {
    pub view: BackEndView,
    pub digest: Option<ReceivedDigest>,
    pub rates: EngineRates,
    pub sends: IndexMap<RequestId, OwnSend>,
}

impl BackEndState {
    pub fn new(view: BackEndView, rates: EngineRates) -> Self {
        Self {
            view,
            digest: None,
            rates,
            sends: IndexMap::new(),
        }
    }

    pub fn engine(&self) -> Option<&EngineView> {
        match &self.view.kind {
            BackEndKind::Engine(engine) => Some(engine),
            BackEndKind::Plain { .. } => None,
        }
    }

    /// Takes a digest unless a newer one of the same or a later incarnation is there.
    pub fn take_digest(&mut self, now: Timestamp, digest: LoadDigest) -> bool {
        let newer = self.digest.is_none_or(|held| {
            let held = (held.digest.incarnation, held.digest.sequence);
            (digest.incarnation, digest.sequence) > held
        });
        if newer {
            self.digest = Some(ReceivedDigest {
                digest,
                received_at: now,
            });
        }
        newer
    }

    pub fn reported_prompt_tokens(&self) -> Option<f64> {
        let blocks = u64::from(self.digest?.digest.waiting_prompt_blocks);
        Some(to_float(blocks * PROMPT_BLOCK_TOKENS))
    }

    pub fn reported_running(&self) -> Option<f64> {
        Some(f64::from(self.digest?.digest.running))
    }

    /// From when on own sends cannot be in the digest yet.
    fn digest_covers_until(&self, settings: &RouterSettings) -> Timestamp {
        let Some(held) = self.digest else {
            return Timestamp::ZERO;
        };
        let lag = u64::try_from(settings.digest_lag.as_micros()).unwrap_or(u64::MAX);
        Timestamp(held.received_at.0.saturating_sub(lag))
    }

    /// Prompt tokens of own sends that wait for their first token and are not in the digest yet.
    ///
    /// Sends of a lower priority are left out: the engine serves ours before them.
    pub fn unseen_prompt_tokens(&self, settings: &RouterSettings, priority: u8) -> f64 {
        let digest_covers_until = self.digest_covers_until(settings);
        let unseen = self.sends.values().filter(|send| {
            send.sent_at >= digest_covers_until
                && send.first_token_at.is_none()
                && send.priority <= priority
        });
        unseen.map(|send| send.uncached_tokens).sum()
    }

    /// Own sends that are not in the digest's number of running sequences yet.
    pub fn unseen_sequences(&self, settings: &RouterSettings) -> usize {
        let digest_covers_until = self.digest_covers_until(settings);
        let unseen = self.sends.values();
        unseen.filter(|send| send.sent_at >= digest_covers_until).count()
    }

    /// Forgets sends whose end was never reported.
    pub fn forget_old_sends(&mut self, now: Timestamp, settings: &RouterSettings) {
        self.sends
            .retain(|_, send| now.since(send.sent_at) < settings.send_timeout);
    }
}

/// The nearest float; the counts here stay far below the point where it is inexact.
pub(super) const fn to_float(count: u64) -> f64 {
    count as f64
}
