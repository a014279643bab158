//! A tree of named children: threads that are started again when they fail, and watched for stalls.
//!
//! A child is a function that runs until it is told to stop. One that returns an error or panics is
//! started again, with a growing delay and a limit a minute. One that shows no heartbeat is
//! reported, and past a bound the process ends: a thread can't be ended from outside.

mod watchdog;

use endivereach_core::clock::Clock;
use endivereach_core::clock::SystemClock;
use endivereach_core::supervision::RestartConfig;
use endivereach_core::supervision::RestartDecision;
use endivereach_core::supervision::RestartPolicy;
use endivereach_core::supervision::StallConfig;
use std::any::Any;
use std::io;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How a supervisor treats its children.
#[derive(Clone, Copy, Debug)]
pub struct SupervisorConfig {
    /// When a failed child is started again.
    pub restart: RestartConfig,
    /// When a silent child counts as stalled.
    pub stall: StallConfig,
    /// The time between two looks of the watchdog. Default: 1 s.
    pub tick: Duration,
}

impl Default for SupervisorConfig {
    fn default() -> Self {
        Self {
            restart: RestartConfig::default(),
            stall: StallConfig::default(),
            tick: Duration::from_secs(1),
        }
    }
}

/// Why the process can't go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// A child failed more often than the limit allows.
    #[error("{child} failed too often within a minute; the last reason: {reason}")]
    TooManyRestarts {
        /// The child.
        child: Box<str>,
        /// The last failure.
        reason: Box<str>,
    },
    /// A child showed no heartbeat for too long.
    #[error("{child} has shown no heartbeat for {silent_ticks} ticks of the watchdog")]
    Stalled {
        /// The child.
        child: Box<str>,
        /// How many ticks it was silent.
        silent_ticks: u32,
    },
}

/// Counts of one child since the start of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildCounts {
    /// The child's path in the tree.
    pub name: Box<str>,
    /// How often it was started again.
    pub restarts: u64,
    /// How often it stalled.
    pub stalls: u64,
    /// Whether it runs now.
    pub running: bool,
}

#[derive(Debug)]
struct ChildState {
    name: Box<str>,
    beats: AtomicU64,
    restarts: AtomicU64,
    stalls: AtomicU64,
    running: AtomicBool,
}

#[derive(Debug, Default)]
struct Status {
    stopping: bool,
    failure: Option<Failure>,
}

#[derive(Debug)]
struct Shared {
    config: SupervisorConfig,
    children: Mutex<Vec<Arc<ChildState>>>,
    threads: Mutex<Vec<thread::JoinHandle<()>>>,
    status: Mutex<Status>,
    changed: Condvar,
}

impl Shared {
    fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.status().stopping
    }

    /// Waits for `wait` or until the tree stops. Returns whether it stops.
    fn sleep(&self, wait: Duration) -> bool {
        let status = self.status();
        let (status, _) = self
            .changed
            .wait_timeout_while(status, wait, |status| !status.stopping)
            .unwrap_or_else(PoisonError::into_inner);
        status.stopping
    }

    fn fail(&self, failure: Failure) {
        log::error!("{failure}");
        self.status().failure.get_or_insert(failure);
        self.changed.notify_all();
    }
}

/// What a child is given: its heartbeat and the order to stop.
#[derive(Debug)]
pub struct Child {
    state: Arc<ChildState>,
    shared: Arc<Shared>,
}

impl Child {
    /// Shows that the child moves. Call it once in every turn of its loop.
    pub fn beat(&self) {
        self.state.beats.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the child must return.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Shows a heartbeat, then waits for `wait` or until the child must return. Returns whether it
    /// goes on, so that a loop reads `while child.pause(wait) { ... }`.
    pub fn pause(&self, wait: Duration) -> bool {
        self.beat();
        !self.shared.sleep(wait)
    }
}

/// A running tree of children, or one branch of it.
#[derive(Clone, Debug)]
pub struct Supervisor {
    shared: Arc<Shared>,
    path: Box<str>,
}

impl Supervisor {
    /// Starts a tree with no child but its watchdog.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the watchdog's thread can't be started.
    pub fn spawn(config: SupervisorConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            config,
            children: Mutex::default(),
            threads: Mutex::default(),
            status: Mutex::default(),
            changed: Condvar::new(),
        });
        watchdog::spawn(Arc::clone(&shared))?;
        Ok(Self {
            shared,
            path: "".into(),
        })
    }

    /// Returns the branch `name` of this tree. Its children carry the branch's name before theirs.
    pub fn branch(&self, name: &str) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            path: format!("{}{name}/", self.path).into(),
        }
    }

    /// Starts a child that runs `run` until the tree stops. A child that returns `Ok` has ended.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread can't be started.
    pub fn start<F>(&self, name: &str, run: F) -> io::Result<()>
    where
        F: Fn(&Child) -> anyhow::Result<()> + Send + 'static,
    {
        let state = Arc::new(ChildState {
            name: format!("{}{name}", self.path).into(),
            beats: AtomicU64::new(0),
            restarts: AtomicU64::new(0),
            stalls: AtomicU64::new(0),
            running: AtomicBool::new(true),
        });
        let child = Child {
            state: Arc::clone(&state),
            shared: Arc::clone(&self.shared),
        };
        let thread = thread::Builder::new()
            .name(thread_name(name))
            .spawn(move || keep_running(&child, &run))?;
        lock(&self.shared.children).push(state);
        lock(&self.shared.threads).push(thread);
        Ok(())
    }

    /// Waits up to `wait` and returns why the process can't go on, if so.
    pub fn wait_failure(&self, wait: Duration) -> Option<Failure> {
        let status = self.shared.status();
        let (status, _) = self
            .shared
            .changed
            .wait_timeout_while(status, wait, |status| status.failure.is_none())
            .unwrap_or_else(PoisonError::into_inner);
        status.failure.clone()
    }

    /// Returns the counts of every child.
    pub fn counts(&self) -> Vec<ChildCounts> {
        let children = lock(&self.shared.children);
        children.iter().map(|state| state.counts()).collect()
    }

    /// Tells every child to return and waits up to `bound` for them. Returns whether all did.
    pub fn stop(&self, bound: Duration) -> bool {
        self.shared.status().stopping = true;
        self.shared.changed.notify_all();
        let deadline = Instant::now() + bound;
        let threads = std::mem::take(&mut *lock(&self.shared.threads));
        for thread in threads {
            while !thread.is_finished() {
                if Instant::now() >= deadline {
                    return false;
                }
                thread::sleep(Duration::from_millis(2));
            }
            // A child's panics are caught inside its thread.
            let _ = thread.join();
        }
        true
    }
}

impl ChildState {
    fn counts(&self) -> ChildCounts {
        ChildCounts {
            name: self.name.clone(),
            restarts: self.restarts.load(Ordering::Relaxed),
            stalls: self.stalls.load(Ordering::Relaxed),
            running: self.running.load(Ordering::Relaxed),
        }
    }
}

/// Runs a child until it ends, is told to stop, or has failed too often.
fn keep_running<F>(child: &Child, run: &F)
where
    F: Fn(&Child) -> anyhow::Result<()>,
{
    let mut restarts = RestartPolicy::new(child.shared.config.restart);
    while let Err(reason) = run_once(child, run) {
        if child.is_stopping() {
            break;
        }
        match restarts.after_failure(SystemClock.now()) {
            RestartDecision::Restart { delay } => {
                log::warn!("{} failed and is started again: {reason}", child.state.name);
                child.state.restarts.fetch_add(1, Ordering::Relaxed);
                if !child.pause(delay) {
                    break;
                }
            }
            RestartDecision::GiveUp => {
                let child_name = child.state.name.clone();
                child.shared.fail(Failure::TooManyRestarts {
                    child: child_name,
                    reason,
                });
                break;
            }
        }
    }
    child.state.running.store(false, Ordering::Relaxed);
}

/// Runs a child once and returns the reason of its failure, a panic's message included.
fn run_once<F>(child: &Child, run: &F) -> Result<(), Box<str>>
where
    F: Fn(&Child) -> anyhow::Result<()>,
{
    match catch_unwind(AssertUnwindSafe(|| run(child))) {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(format!("{error:#}").into()),
        Err(panic) => Err(panic_text(&*panic).into()),
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    format!("it panicked: {}", text.unwrap_or_default())
}

/// Cuts a name to what the operating system shows of a thread's name.
fn thread_name(name: &str) -> String {
    name.chars().take(15).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
