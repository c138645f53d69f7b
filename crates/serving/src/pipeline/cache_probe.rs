//! Queries engines after a start for the shared prefixes in their caches.
//!
//! A daemon's knowledge of caches is lost with the daemon, while the engines still hold the prefixes. Without this probe
//! every long prompt would be read again after a loss of all daemons, just when all callers come back.

use std::sync::Arc;
use std::time::Duration;

use futures::{StreamExt, stream};
use http::StatusCode;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::{MIN_PREFIX_TOKENS, PrefixState, PrefixUse};
use ponddrift_fleet::prompt::prefix_hash;
use rand::seq::SliceRandom;

use super::Pipeline;
use super::announcements::AnswerOrigin;
use crate::dialect::CacheEvent;
use crate::time::now;

/// Looks for the first model engine after a start.
const LOOKS: u32 = 100;
/// Pause between two of them.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Engines that are asked; with more, a part of them: peers ask others.
const MOST_ASKED: usize = 32;
/// Engines that are asked at a time.
const ASKED_AT_ONCE: usize = 8;
/// Time for an engine's answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

impl Pipeline {
    /// Asks engines what they keep, once after a start.
    pub async fn probe_caches(self: Arc<Self>) {
        let Some(engines) = self.first_engines().await else {
            return;
        };
        let asked = engines.len();
        let answers: Vec<Option<usize>> = stream::iter(engines)
            .map(|engine| self.probe_cache(engine))
            .buffer_unordered(ASKED_AT_ONCE)
            .collect()
            .await;
        let heads: usize = answers.iter().flatten().sum();
        let answered = answers.iter().flatten().count();
        tracing::info!(asked, answered, heads, "caches_probed");
    }

    /// Model engines, once there are any.
    async fn first_engines(&self) -> Option<Vec<Arc<BackEnd>>> {
        for _ in 0..LOOKS {
            let mut engines = self.state.back_ends();
            engines.retain(|engine| engine.stage.is_some());
            if !engines.is_empty() {
                engines.shuffle(&mut *self.random());
                engines.truncate(MOST_ASKED);
                return Some(engines);
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        None
    }

    /// Asks one engine. Returns the heads that it keeps; none without an answer.
    async fn probe_cache(self: &Arc<Self>, engine: Arc<BackEnd>) -> Option<usize> {
        let request = self.dialect.cache_events().request(engine.address)?;
        let permit = self.permit_check(&engine)?;
        let sent = now();
        let call = self
            .connections
            .call(permit, engine.address, 2, request, ANSWER_LIMIT);
        let answer = call.await?;
        let origin = AnswerOrigin::call("cache_events", sent);
        self.note_announcement(&engine, answer.status(), answer.headers(), origin);
        if answer.status() != StatusCode::OK {
            return None;
        }
        let events = self.dialect.read_cache_events(answer.body())?;
        Some(self.remember(&engine, &events))
    }

    fn remember(&self, engine: &Arc<BackEnd>, events: &[CacheEvent]) -> usize {
        let capacity = self.cache_tokens(engine);
        let mut placement = self.placement();
        if let Some(tokens) = capacity {
            placement.prefixes.set_capacity(tokens);
        }
        let mut heads = 0;
        for event in events {
            let prefix = prefix_hash(&event.part);
            if event.tokens < MIN_PREFIX_TOKENS {
                placement.prefixes.record_miss(&engine.id, prefix);
                continue;
            }
            heads += 1;
            let usage = PrefixUse {
                engine: Arc::clone(&engine.id),
                prefix,
                tokens: event.tokens,
                own_tokens: 0,
                state: PrefixState::Cached,
            };
            placement.prefixes.note(&usage, now());
        }
        heads
    }

    fn cache_tokens(&self, engine: &BackEnd) -> Option<u64> {
        let in_force = self.state.in_force()?;
        let service = in_force.configuration.service(&engine.service)?;
        service.engine.as_ref().map(|traits| traits.cache_tokens)
    }
}
