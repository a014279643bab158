//! Every check detects a history that violates its invariant, and accepts histories that don't.

use endivereach_core::cases;
use endivereach_lab::checks;
use endivereach_lab::checks::RunHistory;
use endivereach_lab::checks::Violation;
use endivereach_lab::history::FinalState;
use endivereach_lab::history::Op;
use endivereach_lab::history::Outcome;
use endivereach_lab::history::Record;
use endivereach_lab::history::Timestamp;
use std::time::Duration;

fn record(start_ms: u64, op: Op, outcome: Outcome) -> Record {
    Record {
        caller: 1,
        group: 0,
        proxy: 0,
        op,
        started: Timestamp(Duration::from_millis(start_ms)),
        ended: Timestamp(Duration::from_millis(start_ms + 5)),
        outcome,
    }
}

fn done(value: i64) -> Outcome {
    Outcome::Done { value: Some(value) }
}

fn book() -> Op {
    Op::Book { id: "b1".into() }
}

fn pair() -> Op {
    Op::RegisterPair { pair: "1.7".into() }
}

fn cancel() -> Op {
    Op::Cancel { slot: "s1".into() }
}

fn free_slot() -> Outcome {
    Outcome::Slots {
        free: vec!["s1".into()],
    }
}

fn aged(ms: u64) -> Op {
    Op::ReadAged {
        max_age: Duration::from_millis(ms),
    }
}

fn state(counter: i64, bookings: &[&str], holders: &[&str]) -> FinalState {
    let mut final_state = FinalState::default();
    final_state.counters.insert(1, counter);
    final_state.bookings = bookings.iter().map(|&id| id.into()).collect();
    if !holders.is_empty() {
        let holders = holders.iter().map(|&holder| holder.into()).collect();
        final_state.pairs.insert("1.7".into(), holders);
    }
    final_state
}

type Check = fn(&RunHistory) -> Vec<Violation>;

fn check_detects(check: Check, records: Vec<Record>, final_state: FinalState) {
    let run_history = RunHistory {
        records,
        finals: vec![final_state],
    };
    assert!(
        !check(&run_history).is_empty(),
        "no violation was found in {run_history:?}"
    );
}

fn check_passes(records: Vec<Record>, final_state: FinalState) {
    let run_history = RunHistory {
        records,
        finals: vec![final_state],
    };
    assert_eq!(checks::all(&run_history), []);
}

cases! {
    check_detects;
    own_increment_missing: checks::read_your_writes, vec![record(0, Op::Increment, done(1)), record(10, Op::ReadOwn, done(0))], state(1, &[], &[]);
    booking_lost: checks::acknowledged_writes_survive, vec![record(0, book(), done(1))], state(0, &[], &[]);
    increment_lost: checks::acknowledged_writes_survive, vec![record(0, Op::Increment, done(1))], state(0, &[], &[]);
    registration_lost: checks::acknowledged_writes_survive, vec![record(0, pair(), done(1))], state(0, &[], &[]);
    half_a_pair: checks::pairs_are_atomic, vec![], state(0, &[], &["1"]);
    pair_of_two_callers: checks::pairs_are_atomic, vec![], state(0, &[], &["1", "2"]);
    crossed_answer: checks::answers_match, vec![record(0, Op::ReadOwn, Outcome::Crossed)], state(0, &[], &[]);
    not_run_but_found: checks::not_run_has_no_effect, vec![record(0, book(), Outcome::NotRun)], state(0, &["b1"], &[]);
    increment_doubled: checks::at_most_once, vec![record(0, Op::Increment, done(1))], state(2, &[], &[]);
    increment_not_run_but_counted: checks::at_most_once, vec![record(0, Op::Increment, Outcome::NotRun)], state(1, &[], &[]);
    aged_read_too_old: checks::aged_reads, vec![record(0, Op::Tick { value: 3 }, done(1)), record(1100, aged(1000), done(2))], state(0, &[], &[]);
    latest_read_too_old: checks::latest_reads, vec![record(0, Op::Tick { value: 3 }, done(1)), record(10, Op::ReadLatest, done(2))], state(0, &[], &[]);
    cancelled_slot_free: checks::cancelled_slots, vec![record(0, cancel(), done(1)), record(10, Op::ViewFree, free_slot())], state(0, &[], &[]);
}

cases! {
    check_passes;
    unknown_increment_found: vec![record(0, Op::Increment, Outcome::Unknown)], state(1, &[], &[]);
    unknown_increment_absent: vec![record(0, Op::Increment, Outcome::Broken)], state(0, &[], &[]);
    acknowledged_booking_found: vec![record(0, book(), done(1))], state(0, &["b1"], &[]);
    whole_pair: vec![record(0, pair(), done(1))], state(0, &[], &["1", "1"]);
    aged_read_within_its_age: vec![record(0, Op::Tick { value: 3 }, done(1)), record(900, aged(1000), done(2))], state(0, &[], &[]);
    view_that_began_before_the_cancellation: vec![record(0, Op::ViewFree, free_slot()), record(0, cancel(), done(1))], state(0, &[], &[]);
    increment_after_a_read: vec![record(0, Op::ReadOwn, done(0)), record(10, Op::Increment, done(1)), record(20, Op::ReadOwn, done(1))], state(1, &[], &[]);
}

#[test]
fn a_gap_is_the_longest_time_without_an_acknowledged_write() {
    let write = |ms: u64| record(ms, Op::Increment, done(1));
    let run_history = RunHistory {
        records: vec![write(0), write(100), write(900), write(950)],
        finals: vec![state(4, &[], &[])],
    };
    let gaps = endivereach_lab::summary::write_gaps(&run_history, Timestamp(Duration::ZERO));
    assert_eq!(gaps[0].gap_ms, 800);
}
