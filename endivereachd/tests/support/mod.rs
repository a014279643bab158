//! Small fakes at the interfaces: a platform and a database group, in this process.

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

/// How long a test waits for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The group of the tests.
pub const GROUP: &str = "bookings-1";

/// What the fake group and the fake platform keep.
pub struct World {
    pub members: Vec<FakeMember>,
    pub object: Object,
    /// The platform takes changes, but its answers are lost.
    pub platform_mute: bool,
    /// The platform answers nothing and changes nothing.
    pub platform_down: bool,
    pub puts: u32,
}

/// One member of the fake group.
#[derive(Clone)]
pub struct FakeMember {
    pub status: MemberStatus,
    /// The member answers no control call.
    pub dead: bool,
    /// The member exchanges nothing with the other members.
    pub cut_off: bool,
    heard_at: Instant,
}

/// A running fake, shared by its servers.
pub struct Fake {
    pub world: Mutex<World>,
    changed: Condvar,
}

/// The fakes with their servers, and the means to start proxies beside them.
pub struct Bench {
    pub fake: Arc<Fake>,
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
        dead: false,
        cut_off: false,
        heard_at: Instant::now(),
    }
}

impl Bench {
    /// Starts a platform and a group of three members, the first of them leading in term 1.
    pub fn start() -> Self {
        let object = Object {
            kind: KIND_GROUP.into(),
            name: GROUP.into(),
            version: Version::new(1),
            op_id: "".into(),
            value: Vec::new(),
        };
        let fake = Arc::new(Fake {
            world: Mutex::new(World {
                members: (1..=3).map(fake_member).collect(),
                object,
                platform_mute: false,
                platform_down: false,
                puts: 0,
            }),
            changed: Condvar::new(),
        });
        let mut servers: Vec<Server> = (0..3).map(|index| member_server(&fake, index)).collect();
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
        fake.world.lock().unwrap().object.value = encode(&group);
        let platform = platform_server(&fake);
        let platform_addr = platform.addr();
        servers.push(platform);
        Self {
            fake,
            platform_addr,
            _servers: servers,
        }
    }

    /// Starts the group watch of one more proxy and waits until it knows the group.
    pub fn proxy(&self, number: u64) -> (Groups, Arc<Group>, Arc<Context>) {
        let context = Arc::new(self.context(number));
        let groups = Groups::spawn(Arc::clone(&context)).unwrap();
        let group = eventually("the group", || groups.find(&GROUP.into()));
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

    /// Commits on the primary, and on the replicas if `replicate`.
    pub fn commit(&self, replicate: bool) -> Position {
        let position = self.change(|world| {
            let primary = world.primary();
            let status = &mut world.members[primary].status;
            let index = LogIndex::new(status.durable.index.get() + 1);
            let term = status.term;
            status.durable = Position { term, index };
            status.applied = status.durable;
            status.durable
        });
        if replicate {
            self.change(World::replicate);
        }
        position
    }

    /// Changes the world, and wakes the watches.
    pub fn change<T>(&self, change: impl FnOnce(&mut World) -> T) -> T {
        let result = change(&mut self.fake.world.lock().unwrap());
        self.fake.changed.notify_all();
        result
    }

    /// Changes the group's object, as the platform's own operators do.
    pub fn change_object(&self, change: impl FnOnce(&mut GroupObject)) {
        self.change(|world| {
            let mut object = world.object.decode().unwrap();
            change(&mut object);
            world.object.value = encode(&object);
            world.object.version = world.object.version.next();
        });
    }

    /// Returns the group's object as the platform has it.
    pub fn object(&self) -> GroupObject {
        self.fake.world.lock().unwrap().object.decode().unwrap()
    }
}

impl World {
    /// Returns the member that leads in the highest term.
    pub fn primary(&self) -> usize {
        let leads = |index: &usize| self.members[*index].status.role == MemberRole::Primary;
        let leaders = (0..self.members.len()).filter(leads);
        leaders
            .max_by_key(|index| self.members[*index].status.term)
            .unwrap()
    }

    /// Ships the primary's log to the replicas that follow it.
    pub fn replicate(&mut self) {
        let primary = self.primary();
        if !self.is_heard(primary) {
            return;
        }
        let source = self.members[primary].status.clone();
        for member in &mut self.members {
            let status = &mut member.status;
            let follows = status.term == source.term && status.fenced_term <= source.term;
            if follows && !member.dead && !member.cut_off {
                status.durable = source.durable;
                status.applied = source.durable;
            }
        }
    }

    fn is_heard(&self, primary: usize) -> bool {
        !self.members[primary].dead && !self.members[primary].cut_off
    }

    fn status(&mut self, index: usize) -> MemberStatus {
        let now = Instant::now();
        let source = &self.members[self.primary()];
        let heard =
            self.is_heard(self.primary()) && source.status.term == self.members[index].status.term;
        let member = &mut self.members[index];
        if heard && !member.cut_off {
            member.heard_at = now;
        }
        member.status.primary_silent_ms = match member.status.role {
            MemberRole::Primary => 0,
            MemberRole::Replica => (now - member.heard_at).as_millis() as u64,
        };
        member.status.clone()
    }
}

/// Waits until `probe` finds something.
pub fn eventually<T>(what: &str, probe: impl Fn() -> Option<T>) -> T {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if let Some(found) = probe() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("{what} did not come within {PATIENCE:?}");
}

fn member_server(fake: &Arc<Fake>, index: usize) -> Server {
    let fake = Arc::clone(fake);
    Server::bind(loopback(), move |call| fake.answer_member(index, &call)).unwrap()
}

fn platform_server(fake: &Arc<Fake>) -> Server {
    let fake = Arc::clone(fake);
    Server::bind(loopback(), move |call| fake.answer_platform(&call)).unwrap()
}

/// Stands for an answer that never arrives: the client can't decode it.
fn lost() -> Reply {
    Reply::text(200, "text/plain", "")
}

fn stale() -> Reply {
    Reply::refuse(REFUSAL_STALE_TERM, "use a higher term")
}

impl Fake {
    fn answer_member(&self, index: usize, call: &Call) -> Reply {
        let mut world = self.world.lock().unwrap();
        if world.members[index].dead {
            return lost();
        }
        match &*call.path {
            "/status" => {}
            "/watch-position" => {
                let known: WatchPosition = call.decode().unwrap();
                let news = |world: &mut World| {
                    let status = &world.members[index].status;
                    status.durable > known.durable
                        || status.applied > known.applied
                        || status.term != known.term
                        || status.fenced_term != known.fenced_term
                };
                let wait = Duration::from_millis(known.wait_ms);
                let waited = self.changed.wait_timeout_while(world, wait, |w| !news(w));
                world = waited.unwrap().0;
            }
            "/fence" => {
                let Fence { term } = call.decode().unwrap();
                let status = &mut world.members[index].status;
                if status.fenced_term > term || status.term >= term {
                    return stale();
                }
                status.fenced_term = term;
            }
            "/promote" => {
                let Promote { term } = call.decode().unwrap();
                let status = &mut world.members[index].status;
                if status.fenced_term != term {
                    return stale();
                }
                status.term = term;
                status.role = MemberRole::Primary;
            }
            "/follow" => {
                let Follow { term, .. } = call.decode().unwrap();
                let status = &mut world.members[index].status;
                if status.fenced_term.max(status.term) > term {
                    return stale();
                }
                status.term = term;
                status.fenced_term = term;
                status.role = MemberRole::Replica;
                world.members[index].heard_at = Instant::now();
                world.replicate();
            }
            path => panic!("unknown call {path}"),
        }
        let status = world.status(index);
        drop(world);
        self.changed.notify_all();
        Reply::value(&status)
    }

    fn answer_platform(&self, call: &Call) -> Reply {
        let mut world = self.world.lock().unwrap();
        if world.platform_down {
            return lost();
        }
        match &*call.path {
            "/get" => {
                let _: Get = call.decode().unwrap();
                Reply::value(&Some(&world.object))
            }
            "/list" => Reply::value(&[&world.object]),
            "/watch" => {
                let watch: Watch = call.decode().unwrap();
                let wait = Duration::from_millis(watch.wait_ms.min(500));
                let waited = self
                    .changed
                    .wait_timeout_while(world, wait, |w| w.object.version <= watch.after);
                let world = waited.unwrap().0;
                Reply::value(&WatchAnswer {
                    revision: world.object.version,
                    objects: vec![world.object.clone()],
                })
            }
            "/put" => {
                let put: Put = call.decode().unwrap();
                world.puts += 1;
                if put.expected != world.object.version {
                    let current = Some(world.object.clone());
                    return Reply::value(&PutOutcome::Conflict { current });
                }
                world.object.version = put.expected.next();
                world.object.op_id = put.op_id;
                world.object.value = put.value;
                let version = world.object.version;
                let mute = world.platform_mute;
                drop(world);
                self.changed.notify_all();
                if mute {
                    return lost();
                }
                Reply::value(&PutOutcome::Stored { version })
            }
            path => panic!("unknown call {path}"),
        }
    }
}
