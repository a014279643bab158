//! Stand-ins for the scripts of this folder: the platform's store, its promotion service, and groups
//! of database servers, as the users' pages describe them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// An object of the store.
#[derive(Clone)]
pub struct Object {
    pub revision: u64,
    pub created: u64,
    /// The `spec` as JSON text.
    pub spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    json: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The platform's object store and promotion service, at one address.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub addr: SocketAddr,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"createRevision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

/// Returns the JSON value that follows `"key":` in compact JSON.
pub fn json_field<'t>(text: &'t str, key: &str) -> Option<&'t str> {
    let start = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = &text[start..];
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (at, byte) in rest.bytes().enumerate() {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(&rest[..at]),
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return Some(&rest[..at]),
            _ => {}
        }
    }
    Some(rest)
}

/// Handles a promotion order: service, server, holder and fencing token.
pub type PromoteHandler = dyn Fn(&str, &str, &str, u64) -> u16 + Send + Sync;

impl Store {
    pub fn open(promote: Arc<PromoteHandler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            state: Arc::new((
                Mutex::new(StoreState {
                    revision: 10,
                    ..StoreState::default()
                }),
                Condvar::new(),
            )),
            addr: listener.local_addr().expect("an address"),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, promote) = (served.clone(), promote.clone());
                thread::spawn(move || served.serve(stream, &*promote));
            }
        });
        store
    }

    /// Returns an object's `spec`, if the object exists.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = lock(&self.state.0);
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.spec.clone())
    }

    /// Writes an object, as the operator or a server does. Returns when the store accepted it.
    pub fn put(&self, kind: &str, name: &str, spec: String) -> Instant {
        let mut state = lock(&self.state.0);
        self.write(&mut state, kind, name, spec);
        Instant::now()
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.state.0);
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            let json = format!(
                "{{\"deleted\":true,\"object\":{}}}",
                object_json(name, &object)
            );
            state.events.push(Event {
                revision,
                kind: kind.to_owned(),
                json,
            });
            self.state.1.notify_all();
        }
    }

    fn write(&self, state: &mut StoreState, kind: &str, name: &str, spec: String) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let before = state.objects.get(&key).cloned();
        if let Some(before) = &before
            && before.spec == spec
        {
            return object_json(name, before);
        }
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            revision,
            created: before.map_or(revision, |object| object.created),
            spec,
        };
        let json = object_json(name, &object);
        state.objects.insert(key, object);
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            json: format!("{{\"deleted\":false,\"object\":{json}}}"),
        });
        self.state.1.notify_all();
        json
    }

    /// Serves the calls of one connection. A promotion service does the same without objects.
    pub fn serve(&self, stream: TcpStream, promote: &PromoteHandler) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or("").to_owned();
            let target = words.next().unwrap_or("").to_owned();
            let mut headers = BTreeMap::new();
            loop {
                let mut header = String::new();
                if input.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let Some((name, value)) = header.trim_end().split_once(':') else {
                    break;
                };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let length = headers
                .get("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            if input.read_exact(&mut body).is_err() {
                return;
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
            let (status, answer) = if target == "/promote" {
                let field = |key| {
                    json_field(&body, key)
                        .unwrap_or("")
                        .trim_matches('"')
                        .to_owned()
                };
                let token = header("endivereach-fencing-token").parse().unwrap_or(0);
                let holder = header("endivereach-duty-holder");
                let status = promote(&field("service"), &field("id"), &holder, token);
                (status, "{}".to_owned())
            } else {
                self.answer(&method, &target, &body)
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if output.write_all((head + &answer).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, v)| v.to_owned())
                .next()
        };
        let mut parts = path.trim_start_matches("/-/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let mut state = lock(&self.state.0);
        let watched = parameter("watch").and_then(|watch| watch.parse::<u64>().ok());
        match (method, name) {
            ("GET", None) => {
                if let Some(from) = watched {
                    let wait_ms = parameter("waitMs")
                        .and_then(|ms| ms.parse().ok())
                        .unwrap_or(0);
                    let until = Instant::now() + Duration::from_millis(wait_ms);
                    loop {
                        let events = state.events.iter();
                        let found: Vec<&str> = events
                            .filter(|event| event.revision > from && event.kind == kind)
                            .map(|event| event.json.as_str())
                            .collect();
                        let rest = until.saturating_duration_since(Instant::now());
                        if !found.is_empty() || rest.is_zero() {
                            let events = found.join(",");
                            let revision = state.revision;
                            return (
                                200,
                                format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                            );
                        }
                        state = self
                            .state
                            .1
                            .wait_timeout(state, rest)
                            .unwrap_or_else(PoisonError::into_inner)
                            .0;
                    }
                }
                let items: Vec<String> = state
                    .objects
                    .iter()
                    .filter(|((of, _), _)| *of == kind)
                    .map(|((_, name), object)| object_json(name, object))
                    .collect();
                let (items, revision) = (items.join(","), state.revision);
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{revision}}}"
                    ),
                )
            }
            ("GET", Some(name)) => match state.objects.get(&(kind, name.clone())) {
                Some(object) => (200, object_json(&name, object)),
                None => (404, "{}".into()),
            },
            ("POST" | "PUT", name) => {
                let meta = json_field(body, "meta").unwrap_or("");
                let field = |key| json_field(meta, key).map(|v| v.trim_matches('"').to_owned());
                let name = name.or_else(|| field("name")).unwrap_or_default();
                let known = state.objects.get(&(kind.clone(), name.clone())).cloned();
                let expected = field("revision").and_then(|revision| revision.parse::<u64>().ok());
                match known {
                    Some(known)
                        if method == "POST" || expected.is_some_and(|e| e != known.revision) =>
                    {
                        (409, object_json(&name, &known))
                    }
                    None if method == "PUT" => (404, "{}".into()),
                    _ => {
                        let spec = json_field(body, "spec").unwrap_or("null").to_owned();
                        (200, self.write(&mut state, &kind, &name, spec))
                    }
                }
            }
            ("DELETE", Some(name)) => {
                drop(state);
                self.remove(&kind, &name);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

/// A position of a server's log.
pub type Position = (u64, u64);

#[derive(Clone)]
pub struct Entry {
    pub position: Position,
    pub item: String,
    pub data: String,
    /// The ids of the requests that the commit contains.
    pub requests: Vec<String>,
}

/// The state of one database server.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub is_primary: bool,
    pub term: u64,
    pub fenced_term: u64,
    pub log: Vec<Entry>,
    pub busy_slots: usize,
    pub connections: usize,
    pub leaving: bool,
    /// Whether the process runs. Its connections end when it doesn't.
    pub is_up: bool,
    /// Changes when the server's connections must end.
    pub life: u64,
}

impl Server {
    pub fn position(&self) -> Position {
        self.log.last().map_or((1, 0), |entry| entry.position)
    }
}

/// What a server ran, in order.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub request: String,
    pub text: String,
    pub is_answered: bool,
}

/// The settings of a group.
#[derive(Clone)]
pub struct GroupSettings {
    pub service: String,
    pub slots: usize,
    pub max_connections: usize,
    pub handshake: Duration,
    /// The time for which a read or a write occupies a slot.
    pub work: Duration,
    pub promote: Duration,
    /// The time from a commit until a replica has received it.
    pub replication: Duration,
}

pub struct GroupState {
    pub servers: Vec<Server>,
    pub runs: Vec<Run>,
    pub term: u64,
    /// The part of the answers to statements that the primary loses, in percent.
    pub lost_percent: u64,
    pub lost_answers: u64,
    random: u64,
    receipts: u64,
    /// Lines about changes of roles.
    pub notes: Vec<(Instant, String)>,
}

impl GroupState {
    pub fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    pub fn index(&self, id: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.id == id)
    }
}

/// A service: one primary and its replicas, with `syncReplicas` 1.
#[derive(Clone)]
pub struct Group {
    pub settings: GroupSettings,
    pub state: Arc<(Mutex<GroupState>, Condvar)>,
    store: Option<Store>,
}

/// A transaction on a server connection.
struct Transaction {
    is_read_only: bool,
    writes: Vec<(String, String, String)>,
}

impl Group {
    pub fn open(settings: GroupSettings, seed: u64) -> Self {
        Self {
            settings,
            state: Arc::new((
                Mutex::new(GroupState {
                    servers: Vec::new(),
                    runs: Vec::new(),
                    term: 1,
                    lost_percent: 0,
                    lost_answers: 0,
                    random: seed | 1,
                    receipts: 0,
                    notes: Vec::new(),
                }),
                Condvar::new(),
            )),
            store: None,
        }
    }

    pub fn set_store(&mut self, store: &Store) {
        self.store = Some(store.clone());
    }

    pub fn locked(&self) -> MutexGuard<'_, GroupState> {
        lock(&self.state.0)
    }

    /// Starts a server with the log of the primary, if there is one.
    pub fn start_server(&self, id: &str, is_primary: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        {
            let mut state = self.locked();
            let term = state.term;
            let primary = state.servers.iter().find(|server| server.is_primary);
            let log = primary.map(|server| server.log.clone()).unwrap_or_default();
            state.servers.push(Server {
                id: id.to_owned(),
                addr,
                is_primary,
                term,
                fenced_term: 0,
                log,
                busy_slots: 0,
                connections: 0,
                leaving: false,
                is_up: true,
                life: 0,
            });
        }
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (group, id) = (group.clone(), id.clone());
                thread::spawn(move || {
                    let _ = group.serve(&id, stream);
                    let mut state = group.locked();
                    if let Some(index) = state.index(&id) {
                        state.servers[index].connections =
                            state.servers[index].connections.saturating_sub(1);
                    }
                });
            }
        });
    }

    /// Writes a server's entry to the store, as the server does when its state changes.
    pub fn register(&self, id: &str) -> Option<Instant> {
        let spec = {
            let state = self.locked();
            let server = &state.servers[state.index(id)?];
            let role = if server.is_primary {
                "primary"
            } else {
                "replica"
            };
            let state_word = if server.leaving { "draining" } else { "ready" };
            format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state_word}\",\"coldLeftMs\":0,\"dbRole\":\"{role}\",\"seq\":1,\"born\":1790000000000}}",
                self.settings.service, server.addr, self.settings.slots
            )
        };
        Some(self.store.as_ref()?.put("servers", id, spec))
    }

    /// Ends a server: its connections break and its entry goes.
    pub fn stop_server(&self, id: &str) {
        {
            let mut state = self.locked();
            if let Some(index) = state.index(id) {
                state.servers[index].is_up = false;
                state.servers[index].is_primary = false;
                state.servers[index].life += 1;
            }
            state
                .notes
                .push((Instant::now(), format!("server {id} ended")));
        }
        self.state.1.notify_all();
        if let Some(store) = &self.store {
            store.remove("servers", id);
        }
    }

    /// Carries out a promotion order.
    pub fn promote(&self, id: &str) -> u16 {
        let mut state = self.locked();
        let Some(index) = state.index(id) else {
            return 409;
        };
        if !state.servers[index].is_up {
            return 409;
        }
        if state.servers[index].is_primary {
            return 200;
        }
        state
            .notes
            .push((Instant::now(), format!("promotion of {id} ordered")));
        drop(state);
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(group.settings.promote);
            group.lead(&id);
        });
        200
    }

    fn lead(&self, id: &str) {
        let mut changed = Vec::new();
        {
            let mut state = self.locked();
            let Some(index) = state.index(id) else {
                return;
            };
            state.term += 1;
            let term = state.term;
            let log = state.servers[index].log.clone();
            for (at, server) in state.servers.iter_mut().enumerate() {
                if at == index {
                    server.is_primary = true;
                } else {
                    server.is_primary = false;
                    server.log = log.clone();
                }
                server.term = term;
                server.fenced_term = 0;
                if server.is_up {
                    changed.push(server.id.clone());
                }
            }
            state
                .notes
                .push((Instant::now(), format!("{id} leads term {term}")));
        }
        self.state.1.notify_all();
        for id in changed {
            self.register(&id);
        }
    }

    fn serve(&self, id: &str, stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut output = stream.try_clone()?;
        let (life, is_full) = {
            let mut state = self.locked();
            let Some(index) = state.index(id) else {
                return Ok(());
            };
            let server = &mut state.servers[index];
            server.connections += 1;
            if !server.is_up {
                return Ok(());
            }
            (
                server.life,
                server.connections > self.settings.max_connections,
            )
        };
        // A server that ends closes its connections.
        let (watcher, watched) = (self.clone(), stream.try_clone()?);
        let watched_id = id.to_owned();
        thread::spawn(move || {
            let mut state = watcher.locked();
            loop {
                let is_over = state
                    .index(&watched_id)
                    .is_none_or(|index| state.servers[index].life != life);
                if is_over {
                    let _ = watched.shutdown(std::net::Shutdown::Both);
                    return;
                }
                state = watcher
                    .state
                    .1
                    .wait_timeout(state, Duration::from_secs(1))
                    .unwrap_or_else(PoisonError::into_inner)
                    .0;
            }
        });
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if is_full {
            return output.write_all(b"ERROR TOOMANY no more connections\r\n");
        }
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        let is_expected = fields.get(3).is_none_or(|expected| *expected == id);
        if fields.first() != Some(&"START")
            || fields.get(1) != Some(&self.settings.service.as_str())
            || !is_expected
        {
            return output.write_all(b"ERROR MISROUTED another server\r\n");
        }
        thread::sleep(self.settings.handshake);
        let position = self.position_text(id);
        output.write_all(format!("READY I {position}\r\n").as_bytes())?;
        let mut prepared: BTreeMap<String, String> = BTreeMap::new();
        let mut transaction: Option<Transaction> = None;
        let mut unanswered: Option<String> = None;
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let text = line.trim_end();
            let Some((request, text)) = text.strip_prefix("QUERY ").and_then(|t| t.split_once(' '))
            else {
                return Ok(());
            };
            let (answer, is_lost) = self.run(id, request, text, &mut prepared, &mut transaction);
            let state = if transaction.is_some() { "T" } else { "I" };
            let position = self.position_text(id);
            if is_lost {
                unanswered = Some(request.to_owned());
                continue;
            }
            if let Some(lost) = unanswered.take() {
                let first = answer.lines().next().unwrap_or_default();
                let note = format!("after the lost answer to {lost}, {text} got {first}");
                self.locked().notes.push((Instant::now(), note));
            }
            output.write_all(format!("{answer}READY {state} {position}\r\n").as_bytes())?;
        }
    }

    fn position_text(&self, id: &str) -> String {
        let state = self.locked();
        let position = state
            .index(id)
            .map_or((0, 0), |index| state.servers[index].position());
        format!("{}.{}", position.0, position.1)
    }

    /// Occupies a slot for a time. Returns whether one was free.
    fn occupy(&self, id: &str, time: Duration) -> bool {
        {
            let mut state = self.locked();
            let Some(index) = state.index(id) else {
                return false;
            };
            if state.servers[index].busy_slots >= self.settings.slots {
                return false;
            }
            state.servers[index].busy_slots += 1;
        }
        thread::sleep(time);
        let mut state = self.locked();
        let Some(index) = state.index(id) else {
            return false;
        };
        state.servers[index].busy_slots -= 1;
        // A server that has ended runs nothing.
        state.servers[index].is_up
    }

    /// Runs one statement. Returns the messages before READY, and whether the answer is lost.
    fn run(
        &self,
        id: &str,
        request: &str,
        text: &str,
        prepared: &mut BTreeMap<String, String>,
        transaction: &mut Option<Transaction>,
    ) -> (String, bool) {
        let done = |receipt: &str| (format!("COMPLETE {receipt}\r\n"), false);
        let failed = |code: &str| (format!("ERROR {code} {id}\r\n"), false);
        let (floor, text) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((floor, rest)) => {
                let (term, number) = floor.split_once('.').unwrap_or(("0", "0"));
                let floor = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
                (Some(floor), rest)
            }
            None => (None, text),
        };
        if let Some(floor) = floor {
            let state = self.locked();
            let position = state.index(id).map(|index| state.servers[index].position());
            if position < Some(floor) {
                return failed("LAGGING");
            }
        }
        let mut words: Vec<&str> = text.splitn(4, ' ').collect();
        let word = words[0];
        match word {
            "SET" | "DEALLOC" => return done("-"),
            "RESET" => {
                prepared.clear();
                return done("-");
            }
            "PREPARE" => {
                if let [_, name, access, _] = words[..] {
                    prepared.insert(name.to_owned(), access.to_owned());
                }
                return done("-");
            }
            "BEGIN" => {
                let is_read_only = words.get(1) == Some(&"READ");
                let state = self.locked();
                let is_primary = state.index(id).is_some_and(|i| state.servers[i].is_primary);
                if !is_read_only && !is_primary {
                    return failed("READONLY");
                }
                *transaction = Some(Transaction {
                    is_read_only,
                    writes: Vec::new(),
                });
                return done("-");
            }
            "ROLLBACK" => {
                *transaction = None;
                return done("-");
            }
            "STATUS" | "PAUSE" | "STEPDOWN" => return self.control(id, &words),
            _ => {}
        }
        if !self.occupy(id, self.settings.work) {
            return failed("BUSY");
        }
        if word == "EXECUTE" {
            let Some(access) = prepared.get(words[1]) else {
                return failed("NOSTMT");
            };
            let access = if access == "READ" { "READ" } else { "WRITE" };
            words.remove(0);
            words[0] = access;
        }
        let is_write = words[0] == "WRITE" || words[0] == "COMMIT";
        let mut state = self.locked();
        let Some(index) = state.index(id) else {
            return failed("FAILED");
        };
        let is_primary = state.servers[index].is_primary;
        let must_lead = match transaction {
            Some(transaction) => !transaction.is_read_only,
            None => is_write,
        };
        if must_lead && !is_primary {
            *transaction = None;
            return failed("READONLY");
        }
        let mut rows = String::new();
        match (words[0], transaction.as_mut()) {
            ("READ", _) => {
                let item = words.get(1).copied().unwrap_or("");
                let log = state.servers[index].log.iter().rev();
                let mut found = log.filter(|entry| entry.item == item);
                let data = found.next().map_or("none", |entry| entry.data.as_str());
                rows = format!("ROW {data}\r\n");
            }
            ("WRITE", Some(open)) => open.writes.push((
                words.get(1).copied().unwrap_or("").to_owned(),
                words[2..].join(" "),
                request.to_owned(),
            )),
            ("WRITE", None) => {
                let item = words.get(1).copied().unwrap_or("").to_owned();
                let write = (item, words[2..].join(" "), request.to_owned());
                if !self.commit(&mut state, index, vec![write]) {
                    return failed("READONLY");
                }
            }
            ("COMMIT", _) => {
                let writes = transaction
                    .take()
                    .map(|open| open.writes)
                    .unwrap_or_default();
                if !writes.is_empty() && !self.commit(&mut state, index, writes) {
                    return failed("READONLY");
                }
            }
            _ => return failed("MALFORMED"),
        }
        state.receipts += 1;
        let receipt = format!("{id}.{}", state.receipts);
        let percent = state.lost_percent;
        let is_lost = transaction.is_none() && is_primary && state.random(100) < percent;
        state.lost_answers += u64::from(is_lost);
        state.runs.push(Run {
            at: Instant::now(),
            server: id.to_owned(),
            request: request.to_owned(),
            text: text.to_owned(),
            is_answered: !is_lost,
        });
        (format!("{rows}COMPLETE {receipt}\r\n"), is_lost)
    }

    /// Appends a commit to the log of a primary and of the replicas that receive it.
    fn commit(
        &self,
        state: &mut MutexGuard<'_, GroupState>,
        index: usize,
        writes: Vec<(String, String, String)>,
    ) -> bool {
        let (term, (_, number)) = (state.servers[index].term, state.servers[index].position());
        let requests: Vec<String> = writes.iter().map(|write| write.2.clone()).collect();
        let position = (term, number + 1);
        for (item, data, _) in writes {
            state.servers[index].log.push(Entry {
                position,
                item,
                data,
                requests: requests.clone(),
            });
        }
        let log = state.servers[index].log.clone();
        let mut has_replica = false;
        for (at, server) in state.servers.iter_mut().enumerate() {
            if at != index && server.is_up && server.fenced_term == 0 && server.term == term {
                server.log = log.clone();
                has_replica = true;
            }
        }
        has_replica
    }

    fn control(&self, id: &str, words: &[&str]) -> (String, bool) {
        if !self.occupy(id, Duration::from_millis(1)) {
            return (format!("ERROR BUSY {id}\r\n"), false);
        }
        let mut is_changed = false;
        let row = {
            let mut state = self.locked();
            let Some(index) = state.index(id) else {
                return (format!("ERROR FAILED {id}\r\n"), false);
            };
            let server = &mut state.servers[index];
            let term = words.get(1).and_then(|term| term.parse().ok()).unwrap_or(0);
            match words[0] {
                "PAUSE" if !server.is_primary && term > server.term => server.fenced_term = term,
                "STEPDOWN" if server.is_primary && term > server.term => {
                    server.is_primary = false;
                    is_changed = true;
                }
                _ => {}
            }
            let role = if server.is_primary {
                "primary"
            } else {
                "replica"
            };
            let position = server.position();
            format!(
                "ROW {role} {} {}.{} {} 0 {} {}\r\nCOMPLETE -\r\n",
                server.term,
                position.0,
                position.1,
                server.fenced_term,
                server.busy_slots,
                server.connections
            )
        };
        if is_changed {
            self.register(id);
        }
        (row, false)
    }
}

/// The proxies under test, started with the command of the deploy file.
pub struct Proxies {
    pub processes: Vec<(std::process::Child, ProxyPaths)>,
    folder: std::path::PathBuf,
}

#[derive(Clone)]
pub struct ProxyPaths {
    pub node: String,
    pub settings: std::path::PathBuf,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// Returns free addresses below the range from which the kernel takes ports for connections.
fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let first = 15_000 + (std::process::id() % 150) as u16 * 100;
    let ports = (first..32_000).chain(12_000..first);
    let addrs = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let is_free = |addr: &SocketAddr| TcpListener::bind(addr).is_ok();
    addrs.filter(is_free).take(count).collect()
}

impl Proxies {
    pub fn start(count: usize, store: SocketAddr, promotion: SocketAddr) -> Self {
        let folder =
            std::env::temp_dir().join(format!("endivereach-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut proxies = Self {
            processes: Vec::new(),
            folder,
        };
        let addrs = free_addrs(5 * count);
        for (number, addrs) in addrs.chunks(5).enumerate() {
            let node = format!("front-zone-a-{}", number + 1);
            let [callers, ready, peers, feed, metrics] = addrs[..] else {
                continue;
            };
            let settings = proxies.folder.join(format!("{node}.toml"));
            let text = format!(
                "node = \"{node}\"\nzone = \"zone-a\"\nregion = \"region\"\ncallers_addr = \"{callers}\"\nready_addr = \"{ready}\"\npeers_addr = \"{peers}\"\nfeed_addr = \"{feed}\"\nmetrics_addr = \"{metrics}\"\nstore_addr = \"{store}\"\npromotion_addr = \"{promotion}\"\ngrace_s = 6\nroutes_in_force_ms = 3000\ncpu_share = 0.25\n"
            );
            std::fs::write(&settings, text).expect("the settings file");
            let paths = ProxyPaths {
                node,
                settings,
                callers,
                ready,
            };
            let process = spawn(&paths, &proxies.folder);
            proxies.processes.push((process, paths));
        }
        proxies
    }

    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }

    /// Waits until every proxy reports that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let addrs = self.processes.iter().map(|(_, paths)| paths.ready);
            if addrs.map(is_ready).all(|ready| ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Kills and starts a proxy again.
    pub fn restart(&mut self, index: usize) {
        let (process, paths) = &mut self.processes[index];
        let _ = process.kill();
        let _ = process.wait();
        let paths = paths.clone();
        self.processes[index].0 = spawn(&paths, &self.folder);
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        for (process, _) in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn spawn(paths: &ProxyPaths, folder: &std::path::Path) -> std::process::Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{}.log", paths.node)))
        .expect("a log file");
    std::process::Command::new("target/release/endivereach-platform")
        .env("ENDIVEREACH_CONFIG", &paths.settings)
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the proxy, built as the deploy file says")
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream
        .write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        .is_err()
    {
        return false;
    }
    let mut answer = [0; 64];
    let read = stream.read(&mut answer).unwrap_or(0);
    answer[..read].starts_with(b"HTTP/1.1 200")
}

/// A consumer's session.
pub struct Session {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

/// The answer to a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done(String),
    Error(String),
    /// The connection ended, or nothing came in time.
    None,
}

impl Session {
    pub fn start(addr: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut session = Self {
            output: stream.try_clone().ok()?,
            input: BufReader::new(stream),
        };
        let start = format!("START {database} desk\r\n");
        session.output.write_all(start.as_bytes()).ok()?;
        let mut line = String::new();
        session.input.read_line(&mut line).ok()?;
        line.starts_with("READY I").then_some(session)
    }

    /// Sends a statement and waits for its answer for the time budget.
    pub fn query(&mut self, request: &str, text: &str, budget: Duration) -> Answer {
        let _ = self.output.set_read_timeout(Some(budget));
        let message = format!("QUERY {request} {text}\r\n");
        if self.output.write_all(message.as_bytes()).is_err() {
            return Answer::None;
        }
        let mut answer = Answer::None;
        loop {
            let mut line = String::new();
            match self.input.read_line(&mut line) {
                Ok(bytes) if bytes > 0 => {}
                _ => return Answer::None,
            }
            let (word, rest) = line
                .trim_end()
                .split_once(' ')
                .unwrap_or((line.trim_end(), ""));
            match word {
                "COMPLETE" => answer = Answer::Done(rest.to_owned()),
                "ERROR" => answer = Answer::Error(rest.to_owned()),
                "READY" => return answer,
                _ => {}
            }
        }
    }
}

/// Returns the configuration with one database for each kind of route.
pub fn config(version: u64, service: &str, max_connections: usize) -> String {
    let route = |name: &str, kind: &str, timeout_ms: u64, age: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{name}\",\"pathPrefix\":\"/\",\"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"latencyGoalMs\":250,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2{age}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConns\":{max_connections},\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}}}",
        route("bookings", "primary", 800, ""),
        route(
            "manifests",
            "read_your_writes",
            800,
            ",\"maxStalenessMs\":2500"
        ),
        route(
            "views",
            "bounded_staleness",
            1500,
            ",\"maxStalenessMs\":1500"
        ),
    )
}
