//! The messages that a process receives and sends.

use super::Allowance;
use super::RETRY_AFTER_MAX;
use super::SUSPENSION_MIN;
use super::Tenant;
use super::holding::Role;
use super::message::Message;
use super::message::MessageId;
use super::message::Verdict;
use super::renewals;
use super::renewals::RENEWAL_INTERVAL;
use super::renewals::Sent;
use crate::ids::ProxyName;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

impl Allowance {
    /// Processes a message of another proxy.
    pub fn receive(&mut self, now: Instant, from: &ProxyName, message: Message) {
        if from == &self.own.name {
            return;
        }
        match message {
            Message::Renew { id, tenants } => self.renewal_received(now, from, id, tenants),
            Message::Renewed {
                id,
                verdicts,
                tokens,
            } => self.verdicts_received(now, from, &id, verdicts, &tokens),
            Message::Claim { tenants } => {
                for name in &tenants {
                    if let Some(tenant) = self.tenants.get_mut(name) {
                        let holding = &mut tenant.holding;
                        if holding.claim_received(now, &self.own, from) {
                            self.next_renewal_at = Some(now);
                        }
                    }
                }
            }
            Message::Stop {
                incarnation,
                tenants,
                tokens,
            } => {
                let tokens = tokens.into_iter().chain(std::iter::repeat(0));
                for (name, tokens) in tenants.iter().zip(tokens) {
                    if let Some(tenant) = self.tenants.get_mut(name) {
                        let holding = &mut tenant.holding;
                        holding.stop_received(now, &self.own, from, incarnation, tokens);
                    }
                }
            }
            Message::Request { id, tenant, wanted } => {
                self.request_received(now, from, id, tenant, wanted);
            }
            Message::Grant {
                id,
                tenant,
                tokens,
                held,
                retry_after_ms,
            } => {
                if id.incarnation == self.incarnation
                    && let Some(tenant) = self.tenants.get_mut(&tenant)
                {
                    let requests = &mut tenant.requests;
                    let retry_after = Duration::from_millis(retry_after_ms.into());
                    requests.grant_received(now, id.sequence, tokens, held, retry_after);
                    self.poll_requests(now);
                }
            }
        }
    }

    fn renewal_received(
        &mut self,
        now: Instant,
        from: &ProxyName,
        id: MessageId,
        tenants: Vec<TenantName>,
    ) {
        let mut verdicts = Vec::new();
        let mut tokens = Vec::new();
        for name in &tenants {
            let Some(tenant) = self.tenants.get_mut(name) else {
                verdicts.push(Verdict::Unknown);
                tokens.push(0);
                continue;
            };
            let holding = &mut tenant.holding;
            let verdict = holding.renewal_received(now, &self.own, from, id.incarnation);
            tokens.push(holding.give_up_tokens(now, &self.own, from, &verdict));
            verdicts.push(verdict);
        }
        let answer = Message::Renewed {
            id,
            verdicts,
            tokens,
        };
        self.outbox.push((from.clone(), answer));
    }

    fn verdicts_received(
        &mut self,
        now: Instant,
        from: &ProxyName,
        id: &MessageId,
        verdicts: Vec<Verdict>,
        tokens: &[u32],
    ) {
        if id.incarnation != self.incarnation {
            return;
        }
        let Some(sent) = self.sent_renewals.answered(from, id.sequence) else {
            return;
        };
        // A process of an earlier version gives up none.
        let tokens = tokens.iter().copied().chain(std::iter::repeat(0));
        for ((name, verdict), tokens) in sent.tenants.iter().zip(verdicts).zip(tokens) {
            if let Some(tenant) = self.tenants.get_mut(name) {
                let holding = &mut tenant.holding;
                holding.verdict_received(now, &self.own, from, sent.sent_at, verdict);
                holding.take_over(now, &self.own, tokens);
            }
        }
    }

    fn request_received(
        &mut self,
        now: Instant,
        from: &ProxyName,
        id: MessageId,
        name: TenantName,
        wanted: u32,
    ) {
        let Some(tenant) = self.tenants.get_mut(&name) else {
            return;
        };
        let held = tenant.held(now, &self.own);
        let mut retry_after = Duration::ZERO;
        let tokens = match tenant.holding.settle(now, &self.own) {
            Some(bucket) => {
                let tokens = bucket.take_up_to(now, wanted);
                if tokens == 0 {
                    let until_token = bucket.time_until_token(now).unwrap_or(RETRY_AFTER_MAX);
                    retry_after = tenant.refuse(now, until_token);
                }
                tokens
            }
            None => tenant.holding.take_remaining(now, &self.own, wanted),
        };
        let grant = Message::Grant {
            id,
            tenant: name,
            tokens,
            held,
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
        };
        self.outbox.push((from.clone(), grant));
    }

    /// Returns the messages to send. Must be called after each event and at
    /// [`Allowance::next_deadline`].
    pub fn poll(&mut self, now: Instant) -> Vec<(ProxyName, Message)> {
        let last_poll_at = self.last_poll_at.replace(now);
        if last_poll_at.is_some_and(|at| now >= at + SUSPENSION_MIN) {
            self.resumed_at = Some(now);
        }
        for tenant in self.tenants.values_mut() {
            tenant.apply_due_limits(now, &self.own);
        }
        if self.next_renewal_at.is_some_and(|at| now >= at) {
            self.next_renewal_at = None;
            self.send_renewals(now);
        }
        self.poll_requests(now);
        std::mem::take(&mut self.outbox)
    }

    /// Returns when [`Allowance::poll`] must be called next, or `None` while there is nothing to do.
    pub fn next_deadline(&self) -> Option<Instant> {
        let requests = self.tenants.values();
        let requests = requests.filter_map(|tenant| tenant.requests.next_deadline());
        requests.chain(self.next_renewal_at).min()
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    pub(super) fn poll_requests(&mut self, now: Instant) {
        for (name, tenant) in &mut self.tenants {
            let Tenant {
                holding, requests, ..
            } = tenant;
            let due = requests.next_deadline();
            if due.is_none_or(|due| now < due) {
                continue;
            }
            let sequence = self.last_sequence + 1;
            let sources = || holding.token_sources(now, &self.own);
            if let Some(request) = requests.poll(now, sequence, sources) {
                self.last_sequence = sequence;
                let id = MessageId {
                    incarnation: self.incarnation,
                    sequence,
                };
                let message = Message::Request {
                    id,
                    tenant: name.clone(),
                    wanted: request.wanted,
                };
                self.outbox.push((request.holder, message));
            }
        }
    }

    /// Sends the renewals, claims and announcements that are due, and schedules the next ones.
    fn send_renewals(&mut self, now: Instant) {
        let mut renewals: BTreeMap<ProxyName, Vec<TenantName>> = BTreeMap::new();
        let mut claims: BTreeMap<ProxyName, Vec<TenantName>> = BTreeMap::new();
        let mut has_role = false;
        for (name, tenant) in &mut self.tenants {
            let holding = &mut tenant.holding;
            holding.settle(now, &self.own);
            has_role |= holding.role() != Role::Other;
            for receiver in holding.renewal_receivers() {
                renewals.entry(receiver).or_default().push(name.clone());
            }
            if let Some(receiver) = holding.claim_receiver(now) {
                let claimed = claims.entry(receiver.clone()).or_default();
                claimed.push(name.clone());
            }
        }
        for (receiver, tenants) in renewals {
            for tenants in renewals::datagrams(tenants) {
                self.send_renewal(now, receiver.clone(), tenants);
            }
        }
        for (receiver, tenants) in claims {
            for tenants in renewals::datagrams(tenants) {
                let claim = Message::Claim { tenants };
                self.outbox.push((receiver.clone(), claim));
            }
        }
        if has_role {
            self.next_renewal_at = Some(now + RENEWAL_INTERVAL);
        }
    }

    fn send_renewal(&mut self, now: Instant, receiver: ProxyName, tenants: Vec<TenantName>) {
        let incarnation = self.incarnation;
        if self.own.is_stopping {
            let given = |name: &TenantName| {
                let holding = &self.tenants.get(name)?.holding;
                let is_standby = holding.standby() == Some(&receiver);
                is_standby.then(|| holding.remaining_tokens(now))
            };
            let tokens = tenants
                .iter()
                .map(|name| given(name).unwrap_or_default())
                .collect();
            let stop = Message::Stop {
                incarnation,
                tenants,
                tokens,
            };
            self.outbox.push((receiver, stop));
            return;
        }
        let sequence = self.next_sequence();
        let id = MessageId {
            incarnation,
            sequence,
        };
        let sent = Sent {
            receiver: receiver.clone(),
            sent_at: now,
            tenants: tenants.clone(),
        };
        self.sent_renewals.record(now, sequence, sent);
        self.outbox.push((receiver, Message::Renew { id, tenants }));
    }
}
