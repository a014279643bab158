//! The receipts of a connection, by which a repeated answer is recognized.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// The number of receipts after which the oldest ones are removed. A connection runs fewer statements
/// in the few seconds by which a target repeats an answer late.
const GENERATION_RECEIPTS_MAX: usize = 2_048;

/// The digests of the last receipts of one connection.
///
/// # Invariants
///
/// At least the last [`GENERATION_RECEIPTS_MAX`] receipts are contained, and at most twice as many.
#[derive(Debug, Default)]
pub(super) struct Receipts {
    newest: HashSet<u64>,
    older: HashSet<u64>,
}

impl Receipts {
    /// Adds a receipt, and returns whether it is new.
    pub(super) fn insert(&mut self, receipt: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        receipt.hash(&mut hasher);
        let digest = hasher.finish();
        if self.older.contains(&digest) || !self.newest.insert(digest) {
            return false;
        }
        if self.newest.len() >= GENERATION_RECEIPTS_MAX {
            self.older = std::mem::take(&mut self.newest);
        }
        true
    }
}
