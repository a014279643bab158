//! The unanswered commands of a connection, and the matching of answers to them.

use super::receipts::Receipts;
use super::receipts::digest;
use super::statement::Answer;
use super::statement::Outcome;
use super::statement::SessionState;
use super::statement::TargetStatus;
use crate::promotion::Call;
use std::collections::VecDeque;
use std::time::Instant;

/// The kind of command that an outstanding reply answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CommandKind {
    /// A command that sets the connection to its owner's session state.
    Preparation,
    /// The `Begin` of the owner's transaction.
    Begin,
    /// The owner's statement.
    Statement,
    /// A statement whose caller no longer waits for it.
    Abandoned,
    /// The rollback of an aborted transaction.
    Rollback,
    /// A probe of the target.
    Status,
    /// A control call of a promotion.
    Control(Call),
    /// A reset whose answer shows that none is missing before it.
    Sync,
}

impl CommandKind {
    /// Returns whether the command asks the target for its status.
    fn is_probe(&self) -> bool {
        matches!(self, Self::Status | Self::Control(_))
    }

    /// Returns whether a success can belong to the command: only callers' statements have a receipt,
    /// and of the other commands only those that return the target's status have a row.
    fn accepts(&self, answer: &Answer) -> bool {
        let Outcome::Done { receipt } = &answer.outcome else {
            return true;
        };
        let has_row = !answer.rows.is_empty();
        match self {
            Self::Statement | Self::Abandoned => receipt.is_some(),
            Self::Status | Self::Control(_) => receipt.is_none() && has_row,
            Self::Begin => {
                receipt.is_none() && !has_row && answer.state == SessionState::InTransaction
            }
            Self::Preparation | Self::Rollback => receipt.is_none() && !has_row,
            Self::Sync => receipt.is_none() && !has_row && answer.state == SessionState::Idle,
        }
    }
}

/// A command that was sent and hasn't been answered.
#[derive(Clone, Debug)]
pub(super) struct OutstandingCommand {
    pub(super) kind: CommandKind,
    pub(super) sent_at: Instant,
}

/// A command together with its answer.
#[derive(Debug)]
pub(super) struct AnsweredCommand {
    pub(super) command: OutstandingCommand,
    pub(super) answer: Answer,
    pub(super) status: Option<TargetStatus>,
    /// The time of which the status is evidence while answers are repeated, if it is evidence at all.
    pub(super) evidence_at: Option<Instant>,
}

/// The result of matching the oldest unprocessed answer.
#[derive(Debug)]
pub(super) enum Match {
    /// The answer belongs to the oldest command, which isn't outstanding any more.
    Answered(AnsweredCommand),
    /// The answer is a statement's failure that may repeat the answer to an earlier command. The
    /// statement is held until it is shown that it doesn't.
    Held,
    /// The answer is a failure that may repeat the answer to an earlier command, or it may begin with
    /// the rows of one. The oldest command stays outstanding.
    Unproved,
    /// There is no answer, or it can't be matched before others have arrived.
    Incomplete,
    /// The answer belongs to no outstanding command, so it repeats an earlier one.
    Unexpected,
    /// An answer was lost, and those that arrived belong to other commands than the oldest ones.
    Mismatch,
}

/// What matters for matching besides the commands and answers of the connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct MatchContext {
    /// Whether targets have repeated answers lately.
    pub(super) are_answers_repeated: bool,
    /// Whether the connection's owner waits for a write, which returns no rows as a rule.
    pub(super) is_write: bool,
    /// Whether a transaction may be open on the connection.
    pub(super) in_transaction: bool,
}

/// The commands of one connection that haven't been answered, in the order in which they were sent.
///
/// # Invariants
///
/// A target answers in order, but single answers may be lost or repeated while the connection stays
/// open, and an answer doesn't name its command. So an answer is matched to the oldest command only
/// if it can't belong to a later one, and doesn't repeat the answer to an earlier one:
///
/// - A receipt names one execution. An answer with a receipt that came before is discarded.
/// - Successes differ in their shape between callers' statements, probes and other commands.
/// - Failures look the same for all commands. A failure is matched once as many answers have arrived
///   as commands are outstanding, because then none was lost. Until then no probe or control call is
///   sent, so that the number of commands doesn't grow.
/// - The first failure on a connection repeats nothing. A later one may repeat it. It is held until
///   a reset that was sent after it has succeeded: had the statement that it seems to answer been
///   running, its answer would have come before, in another shape. Where no reset can be sent, as in
///   a transaction, the failure is unproved. Probes and control calls make no promise by a failure,
///   so theirs needs no proof.
/// - While targets repeat answers, the answer to the reset may be a repetition, too, so that a later
///   failure is unproved. So is one with commands outstanding behind it.
/// - A success without rows and receipt may repeat an earlier one. The answer that it stands for
///   then arrives where another shape is expected, unless it is a failure.
/// - A repetition that is cut off leaves rows behind, which come before those of the next answer.
///   While targets repeat answers, an answer of several rows, or to a write, is unproved if an earlier
///   one began with the same row.
/// - A status may repeat an earlier one of the connection, and is then equal to it. One that differs
///   from all earlier ones is new. Of two equal ones in a row, one is new, so that they are evidence
///   of the time at which the first of the two probes was sent. Any other is evidence of no time.
#[derive(Debug, Default)]
pub(super) struct OutstandingCommands {
    commands: VecDeque<OutstandingCommand>,
    /// Answers that haven't been matched.
    answers: VecDeque<(Answer, Option<TargetStatus>)>,
    /// The receipts of earlier answers.
    receipts: Receipts,
    /// Whether a command has failed.
    has_failed: bool,
    /// The failure of the oldest command, which is a statement, until it is shown to repeat nothing.
    held: Option<Answer>,
    /// The first rows of earlier answers.
    first_rows: Receipts,
    /// The statuses of earlier answers.
    statuses: Receipts,
    /// The digest of the last status, and when its probe was sent.
    last_status: Option<(u64, Instant)>,
}

impl OutstandingCommands {
    /// Adds a command that is sent.
    pub(super) fn push(&mut self, kind: CommandKind, sent_at: Instant) {
        self.commands
            .push_back(OutstandingCommand { kind, sent_at });
    }

    /// Adds an answer, which is processed by [`OutstandingCommands::next_match`]. Returns whether it
    /// is a new one: an answer whose receipt came before on this connection is discarded.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        answer: Answer,
        status: Option<TargetStatus>,
    ) -> bool {
        let receipt = match &answer.outcome {
            Outcome::Done { receipt } => receipt.as_deref(),
            Outcome::Failed { .. } => None,
        };
        let is_new = receipt.is_none_or(|receipt| self.receipts.insert(now, digest(receipt)));
        if is_new {
            self.answers.push_back((answer, status));
        }
        is_new
    }

    /// Matches the oldest answer that hasn't been matched.
    pub(super) fn next_match(&mut self, now: Instant, context: MatchContext) -> Match {
        let Some((answer, _)) = self.answers.front() else {
            return Match::Incomplete;
        };
        if self.held.is_some() {
            return self.match_held(context);
        }
        let mut accepting = self
            .commands
            .iter()
            .map(|command| command.kind.accepts(answer));
        match accepting.next() {
            Some(true) => {}
            Some(false) if accepting.any(|accepts| accepts) => return Match::Mismatch,
            _ => return Match::Unexpected,
        }
        let is_failure = answer.failure().is_some();
        if is_failure && self.answers.len() < self.commands.len() {
            return Match::Incomplete;
        }
        if is_failure && self.may_repeat_failure(context) {
            if !self.is_holdable(context) {
                return Match::Unproved;
            }
            self.held = self.answers.pop_front().map(|(answer, _)| answer);
            return Match::Held;
        }
        if self.may_begin_with_repetition(now, context) {
            return Match::Unproved;
        }
        self.has_failed |= is_failure;
        let (Some(command), Some((answer, status))) =
            (self.commands.pop_front(), self.answers.pop_front())
        else {
            return Match::Incomplete;
        };
        let evidence_at = status
            .is_some()
            .then(|| self.evidence_at(now, command.sent_at, &answer));
        Match::Answered(AnsweredCommand {
            command,
            answer,
            status,
            evidence_at: evidence_at.flatten(),
        })
    }

    /// Returns whether a failure may repeat the answer to an earlier command, and matters.
    fn may_repeat_failure(&self, context: MatchContext) -> bool {
        // Of two failures, the second may repeat the first while the answer to a command is lost.
        let is_ambiguous = context.are_answers_repeated && self.commands.len() > 1;
        let is_probe = self.oldest().is_some_and(|oldest| oldest.kind.is_probe());
        (self.has_failed || is_ambiguous) && !is_probe
    }

    /// Returns whether the failure of the oldest command can be held until a reset has succeeded.
    fn is_holdable(&self, context: MatchContext) -> bool {
        let is_statement = self
            .oldest()
            .is_some_and(|oldest| oldest.kind == CommandKind::Statement);
        let answer = self.answers.front();
        let is_idle = answer.is_some_and(|(answer, _)| answer.state == SessionState::Idle);
        is_statement && is_idle && !context.in_transaction && !context.are_answers_repeated
    }

    /// Records the first row of the oldest answer, and returns whether it may be left of a repetition
    /// that was cut off.
    fn may_begin_with_repetition(&mut self, now: Instant, context: MatchContext) -> bool {
        let Some((answer, _)) = self.answers.front() else {
            return false;
        };
        let Some(row) = answer.rows.first() else {
            return false;
        };
        let is_known = !self.first_rows.insert(now, digest(&**row));
        let is_statement = self
            .oldest()
            .is_some_and(|oldest| oldest.kind == CommandKind::Statement);
        let is_unusual = answer.rows.len() > 1 || (context.is_write && is_statement);
        context.are_answers_repeated && is_known && is_unusual
    }

    /// Matches the answer that decides whether the held failure is believed.
    fn match_held(&mut self, context: MatchContext) -> Match {
        let answer = self.answers.front().map(|(answer, _)| answer);
        let is_proved = answer
            .is_some_and(|answer| answer.failure().is_none() && CommandKind::Sync.accepts(answer));
        if context.are_answers_repeated || !is_proved {
            return Match::Unproved;
        }
        self.answers.pop_front();
        let (Some(command), Some(answer)) = (self.commands.pop_front(), self.held.take()) else {
            return Match::Incomplete;
        };
        // The reset.
        self.commands.pop_front();
        Match::Answered(AnsweredCommand {
            command,
            answer,
            status: None,
            evidence_at: None,
        })
    }

    /// Returns the time of which a status is evidence, if targets repeat answers.
    fn evidence_at(&mut self, now: Instant, sent_at: Instant, answer: &Answer) -> Option<Instant> {
        let digest = digest(&(&answer.rows, answer.position));
        let is_new = self.statuses.insert(now, digest);
        let last = self.last_status.replace((digest, sent_at));
        if is_new {
            return Some(sent_at);
        }
        last.filter(|(last, _)| *last == digest)
            .map(|(_, sent_at)| sent_at)
    }

    /// Returns whether a command has failed, so that a later failure may repeat it.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns whether an answer has arrived that can't be matched before others have.
    pub(super) fn has_unmatched_answer(&self) -> bool {
        !self.answers.is_empty() || self.held.is_some()
    }

    /// Marks the caller's statement as abandoned.
    pub(super) fn abandon_statement(&mut self) {
        for command in &mut self.commands {
            if command.kind == CommandKind::Statement {
                command.kind = CommandKind::Abandoned;
            }
        }
    }

    /// Returns the commands, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &OutstandingCommand> {
        self.commands.iter()
    }

    /// Returns the oldest command.
    pub(super) fn oldest(&self) -> Option<&OutstandingCommand> {
        self.commands.front()
    }

    /// Returns the number of commands.
    pub(super) fn len(&self) -> usize {
        self.commands.len()
    }

    /// Returns whether every command was answered.
    pub(super) fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}
