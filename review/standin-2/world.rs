//! The processes under test, the consumers, and the record of a run.

use crate::store::Platform;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setrlimit(resource: i32, limits: *const u64) -> i32;
}

const RLIMIT_NOFILE: i32 = 7;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The record of a run, in the order of time.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path, start: Instant) -> Arc<Self> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self { start, file: Mutex::new(file) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

/// One process under test.
pub struct Proxy {
    pub machine: usize,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// Returns a free port at a loopback address of this run, so that no other run takes it before the
/// process listens there.
fn free_addr() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 + high % 64, middle, low.max(1));
    static RETURNED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("its address");
        if RETURNED.lock().unwrap().insert(addr) {
            return addr;
        }
    }
}

impl Proxy {
    /// Starts the program with the command of the deploy file and settings as its template has them.
    pub fn start(dir: &Path, platform: &Arc<Platform>, machine: usize) -> Self {
        Self::start_limited(dir, platform, machine, None)
    }

    /// The same with a limit of descriptors, which the platform sets for each process.
    pub fn start_limited(
        dir: &Path,
        platform: &Arc<Platform>,
        machine: usize,
        descriptors: Option<u64>,
    ) -> Self {
        let name = format!("front-z{machine}-1");
        let (callers, ready) = (free_addr(), free_addr());
        let text = format!(
            "node = \"{name}\"\nzone = \"z{machine}\"\nregion = \"r\"\ncallers_addr = \"{callers}\"\n\
             ready_addr = \"{ready}\"\npeers_addr = \"{}\"\nfeed_addr = \"{}\"\n\
             metrics_addr = \"{}\"\nstore_addr = \"{}\"\npromotion_addr = \"{}\"\n\
             grace_s = 6\nroutes_in_force_ms = 3000\ncpu_share = 0.25\n",
            free_addr(),
            free_addr(),
            free_addr(),
            platform.listen_store(machine),
            platform.listen_cloud(machine),
        );
        let settings = dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = File::create(dir.join(format!("{name}.log"))).expect("a log");
        let mut command = Command::new("target/release/endivereach-platform");
        // SAFETY: The calls affect the new process only, and the pointer is valid. The process ends
        // with this one, however this one ends.
        unsafe {
            command.pre_exec(move || {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                if let Some(descriptors) = descriptors {
                    let limits = [descriptors; 2];
                    setrlimit(RLIMIT_NOFILE, limits.as_ptr());
                }
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("ENDIVEREACH_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program was built");
        Self { machine, callers, ready, child }
    }

    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The resident memory in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// The number of open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count)
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }
}

/// Asks as the platform does whether a process is ready.
pub fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let _ = write!(stream, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && &answer[9..12] == b"200"
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn signal_process(pid: i32, signal: i32) {
    // SAFETY: The call takes no pointers, and the process was started by this test.
    unsafe { kill(pid, signal) };
}

/// Waits until all processes are ready. Returns whether they were in time.
pub fn wait_ready(proxies: &[Proxy]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if proxies.iter().all(Proxy::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// An answer to a consumer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The receipt, or the failure's code and text.
    pub outcome: Result<String, String>,
}

/// A consumer's session.
pub struct Consumer {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Consumer {
    pub fn connect(addr: SocketAddr, database: &str) -> std::io::Result<Self> {
        let writer = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(2)))?;
        writer.set_write_timeout(Some(Duration::from_secs(2)))?;
        let mut consumer = Self { reader: BufReader::new(writer.try_clone()?), writer };
        write!(consumer.writer, "START {database} c1\r\n")?;
        let line = consumer.line()?;
        if line.starts_with("READY") { Ok(consumer) } else { Err(std::io::Error::other(line)) }
    }

    fn line(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    pub fn ask(&mut self, request: &str, text: &str) -> std::io::Result<Answer> {
        self.writer.write_all(format!("QUERY {request} {text}\r\n").as_bytes())?;
        let mut answer = Answer { rows: Vec::new(), outcome: Err("none".into()) };
        loop {
            let line = self.line()?;
            match line.split_once(' ') {
                Some(("ROW", row)) => answer.rows.push(row.into()),
                Some(("COMPLETE", receipt)) => answer.outcome = Ok(receipt.into()),
                Some(("ERROR", error)) => answer.outcome = Err(error.into()),
                Some(("READY", _)) => return Ok(answer),
                _ => return Err(std::io::Error::other(line)),
            }
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.writer
    }
}

pub fn route(host: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"pathPrefix\":\"/\",\"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"latencyGoalMs\":250,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"maxStalenessMs\":2500}}"
    )
}

pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":16,\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn temporary_dir() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("endivereach-review-2-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}
