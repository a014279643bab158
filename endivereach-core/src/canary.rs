//! Who applies a new version of the rules first, so that a version that ends processes ends few.
//!
//! A few candidates are drawn for each version. The first applies it at once. Each of the others
//! applies it when some candidate did and still answers, or when every candidate before it refused it
//! or can't be reached. Everybody else waits for a candidate that applied it, or for a majority of
//! candidates that refused it and still answer: then looking at it ends nobody. A version that ends the process
//! which applies it therefore ends the candidates at most, and the fleet keeps its last good rules.

use crate::directory::Vm;
use crate::homes;
use crate::ids::ProxyName;
use crate::ids::Version;

/// How many candidates there are, and so the most processes that one bad version can end.
pub const CANDIDATES: usize = 3;

/// What is known of one candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// It applied the version and still answers.
    Applied,
    /// It answers, and has not applied the version yet.
    NotYet,
    /// It answers, and refused the version as broken.
    Refused,
    /// It gives no answer.
    Unreachable,
    /// It is this process.
    Myself,
}

/// Returns the candidates for a version, spread over availability zones.
///
/// They are drawn from the list alone and not from what is reachable: otherwise each candidate that
/// ends would be replaced by another one.
pub fn candidates(version: Version, members: &[Vm]) -> Vec<&Vm> {
    homes::spread(&format!("canary/{version}"), members, CANDIDATES)
}

/// Returns whether this process may check and apply the version now, given the candidates in their order.
///
/// # Examples
///
/// ```
/// use endivereach_core::canary::{may_apply, Candidate};
/// assert!(may_apply(&[Candidate::Myself, Candidate::NotYet]));
/// assert!(may_apply(&[Candidate::Unreachable, Candidate::Applied]));
/// assert!(!may_apply(&[Candidate::Unreachable, Candidate::NotYet]));
/// assert!(may_apply(&[Candidate::Refused, Candidate::Refused, Candidate::NotYet]));
/// ```
pub fn may_apply(candidates: &[Candidate]) -> bool {
    if candidates.is_empty() || candidates.contains(&Candidate::Applied) {
        return true;
    }
    let refused = |candidate: &&Candidate| **candidate == Candidate::Refused;
    if candidates.iter().filter(refused).count() > candidates.len() / 2 {
        return true;
    }
    let has_passed =
        |candidate: &Candidate| matches!(candidate, Candidate::Refused | Candidate::Unreachable);
    let first = candidates.iter().find(|candidate| !has_passed(candidate));
    first == Some(&Candidate::Myself)
}

/// Returns whether `name` is a candidate.
pub fn is_candidate(name: &ProxyName, candidates: &[&Vm]) -> bool {
    candidates.iter().any(|vm| &vm.name == name)
}
