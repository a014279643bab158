//! What a lease's messages change: renewals, verdicts, claims and announcements.

use super::holding::Denial;
use super::holding::Holding;
use super::holding::LEASE_DURATION;
use super::holding::OwnState;
use super::holding::Role;
use super::holding::SILENCE_TIMEOUT;
use super::holding::Stopped;
use super::message::Verdict;
use crate::ids::Incarnation;
use crate::ids::ProxyName;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// How long a standby holds the whole after the coordinator stopped, unless the list of proxies
/// changes. It is shorter than [`SILENCE_TIMEOUT`], after which a restarted coordinator that can't
/// reach the standby takes half.
const TAKEOVER_DURATION: Duration = Duration::from_millis(1_400);

/// The longest time after which an announcement comes again. A stopping process ends sooner.
const REPETITION_MAX: Duration = Duration::from_secs(60);

/// The most processes that are asked for tokens, one after the other.
const TOKEN_SOURCES_MAX: usize = 3;

/// The time without renewals after which a standby removes the coordinator from the list of proxies.
pub(super) const REMOVAL_TIMEOUT: Duration = Duration::from_secs(10);

impl Holding {
    /// Processes a renewal, and returns the verdict.
    pub(super) fn renewal_received(
        &mut self,
        now: Instant,
        own: &OwnState,
        from: &ProxyName,
        incarnation: Incarnation,
    ) -> Verdict {
        let Some(coordinator) = self.ranking.first().cloned() else {
            return Verdict::Unknown;
        };
        if let Some(stopped) = self.stopped.take_if(|stopped| &stopped.name == from)
            && stopped.incarnation == incarnation
        {
            // The renewal was sent before the announcement, which overtook it.
            self.stopped = Some(stopped);
            return Verdict::Unknown;
        }
        if self.is_continued(now, own, from, incarnation) || self.is_deferring(now, own) {
            return self.acknowledge(now, own, from, incarnation);
        }
        match self.role {
            Role::Standby if &coordinator == from => self.acknowledge(now, own, from, incarnation),
            Role::Coordinator => {
                self.conflict_until = Some(now + SILENCE_TIMEOUT);
                self.settle(now, own);
                // A process that is stopping holds nothing, so it doesn't object.
                let coordinator = if own.is_stopping {
                    from.clone()
                } else {
                    coordinator
                };
                Verdict::Denied { coordinator }
            }
            Role::Standby | Role::Other => Verdict::Denied { coordinator },
        }
    }

    fn acknowledge(
        &mut self,
        now: Instant,
        own: &OwnState,
        from: &ProxyName,
        incarnation: Incarnation,
    ) -> Verdict {
        self.settle(now, own);
        self.release(now);
        self.renewed_at = now;
        self.renewed_by = Some((from.clone(), incarnation));
        let has_acknowledged = std::mem::replace(&mut self.has_acknowledged, true);
        if !has_acknowledged && !self.has_held && own.has_just_started(now) {
            Verdict::AcknowledgedFirst
        } else {
            Verdict::Acknowledged
        }
    }

    /// Returns the tokens with which a process may start if its predecessor and the standby's were
    /// both gone before it started.
    ///
    /// Nobody knows what they used, so the tokens are taken from the tolerance. Half of it is left for
    /// a second such loss in the same window, and for operations that wait in queues.
    fn restart_credit(&self, now: Instant, own: &OwnState) -> u32 {
        let tolerance = own.tolerance.filter(|_| own.has_just_started(now));
        tolerance.map_or(0, |tolerance| tolerance.operations(self.limits) / 2)
    }

    /// Returns whether this process acknowledges any coordinator, because its own list is old and it
    /// has heard from no coordinator for as long as a lease may last.
    ///
    /// Its objections would leave a tenant without service for as long as it is cut off from the
    /// store.
    fn is_deferring(&self, now: Instant, own: &OwnState) -> bool {
        self.role != Role::Coordinator
            && own.is_list_old(now)
            && now >= self.renewed_at + SILENCE_TIMEOUT
    }

    /// Returns whether the renewal continues a lease of a process that this one's newer list ranks
    /// lower than before.
    ///
    /// The new coordinator sends its renewals to the second and the third too, and the former one
    /// objects until it knows the new list. Without an acknowledgement it would hold nothing
    /// until then.
    fn is_continued(
        &self,
        now: Instant,
        own: &OwnState,
        from: &ProxyName,
        incarnation: Incarnation,
    ) -> bool {
        let is_same = self
            .renewed_by
            .as_ref()
            .is_some_and(|(name, known)| name == from && *known == incarnation);
        let is_ranked = self.ranking.iter().skip(1).any(|name| name == from);
        is_same && now < self.renewed_at + SILENCE_TIMEOUT && (is_ranked || own.is_list_old(now))
    }

    /// Processes the verdict on a renewal that was sent at `sent_at`.
    pub(super) fn verdict_received(
        &mut self,
        now: Instant,
        own: &OwnState,
        from: &ProxyName,
        sent_at: Instant,
        verdict: Verdict,
    ) {
        if self.role != Role::Coordinator {
            return;
        }
        let is_standby = self.standby() == Some(from);
        match verdict {
            Verdict::Acknowledged | Verdict::AcknowledgedFirst => {
                self.denials.remove(from);
                if is_standby {
                    let is_first = verdict == Verdict::AcknowledgedFirst && !self.has_held;
                    // Other answers are no contact: only a standby that agrees to be one is known not
                    // to remove this process from the list.
                    self.standby_contact_at = now;
                    self.settle(now, own);
                    self.whole_until = self.whole_until.max(Some(sent_at + LEASE_DURATION));
                    let credit = self.restart_credit(now, own);
                    if let Some(bucket) = self.settle(now, own)
                        && is_first
                    {
                        bucket.add(now, credit);
                    }
                }
            }
            Verdict::Denied { coordinator } if coordinator == own.name => {
                self.denials.remove(from);
            }
            Verdict::Denied { coordinator } if self.has_stopped(now, &coordinator) => {}
            Verdict::Denied { coordinator } => {
                let until = now + SILENCE_TIMEOUT;
                self.witnesses.insert(coordinator.clone(), until);
                // Another process's view counts only if that process may itself be a holder.
                if is_standby || &coordinator == from {
                    self.whole_until = None;
                    let denial = Denial { until, coordinator };
                    self.denials.insert(from.clone(), denial);
                }
            }
            Verdict::Unknown => {}
        }
        self.settle(now, own);
    }

    /// Processes the claim of a process that believes to be the standby. Returns whether a renewal
    /// is due at once, because it is the standby and hasn't acknowledged a lease.
    pub(super) fn claim_received(
        &mut self,
        now: Instant,
        own: &OwnState,
        from: &ProxyName,
    ) -> bool {
        if self.role != Role::Coordinator {
            return false;
        }
        if self.standby() != Some(from) {
            self.conflict_until = Some(now + SILENCE_TIMEOUT);
            self.settle(now, own);
            return false;
        }
        self.whole_until.is_none_or(|until| until <= now)
    }

    /// Processes the announcement of a coordinator that it is stopping.
    pub(super) fn stop_received(
        &mut self,
        now: Instant,
        own: &OwnState,
        from: &ProxyName,
        incarnation: Incarnation,
        tokens: u32,
    ) {
        let is_stale = self
            .renewed_by
            .as_ref()
            .is_some_and(|(name, known)| name == from && *known != incarnation);
        if is_stale {
            return;
        }
        if self
            .renewed_by
            .as_ref()
            .is_some_and(|(name, _)| name == from)
        {
            self.renewed_by = None;
        }
        // A stopping process repeats its announcement, and a datagram may come twice.
        self.taken_over.retain(|_, until| now < *until);
        let until = now + REPETITION_MAX;
        let announced = (from.clone(), incarnation);
        let is_repeated = self.taken_over.insert(announced, until).is_some();
        self.stopped = Some(Stopped {
            name: from.clone(),
            incarnation,
            until: now + TAKEOVER_DURATION,
        });
        self.denials
            .retain(|name, denial| name != from && &denial.coordinator != from);
        if self.role == Role::Standby && self.coordinator() == Some(from) {
            self.whole_until = Some(now + TAKEOVER_DURATION);
        }
        if !is_repeated {
            self.take_over(now, own, tokens);
        }
        self.settle(now, own);
    }

    /// Returns the tokens that this process gives up to the sender of a renewal, because the sender is
    /// the next holder. They are given up once: if the answer is lost, so are they.
    ///
    /// A coordinator that is stopping announces its tokens to its standby instead.
    pub(super) fn give_up_tokens(
        &mut self,
        now: Instant,
        own: &OwnState,
        from: &ProxyName,
        verdict: &Verdict,
    ) -> u32 {
        let is_agreed = match verdict {
            Verdict::Acknowledged | Verdict::AcknowledgedFirst => true,
            Verdict::Denied { coordinator } => coordinator == from,
            Verdict::Unknown => false,
        };
        if !is_agreed || own.is_stopping {
            return 0;
        }
        self.purse.take().map_or(0, |purse| purse.remaining(now))
    }

    fn has_stopped(&self, now: Instant, name: &ProxyName) -> bool {
        let is_recent = |stopped: &Stopped| &stopped.name == name && now < stopped.until;
        self.stopped.as_ref().is_some_and(is_recent)
    }

    /// Returns the processes to which a coordinator sends renewals.
    pub(super) fn renewal_receivers(&self) -> BTreeSet<ProxyName> {
        if self.role != Role::Coordinator {
            return BTreeSet::new();
        }
        self.standby()
            .into_iter()
            .chain(self.denials.keys())
            .chain(self.witnesses.keys())
            .cloned()
            .collect()
    }

    /// Returns the coordinator to which this process, as standby, announces its claim.
    pub(super) fn claim_receiver(&self, now: Instant) -> Option<&ProxyName> {
        let is_late = now >= self.renewed_at + LEASE_DURATION;
        // A former coordinator that has just read the list lets the new one take the bucket over.
        let is_new = now == self.role_since;
        self.coordinator()
            .filter(|_| self.role == Role::Standby && (is_late || is_new))
    }

    /// Returns the coordinator that this process, as standby, has lost for so long that its
    /// registration is removed.
    pub(super) fn lost_coordinator(&self, now: Instant) -> Option<&ProxyName> {
        let is_lost = now >= self.renewed_at + REMOVAL_TIMEOUT;
        self.coordinator()
            .filter(|_| self.role == Role::Standby && is_lost)
    }

    /// Returns the processes from which tokens are requested, in this order.
    pub(super) fn token_sources(&self, now: Instant, own: &OwnState) -> Vec<ProxyName> {
        let denied_by = self.denials.values().map(|denial| &denial.coordinator);
        // The new coordinator may not know yet that it is one.
        let former = self.former.iter().filter(|(_, until)| now < *until);
        let former = former.map(|(name, _)| name);
        let (coordinator, standby) = (self.coordinator(), self.standby());
        let mut sources: Vec<ProxyName> = Vec::new();
        for name in denied_by.chain(coordinator).chain(former).chain(standby) {
            if name != &own.name && !sources.contains(name) {
                sources.push(name.clone());
            }
        }
        sources.truncate(TOKEN_SOURCES_MAX);
        sources
    }
}
