//! The daemons: real processes that faults strike from outside.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use eyre::{Context, ContextCompat, Result};
use ponddrift_platform_stand_ins::StoreEndpoint;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::Instant;

use crate::platform::{Platform, own_address};

/// Name of the binary, which stands beside this one.
const BINARY: &str = "ponddrift-serve";

/// One daemon, over all its lives.
pub struct DaemonProcess {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where its readiness is asked for.
    pub readiness: SocketAddr,
    /// Its way to the store.
    pub door: StoreEndpoint,
    /// Until when something was done to it: what callers see of it then proves nothing.
    pub disturbed_until: Option<Instant>,
    /// Ends of its process that nobody brought about.
    pub own_ends: u32,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Starts a daemon with settings of its own in `folder`.
    ///
    /// # Errors
    /// When it cannot be started.
    pub async fn start(number: usize, platform: &Platform, folder: &Path) -> Result<Self> {
        let name = format!("daemon-{number}");
        let callers = own_address();
        let readiness = own_address();
        let peers = own_address();
        let store = own_address();
        let (server, door) = platform
            .store
            .serve_endpoint(&platform.runtime, store)
            .await?;
        // The server lives as long as the process.
        std::mem::forget(server);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "[daemon]\nname = \"{name}\"\nzone = \"a\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{store}\"\n\
             [retry]\nbudget_ratio = 0.2\nbudget_slack = 40\n[stop]\ngrace_s = 8\n"
        );
        std::fs::write(&settings, text)?;
        let mut daemon = Self {
            log: folder.join(format!("{name}.log")),
            name,
            callers,
            readiness,
            door,
            disturbed_until: None,
            own_ends: 0,
            binary: binary()?,
            settings,
            child: None,
        };
        daemon.spawn()?;
        Ok(daemon)
    }

    fn spawn(&mut self) -> Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.binary)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("{} cannot be started", self.name))?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts it again where its process has ended. `expected`: somebody ended it.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn keep_running(&mut self, expected: bool) -> Result<()> {
        let ended = match &mut self.child {
            Some(child) => child.try_wait()?.is_some(),
            None => true,
        };
        if !ended {
            return Ok(());
        }
        if !expected {
            self.own_ends += 1;
        }
        self.spawn()
    }

    /// Sends its process a signal.
    ///
    /// # Errors
    /// When it has none.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let child = self.child.as_ref().wrap_err("no process")?;
        let id = child.id().wrap_err("it has ended")?;
        let pid = Pid::from_raw(i32::try_from(id)?).wrap_err("no process id")?;
        kill_process(pid, signal)?;
        Ok(())
    }
}

/// Path of the daemon's binary, which stands beside this program.
///
/// # Errors
/// When it is not there: build the workspace's binaries first.
pub fn binary() -> Result<PathBuf> {
    let this = std::env::current_exe()?;
    let mut folder = this.parent().wrap_err("no folder")?.to_path_buf();
    // A test's binary lies one folder deeper.
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(BINARY);
    eyre::ensure!(
        path.exists(),
        "{BINARY} is not built beside this program: run cargo build --workspace --bins"
    );
    Ok(path)
}
