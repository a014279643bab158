//! Rounds of status reports that read floors come from, shared by the calls that wait.

use super::group::Group;
use endivereach_core::confirm::Report;
use endivereach_core::floor::Round;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The shortest time between the starts of two rounds.
const SPACING: Duration = Duration::from_micros(500);

/// How many rounds may be open.
const OPEN_MAX: usize = 32;

/// When a call that waits for a round starts another, in case an answer was lost.
const HEDGE_AFTER: Duration = Duration::from_millis(30);

struct Open {
    id: u64,
    started_at: Instant,
    round: Round<MemberId>,
}

/// A round that found a floor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completed {
    pub(super) started_at: Instant,
    pub(super) floor: Position,
}

/// The rounds of one group.
#[derive(Default)]
pub(super) struct Rounds {
    open: VecDeque<Open>,
    next_id: u64,
    started_at: Option<Instant>,
    completed: Option<Completed>,
}

/// What a call that waits for a floor does next.
enum Next {
    Return(Position),
    Start,
    Wait(Instant),
}

impl Rounds {
    /// Opens a round and returns its number.
    pub(super) fn start(&mut self, now: Instant, majority: usize) -> u64 {
        if self.open.len() == OPEN_MAX {
            self.open.pop_front();
        }
        self.next_id += 1;
        self.started_at = Some(now);
        self.open.push_back(Open {
            id: self.next_id,
            started_at: now,
            round: Round::new(majority),
        });
        self.next_id
    }

    /// Takes an answer in, and returns the floor that it completes.
    pub(super) fn record(&mut self, id: u64, report: Report<MemberId>) -> Option<Completed> {
        let open = self.open.iter_mut().find(|open| open.id == id)?;
        open.round.record(report);
        let completed = Completed {
            started_at: open.started_at,
            floor: open.round.floor()?,
        };
        // A round that began earlier serves nobody whom this one doesn't serve.
        self.open
            .retain(|open| open.started_at > completed.started_at);
        if self
            .completed
            .is_none_or(|last| last.started_at < completed.started_at)
        {
            self.completed = Some(completed);
        }
        Some(completed)
    }

    fn next(&self, arrived_at: Instant, now: Instant) -> Next {
        if let Some(completed) = self.completed
            && completed.started_at >= arrived_at
        {
            return Next::Return(completed.floor);
        }
        match self.started_at {
            Some(started) if started >= arrived_at && now < started + HEDGE_AFTER => {
                Next::Wait(started + HEDGE_AFTER)
            }
            Some(started) if now < started + SPACING => Next::Wait(started + SPACING),
            _ => Next::Start,
        }
    }
}

impl Group {
    /// Returns a position that includes everything acknowledged to anyone before this call, or
    /// `None` when the deadline passes first. Calls that wait at the same time share one round.
    pub fn read_floor(&self, deadline: Instant) -> Option<Position> {
        let arrived_at = self.now();
        self.note_demand(arrived_at);
        let mut state = self.state();
        loop {
            let now = self.now();
            match state.rounds.next(arrived_at, now) {
                Next::Return(floor) => return Some(floor),
                _ if now >= deadline => return None,
                Next::Start => {
                    drop(state);
                    self.start_round();
                    state = self.state();
                }
                Next::Wait(until) => {
                    let wait = until.min(deadline).saturating_duration_since(now);
                    state = self.wait(state, wait);
                }
            }
        }
    }

    /// Returns a position such that any state including it is at most `max_age` old, or `None` when
    /// no recent enough sample is known. Ages are measured by this proxy's monotonic clock alone.
    pub fn age_floor(&self, max_age: Duration) -> Option<Position> {
        let now = self.now();
        self.state().ages.floor(now, max_age)
    }

    /// Asks every member for its status, for a new round.
    pub(super) fn start_round(&self) {
        let now = self.now();
        let mut state = self.state();
        let majority = state.object.majority();
        let round = state.rounds.start(now, majority);
        let members = state.callable_members();
        drop(state);
        for member in members {
            self.submit_status(member, Some(round));
        }
    }
}
