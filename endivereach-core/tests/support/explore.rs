//! Breadth-first search over the state space of a model, up to a given depth.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::BuildHasher;
use std::hash::Hash;
use twox_hash::xxhash64::State;

/// A transition system whose states are checked for invariants.
pub trait Model {
    /// A state. Equal states must have the same possible continuations.
    type State: Clone + Hash;
    /// A transition from one state to the next.
    type Step: Copy + Debug;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns all steps that are possible in `state`.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;

    /// Changes `state` to the one after `step`.
    fn apply(&self, state: &mut Self::State, step: Self::Step);

    /// Returns an invariant that `state` violates, or `None` if all of them hold.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of a search.
#[derive(Debug)]
pub struct Search<S> {
    /// The number of distinct states that were reached.
    pub states: usize,
    /// A shortest sequence of steps to a violated invariant, or `None` if none was found.
    pub counter_example: Option<CounterExample<S>>,
}

/// A shortest sequence of steps to a violated invariant.
#[derive(Debug)]
pub struct CounterExample<S> {
    /// The violated invariant.
    pub invariant: &'static str,
    /// The steps from the initial state to the violation.
    pub steps: Vec<S>,
}

/// A reached state, represented by the step to it and the index of its predecessor.
struct Reached<S> {
    step: Option<S>,
    parent: usize,
}

/// Searches every sequence of up to `depth` steps.
///
/// Visited states are identified by a 64-bit hash, so the search skips a state on a hash collision.
pub fn explore<M: Model>(model: &M, depth: usize) -> Search<M::Step> {
    let hasher = State::with_seed(0);
    let initial = model.initial();
    let mut visited = HashSet::from([hasher.hash_one(&initial)]);
    let mut reached = vec![Reached {
        step: None,
        parent: 0,
    }];
    let mut frontier = vec![(initial, 0)];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (state, parent) in &frontier {
            for step in model.steps(state) {
                let mut after = state.clone();
                model.apply(&mut after, step);
                if !visited.insert(hasher.hash_one(&after)) {
                    continue;
                }
                let step = Some(step);
                reached.push(Reached {
                    step,
                    parent: *parent,
                });
                let index = reached.len() - 1;
                if let Some(invariant) = model.violated_invariant(&after) {
                    return Search {
                        states: reached.len(),
                        counter_example: Some(CounterExample {
                            invariant,
                            steps: steps_to(&reached, index),
                        }),
                    };
                }
                next.push((after, index));
            }
        }
        frontier = next;
    }
    Search {
        states: reached.len(),
        counter_example: None,
    }
}

fn steps_to<S: Copy>(reached: &[Reached<S>], mut index: usize) -> Vec<S> {
    let mut steps = Vec::new();
    while let Some(step) = reached[index].step {
        steps.push(step);
        index = reached[index].parent;
    }
    steps.reverse();
    steps
}
