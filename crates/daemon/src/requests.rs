//! Registry of queued and running requests at this daemon, for operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ponddrift_core::admission::AdmissionRequest;
use ponddrift_core::routing::PlacementPlan;
use ponddrift_core::{MachineId, RequestId, ServiceName, TenantName, Timestamp};

/// Processing state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Waiting for admission.
    Queued,
    /// Admitted.
    Running,
}

impl RequestState {
    /// Name of the state in the operators' query language.
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
    /// The back end that answers, or the decode engine of a handover; `None` before placement.
    pub(crate) back_end: Option<MachineId>,
    pub(crate) attempts: u32,
}

type Entries = BTreeMap<RequestId, RequestInProgress>;

/// All requests in progress; clones share the registry.
#[derive(Clone, Default)]
pub(crate) struct RequestRegistry {
    entries: Arc<Mutex<Entries>>,
}

impl RequestRegistry {
    /// Adds a queued request, which is removed when the returned guard is dropped.
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

    /// Returns a snapshot of all requests, ordered by id.
    pub(crate) fn all(&self) -> Vec<RequestInProgress> {
        self.lock().values().cloned().collect()
    }

    /// Returns the number of requests in progress.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the registry when dropped.
pub(crate) struct RequestGuard {
    register: RequestRegistry,
    id: RequestId,
}

impl RequestGuard {
    /// Marks the request as admitted.
    pub(crate) fn admitted(&self) {
        self.change(|entry| entry.state = RequestState::Running);
    }

    /// Records an attempt and the back end it is sent to.
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
