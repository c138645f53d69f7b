//! Random fault schedules that repair every fault before they end.

use std::time::Duration;

use ponddrift_core::random::{SeededRandom, seeded};
use rand::RngExt;

use crate::host::HostId;

/// A fault, or the repair of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills a host's process.
    Kill(HostId),
    /// Powers off a host's machine.
    PowerOff(HostId),
    /// Starts a new incarnation of a host, without any state.
    Restart(HostId),
    /// Suspends all tasks of a host.
    Freeze(HostId),
    /// Resumes a frozen host.
    Thaw(HostId),
    /// Cuts a link in both directions.
    Cut(HostId, HostId),
    /// Cuts one direction of a link.
    CutOneWay {
        /// Sender whose packets no longer arrive.
        from: HostId,
        /// Receiver.
        to: HostId,
    },
    /// Restores a link in both directions.
    Heal(HostId, HostId),
}

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time since the start of the schedule, in whole milliseconds.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Relative weights with which the kinds of faults are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultWeights {
    /// Kill a process and restart it later.
    pub kill: u32,
    /// Power off a machine and restart it later.
    pub power_off: u32,
    /// Freeze a host and thaw it later.
    pub freeze: u32,
    /// Cut a link in both directions and restore it later.
    pub cut: u32,
    /// Cut a link in one direction and restore it later.
    pub cut_one_way: u32,
}

impl Default for FaultWeights {
    fn default() -> Self {
        Self {
            kill: 3,
            power_off: 1,
            freeze: 3,
            cut: 2,
            cut_one_way: 2,
        }
    }
}

/// Parameters of a random schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// Hosts that may be killed, powered off, frozen or disconnected from each other.
    pub hosts: Vec<HostId>,
    /// Time by which every fault has been repaired. Faults are shortened to end by then.
    pub horizon: Duration,
    /// Number of faults to draw. A fault is omitted if its target is already affected at that time.
    pub faults: usize,
    /// Minimum duration of a fault that is not shortened by the horizon.
    pub min_duration: Duration,
    /// Maximum duration of a fault.
    pub max_duration: Duration,
    /// Relative weights of the kinds of faults.
    pub weights: FaultWeights,
}

/// Faults ordered by time. A schedule implements [`std::fmt::Display`] and [`std::str::FromStr`] so
/// that one that exposed an error can be replayed or reduced by hand.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FaultSchedule {
    /// Faults and repairs, ordered by time.
    pub faults: Vec<ScheduledFault>,
}

#[derive(Clone, Copy)]
enum FaultKind {
    Kill,
    PowerOff,
    Freeze,
    Cut,
    CutOneWay,
}

/// Time interval in milliseconds during which a fault affects a host or a link. Hosts are stored as
/// `(host, host)`.
struct Reservation {
    target: (HostId, HostId),
    from: u64,
    until: u64,
}

impl FaultSchedule {
    /// Generates a schedule. The same seed and plan always produce the same schedule.
    #[must_use]
    pub fn generate(seed: u64, plan: &FaultPlan) -> Self {
        let mut generator = Generator {
            random: seeded(seed, "fault schedule"),
            plan,
            reserved: Vec::new(),
            faults: Vec::new(),
        };
        if !plan.hosts.is_empty() {
            for _ in 0..plan.faults {
                generator.draw_fault();
            }
        }
        let mut faults = generator.faults;
        // The sort is stable: faults at the same time stay in the order in which they were drawn.
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }
}

struct Generator<'a> {
    random: SeededRandom,
    plan: &'a FaultPlan,
    reserved: Vec<Reservation>,
    faults: Vec<ScheduledFault>,
}

impl Generator<'_> {
    fn draw_fault(&mut self) {
        let horizon = whole_millis(self.plan.horizon);
        let begin = self.random.random_range(0..=horizon);
        let min_duration = whole_millis(self.plan.min_duration);
        let max_duration = whole_millis(self.plan.max_duration).max(min_duration);
        let duration_ms = self.random.random_range(min_duration..=max_duration);
        let end = begin.saturating_add(duration_ms).min(horizon);
        let kind = self.draw_kind();
        let first = self.draw_host();
        let second = self.draw_host();
        let Some((fault, repair, target)) = fault_and_repair(kind, first, second) else {
            return;
        };
        if begin < end && self.is_free(target, begin, end) {
            self.reserved.push(Reservation {
                target,
                from: begin,
                until: end,
            });
            self.push(begin, fault);
            self.push(end, repair);
        }
    }

    fn draw_host(&mut self) -> HostId {
        let index = self.random.random_range(0..self.plan.hosts.len());
        self.plan.hosts[index]
    }

    fn draw_kind(&mut self) -> FaultKind {
        let weights = self.plan.weights;
        let kinds = [
            (FaultKind::Kill, weights.kill),
            (FaultKind::PowerOff, weights.power_off),
            (FaultKind::Freeze, weights.freeze),
            (FaultKind::Cut, weights.cut),
            (FaultKind::CutOneWay, weights.cut_one_way),
        ];
        let sum: u32 = kinds.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.random.random_range(0..sum.max(1));
        for (kind, weight) in kinds {
            if drawn < weight {
                return kind;
            }
            drawn -= weight;
        }
        FaultKind::Kill
    }

    fn is_free(&self, target: (HostId, HostId), from: u64, until: u64) -> bool {
        let overlaps = |reserved: &Reservation| reserved.from <= until && from <= reserved.until;
        let same = |reserved: &&Reservation| reserved.target == target;
        !self.reserved.iter().filter(same).any(overlaps)
    }

    fn push(&mut self, at: u64, fault: Fault) {
        let at = Duration::from_millis(at);
        self.faults.push(ScheduledFault { at, fault });
    }
}

/// Returns the fault, its repair and the target; `None` for a link from a host to itself.
fn fault_and_repair(
    kind: FaultKind,
    first: HostId,
    second: HostId,
) -> Option<(Fault, Fault, (HostId, HostId))> {
    let host = (first, first);
    let link = (first.min(second), first.max(second));
    let is_link = first != second;
    match kind {
        FaultKind::Kill => Some((Fault::Kill(first), Fault::Restart(first), host)),
        FaultKind::PowerOff => Some((Fault::PowerOff(first), Fault::Restart(first), host)),
        FaultKind::Freeze => Some((Fault::Freeze(first), Fault::Thaw(first), host)),
        FaultKind::Cut => {
            is_link.then_some((Fault::Cut(first, second), Fault::Heal(first, second), link))
        }
        FaultKind::CutOneWay => {
            let (from, to) = (first, second);
            is_link.then_some((Fault::CutOneWay { from, to }, Fault::Heal(from, to), link))
        }
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
