//! Status probes of the targets: when they are sent, and how their replies update the group.

use super::Engine;
use super::caller::Stage;
use super::caller::Transaction;
use super::group::Primary;
use super::group::ProbeRequest;
use super::group::ProbeScope;
use super::outstanding::CommandKind;
use super::proof;
use super::proof::PrimaryRead;
use super::proof::Proof;
use super::statement::Answer;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::TargetStatus;
use super::target::Probe;
use super::target::Target;
use crate::commit_safety::Continuity;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use crate::logfmt::LogValue;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of unanswered probes of one target. More than one, so that a lost probe
/// doesn't block the next.
const PROBES_OUTSTANDING_MAX: usize = 2;

/// The time for which an unanswered probe delays the next one to the same target.
const PROBE_RESEND_DELAY: Duration = Duration::from_millis(20);

/// The age of a request for floor probes up to which a missing floor means that a member is silent.
const FLOOR_RETRY_AGE_MAX: Duration = Duration::from_millis(500);

/// The minimum interval between periodic probes of a group.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The interval between probes of a group without a working primary while no statement waits.
const PROBE_INTERVAL_IDLE: Duration = Duration::from_millis(200);

/// The interval between floors, in percent of the shortest maximum age that recent reads requested,
/// while the replicas keep up. The rest of the age is reserved for the probes' answers.
const FLOOR_INTERVAL_PERCENT: u32 = 80;

/// The interval between floors, in percent of the same age, after a replica lagged behind one. More
/// floors mean that the oldest one within the age, which a replica is most likely to have applied,
/// is older.
const FLOOR_INTERVAL_LAGGING_PERCENT: u32 = 33;

/// The age of an unanswered statement on the primary from which every member is probed, to find out
/// whether replication stalls or the primary is down.
const SLOW_STATEMENT_AGE: Duration = Duration::from_millis(150);

/// How long a group counts as lagging after a replica refused a read because of its floor.
pub(super) const LAGGING_GROUP_TIMEOUT: Duration = Duration::from_secs(3);

impl Engine {
    /// Requests probes of a group's targets that are sent at `now` or later.
    pub(super) fn request_probes(&mut self, now: Instant, name: &GroupName, scope: ProbeScope) {
        if let Some(group) = self.groups.get_mut(name) {
            let wider = group
                .probe_request
                .map_or(scope, |requested| requested.scope.max(scope));
            group.probes_requested_at = now;
            group.probe_request = Some(ProbeRequest {
                since: now,
                scope: wider,
            });
            self.changed_groups.insert(name.clone());
        }
    }

    /// Requests probes for the floor that a read waits for, unless some were requested recently.
    pub(super) fn request_floor_probes(&mut self, now: Instant, name: &GroupName) {
        let group = self.groups.get(name);
        let is_requested = group.is_some_and(|group| {
            group.probe_request.is_some() || now < group.probes_requested_at + PROBE_INTERVAL_MIN
        });
        if self.has_tenants() && self.is_floor_overdue(now, name) {
            self.request_probes(now, name, ProbeScope::All);
        } else if !is_requested {
            self.request_probes(now, name, ProbeScope::Quorum);
        }
    }

    /// Returns whether the members that were probed last for a floor didn't all answer in time.
    /// One of them may be silent, and the next request would choose it again.
    fn is_floor_overdue(&self, now: Instant, name: &GroupName) -> bool {
        self.groups.get(name).is_some_and(|group| {
            let requested_at = group.probes_requested_at;
            let is_recent = now < requested_at + FLOOR_RETRY_AGE_MAX;
            let is_overdue = now >= requested_at + PROBE_INTERVAL_MIN;
            is_recent && is_overdue && group.proved_at.is_none_or(|at| at < requested_at)
        })
    }

    /// Records the position of an acknowledged write as a floor.
    ///
    /// The target was still the primary after the write was sent: a later primary requires so many
    /// fenced members that none could have acknowledged the write. So the target's log includes
    /// every commit that was acknowledged before the write was sent.
    pub(super) fn record_acknowledged_write(
        &mut self,
        name: &GroupName,
        sent_at: Instant,
        at: Position,
    ) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        if group.limits.sync_replicas > 0 {
            group.samples.record(sent_at, at);
            group.proved_at = group.proved_at.max(Some(sent_at));
        }
    }

    /// Requests the probes that are due at `now`.
    pub(super) fn request_due_probes(&mut self, now: Instant, name: &GroupName) {
        let is_statement_slow = self
            .primary_statement_age(now, name)
            .is_some_and(|age| age >= SLOW_STATEMENT_AGE);
        let Some(group) = self.groups.get(name) else {
            return;
        };
        if now < group.probes_requested_at + PROBE_INTERVAL_MIN {
            return;
        }
        let has_waiting_statements = !group.awaiting_proof.is_empty() || !group.queue.is_empty();
        // A failing primary is replaced only if other members answer, so they are probed even while
        // the group is idle.
        let is_primary_failing = group
            .primary_id()
            .and_then(|primary| self.targets.get(primary))
            .is_some_and(|primary| primary.failing_since.is_some());
        let needs_all_members = group.primary.is_none()
            || is_primary_failing
            || is_statement_slow
            || group.failover.needs_probes()
            || group.has_pending_replacement();
        let is_idle_check_due = now >= group.probes_requested_at + PROBE_INTERVAL_IDLE;
        let is_lagging = group.lagging_until.is_some_and(|until| now < until);
        let floor_interval_percent = if is_lagging {
            FLOOR_INTERVAL_LAGGING_PERCENT
        } else {
            FLOOR_INTERVAL_PERCENT
        };
        let is_check_due = has_waiting_statements || is_statement_slow || is_idle_check_due;
        if needs_all_members && is_check_due {
            self.request_probes(now, name, ProbeScope::All);
        } else if !group.awaiting_proof.is_empty() {
            // The members probed first didn't all answer within the interval.
            self.request_probes(now, name, ProbeScope::All);
        } else if group
            .samples
            .is_due_at_interval(now, floor_interval_percent)
            && self.keeps_floors(now, group)
        {
            self.request_probes(now, name, ProbeScope::Quorum);
        }
    }

    /// Sends the requested probes on the connections that are available.
    pub(super) fn send_probes(&mut self, now: Instant, name: &GroupName) {
        let Some(requested) = self.groups.get(name).and_then(|group| group.probe_request) else {
            return;
        };
        let mut is_incomplete = false;
        for member in self.members_to_probe(now, name, requested.scope) {
            is_incomplete |= !self.probe(now, &member, requested.since);
        }
        if let Some(group) = self.groups.get_mut(name)
            && !is_incomplete
        {
            group.probe_request = None;
        }
    }

    /// Returns the members to probe for a scope.
    fn members_to_probe(
        &mut self,
        now: Instant,
        name: &GroupName,
        scope: ProbeScope,
    ) -> Vec<MemberId> {
        let has_tenants = self.has_tenants();
        let Some(group) = self.groups.get_mut(name) else {
            return Vec::new();
        };
        let needed = group.update_quorum(now);
        let Some(group) = self.groups.get(name) else {
            return Vec::new();
        };
        let primary = group.primary_id();
        let mut members: Vec<&MemberId> = group.members.iter().collect();
        if scope == ProbeScope::Others {
            members.retain(|member| primary != Some(*member));
        }
        if scope != ProbeScope::All {
            members.sort_by_cached_key(|member| {
                let target = self.targets.get(*member);
                let is_reachable = target.is_some_and(Target::is_reachable);
                let is_far = target.is_some_and(|target| self.is_far(target));
                let is_near = target.is_some_and(|target| target.entry.zone == self.location.zone);
                let response_time = target.map(|target| target.response_time);
                // Any members prove a floor. Opening a connection takes longer than a probe, and a
                // process with a few tenants has connections to few servers.
                let lacks_connection = target.is_none_or(|target| target.connections.is_empty());
                let is_worse = has_tenants && (lacks_connection || !is_reachable);
                // A replica that is busy with long reads answers a probe later than one in another
                // zone, and a read of the latest data waits for the answer.
                let probe_time = target
                    .and_then(|target| target.probe_time)
                    .filter(|_| has_tenants);
                (
                    is_worse,
                    primary != Some(*member),
                    !is_reachable,
                    is_far,
                    probe_time,
                    !is_near,
                    response_time,
                )
            });
            let is_primary_left_out = scope == ProbeScope::Others && primary.is_some();
            members.truncate(needed - usize::from(is_primary_left_out));
        }
        members.into_iter().cloned().collect()
    }

    /// Probes one target, unless a probe sent at or after `requested_at` is outstanding or
    /// answered. Returns `false` if the probe still has to be sent.
    pub(super) fn probe(&mut self, now: Instant, member: &MemberId, requested_at: Instant) -> bool {
        let Some(target) = self.targets.get(member) else {
            return true;
        };
        let outstanding: Vec<Instant> = self.outstanding_probes(target).collect();
        let newest = outstanding.iter().copied().max();
        if newest.is_some_and(|sent_at| sent_at >= requested_at)
            || target
                .probe
                .as_ref()
                .is_some_and(|probe| probe.probed_at >= requested_at)
        {
            return true;
        }
        let is_too_early = newest.is_some_and(|sent_at| now < sent_at + PROBE_RESEND_DELAY);
        if is_too_early || outstanding.len() >= PROBES_OUTSTANDING_MAX {
            return false;
        }
        match self.control_connection(target) {
            Some(connection) => {
                self.send(now, connection, Command::Status, CommandKind::Status);
                self.counters.probes += 1;
                true
            }
            None if self.has_tenants() => self.open_for_probe(now, member),
            None => {
                self.open_if_allowed(now, &member.clone(), None);
                false
            }
        }
    }

    /// Returns when each unanswered probe of a target was sent. Connections on which an answer was
    /// probably lost are left out, so that they don't hold up the next probe.
    fn outstanding_probes(&self, target: &Target) -> impl Iterator<Item = Instant> {
        let connections = target.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id))
            .filter(|connection| !connection.outstanding.has_unmatched_answer())
            .flat_map(|connection| connection.outstanding.iter())
            .filter(|outstanding| outstanding.kind == CommandKind::Status)
            .map(|outstanding| outstanding.sent_at)
    }

    /// Returns the connection with the fewest outstanding commands on which this process can send a
    /// command of its own.
    pub(super) fn control_connection(&self, target: &Target) -> Option<ConnectionId> {
        target
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id).map(|connection| (*id, connection)))
            .filter(|(_, connection)| connection.accepts_control())
            .min_by_key(|(_, connection)| connection.outstanding.len())
            .map(|(id, _)| id)
    }

    /// Processes a target's status, unless a newer one is known.
    pub(super) fn handle_status(
        &mut self,
        now: Instant,
        member: &MemberId,
        probed_at: Instant,
        status: TargetStatus,
    ) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        let is_newer = target
            .probe
            .as_ref()
            .is_none_or(|probe| probe.probed_at <= probed_at);
        if !is_newer {
            return;
        }
        let received_before = target.probe.as_ref().map(|probe| probe.status.received);
        if !status.is_primary && received_before.is_some_and(|before| before < status.received) {
            target.received_more_at = Some(now);
        }
        if received_before.is_some_and(|before| before > status.received) {
            // The target has come back with another log, and holds nothing that it promised.
            target.continuity = Continuity::started_at(now);
        }
        target.probe = Some(Probe {
            probed_at,
            status: status.clone(),
        });
        let name = target.entry.group.clone();
        self.update_term(now, &name, status.term.max(status.received.term));
        self.update_primary(member, &name, &status);
        self.update_replacements(&name);
        self.record_floor(now, &name);
        self.update_replication(now, &name);
        self.check_pending_proofs(now, &name);
        self.changed_groups.insert(name);
    }

    /// Records a term that is in use. A primary of a lower term has been replaced.
    fn update_term(&mut self, now: Instant, name: &GroupName, term: Term) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        group.highest_term = group.highest_term.max(term);
        let former = group.primary.take_if(|primary| primary.term < term);
        if let Some(former) = former {
            log::info!(
                target: "belief",
                "event=primary-lost group={} target={} term={} reason=a-higher-term-is-in-use",
                LogValue(name),
                LogValue(&former.member),
                former.term
            );
            self.request_probes(now, name, ProbeScope::All);
        }
    }

    fn update_primary(&mut self, member: &MemberId, name: &GroupName, status: &TargetStatus) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let known = group.primary.clone();
        if status.is_primary && status.term < group.highest_term {
            // The target was replaced and hasn't received the higher term yet.
            return;
        }
        if status.is_primary {
            group.record_leader(member, status.term);
            let is_newer = known.as_ref().is_none_or(|known| status.term > known.term);
            let is_same = known.as_ref().is_some_and(|known| &known.member == member);
            if is_newer || is_same {
                group.primary = Some(Primary {
                    member: member.clone(),
                    term: status.term,
                });
            }
            if is_newer {
                log::info!(
                    target: "belief",
                    "event=primary group={} target={} term={} before={}",
                    LogValue(name),
                    LogValue(member),
                    status.term,
                    LogValue(known.as_ref().map_or("none", |known| known.member.as_str()))
                );
            }
        } else if let Some(known) = known
            && &known.member == member
            && status.term >= known.term
        {
            log::info!(
                target: "belief",
                "event=primary-lost group={} target={} term={}",
                LogValue(name),
                LogValue(member),
                status.term
            );
            group.primary = None;
        }
    }

    /// Checks by the newest probes whether servers that left have been replaced.
    fn update_replacements(&mut self, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        if !group.has_pending_replacement() {
            return;
        }
        let probe = |member: &MemberId| self.targets.get(member)?.probe.as_ref();
        if let Some(primary) = group.primary_id()
            && let Some(probe) = probe(primary)
            && probe.status.is_primary
        {
            group.record_primary_position(probe.probed_at, probe.status.received);
        }
        let positions: Option<Vec<Position>> = group
            .members
            .iter()
            .map(|member| Some(probe(member)?.status.received))
            .collect();
        if let Some(common) = positions.and_then(|positions| positions.into_iter().min()) {
            group.record_common_position(common);
        }
    }

    /// Records the floor that the newest probes prove.
    fn record_floor(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let needed = group.update_quorum(now);
        let probes = group
            .members
            .iter()
            .filter_map(|member| self.targets.get(member)?.probe.as_ref());
        let Some(proved) = proof::floor(probes, needed) else {
            return;
        };
        if group.proved_at.is_none_or(|at| proved.probed_at > at) {
            group.proved_at = Some(proved.probed_at);
            group.samples.record(proved.probed_at, proved.floor);
        }
    }

    /// Checks the proof of every read and every commit of a group that waits for one.
    fn check_pending_proofs(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        let waiting: Vec<CallerId> = group.awaiting_proof.iter().copied().collect();
        for id in waiting {
            self.check_proof(now, id);
            self.check_commit(now, id);
        }
    }

    /// Delivers a read that is proved to be current, and runs it again if the proof failed.
    pub(super) fn check_proof(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let Stage::AwaitingProof {
            answer,
            member,
            term,
            is_leader_known,
        } = &pending.stage
        else {
            return;
        };
        let received_at = match caller.transaction {
            Transaction::Open { begun_at, .. } => begun_at,
            _ => pending.received_at,
        };
        let name = pending.route.group.clone();
        let Some(group) = self.groups.get_mut(&name) else {
            return;
        };
        let needed = group.update_quorum(now);
        let read = PrimaryRead {
            received_at,
            member,
            term: *term,
            is_leader_known: *is_leader_known,
        };
        let probes = group
            .members
            .iter()
            .filter_map(|member| Some((member, self.targets.get(member)?.probe.as_ref()?)));
        match proof::check_primary_read(read, probes, needed) {
            Proof::Incomplete => {}
            Proof::Proved => {
                let answer = answer.clone();
                self.deliver_proved(now, id, answer);
            }
            Proof::Refuted => {
                log::info!(
                    target: "request",
                    "event=read-refuted request={} target={} term={term}",
                    LogValue(&pending.statement.request),
                    LogValue(member)
                );
                self.rerun_refuted(now, id);
            }
        }
    }

    fn deliver_proved(&mut self, now: Instant, id: CallerId, answer: Answer) {
        self.counters.primary_reads += 1;
        self.answer(now, id, answer);
    }

    fn rerun_refuted(&mut self, now: Instant, id: CallerId) {
        match self.transaction_connection(id) {
            Some(connection) => {
                let message = "another primary took over; run the transaction again";
                let failure = super::statement::Failure::Aborted;
                self.fail_transaction(now, id, connection, failure, message);
            }
            None => self.retry(now, id, None),
        }
    }
}
