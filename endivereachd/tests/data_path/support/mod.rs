//! A proxy's data path with a fake group and fake targets.

pub mod target;

use endivereach_core::clock::SystemClock;
use endivereach_core::directory::Member;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use endivereach_core::treatment::Classification;
use endivereach_core::treatment::Classifier;
use endivereach_core::treatment::Freshness;
use endivereach_core::treatment::Priority;
use endivereach_core::treatment::Repeat;
use endivereach_core::treatment::StatementKind;
use endivereach_core::treatment::Treatment;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use endivereachd::callers::CallerServer;
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

/// A group whose view, confirmations and floors are set by the test.
pub struct FakeGroup {
    pub view: Mutex<Arc<GroupView>>,
    pub data: Arc<Mutex<Data>>,
    /// Results of the next calls of `confirm`; once it is empty, every commit is confirmed.
    pub confirmations: Mutex<VecDeque<Confirmation>>,
    /// Whether `read_floor` returns the position of the last commit or `None`.
    pub has_read_floor: Mutex<bool>,
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
        let has_read_floor = *self.has_read_floor.lock().unwrap();
        has_read_floor.then(|| self.data.lock().unwrap().position())
    }

    fn age_floor(&self, _: Duration) -> Option<Position> {
        *self.age_floor.lock().unwrap()
    }

    fn wait_for_primary_after(&self, _: Term, deadline: Instant) -> Option<Arc<GroupView>> {
        while Instant::now() < deadline {
            let view = self.view();
            if view.primary.is_some() {
                return Some(view);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        None
    }

    fn report_unresponsive(&self, _: &MemberId) {}
}

pub struct FakeDirectory(pub Arc<FakeGroup>);

impl GroupDirectory for FakeDirectory {
    type Group = FakeGroup;

    fn find(&self, name: &GroupName) -> Option<Arc<FakeGroup>> {
        (name.as_str() == GROUP).then(|| self.0.clone())
    }
}

/// Classifies statements by their first keyword and the names in their text.
pub struct FakeClassifier;

impl Classifier for FakeClassifier {
    fn classify(&self, _: &GroupName, sql: &str) -> Classification {
        let kind = match sql.split_whitespace().next().unwrap_or("") {
            "SELECT" => StatementKind::Read,
            "BEGIN" | "START" => StatementKind::Begin,
            "COMMIT" => StatementKind::Commit,
            "ROLLBACK" => StatementKind::Rollback,
            "SET" if sql.contains("pin") => StatementKind::PinsConnection,
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
                Repeat::Never
            },
            wait_for_primary: sql.contains("bookings"),
            hide_cancelled_slots: sql.contains("FROM slots"),
            priority: Priority::Normal,
            deadline: Duration::from_secs(8),
            rule_line: Some(1),
            asked_by: "a test".into(),
        };
        let reason = "use a direct connection".into();
        Classification {
            kind,
            treatment,
            reason,
        }
    }
}

/// The data path of one proxy, with a group of one primary and one replica.
pub struct TestProxy {
    pub primary: Target,
    pub replica: Target,
    pub group: Arc<FakeGroup>,
    pub caller_server: CallerServer,
    /// The maximum number of connections of the proxy to one server.
    pub connection_cap: Arc<AtomicU32>,
}

/// Gives one proxy the whole connection budget, up to a cap that a test can change.
struct CappedBudget {
    cap: Arc<AtomicU32>,
    uncapped: EqualSplit,
}

impl ConnectionBudget for CappedBudget {
    fn share(&self, group: &GroupName, member: &MemberId, connections_per_server: u32) -> u32 {
        let uncapped_share = self.uncapped.share(group, member, connections_per_server);
        uncapped_share.min(self.cap.load(Ordering::SeqCst))
    }
}

impl TestProxy {
    pub fn new() -> Self {
        Self::with_callers("")
    }

    /// Starts a proxy; `callers` is the `[[callers]]` part of its settings.
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
            has_read_floor: Mutex::new(true),
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
        let classifier = Arc::new(FakeClassifier);
        let classifier_source = move || Arc::clone(&classifier);
        let connection_cap = Arc::new(AtomicU32::new(u32::MAX));
        let budget = CappedBudget {
            cap: Arc::clone(&connection_cap),
            uncapped: EqualSplit::new(1),
        };
        let caller_server =
            CallerServer::bind(context, directory, classifier_source, budget).unwrap();
        Self {
            connection_cap,
            primary,
            replica,
            group,
            caller_server,
        }
    }

    /// Connects a caller.
    pub fn connect(&self) -> postgres::Client {
        self.connect_with("").unwrap()
    }

    /// Connects a caller with additional connection parameters.
    pub fn connect_with(&self, parameters: &str) -> Result<postgres::Client, postgres::Error> {
        let port = self.caller_server.sql_addr().port();
        let config = format!("host=127.0.0.1 port={port} user=clerk dbname={GROUP} {parameters}");
        postgres::Client::connect(&config, postgres::NoTls)
    }

    /// Changes the group's view.
    pub fn change_view(&self, change: impl FnOnce(&mut GroupView)) {
        let mut view = self.group.view.lock().unwrap();
        change(Arc::make_mut(&mut view));
    }

    /// Returns the committed value of a key.
    pub fn stored(&self, table: &str, key: &str) -> Option<String> {
        self.group.data.lock().unwrap().value(table, key)
    }

    /// Returns how many of the statements that a target received contain `part`.
    pub fn count_statements(target: &Target, part: &str) -> usize {
        let behaviour = target.lock_behaviour();
        let received = behaviour.statements.iter();
        received
            .filter(|statement| statement.contains(part))
            .count()
    }
}

fn member(id: &str, target: &Target, role: MemberRole) -> MemberView {
    let max_position = Position::new(1, u64::MAX);
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
            durable: max_position,
            applied: max_position,
            primary_silent_ms: 0,
            connections: Vec::new(),
        }),
        status_requested_at: Some(Instant::now()),
        reachable: true,
    }
}

/// Returns the first column of the first row of a simple query.
pub fn query_value(client: &mut postgres::Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).unwrap();
    messages.iter().find_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Returns the SQLSTATE of an error.
pub fn sqlstate(error: &postgres::Error) -> String {
    error
        .code()
        .map_or("none".to_owned(), |state| state.code().to_owned())
}

/// Polls every 2 ms until `condition` returns true, and panics after 5000 polls.
pub fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..5000 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("the condition did not become true");
}
