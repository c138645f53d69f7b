//! Continuous batching. Pure: the caller takes a step with [`Scheduler::plan`], lets its time pass and
//! hands it to [`Scheduler::finish`].

use std::collections::BTreeMap;
use std::time::Duration;

use ponddrift_engine::wire::cache_events::{BLOCK_TOKENS, CacheChange};

use super::cost::CostModel;
use super::prefix_cache::PrefixCache;

/// Identity of a sequence in one scheduler; later ones are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(pub u64);

/// A sequence to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceRequest {
    /// Level; 0 first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Tokens to generate; 0 for a prefill only.
    pub output_tokens: u32,
    /// Whether the prompt's KV cache was imported, so that nothing is prefilled.
    pub imported: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A sequence left the queue.
    Started {
        /// Which.
        sequence: SequenceId,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// A token was generated.
    Token(SequenceId),
    /// A sequence is whole.
    Finished(SequenceId),
    /// The prefix cache changed.
    Cache(CacheChange),
}

/// One step of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// How long it takes.
    pub duration: Duration,
    prefill: Vec<(Place, u32)>,
    decode: Vec<Place>,
}

/// Load at one time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SchedulerLoad {
    /// Sequences whose prefill is not done.
    pub waiting: usize,
    /// Sequences that are being decoded.
    pub running: usize,
    /// Prompt tokens still to prefill.
    pub waiting_prompt_tokens: u64,
    /// Share of the KV cache in use, 0 to 1.
    pub cache_used: f64,
    /// Prompt tokens prefilled so far.
    pub prompt_tokens: u64,
    /// Tokens generated so far.
    pub generated_tokens: u64,
}

#[derive(Debug, Clone)]
struct Sequence {
    request: SequenceRequest,
    prefilled: u32,
    generated: u32,
}

impl Sequence {
    fn unread(&self) -> u32 {
        self.request.prompt_tokens - self.prefilled
    }

    /// Tokens of the KV cache that it may come to need; reserved from its start on.
    fn reserved(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.request.output_tokens)
    }
}

/// Place in the queue: priority, then arrival.
type Place = (u8, SequenceId);

/// Batches sequences.
#[derive(Debug, Clone)]
pub struct Scheduler {
    cost: CostModel,
    cache: PrefixCache,
    next: u64,
    waiting: BTreeMap<Place, Sequence>,
    running: BTreeMap<Place, Sequence>,
    reserved: u64,
    prompt_tokens: u64,
    generated_tokens: u64,
}

impl Scheduler {
    /// An idle engine.
    #[must_use]
    pub fn new(cost: CostModel) -> Self {
        Self {
            cost,
            cache: PrefixCache::new(cost.prefix_cache_blocks),
            next: 1,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            reserved: 0,
            prompt_tokens: 0,
            generated_tokens: 0,
        }
    }

    /// Whether a sequence can ever fit into the KV cache.
    #[must_use]
    pub fn fits(&self, prompt_tokens: u32, output_tokens: u32) -> bool {
        u64::from(prompt_tokens) + u64::from(output_tokens) <= self.cost.kv_cache_tokens
    }

    /// Queues a sequence.
    pub fn add(&mut self, request: SequenceRequest) -> SequenceId {
        let id = SequenceId(self.next);
        self.next += 1;
        let place = (request.priority, id);
        let sequence = Sequence {
            request,
            prefilled: 0,
            generated: 0,
        };
        self.waiting.insert(place, sequence);
        id
    }

    /// Takes a sequence out.
    pub fn cancel(&mut self, priority: u8, sequence: SequenceId) {
        let place = (priority, sequence);
        self.waiting.remove(&place);
        if let Some(ended) = self.running.remove(&place) {
            self.reserved -= ended.reserved();
        }
    }

    /// Drops every sequence and the prefix cache.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.reserved = 0;
        self.cache.clear();
    }

    /// Sequences that did not start.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// All sequences.
    #[must_use]
    pub fn sequences(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// The load now.
    #[must_use]
    pub fn load(&self) -> SchedulerLoad {
        let prefilling = self.running.values().filter(|one| one.unread() > 0).count();
        let unread = self.waiting.values().chain(self.running.values());
        let in_cache = self
            .running
            .values()
            .map(|one| u64::from(one.prefilled) + u64::from(one.generated));
        SchedulerLoad {
            waiting: self.waiting.len() + prefilling,
            running: self.running.len() - prefilling,
            waiting_prompt_tokens: unread.map(|one| u64::from(one.unread())).sum(),
            cache_used: in_cache.sum::<u64>() as f64 / self.cost.kv_cache_tokens.max(1) as f64,
            prompt_tokens: self.prompt_tokens,
            generated_tokens: self.generated_tokens,
        }
    }

    /// Starts what fits and gives the next step; `None` when there is nothing to do.
    pub fn plan(&mut self, events: &mut Vec<SchedulerEvent>) -> Option<Step> {
        self.admit(events);
        let mut budget = self.cost.step_prefill_tokens.max(1);
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        for (place, sequence) in &self.running {
            if sequence.unread() == 0 {
                decode.push(*place);
                continue;
            }
            let chunk = sequence.unread().min(budget);
            if chunk > 0 {
                budget -= chunk;
                prefill.push((*place, chunk));
            }
        }
        if prefill.is_empty() && decode.is_empty() {
            return None;
        }
        let read = prefill.iter().map(|(_place, chunk)| chunk).sum();
        Some(Step {
            duration: self.cost.step_time(read, decode.len()),
            prefill,
            decode,
        })
    }

    fn admit(&mut self, events: &mut Vec<SchedulerEvent>) {
        while self.running.len() < self.cost.maximum_sequences {
            let Some(first) = self.waiting.first_entry() else {
                return;
            };
            let needed = first.get().reserved();
            // Strictly in order: a long prompt is not overtaken for ever by short ones.
            if self.reserved + needed > self.cost.kv_cache_tokens && !self.running.is_empty() {
                return;
            }
            let (place, mut sequence) = first.remove_entry();
            let cached_tokens = self.start(&mut sequence);
            self.reserved += needed;
            self.running.insert(place, sequence);
            events.push(SchedulerEvent::Started {
                sequence: place.1,
                cached_tokens,
            });
        }
    }

    /// Looks up what need not be prefilled; at least one token is, unless all was imported.
    fn start(&mut self, sequence: &mut Sequence) -> u32 {
        if sequence.request.imported {
            sequence.prefilled = sequence.request.prompt_tokens;
            return 0;
        }
        let held = self.cache.lookup(&sequence.request.blocks) * BLOCK_TOKENS;
        let most = sequence.request.prompt_tokens.saturating_sub(1);
        sequence.prefilled = u32::try_from(held).unwrap_or(u32::MAX).min(most);
        sequence.prefilled
    }

    /// Carries out a step whose time has passed. Sequences cancelled meanwhile are left out.
    pub fn finish(&mut self, step: &Step, events: &mut Vec<SchedulerEvent>) {
        for (place, chunk) in &step.prefill {
            self.read(*place, *chunk, events);
        }
        for place in &step.decode {
            self.generate(*place, events);
        }
    }

    fn read(&mut self, place: Place, chunk: u32, events: &mut Vec<SchedulerEvent>) {
        let Some(sequence) = self.running.get_mut(&place) else {
            return;
        };
        sequence.prefilled += chunk;
        self.prompt_tokens += u64::from(chunk);
        if sequence.unread() > 0 {
            return;
        }
        let blocks = std::mem::take(&mut sequence.request.blocks);
        let update = self.cache.store(&blocks);
        if !update.removed.is_empty() {
            let blocks = update.removed;
            events.push(SchedulerEvent::Cache(CacheChange::Removed { blocks }));
        }
        if !update.stored.is_empty() {
            let blocks = update.stored;
            events.push(SchedulerEvent::Cache(CacheChange::Stored { blocks }));
        }
        // The last chunk of a prefill gives the first token.
        self.generate(place, events);
    }

    fn generate(&mut self, place: Place, events: &mut Vec<SchedulerEvent>) {
        let Some(sequence) = self.running.get_mut(&place) else {
            return;
        };
        if sequence.generated < sequence.request.output_tokens {
            sequence.generated += 1;
            self.generated_tokens += 1;
            events.push(SchedulerEvent::Token(place.1));
        }
        if sequence.generated >= sequence.request.output_tokens {
            self.cancel(place.0, place.1);
            events.push(SchedulerEvent::Finished(place.1));
        }
    }
}
