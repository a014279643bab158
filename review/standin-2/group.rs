//! Stand-ins for the servers of a database group: a primary and its replicas.

use crate::store::Platform;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a server takes for a read, a write or a commit.
const WORK: Duration = Duration::from_millis(2);
/// How long a server takes for a new connection.
const OPENING: Duration = Duration::from_millis(12);
/// How long a server that holds nothing takes to copy the log.
const COPYING: Duration = Duration::from_secs(1);
/// The interval of the servers' liveness reports, after three of which without one an entry expires.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub request: String,
    pub item: String,
    pub data: String,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub text: String,
}

/// A promotion that took effect, with the requests whose writes the server's log held then.
#[derive(Clone)]
pub struct Promotion {
    pub at: Instant,
    pub id: String,
    pub term: u64,
    pub held: HashSet<String>,
}

pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub up: bool,
    pub draining: bool,
    /// Whether the server receives nothing from the others.
    pub deaf: bool,
    /// When the server started, in Unix milliseconds.
    born: u128,
    pub primary: bool,
    pub term: u64,
    pub fenced: u64,
    pub log: Vec<Entry>,
    streams: HashMap<u64, TcpStream>,
    listener: Option<TcpListener>,
}

impl Server {
    fn position(&self) -> String {
        match self.log.last() {
            Some(entry) => format!("{}.{}", entry.term, entry.number),
            None => format!("{}.0", self.term.min(1)),
        }
    }

    fn last(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |entry| (entry.term, entry.number))
    }
}

pub struct Group {
    pub name: String,
    pub servers: Mutex<Vec<Server>>,
    changed: Condvar,
    pub runs: Mutex<Vec<Run>>,
    pub promotions: Mutex<Vec<Promotion>>,
    /// The one-way delay between zones.
    delay: Duration,
    platform: Arc<Platform>,
}

impl Group {
    /// Starts a group of three servers, the first of which is the primary, and registers them.
    pub fn start(platform: &Arc<Platform>, name: &str) -> Arc<Self> {
        Self::start_apart(platform, name, Duration::ZERO)
    }

    /// The same with a delay between zones.
    pub fn start_apart(platform: &Arc<Platform>, name: &str, delay: Duration) -> Arc<Self> {
        let group = Arc::new(Self {
            name: name.to_owned(),
            servers: Mutex::default(),
            changed: Condvar::new(),
            runs: Mutex::default(),
            promotions: Mutex::default(),
            delay,
            platform: Arc::clone(platform),
        });
        for zone in 0..3 {
            group.add(zone);
        }
        group
    }

    /// Starts one more server, with the primary's log, and registers it.
    pub fn add(self: &Arc<Self>, zone: usize) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let index = {
            let mut servers = self.servers.lock().unwrap();
            let index = servers.len();
            let leader = servers.iter().find(|server| server.primary);
            let (term, log) = leader.map_or((1, Vec::new()), |l| (l.term, l.log.clone()));
            servers.push(Server {
                id: format!("i-{}-{index}", self.name),
                addr: listener.local_addr().expect("its address"),
                zone: format!("z{zone}"),
                up: true,
                draining: false,
                deaf: false,
                born: now_ms(),
                primary: index == 0,
                term,
                fenced: 0,
                log,
                streams: HashMap::new(),
                listener: None,
            });
            index
        };
        self.accept(index, listener);
        self.register(index);
        index
    }

    /// Lets a server announce that it will leave. It goes on serving.
    pub fn drain(&self, index: usize) {
        self.servers.lock().unwrap()[index].draining = true;
        self.register(index);
    }

    /// Ends a server that has drained, with its log, and removes its entry.
    pub fn leave(&self, index: usize) {
        self.crash(index);
        let id = self.servers.lock().unwrap()[index].id.clone();
        self.platform.remove("servers", &id);
    }

    fn delay_between(&self, one: &str, other: &str) -> Duration {
        if one == other { Duration::ZERO } else { self.delay }
    }

    /// Writes a server's entry, as the server does when it starts or when its role changes.
    pub fn register(&self, index: usize) {
        let (id, spec) = {
            let servers = self.servers.lock().unwrap();
            let server = &servers[index];
            let role = if server.primary { "primary" } else { "replica" };
            let state = if server.draining { "draining" } else { "ready" };
            let spec = format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\"coldLeftMs\":0,\"dbRole\":\"{role}\",\"seq\":1,\"born\":{}}}",
                self.name, server.addr, server.zone, server.born
            );
            (server.id.clone(), spec)
        };
        self.platform.put("servers", &id, &spec);
    }

    fn accept(self: &Arc<Self>, index: usize, listener: TcpListener) {
        let group = Arc::clone(self);
        let own = listener.try_clone().expect("a handle");
        self.servers.lock().unwrap()[index].listener = Some(own);
        thread::spawn(move || {
            let mut next = 0;
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                {
                    let mut servers = group.servers.lock().unwrap();
                    if !servers[index].up {
                        let _ = stream.shutdown(Shutdown::Both);
                        continue;
                    }
                    next += 1;
                    if let Ok(own) = stream.try_clone() {
                        servers[index].streams.insert(next, own);
                    }
                }
                let group = Arc::clone(&group);
                let number = next;
                thread::spawn(move || {
                    let _ = group.serve(index, stream);
                    group.servers.lock().unwrap()[index].streams.remove(&number);
                });
            }
        });
    }

    /// Crashes a server: its connections end and new ones are closed at once. Its log is kept.
    pub fn crash(&self, index: usize) {
        let mut servers = self.servers.lock().unwrap();
        let server = &mut servers[index];
        server.up = false;
        server.fenced = 0;
        for (_, stream) in server.streams.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Starts a crashed server with its log: as a replica if another one was promoted.
    pub fn restart(&self, index: usize) {
        {
            let mut servers = self.servers.lock().unwrap();
            let highest = servers.iter().filter(|s| s.up).map(|s| s.term).max().unwrap_or(1);
            let leader = (0..servers.len()).find(|i| servers[*i].up && servers[*i].primary);
            let server = &mut servers[index];
            server.up = true;
            if highest > server.term {
                server.primary = false;
            }
            if let Some(leader) = leader {
                let (log, term) = (servers[leader].log.clone(), servers[leader].term);
                servers[index].log = log;
                servers[index].term = term;
                servers[index].primary = false;
            }
        }
        self.register(index);
    }

    /// Starts a crashed server under the id that it had. It holds and knows nothing of before, and
    /// copies the primary's log.
    pub fn restart_empty(self: &Arc<Self>, index: usize) {
        {
            let mut servers = self.servers.lock().unwrap();
            let server = &mut servers[index];
            server.up = true;
            server.primary = false;
            server.term = 0;
            server.fenced = 0;
            server.log.clear();
            server.born = now_ms();
        }
        self.register(index);
        self.copy_log(index);
    }

    /// Lets a server without a log copy the primary's, unless it is fenced by then.
    fn copy_log(self: &Arc<Self>, index: usize) {
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(COPYING);
            let mut servers = group.servers.lock().unwrap();
            let leader = (0..servers.len()).find(|i| servers[*i].up && servers[*i].primary);
            if let Some(leader) = leader.filter(|_| servers[index].up && servers[index].fenced == 0) {
                let (term, log) = (servers[leader].term, servers[leader].log.clone());
                servers[index].term = term;
                servers[index].log = log;
                group.changed.notify_all();
            }
        });
    }

    /// Lets a server receive again, and catch up.
    pub fn hear(&self, index: usize) {
        self.servers.lock().unwrap()[index].deaf = false;
        self.follow(index);
    }

    pub fn primary(&self) -> Option<usize> {
        let servers = self.servers.lock().unwrap();
        (0..servers.len())
            .filter(|i| servers[*i].up && servers[*i].primary)
            .max_by_key(|i| servers[*i].term)
    }

    pub fn index_of(&self, id: &str) -> Option<usize> {
        self.servers.lock().unwrap().iter().position(|server| server.id == id)
    }

    /// Makes a server lead the next term, with what it has received and nothing more. A former
    /// primary that runs goes on for a second.
    pub fn make_primary(self: &Arc<Self>, index: usize) {
        let count = {
            let mut servers = self.servers.lock().unwrap();
            if !servers[index].up || servers[index].primary {
                return;
            }
            let highest = servers.iter().map(|s| s.term).max().unwrap_or(1);
            let fenced = servers.iter().map(|s| s.fenced).max().unwrap_or(0);
            let term = (highest + 1).max(fenced);
            let log = servers[index].log.clone();
            for (i, server) in servers.iter_mut().enumerate() {
                if i == index {
                    server.term = term;
                    server.primary = true;
                    server.fenced = 0;
                } else if server.up && server.primary {
                    let group = Arc::clone(self);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs(1));
                        group.follow(i);
                    });
                } else if server.up && !server.deaf && server.term > 0 {
                    server.term = term;
                    server.fenced = 0;
                    server.log = log.clone();
                } else if server.up {
                    server.fenced = 0;
                    if server.term == 0 {
                        self.copy_log(i);
                    }
                }
            }
            self.promotions.lock().unwrap().push(Promotion {
                at: Instant::now(),
                id: servers[index].id.clone(),
                term,
                held: log.iter().map(|entry| entry.request.clone()).collect(),
            });
            self.changed.notify_all();
            servers.len()
        };
        for i in 0..count {
            if self.servers.lock().unwrap()[i].up {
                self.register(i);
            }
        }
    }

    /// Lets a former primary follow the server that leads the highest term.
    fn follow(&self, index: usize) {
        {
            let mut servers = self.servers.lock().unwrap();
            let leaders = (0..servers.len()).filter(|i| servers[*i].up && servers[*i].primary);
            let Some(leader) = leaders.max_by_key(|i| servers[*i].term) else { return };
            if leader == index || servers[index].term >= servers[leader].term {
                return;
            }
            let (term, log) = (servers[leader].term, servers[leader].log.clone());
            let server = &mut servers[index];
            server.primary = false;
            server.term = term;
            server.fenced = 0;
            server.log = log;
            self.changed.notify_all();
        }
        self.register(index);
    }

    fn serve(self: &Arc<Self>, index: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::with_capacity(64 * 1024, stream.try_clone()?);
        let mut writer = stream;
        let mut line = String::new();
        if !next_line(&mut reader, &mut line)? {
            return Ok(());
        }
        thread::sleep(OPENING);
        let words: Vec<&str> = line.split(' ').collect();
        let id = self.servers.lock().unwrap()[index].id.clone();
        let is_expected = words.len() >= 2
            && words[0] == "START"
            && words[1] == self.name
            && words.get(3).is_none_or(|expected| *expected == id);
        if !is_expected {
            write!(writer, "ERROR MISROUTED {id}\r\n")?;
            return Ok(());
        }
        // The proxies are named after their zones.
        let zone = words[2].split('-').nth(1).unwrap_or_default().to_owned();
        let delay = {
            let servers = self.servers.lock().unwrap();
            self.delay_between(&zone, &servers[index].zone)
        };
        let position = self.servers.lock().unwrap()[index].position();
        write!(writer, "READY I {position}\r\n")?;
        // The writes of an open transaction.
        let mut open: Option<Vec<(String, String)>> = None;
        let mut prepared: HashMap<String, (bool, String)> = HashMap::new();
        while next_line(&mut reader, &mut line)? {
            let Some(rest) = line.strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (request, text) = rest.split_once(' ').unwrap_or((rest, ""));
            thread::sleep(delay);
            let answer = self.answer(index, request, text, &mut open, &mut prepared);
            let Some(answer) = answer else {
                return Ok(());
            };
            let state = if open.is_some() { "T" } else { "I" };
            let position = self.servers.lock().unwrap()[index].position();
            thread::sleep(delay);
            write!(writer, "{answer}READY {state} {position}\r\n")?;
        }
        Ok(())
    }

    fn answer(
        self: &Arc<Self>,
        index: usize,
        request: &str,
        text: &str,
        open: &mut Option<Vec<(String, String)>>,
        prepared: &mut HashMap<String, (bool, String)>,
    ) -> Option<String> {
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (at, rest) = rest.split_once(' ')?;
            let (term, number) = at.split_once('.')?;
            let at = (term.parse().ok()?, number.parse().ok()?);
            let rest = rest.to_owned();
            if self.servers.lock().unwrap()[index].last() < at {
                return Some("ERROR LAGGING\r\n".into());
            }
            text = rest;
        }
        let (word, fields) = text.split_once(' ').unwrap_or((&text, ""));
        let is_primary = || self.servers.lock().unwrap()[index].primary;
        let done = || Some("COMPLETE -\r\n".to_owned());
        let refused = || Some("ERROR READONLY\r\n".to_owned());
        match word {
            "STATUS" => Some(self.status(index)),
            "PAUSE" => {
                let mut servers = self.servers.lock().unwrap();
                let term: u64 = fields.parse().ok()?;
                let server = &mut servers[index];
                if !server.primary && term > server.term {
                    server.fenced = server.fenced.max(term);
                }
                drop(servers);
                Some(self.status(index))
            }
            "RESUME" => {
                self.servers.lock().unwrap()[index].fenced = 0;
                Some(self.status(index))
            }
            "STEPDOWN" => {
                let mut servers = self.servers.lock().unwrap();
                let term: u64 = fields.parse().ok()?;
                if servers[index].primary && servers[index].term < term {
                    servers[index].primary = false;
                }
                self.changed.notify_all();
                drop(servers);
                Some(self.status(index))
            }
            "SET" | "DEALLOC" => done(),
            "RESET" => {
                prepared.clear();
                done()
            }
            "PREPARE" => {
                let mut parts = fields.splitn(3, ' ');
                let name = parts.next()?.to_owned();
                let is_write = parts.next()? == "WRITE";
                prepared.insert(name, (is_write, parts.next().unwrap_or("").to_owned()));
                done()
            }
            "BEGIN" if fields.is_empty() && !is_primary() => refused(),
            "BEGIN" => {
                *open = Some(Vec::new());
                done()
            }
            "ROLLBACK" => {
                *open = None;
                done()
            }
            "COMMIT" => {
                let writes = open.take()?;
                if writes.is_empty() {
                    return Some(format!("COMPLETE {}\r\n", self.record(index, request, "COMMIT")));
                }
                if !is_primary() {
                    return refused();
                }
                self.commit(index, request, "COMMIT", writes)
            }
            "READ" => self.read(index, request, &text, fields, open.as_ref()),
            "WRITE" if !is_primary() => refused(),
            "WRITE" => {
                let (item, data) = fields.split_once(' ')?;
                let write = (item.to_owned(), data.to_owned());
                match open {
                    Some(writes) => {
                        writes.push(write);
                        Some(format!("COMPLETE {}\r\n", self.record(index, request, &text)))
                    }
                    None => self.commit(index, request, &text, vec![write]),
                }
            }
            "EXECUTE" => {
                let (name, arguments) = fields.split_once(' ')?;
                let Some((is_write, _)) = prepared.get(name).cloned() else {
                    return Some("ERROR NOSTMT\r\n".into());
                };
                let plain = format!("{} {arguments}", if is_write { "WRITE" } else { "READ" });
                self.answer(index, request, &plain, open, prepared)
            }
            _ => Some("ERROR MALFORMED\r\n".into()),
        }
    }

    fn status(&self, index: usize) -> String {
        let servers = self.servers.lock().unwrap();
        let server = &servers[index];
        let role = if server.primary { "primary" } else { "replica" };
        format!(
            "ROW {role} {} {} {} 0 0 {}\r\nCOMPLETE -\r\n",
            server.term,
            server.position(),
            server.fenced,
            server.streams.len()
        )
    }

    fn record(&self, index: usize, request: &str, text: &str) -> String {
        let mut runs = self.runs.lock().unwrap();
        let short: String = text.chars().take(60).collect();
        runs.push(Run {
            at: Instant::now(),
            request: request.to_owned(),
            text: short,
        });
        format!("{}.{index}.{}", self.name, runs.len())
    }

    fn read(
        &self,
        index: usize,
        request: &str,
        text: &str,
        item: &str,
        open: Option<&Vec<(String, String)>>,
    ) -> Option<String> {
        thread::sleep(WORK);
        let receipt = self.record(index, request, text);
        let own = open.and_then(|w| w.iter().rev().find(|(known, _)| known == item));
        let servers = self.servers.lock().unwrap();
        let stored = servers[index].log.iter().rev().find(|entry| entry.item == item);
        let value = own.map(|(_, data)| data.clone());
        let value = value.or(stored.map(|entry| entry.data.clone()));
        let value = value.unwrap_or_else(|| "none".into());
        Some(format!("ROW {value}\r\nCOMPLETE {receipt}\r\n"))
    }

    /// Commits writes: appended to the primary's log, and acknowledged once a replica that isn't
    /// fenced has received them. Closes the connection if the server loses its role before that.
    fn commit(
        self: &Arc<Self>,
        index: usize,
        request: &str,
        text: &str,
        writes: Vec<(String, String)>,
    ) -> Option<String> {
        thread::sleep(WORK);
        let mut servers = self.servers.lock().unwrap();
        if !servers[index].up || !servers[index].primary {
            return None;
        }
        let term = servers[index].term;
        for (item, data) in writes {
            let (_, number) = servers[index].last();
            let request = request.to_owned();
            servers[index].log.push(Entry { term, number: number + 1, request, item, data });
        }
        let length = servers[index].log.len();
        for replica in (0..servers.len()).filter(|i| *i != index) {
            let delay = self.delay_between(&servers[index].zone, &servers[replica].zone);
            if delay.is_zero() {
                receive(&mut servers, index, replica, term, length);
                continue;
            }
            let group = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(delay);
                receive(&mut group.servers.lock().unwrap(), index, replica, term, length);
                // The answer takes as long.
                thread::sleep(delay);
                group.changed.notify_all();
            });
        }
        loop {
            if !servers[index].up || !servers[index].primary || servers[index].term != term {
                return None;
            }
            let has = |server: &Server| server.up && server.term == term && server.log.len() >= length;
            if (0..servers.len()).any(|i| i != index && has(&servers[i])) {
                break;
            }
            let wait = Duration::from_millis(20);
            servers = self.changed.wait_timeout(servers, wait).unwrap().0;
        }
        drop(servers);
        Some(format!("COMPLETE {}\r\n", self.record(index, request, text)))
    }
}

/// Lets a replica receive the primary's log up to a length, unless it is down, fenced or follows
/// another primary.
fn receive(servers: &mut [Server], primary: usize, replica: usize, term: u64, length: usize) {
    let is_open =
        |server: &Server| server.up && !server.deaf && server.fenced == 0 && server.term == term;
    if !servers[primary].primary || servers[primary].term != term || servers[replica].primary {
        return;
    }
    let known = servers[replica].log.len();
    if is_open(&servers[replica]) && known < length {
        let missing: Vec<Entry> = servers[primary].log[known..length].to_vec();
        servers[replica].log.extend(missing);
    }
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis())
}

fn next_line(reader: &mut impl BufRead, line: &mut String) -> std::io::Result<bool> {
    line.clear();
    if reader.read_line(line)? == 0 {
        return Ok(false);
    }
    let length = line.trim_end_matches(['\r', '\n']).len();
    line.truncate(length);
    Ok(true)
}
