//! Selection of probe targets, and tracking of the current probe and of relayed probes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::settings::MembershipSettings;
use crate::random::SeededRandom;
use crate::{MachineId, Timestamp};

/// Most concurrent probes on behalf of other daemons.
const MAXIMUM_RELAYS: usize = 64;
/// Time after which a relayed probe without an answer is discarded.
const RELAY_LIFETIME: Duration = Duration::from_secs(2);

/// A probe of another daemon.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub target: MachineId,
    pub sequence: u32,
    pub sent: Timestamp,
    pub indirect_requested: bool,
}

/// A probe on behalf of another daemon.
#[derive(Debug, Clone, Copy)]
struct Relay {
    requester: SocketAddr,
    requester_sequence: u32,
    expires: Timestamp,
}

/// Probe order, current probe and relayed probes.
#[derive(Debug, Default)]
pub(super) struct Prober {
    local: Vec<MachineId>,
    remote: Vec<MachineId>,
    count: u32,
    sequence: u32,
    current_probe: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
}

/// What to do about the current probe.
#[derive(Debug, Clone, Copy)]
pub(super) enum ProbeStep {
    /// Nothing is due.
    Wait,
    /// Ask other daemons to probe the target.
    RequestIndirect(Probe),
    /// The target did not answer in time.
    Failed(Probe),
}

impl Prober {
    /// Returns a sequence number that was not used recently.
    pub fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Returns the next target. `live` lists the live daemons of this region or of other regions.
    pub fn next_target(
        &mut self,
        settings: &MembershipSettings,
        random: &mut SeededRandom,
        live: impl Fn(RegionScope) -> Vec<MachineId>,
    ) -> Option<MachineId> {
        self.count = self.count.wrapping_add(1);
        let every = settings.cross_region_every.max(1);
        let is_remote_turn = self.count.is_multiple_of(every);
        let (first, second) = if is_remote_turn {
            (RegionScope::Remote, RegionScope::Local)
        } else {
            (RegionScope::Local, RegionScope::Remote)
        };
        self.pop(first, random, &live)
            .or_else(|| self.pop(second, random, &live))
    }

    /// Takes the next target of a shuffled round, in which each daemon occurs once.
    fn pop(
        &mut self,
        scope: RegionScope,
        random: &mut SeededRandom,
        live: &impl Fn(RegionScope) -> Vec<MachineId>,
    ) -> Option<MachineId> {
        let round = match scope {
            RegionScope::Local => &mut self.local,
            RegionScope::Remote => &mut self.remote,
        };
        if round.is_empty() {
            *round = live(scope);
            round.shuffle(random);
        }
        round.pop()
    }

    /// Records that a probe was sent.
    pub fn begin(&mut self, target: MachineId, sequence: u32, now: Timestamp) {
        self.current_probe = Some(Probe {
            target,
            sequence,
            sent: now,
            indirect_requested: false,
        });
    }

    /// Whether there is a current probe.
    pub fn is_busy(&self) -> bool {
        self.current_probe.is_some()
    }

    /// Checks the timeouts of the current probe and of relayed probes.
    pub fn step(&mut self, now: Timestamp, settings: &MembershipSettings) -> ProbeStep {
        self.relays.retain(|_, relay| relay.expires > now);
        let Some(probe) = self.current_probe.as_mut() else {
            return ProbeStep::Wait;
        };
        let waited = now.since(probe.sent);
        if waited >= settings.probe_period {
            let failed = *probe;
            self.current_probe = None;
            return ProbeStep::Failed(failed);
        }
        if waited >= settings.direct_timeout && !probe.indirect_requested {
            probe.indirect_requested = true;
            return ProbeStep::RequestIndirect(*probe);
        }
        ProbeStep::Wait
    }

    /// Completes and returns the current probe if the answer belongs to it.
    pub fn answered(&mut self, sequence: u32, by: MachineId) -> Option<Probe> {
        let probe = self.current_probe?;
        if probe.sequence != sequence || probe.target != by {
            return None;
        }
        self.current_probe = None;
        Some(probe)
    }

    /// Discards the current probe without an outcome, and all relayed probes.
    pub fn abandon(&mut self) {
        self.current_probe = None;
        self.relays.clear();
    }

    /// Records a probe on behalf of another daemon. Returns its sequence number, or `None` if there
    /// are too many.
    pub fn begin_relay(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u32,
        now: Timestamp,
    ) -> Option<u32> {
        if self.relays.len() >= MAXIMUM_RELAYS {
            return None;
        }
        let sequence = self.next_sequence();
        let relay = Relay {
            requester,
            requester_sequence,
            expires: now + RELAY_LIFETIME,
        };
        self.relays.insert(sequence, relay);
        Some(sequence)
    }

    /// Completes a relayed probe. Returns the requester's address and sequence number.
    pub fn finish_relay(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        let relay = self.relays.remove(&sequence)?;
        Some((relay.requester, relay.requester_sequence))
    }
}

/// Region of a probe's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RegionScope {
    /// The region of this daemon.
    Local,
    /// Any other region.
    Remote,
}
