//! Fences, promotions and changes of the followed primary.

use super::Replication;
use super::State;
use crate::member::storage::disk::HardState;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberRole;
use std::io;
use std::time::Instant;

/// Why a change of term was refused.
#[derive(Debug, thiserror::Error)]
pub enum TransitionError {
    /// The term was overtaken.
    #[error("{0}; read the group's state again")]
    StaleTerm(Box<str>),
    /// The change couldn't be kept.
    #[error("the member's files can't be written: {0}; check its data folder")]
    Storage(#[from] io::Error),
}

impl Replication {
    /// Makes the member refuse every term below `term`.
    ///
    /// # Errors
    ///
    /// Returns [`TransitionError::StaleTerm`] when the member is fenced for a higher term, or leads
    /// or follows that term or a higher one.
    pub fn fence(&self, term: Term) -> Result<(), TransitionError> {
        let mut state = self.lock();
        if term < state.hard.fenced_term || term <= state.hard.term {
            return Err(state.stale("fence", term));
        }
        let hard = HardState {
            fenced_term: term,
            ..state.hard.clone()
        };
        self.change(&mut state, hard)
    }

    /// Makes the member the primary in `term`.
    ///
    /// # Errors
    ///
    /// Returns [`TransitionError::StaleTerm`] unless the member is fenced for exactly `term`.
    pub fn promote(&self, term: Term) -> Result<(), TransitionError> {
        let mut state = self.lock();
        if state.leads() && state.hard.term == term {
            return Ok(());
        }
        if state.hard.fenced_term != term || state.hard.term >= term {
            return Err(state.stale("promote", term));
        }
        let hard = HardState {
            role: MemberRole::Primary,
            term,
            fenced_term: term,
            primary: Some(self.id.clone()),
        };
        state.set_hard(hard)?;
        state.append(Vec::new())?;
        self.publish(&mut state);
        Ok(())
    }

    /// Makes the member a replica of `primary` in `term`.
    ///
    /// Entries that the primary doesn't have are dropped when it is first reached.
    ///
    /// # Errors
    ///
    /// Returns [`TransitionError::StaleTerm`] when the member is fenced for a higher term, knows a
    /// higher one, or knows another primary of this one.
    pub fn follow(&self, term: Term, primary: &MemberId) -> Result<(), TransitionError> {
        let mut state = self.lock();
        let is_same = state.hard.term == term && state.hard.primary.as_ref() == Some(primary);
        let is_stale = state.hard.fenced_term > term || state.hard.term >= term;
        if is_same && state.hard.fenced_term <= term {
            return Ok(());
        }
        if is_stale || *primary == self.id {
            return Err(state.stale("follow", term));
        }
        let hard = HardState {
            role: MemberRole::Replica,
            term,
            fenced_term: state.hard.fenced_term,
            primary: Some(primary.clone()),
        };
        state.last_heard = Instant::now();
        self.change(&mut state, hard)
    }

    fn change(&self, state: &mut State, hard: HardState) -> Result<(), TransitionError> {
        state.set_hard(hard)?;
        self.changed.notify_all();
        Ok(())
    }
}

impl State {
    fn stale(&self, what: &str, term: Term) -> TransitionError {
        let message = format!(
            "can't {what} in term {term}: the server is in term {} and fenced for {}",
            self.hard.term, self.hard.fenced_term
        );
        TransitionError::StaleTerm(message.into())
    }
}
