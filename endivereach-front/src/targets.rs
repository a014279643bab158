//! Connections to targets: their start, and the answers that arrive on them.

use crate::answer_assembly::AnswerAssembly;
use crate::answer_assembly::Progress;
use crate::net::ReadResult;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::Frame;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use endivereach_core::engine::statement::ConnectionId;
use std::time::Instant;

/// A connection to a target, with the parts of the answer received so far.
pub(crate) struct TargetConnection {
    pub(crate) stream: Stream,
    answer: AnswerAssembly,
}

impl TargetConnection {
    pub(crate) fn new(stream: Stream) -> Self {
        Self {
            stream,
            answer: AnswerAssembly::default(),
        }
    }
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
                Progress::Partial => {
                    let has_whole_message = self.targets.get_mut(&id).is_some_and(|target| {
                        matches!(target.stream.first_frame(&self.protocol), Frame::Whole(_))
                    });
                    if !has_whole_message {
                        return;
                    }
                }
                Progress::Opened => self.engine.target_ready(now, id),
                Progress::Answered(answer) => {
                    let status = match answer.rows.as_slice() {
                        [row] => self.protocol.decode_status(row),
                        _ => None,
                    };
                    self.engine.target_reply(now, id, answer, status);
                }
                Progress::Refused(failure) => {
                    self.close_target(id);
                    self.engine.target_refused(now, id, &failure);
                    return;
                }
                Progress::Unexpected => {
                    self.engine.unexpected_message(now, id);
                    return;
                }
                Progress::Unreadable => {
                    log::warn!(target: "process", "event=target-unreadable connection={id}");
                    self.on_target_closed(now, id);
                    return;
                }
            }
        }
    }

    fn read_target_message(&mut self, id: ConnectionId) -> Progress {
        let Some(target) = self.targets.get_mut(&id) else {
            return Progress::Partial;
        };
        match target.stream.first_frame(&self.protocol) {
            Frame::Partial => Progress::Partial,
            Frame::TooLarge => Progress::Unreadable,
            Frame::Whole(_) if target.answer.is_open() && !self.engine.expects_answer(id) => {
                Progress::Unexpected
            }
            Frame::Whole(bytes) => {
                let message = self.protocol.decode_target(&target.stream.input()[..bytes]);
                target.stream.consume(bytes);
                target.answer.add(message)
            }
        }
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
