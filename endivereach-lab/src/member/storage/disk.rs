//! Persistent files: the log, and the member's term, fence and role.
//!
//! Written data survives the end of the process, but not a crash of the machine, because nothing is
//! synced to the device. The lab simulates no crash of a machine.

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

/// The size of the length prefix of an entry, in bytes.
const LENGTH_PREFIX_BYTES: usize = size_of::<u32>();

/// A file of log entries, each with a length prefix.
#[derive(Debug)]
pub struct LogFile {
    file: File,
    /// The file offset at which each entry ends.
    entry_ends: Vec<u64>,
}

impl LogFile {
    /// Opens or creates the file and reads its entries. An incomplete entry at the end of the file,
    /// and anything after it, is truncated.
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
        let mut entry_ends = Vec::new();
        let mut entries = Vec::new();
        let mut offset = 0;
        while let Some((entry, end)) = read_entry(&bytes, offset) {
            entries.push(entry);
            entry_ends.push(end as u64);
            offset = end;
        }
        let mut log = Self { file, entry_ends };
        log.truncate(entries.len())?;
        Ok((log, entries))
    }

    /// Appends an entry.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, after truncating the incomplete entry.
    pub fn append(&mut self, entry: &Entry) -> io::Result<()> {
        let body = encode(entry);
        let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&body);
        if let Err(error) = self.file.write_all(&bytes) {
            self.truncate(self.entry_ends.len())?;
            return Err(error);
        }
        self.entry_ends.push(self.end() + bytes.len() as u64);
        Ok(())
    }

    /// Truncates the file to the first `count` entries.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn truncate(&mut self, count: usize) -> io::Result<()> {
        self.entry_ends.truncate(count);
        let end = self.end();
        self.file.set_len(end)?;
        self.file.seek(SeekFrom::Start(end))?;
        Ok(())
    }

    fn end(&self) -> u64 {
        self.entry_ends.last().copied().unwrap_or(0)
    }
}

/// Reads the entry at `offset`. Returns it with the offset of its end, or `None` if there is no
/// complete and valid entry.
fn read_entry(bytes: &[u8], offset: usize) -> Option<(Entry, usize)> {
    let start = offset + LENGTH_PREFIX_BYTES;
    let length = u32::from_be_bytes(bytes.get(offset..start)?.try_into().ok()?);
    let end = start + length as usize;
    let entry = decode(bytes.get(start..end)?).ok()?;
    Some((entry, end))
}

endivereach_core::data! {
    /// The persistent state of a member apart from its log.
    pub struct HardState {
        /// The member's role.
        pub role: MemberRole,
        /// The term in which the member has this role.
        pub term: Term,
        /// The highest term for which the member was fenced.
        pub fenced_term: Term,
        /// The primary of `term`, if it is known.
        pub primary: Option<MemberId>,
    }
}

/// The file that stores a [`HardState`].
#[derive(Debug)]
pub struct HardStateFile {
    path: Option<PathBuf>,
}

impl HardStateFile {
    /// Opens the file in `data_dir` and reads it if it exists. Without a directory, nothing is
    /// persisted.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, and `InvalidData` when the contents can't be decoded.
    pub fn open(data_dir: Option<&Path>) -> io::Result<(Self, Option<HardState>)> {
        let path = data_dir.map(|data_dir| data_dir.join("hard-state"));
        let bytes = match &path {
            Some(path) if path.exists() => fs::read(path)?,
            _ => return Ok((Self { path }, None)),
        };
        let hard_state = decode(&bytes)
            .map_err(|reason| io::Error::new(io::ErrorKind::InvalidData, reason.into_string()))?;
        Ok((Self { path }, Some(hard_state)))
    }

    /// Replaces the file's contents atomically, by renaming a new file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn write(&self, hard_state: &HardState) -> io::Result<()> {
        let Some(path) = &self.path else {
            return Ok(());
        };
        let temporary_path = path.with_extension("new");
        fs::write(&temporary_path, encode(hard_state))?;
        fs::rename(&temporary_path, path)
    }
}
