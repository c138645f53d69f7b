//! Read-only snapshot of the cluster membership.

use ponddrift_core::MachineId;
use ponddrift_core::membership::{Contact, MemberRecord, Readiness};

/// A snapshot of membership.
#[derive(Debug, Clone)]
pub(crate) struct MembersView {
    /// This daemon.
    pub(crate) own: MachineId,
    /// Live daemons, ordered by machine, this one included.
    pub(crate) live: Vec<MemberRecord>,
    /// Dead and departed daemons that are still recorded.
    pub(crate) gone: Vec<MemberRecord>,
    /// Whether this daemon has contact with its peers.
    pub(crate) contact: Contact,
}

impl MembersView {
    /// Returns the empty view used before membership starts.
    pub(crate) fn empty(own: MachineId) -> Self {
        Self {
            own,
            live: Vec::new(),
            gone: Vec::new(),
            contact: Contact::Alone,
        }
    }

    /// Iterates over live daemons that are not leaving.
    pub(crate) fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.live
            .iter()
            .filter(|record| record.facts.readiness != Readiness::Leaving)
    }

    /// Returns references to the live records, as the assignment functions expect.
    pub(crate) fn live_records(&self) -> Vec<&MemberRecord> {
        self.live.iter().collect()
    }
}
