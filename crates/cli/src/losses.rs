//! Where requests were lost: adds up the lines that daemons log of their requests.
//!
//! Every request ends with one line, `request_ended`; one that was not served in time has a line for each decision before
//! it. The last `attempt_ended` of such a request is the reason of its loss.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

use serde::Deserialize;

use crate::error::CliError;

/// Seconds in a window of the table of times.
const WINDOW_S: u64 = 2;

/// What a line may tell that counts here.
#[derive(Debug, Deserialize)]
struct Line {
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
    in_time: bool,
    #[serde(default)]
    waited_ms: f64,
    #[serde(default)]
    target_ms: f64,
}

#[derive(Debug, Default)]
struct Window {
    requests: u64,
    lost: u64,
}

/// Requests that were lost, by route, outcome and reason, and when.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    /// Last end of an attempt of each request that has not ended yet.
    attempts: HashMap<String, String>,
    /// Requests of each route.
    asked: BTreeMap<String, u64>,
    lost: BTreeMap<(String, String), u64>,
    windows: BTreeMap<u64, Window>,
    unreadable: u64,
}

impl Losses {
    /// Takes the lines of a log; what stands before the first brace of a line is passed over.
    pub(crate) fn read(&mut self, log: impl BufRead) -> Result<(), CliError> {
        for line in log.lines() {
            let line = line?;
            let Some(begin) = line.find('{') else {
                continue;
            };
            match serde_json::from_str::<Line>(&line[begin..]) {
                Ok(parsed) => self.take(parsed),
                Err(_not_a_line) => self.unreadable += 1,
            }
        }
        Ok(())
    }

    fn take(&mut self, line: Line) {
        match line.message.as_str() {
            "attempt_ended" => {
                let end = format!("{}: {}", line.purpose, line.outcome);
                if let Some(request) = line.request {
                    self.attempts.insert(request, end);
                }
            }
            "request_ended" => self.ended(&line),
            "refused" => {
                self.count("(none)", &line);
                self.lose("(none)", &format!("refused, {}", line.reason), &line);
            }
            _ => {}
        }
    }

    fn ended(&mut self, line: &Line) {
        let request = line.request.as_deref().unwrap_or_default();
        let attempt = self.attempts.remove(request);
        let route = format!("{} ({})", line.route, line.kind);
        self.count(&route, line);
        if line.outcome == "served" && line.in_time {
            return;
        }
        let loss = match (line.outcome.as_str(), attempt) {
            ("served", _) => lateness(line),
            (outcome, Some(attempt)) => format!("{outcome}, {attempt}"),
            (outcome, None) => format!("{outcome}, nothing was sent"),
        };
        self.lose(&route, &loss, line);
    }

    fn count(&mut self, route: &str, line: &Line) {
        *self.asked.entry(route.to_owned()).or_default() += 1;
        if let Some(window) = window_of(line) {
            self.windows.entry(window).or_default().requests += 1;
        }
    }

    fn lose(&mut self, route: &str, loss: &str, line: &Line) {
        let key = (route.to_owned(), loss.to_owned());
        *self.lost.entry(key).or_default() += 1;
        if let Some(window) = window_of(line) {
            self.windows.entry(window).or_default().lost += 1;
        }
    }

    /// Writes the losses of each route, the largest first, then those of each window.
    pub(crate) fn write(&self, out: &mut impl Write) -> Result<(), CliError> {
        for (route, asked) in &self.asked {
            let mut losses: Vec<(&str, u64)> = self
                .lost
                .iter()
                .filter(|((lost_route, _loss), _count)| lost_route == route)
                .map(|((_route, loss), count)| (loss.as_str(), *count))
                .collect();
            losses.sort_by_key(|(_loss, count)| std::cmp::Reverse(*count));
            let all: u64 = losses.iter().map(|(_loss, count)| count).sum();
            writeln!(
                out,
                "{route}: {asked} requests, {} not in time",
                part(all, *asked)
            )?;
            for (loss, count) in losses {
                writeln!(out, "  {:>16}  {loss}", part(count, *asked))?;
            }
        }
        let begin = self.windows.keys().next().copied().unwrap_or_default();
        for (window, sums) in &self.windows {
            let second = (window - begin) * WINDOW_S;
            writeln!(
                out,
                "second {second:>5}: {:>6} requests, {} not in time",
                sums.requests,
                part(sums.lost, sums.requests)
            )?;
        }
        if self.unreadable > 0 {
            writeln!(out, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}

/// Why a served request was late.
fn lateness(line: &Line) -> String {
    let cause = if line.waited_ms <= line.target_ms {
        "by a pause between events"
    } else if line.urgency == "late" {
        "as it was expected to be"
    } else {
        "though it was expected in time"
    };
    format!("served late, {cause}")
}

fn part(count: u64, all: u64) -> String {
    #[expect(clippy::cast_precision_loss, reason = "counts of requests")]
    let share = count as f64 * 100.0 / all.max(1) as f64;
    format!("{count} ({share:.1}%)")
}

/// Number of the window in which a line was written, counted within its day.
fn window_of(line: &Line) -> Option<u64> {
    let (_date, time) = line.timestamp.as_deref()?.split_once('T')?;
    let mut parts = time.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: u64 = parts.next()?.get(..2)?.parse().ok()?;
    Some((hours * 3600 + minutes * 60 + seconds) / WINDOW_S)
}
