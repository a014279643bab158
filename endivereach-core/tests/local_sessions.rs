//! Sessions that a process served itself during a partition, after the partition has healed.

use endivereach_core::directory::Vm;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::local_sessions::LocalSessions;
use endivereach_core::local_sessions::SessionHomes;
use std::time::Duration;
use std::time::Instant;

fn home(name: &str) -> Vm {
    Vm {
        name: name.into(),
        region: "coast".into(),
        zone: "north".into(),
        peer_addr: ([10, 0, 0, 1], 7440).into(),
        sql_addr: ([10, 0, 0, 1], 8784).into(),
        leaving: false,
    }
}

fn group() -> SessionHomes {
    SessionHomes::Group("ledger".into())
}

/// Returns a process with `count` sessions that no home accepted.
fn sessions(now: Instant, count: u64) -> LocalSessions {
    let mut sessions = LocalSessions::new(now);
    for number in 1..=count {
        sessions.insert(CallerId::new(number), group());
    }
    sessions
}

/// Returns how many sessions are returned within `duration`.
fn returned_within(
    sessions: &mut LocalSessions,
    now: Instant,
    duration: Duration,
    homes: &[Vm],
) -> usize {
    let steps = duration.as_millis() / 25;
    let times = (0..steps as u32).map(|step| now + Duration::from_millis(25) * step);
    times
        .filter_map(|at| sessions.next_return(at, |_| homes, |_| true))
        .count()
}

#[test]
fn sessions_stay_while_no_home_accepts_any() {
    let now = Instant::now();
    let mut sessions = sessions(now, 3);
    let homes = [home("front-1")];
    assert_eq!(
        returned_within(&mut sessions, now, Duration::from_secs(5), &homes),
        0
    );
}

#[test]
fn a_home_of_another_group_shows_nothing() {
    let now = Instant::now();
    let mut sessions = sessions(now, 3);
    sessions.record_acceptance(now, &"front-9".into());
    let homes = [home("front-1")];
    assert_eq!(
        returned_within(&mut sessions, now, Duration::from_secs(5), &homes),
        0
    );
}

/// Load: a partition heals, and a process has many sessions that belong to homes. They return over
/// seconds, not all at once.
#[test]
fn sessions_return_one_after_the_other() {
    let now = Instant::now();
    let mut sessions = sessions(now, 100);
    let homes = [home("front-1")];
    sessions.record_acceptance(now, &homes[0].name);
    let returned = returned_within(&mut sessions, now, Duration::from_secs(1), &homes);
    assert!((3..=6).contains(&returned), "{returned} in a second");
}

#[test]
fn a_session_in_use_is_not_disconnected() {
    let now = Instant::now();
    let mut sessions = sessions(now, 2);
    let homes = [home("front-1")];
    sessions.record_acceptance(now, &homes[0].name);
    let is_idle = |caller: CallerId| caller == CallerId::new(2);
    let returned = sessions.next_return(now, |_| &homes, is_idle);
    assert_eq!(returned, Some(CallerId::new(2)));
    let later = now + Duration::from_secs(1);
    assert_eq!(sessions.next_return(later, |_| &homes, is_idle), None);
}
