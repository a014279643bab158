//! What every worker shares.

use super::counters::Counters;
use super::farewell::Farewells;
use super::idle::CallerSocket;
use super::idle::Idle;
use super::idle::Parkable;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::session::Session;
use super::statement::PreparedStatements;
use super::statement::Statements;
use super::trace::RequestLog;
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

/// How many retries may follow each other before requests have paid for them.
const RETRY_BURST: u32 = 100;

/// What is parked: a caller before its first packet, or a session between requests.
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
    pub(crate) statements: Statements<S>,
    pub(crate) prepared: PreparedStatements,
    pub(crate) targets: Targets,
    pub(crate) counters: Arc<Counters>,
    pub(crate) requests: Arc<RequestLog>,
    pub(crate) next_request: AtomicU64,
    pub(crate) idle: Idle<Parked<G::Group>>,
    pub(crate) listener: TcpListener,
    pub(crate) is_draining: AtomicBool,
    pub(crate) draining_since: Mutex<Option<Instant>>,
    /// Callers that were told of the stop and haven't closed their side yet.
    pub(crate) farewells: Farewells,
    /// Workers that wait for a caller.
    pub(crate) spare_workers: AtomicUsize,
    pub(crate) workers: AtomicUsize,
    /// What is kept of the callers' passwords; empty when every caller is trusted.
    pub(crate) verifiers: HashMap<Box<str>, Verifier>,
    /// The verifier of a password that nobody has.
    pub(crate) nobody: Verifier,
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
            statements: Statements::new(rules),
            prepared: PreparedStatements::default(),
            counters,
            requests: Arc::default(),
            next_request: AtomicU64::new(1),
            idle: Idle::new()?,
            listener,
            is_draining: AtomicBool::new(false),
            draining_since: Mutex::default(),
            farewells: Farewells::default(),
            spare_workers: AtomicUsize::new(0),
            workers: AtomicUsize::new(0),
            verifiers,
            nobody: Verifier::from_password(&rand::random::<u128>().to_string()),
            cancel_slots: Arc::default(),
            retries: Mutex::new(RetryBudget::new(RETRY_BURST)),
        })
    }

    /// A request arrived, which pays for a part of a retry.
    pub(crate) fn earn_retry(&self) {
        self.lock_retries().earn();
    }

    /// Takes a retry out of the budget, and returns whether there was one.
    pub(crate) fn may_retry(&self) -> bool {
        let may = self.lock_retries().try_spend();
        if !may {
            self.counters.retries_denied.add();
        }
        may
    }

    fn lock_retries(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
