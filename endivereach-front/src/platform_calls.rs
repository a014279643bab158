//! HTTP calls to the platform. Each purpose has its own connection, with one call at a time.

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::net::FlushError;
use crate::net::ReadResult;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::Protocol;
use crate::proxy::EventSource;
use crate::proxy::ProxyProcess;
use endivereach_core::logfmt::LogValue;
use endivereach_core::transfer::TransferDeadline;
use endivereach_core::transfer::TransferLimits;
use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

/// The purpose of a connection to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Lists and watches for the mirror with this index.
    Mirror(usize),
    /// Reads and writes of the promotion duty.
    Duty,
    /// Reads of the list of targets for a promotion.
    ReadTargets,
    /// Registration of this process in the list of proxies.
    Register,
    /// Removal of a lost proxy from the list.
    RemoveProxy,
    /// Promotion orders.
    Promote,
    /// Polls of the reader that this process follows.
    Feed,
}

/// The result of a call.
pub(crate) enum CallResult {
    /// The platform responded.
    Answered(Response),
    /// There was no complete response. Whether the call took effect is unknown.
    Lost(LostCall),
}

/// Why a call has no response, and how much of one had arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LostCall {
    pub(crate) reason: &'static str,
    pub(crate) received_bytes: usize,
}

impl From<&'static str> for LostCall {
    fn from(reason: &'static str) -> Self {
        Self {
            reason,
            received_bytes: 0,
        }
    }
}

impl fmt::Display for LostCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            reason,
            received_bytes,
        } = self;
        write!(
            formatter,
            "reason={reason:?} received_bytes={received_bytes}"
        )
    }
}

/// A connection to the platform, which is opened on demand.
pub(crate) struct PlatformConnection {
    pub(crate) purpose: Purpose,
    pub(crate) addr: SocketAddr,
    stream: Option<Stream>,
    /// The deadline of the call in flight.
    deadline: Option<TransferDeadline>,
}

impl PlatformConnection {
    pub(crate) fn new(purpose: Purpose, addr: SocketAddr) -> Self {
        Self {
            purpose,
            addr,
            stream: None,
            deadline: None,
        }
    }

    /// Marks the call as ended without a result. The connection must be closed before the next call.
    pub(crate) fn cancel(&mut self) {
        self.deadline = None;
    }

    /// Returns whether a call is in flight.
    pub(crate) fn is_busy(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns how many bytes of the response to the call in flight have arrived.
    pub(crate) fn received_bytes(&self) -> usize {
        let stream = self.stream.as_ref().filter(|_| self.is_busy());
        stream.map_or(0, |stream| stream.input().len())
    }

    /// Returns when the call in flight times out.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.deadline.as_ref().map(TransferDeadline::at)
    }
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Returns the index of the connection for a purpose.
    pub(crate) fn platform_connection_index(&self, purpose: Purpose) -> Option<usize> {
        self.platform_connections
            .iter()
            .position(|connection| connection.purpose == purpose)
    }

    /// Starts a call, whose result is passed to `on_call_result`. The connection must not be busy.
    pub(crate) fn start_call(
        &mut self,
        now: Instant,
        connection_index: usize,
        request: &Request,
        limits: TransferLimits,
    ) {
        let deadline = TransferDeadline::new(now, limits);
        self.start_call_before(connection_index, request, deadline);
    }

    /// Starts a call with a deadline that may also limit when the request is sent.
    pub(crate) fn start_call_before(
        &mut self,
        connection_index: usize,
        request: &Request,
        deadline: TransferDeadline,
    ) {
        if self.platform_connections[connection_index].purpose != Purpose::Feed {
            self.telemetry.count_platform_call();
        }
        if let Some(stream) = &mut self.platform_connections[connection_index].stream
            && !http::is_reusable(stream)
        {
            self.close_platform_connection(connection_index);
        }
        if self.platform_connections[connection_index].stream.is_none() {
            let token = self.allocate_token(EventSource::PlatformCall(connection_index));
            let addr = self.platform_connections[connection_index].addr;
            match Stream::connect(addr, token, self.poll.registry()) {
                Ok(stream) => self.platform_connections[connection_index].stream = Some(stream),
                Err(error) => {
                    log::warn!(target: "process", "event=platform-connect-failed addr={addr} error={}", LogValue(&error));
                    self.event_sources.remove(&token);
                }
            }
        }
        let connection = &mut self.platform_connections[connection_index];
        // Without a connection the call fails at its timeout, like a call without a response.
        connection.deadline = Some(deadline);
        let host = connection.addr.to_string();
        if let Some(stream) = &mut connection.stream {
            http::write_request(request, &host, stream.output());
            self.unflushed.insert(stream.token());
        }
    }

    pub(crate) fn on_platform_event(
        &mut self,
        now: Instant,
        connection_index: usize,
        event: &mio::event::Event,
    ) {
        if event.is_writable() {
            self.flush_platform_connection(now, connection_index);
        }
        if !event.is_readable() && !event.is_read_closed() && !event.is_error() {
            return;
        }
        let PlatformConnection {
            stream, deadline, ..
        } = &mut self.platform_connections[connection_index];
        let Some(stream) = stream else {
            return;
        };
        let Some(deadline) = deadline else {
            if !http::is_reusable(stream) {
                let unasked_bytes = stream.input().len();
                if unasked_bytes > 0 {
                    log::warn!(
                        target: "process",
                        "event=platform-connection-closed unasked_bytes={unasked_bytes}"
                    );
                }
                self.close_platform_connection(connection_index);
            }
            return;
        };
        let received_before = stream.input().len();
        let read_result = stream.fill();
        if stream.input().len() > received_before {
            deadline.record_progress(now);
        }
        match http::read_response(stream) {
            Ok(Some(response)) => {
                if read_result == ReadResult::Closed {
                    self.close_platform_connection(connection_index);
                }
                if self.platform_connections[connection_index]
                    .deadline
                    .take()
                    .is_some()
                {
                    self.on_call_result(now, connection_index, CallResult::Answered(response));
                }
            }
            Ok(None) if read_result == ReadResult::Closed => {
                self.fail_call(now, connection_index, "connection ended")
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!(target: "process", "event=platform-answer-unreadable error={}", LogValue(&error));
                self.fail_call(now, connection_index, "unreadable answer");
            }
        }
    }

    pub(crate) fn flush_platform_connection(&mut self, now: Instant, connection_index: usize) {
        let PlatformConnection {
            stream, deadline, ..
        } = &mut self.platform_connections[connection_index];
        let Some(stream) = stream.as_mut().filter(|stream| stream.has_output()) else {
            return;
        };
        // The process may have been frozen while the request waited for its connection, or within this
        // turn.
        let flushed = deadline
            .as_ref()
            .map_or(Err(FlushError::TooLate), |deadline| {
                stream.flush_before(deadline, &self.clock)
            });
        match flushed {
            Ok(()) => {}
            Err(FlushError::TooLate) => {
                self.fail_call(now, connection_index, "too late to be sent")
            }
            Err(FlushError::Io(_)) => self.fail_call(now, connection_index, "connection broke"),
        }
    }

    /// Fails the calls that have timed out.
    pub(crate) fn expire_calls(&mut self, now: Instant) {
        for connection_index in 0..self.platform_connections.len() {
            if self.platform_connections[connection_index]
                .deadline()
                .is_some_and(|at| now >= at)
            {
                self.fail_call(now, connection_index, "no answer in time");
            }
        }
    }

    fn fail_call(&mut self, now: Instant, connection_index: usize, reason: &'static str) {
        let received_bytes = self.platform_connections[connection_index].received_bytes();
        self.close_platform_connection(connection_index);
        if self.platform_connections[connection_index]
            .deadline
            .take()
            .is_some()
        {
            let lost = LostCall {
                reason,
                received_bytes,
            };
            self.on_call_result(now, connection_index, CallResult::Lost(lost));
        }
    }

    pub(crate) fn close_platform_connection(&mut self, connection_index: usize) {
        if let Some(mut stream) = self.platform_connections[connection_index].stream.take() {
            // A request that a partition delays must not arrive after the call has failed.
            stream.reset_on_close();
            stream.deregister(self.poll.registry());
            self.event_sources.remove(&stream.token());
        }
    }
}
