//! Getting a connection for a request.

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
use endivereach_core::treatment::Worth;
use endivereach_wire::pg::reply::ErrorReply;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The pause before a primary that can't be reached is tried again.
const PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long setting one session parameter on a connection may take.
const PARAMETER_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to the primary.
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
    /// Gets a connection to one server, with the session's parameters set.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(crate) fn lease(
        &mut self,
        view: &GroupView,
        member: &Member,
        deadline: Instant,
    ) -> Result<Lease, AcquireError> {
        let pool = self.session.pools.pool(member);
        let acquire_request = AcquireRequest {
            worth: self
                .treatment()
                .map_or(Worth::Normal, |treatment| treatment.worth),
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
                continue;
            }
            lease.attach_cancel_slot(self.session.cancel.slot());
            return Ok(lease);
        }
    }

    /// Sets the session's parameters where the connection has others.
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

    /// Gets a connection to the current primary. When there is none, a request that is held waits
    /// for one up to its deadline; any other is answered at once.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller: the request was not run.
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
                self.server.counters.sheds.add();
                return Err(error_replies::not_acquired(&error));
            }
            self.group().report_silent(&primary.id);
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
        let later = self
            .group()
            .wait_for_primary_above(view.term, self.deadline);
        later.ok_or_else(error_replies::no_primary)
    }
}

/// Returns the primary of a view, unless it is unknown.
pub(crate) fn primary_of(view: &GroupView) -> Option<&Member> {
    let id = view.primary.as_ref()?;
    let found = view.members.iter().find(|entry| &entry.member.id == id);
    found.map(|entry| &entry.member)
}
