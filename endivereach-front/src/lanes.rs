//! Calls to the platform: one connection for each purpose, one call on it at a time.

use crate::front::Front;
use crate::front::Role;
use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::net::ReadEnd;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::Protocol;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// What a lane is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The copy of a kind, by its place among the mirrors.
    Mirror(usize),
    /// The duty to promote.
    Duty,
    /// This process's own entry in the list of proxies.
    Register,
    /// Orders to promote.
    Promote,
}

/// How a call ended.
pub(crate) enum CallEnd {
    /// A response came.
    Answered(Response),
    /// No response came: whether the call took effect isn't known.
    Lost(&'static str),
}

/// A connection to the platform.
pub(crate) struct Lane {
    pub(crate) purpose: Purpose,
    pub(crate) addr: SocketAddr,
    stream: Option<Stream>,
    give_up_at: Option<Instant>,
}

impl Lane {
    pub(crate) fn new(purpose: Purpose, addr: SocketAddr) -> Self {
        Self {
            purpose,
            addr,
            stream: None,
            give_up_at: None,
        }
    }

    /// Returns whether a call is under way.
    pub(crate) fn is_busy(&self) -> bool {
        self.give_up_at.is_some()
    }

    /// Returns when the call under way is given up.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.give_up_at
    }
}

impl<P: Protocol, A: Platform> Front<P, A> {
    pub(crate) fn lane(&self, purpose: Purpose) -> Option<usize> {
        self.lanes.iter().position(|lane| lane.purpose == purpose)
    }

    /// Makes a call, which ends in `call_ended`. The lane must not be busy.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        lane: usize,
        request: &Request,
        patience: Duration,
    ) {
        self.telemetry.note_platform_call();
        if self.lanes[lane].stream.is_none() {
            let token = self.new_token(Role::Lane(lane));
            let addr = self.lanes[lane].addr;
            match Stream::connect(addr, token, self.poll.registry()) {
                Ok(stream) => self.lanes[lane].stream = Some(stream),
                Err(error) => {
                    log::warn!(target: "process", "event=platform-connect-failed addr={addr} error={error}");
                    self.roles.remove(&token);
                }
            }
        }
        let lane = &mut self.lanes[lane];
        // Without a connection the call ends when its patience does, as it would without an answer.
        lane.give_up_at = Some(now + patience);
        let host = lane.addr.to_string();
        if let Some(stream) = &mut lane.stream {
            http::write_request(request, &host, stream.output());
            self.unflushed.insert(stream.token());
        }
    }

    pub(crate) fn on_lane_event(&mut self, now: Instant, lane: usize, event: &mio::event::Event) {
        if event.is_writable() {
            self.flush_lane(now, lane);
        }
        if !event.is_readable() && !event.is_read_closed() && !event.is_error() {
            return;
        }
        let Some(stream) = &mut self.lanes[lane].stream else {
            return;
        };
        let end = stream.fill();
        match http::read_response(stream) {
            Ok(Some(response)) => {
                if end == ReadEnd::Ended {
                    self.close_lane(lane);
                }
                if self.lanes[lane].give_up_at.take().is_some() {
                    self.call_ended(now, lane, CallEnd::Answered(response));
                }
            }
            Ok(None) if end == ReadEnd::Ended => self.lose_call(now, lane, "connection ended"),
            Ok(None) => {}
            Err(error) => {
                log::warn!(target: "process", "event=platform-answer-unreadable error={error}");
                self.lose_call(now, lane, "unreadable answer");
            }
        }
    }

    pub(crate) fn flush_lane(&mut self, now: Instant, lane: usize) {
        let failed = match &mut self.lanes[lane].stream {
            Some(stream) => stream.has_output() && stream.flush().is_err(),
            None => false,
        };
        if failed {
            self.lose_call(now, lane, "connection broke");
        }
    }

    /// Gives up calls whose patience is over.
    pub(crate) fn expire_calls(&mut self, now: Instant) {
        for lane in 0..self.lanes.len() {
            if self.lanes[lane].give_up_at.is_some_and(|at| now >= at) {
                self.lose_call(now, lane, "no answer in time");
            }
        }
    }

    fn lose_call(&mut self, now: Instant, lane: usize, reason: &'static str) {
        self.close_lane(lane);
        if self.lanes[lane].give_up_at.take().is_some() {
            self.call_ended(now, lane, CallEnd::Lost(reason));
        }
    }

    pub(crate) fn close_lane(&mut self, lane: usize) {
        if let Some(mut stream) = self.lanes[lane].stream.take() {
            // What a partition holds up must not arrive after the call was given up.
            stream.reset_on_close();
            stream.deregister(self.poll.registry());
            self.roles.remove(&stream.token());
        }
    }
}
