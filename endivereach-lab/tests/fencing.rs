//! Properties that acknowledgement and promotion depend on, tested with random histories.

use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_lab::member::group::Bootstrap;
use endivereach_lab::member::group::Replication;
use endivereach_lab::member::storage::table::Change;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use proptest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const NAMES: [&str; 3] = ["a", "b", "c"];
const MAJORITY: usize = 2;

fn open(name: &str) -> Replication {
    let bootstrap = Bootstrap {
        id: name.into(),
        primary: Some("a".into()),
    };
    Replication::open(None, bootstrap).unwrap()
}

fn status(member: &Replication) -> MemberStatus {
    member.status(Vec::new())
}

fn change() -> Vec<Change> {
    vec![Change::DropTable { table: "t".into() }]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// A commit in flight when the fence arrives is either in the fenced log or refused.
    #[test]
    fn a_commit_concurrent_with_a_fence_is_durable_or_refused(
        writers in 1usize..4,
        fence_after in 0u64..200,
    ) {
        let member = Arc::new(open("a"));
        let is_fenced = Arc::new(AtomicBool::new(false));
        let threads: Vec<_> = (0..writers)
            .map(|_| {
                let (member, is_fenced) = (member.clone(), is_fenced.clone());
                thread::spawn(move || commit_until_refused(&member, &is_fenced))
            })
            .collect();
        while status(&member).durable.index.get() < fence_after {
            thread::yield_now();
        }
        member.fence(Term::new(2)).unwrap();
        let fenced = status(&member).durable;
        is_fenced.store(true, Ordering::SeqCst);
        let committed: Vec<_> = threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect();
        prop_assert_eq!(status(&member).durable, fenced);
        prop_assert_eq!(committed.len() as u64, fenced.index.get());
        prop_assert!(committed.iter().all(|position| *position <= fenced));
    }
}

/// Commits until the member refuses, or until one commit after the fence was answered.
fn commit_until_refused(member: &Replication, is_fenced: &AtomicBool) -> Vec<Position> {
    let mut committed = Vec::new();
    loop {
        let is_last = is_fenced.load(Ordering::SeqCst);
        match member.commit(Term::new(1), change()) {
            Ok(position) => committed.push(position),
            Err(_) => return committed,
        }
        if is_last {
            return committed;
        }
    }
}

/// One step of a history of three members.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Every member that considers itself the writable primary commits once.
    Commit,
    /// A member pulls from the primary that it follows, and may be fenced while the answer is in
    /// transit.
    Pull { index: usize, fenced: bool },
    /// A member is ordered to follow the primary with the highest term.
    Follow(usize),
    /// A promoter fences two members in the next term and promotes one of them, but may stop after
    /// some calls.
    Promote {
        first: usize,
        second: usize,
        calls: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let member = 0..NAMES.len();
    let promote = (member.clone(), 1..NAMES.len(), 0..4usize);
    let step = prop_oneof![
        4 => Just(Step::Commit),
        6 => (member.clone(), prop::bool::weighted(0.1))
            .prop_map(|(index, fenced)| Step::Pull { index, fenced }),
        3 => member.prop_map(Step::Follow),
        2 => promote.prop_map(|(first, offset, calls)| Step::Promote {
            first,
            second: (first + offset) % NAMES.len(),
            calls,
        }),
    ];
    prop::collection::vec(step, 1..80)
}

struct History {
    members: Vec<Replication>,
    next_term: u64,
    /// The positions of commits that a majority confirmed.
    acknowledged: Vec<Position>,
}

impl History {
    fn new() -> Self {
        Self {
            members: NAMES.map(open).into(),
            next_term: 2,
            acknowledged: Vec::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Commit => self.commit(),
            Step::Pull { index, fenced } => self.pull(index, fenced),
            Step::Follow(index) => self.follow(index),
            Step::Promote {
                first,
                second,
                calls,
            } => self.promote([first, second], calls),
        }
        self.acknowledge();
    }

    fn commit(&self) {
        for member in &self.members {
            if let Ok(term) = member.writable_term() {
                member.commit(term, change()).unwrap();
            }
        }
    }

    fn pull(&mut self, index: usize, fenced: bool) {
        let term = Term::new(self.next_term);
        self.next_term += u64::from(fenced);
        let before = status(&self.members[index]).durable;
        let mut was_fenced = false;
        self.members[index].pull_once(|primary, pull| {
            let primary = NAMES
                .iter()
                .position(|name| MemberId::from(*name) == *primary)?;
            let answer = self.members[primary].serve_pull(pull, Duration::ZERO);
            if fenced {
                was_fenced = self.members[index].fence(term).is_ok();
            }
            Some(answer)
        });
        if was_fenced {
            assert_eq!(status(&self.members[index]).durable, before);
        }
    }

    fn follow(&self, index: usize) {
        let is_primary = |member: &&MemberStatus| member.role == MemberRole::Primary;
        let all: Vec<_> = self.members.iter().map(status).collect();
        let current_primary = all
            .iter()
            .filter(is_primary)
            .max_by_key(|member| member.term);
        if let Some(current_primary) = current_primary
            && current_primary.id != MemberId::from(NAMES[index])
        {
            // A member that is fenced for a later term must refuse.
            let _ = self.members[index].follow(current_primary.term, &current_primary.id);
        }
    }

    /// Fences two members and promotes the one with the longer log. Stops after `calls` calls, like
    /// a promoter that was killed.
    fn promote(&mut self, fenced_members: [usize; 2], calls: usize) {
        let term = Term::new(self.next_term);
        self.next_term += 1;
        for index in fenced_members.iter().take(calls) {
            self.members[*index].fence(term).unwrap();
        }
        if calls < 3 {
            return;
        }
        let longest = |index: &usize| status(&self.members[*index]).durable;
        let chosen = fenced_members.into_iter().max_by_key(longest).unwrap();
        self.members[chosen].promote(term).unwrap();
    }

    /// Records the positions that a majority reports with the same, unfenced term.
    fn acknowledge(&mut self) {
        let all: Vec<_> = self.members.iter().map(status).collect();
        for primary in &all {
            if primary.role != MemberRole::Primary || !primary.is_unfenced() {
                continue;
            }
            let confirms = |member: &&MemberStatus| {
                member.term == primary.term
                    && member.is_unfenced()
                    && member.durable >= primary.durable
            };
            let is_own = primary.durable.term == primary.term;
            if is_own && all.iter().filter(confirms).count() >= MAJORITY {
                self.acknowledged.push(primary.durable);
            }
        }
    }

    /// Checks that every primary has all positions that were acknowledged in its term or before.
    fn check(&self) -> Result<(), TestCaseError> {
        let all: Vec<_> = self.members.iter().map(status).collect();
        for member in all.iter().filter(|it| it.role == MemberRole::Primary) {
            let log = &self.members[index_of(&member.id)];
            for position in &self.acknowledged {
                let before = position.term <= member.term;
                prop_assert!(
                    !before || log.contains(*position),
                    "{} in term {} lacks {position}",
                    member.id,
                    member.term
                );
            }
        }
        Ok(())
    }
}

fn index_of(id: &MemberId) -> usize {
    NAMES
        .iter()
        .position(|name| MemberId::from(*name) == *id)
        .unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Every position that a majority confirmed is in the log of every later primary, and no term
    /// has two primaries.
    #[test]
    fn confirmed_commits_survive_promotions(steps in steps()) {
        let mut history = History::new();
        for step in steps {
            history.run(step);
            history.check()?;
            let mut primaries: Vec<_> = history.members.iter().map(status).collect();
            primaries.retain(|member| member.role == MemberRole::Primary);
            primaries.sort_by_key(|member| member.term);
            prop_assert!(primaries.windows(2).all(|pair| pair[0].term != pair[1].term));
        }
    }
}
