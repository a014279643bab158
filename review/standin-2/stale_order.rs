//! A primary crashes, and the machine that is about to order the promotion of its successor freezes.
//! Another one takes the duty over meanwhile and orders a promotion. Then the first one wakes.

use crate::group::{Group, HEARTBEAT};
use crate::store::{Order, Platform};
use crate::world::{self, Consumer, Proxy, Record, SIGCONT, SIGSTOP};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long the machine stands still: `for_s` of the site.
const FREEZE: Duration = Duration::from_millis(3_500);
/// `promote_ms` of the site.
const PROMOTE: Duration = Duration::from_millis(600);
/// How long a crashed primary is down.
const DOWN: Duration = Duration::from_secs(5);
const ROUND: Duration = Duration::from_secs(11);
const ROUNDS: usize = 6;

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
    for proxy in &proxies {
        start_consumer(proxy, &stop);
    }
    // Whether the next machine that connects to the promotion service freezes.
    let is_armed = Arc::new(AtomicBool::new(false));
    let pids: Vec<i32> = proxies.iter().map(Proxy::pid).collect();
    set_freeze(&platform, &is_armed, &pids, &record);
    thread::sleep(Duration::from_secs(5));

    for round in 0..ROUNDS {
        let began_at = Instant::now();
        let Some(primary) = group.primary() else {
            record.line("no primary; the round is left out");
            thread::sleep(ROUND);
            continue;
        };
        is_armed.store(has_trouble, Ordering::SeqCst);
        record.line(format!("round {round}: the primary i-svca-{primary} crashes"));
        group.crash(primary);
        thread::sleep(HEARTBEAT * 3);
        let id = group.servers.lock().unwrap()[primary].id.clone();
        platform.remove("servers", &id);
        thread::sleep(DOWN.saturating_sub(began_at.elapsed()));
        is_armed.store(false, Ordering::SeqCst);
        group.restart(primary);
        record.line(format!("round {round}: {id} is back"));
        thread::sleep(ROUND.saturating_sub(began_at.elapsed()));
        if lower_tokens(&platform.orders.lock().unwrap()) > 0 {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);

    let orders = platform.orders.lock().unwrap().clone();
    let mut highest = 0;
    for order in &orders {
        let Order { machine, token, service, id, .. } = order;
        record.line_at(order.at, format!("order from machine {machine}: token {token}, {service} {id}"));
        if *token < highest {
            record.line_at(order.at, format!("ONE: machine {machine} sent token {token} after the platform had seen {highest}"));
        }
        highest = highest.max(*token);
    }
    let running = proxies.iter_mut().all(Proxy::is_running);
    record.line(format!("all processes still run: {running}; orders: {}", orders.len()));
    drop(proxies);
    let _ = std::fs::remove_dir_all(&dir);
    let code = match (orders.is_empty(), lower_tokens(&orders)) {
        (true, _) => 2,
        (false, 0) => 0,
        (false, _) => 1,
    };
    record.line(format!("result: {}", ["the rule held", "the rule was broken", "could not run"][code as usize]));
    code
}

fn lower_tokens(orders: &[Order]) -> usize {
    let mut highest = 0;
    let mut lower = 0;
    for order in orders {
        lower += usize::from(order.token < highest);
        highest = highest.max(order.token);
    }
    lower
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

/// Freezes a machine when it connects to the promotion service.
fn set_freeze(
    platform: &Arc<Platform>,
    is_armed: &Arc<AtomicBool>,
    pids: &[i32],
    record: &Arc<Record>,
) {
    let (is_armed, pids, record) = (Arc::clone(is_armed), pids.to_vec(), Arc::clone(record));
    *platform.accepted.lock().unwrap() = Some(Arc::new(move |machine| {
        if !is_armed.swap(false, Ordering::SeqCst) {
            return;
        }
        let pid = pids[machine];
        world::signal_process(pid, SIGSTOP);
        record.line(format!("machine {machine} freezes"));
        let record = Arc::clone(&record);
        thread::spawn(move || {
            thread::sleep(FREEZE);
            world::signal_process(pid, SIGCONT);
            record.line(format!("machine {machine} wakes"));
        });
    }));
}

fn start_consumer(proxy: &Proxy, stop: &Arc<AtomicBool>) {
    let (addr, machine, stop) = (proxy.callers, proxy.machine, Arc::clone(stop));
    thread::spawn(move || {
        let mut session = None;
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
            if session.is_none() {
                session = Consumer::connect(addr, "db1").ok();
            }
            let Some(consumer) = &mut session else { continue };
            number += 1;
            if consumer.ask(&format!("m{machine}-{number}"), &format!("WRITE item v{number}")).is_err() {
                session = None;
            }
        }
    });
}
