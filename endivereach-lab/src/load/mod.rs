//! Load: callers that write and read, and record the outcome of every request.

mod caller;
mod mix;
mod state;

pub use caller::Caller;
pub use caller::CallerIdentity;
pub use mix::Mix;
pub use state::leave_session_state;

use crate::history::Op;
use crate::history::Outcome;
use crate::history::Record;
use crate::history::Timestamp;
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

/// How long a caller waits for an answer before it closes its connection.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// The key of the counter that ticks are written to.
pub const TICK_KEY: &str = "tick";

/// The number of free slots that each group's schedule starts with.
pub const SLOTS_PER_GROUP: usize = 400;

/// The load on a fleet of proxies.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// The weights of the kinds of requests.
    pub mix: Mix,
    /// The number of callers of each group.
    pub callers_per_group: usize,
    /// The average pause of a caller between two requests.
    pub think_time: Duration,
    /// The number of requests after which a caller reconnects to a random proxy; zero for never.
    pub requests_per_connection: u32,
    /// The time between two ticks of one group.
    pub tick_interval: Duration,
    /// The maximum age that aged reads accept, as stated in the rules.
    pub max_age: Duration,
    /// The share of callers, from 0 to 1, that only use the first proxy.
    pub skew: f64,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for LoadConfig {
    /// Twelve callers per group with the Caroni mix, which pause for 20 ms on average and change
    /// the proxy every 7 requests.
    fn default() -> Self {
        Self {
            mix: Mix::CARONI,
            callers_per_group: 12,
            think_time: Duration::from_millis(20),
            requests_per_connection: 7,
            tick_interval: Duration::from_millis(100),
            max_age: Duration::from_secs(2),
            skew: 0.0,
            seed: 1,
        }
    }
}

/// The addresses at which callers reach the proxies, and the names of the groups.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The address of each proxy, by its number. A replaced proxy keeps its number.
    pub proxies: Arc<Mutex<Vec<SocketAddr>>>,
    /// The names of the groups, by their numbers.
    pub groups: Vec<GroupName>,
}

impl Endpoints {
    /// Returns the address of the proxy with the given number, modulo the number of proxies.
    pub fn proxy(&self, number: usize) -> SocketAddr {
        let proxies = self.proxies.lock().unwrap_or_else(PoisonError::into_inner);
        proxies[number % proxies.len()]
    }

    /// Returns the number of proxies.
    pub fn proxy_count(&self) -> usize {
        let proxies = self.proxies.lock().unwrap_or_else(PoisonError::into_inner);
        proxies.len()
    }
}

/// The history of a run, to which callers append records of their requests.
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

    /// Returns the time since the journal was created.
    pub fn timestamp(&self) -> Timestamp {
        Timestamp(self.origin.elapsed())
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

/// Running load. [`Load::stop`] ends it.
#[derive(Debug)]
pub struct Load {
    journal: Arc<Journal>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// Starts the callers, and one thread per group that writes ticks.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn spawn(config: &LoadConfig, endpoints: &Endpoints) -> anyhow::Result<Self> {
        let journal = Arc::new(Journal::new());
        let mut threads = Vec::new();
        for group in 0..endpoints.groups.len() {
            threads.push(spawn_ticker(config, endpoints, &journal, group)?);
            for index in 0..config.callers_per_group {
                let number = (group * config.callers_per_group + index + 1) as u32;
                let caller = CallerIdentity {
                    number,
                    group,
                    uses_first_proxy_only: (index as f64)
                        < config.skew * config.callers_per_group as f64,
                };
                threads.push(spawn_caller(config, endpoints, &journal, caller)?);
            }
        }
        Ok(Self { journal, threads })
    }

    /// Returns the journal that the callers write to.
    pub fn journal(&self) -> &Arc<Journal> {
        &self.journal
    }

    /// Waits until every caller has finished its current request, and returns all records.
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
    caller: CallerIdentity,
) -> std::io::Result<thread::JoinHandle<()>> {
    let (config, endpoints, journal) = (config.clone(), endpoints.clone(), journal.clone());
    thread::Builder::new()
        .name(format!("caller-{}", caller.number))
        .stack_size(256 * 1024)
        .spawn(move || {
            let mut caller = Caller::new(config, endpoints, caller);
            while !journal.is_stopped() {
                caller.run_next(&journal);
                caller.pause();
            }
        })
}

/// Starts a thread that writes increasing values to the group's tick, through changing proxies.
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
            let interval = config.tick_interval;
            let ticker = CallerIdentity {
                number: 0,
                group,
                uses_first_proxy_only: false,
            };
            let mut caller = Caller::new(config, endpoints, ticker);
            let mut value = 0;
            while !journal.is_stopped() {
                value += 1;
                caller.run(&journal, Op::Tick { value });
                thread::sleep(interval);
            }
        })
}

/// Inserts the rows that the load uses into a group's tables, through the proxy at `addr`.
///
/// # Errors
///
/// Returns an error when a statement fails.
pub fn fill_tables(addr: SocketAddr, group: &GroupName, callers: &[u32]) -> anyhow::Result<()> {
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

/// Checks that a group answers reads at `addr`.
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

/// Starts a transaction at a random proxy, and disconnects without waiting for the answer to its
/// statement.
pub fn disconnect_mid_statement(endpoints: &Endpoints, rng: &mut impl rand::Rng) {
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

/// Converts an error into the outcome that the caller observed.
pub(crate) fn outcome_of(error: &crate::sql::SqlError) -> Outcome {
    match error {
        crate::sql::SqlError::Broken(_) => Outcome::Broken,
        crate::sql::SqlError::Server { sqlstate, .. } => match &**sqlstate {
            "EV001" => Outcome::NotRun,
            "EV002" => Outcome::Unknown,
            _ => Outcome::Failed {
                sqlstate: sqlstate.clone(),
            },
        },
    }
}
