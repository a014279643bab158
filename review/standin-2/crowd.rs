//! One of two machines is lost for some seconds, and the sessions of both connect to the other one,
//! which reaches its limit of descriptors while more of them are waiting. Then the lost machine is
//! back, and the sessions spread over both again.

use crate::group::Group;
use crate::store::Platform;
use crate::world::{self, Consumer, Proxy, Record};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `maxFds` of the site's smallest machines.
pub const FDS_MAX: u64 = 4_400;
/// The sessions that stand open: fewer than half of the site's 20,000.
const SESSIONS: usize = 8_000;
/// A consumer gives a session up if `READY` takes longer.
const READY_MAX: Duration = Duration::from_secs(2);
/// How long the lost machine is down: `for_s` of `herd_kill`.
const DOWN: Duration = Duration::from_millis(2_000);
/// `recoverS` of the site.
const RECOVER: Duration = Duration::from_secs(15);
/// How long the machines are observed after that.
const OBSERVED: Duration = Duration::from_secs(15);

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn poll(fds: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
}

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

const POLLIN: i16 = 1;
const POLLOUT: i16 = 4;

/// Starts to connect without waiting.
fn start_connecting(addr: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(addr) = addr else { return None };
    let (family, nonblocking, close_on_exec) = (2u16, 0o4000, 0o2000000);
    let mut raw = [0u8; 16];
    raw[0..2].copy_from_slice(&family.to_ne_bytes());
    raw[2..4].copy_from_slice(&addr.port().to_be_bytes());
    raw[4..8].copy_from_slice(&addr.ip().octets());
    // SAFETY: The address is a sockaddr_in, and the descriptor is owned by the stream.
    unsafe {
        let fd = socket(2, 1 | nonblocking | close_on_exec, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        connect(fd, raw.as_ptr(), 16);
        Some(stream)
    }
}

enum Stage {
    Resting { until: Instant },
    Starting { stream: TcpStream, since: Instant, is_started: bool, machine: usize },
    Open { stream: TcpStream, until: Instant, machine: usize },
}

/// What the platform's balancer knows: which machines are in rotation.
struct Rotation {
    in_rotation: [AtomicBool; 2],
}

impl Rotation {
    fn choose(&self, random: u64) -> usize {
        let ready: Vec<usize> = (0..2).filter(|i| self.in_rotation[*i].load(Ordering::SeqCst)).collect();
        // One of two isn't fewer than half.
        match ready.len() {
            1 => ready[0],
            _ => (random % 2) as usize,
        }
    }
}

pub fn run(record_path: &Path, has_trouble: bool) -> i32 {
    let start = Instant::now();
    let record = Record::create(record_path, start);
    let dir = world::temporary_dir();
    let platform = Platform::new(2);
    let _group = Group::start(&platform, "svca");
    let routes = vec![world::route("db1", "bounded_staleness", "svca", 1_500)];
    platform.put("config", "main", &world::config(11, &routes, &["svca"]));
    let start_proxy = |machine| Proxy::start_limited(&dir, &platform, machine, Some(FDS_MAX));
    let mut proxies: Vec<Proxy> = (0..2).map(start_proxy).collect();
    if !world::wait_ready(&proxies) {
        record.line("the processes did not become ready");
        return 2;
    }
    record.line("both processes are ready");
    let addrs: Arc<Mutex<[(SocketAddr, SocketAddr); 2]>> =
        Arc::new(Mutex::new([0, 1].map(|i| (proxies[i].callers, proxies[i].ready))));
    let stop = Arc::new(AtomicBool::new(false));
    let rotation = Arc::new(Rotation { in_rotation: [AtomicBool::new(true), AtomicBool::new(true)] });
    start_balancer(&addrs, &rotation, &stop);
    let open_counts: Arc<[AtomicU64; 2]> = Arc::default();
    let crowd = start_crowd(&addrs, &rotation, &open_counts, &stop);
    // Single operations: with success and without, by machine, since they were last reset.
    let served: Arc<Mutex<[(u32, u32); 2]>> = Arc::default();
    for machine in 0..2 {
        start_single_operations(machine, &addrs, &served, &stop);
    }
    let status = |record: &Record, proxies: &[Proxy], label: &str| {
        let fds: Vec<usize> = proxies.iter().map(Proxy::descriptors).collect();
        let open = [0, 1].map(|i| open_counts[i].load(Ordering::SeqCst));
        let rotation = [0, 1].map(|i| rotation.in_rotation[i].load(Ordering::SeqCst));
        record.line(format!("{label}: open sessions {open:?}, descriptors {fds:?}, in rotation {rotation:?}, single operations (served, not) {:?}", served.lock().unwrap()));
    };
    let wait = |record: &Record, proxies: &[Proxy], time: Duration, label: &str| {
        let until = Instant::now() + time;
        while Instant::now() < until {
            thread::sleep(Duration::from_secs(2).min(until.saturating_duration_since(Instant::now())));
            status(record, proxies, label);
        }
    };
    wait(&record, &proxies, Duration::from_secs(12), "before");
    let served_before = *served.lock().unwrap();
    if has_trouble {
        record.line("the process of machine 1 is killed");
        proxies[1].kill();
    }
    wait(&record, &proxies, DOWN, "down");
    if has_trouble {
        let again = start_proxy(1);
        addrs.lock().unwrap()[1] = (again.callers, again.ready);
        proxies[1] = again;
        record.line("machine 1 starts again");
    }
    wait(&record, &proxies, RECOVER, "recovering");
    *served.lock().unwrap() = Default::default();
    let before = open_counts[0].load(Ordering::SeqCst);
    record.line("the observation begins");
    wait(&record, &proxies, OBSERVED, "observed");
    let result = *served.lock().unwrap();
    let running: Vec<bool> = proxies.iter_mut().map(Proxy::is_running).collect();
    let ready: Vec<bool> = proxies.iter().map(Proxy::is_ready).collect();
    let fds: Vec<usize> = proxies.iter().map(Proxy::descriptors).collect();
    record.line(format!("single operations from {} s after the machine was back, served and not, by machine: {result:?}", RECOVER.as_secs()));
    record.line(format!("sessions of machine 0 at the start of the observation: {before}; descriptors now: {fds:?} of {FDS_MAX}; running: {running:?}; say ready: {ready:?}"));
    stop.store(true, Ordering::SeqCst);
    let _ = crowd.join();
    drop(proxies);
    let _ = std::fs::remove_dir_all(&dir);
    let is_hanging = |machine: usize| {
        let (good, bad) = result[machine];
        running[machine] && bad > 5 && good == 0
    };
    for machine in (0..2).filter(|machine| is_hanging(*machine)) {
        record.line(format!("machine {machine} runs, and has served none of the requests sent to it"));
    }
    let share = |counts: [(u32, u32); 2]| {
        let served = f64::from(counts[0].0 + counts[1].0);
        served / f64::from(counts[0].1 + counts[1].1 + counts[0].0 + counts[1].0).max(1.0)
    };
    let (share_before, share_after) = (share(served_before), share(result));
    record.line(format!("share of the requests served before the kill: {share_before:.3}; after: {share_after:.3}"));
    if share_after < 0.25 {
        record.line("RECOVER: less than a quarter is served");
    }
    let code = match (share_before >= 0.25, share_after >= 0.25) {
        (false, _) => 2,
        (true, true) => 0,
        (true, false) => 1,
    };
    record.line(format!("result: {}", ["the rule held", "the rule was broken", "could not run"][code as usize]));
    code
}

/// Asks each machine once a second whether it is ready; two misses take it out of rotation.
fn start_balancer(
    addrs: &Arc<Mutex<[(SocketAddr, SocketAddr); 2]>>,
    rotation: &Arc<Rotation>,
    stop: &Arc<AtomicBool>,
) {
    for machine in 0..2 {
        let (addrs, rotation, stop) = (Arc::clone(addrs), Arc::clone(rotation), Arc::clone(stop));
        thread::spawn(move || {
            let mut misses = 0;
            while !stop.load(Ordering::SeqCst) {
                let addr = addrs.lock().unwrap()[machine].1;
                misses = if world::is_ready(addr) { 0 } else { misses + 1 };
                rotation.in_rotation[machine].store(misses < 2, Ordering::SeqCst);
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
}

/// Sends single operations to a machine, each on a session of its own.
fn start_single_operations(
    machine: usize,
    addrs: &Arc<Mutex<[(SocketAddr, SocketAddr); 2]>>,
    served: &Arc<Mutex<[(u32, u32); 2]>>,
    stop: &Arc<AtomicBool>,
) {
    for lane in 0..4 {
        let (addrs, served, stop) = (Arc::clone(addrs), Arc::clone(served), Arc::clone(stop));
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(400));
                number += 1;
                let addr = addrs.lock().unwrap()[machine].0;
                let request = format!("o{machine}-{lane}-{number}");
                let answer = Consumer::connect(addr, "db1").and_then(|mut c| c.ask(&request, "READ item"));
                let is_served = answer.is_ok_and(|answer| answer.outcome.is_ok());
                let mut served = served.lock().unwrap();
                match is_served {
                    true => served[machine].0 += 1,
                    false => served[machine].1 += 1,
                }
            }
        });
    }
}

/// Keeps the sessions: each stays open for a while, and connects again after it has ended.
fn start_crowd(
    addrs: &Arc<Mutex<[(SocketAddr, SocketAddr); 2]>>,
    rotation: &Arc<Rotation>,
    open_counts: &Arc<[AtomicU64; 2]>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (addrs, rotation) = (Arc::clone(addrs), Arc::clone(rotation));
    let (open_counts, stop) = (Arc::clone(open_counts), Arc::clone(stop));
    thread::spawn(move || {
        let mut seed = 0x9e37_79b9_7f4a_7c15u64;
        let mut random = move || {
            seed ^= seed << 13;
            seed ^= seed >> 7;
            seed ^= seed << 17;
            seed >> 11
        };
        let began_at = Instant::now();
        let mut sessions: Vec<Stage> = (0..SESSIONS)
            .map(|i| Stage::Resting { until: began_at + Duration::from_micros(i as u64 * 700) })
            .collect();
        while !stop.load(Ordering::SeqCst) {
            let mut fds: Vec<PollFd> = Vec::new();
            let mut indexes = Vec::new();
            for (index, stage) in sessions.iter().enumerate() {
                let (fd, events) = match stage {
                    Stage::Resting { .. } => continue,
                    Stage::Starting { stream, is_started: false, .. } => (stream.as_raw_fd(), POLLOUT),
                    Stage::Starting { stream, .. } | Stage::Open { stream, .. } => (stream.as_raw_fd(), POLLIN),
                };
                fds.push(PollFd { fd, events, revents: 0 });
                indexes.push(index);
            }
            // SAFETY: The array has the stated length.
            unsafe { poll(fds.as_mut_ptr(), fds.len() as u64, 10) };
            let now = Instant::now();
            let mut is_event = vec![false; SESSIONS];
            for (fd, index) in fds.iter().zip(indexes) {
                is_event[index] = fd.revents != 0;
            }
            for (index, stage) in sessions.iter_mut().enumerate() {
                let rest = |ms: u64| Stage::Resting { until: now + Duration::from_millis(ms) };
                let next = match stage {
                    Stage::Resting { until } if now >= *until => {
                        let machine = rotation.choose(random());
                        let addr = addrs.lock().unwrap()[machine].0;
                        match start_connecting(addr) {
                            Some(stream) => Stage::Starting { stream, since: now, is_started: false, machine },
                            None => rest(500),
                        }
                    }
                    Stage::Resting { .. } => continue,
                    Stage::Starting { since, .. } if now >= *since + READY_MAX => rest(100 + random() % 400),
                    Stage::Open { until, .. } if now >= *until => rest(500 + random() % 500),
                    Stage::Starting { stream, is_started, .. } if is_event[index] && !*is_started => {
                        match stream.write(b"START db1 c1\r\n") {
                            Ok(_) => {
                                *is_started = true;
                                continue;
                            }
                            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                            Err(_) => rest(100 + random() % 400),
                        }
                    }
                    Stage::Starting { stream, machine, .. } if is_event[index] => {
                        let mut buffer = [0; 256];
                        match (stream.read(&mut buffer), stream.try_clone()) {
                            (Ok(length), Ok(stream)) if buffer[..length].starts_with(b"READY") => {
                                let until = now + Duration::from_millis(6_000 + random() % 14_000);
                                Stage::Open { stream, until, machine: *machine }
                            }
                            (Err(error), _) if error.kind() == ErrorKind::WouldBlock => continue,
                            _ => rest(100 + random() % 400),
                        }
                    }
                    Stage::Open { stream, .. } if is_event[index] => {
                        match stream.read(&mut [0; 256]) {
                            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                            _ => rest(100 + random() % 400),
                        }
                    }
                    _ => continue,
                };
                *stage = next;
            }
            for machine in 0..2 {
                let open = sessions.iter().filter(|s| matches!(s, Stage::Open { machine: at, .. } if *at == machine));
                open_counts[machine].store(open.count() as u64, Ordering::SeqCst);
            }
        }
    })
}
