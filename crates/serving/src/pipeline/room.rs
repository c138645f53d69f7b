//! Asks for room for requests to plain services, and tells refused callers when there is room.
//!
//! Only where room is shared out among priorities and tenants over all daemons; elsewhere every
//! request has room, and callers are told a random time.

use std::time::Duration;

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::PlainRequest;
use ponddrift_fleet::scarcity::returns::{Promise, Refusal, Return};
use rand::RngExt;

use super::Pipeline;
use super::answers::Failure;
use super::job::Job;
use crate::request_trace::{TraceStep, milliseconds};
use crate::time::now;

impl Pipeline {
    /// Recognizes a caller that was refused and told to come back.
    pub(super) fn recognize_return(&self, job: &mut Job) {
        if !self.overload.scarce || self.placement().returns.is_empty() {
            return;
        }
        let fingerprint = job.fingerprint();
        job.returned = self.placement().returns.arrive(&fingerprint, now());
        // Without a body, requests of different callers may be equal.
        if job.body.is_empty() && matches!(job.returned, Return::Early { .. }) {
            job.returned = Return::New;
        }
        match job.returned {
            Return::New => {}
            Return::Early { .. } => self.metrics.scarcity().caller_returns("early"),
            Return::Punctual => {
                self.promises_changed.notify_one();
                self.metrics.scarcity().caller_returns("kept");
            }
        }
    }

    /// Decides whether a request to a plain service is sent now.
    pub(super) fn claim_room(&self, job: &mut Job) -> Result<(), Failure> {
        if job.runs > 0 || !self.overload.scarce {
            return Ok(());
        }
        let candidates = self.candidates(job);
        let draw = self.random().random_range(0.0..1.0);
        let now = now();
        let waited = now.saturating_duration_since(job.arrived);
        let is_first_claim = job.delivered_sends == 0;
        let request = PlainRequest {
            service: &job.service.name,
            tenant: job.tenant.as_ref().map(|tenant| &tenant.name),
            priority: job.priority(),
            returned: job.returned,
            target_left: job.route.target_latency.saturating_sub(waited),
            time_left: job.time_left(),
            yields_before: (!is_first_claim).then_some(job.yields),
        };
        let claimed = self.placement().claim_plain_room(
            &candidates.back_ends,
            &job.tried,
            &request,
            draw,
            now,
        );
        let Some(claimed) = claimed else {
            // The choice that follows reports why no back end can take it.
            return Ok(());
        };
        let verdict = claimed.verdict;
        job.yields = claimed.claim.yields;
        let decision = verdict.refusal.map_or("room", |refusal| refusal.as_str());
        self.metrics
            .scarcity()
            .claim(job.route.kind.as_str(), decision, job.yields);
        job.trace.add(TraceStep::RoomDecided(Box::new(claimed)));
        if verdict.refusal.is_none() {
            return Ok(());
        }
        Err(Failure::NoRoom {
            reason: "the back ends have no room for this request in time: come back when told",
            room_in: verdict.room_in,
            run: verdict.run,
            interval: claimed.interval,
        })
    }

    /// The refusal of a prompt for which no engine has time before its deadline.
    pub(super) fn engines_have_no_room(&self, job: &Job) -> Failure {
        let reason = "the engines have more to do than this request has time for: come back later";
        if !self.overload.scarce {
            return Failure::NotRun(reason);
        }
        let target = job.route.target_latency;
        // It runs within its target once new requests are in time again.
        let wait = job.in_time_plan_ms.map_or(target, |expected_ms| {
            Duration::from_secs_f64(expected_ms / 1000.0).saturating_sub(target)
        });
        Failure::NoRoom {
            reason,
            room_in: wait,
            run: target,
            interval: None,
        }
    }

    /// Decides when a refused caller may come back. `None` if the failure does not depend on room.
    pub(super) fn promise_return(&self, job: &mut Job, failure: Failure) -> Option<Duration> {
        let Failure::NoRoom {
            room_in,
            run,
            interval,
            ..
        } = failure
        else {
            return None;
        };
        let refusal = Refusal {
            room_in,
            time_left: Some(job.time_left()),
            run,
            interval,
            // Nobody has two turns.
            may_have_turn: !job.yields && job.returned != Return::Punctual,
        };
        if let Return::Early { remaining } = job.returned {
            job.trace.add(TraceStep::ReturnPromised {
                after: remaining,
                room_in,
                is_too_late: remaining + run > job.time_left(),
                has_turn: false,
                is_repeated: true,
            });
            return Some(remaining);
        }
        let fingerprint = job.fingerprint();
        let draw = self.random().random_range(0.0..1.0);
        let mut placement = self.placement();
        let promise = placement
            .returns
            .promise(&job.service.name, refusal, draw, now());
        let Promise {
            after,
            is_too_late,
            has_turn,
        } = promise;
        if !is_too_late {
            let service = &job.service.name;
            placement
                .returns
                .remember(service, fingerprint, promise, now());
        }
        drop(placement);
        self.promises_changed.notify_one();
        let result = match (is_too_late, has_turn) {
            (true, _) => "too_late",
            (false, true) => "promised",
            (false, false) => "without_turn",
        };
        self.metrics.scarcity().caller_returns(result);
        job.trace.add(TraceStep::ReturnPromised {
            after,
            room_in,
            is_too_late,
            has_turn,
            is_repeated: false,
        });
        Some(after)
    }

    /// Requests known to be at a plain back end; `None` where room is not shared out.
    pub(super) fn requests_ahead(&self, back_end: &BackEnd) -> Option<f64> {
        self.overload
            .scarce
            .then(|| self.placement().load.requests(&back_end.id))
    }

    /// Records how long a plain back end took to answer a request that had `ahead` others before it.
    pub(super) fn record_run_time(
        &self,
        job: &Job,
        back_end: &BackEnd,
        took: Duration,
        ahead: Option<f64>,
    ) {
        if let Some(ahead) = ahead {
            let took_ms = milliseconds(took);
            let rooms = &mut self.placement().rooms;
            rooms.record_answer(&job.service.name, took_ms, ahead, back_end.slots);
        }
    }

    /// Records that a request ended at a back end, for the rate at which room becomes free.
    pub(super) fn record_end_of_work(&self, job: &Job) {
        if job.runs > 0 && self.overload.scarce {
            let mut placement = self.placement();
            placement.returns.record_end(&job.service.name, now());
        }
    }
}
