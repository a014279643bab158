//! A stand-in for the platform: the object API with injected faults, and a list of VMs that lags.
//!
//! In addition to the calls of [`endivereach_wire::platform`] it answers the control calls of the
//! experiments: [`PATH_FAULT`], [`PATH_COUNTERS`] and [`PATH_VMS_SET`].

mod faults;
mod store;
mod vms;

pub use faults::Fault;
pub use faults::Outage;

use endivereach_core::directory::Vm;
use endivereach_wire::http::Call;
use endivereach_wire::http::Reply;
use endivereach_wire::http::Server;
use endivereach_wire::platform as api;
use faults::Admission;
use faults::FaultInjector;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use store::Store;
use vms::Vms;

/// The path of the control call that replaces the injected faults; its request is a [`Fault`].
pub const PATH_FAULT: &str = "/fault";
/// The path of the control call that returns [`Counters`].
pub const PATH_COUNTERS: &str = "/counters";
/// The path of the control call that replaces the list of VMs; its request is `Vec<Vm>`.
pub const PATH_VMS_SET: &str = "/vms-set";

/// The maximum size of an object's value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// The maximum wait of a watch, in milliseconds.
const WATCH_WAIT_MAX_MS: u64 = 60_000;

/// How long a lost answer is delayed. Clients time out long before.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(30);

/// The configuration of a platform.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The delay before a change to the list of VMs becomes visible. Default: none.
    pub vms_lag: Duration,
    /// The maximum number of writes per second; further ones are refused. Default: unlimited.
    pub writes_per_second: Option<u32>,
    /// The maximum number of reads per second; further ones are refused. Default: unlimited.
    pub reads_per_second: Option<u32>,
}

endivereach_core::data! {
    /// The number of calls of each kind, including refused and unanswered ones.
    #[derive(Default)]
    pub struct Counters {
        /// Reads of one object.
        pub gets: u64,
        /// Writes.
        pub puts: u64,
        /// Reads of a whole kind.
        pub lists: u64,
        /// Watches.
        pub watches: u64,
        /// Reads of the list of VMs.
        pub vms: u64,
        /// Writes that failed because the object had another version.
        pub conflicts: u64,
        /// Calls refused because of a rate limit.
        pub refused: u64,
        /// Calls that were refused or hung because of an outage.
        pub outages: u64,
        /// Writes that took effect and lost their answer.
        pub answers_lost: u64,
    }
}

#[derive(Default)]
struct AtomicCounters {
    gets: AtomicU64,
    puts: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    vms: AtomicU64,
    conflicts: AtomicU64,
    refused: AtomicU64,
    outages: AtomicU64,
    answers_lost: AtomicU64,
}

impl AtomicCounters {
    fn read(&self) -> Counters {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counters {
            gets: get(&self.gets),
            puts: get(&self.puts),
            lists: get(&self.lists),
            watches: get(&self.watches),
            vms: get(&self.vms),
            conflicts: get(&self.conflicts),
            refused: get(&self.refused),
            outages: get(&self.outages),
            answers_lost: get(&self.answers_lost),
        }
    }
}

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// A running platform. Dropping the handle stops it.
pub struct Platform {
    server: Server,
}

impl Platform {
    /// Binds `addr` and serves the object API.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address can't be bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::ids::Version;
    /// use endivereach_lab::platform::{Config, Platform};
    /// use endivereach_wire::platform::PlatformClient;
    /// use std::time::Duration;
    ///
    /// let platform = Platform::bind("127.0.0.1:0".parse().unwrap(), Config::default()).unwrap();
    /// let client = PlatformClient::new(platform.addr(), Duration::from_secs(5));
    /// client.put("rules", "all", Version::new(0), "op-1", &"text").unwrap();
    /// assert_eq!(client.list("rules").unwrap().len(), 1);
    /// ```
    pub fn bind(addr: SocketAddr, config: Config) -> io::Result<Self> {
        let service = Service {
            store: Store::default(),
            vms: Vms::new(config.vms_lag),
            faults: FaultInjector::new(&config),
            counts: AtomicCounters::default(),
        };
        let service = Arc::new(service);
        let server = Server::bind(addr, move |call| service.answer(&call))?;
        Ok(Self { server })
    }

    /// Returns the address that the platform is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

struct Service {
    store: Store,
    vms: Vms,
    faults: FaultInjector,
    counts: AtomicCounters,
}

impl Service {
    fn answer(&self, call: &Call) -> Reply {
        let answer = match &*call.path {
            PATH_FAULT => call.decode().map(|fault: Fault| {
                self.faults.set(fault);
                Reply::value(&())
            }),
            PATH_COUNTERS => Ok(Reply::value(&self.counts.read())),
            PATH_VMS_SET => call.decode().map(|list: Vec<Vm>| {
                self.vms.set(list);
                Reply::value(&())
            }),
            api::PATH_PUT => self.run_limited(&self.counts.puts, true, || self.put(call)),
            api::PATH_GET => self.run_limited(&self.counts.gets, false, || self.get(call)),
            api::PATH_LIST => self.run_limited(&self.counts.lists, false, || self.list(call)),
            api::PATH_WATCH => self.run_limited(&self.counts.watches, false, || self.watch(call)),
            api::PATH_VMS => self.run_limited(&self.counts.vms, false, || {
                Ok(Reply::value(&self.vms.visible()))
            }),
            _ => Err(Reply::error_response(
                "unknown_call",
                "use a path of the object API",
            )),
        };
        answer.unwrap_or_else(|refusal| refusal)
    }

    /// Counts a call, and runs it unless a fault or a rate limit prevents it.
    fn run_limited(
        &self,
        count: &AtomicU64,
        is_write: bool,
        run: impl FnOnce() -> Result<Reply, Reply>,
    ) -> Result<Reply, Reply> {
        increment(count);
        match self.faults.admit(is_write) {
            Admission::Run => {}
            Admission::RateLimited => {
                increment(&self.counts.refused);
                return Err(Reply::error_response(
                    "rate_limited",
                    "the platform's rate is used up; repeat the call later",
                ));
            }
            Admission::Refuse => {
                increment(&self.counts.outages);
                return Err(Reply::error_response(
                    "unavailable",
                    "the platform is down; repeat the call later",
                ));
            }
            Admission::Hang => {
                increment(&self.counts.outages);
                self.faults.hang();
                return Err(Reply::error_response(
                    "unavailable",
                    "the platform was down; repeat the call",
                ));
            }
        }
        let answer = run();
        if is_write && answer.is_ok() && self.faults.should_lose_answer() {
            increment(&self.counts.answers_lost);
            thread::sleep(LOST_ANSWER_DELAY);
        }
        answer
    }

    fn put(&self, call: &Call) -> Result<Reply, Reply> {
        let put: api::Put = call.decode()?;
        if put.value.len() > VALUE_MAX_BYTES {
            return Err(Reply::error_response(
                "too_large",
                "send a value of at most one megabyte",
            ));
        }
        let outcome = self.store.put(put);
        if matches!(outcome, api::PutOutcome::Conflict { .. }) {
            increment(&self.counts.conflicts);
        }
        Ok(Reply::value(&outcome))
    }

    fn get(&self, call: &Call) -> Result<Reply, Reply> {
        let get: api::Get = call.decode()?;
        Ok(Reply::value(&self.store.get(&get.kind, &get.name)))
    }

    fn list(&self, call: &Call) -> Result<Reply, Reply> {
        let list: api::List = call.decode()?;
        Ok(Reply::value(&self.store.list(&list.kind)))
    }

    fn watch(&self, call: &Call) -> Result<Reply, Reply> {
        let watch: api::Watch = call.decode()?;
        let wait = Duration::from_millis(watch.wait_ms.min(WATCH_WAIT_MAX_MS));
        Ok(Reply::value(&self.store.watch(
            &watch.kind,
            watch.after,
            wait,
        )))
    }
}
