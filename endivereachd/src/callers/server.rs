//! The state of the data path that all workers share.

use super::counters::Counters;
use super::half_closed::HalfClosedConnections;
use super::idle::CallerSocket;
use super::idle::IdleCallers;
use super::idle::Parkable;
use super::request_log::RequestLog;
use super::session::Session;
use super::statement::PreparedStatements;
use super::statement::StatementCache;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use crate::context::Context;
use crate::targets::CancelSlots;
use crate::targets::Targets;
use endivereach_core::retry::RetryBudget;
use endivereach_wire::pg::scram::Verifier;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;

/// The number of retries that the retry budget allows in a burst.
const RETRY_BURST_MAX: u32 = 100;

/// A parked caller: before its first packet, or with a session that is between requests.
#[derive(Debug)]
pub(crate) enum Parked<G> {
    New(CallerSocket),
    Session(Box<Session<G>>),
}

impl<G: Send + Sync> Parkable for Parked<G> {
    fn socket(&mut self) -> &mut CallerSocket {
        match self {
            Self::New(socket) => socket,
            Self::Session(session) => &mut session.socket,
        }
    }
}

/// The shared state of the data path.
pub(crate) struct Server<G: GroupDirectory, S: ClassifierSource, B> {
    pub(crate) context: Arc<Context>,
    pub(crate) groups: Arc<G>,
    pub(crate) budget: B,
    pub(crate) statements: StatementCache<S>,
    pub(crate) prepared: PreparedStatements,
    pub(crate) targets: Targets,
    pub(crate) counters: Arc<Counters>,
    pub(crate) requests: Arc<RequestLog>,
    pub(crate) next_request: AtomicU64,
    pub(crate) idle: IdleCallers<Parked<G::Group>>,
    pub(crate) listener: TcpListener,
    pub(crate) is_draining: AtomicBool,
    pub(crate) drain_started_at: Mutex<Option<Instant>>,
    /// Connections to callers that received the shutdown error and have not closed their side yet.
    pub(crate) half_closed_connections: HalfClosedConnections,
    /// The number of workers that wait for an event.
    pub(crate) idle_workers: AtomicUsize,
    pub(crate) workers: AtomicUsize,
    /// The SCRAM verifiers of the callers' passwords by user; empty when every caller is trusted.
    pub(crate) verifiers: HashMap<Box<str>, Verifier>,
    /// The verifier of a random password, used in logins of unknown users.
    pub(crate) dummy_verifier: Verifier,
    pub(crate) cancel_slots: Arc<CancelSlots>,
    retries: Mutex<RetryBudget>,
}

impl<G: GroupDirectory, S: ClassifierSource, B> Server<G, S, B> {
    pub(crate) fn new(
        context: Arc<Context>,
        groups: Arc<G>,
        rules: S,
        budget: B,
        listener: TcpListener,
    ) -> std::io::Result<Self> {
        let counters: Arc<Counters> = Arc::default();
        let logins = context.settings.callers.iter();
        let verifiers = logins
            .map(|login| (login.user.clone(), Verifier::from_password(&login.password)))
            .collect();
        Ok(Self {
            targets: Targets::new(Arc::clone(&context), Arc::clone(&counters)),
            context,
            groups,
            budget,
            statements: StatementCache::new(rules),
            prepared: PreparedStatements::default(),
            counters,
            requests: Arc::default(),
            next_request: AtomicU64::new(1),
            idle: IdleCallers::new()?,
            listener,
            is_draining: AtomicBool::new(false),
            drain_started_at: Mutex::default(),
            half_closed_connections: HalfClosedConnections::default(),
            idle_workers: AtomicUsize::new(0),
            workers: AtomicUsize::new(0),
            verifiers,
            dummy_verifier: Verifier::from_password(&rand::random::<u128>().to_string()),
            cancel_slots: Arc::default(),
            retries: Mutex::new(RetryBudget::new(RETRY_BURST_MAX)),
        })
    }

    /// Adds the retry credit of one request to the retry budget.
    pub(crate) fn deposit_retry(&self) {
        self.lock_retries().earn();
    }

    /// Takes one retry from the retry budget, and returns whether the budget allowed it.
    pub(crate) fn try_withdraw_retry(&self) -> bool {
        let is_allowed = self.lock_retries().try_spend();
        if !is_allowed {
            self.counters.retries_denied.increment();
        }
        is_allowed
    }

    fn lock_retries(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
