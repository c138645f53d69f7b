//! Checks that a daemon's log names the cause of each failed request, and that a slow or missing
//! reader of the log does not delay requests.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use eyre::{Context as _, ContextCompat, Result};
use http::StatusCode;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, ClientStandIn};
use ponddrift_soak::daemons::{DaemonProcess, serve_binary_path};
use ponddrift_soak::platform::{MODEL_SERVICE, Platform, unique_loopback_address};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::sleep;

/// Number of polls before an event counts as missing; reached only on failure.
const POLL_ATTEMPTS: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct TestFleet {
    platform: Platform,
    daemon: DaemonProcess,
    client: ClientStandIn,
    folder: PathBuf,
}

impl TestFleet {
    async fn new(name: &str) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("ponddrift-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let platform = Platform::start(1).await?;
        let daemon = DaemonProcess::start(1, &platform, &folder, false).await?;
        let client = ClientStandIn::new(platform.runtime.clone());
        let fleet = Self {
            platform,
            daemon,
            client,
            folder,
        };
        fleet.await_ready().await?;
        Ok(fleet)
    }

    /// Waits until a request is served, which requires that configuration and back ends are known.
    async fn await_ready(&self) -> Result<()> {
        for look in 0..POLL_ATTEMPTS {
            let request = ClientRequest::prompt(&format!("ready-{look}"), "verdict", 40, 200);
            let answer = self.client.ask(self.daemon.caller_address, &request).await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        eyre::bail!("the daemon did not serve a request in time")
    }

    fn set_model_behaviour(&self, behaviour: Behaviour) {
        for member in &self.platform.members {
            if member.engine.is_model_engine() {
                member.engine.set_default_behaviour(behaviour);
            }
        }
    }

    async fn ask(&self, request: &ClientRequest) -> Result<StatusCode> {
        let answer = self.client.ask(self.daemon.caller_address, request).await;
        Ok(answer.wrap_err("the daemon sent no answer")?.status)
    }

    /// All log lines of a request, once the line for its end has been written.
    async fn request_lines(&self, id: &str) -> Result<Vec<Value>> {
        for _ in 0..POLL_ATTEMPTS {
            let lines = lines_of(&self.folder.join("daemon-1.log"), id)?;
            if lines
                .last()
                .is_some_and(|line| line["message"] == "request_ended")
            {
                return Ok(lines);
            }
            sleep(POLL_INTERVAL).await;
        }
        eyre::bail!("the log has no request_ended line for {id}")
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        // Leftover files do not affect other tests.
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn lines_of(log: &Path, id: &str) -> Result<Vec<Value>> {
    let text = std::fs::read_to_string(log)?;
    let lines = text
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    Ok(lines.filter(|line| line["request"] == id).collect())
}

/// The engine and the outcome of the last failed attempt.
fn failed_attempt(lines: &[Value]) -> Option<(String, String)> {
    let mut tries = lines
        .iter()
        .filter(|line| line["message"] == "attempt_ended");
    let last = tries
        .rfind(|line| !matches!(line["outcome"].as_str(), Some("answered" | "prompt_read")))?;
    let text = |key: &str| last[key].as_str().map(str::to_owned);
    Some((text("back_end")?, text("outcome")?))
}

#[tokio::test]
async fn a_refused_request_is_traced_to_the_engines_that_rejected_it() -> Result<()> {
    let fleet = TestFleet::new("refused").await?;
    fleet.set_model_behaviour(Behaviour::Refuse);
    let request = ClientRequest::prompt("refused-1", "verdict", 40, 200);
    assert_eq!(fleet.ask(&request).await?, StatusCode::SERVICE_UNAVAILABLE);
    let lines = fleet.request_lines("refused-1").await?;
    let end = lines.last().wrap_err("no log lines")?;
    assert_eq!(end["outcome"], "refused");
    assert_eq!(end["runs"], 0);
    let (engine, outcome) = failed_attempt(&lines).wrap_err("no attempt_ended line")?;
    assert_eq!(outcome, "back_end_refused");
    let mut members = fleet.platform.members.iter();
    let rejected = members.find(|member| member.engine.id() == engine);
    assert!(rejected.wrap_err("unknown engine")?.engine.rejected() > 0);
    Ok(())
}

#[tokio::test]
async fn a_request_lost_with_its_engine_is_traced_to_that_engine() -> Result<()> {
    let fleet = TestFleet::new("lost").await?;
    fleet.set_model_behaviour(Behaviour::TruncateAnswer);
    let request = ClientRequest::prompt("lost-1", "verdict", 40, 200);
    fleet.ask(&request).await?;
    let lines = fleet.request_lines("lost-1").await?;
    assert_eq!(
        lines.last().wrap_err("no log lines")?["outcome"],
        "broken_off"
    );
    let (engine, outcome) = failed_attempt(&lines).wrap_err("no attempt_ended line")?;
    assert!(outcome.starts_with("broke"), "{outcome}");
    let members = fleet.platform.members.iter();
    let ran: Vec<&str> = members
        .filter(|member| {
            member
                .engine
                .runs()
                .iter()
                .any(|run| run.request == "lost-1")
        })
        .map(|member| member.engine.id())
        .collect();
    assert_eq!(ran, [engine.as_str()]);
    Ok(())
}

#[tokio::test]
async fn a_late_request_is_traced_to_the_time_its_engine_took() -> Result<()> {
    let fleet = TestFleet::new("late").await?;
    fleet.set_model_behaviour(Behaviour::Stream {
        events: 1,
        gap_ms: 700,
    });
    let request = ClientRequest::prompt("late-1", "verdict", 40, 200);
    assert_eq!(fleet.ask(&request).await?, StatusCode::OK);
    let lines = fleet.request_lines("late-1").await?;
    let end = lines.last().wrap_err("no log lines")?;
    assert_eq!(end["outcome"], "served");
    assert_eq!(end["in_time"], false);
    let waited = end["waited_ms"].as_f64().wrap_err("missing time field")?;
    let placed = lines.iter().find(|line| line["message"] == "placed");
    let expected = placed.wrap_err("no placed line")?["expected_ms"].as_f64();
    let answered = lines.iter().find(|line| line["outcome"] == "answered");
    let took = answered.wrap_err("no attempt_ended line")?["took_ms"].as_f64();
    assert!(waited >= 700.0, "{waited}");
    assert!(took.wrap_err("missing time field")? >= 700.0);
    assert!(
        expected.wrap_err("missing time field")? < 200.0,
        "the expected time must be below the time that the engine took"
    );
    let engine = end["back_ends"].as_str().wrap_err("unknown engine")?;
    let mut members = fleet.platform.members.iter();
    assert!(members.any(|member| member.engine.id() == engine));
    assert!(engine.starts_with("i-") && !MODEL_SERVICE.is_empty());
    Ok(())
}

/// A daemon whose standard output is a pipe, which nobody reads unless the test does.
struct PipedDaemon {
    child: Child,
    output: Option<ChildStdout>,
    client: ClientStandIn,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
    folder: PathBuf,
    _platform: Platform,
}

impl PipedDaemon {
    /// Starts a daemon with its own directory.
    async fn start(name: &str, number: u64) -> Result<Self> {
        let platform = Platform::start(number).await?;
        let folder = std::env::temp_dir().join(format!("ponddrift-{name}-{}", std::process::id()));
        let [caller_address, readiness_address, peers, store] = [
            unique_loopback_address(),
            unique_loopback_address(),
            unique_loopback_address(),
            unique_loopback_address(),
        ];
        std::mem::forget(platform.store.serve(&platform.runtime, store).await?);
        let text = format!(
            "[daemon]\nname = \"d\"\nzone = \"a\"\n[listen]\ncallers = \"{caller_address}\"\n\
             readiness = \"{readiness_address}\"\npeers = \"{peers}\"\n[store]\naddress = \"{store}\"\n[log]\nlines_waiting = 50\n"
        );
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("d.toml");
        std::fs::write(&path, text)?;
        let mut child = Command::new(serve_binary_path()?)
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        let output = child.stdout.take();
        let client = ClientStandIn::new(platform.runtime.clone());
        Ok(Self {
            child,
            output,
            client,
            caller_address,
            readiness_address,
            folder,
            _platform: platform,
        })
    }

    async fn await_ready(&self) -> Result<()> {
        await_ready(&self.client, self.readiness_address).await
    }

    /// Sends requests to a route from `concurrency` concurrent callers, and checks that each is
    /// answered with the `expected` status.
    async fn send_requests(
        &self,
        route: &'static str,
        requests: usize,
        concurrency: usize,
        expected: StatusCode,
    ) -> Result<()> {
        let caller_address = self.caller_address;
        let tasks: Vec<_> = (0..concurrency)
            .map(|caller| {
                let client = self.client.clone();
                tokio::spawn(async move {
                    for number in 0..requests / concurrency {
                        let id = format!("{caller}-{number}");
                        let answer = client
                            .ask(caller_address, &ClientRequest::plain(&id, route))
                            .await;
                        assert_eq!(answer.map(|answer| answer.status), Some(expected));
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await?;
        }
        Ok(())
    }

    /// Number of dropped log lines. Polls until it is positive, since the metric is updated
    /// periodically.
    async fn dropped_lines(&self) -> Result<f64> {
        let mut dropped = 0.0;
        for _ in 0..POLL_ATTEMPTS {
            dropped = dropped_lines(&self.client, self.readiness_address).await?;
            if dropped > 0.0 {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(dropped)
    }
}

impl Drop for PipedDaemon {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Number of concurrent callers that fill the log.
const CONCURRENT_CALLERS: usize = 16;

#[tokio::test]
async fn a_stalled_log_reader_delays_no_request_and_only_drops_lines() -> Result<()> {
    /// Each request writes a log line; together more than the pipe and the log queue can hold.
    const REQUESTS: usize = 1_600;
    let daemon = PipedDaemon::start("flood", 2).await?;
    daemon.await_ready().await?;
    daemon
        .send_requests(
            "nowhere",
            REQUESTS,
            CONCURRENT_CALLERS,
            StatusCode::NOT_FOUND,
        )
        .await?;
    let dropped = daemon.dropped_lines().await?;
    assert!(
        dropped > 0.0,
        "lines that do not fit into the queue must be counted"
    );
    Ok(())
}

/// When the log queue is full, lines of failed requests must be kept in preference to lines of
/// served requests.
#[tokio::test]
async fn lines_of_served_requests_are_dropped_before_lines_of_failed_requests() -> Result<()> {
    /// Each request writes a log line; together more than the pipe and the log queue can hold.
    const SERVED: usize = 1_200;
    let mut daemon = PipedDaemon::start("worth", 4).await?;
    daemon.await_ready().await?;
    daemon
        .send_requests("post", SERVED, CONCURRENT_CALLERS, StatusCode::OK)
        .await?;
    assert!(daemon.dropped_lines().await? > 0.0);
    let failing = ClientRequest::plain("failing", "nowhere");
    let answer = daemon.client.ask(daemon.caller_address, &failing).await;
    assert_eq!(
        answer.map(|answer| answer.status),
        Some(StatusCode::NOT_FOUND)
    );
    let output = daemon
        .output
        .take()
        .wrap_err("the output was already taken")?;
    let reading = line_of(output, "failing");
    let found = tokio::time::timeout(POLL_INTERVAL * POLL_ATTEMPTS, reading).await;
    let line = found.wrap_err("the failed request left no line")??;
    assert_eq!(line["status"], 404);
    Ok(())
}

/// The first log line of a request.
async fn line_of(output: ChildStdout, request: &str) -> Result<Value> {
    let mut lines = BufReader::new(output).lines();
    while let Some(line) = lines.next_line().await? {
        let line: Value = serde_json::from_str(&line)?;
        if line["request"] == request {
            return Ok(line);
        }
    }
    eyre::bail!("the failed request left no line")
}

#[tokio::test]
async fn a_closed_standard_output_delays_no_request() -> Result<()> {
    const REQUESTS: usize = 200;
    let mut daemon = PipedDaemon::start("closed", 3).await?;
    drop(daemon.output.take());
    daemon.await_ready().await?;
    daemon
        .send_requests("nowhere", REQUESTS, 1, StatusCode::NOT_FOUND)
        .await?;
    assert!(
        daemon.child.try_wait()?.is_none(),
        "the daemon must keep running"
    );
    Ok(())
}

async fn await_ready(client: &ClientStandIn, readiness_address: SocketAddr) -> Result<()> {
    for _ in 0..POLL_ATTEMPTS {
        if client.status(readiness_address, "/readiness").await == Some(StatusCode::OK) {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    eyre::bail!("the daemon did not become ready in time")
}

async fn dropped_lines(client: &ClientStandIn, readiness_address: SocketAddr) -> Result<f64> {
    let text = client
        .text(readiness_address, "/metrics")
        .await
        .wrap_err("no metrics page")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("ponddrift_log_lines_dropped "))
        .wrap_err("the metric is missing")?;
    Ok(line.parse()?)
}
