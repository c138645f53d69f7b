//! Simulates goodput with and without admission control as the offered load exceeds the capacity.
//!
//! Discrete-event model of one daemon and a back end with a fixed number of slots and a FIFO queue.
//! A fifth of the requests has high priority. A request counts as good if it ends before its
//! deadline. Prints one JSON document.
//!
//! `cargo run --release -p ponddrift-core --example admission_overload`

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use ponddrift_core::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionRequest, AdmissionSettings,
};
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_core::{RequestId, Timestamp};
use rand::RngExt;
use serde::Serialize;

const SLOTS: usize = 20;
const MEAN_SERVICE_SECONDS: f64 = 0.4;
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
const SIMULATED_TIME: Duration = Duration::from_secs(60);
const OFFERED_LOADS: [f64; 6] = [0.5, 0.9, 1.0, 1.5, 2.0, 4.0];
const HIGH_PRIORITY_SHARE: f64 = 0.2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Strategy {
    /// All requests are sent to the back end immediately.
    None,
    /// FIFO queue, bounded to the requests expected to end within [`CALLER_TIMEOUT`].
    BoundedFifo,
    /// Admission control configured with the actual capacity.
    Admission,
    /// Admission control configured with half the capacity.
    AdmissionToldHalf,
    /// Admission control configured with twice the capacity.
    AdmissionToldTwice,
}

const STRATEGIES: [Strategy; 5] = [
    Strategy::None,
    Strategy::BoundedFifo,
    Strategy::Admission,
    Strategy::AdmissionToldHalf,
    Strategy::AdmissionToldTwice,
];

#[derive(Debug, Serialize)]
struct Figures {
    strategy: Strategy,
    load: f64,
    offered_per_second: f64,
    goodput_per_second: f64,
    good_share_of_high_priority: f64,
    good_share_of_low_priority: f64,
    refused_share: f64,
    started_but_late_share: f64,
    largest_in_flight: usize,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: Timestamp,
    service: Duration,
    level: u8,
}

struct Model {
    strategy: Strategy,
    load: f64,
    admission: Admission,
    random: SeededRandom,
    requests: BTreeMap<RequestId, Request>,
    ends: BTreeSet<(Timestamp, RequestId)>,
    waiting: VecDeque<(RequestId, Timestamp)>,
    offered: [u32; 2],
    good: [u32; 2],
    refused: u32,
    late: u32,
    largest_in_flight: usize,
}

impl Model {
    fn new(strategy: Strategy, load: f64) -> Self {
        let mut admission = Admission::new(AdmissionSettings::default(), 11);
        let slots = match strategy {
            Strategy::AdmissionToldHalf => SLOTS / 2,
            Strategy::AdmissionToldTwice => SLOTS * 2,
            _ => SLOTS,
        };
        let capacity = AdmissionEvent::CapacityChanged {
            slots: slots as u32,
        };
        admission.handle(Timestamp::ZERO, capacity);
        Self {
            strategy,
            load,
            admission,
            random: seeded(11, "overload"),
            requests: BTreeMap::new(),
            ends: BTreeSet::new(),
            waiting: VecDeque::new(),
            offered: [0; 2],
            good: [0; 2],
            refused: 0,
            late: 0,
            largest_in_flight: 0,
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.random.random::<f64>()).ln())
    }

    fn run(mut self) -> Figures {
        let arrival_gap = MEAN_SERVICE_SECONDS / (SLOTS as f64 * self.load);
        let mut serial = 0;
        let mut next_arrival = Timestamp::ZERO + self.exponential(arrival_gap);
        let end_of_arrivals = Timestamp::ZERO + SIMULATED_TIME;
        loop {
            let end = self.ends.first().map(|&(at, _)| at);
            let tick = self.admission.next_tick();
            let arrival = (next_arrival < end_of_arrivals).then_some(next_arrival);
            let Some(now) = [end, tick, arrival].into_iter().flatten().min() else {
                return self.figures();
            };
            if end == Some(now) {
                self.end(now);
            } else if arrival == Some(now) {
                serial += 1;
                self.arrive(now, RequestId(serial));
                next_arrival = now + self.exponential(arrival_gap);
            } else {
                let actions = self.admission.handle(now, AdmissionEvent::Tick);
                self.perform(now, actions);
            }
        }
    }

    fn arrive(&mut self, now: Timestamp, id: RequestId) {
        let level = u8::from(self.random.random::<f64>() >= HIGH_PRIORITY_SHARE);
        let service = self.exponential(MEAN_SERVICE_SECONDS);
        let request = Request {
            arrived: now,
            service,
            level,
        };
        self.requests.insert(id, request);
        self.offered[usize::from(level)] += 1;
        match self.strategy {
            Strategy::None => self.send(now, id),
            Strategy::BoundedFifo => {
                let queue_capacity =
                    SLOTS as f64 / MEAN_SERVICE_SECONDS * CALLER_TIMEOUT.as_secs_f64();
                if (self.waiting.len() as f64) < queue_capacity {
                    self.send(now, id);
                } else {
                    self.refused += 1;
                }
            }
            _ => {
                let request = AdmissionRequest {
                    id,
                    tenant: "tenant".parse().expect("a name"),
                    weight: 1,
                    service: "service".parse().expect("a name"),
                    level,
                    deadline: now + CALLER_TIMEOUT,
                    expected_tokens: 100,
                    expected_service: Duration::from_secs_f64(MEAN_SERVICE_SECONDS),
                };
                let actions = self.admission.handle(now, AdmissionEvent::Arrived(request));
                self.perform(now, actions);
            }
        }
    }

    fn perform(&mut self, now: Timestamp, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.send(now, id),
                AdmissionAction::Refuse(..) => self.refused += 1,
            }
        }
    }

    fn send(&mut self, now: Timestamp, id: RequestId) {
        self.waiting.push_back((id, now));
        self.serve(now);
        let in_flight = self.waiting.len() + self.ends.len();
        self.largest_in_flight = self.largest_in_flight.max(in_flight);
    }

    fn serve(&mut self, now: Timestamp) {
        while self.ends.len() < SLOTS {
            let Some((id, sent)) = self.waiting.pop_front() else {
                return;
            };
            self.ends.insert((now + self.requests[&id].service, id));
            let queue_wait = now.since(sent);
            let actions = self
                .admission
                .handle(now, AdmissionEvent::Waited { queue_wait });
            self.perform(now, actions);
        }
    }

    fn end(&mut self, now: Timestamp) {
        let Some((_, id)) = self.ends.pop_first() else {
            return;
        };
        let request = self.requests[&id];
        if now.since(request.arrived) <= CALLER_TIMEOUT {
            self.good[usize::from(request.level)] += 1;
        } else {
            self.late += 1;
        }
        let finished = AdmissionEvent::Finished {
            id,
            used_tokens: 100,
        };
        let actions = self.admission.handle(now, finished);
        self.perform(now, actions);
        self.serve(now);
    }

    fn figures(self) -> Figures {
        let seconds = SIMULATED_TIME.as_secs_f64();
        let offered = f64::from(self.offered[0] + self.offered[1]);
        let share = |level: usize| f64::from(self.good[level]) / f64::from(self.offered[level]);
        Figures {
            strategy: self.strategy,
            load: self.load,
            offered_per_second: offered / seconds,
            goodput_per_second: f64::from(self.good[0] + self.good[1]) / seconds,
            good_share_of_high_priority: share(0),
            good_share_of_low_priority: share(1),
            refused_share: f64::from(self.refused) / offered,
            started_but_late_share: f64::from(self.late) / offered,
            largest_in_flight: self.largest_in_flight,
        }
    }
}

fn main() {
    let figures: Vec<Figures> = STRATEGIES
        .iter()
        .flat_map(|&strategy| OFFERED_LOADS.map(|load| Model::new(strategy, load).run()))
        .collect();
    println!(
        "{}",
        serde_json::to_string_pretty(&figures).expect("plain figures")
    );
}
