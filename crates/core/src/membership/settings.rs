//! Settings of the membership protocol.

use std::time::Duration;

/// Timing and limits. The defaults are suitable for 2 to 400 daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSettings {
    /// Time between two probes; one daemon is probed in each period.
    pub probe_period: Duration,
    /// Time to wait for a direct answer before other daemons are asked to probe.
    pub direct_timeout: Duration,
    /// Number of other daemons that are asked to probe.
    pub indirect_probes: usize,
    /// One of this many probes goes to another region.
    pub cross_region_every: u32,
    /// A suspicion lasts `suspicion_factor * max(log10(members), 1) * probe_period`.
    pub suspicion_factor: f64,
    /// Time between two rounds of gossip, which take place only while there are updates to send.
    pub gossip_period: Duration,
    /// Number of peers that receive gossip in a round.
    pub gossip_fanout: usize,
    /// Status updates are sent about `status_retransmits * log2(members)` times.
    pub status_retransmits: u32,
    /// Updates of facts are sent about `facts_retransmits * log2(members)` times.
    pub facts_retransmits: u32,
    /// Minimum time between two announcements of a new configuration revision. A daemon that needs
    /// to know sooner asks.
    pub facts_period: Duration,
    /// Largest encoded membership message, in bytes. The rest of a datagram is used by other parts.
    pub message_limit: usize,
    /// Largest page of the member table, in bytes. A page is sent in a datagram of its own.
    pub page_limit: usize,
    /// Rounds of gossip pause while more bytes per second than this were sent.
    pub bytes_per_second: u32,
    /// Time between two pulls of a page once joining is complete.
    pub pull_period: Duration,
    /// Time between two pulls of a page while joining.
    pub join_pull_period: Duration,
    /// Time between two attempts to reach an unknown daemon of the machine list.
    pub seed_retry_period: Duration,
    /// Time between two attempts to reach a dead or left daemon.
    pub reconnect_period: Duration,
    /// Dead and left daemons that are not in the machine list are removed this long after their
    /// last change of state.
    pub forget_after: Duration,
    /// A longer gap between two events means that this process was suspended.
    pub freeze_threshold: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            cross_region_every: 8,
            suspicion_factor: 3.0,
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 2,
            status_retransmits: 2,
            facts_retransmits: 2,
            facts_period: Duration::from_secs(120),
            message_limit: 600,
            page_limit: 1_100,
            bytes_per_second: 3_500,
            pull_period: Duration::from_secs(10),
            join_pull_period: Duration::from_millis(200),
            seed_retry_period: Duration::from_millis(500),
            reconnect_period: Duration::from_secs(5),
            forget_after: Duration::from_secs(6 * 3_600),
            freeze_threshold: Duration::from_secs(2),
        }
    }
}

impl MembershipSettings {
    /// Duration of a suspicion among `members` daemons.
    #[must_use]
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let count = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
        let scale = f64::from(count).log10().max(1.0);
        self.probe_period.mul_f64(self.suspicion_factor * scale)
    }

    /// Number of times that an update is sent among `members` daemons.
    #[must_use]
    pub fn retransmit_limit(&self, factor: u32, members: usize) -> u32 {
        let bits = usize::BITS - members.leading_zeros();
        factor.saturating_mul(bits.max(1))
    }
}
