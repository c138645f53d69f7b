//! Queue of updates that are piggybacked on other messages, each a limited number of times.

use std::collections::BTreeMap;

use super::message::Update;
use super::settings::MembershipSettings;
use crate::MachineId;

/// Encoded size of a list of updates in addition to the updates, in bytes.
const LIST_OVERHEAD_BYTES: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum UpdateKind {
    Status,
    Facts,
}

#[derive(Debug, Clone)]
struct QueuedUpdate {
    update: Update,
    bytes: usize,
    sent: u32,
    push_number: u64,
}

/// Queue with at most one status update and one facts update for each daemon. A newer update
/// replaces the older one.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    queued: BTreeMap<(MachineId, UpdateKind), QueuedUpdate>,
    push_count: u64,
}

impl UpdateQueue {
    /// Adds an update and resets its number of transmissions.
    pub fn push(&mut self, update: Update) {
        let kind = match update {
            Update::Record(_) | Update::Claim { .. } => UpdateKind::Status,
            Update::Facts { .. } => UpdateKind::Facts,
        };
        self.push_count += 1;
        let queued = QueuedUpdate {
            bytes: borsh::object_length(&update).unwrap_or(usize::MAX),
            sent: 0,
            push_number: self.push_count,
            update,
        };
        self.queued.insert((queued.update.member(), kind), queued);
    }

    /// Whether no update is left to send.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Takes as many updates as fit in a message: those sent least often first, then the newest.
    pub fn take(
        &mut self,
        byte_limit: usize,
        members: usize,
        settings: &MembershipSettings,
    ) -> Vec<Update> {
        let mut order: Vec<_> = self
            .queued
            .iter()
            .map(|(key, queued)| {
                (
                    queued.sent,
                    u64::MAX - queued.push_number,
                    *key,
                    queued.bytes,
                )
            })
            .collect();
        order.sort_unstable();
        let mut room = byte_limit.saturating_sub(LIST_OVERHEAD_BYTES);
        let mut taken = Vec::new();
        for (_, _, key, bytes) in order {
            if bytes > room {
                continue;
            }
            room -= bytes;
            taken.extend(self.send_once(key, members, settings));
        }
        taken
    }

    fn send_once(
        &mut self,
        key: (MachineId, UpdateKind),
        members: usize,
        settings: &MembershipSettings,
    ) -> Option<Update> {
        let factor = match key.1 {
            UpdateKind::Status => settings.status_retransmits,
            UpdateKind::Facts => settings.facts_retransmits,
        };
        let limit = settings.retransmit_limit(factor, members);
        let queued = self.queued.get_mut(&key)?;
        queued.sent += 1;
        let update = queued.update.clone();
        if queued.sent >= limit {
            self.queued.remove(&key);
        }
        Some(update)
    }
}
