//! Network paths from this daemon to back ends.
//!
//! A connection that cannot be opened says as much about the path as about the back end. A path
//! counts as cut if a direct attempt fails that began right after a peer had reached the back end, or if
//! a direct check failed right after another path was found to be cut. An attempt that began earlier
//! shows nothing: the back end may have been silent then. Connections over a cut path are opened
//! through a peer until the path works again, which this daemon checks periodically, whether or not
//! requests want the back end.
//!
//! Paths belong to addresses, not to incarnations of back ends: a new process at the same address is
//! reached over the same path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval of the checks of a cut path.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval after the first successful check: the other checks only confirm it.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum paths that are checked at the same time. Bounds what a daemon without any path sends.
pub const MAX_CONCURRENT_CHECKS: usize = 16;
/// Successful checks in a row that restore a path.
const CHECKS_TO_RESTORE: u32 = 2;
/// Maximum of the same for a path that was cut again soon after it had been restored.
const MAX_CHECKS_TO_RESTORE: u32 = 16;
/// A path that is cut again within this time after its restoration needs more checks than before.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);
/// A back end with direct contact within this time is not suspected when another path turns out to be
/// cut.
const RECENT_CONTACT: Duration = Duration::from_millis(250);
/// A direct attempt that begins within this time after a peer reached the back end shows whether the
/// path is cut. Shorter than any silence of a back end after which it goes on.
const PEER_CONTACT_WINDOW: Duration = Duration::from_millis(100);
/// A path is forgotten if nothing was recorded for this long and it is not cut.
const RETENTION: Duration = Duration::from_secs(60);

/// Why a direct connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The host refused it.
    Refused,
    /// There was no answer in time, or no route.
    NoAnswer,
}

impl ConnectFailure {
    /// Name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// A cut path.
#[derive(Debug, Clone, Copy)]
struct Cut {
    since: Instant,
    failure: ConnectFailure,
    /// Successful checks in a row.
    successes: u32,
    next_check: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Path {
    cut: Option<Cut>,
    last_contact: Option<Instant>,
    /// When a peer last opened a connection to the back end.
    last_peer_contact: Option<Instant>,
    last_used: Instant,
    restored_at: Option<Instant>,
    checks_to_restore: u32,
}

impl Path {
    const fn new(now: Instant) -> Self {
        Self {
            cut: None,
            last_contact: None,
            last_peer_contact: None,
            last_used: now,
            restored_at: None,
            checks_to_restore: CHECKS_TO_RESTORE,
        }
    }
}

/// The result of a check of a cut path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The path is still cut, or not confirmed yet.
    StillCut,
    /// The path works again; it was cut for this long.
    Restored(Duration),
}

/// The paths to all back ends, by their addresses.
#[derive(Debug, Default)]
pub struct Paths {
    by_address: HashMap<SocketAddr, Path>,
}

impl Paths {
    /// Whether connections to the back end are opened through a peer.
    #[must_use]
    pub fn is_cut(&self, address: SocketAddr) -> bool {
        self.by_address
            .get(&address)
            .is_some_and(|path| path.cut.is_some())
    }

    /// How long the path has been cut; `None` if it is not.
    #[must_use]
    pub fn cut_for(&self, address: SocketAddr, now: Instant) -> Option<Duration> {
        let cut = self.by_address.get(&address)?.cut?;
        Some(now.saturating_duration_since(cut.since))
    }

    /// Number of cut paths.
    #[must_use]
    pub fn cut_count(&self) -> usize {
        let cut = self.by_address.values().filter(|path| path.cut.is_some());
        cut.count()
    }

    /// Records that the back end answered on a direct connection, or accepted one.
    pub fn record_contact(&mut self, address: SocketAddr, now: Instant) {
        self.path(address, now).last_contact = Some(now);
    }

    /// Records that a peer opened a connection to the back end.
    pub fn record_peer_contact(&mut self, address: SocketAddr, now: Instant) {
        self.path(address, now).last_peer_contact = Some(now);
    }

    /// Whether the path is cut if a direct attempt failed that began at `began_at`: a peer had just
    /// reached the back end.
    #[must_use]
    pub fn shows_cut(&self, address: SocketAddr, began_at: Instant) -> bool {
        let path = self.by_address.get(&address);
        let peer_contact = path.and_then(|path| path.last_peer_contact);
        peer_contact.is_some_and(|contact| {
            let since_contact = began_at.checked_duration_since(contact);
            since_contact.is_some_and(|time| time <= PEER_CONTACT_WINDOW)
        })
    }

    /// Whether there was direct contact with the back end at or after `since`.
    #[must_use]
    pub fn has_contact_since(&self, address: SocketAddr, since: Instant) -> bool {
        let contact = self
            .by_address
            .get(&address)
            .and_then(|path| path.last_contact);
        contact.is_some_and(|contact| contact >= since)
    }

    /// Records that the path is cut, see the module documentation. Returns whether it was not cut
    /// before.
    pub fn record_cut(
        &mut self,
        address: SocketAddr,
        failure: ConnectFailure,
        now: Instant,
    ) -> bool {
        let path = self.path(address, now);
        if let Some(cut) = &mut path.cut {
            cut.successes = 0;
            return false;
        }
        let relapsed = path
            .restored_at
            .is_some_and(|restored_at| now.saturating_duration_since(restored_at) < RELAPSE_WINDOW);
        path.checks_to_restore = if relapsed {
            (path.checks_to_restore * 2).min(MAX_CHECKS_TO_RESTORE)
        } else {
            CHECKS_TO_RESTORE
        };
        path.cut = Some(Cut {
            since: now,
            failure,
            successes: 0,
            next_check: now + CHECK_INTERVAL,
        });
        true
    }

    /// Why connections over the cut path failed; `None` if it is not cut.
    #[must_use]
    pub fn failure(&self, address: SocketAddr) -> Option<ConnectFailure> {
        Some(self.by_address.get(&address)?.cut?.failure)
    }

    /// Of `addresses`, those that may be cut as well after another path was found to be: not known to
    /// be cut, and without recent direct contact.
    #[must_use]
    pub fn suspects(&self, addresses: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        let is_suspect = |address: &&SocketAddr| {
            let path = self.by_address.get(*address);
            path.is_none_or(|path| {
                let is_recent = path
                    .last_contact
                    .is_some_and(|contact| now.saturating_duration_since(contact) < RECENT_CONTACT);
                path.cut.is_none() && !is_recent
            })
        };
        addresses.iter().filter(is_suspect).copied().collect()
    }

    /// The cut paths that are to be checked now, at most [`MAX_CONCURRENT_CHECKS`], the most overdue
    /// first.
    #[must_use]
    pub fn due_checks(&self, now: Instant) -> Vec<SocketAddr> {
        let cut = self
            .by_address
            .iter()
            .filter_map(|(address, path)| Some((path.cut?.next_check, *address)));
        let mut due: Vec<(Instant, SocketAddr)> = cut
            .filter(|(next_check, _address)| *next_check <= now)
            .collect();
        due.sort_unstable();
        due.truncate(MAX_CONCURRENT_CHECKS);
        due.into_iter().map(|(_at, address)| address).collect()
    }

    /// When the next check is due; `None` if no path is cut.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        let cut = self.by_address.values().filter_map(|path| path.cut);
        cut.map(|cut| cut.next_check).min()
    }

    /// Records a check of a cut path.
    pub fn record_check(
        &mut self,
        address: SocketAddr,
        is_reached: bool,
        now: Instant,
    ) -> CheckResult {
        let path = self.path(address, now);
        let needed = path.checks_to_restore;
        let Some(cut) = &mut path.cut else {
            return CheckResult::StillCut;
        };
        if !is_reached {
            cut.successes = 0;
            cut.next_check = now + CHECK_INTERVAL;
            return CheckResult::StillCut;
        }
        cut.successes += 1;
        if cut.successes < needed {
            cut.next_check = now + CONFIRMATION_INTERVAL;
            return CheckResult::StillCut;
        }
        let cut_for = now.saturating_duration_since(cut.since);
        path.cut = None;
        path.restored_at = Some(now);
        path.last_contact = Some(now);
        self.check_all_now(now);
        CheckResult::Restored(cut_for)
    }

    /// Makes the checks of all cut paths due, because one path was restored.
    fn check_all_now(&mut self, now: Instant) {
        for path in self.by_address.values_mut() {
            if let Some(cut) = &mut path.cut {
                cut.next_check = cut.next_check.min(now);
            }
        }
    }

    /// Forgets the paths to addresses at which there is no back end any more, and unused ones.
    pub fn keep_only(&mut self, is_present: impl Fn(SocketAddr) -> bool, now: Instant) {
        self.by_address.retain(|address, path| {
            let is_unused = now.saturating_duration_since(path.last_used) >= RETENTION;
            is_present(*address) && (path.cut.is_some() || !is_unused)
        });
    }

    fn path(&mut self, address: SocketAddr, now: Instant) -> &mut Path {
        let path = self
            .by_address
            .entry(address)
            .or_insert_with(|| Path::new(now));
        path.last_used = now;
        path
    }
}
