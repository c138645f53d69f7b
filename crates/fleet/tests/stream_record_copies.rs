//! Compares ways to keep the records of streams while all daemons are replaced in turn.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::stream_origins::{
    KnownOrigin, RecorderCandidate, StreamId, StreamOrigin, StreamOrigins, StreamRecord,
    recorders_in_order,
};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(50);
const STREAM_TIME: Duration = Duration::from_millis(13_500);
const RETENTION: Duration = Duration::from_secs(17);
/// Streams whose records are followed.
const STREAMS: usize = 150;
const RECORDERS: usize = 3;
const ASKED_DAEMONS: usize = 6;
/// From the begin of a planned stop: when an idle daemon exits, when one with streams does, and the
/// time until it is back.
const IDLE_EXIT: Duration = Duration::from_secs(3);
const BUSY_EXIT: Duration = Duration::from_millis(7_300);
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Pause between two groups of daemons that are stopped together.
const GAP: Duration = Duration::from_secs(1);
const DATAGRAM_LOSS: f64 = 0.05;

#[derive(Debug, Clone, Copy)]
struct Way {
    hands_over: bool,
    renews: bool,
}

/// How the daemons that serve the streams end.
#[derive(Debug, Clone, Copy)]
enum End {
    Planned,
    Killed,
}

struct Daemon {
    candidate: RecorderCandidate<usize>,
    records: StreamOrigins,
    /// When its planned stop begins.
    stops_at: Duration,
    exits_at: Duration,
    is_up: bool,
}

struct Stream {
    id: StreamId,
    server: usize,
    begins_at: Duration,
    /// When its caller takes it up elsewhere.
    cut_at: Duration,
}

#[derive(Default)]
struct Outcome {
    taken_up: usize,
    known: usize,
    datagrams: usize,
    handed_over: usize,
}

struct World {
    way: Way,
    random: Pcg64Mcg,
    daemons: Vec<Daemon>,
    outcome: Outcome,
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: Arc::from("models"),
        version: Arc::from("v1"),
    }
}

impl World {
    fn candidates(&self, without: usize) -> Vec<RecorderCandidate<usize>> {
        let daemons = self.daemons.iter().enumerate();
        daemons
            .filter(|(index, daemon)| *index != without && daemon.is_up)
            .map(|(_index, daemon)| daemon.candidate.clone())
            .collect()
    }

    fn tell(&mut self, from: usize, record: &StreamRecord, now: Instant, is_confirmed: bool) {
        let recorders = recorders_in_order(record.stream, self.candidates(from));
        for recorder in recorders.into_iter().take(RECORDERS) {
            if is_confirmed {
                self.outcome.handed_over += 1;
            } else {
                self.outcome.datagrams += 1;
                if self.random.random_bool(DATAGRAM_LOSS) {
                    continue;
                }
            }
            let records = &mut self.daemons[recorder.address].records;
            records.record(record.stream, record.origin.clone(), record.retention, now);
        }
    }

    fn hand_over(&mut self, daemon: usize, now: Instant) {
        if self.way.hands_over {
            for record in self.daemons[daemon].records.all(now) {
                self.tell(daemon, &record, now, true);
            }
        }
    }

    fn advance(&mut self, index: usize, elapsed: Duration, now: Instant) {
        let daemon = &self.daemons[index];
        let (stops_at, exits_at) = (daemon.stops_at, daemon.exits_at);
        let is_at = |at: Duration| elapsed <= at && at < elapsed + STEP;
        if is_at(stops_at) {
            self.hand_over(index, now);
        }
        if is_at(exits_at) {
            self.hand_over(index, now);
            self.daemons[index].is_up = false;
            self.daemons[index].records = StreamOrigins::default();
        }
        if is_at(exits_at + DOWN_TIME) {
            self.daemons[index].is_up = true;
        }
        if self.way.renews && self.daemons[index].is_up {
            for record in self.daemons[index].records.take_due_renewals(now) {
                self.tell(index, &record, now, false);
            }
        }
    }

    fn take_up(&mut self, stream: &Stream, now: Instant) {
        let others = self.candidates(stream.server);
        let Some(at) = others.get(self.random.random_range(0..others.len().max(1))) else {
            return;
        };
        let asked = recorders_in_order(stream.id, self.candidates(at.address));
        let asked = asked.into_iter().take(ASKED_DAEMONS);
        let is_known = asked
            .map(|daemon| daemon.address)
            .chain([at.address])
            .any(|daemon| {
                let known = self.daemons[daemon].records.find(stream.id, now);
                matches!(known, KnownOrigin::Known(_))
            });
        self.outcome.taken_up += 1;
        self.outcome.known += usize::from(is_known);
    }
}

fn play(count: usize, way: Way, end: End, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut order: Vec<usize> = (0..count).collect();
    order.shuffle(&mut random);
    let group = count.div_ceil(10).min(count / 4);
    let mut daemons: Vec<Daemon> = (0..count)
        .map(|index| Daemon {
            candidate: RecorderCandidate {
                daemon: (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                zone: Arc::from((index % 3).to_string()),
                address: index,
            },
            records: StreamOrigins::default(),
            stops_at: Duration::ZERO,
            exits_at: Duration::ZERO,
            is_up: true,
        })
        .collect();
    for (place, index) in order.iter().enumerate() {
        let turn = u32::try_from(place / group).expect("few groups");
        daemons[*index].stops_at = Duration::from_secs(1) + GAP * turn;
        daemons[*index].exits_at = daemons[*index].stops_at + IDLE_EXIT;
    }
    // The streams are at the daemons that are stopped last.
    let servers = &order[order.len() - group..];
    for server in servers {
        daemons[*server].exits_at = daemons[*server].stops_at + BUSY_EXIT;
    }
    let streams: Vec<Stream> = (0..STREAMS)
        .map(|number| {
            let server = servers[number % servers.len()];
            let exits_at = daemons[server].exits_at;
            let age = random.random_range(500..13_000);
            let cut_at = match end {
                End::Planned => exits_at,
                End::Killed => {
                    let earlier = Duration::from_millis(random.random_range(0..2_000));
                    exits_at.saturating_sub(earlier)
                }
            };
            Stream {
                id: StreamId::of(None, &format!("{seed}-{number}")),
                server,
                begins_at: cut_at.saturating_sub(Duration::from_millis(age)),
                cut_at,
            }
        })
        .collect();
    let start = Instant::now() + Duration::from_secs(3_600);
    let mut world = World {
        way,
        random,
        daemons,
        outcome: Outcome::default(),
    };
    let last = streams.iter().map(|stream| stream.cut_at).max();
    let last = last.unwrap_or_default() + STREAM_TIME;
    let mut killed: HashMap<usize, Duration> = HashMap::new();
    if let End::Killed = end {
        for stream in &streams {
            let at = killed.entry(stream.server).or_insert(stream.cut_at);
            *at = (*at).min(stream.cut_at);
        }
    }
    let mut elapsed = Duration::ZERO;
    while elapsed < last {
        let now = start + elapsed;
        for stream in &streams {
            let cut_at = killed.get(&stream.server).copied().unwrap_or(stream.cut_at);
            if elapsed <= stream.begins_at
                && stream.begins_at < elapsed + STEP
                && stream.begins_at < cut_at
                && world.daemons[stream.server].is_up
            {
                let record = StreamRecord {
                    stream: stream.id,
                    origin: origin(),
                    retention: RETENTION,
                };
                let records = &mut world.daemons[stream.server].records;
                records.record_served(stream.id, origin(), RETENTION, now);
                world.tell(stream.server, &record, now, false);
            }
            // Streams that had begun are taken up a moment after their daemon ended.
            let taken_up_at = cut_at + STEP * 2;
            if stream.begins_at < cut_at && elapsed <= taken_up_at && taken_up_at < elapsed + STEP {
                world.take_up(stream, now);
            }
        }
        for (server, at) in &killed {
            if elapsed <= *at && *at < elapsed + STEP {
                world.daemons[*server].is_up = false;
                world.daemons[*server].records = StreamOrigins::default();
                world.daemons[*server].exits_at = Duration::ZERO;
                world.daemons[*server].stops_at = Duration::ZERO;
            }
        }
        for index in 0..world.daemons.len() {
            world.advance(index, elapsed, now);
        }
        elapsed += STEP;
    }
    world.outcome
}

/// Daemons hand their records over when they stop, and renew those of the streams that they serve.
#[test]
fn records_outlive_a_rolling_restart_of_all_daemons() {
    const BOTH: Way = Way {
        hands_over: true,
        renews: true,
    };
    let only = |hands_over, renews| Way { hands_over, renews };
    for count in [4, 36, 986] {
        for end in [End::Planned, End::Killed] {
            for way in [
                only(false, false),
                only(true, false),
                only(false, true),
                BOTH,
            ] {
                let seeds = if count > 100 { 1 } else { 10 };
                let mut sum = Outcome::default();
                for seed in 0..seeds {
                    let outcome = play(count, way, end, seed);
                    sum.taken_up += outcome.taken_up;
                    sum.known += outcome.known;
                    sum.datagrams += outcome.datagrams;
                    sum.handed_over += outcome.handed_over;
                }
                eprintln!(
                    "{count} daemons, {end:?}, {way:?}: {} of {} known, {} datagrams and {} rows handed over",
                    sum.known, sum.taken_up, sum.datagrams, sum.handed_over
                );
                assert!(sum.taken_up >= 12, "{count} daemons, {end:?}");
                if way.hands_over && way.renews {
                    assert!(
                        sum.known * 100 >= sum.taken_up * 98,
                        "{count} daemons, {end:?}: {} of {}",
                        sum.known,
                        sum.taken_up
                    );
                }
            }
        }
    }
}
