//! Actor for admission control: queues requests, starts them, and refuses those that cannot be
//! served in time.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use ponddrift_core::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionRefusal, AdmissionRequest,
};
use ponddrift_core::service_time::{ServiceTimes, WorkUnits};
use ponddrift_core::{RequestId, ServiceName, Timestamp};
use ponddrift_runtime::Runtime;
use tokio::sync::oneshot;
use xtra::{Context, Handler, WeakAddress};

use super::tell;

/// Result of a request for admission.
pub(crate) type AdmissionAnswer = Result<(), AdmissionRefusal>;

/// Runs admission control for one kind of service (completions or plain).
pub(crate) struct AdmissionActor {
    runtime: Runtime,
    admission: Admission,
    service_times: ServiceTimes,
    waiting: IndexMap<RequestId, oneshot::Sender<AdmissionAnswer>>,
    /// Address of this actor, set when it starts.
    own: Option<WeakAddress<Self>>,
    tick_at: Option<Timestamp>,
}

impl AdmissionActor {
    pub(crate) fn new(runtime: &Runtime, admission: Admission) -> Self {
        Self {
            runtime: runtime.clone(),
            admission,
            service_times: ServiceTimes::default(),
            waiting: IndexMap::new(),
            own: None,
            tick_at: None,
        }
    }

    fn feed(&mut self, event: AdmissionEvent) {
        for action in self.admission.handle(self.runtime.clock.now(), event) {
            match action {
                AdmissionAction::Start(id) => self.reply(id, Ok(())),
                AdmissionAction::Refuse(id, refusal) => self.reply(id, Err(refusal)),
            }
        }
        self.schedule_tick();
    }

    fn reply(&mut self, id: RequestId, answer: AdmissionAnswer) {
        if let Some(waiting) = self.waiting.swap_remove(&id) {
            // If the caller has disconnected, its permit reports the request as abandoned.
            let _gone = waiting.send(answer);
        }
    }

    /// Schedules a tick for the time at which the next queued request must be given up.
    fn schedule_tick(&mut self) {
        let Some(due) = self.admission.next_tick() else {
            return;
        };
        let is_scheduled = self.tick_at.is_some_and(|scheduled| scheduled <= due);
        let Some(own) = self.own.clone() else { return };
        if is_scheduled {
            return;
        }
        self.tick_at = Some(due);
        let clock = Arc::clone(&self.runtime.clock);
        self.runtime.spawner.spawn(Box::pin(async move {
            tokio::time::sleep(due.since(clock.now())).await;
            if let Some(own) = own.try_upgrade() {
                tell(&own, TickDue);
            }
        }));
    }
}

impl xtra::Actor for AdmissionActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &xtra::Mailbox<Self>) -> Result<(), ()> {
        self.own = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) {}
}

/// Requests admission. The expected service time is filled in by the actor from earlier requests.
pub(crate) struct RequestAdmission {
    pub(crate) request: AdmissionRequest,
    /// Amount of work, from which the service time is estimated.
    pub(crate) work: WorkUnits,
    pub(crate) reply: oneshot::Sender<AdmissionAnswer>,
}

/// Ends a request: it was started and has finished, or its caller left while it was queued.
pub(crate) struct EndAdmission {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) was_started: bool,
    pub(crate) used_tokens: u32,
    pub(crate) work: WorkUnits,
    /// Time from the start to the complete answer; `None` when the request failed.
    pub(crate) elapsed: Option<Duration>,
}

/// Passes any other event to admission.
pub(crate) struct NotifyAdmission(pub(crate) AdmissionEvent);

struct TickDue;

impl Handler<RequestAdmission> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: RequestAdmission, _context: &mut Context<Self>) {
        let mut request = message.request;
        request.expected_service =
            self.service_times
                .expected(self.runtime.clock.now(), &request.service, message.work);
        self.waiting.insert(request.id, message.reply);
        self.feed(AdmissionEvent::Arrived(request));
    }
}

impl Handler<EndAdmission> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: EndAdmission, _context: &mut Context<Self>) {
        let EndAdmission {
            id,
            service,
            was_started,
            used_tokens,
            work,
            elapsed,
        } = message;
        if let Some(elapsed) = elapsed {
            self.service_times
                .observe(self.runtime.clock.now(), &service, work, elapsed);
        }
        self.waiting.swap_remove(&id);
        if !was_started {
            self.feed(AdmissionEvent::Abandoned { id });
        }
        // The request may have been started after the caller left; admission ignores the event if
        // the request is unknown.
        self.feed(AdmissionEvent::Finished { id, used_tokens });
    }
}

impl Handler<NotifyAdmission> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: NotifyAdmission, _context: &mut Context<Self>) {
        self.feed(message.0);
    }
}

impl Handler<TickDue> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, _message: TickDue, _context: &mut Context<Self>) {
        self.tick_at = None;
        self.feed(AdmissionEvent::Tick);
    }
}
