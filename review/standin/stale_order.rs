//! A primary is replaced as planned while the platform's promotion service is slow to take new
//! connections, and the machine that is about to order the promotion freezes. Looks for an order under
//! a lower fencing token than the service has seen.

mod world;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{Answer, Group, GroupSettings, PromoteHandler, Proxies, Session, Store};

const SERVICE: &str = "ledger";
const CONNECTIONS_MAX: usize = 16;
const PROXIES: usize = 7;
const SESSIONS: usize = 14;
/// Sessions at each proxy that set session values all the time, so that the proxy is at work.
const BUSY_SESSIONS: usize = 8;
/// How long the frozen machine stands still.
const FREEZE: Duration = Duration::from_millis(3_500);
/// From the write for the duty until the freeze. The order is under way by then.
const FREEZE_DELAY: Duration = Duration::from_millis(200);
/// From the freeze until the promotion service takes connections at its usual speed again.
const SLOW_AFTER_FREEZE: Duration = Duration::from_millis(500);

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

/// The promotion service. While it is slow, its queue of new connections is full, so that opening
/// packets are dropped and sent again by the kernel of their sender.
struct PromotionService {
    addr: SocketAddr,
    socket: i32,
    is_slow: Arc<AtomicBool>,
    queued: Vec<TcpStream>,
}

impl PromotionService {
    fn open(store: &Store, promote: Arc<PromoteHandler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let service = Self {
            addr: listener.local_addr().expect("an address"),
            socket: listener.as_raw_fd(),
            is_slow: Arc::new(AtomicBool::new(false)),
            queued: Vec::new(),
        };
        let (is_slow, store) = (service.is_slow.clone(), store.clone());
        thread::spawn(move || {
            loop {
                if !is_slow.load(Ordering::SeqCst)
                    && let Ok((stream, _)) = listener.accept()
                {
                    let _ = stream.set_nonblocking(false);
                    let (store, promote) = (store.clone(), promote.clone());
                    thread::spawn(move || store.serve(stream, &*promote));
                    continue;
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        service
    }

    fn slow_down(&mut self) {
        self.is_slow.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        // SAFETY: The socket is a listening one, whose queue gets shorter.
        unsafe { listen(self.socket, 0) };
        let limit = Duration::from_millis(100);
        while let Ok(stream) = TcpStream::connect_timeout(&self.addr, limit) {
            self.queued.push(stream);
        }
    }

    fn speed_up(&mut self) {
        // SAFETY: As above; the queue gets its usual length.
        unsafe { listen(self.socket, 128) };
        self.queued.clear();
        self.is_slow.store(false, Ordering::SeqCst);
    }
}

#[derive(Clone)]
struct Order {
    at: Instant,
    holder: String,
    token: u64,
    server: String,
    status: u16,
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
    let store = Store::open(Arc::new(|_, _, _, _| 404));
    group.set_store(&store);
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let (ordered, promoting) = (orders.clone(), group.clone());
    let handler = move |_: &str, id: &str, holder: &str, token: u64| {
        let at = Instant::now();
        let status = promoting.promote(id);
        world::lock(&ordered).push(Order {
            at,
            holder: holder.to_owned(),
            token,
            server: id.to_owned(),
            status,
        });
        status
    };
    let mut service = PromotionService::open(&store, Arc::new(handler));
    for (number, id) in ["i-one", "i-two", "i-three"].into_iter().enumerate() {
        group.start_server(id, number == 0);
        group.register(id);
    }
    store.put("config", "main", world::config(7, SERVICE, CONNECTIONS_MAX));
    let proxies = Proxies::start(PROXIES, store.addr, service.addr);
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
            let mut session = None;
            let mut turn = 0;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(200));
                let Some(open) = session.as_mut() else {
                    session = Session::start(addr, "bookings");
                    continue;
                };
                let request = format!("{:016x}", next_request.fetch_add(1, Ordering::Relaxed));
                turn += 1;
                let text = if turn % 2 == 0 {
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
    for number in 0..BUSY_SESSIONS * PROXIES {
        let addr = proxies.processes[number % PROXIES].1.callers;
        let stop = stop.clone();
        consumers.push(thread::spawn(move || {
            let mut session = None;
            while !stop.load(Ordering::Relaxed) {
                let Some(open) = session.as_mut() else {
                    session = Session::start(addr, "bookings");
                    continue;
                };
                let budget = Duration::from_millis(2_000);
                if open.query("settings", "SET lang en", budget) == Answer::None {
                    session = None;
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));
    // The new server starts first, then the primary drains.
    group.start_server("i-four", false);
    group.register("i-four");
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        service.slow_down();
    }
    let duty_before = duty_holder(&store);
    {
        let mut state = group.locked();
        if let Some(index) = state.index("i-one") {
            state.servers[index].leaving = true;
        }
    }
    group.register("i-one");
    let mut notes = vec![(Instant::now(), "the primary i-one is draining".to_owned())];
    let until = Instant::now() + Duration::from_secs(5);
    let holder = loop {
        let holder = duty_holder(&store).filter(|holder| Some(holder) != duty_before.as_ref());
        if holder.is_some() || Instant::now() > until {
            break holder;
        }
        thread::sleep(Duration::from_millis(1));
    };
    let node = holder
        .as_deref()
        .and_then(|holder| holder.split('#').next());
    notes.push((
        Instant::now(),
        format!("the duty was written by {holder:?}"),
    ));
    let process = proxies
        .processes
        .iter()
        .find(|(_, paths)| Some(paths.node.as_str()) == node)
        .map(|(process, _)| process.id() as i32);
    if has_trouble && let Some(process) = process {
        thread::sleep(FREEZE_DELAY);
        // SAFETY: The process is a proxy that this program started and hasn't waited for.
        unsafe { kill(process, SIGSTOP) };
        let frozen_at = Instant::now();
        notes.push((frozen_at, format!("{node:?} freezes")));
        thread::sleep(SLOW_AFTER_FREEZE);
        service.speed_up();
        notes.push((
            Instant::now(),
            "the promotion service is fast again".to_owned(),
        ));
        thread::sleep((frozen_at + FREEZE).saturating_duration_since(Instant::now()));
        // SAFETY: As above.
        unsafe { kill(process, SIGCONT) };
        notes.push((Instant::now(), format!("{node:?} goes on")));
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let state = group.locked();
    let answers = world::lock(&answers);
    let orders = world::lock(&orders);
    let ms = |at: Instant| at.saturating_duration_since(start).as_millis();
    let mut highest = 0;
    let mut stale = Vec::new();
    for order in orders.iter() {
        if order.token < highest {
            stale.push(order.clone());
        }
        highest = highest.max(order.token);
    }
    let served = answers
        .iter()
        .filter(|a| matches!(a.4, Answer::Done(_)))
        .count();
    let mut record = format!(
        "attempts {} served {served} promotion orders {} under a lower token than seen {}\n",
        answers.len(),
        orders.len(),
        stale.len()
    );
    for (at, note) in &notes {
        record += &format!("{} {note}\n", ms(*at));
    }
    for order in orders.iter() {
        record += &format!(
            "{} order of {} under the token {} for {}: {}\n",
            ms(order.at),
            order.holder,
            order.token,
            order.server,
            order.status
        );
    }
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
    if !is_written || served == 0 || orders.is_empty() || process.is_none() {
        return 2;
    }
    i32::from(!stale.is_empty())
}

/// Returns the process that holds the promotion duty.
fn duty_holder(store: &Store) -> Option<String> {
    let spec = store.spec("endivereach", "duty-promotion")?;
    Some(
        world::json_field(&spec, "holder")?
            .trim_matches('"')
            .to_owned(),
    )
}
