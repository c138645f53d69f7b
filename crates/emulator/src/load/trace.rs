//! Traces: one JSON object a line, ordered by time.

use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceEntry {
    /// Time since the begin, in milliseconds.
    pub at_ms: u64,
    /// The tenant it is sent for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Time the caller waits, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The caller's key; a request with a key may run at most once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Whether it may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// What it asks for.
    pub work: TraceWork,
}

fn yes() -> bool {
    true
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceWork {
    /// A completion.
    Completion {
        /// Service towards a daemon, model towards an engine.
        model: String,
        /// The prompt.
        prompt: TracePrompt,
        /// Tokens to generate.
        max_tokens: u32,
        /// Whether as server-sent events.
        #[serde(default)]
        stream: bool,
        /// Whether by the chat call.
        #[serde(default)]
        chat: bool,
    },
    /// `GET` of a record.
    Record {
        /// Path, with its query.
        path: String,
        /// Path and query as the back end sees them, where a daemon changes them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        back_end_path: Option<String>,
    },
    /// `POST` of a posting.
    Posting {
        /// Path.
        path: String,
        /// Body.
        body: String,
    },
}

/// A prompt, as text or as a recipe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub enum TracePrompt {
    /// The text itself.
    Text(String),
    /// Words that follow from two numbers.
    Recipe {
        /// Prompts of one group share their first words.
        group: u64,
        /// Shared words.
        shared_tokens: u32,
        /// Number of the own words' series.
        series: u64,
        /// Own words.
        own_tokens: u32,
    },
}

impl TracePrompt {
    /// The text.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Recipe {
                group,
                shared_tokens,
                series,
                own_tokens,
            } => {
                let shared = words("g", *group, *shared_tokens);
                let own = words("s", *series, *own_tokens);
                let all: Vec<String> = shared.chain(own).collect();
                all.join(" ")
            }
        }
    }
}

fn words(kind: &str, series: u64, count: u32) -> impl Iterator<Item = String> {
    (0..count).map(move |index| {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), series);
        format!("{kind}{:06x}", hash & 0x00ff_ffff)
    })
}

/// Reads a trace.
///
/// # Errors
/// When a line cannot be read; the message names it.
pub fn read_trace(reader: impl BufRead) -> io::Result<Vec<TraceEntry>> {
    let mut entries = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let entry = serde_json::from_str(&line).map_err(|error| {
            let message = format!("line {} of the trace: {error}", number + 1);
            io::Error::new(io::ErrorKind::InvalidData, message)
        })?;
        entries.push(entry);
    }
    entries.sort_by_key(|entry: &TraceEntry| entry.at_ms);
    Ok(entries)
}

/// Writes a trace.
///
/// # Errors
/// When the writer fails.
pub fn write_trace(mut writer: impl Write, entries: &[TraceEntry]) -> io::Result<()> {
    for entry in entries {
        serde_json::to_writer(&mut writer, entry)?;
        writer.write_all(b"\n")?;
    }
    writer.flush()
}
