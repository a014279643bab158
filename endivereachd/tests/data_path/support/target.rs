//! A tiny target: two columns a table, transactions by buffering, and faults on demand.

use endivereach_core::ids::Position;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::frame::read_frame;
use endivereach_wire::pg::frame::read_startup;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::reply::put_authenticated;
use endivereach_wire::pg::reply::put_complete;
use endivereach_wire::pg::reply::put_key;
use endivereach_wire::pg::reply::put_parameter;
use endivereach_wire::pg::reply::put_ready;
use endivereach_wire::pg::startup::FirstPacket;
use endivereach_wire::pg::startup::parse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const FRAME_MAX_BYTES: usize = 1 << 24;

/// A row with the index of the commit that wrote it.
#[derive(Clone, Debug)]
pub struct Row {
    pub value: String,
    pub index: u64,
}

type Table = BTreeMap<String, Row>;

/// What the servers of a group have in common.
#[derive(Debug, Default)]
pub struct Data {
    pub tables: BTreeMap<String, Table>,
    pub index: u64,
}

impl Data {
    pub fn position(&self) -> Position {
        Position::new(1, self.index)
    }

    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        Some(self.tables.get(table)?.get(key)?.value.clone())
    }
}

/// What goes wrong, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The commit takes effect and the connection breaks.
    BreakAfterCommit,
    /// The connection breaks before the commit takes effect.
    BreakBeforeCommit,
    /// The connection goes silent at the next statement.
    GoSilent,
    /// The connection breaks at the next statement.
    BreakAtStatement,
}

/// How one target behaves.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// The index that reads are held at, for a replica that lags.
    pub held_at: Option<u64>,
    /// The next fault.
    pub fault: Option<Fault>,
    /// Whether writes are refused.
    pub is_replica: bool,
    /// What each statement was, in order.
    pub statements: Vec<String>,
}

/// A running target.
pub struct Target {
    pub addr: SocketAddr,
    pub data: Arc<Mutex<Data>>,
    pub behaviour: Arc<Mutex<Behaviour>>,
    pub connections: Arc<AtomicUsize>,
    pub cancelled: Arc<Mutex<Vec<i32>>>,
}

impl Target {
    pub fn bind(data: Arc<Mutex<Data>>, is_replica: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = Self {
            addr: listener.local_addr().unwrap(),
            data,
            behaviour: Arc::new(Mutex::new(Behaviour {
                is_replica,
                ..Behaviour::default()
            })),
            connections: Arc::default(),
            cancelled: Arc::default(),
        };
        let (data, behaviour) = (target.data.clone(), target.behaviour.clone());
        let (connections, cancelled) = (target.connections.clone(), target.cancelled.clone());
        thread::spawn(move || {
            let next_pid = AtomicI32::new(1);
            for stream in listener.incoming() {
                let stream = stream.unwrap();
                stream.set_nodelay(true).unwrap();
                let pid = next_pid.fetch_add(1, Ordering::SeqCst);
                let mut serving = Serving {
                    stream,
                    data: data.clone(),
                    behaviour: behaviour.clone(),
                    cancelled: cancelled.clone(),
                    pid,
                    status: b'I',
                    written: Vec::new(),
                    parameters: Vec::new(),
                    statements: HashMap::new(),
                    portals: HashMap::new(),
                    out: Vec::new(),
                    is_skipping: false,
                    is_copying: false,
                    copies_in_batch: false,
                };
                let connections = connections.clone();
                thread::spawn(move || {
                    connections.fetch_add(1, Ordering::SeqCst);
                    let _ = serving.serve();
                    connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        target
    }

    pub fn behave(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().unwrap()
    }
}

struct Serving {
    stream: TcpStream,
    data: Arc<Mutex<Data>>,
    behaviour: Arc<Mutex<Behaviour>>,
    cancelled: Arc<Mutex<Vec<i32>>>,
    pid: i32,
    status: u8,
    written: Vec<(String, String, String)>,
    parameters: Vec<String>,
    statements: HashMap<Vec<u8>, String>,
    portals: HashMap<Vec<u8>, String>,
    out: Vec<u8>,
    is_skipping: bool,
    is_copying: bool,
    copies_in_batch: bool,
}

/// The connection ends.
struct Ended;

impl From<std::io::Error> for Ended {
    fn from(_: std::io::Error) -> Self {
        Self
    }
}

impl Serving {
    fn serve(&mut self) -> Result<(), Ended> {
        let packet = parse(&read_startup(&mut self.stream)?).ok_or(Ended)?;
        if let FirstPacket::Cancel { pid, .. } = packet {
            self.cancelled.lock().unwrap().push(pid);
            return Ok(());
        }
        put_authenticated(&mut self.out);
        put_parameter(&mut self.out, "server_version", "16.9");
        put_key(&mut self.out, self.pid, 0);
        put_ready(&mut self.out, b'I');
        loop {
            self.stream.write_all(&self.out)?;
            self.out.clear();
            let frame = read_frame(&mut self.stream, FRAME_MAX_BYTES)?;
            let body = &frame.body[..];
            self.is_copying &= frame.tag != b'f';
            if self.is_skipping && frame.tag != b'S' {
                continue;
            }
            match frame.tag {
                b'S' if self.is_copying => {}
                b'Q' => {
                    let sql = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
                    self.run(&sql, true)?;
                    if !self.is_copying {
                        put_ready(&mut self.out, self.status);
                    }
                }
                b'P' => {
                    let mut parts = body.split(|&byte| byte == 0);
                    let name = parts.next().unwrap().to_vec();
                    let sql = String::from_utf8_lossy(parts.next().unwrap()).into_owned();
                    if self.statements.insert(name, sql).is_some() {
                        self.fail("42P05", "prepared statement already exists");
                    } else {
                        put_frame(&mut self.out, b'1', &[]);
                    }
                }
                b'B' => self.bind(body),
                b'D' => self.describe(body),
                b'E' => {
                    let name = body.split(|&byte| byte == 0).next().unwrap();
                    let sql = self.portals.get(name).cloned().unwrap_or_default();
                    self.run(&sql, false)?;
                }
                b'S' => {
                    self.is_skipping = false;
                    put_ready(&mut self.out, self.status);
                }
                b'C' => put_frame(&mut self.out, b'3', &[]),
                b'f' => {
                    self.fail("57014", "COPY from stdin failed");
                    self.is_skipping = self.copies_in_batch;
                    if !self.copies_in_batch {
                        put_ready(&mut self.out, self.status);
                    }
                }
                b'X' => return Ok(()),
                _ => {}
            }
            if self.status == b'E' && frame.tag != b'Q' && frame.tag != b'S' {
                self.is_skipping = true;
            }
        }
    }

    fn bind(&mut self, body: &[u8]) {
        let portal_end = body.iter().position(|&byte| byte == 0).unwrap();
        let portal = body[..portal_end].to_vec();
        let rest = &body[portal_end + 1..];
        let name_end = rest.iter().position(|&byte| byte == 0).unwrap();
        let Some(mut sql) = self.statements.get(&rest[..name_end]).cloned() else {
            self.fail("26000", "no such statement");
            return;
        };
        let mut at = name_end + 1;
        let number = |at: usize| u16::from_be_bytes([rest[at], rest[at + 1]]) as usize;
        at += 2 + 2 * number(at);
        let count = number(at);
        at += 2;
        for index in 1..=count {
            let length = u32::from_be_bytes(rest[at..at + 4].try_into().unwrap()) as usize;
            let value = String::from_utf8_lossy(&rest[at + 4..at + 4 + length]).into_owned();
            sql = sql.replace(&format!("${index}"), &format!("'{value}'"));
            at += 4 + length;
        }
        self.portals.insert(portal, sql);
        put_frame(&mut self.out, b'2', &[]);
    }

    fn describe(&mut self, body: &[u8]) {
        let name = &body[1..body.len() - 1];
        let known = match body[0] {
            b'S' => self.statements.get(name),
            _ => self.portals.get(name),
        };
        let sql = known.cloned().unwrap_or_default();
        if body[0] == b'S' {
            let count = sql.matches('$').count() as u16;
            let mut types = count.to_be_bytes().to_vec();
            for _ in 0..count {
                types.extend_from_slice(&25u32.to_be_bytes());
            }
            put_frame(&mut self.out, b't', &types);
        }
        if sql.starts_with("SELECT") || sql.contains("RETURNING") {
            put_shape(&mut self.out);
        } else {
            put_frame(&mut self.out, b'n', &[]);
        }
    }

    fn fail(&mut self, code: &'static str, message: &str) {
        ErrorReply::new(code, message, "").put(&mut self.out);
        self.is_skipping = true;
        if self.status == b'T' {
            self.status = b'E';
        }
    }

    fn run(&mut self, sql: &str, is_simple: bool) -> Result<(), Ended> {
        let words: Vec<&str> = sql.split_whitespace().collect();
        let first = words.first().copied().unwrap_or("");
        let fault = {
            let mut behaviour = self.behaviour.lock().unwrap();
            behaviour.statements.push(sql.to_owned());
            let applies = match behaviour.fault {
                Some(Fault::BreakAfterCommit | Fault::BreakBeforeCommit) => first == "COMMIT",
                Some(Fault::GoSilent | Fault::BreakAtStatement) => true,
                None => false,
            };
            behaviour.fault.take_if(|_| applies)
        };
        match fault {
            Some(Fault::GoSilent) => {
                thread::sleep(Duration::from_secs(3600));
                return Err(Ended);
            }
            Some(Fault::BreakBeforeCommit | Fault::BreakAtStatement) => return Err(Ended),
            _ => {}
        }
        if self.status == b'E' && !matches!(first, "COMMIT" | "ROLLBACK") {
            self.fail("25P02", "the transaction is aborted");
            self.is_skipping = !is_simple;
            return Ok(());
        }
        match first {
            "BEGIN" | "START" => self.status = b'T',
            "COMMIT" if self.status == b'E' => {
                self.written.clear();
                self.status = b'I';
                put_complete(&mut self.out, "ROLLBACK");
                return Ok(());
            }
            "COMMIT" => {
                self.status = b'I';
                self.commit();
                if fault == Some(Fault::BreakAfterCommit) {
                    return Err(Ended);
                }
            }
            "ROLLBACK" => {
                self.written.clear();
                self.status = b'I';
            }
            "COPY" => {
                self.is_copying = true;
                self.copies_in_batch = !is_simple;
                put_frame(&mut self.out, b'G', &[0, 0, 0]);
                return Ok(());
            }
            "SET" => self.parameters.push(sql.to_owned()),
            "DISCARD" => {
                self.parameters.clear();
                self.statements.clear();
            }
            "SELECT" => return self.select(sql, &words, is_simple),
            "INSERT" | "UPDATE" => {
                self.write(sql, &words, is_simple);
                return Ok(());
            }
            _ => {
                self.fail("42601", "what is this?");
                self.is_skipping = !is_simple;
                return Ok(());
            }
        }
        put_complete(&mut self.out, first);
        Ok(())
    }

    fn commit(&mut self) {
        let mut data = self.data.lock().unwrap();
        if !self.written.is_empty() {
            data.index += 1;
        }
        let index = data.index;
        for (table, key, value) in self.written.drain(..) {
            let table = data.tables.entry(table).or_default();
            table.insert(key, Row { value, index });
        }
        let position = data.position().to_string();
        put_parameter(&mut self.out, PARAMETER_POSITION, &position);
    }

    fn select(&mut self, sql: &str, words: &[&str], is_simple: bool) -> Result<(), Ended> {
        if is_simple {
            put_shape(&mut self.out);
        }
        let held_at = self.behaviour.lock().unwrap().held_at;
        let data = self.data.lock().unwrap();
        let index = held_at.unwrap_or(data.index);
        let position = Position::new(1, index).to_string();
        put_parameter(&mut self.out, PARAMETER_POSITION, &position);
        let mut rows = Vec::new();
        match words.get(1).copied() {
            Some("pid") => rows.push(self.pid.to_string()),
            Some("parameters") => rows.push(self.parameters.join(";")),
            Some("sleep") => {
                let sleep_ms = words[2].parse().unwrap();
                thread::sleep(Duration::from_millis(sleep_ms));
                rows.push("slept".to_owned());
            }
            Some("rows") => {
                let count: usize = words[2].parse().unwrap();
                let width: usize = words[3].parse().unwrap();
                rows.resize(count, "x".repeat(width));
            }
            _ => {
                let table = words[3];
                let key = sql.split('=').nth(1).map(literal).unwrap_or_default();
                let own = self.written.iter().rev();
                let own = own.filter(|(t, k, _)| t == table && k == &key);
                let stored = data.tables.get(table).and_then(|table| table.get(&key));
                let stored = stored.filter(|row| row.index <= index);
                rows.extend(
                    own.map(|(_, _, value)| value.clone())
                        .chain(stored.map(|row| row.value.clone()))
                        .next(),
                );
            }
        }
        drop(data);
        for row in &rows {
            put_row(&mut self.out, row);
            if self.out.len() > 1 << 16 {
                self.stream.write_all(&self.out)?;
                self.out.clear();
            }
        }
        put_complete(&mut self.out, &format!("SELECT {}", rows.len()));
        Ok(())
    }

    fn write(&mut self, sql: &str, words: &[&str], is_simple: bool) {
        if self.behaviour.lock().unwrap().is_replica {
            self.fail("25006", "cannot write on a replica");
            self.is_skipping = !is_simple;
            return;
        }
        let is_insert = words[0] == "INSERT";
        let table = words[if is_insert { 2 } else { 1 }].to_owned();
        let (key, value) = if is_insert {
            let values = sql.split("VALUES").nth(1).unwrap();
            let (key, value) = values.split_once(',').unwrap();
            (literal(key), literal(value))
        } else {
            let mut parts = sql.split('=').skip(1);
            let value = parts.next().unwrap();
            let value = literal(value.split("WHERE").next().unwrap());
            (literal(parts.next().unwrap()), value)
        };
        let exists = {
            let data = self.data.lock().unwrap();
            data.value(&table, &key).is_some()
                || self
                    .written
                    .iter()
                    .any(|(t, k, _)| t == &table && k == &key)
        };
        if is_insert && exists {
            self.fail("23505", "duplicate key");
            self.is_skipping = !is_simple;
            return;
        }
        if is_insert || exists {
            self.written.push((table, key, value.clone()));
        }
        if sql.contains("RETURNING") {
            if is_simple {
                put_shape(&mut self.out);
            }
            put_row(&mut self.out, &value);
        }
        if self.status == b'I' {
            self.commit();
        }
        let tag = match (is_insert, exists) {
            (true, _) => "INSERT 0 1",
            (false, true) => "UPDATE 1",
            (false, false) => "UPDATE 0",
        };
        put_complete(&mut self.out, tag);
    }
}

/// Takes quotes and brackets off a literal.
fn literal(text: &str) -> String {
    let text = text.split("RETURNING").next().unwrap();
    text.trim_matches(|c: char| c.is_whitespace() || "()';".contains(c))
        .to_owned()
}

/// Puts the shape of one text column.
fn put_shape(out: &mut Vec<u8>) {
    let mut body = vec![0, 1, b'v', 0];
    body.extend_from_slice(&[0, 0, 0, 0, 0, 0]);
    body.extend_from_slice(&25u32.to_be_bytes());
    body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
    put_frame(out, b'T', &body);
}

fn put_row(out: &mut Vec<u8>, value: &str) {
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value.as_bytes());
    put_frame(out, b'D', &body);
}
