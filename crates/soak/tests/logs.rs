//! A real daemon's log: a small reader finds each failure's cause, and no reader is waited for.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use eyre::{Context as _, ContextCompat, Result};
use http::StatusCode;
use ponddrift_platform_stand_ins::{Behaviour, ClientRequest, ClientStandIn};
use ponddrift_soak::daemons::{DaemonProcess, binary};
use ponddrift_soak::platform::{MODELS, Platform, own_address};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::sleep;

/// Looks for an event before it counts as missing; generous, since only a broken daemon uses it up.
const LOOKS: u32 = 600;
const LOOK_PAUSE: Duration = Duration::from_millis(50);

struct Scene {
    platform: Platform,
    daemon: DaemonProcess,
    client: ClientStandIn,
    folder: PathBuf,
}

impl Scene {
    async fn new(name: &str) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("ponddrift-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let platform = Platform::start(1).await?;
        let daemon = DaemonProcess::start(1, &platform, &folder).await?;
        let client = ClientStandIn::new(platform.runtime.clone());
        let scene = Self {
            platform,
            daemon,
            client,
            folder,
        };
        scene.await_ready().await?;
        Ok(scene)
    }

    /// Waits until a request is served: configuration and back ends are known then.
    async fn await_ready(&self) -> Result<()> {
        for look in 0..LOOKS {
            let request = ClientRequest::prompt(&format!("ready-{look}"), "verdict", 40, 200);
            let answer = self.client.ask(self.daemon.callers, &request).await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                return Ok(());
            }
            sleep(LOOK_PAUSE).await;
        }
        eyre::bail!("the daemon never served a request")
    }

    fn models_behave(&self, behaviour: Behaviour) {
        for member in &self.platform.members {
            if member.engine.is_model_engine() {
                member.engine.set_default_behaviour(behaviour);
            }
        }
    }

    async fn ask(&self, request: &ClientRequest) -> Result<StatusCode> {
        let answer = self.client.ask(self.daemon.callers, request).await;
        Ok(answer.wrap_err("an answer")?.status)
    }

    /// All that the log tells of a request, once its end is there.
    async fn told(&self, id: &str) -> Result<Vec<Value>> {
        for _ in 0..LOOKS {
            let lines = lines_of(&self.folder.join("daemon-1.log"), id)?;
            if lines
                .last()
                .is_some_and(|line| line["message"] == "request_ended")
            {
                return Ok(lines);
            }
            sleep(LOOK_PAUSE).await;
        }
        eyre::bail!("the log never told the end of {id}")
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        // Left-over files harm nobody.
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

/// The engine and the outcome of the last try that did not end well.
fn culprit(lines: &[Value]) -> Option<(String, String)> {
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
    let scene = Scene::new("refused").await?;
    scene.models_behave(Behaviour::Refuse);
    let request = ClientRequest::prompt("refused-1", "verdict", 40, 200);
    assert_eq!(scene.ask(&request).await?, StatusCode::SERVICE_UNAVAILABLE);
    let lines = scene.told("refused-1").await?;
    let end = lines.last().wrap_err("an end")?;
    assert_eq!(end["outcome"], "refused");
    assert_eq!(end["runs"], 0);
    let (engine, outcome) = culprit(&lines).wrap_err("a try")?;
    assert_eq!(outcome, "back_end_refused");
    let mut members = scene.platform.members.iter();
    let rejected = members.find(|member| member.engine.id() == engine);
    assert!(rejected.wrap_err("an engine")?.engine.rejected() > 0);
    Ok(())
}

#[tokio::test]
async fn a_request_lost_with_its_engine_is_traced_to_that_engine() -> Result<()> {
    let scene = Scene::new("lost").await?;
    scene.models_behave(Behaviour::TruncateAnswer);
    let request = ClientRequest::prompt("lost-1", "verdict", 40, 200);
    scene.ask(&request).await?;
    let lines = scene.told("lost-1").await?;
    assert_eq!(lines.last().wrap_err("an end")?["outcome"], "broken_off");
    let (engine, outcome) = culprit(&lines).wrap_err("a try")?;
    assert!(outcome.starts_with("broke"), "{outcome}");
    let members = scene.platform.members.iter();
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
    let scene = Scene::new("late").await?;
    scene.models_behave(Behaviour::Stream {
        events: 1,
        gap_ms: 700,
    });
    let request = ClientRequest::prompt("late-1", "verdict", 40, 200);
    assert_eq!(scene.ask(&request).await?, StatusCode::OK);
    let lines = scene.told("late-1").await?;
    let end = lines.last().wrap_err("an end")?;
    assert_eq!(end["outcome"], "served");
    assert_eq!(end["in_time"], false);
    let waited = end["waited_ms"].as_f64().wrap_err("a time")?;
    let placed = lines.iter().find(|line| line["message"] == "placed");
    let expected = placed.wrap_err("a placement")?["expected_ms"].as_f64();
    let answered = lines.iter().find(|line| line["outcome"] == "answered");
    let took = answered.wrap_err("a try")?["took_ms"].as_f64();
    assert!(waited >= 700.0, "{waited}");
    assert!(took.wrap_err("a time")? >= 700.0);
    assert!(
        expected.wrap_err("a time")? < 200.0,
        "the engine took longer than it should"
    );
    let engine = end["back_ends"].as_str().wrap_err("an engine")?;
    let mut members = scene.platform.members.iter();
    assert!(members.any(|member| member.engine.id() == engine));
    assert!(engine.starts_with("i-") && !MODELS.is_empty());
    Ok(())
}

/// A daemon whose standard output is a pipe.
struct PipedDaemon {
    child: Child,
    output: Option<ChildStdout>,
    client: ClientStandIn,
    callers: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
    _platform: Platform,
}

impl PipedDaemon {
    /// Starts one in a folder of its own; nobody reads its output yet.
    async fn start(name: &str, number: u64) -> Result<Self> {
        let platform = Platform::start(number).await?;
        let folder = std::env::temp_dir().join(format!("ponddrift-{name}-{}", std::process::id()));
        let [callers, readiness, peers, store] =
            [own_address(), own_address(), own_address(), own_address()];
        std::mem::forget(platform.store.serve(&platform.runtime, store).await?);
        let text = format!(
            "[daemon]\nname = \"d\"\nzone = \"a\"\n[listen]\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\npeers = \"{peers}\"\n[store]\naddress = \"{store}\"\n[log]\nlines_waiting = 50\n"
        );
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("d.toml");
        std::fs::write(&path, text)?;
        let mut child = Command::new(binary()?)
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
            callers,
            readiness,
            folder,
            _platform: platform,
        })
    }

    async fn await_ready(&self) -> Result<()> {
        await_ready(&self.client, self.readiness).await
    }

    /// Some requests of one route, `at_a_time` at a time, all with the same answer.
    async fn flood(
        &self,
        route: &'static str,
        requests: usize,
        at_a_time: usize,
        expected: StatusCode,
    ) -> Result<()> {
        let callers = self.callers;
        let tasks: Vec<_> = (0..at_a_time)
            .map(|caller| {
                let client = self.client.clone();
                tokio::spawn(async move {
                    for number in 0..requests / at_a_time {
                        let id = format!("{caller}-{number}");
                        let answer = client.ask(callers, &ClientRequest::plain(&id, route)).await;
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

    /// Lines that were dropped; figures are brought up to date now and then.
    async fn dropped_lines(&self) -> Result<f64> {
        let mut dropped = 0.0;
        for _ in 0..LOOKS {
            dropped = dropped_lines(&self.client, self.readiness).await?;
            if dropped > 0.0 {
                break;
            }
            sleep(LOOK_PAUSE).await;
        }
        Ok(dropped)
    }
}

impl Drop for PipedDaemon {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Requests that are asked at a time to fill the log.
const AT_A_TIME: usize = 16;

#[tokio::test]
async fn a_reader_that_does_not_read_holds_no_request_up_and_costs_only_lines() -> Result<()> {
    /// Each leaves a line; more than the pipe and the waiting lines hold together.
    const REQUESTS: usize = 1_600;
    let daemon = PipedDaemon::start("flood", 2).await?;
    daemon.await_ready().await?;
    daemon
        .flood("nowhere", REQUESTS, AT_A_TIME, StatusCode::NOT_FOUND)
        .await?;
    let dropped = daemon.dropped_lines().await?;
    assert!(dropped > 0.0, "lines that found no room are counted");
    Ok(())
}

/// Whatever the reader missed of served requests, the line of one that failed is there.
#[tokio::test]
async fn lines_of_served_requests_go_first() -> Result<()> {
    /// Each leaves a line; more than the pipe and the waiting lines hold together.
    const SERVED: usize = 1_200;
    let mut daemon = PipedDaemon::start("worth", 4).await?;
    daemon.await_ready().await?;
    daemon
        .flood("post", SERVED, AT_A_TIME, StatusCode::OK)
        .await?;
    assert!(daemon.dropped_lines().await? > 0.0);
    let failing = ClientRequest::plain("failing", "nowhere");
    let answer = daemon.client.ask(daemon.callers, &failing).await;
    assert_eq!(
        answer.map(|answer| answer.status),
        Some(StatusCode::NOT_FOUND)
    );
    let output = daemon.output.take().wrap_err("its output")?;
    let reading = line_of(output, "failing");
    let found = tokio::time::timeout(LOOK_PAUSE * LOOKS, reading).await;
    let line = found.wrap_err("the failed request left no line")??;
    assert_eq!(line["status"], 404);
    Ok(())
}

/// The first line of a request.
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
async fn a_closed_standard_output_holds_no_request_up() -> Result<()> {
    const REQUESTS: usize = 200;
    let mut daemon = PipedDaemon::start("closed", 3).await?;
    drop(daemon.output.take());
    daemon.await_ready().await?;
    daemon
        .flood("nowhere", REQUESTS, 1, StatusCode::NOT_FOUND)
        .await?;
    assert!(daemon.child.try_wait()?.is_none(), "it runs on");
    Ok(())
}

async fn await_ready(client: &ClientStandIn, readiness: SocketAddr) -> Result<()> {
    for _ in 0..LOOKS {
        if client.status(readiness, "/readiness").await == Some(StatusCode::OK) {
            return Ok(());
        }
        sleep(LOOK_PAUSE).await;
    }
    eyre::bail!("the daemon was never ready")
}

async fn dropped_lines(client: &ClientStandIn, readiness: SocketAddr) -> Result<f64> {
    let text = client
        .text(readiness, "/metrics")
        .await
        .wrap_err("figures")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("ponddrift_log_lines_dropped "))
        .wrap_err("the figure")?;
    Ok(line.parse()?)
}
