//! Sessions that this process relays to a home of their group or tenant: copying messages in both
//! directions.
//!
//! A home is a proxy that holds connections to the servers of a group. With tenants, a session is
//! relayed to the home of its tenant, which is the same for all groups.

use crate::net::ReadResult;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::CallerMessage;
use crate::protocol::Frame;
use crate::protocol::Protocol;
use crate::protocol::TargetMessage;
use crate::proxy::EventSource;
use crate::proxy::ProxyProcess;
use endivereach_core::directory::Vm;
use endivereach_core::drain;
use endivereach_core::drain::Admission;
use endivereach_core::drain::Phase;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::DatabaseName;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::SessionState;
use endivereach_core::engine::statement::Statement;
use endivereach_core::ids::GroupName;
use endivereach_core::logfmt::LogValue;
use endivereach_core::relayed_session::RelayedSession;
use endivereach_core::relayed_session::UnsentMessages;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::KeyDigest;
use endivereach_core::tenants::TenantName;
use std::time::Duration;
use std::time::Instant;

/// How long a home may take to accept a session before another home is tried. It is long enough for
/// TCP to retransmit one lost packet between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a home is skipped after it failed to accept a session.
const FAILED_HOME_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The most homes that are tried before this process serves the session itself.
const HOME_ATTEMPTS_MAX: u32 = 3;

/// The message to a caller whose key or route was removed before its session reached a home.
const REMOVED_MESSAGE: &str = "the key or the route was removed; start a session with current ones";

/// A session that no home has accepted yet.
pub(crate) struct PendingRelay {
    pub(crate) group: GroupName,
    pub(crate) identity: RelayIdentity,
    start_message: Vec<u8>,
    unsent_messages: UnsentMessages,
    session: RelayedSession,
    homes_tried: u32,
}

/// What a relayed session's caller presented when it started.
#[derive(Clone, Debug)]
pub(crate) struct RelayIdentity {
    database: DatabaseName,
    key: Option<KeyDigest>,
    /// The tenant that the key identified when the session started.
    pub(crate) tenant: Option<TenantName>,
}

/// A session that is relayed to a home.
pub(crate) struct Relay {
    group: GroupName,
    identity: RelayIdentity,
    /// Whether the caller's key has been withdrawn by this process's routes.
    is_withdrawn: bool,
    home: Vm,
    stream: Stream,
    session: RelayedSession,
    /// The session's first message, kept so that it can be sent to another home.
    start_message: Vec<u8>,
    unsent_messages: UnsentMessages,
    connected_at: Instant,
    homes_tried: u32,
}

impl Relay {
    /// Returns whether the caller waits for the answer to a statement.
    pub(crate) fn is_awaiting_answer(&self) -> bool {
        self.session.is_awaiting_answer()
    }
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Relays a new session if another process is a home of its group or tenant. Returns whether the
    /// session is relayed.
    pub(crate) fn start_relay(
        &mut self,
        now: Instant,
        id: CallerId,
        database: &DatabaseName,
        key: Option<&CallerKey>,
    ) -> bool {
        let Some(group) = self.engine.group_of(database) else {
            return false;
        };
        let digest = key.map(CallerKey::digest);
        let tenant = self.engine.identify(database, digest.as_ref()).flatten();
        let mut start_message = Vec::new();
        self.protocol
            .write_relay_start(database, key, &mut start_message);
        let pending = PendingRelay {
            group,
            identity: RelayIdentity {
                database: database.clone(),
                key: digest,
                tenant,
            },
            start_message,
            unsent_messages: UnsentMessages::default(),
            session: RelayedSession::default(),
            homes_tried: 0,
        };
        let Err(pending) = self.open_relay(now, id, pending) else {
            return true;
        };
        if pending.identity.tenant.is_some() {
            self.note_local_session(id, &pending);
        }
        false
    }

    /// Connects a session to a home, or returns the session if no further home can be tried or the
    /// connection can't be opened.
    fn open_relay(
        &mut self,
        now: Instant,
        id: CallerId,
        pending: PendingRelay,
    ) -> Result<(), Box<PendingRelay>> {
        if pending.homes_tried >= HOME_ATTEMPTS_MAX {
            return Err(Box::new(pending));
        }
        let Some(home) = self.select_home(now, &pending) else {
            return Err(Box::new(pending));
        };
        let token = self.allocate_token(EventSource::Relay(id));
        let mut stream = match Stream::connect(home.peer_addr, token, self.poll.registry()) {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(target: "process", "event=home-connect-failed home={} error={}", LogValue(&home.name), LogValue(&error));
                self.event_sources.remove(&token);
                return Err(Box::new(pending));
            }
        };
        stream.output().extend_from_slice(&pending.start_message);
        let relay = Relay {
            group: pending.group,
            identity: pending.identity,
            is_withdrawn: false,
            home,
            stream,
            session: pending.session,
            start_message: pending.start_message,
            unsent_messages: pending.unsent_messages,
            connected_at: now,
            homes_tried: pending.homes_tried + 1,
        };
        self.relays.insert(id, relay);
        Ok(())
    }

    /// Relays a caller's statement, whose message is `bytes`, or holds it back until the home has
    /// accepted the session.
    pub(crate) fn relay_statement(
        &mut self,
        now: Instant,
        id: CallerId,
        statement: &Statement,
        bytes: &[u8],
    ) {
        if self.refuse_relayed_if_stopping(now, id, statement) {
            return;
        }
        let Some(relay) = self.relays.get_mut(&id) else {
            return;
        };
        if relay.is_withdrawn {
            // A session that waits for an answer ends with it.
            if !relay.is_awaiting_answer() {
                self.close_relay(id);
                self.refuse_caller(id, &Failure::NotAuthorized, REMOVED_MESSAGE);
            }
            return;
        }
        relay.session.note_statement(&statement.body);
        let sent_now = relay.unsent_messages.send_or_buffer(bytes);
        relay.stream.output().extend_from_slice(sent_now);
        self.unflushed.insert(relay.stream.token());
    }

    pub(crate) fn on_relay_event(&mut self, now: Instant, id: CallerId, event: &mio::event::Event) {
        if event.is_writable() {
            self.flush_relay(now, id);
        }
        if !event.is_readable() && !event.is_read_closed() && !event.is_error() {
            return;
        }
        let Some(relay) = self.relays.get_mut(&id) else {
            return;
        };
        let read_result = relay.stream.fill();
        self.read_relay(now, id);
        if read_result == ReadResult::Closed {
            self.on_home_lost(now, id);
        }
    }

    /// Copies the home's messages to the caller.
    fn read_relay(&mut self, now: Instant, id: CallerId) {
        while let (Some(relay), Some(caller)) =
            (self.relays.get_mut(&id), self.callers.get_mut(&id))
        {
            let frame = relay.stream.first_frame(&self.protocol);
            let input = relay.stream.input();
            let (bytes, message) = match frame {
                Frame::Partial => return,
                Frame::Whole(bytes) => (bytes, self.protocol.decode_target(&input[..bytes])),
                Frame::TooLarge => (0, TargetMessage::Unreadable),
            };
            if message == TargetMessage::Unreadable {
                log::warn!(target: "process", "event=home-unreadable caller={id} home={}", relay.home.name);
                self.on_home_lost(now, id);
                return;
            }
            if relay.unsent_messages.is_accepted() {
                caller.stream.output().extend_from_slice(&input[..bytes]);
                self.unflushed.insert(caller.stream.token());
            }
            relay.stream.consume(bytes);
            match message {
                TargetMessage::Ready { state, .. } if relay.unsent_messages.is_accepted() => {
                    relay.session.note_ready(state);
                }
                TargetMessage::Ready { .. } => {
                    self.local_sessions.record_acceptance(now, &relay.home.name);
                    let buffered = relay.unsent_messages.accept();
                    relay.stream.output().extend_from_slice(&buffered);
                    self.unflushed.insert(relay.stream.token());
                }
                TargetMessage::Failed { failure, .. } if !relay.unsent_messages.is_accepted() => {
                    if failure == Failure::NotAuthorized {
                        self.on_key_unknown_at_home(now, id);
                    } else {
                        self.on_home_lost(now, id);
                    }
                    return;
                }
                _ => {}
            }
        }
    }

    pub(crate) fn flush_relay(&mut self, now: Instant, id: CallerId) {
        let failed = self
            .relays
            .get_mut(&id)
            .is_some_and(|relay| relay.stream.has_output() && relay.stream.flush().is_err());
        if failed {
            self.on_home_lost(now, id);
        }
    }

    /// Drops connections to homes that didn't accept the session within [`CONNECT_TIMEOUT`].
    pub(crate) fn expire_relays(&mut self, now: Instant) {
        let is_late = |relay: &Relay| {
            !relay.unsent_messages.is_accepted() && now >= relay.connected_at + CONNECT_TIMEOUT
        };
        let late: Vec<CallerId> = self
            .relays
            .iter()
            .filter(|(_, relay)| is_late(relay))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.on_home_lost(now, id);
        }
    }

    /// Handles the loss of a home. If the home hadn't accepted the session yet, another home is
    /// tried; otherwise the session ends.
    fn on_home_lost(&mut self, now: Instant, id: CallerId) {
        let Some(mut relay) = self.relays.remove(&id) else {
            return;
        };
        relay.stream.reset_on_close();
        relay.stream.deregister(self.poll.registry());
        self.event_sources.remove(&relay.stream.token());
        log::info!(
            target: "belief",
            "event=home-lost home={} group={} accepted={} waited_for={} after_ms={}",
            LogValue(&relay.home.name),
            LogValue(&relay.group),
            relay.unsent_messages.is_accepted(),
            relay.session.is_awaiting_answer(),
            now.saturating_duration_since(relay.connected_at).as_millis()
        );
        if relay.unsent_messages.is_accepted() {
            self.end_relayed_session(id, &relay.session);
            return;
        }
        let until = now + FAILED_HOME_RETRY_DELAY;
        self.unavailable_homes
            .insert(relay.home.name.clone(), until);
        let pending = PendingRelay {
            group: relay.group,
            identity: relay.identity,
            start_message: relay.start_message,
            unsent_messages: relay.unsent_messages,
            session: relay.session,
            homes_tried: relay.homes_tried,
        };
        if let Err(pending) = self.open_relay(now, id, pending) {
            self.serve_pending_locally(now, id, &pending);
        }
    }

    /// Serves a session in this process whose home doesn't know its key yet. The home has older
    /// routes, but it can serve the sessions of other keys.
    fn on_key_unknown_at_home(&mut self, now: Instant, id: CallerId) {
        let Some(mut relay) = self.relays.remove(&id) else {
            return;
        };
        relay.stream.deregister(self.poll.registry());
        self.event_sources.remove(&relay.stream.token());
        log::info!(
            target: "belief",
            "event=key-unknown-at-home home={} group={}",
            LogValue(&relay.home.name),
            LogValue(&relay.group)
        );
        let pending = PendingRelay {
            group: relay.group,
            identity: relay.identity,
            start_message: relay.start_message,
            unsent_messages: relay.unsent_messages,
            session: relay.session,
            homes_tried: relay.homes_tried,
        };
        self.serve_pending_locally(now, id, &pending);
    }

    fn serve_pending_locally(&mut self, now: Instant, id: CallerId, pending: &PendingRelay) {
        self.note_local_session(id, pending);
        let messages = [&pending.start_message, pending.unsent_messages.messages()].concat();
        self.serve_locally(now, id, &messages);
    }

    /// Serves a session in this process after no home accepted it, starting with the messages that
    /// the caller has already sent.
    fn serve_locally(&mut self, now: Instant, id: CallerId, buffered: &[u8]) {
        log::info!(target: "belief", "event=served-without-home caller={id}");
        let mut rest = buffered;
        while let Frame::Whole(bytes) = self.protocol.first_frame(rest, 0) {
            let message = self.protocol.decode_caller(&rest[..bytes]);
            rest = &rest[bytes..];
            match message {
                CallerMessage::Start { database, key } => {
                    let key = key.as_ref().map(CallerKey::digest);
                    self.engine.caller_opened(now, id);
                    let start = self.engine.caller_started(id, database, key);
                    if start != SessionStart::Accepted {
                        // The route or the key was removed while homes were tried.
                        self.engine.caller_disconnected(now, id);
                        let failure = match start {
                            SessionStart::NoDatabase => Failure::NoDatabase,
                            _ => Failure::NotAuthorized,
                        };
                        self.refuse_caller(id, &failure, REMOVED_MESSAGE);
                        return;
                    }
                }
                CallerMessage::Statement(statement) => {
                    self.engine.caller_statement(now, id, statement);
                }
                // Only statements are buffered behind the start.
                CallerMessage::Terminate | CallerMessage::TooLarge | CallerMessage::Unreadable => {
                    self.refuse_malformed(id);
                    return;
                }
            }
        }
    }

    /// Answers the caller's outstanding statement after its home was lost, and ends the session. An
    /// open transaction without an outstanding statement is reported on the next statement.
    fn end_relayed_session(&mut self, id: CallerId, session: &RelayedSession) {
        if let Some(answer) = session.answer_after_loss() {
            self.answer_and_close(id, &answer);
        } else if session.is_idle() {
            self.close_caller(id);
        } else if let Some(caller) = self.callers.get_mut(&id) {
            caller.has_lost_transaction = true;
        }
    }

    /// Refuses a statement of a relayed session that a stopping process doesn't pass on any more, and
    /// ends the session. Returns whether it was refused.
    fn refuse_relayed_if_stopping(
        &mut self,
        now: Instant,
        id: CallerId,
        statement: &Statement,
    ) -> bool {
        let (Some(drain), Some(relay)) = (self.engine.drain(), self.relays.get(&id)) else {
            return false;
        };
        // A pipelined statement follows the one before it, which may open or end a transaction.
        if relay.session.is_awaiting_answer() {
            return false;
        }
        let answer = match drain.admission(now, relay.session.state(), &statement.body) {
            Admission::Serve => return false,
            Admission::Refuse => drain::refused_answer(),
            Admission::Abort => drain::aborted_answer(),
        };
        log::info!(
            target: "request",
            "event=refused-while-stopping request={} caller={id} home={}",
            LogValue(&statement.request),
            LogValue(&relay.home.name)
        );
        self.close_relay(id);
        self.answer_and_close(id, &answer);
        true
    }

    /// Ends relayed sessions during a planned stop: idle ones once sessions end, and open
    /// transactions that wait for their caller once transactions end.
    pub(crate) fn drain_relays(&mut self, now: Instant) {
        let Some(drain) = self.engine.drain() else {
            return;
        };
        let phase = drain.phase(now);
        let relays = self.relays.iter();
        let waiting = relays.filter(|(_, relay)| !relay.session.is_awaiting_answer());
        let waiting: Vec<(CallerId, bool)> = waiting
            .map(|(id, relay)| (*id, relay.session.is_idle()))
            .collect();
        for (id, is_idle) in waiting {
            if is_idle && phase >= Phase::EndingSessions {
                self.close_relay(id);
                self.close_caller(id);
            } else if !is_idle && phase >= Phase::EndingTransactions {
                self.close_relay(id);
                if let Some(caller) = self.callers.get_mut(&id) {
                    caller.has_lost_transaction = true;
                }
            }
        }
    }

    /// Answers the unanswered statements of all relayed sessions, and closes the sessions. Returns
    /// the number of sessions with such a statement.
    pub(crate) fn end_all_relays(&mut self) -> usize {
        let mut unanswered = 0;
        for (id, relay) in std::mem::take(&mut self.relays) {
            unanswered += usize::from(relay.session.is_awaiting_answer());
            let answer = if relay.unsent_messages.is_accepted() {
                relay.session.answer_after_loss()
            } else {
                relay
                    .session
                    .is_awaiting_answer()
                    .then(drain::refused_answer)
            };
            match answer {
                Some(answer) => self.answer_and_close(id, &answer),
                None => self.close_caller(id),
            }
        }
        unanswered
    }

    fn answer_and_close(&mut self, id: CallerId, answer: &Answer) {
        if let Some(caller) = self.callers.get_mut(&id) {
            self.protocol.write_answer(answer, caller.stream.output());
            self.close_caller(id);
        }
    }

    /// Answers the first statement after a transaction was lost between two statements of its
    /// caller.
    pub(crate) fn answer_lost_transaction(&mut self, id: CallerId) {
        let answer = if self.engine.drain().is_some() {
            drain::aborted_answer()
        } else {
            let message = "the proxy that served the transaction was lost; nothing of it is kept";
            Answer::failed(Failure::Aborted, message, SessionState::Idle)
        };
        self.answer_and_close(id, &answer);
    }

    /// Marks the relayed sessions whose key the current routes have withdrawn. The homes end them by
    /// their own routes, which may be older.
    pub(crate) fn withdraw_relays(&mut self) {
        let engine = &self.engine;
        let mut withdrawn = 0;
        for relay in self.relays.values_mut() {
            let identity = &relay.identity;
            let has_right = match engine.identify(&identity.database, identity.key.as_ref()) {
                // A home ends the sessions of routes that become public or cease to be.
                Some(tenant) => {
                    tenant == identity.tenant || tenant.is_none() || identity.tenant.is_none()
                }
                // Without a route, the next statement of a caller without a tenant is refused.
                None => identity.tenant.is_none() && engine.group_of(&identity.database).is_none(),
            };
            if !has_right && !relay.is_withdrawn {
                relay.is_withdrawn = true;
                withdrawn += 1;
            }
        }
        if withdrawn > 0 {
            log::info!(target: "belief", "event=relays-withdrawn sessions={withdrawn}");
        }
    }

    /// Ends the withdrawn sessions that don't wait for an answer of their home.
    pub(crate) fn close_withdrawn_relays(&mut self) {
        let relays = self.relays.iter();
        let is_unsent = |relay: &Relay| !relay.unsent_messages.is_accepted();
        let closing: Vec<(CallerId, bool)> = relays
            .filter(|(_, relay)| relay.is_withdrawn)
            .filter(|(_, relay)| is_unsent(relay) || !relay.is_awaiting_answer())
            .map(|(id, relay)| (*id, is_unsent(relay) && relay.is_awaiting_answer()))
            .collect();
        for (id, has_unsent_statement) in closing {
            self.close_relay(id);
            if has_unsent_statement {
                self.refuse_caller(id, &Failure::NotAuthorized, REMOVED_MESSAGE);
            } else {
                self.close_caller(id);
            }
        }
    }

    /// Closes the connection to a session's home.
    pub(crate) fn close_relay(&mut self, id: CallerId) {
        if let Some(mut relay) = self.relays.remove(&id) {
            relay.stream.deregister(self.poll.registry());
            self.event_sources.remove(&relay.stream.token());
        }
    }
}
