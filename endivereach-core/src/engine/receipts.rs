//! The receipts of a connection, by which a repeated answer is recognized.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

/// The time for which receipts are kept at least. It is several times the delay by which targets are
/// known to repeat answers.
const RETENTION: Duration = Duration::from_secs(10);

/// The number of receipts after which the older ones are removed before the end of [`RETENTION`].
const GENERATION_RECEIPTS_MAX: usize = 8_192;

/// The digests of the last receipts of one connection, in two generations.
///
/// # Invariants
///
/// A receipt is contained for [`RETENTION`] at least, unless more than [`GENERATION_RECEIPTS_MAX`]
/// came after it.
#[derive(Debug, Default)]
pub(super) struct Receipts {
    newest: HashSet<u64>,
    older: HashSet<u64>,
    newest_since: Option<Instant>,
}

impl Receipts {
    /// Adds the digest of a receipt, and returns whether it is new.
    pub(super) fn insert(&mut self, now: Instant, digest: u64) -> bool {
        let since = *self.newest_since.get_or_insert(now);
        if now >= since + RETENTION || self.newest.len() >= GENERATION_RECEIPTS_MAX {
            self.older = std::mem::take(&mut self.newest);
            self.newest_since = Some(now);
        }
        !self.older.contains(&digest) && self.newest.insert(digest)
    }
}

/// Returns the digest of what names an answer.
pub(super) fn digest<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
