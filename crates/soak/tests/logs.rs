//! A real daemon's log: a small reader finds each failure's cause, and no reader is waited for.

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
use tokio::process::{ChildStdout, Command};
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
                member.engine.behave_always(behaviour);
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
    scene.models_behave(Behaviour::BreakOff);
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

/// Settings of a daemon whose standard output is not a file.
async fn settings_file(
    platform: &Platform,
    folder: &Path,
) -> Result<(PathBuf, [std::net::SocketAddr; 2])> {
    let [callers, readiness, peers, store] =
        [own_address(), own_address(), own_address(), own_address()];
    std::mem::forget(platform.store.serve(&platform.runtime, store).await?);
    let text = format!(
        "[daemon]\nname = \"d\"\nzone = \"a\"\n[listen]\ncallers = \"{callers}\"\n\
         readiness = \"{readiness}\"\npeers = \"{peers}\"\n[store]\naddress = \"{store}\"\n[log]\nlines_waiting = 50\n"
    );
    std::fs::create_dir_all(folder)?;
    let path = folder.join("d.toml");
    std::fs::write(&path, text)?;
    Ok((path, [callers, readiness]))
}

#[tokio::test]
async fn a_reader_that_does_not_read_holds_no_request_up_and_costs_only_lines() -> Result<()> {
    /// Each leaves a line; more than the pipe and the waiting lines hold together.
    const REQUESTS: usize = 1_600;
    let platform = Platform::start(2).await?;
    let folder = std::env::temp_dir().join(format!("ponddrift-flood-{}", std::process::id()));
    let (path, [callers, readiness]) = settings_file(&platform, &folder).await?;
    let mut child = Command::new(binary()?)
        .arg("--config")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    let _unread = child.stdout.take().wrap_err("its output")?;
    let client = ClientStandIn::new(platform.runtime.clone());
    await_ready(&client, readiness).await?;
    flood(&client, callers, "nowhere", REQUESTS, StatusCode::NOT_FOUND).await?;
    let dropped = dropped_lines_after_tidying(&client, readiness).await?;
    assert!(dropped > 0.0, "lines that found no room are counted");
    drop(std::fs::remove_dir_all(&folder));
    Ok(())
}

/// Whatever the reader missed of served requests, the line of one that failed is there.
#[tokio::test]
async fn lines_of_served_requests_go_first() -> Result<()> {
    /// Each leaves a line; more than the pipe and the waiting lines hold together.
    const SERVED: usize = 1_200;
    let platform = Platform::start(4).await?;
    let folder = std::env::temp_dir().join(format!("ponddrift-worth-{}", std::process::id()));
    let (path, [callers, readiness]) = settings_file(&platform, &folder).await?;
    let mut child = Command::new(binary()?)
        .arg("--config")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    let output = child.stdout.take().wrap_err("its output")?;
    let client = ClientStandIn::new(platform.runtime.clone());
    await_ready(&client, readiness).await?;
    flood(&client, callers, "post", SERVED, StatusCode::OK).await?;
    assert!(dropped_lines_after_tidying(&client, readiness).await? > 0.0);
    let failing = ClientRequest::plain("failing", "nowhere");
    let answer = client.ask(callers, &failing).await;
    assert_eq!(
        answer.map(|answer| answer.status),
        Some(StatusCode::NOT_FOUND)
    );
    let found = tokio::time::timeout(LOOK_PAUSE * LOOKS, line_of(output, "failing")).await;
    let line = found.wrap_err("the failed request left no line")??;
    assert_eq!(line["status"], 404);
    drop(std::fs::remove_dir_all(&folder));
    Ok(())
}

/// Many requests of one route, some at a time, all with the same answer.
async fn flood(
    client: &ClientStandIn,
    callers: std::net::SocketAddr,
    route: &'static str,
    requests: usize,
    expected: StatusCode,
) -> Result<()> {
    const AT_A_TIME: usize = 16;
    let tasks: Vec<_> = (0..AT_A_TIME)
        .map(|caller| {
            let client = client.clone();
            tokio::spawn(async move {
                for number in 0..requests / AT_A_TIME {
                    let request = ClientRequest::plain(&format!("{caller}-{number}"), route);
                    let answer = client.ask(callers, &request).await;
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
    let platform = Platform::start(3).await?;
    let folder = std::env::temp_dir().join(format!("ponddrift-closed-{}", std::process::id()));
    let (path, [callers, readiness]) = settings_file(&platform, &folder).await?;
    let mut child = Command::new(binary()?)
        .arg("--config")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    drop(child.stdout.take());
    let client = ClientStandIn::new(platform.runtime.clone());
    await_ready(&client, readiness).await?;
    for number in 0..200 {
        let request = ClientRequest::plain(&number.to_string(), "nowhere");
        let answer = client.ask(callers, &request).await;
        assert_eq!(
            answer.map(|answer| answer.status),
            Some(StatusCode::NOT_FOUND)
        );
    }
    assert!(child.try_wait()?.is_none(), "it runs on");
    drop(std::fs::remove_dir_all(&folder));
    Ok(())
}

async fn await_ready(client: &ClientStandIn, readiness: std::net::SocketAddr) -> Result<()> {
    for _ in 0..LOOKS {
        if client.status(readiness, "/readiness").await == Some(StatusCode::OK) {
            return Ok(());
        }
        sleep(LOOK_PAUSE).await;
    }
    eyre::bail!("the daemon was never ready")
}

/// Figures are brought up to date now and then.
async fn dropped_lines_after_tidying(
    client: &ClientStandIn,
    readiness: std::net::SocketAddr,
) -> Result<f64> {
    let mut dropped = 0.0;
    for _ in 0..LOOKS {
        dropped = dropped_lines(client, readiness).await?;
        if dropped > 0.0 {
            break;
        }
        sleep(LOOK_PAUSE).await;
    }
    Ok(dropped)
}

async fn dropped_lines(client: &ClientStandIn, readiness: std::net::SocketAddr) -> Result<f64> {
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
