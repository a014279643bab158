//! Connections to targets: opening them, and putting their answers together.

use crate::front::Front;
use crate::net::ReadEnd;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::Frame;
use crate::protocol::Protocol;
use crate::protocol::TargetMessage;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use std::time::Instant;

/// One connection to a target.
pub(crate) struct TargetStream {
    pub(crate) stream: Stream,
    is_ready: bool,
    rows: Vec<Box<str>>,
    outcome: Option<Outcome>,
}

impl TargetStream {
    pub(crate) fn new(stream: Stream) -> Self {
        Self {
            stream,
            is_ready: false,
            rows: Vec::new(),
            outcome: None,
        }
    }
}

/// What the messages read so far amount to.
enum Progress {
    /// More has to come.
    Partial,
    /// The target accepted the connection.
    Opened,
    /// The target refused the connection.
    Refused(Failure),
    /// A whole answer.
    Answered(Answer),
    /// The bytes aren't an answer.
    Unreadable,
}

impl<P: Protocol, A: Platform> Front<P, A> {
    pub(crate) fn on_target_event(
        &mut self,
        now: Instant,
        id: ConnectionId,
        event: &mio::event::Event,
    ) {
        if event.is_writable() {
            self.flush_target(now, id);
        }
        if !event.is_readable() && !event.is_read_closed() && !event.is_error() {
            return;
        }
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let end = target.stream.fill();
        self.read_target(now, id);
        if end == ReadEnd::Ended {
            self.drop_target(now, id);
        }
    }

    fn read_target(&mut self, now: Instant, id: ConnectionId) {
        loop {
            match self.read_target_message(id) {
                Progress::Partial => {
                    let waits = self.targets.get(&id).is_some_and(|target| {
                        matches!(self.protocol.frame(target.stream.input()), Frame::Whole(_))
                    });
                    if !waits {
                        return;
                    }
                }
                Progress::Opened => self.engine.target_ready(now, id),
                Progress::Answered(answer) => {
                    let status = match answer.rows.as_slice() {
                        [row] => self.protocol.read_status(row),
                        _ => None,
                    };
                    self.engine.target_reply(now, id, answer, status);
                }
                Progress::Refused(failure) => {
                    self.forget_target(id);
                    self.engine.target_refused(now, id, &failure);
                    return;
                }
                Progress::Unreadable => {
                    log::warn!(target: "process", "event=target-unreadable connection={id}");
                    self.drop_target(now, id);
                    return;
                }
            }
        }
    }

    fn read_target_message(&mut self, id: ConnectionId) -> Progress {
        let Some(target) = self.targets.get_mut(&id) else {
            return Progress::Partial;
        };
        let input = target.stream.input();
        let message = match self.protocol.frame(input) {
            Frame::Partial => return Progress::Partial,
            Frame::TooLarge => return Progress::Unreadable,
            Frame::Whole(bytes) => {
                let message = self.protocol.read_target(&input[..bytes]);
                target.stream.consume(bytes);
                message
            }
        };
        match message {
            TargetMessage::Row(row) => target.rows.push(row),
            TargetMessage::Done(receipt) => {
                target.outcome = Some(Outcome::Done { receipt });
            }
            TargetMessage::Failed { failure, .. } if !target.is_ready => {
                return Progress::Refused(failure);
            }
            TargetMessage::Failed { failure, message } => {
                target.outcome = Some(Outcome::Failed { failure, message });
            }
            TargetMessage::Ready { .. } if !target.is_ready => {
                target.is_ready = true;
                return Progress::Opened;
            }
            TargetMessage::Ready { state, position } => {
                let rows = std::mem::take(&mut target.rows);
                let Some(outcome) = target.outcome.take() else {
                    return Progress::Unreadable;
                };
                return Progress::Answered(Answer {
                    rows,
                    outcome,
                    state,
                    position,
                });
            }
            TargetMessage::Unreadable => return Progress::Unreadable,
        }
        Progress::Partial
    }

    pub(crate) fn flush_target(&mut self, now: Instant, id: ConnectionId) {
        let failed = self
            .targets
            .get_mut(&id)
            .is_some_and(|target| target.stream.has_output() && target.stream.flush().is_err());
        if failed {
            self.drop_target(now, id);
        }
    }

    /// Takes in that a connection ended by itself.
    pub(crate) fn drop_target(&mut self, now: Instant, id: ConnectionId) {
        self.forget_target(id);
        self.engine.target_disconnected(now, id);
    }

    /// Closes a connection.
    pub(crate) fn forget_target(&mut self, id: ConnectionId) {
        if let Some(mut target) = self.targets.remove(&id) {
            target.stream.deregister(self.poll.registry());
            self.roles.remove(&target.stream.token());
        }
    }
}
