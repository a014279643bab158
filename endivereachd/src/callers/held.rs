//! Requests on a connection that stays with its caller: inside a transaction, or pinned.

use super::answer::Gate;
use super::answer::RelayError;
use super::answer::Relayed;
use super::answer::relay;
use super::attempt::READ_ONLY;
use super::refusal;
use super::run::End;
use super::run::Run;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::seam::GroupState;
use super::session::Held;
use super::session::Session;
use super::write::KEY_TAKEN;
use super::write::insert_marker;
use crate::groups::Confirmation;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::OwnAnswer;
use crate::targets::put_query;
use endivereach_core::outcome::DONE;
use endivereach_core::outcome::MarkerKey;
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::Settlement;
use endivereach_core::outcome::WhenNotRun;
use endivereach_core::treatment::StatementKind;
use endivereach_wire::pg::tag::status;
use std::time::Duration;

/// How long a target may take to roll a transaction back.
const ROLLBACK_PATIENCE: Duration = Duration::from_secs(1);

/// Rolls the caller's transaction back after an error that its target never saw, so that the
/// transaction has failed as it would in the database. Returns the status to report.
pub(crate) fn abort_transaction<G>(session: &mut Session<G>) -> u8 {
    let Some(mut held) = session.held.take() else {
        return status::IDLE;
    };
    let connection = held.lease.connection();
    if connection.status == status::IDLE {
        session.held = Some(held);
        return status::IDLE;
    }
    session.lost_transaction = true;
    session.parameters.truncate(held.parameters_at_begin);
    let is_rolled_back = connection.run_own("ROLLBACK", ROLLBACK_PATIENCE).is_ok();
    if held.is_pinned && is_rolled_back {
        session.held = Some(held);
    }
    status::FAILED
}

/// Returns whether a statement makes its transaction one that the database refuses writes in.
fn declares_read_only(sql: &str) -> bool {
    sql.to_ascii_uppercase().contains("READ ONLY")
}

/// What became of a request on a held connection.
struct HeldAnswer {
    relayed: Relayed,
    marker: OwnAnswer,
}

impl<G, S, B> Run<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Runs a request that opens a transaction, or pins its connection.
    pub(crate) fn run_and_hold(&mut self) -> Result<(), End> {
        let is_pinned = self.request.kind == StatementKind::Pins;
        let may_wait = self.is_held_through_failover();
        let mut primary = match self.lease_primary(may_wait) {
            Ok(primary) => primary,
            Err(error) => return self.fail(&error, status::IDLE),
        };
        primary.lease.connection().is_dirty |= is_pinned;
        self.session.held = Some(Box::new(Held {
            lease: primary.lease,
            wrote: is_pinned,
            is_read_only: false,
            is_pinned,
            batch_failed: false,
            parameters_at_begin: self.session.parameters.statements().len(),
        }));
        self.run_held()
    }

    /// Runs a request on the connection that the session holds.
    pub(crate) fn run_held(&mut self) -> Result<(), End> {
        let Some(mut held) = self.session.held.take() else {
            return Err(End::CallerGone);
        };
        if self.request.kind == StatementKind::Refused {
            self.session.held = Some(held);
            return self.refuse_held();
        }
        self.server.counters.reads_primary_pinned.add();
        held.wrote |= !matches!(
            self.request.kind,
            StatementKind::Read
                | StatementKind::Begin
                | StatementKind::Commit
                | StatementKind::Rollback
                | StatementKind::Set
        );
        if self.request.kind == StatementKind::Pins {
            held.is_pinned = true;
            held.lease.connection().is_dirty = true;
        }
        let before = held.lease.connection().status;
        if before == status::IDLE || self.request.kind == StatementKind::Set {
            held.is_read_only |= declares_read_only(&self.request.sql);
        }
        let key = self.commit_key(&held, before);
        let batch_failed = held.batch_failed;
        let exchanged =
            match self.exchange_held(held.lease.connection(), key.as_ref(), batch_failed) {
                Ok(exchanged) => exchanged,
                Err(RelayError::CallerGone(_)) => return Err(End::CallerGone),
                Err(RelayError::Target(error)) => {
                    self.report_failure(&error, held.lease.connection());
                    return self.after_lost_connection(*held, before, key);
                }
                Err(RelayError::TooOld(_)) => {
                    return self.after_lost_connection(*held, before, key);
                }
            };
        self.after_held(held, before, exchanged, key)
    }

    fn refuse_held(&mut self) -> Result<(), End> {
        let statement = self.request.statement.as_ref();
        let reason = statement.map_or("", |statement| &statement.classified.reason);
        let error = refusal::refused(reason);
        let status = abort_transaction(self.session);
        self.fail(&error, status)
    }

    /// Returns the transaction status of the held connection.
    pub(crate) fn held_status(&mut self) -> u8 {
        let held = self.session.held.as_mut();
        held.map_or(status::IDLE, |held| held.lease.connection().status)
    }

    /// Returns the key of the marker that a commit needs, or `None` when it needs none.
    fn commit_key(&mut self, held: &Held, before: u8) -> Option<MarkerKey> {
        let commits = self.request.kind == StatementKind::Commit;
        if !commits || !held.wrote || before != status::TRANSACTION {
            return None;
        }
        let given = self.session.own.request_id.take();
        self.has_given_id = given.is_some();
        Some(MarkerKey::first(
            given.unwrap_or_else(|| self.new_request_id()),
        ))
    }

    fn exchange_held(
        &mut self,
        connection: &mut Connection,
        key: Option<&MarkerKey>,
        batch_failed: bool,
    ) -> Result<HeldAnswer, RelayError> {
        self.bytes.clear();
        self.output.buffer.clear();
        if let Some(key) = key {
            put_query(self.bytes, &insert_marker(key, DONE));
        }
        let Ok(mut expected) = self.put_request(connection) else {
            // The reader accepted the same frames before, so this can't happen twice over.
            return Err(RelayError::CallerGone(
                std::io::ErrorKind::InvalidData.into(),
            ));
        };
        self.send(connection)?;
        let patience = self.time_left() / 2;
        let marker = match key {
            Some(_) => connection.read_own(patience)?,
            None => OwnAnswer::default(),
        };
        let gate = Gate {
            required: None,
            withhold: self.request.kind != StatementKind::Read,
            patience,
        };
        let relayed = if !self.request.is_flushed {
            relay(connection, &mut self.output, &mut expected, gate, false)?
        } else if batch_failed {
            // The target skips everything up to `Sync`.
            Relayed::default()
        } else {
            relay(connection, &mut self.output, &mut expected, gate, true)?
        };
        Ok(HeldAnswer { relayed, marker })
    }

    fn after_held(
        &mut self,
        mut held: Box<Held>,
        before: u8,
        exchanged: HeldAnswer,
        key: Option<MarkerKey>,
    ) -> Result<(), End> {
        let HeldAnswer { relayed, marker } = exchanged;
        if self.request.is_flushed {
            return self.after_flush(held, &relayed);
        }
        held.batch_failed = false;
        let is_refused = relayed.sqlstate.as_deref() == Some(READ_ONLY);
        if is_refused && before == status::TRANSACTION && !held.is_read_only {
            // The target no longer leads, and nothing of the transaction is kept there.
            self.output.buffer.clear();
            return self.after_lost_connection(*held, before, key);
        }
        let connection = held.lease.connection();
        let (after, position) = (connection.status, connection.position);
        self.record.sqlstate = relayed.sqlstate.clone().unwrap_or_default();
        if let Some(key) = key {
            if marker.sqlstate.as_deref() == Some(KEY_TAKEN) {
                drop(held);
                return self.answer_commit(Resolution::of_taken_key(key));
            }
            let is_committed = relayed.sqlstate.is_none() && &*relayed.command == "COMMIT";
            if is_committed && after == status::IDLE {
                return self.confirm_commit(held, key);
            }
        } else if before != status::FAILED && after == status::IDLE && relayed.sqlstate.is_none() {
            // Nothing was changed, or it was committed without a marker.
            let position = position.unwrap_or_default();
            let confirmation = self.group().confirm(position.term, position, self.deadline);
            if confirmation != Confirmation::Confirmed && &*relayed.command != "ROLLBACK" {
                return self.after_lost_connection(*held, before, None);
            }
            if held.wrote && &*relayed.command != "ROLLBACK" {
                self.note_commit(position);
            }
        }
        if after == status::IDLE {
            held.is_read_only = false;
            held.wrote = held.is_pinned;
            if &*relayed.command == "ROLLBACK" {
                self.session.parameters.truncate(held.parameters_at_begin);
            }
        }
        self.keep_or_release(held, after);
        self.finish(after)
    }

    /// Shows a part of a batch. The batch's own commit happens at its end, but a `COMMIT` in it has
    /// taken place and is confirmed first.
    fn after_flush(&mut self, mut held: Box<Held>, relayed: &Relayed) -> Result<(), End> {
        if self.request.kind == StatementKind::Commit && relayed.sqlstate.is_none() {
            let position = held.lease.connection().position.unwrap_or_default();
            let confirmation = self.group().confirm(position.term, position, self.deadline);
            if confirmation != Confirmation::Confirmed {
                held.lease.give_up();
                return self.end_session(refusal::unknown());
            }
        }
        held.batch_failed |= relayed.sqlstate.is_some();
        self.session.held = Some(held);
        self.output.flush().map_err(|_| End::CallerGone)
    }

    fn keep_or_release(&mut self, held: Box<Held>, after: u8) {
        if after != status::IDLE || held.is_pinned {
            self.session.held = Some(held);
        }
    }

    fn confirm_commit(&mut self, mut held: Box<Held>, key: MarkerKey) -> Result<(), End> {
        let position = held.lease.connection().position.unwrap_or_default();
        let confirmation = self.group().confirm(position.term, position, self.deadline);
        match confirmation {
            Confirmation::Confirmed => {
                self.note_commit(position);
                held.wrote = held.is_pinned;
                self.keep_or_release(held, status::IDLE);
                self.finish(status::IDLE)
            }
            Confirmation::Replaced => {
                self.server.counters.commits_replaced.add();
                held.lease.give_up();
                let resolution = Resolution::of_lost_attempt(key, WhenNotRun::Answer);
                self.answer_commit(resolution)
            }
            Confirmation::TimedOut => {
                held.lease.give_up();
                self.fail_unknown()
            }
        }
    }

    /// The connection was lost before the answer.
    fn after_lost_connection(
        &mut self,
        held: Held,
        before: u8,
        key: Option<MarkerKey>,
    ) -> Result<(), End> {
        let wrote = held.wrote;
        self.session.parameters.truncate(held.parameters_at_begin);
        held.lease.give_up();
        if self.request.is_flushed {
            let may_be_done = self.request.kind == StatementKind::Commit;
            return self.end_session(match may_be_done {
                true => refusal::unknown(),
                false => refusal::transaction_lost(),
            });
        }
        if let Some(key) = key {
            let resolution = Resolution::of_lost_attempt(key, WhenNotRun::Answer);
            return self.answer_commit(resolution);
        }
        let in_transaction = before != status::IDLE || self.request.kind == StatementKind::Begin;
        if !in_transaction && wrote {
            return self.fail_unknown();
        }
        let ends = matches!(
            self.request.kind,
            StatementKind::Commit | StatementKind::Rollback
        );
        let stays_open = before != status::IDLE && !ends;
        self.session.lost_transaction = stays_open;
        let status = if stays_open {
            status::FAILED
        } else {
            status::IDLE
        };
        self.fail(&refusal::transaction_lost(), status)
    }

    /// Finds out whether a commit was done, and answers it.
    fn answer_commit(&mut self, resolution: Resolution) -> Result<(), End> {
        self.output.buffer.clear();
        match self.resolve(resolution) {
            Err(Settlement::Done { .. }) => {
                self.server.counters.outcomes_done.add();
                self.put_local_answer("COMMIT");
                self.finish(status::IDLE)
            }
            Err(Settlement::Unknown) => self.fail_unknown(),
            // A transaction is its caller's to repeat: the proxy doesn't know its statements.
            Err(Settlement::NotRun) | Ok(_) => {
                self.server.counters.outcomes_not_run.add();
                self.fail(&refusal::transaction_lost(), status::IDLE)
            }
        }
    }
}
