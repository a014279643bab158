//! One consumer sends questions without waiting for the answers, at a tenth of the rate of a
//! machine's link.

use crate::group::Group;
use crate::store::Platform;
use crate::world::{self, Consumer, Proxy, Record};
use std::io::{Read, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limit of the pages: `memoryMb`.
const MEMORY_MB: u64 = 260;
/// A tenth of the pages' `linkMbps` of 1,000 Mbit/s, in bytes a second.
const FLOOD_BYTES_PER_S: u64 = 100_000_000 / 8;
/// How long the flood lasts at most.
const FLOOD_MAX: Duration = Duration::from_secs(20);

pub fn run(record_path: &Path, has_trouble: bool) -> i32 {
    let start = Instant::now();
    let record = Record::create(record_path, start);
    let dir = world::temporary_dir();
    let platform = Platform::new(3);
    let group = Group::start(&platform, "svca");
    let routes = vec![world::route("db1", "bounded_staleness", "svca", 1_500)];
    platform.put("config", "main", &world::config(11, &routes, &["svca"]));
    let mut proxies: Vec<Proxy> = (0..3).map(|i| Proxy::start(&dir, &platform, i)).collect();
    if !world::wait_ready(&proxies) {
        record.line("the processes did not become ready");
        return 2;
    }
    record.line("all processes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    // Answers with success, with an error, and broken sessions, by machine.
    let counts: Arc<Mutex<[[u32; 3]; 3]>> = Arc::default();
    let mut consumers = Vec::new();
    for proxy in &proxies {
        let (addr, machine) = (proxy.callers, proxy.machine);
        let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
        consumers.push(thread::spawn(move || {
            let mut session = None;
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
                if session.is_none() {
                    session = Consumer::connect(addr, "db1").ok();
                }
                let Some(consumer) = &mut session else { continue };
                number += 1;
                let outcome = consumer.ask(&format!("c{machine}-{number}"), "READ item");
                let column = match &outcome {
                    Ok(answer) if answer.outcome.is_ok() => 0,
                    Ok(_) => 1,
                    Err(_) => 2,
                };
                counts.lock().unwrap()[machine][column] += 1;
                if outcome.is_err() {
                    session = None;
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));

    let sent_bytes = Arc::new(AtomicU64::new(0));
    let mut flooder = None;
    if has_trouble {
        let addr = proxies[0].callers;
        let (stop, sent_bytes) = (Arc::clone(&stop), Arc::clone(&sent_bytes));
        record.line("one consumer floods machine 0 with questions on one session");
        flooder = Some(thread::spawn(move || {
            let Ok(consumer) = Consumer::connect(addr, "db1") else { return };
            let Ok(mut writer) = consumer.stream().try_clone() else { return };
            let Ok(mut reader) = consumer.stream().try_clone() else { return };
            // The answers are read as they come.
            thread::spawn(move || {
                let mut buffer = [0; 65_536];
                while reader.read(&mut buffer).is_ok_and(|read| read > 0) {}
            });
            let began_at = Instant::now();
            let mut number = 0u64;
            while !stop.load(Ordering::SeqCst) {
                let mut batch = String::new();
                for _ in 0..2_000 {
                    number += 1;
                    batch.push_str(&format!("QUERY f{number:015x} READ item\r\n"));
                }
                if writer.write_all(batch.as_bytes()).is_err() {
                    return;
                }
                let sent = sent_bytes.fetch_add(batch.len() as u64, Ordering::SeqCst);
                let due = Duration::from_secs_f64(sent as f64 / FLOOD_BYTES_PER_S as f64);
                thread::sleep(due.saturating_sub(began_at.elapsed()));
            }
        }));
    }

    let mut peak_kb = [0u64; 3];
    let mut exceeded = None;
    let until = Instant::now() + FLOOD_MAX;
    let mut next_line = Instant::now();
    while Instant::now() < until && exceeded.is_none() {
        for (machine, proxy) in proxies.iter().enumerate() {
            let kb = proxy.memory_kb();
            peak_kb[machine] = peak_kb[machine].max(kb);
            if kb > MEMORY_MB * 1_024 {
                exceeded = Some((machine, kb));
            }
        }
        if Instant::now() >= next_line {
            next_line += Duration::from_secs(1);
            record.line(format!(
                "resident memory in MB, by machine: {:?}; questions of the flood: {} MB",
                proxies.iter().map(|p| p.memory_kb() / 1_024).collect::<Vec<_>>(),
                sent_bytes.load(Ordering::SeqCst) / 1_000_000
            ));
        }
        thread::sleep(Duration::from_millis(50));
    }
    if let Some((machine, kb)) = exceeded {
        record.line(format!(
            "FAULT: the process of machine {machine} has {} MB, over its memoryMb of {MEMORY_MB}; the platform kills it",
            kb / 1_024
        ));
        proxies[machine].kill();
        thread::sleep(Duration::from_millis(500));
    }
    let running: Vec<bool> = proxies.iter_mut().map(Proxy::is_running).collect();
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop(flooder);
    record.line(format!("peak of the resident memory in MB, by machine: {:?}", peak_kb.map(|kb| kb / 1_024)));
    record.line(format!("the other consumers' answers with success, errors, broken sessions, by machine: {:?}", counts.lock().unwrap()));
    record.line(format!("processes that still run: {running:?}; questions run by servers: {}", group.runs.lock().unwrap().len()));
    let ended = running.iter().any(|runs| !runs);
    drop(proxies);
    let _ = std::fs::remove_dir_all(&dir);
    let code = i32::from(ended || exceeded.is_some());
    record.line(format!("result: {}", ["the rule held", "the rule was broken"][code as usize]));
    code
}
