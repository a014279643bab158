//! A supervision tree of named children: threads that are restarted when they fail and monitored
//! for stalls.
//!
//! A child is a function that runs until it is requested to stop. A child that returns an error or
//! panics is restarted, with an increasing delay and a limit per minute. A child without a
//! heartbeat is reported, and after a further limit the process ends, because a thread can't be
//! terminated from outside.

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

/// The restart and stall limits of a supervisor.
#[derive(Clone, Copy, Debug)]
pub struct SupervisorConfig {
    /// When a failed child is restarted.
    pub restart: RestartConfig,
    /// When a child without a heartbeat counts as stalled.
    pub stall: StallConfig,
    /// The interval between two checks of the watchdog. Default: 1 s.
    pub watchdog_interval: Duration,
}

impl Default for SupervisorConfig {
    fn default() -> Self {
        Self {
            restart: RestartConfig::default(),
            stall: StallConfig::default(),
            watchdog_interval: Duration::from_secs(1),
        }
    }
}

/// The reason why the process can't continue.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// A child failed more often than the limit allows.
    #[error("{child} failed too often within a minute; the last reason: {reason}")]
    TooManyRestarts {
        /// The child.
        child: Box<str>,
        /// The error of the last failure.
        reason: Box<str>,
    },
    /// A child had no heartbeat for too long.
    #[error("{child} has shown no heartbeat for {silent_ticks} ticks of the watchdog")]
    Stalled {
        /// The child.
        child: Box<str>,
        /// The number of ticks without a heartbeat.
        silent_ticks: u32,
    },
}

/// The restarts and stalls of one child since the start of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildCounts {
    /// The child's path in the tree.
    pub name: Box<str>,
    /// The number of restarts.
    pub restarts: u64,
    /// The number of stalls.
    pub stalls: u64,
    /// Whether the child is running.
    pub running: bool,
}

#[derive(Debug)]
struct ChildState {
    name: Box<str>,
    heartbeats: AtomicU64,
    restarts: AtomicU64,
    stalls: AtomicU64,
    running: AtomicBool,
}

#[derive(Debug, Default)]
struct TreeStatus {
    is_stopping: bool,
    failure: Option<Failure>,
}

#[derive(Debug)]
struct Shared {
    config: SupervisorConfig,
    children: Mutex<Vec<Arc<ChildState>>>,
    threads: Mutex<Vec<thread::JoinHandle<()>>>,
    status: Mutex<TreeStatus>,
    changed: Condvar,
}

impl Shared {
    fn status(&self) -> MutexGuard<'_, TreeStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.status().is_stopping
    }

    /// Waits for `wait` or until the tree stops. Returns whether the tree is stopping.
    fn sleep(&self, wait: Duration) -> bool {
        let status = self.status();
        let (status, _) = self
            .changed
            .wait_timeout_while(status, wait, |status| !status.is_stopping)
            .unwrap_or_else(PoisonError::into_inner);
        status.is_stopping
    }

    fn record_failure(&self, failure: Failure) {
        log::error!("{failure}");
        self.status().failure.get_or_insert(failure);
        self.changed.notify_all();
    }
}

/// A child's handle to its supervisor, for its heartbeat and for the request to stop.
#[derive(Debug)]
pub struct Child {
    state: Arc<ChildState>,
    shared: Arc<Shared>,
}

impl Child {
    /// Records a heartbeat. A child must call this in every iteration of its loop.
    pub fn heartbeat(&self) {
        self.state.heartbeats.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the child should return because the tree is stopping.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Records a heartbeat, then waits for `wait` or until the tree stops. Returns whether the
    /// child should continue, for use as `while child.pause(wait) { ... }`.
    pub fn pause(&self, wait: Duration) -> bool {
        self.heartbeat();
        !self.shared.sleep(wait)
    }
}

/// A handle to a running tree of children, or to one branch of it.
#[derive(Clone, Debug)]
pub struct Supervisor {
    shared: Arc<Shared>,
    path: Box<str>,
}

impl Supervisor {
    /// Starts a tree that has only its watchdog.
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

    /// Returns the branch `name` of this tree. The names of its children are prefixed with that
    /// name.
    pub fn branch(&self, name: &str) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            path: format!("{}{name}/", self.path).into(),
        }
    }

    /// Starts a child that runs `run` until the tree stops. A child that returns `Ok` is not
    /// restarted.
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
            heartbeats: AtomicU64::new(0),
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
            .spawn(move || run_with_restarts(&child, &run))?;
        lock(&self.shared.children).push(state);
        lock(&self.shared.threads).push(thread);
        Ok(())
    }

    /// Waits up to `wait` for a failure of the tree, and returns it.
    pub fn wait_for_failure(&self, wait: Duration) -> Option<Failure> {
        let status = self.shared.status();
        let (status, _) = self
            .shared
            .changed
            .wait_timeout_while(status, wait, |status| status.failure.is_none())
            .unwrap_or_else(PoisonError::into_inner);
        status.failure.clone()
    }

    /// Returns the restarts and stalls of every child.
    pub fn counts(&self) -> Vec<ChildCounts> {
        let children = lock(&self.shared.children);
        children.iter().map(|state| state.counts()).collect()
    }

    /// Requests every child to return and waits up to `timeout`. Returns whether all of them
    /// returned.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.shared.status().is_stopping = true;
        self.shared.changed.notify_all();
        let deadline = Instant::now() + timeout;
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

/// Runs a child, with restarts, until it ends, is requested to stop, or has failed too often.
fn run_with_restarts<F>(child: &Child, run: &F)
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
                log::warn!(
                    "{} failed and is being restarted: {reason}",
                    child.state.name
                );
                child.state.restarts.fetch_add(1, Ordering::Relaxed);
                if !child.pause(delay) {
                    break;
                }
            }
            RestartDecision::Stop => {
                let child_name = child.state.name.clone();
                child.shared.record_failure(Failure::TooManyRestarts {
                    child: child_name,
                    reason,
                });
                break;
            }
        }
    }
    child.state.running.store(false, Ordering::Relaxed);
}

/// Runs a child once, and returns its error or its panic's message if it failed.
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

/// Truncates a name to the 15 characters that the operating system keeps of a thread's name.
fn thread_name(name: &str) -> String {
    name.chars().take(15).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
