//! A minimal target that implements the PostgreSQL protocol: tables of two columns, transactions
//! that buffer their writes until the commit, and injected faults.

use endivereach_core::ids::Position;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::frame::read_frame;
use endivereach_wire::pg::frame::read_startup;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::reply::put_authentication_ok;
use endivereach_wire::pg::reply::put_backend_key_data;
use endivereach_wire::pg::reply::put_command_complete;
use endivereach_wire::pg::reply::put_parameter_status;
use endivereach_wire::pg::reply::put_ready_for_query;
use endivereach_wire::pg::startup::FirstPacket;
use endivereach_wire::pg::startup::parse_first_packet;
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

/// The committed data, which the servers of a group share.
#[derive(Debug, Default)]
pub struct Data {
    pub tables: BTreeMap<String, Table>,
    /// The index of the last commit that wrote something.
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

/// A fault that occurs once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The commit takes effect and the connection breaks.
    BreakAfterCommit,
    /// The connection breaks before the commit takes effect.
    BreakBeforeCommit,
    /// The connection stays open, but the next statement gets no answer.
    HangAtStatement,
    /// The connection breaks at the next statement.
    BreakAtStatement,
}

/// The role and the faults of one target, and the statements that it received.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// The commit index that reads are limited to, which simulates a lagging replica.
    pub frozen_index: Option<u64>,
    /// The fault that the next matching statement triggers.
    pub fault: Option<Fault>,
    /// Whether writes are rejected with SQLSTATE 25006.
    pub is_replica: bool,
    /// A statement whose reply is sent twice, once, with the delay of the second one.
    pub repeated_reply: Option<(&'static str, Duration)>,
    /// A statement after whose reply a notice and a parameter are sent, once, with their delay.
    pub unasked_notice: Option<(&'static str, Duration)>,
    /// Whether the last message of a login is sent twice.
    pub repeats_login: bool,
    /// The text of every statement, in order of arrival.
    pub statements: Vec<String>,
}

/// A running target.
pub struct Target {
    pub addr: SocketAddr,
    pub data: Arc<Mutex<Data>>,
    pub behaviour: Arc<Mutex<Behaviour>>,
    /// The number of open connections.
    pub open_connections: Arc<AtomicUsize>,
    /// The process ids of the cancel requests received.
    pub cancelled_pids: Arc<Mutex<Vec<i32>>>,
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
            open_connections: Arc::default(),
            cancelled_pids: Arc::default(),
        };
        let (data, behaviour) = (target.data.clone(), target.behaviour.clone());
        let (open_connections, cancelled_pids) = (
            target.open_connections.clone(),
            target.cancelled_pids.clone(),
        );
        thread::spawn(move || {
            let next_pid = AtomicI32::new(1);
            for stream in listener.incoming() {
                let stream = stream.unwrap();
                stream.set_nodelay(true).unwrap();
                let pid = next_pid.fetch_add(1, Ordering::SeqCst);
                let mut connection = Connection {
                    stream,
                    data: data.clone(),
                    behaviour: behaviour.clone(),
                    cancelled_pids: cancelled_pids.clone(),
                    pid,
                    transaction_status: b'I',
                    uncommitted_writes: Vec::new(),
                    parameters: Vec::new(),
                    prepared_statements: HashMap::new(),
                    portals: HashMap::new(),
                    output: Vec::new(),
                    is_skipping: false,
                    is_copying: false,
                    is_extended_copy: false,
                };
                let open_connections = open_connections.clone();
                thread::spawn(move || {
                    open_connections.fetch_add(1, Ordering::SeqCst);
                    let _ = connection.serve();
                    open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        target
    }

    pub fn lock_behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().unwrap()
    }
}

struct Connection {
    stream: TcpStream,
    data: Arc<Mutex<Data>>,
    behaviour: Arc<Mutex<Behaviour>>,
    cancelled_pids: Arc<Mutex<Vec<i32>>>,
    pid: i32,
    transaction_status: u8,
    /// Table, key and value of each write of the open transaction.
    uncommitted_writes: Vec<(String, String, String)>,
    parameters: Vec<String>,
    prepared_statements: HashMap<Vec<u8>, String>,
    portals: HashMap<Vec<u8>, String>,
    output: Vec<u8>,
    /// Whether messages are discarded up to the next Sync, because of an error.
    is_skipping: bool,
    is_copying: bool,
    /// Whether the last COPY was run by the extended query protocol.
    is_extended_copy: bool,
}

/// The connection was closed by its client, by an I/O error or by an injected fault.
struct Disconnected;

impl From<std::io::Error> for Disconnected {
    fn from(_: std::io::Error) -> Self {
        Self
    }
}

impl Connection {
    fn serve(&mut self) -> Result<(), Disconnected> {
        let packet = parse_first_packet(&read_startup(&mut self.stream)?).ok_or(Disconnected)?;
        if let FirstPacket::Cancel { pid, .. } = packet {
            self.cancelled_pids.lock().unwrap().push(pid);
            return Ok(());
        }
        put_authentication_ok(&mut self.output);
        put_parameter_status(&mut self.output, "server_version", "16.9");
        put_backend_key_data(&mut self.output, self.pid, 0);
        put_ready_for_query(&mut self.output, b'I');
        if self.behaviour.lock().unwrap().repeats_login {
            put_ready_for_query(&mut self.output, b'I');
        }
        loop {
            self.stream.write_all(&self.output)?;
            self.repeat_reply()?;
            self.output.clear();
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
                        put_ready_for_query(&mut self.output, self.transaction_status);
                    }
                }
                b'P' => {
                    let mut parts = body.split(|&byte| byte == 0);
                    let name = parts.next().unwrap().to_vec();
                    let sql = String::from_utf8_lossy(parts.next().unwrap()).into_owned();
                    if self.prepared_statements.insert(name, sql).is_some() {
                        self.put_error("42P05", "prepared statement already exists");
                    } else {
                        put_frame(&mut self.output, b'1', &[]);
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
                    put_ready_for_query(&mut self.output, self.transaction_status);
                }
                b'C' => put_frame(&mut self.output, b'3', &[]),
                b'f' => {
                    self.put_error("57014", "COPY from stdin failed");
                    self.is_skipping = self.is_extended_copy;
                    if !self.is_extended_copy {
                        put_ready_for_query(&mut self.output, self.transaction_status);
                    }
                }
                b'X' => return Ok(()),
                _ => {}
            }
            if self.transaction_status == b'E' && frame.tag != b'Q' && frame.tag != b'S' {
                self.is_skipping = true;
            }
        }
    }

    /// Sends the reply to the last statement again, or a notice, if the test asks for it.
    fn repeat_reply(&mut self) -> Result<(), Disconnected> {
        let (repeated, notice) = {
            let mut behaviour = self.behaviour.lock().unwrap();
            let last = behaviour.statements.last().cloned().unwrap_or_default();
            let is_last = |fault: &mut (&str, Duration)| fault.0 == last;
            let repeated = behaviour.repeated_reply.take_if(is_last);
            (repeated, behaviour.unasked_notice.take_if(is_last))
        };
        if let Some((_, delay)) = repeated {
            thread::sleep(delay);
            self.stream.write_all(&self.output)?;
        }
        if let Some((_, delay)) = notice {
            thread::sleep(delay);
            let mut unasked = Vec::new();
            put_frame(&mut unasked, b'N', b"SWARNING\0C01000\0Mbusy\0\0");
            put_parameter_status(&mut unasked, "TimeZone", "UTC");
            self.stream.write_all(&unasked)?;
        }
        Ok(())
    }

    fn bind(&mut self, body: &[u8]) {
        let portal_end = body.iter().position(|&byte| byte == 0).unwrap();
        let portal = body[..portal_end].to_vec();
        let rest = &body[portal_end + 1..];
        let name_end = rest.iter().position(|&byte| byte == 0).unwrap();
        let Some(mut sql) = self.prepared_statements.get(&rest[..name_end]).cloned() else {
            self.put_error("26000", "no such statement");
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
        put_frame(&mut self.output, b'2', &[]);
    }

    fn describe(&mut self, body: &[u8]) {
        let name = &body[1..body.len() - 1];
        let statement = match body[0] {
            b'S' => self.prepared_statements.get(name),
            _ => self.portals.get(name),
        };
        let sql = statement.cloned().unwrap_or_default();
        if body[0] == b'S' {
            let count = sql.matches('$').count() as u16;
            let mut types = count.to_be_bytes().to_vec();
            for _ in 0..count {
                types.extend_from_slice(&25u32.to_be_bytes());
            }
            put_frame(&mut self.output, b't', &types);
        }
        if sql.starts_with("SELECT") || sql.contains("RETURNING") {
            put_row_description(&mut self.output);
        } else {
            put_frame(&mut self.output, b'n', &[]);
        }
    }

    fn put_error(&mut self, sqlstate: &'static str, message: &str) {
        ErrorReply::new(sqlstate, message, "").put(&mut self.output);
        self.is_skipping = true;
        if self.transaction_status == b'T' {
            self.transaction_status = b'E';
        }
    }

    fn run(&mut self, sql: &str, is_simple: bool) -> Result<(), Disconnected> {
        let words: Vec<&str> = sql.split_whitespace().collect();
        let first = words.first().copied().unwrap_or("");
        let fault = {
            let mut behaviour = self.behaviour.lock().unwrap();
            behaviour.statements.push(sql.to_owned());
            let applies = match behaviour.fault {
                Some(Fault::BreakAfterCommit | Fault::BreakBeforeCommit) => first == "COMMIT",
                Some(Fault::HangAtStatement | Fault::BreakAtStatement) => true,
                None => false,
            };
            behaviour.fault.take_if(|_| applies)
        };
        match fault {
            Some(Fault::HangAtStatement) => {
                thread::sleep(Duration::from_secs(3600));
                return Err(Disconnected);
            }
            Some(Fault::BreakBeforeCommit | Fault::BreakAtStatement) => return Err(Disconnected),
            _ => {}
        }
        if self.transaction_status == b'E' && !matches!(first, "COMMIT" | "ROLLBACK") {
            self.put_error("25P02", "the transaction is aborted");
            self.is_skipping = !is_simple;
            return Ok(());
        }
        match first {
            "BEGIN" | "START" => self.transaction_status = b'T',
            "COMMIT" if self.transaction_status == b'E' => {
                self.uncommitted_writes.clear();
                self.transaction_status = b'I';
                put_command_complete(&mut self.output, "ROLLBACK");
                return Ok(());
            }
            "COMMIT" => {
                self.transaction_status = b'I';
                self.commit();
                if fault == Some(Fault::BreakAfterCommit) {
                    return Err(Disconnected);
                }
            }
            "ROLLBACK" => {
                self.uncommitted_writes.clear();
                self.transaction_status = b'I';
            }
            "COPY" => {
                self.is_copying = true;
                self.is_extended_copy = !is_simple;
                put_frame(&mut self.output, b'G', &[0, 0, 0]);
                return Ok(());
            }
            "SET" => self.parameters.push(sql.to_owned()),
            "DISCARD" => {
                self.parameters.clear();
                self.prepared_statements.clear();
            }
            "SELECT" => return self.select(sql, &words, is_simple),
            "INSERT" | "UPDATE" => {
                self.write(sql, &words, is_simple);
                return Ok(());
            }
            _ => {
                self.put_error("42601", "what is this?");
                self.is_skipping = !is_simple;
                return Ok(());
            }
        }
        put_command_complete(&mut self.output, first);
        Ok(())
    }

    fn commit(&mut self) {
        let mut data = self.data.lock().unwrap();
        if !self.uncommitted_writes.is_empty() {
            data.index += 1;
        }
        let index = data.index;
        for (table, key, value) in self.uncommitted_writes.drain(..) {
            let table = data.tables.entry(table).or_default();
            table.insert(key, Row { value, index });
        }
        let position = data.position().to_string();
        put_parameter_status(&mut self.output, PARAMETER_POSITION, &position);
    }

    fn select(&mut self, sql: &str, words: &[&str], is_simple: bool) -> Result<(), Disconnected> {
        if is_simple {
            put_row_description(&mut self.output);
        }
        let frozen_index = self.behaviour.lock().unwrap().frozen_index;
        let data = self.data.lock().unwrap();
        let index = frozen_index.unwrap_or(data.index);
        let position = Position::new(1, index).to_string();
        put_parameter_status(&mut self.output, PARAMETER_POSITION, &position);
        let mut rows = Vec::new();
        match words.get(1).copied() {
            Some("pid") => rows.push(self.pid.to_string()),
            Some("parameters") => rows.push(self.parameters.join(";")),
            Some("sleep") => {
                let sleep_ms = words[2].parse().unwrap();
                thread::sleep(Duration::from_millis(sleep_ms));
                rows.push("slept".to_owned());
            }
            Some("parts") => {
                let count: usize = words[2].parse().unwrap();
                let width: usize = words[3].parse().unwrap();
                let pause = Duration::from_millis(words[4].parse().unwrap());
                drop(data);
                return self.send_parts(count, width, pause);
            }
            Some("rows") => {
                let count: usize = words[2].parse().unwrap();
                let width: usize = words[3].parse().unwrap();
                rows.resize(count, "x".repeat(width));
            }
            _ => {
                let table = words[3];
                let key = sql.split('=').nth(1).map(strip_literal).unwrap_or_default();
                let own_writes = self.uncommitted_writes.iter().rev();
                let own_writes = own_writes.filter(|(t, k, _)| t == table && k == &key);
                let stored = data.tables.get(table).and_then(|table| table.get(&key));
                let stored = stored.filter(|row| row.index <= index);
                rows.extend(
                    own_writes
                        .map(|(_, _, value)| value.clone())
                        .chain(stored.map(|row| row.value.clone()))
                        .next(),
                );
            }
        }
        drop(data);
        for row in &rows {
            put_data_row(&mut self.output, row);
            if self.output.len() > 1 << 16 {
                self.stream.write_all(&self.output)?;
                self.output.clear();
            }
        }
        put_command_complete(&mut self.output, &format!("SELECT {}", rows.len()));
        Ok(())
    }

    /// Sends rows with a pause after each.
    fn send_parts(
        &mut self,
        count: usize,
        width: usize,
        pause: Duration,
    ) -> Result<(), Disconnected> {
        for _ in 0..count {
            put_data_row(&mut self.output, &"x".repeat(width));
            self.stream.write_all(&self.output)?;
            self.output.clear();
            thread::sleep(pause);
        }
        put_command_complete(&mut self.output, &format!("SELECT {count}"));
        Ok(())
    }

    fn write(&mut self, sql: &str, words: &[&str], is_simple: bool) {
        if self.behaviour.lock().unwrap().is_replica {
            self.put_error("25006", "cannot write on a replica");
            self.is_skipping = !is_simple;
            return;
        }
        let is_insert = words[0] == "INSERT";
        let table = words[if is_insert { 2 } else { 1 }].to_owned();
        let (key, value) = if is_insert {
            let values = sql.split("VALUES").nth(1).unwrap();
            let (key, value) = values.split_once(',').unwrap();
            (strip_literal(key), strip_literal(value))
        } else {
            let mut parts = sql.split('=').skip(1);
            let value = parts.next().unwrap();
            let value = strip_literal(value.split("WHERE").next().unwrap());
            (strip_literal(parts.next().unwrap()), value)
        };
        let exists = {
            let data = self.data.lock().unwrap();
            data.value(&table, &key).is_some()
                || self
                    .uncommitted_writes
                    .iter()
                    .any(|(t, k, _)| t == &table && k == &key)
        };
        if is_insert && exists {
            self.put_error("23505", "duplicate key");
            self.is_skipping = !is_simple;
            return;
        }
        if is_insert || exists {
            self.uncommitted_writes.push((table, key, value.clone()));
        }
        if sql.contains("RETURNING") {
            if is_simple {
                put_row_description(&mut self.output);
            }
            put_data_row(&mut self.output, &value);
        }
        if self.transaction_status == b'I' {
            self.commit();
        }
        let tag = match (is_insert, exists) {
            (true, _) => "INSERT 0 1",
            (false, true) => "UPDATE 1",
            (false, false) => "UPDATE 0",
        };
        put_command_complete(&mut self.output, tag);
    }
}

/// Removes quotes, parentheses and whitespace around a literal.
fn strip_literal(text: &str) -> String {
    let text = text.split("RETURNING").next().unwrap();
    text.trim_matches(|c: char| c.is_whitespace() || "()';".contains(c))
        .to_owned()
}

/// Puts a RowDescription of one text column.
fn put_row_description(output: &mut Vec<u8>) {
    let mut body = vec![0, 1, b'v', 0];
    body.extend_from_slice(&[0, 0, 0, 0, 0, 0]);
    body.extend_from_slice(&25u32.to_be_bytes());
    body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
    put_frame(output, b'T', &body);
}

fn put_data_row(output: &mut Vec<u8>, value: &str) {
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value.as_bytes());
    put_frame(output, b'D', &body);
}
