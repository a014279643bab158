//! A model of one group: three servers, two promoters, and a proxy that confirms commits and
//! determines read floors.
//!
//! The promoters, the tracker and the rounds are the daemon's own code. The model adds the servers,
//! which follow the contract of their control calls, and a network that delivers a call at any
//! later time, even after the promoter has treated its answer as lost. Pauses and partitions are
//! modelled as calls and log entries that are delivered late or never. The promoter receives an
//! answer at once, because every event between an answer and the next call can also happen before
//! that call arrives.

use super::explore::Model;
use endivereach_core::confirm::CommitStatus;
use endivereach_core::confirm::CommitTracker;
use endivereach_core::confirm::Report;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::TermGrant;
use endivereach_core::floor::Round;
use endivereach_core::grants;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::LogIndex;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use endivereach_core::promotion::Action;
use endivereach_core::promotion::Answer;
use endivereach_core::promotion::Call;
use endivereach_core::promotion::Promoter;
use std::collections::BTreeSet;

/// The number of servers in the group.
const SERVERS: usize = 3;

/// A bug seeded into one safety check, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// The promoter counts a member as fenced without having fenced it.
    FenceMinority,
    /// The promoter promotes a fenced member whose log is not the longest.
    PromoteShortestLog,
    /// After a lost answer the promoter promotes another member.
    PromoteElsewhereAfterLoss,
    /// A restarted promoter uses the term grant of its previous process.
    ReuseGrantAfterRestart,
    /// A commit counts as confirmed once the primary alone has it.
    ConfirmAlone,
    /// A report counts regardless of the member's term.
    ConfirmAcrossTerms,
    /// A floor is determined from the answer of a single member.
    FloorFromMinority,
    /// A read uses a round that started before the read arrived.
    FloorFromBefore,
    /// A server appends entries although it is fenced.
    ServerIgnoresFence,
    /// A server accepts a late promotion and lowers its fence to that promotion's term.
    ServerDropsFence,
}

/// One server of the group.
#[derive(Clone, Debug, Hash)]
struct Server {
    is_primary: bool,
    term: Term,
    fenced: Term,
    /// The term of each log entry.
    log: Vec<Term>,
}

impl Server {
    fn durable(&self) -> Position {
        Position {
            term: self.log.last().copied().unwrap_or_default(),
            index: LogIndex::new(self.log.len() as u64),
        }
    }

    fn report(&self, member: usize) -> Report<usize> {
        Report {
            member,
            is_primary: self.is_primary,
            term: self.term,
            fenced_term: self.fenced,
            durable: self.durable(),
        }
    }

    fn has_entry(&self, position: Position) -> bool {
        let index = position.index.get() as usize;
        self.log.get(index - 1) == Some(&position.term)
    }
}

/// A request in transit to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    promoter: usize,
    term: Term,
    member: usize,
    request: Request,
    /// Whether the promoter has treated the answer as lost.
    lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Request {
    Call(Call),
    Follow(usize),
}

/// An entry that the primary appended.
#[derive(Clone, Debug, Hash)]
struct Commit {
    position: Position,
    acknowledged: bool,
}

/// A read that is waiting for its floor.
#[derive(Clone, Debug, Hash)]
struct Read {
    round: Round<usize>,
    /// The position of the newest commit acknowledged before the read arrived.
    must_include: Position,
}

/// The remaining number of times that each limited event may happen.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Budget {
    pub commits: u8,
    pub losses: u8,
    pub restarts: u8,
    pub reads: u8,
}

/// A state of the model.
#[derive(Clone, Debug, Hash)]
pub struct ModelState {
    servers: Vec<Server>,
    promoters: Vec<Option<Promoter<usize>>>,
    incarnations: Vec<u64>,
    used_terms: Vec<Term>,
    messages: BTreeSet<Message>,
    commits: Vec<Commit>,
    tracker: CommitTracker<usize>,
    read: Option<Read>,
    budget: Budget,
    /// Every term with a server that was primary in it, to detect two primaries in one term.
    leaders: Vec<(Term, usize)>,
    stale_read: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The server appends an entry for a commit.
    Commit(usize),
    /// The second server copies the log of the first.
    Replicate(usize, usize),
    /// The proxy receives a report of the server.
    Report(usize),
    /// The promoter starts a promotion.
    Start(usize),
    /// The promoter's process is replaced by a new one.
    Restart(usize),
    /// A message is delivered to its server.
    Deliver(usize),
    /// The promoter treats an answer as lost. The call may still be delivered.
    Lose(usize),
    /// A read arrives and starts a round.
    Read,
    /// A read arrives and uses the round in progress.
    Join,
    /// The server answers the round in progress.
    Answer(usize),
}

/// The model of the protocol, with at most one seeded bug.
pub struct Protocol {
    pub bug: Option<Bug>,
    pub budget: Budget,
}

impl Protocol {
    fn has_bug(&self, bug: Bug) -> bool {
        self.bug == Some(bug)
    }

    fn id(&self, promoter: usize, incarnation: u64) -> ProxyId {
        let incarnation = match self.has_bug(Bug::ReuseGrantAfterRestart) {
            true => 0,
            false => incarnation,
        };
        ProxyId {
            name: ["a", "b"][promoter].into(),
            incarnation: Incarnation::new(incarnation),
        }
    }

    /// Returns the term grants: term 2 for the first promoter and term 3 for the second.
    fn grants(&self) -> [TermGrant; 2] {
        [0, 1].map(|promoter| TermGrant {
            term: Term::new(2 + promoter as u64),
            holder: self.id(promoter, 0),
        })
    }

    fn usable_term(&self, state: &ModelState, promoter: usize) -> Option<Term> {
        let own_id = self.id(promoter, state.incarnations[promoter]);
        grants::lowest_usable_term(&self.grants(), &own_id, state.used_terms[promoter])
    }

    fn send(&self, state: &mut ModelState, promoter: usize, actions: Vec<Action<usize>>) {
        let Some(term) = state.promoters[promoter].as_ref().map(Promoter::term) else {
            return;
        };
        for action in actions {
            let (member, request) = match action {
                Action::Call { call, member } => (member, Request::Call(call)),
                Action::Follow { member, primary } => (member, Request::Follow(primary)),
                Action::Finish(_) => continue,
            };
            let member = match request {
                Request::Call(Call::Promote) => {
                    self.promotion_member(state, promoter, term, member)
                }
                _ => member,
            };
            state.messages.insert(Message {
                promoter,
                term,
                member,
                request,
                lost: false,
            });
        }
    }

    /// Returns the member to promote, which is `chosen` unless a seeded bug changes it.
    fn promotion_member(
        &self,
        state: &ModelState,
        promoter: usize,
        term: Term,
        chosen: usize,
    ) -> usize {
        let fenced = (0..SERVERS).filter(|candidate| state.servers[*candidate].fenced == term);
        if self.has_bug(Bug::PromoteShortestLog) {
            let shortest = fenced.min_by_key(|candidate| state.servers[*candidate].durable());
            return shortest.unwrap_or(chosen);
        }
        let promote_in_flight = state.messages.iter().any(|message| {
            message.promoter == promoter && message.request == Request::Call(Call::Promote)
        });
        if self.has_bug(Bug::PromoteElsewhereAfterLoss) && promote_in_flight {
            let other = (0..SERVERS)
                .find(|candidate| *candidate != chosen && state.servers[*candidate].fenced == term);
            return other.unwrap_or(chosen);
        }
        chosen
    }

    fn start(&self, state: &mut ModelState, promoter: usize) {
        let Some(term) = self.usable_term(state, promoter) else {
            return;
        };
        state.used_terms[promoter] = term;
        let members = (0..SERVERS).collect();
        let (mut started, mut actions) = Promoter::start(term, members, Vec::new());
        if self.has_bug(Bug::FenceMinority) {
            actions.extend(started.step(0, Call::Fence, Answer::Done(Position::default())));
        }
        state.promoters[promoter] = Some(started);
        self.send(state, promoter, actions);
    }

    fn deliver(&self, state: &mut ModelState, message: Message) {
        state.messages.remove(&message);
        let answer = self.handle_request(state, message);
        let Request::Call(call) = message.request else {
            return;
        };
        let current = state.promoters[message.promoter].as_mut();
        let Some(promoter) = current.filter(|p| p.term() == message.term && !message.lost) else {
            return;
        };
        let actions = promoter.step(message.member, call, answer);
        self.send(state, message.promoter, actions);
    }

    /// Applies a request to its server and returns the server's answer.
    fn handle_request(&self, state: &mut ModelState, message: Message) -> Answer {
        let term = message.term;
        let server = &mut state.servers[message.member];
        match message.request {
            Request::Call(Call::Fence) => {
                if server.fenced > term || server.term >= term {
                    return Answer::Stale;
                }
                server.fenced = term;
            }
            Request::Call(Call::Promote) => {
                if server.fenced != term && !self.has_bug(Bug::ServerDropsFence) {
                    return Answer::Stale;
                }
                server.fenced = term;
                server.is_primary = true;
                server.term = term;
                state.leaders.push((term, message.member));
                state.leaders.sort_unstable();
                state.leaders.dedup();
            }
            Request::Follow(_) => {
                if server.fenced > term || server.term > term {
                    return Answer::Stale;
                }
                server.is_primary = false;
                server.term = term;
                server.fenced = term;
            }
        }
        Answer::of(&state.servers[message.member].report(message.member), term)
    }

    fn replicate(&self, state: &mut ModelState, from: usize, to: usize) {
        state.servers[to].log = state.servers[from].log.clone();
    }

    /// Marks the commits that the tracker confirms as acknowledged.
    fn acknowledge(&self, state: &mut ModelState) {
        for commit in &mut state.commits {
            let commit_status = state
                .tracker
                .commit_status(commit.position.term, commit.position);
            commit.acknowledged |= commit_status == CommitStatus::Confirmed;
        }
    }

    fn receive_report(&self, state: &mut ModelState, member: usize) {
        let mut report = state.servers[member].report(member);
        if self.has_bug(Bug::ConfirmAcrossTerms) {
            report.term = Term::new(1);
            report.fenced_term = Term::new(1);
        }
        state.tracker.record(&report);
        self.acknowledge(state);
    }

    fn receive_answer(&self, state: &mut ModelState, member: usize) {
        let report = state.servers[member].report(member);
        let Some(read) = &mut state.read else {
            return;
        };
        read.round.record(report);
        if let Some(floor) = read.round.floor() {
            state.stale_read |= floor < read.must_include;
            state.read = None;
        }
    }

    fn can_append(&self, server: &Server) -> bool {
        server.fenced <= server.term || self.has_bug(Bug::ServerIgnoresFence)
    }
}

fn newest_acknowledged(state: &ModelState) -> Position {
    let acknowledged = state.commits.iter().filter(|commit| commit.acknowledged);
    acknowledged
        .map(|commit| commit.position)
        .max()
        .unwrap_or_default()
}

impl Model for Protocol {
    type State = ModelState;
    type Step = Step;

    fn initial(&self) -> ModelState {
        let server = |is_primary| Server {
            is_primary,
            term: Term::new(1),
            fenced: Term::new(1),
            log: Vec::new(),
        };
        ModelState {
            servers: vec![server(true), server(false), server(false)],
            promoters: vec![None, None],
            incarnations: vec![0, 0],
            used_terms: vec![Term::new(1); 2],
            messages: BTreeSet::new(),
            commits: Vec::new(),
            tracker: CommitTracker::new(match self.has_bug(Bug::ConfirmAlone) {
                true => 1,
                false => GroupObject::majority_of(SERVERS),
            }),
            read: None,
            budget: self.budget,
            leaders: vec![(Term::new(1), 0)],
            stale_read: false,
        }
    }

    fn steps(&self, state: &ModelState) -> Vec<Step> {
        let mut steps = Vec::new();
        for (server_index, server) in state.servers.iter().enumerate() {
            if server.is_primary && state.budget.commits > 0 && self.can_append(server) {
                steps.push(Step::Commit(server_index));
            }
            for (to, follower) in state.servers.iter().enumerate() {
                let follows =
                    server.is_primary && !follower.is_primary && follower.term == server.term;
                if follows && self.can_append(follower) && follower.log != server.log {
                    steps.push(Step::Replicate(server_index, to));
                }
            }
            if !server.is_primary && !server.log.is_empty() {
                steps.push(Step::Report(server_index));
            }
            if state.read.is_some() {
                steps.push(Step::Answer(server_index));
            }
        }
        for promoter in 0..state.promoters.len() {
            if self.usable_term(state, promoter).is_some() {
                steps.push(Step::Start(promoter));
            }
            if state.budget.restarts > 0 && state.promoters[promoter].is_some() {
                steps.push(Step::Restart(promoter));
            }
        }
        for (message_index, message) in state.messages.iter().enumerate() {
            steps.push(Step::Deliver(message_index));
            let call = matches!(message.request, Request::Call(_));
            if state.budget.losses > 0 && call && !message.lost {
                steps.push(Step::Lose(message_index));
            }
        }
        if state.budget.reads > 0 && state.read.is_none() {
            steps.push(Step::Read);
        }
        if self.has_bug(Bug::FloorFromBefore) && state.read.is_some() {
            steps.push(Step::Join);
        }
        steps
    }

    fn apply(&self, state: &mut ModelState, step: Step) {
        match step {
            Step::Commit(server_index) => {
                state.budget.commits -= 1;
                let server = &mut state.servers[server_index];
                server.log.push(server.term);
                let position = server.durable();
                state.commits.push(Commit {
                    position,
                    acknowledged: false,
                });
                self.acknowledge(state);
            }
            Step::Replicate(from, to) => self.replicate(state, from, to),
            Step::Report(server_index) => self.receive_report(state, server_index),
            Step::Start(promoter) => self.start(state, promoter),
            Step::Restart(promoter) => {
                state.budget.restarts -= 1;
                state.promoters[promoter] = None;
                state.incarnations[promoter] += 1;
                // The used terms are kept in memory only, so a restart loses them.
                state.used_terms[promoter] = Term::new(1);
            }
            Step::Deliver(message_index) => {
                let message = *state
                    .messages
                    .iter()
                    .nth(message_index)
                    .expect("a message in flight");
                self.deliver(state, message);
            }
            Step::Lose(message_index) => {
                state.budget.losses -= 1;
                let message = *state
                    .messages
                    .iter()
                    .nth(message_index)
                    .expect("a message in flight");
                state.messages.remove(&message);
                state.messages.insert(Message {
                    lost: true,
                    ..message
                });
                let Request::Call(call) = message.request else {
                    return;
                };
                let current = state.promoters[message.promoter].as_mut();
                if let Some(promoter) = current.filter(|p| p.term() == message.term) {
                    let actions = promoter.step(message.member, call, Answer::Lost);
                    self.send(state, message.promoter, actions);
                }
            }
            Step::Read => {
                state.budget.reads -= 1;
                state.read = Some(Read {
                    round: Round::new(match self.has_bug(Bug::FloorFromMinority) {
                        true => 1,
                        false => GroupObject::majority_of(SERVERS),
                    }),
                    must_include: newest_acknowledged(state),
                });
            }
            Step::Join => {
                let must_include = newest_acknowledged(state);
                if let Some(read) = &mut state.read {
                    read.must_include = must_include;
                }
            }
            Step::Answer(server_index) => self.receive_answer(state, server_index),
        }
    }

    fn violated_invariant(&self, state: &ModelState) -> Option<&'static str> {
        let has_two_primaries = state.leaders.windows(2).any(|pair| pair[0].0 == pair[1].0);
        if has_two_primaries {
            return Some("one primary per term");
        }
        let is_missing = |commit: &Commit| {
            let later = state
                .servers
                .iter()
                .filter(|s| s.is_primary && s.term > commit.position.term);
            commit.acknowledged
                && later
                    .into_iter()
                    .any(|server| !server.has_entry(commit.position))
        };
        if state.commits.iter().any(is_missing) {
            return Some("an acknowledged commit is in every later primary's log");
        }
        if state.stale_read {
            return Some("a floor includes every commit acknowledged before the read");
        }
        None
    }
}
