//! Rounds of status reports, from which read floors are computed. Concurrent reads share a round.

use super::group::Group;
use endivereach_core::confirm::Report;
use endivereach_core::floor::Round;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The minimum time between the starts of two rounds.
const ROUND_INTERVAL_MIN: Duration = Duration::from_micros(500);

/// The maximum number of open rounds. A further round discards the oldest.
const OPEN_ROUNDS_MAX: usize = 32;

/// How long a call waits for a round before it starts another one, in case an answer was lost.
const HEDGE_DELAY: Duration = Duration::from_millis(30);

struct OpenRound {
    id: u64,
    started_at: Instant,
    round: Round<MemberId>,
}

/// A round in which a majority answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompletedRound {
    pub(super) started_at: Instant,
    pub(super) floor: Position,
}

/// The rounds of one group.
#[derive(Default)]
pub(super) struct Rounds {
    open: VecDeque<OpenRound>,
    next_id: u64,
    started_at: Option<Instant>,
    completed: Option<CompletedRound>,
}

/// The next step of a call that waits for a floor.
enum NextStep {
    Return(Position),
    Start,
    Wait(Instant),
}

impl Rounds {
    /// Opens a round and returns its id.
    pub(super) fn start(&mut self, now: Instant, majority: usize) -> u64 {
        if self.open.len() == OPEN_ROUNDS_MAX {
            self.open.pop_front();
        }
        self.next_id += 1;
        self.started_at = Some(now);
        self.open.push_back(OpenRound {
            id: self.next_id,
            started_at: now,
            round: Round::new(majority),
        });
        self.next_id
    }

    /// Records a report, and returns the round if the report completes it.
    pub(super) fn record(&mut self, id: u64, report: Report<MemberId>) -> Option<CompletedRound> {
        let open = self.open.iter_mut().find(|open| open.id == id)?;
        open.round.record(report);
        let completed = CompletedRound {
            started_at: open.started_at,
            floor: open.round.floor()?,
        };
        // Every call that an earlier round could satisfy is satisfied by this one too.
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

    fn next(&self, arrived_at: Instant, now: Instant) -> NextStep {
        if let Some(completed) = self.completed
            && completed.started_at >= arrived_at
        {
            return NextStep::Return(completed.floor);
        }
        match self.started_at {
            Some(started) if started >= arrived_at && now < started + HEDGE_DELAY => {
                NextStep::Wait(started + HEDGE_DELAY)
            }
            Some(started) if now < started + ROUND_INTERVAL_MIN => {
                NextStep::Wait(started + ROUND_INTERVAL_MIN)
            }
            _ => NextStep::Start,
        }
    }
}

impl Group {
    /// Returns a position that includes every commit acknowledged to any caller before this call,
    /// or `None` if the deadline passes first. Concurrent calls share one round.
    pub fn read_floor(&self, deadline: Instant) -> Option<Position> {
        let arrived_at = self.now();
        self.record_use(arrived_at);
        let mut state = self.state();
        loop {
            let now = self.now();
            match state.rounds.next(arrived_at, now) {
                NextStep::Return(floor) => return Some(floor),
                _ if now >= deadline => return None,
                NextStep::Start => {
                    drop(state);
                    self.start_round();
                    state = self.state();
                }
                NextStep::Wait(until) => {
                    let wait = until.min(deadline).saturating_duration_since(now);
                    state = self.wait(state, wait);
                }
            }
        }
    }

    /// Returns a position: a server that has applied it returns data at most `max_age` old. Returns
    /// `None` if there is no sufficiently recent sample. Ages are measured only by this proxy's
    /// monotonic clock.
    pub fn age_floor(&self, max_age: Duration) -> Option<Position> {
        let now = self.now();
        self.state().age_samples.floor(now, max_age)
    }

    /// Opens a round and queues a status call to every member for it.
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
