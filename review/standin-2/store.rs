//! A stand-in for the platform: its object store and its promotion service.
//!
//! Each machine reaches it through listeners of its own, which are that machine's path. A path can
//! be silent: then no answer that becomes due on it is sent, and a connection on which an answer was
//! lost returns nothing further. New connections after that are served again.

use crate::json::{self, Json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object, whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
}

#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub machine: usize,
    pub token: u64,
    pub service: String,
    pub id: String,
}

/// One machine's path to the platform.
#[derive(Default)]
pub struct PathState {
    pub silent: AtomicBool,
}

/// Decides on a promotion order: whether the server runs. Called when the order has arrived.
pub type Promote = dyn Fn(&Order) -> bool + Send + Sync;
/// Called when a connection for a promotion order has been accepted.
pub type Accepted = dyn Fn(usize) + Send + Sync;

pub struct Platform {
    state: Mutex<State>,
    changed: Condvar,
    pub paths: Vec<Arc<PathState>>,
    pub orders: Mutex<Vec<Order>>,
    pub promote: Mutex<Option<Arc<Promote>>>,
    pub accepted: Mutex<Option<Arc<Accepted>>>,
}

impl Platform {
    pub fn new(machines: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State { revision: 500, ..State::default() }),
            changed: Condvar::new(),
            paths: (0..machines).map(|_| Arc::default()).collect(),
            orders: Mutex::default(),
            promote: Mutex::new(None),
            accepted: Mutex::new(None),
        })
    }

    /// Opens a machine's path to the store.
    pub fn listen_store(self: &Arc<Self>, machine: usize) -> SocketAddr {
        self.listen(machine, false)
    }

    /// Opens a machine's path to the promotion service.
    pub fn listen_cloud(self: &Arc<Self>, machine: usize) -> SocketAddr {
        self.listen(machine, true)
    }

    fn listen(self: &Arc<Self>, machine: usize, is_cloud: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("its address");
        let platform = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_cloud {
                    let hook = platform.accepted.lock().unwrap().clone();
                    if let Some(hook) = hook {
                        hook(machine);
                    }
                }
                let platform = Arc::clone(&platform);
                thread::spawn(move || {
                    let _ = platform.serve(machine, stream);
                });
            }
        });
        addr
    }

    /// Writes an object as the operator or a server does. Returns when it was acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let spec = json::parse(spec).expect("valid JSON");
        let mut state = self.state.lock().unwrap();
        state.write(kind, name, spec);
        self.changed.notify_all();
        Instant::now()
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.delete(kind, name);
        self.changed.notify_all();
    }

    fn serve(&self, machine: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        let path = Arc::clone(&self.paths[machine]);
        while let Some(request) = read_request(&mut reader)? {
            let was_silent = path.silent.load(Ordering::SeqCst);
            let (status, body) = if was_silent {
                (0, String::new())
            } else {
                thread::sleep(ANSWER_TIME);
                self.handle(machine, &request)
            };
            if was_silent || path.silent.load(Ordering::SeqCst) {
                // The answer is lost, and nothing more is sent on this connection.
                let mut rest = Vec::new();
                reader.read_to_end(&mut rest)?;
                return Ok(());
            }
            write!(
                writer,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    fn handle(&self, machine: usize, request: &Request) -> (u16, String) {
        if request.path == "/promote" {
            return self.order(machine, request);
        }
        let rest = request.path.strip_prefix("/-/objects/").unwrap_or("");
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        if request.method == "GET" && name.is_empty() {
            return match request.query.get("watch").and_then(|from| from.parse().ok()) {
                Some(from) => self.watch(request, kind, from),
                None => (200, self.state.lock().unwrap().list(kind)),
            };
        }
        let mut state = self.state.lock().unwrap();
        let answer = state.call(request, kind, name);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, request: &Request, kind: &str, from: u64) -> (u16, String) {
        let wait_ms = request.query.get("waitMs").and_then(|wait| wait.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(1_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, of, _, _)| *revision > from && of == kind)
                .map(|(_, _, object, deleted)| format!("{{\"object\":{object},\"deleted\":{deleted}}}"))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn order(&self, machine: usize, request: &Request) -> (u16, String) {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let text = |name: &str| {
            let text = request.body.get(name).and_then(Json::text);
            text.unwrap_or_default().to_owned()
        };
        let order = Order {
            at: Instant::now(),
            machine,
            token: header("endivereach-fencing-token").parse().unwrap_or(0),
            service: text("service"),
            id: text("id"),
        };
        self.orders.lock().unwrap().push(order.clone());
        let promote = self.promote.lock().unwrap().clone();
        match promote {
            Some(promote) if promote(&order) => (200, "{}".into()),
            _ => (409, "{}".into()),
        }
    }
}

fn name_of<'r>(request: &'r Request, path_name: &'r str) -> &'r str {
    let meta = request.body.get("meta");
    let name = meta.and_then(|meta| meta.get("name")).and_then(Json::text);
    name.unwrap_or(path_name)
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":{},\"revision\":{},\"createRevision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        json::quote(name),
        object.revision,
        object.created,
        object.spec.write()
    )
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Json) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if known.spec == spec {
                return encode(name, known);
            }
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |known| known.created);
        let object = Object { revision, created, spec };
        let text = encode(name, &object);
        self.objects.insert(key, object);
        self.events.push((revision, kind.into(), text.clone(), false));
        text
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        let text = encode(name, &object);
        self.events.push((self.revision, kind.into(), text.clone(), true));
        Some(text)
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = objects.map(|((_, name), object)| encode(name, object)).collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn call(&mut self, request: &Request, kind: &str, path_name: &str) -> (u16, String) {
        let name = name_of(request, path_name).to_owned();
        let known = self.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let expected = request.body.get("meta").and_then(|meta| meta.get("revision"));
        let expected = expected.and_then(Json::number);
        let spec = request.body.get("spec").cloned().unwrap_or(Json::Null);
        match (request.method.as_str(), known) {
            ("GET" | "PUT" | "DELETE", None) => (404, "{}".into()),
            ("GET", Some(known)) => (200, encode(&name, &known)),
            ("POST", Some(known)) => (409, encode(&name, &known)),
            ("POST", None) => (201, self.write(kind, &name, spec)),
            ("PUT", Some(known)) if expected.is_some_and(|e| e != known.revision) => {
                (409, encode(&name, &known))
            }
            ("PUT", Some(_)) => (200, self.write(kind, &name, spec)),
            ("DELETE", Some(_)) => (200, self.delete(kind, &name).unwrap_or_default()),
            _ => (405, "{}".into()),
        }
    }
}

struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: Json,
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        headers,
        body: json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null),
    }))
}
