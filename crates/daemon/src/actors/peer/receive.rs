//! Handles datagrams and pull answers from peers.

use std::net::SocketAddr;

use ponddrift_core::load::AgedDigest;
use ponddrift_core::membership::MembershipEvent;
use ponddrift_core::routing::RoutingEvent;
use ponddrift_core::{CellName, Incarnation, MachineId, Revision, Timestamp};
use ponddrift_protocol::{Datagram, Part, Request, Response};
use xtra::{Context, Handler};

use super::{ControllerInput, KnownController, PeerActor};
use crate::actors::claims::ApplyShardMap;
use crate::actors::configuration::{ApplyPullAnswer, RecordPeerRevision};
use crate::actors::routing::Observe;
use crate::actors::tell;

/// Received datagrams with the addresses of their senders.
pub(crate) struct Received(pub(crate) Vec<(SocketAddr, Datagram)>);

/// A peer answered a pull of drain marks, engine facts or the shard map.
pub(crate) struct PullAnswered {
    pub(crate) asked: Timestamp,
    pub(crate) response: Response,
}

impl Handler<Received> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: Received, _context: &mut Context<Self>) {
        for (from, datagram) in message.0 {
            for part in datagram.body {
                self.handle_part(from, datagram.sender, datagram.incarnation, part);
            }
        }
        self.flush().await;
    }
}

impl Handler<PullAnswered> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: PullAnswered, _context: &mut Context<Self>) {
        match message.response {
            Response::DrainMarks(marks) => {
                for mark in marks {
                    self.apply_mark(mark);
                }
                if message.asked >= self.trusted_pulls_since {
                    self.views.caught_up();
                    self.must_catch_up = false;
                }
            }
            Response::EngineFacts(all) => {
                for facts in all {
                    if self.facts.merge(facts) {
                        self.mark_directory_stale();
                    }
                }
                self.has_pulled_facts = true;
                self.refresh_directory();
            }
            Response::ShardMap(map) => tell(&self.deps.claims, ApplyShardMap(map)),
            _ => {}
        }
        self.publish_view_validity();
    }
}

impl PeerActor {
    fn handle_part(
        &mut self,
        from: SocketAddr,
        sender: MachineId,
        incarnation: Incarnation,
        part: Part,
    ) {
        match part {
            Part::Membership(message) => self.member_event(MembershipEvent::Received {
                from,
                sender,
                incarnation,
                message,
            }),
            Part::Load(digests) => {
                for digest in digests {
                    self.apply_digest(digest);
                }
            }
            Part::EngineFacts(all) => {
                for facts in all {
                    if self.facts.merge(facts) {
                        self.mark_directory_stale();
                    }
                }
                self.refresh_directory();
            }
            Part::ShardMapEpoch(epoch) => {
                let known = self.deps.shard_map.borrow().epoch;
                if epoch > known {
                    self.pull(from, Request::PullShardMap);
                } else if epoch < known {
                    self.outbox.add(from, Part::ShardMapEpoch(known));
                }
            }
            Part::EngineFactsDigest(digest) => {
                if digest != self.facts.digest() {
                    self.pull(from, Request::PullEngineFacts);
                }
            }
            Part::DrainMarks(marks) => {
                for mark in marks {
                    self.apply_mark(mark);
                }
            }
            Part::DrainDigest(digest) => {
                if digest != self.drains.digest() {
                    self.pull(from, Request::PullDrainMarks);
                }
            }
            Part::DrainAcks(acks) => {
                for ack in acks {
                    let Some(cell) = self.cell_of(ack.back_end) else {
                        continue;
                    };
                    let input = ControllerInput::Acknowledged {
                        daemon: sender,
                        incarnation,
                        ack,
                    };
                    self.forward_to_controller(cell, input);
                }
            }
            Part::Demand { cell, models } => {
                self.forward_to_controller(cell, ControllerInput::Demand(models));
            }
            Part::ViewRequest { cell, number } => {
                self.handle_view_request(from, (sender, incarnation), cell, number);
            }
            Part::View {
                cell,
                number,
                token,
                marks,
            } => {
                let controller = KnownController {
                    machine: sender,
                    token,
                };
                self.learn_controller(cell.clone(), controller);
                for mark in marks {
                    self.apply_mark(mark);
                }
                if self.views.accept_answer(&cell, number, token) {
                    self.publish_view_validity();
                }
            }
            Part::ConfigurationInForce(revision) => {
                self.record_peer_revision(sender, incarnation, revision);
                self.sync_configuration(from, revision);
            }
            Part::ConfigurationQuery => {
                self.outbox
                    .add(from, Part::ConfigurationInForce(self.configuration));
            }
            Part::Controller {
                cell,
                controller,
                token,
            } => {
                self.learn_controller(
                    cell,
                    KnownController {
                        machine: controller,
                        token,
                    },
                );
            }
        }
    }

    fn handle_view_request(
        &mut self,
        from: SocketAddr,
        (daemon, incarnation): (MachineId, Incarnation),
        cell: CellName,
        number: u64,
    ) {
        let own = self.deps.identity.machine;
        let known = self.deps.controllers.borrow().get(&cell).copied();
        match known {
            Some(known) if known.machine != own && self.controller_address(&cell).is_some() => {
                let KnownController {
                    machine: controller,
                    token,
                } = known;
                self.outbox.add(
                    from,
                    Part::Controller {
                        cell,
                        controller,
                        token,
                    },
                );
            }
            _ => {
                let input = ControllerInput::ViewRequested {
                    daemon,
                    incarnation,
                    from,
                    number,
                };
                self.forward_to_controller(cell, input);
            }
        }
    }

    fn forward_to_controller(&self, cell: CellName, input: ControllerInput) {
        // The receiver is gone only while the daemon is shutting down.
        let _stopping = self.deps.controller_inputs.send((cell, input));
    }

    pub(super) fn apply_digest(&mut self, aged: AgedDigest) {
        let now = self.now();
        if self.load.take(now, aged) {
            tell(
                &self.deps.routing,
                Observe(RoutingEvent::Digest(aged.digest)),
            );
        }
    }

    pub(super) fn incarnation_of(&self, peer: MachineId) -> Option<Incarnation> {
        let record = self.membership.member(peer)?;
        Some(record.life.incarnation)
    }

    pub(super) fn record_peer_revision(
        &self,
        peer: MachineId,
        incarnation: Incarnation,
        revision: Revision,
    ) {
        let note = RecordPeerRevision {
            peer,
            incarnation,
            revision,
        };
        tell(&self.deps.configuration, note);
    }

    /// Pulls the configuration from a peer with a later revision; tells a peer with an earlier one
    /// the local revision.
    fn sync_configuration(&mut self, from: SocketAddr, peer_revision: Revision) {
        if peer_revision < self.configuration {
            self.outbox
                .add(from, Part::ConfigurationInForce(self.configuration));
            return;
        }
        if peer_revision == self.configuration {
            return;
        }
        let since = self.configuration;
        let client = self.deps.client.clone();
        let configuration = self.deps.configuration.clone();
        self.runtime.spawner.spawn(Box::pin(async move {
            match client.ask(from, Request::PullConfiguration { since }).await {
                Ok(Response::Configuration(answer)) => {
                    tell(&configuration, ApplyPullAnswer(answer));
                }
                Ok(_other) => {}
                Err(error) => tracing::debug!(%error, "configuration not pulled"),
            }
        }));
    }

    /// Sends a request to a peer over a stream. The answer arrives as [`PullAnswered`].
    pub(super) fn pull(&self, target: SocketAddr, request: Request) {
        let Some(own) = self.own.clone() else { return };
        let client = self.deps.client.clone();
        let asked = self.now();
        self.runtime.spawner.spawn(Box::pin(async move {
            match client.ask(target, request).await {
                Ok(response) => {
                    if let Some(own) = own.try_upgrade() {
                        tell(&own, PullAnswered { asked, response });
                    }
                }
                Err(error) => tracing::debug!(%error, "pull not answered"),
            }
        }));
    }
}
