//! Failure detection: decides from the probes of a primary and its replicas whether the primary
//! must be replaced.

use super::Engine;
use super::group::Group;
use super::outstanding::CommandKind;
use super::statement::TargetStatus;
use super::target::Target;
use crate::failure_detection::SILENCE_TIMEOUT_WHEN_REACHABLE;
use crate::failure_detection::SILENCE_TIMEOUT_WHEN_REFUSED;
use crate::failure_detection::SILENCE_TIMEOUT_WHEN_UNREACHABLE;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Term;
use crate::logfmt::LogValue;
use std::time::Duration;
use std::time::Instant;

/// How long a group may be without a primary before a new one is promoted.
const NO_PRIMARY_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a group may be without a primary while it has fewer than the minimum number of members.
const INCOMPLETE_GROUP_TIMEOUT: Duration = Duration::from_secs(4);

/// The minimum age of an unanswered statement on a primary at which stalled replication counts as
/// the cause of the delay.
const STALLED_STATEMENT_AGE_MIN: Duration = Duration::from_millis(400);

/// How long a fence may exist without a promotion before its promoter counts as failed.
const STANDING_FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The maximum age of another member's last answer that shows that this process isn't partitioned
/// from the group itself.
const WITNESS_AGE_MAX: Duration = Duration::from_millis(1_000);

/// The minimum gap between two checks from which this process counts as having been paused itself.
const PAUSE_GAP_MIN: Duration = Duration::from_millis(400);

impl Engine {
    /// Reconnects to a primary whose connections were all lost, even while no statement waits, so
    /// that its failure is also detected in an idle group.
    pub(super) fn reconnect_to_primary(&mut self, now: Instant, name: &GroupName) {
        let primary = self.groups.get(name).and_then(|group| group.primary_id());
        let Some(primary) = primary.cloned() else {
            return;
        };
        let is_disconnected = self
            .targets
            .get(&primary)
            .is_some_and(|target| target.was_disconnected && target.connections.is_empty());
        if is_disconnected {
            let tenant = self.recent_tenant(now, name);
            self.open(now, &primary, tenant);
        }
    }

    /// Resets all signs of a failed primary after this process itself was paused.
    pub(super) fn reset_after_pause(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let failover = &mut group.failover;
        let gap = now.saturating_duration_since(failover.last_check_at);
        failover.last_check_at = now;
        if gap < PAUSE_GAP_MIN {
            return;
        }
        log::warn!(target: "belief", "event=own-freeze group={} gap_ms={}", LogValue(name), gap.as_millis());
        failover.stalled_since = None;
        failover.no_primary_since = None;
        failover.fenced_since = None;
        failover.suspected_since = None;
        failover.out_of_reach_since = None;
        for member in &group.members {
            if let Some(target) = self.targets.get_mut(member) {
                target.failing_since = target.failing_since.map(|_| now);
                target.last_answer_at = now;
            }
        }
    }

    /// Records, from the newest probes, since when no replica has received entries of the primary.
    pub(super) fn update_replication(&mut self, now: Instant, name: &GroupName) {
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
        let Some(primary_position) = received(&primary.member) else {
            return;
        };
        let others = group
            .members
            .iter()
            .filter(|member| **member != primary.member);
        let replicated = others.filter_map(received).max().unwrap_or_default();
        let failover = &mut group.failover;
        if replicated >= primary_position {
            failover.stalled_since = None;
        } else if replicated > failover.replicated_position {
            failover.stalled_since = Some(now);
        } else {
            failover.stalled_since.get_or_insert(now);
        }
        failover.replicated_position = replicated;
    }

    /// Records since when the group has had no primary, and since when a member has been fenced
    /// without a promotion.
    pub(super) fn update_fences(&mut self, now: Instant, name: &GroupName) {
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
        // A promotion removes the fences of its term and of lower terms.
        let is_unresolved = |fenced: Term| {
            fenced != Term::default() && led_term.is_none_or(|led_term| fenced > led_term)
        };
        let is_fenced = group
            .members
            .iter()
            .filter_map(fenced_term)
            .any(is_unresolved);
        if is_fenced {
            group.failover.fenced_since.get_or_insert(now);
        } else {
            group.failover.fenced_since = None;
        }
    }

    /// Returns why a group needs another primary, or `None` if it doesn't.
    pub(super) fn suspicion_reason(&self, now: Instant, name: &GroupName) -> Option<&'static str> {
        let group = self.groups.get(name)?;
        let failover = &group.failover;
        let lasted = |since: Option<Instant>, timeout: Duration| {
            since.is_some_and(|since| now >= since + timeout)
        };
        let primary = group.primary_id();
        let target = primary.and_then(|primary| self.targets.get(primary));
        // The server itself has announced it, so this process needn't be in touch with the others.
        if target.is_some_and(|target| target.entry.leaving) {
            return Some("the primary is leaving");
        }
        let has_witness = group.members.iter().any(|member| {
            let target = self.targets.get(member);
            primary != Some(member)
                && target.is_some_and(|target| now < target.last_answer_at + WITNESS_AGE_MAX)
        });
        if !has_witness {
            return None;
        }
        if lasted(failover.fenced_since, STANDING_FENCE_TIMEOUT) {
            return Some("a member is fenced and no promotion followed");
        }
        let Some(target) = target else {
            // Servers that start are listed one after the other, so an incomplete group may still
            // be starting.
            let timeout = if group.is_complete() {
                NO_PRIMARY_TIMEOUT
            } else {
                INCOMPLETE_GROUP_TIMEOUT
            };
            let is_due = lasted(failover.no_primary_since, timeout);
            return (is_due && self.has_no_leader(now, group)).then_some("no member leads");
        };
        if lasted(target.failing_since, SILENCE_TIMEOUT_WHEN_REFUSED) {
            return Some("the primary can't be connected to");
        }
        if lasted(self.silent_since(target), SILENCE_TIMEOUT_WHEN_UNREACHABLE) {
            return Some("the primary doesn't answer");
        }
        // Positions also differ if nothing has been written since a replica joined, so an
        // unanswered statement is required as well.
        if lasted(failover.stalled_since, SILENCE_TIMEOUT_WHEN_REACHABLE)
            && lasted(
                self.oldest_statement_sent_at(target),
                STALLED_STATEMENT_AGE_MIN,
            )
        {
            return Some("no replica receives from the primary");
        }
        None
    }

    /// Returns the age of the oldest unanswered statement on a group's primary.
    pub(super) fn primary_statement_age(&self, now: Instant, name: &GroupName) -> Option<Duration> {
        let primary = self.groups.get(name)?.primary_id()?;
        let sent_at = self.oldest_statement_sent_at(self.targets.get(primary)?)?;
        Some(now.saturating_duration_since(sent_at))
    }

    /// Returns when the oldest unanswered statement of a target was sent.
    fn oldest_statement_sent_at(&self, target: &Target) -> Option<Instant> {
        let connections = target.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id)?.outstanding.oldest())
            .filter(|oldest| matches!(oldest.kind, CommandKind::Statement | CommandKind::Abandoned))
            .map(|oldest| oldest.sent_at)
            .min()
    }

    /// Returns whether a write sent now would stall because no replica receives from the primary,
    /// and no promotion is running that would end the stall.
    pub(super) fn is_write_stalled(&self, now: Instant, name: &GroupName) -> bool {
        let Some(group) = self.groups.get(name) else {
            return false;
        };
        let primary = group
            .primary_id()
            .and_then(|primary| self.targets.get(primary));
        let oldest = primary.and_then(|primary| self.oldest_statement_sent_at(primary));
        let lasted = |since: Option<Instant>| {
            since.is_some_and(|since| now >= since + STALLED_STATEMENT_AGE_MIN)
        };
        let failover = &group.failover;
        failover.attempt.is_none() && lasted(failover.stalled_since) && lasted(oldest)
    }

    /// Returns whether the probes of a quorum and the entries of all members agree that no member
    /// leads.
    fn has_no_leader(&self, now: Instant, group: &Group) -> bool {
        let targets = || {
            group
                .members
                .iter()
                .filter_map(|member| self.targets.get(member))
        };
        let is_former = |status: &TargetStatus| status.term < group.highest_term;
        let follows = |target: &&Target| {
            let probe = target.probe.as_ref();
            probe.is_some_and(|probe| {
                let is_primary = probe.status.is_primary && !is_former(&probe.status);
                now < probe.probed_at + WITNESS_AGE_MAX && !is_primary
            })
        };
        let claims_to_lead = |target: &Target| {
            let probe = target.probe.as_ref();
            let is_former = probe.is_some_and(|probe| is_former(&probe.status));
            target.entry.is_primary && target.is_reachable() && !is_former
        };
        targets().filter(follows).count() >= group.quorum() && !targets().any(claims_to_lead)
    }

    /// Returns the time since which a target hasn't answered any outstanding command.
    pub(super) fn silent_since(&self, target: &Target) -> Option<Instant> {
        target
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id)?.waiting_since())
            .min()
            .map(|oldest| oldest.max(target.last_answer_at))
    }
}
