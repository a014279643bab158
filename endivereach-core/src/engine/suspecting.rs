//! Whether a primary has to be replaced: what this process sees of it and of its replicas.

use super::Engine;
use super::group::Group;
use super::statement::TargetStatus;
use super::target::Expected;
use super::target::Target;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Term;
use crate::suspicion::SILENCE_WHEN_REACHABLE;
use crate::suspicion::SILENCE_WHEN_REFUSED;
use crate::suspicion::SILENCE_WHEN_UNREACHABLE;
use std::time::Duration;
use std::time::Instant;

/// How long a group may be without a primary before this process gives it one.
const NO_PRIMARY_PATIENCE: Duration = Duration::from_millis(500);

/// How long a group may be without a primary while fewer members are listed than it must have.
const INCOMPLETE_PATIENCE: Duration = Duration::from_secs(4);

/// How long a statement must have been at a primary that no replica receives from before the two are
/// taken to belong together.
const STALLED_STATEMENT_AGE: Duration = Duration::from_millis(400);

/// How long a fence may stand without a promotion before its promoter counts as gone.
const FENCE_PATIENCE: Duration = Duration::from_millis(1_000);

/// How long another member's last answer counts as a sign that this process isn't cut off itself.
const WITNESS_AGE_MAX: Duration = Duration::from_millis(1_000);

/// A gap between two sweeps after which this process counts as having been frozen itself.
const FROZEN_AFTER: Duration = Duration::from_millis(400);

impl Engine {
    /// Tries to reach a primary whose connections were lost, also while nobody needs it: its loss must
    /// be noticed at night as well.
    pub(super) fn reconnect_to_primary(&mut self, now: Instant, name: &GroupName) {
        let primary = self.groups.get(name).and_then(|group| group.primary_id());
        let Some(primary) = primary.cloned() else {
            return;
        };
        let was_lost = self
            .targets
            .get(&primary)
            .is_some_and(|target| target.is_lost && target.connections.is_empty());
        if was_lost {
            self.open(now, &primary);
        }
    }

    /// Starts suspicion anew after this process itself stood still.
    pub(super) fn forgive_own_freeze(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let failover = &mut group.failover;
        let gap = now.saturating_duration_since(failover.last_sweep_at);
        failover.last_sweep_at = now;
        if gap < FROZEN_AFTER {
            return;
        }
        log::warn!(target: "belief", "event=own-freeze group={name} gap_ms={}", gap.as_millis());
        failover.stalled_since = None;
        failover.no_primary_since = None;
        failover.fenced_since = None;
        failover.suspected_since = None;
        for member in &group.members {
            if let Some(target) = self.targets.get_mut(member) {
                target.failing_since = target.failing_since.map(|_| now);
                target.last_answer_at = now;
            }
        }
    }

    /// Takes the newest positions in: does any replica follow the primary?
    pub(super) fn note_replication(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(primary) = &group.primary else {
            return;
        };
        let received = |member: &MemberId| {
            let probe = self.targets.get(member)?.probe.as_ref()?;
            Some(probe.status.received)
        };
        let Some(own) = received(&primary.member) else {
            return;
        };
        let others = group
            .members
            .iter()
            .filter(|member| **member != primary.member);
        let replicated = others.filter_map(received).max().unwrap_or_default();
        let failover = &mut group.failover;
        if replicated >= own {
            failover.stalled_since = None;
        } else if replicated > failover.replicated {
            failover.stalled_since = Some(now);
        } else {
            failover.stalled_since.get_or_insert(now);
        }
        failover.replicated = replicated;
    }

    /// Notes fences of which no promotion came.
    pub(super) fn note_fences(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        match group.primary {
            None => {
                group.failover.no_primary_since.get_or_insert(now);
            }
            Some(_) => group.failover.no_primary_since = None,
        }
        let led_term = group.primary.as_ref().map(|primary| primary.term);
        let fenced_term = |member: &MemberId| {
            let probe = self.targets.get(member)?.probe.as_ref()?;
            Some(probe.status.fenced_term)
        };
        // A promotion ends the fences of its term and of those before.
        let is_standing = |fenced: Term| {
            fenced != Term::default() && led_term.is_none_or(|led_term| fenced > led_term)
        };
        let is_fenced = group
            .members
            .iter()
            .filter_map(fenced_term)
            .any(is_standing);
        if is_fenced {
            group.failover.fenced_since.get_or_insert(now);
        } else {
            group.failover.fenced_since = None;
        }
    }

    /// Returns why a group needs another primary.
    pub(super) fn suspicion(&self, now: Instant, name: &GroupName) -> Option<&'static str> {
        let group = self.groups.get(name)?;
        let failover = &group.failover;
        let lasted = |since: Option<Instant>, patience: Duration| {
            since.is_some_and(|since| now >= since + patience)
        };
        let primary = group.primary_id();
        let has_witness = group.members.iter().any(|member| {
            let target = self.targets.get(member);
            primary != Some(member)
                && target.is_some_and(|target| now < target.last_answer_at + WITNESS_AGE_MAX)
        });
        if !has_witness {
            return None;
        }
        if lasted(failover.fenced_since, FENCE_PATIENCE) {
            return Some("a fence stands without a promotion");
        }
        let Some(target) = primary.and_then(|primary| self.targets.get(primary)) else {
            // Servers that start list themselves one after the other.
            let patience = if group.is_complete() {
                NO_PRIMARY_PATIENCE
            } else {
                INCOMPLETE_PATIENCE
            };
            let is_due = lasted(failover.no_primary_since, patience);
            return (is_due && self.is_led_by_nobody(now, group)).then_some("nobody leads");
        };
        if target.entry.leaving {
            return Some("the primary is leaving");
        }
        if lasted(target.failing_since, SILENCE_WHEN_REFUSED) {
            return Some("the primary can't be connected to");
        }
        if lasted(self.silent_since(target), SILENCE_WHEN_UNREACHABLE) {
            return Some("the primary doesn't answer");
        }
        // Positions alone also differ where nothing has been written since a replica joined.
        if lasted(failover.stalled_since, SILENCE_WHEN_REACHABLE)
            && lasted(self.oldest_statement(target), STALLED_STATEMENT_AGE)
        {
            return Some("no replica receives from the primary");
        }
        None
    }

    /// Returns when the oldest statement was sent that a target still works on.
    fn oldest_statement(&self, target: &Target) -> Option<Instant> {
        let connections = target.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id)?.outstanding.front())
            .filter(|first| matches!(first.expected, Expected::Statement | Expected::Abandoned))
            .map(|first| first.sent_at)
            .min()
    }

    /// Returns whether a write sent now would wait for a replica that doesn't receive, with nothing
    /// under way to end that.
    pub(super) fn is_write_stalled(&self, now: Instant, name: &GroupName) -> bool {
        let Some(group) = self.groups.get(name) else {
            return false;
        };
        let primary = group
            .primary_id()
            .and_then(|primary| self.targets.get(primary));
        let oldest = primary.and_then(|primary| self.oldest_statement(primary));
        let lasted = |since: Option<Instant>| {
            since.is_some_and(|since| now >= since + STALLED_STATEMENT_AGE)
        };
        let failover = &group.failover;
        failover.attempt.is_none() && lasted(failover.stalled_since) && lasted(oldest)
    }

    /// Returns whether the newest probes and every listing agree that no member leads.
    fn is_led_by_nobody(&self, now: Instant, group: &Group) -> bool {
        let targets = || {
            group
                .members
                .iter()
                .filter_map(|member| self.targets.get(member))
        };
        let is_former = |status: &TargetStatus| status.term < group.term_seen;
        let follows = |target: &&Target| {
            let probe = target.probe.as_ref();
            probe.is_some_and(|probe| {
                let leads = probe.status.leads && !is_former(&probe.status);
                now < probe.asked_at + WITNESS_AGE_MAX && !leads
            })
        };
        let claims = |target: &Target| {
            let probe = target.probe.as_ref();
            let is_former = probe.is_some_and(|probe| is_former(&probe.status));
            target.entry.leads && target.is_reachable() && !is_former
        };
        targets().filter(follows).count() >= group.quorum_now() && !targets().any(claims)
    }

    /// Returns since when a target has left everything unanswered.
    fn silent_since(&self, target: &Target) -> Option<Instant> {
        target
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id)?.waiting_since())
            .min()
            .map(|oldest| oldest.max(target.last_answer_at))
    }
}
