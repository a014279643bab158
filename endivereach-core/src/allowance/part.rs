//! Which part of a bucket a process holds, and why.

use super::holding::Holding;
use super::holding::LEASE_DURATION;
use super::holding::OwnState;
use super::holding::Role;
use super::holding::SILENCE_TIMEOUT;
use crate::ids::ProxyName;
use crate::logfmt::LogValue;
use crate::rate_limit::Share;
use std::fmt;
use std::time::Instant;

/// Why a process holds the part that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The process is neither coordinator nor standby.
    NotRanked,
    /// The coordinator is the only proxy of the ranking.
    Alone,
    /// The standby has acknowledged the coordinator's lease.
    Lease,
    /// The coordinator has announced that it is stopping.
    Takeover,
    /// The other one of coordinator and standby is silent.
    Silence,
    /// The coordinator waits for the acknowledgement of its first lease, or the standby for the end of
    /// the lease that it acknowledged.
    Waiting,
    /// The coordinator acknowledged another one's lease a short time ago.
    Promised,
    /// Another process may hold a part although this one's list says otherwise.
    Conflict,
    /// Another process objects to the coordinator.
    Denied,
    /// The process is stopping.
    Stopping,
    /// The process may have been removed from the list without a chance to know it.
    Isolated,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRanked => "not-ranked",
            Self::Alone => "alone",
            Self::Lease => "lease",
            Self::Takeover => "takeover",
            Self::Silence => "silence",
            Self::Waiting => "waiting",
            Self::Promised => "promised",
            Self::Conflict => "conflict",
            Self::Denied => "denied",
            Self::Stopping => "stopping",
            Self::Isolated => "isolated",
        })
    }
}

/// The part of a bucket that a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Part {
    pub(super) share: Option<Share>,
    pub(super) reason: Reason,
}

impl Part {
    pub(super) const fn whole(reason: Reason) -> Self {
        Self {
            share: Some(Share::Whole),
            reason,
        }
    }

    pub(super) const fn half(reason: Reason) -> Self {
        Self {
            share: Some(Share::Half),
            reason,
        }
    }

    pub(super) const fn nothing(reason: Reason) -> Self {
        Self {
            share: None,
            reason,
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = match self.share {
            None => "nothing",
            Some(Share::Half) => "half",
            Some(Share::Whole) => "whole",
        };
        write!(f, "{share} reason={}", self.reason)
    }
}

impl Holding {
    /// Returns the part that this process holds at `now`.
    pub(super) fn part(&self, now: Instant, own: &OwnState) -> Part {
        let is_whole = self.whole_until.is_some_and(|until| now < until);
        match self.role {
            Role::Other => Part::nothing(Reason::NotRanked),
            Role::Standby if is_whole => Part::whole(Reason::Takeover),
            Role::Standby if self.is_isolated(now, own) => Part::nothing(Reason::Isolated),
            Role::Standby => {
                let is_silent = now >= self.renewed_at + SILENCE_TIMEOUT;
                if is_silent || self.bucket.is_some() {
                    Part::half(Reason::Silence)
                } else {
                    Part::nothing(Reason::Waiting)
                }
            }
            Role::Coordinator => self.coordinators_part(now, own, is_whole),
        }
    }

    fn coordinators_part(&self, now: Instant, own: &OwnState, is_whole: bool) -> Part {
        let is_promised = self.renewed_by.is_some() && now < self.renewed_at + LEASE_DURATION;
        if own.is_stopping {
            return Part::nothing(Reason::Stopping);
        }
        if is_promised {
            return Part::nothing(Reason::Promised);
        }
        if !self.denials.is_empty() {
            return Part::nothing(Reason::Denied);
        }
        if self.is_isolated(now, own) {
            return Part::nothing(Reason::Isolated);
        }
        let is_alone = self.ranking.len() == 1;
        let is_silent = now >= self.role_since + SILENCE_TIMEOUT;
        if !(is_whole || is_silent || self.bucket.is_some()) {
            return Part::nothing(Reason::Waiting);
        }
        if self.conflict_until.is_some_and(|until| now < until) {
            Part::half(Reason::Conflict)
        } else if is_whole {
            Part::whole(Reason::Lease)
        } else if is_alone {
            Part::whole(Reason::Alone)
        } else {
            Part::half(Reason::Silence)
        }
    }

    /// Logs a change of the share that this process holds.
    pub(super) fn log_change(&mut self, now: Instant, part: Part) {
        if part.share == self.logged_share {
            return;
        }
        let held_ms = now.saturating_duration_since(self.share_since).as_millis();
        let rank = |index: usize| self.ranking.get(index).map_or("-", ProxyName::as_str);
        log::info!(
            target: "belief",
            "event=limit-part tenant={} held={part} coordinator={} standby={} before_ms={held_ms}",
            LogValue(&self.tenant),
            LogValue(rank(0)),
            LogValue(rank(1))
        );
        self.logged_share = part.share;
        self.share_since = now;
    }
}
