//! A breadth-first search over every interleaving of a model, to a stated depth.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::BuildHasher;
use std::hash::Hash;
use twox_hash::xxhash64::State;

/// Something with states and steps between them.
pub trait Model {
    /// A state. Equal states have equal futures.
    type State: Clone + Hash;
    /// A step.
    type Step: Copy + Debug;

    /// Returns the state in which everything begins.
    fn initial(&self) -> Self::State;

    /// Returns every step that is possible in a state.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;

    /// Takes a step.
    fn take(&self, state: &mut Self::State, step: Self::Step);

    /// Returns the invariant that a state breaks.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a search found.
#[derive(Debug)]
pub struct Search<S> {
    /// How many different states were reached.
    pub states: usize,
    /// The shortest way to a broken invariant.
    pub counter_example: Option<CounterExample<S>>,
}

/// The shortest way to a broken invariant.
#[derive(Debug)]
pub struct CounterExample<S> {
    /// The invariant.
    pub broken: &'static str,
    /// The steps that lead there.
    pub steps: Vec<S>,
}

/// A state that was reached, and how.
struct Reached<S> {
    step: Option<S>,
    from: usize,
}

/// Searches every interleaving of up to `depth` steps.
///
/// Visited states are told apart by a hash of 64 bits.
pub fn explore<M: Model>(model: &M, depth: usize) -> Search<M::Step> {
    let hasher = State::with_seed(0);
    let initial = model.initial();
    let mut visited = HashSet::from([hasher.hash_one(&initial)]);
    let mut reached = vec![Reached {
        step: None,
        from: 0,
    }];
    let mut frontier = vec![(initial, 0)];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (state, from) in &frontier {
            for step in model.steps(state) {
                let mut after = state.clone();
                model.take(&mut after, step);
                if !visited.insert(hasher.hash_one(&after)) {
                    continue;
                }
                let step = Some(step);
                reached.push(Reached { step, from: *from });
                let at = reached.len() - 1;
                if let Some(broken) = model.broken(&after) {
                    return Search {
                        states: reached.len(),
                        counter_example: Some(CounterExample {
                            broken,
                            steps: path(&reached, at),
                        }),
                    };
                }
                next.push((after, at));
            }
        }
        frontier = next;
    }
    Search {
        states: reached.len(),
        counter_example: None,
    }
}

fn path<S: Copy>(reached: &[Reached<S>], mut at: usize) -> Vec<S> {
    let mut steps = Vec::new();
    while let Some(step) = reached[at].step {
        steps.push(step);
        at = reached[at].from;
    }
    steps.reverse();
    steps
}
