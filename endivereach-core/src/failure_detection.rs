//! Failure detection: when a primary counts as failed and a promotion starts.
//!
//! A single observer is never enough. A promotion requires reports from the other members that they
//! receive nothing from their primary. It also requires either that this proxy can't reach the
//! primary or that the members' silence lasts longer. The latter detects a primary that is
//! partitioned from its group while proxies can still reach it.

use crate::directory::GroupObject;
use std::time::Duration;

/// How long replicas must receive nothing if the primary's host refuses connections.
///
/// A replica receives several messages from its primary within this time. A refused connection
/// can't be the effect of packet loss.
pub const SILENCE_TIMEOUT_WHEN_REFUSED: Duration = Duration::from_millis(300);

/// How long replicas must receive nothing if the primary doesn't answer this proxy either.
///
/// Covers two consecutive losses of one packet, which is retransmitted after 200 ms and 400 ms.
pub const SILENCE_TIMEOUT_WHEN_UNREACHABLE: Duration = Duration::from_millis(650);

/// How long replicas must receive nothing if the primary still answers this proxy.
pub const SILENCE_TIMEOUT_WHEN_REACHABLE: Duration = Duration::from_millis(900);

/// Whether this proxy can reach the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The primary answers calls.
    Responding,
    /// Connections have been refused or reset immediately for this long.
    Refused(Duration),
    /// Calls have been unanswered for this long.
    Unanswered(Duration),
}

/// The evidence about one primary at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The number of members in the group, including the primary.
    pub members: usize,
    /// Whether this proxy can reach the primary.
    pub reachability: Reachability,
    /// For each other member with a recent report, the time since it last received a message from
    /// the primary.
    pub silences: Vec<Duration>,
}

impl Evidence {
    /// Returns the silence that a majority of the other members reports, or zero if too few
    /// reported.
    pub fn majority_silence(&self) -> Duration {
        let needed = GroupObject::majority_of(self.members.saturating_sub(1));
        let mut silences = self.silences.clone();
        silences.sort_unstable_by(|a, b| b.cmp(a));
        silences.get(needed - 1).copied().unwrap_or_default()
    }

    /// Returns whether the primary should be replaced.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::failure_detection::{Evidence, Reachability};
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut evidence = Evidence {
    ///     members: 3,
    ///     reachability: Reachability::Unanswered(second),
    ///     silences: vec![second],
    /// };
    /// assert!(!evidence.justifies_promotion(), "one replica may itself be partitioned");
    /// evidence.silences.push(second);
    /// assert!(evidence.justifies_promotion());
    /// ```
    pub fn justifies_promotion(&self) -> bool {
        let silence = self.majority_silence();
        match self.reachability {
            Reachability::Refused(_) => silence >= SILENCE_TIMEOUT_WHEN_REFUSED,
            Reachability::Unanswered(duration) => {
                silence.min(duration) >= SILENCE_TIMEOUT_WHEN_UNREACHABLE
            }
            Reachability::Responding => silence >= SILENCE_TIMEOUT_WHEN_REACHABLE,
        }
    }

    /// Returns a description of the evidence for an event.
    pub fn describe(&self) -> Box<str> {
        let silence_ms = self.majority_silence().as_millis();
        let reachability_text = match self.reachability {
            Reachability::Responding => "the primary answers this proxy".to_owned(),
            Reachability::Refused(duration) => format!(
                "the primary refused connections from this proxy for {} ms",
                duration.as_millis()
            ),
            Reachability::Unanswered(duration) => {
                format!(
                    "the primary did not answer this proxy for {} ms",
                    duration.as_millis()
                )
            }
        };
        format!(
            "most other members heard nothing from the primary for {silence_ms} ms; {reachability_text}"
        )
        .into()
    }
}
