//! State machine that assembles one answer.

use std::time::Duration;

use super::error::{AnswerError, AnswerFault};
use super::event::{AnswerAction, AnswerEvent, AnswerKind, BodyFraming, ConnectionNumber};
use super::settings::AnswerSettings;
use crate::{RequestId, Timestamp};

/// Maximum number of doublings of the delay before a resume.
const MAX_BACKOFF_SHIFT: u32 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A connection is open or being opened; the response head has not arrived.
    Connecting,
    /// Receiving the events of a stream.
    Streaming,
    /// Receiving the bytes of a body.
    Body { framing: BodyFraming, received: u64 },
    /// The answer is complete or has failed.
    Ended,
}

/// Assembles one answer. [`AnswerAction`] lists the actions that it requests.
#[derive(Debug, Clone)]
pub struct AnswerAssembler {
    settings: AnswerSettings,
    request: RequestId,
    kind: AnswerKind,
    deadline: Timestamp,
    first_part_by: Option<Timestamp>,
    connection: ConnectionNumber,
    phase: Phase,
    next_id: u64,
    forwarded: u64,
    resumes: u32,
    resumes_without_progress: u32,
    /// When the first interruption since the last progress occurred.
    stalled_since: Option<Timestamp>,
    /// Start of the current idle period; in the future while a resume is delayed.
    last_activity: Timestamp,
}

impl AnswerAssembler {
    /// Creates an assembler for the connection on which the request was sent, [`ConnectionNumber`]
    /// 0.
    #[must_use]
    pub const fn new(
        settings: AnswerSettings,
        now: Timestamp,
        request: RequestId,
        kind: AnswerKind,
        deadline: Timestamp,
    ) -> Self {
        Self {
            settings,
            request,
            kind,
            deadline,
            first_part_by: None,
            connection: ConnectionNumber(0),
            phase: Phase::Connecting,
            next_id: settings.first_event_id,
            forwarded: 0,
            resumes: 0,
            resumes_without_progress: 0,
            stalled_since: None,
            last_activity: now,
        }
    }

    /// Sets a time limit for the first part, after which the connection is treated as lost. By
    /// default only the deadline applies, because the request may wait in the back end's queue.
    #[must_use]
    pub const fn first_part_by(mut self, time: Timestamp) -> Self {
        self.first_part_by = Some(time);
        self
    }

    /// Number of parts forwarded so far.
    #[must_use]
    pub const fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Whether the answer is complete or has failed.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// When [`AnswerEvent::Tick`] is due; `None` once the answer has ended.
    #[must_use]
    pub fn next_tick(&self) -> Option<Timestamp> {
        if self.is_ended() {
            return None;
        }
        Some(self.deadline.min(self.idle_deadline()))
    }

    /// Handles an event of a connection. Events of earlier connections and all events after the end
    /// of the answer are ignored.
    pub fn handle<P>(
        &mut self,
        now: Timestamp,
        connection: ConnectionNumber,
        event: AnswerEvent<P>,
    ) -> Vec<AnswerAction<P>> {
        if self.is_ended() {
            return Vec::new();
        }
        if matches!(event, AnswerEvent::Tick) {
            return self.tick(now);
        }
        if connection != self.connection {
            return Vec::new();
        }
        match event {
            AnswerEvent::Head { echoed, framing } => self.head(now, echoed, framing),
            AnswerEvent::Part {
                id,
                echoed,
                payload,
            } => self.part(now, id, echoed, payload),
            AnswerEvent::EndMark { id } => self.end_mark(now, id),
            AnswerEvent::Bytes { length, payload } => self.bytes(now, length, payload),
            AnswerEvent::Closed => self.closed(now),
            AnswerEvent::Broken => self.broken(now),
            AnswerEvent::ResumeRefused => self.fail(AnswerFault::ResumeRefused),
            AnswerEvent::Tick => Vec::new(),
        }
    }

    fn idle_deadline(&self) -> Timestamp {
        if self.forwarded == 0 && self.resumes == 0 {
            return self.first_part_by.unwrap_or(self.deadline);
        }
        self.last_activity + self.settings.idle_limit
    }

    fn tick<P>(&mut self, now: Timestamp) -> Vec<AnswerAction<P>> {
        if now >= self.deadline {
            return self.fail(AnswerFault::DeadlinePassed);
        }
        if now >= self.idle_deadline() {
            return self.resume_or_fail(now, AnswerFault::Idle);
        }
        Vec::new()
    }

    fn head<P>(
        &mut self,
        now: Timestamp,
        echoed: Option<RequestId>,
        framing: BodyFraming,
    ) -> Vec<AnswerAction<P>> {
        if self.phase != Phase::Connecting {
            return self.resume_or_fail(now, AnswerFault::Unexpected);
        }
        match echoed {
            Some(other) if other != self.request => {
                return self.resume_or_fail(now, AnswerFault::Crossed);
            }
            None if self.settings.echo_required => return self.fail(AnswerFault::EchoMissing),
            _ => {}
        }
        self.last_activity = now;
        if self.kind == AnswerKind::Stream {
            self.phase = Phase::Streaming;
            return Vec::new();
        }
        if framing == BodyFraming::UntilClose {
            return self.fail(AnswerFault::Unframed);
        }
        self.phase = Phase::Body {
            framing,
            received: 0,
        };
        Vec::new()
    }

    fn part<P>(
        &mut self,
        now: Timestamp,
        id: Option<u64>,
        echoed: Option<RequestId>,
        payload: P,
    ) -> Vec<AnswerAction<P>> {
        if self.phase != Phase::Streaming {
            return self.resume_or_fail(now, AnswerFault::Unexpected);
        }
        if echoed.is_some_and(|other| other != self.request) {
            return self.resume_or_fail(now, AnswerFault::Crossed);
        }
        let Some(received) = id else {
            return self.resume_or_fail(now, AnswerFault::NumberMissing);
        };
        self.last_activity = now;
        let expected = self.next_id;
        if received < expected {
            return Vec::new();
        }
        if received > expected {
            return self.resume_or_fail(now, AnswerFault::Gap { expected, received });
        }
        self.next_id += 1;
        self.progress();
        vec![AnswerAction::Forward(payload)]
    }

    fn end_mark<P>(&mut self, now: Timestamp, id: Option<u64>) -> Vec<AnswerAction<P>> {
        if self.phase != Phase::Streaming {
            return self.resume_or_fail(now, AnswerFault::Unexpected);
        }
        let expected = self.next_id;
        if let Some(received) = id
            && received != expected
        {
            return self.resume_or_fail(now, AnswerFault::Gap { expected, received });
        }
        self.complete()
    }

    fn bytes<P>(&mut self, now: Timestamp, length: u64, payload: P) -> Vec<AnswerAction<P>> {
        let Phase::Body { framing, received } = self.phase else {
            return self.resume_or_fail(now, AnswerFault::Unexpected);
        };
        self.last_activity = now;
        let received = received.saturating_add(length);
        if let BodyFraming::Length(announced) = framing
            && received > announced
        {
            return self.fail(AnswerFault::TooLong { announced });
        }
        self.phase = Phase::Body { framing, received };
        self.progress();
        vec![AnswerAction::Forward(payload)]
    }

    fn closed<P>(&mut self, now: Timestamp) -> Vec<AnswerAction<P>> {
        match self.phase {
            Phase::Body {
                framing: BodyFraming::Delimited,
                ..
            } => self.complete(),
            Phase::Body {
                framing: BodyFraming::Length(announced),
                received,
            } if received == announced => self.complete(),
            _ => self.broken(now),
        }
    }

    fn broken<P>(&mut self, now: Timestamp) -> Vec<AnswerAction<P>> {
        if let Phase::Body {
            framing: BodyFraming::Length(announced),
            received,
        } = self.phase
        {
            if received == announced {
                return self.complete();
            }
            return self.fail(AnswerFault::TooShort {
                announced,
                received,
            });
        }
        self.resume_or_fail(now, AnswerFault::Cut)
    }

    fn progress(&mut self) {
        self.forwarded += 1;
        self.resumes_without_progress = 0;
        self.stalled_since = None;
    }

    fn complete<P>(&mut self) -> Vec<AnswerAction<P>> {
        self.phase = Phase::Ended;
        vec![AnswerAction::Complete]
    }

    fn fail<P>(&mut self, fault: AnswerFault) -> Vec<AnswerAction<P>> {
        self.phase = Phase::Ended;
        let error = AnswerError {
            fault,
            forwarded: self.forwarded,
            resumes: self.resumes,
        };
        vec![AnswerAction::Disconnect, AnswerAction::Fail(error)]
    }

    /// Gives up the current connection: resumes the stream, or fails if no resume is possible.
    fn resume_or_fail<P>(&mut self, now: Timestamp, fault: AnswerFault) -> Vec<AnswerAction<P>> {
        let stalled_since = *self.stalled_since.get_or_insert(now);
        let at = now + self.resume_delay();
        let in_time = at < self.deadline && at.since(stalled_since) <= self.settings.resume_window;
        let resumes_left = self.resumes_without_progress
            < self.settings.max_resumes_without_progress
            && self.resumes < self.settings.max_resumes;
        if self.kind == AnswerKind::Whole || !in_time || !resumes_left {
            return self.fail(fault);
        }
        self.resumes_without_progress += 1;
        self.resumes += 1;
        self.connection = ConnectionNumber(self.connection.0 + 1);
        self.phase = Phase::Connecting;
        self.last_activity = at;
        let resume = AnswerAction::Resume {
            connection: self.connection,
            after: self.last_id(),
            at,
        };
        vec![AnswerAction::Disconnect, resume]
    }

    fn last_id(&self) -> Option<u64> {
        (self.next_id > self.settings.first_event_id).then(|| self.next_id - 1)
    }

    fn resume_delay(&self) -> Duration {
        let doublings = self.resumes_without_progress.min(MAX_BACKOFF_SHIFT);
        self.settings.resume_delay * (1 << doublings)
    }
}
