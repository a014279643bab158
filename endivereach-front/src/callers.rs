//! Callers' connections, and the process's own pages.

use crate::front::Front;
use crate::front::ListenerRole;
use crate::http;
use crate::net::ReadEnd;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::CallerMessage;
use crate::protocol::Frame;
use crate::protocol::Protocol;
use endivereach_core::engine::DRAIN_CLOSE_DELAY;
use endivereach_core::engine::DRAIN_TRANSACTION_TIMEOUT;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::DatabaseName;
use endivereach_core::engine::statement::Failure;
use mio::Token;
use std::time::Duration;
use std::time::Instant;

/// How long a session may wait for the routes. Callers give a start up after 2 s.
const START_PATIENCE: Duration = Duration::from_millis(1_000);

/// One caller's connection.
pub(crate) struct CallerStream {
    pub(crate) stream: Stream,
    is_started: bool,
    is_closing: bool,
    waits: Option<WaitingStart>,
    /// Whether another proxy passed the session on to this one.
    is_relayed: bool,
    /// Whether the session's home was lost in an open transaction.
    pub(crate) has_lost_transaction: bool,
}

/// A session that waits for the routes.
struct WaitingStart {
    database: DatabaseName,
    since: Instant,
}

impl CallerStream {
    pub(crate) fn new(stream: Stream, is_relayed: bool) -> Self {
        Self {
            stream,
            is_started: false,
            is_closing: false,
            waits: None,
            is_relayed,
            has_lost_transaction: false,
        }
    }
}

impl<P: Protocol, A: Platform> Front<P, A> {
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
        let end = caller.stream.fill();
        self.read_caller(now, id);
        if end == ReadEnd::Ended {
            self.drop_caller(now, id);
        }
    }

    fn read_caller(&mut self, now: Instant, id: CallerId) {
        while let Some(caller) = self.callers.get_mut(&id) {
            if caller.is_closing {
                return;
            }
            let input = caller.stream.input();
            let message = match self.protocol.frame(input) {
                Frame::Partial => return,
                Frame::TooLarge => {
                    self.refuse_caller(id, &Failure::TooLarge, "send messages of 1 MiB at most");
                    return;
                }
                Frame::Whole(bytes) => {
                    let message = self.protocol.read_caller(&input[..bytes]);
                    if self.relays.contains_key(&id) && message != CallerMessage::Terminate {
                        let bytes = input[..bytes].to_vec();
                        caller.stream.consume(bytes.len());
                        self.relay_message(id, &message, &bytes);
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
                CallerMessage::Start { database } => self.start_caller(now, id, database),
                CallerMessage::Statement(statement) if caller.is_started => {
                    self.engine.caller_statement(now, id, statement);
                }
                CallerMessage::Terminate => {
                    self.drop_caller(now, id);
                    return;
                }
                CallerMessage::Statement(_) | CallerMessage::Unreadable => {
                    let message = "not a message that can come here; start a session first";
                    self.refuse_caller(id, &Failure::Malformed, message);
                    return;
                }
            }
        }
    }

    fn start_caller(&mut self, now: Instant, id: CallerId, database: DatabaseName) {
        let start = match self.engine.caller_started(id, database.clone()) {
            // Without the list of proxies every process would take itself for a home.
            SessionStart::Accepted if !self.is_fleet_known() => SessionStart::Wait,
            start => start,
        };
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        match start {
            SessionStart::Accepted => {
                caller.is_started = true;
                self.protocol.write_started(caller.stream.output());
                self.unflushed.insert(caller.stream.token());
                let is_direct = !caller.is_relayed;
                if is_direct && self.start_relay(now, id, &database) {
                    self.engine.caller_disconnected(now, id);
                }
            }
            SessionStart::NoDatabase => {
                log::info!(target: "request", "event=start-refused caller={id} database={database} outcome=no-database");
                self.refuse_caller(id, &Failure::NoDatabase, "no route has this database name");
            }
            SessionStart::Wait => {
                let since = now;
                caller.waits = Some(WaitingStart { database, since });
                self.waiting_starts.insert(id);
            }
        }
    }

    /// Starts the sessions that waited for the routes, and refuses those that waited too long.
    pub(crate) fn retry_starts(&mut self, now: Instant) {
        for id in std::mem::take(&mut self.waiting_starts) {
            let waiting = self.callers.get_mut(&id).and_then(|c| c.waits.take());
            let Some(waiting) = waiting else {
                continue;
            };
            if now >= waiting.since + START_PATIENCE {
                let reason = if self.is_fleet_known() {
                    "routes-unknown"
                } else {
                    "fleet-unknown"
                };
                log::info!(
                    target: "request",
                    "event=start-refused caller={id} database={} outcome=busy reason={reason}",
                    waiting.database
                );
                let message = "this proxy is still starting; connect again";
                self.refuse_caller(id, &Failure::Busy, message);
                continue;
            }
            self.start_caller(now, id, waiting.database);
            if let Some(again) = self.callers.get_mut(&id).and_then(|c| c.waits.as_mut()) {
                again.since = waiting.since;
            }
        }
    }

    /// Tells a caller why it is disconnected, and disconnects it.
    fn refuse_caller(&mut self, id: CallerId, failure: &Failure, message: &str) {
        if let Some(caller) = self.callers.get_mut(&id) {
            self.protocol
                .write_refusal(failure, message, caller.stream.output());
            caller.is_closing = true;
            self.unflushed.insert(caller.stream.token());
        }
    }

    /// Disconnects a caller once everything written has left.
    pub(crate) fn close_caller(&mut self, id: CallerId) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.is_closing = true;
            self.unflushed.insert(caller.stream.token());
        }
    }

    /// Sends callers away whose sessions are passed on, during a planned stop.
    pub(crate) fn drain_relays(&mut self, now: Instant) {
        let Some(since) = self.draining_since else {
            return;
        };
        let is_over = now >= since + DRAIN_TRANSACTION_TIMEOUT;
        let may_close = now >= since + DRAIN_CLOSE_DELAY;
        let relays = self.relays.iter();
        let ending: Vec<CallerId> = relays
            .filter(|(_, relay)| {
                (may_close && relay.is_at_rest()) || (is_over && !relay.is_waited_for())
            })
            .map(|(id, _)| *id)
            .collect();
        for id in ending {
            self.drop_relay(id);
            self.close_caller(id);
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
            self.roles.remove(&caller.stream.token());
            self.drop_relay(id);
            self.engine.caller_disconnected(now, id);
        }
    }

    pub(crate) fn on_page_event(&mut self, token: Token, event: &mio::event::Event) {
        if !event.is_readable() && !event.is_read_closed() && !event.is_error() {
            return;
        }
        let Some((role, stream)) = self.pages.get_mut(&token) else {
            return;
        };
        let role = *role;
        let end = stream.fill();
        loop {
            let Some((_, stream)) = self.pages.get_mut(&token) else {
                return;
            };
            match http::read_path(stream) {
                Ok(Some(_)) => self.write_page(token, role),
                Ok(None) => break,
                Err(error) => {
                    log::warn!(target: "process", "event=page-request-unreadable error={error}");
                    self.close_page(token);
                    return;
                }
            }
        }
        if end == ReadEnd::Ended {
            self.close_page(token);
        }
    }

    fn write_page(&mut self, token: Token, role: ListenerRole) {
        let (status, reason, body) = match role {
            ListenerRole::Metrics => {
                let counters = self.engine.counters();
                let callers = self.callers.len();
                (200, "OK", self.telemetry.text(counters, callers))
            }
            _ if self.is_ready() => (200, "OK", "ready\n".to_owned()),
            _ => (503, "Service Unavailable", "not ready\n".to_owned()),
        };
        if let Some((_, stream)) = self.pages.get_mut(&token) {
            http::write_page(status, reason, &body, stream.output());
            self.unflushed.insert(token);
        }
    }

    /// Returns whether new callers would be served.
    fn is_ready(&self) -> bool {
        self.draining_since.is_none() && self.is_fleet_known() && self.engine.is_ready()
    }

    pub(crate) fn close_page(&mut self, token: Token) {
        if let Some((_, mut stream)) = self.pages.remove(&token) {
            stream.deregister(self.poll.registry());
            self.roles.remove(&token);
        }
    }
}
