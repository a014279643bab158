//! Sessions that a home of their group serves: finding the home, and copying messages.

use crate::front::Front;
use crate::front::Role;
use crate::net::ReadEnd;
use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::CallerMessage;
use crate::protocol::Frame;
use crate::protocol::Protocol;
use crate::protocol::TargetMessage;
use endivereach_core::directory::Vm;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::DatabaseName;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::SessionState;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use endivereach_core::relayed::HeldBack;
use endivereach_core::relayed::RelayedSession;
use std::time::Duration;
use std::time::Instant;

/// How long a home may take to accept a session before another one is tried. It outlasts one lost
/// packet between availability zones.
const CONNECT_PATIENCE: Duration = Duration::from_millis(350);

/// How long a home that couldn't be connected to is passed over.
const FAILING_HOME_PAUSE: Duration = Duration::from_secs(2);

/// How many homes are tried before this process serves the session itself.
const HOMES_TRIED_MAX: u32 = 3;

/// A session that no home has accepted.
struct Unaccepted {
    group: GroupName,
    start: Vec<u8>,
    held: HeldBack,
    session: RelayedSession,
    homes_tried: u32,
}

/// One session that is passed on.
pub(crate) struct Relay {
    group: GroupName,
    home: Vm,
    stream: Stream,
    session: RelayedSession,
    /// The session's first message.
    start: Vec<u8>,
    held: HeldBack,
    connected_at: Instant,
    homes_tried: u32,
}

impl Relay {
    /// Returns whether the session can be ended without losing anything.
    pub(crate) fn is_at_rest(&self) -> bool {
        self.session.is_at_rest()
    }

    /// Returns whether the caller waits for an answer.
    pub(crate) fn is_waited_for(&self) -> bool {
        self.session.is_waited_for()
    }
}

impl<P: Protocol, A: Platform> Front<P, A> {
    /// Returns the home that a new session of a database is passed on to; `None` when this process
    /// serves it.
    fn home_for(&mut self, now: Instant, group: &GroupName) -> Option<Vm> {
        let limit = self.engine.connections_per_server(group)?;
        let count = homes::home_count(limit);
        if self.proxies.len() <= count {
            return None;
        }
        let homes = homes::homes(group, &self.proxies, limit);
        if homes.iter().any(|home| home.name == self.own.name) {
            return None;
        }
        self.relay_turn = self.relay_turn.wrapping_add(1);
        let failing = &self.failing_homes;
        let is_failing = |home: &Vm| failing.get(&home.name).is_some_and(|until| now < *until);
        let zone = &self.settings.location.zone;
        homes::nearest(&homes, zone, self.relay_turn, is_failing).cloned()
    }

    /// Works out anew of which groups this process is a home.
    pub(crate) fn choose_homes(&mut self) {
        for group in self.engine.group_names() {
            let Some(limit) = self.engine.connections_per_server(&group) else {
                continue;
            };
            let homes = homes::homes(&group, &self.proxies, limit);
            let is_home = homes.iter().any(|home| home.name == self.own.name);
            self.engine.set_home(&group, is_home);
        }
    }

    /// Passes a new session on, if another process is the group's home. Returns whether it is.
    pub(crate) fn start_relay(
        &mut self,
        now: Instant,
        id: CallerId,
        database: &DatabaseName,
    ) -> bool {
        let Some(group) = self.engine.group_of(database) else {
            return false;
        };
        let mut start = Vec::new();
        self.protocol.write_caller_start(database, &mut start);
        let first = Unaccepted {
            group,
            start,
            held: HeldBack::default(),
            session: RelayedSession::default(),
            homes_tried: 0,
        };
        self.open_relay(now, id, first).is_ok()
    }

    /// Connects to a home for a session, or hands the session back when there is none to try.
    fn open_relay(
        &mut self,
        now: Instant,
        id: CallerId,
        session: Unaccepted,
    ) -> Result<(), Box<Unaccepted>> {
        if session.homes_tried >= HOMES_TRIED_MAX {
            return Err(Box::new(session));
        }
        let Some(home) = self.home_for(now, &session.group) else {
            return Err(Box::new(session));
        };
        let token = self.new_token(Role::Relay(id));
        let mut stream = match Stream::connect(home.peer_addr, token, self.poll.registry()) {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(target: "process", "event=home-connect-failed home={} error={error}", home.name);
                self.roles.remove(&token);
                return Err(Box::new(session));
            }
        };
        stream.output().extend_from_slice(&session.start);
        let relay = Relay {
            group: session.group,
            home,
            stream,
            session: session.session,
            start: session.start,
            held: session.held,
            connected_at: now,
            homes_tried: session.homes_tried + 1,
        };
        self.relays.insert(id, relay);
        Ok(())
    }

    /// Passes a caller's message on.
    pub(crate) fn relay_message(&mut self, id: CallerId, message: &CallerMessage, bytes: &[u8]) {
        let Some(relay) = self.relays.get_mut(&id) else {
            return;
        };
        if let CallerMessage::Statement(statement) = message {
            relay.session.note_statement(&statement.body);
        }
        let sent_now = relay.held.pass(bytes);
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
        let end = relay.stream.fill();
        self.read_relay(now, id);
        if end == ReadEnd::Ended {
            self.lose_relay(now, id);
        }
    }

    /// Copies what the home answered.
    fn read_relay(&mut self, now: Instant, id: CallerId) {
        while let (Some(relay), Some(caller)) =
            (self.relays.get_mut(&id), self.callers.get_mut(&id))
        {
            let input = relay.stream.input();
            let Frame::Whole(bytes) = self.protocol.frame(input) else {
                return;
            };
            let message = self.protocol.read_target(&input[..bytes]);
            if relay.held.is_accepted() {
                caller.stream.output().extend_from_slice(&input[..bytes]);
                self.unflushed.insert(caller.stream.token());
            }
            relay.stream.consume(bytes);
            match message {
                TargetMessage::Ready { state, .. } if relay.held.is_accepted() => {
                    relay.session.note_ready(state);
                }
                TargetMessage::Ready { .. } => {
                    let held_back = relay.held.accept();
                    relay.stream.output().extend_from_slice(&held_back);
                    self.unflushed.insert(relay.stream.token());
                }
                TargetMessage::Failed { .. } if !relay.held.is_accepted() => {
                    self.lose_relay(now, id);
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
            self.lose_relay(now, id);
        }
    }

    /// Gives up homes that don't accept their sessions in time.
    pub(crate) fn expire_relays(&mut self, now: Instant) {
        let is_late = |relay: &Relay| {
            !relay.held.is_accepted() && now >= relay.connected_at + CONNECT_PATIENCE
        };
        let late: Vec<CallerId> = self
            .relays
            .iter()
            .filter(|(_, relay)| is_late(relay))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.lose_relay(now, id);
        }
    }

    /// Takes in that a home was lost: before it accepted the session another one is tried.
    fn lose_relay(&mut self, now: Instant, id: CallerId) {
        let Some(mut relay) = self.relays.remove(&id) else {
            return;
        };
        relay.stream.reset_on_close();
        relay.stream.deregister(self.poll.registry());
        self.roles.remove(&relay.stream.token());
        log::info!(
            target: "belief",
            "event=home-lost home={} group={} accepted={} waited_for={} after_ms={}",
            relay.home.name,
            relay.group,
            relay.held.is_accepted(),
            relay.session.is_waited_for(),
            now.saturating_duration_since(relay.connected_at).as_millis()
        );
        if relay.held.is_accepted() {
            self.end_relayed_session(id, &relay.session);
            return;
        }
        let until = now + FAILING_HOME_PAUSE;
        self.failing_homes.insert(relay.home.name.clone(), until);
        let session = Unaccepted {
            group: relay.group,
            start: relay.start,
            held: relay.held,
            session: relay.session,
            homes_tried: relay.homes_tried,
        };
        if let Err(session) = self.open_relay(now, id, session) {
            let messages = [&session.start, session.held.messages()].concat();
            self.serve_instead(now, id, &messages);
        }
    }

    /// Serves a session here that no home accepted.
    fn serve_instead(&mut self, now: Instant, id: CallerId, opening: &[u8]) {
        log::info!(target: "belief", "event=served-without-home caller={id}");
        let mut rest = opening;
        while let Frame::Whole(bytes) = self.protocol.frame(rest) {
            let message = self.protocol.read_caller(&rest[..bytes]);
            rest = &rest[bytes..];
            match message {
                CallerMessage::Start { database } => {
                    self.engine.caller_opened(now, id);
                    self.engine.caller_started(id, database);
                }
                CallerMessage::Statement(statement) => {
                    self.engine.caller_statement(now, id, statement);
                }
                CallerMessage::Terminate | CallerMessage::Unreadable => {}
            }
        }
    }

    /// Tells a caller what became of its statement, and ends its session.
    fn end_relayed_session(&mut self, id: CallerId, session: &RelayedSession) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        if let Some(answer) = session.answer_after_loss() {
            self.protocol.write_answer(&answer, caller.stream.output());
            self.close_caller(id);
        } else if session.is_at_rest() {
            self.close_caller(id);
        } else {
            caller.has_lost_transaction = true;
        }
    }

    /// Answers the first statement after a transaction was lost while its caller rested.
    pub(crate) fn answer_lost_transaction(&mut self, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let message = "the proxy that served the transaction was lost; nothing of it is kept";
        let answer = Answer::failed(Failure::Aborted, message, SessionState::Idle);
        self.protocol.write_answer(&answer, caller.stream.output());
        self.close_caller(id);
    }

    /// Ends the connection to a session's home.
    pub(crate) fn drop_relay(&mut self, id: CallerId) {
        if let Some(mut relay) = self.relays.remove(&id) {
            relay.stream.deregister(self.poll.registry());
            self.roles.remove(&relay.stream.token());
        }
    }
}
