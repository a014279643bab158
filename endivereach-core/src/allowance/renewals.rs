//! The datagrams by which coordinators renew their leases, one for each pair of proxies.

use crate::ids::ProxyName;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The interval between two renewals.
pub(super) const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// The most bytes of tenants' names in one datagram, so that it isn't fragmented.
const NAMES_MAX_BYTES: usize = 1_000;

/// The most tenants in one datagram, so that an answer with a long verdict on each fits one too.
const TENANTS_MAX: usize = 32;

/// The bytes that encode a name beside its text.
const NAME_OVERHEAD_BYTES: usize = 3;

/// A renewal without an answer.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) receiver: ProxyName,
    pub(super) sent_at: Instant,
    pub(super) tenants: Vec<TenantName>,
}

/// The renewals that were sent and may still be answered.
#[derive(Debug, Default)]
pub(super) struct SentRenewals {
    by_sequence: BTreeMap<u64, Sent>,
}

impl SentRenewals {
    /// Records a renewal, and removes those whose answer would come too late.
    pub(super) fn record(&mut self, now: Instant, sequence: u64, sent: Sent) {
        self.by_sequence
            .retain(|_, sent| now < sent.sent_at + super::holding::LEASE_DURATION);
        self.by_sequence.insert(sequence, sent);
    }

    /// Removes and returns the renewal that an answer belongs to.
    pub(super) fn answered(&mut self, from: &ProxyName, sequence: u64) -> Option<Sent> {
        let is_receiver = |sent: &Sent| &sent.receiver == from;
        if !self.by_sequence.get(&sequence).is_some_and(is_receiver) {
            return None;
        }
        self.by_sequence.remove(&sequence)
    }
}

/// Divides a list of tenants into parts that fit one datagram each.
pub(super) fn datagrams(tenants: Vec<TenantName>) -> Vec<Vec<TenantName>> {
    let mut parts: Vec<Vec<TenantName>> = Vec::new();
    let mut bytes = 0;
    for tenant in tenants {
        let tenant_bytes = tenant.as_str().len() + NAME_OVERHEAD_BYTES;
        match parts.last_mut() {
            Some(part) if part.len() < TENANTS_MAX && bytes + tenant_bytes <= NAMES_MAX_BYTES => {
                bytes += tenant_bytes;
                part.push(tenant);
            }
            _ => {
                bytes = tenant_bytes;
                parts.push(vec![tenant]);
            }
        }
    }
    parts
}
