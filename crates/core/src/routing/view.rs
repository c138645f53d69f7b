//! State that a daemon keeps per back end.

use indexmap::IndexMap;

use super::rates::EngineRates;
use super::settings::RouterSettings;
use crate::load::{LoadDigest, PROMPT_BLOCK_TOKENS};
use crate::{
    AdapterName, CellName, EngineRole, Incarnation, MachineId, ModelName, PoolName, RegionName,
    RequestId, Timestamp, ZoneName,
};

/// Description of a model engine for routing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// The cell that controls it.
    pub cell: CellName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its role; `None` while it changes.
    pub role: Option<EngineRole>,
    /// The loaded model.
    pub model: Option<ModelName>,
    /// Version of the loaded model.
    pub version: u32,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
}

/// Kind of a back end.
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

/// Description of a back end for routing. A later view replaces an earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndView {
    /// The back end.
    pub id: MachineId,
    /// Its kind.
    pub kind: BackEndKind,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Whether it is leaving or about to change. A draining back end gets no new work.
    pub draining: bool,
}

/// A request that this daemon sent and that has not ended.
#[derive(Debug, Clone)]
pub(super) struct OwnSend {
    pub sent_at: Timestamp,
    /// Prompt tokens that the engine probably has to prefill.
    pub uncached_tokens: f64,
    /// Prompt tokens matched in the prefix index at the time of sending.
    pub matched_tokens: u32,
    /// Kept until the first token, when the engine is known to have cached them.
    pub prefix_blocks: Vec<u64>,
    pub priority: u8,
    pub queued_tokens: f64,
    pub batch_factor: f64,
    pub first_token_at: Option<Timestamp>,
}

/// A digest with its local arrival time.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedDigest {
    pub digest: LoadDigest,
    pub received_at: Timestamp,
}

/// A back end with its newest digest, learned rates and own sends.
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

    /// Stores a digest if it is newer, by incarnation and then sequence. Returns whether it was.
    pub fn take_digest(&mut self, now: Timestamp, digest: LoadDigest) -> bool {
        let newer = self.digest.is_none_or(|known| {
            let known = (known.digest.incarnation, known.digest.sequence);
            (digest.incarnation, digest.sequence) > known
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

    /// Time from which on own sends are not included in the digest yet.
    fn digest_covers_until(&self, settings: &RouterSettings) -> Timestamp {
        let Some(known) = self.digest else {
            return Timestamp::ZERO;
        };
        let lag = u64::try_from(settings.digest_lag.as_micros()).unwrap_or(u64::MAX);
        Timestamp(known.received_at.0.saturating_sub(lag))
    }

    /// Prompt tokens of own sends that are waiting for their first token and not in the digest yet.
    ///
    /// Excludes sends of a lower priority than `priority`, which the engine serves later.
    pub fn unseen_prompt_tokens(&self, settings: &RouterSettings, priority: u8) -> f64 {
        let digest_covers_until = self.digest_covers_until(settings);
        let unseen = self.sends.values().filter(|send| {
            send.sent_at >= digest_covers_until
                && send.first_token_at.is_none()
                && send.priority <= priority
        });
        unseen.map(|send| send.uncached_tokens).sum()
    }

    /// Number of own sends that the digest does not include yet.
    pub fn unseen_sequences(&self, settings: &RouterSettings) -> usize {
        let digest_covers_until = self.digest_covers_until(settings);
        let unseen = self.sends.values();
        unseen
            .filter(|send| send.sent_at >= digest_covers_until)
            .count()
    }

    /// Drops sends whose end was not reported in time.
    pub fn forget_old_sends(&mut self, now: Timestamp, settings: &RouterSettings) {
        self.sends
            .retain(|_, send| now.since(send.sent_at) < settings.send_timeout);
    }
}

/// Converts a count to a float. Counts in this module are small enough to be exact.
pub(super) const fn to_float(count: u64) -> f64 {
    count as f64
}
