//! Which part of a bucket a process holds, and why.

use crate::rate_limit::Share;
use std::fmt;

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
