//! Short silences of back ends, drawn in addition to the faults.
//!
//! A back end that is silent neither reads nor sends anything, and loses nothing: all daemons see
//! it as if its packets had been delayed. Silences come in series on their own schedule, so that
//! they overlap with kills, stops and changes.

pub mod network;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::platform::{EngineMember, Platform};

/// Range of the duration of a silence, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 400..1_600;
/// Range of the time between two silences of a series, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 400..900;
/// Range of the time between two series, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_000..3_000;
/// Range of the number of silences in a series.
const SERIES_LENGTH: std::ops::Range<u32> = 1..4;
/// Time after a silence within which an engine has read what arrived during it. Shorter than the
/// time between two silences.
const BACKLOG_READ_TIME: Duration = Duration::from_millis(250);

/// Which back ends are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    All,
    Plain,
    Models,
    MostPlain,
    MostModels,
    One,
}

const EXTENTS: [Extent; 6] = [
    Extent::All,
    Extent::Plain,
    Extent::Models,
    Extent::MostPlain,
    Extent::MostModels,
    Extent::One,
];

/// A silence.
#[derive(Debug, Clone)]
pub struct Silence {
    /// Addresses of the silent engines.
    pub engines: HashSet<SocketAddr>,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// All silences of a run.
#[derive(Debug, Default, Clone)]
pub struct Silences(pub Vec<Silence>);

impl Silences {
    /// Whether any of `engines` was silent between `from` and `to`.
    #[must_use]
    pub fn overlaps(&self, engines: &HashSet<SocketAddr>, from: Instant, to: Instant) -> bool {
        self.0.iter().any(|silence| {
            silence.from <= to && silence.to >= from && !silence.engines.is_disjoint(engines)
        })
    }

    /// The earliest time at which something that `engine` read at `read_at` may have reached it.
    #[must_use]
    pub fn earliest_arrival(&self, engine: SocketAddr, read_at: Instant) -> Instant {
        let of_engine = self.0.iter().filter(|silence| {
            silence.engines.contains(&engine)
                && silence.from <= read_at
                && silence.to + BACKLOG_READ_TIME >= read_at
        });
        let earliest = of_engine.map(|silence| silence.from).min();
        earliest.unwrap_or(read_at)
    }
}

/// Silences back ends at random times.
pub struct Silencer {
    random: Pcg64Mcg,
    silences: Silences,
    next_silence: Instant,
    left_in_series: u32,
}

impl Silencer {
    /// Creates a silencer whose random sequence depends only on `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed.rotate_left(41)),
            silences: Silences::default(),
            next_silence: Instant::now(),
            left_in_series: 0,
        }
    }

    /// The silences so far.
    #[must_use]
    pub const fn silences(&self) -> &Silences {
        &self.silences
    }

    /// Begins a silence if it is due. It ends by itself.
    pub fn tick(&mut self, platform: &Platform) {
        if Instant::now() < self.next_silence {
            return;
        }
        let members = self.draw_members(platform);
        let duration = self.draw_duration(DURATION_MS);
        self.silence(&members, duration);
        self.next_silence = Instant::now() + duration + self.draw_pause();
    }

    /// Silences these engines for `duration`.
    pub fn silence(&mut self, members: &[&EngineMember], duration: Duration) {
        let from = Instant::now();
        let to = from + duration;
        for member in members {
            member.connections.silence_until(to);
        }
        let engines = members.iter().map(|member| member.engine.address());
        self.silences.0.push(Silence {
            engines: engines.collect(),
            from,
            to,
        });
    }

    fn draw_members<'a>(&mut self, platform: &'a Platform) -> Vec<&'a EngineMember> {
        let extent = *EXTENTS.choose(&mut self.random).unwrap_or(&Extent::All);
        let members = platform.members.iter();
        let mut members: Vec<&EngineMember> = members
            .filter(|member| match extent {
                Extent::All | Extent::One => true,
                Extent::Plain | Extent::MostPlain => !member.engine.is_model_engine(),
                Extent::Models | Extent::MostModels => member.engine.is_model_engine(),
            })
            .collect();
        members.shuffle(&mut self.random);
        match extent {
            Extent::MostPlain | Extent::MostModels => {
                members.truncate((members.len() * 2).div_ceil(3));
            }
            Extent::One => members.truncate(1),
            Extent::All | Extent::Plain | Extent::Models => {}
        }
        members
    }

    fn draw_pause(&mut self) -> Duration {
        if self.left_in_series == 0 {
            self.left_in_series = self.random.random_range(SERIES_LENGTH);
        }
        self.left_in_series -= 1;
        if self.left_in_series == 0 {
            self.draw_duration(PAUSE_MS)
        } else {
            self.draw_duration(GAP_MS)
        }
    }

    fn draw_duration(&mut self, range_ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range_ms))
    }
}
