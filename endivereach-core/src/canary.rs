//! Canary rollout of the rules: limits how many processes a crashing version can end.
//!
//! A few candidates are selected for each version. The first applies it immediately. Each other
//! candidate applies it once some candidate has applied it and still answers, or once every
//! candidate before it has rejected it or is unreachable. All other processes wait until a
//! candidate has applied it and still answers, or until a majority of the candidates has rejected
//! it and still answers, which shows that checking it is safe. So a version that crashes the
//! process that applies it ends at most the candidates, and the rest of the fleet keeps its last
//! valid rules.

use crate::directory::Vm;
use crate::homes;
use crate::ids::ProxyName;
use crate::ids::Version;

/// The number of candidates, which is also the maximum number of processes that one version can
/// end.
pub const CANDIDATE_COUNT: usize = 3;

/// The state of one candidate with respect to the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// The candidate has applied the version and still answers.
    Applied,
    /// The candidate answers and has not applied the version yet.
    NotApplied,
    /// The candidate answers and has rejected the version as invalid.
    Refused,
    /// The candidate doesn't answer.
    Unreachable,
    /// The candidate is this process.
    ThisProcess,
}

/// Returns the candidates for a version, spread over availability zones.
///
/// They are selected from all listed members, reachable or not. Otherwise each candidate that
/// crashes would be replaced by another one.
pub fn candidates(version: Version, members: &[Vm]) -> Vec<&Vm> {
    homes::spread(&format!("canary/{version}"), members, CANDIDATE_COUNT)
}

/// Returns whether this process may check and apply the version now. Without candidates, every
/// process may.
///
/// `candidates` must be in the order of [`candidates`].
///
/// # Examples
///
/// ```
/// use endivereach_core::canary::{may_apply, Candidate};
/// assert!(may_apply(&[Candidate::ThisProcess, Candidate::NotApplied]));
/// assert!(may_apply(&[Candidate::Unreachable, Candidate::Applied]));
/// assert!(!may_apply(&[Candidate::Unreachable, Candidate::NotApplied]));
/// assert!(may_apply(&[Candidate::Refused, Candidate::Refused, Candidate::NotApplied]));
/// ```
pub fn may_apply(candidates: &[Candidate]) -> bool {
    if candidates.is_empty() || candidates.contains(&Candidate::Applied) {
        return true;
    }
    let refused = |candidate: &&Candidate| **candidate == Candidate::Refused;
    if candidates.iter().filter(refused).count() > candidates.len() / 2 {
        return true;
    }
    let will_not_apply =
        |candidate: &Candidate| matches!(candidate, Candidate::Refused | Candidate::Unreachable);
    let first = candidates
        .iter()
        .find(|candidate| !will_not_apply(candidate));
    first == Some(&Candidate::ThisProcess)
}

/// Returns whether `name` is a candidate.
pub fn is_candidate(name: &ProxyName, candidates: &[&Vm]) -> bool {
    candidates.iter().any(|vm| &vm.name == name)
}
