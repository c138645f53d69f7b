//! Probes of daemons that are not regarded as live: unknown ones of the machine list, and dead
//! ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::event::{MembershipAction, Seed};
use super::gossip::Membership;
use super::record::MemberState;
use crate::{MachineId, Timestamp};

impl Membership {
    /// Pings one daemon that is not regarded as live, so that the sides of a partition merge again
    /// once it has healed.
    pub(super) fn probe_unreachable(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_reconnect || !self.own.state.is_live() {
            return;
        }
        let unknown = self.uncontacted_seeds();
        let (period, unreachable_daemons) = if unknown.is_empty() {
            (self.settings.reconnect_period, self.unreachable_daemons())
        } else {
            (self.settings.seed_retry_period, unknown)
        };
        self.next_reconnect = now + period;
        let Some((machine, address)) = unreachable_daemons.choose(&mut self.random).copied() else {
            return;
        };
        let sequence = self.prober.next_sequence();
        self.ping(machine, address, sequence, actions);
    }

    /// Daemons of the machine list that are not in the member table.
    fn uncontacted_seeds(&self) -> Vec<(MachineId, SocketAddr)> {
        self.seeds
            .iter()
            .filter(|(machine, _)| self.table.get(**machine).is_none())
            .map(|(machine, address)| (*machine, *address))
            .collect()
    }

    fn unreachable_daemons(&self) -> Vec<(MachineId, SocketAddr)> {
        let is_live = |machine: &MachineId| self.live_address(*machine).is_some();
        let dead = self
            .table
            .iter()
            .filter(|member| member.record.state == MemberState::Dead)
            .map(|member| (member.record.machine, member.record.peer_address));
        let mut unreachable_daemons: BTreeMap<_, _> = dead.collect();
        let listed = self.seeds.iter().filter(|(machine, _)| !is_live(machine));
        unreachable_daemons.extend(listed.map(|(machine, address)| (*machine, *address)));
        unreachable_daemons.into_iter().collect()
    }

    pub(super) fn set_seeds(&mut self, now: Timestamp, seeds: &[Seed]) {
        self.seeds = seeds
            .iter()
            .filter(|seed| seed.machine != self.own.machine)
            .map(|seed| (seed.machine, seed.address))
            .collect();
        if self.seeds.is_empty() {
            self.joining = false;
        }
        let seeds = &self.seeds;
        let after = self.settings.forget_after;
        self.table
            .forget(now, after, |machine| seeds.contains_key(&machine));
    }
}
