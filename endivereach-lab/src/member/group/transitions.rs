//! Changes of term, fence and role: fencing, promotion, and following another primary.

use super::Replication;
use super::State;
use crate::member::storage::disk::HardState;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberRole;
use std::io;
use std::time::Instant;

/// The reason why a change of term or fence failed.
#[derive(Debug, thiserror::Error)]
pub enum TransitionError {
    /// The member has already reached the requested term or a higher one, or isn't fenced for it.
    #[error("{0}; read the group's state again")]
    StaleTerm(Box<str>),
    /// The new hard state couldn't be written to disk.
    #[error("the member's files can't be written: {0}; check its data folder")]
    Storage(#[from] io::Error),
}

impl Replication {
    /// Fences the member for `term`: it stops accepting writes and entries of every lower term.
    ///
    /// # Errors
    ///
    /// Returns [`TransitionError::StaleTerm`] when the member is fenced for a higher term, or is
    /// already in `term` or a higher one.
    pub fn fence(&self, term: Term) -> Result<(), TransitionError> {
        let mut state = self.lock();
        if term < state.hard_state.fenced_term || term <= state.hard_state.term {
            return Err(state.stale_term_error("fence", term));
        }
        let hard_state = HardState {
            fenced_term: term,
            ..state.hard_state.clone()
        };
        self.set_hard_state_and_notify(&mut state, hard_state)
    }

    /// Makes the member the primary of `term`.
    ///
    /// # Errors
    ///
    /// Returns [`TransitionError::StaleTerm`] unless the member is fenced for exactly `term`.
    pub fn promote(&self, term: Term) -> Result<(), TransitionError> {
        let mut state = self.lock();
        if state.is_active_primary() && state.hard_state.term == term {
            return Ok(());
        }
        if state.hard_state.fenced_term != term || state.hard_state.term >= term {
            return Err(state.stale_term_error("promote", term));
        }
        let hard_state = HardState {
            role: MemberRole::Primary,
            term,
            fenced_term: term,
            primary: Some(self.id.clone()),
        };
        state.set_hard_state(hard_state)?;
        state.append(Vec::new())?;
        self.publish(&mut state);
        Ok(())
    }

    /// Makes the member a replica of `primary` in `term`. Has no effect if `primary` is already the
    /// primary of the member's current term.
    ///
    /// Entries that aren't in the primary's log are removed at the first successful pull.
    ///
    /// # Errors
    ///
    /// Returns [`TransitionError::StaleTerm`] when the member is fenced for a higher term, is
    /// already in a higher term, or is in `term` with another primary. Also returns it when
    /// `primary` is this member, unless this member already is the primary of `term`.
    pub fn follow(&self, term: Term, primary: &MemberId) -> Result<(), TransitionError> {
        let mut state = self.lock();
        let is_same =
            state.hard_state.term == term && state.hard_state.primary.as_ref() == Some(primary);
        let is_stale = state.hard_state.fenced_term > term || state.hard_state.term >= term;
        if is_same && state.hard_state.fenced_term <= term {
            return Ok(());
        }
        if is_stale || *primary == self.id {
            return Err(state.stale_term_error("follow", term));
        }
        let hard_state = HardState {
            role: MemberRole::Replica,
            term,
            fenced_term: state.hard_state.fenced_term,
            primary: Some(primary.clone()),
        };
        state.last_primary_contact = Instant::now();
        self.set_hard_state_and_notify(&mut state, hard_state)
    }

    fn set_hard_state_and_notify(
        &self,
        state: &mut State,
        hard_state: HardState,
    ) -> Result<(), TransitionError> {
        state.set_hard_state(hard_state)?;
        self.state_changed.notify_all();
        Ok(())
    }
}

impl State {
    fn stale_term_error(&self, action: &str, term: Term) -> TransitionError {
        let message = format!(
            "can't {action} in term {term}: the server is in term {} and fenced for {}",
            self.hard_state.term, self.hard_state.fenced_term
        );
        TransitionError::StaleTerm(message.into())
    }
}
