//! Answers to requests of peers, out of the actors.

use std::sync::Arc;

use futures::future::BoxFuture;
use ponddrift_core::claims::ShardMap;
use ponddrift_protocol::{Hello, MAXIMUM_ROWS, Request, Response};
use ponddrift_runtime::watch;
use xtra::Address;

use super::server::PeerHandler;
use crate::actors::claims::{ClaimsActor, HandleClaim};
use crate::actors::configuration::{ChangesSince, ConfigurationActor};
use crate::actors::peer::{AllFacts, AllMarks, PeerActor};
use crate::actors::{ActorStopped, ask};
use crate::decisions::DecisionLog;

/// Where answers come from.
#[derive(Clone)]
pub(crate) struct PeerRequests {
    pub(crate) configuration: Address<ConfigurationActor>,
    pub(crate) peers: Address<PeerActor>,
    pub(crate) claims: Address<ClaimsActor>,
    pub(crate) shard_map: watch::Receiver<Arc<ShardMap>>,
    pub(crate) decisions: DecisionLog,
}

impl PeerRequests {
    async fn answer_one(&self, request: Request) -> Result<Response, ActorStopped> {
        match request {
            Request::PullConfiguration { since } => ask(&self.configuration, ChangesSince(since))
                .await
                .map(Response::Configuration),
            Request::PullDecisions { after, limit } => {
                Ok(self.decisions_after(after, limit.min(MAXIMUM_ROWS)))
            }
            Request::Claim(message) => ask(&self.claims, HandleClaim(message))
                .await
                .map(Response::Claim),
            Request::PullShardMap => {
                let map = self.shard_map.borrow().as_ref().clone();
                Ok(Response::ShardMap(map))
            }
            Request::PullDrainMarks => ask(&self.peers, AllMarks).await.map(Response::DrainMarks),
            Request::PullEngineFacts => ask(&self.peers, AllFacts).await.map(Response::EngineFacts),
        }
    }

    fn decisions_after(&self, after: u64, limit: u32) -> Response {
        let page = self
            .decisions
            .after(after, usize::try_from(limit).unwrap_or(usize::MAX));
        Response::Decisions {
            records: page.records,
            position: page.position,
            has_more: page.has_more,
        }
    }
}

impl PeerHandler for PeerRequests {
    fn answer(&self, _hello: Hello, request: Request) -> BoxFuture<'static, Response> {
        let requests = self.clone();
        Box::pin(async move {
            let answer = requests.answer_one(request).await;
            answer.unwrap_or_else(|stopped| Response::Refused {
                reason: stopped.to_string(),
            })
        })
    }
}
