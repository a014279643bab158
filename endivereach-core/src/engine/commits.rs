//! Acknowledgements of commits: passed on once no promotion can lose the commit.

use super::Engine;
use super::caller::Stage;
use super::group::Group;
use super::group::ProbeScope;
use super::statement::Answer;
use super::statement::CallerId;
use super::statement::Failure;
use super::statement::SessionState;
use super::target::Target;
use crate::commit_safety::GroupState;
use crate::commit_safety::PROMOTION_DURATION_MAX;
use crate::commit_safety::Replica;
use crate::commit_safety::Safety;
use crate::commit_safety::commit_safety;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use crate::logfmt::LogValue;
use std::time::Instant;

impl Engine {
    /// Passes on a primary's acknowledgement of a caller's commit, or keeps it until probes show that
    /// no promotion can lose the commit.
    pub(super) fn commit_answered(
        &mut self,
        now: Instant,
        id: CallerId,
        member: &MemberId,
        answer: Answer,
    ) {
        let Some(name) = self.pending_group(id) else {
            return;
        };
        let safety = self.safety_of(now, &name, member, answer.position);
        let stage = Stage::AwaitingReplicas {
            answer,
            member: member.clone(),
        };
        self.set_stage(id, stage);
        if safety == Safety::Unproved {
            self.counters.commits_held += 1;
            self.log_held_commit(now, id, &name, member);
            if let Some(group) = self.groups.get_mut(&name) {
                group.awaiting_proof.insert(id);
            }
            let scope = if self.have_all_kept_running(now, &name) {
                ProbeScope::Others
            } else {
                ProbeScope::All
            };
            self.request_probes(now, &name, scope);
            return;
        }
        self.check_commit(now, id);
    }

    /// Answers a commit whose acknowledgement waits for proof, if it is decided.
    pub(super) fn check_commit(&mut self, now: Instant, id: CallerId) {
        let Some(pending) = self.callers.get(&id).and_then(|c| c.pending.as_ref()) else {
            return;
        };
        let Stage::AwaitingReplicas { answer, member } = &pending.stage else {
            return;
        };
        let name = &pending.route.group;
        match self.safety_of(now, name, member, answer.position) {
            Safety::Unproved => {}
            Safety::Safe => {
                let answer = answer.clone();
                self.acknowledge_commit(now, id, answer);
            }
            Safety::Superseded => {
                self.doubt_commit(
                    now,
                    id,
                    "another primary took over; look whether the change is there",
                );
            }
        }
    }

    /// Answers that the outcome of a commit isn't known: its primary acknowledged it, but a promotion
    /// may lose it.
    pub(super) fn doubt_commit(&mut self, now: Instant, id: CallerId, message: &str) {
        self.counters.commits_doubted += 1;
        let answer = Answer::failed(Failure::InDoubt, message, SessionState::Idle);
        self.answer(now, id, answer);
    }

    fn acknowledge_commit(&mut self, now: Instant, id: CallerId, answer: Answer) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let (name, sent_at) = (pending.route.group.clone(), pending.sent_at);
        if let Some(position) = answer.position {
            caller.last_commit_position = caller.last_commit_position.max(position);
            if let Some(sent_at) = sent_at {
                self.record_acknowledged_write(&name, sent_at, position);
            }
        }
        self.answer(now, id, answer);
    }

    fn pending_group(&self, id: CallerId) -> Option<GroupName> {
        let pending = self.callers.get(&id)?.pending.as_ref()?;
        Some(pending.route.group.clone())
    }

    /// Decides whether the commit that ended at `position` on `primary` is safe. A commit without a
    /// position, and one in a group that replicates after the acknowledgement, can't be checked.
    fn safety_of(
        &self,
        now: Instant,
        name: &GroupName,
        primary: &MemberId,
        position: Option<Position>,
    ) -> Safety {
        let Some(group) = self.groups.get(name) else {
            return Safety::Unproved;
        };
        let Some(position) = position.filter(|_| group.limits.sync_replicas > 0) else {
            return Safety::Safe;
        };
        let state = GroupState {
            sync_replicas: group.limits.sync_replicas,
            highest_term: group.highest_term,
            has_promotion_sign: self.has_promotion_sign(now, group, primary),
            is_complete: group.has_all_members(),
        };
        let members: Vec<Replica> = group
            .members
            .iter()
            .filter_map(|member| Some((member, self.targets.get(member)?)))
            .map(|(member, target)| Replica {
                has_commit: member == primary || target.has_received(position),
                keeps_fences: target.continuity.keeps_fences(now),
            })
            .collect();
        commit_safety(state, position, &members)
    }

    /// Returns whether no member has restarted or joined lately.
    fn have_all_kept_running(&self, now: Instant, name: &GroupName) -> bool {
        let members = self.groups.get(name).map(|group| group.members.iter());
        let mut targets = members.into_iter().flatten().map(|id| self.targets.get(id));
        targets.all(|target| target.is_some_and(|target| target.continuity.keeps_fences(now)))
    }

    /// Returns whether anything known shows that another primary than `primary` may be ordered or
    /// promoted.
    fn has_promotion_sign(&self, now: Instant, group: &Group, primary: &MemberId) -> bool {
        let failover = &group.failover;
        let is_former = |target: &Target| {
            let term = target.probe.as_ref().map(|probe| probe.status.term);
            term.is_some_and(|term| term != Term::default() && term < group.highest_term)
        };
        let claims_to_lead = |member: &MemberId| {
            let target = self.targets.get(member);
            target.is_some_and(|target| target.entry.is_primary && !is_former(target))
        };
        let others = || group.members.iter().filter(|member| *member != primary);
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < PROMOTION_DURATION_MAX)
        };
        is_recent(self.duty_changed_at)
            || is_recent(failover.announced_at)
            || failover.attempt.is_some()
            || failover.fenced_since.is_some()
            || failover.suspected_since.is_some()
            || others().any(claims_to_lead)
    }

    fn log_held_commit(&self, now: Instant, id: CallerId, name: &GroupName, primary: &MemberId) {
        let (Some(group), Some(pending)) = (
            self.groups.get(name),
            self.callers.get(&id).and_then(|c| c.pending.as_ref()),
        ) else {
            return;
        };
        let restarted: Vec<&str> = group
            .members
            .iter()
            .filter(|member| {
                let target = self.targets.get(*member);
                target.is_some_and(|target| !target.continuity.keeps_fences(now))
            })
            .map(MemberId::as_str)
            .collect();
        log::info!(
            target: "request",
            "event=commit-held request={} group={} target={} restarted={} promotion={}",
            LogValue(&pending.statement.request),
            LogValue(name),
            LogValue(primary),
            LogValue(restarted.join(",")),
            self.has_promotion_sign(now, group, primary)
        );
    }
}
