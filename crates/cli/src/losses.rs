//! Summary of lost requests, i.e. those that were not served in time, from daemons' logs.
//!
//! Every request logs one `request_ended` event. A request that was not served in time logs each
//! decision before that; its last `attempt_ended` event is reported as the reason of the loss.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

use serde::Deserialize;

use crate::error::CliError;

/// Length of the time windows in which losses are counted.
const WINDOW_SECONDS: u64 = 2;

/// Decision of `room_decided` on a request that was sent.
const HAS_ROOM: &str = "room";

/// Fields of a log event that the summary uses.
#[derive(Debug, Deserialize)]
struct LogEvent {
    timestamp: Option<String>,
    message: String,
    request: Option<String>,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    purpose: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    route: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    urgency: String,
    #[serde(default)]
    decision: String,
    #[serde(default)]
    in_time: bool,
    #[serde(default)]
    waited_ms: f64,
    #[serde(default)]
    target_ms: f64,
}

/// Counts of one time window.
#[derive(Debug, Default)]
struct Window {
    requests: u64,
    lost: u64,
}

/// Counts of lost requests by route and reason, and by time window.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    /// Purpose and outcome of the last attempt of each request that has not ended yet.
    attempts: HashMap<String, String>,
    /// Number of requests of each route, served or lost.
    requests_by_route: BTreeMap<String, u64>,
    /// Number of lost requests by route and reason.
    lost: BTreeMap<(String, String), u64>,
    /// Counts by window index.
    windows: BTreeMap<u64, Window>,
    unparsed_lines: u64,
}

impl Losses {
    /// Adds the events of a log. Text before the first brace of a line is ignored, such as a prefix
    /// that a log collector added.
    pub(crate) fn read(&mut self, log: impl BufRead) -> Result<(), CliError> {
        for line in log.lines() {
            let line = line?;
            let Some(start) = line.find('{') else {
                continue;
            };
            match serde_json::from_str::<LogEvent>(&line[start..]) {
                Ok(parsed) => self.add_event(parsed),
                Err(_not_an_event) => self.unparsed_lines += 1,
            }
        }
        Ok(())
    }

    fn add_event(&mut self, event: LogEvent) {
        match event.message.as_str() {
            "attempt_ended" => {
                let end = format!("{}: {}", event.purpose, event.outcome);
                if let Some(request) = event.request {
                    self.attempts.insert(request, end);
                }
            }
            "room_decided" if event.decision != HAS_ROOM => {
                if let Some(request) = event.request {
                    let refusal = format!("no room: {}", event.decision);
                    self.attempts.insert(request, refusal);
                }
            }
            "request_ended" => self.add_request_ended(&event),
            "refused" => {
                self.count_request("(none)", &event);
                self.count_loss("(none)", &format!("refused, {}", event.reason), &event);
            }
            _ => {}
        }
    }

    fn add_request_ended(&mut self, event: &LogEvent) {
        let request = event.request.as_deref().unwrap_or_default();
        let attempt = self.attempts.remove(request);
        let route = format!("{} ({})", event.route, event.kind);
        self.count_request(&route, event);
        if event.outcome == "served" && event.in_time {
            return;
        }
        let loss = match (event.outcome.as_str(), attempt) {
            ("served", _) => lateness_cause(event),
            (outcome, Some(attempt)) => format!("{outcome}, {attempt}"),
            (outcome, None) => format!("{outcome}, no attempt was made"),
        };
        self.count_loss(&route, &loss, event);
    }

    fn count_request(&mut self, route: &str, event: &LogEvent) {
        *self.requests_by_route.entry(route.to_owned()).or_default() += 1;
        if let Some(window) = window_index(event) {
            self.windows.entry(window).or_default().requests += 1;
        }
    }

    fn count_loss(&mut self, route: &str, loss: &str, event: &LogEvent) {
        let key = (route.to_owned(), loss.to_owned());
        *self.lost.entry(key).or_default() += 1;
        if let Some(window) = window_index(event) {
            self.windows.entry(window).or_default().lost += 1;
        }
    }

    /// Writes the losses of each route in descending order, then those of each time window.
    pub(crate) fn write(&self, out: &mut impl Write) -> Result<(), CliError> {
        for (route, requests) in &self.requests_by_route {
            let mut losses: Vec<(&str, u64)> = self
                .lost
                .iter()
                .filter(|((lost_route, _loss), _count)| lost_route == route)
                .map(|((_route, loss), count)| (loss.as_str(), *count))
                .collect();
            losses.sort_by_key(|(_loss, count)| std::cmp::Reverse(*count));
            let total: u64 = losses.iter().map(|(_loss, count)| count).sum();
            writeln!(
                out,
                "{route}: {requests} requests, {} not in time",
                format_share(total, *requests)
            )?;
            for (loss, count) in losses {
                writeln!(out, "  {:>16}  {loss}", format_share(count, *requests))?;
            }
        }
        let start = self.windows.keys().next().copied().unwrap_or_default();
        for (window, sums) in &self.windows {
            let second = (window - start) * WINDOW_SECONDS;
            writeln!(
                out,
                "second {second:>5}: {:>6} requests, {} not in time",
                sums.requests,
                format_share(sums.lost, sums.requests)
            )?;
        }
        if self.unparsed_lines > 0 {
            writeln!(out, "{} lines could not be parsed", self.unparsed_lines)?;
        }
        Ok(())
    }
}

/// Describes why a served request was late.
fn lateness_cause(event: &LogEvent) -> String {
    let cause = if event.waited_ms <= event.target_ms {
        "by a pause between events"
    } else if event.urgency == "late" {
        "as it was expected to be"
    } else {
        "though it was expected in time"
    };
    format!("served late, {cause}")
}

fn format_share(count: u64, total: u64) -> String {
    #[expect(clippy::cast_precision_loss, reason = "counts of requests")]
    let share = count as f64 * 100.0 / total.max(1) as f64;
    format!("{count} ({share:.1}%)")
}

/// Returns the index of the event's time window within its day (UTC).
fn window_index(event: &LogEvent) -> Option<u64> {
    let (_date, time) = event.timestamp.as_deref()?.split_once('T')?;
    let mut parts = time.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: u64 = parts.next()?.get(..2)?.parse().ok()?;
    Some((hours * 3600 + minutes * 60 + seconds) / WINDOW_SECONDS)
}
