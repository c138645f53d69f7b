//! A plain service before several daemons, in steps of a millisecond: back ends with slots, a queue
//! and a refusal when both are full; reports between daemons every quarter of a second.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::directory::{BackEnd, Incarnation, Lifecycle};
use ponddrift_fleet::fingerprint::{RequestContent, RequestFingerprint};
use ponddrift_fleet::placement::{Placement, PlainRequest, Urgency, WorkReport};
use ponddrift_fleet::scarcity::demand::DemandReport;
use ponddrift_fleet::scarcity::returns::{Refusal, Return};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ZONES: [&str; 3] = ["a", "b", "c"];
const BACK_ENDS: usize = 6;
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
/// Time of a run: 30 to 90 ms.
const RUN_MS: (u64, u64) = (30, 90);
pub const TARGET: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(2_000);
const REPORT_INTERVAL_MS: u64 = 250;
const DEMAND_INTERVAL_MS: u64 = 1_000;
/// Pause of a back end that refused a request, as the pipeline sets it.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
const MAX_HASTY_REPEATS: u32 = 3;

/// How callers behave and how much they want.
pub struct Load {
    pub daemons: usize,
    /// Requests per second from a time in milliseconds on, in order.
    pub rates: Vec<(u64, f64)>,
    pub length_ms: u64,
    /// Share of the requests of the largest tenant; ten others share the rest.
    pub large_share: f64,
    /// Share of callers that repeat at once instead of at the time they are told.
    pub hasty_share: f64,
    /// Whether room is shared out; otherwise the decisions are those of other deployments.
    pub shares_room: bool,
}

#[derive(Clone)]
struct Request {
    number: u64,
    tenant: usize,
    zone: usize,
    is_hasty: bool,
    daemon: usize,
    first_ms: u64,
    arrived_ms: u64,
    repeats: u32,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Request)>,
    queue: VecDeque<Request>,
}

/// Requests by how they ended, of a tenant or of a kind of caller.
#[derive(Debug, Default, Clone, Copy)]
pub struct Ends {
    pub offered: u32,
    pub in_target: u32,
    pub late: u32,
    pub refused: u32,
}

impl Ends {
    pub fn in_target_share(self) -> f64 {
        f64::from(self.in_target) / f64::from(self.offered.max(1))
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Callers by tenant that first asked within `counted`; 0 is the largest tenant.
    pub tenants: BTreeMap<usize, Ends>,
    /// The same by zone of the caller.
    pub zones: BTreeMap<usize, Ends>,
    /// The same for callers that repeat at once and for the others.
    pub hasty: Ends,
    pub patient: Ends,
    pub sends: u32,
    /// Sends that a back end refused because it was full.
    pub shed: u32,
    /// The part of these made while another back end had room in its slots.
    pub shed_beside_room: u32,
    /// Callers that came back at their time, and those of them that were sent to a back end.
    pub returned: u32,
    pub returned_with_room: u32,
    /// Refusals whose promise left the run less time than it takes.
    pub broken_promises: u32,
    /// Longest queue over all back ends.
    pub longest_queue: usize,
}

pub struct World {
    load: Load,
    service: Arc<str>,
    back_ends: Vec<Arc<BackEnd>>,
    servers: Vec<Server>,
    daemons: Vec<Placement>,
    random: Pcg64Mcg,
    start: Instant,
    ms: u64,
    sequence: u32,
    number: u64,
    back: BTreeMap<u64, Vec<Request>>,
    outcome: Outcome,
    counted: std::ops::Range<u64>,
}

fn tenant_name(tenant: usize) -> Arc<str> {
    Arc::from(format!("t{tenant}"))
}

fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        tenant: None,
        method: "GET",
        host: "h",
        path: "/",
        body: &number.to_le_bytes(),
    })
}

impl World {
    pub fn new(load: Load, counted: std::ops::Range<u64>, seed: u64) -> Self {
        let service: Arc<str> = Arc::from("booking");
        let back_ends = (0..BACK_ENDS).map(|number| {
            let host = u8::try_from(number + 1).expect("few back ends");
            Arc::new(BackEnd {
                id: Arc::from(format!("i-{number}")),
                incarnation: Incarnation::default(),
                service: Arc::clone(&service),
                address: SocketAddr::from(([10, 0, 0, host], 8080)),
                zone: Arc::from(ZONES[number % ZONES.len()]),
                slots: SLOTS,
                lifecycle: Lifecycle::Ready,
                stage: None,
                cold_start: None,
                contract: Contract::OnDemand,
            })
        });
        let daemons = (0..load.daemons).map(|number| {
            let mut placement = Placement::new(Arc::from(ZONES[number % ZONES.len()]));
            if load.shares_room {
                placement.share_out_room();
            }
            placement.set_daemons(load.daemons);
            placement
        });
        Self {
            service: Arc::clone(&service),
            back_ends: back_ends.collect(),
            servers: (0..BACK_ENDS).map(|_| Server::default()).collect(),
            daemons: daemons.collect(),
            random: Pcg64Mcg::seed_from_u64(seed),
            start: Instant::now(),
            ms: 0,
            sequence: 0,
            number: 0,
            back: BTreeMap::new(),
            outcome: Outcome::default(),
            counted,
            load,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.ms)
    }

    pub fn run(mut self) -> Outcome {
        while self.ms < self.load.length_ms {
            self.end_runs();
            self.exchange_reports();
            for request in self.back.remove(&self.ms).unwrap_or_default() {
                self.arrive(request);
            }
            let rates = self.load.rates.iter();
            let rate = rates
                .take_while(|(from, _rate)| *from <= self.ms)
                .last()
                .map_or(0.0, |(_from, rate)| *rate);
            let mut expected = rate / 1_000.0;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    self.new_request();
                }
                expected -= 1.0;
            }
            self.ms += 1;
        }
        self.outcome
    }

    fn new_request(&mut self) {
        self.number += 1;
        let tenant = if self.random.random_bool(self.load.large_share) {
            0
        } else {
            self.random.random_range(1..11)
        };
        let request = Request {
            number: self.number,
            tenant,
            zone: self.draw_zone(),
            is_hasty: self.random.random_bool(self.load.hasty_share),
            daemon: 0,
            first_ms: self.ms,
            arrived_ms: self.ms,
            repeats: 0,
        };
        self.count(&request, |ends| ends.offered += 1);
        self.arrive(request);
    }

    fn count(&mut self, request: &Request, add: impl Fn(&mut Ends)) {
        if self.counted.contains(&request.first_ms) {
            add(self.outcome.tenants.entry(request.tenant).or_default());
            add(self.outcome.zones.entry(request.zone).or_default());
            add(if request.is_hasty {
                &mut self.outcome.hasty
            } else {
                &mut self.outcome.patient
            });
        }
    }

    /// The zones want unequal parts.
    fn draw_zone(&mut self) -> usize {
        match self.random.random_range(0..100) {
            0..28 => 0,
            28..61 => 1,
            _ => 2,
        }
    }

    /// A caller asks any daemon of its zone.
    fn arrive(&mut self, mut request: Request) {
        let now = self.now();
        let daemons = self.load.daemons / ZONES.len();
        request.daemon = self.random.random_range(0..daemons) * ZONES.len() + request.zone;
        request.arrived_ms = self.ms;
        let draw = self.random.random_range(0.0..1.0);
        let returns = &mut self.daemons[request.daemon].returns;
        let returned = returns.arrive(&fingerprint(request.number), now);
        let is_punctual = returned == Return::Punctual;
        if is_punctual {
            self.outcome.returned += 1;
        }
        let placement = &mut self.daemons[request.daemon];
        if placement.is_scarce() {
            let asked = PlainRequest {
                service: &self.service,
                tenant: Some(&tenant_name(request.tenant)),
                priority: 2,
                returned,
                target_left: TARGET,
                time_left: self.time_left(&request),
                yields_before: None,
            };
            let placement = &mut self.daemons[request.daemon];
            let claimed = placement.claim_plain_room(&self.back_ends, &[], &asked, draw, now);
            let claimed = claimed.expect("there are back ends");
            if claimed.verdict.refusal.is_some() {
                let refusal = Refusal {
                    room_in: claimed.verdict.room_in,
                    time_left: Some(asked.time_left),
                    run: claimed.verdict.run,
                    interval: claimed.interval,
                    may_have_turn: !claimed.claim.yields,
                };
                self.refuse(request, refusal);
                return;
            }
        }
        if is_punctual {
            self.outcome.returned_with_room += 1;
        }
        self.send(request);
    }

    fn time_left(&self, request: &Request) -> Duration {
        DEADLINE.saturating_sub(Duration::from_millis(self.ms - request.first_ms))
    }

    fn refuse(&mut self, request: Request, refusal: Refusal) {
        let now = self.now();
        let draw = self.random.random_range(0.0..1.0);
        let returns = &mut self.daemons[request.daemon].returns;
        let promise = returns.promise(&self.service, refusal, draw, now);
        if !promise.is_too_late {
            let fingerprint = fingerprint(request.number);
            returns.remember(&self.service, fingerprint, promise, now);
            let shared = returns.take_unpublished();
            for daemon in &mut self.daemons {
                for promise in &shared {
                    daemon.returns.receive(*promise, now);
                }
            }
            if Some(promise.after + refusal.run) > refusal.time_left {
                self.outcome.broken_promises += 1;
            }
        }
        let may_repeat = if request.is_hasty {
            request.repeats < MAX_HASTY_REPEATS
        } else {
            request.repeats < 1 && !promise.is_too_late
        };
        if !may_repeat {
            self.count(&request, |ends| ends.refused += 1);
            return;
        }
        let pause = if request.is_hasty {
            20
        } else {
            // Callers wait for at most a third of the time that they have left.
            let honoured = self.time_left(&request) / 3;
            u64::try_from(promise.after.min(honoured).as_millis()).expect("short") + 1
        };
        let request = Request {
            repeats: request.repeats + 1,
            ..request
        };
        self.back.entry(self.ms + pause).or_default().push(request);
    }

    fn send(&mut self, request: Request) {
        let now = self.now();
        let mut tried = Vec::new();
        for _attempt in 0..2 {
            let placement = &mut self.daemons[request.daemon];
            let chosen = placement.choose_plain(&self.back_ends, &tried, now, &mut self.random);
            let Some(chosen) = chosen else {
                break;
            };
            let index = self
                .back_ends
                .iter()
                .position(|known| known.id == chosen.id);
            let index = index.expect("a known back end");
            self.outcome.sends += 1;
            let queued = self.servers[index].queue.len();
            self.outcome.longest_queue = self.outcome.longest_queue.max(queued);
            if queued < QUEUE {
                placement.load.begin(&chosen.id, 0.0, Urgency::InTime);
                self.servers[index].queue.push_back(request);
                self.start_queued(index);
                return;
            }
            self.outcome.shed += 1;
            let slots = usize::try_from(SLOTS).expect("few");
            if self
                .servers
                .iter()
                .any(|server| server.running.len() < slots)
            {
                self.outcome.shed_beside_room += 1;
            }
            placement.suspend_engine(&chosen, REFUSED_PAUSE, false, now);
            tried.push(Arc::clone(&chosen.id));
        }
        self.count(&request, |ends| ends.refused += 1);
    }

    fn start_queued(&mut self, index: usize) {
        let server = &mut self.servers[index];
        while server.running.len() < usize::try_from(SLOTS).expect("few") {
            let Some(next) = server.queue.pop_front() else {
                return;
            };
            let run = self.random.random_range(RUN_MS.0..=RUN_MS.1);
            server.running.push((self.ms + run, next));
        }
    }

    fn end_runs(&mut self) {
        for index in 0..self.servers.len() {
            let ms = self.ms;
            let running = &mut self.servers[index].running;
            let ended: Vec<Request> = running
                .extract_if(.., |(end, _request)| *end <= ms)
                .map(|(_end, request)| request)
                .collect();
            for request in ended {
                self.finish(index, &request);
            }
            self.start_queued(index);
        }
    }

    fn finish(&mut self, index: usize, request: &Request) {
        let now = self.now();
        let back_end = &self.back_ends[index];
        let took = Duration::from_millis(self.ms - request.arrived_ms);
        let placement = &mut self.daemons[request.daemon];
        let took_ms = took.as_secs_f64() * 1_000.0;
        placement.load.end(&back_end.id, Urgency::InTime, false);
        let ahead = placement.load.requests(&back_end.id);
        placement.speed.record_plain_answer(&back_end.id, took_ms);
        placement
            .rooms
            .record_answer(&self.service, took_ms, ahead, back_end.slots);
        placement.returns.record_end(&self.service, now);
        let is_in_target = took <= TARGET;
        self.count(request, |ends| {
            if is_in_target {
                ends.in_target += 1;
            } else {
                ends.late += 1;
            }
        });
    }

    /// Each daemon reports at its own time within the interval.
    fn exchange_reports(&mut self) {
        let now = self.now();
        self.sequence += 1;
        for number in 0..self.daemons.len() {
            let origin = u64::try_from(number).expect("few");
            let offset = origin * 37;
            if (self.ms + offset).is_multiple_of(REPORT_INTERVAL_MS) {
                let rows = self.daemons[number].load.own_rows();
                for (other, placement) in self.daemons.iter_mut().enumerate() {
                    if other != number {
                        let report = WorkReport {
                            origin,
                            sequence: self.sequence,
                            rows: rows.clone(),
                        };
                        placement.load.receive(report, now);
                    }
                }
            }
            if (self.ms + offset).is_multiple_of(DEMAND_INTERVAL_MS) {
                let services = self.daemons[number].own_demand(now);
                for (other, placement) in self.daemons.iter_mut().enumerate() {
                    if other != number {
                        let report = DemandReport {
                            origin,
                            sequence: self.sequence,
                            services: services.clone(),
                        };
                        placement.fairness.receive(report, now);
                    }
                }
            }
        }
    }
}
