//! The log of committed transactions, in memory and on disk.

use super::disk::LogFile;
use super::table::Change;
use endivereach_core::ids::Position;
use std::io;
use std::path::Path;
use std::sync::Arc;

endivereach_core::data! {
    /// A log entry: a committed transaction, or the empty entry that a primary appends at the start
    /// of its term.
    pub struct Entry {
        /// The entry's term and index.
        pub position: Position,
        /// The changes in the order in which they are applied; empty for the entry that starts a
        /// term.
        pub changes: Vec<Change>,
    }
}

/// The log of a member. The entry at offset `i` of the vector has the index `i + 1`.
///
/// # Invariants
///
/// Every entry in memory is also in the file, if there is one. Terms never decrease along the log.
#[derive(Debug)]
pub struct Log {
    entries: Vec<Arc<Entry>>,
    file: Option<LogFile>,
}

impl Log {
    /// Opens the log in `data_dir`. Without a directory, creates an empty log that is kept only in
    /// memory.
    ///
    /// # Errors
    ///
    /// Returns the error of the file. An incomplete last entry isn't an error; it is truncated.
    pub fn open(data_dir: Option<&Path>) -> io::Result<Self> {
        let Some(data_dir) = data_dir else {
            return Ok(Self {
                entries: Vec::new(),
                file: None,
            });
        };
        let (file, entries) = LogFile::open(&data_dir.join("log"))?;
        Ok(Self {
            entries: entries.into_iter().map(Arc::new).collect(),
            file: Some(file),
        })
    }

    /// Returns the position of the last entry, or zero for an empty log.
    pub fn last_position(&self) -> Position {
        self.entries
            .last()
            .map(|entry| entry.position)
            .unwrap_or_default()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the log has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all entries except the first `count`.
    pub fn entries_after(&self, count: usize) -> &[Arc<Entry>] {
        &self.entries[count.min(self.entries.len())..]
    }

    /// Returns the position of the entry with the given index, or `None` if there is no such entry.
    /// Index 0 stands for the position before the first entry.
    pub fn position_at(&self, index: u64) -> Option<Position> {
        if index == 0 {
            return Some(Position::default());
        }
        let entry = self.entries.get(index as usize - 1)?;
        Some(entry.position)
    }

    /// Appends an entry, first to the file and then in memory.
    ///
    /// # Errors
    ///
    /// Returns the error of the file. The log is then unchanged.
    pub fn append(&mut self, entry: Arc<Entry>) -> io::Result<()> {
        if let Some(file) = &mut self.file {
            file.append(&entry)?;
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Truncates the log to the first `count` entries.
    ///
    /// # Errors
    ///
    /// Returns the error of the file.
    pub fn truncate(&mut self, count: usize) -> io::Result<()> {
        if let Some(file) = &mut self.file {
            file.truncate(count)?;
        }
        self.entries.truncate(count);
        Ok(())
    }

    /// Returns the last position of this log that a log with the end `other_end` can also contain.
    ///
    /// Two logs are equal up to any position that both contain, because each term has at most one
    /// primary.
    pub fn last_common_candidate(&self, other_end: Position) -> Position {
        let entries = &self.entries[..self.entries.len().min(other_end.index.get() as usize)];
        let below = entries.partition_point(|entry| entry.position.term <= other_end.term);
        self.position_at(below as u64).unwrap_or_default()
    }
}
