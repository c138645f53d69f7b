//! One watch: a stream of JSON lines from a revision on, without gaps.

use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::stream;
use ponddrift_http::body::BodyError;
use ponddrift_platform::etcd::wire::{
    Event, Int64, ResponseHeader, WatchCreateRequest, WatchResponse,
};
use ponddrift_runtime::watch;

use super::faults::{KeyValueFaults, Outage};
use super::service::{KeyValueService, line_of};
use super::store::KeyRange;
use crate::server::DropConnection;

/// Feeds one watch.
pub(super) struct WatchFeed {
    service: Arc<KeyValueService>,
    range: KeyRange,
    /// First revision that was not sent yet.
    next: i64,
    revision: watch::Receiver<i64>,
    faults: watch::Receiver<KeyValueFaults>,
    phase: Phase,
}

enum Phase {
    New,
    Open,
    Ended,
}

impl WatchFeed {
    pub(super) fn new(service: Arc<KeyValueService>, request: &WatchCreateRequest) -> Self {
        let revision = service.watch_revision();
        let faults = service.faults().subscribe();
        let next = match request.start_revision.0 {
            0 => service.revision() + 1,
            from => from,
        };
        Self {
            range: KeyRange::new(&request.key, request.range_end.as_ref()),
            next,
            revision,
            faults,
            service,
            phase: Phase::New,
        }
    }

    pub(super) fn into_stream(self) -> impl Stream<Item = Result<Bytes, BodyError>> + Send {
        stream::unfold(self, |mut feed| async move {
            let line = feed.next_line().await?;
            Some((line, feed))
        })
    }

    async fn next_line(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self.phase {
            Phase::Ended => return None,
            Phase::New => {
                self.phase = Phase::Open;
                let created = WatchResponse {
                    header: self.header(),
                    created: true,
                    ..WatchResponse::default()
                };
                return Some(Ok(line_of(created)));
            }
            Phase::Open => {}
        }
        loop {
            if self.faults.borrow_and_update().outage != Outage::None {
                self.phase = Phase::Ended;
                return Some(Err(Box::new(DropConnection)));
            }
            // Marked as seen before the read, so that a change in between wakes the wait below.
            self.revision.borrow_and_update();
            match self.take() {
                Taken::Compacted(oldest) => {
                    self.phase = Phase::Ended;
                    return Some(Ok(self.compacted(oldest)));
                }
                Taken::Events(events) if !events.is_empty() => {
                    tokio::time::sleep(self.service.faults().slowness()).await;
                    let message = WatchResponse {
                        header: self.header_at(self.next - 1),
                        events,
                        ..WatchResponse::default()
                    };
                    return Some(Ok(line_of(message)));
                }
                Taken::Events(_none) => {}
            }
            let changed = tokio::select! {
                biased;
                changed = self.faults.changed() => changed,
                grew = self.revision.changed() => grew,
            };
            if changed.is_err() {
                // The service has ended: waiting again would be told so at once, for good.
                self.phase = Phase::Ended;
                return None;
            }
        }
    }

    fn take(&mut self) -> Taken {
        let store = self.service.lock();
        if self.next < store.oldest_revision() {
            return Taken::Compacted(store.oldest_revision());
        }
        let events = store.events(&self.range, self.next);
        self.next = self.next.max(store.revision() + 1);
        Taken::Events(events)
    }

    fn compacted(&self, oldest: i64) -> Bytes {
        line_of(WatchResponse {
            header: self.header(),
            canceled: true,
            compact_revision: Int64(oldest),
            ..WatchResponse::default()
        })
    }

    fn header(&self) -> ResponseHeader {
        self.header_at(self.service.revision())
    }

    fn header_at(&self, revision: i64) -> ResponseHeader {
        ResponseHeader {
            revision: Int64(revision),
        }
    }
}

enum Taken {
    Events(Vec<Event>),
    Compacted(i64),
}
