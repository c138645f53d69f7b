//! Daemon processes, controlled through signals.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Stdio;

use eyre::{Context, ContextCompat, Result};
use ponddrift_platform_stand_ins::StoreEndpoint;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::Instant;

use crate::faulty_network::{CONTROL_VARIABLE, Cut};
use crate::platform::{Platform, unique_loopback_address};

/// File name of the daemon's binary, expected in the directory of this program.
const SERVE_BINARY_NAME: &str = "ponddrift-serve";
/// File name of the daemon's binary with a network whose paths can be cut.
const CUTTABLE_BINARY_NAME: &str = "ponddrift-soak-daemon";

/// A daemon, across restarts of its process.
pub struct DaemonProcess {
    /// The name in the daemon's settings.
    pub name: String,
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address of the readiness and metrics endpoints.
    pub readiness_address: SocketAddr,
    /// The daemon's link to the store, where store faults for this daemon are injected.
    pub store_link: StoreEndpoint,
    /// End of the effects of the last fault. Until then, exits are expected and checks are skipped.
    pub disturbed_until: Option<Instant>,
    /// Number of times the process exited without a fault that explains it.
    pub unexpected_exits: u32,
    /// Address that receives control messages; `None` if the paths cannot be cut.
    control: Option<SocketAddr>,
    control_socket: UdpSocket,
    binary_path: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Writes the daemon's settings to `folder` and starts its process.
    ///
    /// # Errors
    /// When the settings cannot be written, the store link's address cannot be bound or the process
    /// cannot be started.
    pub async fn start(
        number: usize,
        platform: &Platform,
        folder: &Path,
        has_cuts: bool,
    ) -> Result<Self> {
        let name = format!("daemon-{number}");
        let caller_address = unique_loopback_address();
        let readiness_address = unique_loopback_address();
        let peers = unique_loopback_address();
        let store = unique_loopback_address();
        let (server, store_link) = platform
            .store
            .serve_endpoint(&platform.runtime, store)
            .await?;
        // The server must run until this process exits.
        std::mem::forget(server);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "[daemon]\nname = \"{name}\"\nzone = \"a\"\n\
             [listen]\ncallers = \"{caller_address}\"\nreadiness = \"{readiness_address}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{store}\"\n\
             [retry]\nbudget_ratio = 0.2\nbudget_slack = 40\n[stop]\ngrace_s = 8\n"
        );
        std::fs::write(&settings, text)?;
        let mut daemon = Self {
            log: folder.join(format!("{name}.log")),
            name,
            caller_address,
            readiness_address,
            store_link,
            disturbed_until: None,
            unexpected_exits: 0,
            control: has_cuts.then(unique_loopback_address),
            control_socket: control_socket()?,
            binary_path: if has_cuts {
                binary_path(CUTTABLE_BINARY_NAME)?
            } else {
                serve_binary_path()?
            },
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
        let mut command = Command::new(&self.binary_path);
        if let Some(control) = self.control {
            command.env(CONTROL_VARIABLE, control.to_string());
        }
        let child = command
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start the process of {}", self.name))?;
        self.child = Some(child);
        Ok(())
    }

    /// Restarts the process if it has exited. If the exit was not `expected`, counts it in
    /// `unexpected_exits`.
    ///
    /// # Errors
    /// When the process cannot be started.
    pub fn restart_if_exited(&mut self, expected: bool) -> Result<()> {
        let ended = match &mut self.child {
            Some(child) => child.try_wait()?.is_some(),
            None => true,
        };
        if !ended {
            return Ok(());
        }
        if !expected {
            self.unexpected_exits += 1;
        }
        self.spawn()
    }

    /// Sets the cut between the daemon and back ends, or ends it. A message to a process that is not
    /// running is lost, so the state has to be sent repeatedly.
    pub fn set_cut(&self, cut: Option<&Cut>) {
        if let Some(control) = self.control {
            let message = Cut::encode(cut);
            drop(self.control_socket.send_to(message.as_bytes(), control));
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// When the process is not running or the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let child = self.child.as_ref().wrap_err("the daemon has no process")?;
        let id = child.id().wrap_err("the daemon's process has exited")?;
        let pid = Pid::from_raw(i32::try_from(id)?).wrap_err("invalid process id")?;
        kill_process(pid, signal)?;
        Ok(())
    }
}

/// Path of the daemon's binary in the directory of this program.
///
/// # Errors
/// When the binary does not exist: build the workspace's binaries first.
pub fn serve_binary_path() -> Result<PathBuf> {
    binary_path(SERVE_BINARY_NAME)
}

fn control_socket() -> Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn binary_path(name: &str) -> Result<PathBuf> {
    let this = std::env::current_exe()?;
    let mut folder = this
        .parent()
        .wrap_err("the path of this program has no parent directory")?
        .to_path_buf();
    // Cargo places test binaries in the `deps` subdirectory.
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    eyre::ensure!(
        path.exists(),
        "{name} does not exist in the directory of this program: run cargo build --workspace --bins"
    );
    Ok(path)
}
