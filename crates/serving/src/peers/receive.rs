//! Receives gossip from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::store_doubt::{OutageReport, REWRITE_PERIOD};

use super::Peers;
use super::message::{self, Digest, MAX_DATAGRAM_BYTES, Message, StoreContact};
use super::stream_origins::record_rows;
use super::translate::{
    deposits_from_wire, part_from_wire, prefill_timing_from_wire, prefix_from_wire,
    report_from_wire, results_from_wire, suspicion_from_wire, work_from_wire,
};
use crate::back_end_index::BackEndIndex;
use crate::fleet_state::UpdateSource;
use crate::store::Changes;
use crate::time::now;

/// Delay before the next attempt after the socket failed.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limit on prompt prefixes of other zones that wait to be forwarded.
const MAX_FORWARDED_PREFIXES: usize = 64;

impl Peers {
    pub(super) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.receive_from(&mut buffer).await;
            let Ok((length, from)) = received else {
                tokio::time::sleep(SOCKET_RETRY_DELAY).await;
                continue;
            };
            self.record_datagram(from);
            match message::decode(&buffer[..length]) {
                Some(Message::Digest(digest)) => {
                    self.reply_if_unreached(&digest, from).await;
                    self.receive_digest(*digest, from);
                }
                Some(Message::StoreContact(contact)) => self.receive_contact(contact, from),
                Some(Message::Changes { changes, in_doubt }) => {
                    // The sender's build does not say when its calls failed.
                    let outage = in_doubt.then_some(OutageReport {
                        failed_ago: Duration::ZERO,
                        doubt_left: REWRITE_PERIOD,
                    });
                    self.receive_changes(changes, outage, from);
                }
                Some(Message::ChangesAfterOutage {
                    changes,
                    failed_ms_ago,
                    doubt_left_ms,
                }) => {
                    let outage = OutageReport {
                        failed_ago: Duration::from_millis(failed_ms_ago.into()),
                        doubt_left: Duration::from_millis(doubt_left_ms.into()),
                    };
                    self.receive_changes(changes, Some(outage), from);
                }
                Some(Message::Usage(copy)) => {
                    if let Some(recorder) = self.pipeline.usage() {
                        recorder.merge(&copy);
                    }
                }
                Some(Message::Suspects(rows)) => {
                    let suspicions = rows.iter().map(|row| suspicion_from_wire(row, now()));
                    self.merge_suspects(suspicions.collect(), from).await;
                }
                Some(Message::SuspectedParts(rows)) => {
                    let suspicions = rows.iter().map(|row| part_from_wire(row, now()));
                    self.merge_suspects(suspicions.collect(), from).await;
                }
                Some(Message::RateLimits { rows, wants_more }) => {
                    self.receive_rate_limits(&rows, wants_more, from).await;
                }
                Some(Message::RateLimitsWanted) => self.reply_rate_limits(from).await,
                Some(Message::Retained { items_hash }) => self.observe_retained(items_hash, from),
                Some(Message::Profiles {
                    report,
                    wants_reply,
                }) => self.receive_profiles(report, wants_reply, from).await,
                Some(Message::Paths(row)) => self.receive_paths(&row, from),
                Some(Message::Deposits(row)) => {
                    self.pipeline.receive_deposits(&deposits_from_wire(row))
                }
                Some(Message::StreamOrigin(row)) => record_rows(&self.state, vec![row]),
                Some(Message::StreamOrigins(rows)) => record_rows(&self.state, rows),
                None => tracing::warn!(%from, length, "peer_message_unreadable"),
            }
        }
    }

    fn receive_digest(self: &Arc<Self>, digest: Digest, from: SocketAddr) {
        let known = self.state.back_end_index();
        if let Some(recorder) = self.pipeline.usage()
            && let Some(own) = digest.reports.first()
        {
            recorder.observe_time(own.origin, Duration::from_millis(digest.time_of_day_ms));
        }
        self.apply_load(&digest, &known);
        if self.state.topology().zone_peers.contains(&from) {
            for row in &digest.results {
                if let Some(back_end) = known.find(row.back_end) {
                    self.pipeline
                        .receive_results(back_end, results_from_wire(row));
                }
            }
        }
        for back_end in digest.unhealthy.iter().filter_map(|hash| known.find(*hash)) {
            self.pipeline.check_reported_back_end(back_end);
        }
        self.receive_contact(digest.store_contact(), from);
        if !self.is_neighbour(from) {
            self.forward(digest);
        }
    }

    /// Replies with this daemon's position in the store to a daemon that gets no digests from it.
    ///
    /// Daemons publish to their neighbours and to some members of other zones. Two kinds of daemons
    /// would never learn of a change: one whose lease expired because the store rejects its calls
    /// is not a member any more; one that saw all other leases expire knows only the seeds, which
    /// may count it as a member of another zone.
    async fn reply_if_unreached(&self, digest: &Digest, from: SocketAddr) {
        let is_reading = digest.position == Revision::default();
        let follows_store = digest.store_silence_ms.is_some();
        if is_reading || follows_store {
            return;
        }
        let contact = self.store_contact();
        let topology = self.state.topology();
        let lacks_changes = digest.position < contact.position;
        let is_reached = if lacks_changes {
            topology.neighbours.contains(&from)
        } else {
            topology.members.contains(&from)
        };
        if !is_reached {
            let reply = message::encode(&Message::StoreContact(contact));
            self.send(reply, &[from]).await;
        }
    }

    /// Records whether a peer is in contact with the store, and fetches the changes that only the
    /// peer knows.
    fn receive_contact(self: &Arc<Self>, contact: StoreContact, from: SocketAddr) {
        if self.is_neighbour(from)
            && let Some(silence_ms) = contact.store_silence_ms
        {
            let silence = Duration::from_millis(u64::from(silence_ms));
            self.follow_status.follower_reported(from, silence);
            self.state.neighbour_reported(silence, now());
        }
        self.observe_position(contact.position, from);
    }

    fn apply_load(&self, digest: &Digest, known: &BackEndIndex) {
        let mut placement = self.pipeline.placement();
        for report in &digest.reports {
            let report = report_from_wire(report, known);
            placement.load.receive(report, now());
        }
        let prefixes = digest.prefixes.iter();
        for usage in prefixes.filter_map(|row| prefix_from_wire(row, known)) {
            placement.prefixes.note(&usage, now());
        }
        for row in &digest.prefill_timings {
            placement.speed.receive(prefill_timing_from_wire(row));
        }
        for row in &digest.unavailable {
            if let Some(engine) = known.find(row.engine) {
                let time = Duration::from_millis(u64::from(row.duration_ms));
                placement.suspend_engine(engine, time, false, now());
            }
        }
        if let Some(own) = digest.reports.first() {
            let work = digest.work.iter().map(work_from_wire).collect();
            placement.peer_work.receive(own.origin, work, now());
        }
        drop(placement);
        if !digest.prefixes.is_empty() {
            self.pipeline.notify_prefix_change();
        }
    }

    /// Queues the reports of a daemon of another zone, to be sent to the neighbours with the next
    /// digest.
    fn forward(&self, digest: Digest) {
        let mut pending = self.to_forward();
        let is_urgent = !digest.prefixes.is_empty() || !digest.unavailable.is_empty();
        for report in digest.reports {
            pending
                .reports
                .retain(|known| known.origin != report.origin);
            pending.reports.push(report);
        }
        pending.prefixes.extend(digest.prefixes);
        pending.prefixes.truncate(MAX_FORWARDED_PREFIXES);
        pending.unavailable.extend(digest.unavailable);
        drop(pending);
        if is_urgent {
            self.has_to_forward.notify_one();
        }
    }

    /// Applies changes published by a neighbour that follows the store.
    fn receive_changes(
        self: &Arc<Self>,
        changes: Changes,
        outage: Option<OutageReport>,
        from: SocketAddr,
    ) {
        let at = changes.at;
        if let Some(outage) = outage {
            self.state.record_peer_outage(outage, now());
        }
        if !self.state.apply_changes(changes, UpdateSource::Peer, now()) {
            self.observe_position(at, from);
        }
    }
}
