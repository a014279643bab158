//! Measures the point reads per second that one server of the stand-in answers, in total and per
//! second of CPU time.
//!
//! The server is a separate process, so that its CPU time doesn't include that of the clients.
//! Run it with `cargo bench -p endivereach-lab --bench member`.

use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::frame::read_frame;
use serde::Deserialize;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The duration of each case.
const CASE_DURATION: Duration = Duration::from_secs(3);

/// The number of rows in the table that is read.
const ROWS: usize = 10_000;

/// The maximum size of a frame that a client accepts, in bytes.
const FRAME_MAX_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct MemberReadyLine {
    sql_addr: SocketAddr,
}

/// The protocol of the clients' requests.
#[derive(Clone, Copy)]
enum Protocol {
    Simple,
    Prepared,
}

struct Case {
    name: &'static str,
    protocol: Protocol,
    connections: usize,
    /// The number of requests that are sent before their answers are read.
    pipeline_depth: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "simple, 1 connection",
        protocol: Protocol::Simple,
        connections: 1,
        pipeline_depth: 1,
    },
    Case {
        name: "simple, 16 connections",
        protocol: Protocol::Simple,
        connections: 16,
        pipeline_depth: 1,
    },
    Case {
        name: "simple, 1 connection, 16 deep",
        protocol: Protocol::Simple,
        connections: 1,
        pipeline_depth: 16,
    },
    Case {
        name: "prepared, 1 connection",
        protocol: Protocol::Prepared,
        connections: 1,
        pipeline_depth: 1,
    },
    Case {
        name: "prepared, 16 connections",
        protocol: Protocol::Prepared,
        connections: 16,
        pipeline_depth: 1,
    },
    Case {
        name: "prepared, 1 connection, 16 deep",
        protocol: Protocol::Prepared,
        connections: 1,
        pipeline_depth: 16,
    },
];

fn main() -> anyhow::Result<()> {
    // `cargo test` runs the benchmark without this argument, and must not measure anything.
    if !std::env::args().any(|argument| argument == "--bench") {
        return Ok(());
    }
    let mut server = Command::new(env!("CARGO_BIN_EXE_endivereach-lab"))
        .args(["member", "--group", "g", "--id", "a", "--primary", "a"])
        .stdout(Stdio::piped())
        .spawn()?;
    let outcome = measure_all(&mut server);
    server.kill()?;
    server.wait()?;
    outcome
}

fn measure_all(server: &mut Child) -> anyhow::Result<()> {
    let mut line = String::new();
    let stdout = server.stdout.take().expect("the output is piped");
    BufReader::new(stdout).read_line(&mut line)?;
    let started: MemberReadyLine = serde_json::from_str(&line)?;
    insert_rows(started.sql_addr)?;
    println!("{:34} {:>10} {:>16}", "case", "reads/s", "reads/s per core");
    for case in CASES {
        let cpu_before = cpu_time(server.id())?;
        let reads = run_case(case, started.sql_addr)?;
        let cpu = cpu_time(server.id())? - cpu_before;
        println!(
            "{:34} {:>10.0} {:>16.0}",
            case.name,
            reads as f64 / CASE_DURATION.as_secs_f64(),
            reads as f64 / cpu.as_secs_f64()
        );
    }
    Ok(())
}

/// Returns the CPU time that a process has used.
fn cpu_time(pid: u32) -> io::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The fields follow the command in parentheses, which may contain any character. The user and
    // system time are fields 14 and 15 of the line, which have the indexes 11 and 12 here.
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks: u64 = fields[11..13]
        .iter()
        .map(|field| field.parse::<u64>().unwrap_or(0))
        .sum();
    // SAFETY: The call reads a system constant and has no other effect.
    let ticks_per_s = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    Ok(Duration::from_secs_f64(ticks as f64 / ticks_per_s as f64))
}

fn run_case(case: &Case, addr: SocketAddr) -> anyhow::Result<u64> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..case.connections {
        let mut client = Client::connect(addr)?;
        let (protocol, pipeline_depth, stop) = (case.protocol, case.pipeline_depth, stop.clone());
        clients.push(thread::spawn(move || {
            client.read_until(protocol, pipeline_depth, number, &stop)
        }));
    }
    let deadline = Instant::now() + CASE_DURATION;
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    let mut reads = 0;
    for client in clients {
        reads += client.join().expect("a client doesn't panic")?;
    }
    Ok(reads)
}

fn insert_rows(addr: SocketAddr) -> anyhow::Result<()> {
    let mut client = Client::connect(addr)?;
    for first in (0..ROWS).step_by(100) {
        let row = |number| format!("('k{number}', {number})");
        let rows: Vec<_> = (first..first + 100).map(row).collect();
        client.query(&format!("INSERT INTO registers VALUES {}", rows.join(", ")))?;
    }
    Ok(())
}

struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    requests: Vec<u8>,
}

impl Client {
    fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0bench\0\0");
        let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
        startup.extend_from_slice(&body);
        let mut client = Self {
            reader: BufReader::with_capacity(64 * 1024, stream.try_clone()?),
            stream,
            requests: Vec::new(),
        };
        client.stream.write_all(&startup)?;
        client.wait_ready()?;
        Ok(client)
    }

    fn query(&mut self, sql: &str) -> io::Result<()> {
        self.requests.clear();
        put_frame(&mut self.requests, b'Q', format!("{sql}\0").as_bytes());
        self.stream.write_all(&self.requests)?;
        self.wait_ready()
    }

    fn wait_ready(&mut self) -> io::Result<()> {
        loop {
            let frame = read_frame(&mut self.reader, FRAME_MAX_BYTES)?;
            match frame.tag {
                b'Z' => return Ok(()),
                b'E' => {
                    let text = String::from_utf8_lossy(&frame.body).into_owned();
                    return Err(io::Error::other(text));
                }
                _ => {}
            }
        }
    }

    fn read_until(
        &mut self,
        protocol: Protocol,
        pipeline_depth: usize,
        seed: usize,
        stop: &AtomicBool,
    ) -> io::Result<u64> {
        if let Protocol::Prepared = protocol {
            self.requests.clear();
            let parse = b"s\0SELECT value FROM registers WHERE key = $1\0\0\0";
            put_frame(&mut self.requests, b'P', parse);
            put_frame(&mut self.requests, b'S', b"");
            self.stream.write_all(&self.requests)?;
            self.wait_ready()?;
        }
        let mut reads = 0;
        let mut row = seed;
        while !stop.load(Ordering::Relaxed) {
            self.requests.clear();
            for _ in 0..pipeline_depth {
                row = (row * 31 + 17) % ROWS;
                self.put_read(protocol, row);
            }
            self.stream.write_all(&self.requests)?;
            for _ in 0..pipeline_depth {
                self.wait_ready()?;
            }
            reads += pipeline_depth as u64;
        }
        Ok(reads)
    }

    fn put_read(&mut self, protocol: Protocol, row: usize) {
        match protocol {
            Protocol::Simple => {
                let sql = format!("SELECT value FROM registers WHERE key = 'k{row}'\0");
                put_frame(&mut self.requests, b'Q', sql.as_bytes());
            }
            Protocol::Prepared => {
                let key = format!("k{row}");
                let mut bind = b"\0s\0\0\0\0\x01".to_vec();
                bind.extend_from_slice(&(key.len() as u32).to_be_bytes());
                bind.extend_from_slice(key.as_bytes());
                bind.extend_from_slice(b"\0\0");
                put_frame(&mut self.requests, b'B', &bind);
                put_frame(&mut self.requests, b'E', b"\0\0\0\0\0");
                put_frame(&mut self.requests, b'S', b"");
            }
        }
    }
}
