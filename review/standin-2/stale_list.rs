//! Two servers of a group are replaced as planned, one after the other: the new one starts first, and
//! the old one drains and leaves. The store is silent to one of three machines for some seconds as the
//! first new server starts, so that the answer to its waiting watch of the servers is lost. Long after
//! the store is stable again, that machine finds no primary among the servers that it knows.

use crate::group::Group;
use crate::store::{Order, Platform};
use crate::world::{self, Consumer, Proxy, Record};
use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `stableWindowMs` of the site.
const STABLE: Duration = Duration::from_millis(4_000);
/// How long the store is silent to one machine.
const SILENCE: Duration = Duration::from_millis(4_000);
/// `promote_ms` of the site.
const PROMOTE: Duration = Duration::from_millis(600);
/// The one-way delay between zones of the site.
const DELAY: Duration = Duration::from_micros(3_500);
/// The machine to which the store is silent.
const MACHINE: usize = 1;
/// How long a server drains: `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(7_000);
/// The consumers at each of the other machines.
const CONSUMERS: usize = 6;

pub fn run(record_path: &Path, has_trouble: bool) -> i32 {
    let start = Instant::now();
    let record = Record::create(record_path, start);
    let dir = world::temporary_dir();
    let platform = Platform::new(3);
    let group = Group::start_apart(&platform, "svca", DELAY);
    let routes = vec![world::route("db1", "primary", "svca", 800)];
    platform.put("config", "main", &world::config(11, &routes, &["svca"]));
    set_promotion(&platform, &group);
    let mut proxies: Vec<Proxy> = (0..3).map(|i| Proxy::start(&dir, &platform, i)).collect();
    if !world::wait_ready(&proxies) {
        record.line("the processes did not become ready");
        return 2;
    }
    record.line("all processes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    // The writes that were acknowledged to their consumers.
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    for proxy in &proxies {
        let consumers = if proxy.machine == MACHINE { 1 } else { CONSUMERS };
        for consumer in 0..consumers {
            start_consumer(proxy, consumer, &acknowledged, &stop);
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        platform.paths[MACHINE].silent.store(true, Ordering::SeqCst);
        record.line(format!("the store is silent to machine {MACHINE}"));
    }
    thread::sleep(Duration::from_secs(1));
    let first = group.add(0);
    record.line(format!("i-svca-{first} starts, to replace i-svca-0, the primary"));
    thread::sleep(SILENCE - Duration::from_secs(1));
    platform.paths[MACHINE].silent.store(false, Ordering::SeqCst);
    record.line(format!("the store answers machine {MACHINE} again"));
    thread::sleep(STABLE + Duration::from_millis(500));
    group.drain(0);
    record.line("i-svca-0 drains");
    thread::sleep(Duration::from_secs(2));
    let second = group.add(1);
    record.line(format!("i-svca-{second} starts, to replace i-svca-1"));
    thread::sleep(Duration::from_secs(1));
    group.drain(1);
    record.line("i-svca-1 drains");
    thread::sleep(DRAIN - Duration::from_secs(3));
    group.leave(0);
    record.line("i-svca-0 leaves");
    thread::sleep(Duration::from_secs(3));
    group.leave(1);
    record.line("i-svca-1 leaves");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(900));

    for order in platform.orders.lock().unwrap().iter() {
        let Order { machine, token, service, id, .. } = order;
        record.line_at(order.at, format!("order from machine {machine}: token {token}, {service} {id}"));
    }
    let acknowledged: HashSet<String> = acknowledged.lock().unwrap().iter().cloned().collect();
    let mut lost = 0;
    let mut promotions = 0;
    let runs = group.runs.lock().unwrap();
    for promotion in group.promotions.lock().unwrap().iter() {
        promotions += 1;
        record.line_at(promotion.at, format!("{} leads term {} with {} commits", promotion.id, promotion.term, promotion.held.len()));
        for run in runs.iter().filter(|run| run.at < promotion.at) {
            if acknowledged.contains(&run.request) && !promotion.held.contains(&run.request) {
                lost += 1;
                record.line_at(run.at, format!("LOST: {} ({}) was acknowledged, and isn't in the log of {}, promoted to term {}", run.request, run.text, promotion.id, promotion.term));
            }
        }
    }
    let running = proxies.iter_mut().all(Proxy::is_running);
    record.line(format!("acknowledged writes: {}; promotions: {promotions}; lost: {lost}; all processes still run: {running}", acknowledged.len()));
    drop(proxies);
    let _ = std::fs::remove_dir_all(&dir);
    let code = match (promotions, lost) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    };
    record.line(format!("result: {}", ["the rule held", "the rule was broken", "could not run"][code as usize]));
    code
}

fn set_promotion(platform: &Arc<Platform>, group: &Arc<Group>) {
    let group = Arc::clone(group);
    *platform.promote.lock().unwrap() = Some(Arc::new(move |order: &Order| {
        let Some(index) = group.index_of(&order.id) else { return false };
        if !group.servers.lock().unwrap()[index].up {
            return false;
        }
        let group = Arc::clone(&group);
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            group.make_primary(index);
        });
        true
    }));
}

fn start_consumer(
    proxy: &Proxy,
    consumer: usize,
    acknowledged: &Arc<Mutex<Vec<String>>>,
    stop: &Arc<AtomicBool>,
) {
    let (addr, machine) = (proxy.callers, proxy.machine);
    let (acknowledged, stop) = (Arc::clone(acknowledged), Arc::clone(stop));
    thread::spawn(move || {
        let mut session = None;
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
            if session.is_none() {
                session = Consumer::connect(addr, "db1").ok();
            }
            let Some(connected) = &mut session else { continue };
            number += 1;
            let request = format!("m{machine}c{consumer}-{number}");
            match connected.ask(&request, &format!("WRITE item{consumer} v{number}")) {
                Ok(answer) if answer.outcome.is_ok() => acknowledged.lock().unwrap().push(request),
                Ok(_) => {}
                Err(_) => session = None,
            }
        }
    });
}
