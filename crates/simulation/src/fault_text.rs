//! Text format of a fault schedule: one `<milliseconds> <fault> <host> [<host>]` line per fault.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::fault_schedule::{Fault, FaultSchedule, ScheduledFault};
use crate::host::HostId;

/// A line could not be parsed as a scheduled fault.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "line {line} ({text:?}) is not a valid fault: write '<milliseconds> <fault> <host number> [<host number>]' \
     with kill, power-off, restart, freeze or thaw and one host, or cut, cut-one-way or heal and two"
)]
pub struct FaultTextError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Content of the line.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(host) => write!(formatter, "kill {}", host.0),
            Self::PowerOff(host) => write!(formatter, "power-off {}", host.0),
            Self::Restart(host) => write!(formatter, "restart {}", host.0),
            Self::Freeze(host) => write!(formatter, "freeze {}", host.0),
            Self::Thaw(host) => write!(formatter, "thaw {}", host.0),
            Self::Cut(first, second) => write!(formatter, "cut {} {}", first.0, second.0),
            Self::CutOneWay { from, to } => write!(formatter, "cut-one-way {} {}", from.0, to.0),
            Self::Heal(first, second) => write!(formatter, "heal {} {}", first.0, second.0),
        }
    }
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for scheduled in &self.faults {
            writeln!(
                formatter,
                "{} {}",
                scheduled.at.as_millis(),
                scheduled.fault
            )?;
        }
        Ok(())
    }
}

impl FromStr for FaultSchedule {
    type Err = FaultTextError;

    fn from_str(text: &str) -> Result<Self, FaultTextError> {
        let mut faults = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let fault = parse_line(line).ok_or_else(|| FaultTextError {
                line: index + 1,
                text: line.to_owned(),
            })?;
            faults.push(fault);
        }
        Ok(Self { faults })
    }
}

fn parse_line(line: &str) -> Option<ScheduledFault> {
    let mut words = line.split_whitespace();
    let at = Duration::from_millis(words.next()?.parse().ok()?);
    let kind = words.next()?;
    let hosts: Vec<HostId> = words
        .map(|word| word.parse().map(HostId))
        .collect::<Result<_, _>>()
        .ok()?;
    let fault = match (kind, hosts.as_slice()) {
        ("kill", &[host]) => Fault::Kill(host),
        ("power-off", &[host]) => Fault::PowerOff(host),
        ("restart", &[host]) => Fault::Restart(host),
        ("freeze", &[host]) => Fault::Freeze(host),
        ("thaw", &[host]) => Fault::Thaw(host),
        ("cut", &[first, second]) => Fault::Cut(first, second),
        ("cut-one-way", &[from, to]) => Fault::CutOneWay { from, to },
        ("heal", &[first, second]) => Fault::Heal(first, second),
        _ => return None,
    };
    Some(ScheduledFault { at, fault })
}
