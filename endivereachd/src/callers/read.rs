//! Reads: which position they must include, and which server answers them.

use super::answer::Gate;
use super::answer::RelayError;
use super::answer::relay;
use super::attempt::READ_ONLY;
use super::lease::primary_of;
use super::refusal;
use super::request::BadRequest;
use super::run::End;
use super::run::Run;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::seam::GroupState;
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
use endivereach_core::routing::any_replica;
use endivereach_core::routing::choose_replica;
use endivereach_core::session::Requirement;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::tag::status;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How often one read is sent at most.
const ATTEMPTS_MAX: u32 = 6;

/// How long a read waits in all for a replica to include what it must.
const REPLICA_WAIT: Duration = Duration::from_millis(200);

/// How often a waiting read looks at the replicas' positions.
const REPLICA_LOOK: Duration = Duration::from_millis(1);

/// How long a target may be silent in the first attempt of a read; it doubles with each.
const READ_PATIENCE: Duration = Duration::from_secs(1);

/// What came of sending a read to one server.
enum Attempt {
    /// The caller has its answer.
    Answered,
    /// Another server, or the same later, may answer.
    Again,
    /// The statement writes: it has to run as a write.
    Writes,
}

/// How a read looks for its server.
struct Search {
    required: Position,
    tried: Vec<MemberId>,
    wait_until: Instant,
    attempts: u32,
}

impl<G, S, B> Run<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Runs a read outside any transaction.
    pub(crate) fn run_read(&mut self) -> Result<(), End> {
        if self.is_empty_batch() {
            return self.finish(status::IDLE);
        }
        let Some(required) = self.required_position() else {
            return self.fail(&refusal::no_position(), status::IDLE);
        };
        self.record.required = Some(required);
        let mut search = Search {
            required,
            tried: Vec::new(),
            wait_until: Instant::now() + REPLICA_WAIT,
            attempts: 0,
        };
        while search.attempts < ATTEMPTS_MAX && !self.time_left().is_zero() {
            let view = self.group().view();
            let Some(member) = self.choose(&view, &mut search) else {
                thread::sleep(REPLICA_LOOK);
                continue;
            };
            search.attempts += 1;
            match self.read_from(&view, &member, &mut search)? {
                Attempt::Answered => return Ok(()),
                Attempt::Again => {}
                Attempt::Writes => return self.run_write(),
            }
        }
        self.fail(&refusal::read_failed(), status::IDLE)
    }

    /// Finds the position that the answer must include.
    fn required_position(&mut self) -> Option<Position> {
        let requirement = match self.treatment() {
            Some(treatment) => self.session.position.requirement(treatment),
            // Nothing is run: only the shape of a statement is asked for.
            None => Requirement::AtLeast(self.session.position.known()),
        };
        match requirement {
            Requirement::AtLeast(position) => Some(position),
            Requirement::Floor => self.floor(),
            Requirement::Age { max_age, own } => {
                let floor = self.group().age_floor(max_age);
                floor.or_else(|| self.floor()).map(|floor| floor.max(own))
            }
        }
    }

    fn floor(&mut self) -> Option<Position> {
        let asked = Instant::now();
        let floor = self.group().read_floor(self.deadline);
        self.record.wait_us += asked.elapsed().as_micros() as u32;
        if let Some(floor) = floor {
            self.session.position.observe_floor(floor);
        }
        floor
    }

    /// Chooses a replica, or the primary when no replica will do; `None` means to look again.
    fn choose(&self, view: &GroupView, search: &mut Search) -> Option<Member> {
        let candidates = self.candidates(view);
        let is_tried = |index: usize| search.tried.contains(&view.members[index].member.id);
        let turn = self.record.id as usize;
        let found = choose_replica(&candidates, search.required, is_tried, turn);
        if let Some(index) = found {
            return Some(view.members[index].member.clone());
        }
        let counters = &self.server.counters;
        if !any_replica(&candidates, |_| false) {
            counters.reads_primary_unreachable.add();
        } else if any_replica(&candidates, is_tried) && Instant::now() < search.wait_until {
            return None;
        } else {
            counters.reads_primary_lag.add();
        }
        search.tried.clear();
        primary_of(view).cloned()
    }

    fn candidates(&self, view: &GroupView) -> Vec<Candidate> {
        let own_zone = &self.server.context.settings.zone;
        let candidate = |entry: &crate::groups::MemberView| Candidate {
            is_primary: view.primary.as_ref() == Some(&entry.member.id),
            is_leaving: entry.member.leaving,
            is_reachable: entry.reachable,
            applied: entry
                .status
                .as_ref()
                .map_or(Position::default(), |s| s.applied),
            in_flight: self.session.pools.pool(&entry.member).in_flight(),
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
        search: &mut Search,
    ) -> Result<Attempt, End> {
        let is_primary = view.primary.as_ref() == Some(&member.id);
        let mut lease = match self.lease(view, member, self.deadline) {
            Ok(lease) => lease,
            Err(error @ (AcquireError::Shed(_) | AcquireError::TimedOut)) if is_primary => {
                self.server.counters.sheds.add();
                self.fail(&refusal::not_acquired(&error), status::IDLE)?;
                return Ok(Attempt::Answered);
            }
            Err(AcquireError::Unreachable(_)) => {
                self.group().report_silent(&member.id);
                search.tried.push(member.id.clone());
                thread::sleep(REPLICA_LOOK);
                return Ok(Attempt::Again);
            }
            Err(_) => {
                search.tried.push(member.id.clone());
                return Ok(Attempt::Again);
            }
        };
        let gate = Gate {
            required: Some(search.required),
            withhold: is_primary,
            patience: self
                .time_left()
                .min(READ_PATIENCE * (1 << search.attempts.min(8))),
        };
        let relayed = match self.exchange(&mut lease, gate) {
            Ok(relayed) => relayed,
            Err(Exchange::Bad(bad)) => {
                self.fail_bad(bad, status::IDLE)?;
                return Ok(Attempt::Answered);
            }
            Err(Exchange::Relay(error)) => return self.after_failed_read(error, lease, search),
        };
        if relayed.sqlstate.as_deref() == Some(READ_ONLY) && !self.output.is_started {
            self.output.buffer.clear();
            return Ok(Attempt::Writes);
        }
        if is_primary && !self.confirm_read(&mut lease) {
            return self.end_or_again();
        }
        if !is_primary {
            self.server.counters.reads_replica.add();
        }
        self.record.sqlstate = relayed.sqlstate.unwrap_or_default();
        // The connection is free for others before the caller has read its answer.
        drop(lease);
        self.finish(status::IDLE)?;
        Ok(Attempt::Answered)
    }

    /// Confirms what a primary's answer shows: it may include commits that no majority has yet.
    fn confirm_read(&mut self, lease: &mut Lease) -> bool {
        let Some(position) = lease.connection().position else {
            return false;
        };
        let until = self.deadline.min(Instant::now() + READ_PATIENCE);
        let confirmation = self.group().confirm(position.term, position, until);
        confirmation == Confirmation::Confirmed
    }

    /// Sends the request and passes its answer on.
    fn exchange(
        &mut self,
        lease: &mut Lease,
        gate: Gate,
    ) -> Result<super::answer::Relayed, Exchange> {
        self.bytes.clear();
        self.output.buffer.clear();
        let connection = lease.connection();
        let mut expected = self.put_request(connection).map_err(Exchange::Bad)?;
        let sent = Instant::now();
        self.send(connection)
            .map_err(|error| Exchange::Relay(error.into()))?;
        let relayed = relay(connection, &mut self.output, &mut expected, gate, false);
        self.record.target_us += sent.elapsed().as_micros() as u32;
        relayed.map_err(Exchange::Relay)
    }

    fn after_failed_read(
        &mut self,
        error: RelayError,
        mut lease: Lease,
        search: &mut Search,
    ) -> Result<Attempt, End> {
        match error {
            RelayError::CallerGone(_) => Err(End::CallerGone),
            RelayError::TooOld(_) => {
                self.server.counters.reads_discarded.add();
                search.tried.push(lease.connection().address.member.clone());
                // The rest of the answer may be long: the connection is dropped, not read out.
                lease.give_up();
                self.output.buffer.clear();
                thread::sleep(REPLICA_LOOK);
                Ok(Attempt::Again)
            }
            RelayError::Target(error) => {
                self.report_failure(&error, lease.connection());
                search.tried.push(lease.connection().address.member.clone());
                lease.give_up();
                self.end_or_again()
            }
        }
    }

    /// Tries again when nothing was shown to the caller; ends the answer with an error otherwise.
    fn end_or_again(&mut self) -> Result<Attempt, End> {
        if self.output.is_started {
            self.fail(&refusal::read_failed(), status::IDLE)?;
            return Ok(Attempt::Answered);
        }
        self.output.buffer.clear();
        if !self.server.may_retry() {
            let error: ErrorReply = refusal::read_failed();
            self.fail(&error, status::IDLE)?;
            return Ok(Attempt::Answered);
        }
        self.server.counters.reads_retried.add();
        Ok(Attempt::Again)
    }
}

/// Why a request was not exchanged.
enum Exchange {
    Bad(BadRequest),
    Relay(RelayError),
}
