//! Reads outside transactions: the log position that a reply must include, and the choice of the
//! server.

use super::attempt::READ_ONLY_SQL_TRANSACTION;
use super::error_replies;
use super::lease::primary_of;
use super::reply_relay::RelayError;
use super::reply_relay::RelayOptions;
use super::reply_relay::relay;
use super::request::RequestError;
use super::run::RequestExecution;
use super::run::SessionEnd;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::traits::GroupState;
use crate::groups::Confirmation;
use crate::groups::GroupView;
use crate::targets::AcquireError;
use crate::targets::ConnectionBudget;
use crate::targets::Lease;
use endivereach_core::directory::Member;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::routing::Candidate;
use endivereach_core::routing::Distance;
use endivereach_core::routing::SERVICE_TIME_DEFAULT;
use endivereach_core::routing::choose_replica;
use endivereach_core::routing::has_usable_replica;
use endivereach_core::session::Requirement;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::tag::status;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of times that one read is sent.
const READ_ATTEMPTS_MAX: u32 = 6;

/// The maximum total time that a read waits for a replica to apply the required position.
const REPLICA_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);

/// The interval at which a waiting read checks the replicas' positions, and the delay before a read
/// is retried.
const REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The base of the time for which a target may send nothing during a read. Attempt `n` of a read
/// allows `2^n` times this duration, up to the request's deadline; from `n` = 8 on the factor stays
/// the same. It also bounds the wait for the confirmation of a read from the primary.
const READ_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of sending a read to one server.
enum ReadAttempt {
    /// A reply, or an error, was sent to the caller.
    Replied,
    /// The read is retried on another server, or later on the same server.
    Retry,
    /// The statement writes, so it has to be executed as a write.
    IsWrite,
}

/// The state of the search for a server that can execute a read.
struct TargetSearch {
    required: Position,
    tried: Vec<MemberId>,
    wait_until: Instant,
    attempts: u32,
}

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Executes a read outside any transaction.
    pub(crate) fn run_read(&mut self) -> Result<(), SessionEnd> {
        if self.is_empty_batch() {
            return self.finish(status::IDLE);
        }
        let Some(required) = self.required_position() else {
            return self.fail(&error_replies::no_read_position(), status::IDLE);
        };
        self.record.required = Some(required);
        let mut target_search = TargetSearch {
            required,
            tried: Vec::new(),
            wait_until: Instant::now() + REPLICA_CATCH_UP_TIMEOUT,
            attempts: 0,
        };
        while target_search.attempts < READ_ATTEMPTS_MAX && !self.time_left().is_zero() {
            let view = self.group().view();
            let Some(member) = self.choose_target(&view, &mut target_search) else {
                thread::sleep(REPLICA_POLL_INTERVAL);
                continue;
            };
            target_search.attempts += 1;
            match self.read_from(&view, &member, &mut target_search)? {
                ReadAttempt::Replied => return Ok(()),
                ReadAttempt::Retry => {}
                ReadAttempt::IsWrite => return self.run_write(),
            }
        }
        self.fail(&error_replies::read_failed(), status::IDLE)
    }

    /// Determines the minimum log position of the reply. Returns `None` when it could not be
    /// determined before the deadline.
    fn required_position(&mut self) -> Option<Position> {
        let requirement = match self.treatment() {
            Some(treatment) => self.session.position.requirement(treatment),
            // The request executes no statement, for example because it only describes one.
            None => Requirement::AtLeast(self.session.position.known_position()),
        };
        match requirement {
            Requirement::AtLeast(position) => Some(position),
            Requirement::Floor => self.query_read_floor(),
            Requirement::Age {
                max_age,
                known_position,
            } => {
                let floor = self.group().age_floor(max_age);
                floor
                    .or_else(|| self.query_read_floor())
                    .map(|floor| floor.max(known_position))
            }
        }
    }

    fn query_read_floor(&mut self) -> Option<Position> {
        let started_at = Instant::now();
        let floor = self.group().read_floor(self.deadline);
        self.record.wait_us += started_at.elapsed().as_micros() as u32;
        if let Some(floor) = floor {
            self.session.position.observe_floor(floor);
        }
        floor
    }

    /// Chooses a replica, or the primary when no replica qualifies. Returns `None` when the read
    /// should wait for a replica and choose again.
    fn choose_target(&self, view: &GroupView, target_search: &mut TargetSearch) -> Option<Member> {
        let candidates = self.replica_candidates(view);
        let was_tried = |index: usize| target_search.tried.contains(&view.members[index].member.id);
        let rotation = self.record.id as usize;
        let chosen = choose_replica(&candidates, target_search.required, was_tried, rotation);
        if let Some(index) = chosen {
            return Some(view.members[index].member.clone());
        }
        let counters = &self.server.counters;
        if !has_usable_replica(&candidates, |_| false) {
            counters.reads_primary_unreachable.increment();
        } else if has_usable_replica(&candidates, was_tried)
            && Instant::now() < target_search.wait_until
        {
            return None;
        } else {
            counters.reads_primary_lag.increment();
        }
        target_search.tried.clear();
        primary_of(view).cloned()
    }

    fn replica_candidates(&self, view: &GroupView) -> Vec<Candidate> {
        let own_zone = &self.server.context.settings.zone;
        let candidate = |entry: &crate::groups::MemberView| Candidate {
            is_primary: view.primary.as_ref() == Some(&entry.member.id),
            is_leaving: entry.member.leaving,
            is_reachable: entry.reachable,
            applied: entry
                .status
                .as_ref()
                .map_or(Position::default(), |s| s.applied),
            in_flight: self.session.pools.pool(&entry.member).leased_count(),
            slots: view.slots_per_server,
            distance: if &entry.member.zone == own_zone {
                Distance::SameZone
            } else {
                Distance::OtherZone
            },
            service_time: SERVICE_TIME_DEFAULT,
        };
        view.members.iter().map(candidate).collect()
    }

    fn read_from(
        &mut self,
        view: &GroupView,
        member: &Member,
        target_search: &mut TargetSearch,
    ) -> Result<ReadAttempt, SessionEnd> {
        let is_primary = view.primary.as_ref() == Some(&member.id);
        let mut lease = match self.lease(view, member, self.deadline) {
            Ok(lease) => lease,
            Err(error @ (AcquireError::Shed(_) | AcquireError::TimedOut)) if is_primary => {
                self.server.counters.sheds.increment();
                self.fail(&error_replies::not_acquired(&error), status::IDLE)?;
                return Ok(ReadAttempt::Replied);
            }
            Err(AcquireError::Unreachable(_)) => {
                self.group().report_unresponsive(&member.id);
                target_search.tried.push(member.id.clone());
                thread::sleep(REPLICA_POLL_INTERVAL);
                return Ok(ReadAttempt::Retry);
            }
            Err(_) => {
                target_search.tried.push(member.id.clone());
                return Ok(ReadAttempt::Retry);
            }
        };
        let options = RelayOptions {
            required: Some(target_search.required),
            withhold: is_primary,
            silence_timeout: self
                .time_left()
                .min(READ_SILENCE_TIMEOUT * (1 << target_search.attempts.min(8))),
        };
        let relayed = match self.send_and_relay(&mut lease, options) {
            Ok(relayed) => relayed,
            Err(ExchangeError::Request(request_error)) => {
                self.fail_request(request_error, status::IDLE)?;
                return Ok(ReadAttempt::Replied);
            }
            Err(ExchangeError::Relay(error)) => {
                return self.handle_failed_read(error, lease, target_search);
            }
        };
        if relayed.sqlstate.as_deref() == Some(READ_ONLY_SQL_TRANSACTION) && !self.output.is_started
        {
            self.output.buffer.clear();
            return Ok(ReadAttempt::IsWrite);
        }
        if is_primary && !self.confirm_read(&mut lease) {
            return self.retry_or_fail();
        }
        if !is_primary {
            self.server.counters.reads_replica.increment();
        }
        self.record.sqlstate = relayed.sqlstate.unwrap_or_default();
        // Returns the connection to the pool before the reply is sent, because a slow caller would
        // otherwise block the connection.
        drop(lease);
        self.finish(status::IDLE)?;
        Ok(ReadAttempt::Replied)
    }

    /// Waits until the state that a primary's reply shows is confirmed. The reply may include
    /// commits that no majority has stored yet.
    fn confirm_read(&mut self, lease: &mut Lease) -> bool {
        let Some(position) = lease.connection().position else {
            return false;
        };
        let confirm_deadline = self.deadline.min(Instant::now() + READ_SILENCE_TIMEOUT);
        let confirmation = self
            .group()
            .confirm(position.term, position, confirm_deadline);
        confirmation == Confirmation::Confirmed
    }

    /// Sends the request to the target and relays the reply.
    fn send_and_relay(
        &mut self,
        lease: &mut Lease,
        options: RelayOptions,
    ) -> Result<super::reply_relay::RelayedReply, ExchangeError> {
        self.target_output.clear();
        self.output.buffer.clear();
        let connection = lease.connection();
        let mut expected = self
            .put_request(connection)
            .map_err(ExchangeError::Request)?;
        let sent_at = Instant::now();
        self.send(connection)
            .map_err(|error| ExchangeError::Relay(error.into()))?;
        let relayed = relay(connection, &mut self.output, &mut expected, options, false);
        self.record.target_us += sent_at.elapsed().as_micros() as u32;
        relayed.map_err(ExchangeError::Relay)
    }

    fn handle_failed_read(
        &mut self,
        error: RelayError,
        mut lease: Lease,
        target_search: &mut TargetSearch,
    ) -> Result<ReadAttempt, SessionEnd> {
        match error {
            RelayError::CallerDisconnected(_) => Err(SessionEnd::CallerDisconnected),
            RelayError::TooOld(_) => {
                self.server.counters.reads_discarded.increment();
                target_search
                    .tried
                    .push(lease.connection().address.member.clone());
                // The rest of the reply may be large, so the connection is closed instead of being
                // read to the end of the reply.
                lease.discard();
                self.output.buffer.clear();
                thread::sleep(REPLICA_POLL_INTERVAL);
                Ok(ReadAttempt::Retry)
            }
            RelayError::Target(error) => {
                self.report_failure(&error, lease.connection());
                target_search
                    .tried
                    .push(lease.connection().address.member.clone());
                lease.discard();
                self.retry_or_fail()
            }
        }
    }

    /// Retries the read if no part of the reply was sent to the caller and the retry budget allows
    /// it; otherwise ends the reply with an error.
    fn retry_or_fail(&mut self) -> Result<ReadAttempt, SessionEnd> {
        if self.output.is_started {
            self.fail(&error_replies::read_failed(), status::IDLE)?;
            return Ok(ReadAttempt::Replied);
        }
        self.output.buffer.clear();
        if !self.server.try_withdraw_retry() {
            let error: ErrorReply = error_replies::read_failed();
            self.fail(&error, status::IDLE)?;
            return Ok(ReadAttempt::Replied);
        }
        self.server.counters.reads_retried.increment();
        Ok(ReadAttempt::Retry)
    }
}

/// The reason why no complete reply was relayed.
enum ExchangeError {
    Request(RequestError),
    Relay(RelayError),
}
