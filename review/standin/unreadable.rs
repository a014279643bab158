//! Another writer leaves an entry of kind `servers` that can't be read, and then the servers of a
//! service are replaced one after the other. Counts the statements that reach a server later than
//! `drainMs` after the store accepted that it is draining.

mod world;

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{Answer, Group, GroupSettings, Proxies, Session, Store};

const SERVICE: &str = "ledger";
const CONNECTIONS_MAX: usize = 16;
const PROXIES: usize = 3;
const SESSIONS: usize = 18;
const DRAIN: Duration = Duration::from_millis(7_000);
/// How long a server goes on serving after `drainMs`.
const LONGER: Duration = Duration::from_secs(4);

/// Returns the entry of the other writer.
fn entry() -> String {
    match std::env::var("ENTRY").as_deref() {
        // A field of another type: a number beyond the range of a double.
        Ok("number") => r#"{"service":"ledger","slots":1e999}"#.into(),
        // Nested deeper than 128 levels.
        Ok("nested") => format!("{}{}", "[".repeat(200), "]".repeat(200)),
        // Bytes that aren't valid text, which JSON states as halves of surrogate pairs.
        _ => r#"{"service":"ledger","note":"\udcff\udcfe"}"#.into(),
    }
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
        let database = ["bookings", "manifests", "views"][number / PROXIES % 3];
        consumers.push(thread::spawn(move || {
            let mut session = None;
            let mut turn = 0;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(150));
                let Some(open) = session.as_mut() else {
                    session = Session::start(addr, database);
                    continue;
                };
                turn += 1;
                let request = format!("{:016x}", next_request.fetch_add(1, Ordering::Relaxed));
                let text = if database == "bookings" && turn % 2 == 0 {
                    format!("WRITE item{number} data{request}")
                } else {
                    format!("READ item{number}")
                };
                let sent = Instant::now();
                let answer = open.query(&request, &text, Duration::from_millis(2_000));
                if answer == Answer::None {
                    session = None;
                }
                world::lock(&answers).push((sent, Instant::now(), request, text, answer));
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        store.put("servers", "i-other", entry());
    }
    thread::sleep(Duration::from_secs(2));
    let mut drained = Vec::new();
    for (old, new) in [
        ("i-two", "i-four"),
        ("i-three", "i-five"),
        ("i-one", "i-six"),
    ] {
        // The new server starts first, then the old one drains.
        group.start_server(new, false);
        group.register(new);
        thread::sleep(Duration::from_secs(2));
        {
            let mut state = group.locked();
            if let Some(index) = state.index(old) {
                state.servers[index].leaving = true;
            }
        }
        let Some(accepted) = group.register(old) else {
            return 2;
        };
        thread::sleep(DRAIN + LONGER);
        group.stop_server(old);
        drained.push((old, accepted));
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let state = group.locked();
    let answers = world::lock(&answers);
    let ms = |at: Instant| at.saturating_duration_since(start).as_millis();
    let mut late = Vec::new();
    for (old, accepted) in &drained {
        let runs = state.runs.iter().filter(|run| run.server == *old);
        late.extend(runs.filter(|run| run.at > *accepted + DRAIN));
    }
    let done = |answer: &Answer| matches!(answer, Answer::Done(_));
    let served = answers.iter().filter(|answer| done(&answer.4)).count();
    let before = answers
        .iter()
        .filter(|a| ms(a.0) < 5_000 && done(&a.4))
        .count();
    let end = answers.iter().map(|answer| answer.0).max().unwrap_or(start);
    let last = answers
        .iter()
        .filter(|a| a.0 + Duration::from_secs(3) > end);
    let last: Vec<_> = last.collect();
    let mut record = format!(
        "attempts {} served {served}; in the last 3 s: {} of {}; statements that reached a draining server more than {} ms after the store accepted it: {}\n",
        answers.len(),
        last.iter().filter(|answer| done(&answer.4)).count(),
        last.len(),
        DRAIN.as_millis(),
        late.len()
    );
    for (old, accepted) in &drained {
        record += &format!(
            "{} ms: the store accepted that {old} is draining\n",
            ms(*accepted)
        );
    }
    for run in &late {
        record += &format!(
            "DRAIN {} ms: {} runs {} {:?}\n",
            ms(run.at),
            run.server,
            run.request,
            run.text
        );
    }
    record += "roles\n";
    for (at, note) in &state.notes {
        record += &format!("{} {note}\n", ms(*at));
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
    if !is_written || before == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}
