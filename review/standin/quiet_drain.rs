//! The primary of a service is replaced as planned while the consumers only write. Counts the writes
//! that reach the primary later than `drainMs` after the store accepted that it is draining, and the
//! consumers that never learn what became of their write when the primary exits.

mod world;

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{Answer, Group, GroupSettings, Proxies, Session, Store};

const SERVICE: &str = "ledger";
const CONNECTIONS_MAX: usize = 16;
const PROXIES: usize = 7;
const SESSIONS: usize = 28;
const DRAIN: Duration = Duration::from_millis(7_000);
/// How long the primary goes on serving after `drainMs`.
const LONGER: Duration = Duration::from_secs(5);

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
        work: Duration::from_millis(5),
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
    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let next_request = Arc::new(AtomicU64::new(1));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut consumers = Vec::new();
    for number in 0..SESSIONS {
        let addr = proxies.processes[number % PROXIES].1.callers;
        let (stop, next_request, answers) = (stop.clone(), next_request.clone(), answers.clone());
        consumers.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(9 * number as u64));
            let mut session = None;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(250));
                let Some(open) = session.as_mut() else {
                    session = Session::start(addr, "bookings");
                    continue;
                };
                let request = format!("{:016x}", next_request.fetch_add(1, Ordering::Relaxed));
                let text = format!("WRITE item{number} data{request}");
                let sent = Instant::now();
                let answer = open.query(&request, &text, Duration::from_millis(2_000));
                if answer == Answer::None {
                    session = None;
                }
                world::lock(&answers).push((sent, Instant::now(), request, text, answer));
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));
    let mut accepted = None;
    if has_trouble {
        // The new server starts first, then the primary drains.
        group.start_server("i-four", false);
        group.register("i-four");
        thread::sleep(Duration::from_secs(2));
        {
            let mut state = group.locked();
            if let Some(index) = state.index("i-one") {
                state.servers[index].leaving = true;
            }
        }
        accepted = group.register("i-one");
    } else {
        thread::sleep(Duration::from_secs(2));
    }
    thread::sleep(DRAIN + LONGER);
    let exit_at = Instant::now();
    if has_trouble {
        group.stop_server("i-one");
    }
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let state = group.locked();
    let answers = world::lock(&answers);
    let ms = |at: Instant| at.saturating_duration_since(start).as_millis();
    let late: Vec<_> = state
        .runs
        .iter()
        .filter(|run| run.server == "i-one" && accepted.is_some_and(|at| run.at > at + DRAIN))
        .collect();
    let served = answers
        .iter()
        .filter(|a| matches!(a.4, Answer::Done(_)))
        .count();
    let is_open = |answer: &Answer| match answer {
        Answer::None => true,
        Answer::Error(text) => text.starts_with("INDOUBT") || text.starts_with("TIMEOUT"),
        Answer::Done(_) => false,
    };
    let unknown: Vec<_> = answers.iter().filter(|a| is_open(&a.4)).collect();
    let mut record = format!(
        "attempts {} served {served}; writes that reached the draining primary more than {} ms after the store accepted it: {}; attempts whose outcome the consumer never learned: {}\n",
        answers.len(),
        DRAIN.as_millis(),
        late.len(),
        unknown.len()
    );
    if let Some(accepted) = accepted {
        record += &format!(
            "{} the store accepted that the primary i-one is draining\n",
            ms(accepted)
        );
        record += &format!("{} i-one exits\n", ms(exit_at));
    }
    for (at, note) in &state.notes {
        record += &format!("{} {note}\n", ms(*at));
    }
    for (sent, ended, request, text, answer) in &unknown {
        record += &format!(
            "UNKNOWN {} {} {request} {text:?} {answer:?}\n",
            ms(*sent),
            ms(*ended)
        );
    }
    for run in &late {
        record += &format!(
            "DRAIN {} {} {} {:?}\n",
            ms(run.at),
            run.server,
            run.request,
            run.text
        );
    }
    record += "all attempts: sent, answered, request, text, answer\n";
    for (sent, ended, request, text, answer) in answers.iter() {
        record += &format!(
            "{} {} {request} {text:?} {answer:?}\n",
            ms(*sent),
            ms(*ended)
        );
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
    if !is_written || served == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}
