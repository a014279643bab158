//! When a primary is replaced, and by which steps.
//!
//! A promotion fences so many members that no commit can be acknowledged under the old primary any
//! more, and orders the one with the longest log to lead. See [`crate::promotion`] for the steps and
//! [`crate::duty`] for who may take them.

use super::Effect;
use super::Engine;
use super::PromoteResult;
use super::group::ProbeScope;
use super::statement::Command;
use super::statement::FencingToken;
use super::statement::TargetStatus;
use super::target::Expected;
use super::target::Target;
use crate::duty::Held;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
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

/// The longest delay by which processes with the same suspicion are set apart.
const STAGGER_MAX_MS: u64 = 150;

/// How long one attempt may take, from the first fence to the new primary's own word.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// How long fencing may take. It leaves time to order and to repeat a lost order under the same duty.
const FENCE_TIME: Duration = Duration::from_millis(800);

/// How long the next attempt waits after one that failed.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(300);

/// An attempt to give a group a primary.
#[derive(Debug)]
pub(super) struct Attempt {
    promoter: Promoter<usize>,
    members: Vec<MemberId>,
    term: Term,
    /// The token under which the members were fenced. What they answered is worth nothing under
    /// another one: another process may have ended the fences meanwhile.
    token: FencingToken,
    started_at: Instant,
    order: Option<usize>,
    /// Members whose loss was logged: one that can't be reached is tried again many times a second.
    lost: BTreeSet<usize>,
    is_ordered: bool,
    is_accepted: bool,
}

/// What a group's failover has seen and is doing.
#[derive(Debug)]
pub(super) struct Failover {
    pub(super) stalled_since: Option<Instant>,
    pub(super) replicated: Position,
    pub(super) no_primary_since: Option<Instant>,
    pub(super) fenced_since: Option<Instant>,
    pub(super) suspected_since: Option<Instant>,
    pub(super) attempt: Option<Attempt>,
    pub(super) attempt_again_at: Instant,
    pub(super) refused: Vec<MemberId>,
    pub(super) last_sweep_at: Instant,
}

impl Failover {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            stalled_since: None,
            replicated: Position::default(),
            no_primary_since: None,
            fenced_since: None,
            suspected_since: None,
            attempt: None,
            attempt_again_at: now,
            refused: Vec::new(),
            last_sweep_at: now,
        }
    }

    /// Returns whether the members should be probed without any caller's need.
    pub(super) fn needs_probes(&self) -> bool {
        self.attempt.is_some()
            || self.suspected_since.is_some()
            || self.no_primary_since.is_some()
            || self.fenced_since.is_some()
            || self.stalled_since.is_some()
    }
}

impl Engine {
    /// Takes in whether this process holds the duty to promote.
    pub fn set_duty(&mut self, now: Instant, held: Option<Held>) {
        if self.duty.map(|duty| duty.token) != held.map(|held| held.token) {
            match held {
                Some(held) => log::info!(
                    target: "belief",
                    "event=duty-held token={} for_ms={}",
                    held.token,
                    held.until.saturating_duration_since(now).as_millis()
                ),
                None => log::info!(target: "belief", "event=duty-ended"),
            }
        }
        self.duty = held;
    }

    /// An order to promote ended.
    pub fn promote_ended(&mut self, now: Instant, name: &GroupName, result: PromoteResult) {
        log::info!(target: "belief", "event=promote-answered group={name} result={result:?}");
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(attempt) = &mut group.failover.attempt else {
            return;
        };
        let Some(chosen) = attempt.order else {
            return;
        };
        let answer = match result {
            PromoteResult::Accepted => Answer::Done(Position::default()),
            PromoteResult::Lost => Answer::Lost,
            PromoteResult::Refused => {
                let member = attempt.members[chosen].clone();
                group.failover.refused.push(member);
                self.end_attempt(now, name, "the platform refused the chosen server");
                return;
            }
        };
        let actions = attempt.promoter.step(chosen, Call::Promote, answer);
        self.perform(now, name, actions);
    }

    /// Looks over a group's primary, and starts or drives its replacement.
    pub(super) fn sweep_failover(&mut self, now: Instant, name: &GroupName) {
        self.forgive_own_freeze(now, name);
        self.note_fences(now, name);
        self.reconnect_to_primary(now, name);
        if self.drive_attempt(now, name) {
            return;
        }
        let reason = self.suspicion(now, name);
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
                "event=primary-suspected group={name} target={} reason={reason:?}",
                group.primary.as_ref().map_or("none", |primary| primary.member.as_str())
            );
        }
        let since = *failover.suspected_since.get_or_insert(now);
        if now < since + stagger(self.location.node.as_str(), name) {
            return;
        }
        if now < failover.attempt_again_at || self.draining_since.is_some() {
            return;
        }
        match self.duty {
            Some(held) if now < held.until => self.start_attempt(now, name, held.token, reason),
            _ => self.effects.push(Effect::AcquireDuty),
        }
    }

    fn start_attempt(&mut self, now: Instant, name: &GroupName, token: FencingToken, reason: &str) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let quorum = group.quorum(now);
        let members: Vec<MemberId> = group.members.iter().cloned().collect();
        let primary = group.primary_id().cloned();
        let known = members.iter().filter_map(|member| self.targets.get(member));
        let highest = known
            .filter_map(|target| target.probe.as_ref())
            .map(|probe| probe.status.term.max(probe.status.received.term))
            .max();
        let highest = highest.unwrap_or_default().max(group.term_seen);
        if highest == Term::default() {
            return;
        }
        let term = highest.next();
        let is_avoided = |member: &MemberId| {
            let is_leaving = |target: &Target| target.entry.leaving;
            primary.as_ref() == Some(member)
                || group.failover.refused.contains(member)
                || self.targets.get(member).is_some_and(is_leaving)
        };
        let avoid = (0..members.len())
            .filter(|index| is_avoided(&members[*index]))
            .collect();
        let indexes = (0..members.len()).collect();
        let (promoter, actions) = Promoter::start_with_quorum(term, indexes, quorum, avoid);
        log::info!(
            target: "belief",
            "event=promotion-started group={name} term={term} quorum={quorum} members={} reason={reason:?}",
            members.len()
        );
        group.failover.attempt = Some(Attempt {
            promoter,
            members,
            term,
            token,
            started_at: now,
            order: None,
            lost: BTreeSet::new(),
            is_ordered: false,
            is_accepted: false,
        });
        self.perform(now, name, actions);
    }

    /// Drives the attempt under way. Returns whether there is one.
    fn drive_attempt(&mut self, now: Instant, name: &GroupName) -> bool {
        let Some(group) = self.groups.get_mut(name) else {
            return false;
        };
        let Some(attempt) = &group.failover.attempt else {
            return false;
        };
        let leads = group
            .primary
            .as_ref()
            .is_some_and(|primary| primary.term >= attempt.term);
        if leads {
            log::info!(
                target: "belief",
                "event=promotion-done group={name} term={} took_ms={}",
                attempt.term,
                now.saturating_duration_since(attempt.started_at).as_millis()
            );
            group.failover.attempt = None;
            group.failover.refused.clear();
            group.failover.stalled_since = None;
            return false;
        }
        let has_duty = self
            .duty
            .is_some_and(|held| now < held.until && held.token == attempt.token);
        if !has_duty && !attempt.is_accepted {
            self.end_attempt(now, name, "the duty ended before the promotion");
            return false;
        }
        if attempt.order.is_none() && now >= attempt.started_at + FENCE_TIME {
            self.end_attempt(now, name, "too few servers answered in time");
            return false;
        }
        if now >= attempt.started_at + ATTEMPT_TIMEOUT {
            self.end_attempt(now, name, "the attempt took too long");
            return false;
        }
        if attempt.order.is_some() && !attempt.is_ordered {
            self.order(now, name);
        }
        self.lose_unreachable(now, name);
        true
    }

    /// Takes control calls to members that can't be connected to as lost.
    fn lose_unreachable(&mut self, now: Instant, name: &GroupName) {
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
            for (_, expected) in std::mem::take(&mut target.control) {
                if let Expected::Control(call) = expected {
                    self.control_answered(now, &member, call, None);
                }
            }
        }
    }

    /// Orders the chosen member to lead, while the duty is held.
    fn order(&mut self, now: Instant, name: &GroupName) {
        let held = self.duty.filter(|held| now < held.until);
        let Some(attempt) = self
            .groups
            .get_mut(name)
            .and_then(|group| group.failover.attempt.as_mut())
        else {
            return;
        };
        let (Some(chosen), Some(held)) = (attempt.order, held) else {
            return;
        };
        if held.token != attempt.token {
            return;
        }
        attempt.is_ordered = true;
        self.counters.promotions += 1;
        log::info!(
            target: "belief",
            "event=promote-ordered group={name} target={} term={} token={}",
            attempt.members[chosen],
            attempt.term,
            held.token
        );
        self.effects.push(Effect::Promote {
            group: name.clone(),
            member: attempt.members[chosen].clone(),
            token: held.token,
        });
    }

    fn perform(&mut self, now: Instant, name: &GroupName, actions: Vec<Action<usize>>) {
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
                        attempt.order = Some(member);
                        attempt.is_ordered = false;
                    }
                    self.order(now, name);
                }
                Action::Finish(Outcome::Promoted(_)) => {
                    if let Some(attempt) = self.attempt_mut(name) {
                        attempt.is_accepted = true;
                    }
                    self.want_probes(now, name, ProbeScope::All);
                }
                Action::Finish(Outcome::Superseded) => {
                    self.end_attempt(now, name, "a higher term is in use");
                }
                Action::Finish(Outcome::Failed) => {
                    self.end_attempt(now, name, "too few servers answered");
                }
                // A former primary follows by itself once it reaches the new one.
                Action::Follow { .. } => {}
            }
        }
    }

    fn attempt_mut(&mut self, name: &GroupName) -> Option<&mut Attempt> {
        self.groups.get_mut(name)?.failover.attempt.as_mut()
    }

    /// Queues the fence of one member.
    fn fence(&mut self, name: &GroupName, index: usize) {
        let Some(attempt) = self.attempt_mut(name) else {
            return;
        };
        let term = attempt.term;
        let member = attempt.members[index].clone();
        let Some(target) = self.targets.get_mut(&member) else {
            return;
        };
        let leads = target
            .probe
            .as_ref()
            .is_some_and(|probe| probe.status.leads);
        if leads {
            // A former primary that only steps down would receive from the one to be replaced.
            let step_down = Command::StepDown { term };
            target.control.push_back((step_down, Expected::Status));
        }
        let pause = Command::Pause { term };
        target
            .control
            .push_back((pause, Expected::Control(Call::Fence)));
        self.dirty.insert(name.clone());
    }

    /// Sends the control calls that wait, on any connection that takes them.
    pub(super) fn send_control(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        for member in group.members.clone() {
            while let Some(target) = self.targets.get(&member) {
                if target.control.is_empty() {
                    break;
                }
                let Some(connection) = self.control_connection(target) else {
                    // A fence is worth a connection beyond the share.
                    let is_opening = target
                        .connections
                        .iter()
                        .any(|id| self.connections.get(id).is_some_and(|c| !c.is_open));
                    if !is_opening {
                        self.open(now, &member);
                    }
                    break;
                };
                let Some(target) = self.targets.get_mut(&member) else {
                    break;
                };
                if let Some((command, expected)) = target.control.pop_front() {
                    self.send(now, connection, command, expected);
                }
            }
        }
    }

    /// A member answered a control call, or its connection ended before.
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
            Some(status) if status.fenced_term == term && !status.leads => {
                Answer::Done(status.received)
            }
            _ => Answer::Lost,
        };
        let is_news = answer != Answer::Lost || attempt.lost.insert(index);
        if is_news {
            log::info!(
                target: "belief",
                "event=fence-answered group={name} target={member} term={term} answer={answer:?}"
            );
        }
        let actions = attempt.promoter.step(index, call, answer);
        self.perform(now, &name, actions);
    }

    /// Ends an attempt that came to nothing, and its fences unless an order may still take effect.
    fn end_attempt(&mut self, now: Instant, name: &GroupName, reason: &str) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(attempt) = group.failover.attempt.take() else {
            return;
        };
        log::warn!(
            target: "belief",
            "event=promotion-failed group={name} term={} reason={reason:?}",
            attempt.term
        );
        group.failover.attempt_again_at = now + ATTEMPT_PAUSE;
        for member in &attempt.members {
            if let Some(target) = self.targets.get_mut(member) {
                target.control.clear();
            }
        }
        // The fences stay. A command that ended them could arrive when another process relies on them:
        // the next attempt takes them over.
    }
}

/// Returns by how much this process waits longer than the first to act.
fn stagger(node: &str, group: &GroupName) -> Duration {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    node.hash(&mut hasher);
    group.hash(&mut hasher);
    Duration::from_millis(hasher.finish() % STAGGER_MAX_MS)
}
