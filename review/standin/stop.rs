//! A machine gets SIGTERM while consumers run one transaction after the other on it: BEGIN, a short
//! pause, a read or a write, COMMIT. Counts the requests that the machine passed on to a server and didn't answer.

mod world;

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{Answer, Group, GroupSettings, Proxies, Session, Store};

const SERVICE: &str = "ledger";
const CONNECTIONS_MAX: usize = 16;
const PROXIES: usize = 7;
const CONSUMERS: usize = 36;
/// The pause between BEGIN and the first statement.
const PAUSE: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(6);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

struct Attempt {
    request: String,
    text: String,
    sent: Instant,
    ended: Instant,
    answer: Answer,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    std::process::exit(run(&folder, has_trouble));
}

fn run(folder: &str, has_trouble: bool) -> i32 {
    let settings = GroupSettings {
        service: SERVICE.into(),
        slots: 2,
        max_connections: CONNECTIONS_MAX,
        handshake: Duration::from_millis(12),
        work: Duration::from_millis(14),
        promote: Duration::from_millis(600),
        replication: Duration::ZERO,
    };
    let mut group = Group::open(settings, u64::from(std::process::id()) * 7919);
    let promoting = group.clone();
    let store = Store::open(Arc::new(move |_, id, _, _| promoting.promote(id)));
    group.set_store(&store);
    for (number, id) in ["i-one", "i-two", "i-three"].into_iter().enumerate() {
        group.start_server(id, number == 0);
        group.register(id);
    }
    store.put("config", "main", world::config(7, SERVICE, CONNECTIONS_MAX));
    let proxies = Proxies::start(PROXIES, store.addr, store.addr);
    if !proxies.wait_until_ready(Duration::from_secs(20)) {
        eprintln!("the proxies didn't get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let (process, paths) = &proxies.processes[0];
    let term_at = Instant::now() + Duration::from_secs(2);
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let mut consumers = Vec::new();
    for number in 0..CONSUMERS {
        let (addr, attempts) = (paths.callers, attempts.clone());
        consumers.push(thread::spawn(move || {
            let Some(mut session) = Session::start(addr, "manifests") else {
                return;
            };
            let mut turn = 0;
            let mut query = |text: &str| {
                turn += 1;
                let request = format!("{number:04x}-{turn:08x}");
                let sent = Instant::now();
                let answer = session.query(&request, text, Duration::from_millis(2_000));
                let is_connected = answer != Answer::None;
                world::lock(&attempts).push(Attempt {
                    request,
                    text: text.to_owned(),
                    sent,
                    ended: Instant::now(),
                    answer,
                });
                is_connected
            };
            // One in three writes.
            let (begin, text) = match number % 3 {
                0 => ("BEGIN", format!("WRITE item{number} data")),
                _ => ("BEGIN READ", format!("READ item{number}")),
            };
            thread::sleep(Duration::from_millis(11 * number as u64));
            while Instant::now() < term_at + GRACE && query(begin) {
                thread::sleep(PAUSE);
                if !query(&text) || !query("COMMIT") {
                    break;
                }
            }
        }));
    }
    thread::sleep(term_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        // SAFETY: The process is a proxy that this program started and hasn't waited for.
        unsafe { kill(process.id() as i32, SIGTERM) };
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    thread::sleep(
        (term_at + GRACE + Duration::from_secs(1)).saturating_duration_since(Instant::now()),
    );
    let state = group.locked();
    let attempts = world::lock(&attempts);
    let ms = |at: Instant| {
        let after = at.saturating_duration_since(term_at).as_millis() as i64;
        after - term_at.saturating_duration_since(at).as_millis() as i64
    };
    let has_run = |request: &str| state.runs.iter().any(|run| run.request == request);
    let is_lost = |attempt: &&Attempt| attempt.answer == Answer::None && has_run(&attempt.request);
    let lost: Vec<&Attempt> = attempts.iter().filter(is_lost).collect();
    let done = attempts
        .iter()
        .filter(|a| matches!(a.answer, Answer::Done(_)))
        .count();
    let mut record = format!(
        "requests {} answered with success {done}; passed on to a server and never answered {}, of which COMMIT {}\n",
        attempts.len(),
        lost.len(),
        lost.iter()
            .filter(|attempt| attempt.text == "COMMIT")
            .count()
    );
    record += "times are milliseconds after SIGTERM\n";
    for attempt in &lost {
        record += &format!(
            "LOST {} {:?}: sent {}, the connection ended {}\n",
            attempt.request,
            attempt.text,
            ms(attempt.sent),
            ms(attempt.ended)
        );
    }
    record += "all requests: sent, answered, request, text, answer\n";
    for attempt in attempts.iter() {
        let (sent, ended) = (ms(attempt.sent), ms(attempt.ended));
        let Attempt {
            request,
            text,
            answer,
            ..
        } = attempt;
        record += &format!("{sent} {ended} {request} {text:?} {answer:?}\n");
    }
    record += "all runs: time, server, request, text\n";
    for run in &state.runs {
        record += &format!(
            "{} {} {} {:?}\n",
            ms(run.at),
            run.server,
            run.request,
            run.text
        );
    }
    println!("{}", record.lines().next().unwrap_or_default());
    let is_written = std::fs::File::create(format!("{folder}/record.txt"))
        .and_then(|mut file| file.write_all(record.as_bytes()))
        .is_ok();
    if !is_written || done < CONSUMERS {
        return 2;
    }
    i32::from(!lost.is_empty())
}
