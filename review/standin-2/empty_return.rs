//! One replica receives nothing for a while. The other one crashes, and starts again under its id when
//! its entry has expired; it holds nothing of before, and copies the log. Before it has, the primary
//! crashes.

use crate::group::{Group, HEARTBEAT};
use crate::store::{Order, Platform};
use crate::world::{self, Consumer, Proxy, Record};
use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the first replica receives nothing: `for_s` of the site.
const DEAF: Duration = Duration::from_millis(6_500);
/// How long the second replica is down.
const REPLICA_DOWN: Duration = Duration::from_millis(4_000);
/// How long the primary is down.
const PRIMARY_DOWN: Duration = Duration::from_millis(5_000);
/// `promote_ms` of the site.
const PROMOTE: Duration = Duration::from_millis(600);
const CONSUMERS: usize = 4;

pub fn run(record_path: &Path, has_trouble: bool) -> i32 {
    let start = Instant::now();
    let record = Record::create(record_path, start);
    let dir = world::temporary_dir();
    let platform = Platform::new(3);
    let group = Group::start(&platform, "svca");
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
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    for proxy in &proxies {
        for consumer in 0..CONSUMERS {
            start_consumer(proxy, consumer, &acknowledged, &stop);
        }
    }
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        trouble(&group, &platform, &record);
    } else {
        thread::sleep(Duration::from_secs(12));
    }
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(900));

    for order in platform.orders.lock().unwrap().iter() {
        let Order { machine, token, service, id, .. } = order;
        record.line_at(order.at, format!("order from machine {machine}: token {token}, {service} {id}"));
    }
    let acknowledged: HashSet<String> = acknowledged.lock().unwrap().iter().cloned().collect();
    let mut lost = HashSet::new();
    let runs = group.runs.lock().unwrap();
    for promotion in group.promotions.lock().unwrap().iter() {
        record.line_at(promotion.at, format!("{} leads term {} with {} commits", promotion.id, promotion.term, promotion.held.len()));
        for run in runs.iter().filter(|run| run.at < promotion.at) {
            if acknowledged.contains(&run.request) && !promotion.held.contains(&run.request) {
                lost.insert(run.request.clone());
                record.line_at(run.at, format!("LOST: {} ({}) was acknowledged, and isn't in the log of {}, promoted to term {}", run.request, run.text, promotion.id, promotion.term));
            }
        }
    }
    let running = proxies.iter_mut().all(Proxy::is_running);
    record.line(format!("acknowledged writes: {}; lost: {}; all processes still run: {running}", acknowledged.len(), lost.len()));
    drop(proxies);
    let _ = std::fs::remove_dir_all(&dir);
    let code = match (acknowledged.len(), lost.len()) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    };
    record.line(format!("result: {}", ["the rule held", "the rule was broken", "could not run"][code as usize]));
    code
}

fn trouble(group: &Arc<Group>, platform: &Arc<Platform>, record: &Record) {
    let began_at = Instant::now();
    let until = |after: Duration| thread::sleep(after.saturating_sub(began_at.elapsed()));
    let crashed_after = Duration::from_secs(1);
    let back_after = crashed_after + REPLICA_DOWN;
    let primary_after = back_after + Duration::from_millis(300);
    group.servers.lock().unwrap()[2].deaf = true;
    record.line("i-svca-2 receives nothing");
    until(crashed_after);
    group.crash(1);
    record.line("i-svca-1 crashes");
    until(crashed_after + HEARTBEAT * 3);
    platform.remove("servers", "i-svca-1");
    record.line("the entry of i-svca-1 has expired");
    until(back_after);
    group.restart_empty(1);
    record.line("i-svca-1 starts again, without a log");
    until(primary_after);
    let primary = group.primary().unwrap_or(0);
    group.crash(primary);
    record.line(format!("i-svca-{primary} crashes, the primary"));
    until(DEAF);
    group.hear(2);
    record.line("i-svca-2 receives again");
    until(primary_after + HEARTBEAT * 3);
    platform.remove("servers", &format!("i-svca-{primary}"));
    until(primary_after + PRIMARY_DOWN);
    group.restart(primary);
    record.line(format!("i-svca-{primary} is back with its log"));
    thread::sleep(Duration::from_secs(5));
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
