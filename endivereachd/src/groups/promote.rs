//! Watching a group's primary, and replacing it when the evidence is enough.

use super::directory::Update;
use super::group::Group;
use super::member::MemberState;
use super::state::State;
use super::tasks::Task;
use endivereach_core::event::Event;
use endivereach_core::grants;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_core::promotion::Action;
use endivereach_core::promotion::Answer;
use endivereach_core::promotion::Call;
use endivereach_core::promotion::Outcome;
use endivereach_core::promotion::Promoter;
use endivereach_core::suspicion::Evidence;
use endivereach_core::suspicion::Reach;
use endivereach_wire::http::CallError;
use endivereach_wire::member::MemberClient;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::member::REFUSAL_STALE_TERM;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long the holder of an earlier grant gets before the next one acts.
const TAKEOVER: Duration = Duration::from_millis(700);

/// How long the holders of standing grants get before a term is taken from the platform.
const FRESH_TERM_AFTER: Duration = Duration::from_millis(1500);

/// How much longer each further home waits before it takes a term from the platform.
const FRESH_TERM_STEP: Duration = Duration::from_millis(300);

/// How old a member's report may be to count as evidence.
const REPORT_AGE_MAX: Duration = Duration::from_millis(400);

/// How long members are asked often after a sign of trouble.
const CLOSE_LOOK: Duration = Duration::from_secs(2);

/// How long one control call of a promotion may take.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause before a control call is made again.
const CONTROL_PAUSE: Duration = Duration::from_millis(30);

/// How long an attempt may take.
const ATTEMPT_MAX: Duration = Duration::from_secs(3);

/// What this proxy knows and does about replacing a group's primary.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// When the evidence became enough, without a change since.
    suspected_since: Option<Instant>,
    /// Until when members are asked often.
    closely_until: Option<Instant>,
    /// The highest term seen anywhere, and when it was first seen.
    seen: Option<(Term, Instant)>,
    /// The highest term that this process has used.
    used_up_to: Term,
    /// Whether an attempt of this process is under way.
    running: bool,
    /// When a term was last asked for at the platform.
    asked_for_term_at: Option<Instant>,
}

impl Progress {
    pub(super) fn look_closely(&mut self, now: Instant) {
        self.closely_until = Some(now + CLOSE_LOOK);
    }

    pub(super) fn is_troubled(&self, now: Instant) -> bool {
        self.running || self.closely_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_running(&self) -> bool {
        self.running
    }

    /// Returns the highest term that this process has used.
    pub(super) fn used_up_to(&self) -> Term {
        self.used_up_to
    }

    /// Returns whether this process used `term`.
    pub(super) fn has_promoted_in(&self, term: Term) -> bool {
        self.used_up_to == term
    }

    pub(super) fn note_term(&mut self, now: Instant, term: Term) {
        if self.seen.is_none_or(|(known, _)| term > known) {
            self.seen = Some((term, now));
        }
    }

    /// Returns whether somebody else's attempt in a term above `term` may still be under way.
    fn is_someone_active(&self, now: Instant, term: Term) -> bool {
        self.seen
            .is_some_and(|(seen, at)| seen > term && now < at + TAKEOVER)
    }
}

/// What the watch over a primary decided.
enum Decision {
    Nothing,
    Use(Term),
    AskPlatform,
}

impl State {
    /// Collects the evidence against the primary. `None` without a primary to suspect.
    fn evidence(&self, now: Instant) -> Option<Evidence> {
        let primary = self.primary.as_ref()?;
        let reach = self.member(primary)?.reach(now);
        let counts = |m: &&MemberState| {
            let recent = m.answered_at.is_some_and(|at| now < at + REPORT_AGE_MAX);
            let follows = m.status.as_ref().is_some_and(|s| s.term == self.term);
            &m.member.id != primary && recent && follows
        };
        let silence = |m: &MemberState| {
            let silent_ms = m.status.as_ref().map(|s| s.primary_silent_ms);
            Duration::from_millis(silent_ms.unwrap_or_default())
        };
        Some(Evidence {
            members: self.members.len(),
            reach,
            silences: self.members.iter().filter(counts).map(silence).collect(),
        })
    }

    fn decide(&mut self, now: Instant, me: &endivereach_core::ids::ProxyId, rank: u32) -> Decision {
        let Some(since) = self.progress.suspected_since else {
            return Decision::Nothing;
        };
        if self.progress.running || self.progress.is_someone_active(now, self.term) {
            return Decision::Nothing;
        }
        let above = self.highest_term().max(self.progress.used_up_to);
        let waited = now.saturating_duration_since(since);
        if let Some(term) = grants::usable(&self.object.grants, me, above) {
            let earlier = grants::rank(&self.object.grants, me, above).unwrap_or_default();
            let due = waited >= TAKEOVER * earlier as u32;
            return if due {
                Decision::Use(term)
            } else {
                Decision::Nothing
            };
        }
        let standing = self.object.grants.iter().any(|grant| grant.term > above);
        let holders = if standing {
            FRESH_TERM_AFTER
        } else {
            Duration::ZERO
        };
        let pause = FRESH_TERM_STEP * (rank + 1);
        let asked = self.progress.asked_for_term_at;
        if waited < holders + FRESH_TERM_STEP * rank || asked.is_some_and(|at| now < at + pause) {
            return Decision::Nothing;
        }
        self.progress.asked_for_term_at = Some(now);
        Decision::AskPlatform
    }
}

/// Why a primary is being replaced.
#[derive(Clone, Debug)]
pub(super) struct Cause {
    pub(super) evidence: Box<str>,
    /// The silence that was seen when the evidence became enough.
    pub(super) noticed_after: Duration,
    pub(super) suspected_at: Instant,
    /// Members that should not lead.
    pub(super) avoid: Vec<MemberId>,
}

impl Group {
    /// Weighs the evidence against the primary, and acts when it is this proxy's turn.
    pub(super) fn watch_primary(&self, rank: u32) {
        let now = self.now();
        let mut state = self.state();
        let evidence = state.evidence(now);
        let refused = state.is_refused();
        let enough = refused || evidence.as_ref().is_some_and(Evidence::is_enough);
        if !enough {
            state.progress.suspected_since = None;
            if evidence.is_some_and(|e| !matches!(e.reach, Reach::Answers)) {
                state.progress.look_closely(now);
            }
            return;
        }
        let suspected_at = *state.progress.suspected_since.get_or_insert(now);
        state.progress.look_closely(now);
        let decision = state.decide(now, &self.context().id, rank);
        let cause = Cause {
            noticed_after: evidence
                .as_ref()
                .map_or(Duration::ZERO, Evidence::agreed_silence),
            evidence: match &evidence {
                Some(evidence) => evidence.describe(),
                None => "a majority refuses the primary's term, and no other was promoted".into(),
            },
            suspected_at,
            // A primary that is cut off from its group may well have the longest log.
            avoid: state
                .leaving()
                .into_iter()
                .chain(state.primary.clone())
                .collect(),
        };
        match decision {
            Decision::Nothing => {}
            Decision::Use(term) => {
                state.progress.used_up_to = term;
                state.progress.running = true;
                drop(state);
                self.start_attempt(term, cause);
            }
            Decision::AskPlatform => {
                state.progress.running = true;
                drop(state);
                let group = self.handle();
                let attempt = Attempt {
                    group,
                    term: None,
                    cause,
                };
                self.shared().workers.submit(Task::Promote(attempt));
            }
        }
    }

    pub(super) fn start_attempt(&self, term: Term, cause: Cause) {
        let group = self.handle();
        let attempt = Attempt {
            group,
            term: Some(term),
            cause,
        };
        self.shared().workers.submit(Task::Promote(attempt));
    }

    /// Takes a term from the platform by a conditional update, and returns it for use.
    pub(super) fn take_fresh_term(&self) -> Option<Term> {
        let shared = self.shared();
        let name = self.name().as_str();
        shared.directory.refresh(shared, name).ok()?;
        let (version, object) = self.object();
        let above = {
            let state = self.state();
            state.highest_term().max(state.progress.used_up_to)
        };
        let mut base = object;
        base.granted_up_to = base.granted_up_to.max(above);
        let (next, term) = grants::add(&base, &self.context().id);
        match shared.directory.update(shared, version, next) {
            Update::Stored => {
                self.state().progress.used_up_to = term;
                Some(term)
            }
            Update::Conflict | Update::Unknown => None,
        }
    }

    pub(super) fn record_phase(&self, term: Term, phase: &str, took: Duration) {
        self.context().events.record(Event::PromotionPhase {
            group: self.name().clone(),
            term,
            phase: phase.into(),
            took_ms: took.as_millis() as u64,
        });
    }
}

/// One attempt to replace a primary.
pub(super) struct Attempt {
    group: Arc<Group>,
    /// The term to use, or `None` when it must be taken from the platform first.
    term: Option<Term>,
    cause: Cause,
}

/// The end of a control call.
struct Ended {
    member: usize,
    call: Call,
    answer: Answer,
}

impl Attempt {
    /// Runs the attempt to its end.
    pub(super) fn run(self) {
        let group = Arc::clone(&self.group);
        let term = self.term.or_else(|| group.take_fresh_term());
        if let Some(term) = term {
            self.drive(term);
        }
        group.state().progress.running = false;
    }

    fn drive(&self, term: Term) {
        let group = &self.group;
        let started_at = group.now();
        let agreed = started_at.saturating_duration_since(self.cause.suspected_at);
        group.record_phase(term, "noticing", self.cause.noticed_after);
        group.record_phase(term, "agreeing", agreed);
        let members = group.control_clients();
        let is_avoided = |index: &usize| self.cause.avoid.contains(&members[*index].0);
        let all: Vec<usize> = (0..members.len()).collect();
        let avoid = all.iter().copied().filter(is_avoided).collect();
        let (mut promoter, mut actions) = Promoter::start(term, all, avoid);
        let (sender, ended) = mpsc::channel();
        let mut fenced_at = None;
        loop {
            if fenced_at.is_none() && promoter.is_promoting() {
                fenced_at = Some(group.now());
                group.record_phase(term, "fencing", group.now() - started_at);
            }
            for action in actions {
                match action {
                    Action::Call { call, member } => {
                        self.submit(term, call, member, &members, Some(sender.clone()));
                    }
                    Action::Follow { member, primary } => {
                        let leader = members[primary].0.clone();
                        self.submit_follow(term, &members[member], leader);
                    }
                    Action::Finish(outcome) => {
                        self.finish(term, outcome, &members, fenced_at);
                    }
                }
            }
            if promoter.is_finished() {
                return;
            }
            let left = (started_at + ATTEMPT_MAX).saturating_duration_since(group.now());
            actions = match ended.recv_timeout(left) {
                Ok(ended) => promoter.step(ended.member, ended.call, ended.answer),
                Err(_) => promoter.give_up(),
            };
        }
    }

    fn submit(
        &self,
        term: Term,
        call: Call,
        member: usize,
        members: &[(MemberId, MemberClient)],
        ended: Option<mpsc::Sender<Ended>>,
    ) {
        let request = match call {
            Call::Fence => Request::Fence,
            Call::Promote => Request::Promote,
        };
        self.group
            .shared()
            .workers
            .submit(Task::Control(ControlCall {
                group: Arc::clone(&self.group),
                client: members[member].1.clone(),
                term,
                request,
                ended: ended.map(|sender| Reply {
                    sender,
                    member,
                    call,
                }),
            }));
    }

    fn submit_follow(&self, term: Term, member: &(MemberId, MemberClient), primary: MemberId) {
        self.group
            .shared()
            .workers
            .submit(Task::Control(ControlCall {
                group: Arc::clone(&self.group),
                client: member.1.clone(),
                term,
                request: Request::Follow(primary),
                ended: None,
            }));
    }

    fn finish(
        &self,
        term: Term,
        outcome: Outcome<usize>,
        members: &[(MemberId, MemberClient)],
        fenced_at: Option<Instant>,
    ) {
        let group = &self.group;
        match outcome {
            Outcome::Promoted(member) => {
                let primary = &members[member].0;
                let since = fenced_at.unwrap_or_else(|| group.now());
                group.record_phase(term, "promoting", group.now() - since);
                if group.state().adopt(term, primary) {
                    group.record_primary(term, primary, &self.cause.evidence);
                }
                group.state().progress.suspected_since = None;
                group.notify();
            }
            Outcome::Overtaken => log::info!("{}: term {term} was overtaken", group.name()),
            Outcome::GaveUp => log::warn!("{}: promotion in term {term} failed", group.name()),
        }
    }
}

/// What a control call asks for.
enum Request {
    Fence,
    Promote,
    Follow(MemberId),
}

struct Reply {
    sender: mpsc::Sender<Ended>,
    member: usize,
    call: Call,
}

/// One control call to one member.
pub(super) struct ControlCall {
    group: Arc<Group>,
    client: MemberClient,
    term: Term,
    request: Request,
    ended: Option<Reply>,
}

impl ControlCall {
    /// Makes the call and hands its answer on.
    pub(super) fn run(self) {
        let result = match &self.request {
            Request::Fence => self.client.fence(self.term, CONTROL_TIMEOUT),
            Request::Promote => self.client.promote(self.term, CONTROL_TIMEOUT),
            Request::Follow(primary) => self.client.follow(self.term, primary, CONTROL_TIMEOUT),
        };
        let Some(reply) = self.ended else {
            if let Err(error) = result {
                log::debug!("{}: a member can't follow yet: {error}", self.group.name());
            }
            return;
        };
        let answer = read(result, self.term);
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

fn read(result: Result<MemberStatus, CallError>, term: Term) -> Answer {
    match result {
        Ok(status) => Answer::of(&super::member::report(&status), term),
        Err(error) if error.refusal_kind() == Some(REFUSAL_STALE_TERM) => Answer::Stale,
        Err(_) => Answer::Lost,
    }
}

impl Group {
    fn control_clients(&self) -> Vec<(MemberId, MemberClient)> {
        let state = self.state();
        let clients = state.members.iter();
        clients
            .map(|m| (m.member.id.clone(), m.client.clone()))
            .collect()
    }

    /// Tells a member to follow the current primary.
    pub(super) fn submit_follow(&self, member: MemberClient, term: Term, primary: MemberId) {
        self.shared().workers.submit(Task::Control(ControlCall {
            group: self.handle(),
            client: member,
            term,
            request: Request::Follow(primary),
            ended: None,
        }));
    }
}

impl State {
    fn leaving(&self) -> Vec<MemberId> {
        let leaving = self.members.iter().filter(|m| m.member.leaving);
        leaving.map(|m| m.member.id.clone()).collect()
    }
}
