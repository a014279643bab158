//! Statements that only the primary can run, while this process reaches no primary.
//!
//! Load: a primary is cut from a part of the proxies and replicas for seconds. Those proxies used to
//! hold each write for half of its timeout and then refuse it.
//!
//! A promotion takes about a second, so writes wait for one. Once the outage has lasted longer than
//! that, it isn't expected to end soon: an outage of unknown cause is expected to last about as long
//! again as it has lasted. A statement that may not wait so long is refused at once, with a retry
//! delay. Reads that a replica may serve aren't affected.

use super::Engine;
use super::caller::Pending;
use super::sessions::busy_answer;
use super::sessions::queue_deadline;
use super::statement::Answer;
use super::statement::CallerId;
use super::statement::SessionState;
use crate::failure_detection::SILENCE_TIMEOUT_WHEN_UNREACHABLE;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::logfmt::LogValue;
use crate::treatment::Freshness;
use std::time::Duration;
use std::time::Instant;

/// The time from the loss of a primary within which its successor is expected: a promotion takes about
/// 1 s, of which up to 0.65 s pass until the loss is noticed, and the rest is reserved for lost
/// messages.
const PROMOTION_TIME: Duration = Duration::from_millis(1_800);

/// The age of the last check of a group from which its state isn't current any more, as after a time
/// in which the group wasn't used.
const CHECK_AGE_MAX: Duration = Duration::from_millis(400);

/// The age up to which new entries of a replica show that its primary is at work.
const RECEIVED_AGE_MAX: Duration = Duration::from_secs(1);

/// The bounds of the retry delay.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_500);

impl Engine {
    /// Records since when the primary of a group has been out of reach.
    pub(super) fn update_primary_reach(&mut self, now: Instant, name: &GroupName) {
        let lost_at = self.primary_lost_at(now, name);
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let failover = &mut group.failover;
        let Some(lost_at) = lost_at else {
            if failover.is_long_out_of_reach {
                log::info!(target: "belief", "event=primary-in-reach group={}", LogValue(name));
            }
            failover.out_of_reach_since = None;
            failover.is_long_out_of_reach = false;
            return;
        };
        let since = *failover.out_of_reach_since.get_or_insert(lost_at);
        if !failover.is_long_out_of_reach && now >= since + PROMOTION_TIME {
            failover.is_long_out_of_reach = true;
            log::warn!(
                target: "belief",
                "event=primary-out-of-reach group={} target={} for_ms={}",
                LogValue(name),
                LogValue(group.primary.as_ref().map_or("none", |primary| primary.member.as_str())),
                now.saturating_duration_since(since).as_millis()
            );
        }
    }

    /// Returns when a group's primary was lost to this process, at `now` if it isn't known, or `None`
    /// if it is in reach.
    fn primary_lost_at(&self, now: Instant, name: &GroupName) -> Option<Instant> {
        let primary = self.groups.get(name)?.primary_id();
        let Some(target) = primary.and_then(|primary| self.targets.get(primary)) else {
            return Some(now);
        };
        let silent_since = self
            .silent_since(target)
            .filter(|since| now >= *since + SILENCE_TIMEOUT_WHEN_UNREACHABLE);
        target.failing_since.or(silent_since)
    }

    /// Returns how long the primary of a group is expected to stay out of reach, or `None` if it is in
    /// reach or a promotion is expected to end the outage.
    fn expected_outage(&self, now: Instant, name: &GroupName) -> Option<Duration> {
        let failover = &self.groups.get(name)?.failover;
        let since = failover.out_of_reach_since?;
        let is_current = now < failover.last_check_at + CHECK_AGE_MAX;
        if !is_current || self.primary_lost_at(now, name).is_none() {
            return None;
        }
        // An attempt of this process that began late is given its time as well.
        let began_at = failover.attempt.as_ref().map(|attempt| attempt.started_at);
        let expected_until = since.max(began_at.unwrap_or(since)) + PROMOTION_TIME;
        (now >= expected_until).then(|| now.saturating_duration_since(since))
    }

    /// Returns whether a relayed session that starts now must be refused, so that the proxy that relays
    /// it tries another home.
    ///
    /// This is so in a long outage if a replica goes on receiving entries. Its primary then runs
    /// writes, which came through other proxies, so some of them reach it. Without this evidence no
    /// home may reach a primary, and if all homes refused, the relaying proxies would each open
    /// connections of their own. A tenant's sessions stay at its home, which holds its rate limit.
    pub fn passes_session(&self, now: Instant, id: CallerId) -> bool {
        let Some(caller) = self.callers.get(&id) else {
            return false;
        };
        let route = caller.database.as_ref().and_then(|name| self.route(name));
        let Some(name) = route.map(|route| &route.group) else {
            return false;
        };
        let receives = |member: &MemberId| {
            let at = self.targets.get(member).and_then(|t| t.received_more_at);
            at.is_some_and(|at| now < at + RECEIVED_AGE_MAX)
        };
        let has_receiver = || {
            let group = self.groups.get(name);
            group.is_some_and(|group| group.members.iter().any(receives))
        };
        caller.tenant.is_none() && self.expected_outage(now, name).is_some() && has_receiver()
    }

    /// Returns the answer that refuses a caller's waiting statement if it needs the primary and isn't
    /// expected to reach one before its deadline.
    pub(super) fn refusal_without_primary(&self, now: Instant, id: CallerId) -> Option<Answer> {
        let pending: &Pending = self.callers.get(&id)?.pending.as_ref()?;
        let needs_primary = pending.route.freshness == Freshness::Latest || self.may_write(id);
        if !needs_primary {
            return None;
        }
        let outage = self.expected_outage(now, &pending.route.group)?;
        if now + outage <= queue_deadline(pending) {
            return None;
        }
        let retry_after = (outage / 2).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let reason = format!(
            "this proxy has reached no primary for {} ms",
            outage.as_millis()
        );
        Some(busy_answer(retry_after, &reason, SessionState::Idle))
    }
}
