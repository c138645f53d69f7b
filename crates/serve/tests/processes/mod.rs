//! A daemon as a process of its own, on loopback, with stand-ins of the store and of back ends.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only a part of it"
)]

mod back_end;
mod client;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ponddrift_platform_stand_ins::{
    EngineTraitsConfig, RouteConfig, ServiceConfig, StoreStandIn, config,
};
use ponddrift_runtime::Runtime;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{sleep, timeout};

pub use back_end::{BackEndRequest, RawBackEnd, answer_head};
pub use client::{RawClient, SlowReader, read_head, request_head};

/// Name of the service of plain back ends.
pub const RECORDS: &str = "records";
/// Name of the service of model engines.
pub const MODELS: &str = "models";
/// Ends a test whose process hangs; no check depends on it otherwise.
pub const HANG_LIMIT: Duration = Duration::from_secs(90);

/// One such test runs at a time, because they measure memory and descriptors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// Waits for the other tests of this file.
pub async fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// An address on loopback whose port is free.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("the bound address")
}

/// A store on loopback, with the routes of these tests.
pub struct Platform {
    pub store: StoreStandIn,
    store_address: SocketAddr,
    _server: ponddrift_http::Server,
}

impl Platform {
    /// Starts a store whose configuration allows bodies of `max_body_bytes`.
    pub async fn start(max_body_bytes: usize) -> Self {
        let store = StoreStandIn::default();
        let store_address = free_address();
        let runtime = Runtime::system(7);
        let server = store.serve(&runtime, store_address).await;
        let server = server.expect("the address is free");
        store.put("op/config", configuration(max_body_bytes));
        Self {
            store,
            store_address,
            _server: server,
        }
    }

    /// Starts a daemon with additional settings, and waits until it is ready.
    pub async fn start_daemon(&self, settings: &str) -> DaemonProcess {
        let daemon = DaemonProcess::start(self.store_address, settings);
        daemon.wait_until_ready().await;
        daemon
    }
}

/// A configuration with three routes: `post` must not be repeated, `fetch` may be, `tag` is a stream.
pub fn configuration(max_body_bytes: usize) -> String {
    let routes = [
        RouteConfig {
            attempts: 1,
            timeout_ms: 600_000,
            ..RouteConfig::new("post", "unsafe", RECORDS)
        },
        RouteConfig {
            timeout_ms: 600_000,
            ..RouteConfig::new("fetch", "safe", RECORDS)
        },
        RouteConfig {
            attempts: 1,
            timeout_ms: 600_000,
            ..RouteConfig::new("tag", "streaming", MODELS)
        },
    ];
    let services = [
        ServiceConfig {
            name: RECORDS,
            engine: None,
        },
        ServiceConfig {
            name: MODELS,
            engine: Some(EngineTraitsConfig { slots: 8 }),
        },
    ];
    let text = config(1, &routes, &services);
    let mut value: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    value["limits"]["maxBodyBytes"] = serde_json::json!(max_body_bytes);
    value.to_string()
}

/// A running `ponddrift-serve`, killed on drop.
pub struct DaemonProcess {
    child: Child,
    folder: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl DaemonProcess {
    fn start(store: SocketAddr, settings: &str) -> Self {
        let (callers, readiness, peers) = (free_address(), free_address(), free_address());
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("ponddrift-serve-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let file = folder.join("settings.toml");
        let text = format!(
            "[daemon]\nname = \"daemon-1\"\nzone = \"a\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{store}\"\n{settings}"
        );
        fs::write(&file, text).expect("the settings are written");
        let log = fs::File::create(folder.join("log")).expect("a log file");
        #[expect(
            clippy::disallowed_methods,
            reason = "the test starts the program; the program starts no other"
        )]
        let child = Command::new(env!("CARGO_BIN_EXE_ponddrift-serve"))
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Self {
            child,
            folder,
            callers,
            readiness,
        }
    }

    async fn wait_until_ready(&self) {
        let ready = async {
            while !RawClient::get_ok(self.readiness, "/readiness").await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(HANG_LIMIT, ready).await.expect("ready");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        kill_process(self.pid(), Signal::TERM).expect("the process is there");
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Waits until the process ends by itself; `None` if it hangs.
    pub async fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let ended = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a child") {
                    return status;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(HANG_LIMIT, ended).await.ok()
    }

    /// Greatest resident memory so far, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes.expect("a size").parse::<u64>().expect("a number") << 10
    }

    /// Waits until the process has handled what it was sent: it uses hardly any processor time.
    pub async fn settle(&self) {
        /// Clock ticks of an idle process within one interval.
        const IDLE_TICKS: u64 = 5;
        let settled = async {
            let mut before = self.processor_ticks();
            loop {
                sleep(Duration::from_millis(500)).await;
                let now = self.processor_ticks();
                if now - before <= IDLE_TICKS {
                    return;
                }
                before = now;
            }
        };
        timeout(HANG_LIMIT, settled).await.expect("no hang");
    }

    /// Processor time used so far, in clock ticks.
    fn processor_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = fs::read_to_string(path).expect("the process runs");
        let (_name, fields) = stat.rsplit_once(')').expect("the name ends");
        // The fields of `utime` and `stime`, counted from the one after the name.
        let times = fields.split_whitespace().skip(11).take(2);
        times
            .map(|ticks| ticks.parse::<u64>().expect("a number"))
            .sum()
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("the process runs").count()
    }

    /// The log lines so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).expect("the log is text")
    }

    /// Whether an ordinary request is answered with 200.
    pub async fn serves_a_request(&self, id: &str) -> bool {
        let request = request_head("fetch", id, "content-length: 8\r\n") + "question";
        let answer = RawClient::exchange(self.callers, request.as_bytes());
        let answer = timeout(HANG_LIMIT, answer).await.expect("no hang");
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }
}

/// Lowers the number of descriptors that the process may have open.
pub fn limit_descriptors(daemon: &DaemonProcess, maximum: u64) {
    let limit = Rlimit {
        current: Some(maximum),
        maximum: Some(maximum),
    };
    prlimit(Some(daemon.pid()), Resource::Nofile, limit).expect("the limit is lowered");
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
            let last: Vec<&str> = log.lines().rev().take(30).collect();
            eprintln!("last log lines, newest first:\n{}", last.join("\n"));
        }
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_dir_all(&self.folder));
    }
}
