//! Cuts of the paths between daemons and back ends, drawn in addition to the faults.
//!
//! Cuts come and go on their own schedule, so that they overlap with kills, stops and changes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::daemons::DaemonProcess;
use crate::faulty_network::{CUT_KINDS, Cut, CutKind};
use crate::platform::Platform;

/// Range of the time until the next cut, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..3_000;
/// Range of the duration of a cut, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 500..7_000;

/// Which back ends are behind a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    All,
    Plain,
    Models,
    Half,
}

const EXTENTS: [Extent; 5] = [
    Extent::All,
    Extent::All,
    Extent::Plain,
    Extent::Models,
    Extent::Half,
];

/// A cut in the past or in force.
#[derive(Debug, Clone)]
pub struct CutPeriod {
    /// Addresses for callers of the daemons that it affects.
    pub daemons: Vec<SocketAddr>,
    /// When it began.
    pub from: Instant,
    /// When it ended; `None` if it is in force.
    pub to: Option<Instant>,
}

/// Cuts paths at random times.
pub struct PathCutter {
    random: Pcg64Mcg,
    cut: Option<Cut>,
    cut_daemons: Vec<usize>,
    next_change: Instant,
    count: u64,
    periods: Vec<CutPeriod>,
}

impl PathCutter {
    /// Creates a cutter that cuts nothing yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed.rotate_left(23)),
            cut: None,
            cut_daemons: Vec::new(),
            next_change: Instant::now(),
            count: 0,
            periods: Vec::new(),
        }
    }

    /// Number of cuts so far.
    #[must_use]
    pub fn count(&self) -> usize {
        usize::try_from(self.count).unwrap_or(usize::MAX)
    }

    /// All cuts so far.
    #[must_use]
    pub fn periods(&self) -> &[CutPeriod] {
        &self.periods
    }

    /// Begins or ends a cut if it is due, and sends the state to all daemons: processes that were
    /// restarted don't have it.
    pub fn tick(&mut self, daemons: &[DaemonProcess], platform: &Platform) {
        if Instant::now() >= self.next_change {
            let range = if self.cut.is_some() {
                self.heal();
                PAUSE_MS
            } else {
                self.begin(daemons, platform);
                DURATION_MS
            };
            let time = Duration::from_millis(self.random.random_range(range));
            self.next_change = Instant::now() + time;
        }
        self.send(daemons);
    }

    /// Cuts these daemons from all back ends, in this way.
    pub fn cut_from_all(
        &mut self,
        cut_daemons: Vec<usize>,
        kind: CutKind,
        daemons: &[DaemonProcess],
        platform: &Platform,
    ) {
        self.set(cut_daemons, kind, addresses(platform, Extent::All), daemons);
    }

    /// Ends the cut, if there is one.
    pub fn heal(&mut self) {
        self.cut = None;
        if let Some(last) = self.periods.last_mut() {
            last.to.get_or_insert_with(Instant::now);
        }
    }

    /// Sends the state to all daemons.
    pub fn send(&self, daemons: &[DaemonProcess]) {
        for (number, daemon) in daemons.iter().enumerate() {
            let is_cut = self.cut_daemons.contains(&number);
            daemon.set_cut(self.cut.as_ref().filter(|_| is_cut));
        }
    }

    /// Draws the daemons (at least one is left out), the kind and the back ends of a cut.
    fn begin(&mut self, daemons: &[DaemonProcess], platform: &Platform) {
        let mut numbers: Vec<usize> = (0..daemons.len()).collect();
        numbers.shuffle(&mut self.random);
        let cut = self.random.random_range(1..daemons.len().max(2));
        numbers.truncate(cut);
        let kind = *CUT_KINDS
            .choose(&mut self.random)
            .unwrap_or(&CutKind::Silent);
        let extent = *EXTENTS.choose(&mut self.random).unwrap_or(&Extent::All);
        let mut targets = addresses(platform, extent);
        if extent == Extent::Half {
            targets.shuffle(&mut self.random);
            targets.truncate(targets.len().div_ceil(2));
        }
        self.set(numbers, kind, targets, daemons);
    }

    fn set(
        &mut self,
        cut_daemons: Vec<usize>,
        kind: CutKind,
        targets: Vec<SocketAddr>,
        daemons: &[DaemonProcess],
    ) {
        self.count += 1;
        let addresses = cut_daemons
            .iter()
            .map(|daemon| daemons[*daemon].caller_address);
        self.periods.push(CutPeriod {
            daemons: addresses.collect(),
            from: Instant::now(),
            to: None,
        });
        self.cut_daemons = cut_daemons;
        self.cut = Some(Cut {
            number: self.count,
            kind,
            targets: targets.into_iter().collect::<HashSet<_>>(),
        });
    }
}

fn addresses(platform: &Platform, extent: Extent) -> Vec<SocketAddr> {
    let engines = platform.members.iter().map(|member| &member.engine);
    let behind_cut = engines.filter(|engine| match extent {
        Extent::All | Extent::Half => true,
        Extent::Plain => !engine.is_model_engine(),
        Extent::Models => engine.is_model_engine(),
    });
    behind_cut.map(|engine| engine.address()).collect()
}
