//! The connection pool of one server, and the queue of requests that wait for a connection.

use super::budget::ConnectionBudget;
use super::cancel::CancelSlot;
use super::cancel::ServingConnection;
use super::connection::Address;
use super::connection::Connection;
use super::login::ReportedParameters;
use crate::callers::Counters;
use crate::context::Context;
use endivereach_core::ids::GroupName;
use endivereach_core::queue::Capacity;
use endivereach_core::queue::ShedError;
use endivereach_core::queue::Ticket;
use endivereach_core::queue::WaitLimits;
use endivereach_core::queue::WaitQueue;
use endivereach_core::treatment::Priority;
use std::io;
use std::mem::take;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::Thread;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of connections to one server that are being opened concurrently.
const CONCURRENT_CONNECTS_MAX: u32 = 2;

/// The time after a failed connection attempt during which no connection is opened.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The interval at which a waiting request checks whether the share was raised.
const SHARE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum time for which a target may send nothing during a reset before the connection is
/// closed.
const RESET_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The service time that is assumed before the first observation.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(1);

/// The divisor that yields the weight of one observation in the moving average of the service time.
const SERVICE_TIME_MEAN_DIVISOR: u32 = 16;

/// The reason why no connection could be leased.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AcquireError {
    /// The expected wait exceeds the time until the request's deadline.
    #[error("every connection to the target is busy; come back in {} ms", .0.retry_after.as_millis())]
    Shed(ShedError),
    /// The request's deadline passed while it waited in the queue.
    #[error("no connection to the target became free in time; come back later")]
    TimedOut,
    /// No connection to the target could be opened.
    #[error("the target can't be reached: {0}; check that it runs")]
    Unreachable(Arc<io::Error>),
}

/// The parameters of a request for a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcquireRequest {
    /// The priority class of the request.
    pub(crate) priority: Priority,
    /// The time at which the request stops waiting.
    pub(crate) deadline: Instant,
    /// The hash of the session parameters that the connection should preferably have.
    pub(crate) parameters_hash: u64,
    /// The number of connections that the server accepts.
    pub(crate) connections_per_server: u32,
    /// The number of statements that the server executes concurrently.
    pub(crate) slots_per_server: u32,
}

#[derive(Debug)]
struct State {
    idle: Vec<Connection>,
    /// The number of connections that are idle, leased or being opened.
    open: u32,
    /// The number of connections that are being opened.
    connecting: u32,
    /// The time until which no connection is opened, after a failed attempt.
    paused_until: Option<Instant>,
    queue: WaitQueue<Thread>,
    service_time: Duration,
}

/// The connection pool of one server.
#[derive(Debug)]
pub(crate) struct Pool {
    group: GroupName,
    address: Address,
    context: Arc<Context>,
    counters: Arc<Counters>,
    reported: Arc<ReportedParameters>,
    state: Mutex<State>,
    leased_count: AtomicU32,
}

impl Pool {
    pub(crate) fn new(
        group: GroupName,
        address: Address,
        context: Arc<Context>,
        counters: Arc<Counters>,
        reported: Arc<ReportedParameters>,
    ) -> Self {
        Self {
            reported,
            group,
            address,
            context,
            counters,
            state: Mutex::new(State {
                idle: Vec::new(),
                open: 0,
                connecting: 0,
                paused_until: None,
                queue: WaitQueue::default(),
                service_time: INITIAL_SERVICE_TIME,
            }),
            leased_count: AtomicU32::new(0),
        }
    }

    /// Returns the destination of the pool's connections.
    pub(crate) fn address(&self) -> &Address {
        &self.address
    }

    /// Returns the number of leased connections.
    pub(crate) fn leased_count(&self) -> u32 {
        self.leased_count.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leases a connection, and waits for one up to the request's deadline.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError::Shed`] immediately when the expected wait exceeds the time until the
    /// deadline, [`AcquireError::TimedOut`] when the deadline passes, and
    /// [`AcquireError::Unreachable`] when a new connection can't be opened.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        requested: &AcquireRequest,
        budget: &impl ConnectionBudget,
    ) -> Result<Lease, AcquireError> {
        let member = &self.address.member;
        let mut ticket = None;
        let mut state = self.lock();
        loop {
            // The share may have been raised while the request waited.
            let share = budget.share(&self.group, member, requested.connections_per_server);
            if state.is_turn_of(ticket) {
                if let Some(connection) = state.take_idle(requested.parameters_hash) {
                    state.leave_queue(ticket);
                    return Ok(self.lease(connection));
                }
                if state.reserve_connect(share, Instant::now()) {
                    state.leave_queue(ticket);
                    drop(state);
                    return self.open();
                }
            }
            let now = Instant::now();
            if now >= requested.deadline {
                state.leave_queue(ticket);
                return Err(AcquireError::TimedOut);
            }
            if ticket.is_none() {
                let parallel = share.min(requested.slots_per_server).max(1);
                ticket = Some(state.join_queue(requested, parallel, now)?);
                let demand = self.leased_count() + state.queue.len() as u32;
                budget.report_demand(&self.group, member, demand);
            }
            let delay = state.next_check_delay(now, requested.deadline);
            drop(state);
            thread::park_timeout(delay);
            state = self.lock();
        }
    }

    fn open(self: &Arc<Self>) -> Result<Lease, AcquireError> {
        let name = self.context.id.to_string();
        let opened = Connection::open(self.address.clone(), &self.context.settings, &name);
        let mut state = self.lock();
        state.connecting -= 1;
        match opened {
            Ok(mut connection) => {
                self.reported
                    .replace(take(&mut connection.server_parameters));
                self.counters.connects.increment();
                self.counters.connections_now.increment();
                state.wake_first();
                drop(state);
                Ok(self.lease(connection))
            }
            Err(error) => {
                self.counters.connects_failed.increment();
                state.open -= 1;
                state.paused_until = Some(Instant::now() + CONNECT_RETRY_DELAY);
                state.wake_first();
                Err(AcquireError::Unreachable(Arc::new(error)))
            }
        }
    }

    fn lease(self: &Arc<Self>, connection: Connection) -> Lease {
        self.leased_count.fetch_add(1, Ordering::Relaxed);
        Lease {
            pool: Arc::clone(self),
            connection: Some(connection),
            cancel: None,
            leased_at: Instant::now(),
        }
    }

    /// Ends a lease: returns the connection to the pool, or accounts for a connection that was
    /// closed.
    fn release(&self, connection: Option<Connection>, leased_for: Duration) {
        self.leased_count.fetch_sub(1, Ordering::Relaxed);
        let mut state = self.lock();
        state.service_time = (state.service_time * (SERVICE_TIME_MEAN_DIVISOR - 1) + leased_for)
            / SERVICE_TIME_MEAN_DIVISOR;
        match connection {
            Some(connection) => state.idle.push(connection),
            None => {
                state.open -= 1;
                self.counters.connections_now.decrement();
            }
        }
        state.wake_first();
    }

    /// Closes idle connections in excess of `share`.
    pub(crate) fn trim(&self, share: u32) {
        let mut state = self.lock();
        while state.open > share && state.idle.pop().is_some() {
            state.open -= 1;
            self.counters.connections_now.decrement();
        }
    }

    /// Closes every idle connection.
    pub(crate) fn close_idle(&self) {
        self.trim(0);
    }
}

impl State {
    fn is_turn_of(&self, ticket: Option<Ticket>) -> bool {
        match ticket {
            None => self.queue.is_empty(),
            some => self.queue.first() == some,
        }
    }

    /// Takes the most recently used idle connection, and prefers one with the same parameters.
    fn take_idle(&mut self, parameters_hash: u64) -> Option<Connection> {
        let has_parameters =
            |connection: &Connection| connection.parameters_hash == parameters_hash;
        let index = self.idle.iter().rposition(has_parameters);
        let index = index.or(self.idle.len().checked_sub(1))?;
        Some(self.idle.remove(index))
    }

    /// Counts a connection that is about to be opened, if the share and the limits allow it.
    /// Returns whether they do.
    fn reserve_connect(&mut self, share: u32, now: Instant) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        let can_open = self.open < share && self.connecting < CONCURRENT_CONNECTS_MAX && !is_paused;
        if can_open {
            self.open += 1;
            self.connecting += 1;
        }
        can_open
    }

    fn join_queue(
        &mut self,
        requested: &AcquireRequest,
        parallel: u32,
        now: Instant,
    ) -> Result<Ticket, AcquireError> {
        let capacity = Capacity {
            parallel,
            service_time: self.service_time,
        };
        let wait_limits = WaitLimits {
            deadline: requested.deadline,
            goal: requested.deadline,
        };
        self.queue
            .push(
                requested.priority,
                now,
                wait_limits,
                capacity,
                thread::current(),
            )
            .map_err(AcquireError::Shed)
    }

    /// Removes a request from the queue and wakes the next one.
    fn leave_queue(&mut self, ticket: Option<Ticket>) {
        if let Some(ticket) = ticket {
            self.queue.remove(ticket);
            self.wake_first();
        }
    }

    fn wake_first(&self) {
        if let Some(thread) = self.queue.first_item() {
            thread.unpark();
        }
    }

    fn next_check_delay(&self, now: Instant, deadline: Instant) -> Duration {
        let until = self.paused_until.filter(|&until| until > now);
        let wait = until.map_or(deadline, |until| until.min(deadline)) - now;
        // Waiting requests are not woken when the share is raised, so they have to poll it.
        wait.min(SHARE_POLL_INTERVAL)
    }
}

/// A connection that is leased to one request or transaction.
///
/// # Invariants
///
/// A connection returns to the pool only if all its replies were read to the end, it is outside any
/// transaction and it has no session state left behind; any other connection is closed.
#[derive(Debug)]
pub(crate) struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
    cancel: Option<Arc<CancelSlot>>,
    leased_at: Instant,
}

impl Lease {
    /// Returns the leased connection.
    pub(crate) fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a lease has its connection until it ends")
    }

    /// Forwards cancel requests for `slot` to the connection until the lease ends.
    pub(crate) fn attach_cancel_slot(&mut self, slot: &Arc<CancelSlot>) {
        let connection = self.connection();
        let serving = ServingConnection {
            addr: connection.address.addr,
            key: connection.key,
        };
        *slot.lock() = Some(serving);
        self.cancel = Some(Arc::clone(slot));
    }

    /// Ends the lease and closes the connection, for example because it failed or timed out.
    pub(crate) fn discard(mut self) {
        self.connection = None;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // Waits for a cancel request that is in flight before another request can lease the
        // connection.
        if let Some(slot) = self.cancel.take() {
            *slot.lock() = None;
        }
        let reusable = self.connection.take().and_then(reset_or_drop);
        if reusable.is_none() {
            self.pool.counters.connections_dropped.increment();
        }
        self.pool.release(reusable, self.leased_at.elapsed());
    }
}

fn reset_or_drop(mut connection: Connection) -> Option<Connection> {
    if !connection.is_reusable() {
        return None;
    }
    if connection.is_dirty
        || connection.prepared.len() > super::connection::CONNECTION_STATEMENTS_MAX
    {
        connection.reset(RESET_SILENCE_TIMEOUT).ok()?;
    }
    Some(connection)
}
