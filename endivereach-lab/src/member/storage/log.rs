//! The log of committed transactions, in memory and on disk.

use super::disk::LogFile;
use super::table::Change;
use endivereach_core::ids::Position;
use std::io;
use std::path::Path;
use std::sync::Arc;

endivereach_core::data! {
    /// One committed transaction, or the mark that a primary leaves when its term begins.
    pub struct Entry {
        /// The entry's position.
        pub position: Position,
        /// The changes in their order; empty for the mark of a new term.
        pub changes: Vec<Change>,
    }
}

/// A log. Entry `i` has the index `i + 1`.
///
/// # Invariants
///
/// An entry is in memory only when its file holds it. Terms never fall along the log.
#[derive(Debug)]
pub struct Log {
    entries: Vec<Arc<Entry>>,
    file: Option<LogFile>,
}

impl Log {
    /// Opens the log in `folder`, or one that is kept in memory alone.
    ///
    /// # Errors
    ///
    /// Returns the file's error; a torn last entry is no error and is cut off.
    pub fn open(folder: Option<&Path>) -> io::Result<Self> {
        let Some(folder) = folder else {
            return Ok(Self {
                entries: Vec::new(),
                file: None,
            });
        };
        let (file, entries) = LogFile::open(&folder.join("log"))?;
        Ok(Self {
            entries: entries.into_iter().map(Arc::new).collect(),
            file: Some(file),
        })
    }

    /// Returns the position of the last entry.
    pub fn end(&self) -> Position {
        self.entries
            .last()
            .map(|entry| entry.position)
            .unwrap_or_default()
    }

    /// Returns how many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entries after the first `count`.
    pub fn entries_after(&self, count: usize) -> &[Arc<Entry>] {
        &self.entries[count.min(self.entries.len())..]
    }

    /// Returns the position of the entry with the given index; the one before the first is zero.
    pub fn position_at(&self, index: u64) -> Option<Position> {
        if index == 0 {
            return Some(Position::default());
        }
        let entry = self.entries.get(index as usize - 1)?;
        Some(entry.position)
    }

    /// Appends an entry, on disk first.
    ///
    /// # Errors
    ///
    /// Returns the file's error; then the log is as it was.
    pub fn append(&mut self, entry: Arc<Entry>) -> io::Result<()> {
        if let Some(file) = &mut self.file {
            file.append(&entry)?;
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Drops every entry after the first `count`.
    ///
    /// # Errors
    ///
    /// Returns the file's error.
    pub fn truncate(&mut self, count: usize) -> io::Result<()> {
        if let Some(file) = &mut self.file {
            file.truncate(count)?;
        }
        self.entries.truncate(count);
        Ok(())
    }

    /// Returns the last position that a log ending at `other_end` may have in common with this one.
    ///
    /// Two logs agree up to any position that both hold, because a term has one primary.
    pub fn last_common_candidate(&self, other_end: Position) -> Position {
        let entries = &self.entries[..self.entries.len().min(other_end.index.get() as usize)];
        let below = entries.partition_point(|entry| entry.position.term <= other_end.term);
        self.position_at(below as u64).unwrap_or_default()
    }
}
