//! Classifications kept by fingerprint, shared by all threads.

use super::fingerprint::fingerprint;
use crate::ids::GroupName;
use crate::treatment::Classified;
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use twox_hash::XxHash64;

/// The longest text that is kept, in bytes of its fingerprint.
pub const CACHED_TEXT_MAX_BYTES: usize = 8 * 1024;

/// How many parts the cache has; threads that use different parts don't wait for each other.
const SHARDS: usize = 32;

/// How many bytes of fingerprints one generation of a shard holds: 16 MiB in all.
const GENERATION_MAX_BYTES: usize = 256 * 1024;

/// How many entries one generation of a shard holds.
const GENERATION_MAX_ENTRIES: usize = 512;

thread_local! {
    /// The key of the statement at hand, kept to avoid an allocation per call.
    static KEY: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A bounded cache of classifications.
///
/// Each shard holds two generations. When the newer one is full it takes the place of the older one,
/// which is dropped; an entry that is used moves to the newer one. So entries in use stay, at the
/// cost of one lock per call.
///
/// # Invariants
///
/// An entry is only returned for a group and key that are equal to its own, whatever their hash.
#[derive(Debug)]
pub struct Cache {
    shards: Vec<RwLock<Shard>>,
    /// Drawn at random, so that no caller can choose texts with equal hashes.
    seed: u64,
    misses: AtomicU64,
}

/// How a cache has fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheCounts {
    /// Statements that had to be parsed.
    pub misses: u64,
    /// Statements kept now.
    pub entries: usize,
    /// Bytes of their fingerprints.
    pub size_bytes: usize,
}

#[derive(Debug, Default)]
struct Shard {
    newer: Generation,
    older: Generation,
}

#[derive(Debug, Default)]
struct Generation {
    entries: HashMap<u64, Entry>,
    size_bytes: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    group: GroupName,
    key: Box<[u8]>,
    classified: Classified,
}

impl Generation {
    fn find(&self, hash: u64, group: &GroupName, key: &[u8]) -> Option<&Entry> {
        let entry = self.entries.get(&hash)?;
        (*entry.key == *key && entry.group == *group).then_some(entry)
    }

    fn is_full(&self) -> bool {
        self.entries.len() >= GENERATION_MAX_ENTRIES || self.size_bytes >= GENERATION_MAX_BYTES
    }

    fn insert(&mut self, hash: u64, entry: Entry) {
        self.size_bytes += entry.key.len();
        if let Some(replaced) = self.entries.insert(hash, entry) {
            self.size_bytes -= replaced.key.len();
        }
    }
}

impl Shard {
    fn insert(&mut self, hash: u64, entry: Entry) {
        if self.newer.is_full() {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(hash, entry);
    }
}

impl Cache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| RwLock::default()).collect(),
            seed: rand::random(),
            misses: AtomicU64::new(0),
        }
    }

    /// Returns the classification kept for `sql`, or computes and keeps it.
    pub fn get_or_insert_with(
        &self,
        group: &GroupName,
        sql: &str,
        compute: impl FnOnce() -> Classified,
    ) -> Classified {
        if sql.len() > CACHED_TEXT_MAX_BYTES {
            self.misses.fetch_add(1, Ordering::Relaxed);
            return compute();
        }
        KEY.with_borrow_mut(|key| {
            fingerprint(sql, key);
            let hash = self.hash(group, key);
            if let Some(found) = self.find(hash, group, key) {
                return found;
            }
            self.misses.fetch_add(1, Ordering::Relaxed);
            let classified = compute();
            let entry = Entry {
                group: group.clone(),
                key: key[..].into(),
                classified: classified.clone(),
            };
            self.write(hash).insert(hash, entry);
            classified
        })
    }

    /// Returns how the cache has fared.
    pub fn counts(&self) -> CacheCounts {
        let mut counts = CacheCounts {
            misses: self.misses.load(Ordering::Relaxed),
            entries: 0,
            size_bytes: 0,
        };
        for shard in &self.shards {
            let shard = shard.read().unwrap_or_else(PoisonError::into_inner);
            for generation in [&shard.newer, &shard.older] {
                counts.entries += generation.entries.len();
                counts.size_bytes += generation.size_bytes;
            }
        }
        counts
    }

    fn hash(&self, group: &GroupName, key: &[u8]) -> u64 {
        let mut hasher = XxHash64::with_seed(self.seed);
        hasher.write(group.as_str().as_bytes());
        hasher.write(key);
        hasher.finish()
    }

    fn find(&self, hash: u64, group: &GroupName, key: &[u8]) -> Option<Classified> {
        let shard = self
            .shard(hash)
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = shard.newer.find(hash, group, key) {
            return Some(entry.classified.clone());
        }
        let entry = shard.older.find(hash, group, key)?.clone();
        drop(shard);
        let classified = entry.classified.clone();
        self.write(hash).insert(hash, entry);
        Some(classified)
    }

    fn write(&self, hash: u64) -> std::sync::RwLockWriteGuard<'_, Shard> {
        self.shard(hash)
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn shard(&self, hash: u64) -> &RwLock<Shard> {
        &self.shards[hash as usize % SHARDS]
    }
}

impl Default for Cache {
    fn default() -> Self {
        Self::new()
    }
}
