//! Receives gossip from peers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ponddrift_fleet::distribution::{PROVIDER_PATIENCE, ReadingPlan};
use ponddrift_fleet::revision::Revision;

use super::message::{self, Digest, MAXIMUM_DATAGRAM, Message};
use super::translate::{
    deposits_from_wire, head_from_wire, reading_from_wire, report_from_wire, results_from_wire,
    work_from_wire,
};
use super::{Peers, relay};
use crate::back_end_index::BackEndIndex;
use crate::fleet_state::{ChangesAnswer, Source};
use crate::store::{Changes, Consistency};
use crate::time::now;
use crate::full_read::FullRead;

/// Pause after the socket failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// How long the store gets to bring what a peer already has, where this daemon follows it.
const STORE_HEADSTART: Duration = Duration::from_millis(250);
/// Heads of other zones that wait to be passed on, at most.
const MOST_HEADS_FORWARDED: usize = 64;

impl Peers {
    pub(super) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAXIMUM_DATAGRAM];
        loop {
            let received = self.socket.receive_from(&mut buffer).await;
            let Ok((length, from)) = received else {
                tokio::time::sleep(FAILURE_PAUSE).await;
                continue;
            };
            self.note_received(from);
            match message::decode(&buffer[..length]) {
                Some(Message::Digest(digest)) => self.take(*digest, from),
                Some(Message::Changes { changes, in_doubt }) => {
                    self.take_changes(changes, in_doubt, from);
                }
                Some(Message::Usage(copy)) => {
                    if let Some(recorder) = self.pipeline.usage() {
                        recorder.merge(&copy);
                    }
                }
                Some(Message::Suspects(rows)) => self.take_suspects(&rows, from).await,
                Some(Message::RateLimits { rows, wants_more }) => {
                    self.receive_rates(&rows, wants_more, from).await;
                }
                Some(Message::RateLimitsWanted) => self.send_rates_in_force(from).await,
                Some(Message::Retained { set }) => self.notice_retained(set, from),
                Some(Message::Deposits(row)) => {
                    self.pipeline.receive_deposits(&deposits_from_wire(row))
                }
                None => tracing::warn!(%from, length, "peer_message_unreadable"),
            }
        }
    }

    fn take(self: &Arc<Self>, digest: Digest, from: SocketAddr) {
        let known = self.state.back_end_index();
        let is_neighbour = self.is_neighbour(from);
        if let Some(recorder) = self.pipeline.usage()
            && let Some(own) = digest.reports.first()
        {
            recorder.observe_time(own.origin, Duration::from_millis(digest.time_of_day_ms));
        }
        self.take_work(&digest, &known);
        if self.state.topology().of_zone.contains(&from) {
            for row in &digest.results {
                if let Some(back_end) = known.find(row.back_end) {
                    self.pipeline
                        .receive_results(back_end, results_from_wire(row));
                }
            }
        }
        for back_end in digest.unwell.iter().filter_map(|hash| known.find(*hash)) {
            self.pipeline.check_on_hint(back_end);
        }
        if is_neighbour && let Some(silence_ms) = digest.store_silence_ms {
            let silence = Duration::from_millis(u64::from(silence_ms));
            self.following.follower_reported(from, silence);
        }
        self.notice(digest.position, from);
        if !is_neighbour {
            self.forward(digest);
        }
    }

    fn take_work(&self, digest: &Digest, known: &BackEndIndex) {
        let mut placement = self.pipeline.placement();
        for report in &digest.reports {
            let report = report_from_wire(report, known);
            placement.load.receive(report, now());
        }
        let heads = digest.heads.iter();
        for usage in heads.filter_map(|row| head_from_wire(row, known)) {
            placement.prefixes.note(&usage, now());
        }
        for row in &digest.readings {
            placement.speed.receive(reading_from_wire(row));
        }
        for row in &digest.away {
            if let Some(engine) = known.find(row.engine) {
                let time = Duration::from_millis(u64::from(row.time_ms));
                placement.set_away(engine, time, false, now());
            }
        }
        if let Some(own) = digest.reports.first() {
            let work = digest.work.iter().map(work_from_wire).collect();
            placement.peer_work.receive(own.origin, work, now());
        }
        drop(placement);
        if !digest.heads.is_empty() {
            self.pipeline.heads_have_changed();
        }
    }

    /// Reports of a daemon of another zone are forwarded to the neighbours with the next digest.
    fn forward(&self, digest: Digest) {
        let mut waiting = self.to_forward();
        let has_news = !digest.heads.is_empty() || !digest.away.is_empty();
        for report in digest.reports {
            waiting
                .reports
                .retain(|known| known.origin != report.origin);
            waiting.reports.push(report);
        }
        waiting.heads.extend(digest.heads);
        waiting.heads.truncate(MOST_HEADS_FORWARDED);
        waiting.away.extend(digest.away);
        drop(waiting);
        if has_news {
            self.has_to_forward.notify_one();
        }
    }

    /// A neighbour that follows the store publishes what changed.
    fn take_changes(self: &Arc<Self>, changes: Changes, in_doubt: bool, from: SocketAddr) {
        let at = changes.at;
        if in_doubt {
            self.state.record_peer_doubt(now());
        }
        if !self.state.apply_changes(changes, Source::Peer, now()) {
            self.notice(at, from);
        }
    }

    /// A peer knows everything up to `position`: what is missing here is fetched from it.
    fn notice(self: &Arc<Self>, position: Revision, from: SocketAddr) {
        let own = self.state.position();
        if own.is_some_and(|own| own.era() < position.era()) {
            self.state.observe_peer_era(position.era(), now());
            self.following.peer_is_ahead(from);
            return;
        }
        let is_known = own.is_some_and(|own| own >= position);
        if is_known || self.is_catching_up.swap(true, Ordering::Relaxed) {
            return;
        }
        let peers = Arc::clone(self);
        self.runtime.spawner.spawn(Box::pin(async move {
            peers.catch_up(from, position).await;
            peers.is_catching_up.store(false, Ordering::Relaxed);
        }));
    }

    async fn catch_up(&self, peer: SocketAddr, position: Revision) {
        if self.following.is_following() {
            tokio::time::sleep(STORE_HEADSTART).await;
        }
        // Where nothing is missing any more nothing is fetched, nor where nothing was read yet: that brings it all.
        while let Some(known) = self.state.position().filter(|known| *known < position) {
            if let Err(error) = self.fetch_news(peer, known).await {
                tracing::info!(%peer, %error, "catch_up_failed");
                self.following.distrust(peer);
                return;
            }
            let reached = self.state.position();
            tracing::info!(
                %peer,
                %known,
                position = reached.map(tracing::field::display),
                "caught_up_from_peer"
            );
            if reached <= Some(known) {
                return;
            }
        }
    }

    /// Takes what a peer knows beyond `known`, or the first part of it.
    async fn fetch_news(&self, peer: SocketAddr, known: Revision) -> io::Result<()> {
        match relay::fetch(&self.runtime, peer, known).await? {
            // Where they leave a gap, the peer is asked once more.
            ChangesAnswer::Changes(changes) => {
                self.state.apply_changes(changes, Source::Peer, now());
            }
            ChangesAnswer::HistoryForgotten => self.read_everything(peer).await,
        }
        Ok(())
    }

    async fn read_everything(&self, peer: SocketAddr) {
        let plan = ReadingPlan {
            providers: vec![peer],
            patience: PROVIDER_PATIENCE,
        };
        let mut reading = FullRead::new(Consistency::Stale);
        // What it brings shows in the position.
        reading.read_peers(&self.runtime, &plan, &self.state).await;
    }
}
