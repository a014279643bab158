//! Leasing of connections for requests.

use super::error_replies;
use super::run::RequestExecution;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::traits::GroupState;
use crate::groups::GroupView;
use crate::targets::AcquireError;
use crate::targets::AcquireRequest;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::ConnectionError;
use crate::targets::Lease;
use endivereach_core::directory::Member;
use endivereach_core::treatment::Priority;
use endivereach_wire::pg::reply::ErrorReply;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The delay before the next attempt to connect to an unreachable primary.
const PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The maximum time for which a target may send nothing while a session parameter is set.
const PARAMETER_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A leased connection to the primary.
#[derive(Debug)]
pub(crate) struct PrimaryLease {
    pub(crate) lease: Lease,
}

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Leases a connection to one server and sets the session's parameters on it.
    ///
    /// # Errors
    ///
    /// Returns the error of the pool.
    pub(crate) fn lease(
        &mut self,
        view: &GroupView,
        member: &Member,
        deadline: Instant,
    ) -> Result<Lease, AcquireError> {
        let pool = self.session.pools.pool(member);
        let acquire_request = AcquireRequest {
            priority: self
                .treatment()
                .map_or(Priority::Normal, |treatment| treatment.priority),
            deadline,
            parameters_hash: self.session.parameters.hash(),
            connections_per_server: view.connections_per_server,
            slots_per_server: view.slots_per_server,
        };
        loop {
            let mut lease = pool.acquire(&acquire_request, &self.server.budget)?;
            let connection = lease.connection();
            if connection.is_stale() || self.set_parameters(connection).is_err() {
                lease.discard();
                // A target may do this to every connection.
                if Instant::now() >= deadline {
                    return Err(AcquireError::TimedOut);
                }
                continue;
            }
            lease.attach_cancel_slot(self.session.cancel.slot());
            return Ok(lease);
        }
    }

    /// Sets the session's parameters on a connection unless it has the same parameters already.
    fn set_parameters(&self, connection: &mut Connection) -> Result<(), ConnectionError> {
        let parameters = &self.session.parameters;
        if connection.parameters_hash == parameters.hash() {
            return Ok(());
        }
        if connection.parameters_hash != 0 {
            connection.reset(PARAMETER_SILENCE_TIMEOUT)?;
        }
        for statement in parameters.statements() {
            connection.run_internal(statement, PARAMETER_SILENCE_TIMEOUT)?;
        }
        connection.parameters_hash = parameters.hash();
        Ok(())
    }

    /// Leases a connection to the current primary. When the group has no reachable primary, waits
    /// for one up to the request's deadline if `may_wait` is set, and fails at once otherwise.
    ///
    /// # Errors
    ///
    /// Returns the error reply for the caller. The request was not executed.
    pub(crate) fn lease_primary(&mut self, may_wait: bool) -> Result<PrimaryLease, ErrorReply> {
        loop {
            let view = self.view_with_primary(may_wait)?;
            let Some(primary) = primary_of(&view) else {
                return Err(error_replies::no_primary());
            };
            let error = match self.lease(&view, primary, self.deadline) {
                Ok(lease) => return Ok(PrimaryLease { lease }),
                Err(error) => error,
            };
            if let AcquireError::Shed(_) | AcquireError::TimedOut = error {
                self.server.counters.sheds.increment();
                return Err(error_replies::not_acquired(&error));
            }
            self.group().report_unresponsive(&primary.id);
            if !may_wait || self.time_left() < PRIMARY_RETRY_DELAY {
                return Err(error_replies::not_acquired(&error));
            }
            thread::sleep(PRIMARY_RETRY_DELAY);
        }
    }

    fn view_with_primary(&self, may_wait: bool) -> Result<Arc<GroupView>, ErrorReply> {
        let view = self.group().view();
        if view.primary.is_some() {
            return Ok(view);
        }
        if !may_wait {
            return Err(error_replies::no_primary());
        }
        let newer_view = self
            .group()
            .wait_for_primary_after(view.term, self.deadline);
        newer_view.ok_or_else(error_replies::no_primary)
    }
}

/// Returns the primary of a group view, or `None` if the primary is unknown.
pub(crate) fn primary_of(view: &GroupView) -> Option<&Member> {
    let id = view.primary.as_ref()?;
    let primary_entry = view.members.iter().find(|entry| &entry.member.id == id);
    primary_entry.map(|entry| &entry.member)
}
