//! Who holds a tenant's bucket: the coordinator's lease and the standby's half.
//!
//! # Invariants
//!
//! The parts of all holders whose lists of proxies agree never exceed the whole, and a process that
//! becomes a holder starts with an empty bucket.

use super::purse::Purse;
use crate::ids::Incarnation;
use crate::ids::ProxyName;
use crate::rate_limit::Share;
use crate::rate_limit::TokenBucket;
use crate::rate_limit::Tolerance;
use crate::tenants::TenantLimits;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// How long a coordinator holds the whole after it *sent* a renewal that was acknowledged. It
/// bridges two lost datagrams.
pub(super) const LEASE_DURATION: Duration = Duration::from_millis(900);

/// How long a process holds nothing while it waits for another holder. It is longer than
/// [`LEASE_DURATION`], because the lease starts when the renewal is sent.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time without the other one of coordinator and standby, and without the list of proxies, after
/// which a process holds nothing. It is shorter than the time after which the standby removes its registration.
pub(super) const ISOLATION_TIMEOUT: Duration = Duration::from_secs(8);

/// The part of a process in the ranking of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Coordinator,
    Standby,
    Other,
}

/// The longest time since its start for which a process that holds a part for the first time is
/// credited with tokens. It lets the callers of a restarted fleet return at once.
const START_CREDIT_MAX: Duration = Duration::from_secs(1);

/// What a process knows of itself.
#[derive(Clone, Debug)]
pub(super) struct OwnState {
    pub(super) name: ProxyName,
    pub(super) is_stopping: bool,
    /// When this process started.
    pub(super) started_at: Option<Instant>,
    /// When the list of proxies was last known to be complete.
    pub(super) list_evidence_at: Option<Instant>,
    /// By how much a tenant may exceed its limit, if the platform states it.
    pub(super) tolerance: Option<Tolerance>,
}

impl OwnState {
    /// Returns whether the list of proxies may have changed without a chance to know it.
    pub(super) fn is_list_old(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now >= at + ISOLATION_TIMEOUT;
        self.list_evidence_at.is_none_or(is_old)
    }

    /// Returns whether this process started less than a window of the limits ago.
    pub(super) fn has_just_started(&self, now: Instant) -> bool {
        self.tolerance
            .zip(self.started_at)
            .is_some_and(|(tolerance, at)| now < at + tolerance.window)
    }
}

/// An objection to a coordinator's renewal.
#[derive(Clone, Debug)]
pub(super) struct Denial {
    pub(super) until: Instant,
    pub(super) coordinator: ProxyName,
}

/// A coordinator that announced that it is stopping.
#[derive(Clone, Debug)]
pub(super) struct Stopped {
    pub(super) name: ProxyName,
    pub(super) incarnation: Incarnation,
    pub(super) until: Instant,
}

/// What this process holds of one tenant's bucket.
#[derive(Debug)]
pub(super) struct Holding {
    pub(super) tenant: TenantName,
    pub(super) limits: TenantLimits,
    pub(super) ranking: Vec<ProxyName>,
    pub(super) role: Role,
    pub(super) role_since: Instant,
    pub(super) bucket: Option<TokenBucket>,
    /// The tokens of a part that this process no longer holds.
    pub(super) purse: Option<Purse>,
    /// Whether this process has held a part since its start.
    pub(super) has_held: bool,
    /// Whether this process has acknowledged a coordinator since its start.
    pub(super) has_acknowledged: bool,
    /// The end of the coordinator's lease, or of the standby's takeover.
    pub(super) whole_until: Option<Instant>,
    /// The last renewal that this process received as standby, or the start of that role.
    pub(super) renewed_at: Instant,
    /// The coordinator that this process acknowledged last.
    pub(super) renewed_by: Option<(ProxyName, Incarnation)>,
    /// The last acknowledgement of the standby, or the start of the role of coordinator.
    pub(super) standby_contact_at: Instant,
    /// An earlier coordinator that announced that it is stopping, with the time until which others may
    /// still name it.
    pub(super) stopped: Option<Stopped>,
    /// The processes whose tokens this one took over as they announced that they are stopping, with
    /// the time until which another announcement counts as a repetition.
    pub(super) taken_over: BTreeMap<(ProxyName, Incarnation), Instant>,
    /// The time until which another process may hold a part although this one's list says
    /// otherwise.
    pub(super) conflict_until: Option<Instant>,
    pub(super) denials: BTreeMap<ProxyName, Denial>,
    /// The coordinator before the last change of the ranking, with the time until which it may have
    /// tokens left.
    pub(super) former: Option<(ProxyName, Instant)>,
    /// Processes other than the standby that may believe to be a holder, with the time until which
    /// they are sent renewals.
    pub(super) witnesses: BTreeMap<ProxyName, Instant>,
    /// The share that this process holds, by its log, and since when.
    pub(super) logged_share: Option<Share>,
    pub(super) share_since: Instant,
}

impl Holding {
    pub(super) fn new(now: Instant, tenant: TenantName, limits: TenantLimits) -> Self {
        Self {
            tenant,
            limits,
            ranking: Vec::new(),
            role: Role::Other,
            role_since: now,
            bucket: None,
            purse: None,
            has_held: false,
            has_acknowledged: false,
            whole_until: None,
            renewed_at: now,
            renewed_by: None,
            standby_contact_at: now,
            stopped: None,
            taken_over: BTreeMap::new(),
            conflict_until: None,
            denials: BTreeMap::new(),
            former: None,
            witnesses: BTreeMap::new(),
            logged_share: None,
            share_since: now,
        }
    }

    pub(super) fn role(&self) -> Role {
        self.role
    }

    pub(super) fn coordinator(&self) -> Option<&ProxyName> {
        self.ranking.first()
    }

    pub(super) fn standby(&self) -> Option<&ProxyName> {
        self.ranking.get(1)
    }

    pub(super) fn limits(&self) -> TenantLimits {
        self.limits
    }

    pub(super) fn set_limits(&mut self, now: Instant, limits: TenantLimits) {
        self.limits = limits;
        if let Some(bucket) = &mut self.bucket {
            bucket.set_limits(now, limits, bucket.share());
        }
        if let Some(purse) = &mut self.purse {
            purse.set_limits(now, limits);
        }
    }

    /// Sets the ranking. Returns whether it changed.
    pub(super) fn set_ranking(
        &mut self,
        now: Instant,
        own: &OwnState,
        ranking: Vec<ProxyName>,
    ) -> bool {
        if ranking == self.ranking {
            return false;
        }
        self.settle(now, own);
        let is_own = |name: Option<&ProxyName>| name == Some(&own.name);
        let role = if is_own(ranking.first()) {
            Role::Coordinator
        } else if is_own(ranking.get(1)) {
            Role::Standby
        } else {
            Role::Other
        };
        let before = std::mem::replace(&mut self.ranking, ranking);
        let is_standby_changed = before.get(1) != self.ranking.get(1);
        let is_coordinator_changed = before.first() != self.ranking.first();
        if role != self.role {
            self.role_since = now;
        }
        if is_coordinator_changed && let Some(former) = before.first() {
            self.former = Some((former.clone(), now + SILENCE_TIMEOUT));
        }
        match role {
            Role::Coordinator => {
                // An earlier holder may not know the new list yet, and the third is the earlier
                // coordinator if two proxies joined.
                let third = self.ranking.get(2).cloned();
                for name in before.into_iter().chain(third) {
                    if name != own.name {
                        self.witnesses.insert(name, now + SILENCE_TIMEOUT);
                    }
                }
                if is_standby_changed {
                    self.standby_contact_at = now;
                    if self.role == Role::Coordinator {
                        // The lease was a promise of the earlier standby.
                        self.whole_until = None;
                    }
                }
            }
            Role::Standby if role != self.role || is_coordinator_changed => {
                self.renewed_at = now;
                self.release(now);
            }
            Role::Standby => {}
            Role::Other => self.release(now),
        }
        if role != Role::Coordinator {
            self.denials.clear();
            self.witnesses.clear();
        }
        self.role = role;
        self.settle(now, own);
        true
    }

    /// Ends this process's part, which must have been settled. Its tokens are kept for the next holder.
    pub(super) fn release(&mut self, now: Instant) {
        self.whole_until = None;
        if let Some(mut bucket) = self.bucket.take() {
            self.purse = Some(Purse::from_bucket(now, &mut bucket));
        }
    }

    /// Takes up to `wanted` of the tokens that remain of an earlier part, and returns how many it took.
    ///
    /// A process that is stopping has announced them to its standby.
    pub(super) fn take_remaining(&mut self, now: Instant, own: &OwnState, wanted: u32) -> u32 {
        match &mut self.purse {
            Some(purse) if !own.is_stopping => purse.take_up_to(now, wanted),
            _ => 0,
        }
    }

    /// Returns the tokens that remain of an earlier part.
    pub(super) fn remaining_tokens(&self, now: Instant) -> u32 {
        let purse = self.purse.as_ref();
        purse.map_or(0, |purse| purse.remaining(now))
    }

    /// Adds the tokens of the former holder to the part that this process holds or is about to hold.
    pub(super) fn take_over(&mut self, now: Instant, own: &OwnState, tokens: u32) {
        if tokens == 0 {
            return;
        }
        if let Some(bucket) = self.settle(now, own) {
            bucket.add(now, tokens);
            return;
        }
        let tokens = tokens.saturating_add(self.remaining_tokens(now));
        self.purse = Some(Purse::new(now, tokens, self.limits));
    }

    /// Updates the bucket to the share that this process holds at `now`, and returns it.
    pub(super) fn settle(&mut self, now: Instant, own: &OwnState) -> Option<&mut TokenBucket> {
        if let (Some(until), Some(bucket)) = (self.whole_until, &mut self.bucket)
            && until <= now
            && bucket.share() == Share::Whole
            && self.ranking.len() > 1
        {
            // The process may have been suspended since the end of the lease.
            bucket.set_limits(until, self.limits, Share::Half);
        }
        self.denials.retain(|_, denial| now < denial.until);
        self.witnesses.retain(|_, until| now < *until);
        let part = self.part(now, own);
        self.log_change(now, part);
        let remaining = self.remaining_tokens(now);
        match (part.share, &mut self.bucket) {
            (None, bucket) => *bucket = None,
            (Some(share), Some(bucket)) => {
                if bucket.share() != share {
                    bucket.set_limits(now, self.limits, share);
                }
            }
            (Some(share), bucket @ None) => {
                // No process of this name has used tokens since this one started, and a standby that
                // has taken over used half of the rate.
                let credit = match own.started_at {
                    Some(started_at) if !self.has_held => {
                        now.saturating_duration_since(started_at)
                            .min(START_CREDIT_MAX)
                            / 2
                    }
                    _ => Duration::ZERO,
                };
                self.has_held = true;
                let filled_from = now.checked_sub(credit).unwrap_or(now);
                let mut created = TokenBucket::empty(filled_from, self.limits, share);
                created.add(now, remaining);
                *bucket = Some(created);
                self.purse = None;
            }
        }
        self.bucket.as_mut()
    }

    /// Returns whether this process may have been removed from the list of proxies, or have another
    /// role by now, without a chance to know it.
    pub(super) fn is_isolated(&self, now: Instant, own: &OwnState) -> bool {
        let contact_at = match self.role {
            Role::Coordinator => self.standby_contact_at,
            Role::Standby | Role::Other => self.renewed_at,
        };
        let is_contact_old = now >= contact_at + ISOLATION_TIMEOUT;
        // A standby that has acknowledged another coordinator knows that its list is out of date.
        let renewed_by = self.renewed_by.as_ref().map(|(name, _)| name);
        let has_other_coordinator = self.role == Role::Standby
            && renewed_by.is_some_and(|name| Some(name) != self.coordinator());
        self.standby().is_some()
            && (is_contact_old || has_other_coordinator)
            && own.is_list_old(now)
    }
}
