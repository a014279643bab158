//! The control calls of promotions and repairs.

use super::attempt::Ended;
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

/// How long one control call may take. A lost packet is repeated within it.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause before a control call is made again.
const CONTROL_PAUSE: Duration = Duration::from_millis(30);

/// How often a member is told to follow when its answers are lost.
const FOLLOW_ATTEMPTS: u32 = 4;

/// What a control call asks for.
pub(super) enum Request {
    /// Refuse every lower term.
    Fence,
    /// Lead in the term.
    Promote,
    /// Follow the named primary of the term.
    Follow(MemberId),
}

/// Where the end of a control call is reported.
pub(super) struct Reply {
    pub(super) sender: mpsc::Sender<Ended>,
    pub(super) member: usize,
    pub(super) call: Call,
}

/// One control call to one member.
pub(super) struct ControlCall {
    pub(super) client: MemberClient,
    pub(super) term: Term,
    pub(super) request: Request,
    pub(super) ended: Option<Reply>,
}

impl ControlCall {
    /// Makes the call and hands its answer on.
    pub(super) fn run(self) {
        let mut answer = self.call();
        let Some(reply) = self.ended else {
            // Without a follower the new primary confirms nothing, so a lost call is made again.
            for _ in 1..FOLLOW_ATTEMPTS {
                if answer != Answer::Lost {
                    return;
                }
                thread::sleep(CONTROL_PAUSE);
                answer = self.call();
            }
            return;
        };
        if answer == Answer::Lost {
            thread::sleep(CONTROL_PAUSE);
        }
        // The attempt may have ended meanwhile.
        let _ = reply.sender.send(Ended {
            member: reply.member,
            call: reply.call,
            answer,
        });
    }
}

impl ControlCall {
    fn call(&self) -> Answer {
        let result = match &self.request {
            Request::Fence => self.client.fence(self.term, CONTROL_TIMEOUT),
            Request::Promote => self.client.promote(self.term, CONTROL_TIMEOUT),
            Request::Follow(primary) => self.client.follow(self.term, primary, CONTROL_TIMEOUT),
        };
        read(result, self.term)
    }
}

/// Fences one member, and returns where its log ends.
///
/// # Errors
///
/// Returns the answer that isn't one of success.
pub(super) fn fence(client: &MemberClient, term: Term) -> Result<Position, Answer> {
    match read(client.fence(term, CONTROL_TIMEOUT), term) {
        Answer::Done(end) => Ok(end),
        answer => Err(answer),
    }
}

fn read(result: Result<MemberStatus, CallError>, term: Term) -> Answer {
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

    /// Tells a member to follow the primary of `term`.
    pub(super) fn submit_follow(&self, client: MemberClient, term: Term, primary: MemberId) {
        self.submit_control(ControlCall {
            client,
            term,
            request: Request::Follow(primary),
            ended: None,
        });
    }
}
