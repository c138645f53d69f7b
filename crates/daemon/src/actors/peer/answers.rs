//! Queries that other modules of the daemon send to the peer actor.

use ponddrift_core::drain::DrainMark;
use ponddrift_core::engine_facts::EngineFacts;
use ponddrift_core::load::KnownLoad;
use xtra::{Context, Handler};

use super::PeerActor;

/// Returns all drain marks.
pub(crate) struct AllMarks;

/// Returns the facts of all engines.
pub(crate) struct AllFacts;

/// Returns the newest load digests.
pub(crate) struct AllLoad;

impl Handler<AllMarks> for PeerActor {
    type Return = Vec<DrainMark>;

    async fn handle(&mut self, _message: AllMarks, _context: &mut Context<Self>) -> Vec<DrainMark> {
        self.drains.all(self.now()).collect()
    }
}

impl Handler<AllFacts> for PeerActor {
    type Return = Vec<EngineFacts>;

    async fn handle(&mut self, _message: AllFacts, _context: &mut Context<Self>) -> Self::Return {
        self.facts.iter().cloned().collect()
    }
}

impl Handler<AllLoad> for PeerActor {
    type Return = Vec<KnownLoad>;

    async fn handle(&mut self, _message: AllLoad, _context: &mut Context<Self>) -> Self::Return {
        self.load.iter(self.now()).collect()
    }
}
