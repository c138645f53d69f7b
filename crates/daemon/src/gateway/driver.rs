//! Runs the assembler of one streamed answer: passes it connection events and executes its actions.

use std::collections::VecDeque;
use std::sync::Arc;

use ponddrift_core::answer::{AnswerAction, AnswerAssembler, AnswerError, AnswerEvent};
use ponddrift_runtime::Clock;

use super::events::{AnswerPart, EngineConnection};

/// Result of one step.
#[derive(Debug)]
pub(super) enum Step {
    /// A part to forward to the caller.
    Part(AnswerPart),
    /// The answer is complete.
    Complete,
}

/// Assembles one answer from an engine's connections, resuming it on a new connection if needed.
pub(super) struct AnswerDriver {
    clock: Arc<dyn Clock>,
    assembler: AnswerAssembler,
    connection: EngineConnection,
    actions: VecDeque<AnswerAction<AnswerPart>>,
}

impl AnswerDriver {
    /// Creates a driver for an open connection and the event for its response head.
    pub(super) fn new(
        clock: Arc<dyn Clock>,
        assembler: AnswerAssembler,
        connection: EngineConnection,
        head: AnswerEvent<AnswerPart>,
    ) -> Self {
        let mut driver = Self {
            clock,
            assembler,
            connection,
            actions: VecDeque::new(),
        };
        driver.feed(head);
        driver
    }

    /// Waits for the next part or the end of the answer.
    ///
    /// # Errors
    /// [`AnswerError`] when the answer cannot be completed. Do not call `step` again after an
    /// error.
    pub(super) async fn step(&mut self) -> Result<Step, AnswerError> {
        loop {
            match self.actions.pop_front() {
                Some(AnswerAction::Forward(part)) => return Ok(Step::Part(part)),
                Some(AnswerAction::Complete) => return Ok(Step::Complete),
                Some(AnswerAction::Fail(error)) => return Err(error),
                Some(AnswerAction::Disconnect) => self.connection.disconnect(),
                Some(AnswerAction::Resume {
                    connection,
                    after,
                    at,
                }) => {
                    tokio::time::sleep(at.since(self.clock.now())).await;
                    let event = self.resume(connection, after).await;
                    self.feed(event);
                }
                None => {
                    let event = self.next_event().await;
                    self.feed(event);
                }
            }
        }
    }

    async fn resume(
        &mut self,
        number: ponddrift_core::answer::ConnectionNumber,
        after: Option<u64>,
    ) -> AnswerEvent<AnswerPart> {
        let tick = self.time_to_tick();
        tokio::select! {
            biased;
            event = self.connection.resume(number, after) => event,
            () = tokio::time::sleep(tick) => AnswerEvent::Tick,
        }
    }

    async fn next_event(&mut self) -> AnswerEvent<AnswerPart> {
        let tick = self.time_to_tick();
        tokio::select! {
            biased;
            event = self.connection.next() => event,
            () = tokio::time::sleep(tick) => AnswerEvent::Tick,
        }
    }

    fn time_to_tick(&self) -> std::time::Duration {
        let due = self.assembler.next_tick().unwrap_or_default();
        due.since(self.clock.now())
    }

    fn feed(&mut self, event: AnswerEvent<AnswerPart>) {
        let now = self.clock.now();
        let connection = self.connection.number();
        self.actions
            .extend(self.assembler.handle(now, connection, event));
    }
}
