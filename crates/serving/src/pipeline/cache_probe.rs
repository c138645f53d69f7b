//! Queries engines after a start for the shared prefixes in their caches.
//!
//! A daemon loses its knowledge of the caches when it stops, while the engines still hold the
//! prefixes. Without this probe, every long prompt would be prefilled again after a loss of all
//! daemons, just when all callers return.

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

/// Maximum lookups for the first model engine after a start.
const MAX_ENGINE_LOOKUPS: u32 = 100;
/// Time between two lookups.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of engines to query. In larger fleets each daemon queries a random subset.
const MAX_PROBED_ENGINES: usize = 32;
/// Engines that are queried concurrently.
const PROBE_CONCURRENCY: usize = 8;
/// Time limit for an engine's answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Pipeline {
    /// Queries engines for their cached prefixes; runs once after a start.
    pub async fn probe_caches(self: Arc<Self>) {
        let Some(engines) = self.wait_for_engines().await else {
            return;
        };
        let asked = engines.len();
        let answers: Vec<Option<usize>> = stream::iter(engines)
            .map(|engine| self.probe_cache(engine))
            .buffer_unordered(PROBE_CONCURRENCY)
            .collect()
            .await;
        let heads: usize = answers.iter().flatten().sum();
        let answered = answers.iter().flatten().count();
        tracing::info!(asked, answered, heads, "caches_probed");
    }

    /// Waits for model engines in the directory and selects those to query.
    async fn wait_for_engines(&self) -> Option<Vec<Arc<BackEnd>>> {
        for _ in 0..MAX_ENGINE_LOOKUPS {
            let mut engines = self.state.back_ends();
            engines
                .retain(|engine| engine.stage.is_some() && self.state.has_service(&engine.service));
            if !engines.is_empty() {
                engines.shuffle(&mut *self.random());
                engines.truncate(MAX_PROBED_ENGINES);
                return Some(engines);
            }
            tokio::time::sleep(LOOKUP_INTERVAL).await;
        }
        None
    }

    /// Queries one engine. Returns the number of its cached prefixes, or `None` if it did not
    /// answer.
    async fn probe_cache(self: &Arc<Self>, engine: Arc<BackEnd>) -> Option<usize> {
        let request = self.dialect.cache_events().request(engine.address)?;
        let permit = self.permit_check(&engine)?;
        let sent = now();
        let call = self
            .connections
            .call(permit, engine.address, 2, request, PROBE_TIMEOUT);
        let answer = call.await.ok()?;
        let origin = AnswerOrigin::call("cache_events", sent);
        self.record_announcements(&engine, answer.status(), answer.headers(), origin);
        if answer.status() != StatusCode::OK {
            return None;
        }
        let events = self.dialect.read_cache_events(answer.body())?;
        Some(self.record_cache_events(&engine, &events))
    }

    fn record_cache_events(&self, engine: &Arc<BackEnd>, events: &[CacheEvent]) -> usize {
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
