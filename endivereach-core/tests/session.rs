//! What a session's reads must include, whichever way its positions become known.

use endivereach_core::ids::Position;
use endivereach_core::session::Requirement;
use endivereach_core::session::SessionPosition;
use endivereach_core::treatment::Freshness;
use endivereach_core::treatment::Treatment;
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Happened {
    CommittedHere(u64),
    CommittedElsewhere(u64),
    Floor(u64),
    Token(u64),
}

fn happened() -> impl Strategy<Value = Happened> {
    (0..4u8, 1..100u64).prop_map(|(kind, index)| match kind {
        0 => Happened::CommittedHere(index),
        1 => Happened::CommittedElsewhere(index),
        2 => Happened::Floor(index),
        _ => Happened::Token(index),
    })
}

fn in_session() -> Treatment {
    Treatment {
        freshness: Freshness::Session,
        hide_cancelled: false,
        ..Treatment::strictest()
    }
}

proptest! {
    /// A named session commits here and elsewhere; tokens, when shown, include all of them.
    #[test]
    fn a_required_position_includes_the_sessions_commits(
        named in any::<bool>(),
        steps in prop::collection::vec(happened(), 0..20),
    ) {
        let mut session = SessionPosition::new(named);
        let mut last_commit = 0;
        let mut token_shown = false;
        for step in steps {
            match step {
                Happened::CommittedHere(index) => {
                    last_commit = last_commit.max(index);
                    session.observe_commit(Position::new(1, index));
                }
                // Only a named session has other connections, and with a token the caller shows
                // each commit made elsewhere.
                Happened::CommittedElsewhere(index) if named => {
                    last_commit = last_commit.max(index);
                    if token_shown {
                        session.observe_token(Position::new(1, last_commit));
                    }
                }
                Happened::CommittedElsewhere(_) => {}
                Happened::Floor(index) => {
                    session.observe_floor(Position::new(1, last_commit.max(index)));
                }
                Happened::Token(index) => {
                    token_shown = true;
                    session.observe_token(Position::new(1, last_commit.max(index)));
                }
            }
            match session.requirement(&in_session()) {
                Requirement::Floor => {}
                Requirement::AtLeast(position) => {
                    prop_assert!(position >= Position::new(1, last_commit));
                }
                Requirement::Age { .. } => prop_assert!(false, "a session read got an age"),
            }
        }
    }
}

#[test]
fn a_cancelled_slot_is_hidden_by_a_floor_whatever_the_freshness() {
    let treatment = Treatment {
        hide_cancelled: true,
        ..in_session()
    };
    let mut session = SessionPosition::new(false);
    session.observe_token(Position::new(1, 5));
    assert_eq!(session.requirement(&treatment), Requirement::Floor);
}

#[test]
fn a_name_alone_never_makes_a_session_known() {
    let mut session = SessionPosition::new(true);
    session.observe_floor(Position::new(1, 5));
    session.observe_commit(Position::new(1, 6));
    assert_eq!(session.requirement(&in_session()), Requirement::Floor);
}
