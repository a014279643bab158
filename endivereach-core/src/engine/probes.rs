//! Status probes of the targets: when one is due, and what its answer teaches.

use super::Engine;
use super::caller::Stage;
use super::caller::Transaction;
use super::group::Primary;
use super::group::ProbeScope;
use super::group::ProbesWanted;
use super::proof;
use super::proof::PrimaryRead;
use super::proof::Proof;
use super::statement::Answer;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::TargetStatus;
use super::target::Expected;
use super::target::Probe;
use super::target::Target;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use std::time::Duration;
use std::time::Instant;

/// Probes of one target that may be unanswered at a time, so that a lost one doesn't stop the others.
const PROBES_OUTSTANDING_MAX: u32 = 2;

/// How long an unanswered probe holds back the next one to the same target.
const PROBE_PATIENCE: Duration = Duration::from_millis(20);

/// The shortest time between probes that nobody new asked for.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The time between probes of a group without a known primary while nobody waits.
const PROBE_INTERVAL_IDLE: Duration = Duration::from_millis(200);

/// How many floors are taken within the shortest age that reads ask for.
const SAMPLES_PER_AGE: u32 = 3;

impl Engine {
    /// Asks for probes of the targets of a group that begin now.
    pub(super) fn want_probes(&mut self, now: Instant, name: &GroupName, scope: ProbeScope) {
        if let Some(group) = self.groups.get_mut(name) {
            let wider = group
                .probes_wanted
                .map_or(scope, |wanted| wanted.scope.max(scope));
            group.probes_wanted_at = now;
            group.probes_wanted = Some(ProbesWanted {
                since: now,
                scope: wider,
            });
            self.dirty.insert(name.clone());
        }
    }

    /// Asks for the floor that a read waits for, unless probes are under way for it.
    pub(super) fn want_first_floor(&mut self, now: Instant, name: &GroupName) {
        let group = self.groups.get(name);
        let is_asked = group.is_some_and(|group| {
            group.probes_wanted.is_some() || now < group.probes_wanted_at + PROBE_INTERVAL_MIN
        });
        if !is_asked {
            self.want_probes(now, name, ProbeScope::Quorum);
        }
    }

    /// Keeps the position of an acknowledged write as a floor.
    ///
    /// Its primary led and wasn't fenced off after the write was sent: a later primary needs so many
    /// members fenced that none could have acknowledged the write. So whatever was acknowledged
    /// before the write was sent is in the primary's log.
    pub(super) fn note_acknowledged(&mut self, name: &GroupName, sent_at: Instant, at: Position) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        if group.limits.sync_replicas > 0 {
            group.samples.record(sent_at, at);
            group.proved_at = group.proved_at.max(Some(sent_at));
        }
    }

    /// Asks for probes that time makes due.
    pub(super) fn sweep_probes(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        if now < group.probes_wanted_at + PROBE_INTERVAL_MIN {
            return;
        }
        let is_waited_for = !group.proving.is_empty() || !group.queue.is_empty();
        // Only a group whose other members answer is given another primary, at night too.
        let is_primary_failing = group
            .primary_id()
            .and_then(|primary| self.targets.get(primary))
            .is_some_and(|primary| primary.failing_since.is_some());
        let is_unknown = group.primary.is_none()
            || is_primary_failing
            || group.failover.needs_probes()
            || group.awaits_replacement();
        let is_idle_check = now >= group.probes_wanted_at + PROBE_INTERVAL_IDLE;
        if is_unknown && (is_waited_for || is_idle_check) {
            self.want_probes(now, name, ProbeScope::All);
        } else if !group.proving.is_empty() {
            // The members asked first didn't answer at once.
            self.want_probes(now, name, ProbeScope::All);
        } else if group.samples.is_due_at_rate(now, SAMPLES_PER_AGE) {
            self.want_probes(now, name, ProbeScope::Quorum);
        }
    }

    /// Sends the probes that are wanted, as far as connections allow.
    pub(super) fn send_probes(&mut self, now: Instant, name: &GroupName) {
        let Some(wanted) = self.groups.get(name).and_then(|group| group.probes_wanted) else {
            return;
        };
        let mut is_missing = false;
        for member in self.members_to_probe(now, name, wanted.scope) {
            is_missing |= !self.probe(now, &member, wanted.since);
        }
        if let Some(group) = self.groups.get_mut(name)
            && !is_missing
        {
            group.probes_wanted = None;
        }
    }

    /// Returns the members that a probe is sent to.
    fn members_to_probe(
        &mut self,
        now: Instant,
        name: &GroupName,
        scope: ProbeScope,
    ) -> Vec<MemberId> {
        let Some(group) = self.groups.get_mut(name) else {
            return Vec::new();
        };
        let needed = group.quorum(now);
        let primary = group.primary_id();
        let mut members: Vec<&MemberId> = group.members.iter().collect();
        if scope == ProbeScope::Quorum {
            members.sort_by_cached_key(|member| {
                let target = self.targets.get(*member);
                let is_reachable = target.is_some_and(Target::is_reachable);
                let is_near = target.is_some_and(|target| target.entry.zone == self.location.zone);
                let response_time = target.map(|target| target.response_time);
                (
                    primary != Some(*member),
                    !is_reachable,
                    !is_near,
                    response_time,
                )
            });
            members.truncate(needed);
        }
        members.into_iter().cloned().collect()
    }

    /// Probes one target, unless a probe that began after `wanted_at` is under way. Returns whether
    /// nothing more has to be done for it.
    fn probe(&mut self, now: Instant, member: &MemberId, wanted_at: Instant) -> bool {
        let Some(target) = self.targets.get(member) else {
            return true;
        };
        let outstanding = self.newest_probe_sent(target);
        if outstanding.is_some_and(|sent_at| sent_at >= wanted_at)
            || target
                .probe
                .as_ref()
                .is_some_and(|probe| probe.asked_at >= wanted_at)
        {
            return true;
        }
        let holds_back = outstanding.is_some_and(|sent_at| now < sent_at + PROBE_PATIENCE);
        if holds_back || target.probes_outstanding >= PROBES_OUTSTANDING_MAX {
            return false;
        }
        match self.control_connection(target) {
            Some(connection) => {
                self.send(now, connection, Command::Status, Expected::Status);
                if let Some(target) = self.targets.get_mut(member) {
                    target.probes_outstanding += 1;
                }
                self.counters.probes += 1;
                true
            }
            None => {
                self.open_if_allowed(now, &member.clone());
                false
            }
        }
    }

    fn newest_probe_sent(&self, target: &Target) -> Option<Instant> {
        target
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id))
            .flat_map(|connection| connection.outstanding.iter())
            .filter(|outstanding| outstanding.expected == Expected::Status)
            .map(|outstanding| outstanding.sent_at)
            .max()
    }

    /// Returns the connection on which a command of this process is answered soonest.
    pub(super) fn control_connection(&self, target: &Target) -> Option<ConnectionId> {
        target
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id).map(|connection| (*id, connection)))
            .filter(|(_, connection)| connection.takes_control())
            .min_by_key(|(_, connection)| connection.outstanding.len())
            .map(|(id, _)| id)
    }

    /// Takes a target's status in.
    pub(super) fn note_status(
        &mut self,
        now: Instant,
        member: &MemberId,
        asked_at: Instant,
        status: TargetStatus,
    ) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        let is_newer = target
            .probe
            .as_ref()
            .is_none_or(|probe| probe.asked_at <= asked_at);
        if !is_newer {
            return;
        }
        target.probe = Some(Probe {
            asked_at,
            status: status.clone(),
        });
        let name = target.entry.group.clone();
        self.learn_term(now, &name, status.term.max(status.received.term));
        self.learn_primary(member, &name, &status);
        self.note_replacements(&name);
        self.record_floor(now, &name);
        self.note_replication(now, &name);
        self.judge_all(now, &name);
        self.dirty.insert(name);
    }

    /// Takes in a term that is in use. A primary of a lower one has been replaced.
    fn learn_term(&mut self, now: Instant, name: &GroupName, term: Term) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        group.term_seen = group.term_seen.max(term);
        let former = group.primary.take_if(|primary| primary.term < term);
        if let Some(former) = former {
            log::info!(
                target: "belief",
                "event=primary-lost group={name} target={} term={} reason=a-higher-term-is-in-use",
                former.member,
                former.term
            );
            self.want_probes(now, name, ProbeScope::All);
        }
    }

    fn learn_primary(&mut self, member: &MemberId, name: &GroupName, status: &TargetStatus) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let known = group.primary.clone();
        if status.leads && status.term < group.term_seen {
            // It was replaced and doesn't know it.
            return;
        }
        if status.leads {
            group.note_leader(member, status.term);
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
                    "event=primary group={name} target={member} term={} before={}",
                    status.term,
                    known.map_or_else(|| "none".into(), |known| known.member.to_string())
                );
            }
        } else if let Some(known) = known
            && &known.member == member
            && status.term >= known.term
        {
            log::info!(
                target: "belief",
                "event=primary-lost group={name} target={member} term={}",
                status.term
            );
            group.primary = None;
        }
    }

    /// Takes in what the newest probes show of servers that left and were replaced.
    fn note_replacements(&mut self, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        if !group.awaits_replacement() {
            return;
        }
        let probe = |member: &MemberId| self.targets.get(member)?.probe.as_ref();
        if let Some(primary) = group.primary_id()
            && let Some(probe) = probe(primary)
            && probe.status.leads
        {
            group.note_primary_position(probe.asked_at, probe.status.received);
        }
        let positions: Option<Vec<Position>> = group
            .members
            .iter()
            .map(|member| Some(probe(member)?.status.received))
            .collect();
        if let Some(common) = positions.and_then(|positions| positions.into_iter().min()) {
            group.note_common_position(common);
        }
    }

    /// Keeps the floor that the newest probes prove.
    fn record_floor(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let needed = group.quorum(now);
        let probes = group
            .members
            .iter()
            .filter_map(|member| self.targets.get(member)?.probe.as_ref());
        let Some(proved) = proof::floor(probes, needed) else {
            return;
        };
        if group.proved_at.is_none_or(|at| proved.asked_at > at) {
            group.proved_at = Some(proved.asked_at);
            group.samples.record(proved.asked_at, proved.floor);
        }
    }

    /// Judges every read of a group that waits for its proof.
    fn judge_all(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        let waiting: Vec<CallerId> = group.proving.iter().copied().collect();
        for id in waiting {
            self.judge(now, id);
        }
    }

    /// Delivers a read whose proof is there, and runs it again elsewhere when it was refuted.
    pub(super) fn judge(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let Stage::Proving {
            answer,
            member,
            term,
            led_at_begin,
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
        let needed = group.quorum(now);
        let read = PrimaryRead {
            received_at,
            member,
            term: *term,
            led_at_begin: *led_at_begin,
        };
        let probes = group
            .members
            .iter()
            .filter_map(|member| Some((member, self.targets.get(member)?.probe.as_ref()?)));
        match proof::judge(read, probes, needed) {
            Proof::Missing => {}
            Proof::Shown => {
                let answer = answer.clone();
                self.deliver_proved(now, id, answer);
            }
            Proof::Refuted => {
                log::info!(
                    target: "request",
                    "event=read-refuted request={} target={member} term={term}",
                    pending.statement.request
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
