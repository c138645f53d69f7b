//! Errors of commands and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use ponddrift_core::Execution;
use ponddrift_daemon::settings::Faults;
use ponddrift_http::Problem;

/// A daemon rejected the statement.
const EXIT_REJECTED: u8 = 1;
/// Invalid usage, input or settings file.
const EXIT_USAGE: u8 = 2;
/// No daemon could be reached, or none gave a valid response.
const EXIT_UNREACHABLE: u8 = 3;

/// Error of a command. Messages say how to fix the problem.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// A daemon rejected the statement.
    #[error("{}: {}{}", .0.title, .0.detail, execution_text(.0.execution))]
    Rejected(Box<Problem>),
    /// All daemons were tried without success. A change was not executed.
    #[error(
        "no daemon could be reached, so nothing was sent; give a running one with --daemon IP:PORT or PONDDRIFT_DAEMON:{}",
        format_attempts(.0)
    )]
    Unreachable(Vec<FailedAttempt>),
    /// A change was sent, but its response was lost, so its outcome is unknown.
    #[error(
        "the response from {daemon} was lost ({reason}): the change may or may not have been accepted; check with `ponddrift query` before sending it again"
    )]
    ResponseLost {
        /// Operator address of the daemon.
        daemon: std::net::SocketAddr,
        /// Cause of the loss.
        reason: String,
    },
    /// The response is not one that a daemon sends.
    #[error(
        "{daemon} sent an invalid response ({reason}); check that it is the operator address of a daemon"
    )]
    InvalidResponse {
        /// Address that sent the response.
        daemon: std::net::SocketAddr,
        /// HTTP status and parse error.
        reason: String,
    },
    /// The statement is missing or blank.
    #[error("no statement was given: write it after the command, or to standard input")]
    NoStatement,
    /// A file could not be opened or read.
    #[error("{} cannot be read ({source}): check the name and its permissions", .path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The settings file is invalid.
    #[error("{0}")]
    Settings(Faults),
    /// Reading standard input or writing standard output failed.
    #[error("standard input or output failed: {0}")]
    Terminal(#[from] std::io::Error),
}

/// Failed attempt to reach one daemon.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) daemon: std::net::SocketAddr,
    pub(crate) reason: String,
}

fn format_attempts(format_attempts: &[FailedAttempt]) -> String {
    let lines = format_attempts
        .iter()
        .map(|attempt| format!("\n  {}: {}", attempt.daemon, attempt.reason));
    lines.collect()
}

const fn execution_text(execution: Execution) -> &'static str {
    match execution {
        Execution::NotStarted => "",
        Execution::Unknown => " (it is unknown whether it took effect)",
    }
}

impl CliError {
    /// Returns the exit code, as documented in the help text.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Rejected(_) => EXIT_REJECTED,
            Self::NoStatement | Self::File { .. } | Self::Settings(_) | Self::Terminal(_) => {
                EXIT_USAGE
            }
            Self::Unreachable(_) | Self::ResponseLost { .. } | Self::InvalidResponse { .. } => {
                EXIT_UNREACHABLE
            }
        })
    }
}
