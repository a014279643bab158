//! The store is silent to one of three machines for some seconds. A configuration changes
//! meanwhile, so that the answer to that machine's waiting watch is lost. Long after the store is
//! stable again, the next configuration moves a database to another service.

use crate::group::Group;
use crate::store::Platform;
use crate::world::{self, Consumer, Proxy, Record};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The bound of the pages: `configMs`.
const CONFIG: Duration = Duration::from_millis(3_000);
/// The bound of the pages: `stableWindowMs`.
const STABLE: Duration = Duration::from_millis(4_000);
/// How long the store is silent to one machine.
const SILENCE: Duration = Duration::from_millis(4_000);

pub fn run(record_path: &Path, has_trouble: bool) -> i32 {
    let start = Instant::now();
    let record = Record::create(record_path, start);
    let dir = world::temporary_dir();
    let platform = Platform::new(3);
    let old = Group::start(&platform, "svca");
    let new = Group::start(&platform, "svcb");
    let services = ["svca", "svcb"];
    let routes = |service: &str, timeout_ms| {
        vec![world::route("db1", "primary", service, timeout_ms)]
    };
    platform.put("config", "main", &world::config(11, &routes("svca", 800), &services));
    let mut proxies: Vec<Proxy> = (0..3).map(|i| Proxy::start(&dir, &platform, i)).collect();
    if !world::wait_ready(&proxies) {
        record.line("the processes did not become ready");
        return 2;
    }
    record.line("all processes are ready");

    let stop = Arc::new(AtomicBool::new(false));
    // When each request was sent, by its id, with the machine.
    let sent: Arc<Mutex<Vec<(String, Instant, usize)>>> = Arc::default();
    let answers: Arc<Mutex<[(u32, u32); 3]>> = Arc::default();
    let mut consumers = Vec::new();
    for proxy in &proxies {
        let (addr, machine) = (proxy.callers, proxy.machine);
        let (stop, sent, answers) = (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(&answers));
        let record = Arc::clone(&record);
        consumers.push(thread::spawn(move || {
            let mut number = 0;
            let mut session = None;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(100));
                if session.is_none() {
                    session = Consumer::connect(addr, "db1").ok();
                }
                let Some(consumer) = &mut session else { continue };
                number += 1;
                let request = format!("m{machine}-{number}");
                let text = match number % 2 {
                    0 => format!("READ item{machine}"),
                    _ => format!("WRITE item{machine} v{number}"),
                };
                sent.lock().unwrap().push((request.clone(), Instant::now(), machine));
                match consumer.ask(&request, &text) {
                    Ok(answer) => {
                        let mut answers = answers.lock().unwrap();
                        match &answer.outcome {
                            Ok(_) => answers[machine].0 += 1,
                            Err(_) => answers[machine].1 += 1,
                        }
                        if number % 10 < 2 {
                            let outcome = &answer.outcome;
                            record.line(format!("machine {machine}: {request} {text} -> {outcome:?} {:?}", answer.rows));
                        }
                    }
                    Err(error) => {
                        record.line(format!("machine {machine}: {request} -> {error}"));
                        session = None;
                    }
                }
            }
        }));
    }

    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        platform.paths[0].silent.store(true, Ordering::SeqCst);
        record.line("the store is silent to machine 0");
    }
    thread::sleep(Duration::from_secs(1));
    let at = platform.put("config", "main", &world::config(14, &routes("svca", 900), &services));
    record.line_at(at, "version 14 acknowledged: another time-out");
    thread::sleep(SILENCE - Duration::from_secs(1));
    platform.paths[0].silent.store(false, Ordering::SeqCst);
    record.line("the store answers machine 0 again");
    thread::sleep(STABLE + Duration::from_millis(1_000));
    let moved_at = platform.put("config", "main", &world::config(19, &routes("svcb", 900), &services));
    record.line_at(moved_at, "version 19 acknowledged: db1 is now at svcb");
    thread::sleep(CONFIG + Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }

    let mut late = [0; 3];
    let mut run_by_new = [0; 3];
    let sent = sent.lock().unwrap().clone();
    for (request, at, machine) in &sent {
        if *at <= moved_at + CONFIG {
            continue;
        }
        for run in old.runs.lock().unwrap().iter().filter(|run| &run.request == request) {
            late[*machine] += 1;
            let after = at.saturating_duration_since(moved_at).as_millis();
            record.line_at(run.at, format!("CONFIG: {request}, sent {after} ms after the ack, was run by svca: {}", run.text));
        }
        let runs = new.runs.lock().unwrap();
        run_by_new[*machine] += runs.iter().filter(|run| &run.request == request).count();
    }
    let running = proxies.iter_mut().all(Proxy::is_running);
    record.line(format!("requests sent over {} ms after the ack, run by the old service, by machine: {late:?}", CONFIG.as_millis()));
    record.line(format!("the same, run by the new service: {run_by_new:?}"));
    record.line(format!("answers with success and with errors, by machine: {:?}", answers.lock().unwrap()));
    record.line(format!("all processes still run: {running}"));
    drop(proxies);
    let _ = std::fs::remove_dir_all(&dir);
    let is_played = run_by_new.iter().any(|count| *count > 0);
    let code = match (is_played, late.iter().sum::<i32>()) {
        (false, _) => 2,
        (true, 0) => 0,
        (true, _) => 1,
    };
    record.line(format!("result: {}", ["the rule held", "the rule was broken", "could not run"][code as usize]));
    code
}
