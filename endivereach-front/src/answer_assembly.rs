//! The assembly of a target's answer from its messages.

use crate::protocol::TargetMessage;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;

/// What a message completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing yet.
    Partial,
    /// The target accepted the connection.
    Opened,
    /// The target refused the connection.
    Refused(Failure),
    /// The answer is complete.
    Answered(Answer),
    /// The message can't follow the earlier ones, so the connection must be closed.
    Unreadable,
    /// No command is outstanding, so the message belongs to an answer that is repeated.
    Unexpected,
}

/// The messages of a connection's current answer.
///
/// # Invariants
///
/// An answer consists of rows, one outcome and the message that the target is ready. If an answer is
/// cut off, the next answer follows its first messages. They are never combined to one answer: an
/// outcome that isn't followed by the end of its answer makes the connection unreadable.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::statement::SessionState;
/// use endivereach_front::answer_assembly::{AnswerAssembly, Progress};
/// use endivereach_front::protocol::TargetMessage;
///
/// let mut assembly = AnswerAssembly::default();
/// let ready = TargetMessage::Ready { state: SessionState::Idle, position: None };
/// assert_eq!(assembly.add(ready), Progress::Opened);
/// assert_eq!(assembly.add(TargetMessage::Done(None)), Progress::Partial);
/// // The end of the first answer is missing.
/// assert_eq!(assembly.add(TargetMessage::Done(None)), Progress::Unreadable);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerAssembly {
    is_open: bool,
    rows: Vec<Box<str>>,
    outcome: Option<Outcome>,
}

impl AnswerAssembly {
    /// Returns whether the target has accepted the connection.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Adds the connection's next message.
    pub fn add(&mut self, message: TargetMessage) -> Progress {
        match message {
            TargetMessage::Ready { .. } if !self.is_open => {
                self.is_open = true;
                Progress::Opened
            }
            TargetMessage::Failed { failure, .. } if !self.is_open => Progress::Refused(failure),
            TargetMessage::Unreadable => Progress::Unreadable,
            _ if !self.is_open => Progress::Unreadable,
            TargetMessage::Ready { state, position } => {
                let Some(outcome) = self.outcome.take() else {
                    return Progress::Unreadable;
                };
                Progress::Answered(Answer {
                    rows: std::mem::take(&mut self.rows),
                    outcome,
                    state,
                    position,
                })
            }
            _ if self.outcome.is_some() => Progress::Unreadable,
            TargetMessage::Row(row) => {
                self.rows.push(row);
                Progress::Partial
            }
            TargetMessage::Done(receipt) => {
                self.outcome = Some(Outcome::Done { receipt });
                Progress::Partial
            }
            TargetMessage::Failed { failure, message } => {
                self.outcome = Some(Outcome::Failed { failure, message });
                Progress::Partial
            }
        }
    }
}
