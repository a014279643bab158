//! Failover: replaces a suspected primary by promoting a replica.
//!
//! A promotion fences so many members that the old primary can't get any more commits acknowledged,
//! and then orders the promotion of the member with the longest log. See [`crate::promotion`] for
//! the steps and [`crate::duty`] for the duty that a process must hold to run them.

use super::Effect;
use super::Engine;
use super::PromoteResult;
use super::group::ProbeScope;
use super::outstanding::CommandKind;
use super::statement::Command;
use super::statement::FencingToken;
use super::statement::TargetStatus;
use super::target::Target;
use crate::duty::DutyLease;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use crate::logfmt::LogValue;
use crate::promotion::Action;
use crate::promotion::Answer;
use crate::promotion::Call;
use crate::promotion::Outcome;
use crate::promotion::Promoter;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

/// The maximum delay, in milliseconds, before this process acts on a suspicion. The delay depends
/// on the process and the group, so that processes with the same suspicion don't act at the same
/// time.
const STAGGER_MAX_MS: u64 = 150;

/// The timeout of one attempt, from the first fence until the new primary reports that it leads.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// The timeout of fencing. It leaves time to send the promotion order, and to repeat a lost one,
/// while the same duty is held.
const FENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// The delay between a failed attempt and the next one.
const ATTEMPT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// An attempt to promote a new primary of a group.
#[derive(Debug)]
pub(super) struct Attempt {
    promoter: Promoter<usize>,
    members: Vec<MemberId>,
    term: Term,
    /// The token under which the members were fenced. Their answers aren't valid under another
    /// token, because another process may have removed the fences in the meantime.
    token: FencingToken,
    pub(super) started_at: Instant,
    candidate: Option<usize>,
    /// When the candidate was chosen, or when the order to promote it was lost. The list of targets must
    /// be read after it, before an order is sent.
    chosen_at: Instant,
    /// Members whose lost answer was logged. Each is logged only once, because an unreachable
    /// member is retried many times a second.
    lost_logged: BTreeSet<usize>,
    is_order_sent: bool,
    is_accepted: bool,
}

/// The failover state of a group: signs of a failed primary and the current attempt.
#[derive(Debug)]
pub(super) struct Failover {
    /// Since when the replicas have been behind the primary without receiving new entries.
    pub(super) stalled_since: Option<Instant>,
    /// The newest position that any replica has received.
    pub(super) replicated_position: Position,
    pub(super) no_primary_since: Option<Instant>,
    /// When another process last announced that it begins a promotion.
    pub(super) announced_at: Option<Instant>,
    /// Since when a member has been fenced without a promotion.
    pub(super) fenced_since: Option<Instant>,
    pub(super) suspected_since: Option<Instant>,
    /// Since when this process has reached no primary.
    pub(super) out_of_reach_since: Option<Instant>,
    /// Whether that has lasted longer than a promotion takes.
    pub(super) is_long_out_of_reach: bool,
    pub(super) attempt: Option<Attempt>,
    pub(super) next_attempt_at: Instant,
    /// Members whose promotion the platform refused.
    pub(super) refused_members: Vec<MemberId>,
    pub(super) last_check_at: Instant,
}

impl Failover {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            stalled_since: None,
            replicated_position: Position::default(),
            no_primary_since: None,
            announced_at: None,
            fenced_since: None,
            suspected_since: None,
            out_of_reach_since: None,
            is_long_out_of_reach: false,
            attempt: None,
            next_attempt_at: now,
            refused_members: Vec::new(),
            last_check_at: now,
        }
    }

    /// Returns whether the members must be probed even if no statement waits.
    pub(super) fn needs_probes(&self) -> bool {
        self.attempt.is_some()
            || self.suspected_since.is_some()
            || self.no_primary_since.is_some()
            || self.fenced_since.is_some()
            || self.stalled_since.is_some()
    }
}

impl Engine {
    /// Sets the duty to promote that this process holds, or `None`.
    pub fn set_duty(&mut self, now: Instant, held: Option<DutyLease>) {
        if self.duty.map(|duty| duty.token) != held.map(|held| held.token) {
            match held {
                Some(held) => log::info!(
                    target: "belief",
                    "event=duty-held token={} for_ms={}",
                    held.token,
                    held.expires_at.saturating_duration_since(now).as_millis()
                ),
                None => log::info!(target: "belief", "event=duty-ended"),
            }
        }
        self.duty = held;
    }

    /// Sets when a write for the duty to promote, by any process, was last observed. Its writer may be
    /// promoting a member of any group, also if the object has been lost since, so the newest time
    /// counts.
    pub fn set_duty_changed_at(&mut self, changed_at: Option<Instant>) {
        self.duty_changed_at = self.duty_changed_at.max(changed_at);
    }

    /// Records that another process begins to promote a server of a group. Its fences may not be visible
    /// to this process yet.
    pub fn promotion_announced(&mut self, now: Instant, name: &GroupName) {
        if let Some(group) = self.groups.get_mut(name) {
            group.failover.announced_at = Some(now);
        }
    }

    /// Processes the result of a promotion order.
    pub fn promotion_finished(&mut self, now: Instant, name: &GroupName, result: PromoteResult) {
        log::info!(target: "belief", "event=promote-answered group={} result={result:?}", LogValue(name));
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(attempt) = &mut group.failover.attempt else {
            return;
        };
        let Some(chosen) = attempt.candidate else {
            return;
        };
        let answer = match result {
            PromoteResult::Accepted => Answer::Done(Position::default()),
            PromoteResult::Lost => Answer::Lost,
            PromoteResult::Refused => {
                let member = attempt.members[chosen].clone();
                group.failover.refused_members.push(member);
                self.end_attempt(now, name, "the platform refused the chosen server");
                return;
            }
        };
        let actions = attempt.promoter.step(chosen, Call::Promote, answer);
        self.perform_actions(now, name, actions);
    }

    /// Checks a group's primary, and starts or advances its replacement.
    pub(super) fn advance_failover(&mut self, now: Instant, name: &GroupName) {
        self.reset_after_pause(now, name);
        self.update_fences(now, name);
        self.update_primary_reach(now, name);
        self.reconnect_to_primary(now, name);
        self.read_list_without_primary(now, name);
        if self.advance_attempt(now, name) {
            return;
        }
        let reason = self.suspicion_reason(now, name);
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let failover = &mut group.failover;
        let Some(reason) = reason else {
            failover.suspected_since = None;
            return;
        };
        if failover.suspected_since.is_none() {
            log::info!(
                target: "belief",
                "event=primary-suspected group={} target={} reason={reason:?}",
                LogValue(name),
                LogValue(group.primary.as_ref().map_or("none", |primary| primary.member.as_str()))
            );
        }
        let since = *failover.suspected_since.get_or_insert(now);
        if now < since + stagger_delay(self.location.proxy.as_str(), name) {
            return;
        }
        if now < failover.next_attempt_at || self.drain.is_some() {
            return;
        }
        match self.duty.filter(|held| now < held.expires_at) {
            None => self.effects.push(Effect::AcquireDuty),
            Some(_) if !self.target_list.is_recent(now) => self.effects.push(Effect::ReadTargets),
            Some(held) => self.start_attempt(now, name, held.token, reason),
        }
    }

    fn start_attempt(&mut self, now: Instant, name: &GroupName, token: FencingToken, reason: &str) {
        let list_age = self.list_age_text(now);
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let quorum = group.update_quorum(now);
        let members: Vec<MemberId> = group.members.iter().cloned().collect();
        let primary = group.primary_id().cloned();
        let known = members.iter().filter_map(|member| self.targets.get(member));
        let highest = known
            .filter_map(|target| target.probe.as_ref())
            .map(|probe| probe.status.term.max(probe.status.received.term))
            .max();
        let highest = highest.unwrap_or_default().max(group.highest_term);
        if highest == Term::default() {
            return;
        }
        let term = highest.next();
        let is_excluded = |member: &MemberId| {
            let is_leaving = |target: &Target| target.entry.leaving;
            primary.as_ref() == Some(member)
                || group.failover.refused_members.contains(member)
                || self.targets.get(member).is_some_and(is_leaving)
        };
        let avoid = (0..members.len())
            .filter(|index| is_excluded(&members[*index]))
            .collect();
        let indexes = (0..members.len()).collect();
        let (promoter, actions) = Promoter::start_with_quorum(term, indexes, quorum, avoid);
        log::info!(
            target: "belief",
            "event=promotion-started group={} term={term} quorum={quorum} members={} list_age_ms={list_age} reason={reason:?}",
            LogValue(name),
            members.len()
        );
        group.failover.attempt = Some(Attempt {
            promoter,
            members,
            term,
            token,
            started_at: now,
            candidate: None,
            chosen_at: now,
            lost_logged: BTreeSet::new(),
            is_order_sent: false,
            is_accepted: false,
        });
        self.effects.push(Effect::AnnouncePromotion {
            group: name.clone(),
        });
        self.perform_actions(now, name, actions);
    }

    /// Advances the current attempt, or ends it. Returns whether an attempt is still running.
    fn advance_attempt(&mut self, now: Instant, name: &GroupName) -> bool {
        let Some(group) = self.groups.get_mut(name) else {
            return false;
        };
        let Some(attempt) = &group.failover.attempt else {
            return false;
        };
        let is_primary = group
            .primary
            .as_ref()
            .is_some_and(|primary| primary.term >= attempt.term);
        if is_primary {
            log::info!(
                target: "belief",
                "event=promotion-done group={} term={} took_ms={}",
                LogValue(name),
                attempt.term,
                now.saturating_duration_since(attempt.started_at).as_millis()
            );
            group.failover.attempt = None;
            group.failover.refused_members.clear();
            group.failover.stalled_since = None;
            return false;
        }
        let has_duty = self
            .duty
            .is_some_and(|held| now < held.expires_at && held.token == attempt.token);
        if !has_duty && !attempt.is_accepted {
            self.end_attempt(now, name, "the duty ended before the promotion");
            return false;
        }
        if attempt.candidate.is_none() && now >= attempt.started_at + FENCE_TIMEOUT {
            self.end_attempt(now, name, "too few servers answered in time");
            return false;
        }
        if now >= attempt.started_at + ATTEMPT_TIMEOUT {
            self.end_attempt(now, name, "the attempt took too long");
            return false;
        }
        self.order_due_promotion(now, name);
        self.fail_unreachable_calls(now, name);
        self.attempt_mut(name).is_some()
    }

    /// Fails the queued control calls to members that can't be connected to.
    fn fail_unreachable_calls(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        for member in group.members.clone() {
            let Some(target) = self.targets.get_mut(&member) else {
                continue;
            };
            if target.failing_since.is_none() {
                continue;
            }
            for (_, kind) in std::mem::take(&mut target.control_queue) {
                if let CommandKind::Control(call) = kind {
                    self.control_answered(now, &member, call, None);
                }
            }
        }
    }

    /// Sends the order to promote the chosen member, if it hasn't been sent, the duty is still held, and
    /// the attempt has fenced a quorum of all servers that are listed now. See [`crate::target_list`].
    pub(super) fn order_due_promotion(&mut self, now: Instant, name: &GroupName) {
        let held = self.duty.filter(|held| now < held.expires_at);
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(attempt) = &mut group.failover.attempt else {
            return;
        };
        let (Some(chosen), Some(held)) = (attempt.candidate, held) else {
            return;
        };
        if attempt.is_order_sent || held.token != attempt.token {
            return;
        }
        if !self.target_list.was_read_since(attempt.chosen_at) {
            self.effects.push(Effect::ReadTargets);
            return;
        }
        if !group.members.iter().eq(&attempt.members) {
            self.end_attempt(
                now,
                name,
                "a server was listed that the attempt doesn't count",
            );
            if let Some(group) = self.groups.get_mut(name) {
                group.failover.next_attempt_at = now;
            }
            return;
        }
        attempt.is_order_sent = true;
        self.counters.promotions += 1;
        let list_age = self.target_list.age(now).unwrap_or_default().as_millis();
        log::info!(
            target: "belief",
            "event=promote-ordered group={} target={} term={} token={} list_age_ms={list_age}",
            LogValue(name),
            LogValue(&attempt.members[chosen]),
            attempt.term,
            held.token
        );
        self.effects.push(Effect::Promote {
            group: name.clone(),
            member: attempt.members[chosen].clone(),
            token: held.token,
        });
    }

    fn perform_actions(&mut self, now: Instant, name: &GroupName, actions: Vec<Action<usize>>) {
        for action in actions {
            match action {
                Action::Call {
                    call: Call::Fence,
                    member,
                } => self.fence(name, member),
                Action::Call {
                    call: Call::Promote,
                    member,
                } => {
                    if let Some(attempt) = self.attempt_mut(name) {
                        attempt.candidate = Some(member);
                        attempt.chosen_at = now;
                        attempt.is_order_sent = false;
                    }
                    self.order_due_promotion(now, name);
                }
                Action::Finish(Outcome::Promoted(_)) => {
                    if let Some(attempt) = self.attempt_mut(name) {
                        attempt.is_accepted = true;
                    }
                    self.request_probes(now, name, ProbeScope::All);
                }
                Action::Finish(Outcome::Superseded) => {
                    self.end_attempt(now, name, "a higher term is in use");
                }
                Action::Finish(Outcome::Failed) => {
                    self.end_attempt(now, name, "too few servers answered");
                }
                // No order is needed: a former primary follows the new primary as soon as they are
                // connected.
                Action::Follow { .. } => {}
            }
        }
    }

    fn attempt_mut(&mut self, name: &GroupName) -> Option<&mut Attempt> {
        self.groups.get_mut(name)?.failover.attempt.as_mut()
    }

    /// Queues the control calls that fence one member.
    fn fence(&mut self, name: &GroupName, index: usize) {
        let Some(attempt) = self.attempt_mut(name) else {
            return;
        };
        let term = attempt.term;
        let member = attempt.members[index].clone();
        let Some(target) = self.targets.get_mut(&member) else {
            return;
        };
        let is_primary = target
            .probe
            .as_ref()
            .is_some_and(|probe| probe.status.is_primary);
        if is_primary {
            // A former primary that only steps down would receive entries from the primary that is
            // being replaced, so the former primary is fenced as well.
            let step_down = Command::StepDown { term };
            target
                .control_queue
                .push_back((step_down, CommandKind::Status));
        }
        let pause = Command::Pause { term };
        target
            .control_queue
            .push_back((pause, CommandKind::Control(Call::Fence)));
        self.changed_groups.insert(name.clone());
    }

    /// Sends the queued control calls on any connection that accepts them.
    pub(super) fn send_control(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        for member in group.members.clone() {
            while let Some(target) = self.targets.get(&member) {
                if target.control_queue.is_empty() {
                    break;
                }
                let Some(connection) = self.control_connection(target) else {
                    // A fence may open a connection beyond this process's share.
                    let is_opening = target
                        .connections
                        .iter()
                        .any(|id| self.connections.get(id).is_some_and(|c| !c.is_open));
                    if !is_opening {
                        self.open(now, &member, None);
                    }
                    break;
                };
                let Some(target) = self.targets.get_mut(&member) else {
                    break;
                };
                if let Some((command, kind)) = target.control_queue.pop_front() {
                    self.send(now, connection, command, kind);
                }
            }
        }
    }

    /// Processes a member's answer to a control call. `status` is `None` if the answer was lost.
    pub(super) fn control_answered(
        &mut self,
        now: Instant,
        member: &MemberId,
        call: Call,
        status: Option<TargetStatus>,
    ) {
        let Some(target) = self.targets.get(member) else {
            return;
        };
        let name = target.entry.group.clone();
        let Some(attempt) = self.attempt_mut(&name) else {
            return;
        };
        let Some(index) = attempt.members.iter().position(|known| known == member) else {
            return;
        };
        let term = attempt.term;
        let answer = match status {
            Some(status) if status.term >= term || status.fenced_term > term => Answer::Stale,
            Some(status) if status.fenced_term == term && !status.is_primary => {
                Answer::Done(status.received)
            }
            _ => Answer::Lost,
        };
        let should_log = answer != Answer::Lost || attempt.lost_logged.insert(index);
        if should_log {
            log::info!(
                target: "belief",
                "event=fence-answered group={} target={} term={term} answer={answer:?}",
                LogValue(&name),
                LogValue(&member)
            );
        }
        let actions = attempt.promoter.step(index, call, answer);
        self.perform_actions(now, &name, actions);
    }

    /// Ends an attempt that hasn't ordered a promotion when one of its members leaves or restarts. The
    /// position that the member reported may be that of a log that is gone.
    pub(super) fn end_attempt_of(&mut self, now: Instant, name: &GroupName, member: &MemberId) {
        let is_affected = self
            .attempt_mut(name)
            .is_some_and(|attempt| !attempt.is_order_sent && attempt.members.contains(member));
        if is_affected {
            self.end_attempt(now, name, "a server left or restarted under its name");
        }
    }

    /// Ends a failed attempt and drops its queued control calls.
    fn end_attempt(&mut self, now: Instant, name: &GroupName, reason: &str) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(attempt) = group.failover.attempt.take() else {
            return;
        };
        log::warn!(
            target: "belief",
            "event=promotion-failed group={} term={} reason={reason:?}",
            LogValue(name),
            attempt.term
        );
        group.failover.next_attempt_at = now + ATTEMPT_RETRY_DELAY;
        for member in &attempt.members {
            if let Some(target) = self.targets.get_mut(member) {
                target.control_queue.clear();
            }
        }
        // The fences stay in place, and the next attempt fences the members again. A command that
        // removed them could arrive when another process already relies on them.
    }
}

/// Returns the delay before this process acts on a suspicion about a group.
fn stagger_delay(proxy: &str, group: &GroupName) -> Duration {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    proxy.hash(&mut hasher);
    group.hash(&mut hasher);
    Duration::from_millis(hasher.finish() % STAGGER_MAX_MS)
}
