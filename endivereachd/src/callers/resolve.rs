//! Looking on the current primary for what became of a request.

use super::run::Run;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::seam::GroupState;
use super::write::KEY_TAKEN;
use super::write::insert_marker;
use super::write::select_marker;
use crate::groups::Confirmation;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::OwnAnswer;
use endivereach_core::outcome::ABANDONED;
use endivereach_core::outcome::MarkerKey;
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::Seen;
use endivereach_core::outcome::Settlement;
use endivereach_core::outcome::Step;
use std::thread;
use std::time::Duration;

/// How long the primary may take for one statement about a marker.
const MARKER_PATIENCE: Duration = Duration::from_secs(1);

/// The pause after a step whose result was lost.
const LOST_PAUSE: Duration = Duration::from_millis(5);

impl<G, S, B> Run<'_, G, S, B>
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
                Step::Abandon(key) => self.look(&insert_marker(&key, ABANDONED), seen_of_insert),
                Step::Read(key) => self.look(&select_marker(&key), seen_of_select),
            };
            if seen == Seen::Lost {
                thread::sleep(LOST_PAUSE);
            }
            resolution.observe(seen);
        }
    }

    /// Runs one statement on the current primary, and confirms what it did or showed.
    fn look(&mut self, sql: &str, seen: fn(&OwnAnswer) -> Seen) -> Seen {
        let Ok(mut primary) = self.lease_primary(true) else {
            return Seen::Lost;
        };
        let patience = self.time_left().min(MARKER_PATIENCE);
        let connection = primary.lease.connection();
        let answer = match connection.run_own(sql, patience) {
            Ok(answer) => answer,
            Err(error) => {
                self.report_failure(&error, connection);
                primary.lease.give_up();
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

fn seen_of_insert(answer: &OwnAnswer) -> Seen {
    match answer.sqlstate.as_deref() {
        None => Seen::TombstoneConfirmed,
        Some(KEY_TAKEN) => Seen::KeyTaken,
        Some(_) => Seen::Lost,
    }
}

fn seen_of_select(answer: &OwnAnswer) -> Seen {
    match &answer.sqlstate {
        None => Seen::Marker(answer.value.clone()),
        Some(_) => Seen::Lost,
    }
}
