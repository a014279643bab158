//! Looking on the current primary for what became of a request.

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
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::Seen;
use endivereach_core::outcome::Settlement;
use endivereach_core::outcome::Step;
use std::thread;
use std::time::Duration;

/// How long the primary may take for one statement about a marker.
const MARKER_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a step whose result was lost.
const MARKER_RETRY_DELAY: Duration = Duration::from_millis(5);

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Finds an outcome out. Returns the key under which the request has to run again.
    ///
    /// # Errors
    ///
    /// Returns the settlement when it need not run again.
    pub(crate) fn resolve(&mut self, mut resolution: Resolution) -> Result<MarkerKey, Settlement> {
        loop {
            if self.time_left().is_zero() {
                resolution.observe(Seen::DeadlinePassed);
            }
            let seen = match resolution.step().clone() {
                Step::Run(key) => return Ok(key),
                Step::Settled(settlement) => return Err(settlement),
                Step::Abandon(key) => {
                    self.run_marker_statement(&insert_marker(&key, ABANDONED), seen_from_insert)
                }
                Step::Read(key) => {
                    self.run_marker_statement(&select_marker(&key), seen_from_select)
                }
            };
            if seen == Seen::Lost {
                thread::sleep(MARKER_RETRY_DELAY);
            }
            resolution.observe(seen);
        }
    }

    /// Runs one statement on the current primary, and confirms what it did or showed.
    fn run_marker_statement(&mut self, sql: &str, seen: fn(&InternalReply) -> Seen) -> Seen {
        let Ok(mut primary) = self.lease_primary(true) else {
            return Seen::Lost;
        };
        let silence_timeout = self.time_left().min(MARKER_SILENCE_TIMEOUT);
        let connection = primary.lease.connection();
        let answer = match connection.run_internal(sql, silence_timeout) {
            Ok(answer) => answer,
            Err(error) => {
                self.report_failure(&error, connection);
                primary.lease.discard();
                return Seen::Lost;
            }
        };
        match seen(&answer) {
            // The key is read next, and what is read is confirmed then.
            Seen::KeyTaken => Seen::KeyTaken,
            shown if self.is_confirmed(connection) => shown,
            _ => Seen::Lost,
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

fn seen_from_insert(answer: &InternalReply) -> Seen {
    match answer.sqlstate.as_deref() {
        None => Seen::TombstoneConfirmed,
        Some(UNIQUE_VIOLATION) => Seen::KeyTaken,
        Some(_) => Seen::Lost,
    }
}

fn seen_from_select(answer: &InternalReply) -> Seen {
    match &answer.sqlstate {
        None => Seen::Marker(answer.value.clone()),
        Some(_) => Seen::Lost,
    }
}
