//! Connections of callers, and the HTTP endpoints for readiness and metrics.

use crate::http;
use crate::net::ReadResult;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::CallerMessage;
use crate::protocol::Frame;
use crate::protocol::Protocol;
use crate::proxy::ListenerKind;
use crate::proxy::ProxyProcess;
use endivereach_core::drain;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::DatabaseName;
use endivereach_core::engine::statement::Failure;
use endivereach_core::logfmt::LogValue;
use endivereach_core::tenants::CallerKey;
use mio::Token;
use std::time::Duration;
use std::time::Instant;

/// How long a session waits for the routes and the list of proxies before it is refused. It is
/// shorter than the 2 s after which callers abandon a session start.
const START_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A caller's connection.
pub(crate) struct CallerConnection {
    pub(crate) stream: Stream,
    is_started: bool,
    is_closing: bool,
    pending_start: Option<PendingStart>,
    /// Whether another proxy relayed the session to this one.
    is_relayed: bool,
    /// Whether the connection to the session's home was lost during an open transaction.
    pub(crate) has_lost_transaction: bool,
}

/// A session start that waits for the routes, the list of proxies, or newer routes with its key.
struct PendingStart {
    database: DatabaseName,
    key: Option<CallerKey>,
    since: Instant,
}

impl CallerConnection {
    pub(crate) fn new(stream: Stream, is_relayed: bool) -> Self {
        Self {
            stream,
            is_started: false,
            is_closing: false,
            pending_start: None,
            is_relayed,
            has_lost_transaction: false,
        }
    }
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    pub(crate) fn on_caller_event(
        &mut self,
        now: Instant,
        id: CallerId,
        event: &mio::event::Event,
    ) {
        if event.is_writable() {
            self.flush_caller(now, id);
        }
        if !event.is_readable() && !event.is_read_closed() && !event.is_error() {
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let read_result = caller.stream.fill();
        self.read_caller(now, id);
        if read_result == ReadResult::Closed {
            self.drop_caller(now, id);
        }
    }

    fn read_caller(&mut self, now: Instant, id: CallerId) {
        while let Some(caller) = self.callers.get_mut(&id) {
            if caller.is_closing {
                return;
            }
            let frame = caller.stream.first_frame(&self.protocol);
            let input = caller.stream.input();
            let message = match frame {
                Frame::Partial => return,
                Frame::TooLarge => {
                    self.refuse_too_large(id);
                    return;
                }
                Frame::Whole(bytes) => {
                    let message = self.protocol.decode_caller(&input[..bytes]);
                    if self.relays.contains_key(&id)
                        && let CallerMessage::Statement(statement) = &message
                    {
                        let bytes = input[..bytes].to_vec();
                        caller.stream.consume(bytes.len());
                        self.relay_statement(now, id, statement, &bytes);
                        continue;
                    }
                    caller.stream.consume(bytes);
                    message
                }
            };
            match message {
                CallerMessage::Statement(_) if caller.has_lost_transaction => {
                    self.answer_lost_transaction(id);
                    return;
                }
                // A session keeps its database and tenant until it ends.
                CallerMessage::Start { .. }
                    if caller.is_started || caller.pending_start.is_some() =>
                {
                    self.refuse_malformed(id);
                    return;
                }
                CallerMessage::Start { database, key } => {
                    self.start_session(now, id, database, key);
                }
                CallerMessage::Statement(statement) if caller.is_started => {
                    self.engine.caller_statement(now, id, statement);
                }
                CallerMessage::Terminate => {
                    self.drop_caller(now, id);
                    return;
                }
                CallerMessage::TooLarge => {
                    self.refuse_too_large(id);
                    return;
                }
                CallerMessage::Statement(_) | CallerMessage::Unreadable => {
                    self.refuse_malformed(id);
                    return;
                }
            }
        }
    }

    /// Refuses a message that isn't of the protocol, or that can't come at this point of a session.
    pub(crate) fn refuse_malformed(&mut self, id: CallerId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        self.telemetry.count_malformed_message();
        log::info!(
            target: "request",
            "event=message-refused caller={id} outcome=malformed started={}",
            caller.is_started
        );
        // Nothing may follow the refusal.
        self.close_relay(id);
        let message = "not a message that can come here; start a session first";
        self.refuse_caller(id, &Failure::Malformed, message);
    }

    fn refuse_too_large(&mut self, id: CallerId) {
        log::info!(target: "request", "event=message-refused caller={id} outcome=too-large");
        // Nothing may follow the refusal.
        self.close_relay(id);
        let message = "send messages of 1 MiB at most, and of 128 bytes less if they aren't writes";
        self.refuse_caller(id, &Failure::TooLarge, message);
    }

    fn start_session(
        &mut self,
        now: Instant,
        id: CallerId,
        database: DatabaseName,
        key: Option<CallerKey>,
    ) {
        let is_relayed = self
            .callers
            .get(&id)
            .is_some_and(|caller| caller.is_relayed);
        let drain = self.engine.drain();
        if drain.is_some_and(|drain| !drain.admits_session(now, is_relayed)) {
            log::info!(target: "request", "event=start-refused caller={id} database={} outcome=busy reason=stopping", LogValue(&database));
            self.refuse_caller(id, &Failure::Busy, drain::REFUSAL_MESSAGE);
            return;
        }
        let digest = key.as_ref().map(CallerKey::digest);
        let start = match self.engine.caller_started(id, database.clone(), digest) {
            // Without the list of proxies every process would consider itself a home of the group.
            SessionStart::Accepted if !self.is_proxy_list_known() => SessionStart::Wait,
            // The proxy that relays the session has newer routes, and serves it by them.
            SessionStart::UnknownKey if !is_relayed && !self.are_keys_current(now) => {
                SessionStart::Wait
            }
            start => start,
        };
        if start == SessionStart::Accepted && is_relayed && self.engine.passes_session(now, id) {
            log::info!(target: "belief", "event=session-passed caller={id} database={} reason=primary-out-of-reach", LogValue(&database));
            let message = "this proxy reaches no primary, but others do; use another home";
            self.refuse_caller(id, &Failure::Busy, message);
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        match start {
            SessionStart::Accepted => {
                caller.is_started = true;
                self.protocol.write_session_started(caller.stream.output());
                self.unflushed.insert(caller.stream.token());
                let is_direct = !caller.is_relayed;
                if is_direct && self.start_relay(now, id, &database, key.as_ref()) {
                    self.engine.caller_disconnected(now, id);
                }
            }
            SessionStart::NoDatabase => {
                log::info!(target: "request", "event=start-refused caller={id} database={} outcome=no-database", LogValue(&database));
                self.refuse_caller(id, &Failure::NoDatabase, "no route has this database name");
            }
            SessionStart::UnknownKey => {
                log::info!(target: "request", "event=start-refused caller={id} database={} outcome=unknown-key", LogValue(&database));
                let message = "no tenant has this key; use a current key";
                self.refuse_caller(id, &Failure::NotAuthorized, message);
            }
            SessionStart::Wait => {
                let pending = PendingStart {
                    database,
                    key,
                    since: now,
                };
                caller.pending_start = Some(pending);
                self.pending_starts.insert(id);
            }
        }
    }

    /// Refuses the pending session starts older than [`START_TIMEOUT`], and retries the others.
    pub(crate) fn retry_pending_starts(&mut self, now: Instant) {
        for id in std::mem::take(&mut self.pending_starts) {
            let pending = self
                .callers
                .get_mut(&id)
                .and_then(|caller| caller.pending_start.take());
            let Some(pending) = pending else {
                continue;
            };
            if now >= pending.since + START_TIMEOUT {
                let reason = if self.is_proxy_list_known() {
                    "routes-unknown"
                } else {
                    "fleet-unknown"
                };
                log::info!(
                    target: "request",
                    "event=start-refused caller={id} database={} outcome=busy reason={reason}",
                    LogValue(&pending.database)
                );
                let message = "this proxy is still starting; connect again";
                self.refuse_caller(id, &Failure::Busy, message);
                continue;
            }
            self.start_session(now, id, pending.database, pending.key);
            if let Some(still_pending) = self
                .callers
                .get_mut(&id)
                .and_then(|caller| caller.pending_start.as_mut())
            {
                still_pending.since = pending.since;
            }
        }
    }

    /// Sends a caller an error, and disconnects it once the error is written.
    pub(crate) fn refuse_caller(&mut self, id: CallerId, failure: &Failure, message: &str) {
        if let Some(caller) = self.callers.get_mut(&id) {
            self.protocol
                .write_refusal(failure, message, caller.stream.output());
            caller.is_closing = true;
            self.unflushed.insert(caller.stream.token());
        }
    }

    /// Disconnects a caller once all of its output is written.
    pub(crate) fn close_caller(&mut self, id: CallerId) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.is_closing = true;
            self.unflushed.insert(caller.stream.token());
        }
    }

    pub(crate) fn flush_caller(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let failed = caller.stream.has_output() && caller.stream.flush().is_err();
        let is_done = caller.is_closing && !caller.stream.has_output();
        if failed || is_done {
            self.drop_caller(now, id);
        }
    }

    pub(crate) fn drop_caller(&mut self, now: Instant, id: CallerId) {
        if let Some(mut caller) = self.callers.remove(&id) {
            caller.stream.deregister(self.poll.registry());
            self.event_sources.remove(&caller.stream.token());
            self.close_relay(id);
            self.local_sessions.remove(id);
            self.engine.caller_disconnected(now, id);
        }
    }

    pub(crate) fn on_http_event(&mut self, now: Instant, token: Token, event: &mio::event::Event) {
        if event.is_writable() {
            self.flush(now, token);
        }
        if !event.is_readable() && !event.is_read_closed() && !event.is_error() {
            return;
        }
        let Some((listener_kind, stream)) = self.http_connections.get_mut(&token) else {
            return;
        };
        let listener_kind = *listener_kind;
        let read_result = stream.fill();
        loop {
            let Some((_, stream)) = self.http_connections.get_mut(&token) else {
                return;
            };
            match http::read_request(stream) {
                Ok(Some(request)) if listener_kind == ListenerKind::Feed => {
                    self.on_poll(now, token, &request);
                }
                Ok(Some(_)) => self.write_http_response(token, listener_kind),
                Ok(None) => break,
                Err(error) => {
                    log::warn!(target: "process", "event=page-request-unreadable error={}", LogValue(&error));
                    self.close_http_connection(token);
                    return;
                }
            }
        }
        if read_result == ReadResult::Closed {
            self.close_http_connection(token);
        }
    }

    fn write_http_response(&mut self, token: Token, listener_kind: ListenerKind) {
        let (status, reason, body) = match listener_kind {
            ListenerKind::Metrics => {
                let counters = self.engine.counters();
                let callers = self.callers.len();
                let unsent = self.unsent_reply_bytes();
                let text =
                    self.telemetry.text(counters, callers, unsent) + &self.rate_limit_metrics();
                (200, "OK", text)
            }
            _ if self.is_ready() => (200, "OK", "ready\n".to_owned()),
            _ => (503, "Service Unavailable", "not ready\n".to_owned()),
        };
        if let Some((_, stream)) = self.http_connections.get_mut(&token) {
            http::write_text_response(status, reason, &body, stream.output());
            self.unflushed.insert(token);
        }
    }

    /// Returns whether this process can serve new callers.
    fn is_ready(&self) -> bool {
        self.engine.drain().is_none() && self.is_proxy_list_known() && self.engine.is_ready()
    }

    pub(crate) fn close_http_connection(&mut self, token: Token) {
        self.feed_server.forget(token);
        if let Some((_, mut stream)) = self.http_connections.remove(&token) {
            stream.deregister(self.poll.registry());
            self.event_sources.remove(&token);
        }
    }
}
