//! Newtypes for names, numbers and log positions.

use std::fmt;

/// The maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 128;

/// An error for a name, number or identifier that can't be parsed.
///
/// The message contains the rejected text and a remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a valid {expected}; {remedy}")]
pub struct ParseIdError {
    text: Box<str>,
    expected: &'static str,
    remedy: &'static str,
}

/// Checks that `text` can be used as a name.
///
/// # Errors
///
/// Returns an error for empty text, text over [`NAME_MAX_BYTES`] and characters other than letters,
/// digits, `-`, `_`, `.` and `/`.
///
/// # Examples
///
/// ```
/// assert!(endivereach_core::ids::check_name("tt-south-a").is_ok());
/// assert!(endivereach_core::ids::check_name("").is_err());
/// ```
pub fn check_name(text: &str) -> Result<(), ParseIdError> {
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    if !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.chars().all(allowed) {
        return Ok(());
    }
    Err(ParseIdError {
        text: text.into(),
        expected: "name",
        remedy: "use 1 to 128 letters, digits, '-', '_', '.' or '/'",
    })
}

/// Checks that `text`, which another program chose, can be sent as a field that ends at a blank or at
/// the end of a line.
///
/// # Errors
///
/// Returns an error for empty text, and for text with a blank, an end of a line or a control character.
///
/// # Examples
///
/// ```
/// assert!(endivereach_core::ids::check_word("i-7f3a91c2").is_ok());
/// assert!(endivereach_core::ids::check_word("i-1\r\nQUERY").is_err());
/// ```
pub fn check_word(text: &str) -> Result<(), ParseIdError> {
    let ends_field = |c: char| c.is_whitespace() || c.is_control();
    if !text.is_empty() && !text.contains(ends_field) {
        return Ok(());
    }
    Err(ParseIdError {
        text: text.into(),
        expected: "word",
        remedy: "use characters other than blanks and control characters",
    })
}

/// Parses an unsigned decimal number.
///
/// # Errors
///
/// Returns an error when `text` is not a decimal number that fits 64 bits.
///
/// # Examples
///
/// ```
/// assert_eq!(endivereach_core::ids::parse_number("7").unwrap(), 7);
/// ```
pub fn parse_number(text: &str) -> Result<u64, ParseIdError> {
    // The standard library also accepts a sign.
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| is_decimal);
    number.ok_or_else(|| ParseIdError {
        text: text.into(),
        expected: "number",
        remedy: "use decimal digits only",
    })
}

crate::text_newtype! {
    /// The name of a database group.
    GroupName
    /// The name of one server of a database group.
    MemberId
    /// The name of an availability zone.
    ZoneName
    /// The name of a region.
    RegionName
    /// The name of a VM that runs a proxy.
    ProxyName
    /// The name of a caller's session, which may continue on another proxy.
    SessionName
    /// The unique identifier of a request that is executed at most once.
    RequestId
}

crate::number_newtype! {
    /// The term of a database group. A group has at most one primary per term.
    Term
    /// The version of an object in the platform's object API.
    Version
    /// The era of the platform's store, which increases each time the store returns from a copy.
    /// Versions are comparable only within one era.
    Era
    /// The index of an entry in a group's log.
    LogIndex
    /// A random number chosen when a process starts, which distinguishes the process from its
    /// predecessors of the same name.
    Incarnation
}

/// A log position, compared by term first and index second.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::Position;
///
/// let older: Position = "3:900".parse().unwrap();
/// let newer: Position = "4:12".parse().unwrap();
/// assert!(newer > older);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Position {
    /// The term of the entry at `index`.
    pub term: Term,
    /// The index of the entry.
    pub index: LogIndex,
}

impl Position {
    /// Creates a position from a term and an index.
    pub const fn new(term: u64, index: u64) -> Self {
        Self {
            term: Term::new(term),
            index: LogIndex::new(index),
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.index)
    }
}

impl std::str::FromStr for Position {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, index) = text.split_once(':').ok_or_else(|| ParseIdError {
            text: text.into(),
            expected: "position",
            remedy: "write term and index as '3:900'",
        })?;
        Ok(Self {
            term: term.parse()?,
            index: index.parse()?,
        })
    }
}

crate::data! {
    /// The identity of one proxy process, from its start to its end.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ProxyId {
        /// The name of the VM that runs the process.
        pub name: ProxyName,
        /// The random number chosen when the process started.
        pub incarnation: Incarnation,
    }
}

impl fmt::Display for ProxyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

impl std::str::FromStr for ProxyId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, incarnation) = text.split_once('#').ok_or_else(|| ParseIdError {
            text: text.into(),
            expected: "proxy id",
            remedy: "write name and incarnation as 'entry-1#42'",
        })?;
        Ok(Self {
            name: name.parse()?,
            incarnation: incarnation.parse()?,
        })
    }
}
