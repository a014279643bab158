//! Suspicion: when the evidence against a primary is enough for a promotion.
//!
//! One vantage is never enough. A promotion needs the other members' own reports that they hear
//! nothing from their primary, and either this proxy's own failure to reach the primary or a longer
//! silence, which tells a primary that is cut off from its group while proxies still reach it.

use crate::directory::GroupObject;
use std::time::Duration;

/// The silence towards the replicas that is enough when the primary's process refuses connections.
///
/// A replica hears from its primary several times within it; a refusal is no effect of packet loss.
pub const SILENCE_WHEN_REFUSED: Duration = Duration::from_millis(300);

/// The silence that is enough when the primary doesn't answer this proxy either.
///
/// It outlasts two losses of one packet in a row: retransmissions after 200 ms and 400 ms.
pub const SILENCE_WHEN_UNREACHABLE: Duration = Duration::from_millis(650);

/// The silence that is enough when the primary still answers this proxy.
pub const SILENCE_WHEN_REACHABLE: Duration = Duration::from_millis(900);

/// How this proxy's own calls to the primary fare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The primary answers.
    Answers,
    /// Connections are refused or broken at once, and were for this long.
    Refused(Duration),
    /// Calls get no answer, and didn't for this long.
    Silent(Duration),
}

/// The evidence about one primary at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// How many members the group has, the primary included.
    pub members: usize,
    /// This proxy's own view.
    pub reach: Reach,
    /// For each other member with a recent report, how long it has heard nothing from the primary.
    pub silences: Vec<Duration>,
}

impl Evidence {
    /// Returns the silence that a majority of the other members reports, or zero without one.
    pub fn agreed_silence(&self) -> Duration {
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
    /// use endivereach_core::suspicion::{Evidence, Reach};
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut evidence = Evidence {
    ///     members: 3,
    ///     reach: Reach::Silent(second),
    ///     silences: vec![second],
    /// };
    /// assert!(!evidence.is_enough(), "one member's silence may be that member's own fault");
    /// evidence.silences.push(second);
    /// assert!(evidence.is_enough());
    /// ```
    pub fn is_enough(&self) -> bool {
        let silence = self.agreed_silence();
        match self.reach {
            Reach::Refused(_) => silence >= SILENCE_WHEN_REFUSED,
            Reach::Silent(own) => silence.min(own) >= SILENCE_WHEN_UNREACHABLE,
            Reach::Answers => silence >= SILENCE_WHEN_REACHABLE,
        }
    }

    /// Describes the evidence for an event.
    pub fn describe(&self) -> Box<str> {
        let silence_ms = self.agreed_silence().as_millis();
        let own = match self.reach {
            Reach::Answers => "it answers this proxy".to_owned(),
            Reach::Refused(own) => format!("it refused this proxy for {} ms", own.as_millis()),
            Reach::Silent(own) => {
                format!("it left this proxy unanswered for {} ms", own.as_millis())
            }
        };
        format!("a majority of the other members heard nothing from it for {silence_ms} ms; {own}")
            .into()
    }
}
