//! Rate limits of tenants: an operation takes a token before its first statement is queued. Load: one
//! tenant sends several times its usual rate, possibly over several proxies.
//!
//! The limits apply once the rankings of the proxies are known. The driver starts no session before.

use super::Effect;
use super::Engine;
use super::caller::Stage;
use super::sessions::busy_answer;
use super::statement::CallerId;
use super::statement::SessionState;
use crate::allowance::Admission;
use crate::allowance::Message;
use crate::allowance::RETRY_AFTER_UNREACHABLE;
use crate::allowance::RefusalCause;
use crate::ids::Incarnation;
use crate::ids::ProxyName;
use crate::rate_limit::Tolerance;
use crate::tenants::TenantName;
use crate::tenants::Tenants;
use std::time::Duration;
use std::time::Instant;

/// The longest wait for tokens from another proxy: two round trips to each holder within a region,
/// and the time after which the second is asked.
const ALLOWANCE_WAIT_MAX: Duration = Duration::from_millis(150);

impl Engine {
    /// Sets the random number that distinguishes this process from its predecessors of the same
    /// name.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.allowance.set_incarnation(incarnation);
    }

    /// Sets by how much tenants may exceed their limits, if the platform states it.
    pub fn set_limit_tolerance(&mut self, tolerance: Option<Tolerance>) {
        self.allowance.set_tolerance(tolerance);
    }

    /// Sets the ranking of the proxies for each tenant: its coordinator, the coordinator's standby,
    /// and a third. Must be called when the list of proxies or the routes have changed.
    pub fn set_tenant_rankings(
        &mut self,
        now: Instant,
        ranking: impl Fn(&TenantName) -> Vec<ProxyName>,
    ) {
        self.are_rankings_known = true;
        self.allowance.set_rankings(now, ranking);
        self.settle_allowances(now);
    }

    /// Records that the list of proxies was complete at `at`.
    pub fn record_proxy_list(&mut self, at: Instant) {
        self.allowance.record_list_evidence(at);
    }

    /// Processes a message of another proxy about the rate limits.
    pub fn peer_message(&mut self, now: Instant, from: &ProxyName, message: Message) {
        self.allowance.receive(now, from, message);
        self.settle_allowances(now);
    }

    /// Returns a coordinator whose registration this process should remove, because it has lost it
    /// as its standby.
    pub fn take_lost_coordinator(&mut self, now: Instant) -> Option<ProxyName> {
        self.allowance.take_lost_coordinator(now)
    }

    /// Returns up to `count` tenants with the most operations refused by their limits.
    pub fn most_limited_tenants(&self, count: usize) -> Vec<(&TenantName, u64)> {
        self.allowance.most_refused(count)
    }

    /// Passes the current tenants to the allowance.
    pub(super) fn update_limits(&mut self, now: Instant) {
        let tenants = self.routes.as_ref().and_then(|r| r.tenants.as_ref());
        match tenants {
            Some(tenants) => self.allowance.set_tenants(now, tenants),
            None => self.allowance.set_tenants(now, &Tenants::default()),
        }
    }

    /// Takes a token for the operation that a caller's pending statement starts, and queues the
    /// statement if there is one.
    pub(super) fn admit_operation(&mut self, now: Instant, id: CallerId) {
        let Some(tenant) = self.caller_tenant(id).cloned() else {
            self.enqueue(now, id);
            return;
        };
        if !self.are_rankings_known {
            self.enqueue(now, id);
            return;
        }
        let admission = self.allowance.admit(now, &tenant);
        if admission == Admission::Wait {
            self.counters.allowance_waits += 1;
            self.set_stage(id, Stage::AwaitingAllowance);
            self.awaiting_allowance.push_back(id);
            self.send_peer_messages(now);
        }
        self.apply_admission(now, id, admission);
    }

    /// Queues or refuses the operation of a caller, unless it has to wait.
    fn apply_admission(&mut self, now: Instant, id: CallerId, admission: Admission) {
        match admission {
            Admission::Wait => {}
            Admission::Admitted => {
                if let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) {
                    pending.holds_token = true;
                }
                self.enqueue(now, id);
            }
            Admission::Refused { cause, retry_after } => {
                self.refuse_limited(now, id, cause, retry_after);
            }
        }
    }

    fn refuse_limited(
        &mut self,
        now: Instant,
        id: CallerId,
        cause: RefusalCause,
        retry_after: Duration,
    ) {
        self.counters.rate_limited += 1;
        if cause != RefusalCause::OverLimit {
            self.counters.refused_without_holder += 1;
        }
        let answer = busy_answer(retry_after, cause.as_str(), SessionState::Idle);
        self.refuse(now, id, answer);
    }

    /// Returns the token of a caller's operation if nothing of the operation has been sent.
    pub(super) fn refund_operation(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let (Some(tenant), Some(pending)) = (&caller.tenant, &mut caller.pending) else {
            return;
        };
        if std::mem::take(&mut pending.holds_token) {
            self.allowance.refund(now, tenant);
        }
    }

    /// Sends the messages of the allowance that are due, and admits the operations that wait for
    /// tokens, in the order of their arrival.
    pub(super) fn settle_allowances(&mut self, now: Instant) {
        self.send_peer_messages(now);
        if self.awaiting_allowance.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.awaiting_allowance) {
            let Some(caller) = self.callers.get(&id) else {
                continue;
            };
            let (Some(tenant), Some(pending)) = (&caller.tenant, &caller.pending) else {
                continue;
            };
            if pending.stage != Stage::AwaitingAllowance {
                continue;
            }
            let is_timed_out = now >= pending.received_at + ALLOWANCE_WAIT_MAX;
            match self.allowance.admit_waiting(now, tenant) {
                Admission::Wait if is_timed_out => {
                    let cause = RefusalCause::HolderUnreachable;
                    self.refuse_limited(now, id, cause, RETRY_AFTER_UNREACHABLE);
                }
                Admission::Wait => self.awaiting_allowance.push_back(id),
                admission => self.apply_admission(now, id, admission),
            }
        }
        self.send_peer_messages(now);
    }

    /// Requests the sending of the allowance's messages.
    pub(super) fn send_peer_messages(&mut self, now: Instant) {
        for (peer, message) in self.allowance.poll(now) {
            self.effects.push(Effect::SendToPeer { peer, message });
        }
    }
}
