//! Events of the simulation, ordered by time and then by the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ponddrift_core::load::LoadDigest;
use ponddrift_core::roles::{DemandSample, EngineSample};
use ponddrift_core::{EngineRole, Timestamp};

/// What happens.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Arrival {
        request: usize,
    },
    Deadline {
        request: usize,
    },
    Retry {
        request: usize,
        attempt: u32,
    },
    Imported {
        request: usize,
        attempt: u32,
    },
    LookupDone {
        request: usize,
        attempt: u32,
    },
    StepDone {
        engine: usize,
        epoch: u32,
    },
    DrainAnnounced {
        engine: usize,
        epoch: u32,
    },
    ChangeDone {
        engine: usize,
        epoch: u32,
        to: EngineRole,
    },
    Lost {
        engine: usize,
    },
    LossNoticed {
        engine: usize,
    },
    Returned {
        engine: usize,
    },
    AdmissionTick {
        daemon: usize,
    },
    PublishLoad,
    LoadArrives(Vec<LoadDigest>),
    SamplesArrive(Box<Samples>),
    Plan,
}

/// What the planner is told at one time.
#[derive(Debug, Clone)]
pub(super) struct Samples {
    pub demand: DemandSample,
    pub engines: Vec<EngineSample>,
}

struct Scheduled {
    at: Timestamp,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// Earlier events are greater, since the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    count: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: Timestamp, event: Event) {
        self.count += 1;
        let number = self.count;
        self.heap.push(Scheduled { at, number, event });
    }

    pub fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.heap.pop().map(|next| (next.at, next.event))
    }
}
