//! A thread-safe cache of classifications, keyed by the fingerprint of a statement.

use super::fingerprint::fingerprint;
use crate::ids::GroupName;
use crate::treatment::Classification;
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use twox_hash::XxHash64;

/// The maximum size of a text that is cached, in bytes. Larger texts are classified on every call.
pub const CACHED_TEXT_MAX_BYTES: usize = 8 * 1024;

/// The number of independently locked parts of the cache. More shards reduce lock contention
/// between threads.
const SHARD_COUNT: usize = 32;

/// The total size of fingerprints at which one generation of a shard is full, in bytes. This limits
/// the fingerprints of the whole cache to about 16 MiB.
const GENERATION_MAX_BYTES: usize = 256 * 1024;

/// The maximum number of entries in one generation of a shard.
const GENERATION_MAX_ENTRIES: usize = 512;

thread_local! {
    /// A reusable buffer for the fingerprint of a statement, which avoids an allocation per call.
    static KEY_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A bounded cache of classifications.
///
/// Each shard has two generations. When the newer generation is full, it replaces the older one,
/// whose entries are evicted. A hit in the older generation copies the entry to the newer one, so
/// entries that are used often stay in the cache. A hit in the newer generation takes one read lock
/// only.
///
/// # Invariants
///
/// A lookup only returns an entry whose group and key are equal to the requested ones, even if
/// hashes collide.
#[derive(Debug)]
pub struct Cache {
    shards: Vec<RwLock<Shard>>,
    /// A random seed for the hash, which prevents callers from provoking collisions.
    seed: u64,
    misses: AtomicU64,
}

/// Counters of a [`Cache`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheStats {
    /// The number of lookups that found no entry, since the cache was created.
    pub misses: u64,
    /// The number of entries. An entry in both generations stats twice.
    pub entries: usize,
    /// The total size of the entries' fingerprints, in bytes.
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
    classified: Classification,
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
            shards: (0..SHARD_COUNT).map(|_| RwLock::default()).collect(),
            seed: rand::random(),
            misses: AtomicU64::new(0),
        }
    }

    /// Returns the cached classification of `sql` in `group`, or computes and caches it.
    pub fn get_or_insert_with(
        &self,
        group: &GroupName,
        sql: &str,
        compute: impl FnOnce() -> Classification,
    ) -> Classification {
        if sql.len() > CACHED_TEXT_MAX_BYTES {
            self.misses.fetch_add(1, Ordering::Relaxed);
            return compute();
        }
        KEY_BUFFER.with_borrow_mut(|key| {
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
            self.lock_for_write(hash).insert(hash, entry);
            classified
        })
    }

    /// Returns the number of misses so far and the present size.
    pub fn stats(&self) -> CacheStats {
        let mut stats = CacheStats {
            misses: self.misses.load(Ordering::Relaxed),
            entries: 0,
            size_bytes: 0,
        };
        for shard in &self.shards {
            let shard = shard.read().unwrap_or_else(PoisonError::into_inner);
            for generation in [&shard.newer, &shard.older] {
                stats.entries += generation.entries.len();
                stats.size_bytes += generation.size_bytes;
            }
        }
        stats
    }

    fn hash(&self, group: &GroupName, key: &[u8]) -> u64 {
        let mut hasher = XxHash64::with_seed(self.seed);
        hasher.write(group.as_str().as_bytes());
        hasher.write(key);
        hasher.finish()
    }

    fn find(&self, hash: u64, group: &GroupName, key: &[u8]) -> Option<Classification> {
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
        self.lock_for_write(hash).insert(hash, entry);
        Some(classified)
    }

    fn lock_for_write(&self, hash: u64) -> std::sync::RwLockWriteGuard<'_, Shard> {
        self.shard(hash)
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn shard(&self, hash: u64) -> &RwLock<Shard> {
        &self.shards[hash as usize % SHARD_COUNT]
    }
}

impl Default for Cache {
    fn default() -> Self {
        Self::new()
    }
}
