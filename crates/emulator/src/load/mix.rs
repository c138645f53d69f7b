//! Seeded generator of a mix of requests with Poisson arrivals.

use ponddrift_core::random::{SeededRandom, seeded};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::trace::{TraceEntry, TracePrompt, TraceWork};

/// A mix of requests. Shares from 0 to 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MixSettings {
    /// Requests a second.
    pub per_second: f64,
    /// Length in seconds.
    pub seconds: f64,
    /// Models (services) with their weights.
    pub models: Vec<WeightedModel>,
    /// Tenants, numbered from 0 as `tenant-<n>`; 0 for none.
    pub tenants: u32,
    /// Share of records; the path gets a number at its end.
    pub records: f64,
    /// Share of postings; each has an idempotency key and is not repeatable.
    pub postings: f64,
    /// Share of the postings that are sent a second time with the same key.
    pub repeated: f64,
    /// Time between a posting and its repetition, in milliseconds.
    pub repeat_after_ms: u64,
    /// Path of records.
    pub record_path: String,
    /// Path of postings.
    pub posting_path: String,
    /// Share of the completions that are streamed.
    pub streamed: f64,
    /// Share of the completions that are chats.
    pub chat: f64,
    /// Fewest own prompt tokens; drawn evenly on a logarithmic scale.
    pub prompt_least: u32,
    /// Most own prompt tokens.
    pub prompt_most: u32,
    /// Groups of prompts that share their beginning.
    pub groups: u64,
    /// Tokens that a group shares.
    pub shared_tokens: u32,
    /// Fewest tokens to generate; drawn evenly on a logarithmic scale.
    pub output_least: u32,
    /// Most tokens to generate.
    pub output_most: u32,
    /// Time callers wait, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A model with its share of the completions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedModel {
    /// Name.
    pub name: String,
    /// Share, relative to the other models'.
    pub weight: f64,
}

impl Default for MixSettings {
    fn default() -> Self {
        Self {
            per_second: 10.0,
            seconds: 10.0,
            models: vec![WeightedModel {
                name: "small".to_owned(),
                weight: 1.0,
            }],
            tenants: 0,
            records: 0.0,
            postings: 0.0,
            repeated: 0.0,
            repeat_after_ms: 100,
            record_path: "/records/".to_owned(),
            posting_path: "/records/postings".to_owned(),
            streamed: 0.5,
            chat: 0.5,
            prompt_least: 16,
            prompt_most: 2_048,
            groups: 8,
            shared_tokens: 64,
            output_least: 8,
            output_most: 256,
            deadline_ms: None,
        }
    }
}

/// Draws a trace; one seed gives one trace.
#[must_use]
pub fn generate(settings: &MixSettings, seed: u64) -> Vec<TraceEntry> {
    let mut generator = Generator {
        settings,
        random: seeded(seed, "load mix"),
        series: 0,
        seed,
    };
    let mut at = 0.0;
    let mut entries = Vec::new();
    if settings.per_second <= 0.0 {
        return entries;
    }
    loop {
        // Exponential gaps make Poisson arrivals.
        let even: f64 = generator.random.random();
        at -= (1.0 - even).ln() / settings.per_second;
        if at >= settings.seconds {
            // Stable: entries of one time stay in the order in which they were drawn.
            entries.sort_by_key(|entry: &TraceEntry| entry.at_ms);
            return entries;
        }
        let entry = generator.entry((at * 1_000.0) as u64);
        let repetition = generator.repetition(&entry);
        entries.push(entry);
        entries.extend(repetition);
    }
}

struct Generator<'a> {
    settings: &'a MixSettings,
    random: SeededRandom,
    series: u64,
    seed: u64,
}

impl Generator<'_> {
    fn entry(&mut self, at_ms: u64) -> TraceEntry {
        self.series += 1;
        let settings = self.settings;
        let tenant = (settings.tenants > 0)
            .then(|| format!("tenant-{}", self.random.random_range(0..settings.tenants)));
        let kind: f64 = self.random.random();
        let mut entry = TraceEntry {
            at_ms,
            tenant,
            deadline_ms: settings.deadline_ms,
            idempotency_key: None,
            repeatable: true,
            work: TraceWork::Record {
                path: format!("{}{}", settings.record_path, self.series),
                back_end_path: None,
            },
        };
        if kind < settings.records {
            return entry;
        }
        if kind < settings.records + settings.postings {
            entry.idempotency_key = Some(format!("posting-{}-{}", self.seed, self.series));
            entry.repeatable = false;
            entry.work = TraceWork::Posting {
                path: settings.posting_path.clone(),
                body: format!("posting {}", self.series),
            };
            return entry;
        }
        entry.work = self.completion();
        entry
    }

    fn repetition(&mut self, entry: &TraceEntry) -> Option<TraceEntry> {
        entry.idempotency_key.as_ref()?;
        let drawn: f64 = self.random.random();
        (drawn < self.settings.repeated).then(|| TraceEntry {
            at_ms: entry.at_ms + self.settings.repeat_after_ms,
            ..entry.clone()
        })
    }

    fn completion(&mut self) -> TraceWork {
        let settings = self.settings;
        let prompt = TracePrompt::Recipe {
            group: self.random.random_range(0..settings.groups.max(1)),
            shared_tokens: settings.shared_tokens,
            series: self.seed.wrapping_mul(1_000_003).wrapping_add(self.series),
            own_tokens: self.logarithmic(settings.prompt_least, settings.prompt_most),
        };
        TraceWork::Completion {
            model: self.model(),
            prompt,
            max_tokens: self.logarithmic(settings.output_least, settings.output_most),
            stream: self.random.random::<f64>() < settings.streamed,
            chat: self.random.random::<f64>() < settings.chat,
        }
    }

    fn model(&mut self) -> String {
        let models = &self.settings.models;
        let total: f64 = models.iter().map(|model| model.weight).sum();
        let mut left = self.random.random::<f64>() * total;
        for model in models {
            left -= model.weight;
            if left < 0.0 {
                return model.name.clone();
            }
        }
        models
            .last()
            .map_or_else(String::new, |model| model.name.clone())
    }

    fn logarithmic(&mut self, least: u32, most: u32) -> u32 {
        let (least, most) = (f64::from(least.max(1)), f64::from(most.max(1)));
        let even: f64 = self.random.random();
        (least * (most / least).max(1.0).powf(even)).round() as u32
    }
}
