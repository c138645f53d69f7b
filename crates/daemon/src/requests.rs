//! Requests that run or wait at this daemon, for operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ponddrift_core::admission::AdmissionRequest;
use ponddrift_core::routing::PlacementPlan;
use ponddrift_core::{MachineId, RequestId, ServiceName, TenantName, Timestamp};

/// What a request is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// It waits for admission.
    Queued,
    /// It was admitted.
    Running,
}

impl RequestState {
    /// The state's name in the operators' language.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
        }
    }
}

/// One request in progress.
#[derive(Debug, Clone)]
pub(crate) struct RequestInProgress {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) tenant: TenantName,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) prompt_tokens: u32,
    pub(crate) state: RequestState,
    /// The back end that answers (of a hand-over, the one that generates); `None` while it waits.
    pub(crate) back_end: Option<MachineId>,
    pub(crate) attempts: u32,
}

type Entries = BTreeMap<RequestId, RequestInProgress>;

/// All requests in progress; clones share them.
#[derive(Clone, Default)]
pub(crate) struct RequestRegistry {
    entries: Arc<Mutex<Entries>>,
}

impl RequestRegistry {
    /// Adds a request that waits for admission; it goes when the entry is dropped.
    pub(crate) fn enter(
        &self,
        request: &AdmissionRequest,
        prompt_tokens: u32,
        now: Timestamp,
    ) -> RequestGuard {
        let in_progress = RequestInProgress {
            id: request.id,
            service: request.service.clone(),
            tenant: request.tenant.clone(),
            arrived: now,
            deadline: request.deadline,
            prompt_tokens,
            state: RequestState::Queued,
            back_end: None,
            attempts: 0,
        };
        self.lock().insert(request.id, in_progress);
        RequestGuard {
            register: self.clone(),
            id: request.id,
        }
    }

    /// The requests as they are now, ordered by id.
    pub(crate) fn all(&self) -> Vec<RequestInProgress> {
        self.lock().values().cloned().collect()
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's entry; it is removed when this is dropped.
pub(crate) struct RequestGuard {
    register: RequestRegistry,
    id: RequestId,
}

impl RequestGuard {
    /// The request was admitted.
    pub(crate) fn admitted(&self) {
        self.change(|entry| entry.state = RequestState::Running);
    }

    /// The request is sent to a back end.
    pub(crate) fn placed(&self, plan: PlacementPlan) {
        self.change(|entry| {
            entry.back_end = Some(match plan {
                PlacementPlan::Single { back_end } => back_end,
                PlacementPlan::Handover { decode, .. } => decode,
            });
            entry.attempts += 1;
        });
    }

    fn change(&self, change: impl FnOnce(&mut RequestInProgress)) {
        if let Some(entry) = self.register.lock().get_mut(&self.id) {
            change(entry);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.register.lock().remove(&self.id);
    }
}
