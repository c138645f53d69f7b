//! Machine list that lags: readers see the list as it was some time ago.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ponddrift_core::machine::MachineList;
use ponddrift_http::{Body, body};
use ponddrift_platform::machines::MACHINES_PATH;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::server::{Answer, DropConnection, StandIn, json_ok, not_found, text_response};

/// How the list is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListSettings {
    /// Age of what readers see, in milliseconds.
    pub lag_ms: u64,
    /// Whether connections are dropped instead of answered.
    pub outage: bool,
}

/// The machine list's stand-in.
pub struct MachineListService {
    inner: Mutex<Inner>,
}

struct Inner {
    settings: MachineListSettings,
    /// Lists with the time at which each became current, oldest first; never empty.
    versions: VecDeque<(Instant, MachineList)>,
}

impl MachineListService {
    /// A service that shows `first` at once.
    #[must_use]
    pub fn new(first: MachineList, settings: MachineListSettings) -> Self {
        let inner = Inner {
            settings,
            versions: VecDeque::from([(Instant::now(), first)]),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list. The revision grows by itself where the new list's does not; readers see it after the lag.
    pub fn replace(&self, mut list: MachineList) {
        let mut inner = self.lock();
        let newest = inner
            .versions
            .back()
            .map_or(0, |(_since, list)| list.revision);
        list.revision = list.revision.max(newest + 1);
        list.machines.sort_by_key(|machine| machine.id);
        inner.versions.push_back((Instant::now(), list));
    }

    /// The list without lag.
    #[must_use]
    pub fn current(&self) -> MachineList {
        let inner = self.lock();
        inner
            .versions
            .back()
            .map(|(_since, list)| list.clone())
            .unwrap_or_default()
    }

    /// The list as readers see it.
    #[must_use]
    pub fn shown(&self) -> MachineList {
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.settings.lag_ms);
        let is_visible = |since: Instant| since.elapsed() >= lag;
        while inner
            .versions
            .get(1)
            .is_some_and(|(since, _list)| is_visible(*since))
        {
            inner.versions.pop_front();
        }
        inner
            .versions
            .front()
            .map(|(_since, list)| list.clone())
            .unwrap_or_default()
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> MachineListSettings {
        self.lock().settings
    }

    /// Changes the settings.
    pub fn set_settings(&self, settings: MachineListSettings) {
        self.lock().settings = settings;
    }
}

impl MachineListService {
    /// The list as readers see it, or 304 to one who shows the tag of the same list.
    fn answer(&self, headers: &HeaderMap) -> Response<Body> {
        let list = self.shown();
        let tag = HeaderValue::from_str(&format!("\"{}\"", list.revision))
            .expect("a quoted number is a header's value");
        let is_known = headers.get(header::IF_NONE_MATCH) == Some(&tag);
        let mut response = if is_known {
            let mut response = Response::new(body::empty());
            *response.status_mut() = StatusCode::NOT_MODIFIED;
            response
        } else {
            json_ok(&list)
        };
        response.headers_mut().insert(header::ETAG, tag);
        response
    }
}

impl StandIn for MachineListService {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            if self.settings().outage {
                return Err(DropConnection);
            }
            if request.uri().path() != MACHINES_PATH {
                return Ok(not_found(request.uri().path()));
            }
            if request.method() != Method::GET {
                let text = "the list is changed on the control listener: PUT /v1/machines there";
                return Ok(text_response(StatusCode::METHOD_NOT_ALLOWED, text));
            }
            Ok(self.answer(request.headers()))
        })
    }
}
