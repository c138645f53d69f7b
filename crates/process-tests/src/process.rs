//! Starting, signalling and stopping one child process.

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use eyre::{Context, ContextCompat, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

use crate::wait::eventually;

/// Time within which a process must print its ready line. It is long because only a broken process
/// should reach it.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the path of a binary of the workspace in the same target directory as the tests.
///
/// # Errors
/// If the binary does not exist: run `cargo build --workspace --bins` first, or test the whole
/// workspace.
pub fn binary(name: &str) -> Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test
        .parent()
        .and_then(|deps| deps.parent())
        .wrap_err("the test binary is not in a target directory")?;
    let path = folder.join(name);
    if !path.exists() {
        bail!("{name} is not built: run cargo test --workspace, or cargo build --workspace --bins");
    }
    Ok(path)
}

/// Returns whether the kernel reports every thread of the process as stopped.
fn are_all_threads_stopped(id: u32) -> bool {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
        return false;
    };
    threads.flatten().all(|thread| {
        let status = std::fs::read_to_string(thread.path().join("status"));
        status.is_ok_and(|status| status.contains("State:\tT"))
    })
}

/// A running binary of the workspace. Killed when dropped.
pub struct Process {
    child: Child,
    _output: Lines<BufReader<ChildStdout>>,
    /// JSON line that the process printed when it was ready.
    pub ready: Value,
}

impl Process {
    /// Starts a binary and waits for its ready line `{"ready":true,…}`.
    ///
    /// # Errors
    /// If the process does not start, exits early, or is not ready in time.
    pub async fn start(name: &str, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(binary(name)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("failed to start {name}"))?;
        let stdout = child.stdout.take().wrap_err("no standard output")?;
        let mut output = BufReader::new(stdout).lines();
        let first_line = tokio::time::timeout(READY_TIMEOUT, output.next_line())
            .await
            .wrap_err_with(|| format!("{name} was not ready in time"))??;
        let line = first_line.wrap_err_with(|| format!("{name} exited before it was ready"))?;
        let ready: Value = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} printed {line:?} instead of its ready line"))?;
        Ok(Self {
            child,
            _output: output,
            ready,
        })
    }

    /// Returns the address at the JSON pointer `pointer` in the ready line.
    ///
    /// # Errors
    /// If the ready line has no valid address there.
    pub fn address(&self, pointer: &str) -> Result<std::net::SocketAddr> {
        let text = self.ready.pointer(pointer).and_then(Value::as_str);
        let text = text.wrap_err_with(|| format!("no address {pointer} in {}", self.ready))?;
        Ok(text.parse()?)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// If the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.child.id().wrap_err("the process has exited")?;
        let pid = Pid::from_raw(i32::try_from(id)?).wrap_err("process id 0")?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Stops the process with SIGSTOP and waits until all of its threads have stopped. Sending the
    /// signal alone returns while threads may still be running.
    ///
    /// # Errors
    /// If the process has exited.
    pub async fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let id = self.child.id().wrap_err("the process has exited")?;
        eventually("all threads of a process have stopped", || async {
            are_all_threads_stopped(id).then_some(())
        })
        .await
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// If the process cannot be killed or waited for.
    pub async fn kill(mut self) -> Result<()> {
        self.child.kill().await?;
        Ok(())
    }

    /// Waits until the process exits and returns its exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    /// If the process cannot be waited for.
    pub async fn wait_for_exit(mut self) -> Result<Option<i32>> {
        Ok(self.child.wait().await?.code())
    }
}
