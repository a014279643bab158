//! Resolution of unknown outcomes: whether a request was committed, according to its marker on the
//! current primary.

use super::run::RequestExecution;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::traits::GroupState;
use super::write::UNIQUE_VIOLATION;
use super::write::insert_marker;
use super::write::select_marker;
use crate::groups::Confirmation;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::InternalReply;
use endivereach_core::outcome::ABANDONED;
use endivereach_core::outcome::MarkerKey;
use endivereach_core::outcome::Observation;
use endivereach_core::outcome::RequestOutcome;
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::Step;
use std::thread;
use std::time::Duration;

/// The maximum time for which the primary may send nothing during a statement about a marker.
const MARKER_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay after a statement about a marker whose result was lost.
const MARKER_RETRY_DELAY: Duration = Duration::from_millis(5);

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Determines the outcome of a request. Returns the marker key with which the request must be
    /// executed again.
    ///
    /// # Errors
    ///
    /// Returns the outcome when the request must not be executed again.
    pub(crate) fn resolve(
        &mut self,
        mut resolution: Resolution,
    ) -> Result<MarkerKey, RequestOutcome> {
        loop {
            if self.time_left().is_zero() {
                resolution.observe(Observation::DeadlinePassed);
            }
            let observation = match resolution.step().clone() {
                Step::Run(key) => return Ok(key),
                Step::Resolved(request_outcome) => return Err(request_outcome),
                Step::Abandon(key) => self
                    .run_marker_statement(&insert_marker(&key, ABANDONED), observation_from_insert),
                Step::Read(key) => {
                    self.run_marker_statement(&select_marker(&key), observation_from_select)
                }
            };
            if observation == Observation::Lost {
                thread::sleep(MARKER_RETRY_DELAY);
            }
            resolution.observe(observation);
        }
    }

    /// Executes one statement about a marker on the current primary, and waits until the state that
    /// it wrote or read is confirmed.
    fn run_marker_statement(
        &mut self,
        sql: &str,
        interpret: fn(&InternalReply) -> Observation,
    ) -> Observation {
        let Ok(mut primary) = self.lease_primary(true) else {
            return Observation::Lost;
        };
        let silence_timeout = self.time_left().min(MARKER_SILENCE_TIMEOUT);
        let connection = primary.lease.connection();
        let reply = match connection.run_internal(sql, silence_timeout) {
            Ok(reply) => reply,
            Err(error) => {
                self.report_failure(&error, connection);
                primary.lease.discard();
                return Observation::Lost;
            }
        };
        match interpret(&reply) {
            // The next step reads the marker and confirms the state that it reads.
            Observation::KeyTaken => Observation::KeyTaken,
            result if self.is_confirmed(connection) => result,
            _ => Observation::Lost,
        }
    }

    fn is_confirmed(&self, connection: &Connection) -> bool {
        let Some(position) = connection.position else {
            return false;
        };
        let confirmation = self.group().confirm(position.term, position, self.deadline);
        confirmation == Confirmation::Confirmed
    }
}

fn observation_from_insert(reply: &InternalReply) -> Observation {
    match reply.sqlstate.as_deref() {
        None => Observation::TombstoneConfirmed,
        Some(UNIQUE_VIOLATION) => Observation::KeyTaken,
        Some(_) => Observation::Lost,
    }
}

fn observation_from_select(reply: &InternalReply) -> Observation {
    match &reply.sqlstate {
        None => Observation::Marker(reply.value.clone()),
        Some(_) => Observation::Lost,
    }
}
