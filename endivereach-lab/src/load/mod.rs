//! Load: callers that book, register, cancel and read, and remember what they were told.

mod caller;
mod mix;
mod state;

pub use caller::Caller;
pub use caller::CallerConfig;
pub use mix::Mix;
pub use state::leave_state;

use crate::history::At;
use crate::history::Op;
use crate::history::Outcome;
use crate::history::Record;
use crate::sql::Login;
use crate::sql::SqlClient;
use endivereach_core::ids::GroupName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long a caller waits for an answer before it gives its connection up.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a probe waits for its answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// The name of the counter that ticks are written to.
pub const TICK_KEY: &str = "tick";

/// How many slots each group's schedule starts with.
pub const SLOTS_PER_GROUP: usize = 400;

/// What load is put on a fleet.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// The share of each kind of request.
    pub mix: Mix,
    /// How many callers each group has.
    pub callers_per_group: usize,
    /// How long a caller pauses between requests, on average.
    pub think: Duration,
    /// After how many requests a caller moves to another proxy; zero for never.
    pub roam_every: u32,
    /// The time between two ticks of one group.
    pub tick_every: Duration,
    /// The greatest age that aged reads accept, as the rules state it.
    pub max_age: Duration,
    /// The share of callers, from 0 to 1, that use the first proxy only.
    pub skew: f64,
    /// The seed of all choices.
    pub seed: u64,
}

impl Default for LoadConfig {
    /// Twelve callers a group on the Caroni mix, each pausing 20 ms, roaming every 7 requests.
    fn default() -> Self {
        Self {
            mix: Mix::CARONI,
            callers_per_group: 12,
            think: Duration::from_millis(20),
            roam_every: 7,
            tick_every: Duration::from_millis(100),
            max_age: Duration::from_secs(2),
            skew: 0.0,
            seed: 1,
        }
    }
}

/// The addresses by which callers reach the proxies, and the groups behind them.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Where each proxy accepts callers. A proxy that was replaced keeps its place.
    pub proxies: Arc<Mutex<Vec<SocketAddr>>>,
    /// The groups.
    pub groups: Vec<GroupName>,
}

impl Endpoints {
    /// Returns the address of the proxy with the given number.
    pub fn proxy(&self, number: usize) -> SocketAddr {
        let proxies = self.proxies.lock().unwrap_or_else(PoisonError::into_inner);
        proxies[number % proxies.len()]
    }

    /// Returns how many proxies there are.
    pub fn proxy_count(&self) -> usize {
        let proxies = self.proxies.lock().unwrap_or_else(PoisonError::into_inner);
        proxies.len()
    }
}

/// Where callers put their records.
#[derive(Debug)]
pub struct Journal {
    origin: Instant,
    records: Mutex<Vec<Record>>,
    stopped: AtomicBool,
}

impl Journal {
    /// Creates an empty journal whose clock starts now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            records: Mutex::new(Vec::new()),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns the present moment on the journal's clock.
    pub fn at(&self) -> At {
        At(self.origin.elapsed())
    }

    /// Adds a record.
    pub fn add(&self, record: Record) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }

    /// Returns all records so far.
    pub fn records(&self) -> Vec<Record> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

impl Default for Journal {
    fn default() -> Self {
        Self::new()
    }
}

/// Load that is running. [`Load::stop`] ends it.
#[derive(Debug)]
pub struct Load {
    journal: Arc<Journal>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// Starts the callers and one ticker per group.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn spawn(config: &LoadConfig, endpoints: &Endpoints) -> anyhow::Result<Self> {
        let journal = Arc::new(Journal::new());
        let mut threads = Vec::new();
        for group in 0..endpoints.groups.len() {
            threads.push(spawn_ticker(config, endpoints, &journal, group)?);
            for place in 0..config.callers_per_group {
                let number = (group * config.callers_per_group + place + 1) as u32;
                let caller = CallerConfig {
                    number,
                    group,
                    pinned: (place as f64) < config.skew * config.callers_per_group as f64,
                };
                threads.push(spawn_caller(config, endpoints, &journal, caller)?);
            }
        }
        Ok(Self { journal, threads })
    }

    /// Returns the journal that the callers write.
    pub fn journal(&self) -> &Arc<Journal> {
        &self.journal
    }

    /// Lets every caller end its request and returns all records.
    pub fn stop(self) -> Vec<Record> {
        self.journal.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.journal.records()
    }
}

fn spawn_caller(
    config: &LoadConfig,
    endpoints: &Endpoints,
    journal: &Arc<Journal>,
    caller: CallerConfig,
) -> std::io::Result<thread::JoinHandle<()>> {
    let (config, endpoints, journal) = (config.clone(), endpoints.clone(), journal.clone());
    thread::Builder::new()
        .name(format!("caller-{}", caller.number))
        .stack_size(256 * 1024)
        .spawn(move || {
            let mut caller = Caller::new(config, endpoints, caller);
            while !journal.is_stopped() {
                caller.run_one(&journal);
                caller.pause();
            }
        })
}

/// Writes the group's tick through changing proxies.
fn spawn_ticker(
    config: &LoadConfig,
    endpoints: &Endpoints,
    journal: &Arc<Journal>,
    group: usize,
) -> std::io::Result<thread::JoinHandle<()>> {
    let (config, endpoints, journal) = (config.clone(), endpoints.clone(), journal.clone());
    thread::Builder::new()
        .name(format!("ticker-{group}"))
        .spawn(move || {
            let every = config.tick_every;
            let place = CallerConfig {
                number: 0,
                group,
                pinned: false,
            };
            let mut caller = Caller::new(config, endpoints, place);
            let mut value = 0;
            while !journal.is_stopped() {
                value += 1;
                caller.run(&journal, Op::Tick { value });
                thread::sleep(every);
            }
        })
}

/// Fills the tables that the load uses, through the proxy at `addr`.
///
/// # Errors
///
/// Returns an error when a statement fails.
pub fn prepare(addr: SocketAddr, group: &GroupName, callers: &[u32]) -> anyhow::Result<()> {
    let login = Login {
        user: "lab".into(),
        database: group.as_str().into(),
        parameters: Vec::new(),
    };
    let mut client = SqlClient::connect(addr, &login, CALLER_TIMEOUT)?;
    let counters: Vec<_> = callers
        .iter()
        .map(|caller| format!("('caller-{caller}', 0)"))
        .collect();
    client.query(&format!(
        "INSERT INTO registers (key, value) VALUES {}",
        counters.join(", ")
    ))?;
    for table in ["aged_counters", "latest_counters"] {
        client.query(&format!(
            "INSERT INTO {table} (key, value) VALUES ('{TICK_KEY}', 0)"
        ))?;
    }
    let slots: Vec<_> = (0..SLOTS_PER_GROUP)
        .map(|slot| format!("('slot-{slot}', 'free', 0)"))
        .collect();
    client.query(&format!(
        "INSERT INTO berth_schedule (slot_id, state, revision) VALUES {}",
        slots.join(", ")
    ))?;
    Ok(())
}

/// Asks for a group's first booking, to see whether the group answers at `addr`.
///
/// # Errors
///
/// Returns the error of the connection or the request.
pub fn probe(addr: SocketAddr, group: &GroupName) -> anyhow::Result<()> {
    let login = Login {
        user: "lab".into(),
        database: group.as_str().into(),
        parameters: Vec::new(),
    };
    let mut client = SqlClient::connect(addr, &login, PROBE_TIMEOUT)?;
    client.query("SELECT id FROM bookings LIMIT 1")?;
    Ok(())
}

/// Starts a transaction at a random proxy and vanishes in the middle of a statement.
pub fn vanish(endpoints: &Endpoints, rng: &mut impl rand::Rng) {
    let login = Login {
        user: "lab".into(),
        database: endpoints.groups[0].as_str().into(),
        parameters: Vec::new(),
    };
    let addr = endpoints.proxy(rng.random_range(0..endpoints.proxy_count()));
    if let Ok(mut client) = SqlClient::connect(addr, &login, PROBE_TIMEOUT) {
        let _ = client.query("BEGIN");
        let sql = "UPDATE aged_counters SET value = 0 WHERE key = 'vanished'";
        let _ = client.send_query(sql);
    }
}

/// Translates an error into what the caller was told.
pub(crate) fn outcome_of(error: &crate::sql::SqlError) -> Outcome {
    match error {
        crate::sql::SqlError::Broken(_) => Outcome::Broken,
        crate::sql::SqlError::Refused { sqlstate, .. } => match &**sqlstate {
            "EV001" => Outcome::NotRun,
            "EV002" => Outcome::Unknown,
            _ => Outcome::Failed {
                sqlstate: sqlstate.clone(),
            },
        },
    }
}
