//! Weight store: all transfers share one rate, so that parallel loads are slower.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::server::{Answer, DropConnection, StandIn, json_ok, not_found, text_response};

/// `GET /weights/<model>/<version>`: answers with a [`WeightReceipt`] once the transfer is done.
pub const WEIGHTS_PATH: &str = "/weights/";
/// Length of one turn of the shared rate.
const TURN: Duration = Duration::from_millis(50);

/// How weights are transferred.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Size of any model's weights in bytes.
    pub model_bytes: u64,
    /// Bytes a second, shared by all transfers.
    pub bytes_per_second: f64,
    /// Whether connections are dropped instead of answered.
    pub outage: bool,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            model_bytes: 16_000_000_000,
            bytes_per_second: 8_000_000_000.0,
            outage: false,
        }
    }
}

/// Says that a transfer is done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightReceipt {
    /// Model and version as asked for.
    pub weights: String,
    /// Bytes transferred (simulated).
    pub bytes: u64,
}

/// The weight store's stand-in.
pub struct WeightStore {
    inner: Mutex<Inner>,
}

struct Inner {
    settings: WeightStoreSettings,
    transfers: u32,
}

impl WeightStore {
    /// A store without transfers.
    #[must_use]
    pub fn new(settings: WeightStoreSettings) -> Self {
        Self {
            inner: Mutex::new(Inner {
                settings,
                transfers: 0,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> WeightStoreSettings {
        self.lock().settings
    }

    /// Changes the settings, also for transfers in progress.
    pub fn set_settings(&self, settings: WeightStoreSettings) {
        self.lock().settings = settings;
    }

    /// Transfers in progress.
    #[must_use]
    pub fn transfers(&self) -> u32 {
        self.lock().transfers
    }

    async fn transfer(&self, weights: &str) -> Answer {
        let bytes = self.settings().model_bytes;
        let _place = Place::take(self);
        let mut left = bytes as f64;
        while left > 0.0 {
            let (share, outage) = self.share();
            if outage {
                return Err(DropConnection);
            }
            let needed = Duration::try_from_secs_f64(left / share.max(1.0)).unwrap_or(TURN);
            let turn = needed.min(TURN).max(Duration::from_millis(1));
            tokio::time::sleep(turn).await;
            left -= share * turn.as_secs_f64();
        }
        Ok(json_ok(&WeightReceipt {
            weights: weights.to_owned(),
            bytes,
        }))
    }

    /// Rate of one transfer now, and whether the store is out.
    fn share(&self) -> (f64, bool) {
        let inner = self.lock();
        let rate = inner.settings.bytes_per_second / f64::from(inner.transfers.max(1));
        (rate, inner.settings.outage)
    }
}

/// Counts a transfer for as long as it lives.
struct Place<'a>(&'a WeightStore);

impl<'a> Place<'a> {
    fn take(store: &'a WeightStore) -> Self {
        store.lock().transfers += 1;
        Self(store)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.lock().transfers -= 1;
    }
}

impl StandIn for WeightStore {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            if self.settings().outage {
                return Err(DropConnection);
            }
            let path = request.uri().path();
            let Some(weights) = path.strip_prefix(WEIGHTS_PATH) else {
                return Ok(not_found(path));
            };
            let is_complete = weights.split('/').filter(|part| !part.is_empty()).count() == 2;
            if !is_complete {
                let text = "name the weights as /weights/<model>/<version>";
                return Ok(text_response(StatusCode::BAD_REQUEST, text));
            }
            self.transfer(weights).await
        })
    }
}
