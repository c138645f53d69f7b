//! Runs a daemon and the emulated platform in the test process, and the `ponddrift` binary against
//! them.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Output, Stdio};

use ponddrift_core::Incarnation;
use ponddrift_daemon::Daemon;
use ponddrift_daemon::settings::{self, KeyAssignment};
use ponddrift_emulator::platform::{Platform, PlatformAddresses, PlatformSettings};
use ponddrift_runtime::Runtime;
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

const SEED: u64 = 11;

/// A running daemon with its emulated platform.
pub struct TestDaemon {
    pub daemon: Daemon,
    _platform: Platform,
}

impl TestDaemon {
    pub async fn start() -> Self {
        let runtime = Runtime::system(SEED);
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let addresses = PlatformAddresses {
            key_value: any_port,
            machine_list: any_port,
            weight_store: any_port,
            control: any_port,
        };
        let platform = Platform::start(&runtime, addresses, PlatformSettings::default())
            .await
            .expect("free ports");
        let platform_addresses = platform.addresses;
        let assignments = [
            "daemon.id=1".to_owned(),
            "daemon.zone=a".to_owned(),
            "daemon.region=central".to_owned(),
            "listen.gateway=127.0.0.1:0".to_owned(),
            "listen.operator=127.0.0.1:0".to_owned(),
            "listen.peer=127.0.0.1:0".to_owned(),
            format!("platform.key_value=[\"{}\"]", platform_addresses.key_value),
            format!("platform.machine_list={}", platform_addresses.machine_list),
        ]
        .map(|text| text.parse::<KeyAssignment>().expect("a valid assignment"));
        let settings = settings::load("", &assignments).expect("valid settings");
        let daemon = Daemon::start(runtime, settings, Incarnation(1))
            .await
            .expect("the daemon starts");
        Self {
            daemon,
            _platform: platform,
        }
    }

    pub fn operator_address(&self) -> String {
        self.daemon.addresses().operator.to_string()
    }
}

/// Exit code and output of the binary.
pub struct CommandOutput {
    pub code: Option<i32>,
    pub output: String,
    pub errors: String,
}

/// Runs the binary with empty standard input.
pub async fn ponddrift(arguments: &[&str]) -> CommandOutput {
    ponddrift_reading(arguments, "").await
}

/// Runs the binary with `input` on its standard input.
pub async fn ponddrift_reading(arguments: &[&str], input: &str) -> CommandOutput {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ponddrift"))
        .args(arguments)
        .env_remove("PONDDRIFT_DAEMON")
        .env_remove("PONDDRIFT_OPERATOR")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the binary starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    // Writing fails if a command that reads no input has already exited.
    let _written = stdin.write_all(input.as_bytes()).await;
    drop(stdin);
    let Output {
        status,
        stdout,
        stderr,
    } = child.wait_with_output().await.expect("the binary exits");
    CommandOutput {
        code: status.code(),
        output: String::from_utf8(stdout).expect("UTF-8 output"),
        errors: String::from_utf8(stderr).expect("UTF-8 output"),
    }
}

/// Returns a local address with no listener.
pub async fn unused_address() -> String {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    listener.local_addr().expect("a bound address").to_string()
}
