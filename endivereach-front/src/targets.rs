//! Connections to targets: the start of a connection, and the assembly of answers from messages.

use crate::net::ReadResult;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::Frame;
use crate::protocol::Protocol;
use crate::protocol::TargetMessage;
use crate::proxy::ProxyProcess;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use std::time::Instant;

/// A connection to a target, with the parts of the answer received so far.
pub(crate) struct TargetConnection {
    pub(crate) stream: Stream,
    is_ready: bool,
    rows: Vec<Box<str>>,
    outcome: Option<Outcome>,
}

impl TargetConnection {
    pub(crate) fn new(stream: Stream) -> Self {
        Self {
            stream,
            is_ready: false,
            rows: Vec::new(),
            outcome: None,
        }
    }
}

/// What the first message in a connection's input completed.
enum ConnectionProgress {
    /// The input has no whole message, or the message didn't complete an answer.
    Partial,
    /// The target accepted the connection.
    Opened,
    /// The target refused the connection.
    Refused(Failure),
    /// The answer is complete.
    Answered(Answer),
    /// The bytes aren't a valid message.
    Unreadable,
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
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
        let read_result = target.stream.fill();
        self.read_target(now, id);
        if read_result == ReadResult::Closed {
            self.on_target_closed(now, id);
        }
    }

    fn read_target(&mut self, now: Instant, id: ConnectionId) {
        loop {
            match self.read_target_message(id) {
                ConnectionProgress::Partial => {
                    let has_whole_message = self.targets.get(&id).is_some_and(|target| {
                        matches!(
                            self.protocol.first_frame(target.stream.input()),
                            Frame::Whole(_)
                        )
                    });
                    if !has_whole_message {
                        return;
                    }
                }
                ConnectionProgress::Opened => self.engine.target_ready(now, id),
                ConnectionProgress::Answered(answer) => {
                    let status = match answer.rows.as_slice() {
                        [row] => self.protocol.decode_status(row),
                        _ => None,
                    };
                    self.engine.target_reply(now, id, answer, status);
                }
                ConnectionProgress::Refused(failure) => {
                    self.close_target(id);
                    self.engine.target_refused(now, id, &failure);
                    return;
                }
                ConnectionProgress::Unreadable => {
                    log::warn!(target: "process", "event=target-unreadable connection={id}");
                    self.on_target_closed(now, id);
                    return;
                }
            }
        }
    }

    fn read_target_message(&mut self, id: ConnectionId) -> ConnectionProgress {
        let Some(target) = self.targets.get_mut(&id) else {
            return ConnectionProgress::Partial;
        };
        let input = target.stream.input();
        let message = match self.protocol.first_frame(input) {
            Frame::Partial => return ConnectionProgress::Partial,
            Frame::TooLarge => return ConnectionProgress::Unreadable,
            Frame::Whole(bytes) => {
                let message = self.protocol.decode_target(&input[..bytes]);
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
                return ConnectionProgress::Refused(failure);
            }
            TargetMessage::Failed { failure, message } => {
                target.outcome = Some(Outcome::Failed { failure, message });
            }
            TargetMessage::Ready { .. } if !target.is_ready => {
                target.is_ready = true;
                return ConnectionProgress::Opened;
            }
            TargetMessage::Ready { state, position } => {
                let rows = std::mem::take(&mut target.rows);
                let Some(outcome) = target.outcome.take() else {
                    return ConnectionProgress::Unreadable;
                };
                return ConnectionProgress::Answered(Answer {
                    rows,
                    outcome,
                    state,
                    position,
                });
            }
            TargetMessage::Unreadable => return ConnectionProgress::Unreadable,
        }
        ConnectionProgress::Partial
    }

    pub(crate) fn flush_target(&mut self, now: Instant, id: ConnectionId) {
        let failed = self
            .targets
            .get_mut(&id)
            .is_some_and(|target| target.stream.has_output() && target.stream.flush().is_err());
        if failed {
            self.on_target_closed(now, id);
        }
    }

    /// Removes a connection that the target closed or that broke, and reports it to the engine.
    pub(crate) fn on_target_closed(&mut self, now: Instant, id: ConnectionId) {
        self.close_target(id);
        self.engine.target_disconnected(now, id);
    }

    /// Closes a connection without reporting it to the engine.
    pub(crate) fn close_target(&mut self, id: ConnectionId) {
        if let Some(mut target) = self.targets.remove(&id) {
            target.stream.deregister(self.poll.registry());
            self.event_sources.remove(&target.stream.token());
        }
    }
}
