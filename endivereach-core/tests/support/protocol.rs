//! A model of one group: three servers, two promoters, a proxy that confirms commits and reads floors.
//!
//! The promoters, the tracker and the rounds are those of the daemon. The model adds the servers, by
//! the contract of their control calls, and a network that delivers a call at any later time, or
//! after the promoter gave it up as lost. A pause and a partition are calls and log entries that
//! are delivered late or never. A call's answer is taken in at once: whatever happens between
//! an answer and the next call can as well happen before that call arrives.

use super::explore::Model;
use endivereach_core::confirm::Report;
use endivereach_core::confirm::Tracker;
use endivereach_core::confirm::Verdict;
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

/// How many servers the group has.
const SERVERS: usize = 3;

/// A fault in one guard, which the check must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// The promoter counts a member as fenced that it never fenced.
    FenceMinority,
    /// The promoter promotes a fenced member whose log is not the longest.
    PromoteShortestLog,
    /// After a lost answer the promoter asks another member to lead.
    PromoteElsewhereAfterLoss,
    /// A restarted promoter uses the grant of the process before it.
    ReuseGrantAfterRestart,
    /// A commit counts as confirmed by the primary alone.
    ConfirmAlone,
    /// A report counts whatever term the member is in.
    ConfirmAcrossTerms,
    /// A floor is taken from one member's answer.
    FloorFromMinority,
    /// A read joins a round that began before it.
    FloorFromBefore,
    /// A server appends although it is fenced.
    ServerForgetsFence,
    /// A server accepts a late promotion, and drops its higher fence.
    ServerDropsFence,
}

/// One server of the group.
#[derive(Clone, Debug, Hash)]
struct Server {
    leads: bool,
    term: Term,
    fenced: Term,
    /// The term of every entry.
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
            leads: self.leads,
            term: self.term,
            fenced_term: self.fenced,
            durable: self.durable(),
        }
    }

    fn holds(&self, at: Position) -> bool {
        let index = at.index.get() as usize;
        self.log.get(index - 1) == Some(&at.term)
    }
}

/// A call on its way to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    promoter: usize,
    term: Term,
    member: usize,
    request: Request,
    /// Whether the promoter gave the answer up.
    lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Request {
    Call(Call),
    Follow(usize),
}

/// A commit that the primary answered.
#[derive(Clone, Debug, Hash)]
struct Commit {
    at: Position,
    acknowledged: bool,
}

/// A read that waits for its floor.
#[derive(Clone, Debug, Hash)]
struct Read {
    round: Round<usize>,
    /// The newest commit acknowledged before the read arrived.
    must_include: Position,
}

/// How often each rare thing may still happen.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Budget {
    pub commits: u8,
    pub losses: u8,
    pub restarts: u8,
    pub reads: u8,
}

/// A state of the model.
#[derive(Clone, Debug, Hash)]
pub struct World {
    servers: Vec<Server>,
    promoters: Vec<Option<Promoter<usize>>>,
    incarnations: Vec<u64>,
    used: Vec<Term>,
    messages: BTreeSet<Message>,
    commits: Vec<Commit>,
    tracker: Tracker<usize>,
    read: Option<Read>,
    budget: Budget,
    /// Which server led in each term, to see two of them.
    leaders: Vec<(Term, usize)>,
    stale_read: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The server appends an entry and answers the commit.
    Commit(usize),
    /// The second server takes over the log of the first.
    Replicate(usize, usize),
    /// The proxy takes in a report of the server.
    Report(usize),
    /// The promoter starts an attempt.
    Start(usize),
    /// The promoter's process is replaced by a new one.
    Restart(usize),
    /// A call arrives.
    Deliver(usize),
    /// The promoter gives an answer up; the call may still arrive.
    Lose(usize),
    /// A read arrives and a round begins.
    Read,
    /// A read arrives and joins the open round.
    Join,
    /// The server answers the round.
    Answer(usize),
}

/// The protocol, with at most one fault in it.
pub struct Protocol {
    pub bug: Option<Bug>,
    pub budget: Budget,
}

impl Protocol {
    fn has(&self, bug: Bug) -> bool {
        self.bug == Some(bug)
    }

    fn id(&self, promoter: usize, incarnation: u64) -> ProxyId {
        let incarnation = match self.has(Bug::ReuseGrantAfterRestart) {
            true => 0,
            false => incarnation,
        };
        ProxyId {
            name: ["a", "b"][promoter].into(),
            incarnation: Incarnation::new(incarnation),
        }
    }

    /// Terms 2 and 3 are granted to one promoter each.
    fn grants(&self) -> [TermGrant; 2] {
        [0, 1].map(|promoter| TermGrant {
            term: Term::new(2 + promoter as u64),
            holder: self.id(promoter, 0),
        })
    }

    fn usable(&self, world: &World, promoter: usize) -> Option<Term> {
        let me = self.id(promoter, world.incarnations[promoter]);
        grants::lowest_usable_term(&self.grants(), &me, world.used[promoter])
    }

    fn send(&self, world: &mut World, promoter: usize, actions: Vec<Action<usize>>) {
        let Some(term) = world.promoters[promoter].as_ref().map(Promoter::term) else {
            return;
        };
        for action in actions {
            let (member, request) = match action {
                Action::Call { call, member } => (member, Request::Call(call)),
                Action::Follow { member, primary } => (member, Request::Follow(primary)),
                Action::Finish(_) => continue,
            };
            let member = match request {
                Request::Call(Call::Promote) => self.target(world, promoter, term, member),
                _ => member,
            };
            world.messages.insert(Message {
                promoter,
                term,
                member,
                request,
                lost: false,
            });
        }
    }

    /// Returns the member that is asked to lead, which a fault may change.
    fn target(&self, world: &World, promoter: usize, term: Term, chosen: usize) -> usize {
        let fenced = (0..SERVERS).filter(|at| world.servers[*at].fenced == term);
        if self.has(Bug::PromoteShortestLog) {
            let shortest = fenced.min_by_key(|at| world.servers[*at].durable());
            return shortest.unwrap_or(chosen);
        }
        let asked = world.messages.iter().any(|message| {
            message.promoter == promoter && message.request == Request::Call(Call::Promote)
        });
        if self.has(Bug::PromoteElsewhereAfterLoss) && asked {
            let other = (0..SERVERS).find(|at| *at != chosen && world.servers[*at].fenced == term);
            return other.unwrap_or(chosen);
        }
        chosen
    }

    fn start(&self, world: &mut World, promoter: usize) {
        let Some(term) = self.usable(world, promoter) else {
            return;
        };
        world.used[promoter] = term;
        let members = (0..SERVERS).collect();
        let (mut started, mut actions) = Promoter::start(term, members, Vec::new());
        if self.has(Bug::FenceMinority) {
            actions.extend(started.step(0, Call::Fence, Answer::Done(Position::default())));
        }
        world.promoters[promoter] = Some(started);
        self.send(world, promoter, actions);
    }

    fn deliver(&self, world: &mut World, message: Message) {
        world.messages.remove(&message);
        let answer = self.serve(world, message);
        let Request::Call(call) = message.request else {
            return;
        };
        let current = world.promoters[message.promoter].as_mut();
        let Some(promoter) = current.filter(|p| p.term() == message.term && !message.lost) else {
            return;
        };
        let actions = promoter.step(message.member, call, answer);
        self.send(world, message.promoter, actions);
    }

    /// Does what a server does with a call.
    fn serve(&self, world: &mut World, message: Message) -> Answer {
        let term = message.term;
        let server = &mut world.servers[message.member];
        match message.request {
            Request::Call(Call::Fence) => {
                if server.fenced > term || server.term >= term {
                    return Answer::Stale;
                }
                server.fenced = term;
            }
            Request::Call(Call::Promote) => {
                if server.fenced != term && !self.has(Bug::ServerDropsFence) {
                    return Answer::Stale;
                }
                server.fenced = term;
                server.leads = true;
                server.term = term;
                world.leaders.push((term, message.member));
                world.leaders.sort_unstable();
                world.leaders.dedup();
            }
            Request::Follow(_) => {
                if server.fenced > term || server.term > term {
                    return Answer::Stale;
                }
                server.leads = false;
                server.term = term;
                server.fenced = term;
            }
        }
        Answer::of(&world.servers[message.member].report(message.member), term)
    }

    fn replicate(&self, world: &mut World, from: usize, to: usize) {
        world.servers[to].log = world.servers[from].log.clone();
    }

    /// Acknowledges what the tracker confirms.
    fn acknowledge(&self, world: &mut World) {
        for commit in &mut world.commits {
            let verdict = world.tracker.verdict(commit.at.term, commit.at);
            commit.acknowledged |= verdict == Verdict::Confirmed;
        }
    }

    fn take_report(&self, world: &mut World, member: usize) {
        let mut report = world.servers[member].report(member);
        if self.has(Bug::ConfirmAcrossTerms) {
            report.term = Term::new(1);
            report.fenced_term = Term::new(1);
        }
        world.tracker.record(&report);
        self.acknowledge(world);
    }

    fn take_answer(&self, world: &mut World, member: usize) {
        let report = world.servers[member].report(member);
        let Some(read) = &mut world.read else {
            return;
        };
        read.round.record(report);
        if let Some(floor) = read.round.floor() {
            world.stale_read |= floor < read.must_include;
            world.read = None;
        }
    }

    fn can_append(&self, server: &Server) -> bool {
        server.fenced <= server.term || self.has(Bug::ServerForgetsFence)
    }
}

fn newest_acknowledged(world: &World) -> Position {
    let acknowledged = world.commits.iter().filter(|commit| commit.acknowledged);
    acknowledged
        .map(|commit| commit.at)
        .max()
        .unwrap_or_default()
}

impl Model for Protocol {
    type State = World;
    type Step = Step;

    fn initial(&self) -> World {
        let server = |leads| Server {
            leads,
            term: Term::new(1),
            fenced: Term::new(1),
            log: Vec::new(),
        };
        World {
            servers: vec![server(true), server(false), server(false)],
            promoters: vec![None, None],
            incarnations: vec![0, 0],
            used: vec![Term::new(1); 2],
            messages: BTreeSet::new(),
            commits: Vec::new(),
            tracker: Tracker::new(match self.has(Bug::ConfirmAlone) {
                true => 1,
                false => GroupObject::majority_of(SERVERS),
            }),
            read: None,
            budget: self.budget,
            leaders: vec![(Term::new(1), 0)],
            stale_read: false,
        }
    }

    fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, server) in world.servers.iter().enumerate() {
            if server.leads && world.budget.commits > 0 && self.can_append(server) {
                steps.push(Step::Commit(at));
            }
            for (to, follower) in world.servers.iter().enumerate() {
                let follows = server.leads && !follower.leads && follower.term == server.term;
                if follows && self.can_append(follower) && follower.log != server.log {
                    steps.push(Step::Replicate(at, to));
                }
            }
            if !server.leads && !server.log.is_empty() {
                steps.push(Step::Report(at));
            }
            if world.read.is_some() {
                steps.push(Step::Answer(at));
            }
        }
        for promoter in 0..world.promoters.len() {
            if self.usable(world, promoter).is_some() {
                steps.push(Step::Start(promoter));
            }
            if world.budget.restarts > 0 && world.promoters[promoter].is_some() {
                steps.push(Step::Restart(promoter));
            }
        }
        for (at, message) in world.messages.iter().enumerate() {
            steps.push(Step::Deliver(at));
            let call = matches!(message.request, Request::Call(_));
            if world.budget.losses > 0 && call && !message.lost {
                steps.push(Step::Lose(at));
            }
        }
        if world.budget.reads > 0 && world.read.is_none() {
            steps.push(Step::Read);
        }
        if self.has(Bug::FloorFromBefore) && world.read.is_some() {
            steps.push(Step::Join);
        }
        steps
    }

    fn take(&self, world: &mut World, step: Step) {
        match step {
            Step::Commit(at) => {
                world.budget.commits -= 1;
                let server = &mut world.servers[at];
                server.log.push(server.term);
                let at = server.durable();
                world.commits.push(Commit {
                    at,
                    acknowledged: false,
                });
                self.acknowledge(world);
            }
            Step::Replicate(from, to) => self.replicate(world, from, to),
            Step::Report(at) => self.take_report(world, at),
            Step::Start(promoter) => self.start(world, promoter),
            Step::Restart(promoter) => {
                world.budget.restarts -= 1;
                world.promoters[promoter] = None;
                world.incarnations[promoter] += 1;
                // Memory of used terms ends with the process.
                world.used[promoter] = Term::new(1);
            }
            Step::Deliver(at) => {
                let message = *world.messages.iter().nth(at).expect("a message in flight");
                self.deliver(world, message);
            }
            Step::Lose(at) => {
                world.budget.losses -= 1;
                let message = *world.messages.iter().nth(at).expect("a message in flight");
                world.messages.remove(&message);
                world.messages.insert(Message {
                    lost: true,
                    ..message
                });
                let Request::Call(call) = message.request else {
                    return;
                };
                let current = world.promoters[message.promoter].as_mut();
                if let Some(promoter) = current.filter(|p| p.term() == message.term) {
                    let actions = promoter.step(message.member, call, Answer::Lost);
                    self.send(world, message.promoter, actions);
                }
            }
            Step::Read => {
                world.budget.reads -= 1;
                world.read = Some(Read {
                    round: Round::new(match self.has(Bug::FloorFromMinority) {
                        true => 1,
                        false => GroupObject::majority_of(SERVERS),
                    }),
                    must_include: newest_acknowledged(world),
                });
            }
            Step::Join => {
                let must_include = newest_acknowledged(world);
                if let Some(read) = &mut world.read {
                    read.must_include = must_include;
                }
            }
            Step::Answer(at) => self.take_answer(world, at),
        }
    }

    fn broken(&self, world: &World) -> Option<&'static str> {
        let twice = world.leaders.windows(2).any(|pair| pair[0].0 == pair[1].0);
        if twice {
            return Some("one primary per term");
        }
        let lacks = |commit: &Commit| {
            let later = world
                .servers
                .iter()
                .filter(|s| s.leads && s.term > commit.at.term);
            commit.acknowledged && later.into_iter().any(|server| !server.holds(commit.at))
        };
        if world.commits.iter().any(lacks) {
            return Some("an acknowledged commit is in every later primary's log");
        }
        if world.stale_read {
            return Some("a floor includes every commit acknowledged before the read");
        }
        None
    }
}
