//! Checks of a history against the invariants of a run. Each check returns the violations it found.

use crate::history::FinalState;
use crate::history::Op;
use crate::history::Outcome;
use crate::history::Record;
use crate::history::Timestamp;
use std::collections::BTreeMap;

endivereach_core::data! {
    /// The history of a run and the final state of each group.
    pub struct RunHistory {
        /// The records of all requests, in any order.
        pub records: Vec<Record>,
        /// The final state of each group, by the group's number.
        pub finals: Vec<FinalState>,
    }

    /// A violated invariant with the evidence for it.
    pub struct Violation {
        /// The invariant's number, such as `I2`, or `stale` for a read that was older than allowed.
        pub invariant: Box<str>,
        /// The request or the rows that show the violation.
        pub detail: Box<str>,
    }
}

fn violation(invariant: &str, detail: String) -> Violation {
    Violation {
        invariant: invariant.into(),
        detail: detail.into(),
    }
}

/// Runs every check and returns all violations.
pub fn all(run_history: &RunHistory) -> Vec<Violation> {
    let checks = [
        read_your_writes,
        acknowledged_writes_survive,
        pairs_are_atomic,
        answers_match,
        not_run_has_no_effect,
        at_most_once,
        aged_reads,
        latest_reads,
        cancelled_slots,
    ];
    checks.iter().flat_map(|check| check(run_history)).collect()
}

/// I1: a caller's read of its own counter includes every increment that was acknowledged to it
/// before.
pub fn read_your_writes(run_history: &RunHistory) -> Vec<Violation> {
    let mut violations = Vec::new();
    for records in by_caller(run_history).values() {
        let mut acknowledged = 0;
        for record in records {
            match (&record.op, &record.outcome) {
                (Op::Increment, Outcome::Done { .. }) => acknowledged += 1,
                (Op::ReadOwn, Outcome::Done { value }) if value.unwrap_or(0) < acknowledged => {
                    violations.push(violation(
                        "I1",
                        format!("{record:?} after {acknowledged} increments"),
                    ));
                }
                _ => {}
            }
        }
    }
    violations
}

/// I2: every acknowledged booking, registration and increment is in the final state.
pub fn acknowledged_writes_survive(run_history: &RunHistory) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in run_history.records.iter().filter(|record| record.is_done()) {
        let final_state = &run_history.finals[record.group];
        let found = match &record.op {
            Op::Book { id } => final_state.bookings.contains(id),
            Op::RegisterPair { pair } => final_state.pairs.contains_key(pair),
            _ => true,
        };
        if !found {
            violations.push(violation("I2", format!("lost: {record:?}")));
        }
    }
    for (key, tally) in tallies(run_history) {
        if tally.final_value < tally.acknowledged_count {
            violations.push(violation(
                "I2",
                format!("lost increments: {key:?} {tally:?}"),
            ));
        }
    }
    violations
}

/// I3: both rows of a pair exist, and both have the caller that inserted them as their holder.
pub fn pairs_are_atomic(run_history: &RunHistory) -> Vec<Violation> {
    let mut violations = Vec::new();
    for final_state in &run_history.finals {
        for (pair, holders) in &final_state.pairs {
            let expected_holder = pair.split('.').next().unwrap_or_default();
            if holders.len() != 2 || holders.iter().any(|holder| &**holder != expected_holder) {
                violations.push(violation("I3", format!("pair {pair} held by {holders:?}")));
            }
        }
    }
    violations
}

/// I4: no caller received the answer to another request.
pub fn answers_match(run_history: &RunHistory) -> Vec<Violation> {
    run_history
        .records
        .iter()
        .filter(|record| record.outcome == Outcome::Crossed)
        .map(|record| violation("I4", format!("{record:?}")))
        .collect()
}

/// I5: a booking or registration that was answered as not run isn't in the final state.
pub fn not_run_has_no_effect(run_history: &RunHistory) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in &run_history.records {
        if record.outcome != Outcome::NotRun {
            continue;
        }
        let final_state = &run_history.finals[record.group];
        let found = match &record.op {
            Op::Book { id } => final_state.bookings.contains(id),
            Op::RegisterPair { pair } => final_state.pairs.contains_key(pair),
            _ => false,
        };
        if found {
            violations.push(violation(
                "I5",
                format!("answered as not run, but took effect: {record:?}"),
            ));
        }
    }
    violations
}

/// I6: no increment took effect more than once, or although it was answered as not run.
pub fn at_most_once(run_history: &RunHistory) -> Vec<Violation> {
    tallies(run_history)
        .into_iter()
        .filter(|(_, tally)| tally.final_value > tally.acknowledged_count + tally.unknown_count)
        .map(|(key, tally)| violation("I6", format!("{key:?} {tally:?}")))
        .collect()
}

/// Maximum age: a read sees every tick that was acknowledged more than its maximum age before it
/// started.
pub fn aged_reads(run_history: &RunHistory) -> Vec<Violation> {
    tick_reads(run_history, |op| match op {
        Op::ReadAged { max_age } => Some(*max_age),
        _ => None,
    })
}

/// Latest: a read sees every tick that was acknowledged before it started.
pub fn latest_reads(run_history: &RunHistory) -> Vec<Violation> {
    tick_reads(run_history, |op| match op {
        Op::ReadLatest => Some(std::time::Duration::ZERO),
        _ => None,
    })
}

/// I10: no view shows a slot as free if the slot's cancellation was acknowledged before the view
/// started.
pub fn cancelled_slots(run_history: &RunHistory) -> Vec<Violation> {
    let mut cancelled: BTreeMap<(usize, &str), Timestamp> = BTreeMap::new();
    for record in run_history.records.iter().filter(|record| record.is_done()) {
        if let Op::Cancel { slot } = &record.op {
            cancelled.insert((record.group, slot), record.ended);
        }
    }
    let mut violations = Vec::new();
    for record in &run_history.records {
        let Outcome::Slots { free } = &record.outcome else {
            continue;
        };
        for slot in free {
            let at = cancelled.get(&(record.group, &**slot));
            if at.is_some_and(|at| *at < record.started) {
                violations.push(violation(
                    "I10",
                    format!(
                        "slot {slot} cancelled at {at:?}, shown free to caller {} at {:?}",
                        record.caller, record.started
                    ),
                ));
            }
        }
    }
    violations
}

/// The increments of a caller by their outcome, and the final value of its counter.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// Acknowledged increments.
    acknowledged_count: i64,
    /// Increments with an unknown outcome.
    unknown_count: i64,
    /// The counter in the final state.
    final_value: i64,
}

fn tallies(run_history: &RunHistory) -> BTreeMap<(usize, u32), Tally> {
    let mut tallies: BTreeMap<(usize, u32), Tally> = BTreeMap::new();
    for record in run_history.records.iter().filter(|r| r.op == Op::Increment) {
        let tally = tallies.entry((record.group, record.caller)).or_default();
        tally.acknowledged_count += i64::from(record.is_done());
        tally.unknown_count += i64::from(record.has_unknown_outcome());
    }
    for ((group, caller), tally) in &mut tallies {
        tally.final_value = run_history.finals[*group]
            .counters
            .get(caller)
            .copied()
            .unwrap_or(0);
    }
    tallies
}

fn by_caller(run_history: &RunHistory) -> BTreeMap<(usize, u32), Vec<&Record>> {
    let mut callers: BTreeMap<(usize, u32), Vec<&Record>> = BTreeMap::new();
    for record in &run_history.records {
        callers
            .entry((record.group, record.caller))
            .or_default()
            .push(record);
    }
    for records in callers.values_mut() {
        records.sort_by_key(|record| record.started);
    }
    callers
}

/// Checks that reads of the tick see the ticks that were acknowledged before `started - max_age`.
///
/// `max_age_of` returns the maximum age of a read to check, and `None` for other requests.
fn tick_reads(
    run_history: &RunHistory,
    max_age_of: impl Fn(&Op) -> Option<std::time::Duration>,
) -> Vec<Violation> {
    let ticks = acknowledged_ticks(run_history);
    let mut violations = Vec::new();
    for record in &run_history.records {
        let (Some(max_age), Outcome::Done { value }) = (max_age_of(&record.op), &record.outcome)
        else {
            continue;
        };
        let Some(visible_before) = record.started.0.checked_sub(max_age) else {
            continue;
        };
        let empty = Vec::new();
        let group_ticks = ticks.get(&record.group).unwrap_or(&empty);
        let before = group_ticks.partition_point(|tick| tick.acknowledged.0 < visible_before);
        let Some(tick) = before.checked_sub(1).map(|last| &group_ticks[last]) else {
            continue;
        };
        if value.unwrap_or(0) < tick.highest {
            violations.push(violation("stale", format!("{record:?} misses {tick:?}")));
        }
    }
    violations
}

/// The time of an acknowledged tick, and the highest value acknowledged up to that time.
#[derive(Clone, Copy, Debug)]
struct AcknowledgedTick {
    acknowledged: Timestamp,
    highest: i64,
}

fn acknowledged_ticks(run_history: &RunHistory) -> BTreeMap<usize, Vec<AcknowledgedTick>> {
    let mut ticks: BTreeMap<usize, Vec<AcknowledgedTick>> = BTreeMap::new();
    for record in run_history.records.iter().filter(|record| record.is_done()) {
        if let Op::Tick { value } = record.op {
            ticks
                .entry(record.group)
                .or_default()
                .push(AcknowledgedTick {
                    acknowledged: record.ended,
                    highest: value,
                });
        }
    }
    for ticks in ticks.values_mut() {
        ticks.sort_by_key(|tick| tick.acknowledged);
        let mut highest = i64::MIN;
        for tick in ticks {
            highest = highest.max(tick.highest);
            tick.highest = highest;
        }
    }
    ticks
}
