//! Tokens that a process without a part of a tenant's bucket requests from the holders.

use super::RETRY_AFTER_UNREACHABLE;
use super::RefusalCause;
use super::message::Held;
use crate::ids::ProxyName;
use std::time::Duration;
use std::time::Instant;

/// How long tokens may be used after their request was sent.
const GRANT_LIFETIME: Duration = Duration::from_millis(500);

/// The time for which a process requests tokens in advance.
const DEMAND_PERIOD: Duration = Duration::from_millis(300);

/// The time after which the next holder is asked. It is several round trips within a region, and an
/// operation waits long enough for two of them.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// The minimum time between two rounds of requests for one tenant.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// How long operations are refused without another request after no holder answered.
const UNREACHABLE_PERIOD: Duration = Duration::from_millis(200);

/// The same after a holder had no token, which it may have again soon.
const EMPTY_PERIOD: Duration = Duration::from_millis(50);

const NOT_REACHED: Unavailable = Unavailable {
    cause: RefusalCause::HolderUnreachable,
    retry_after: RETRY_AFTER_UNREACHABLE,
};

/// A request without a reply.
#[derive(Clone, Debug)]
struct Outstanding {
    sequence: u64,
    sent_at: Instant,
    /// The holders that remain to be asked.
    remaining: Vec<ProxyName>,
    /// What the processes that answered stated, if one did.
    answer: Option<Unavailable>,
}

/// What a process does about an operation for which it holds no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Supply {
    /// A granted token was taken.
    Taken,
    /// Tokens have been requested.
    Requested,
    /// No holder granted a token a short time ago.
    Unavailable(Unavailable),
}

/// Why no token was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unavailable {
    pub(super) cause: RefusalCause,
    pub(super) retry_after: Duration,
}

/// The requests of this process for one tenant's tokens.
#[derive(Debug)]
pub(super) struct Requests {
    tokens: u32,
    tokens_until: Instant,
    period_started_at: Instant,
    arrivals: u32,
    arrivals_before: u32,
    is_wanting: bool,
    outstanding: Option<Outstanding>,
    next_round_at: Instant,
    refused_until: Instant,
    unavailable: Unavailable,
}

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outgoing {
    pub(super) holder: ProxyName,
    pub(super) sequence: u64,
    pub(super) wanted: u32,
}

impl Requests {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            tokens: 0,
            tokens_until: now,
            period_started_at: now,
            arrivals: 0,
            arrivals_before: 0,
            is_wanting: false,
            outstanding: None,
            next_round_at: now,
            refused_until: now,
            unavailable: NOT_REACHED,
        }
    }

    /// Counts an operation that arrives.
    pub(super) fn record_arrival(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.period_started_at);
        if age >= DEMAND_PERIOD {
            let is_previous = age < DEMAND_PERIOD * 2;
            self.arrivals_before = if is_previous { self.arrivals } else { 0 };
            self.arrivals = 0;
            self.period_started_at = now;
        }
        self.arrivals = self.arrivals.saturating_add(1);
    }

    /// Takes a granted token, or marks tokens as wanted.
    pub(super) fn take(&mut self, now: Instant) -> Supply {
        if now < self.tokens_until && self.tokens > 0 {
            self.tokens -= 1;
            return Supply::Taken;
        }
        self.tokens = 0;
        if now < self.refused_until {
            return Supply::Unavailable(self.unavailable);
        }
        self.is_wanting = true;
        Supply::Requested
    }

    /// Returns a granted token that wasn't used.
    pub(super) fn refund(&mut self, now: Instant) {
        if now < self.tokens_until {
            self.tokens = self.tokens.saturating_add(1);
        }
    }

    /// Discards the requests, because this process has become a holder.
    pub(super) fn clear(&mut self) {
        self.is_wanting = false;
        self.outstanding = None;
    }

    /// Returns the request that is due, if any. `next_sequence` is the number of a new request.
    pub(super) fn poll(
        &mut self,
        now: Instant,
        next_sequence: u64,
        sources: impl FnOnce() -> Vec<ProxyName>,
    ) -> Option<Outgoing> {
        let (mut remaining, answer) = match &mut self.outstanding {
            Some(outstanding) if now < outstanding.sent_at + REQUEST_TIMEOUT => return None,
            Some(outstanding) => (
                std::mem::take(&mut outstanding.remaining),
                outstanding.answer,
            ),
            None if self.is_wanting && now >= self.next_round_at => {
                self.is_wanting = false;
                self.next_round_at = now + REQUEST_INTERVAL;
                (sources(), None)
            }
            None => return None,
        };
        if remaining.is_empty() {
            self.outstanding = None;
            self.is_wanting = false;
            let period = match answer {
                Some(_) => EMPTY_PERIOD,
                None => UNREACHABLE_PERIOD,
            };
            self.refused_until = now + period;
            self.unavailable = answer.unwrap_or(NOT_REACHED);
            return None;
        }
        let holder = remaining.remove(0);
        self.outstanding = Some(Outstanding {
            sequence: next_sequence,
            sent_at: now,
            remaining,
            answer,
        });
        Some(Outgoing {
            holder,
            sequence: next_sequence,
            wanted: self.arrivals.max(self.arrivals_before).max(1),
        })
    }

    /// Processes the reply to the outstanding request. A reply to another one is ignored, and its
    /// tokens are lost.
    ///
    /// `retry_after` is when a refused operation may be repeated, if the sender holds a part.
    pub(super) fn grant_received(
        &mut self,
        now: Instant,
        sequence: u64,
        tokens: u32,
        held: Held,
        retry_after: Duration,
    ) {
        let Some(outstanding) = &mut self.outstanding else {
            return;
        };
        if outstanding.sequence != sequence {
            return;
        }
        if tokens == 0 {
            let refusal = match held {
                Held::Nothing => Unavailable {
                    cause: RefusalCause::NoHolder,
                    retry_after: RETRY_AFTER_UNREACHABLE,
                },
                Held::Half | Held::Whole => Unavailable {
                    cause: RefusalCause::OverLimit,
                    retry_after,
                },
            };
            let is_over_limit = |answer: &Unavailable| answer.cause == RefusalCause::OverLimit;
            if !outstanding.answer.as_ref().is_some_and(is_over_limit) {
                outstanding.answer = Some(refusal);
            }
            if held == Held::Whole {
                outstanding.remaining.clear();
            }
            // The next holder is asked at once.
            outstanding.sent_at = now.checked_sub(REQUEST_TIMEOUT).unwrap_or(now);
            return;
        }
        let granted_until = outstanding.sent_at + GRANT_LIFETIME;
        self.outstanding = None;
        // Older tokens may expire before the new ones, and must not outlive their own request.
        if now >= self.tokens_until {
            self.tokens = 0;
        }
        self.tokens_until = if self.tokens == 0 {
            granted_until
        } else {
            self.tokens_until.min(granted_until)
        };
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Returns when [`Requests::poll`] must be called next.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        match &self.outstanding {
            Some(outstanding) => Some(outstanding.sent_at + REQUEST_TIMEOUT),
            None if self.is_wanting => Some(self.next_round_at),
            None => None,
        }
    }
}
