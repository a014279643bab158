//! Files that survive the end of the process: the log and the member's term, fence and role.
//!
//! A completed `write` survives a killed process, so nothing is flushed to the device: the loss of
//! the machine is out of scope.

use super::log::Entry;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_wire::http::decode;
use endivereach_wire::http::encode;
use endivereach_wire::member::MemberRole;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// The bytes of an entry's length.
const LENGTH_BYTES: usize = size_of::<u32>();

/// A file of entries, each preceded by its length.
#[derive(Debug)]
pub struct LogFile {
    file: File,
    /// Where each entry ends.
    ends: Vec<u64>,
}

impl LogFile {
    /// Opens or creates the file, reads its entries and cuts a torn one off.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn open(path: &Path) -> io::Result<(Self, Vec<Entry>)> {
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let mut ends = Vec::new();
        let mut entries = Vec::new();
        let mut offset = 0;
        while let Some((entry, end)) = read_entry(&bytes, offset) {
            entries.push(entry);
            ends.push(end as u64);
            offset = end;
        }
        let mut log = Self { file, ends };
        log.truncate(entries.len())?;
        Ok((log, entries))
    }

    /// Appends an entry.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, after the torn entry was cut off.
    pub fn append(&mut self, entry: &Entry) -> io::Result<()> {
        let body = encode(entry);
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&body);
        if let Err(error) = self.file.write_all(&bytes) {
            self.truncate(self.ends.len())?;
            return Err(error);
        }
        self.ends.push(self.end() + bytes.len() as u64);
        Ok(())
    }

    /// Drops every entry after the first `count`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn truncate(&mut self, count: usize) -> io::Result<()> {
        self.ends.truncate(count);
        let end = self.end();
        self.file.set_len(end)?;
        self.file.seek(SeekFrom::Start(end))?;
        Ok(())
    }

    fn end(&self) -> u64 {
        self.ends.last().copied().unwrap_or(0)
    }
}

/// Reads the entry at `offset` and returns it with its end, or `None` when none is whole.
fn read_entry(bytes: &[u8], offset: usize) -> Option<(Entry, usize)> {
    let start = offset + LENGTH_BYTES;
    let length = u32::from_be_bytes(bytes.get(offset..start)?.try_into().ok()?);
    let end = start + length as usize;
    let entry = decode(bytes.get(start..end)?).ok()?;
    Some((entry, end))
}

endivereach_core::data! {
    /// What a member must not forget beside its log.
    pub struct HardState {
        /// What it is doing.
        pub role: MemberRole,
        /// The term that it leads or follows.
        pub term: Term,
        /// The highest term that it was fenced for.
        pub fenced_term: Term,
        /// The primary of `term`, as far as known.
        pub primary: Option<MemberId>,
    }
}

/// The file that holds a [`HardState`].
#[derive(Debug)]
pub struct HardStateFile {
    path: Option<PathBuf>,
}

impl HardStateFile {
    /// Opens the file in `folder` and reads it if it is there. Without a folder nothing is kept.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, and `InvalidData` for a file that can't be read.
    pub fn open(folder: Option<&Path>) -> io::Result<(Self, Option<HardState>)> {
        let path = folder.map(|folder| folder.join("hard-state"));
        let bytes = match &path {
            Some(path) if path.exists() => fs::read(path)?,
            _ => return Ok((Self { path }, None)),
        };
        let hard_state = decode(&bytes)
            .map_err(|reason| io::Error::new(io::ErrorKind::InvalidData, reason.into_string()))?;
        Ok((Self { path }, Some(hard_state)))
    }

    /// Replaces the file's contents at once.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn write(&self, hard_state: &HardState) -> io::Result<()> {
        let Some(path) = &self.path else {
            return Ok(());
        };
        let scratch = path.with_extension("new");
        fs::write(&scratch, encode(hard_state))?;
        fs::rename(&scratch, path)
    }
}
