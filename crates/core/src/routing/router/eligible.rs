//! Which back ends may be chosen for a request, and why the others may not.

use std::time::Duration;

use indexmap::IndexMap;

use crate::routing::outlier::{Eligibility, OutlierDetector};
use crate::routing::placement::{RouteRequest, RouteTarget, RoutingRefusal, VersionRule};
use crate::routing::settings::RouterSettings;
use crate::routing::view::{BackEndKind, BackEndState};
use crate::{EngineRole, MachineId, Timestamp};

/// Half-lives after which the role in a digest no longer speaks against the view's.
const ROLE_CHECK_HALF_LIVES: u32 = 4;

/// The back ends of one target that may be chosen, and why others may not.
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

/// Sorts the back ends that serve a target into those that may be chosen and the others.
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
        (RouteTarget::Plain { pool }, BackEndKind::Plain { pool: held }) => pool == held,
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

/// Whether an engine has no role now, by its view or by a fresh digest that contradicts the view.
fn has_no_current_role(settings: &RouterSettings, now: Timestamp, state: &BackEndState) -> bool {
    let Some(engine) = state.engine() else {
        return false;
    };
    let Some(role) = engine.role else {
        return true;
    };
    let fresh_for = settings.digest_half_life * ROLE_CHECK_HALF_LIVES;
    state.digest.is_some_and(|held| {
        now.since(held.received_at) < fresh_for && !reports_role(held.digest.role, role)
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

    /// Leaves out the avoided zone unless nothing else is left.
    fn drop_avoided_zone(&mut self, request: &RouteRequest) {
        let Some(avoided) = &request.avoided_zone else {
            return;
        };
        let elsewhere = |candidate: &Candidate<'_>| candidate.state.view.zone != *avoided;
        if self.candidates.iter().any(elsewhere) {
            self.candidates.retain(elsewhere);
        }
    }

    /// Why nothing may be chosen.
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
