//! Traces of experiments: one JSON object a line, ordered by arrival.

use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};

/// One request of an experiment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentRequest {
    /// Time since the begin, in milliseconds.
    pub arrival_ms: u64,
    /// Whose it is.
    pub tenant: String,
    /// The service. One whose name starts with `posting` or `order` must not run twice.
    pub service: String,
    /// Level of the priority; 0 is served first.
    pub priority: u8,
    /// Tokens of the prompt; 0 for a lookup at a plain back end.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Requests of one prefix share the beginning of their prompts: the first half of each,
    /// 1,024 tokens at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix_id: Option<u64>,
    /// Time after the arrival at which the caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
}

/// Beginnings of names of services that must not run twice.
const NOT_REPEATABLE: [&str; 2] = ["posting", "order"];

impl ExperimentRequest {
    /// Whether it goes to a plain back end.
    #[must_use]
    pub const fn is_lookup(&self) -> bool {
        self.prompt_tokens == 0
    }

    /// Whether it may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        !NOT_REPEATABLE
            .iter()
            .any(|begin| self.service.starts_with(begin))
    }
}

/// Reads a trace and orders it by arrival.
///
/// # Errors
/// When a line cannot be read; the message names it.
pub fn read_requests(reader: impl BufRead) -> io::Result<Vec<ExperimentRequest>> {
    let mut requests = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let request = serde_json::from_str(&line).map_err(|error| {
            let message = format!("line {} of the trace: {error}", number + 1);
            io::Error::new(io::ErrorKind::InvalidData, message)
        })?;
        requests.push(request);
    }
    requests.sort_by_key(|request: &ExperimentRequest| request.arrival_ms);
    Ok(requests)
}

/// Writes a trace.
///
/// # Errors
/// When the writer fails.
pub fn write_requests(mut writer: impl Write, requests: &[ExperimentRequest]) -> io::Result<()> {
    for request in requests {
        serde_json::to_writer(&mut writer, request)?;
        writer.write_all(b"\n")?;
    }
    writer.flush()
}
