//! The assembly of answers from a target's messages, also where one of them is cut off.

use endivereach_core::cases;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::SessionState;
use endivereach_front::answer_assembly::AnswerAssembly;
use endivereach_front::answer_assembly::Progress;
use endivereach_front::protocol::TargetMessage;

fn ready() -> TargetMessage {
    TargetMessage::Ready {
        state: SessionState::Idle,
        position: None,
    }
}

fn row() -> TargetMessage {
    TargetMessage::Row("row".into())
}

fn done() -> TargetMessage {
    TargetMessage::Done(Some("receipt".into()))
}

fn busy() -> TargetMessage {
    TargetMessage::Failed {
        failure: Failure::Busy,
        message: "server".into(),
    }
}

/// Guards against a write that is taken for refused: its answer is cut off after its outcome, and
/// the answer to a probe follows.
fn check_cut_off_answer_is_unreadable(messages: Vec<TargetMessage>) {
    let mut assembly = AnswerAssembly::default();
    assert_eq!(assembly.add(ready()), Progress::Opened);
    let progress = messages.into_iter().map(|message| assembly.add(message));
    let progress: Vec<Progress> = progress
        .take_while(|p| *p != Progress::Unreadable)
        .collect();
    assert!(
        progress.iter().all(|p| *p == Progress::Partial),
        "{progress:?}"
    );
}

cases! {
    check_cut_off_answer_is_unreadable;
    success_before_a_refusal: vec![done(), busy(), ready()];
    success_before_a_row: vec![row(), done(), row(), TargetMessage::Done(None), ready()];
    refusal_before_a_success: vec![busy(), done(), ready()];
    end_without_outcome: vec![row(), ready()];
    unreadable_message: vec![done(), TargetMessage::Unreadable];
}

#[test]
fn a_refused_connection_is_reported() {
    let mut assembly = AnswerAssembly::default();
    assert_eq!(assembly.add(busy()), Progress::Refused(Failure::Busy));
}

#[test]
fn answers_follow_each_other() {
    let mut assembly = AnswerAssembly::default();
    assembly.add(ready());
    for rows in [2, 0] {
        for _ in 0..rows {
            assert_eq!(assembly.add(row()), Progress::Partial);
        }
        assert_eq!(assembly.add(done()), Progress::Partial);
        let Progress::Answered(answer) = assembly.add(ready()) else {
            panic!("the answer isn't complete");
        };
        assert_eq!(answer.rows.len(), rows);
    }
}
