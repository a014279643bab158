//! The control calls to members that promotions and repairs make.

use super::attempt::ControlResult;
use super::group::Group;
use super::member::report;
use super::tasks::Task;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_core::promotion::Answer;
use endivereach_core::promotion::Call;
use endivereach_wire::http::CallError;
use endivereach_wire::member::MemberClient;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::member::REFUSAL_STALE_TERM;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// The timeout of one control call, long enough for TCP to retransmit one lost packet.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(250);

/// The delay before a control call is repeated.
const CONTROL_RETRY_DELAY: Duration = Duration::from_millis(30);

/// The maximum number of attempts of a `follow` call whose answers are lost.
const FOLLOW_ATTEMPTS_MAX: u32 = 4;

/// The operation that a control call requests.
pub(super) enum Operation {
    /// Makes the member refuse every lower term.
    Fence,
    /// Makes the member the primary of the term.
    Promote,
    /// Makes the member replicate from the given primary of the term.
    Follow(MemberId),
}

/// Where the result of a control call is sent.
pub(super) struct ReplyTo {
    pub(super) sender: mpsc::Sender<ControlResult>,
    pub(super) member: usize,
    pub(super) call: Call,
}

/// One control call to one member.
pub(super) struct ControlCall {
    pub(super) client: MemberClient,
    pub(super) term: Term,
    pub(super) operation: Operation,
    pub(super) reply_to: Option<ReplyTo>,
}

impl ControlCall {
    /// Makes the call and sends its result to the attempt, if there is one.
    pub(super) fn run(self) {
        let mut answer = self.call();
        let Some(reply) = self.reply_to else {
            // Without a replica the new primary can confirm no commit, so a lost call is repeated.
            for _ in 1..FOLLOW_ATTEMPTS_MAX {
                if answer != Answer::Lost {
                    return;
                }
                thread::sleep(CONTROL_RETRY_DELAY);
                answer = self.call();
            }
            return;
        };
        // The attempt repeats a lost call at once, so the delay is made here.
        if answer == Answer::Lost {
            thread::sleep(CONTROL_RETRY_DELAY);
        }
        // Sending fails if the attempt has already ended, and then the result is not needed.
        let _ = reply.sender.send(ControlResult {
            member: reply.member,
            call: reply.call,
            answer,
        });
    }
}

impl ControlCall {
    fn call(&self) -> Answer {
        let result = match &self.operation {
            Operation::Fence => self.client.fence(self.term, CONTROL_TIMEOUT),
            Operation::Promote => self.client.promote(self.term, CONTROL_TIMEOUT),
            Operation::Follow(primary) => self.client.follow(self.term, primary, CONTROL_TIMEOUT),
        };
        answer_from(result, self.term)
    }
}

/// Fences one member, and returns the end of its log.
///
/// # Errors
///
/// Returns the answer if it is not [`Answer::Done`].
pub(super) fn fence(client: &MemberClient, term: Term) -> Result<Position, Answer> {
    match answer_from(client.fence(term, CONTROL_TIMEOUT), term) {
        Answer::Done(end) => Ok(end),
        answer => Err(answer),
    }
}

fn answer_from(result: Result<MemberStatus, CallError>, term: Term) -> Answer {
    match result {
        Ok(status) => Answer::of(&report(&status), term),
        Err(error) if error.refusal_kind() == Some(REFUSAL_STALE_TERM) => Answer::Stale,
        Err(_) => Answer::Lost,
    }
}

impl Group {
    pub(super) fn submit_control(&self, call: ControlCall) {
        self.shared().workers.submit(Task::Control(call));
    }

    /// Queues a call that makes a member follow the primary of `term`.
    pub(super) fn submit_follow(&self, client: MemberClient, term: Term, primary: MemberId) {
        self.submit_control(ControlCall {
            client,
            term,
            operation: Operation::Follow(primary),
            reply_to: None,
        });
    }
}
