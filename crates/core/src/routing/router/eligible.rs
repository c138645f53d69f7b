//! Filters the back ends that may be chosen for a request and records why others may not.

use std::time::Duration;

use indexmap::IndexMap;

use crate::routing::outlier::{Eligibility, OutlierDetector};
use crate::routing::placement::{RouteRequest, RouteTarget, RoutingRefusal, VersionRule};
use crate::routing::settings::RouterSettings;
use crate::routing::view::{BackEndKind, BackEndState};
use crate::{EngineRole, MachineId, Timestamp};

/// Digest age, in half-lives, after which a contradicting role in the digest is ignored.
const ROLE_CHECK_HALF_LIVES: u32 = 4;

/// Candidates for a target, with counts of the back ends that were excluded.
#[derive(Debug, Default)]
pub(super) struct Eligible<'a> {
    pub candidates: Vec<Candidate<'a>>,
    serving: usize,
    draining: usize,
    excluded: usize,
    earliest_probe: Option<Timestamp>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub state: &'a BackEndState,
    pub probe: bool,
}

/// Collects the back ends that match the target of a request and may be chosen.
pub(super) fn collect<'a>(
    settings: &RouterSettings,
    back_ends: &'a IndexMap<MachineId, BackEndState>,
    outliers: &OutlierDetector,
    now: Timestamp,
    request: &RouteRequest,
) -> Eligible<'a> {
    let mut eligible = Eligible::default();
    for state in back_ends.values() {
        if !serves(state, &request.target) {
            continue;
        }
        eligible.serving += 1;
        if state.view.draining || has_no_current_role(settings, now, state) {
            eligible.draining += 1;
            continue;
        }
        if request.excluded.contains(&state.view.id) {
            eligible.excluded += 1;
            continue;
        }
        let probe = match outliers.eligibility(now, state.view.id) {
            Eligibility::InService => false,
            Eligibility::Probe if request.may_probe => true,
            Eligibility::Probe => {
                eligible.record_probe_time(now);
                continue;
            }
            Eligibility::Ejected { until } => {
                eligible.record_probe_time(until);
                continue;
            }
        };
        eligible.candidates.push(Candidate { state, probe });
    }
    eligible.drop_avoided_zone(request);
    eligible
}

fn serves(state: &BackEndState, target: &RouteTarget) -> bool {
    match (target, &state.view.kind) {
        (RouteTarget::Plain { pool }, BackEndKind::Plain { pool: own_pool }) => pool == own_pool,
        (
            RouteTarget::Completion {
                model,
                version,
                adapter,
            },
            BackEndKind::Engine(engine),
        ) => {
            let version_fits = match version {
                VersionRule::Any => true,
                VersionRule::Exactly(wanted) => engine.version == *wanted,
            };
            let adapter_fits = adapter
                .as_ref()
                .is_none_or(|adapter| engine.adapters.contains(adapter));
            engine.model.as_ref() == Some(model) && version_fits && adapter_fits
        }
        _ => false,
    }
}

/// Whether an engine has no role in its view, or a recent digest contradicts that role.
fn has_no_current_role(settings: &RouterSettings, now: Timestamp, state: &BackEndState) -> bool {
    let Some(engine) = state.engine() else {
        return false;
    };
    let Some(role) = engine.role else {
        return true;
    };
    let fresh_for = settings.digest_half_life * ROLE_CHECK_HALF_LIVES;
    state.digest.is_some_and(|received| {
        now.since(received.received_at) < fresh_for && !reports_role(received.digest.role, role)
    })
}

fn reports_role(reported: Option<EngineRole>, wanted: EngineRole) -> bool {
    reported == Some(wanted)
}

impl Eligible<'_> {
    fn record_probe_time(&mut self, at: Timestamp) {
        let earlier = self.earliest_probe.map_or(at, |first| first.min(at));
        self.earliest_probe = Some(earlier);
    }

    /// Drops candidates in the avoided zone unless there are no others.
    fn drop_avoided_zone(&mut self, request: &RouteRequest) {
        let Some(avoided) = &request.avoided_zone else {
            return;
        };
        let elsewhere = |candidate: &Candidate<'_>| candidate.state.view.zone != *avoided;
        if self.candidates.iter().any(elsewhere) {
            self.candidates.retain(elsewhere);
        }
    }

    /// Reason why there are no candidates.
    pub fn refusal(&self, now: Timestamp) -> RoutingRefusal {
        if self.serving == 0 {
            return RoutingRefusal::NoneServes;
        }
        if let Some(at) = self.earliest_probe {
            let retry_after = at.since(now).max(Duration::from_millis(1));
            return RoutingRefusal::AllSetAside { retry_after };
        }
        if self.excluded > 0 {
            return RoutingRefusal::AllExcluded {
                serving: self.serving,
            };
        }
        RoutingRefusal::AllDraining {
            serving: self.serving,
        }
    }
}
