//! Tests of the position that a session's reads require.

use endivereach_core::ids::Position;
use endivereach_core::session::Requirement;
use endivereach_core::session::SessionPosition;
use endivereach_core::treatment::Freshness;
use endivereach_core::treatment::Treatment;
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Event {
    CommittedHere(u64),
    CommittedElsewhere(u64),
    Floor(u64),
    Token(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    (0..4u8, 1..100u64).prop_map(|(kind, index)| match kind {
        0 => Event::CommittedHere(index),
        1 => Event::CommittedElsewhere(index),
        2 => Event::Floor(index),
        _ => Event::Token(index),
    })
}

fn session_read() -> Treatment {
    Treatment {
        freshness: Freshness::Session,
        hide_cancelled_slots: false,
        ..Treatment::strictest()
    }
}

proptest! {
    /// A named session commits through this proxy and through others. Its tokens include all
    /// commits.
    #[test]
    fn a_required_position_includes_the_sessions_commits(
        has_name in any::<bool>(),
        events in prop::collection::vec(any_event(), 0..20),
    ) {
        let mut session = SessionPosition::new(has_name);
        let mut last_commit = 0;
        let mut token_shown = false;
        for event in events {
            match event {
                Event::CommittedHere(index) => {
                    last_commit = last_commit.max(index);
                    session.observe_commit(Position::new(1, index));
                }
                // Only a named session has other connections. A caller that uses tokens presents a
                // new one after each commit through another proxy.
                Event::CommittedElsewhere(index) if has_name => {
                    last_commit = last_commit.max(index);
                    if token_shown {
                        session.observe_token(Position::new(1, last_commit));
                    }
                }
                Event::CommittedElsewhere(_) => {}
                Event::Floor(index) => {
                    session.observe_floor(Position::new(1, last_commit.max(index)));
                }
                Event::Token(index) => {
                    token_shown = true;
                    session.observe_token(Position::new(1, last_commit.max(index)));
                }
            }
            match session.requirement(&session_read()) {
                Requirement::Floor => {}
                Requirement::AtLeast(position) => {
                    prop_assert!(position >= Position::new(1, last_commit));
                }
                Requirement::Age { .. } => prop_assert!(false, "a session read requires an age"),
            }
        }
    }
}

#[test]
fn hiding_cancelled_slots_requires_a_floor_for_any_freshness() {
    let treatment = Treatment {
        hide_cancelled_slots: true,
        ..session_read()
    };
    let mut session = SessionPosition::new(false);
    session.observe_token(Position::new(1, 5));
    assert_eq!(session.requirement(&treatment), Requirement::Floor);
}

#[test]
fn a_named_session_without_a_token_requires_a_floor() {
    let mut session = SessionPosition::new(true);
    session.observe_floor(Position::new(1, 5));
    session.observe_commit(Position::new(1, 6));
    assert_eq!(session.requirement(&session_read()), Requirement::Floor);
}
