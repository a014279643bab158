//! Classified statements and prepared statements, shared by all sessions.

use super::traits::ClassifierSource;
use endivereach_core::ids::GroupName;
use endivereach_core::outcome::command_tag_from_text;
use endivereach_core::treatment::Classification;
use endivereach_core::treatment::Classifier;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The maximum number of classified statements in the cache.
const CLASSIFIED_STATEMENTS_MAX: usize = 4096;

/// The maximum length of a statement text in the cache, in bytes.
const CACHED_TEXT_MAX_BYTES: usize = 4096;

/// The number of prepared statements at which unused ones are removed.
const PREPARED_STATEMENTS_CLEANUP_THRESHOLD: usize = 4096;

/// A statement's classification and what depends on its text alone.
#[derive(Debug)]
pub(crate) struct Statement {
    /// The classification by the rules.
    pub(crate) classified: Classification,
    /// A hash of the text with its literals replaced.
    pub(crate) fingerprint: u64,
    /// Whether the statement may leave session state on its connection that the classification does
    /// not indicate.
    pub(crate) may_leave_state: bool,
    /// The command tag of a successful execution, if the text alone determines it.
    pub(crate) command_tag_from_text: Option<Box<str>>,
}

/// A cache of statements classified by the rules in force.
pub(crate) struct StatementCache<S: ClassifierSource> {
    rules: S,
    cache: RwLock<CachedStatements<S::Classifier>>,
}

struct CachedStatements<C> {
    rules: Arc<C>,
    groups: HashMap<GroupName, HashMap<Box<str>, Arc<Statement>>>,
    count: usize,
}

impl<S: ClassifierSource> StatementCache<S> {
    pub(crate) fn new(rules: S) -> Self {
        let cache = CachedStatements {
            rules: rules.current(),
            groups: HashMap::new(),
            count: 0,
        };
        Self {
            rules,
            cache: RwLock::new(cache),
        }
    }

    /// Returns the statement for a text, classified by the rules in force. `scratch` is a buffer
    /// for the normalized text; the calling code reuses it to avoid allocations.
    pub(crate) fn get_or_classify(
        &self,
        group: &GroupName,
        sql: &str,
        scratch: &mut String,
    ) -> Arc<Statement> {
        let rules = self.rules.current();
        let key = normalize_literals(sql, scratch);
        {
            let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
            if Arc::ptr_eq(&cache.rules, &rules)
                && let Some(found) = cache.groups.get(group).and_then(|texts| texts.get(key))
            {
                return Arc::clone(found);
            }
        }
        let statement = Arc::new(Statement {
            classified: rules.classify(group, sql),
            fingerprint: hash_of(key),
            may_leave_state: may_leave_state(sql),
            command_tag_from_text: command_tag_from_text(sql),
        });
        if key.len() <= CACHED_TEXT_MAX_BYTES {
            self.insert_classified(rules, group, key, &statement);
        }
        statement
    }

    fn insert_classified(
        &self,
        rules: Arc<S::Classifier>,
        group: &GroupName,
        key: &str,
        statement: &Arc<Statement>,
    ) {
        let mut cache = self.cache.write().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&cache.rules, &rules) || cache.count >= CLASSIFIED_STATEMENTS_MAX {
            cache.rules = rules;
            cache.groups.clear();
            cache.count = 0;
        }
        cache.count += 1;
        let texts = cache.groups.entry(group.clone()).or_default();
        texts.insert(key.into(), Arc::clone(statement));
    }
}

/// Returns the text with its numbers and strings replaced by placeholders, so that statements that
/// differ only in literals share a cache entry. Returns the text itself when it contains
/// characters, such as quoted identifiers, escapes or comments, that could make the replacement
/// wrong.
fn normalize_literals<'a>(sql: &'a str, scratch: &'a mut String) -> &'a str {
    let is_plain = |byte: u8| byte.is_ascii() && !matches!(byte, b'$' | b'"' | b'\\' | b'-' | b'/');
    if !sql.bytes().all(is_plain) {
        return sql;
    }
    scratch.clear();
    let bytes = sql.as_bytes();
    let mut offset = 0;
    let mut after_word = false;
    while offset < bytes.len() {
        let byte = bytes[offset];
        if byte == b'\'' {
            let Some(length) = sql[offset + 1..].find('\'') else {
                return sql;
            };
            offset += length + 2;
            scratch.push('?');
            after_word = false;
        } else if byte.is_ascii_digit() && !after_word {
            while bytes.get(offset).is_some_and(u8::is_ascii_digit) {
                offset += 1;
            }
            scratch.push('#');
        } else {
            scratch.push(byte as char);
            after_word = byte.is_ascii_alphanumeric() || byte == b'_';
            offset += 1;
        }
    }
    scratch
}

/// Returns whether a statement may leave session state on its connection. Statements that only read
/// or change rows and tables leave none.
fn may_leave_state(sql: &str) -> bool {
    const STATELESS_COMMANDS: [&str; 14] = [
        "SELECT", "INSERT", "UPDATE", "DELETE", "MERGE", "WITH", "VALUES", "TABLE", "BEGIN",
        "START", "COMMIT", "ROLLBACK", "END", "COPY",
    ];
    let first = sql
        .trim_start()
        .split(|c: char| !c.is_ascii_alphabetic())
        .next();
    let first = first.unwrap_or("");
    let is_stateless = STATELESS_COMMANDS
        .iter()
        .any(|word| word.eq_ignore_ascii_case(first));
    let is_single = !sql.trim_end().trim_end_matches(';').contains(';');
    !is_stateless || !is_single
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A prepared statement with its text and parameter types, shared by all sessions that prepared it.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// The number that is part of the statement's name on targets.
    pub(crate) id: u64,
    /// The body of the `Parse` message after the name: text, zero byte, parameter types.
    pub(crate) definition: Box<[u8]>,
    text_len: usize,
}

impl PreparedStatement {
    /// Returns the statement's text.
    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.definition[..self.text_len]).unwrap_or("")
    }

    /// Returns the statement's name on targets, with the terminating zero byte.
    pub(crate) fn target_name(&self) -> Vec<u8> {
        format!("endivereach_{}\0", self.id).into_bytes()
    }
}

/// The prepared statements of all sessions.
#[derive(Debug, Default)]
pub(crate) struct PreparedStatements {
    by_definition: Mutex<HashMap<Box<[u8]>, Arc<PreparedStatement>>>,
    next_id: AtomicU64,
}

impl PreparedStatements {
    /// Returns the shared statement for a definition, and creates it if it does not exist. Returns
    /// `None` when the text has no terminator or is not UTF-8.
    pub(crate) fn get_or_create(&self, definition: &[u8]) -> Option<Arc<PreparedStatement>> {
        let text_len = definition.iter().position(|&byte| byte == 0)?;
        std::str::from_utf8(&definition[..text_len]).ok()?;
        let mut cache = self
            .by_definition
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(found) = cache.get(definition) {
            return Some(Arc::clone(found));
        }
        if cache.len() >= PREPARED_STATEMENTS_CLEANUP_THRESHOLD {
            cache.retain(|_, prepared| Arc::strong_count(prepared) > 1);
        }
        let prepared = Arc::new(PreparedStatement {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            definition: definition.into(),
            text_len,
        });
        cache.insert(definition.into(), Arc::clone(&prepared));
        Some(prepared)
    }
}
