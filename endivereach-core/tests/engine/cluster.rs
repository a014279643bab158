//! A simulated group of three servers and a simulated clock, which drive the engine in tests.

use endivereach_core::allowance::Message;
use endivereach_core::duty::DutyLease;
use endivereach_core::engine::Effect;
use endivereach_core::engine::Engine;
use endivereach_core::engine::Location;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::Access;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::FencingToken;
use endivereach_core::engine::statement::Outcome;
use endivereach_core::engine::statement::SessionState;
use endivereach_core::engine::statement::Statement;
use endivereach_core::engine::statement::TargetStatus;
use endivereach_core::engine::topology::GroupLimits;
use endivereach_core::engine::topology::Route;
use endivereach_core::engine::topology::Routes;
use endivereach_core::engine::topology::TargetEntry;
use endivereach_core::exchange::Evidence;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::RequestId;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_core::ids::ZoneName;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantName;
use endivereach_core::tenants::Tenants;
use endivereach_core::treatment::Freshness;
use endivereach_core::treatment::Priority;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The step by which the simulated clock advances.
const STEP: Duration = Duration::from_millis(5);

/// How a simulated server responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Accepts connections and answers every command.
    Good,
    /// Answers nothing on any connection.
    Silent,
    /// Refuses connections.
    Down,
}

/// One simulated server.
#[derive(Clone, Debug)]
pub struct Server {
    pub health: Health,
    pub is_primary: bool,
    pub term: u64,
    pub fenced_term: u64,
    pub received: Position,
    /// Whether the server receives commits from the primary.
    pub replicates: bool,
    /// Whether answers to statements are lost before they are sent.
    pub loses_answers: bool,
    /// Whether answers to statements and to `Begin` are lost while their connection goes on.
    pub skips_answers: bool,
    /// Whether all slots are in use, so that probes are refused.
    pub refuses_probes: bool,
    /// Whether writes get no answer, while other commands do.
    pub hangs_on_writes: bool,
    /// The failures returned for the next statements, in order.
    pub fails_with: Vec<Failure>,
    /// The incarnation that the server is listed with.
    pub incarnation: u64,
    /// The zone that the server is listed in.
    pub zone: ZoneName,
    /// The time from a command to its answer.
    pub delay: Duration,
    /// The number of connections, from all proxies, that the server reports.
    pub connections: u32,
    /// The number of the engine's connections that the server accepts.
    pub accepts: usize,
    /// How long a statement takes.
    pub work: Duration,
    /// How long a probe takes.
    pub probe_work: Duration,
    /// The commands that the server was sent, in order.
    pub commands: Vec<Command>,
}

#[derive(Debug)]
struct ServerConnection {
    server: Box<str>,
    /// The commands that wait, with the times at which they were sent.
    queue: Vec<(Instant, Command)>,
    /// When the answer to each command of the queue is due.
    due: VecDeque<Instant>,
    in_transaction: bool,
    wrote: bool,
    tenant: Option<TenantName>,
    values: BTreeMap<Box<str>, Box<str>>,
}

/// A statement that ran: its connection with its tenant, and the connection's session values at that
/// time.
#[derive(Clone, Debug)]
pub struct ExecutedStatement {
    pub request: RequestId,
    pub connection: ConnectionId,
    pub tenant: Option<TenantName>,
    pub values: BTreeMap<Box<str>, Box<str>>,
}

/// An answer that the engine was given.
#[derive(Clone, Debug)]
pub struct GivenAnswer {
    pub server: Box<str>,
    pub connection: ConnectionId,
    pub command: Command,
    pub answer: Answer,
    pub status: Option<TargetStatus>,
}

/// The engine together with the simulated servers, callers and clock.
pub struct Cluster {
    pub engine: Engine,
    pub now: Instant,
    pub servers: BTreeMap<Box<str>, Server>,
    pub listed: Vec<Box<str>>,
    pub leaving: Vec<Box<str>>,
    pub answers: Vec<(CallerId, Answer)>,
    pub closed: Vec<CallerId>,
    pub promotion_orders: Vec<(Box<str>, FencingToken)>,
    pub duty_requests: usize,
    /// The reads of the list of servers that wait for an answer, with the times at which they were sent.
    pub list_reads: Vec<Instant>,
    /// The groups of the promotions that the engine announced.
    pub announced_promotions: Vec<GroupName>,
    /// The number of reads of the list that were answered.
    pub answered_list_reads: usize,
    /// Whether reads of the list get no answer.
    pub is_store_silent: bool,
    pub peer_messages: Vec<(ProxyName, Message)>,
    pub executed: Vec<ExecutedStatement>,
    /// The answers that the engine was given, in order.
    pub given_answers: Vec<GivenAnswer>,
    server_connections: BTreeMap<ConnectionId, ServerConnection>,
    routes: Routes,
    callers: u64,
    requests: u64,
    receipts: u64,
}

pub fn group() -> GroupName {
    "ledger".into()
}

fn route(freshness: Freshness) -> Route {
    Route {
        group: group(),
        freshness,
        max_age: Some(Duration::from_millis(1_500)),
        statement_timeout: Duration::from_millis(800),
        latency_goal: Duration::from_millis(200),
        priority: Priority::Normal,
        is_public: false,
    }
}

impl Cluster {
    /// Creates a group of three servers, of which `a` leads in term 1, and a database for each kind
    /// of route.
    pub fn open() -> Self {
        let mut cluster = Self::open_unlisted();
        cluster.publish_targets();
        cluster.advance(300);
        cluster
    }

    /// Creates the same group before any server is listed.
    pub fn open_unlisted() -> Self {
        let now = Instant::now();
        let location = Location {
            proxy: "front-1".into(),
            zone: "north".into(),
            region: "coast".into(),
        };
        let server = |is_primary| Server {
            health: Health::Good,
            is_primary,
            term: 1,
            fenced_term: 0,
            received: Position::new(1, 10),
            replicates: true,
            loses_answers: false,
            skips_answers: false,
            refuses_probes: false,
            hangs_on_writes: false,
            fails_with: Vec::new(),
            incarnation: 1,
            zone: "north".into(),
            delay: Duration::ZERO,
            connections: 4,
            accepts: usize::MAX,
            work: Duration::ZERO,
            probe_work: Duration::ZERO,
            commands: Vec::new(),
        };
        let age = Freshness::Age {
            max_age: Duration::from_millis(1_500),
        };
        let limits = GroupLimits {
            connections_per_server: 16,
            sync_replicas: 1,
        };
        let routes = Routes {
            version: Version::new(1),
            tenants: None,
            databases: [
                ("latest", Freshness::Latest),
                ("session", Freshness::Session),
                ("aged", age),
            ]
            .map(|(name, freshness)| (name.into(), route(freshness)))
            .into(),
            groups: [(group(), limits)].into(),
            transaction_idle_timeout: Duration::from_secs(3),
        };
        let mut cluster = Self {
            engine: Engine::new(location, now),
            now,
            servers: [("a", true), ("b", false), ("c", false)]
                .map(|(name, is_primary)| (name.into(), server(is_primary)))
                .into(),
            listed: vec!["a".into(), "b".into(), "c".into()],
            leaving: Vec::new(),
            answers: Vec::new(),
            closed: Vec::new(),
            promotion_orders: Vec::new(),
            duty_requests: 0,
            list_reads: Vec::new(),
            announced_promotions: Vec::new(),
            answered_list_reads: 0,
            is_store_silent: false,
            peer_messages: Vec::new(),
            executed: Vec::new(),
            given_answers: Vec::new(),
            server_connections: BTreeMap::new(),
            routes: routes.clone(),
            callers: 0,
            requests: 0,
            receipts: 0,
        };
        cluster.engine.set_routes(now, routes);
        cluster.engine.set_proxy_count(4);
        cluster.engine.set_home(&group(), true);
        cluster
    }

    /// Passes the list of servers to the engine, as a watch does that is answered now.
    pub fn publish_targets(&mut self) {
        self.pass_targets();
        self.engine
            .record_target_evidence(Evidence::from_platform(self.now));
        self.process_effects();
    }

    /// Answers the reads of the list that wait. Returns whether there were any.
    fn answer_list_reads(&mut self) -> bool {
        if self.is_store_silent {
            return false;
        }
        let Some(asked_at) = self.list_reads.drain(..).max() else {
            return false;
        };
        self.answered_list_reads += 1;
        self.pass_targets();
        self.engine.targets_read(self.now, asked_at);
        true
    }

    fn pass_targets(&mut self) {
        let entries = self.listed.iter().map(|name| TargetEntry {
            id: name.as_ref().into(),
            group: group(),
            addr: ([127, 0, 0, 1], 9_000 + u16::from(name.as_bytes()[0])).into(),
            zone: self.servers[name].zone.clone(),
            slots: 2,
            leaving: self.leaving.contains(name),
            is_primary: self.servers[name].is_primary,
            incarnation: Incarnation::new(self.servers[name].incarnation),
        });
        let entries = entries.collect();
        self.engine.set_targets(self.now, entries);
    }

    pub fn server(&mut self, name: &str) -> &mut Server {
        self.servers.get_mut(name).unwrap()
    }

    /// Puts routes with these tenants in force.
    pub fn change_tenants(&mut self, tenants: Option<Tenants>) {
        self.routes.version = self.routes.version.next();
        self.routes.tenants = tenants;
        self.engine.set_routes(self.now, self.routes.clone());
        self.process_effects();
    }

    /// Changes the number of connections that a server accepts from all proxies. It is in force with
    /// the next change of the tenants.
    pub fn change_connections_per_server(&mut self, connections: u32) {
        for limits in self.routes.groups.values_mut() {
            limits.connections_per_server = connections;
        }
    }

    /// Opens a session.
    pub fn caller(&mut self, database: &str) -> CallerId {
        self.caller_with_key(database, "none")
    }

    /// Opens a session with a key.
    pub fn caller_with_key(&mut self, database: &str, key: &str) -> CallerId {
        let key = Some(CallerKey::from(key).digest());
        self.callers += 1;
        let id = CallerId::new(self.callers);
        self.engine.caller_opened(self.now, id);
        assert_eq!(
            self.engine.caller_started(id, database.into(), key),
            SessionStart::Accepted
        );
        id
    }

    /// Sends a statement and returns its request number.
    pub fn send(&mut self, caller: CallerId, body: Body) -> u64 {
        self.requests += 1;
        let request = format!("q{}", self.requests).as_str().into();
        let statement = Statement { request, body };
        self.engine.caller_statement(self.now, caller, statement);
        self.process_effects();
        self.requests
    }

    /// Sends a statement and returns its answer.
    ///
    /// # Panics
    ///
    /// Panics if the answer doesn't arrive within a second.
    pub fn send_and_wait(&mut self, caller: CallerId, body: Body) -> Answer {
        let before = self.answers.len();
        self.send(caller, body);
        for _ in 0..200 {
            let answer = self.answers[before..].iter().find(|(id, _)| *id == caller);
            if let Some((_, answer)) = answer {
                return answer.clone();
            }
            self.advance(5);
        }
        panic!("no answer within a second");
    }

    /// Advances the clock in steps, with checks of the timeouts when they are due.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += STEP.min(end - self.now);
            if self.now >= self.engine.next_deadline() {
                self.engine.check_timeouts(self.now);
            }
            self.engine.process_changed_groups(self.now);
            self.process_effects();
        }
    }

    /// Returns how many connections the engine has to a server.
    pub fn connection_count(&self, name: &str) -> usize {
        let server_connections = self.server_connections.values();
        server_connections
            .filter(|conn| conn.server.as_ref() == name)
            .count()
    }

    /// Returns the tenants of the engine's connections to a server.
    pub fn connected_tenants(&self, name: &str) -> Vec<Option<TenantName>> {
        let server_connections = self.server_connections.values();
        server_connections
            .filter(|conn| conn.server.as_ref() == name)
            .map(|conn| conn.tenant.clone())
            .collect()
    }

    /// Returns the connection on which a server's oldest unanswered command is a given one.
    pub fn unanswered_connection(
        &self,
        server: &str,
        is_expected: impl Fn(&Command) -> bool,
    ) -> ConnectionId {
        let is_oldest = |conn: &ServerConnection| {
            let oldest = conn.queue.first();
            conn.server.as_ref() == server && oldest.is_some_and(|(_, c)| is_expected(c))
        };
        let mut server_connections = self.server_connections.iter();
        *server_connections
            .find(|(_, conn)| is_oldest(conn))
            .unwrap()
            .0
    }

    /// Returns how many commands of a connection are unanswered.
    pub fn unanswered_count(&self, connection: ConnectionId) -> usize {
        self.server_connections[&connection].queue.len()
    }

    /// Advances the clock without running the engine, like a pause of the process.
    pub fn pause_process(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    /// Grants the duty to promote.
    pub fn grant_duty(&mut self, token: u64) {
        let held = DutyLease {
            token: FencingToken::new(token),
            expires_at: self.now + Duration::from_millis(1_500),
        };
        self.engine.set_duty(self.now, Some(held));
    }

    /// Promotes a server to primary, in the highest known term.
    pub fn promote(&mut self, name: &str) {
        let term = self
            .servers
            .values()
            .map(|s| s.term.max(s.fenced_term))
            .max()
            .unwrap();
        for server in self.servers.values_mut() {
            server.fenced_term = 0;
        }
        let server = self.server(name);
        server.is_primary = true;
        server.term = term;
    }

    /// Closes every connection to a server.
    pub fn disconnect(&mut self, name: &str) {
        let lost: Vec<ConnectionId> = self
            .server_connections
            .iter()
            .filter(|(_, conn)| conn.server.as_ref() == name)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.server_connections.remove(&id);
            self.engine.target_disconnected(self.now, id);
        }
        self.process_effects();
    }

    /// Carries out the engine's effects and answers its commands until none is left.
    pub fn process_effects(&mut self) {
        for _ in 0..100 {
            self.engine.process_changed_groups(self.now);
            let effects = self.engine.take_effects();
            if effects.is_empty() && !self.serve_one() && !self.answer_list_reads() {
                return;
            }
            for effect in effects {
                self.perform(effect);
            }
        }
        panic!("the engine keeps producing effects");
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { caller, answer } => self.answers.push((caller, answer)),
            Effect::CloseCaller { caller } => self.closed.push(caller),
            Effect::Open {
                connection,
                member,
                tenant,
                ..
            } => self.open_connection(connection, member.as_str(), tenant),
            Effect::Send {
                connection,
                command,
            } => {
                if let Some(conn) = self.server_connections.get_mut(&connection) {
                    conn.queue.push((self.now, command.clone()));
                    let server = self.servers.get_mut(&conn.server).unwrap();
                    conn.due.push_back(self.now + server.delay);
                    server.commands.push(command);
                }
            }
            Effect::Close { connection } => {
                self.server_connections.remove(&connection);
            }
            Effect::SendToPeer { peer, message } => self.peer_messages.push((peer, message)),
            Effect::AcquireDuty => self.duty_requests += 1,
            Effect::ReadTargets => self.list_reads.push(self.now),
            Effect::AnnouncePromotion { group } => self.announced_promotions.push(group),
            Effect::Promote { member, token, .. } => {
                self.promotion_orders.push((member.as_str().into(), token));
            }
        }
    }

    fn open_connection(
        &mut self,
        connection: ConnectionId,
        server: &str,
        tenant: Option<TenantName>,
    ) {
        let health = self
            .servers
            .get(server)
            .map_or(Health::Down, |server| server.health);
        let is_full = self
            .servers
            .get(server)
            .is_some_and(|known| self.connection_count(server) >= known.accepts);
        match health {
            Health::Good if is_full => {
                let failure = Failure::TooManyConnections;
                self.engine.target_refused(self.now, connection, &failure);
            }
            Health::Good => {
                let conn = ServerConnection {
                    server: server.into(),
                    queue: Vec::new(),
                    due: VecDeque::new(),
                    in_transaction: false,
                    wrote: false,
                    tenant,
                    values: BTreeMap::new(),
                };
                self.server_connections.insert(connection, conn);
                self.engine.target_ready(self.now, connection);
            }
            Health::Down => self.engine.target_disconnected(self.now, connection),
            Health::Silent => {}
        }
    }

    /// Answers one command of one connection. Returns whether there was one.
    fn serve_one(&mut self) -> bool {
        let ready = self.server_connections.iter().find(|(_, conn)| {
            let server = &self.servers[&conn.server];
            let is_write = |command: &Command| {
                matches!(command, Command::Run { text, .. } if text.starts_with("WRITE"))
            };
            let Some((sent_at, command)) = conn.queue.first() else {
                return false;
            };
            let is_statement = matches!(command, Command::Run { .. } | Command::Execute { .. });
            let work = match command {
                Command::Status => server.probe_work,
                _ if is_statement => server.work,
                _ => Duration::ZERO,
            };
            let is_done = self.now >= *sent_at + work;
            let hangs = server.hangs_on_writes && is_write(command);
            let is_due = conn.due.front().is_some_and(|at| self.now >= *at);
            is_done && is_due && server.health == Health::Good && !hangs
        });
        let Some(id) = ready.map(|(id, _)| *id) else {
            return false;
        };
        let conn = self.server_connections.get_mut(&id).unwrap();
        let (_, command) = conn.queue.remove(0);
        conn.due.pop_front();
        let name = conn.server.clone();
        let (answer, status) = self.run(id, &name, &command);
        let server = self.server(&name);
        let is_statement = matches!(
            command,
            Command::Run { .. } | Command::Execute { .. } | Command::Commit { .. }
        );
        if server.loses_answers && is_statement {
            // A connection that lost an answer carries no further answers.
            self.server_connections.get_mut(&id).unwrap().queue.clear();
            self.server_connections.remove(&id);
            return true;
        }
        let is_begin = matches!(command, Command::Begin { .. });
        if server.skips_answers && (is_statement || is_begin) {
            return true;
        }
        self.given_answers.push(GivenAnswer {
            server: name,
            connection: id,
            command,
            answer: answer.clone(),
            status: status.clone(),
        });
        self.engine.target_reply(self.now, id, answer, status);
        true
    }

    /// Gives the engine the newest answer of a server to a given kind of command once more, on its
    /// connection. If the engine has closed that connection, the repetition reaches nothing.
    ///
    /// # Panics
    ///
    /// Panics if there was no such answer.
    pub fn repeat_answer(&mut self, server: &str, is_expected: impl Fn(&GivenAnswer) -> bool) {
        let is_given = |given: &&GivenAnswer| &*given.server == server && is_expected(given);
        let mut answers = self.given_answers.iter().rev();
        let given = answers.find(is_given).unwrap().clone();
        if self.server_connections.contains_key(&given.connection) {
            self.engine
                .target_reply(self.now, given.connection, given.answer, given.status);
            self.process_effects();
        }
    }

    /// Gives the engine the answer of a server that it gave so many answers ago once more, if the
    /// connection of that answer is open.
    pub fn repeat_answer_before(&mut self, server: &str, answers: usize) {
        let is_open = |given: &&GivenAnswer| {
            let conn = self.server_connections.get(&given.connection);
            conn.is_some_and(|conn| conn.server.as_ref() == server)
        };
        let mut given = self.given_answers.iter().rev().filter(is_open);
        if let Some(given) = given.nth(answers).cloned() {
            self.engine
                .target_reply(self.now, given.connection, given.answer, given.status);
            self.process_effects();
        }
    }

    /// Gives the engine all answers of a connection once more, in order, as far as it stays open.
    pub fn repeat_answers_of(&mut self, connection: ConnectionId) {
        let given = self.given_answers.iter();
        let given: Vec<_> = given
            .filter(|given| given.connection == connection)
            .cloned()
            .collect();
        for given in given {
            if self.server_connections.contains_key(&connection) {
                self.engine
                    .target_reply(self.now, connection, given.answer, given.status);
                self.process_effects();
            }
        }
    }

    /// Returns the number of the next request.
    pub fn next_request(&self) -> u64 {
        self.requests + 1
    }

    /// Returns how often the statement of a request ran.
    pub fn execution_count(&self, request: &str) -> usize {
        let executed = self.executed.iter();
        executed
            .filter(|executed| executed.request.as_str() == request)
            .count()
    }

    /// Returns the receipt of the next statement that runs on a server.
    fn next_receipt(&mut self, name: &str) -> Box<str> {
        self.receipts += 1;
        format!("by-{name}.{}", self.receipts).into()
    }

    fn run(
        &mut self,
        id: ConnectionId,
        name: &str,
        command: &Command,
    ) -> (Answer, Option<TargetStatus>) {
        let is_write = matches!(command, Command::Run { text, .. } if text.starts_with("WRITE"));
        let in_transaction = self.server_connections[&id].in_transaction;
        let receipt = self.next_receipt(name);
        let row: Box<str> = format!("row of {receipt}").into();
        let server = self.server(name);
        let floor = match command {
            Command::Run { floor, .. }
            | Command::Execute { floor, .. }
            | Command::Begin { floor, .. } => *floor,
            _ => None,
        };
        let is_read_write_begin = matches!(
            command,
            Command::Begin {
                read_only: false,
                ..
            }
        );
        let is_statement = matches!(command, Command::Run { .. } | Command::Execute { .. });
        let mut status = None;
        let mut success = Outcome::Done { receipt: None };
        let failure = if is_statement && !server.fails_with.is_empty() {
            Some(server.fails_with.remove(0))
        } else if floor.is_some_and(|floor| floor > server.received) {
            Some(Failure::Lagging)
        } else if (is_write || is_read_write_begin) && !server.is_primary {
            Some(Failure::NotPrimary)
        } else if server.refuses_probes && matches!(command, Command::Status) {
            Some(Failure::Busy)
        } else {
            None
        };
        match command {
            Command::Pause { term } => server.fenced_term = term.get(),
            Command::StepDown { .. } => server.is_primary = false,
            _ => {}
        }
        if matches!(
            command,
            Command::Status | Command::Pause { .. } | Command::StepDown { .. }
        ) {
            status = Some(TargetStatus {
                is_primary: server.is_primary,
                term: Term::new(server.term),
                received: server.received,
                fenced_term: Term::new(server.fenced_term),
                connections: server.connections,
            });
        }
        if failure.is_some() {
            status = None;
        }
        if is_statement || matches!(command, Command::Commit { .. }) {
            success = Outcome::Done {
                receipt: Some(receipt),
            };
        }
        let position = Some(server.received);
        let conn = self.server_connections.get_mut(&id).unwrap();
        if failure.is_none() {
            match command {
                Command::Set { name, value } => {
                    conn.values.insert(name.clone(), value.clone());
                }
                Command::Reset => conn.values.clear(),
                Command::Run { request, .. } | Command::Execute { request, .. } => {
                    self.executed.push(ExecutedStatement {
                        request: request.clone(),
                        connection: id,
                        tenant: conn.tenant.clone(),
                        values: conn.values.clone(),
                    })
                }
                Command::Begin { .. } => conn.in_transaction = true,
                Command::Rollback | Command::Commit { .. } => conn.in_transaction = false,
                _ => {}
            }
            conn.wrote |= is_write && in_transaction;
        }
        let commits = failure.is_none()
            && ((is_write && !in_transaction)
                || (matches!(command, Command::Commit { .. }) && conn.wrote));
        let state = match (conn.in_transaction, &failure) {
            (false, _) => SessionState::Idle,
            // A busy server leaves the transaction open.
            (true, None | Some(Failure::Busy)) => SessionState::InTransaction,
            (true, Some(_)) => SessionState::Failed,
        };
        let position = if commits { self.commit(name) } else { position };
        let answer = match failure {
            Some(failure) => Answer::failed(failure, "injected by the test", state),
            None => Answer {
                rows: match &status {
                    Some(status) => vec![format!("{status:?}").into()],
                    None if is_statement && !is_write => vec![row],
                    None => Vec::new(),
                },
                outcome: success,
                state,
                position,
            },
        };
        (answer, status)
    }

    /// Appends a commit to the log of a primary and of the replicas that receive it.
    fn commit(&mut self, name: &str) -> Option<Position> {
        let server = self.server(name);
        let next = Position::new(server.term, server.received.index.get() + 1);
        for (other, server) in &mut self.servers {
            if other.as_ref() == name || (server.replicates && server.fenced_term == 0) {
                server.received = next;
            }
        }
        Some(next)
    }
}

pub fn read() -> Body {
    Body::Run {
        access: Access::Read,
        text: "READ 1".into(),
    }
}

pub fn write() -> Body {
    Body::Run {
        access: Access::Write,
        text: "WRITE 1 x".into(),
    }
}

pub fn begin() -> Body {
    Body::Begin { read_only: false }
}

/// Returns the name of the server that answered, from the receipt.
pub fn served_by(answer: &Answer) -> &str {
    match &answer.outcome {
        Outcome::Done {
            receipt: Some(receipt),
        } => receipt
            .strip_prefix("by-")
            .unwrap()
            .split('.')
            .next()
            .unwrap(),
        other => panic!("not served: {other:?}"),
    }
}

/// Returns the commands that a server was sent, without probes.
pub fn commands_without_probes(server: &Server) -> Vec<&Command> {
    let is_not_probe = |command: &&Command| !matches!(command, Command::Status);
    server.commands.iter().filter(is_not_probe).collect()
}
