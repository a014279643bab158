//! A data path over fake groups and targets.

pub mod target;

use endivereach_core::clock::SystemClock;
use endivereach_core::directory::Member;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use endivereach_core::treatment::Classified;
use endivereach_core::treatment::Classifier;
use endivereach_core::treatment::Freshness;
use endivereach_core::treatment::Repeat;
use endivereach_core::treatment::StatementKind;
use endivereach_core::treatment::Treatment;
use endivereach_core::treatment::Worth;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use endivereachd::callers::Callers;
use endivereachd::callers::GroupDirectory;
use endivereachd::callers::GroupState;
use endivereachd::context::Context;
use endivereachd::groups::Confirmation;
use endivereachd::groups::GroupView;
use endivereachd::groups::MemberView;
use endivereachd::targets::ConnectionBudget;
use endivereachd::targets::EqualSplit;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use target::Data;
use target::Target;

pub const GROUP: &str = "ledger";

/// A group whose knowledge the test sets.
pub struct FakeGroup {
    pub view: Mutex<Arc<GroupView>>,
    pub data: Arc<Mutex<Data>>,
    pub confirmations: Mutex<VecDeque<Confirmation>>,
    pub has_floor: Mutex<bool>,
    pub age_floor: Mutex<Option<Position>>,
}

impl GroupState for FakeGroup {
    fn view(&self) -> Arc<GroupView> {
        self.view.lock().unwrap().clone()
    }

    fn confirm(&self, _: Term, _: Position, _: Instant) -> Confirmation {
        let next = self.confirmations.lock().unwrap().pop_front();
        next.unwrap_or(Confirmation::Confirmed)
    }

    fn read_floor(&self, _: Instant) -> Option<Position> {
        let has_floor = *self.has_floor.lock().unwrap();
        has_floor.then(|| self.data.lock().unwrap().position())
    }

    fn age_floor(&self, _: Duration) -> Option<Position> {
        *self.age_floor.lock().unwrap()
    }

    fn wait_for_primary_above(&self, _: Term, deadline: Instant) -> Option<Arc<GroupView>> {
        while Instant::now() < deadline {
            let view = self.view();
            if view.primary.is_some() {
                return Some(view);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        None
    }

    fn report_silent(&self, _: &MemberId) {}
}

pub struct FakeDirectory(pub Arc<FakeGroup>);

impl GroupDirectory for FakeDirectory {
    type Group = FakeGroup;

    fn find(&self, name: &GroupName) -> Option<Arc<FakeGroup>> {
        (name.as_str() == GROUP).then(|| self.0.clone())
    }
}

/// Rules by what the statement's text has in it.
pub struct FakeRules;

impl Classifier for FakeRules {
    fn classify(&self, _: &GroupName, sql: &str) -> Classified {
        let kind = match sql.split_whitespace().next().unwrap_or("") {
            "SELECT" => StatementKind::Read,
            "BEGIN" | "START" => StatementKind::Begin,
            "COMMIT" => StatementKind::Commit,
            "ROLLBACK" => StatementKind::Rollback,
            "SET" if sql.contains("pin") => StatementKind::Pins,
            "SET" => StatementKind::Set,
            "LISTEN" => StatementKind::Refused,
            _ => StatementKind::Write,
        };
        let treatment = Treatment {
            freshness: if sql.contains("FROM views") {
                Freshness::Age {
                    max_age: Duration::from_secs(1),
                }
            } else {
                Freshness::Session
            },
            repeat: if sql.contains("notes") {
                Repeat::Allowed
            } else {
                Repeat::Once
            },
            hold: sql.contains("bookings"),
            hide_cancelled: sql.contains("FROM slots"),
            worth: Worth::Normal,
            deadline: Duration::from_secs(8),
            rule_line: Some(1),
            asked_by: "a test".into(),
        };
        let reason = "use a direct connection".into();
        Classified {
            kind,
            treatment,
            reason,
        }
    }
}

/// A data path with one primary and one replica.
pub struct Path {
    pub primary: Target,
    pub replica: Target,
    pub group: Arc<FakeGroup>,
    pub callers: Callers,
    /// The most connections that the proxy may have to a server.
    pub share_cap: Arc<AtomicU32>,
}

/// The whole share of one proxy, up to a cap that a test moves.
struct CappedShare {
    cap: Arc<AtomicU32>,
    whole: EqualSplit,
}

impl ConnectionBudget for CappedShare {
    fn share(&self, group: &GroupName, member: &MemberId, connections_per_server: u32) -> u32 {
        let whole = self.whole.share(group, member, connections_per_server);
        whole.min(self.cap.load(Ordering::SeqCst))
    }
}

impl Path {
    pub fn new() -> Self {
        Self::with_callers("")
    }

    /// Starts a path; `callers` is the settings' list of roles.
    pub fn with_callers(callers: &str) -> Self {
        let data: Arc<Mutex<Data>> = Arc::default();
        let primary = Target::bind(data.clone(), false);
        let replica = Target::bind(data.clone(), true);
        let view = Arc::new(GroupView {
            name: GROUP.into(),
            term: Term::new(1),
            primary: Some("m1".into()),
            members: vec![
                member("m1", &primary, MemberRole::Primary),
                member("m2", &replica, MemberRole::Replica),
            ],
            connections_per_server: 8,
            slots_per_server: 2,
        });
        let group = Arc::new(FakeGroup {
            view: Mutex::new(view),
            data,
            confirmations: Mutex::default(),
            has_floor: Mutex::new(true),
            age_floor: Mutex::new(None),
        });
        let settings = format!(
            r#"
            name = "entry-1"
            region = "dk-east"
            zone = "koege"
            listen = {{ sql_addr = "127.0.0.1:0", peer_addr = "127.0.0.1:0" }}
            platform = {{ addr = "127.0.0.1:1" }}
            target = {{ user = "proxy", password = "" }}
            {callers}
            "#
        );
        let context = Arc::new(Context {
            id: ProxyId {
                name: "entry-1".into(),
                incarnation: Incarnation::new(7),
            },
            settings: toml::from_str(&settings).unwrap(),
            clock: SystemClock,
            http: endivereach_wire::http::Client::new(),
            events: endivereachd::events::Events::default(),
        });
        let directory = Arc::new(FakeDirectory(group.clone()));
        let rules = Arc::new(FakeRules);
        let source = move || Arc::clone(&rules);
        let share_cap = Arc::new(AtomicU32::new(u32::MAX));
        let budget = CappedShare {
            cap: Arc::clone(&share_cap),
            whole: EqualSplit::new(1),
        };
        let callers = Callers::bind(context, directory, source, budget).unwrap();
        Self {
            share_cap,
            primary,
            replica,
            group,
            callers,
        }
    }

    /// Connects a caller.
    pub fn connect(&self) -> postgres::Client {
        self.connect_with("").unwrap()
    }

    /// Connects a caller with more of a connection string.
    pub fn connect_with(&self, more: &str) -> Result<postgres::Client, postgres::Error> {
        let port = self.callers.sql_addr().port();
        let config = format!("host=127.0.0.1 port={port} user=clerk dbname={GROUP} {more}");
        postgres::Client::connect(&config, postgres::NoTls)
    }

    /// Changes the group's view.
    pub fn change_view(&self, change: impl FnOnce(&mut GroupView)) {
        let mut view = self.group.view.lock().unwrap();
        change(Arc::make_mut(&mut view));
    }

    /// Returns a committed value.
    pub fn stored(&self, table: &str, key: &str) -> Option<String> {
        self.group.data.lock().unwrap().value(table, key)
    }

    /// Returns how many statements a target saw that contain `part`.
    pub fn seen(target: &Target, part: &str) -> usize {
        let behaviour = target.behave();
        let seen = behaviour.statements.iter();
        seen.filter(|statement| statement.contains(part)).count()
    }
}

fn member(id: &str, target: &Target, role: MemberRole) -> MemberView {
    let far = Position::new(1, u64::MAX);
    MemberView {
        member: Member {
            id: id.into(),
            zone: "koege".into(),
            sql_addr: target.addr,
            control_addr: target.addr,
            leaving: false,
        },
        status: Some(MemberStatus {
            id: id.into(),
            role,
            term: Term::new(1),
            fenced_term: Term::new(0),
            durable: far,
            applied: far,
            primary_silent_ms: 0,
            connections: Vec::new(),
        }),
        asked_at: Some(Instant::now()),
        reachable: true,
    }
}

/// Returns the first column of the first row of a simple query.
pub fn ask(client: &mut postgres::Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).unwrap();
    messages.iter().find_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Returns the SQLSTATE of an error.
pub fn code(error: &postgres::Error) -> String {
    error
        .code()
        .map_or("none".to_owned(), |c| c.code().to_owned())
}

/// Waits until something holds.
pub fn wait_until(holds: impl Fn() -> bool) {
    for _ in 0..5000 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("it did not happen");
}
