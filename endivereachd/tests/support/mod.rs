//! A fake platform and a fake database group, which serve the real protocols from this process.

use endivereach_core::clock::SystemClock;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Member;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::LogIndex;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_core::settings::Settings;
use endivereach_wire::http::Call;
use endivereach_wire::http::Client;
use endivereach_wire::http::Reply;
use endivereach_wire::http::Server;
use endivereach_wire::http::encode;
use endivereach_wire::member::Fence;
use endivereach_wire::member::Follow;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::member::Promote;
use endivereach_wire::member::REFUSAL_STALE_TERM;
use endivereach_wire::member::WatchPosition;
use endivereach_wire::platform::Get;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::Put;
use endivereach_wire::platform::PutOutcome;
use endivereach_wire::platform::Watch;
use endivereach_wire::platform::WatchAnswer;
use endivereachd::context::Context;
use endivereachd::events::Events;
use endivereachd::groups::Group;
use endivereachd::groups::Groups;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The maximum time that a test waits for an expected change.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The name of the fake group.
pub const GROUP: &str = "bookings-1";

/// The state of the fake group and the fake platform.
pub struct FakeState {
    pub members: Vec<FakeMember>,
    pub object: Object,
    /// The platform stores changes, but its answers are lost.
    pub platform_loses_answers: bool,
    /// Every call of the platform fails and changes nothing.
    pub platform_down: bool,
    /// The number of put calls that the platform received.
    pub puts: u32,
}

/// One member of the fake group.
#[derive(Clone)]
pub struct FakeMember {
    pub status: MemberStatus,
    /// Every control call of the member fails.
    pub is_down: bool,
    /// The member neither sends log entries to the other members nor receives any from them.
    pub is_partitioned: bool,
    /// When a replica was last connected to the primary.
    last_contact_at: Instant,
}

/// The fake group and the fake platform, shared by the threads of their servers.
pub struct FakeServices {
    pub state: Mutex<FakeState>,
    changed: Condvar,
}

/// A fake group and a fake platform with their servers; starts proxies that connect to them.
pub struct TestCluster {
    pub services: Arc<FakeServices>,
    platform_addr: SocketAddr,
    _servers: Vec<Server>,
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn fake_member(number: usize) -> FakeMember {
    FakeMember {
        status: MemberStatus {
            id: MemberId::from(&*format!("m{number}")),
            role: if number == 1 {
                MemberRole::Primary
            } else {
                MemberRole::Replica
            },
            term: Term::new(1),
            fenced_term: Term::new(1),
            durable: Position::new(1, 0),
            applied: Position::new(1, 0),
            primary_silent_ms: 0,
            connections: Vec::new(),
        },
        is_down: false,
        is_partitioned: false,
        last_contact_at: Instant::now(),
    }
}

impl TestCluster {
    /// Starts a platform and a group of three members; the first one is the primary of term 1.
    pub fn start() -> Self {
        let object = Object {
            kind: KIND_GROUP.into(),
            name: GROUP.into(),
            version: Version::new(1),
            op_id: "".into(),
            value: Vec::new(),
        };
        let services = Arc::new(FakeServices {
            state: Mutex::new(FakeState {
                members: (1..=3).map(fake_member).collect(),
                object,
                platform_loses_answers: false,
                platform_down: false,
                puts: 0,
            }),
            changed: Condvar::new(),
        });
        let mut servers: Vec<Server> = (0..3)
            .map(|index| member_server(&services, index))
            .collect();
        let member = |(index, server): (usize, &Server)| Member {
            id: MemberId::from(&*format!("m{}", index + 1)),
            zone: "zone".into(),
            sql_addr: server.addr(),
            control_addr: server.addr(),
            leaving: false,
        };
        let group = GroupObject {
            name: GroupName::from(GROUP),
            term: Term::new(1),
            primary: MemberId::from("m1"),
            members: servers.iter().enumerate().map(member).collect(),
            connections_per_server: 16,
            slots_per_server: 2,
            grants: Vec::new(),
            granted_up_to: Term::new(1),
        };
        services.state.lock().unwrap().object.value = encode(&group);
        let platform = platform_server(&services);
        let platform_addr = platform.addr();
        servers.push(platform);
        Self {
            services,
            platform_addr,
            _servers: servers,
        }
    }

    /// Starts the group watch of another proxy and waits until it has a view of the group.
    pub fn start_proxy(&self, number: u64) -> (Groups, Arc<Group>, Arc<Context>) {
        let context = Arc::new(self.context(number));
        let groups = Groups::spawn(Arc::clone(&context)).unwrap();
        let group = wait_for("the group", || groups.find(&GROUP.into()));
        (groups, group, context)
    }

    fn context(&self, number: u64) -> Context {
        let name = format!("entry-{number}");
        Context {
            id: ProxyId {
                name: name.parse().unwrap(),
                incarnation: Incarnation::new(number),
            },
            settings: self.settings(&name),
            clock: SystemClock,
            http: Client::new(),
            events: Events::default(),
        }
    }

    fn settings(&self, name: &str) -> Settings {
        let text = format!(
            r#"
            name = "{name}"
            region = "region"
            zone = "zone"
            [listen]
            sql_addr = "127.0.0.1:0"
            peer_addr = "127.0.0.1:0"
            [platform]
            addr = "{}"
            [target]
            user = "proxy"
            password = "secret"
            "#,
            self.platform_addr
        );
        toml::from_str(&text).unwrap()
    }

    /// Commits one entry on the primary, and replicates it if `replicate` is set.
    pub fn commit(&self, replicate: bool) -> Position {
        let position = self.change(|state| {
            let primary = state.primary();
            let status = &mut state.members[primary].status;
            let index = LogIndex::new(status.durable.index.get() + 1);
            let term = status.term;
            status.durable = Position { term, index };
            status.applied = status.durable;
            status.durable
        });
        if replicate {
            self.change(FakeState::replicate);
        }
        position
    }

    /// Changes the state of the fakes and wakes the pending watch calls.
    pub fn change<T>(&self, change: impl FnOnce(&mut FakeState) -> T) -> T {
        let result = change(&mut self.services.state.lock().unwrap());
        self.services.changed.notify_all();
        result
    }

    /// Changes the group's object on the platform, as an operator does.
    pub fn change_object(&self, change: impl FnOnce(&mut GroupObject)) {
        self.change(|state| {
            let mut object = state.object.decode().unwrap();
            change(&mut object);
            state.object.value = encode(&object);
            state.object.version = state.object.version.next();
        });
    }

    /// Returns the group's object that the platform stores.
    pub fn object(&self) -> GroupObject {
        self.services.state.lock().unwrap().object.decode().unwrap()
    }
}

impl FakeState {
    /// Returns the index of the primary of the highest term.
    pub fn primary(&self) -> usize {
        let is_primary = |index: &usize| self.members[*index].status.role == MemberRole::Primary;
        let primaries = (0..self.members.len()).filter(is_primary);
        primaries
            .max_by_key(|index| self.members[*index].status.term)
            .unwrap()
    }

    /// Replicates the primary's log to the replicas that follow it.
    pub fn replicate(&mut self) {
        let primary = self.primary();
        if !self.is_primary_connected(primary) {
            return;
        }
        let source = self.members[primary].status.clone();
        for member in &mut self.members {
            let status = &mut member.status;
            let follows = status.term == source.term && status.fenced_term <= source.term;
            if follows && !member.is_down && !member.is_partitioned {
                status.durable = source.durable;
                status.applied = source.durable;
            }
        }
    }

    fn is_primary_connected(&self, primary: usize) -> bool {
        !self.members[primary].is_down && !self.members[primary].is_partitioned
    }

    fn status(&mut self, index: usize) -> MemberStatus {
        let now = Instant::now();
        let source = &self.members[self.primary()];
        let is_connected = self.is_primary_connected(self.primary())
            && source.status.term == self.members[index].status.term;
        let member = &mut self.members[index];
        if is_connected && !member.is_partitioned {
            member.last_contact_at = now;
        }
        member.status.primary_silent_ms = match member.status.role {
            MemberRole::Primary => 0,
            MemberRole::Replica => (now - member.last_contact_at).as_millis() as u64,
        };
        member.status.clone()
    }
}

/// Polls `probe` until it returns a value, and panics after [`WAIT_TIMEOUT`].
pub fn wait_for<T>(what: &str, probe: impl Fn() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(found) = probe() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("timed out after {WAIT_TIMEOUT:?} waiting for {what}");
}

fn member_server(services: &Arc<FakeServices>, index: usize) -> Server {
    let services = Arc::clone(services);
    Server::bind(loopback(), move |call| {
        services.handle_member_call(index, &call)
    })
    .unwrap()
}

fn platform_server(services: &Arc<FakeServices>) -> Server {
    let services = Arc::clone(services);
    Server::bind(loopback(), move |call| services.handle_platform_call(&call)).unwrap()
}

/// Returns a reply that the client can't decode, which stands for a lost answer.
fn lost_answer() -> Reply {
    Reply::text(200, "text/plain", "")
}

fn refuse_stale_term() -> Reply {
    Reply::error_response(REFUSAL_STALE_TERM, "use a higher term")
}

impl FakeServices {
    fn handle_member_call(&self, index: usize, call: &Call) -> Reply {
        let mut state = self.state.lock().unwrap();
        if state.members[index].is_down {
            return lost_answer();
        }
        match &*call.path {
            "/status" => {}
            "/watch-position" => {
                let known: WatchPosition = call.decode().unwrap();
                let has_changed = |state: &mut FakeState| {
                    let status = &state.members[index].status;
                    status.durable > known.durable
                        || status.applied > known.applied
                        || status.term != known.term
                        || status.fenced_term != known.fenced_term
                };
                let wait = Duration::from_millis(known.wait_ms);
                let waited = self
                    .changed
                    .wait_timeout_while(state, wait, |w| !has_changed(w));
                state = waited.unwrap().0;
            }
            "/fence" => {
                let Fence { term } = call.decode().unwrap();
                let status = &mut state.members[index].status;
                if status.fenced_term > term || status.term >= term {
                    return refuse_stale_term();
                }
                status.fenced_term = term;
            }
            "/promote" => {
                let Promote { term } = call.decode().unwrap();
                let status = &mut state.members[index].status;
                if status.fenced_term != term {
                    return refuse_stale_term();
                }
                status.term = term;
                status.role = MemberRole::Primary;
            }
            "/follow" => {
                let Follow { term, .. } = call.decode().unwrap();
                let status = &mut state.members[index].status;
                if status.fenced_term.max(status.term) > term {
                    return refuse_stale_term();
                }
                status.term = term;
                status.fenced_term = term;
                status.role = MemberRole::Replica;
                state.members[index].last_contact_at = Instant::now();
                state.replicate();
            }
            path => panic!("unknown call {path}"),
        }
        let status = state.status(index);
        drop(state);
        self.changed.notify_all();
        Reply::value(&status)
    }

    fn handle_platform_call(&self, call: &Call) -> Reply {
        let mut state = self.state.lock().unwrap();
        if state.platform_down {
            return lost_answer();
        }
        match &*call.path {
            "/get" => {
                let _: Get = call.decode().unwrap();
                Reply::value(&Some(&state.object))
            }
            "/list" => Reply::value(&[&state.object]),
            "/watch" => {
                let watch: Watch = call.decode().unwrap();
                let wait = Duration::from_millis(watch.wait_ms.min(500));
                let waited = self
                    .changed
                    .wait_timeout_while(state, wait, |w| w.object.version <= watch.after);
                let state = waited.unwrap().0;
                Reply::value(&WatchAnswer {
                    revision: state.object.version,
                    objects: vec![state.object.clone()],
                })
            }
            "/put" => {
                let put: Put = call.decode().unwrap();
                state.puts += 1;
                if put.expected != state.object.version {
                    let current = Some(state.object.clone());
                    return Reply::value(&PutOutcome::Conflict { current });
                }
                state.object.version = put.expected.next();
                state.object.op_id = put.op_id;
                state.object.value = put.value;
                let version = state.object.version;
                let loses_answers = state.platform_loses_answers;
                drop(state);
                self.changed.notify_all();
                if loses_answers {
                    return lost_answer();
                }
                Reply::value(&PutOutcome::Stored { version })
            }
            path => panic!("unknown call {path}"),
        }
    }
}
