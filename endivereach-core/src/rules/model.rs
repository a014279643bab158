//! The parts of a rule as typed values.

use crate::ids::GroupName;
use crate::treatment::Freshness;
use crate::treatment::Repeat;
use crate::treatment::Worth;
use crate::units::TimeSpan;
use std::fmt;
use std::time::Duration;

/// The longest age that a rule may allow.
pub const AGE_MAX: Duration = Duration::from_secs(24 * 3600);

/// The longest deadline that a rule may set.
pub const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// The shortest deadline that a rule may set.
pub const DEADLINE_MIN: Duration = Duration::from_millis(10);

crate::value! {
    /// Which statements a rule is for.
    pub enum Access {
        /// Statements that only read.
        Read,
        /// Statements that change data, or might.
        Write,
    }
}

impl fmt::Display for Access {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Write => "write",
        })
    }
}

/// The groups that a rule is for: one name, or every name that starts alike.
///
/// # Examples
///
/// ```
/// use endivereach_core::rules::GroupPattern;
///
/// let pattern = GroupPattern::new("bookings-*");
/// assert!(pattern.matches(&"bookings-1".into()));
/// assert!(pattern.covers(&GroupPattern::new("bookings-1")));
/// assert!(!pattern.covers(&GroupPattern::new("*")));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupPattern(Box<str>);

impl GroupPattern {
    /// Wraps a pattern: a name, which may end in `*`.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns whether the group is meant.
    pub fn matches(&self, group: &GroupName) -> bool {
        match self.prefix() {
            Some(prefix) => group.as_str().starts_with(prefix),
            None => group.as_str() == &*self.0,
        }
    }

    /// Returns whether every group that `other` matches is matched by this pattern too.
    pub fn covers(&self, other: &Self) -> bool {
        match self.prefix() {
            Some(prefix) => other.0.starts_with(prefix),
            None => self == other,
        }
    }

    /// Returns whether some group may be matched by both patterns.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.covers(other) || other.covers(self)
    }

    fn prefix(&self) -> Option<&str> {
        self.0.strip_suffix('*')
    }
}

impl fmt::Display for GroupPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The tables that a rule is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TablePattern {
    /// Every table, and statements that name none.
    Any,
    /// The table of this name, in any schema.
    Named(Box<str>),
}

impl TablePattern {
    /// Returns whether the table is meant.
    pub fn matches(&self, table: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Named(name) => &**name == table,
        }
    }

    /// Returns whether every table that `other` matches is matched by this pattern too.
    pub fn covers(&self, other: &Self) -> bool {
        *self == Self::Any || self == other
    }

    /// Returns whether some table may be matched by both patterns.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.covers(other) || other.covers(self)
    }
}

impl fmt::Display for TablePattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("*"),
            Self::Named(name) => f.write_str(name),
        }
    }
}

/// What a rule asks for. A clause that the line doesn't state is `None` or `false`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Clauses {
    /// How recent the data of a read must be.
    pub freshness: Option<Freshness>,
    /// Whether a cancelled slot must never show as free.
    pub no_free_cancelled: bool,
    /// Whether a write may be run again.
    pub repeat: Option<Repeat>,
    /// Whether the request is held through a change of primary.
    pub hold: Option<bool>,
    /// What the request is worth when capacity is short.
    pub worth: Option<Worth>,
    /// How long the request may take in all.
    pub deadline: Option<Duration>,
}

impl fmt::Display for Clauses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.freshness {
            Some(Freshness::Latest) => f.write_str(" latest")?,
            Some(Freshness::Session) => f.write_str(" session")?,
            Some(Freshness::Age { max_age }) => write!(f, " age {}", TimeSpan::from(max_age))?,
            None => {}
        }
        if self.no_free_cancelled {
            f.write_str(" no-free-cancelled")?;
        }
        match self.repeat {
            Some(Repeat::Once) => f.write_str(" once")?,
            Some(Repeat::Allowed) => f.write_str(" repeatable")?,
            None => {}
        }
        match self.hold {
            Some(true) => f.write_str(" hold")?,
            Some(false) => f.write_str(" no-hold")?,
            None => {}
        }
        match self.worth {
            Some(Worth::Low) => f.write_str(" worth low")?,
            Some(Worth::Normal) => f.write_str(" worth normal")?,
            Some(Worth::High) => f.write_str(" worth high")?,
            None => {}
        }
        match self.deadline {
            Some(deadline) => write!(f, " deadline {}", TimeSpan::from(deadline)),
            None => Ok(()),
        }
    }
}

/// A word of the file with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed<T> {
    /// What stands there.
    pub value: T,
    /// The column in characters, from one.
    pub column: u32,
}

/// One line that decides how statements are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The line in the file, from one.
    pub line: u32,
    /// The groups that it is for.
    pub groups: Vec<Placed<GroupPattern>>,
    /// Whether it is for reads or writes.
    pub access: Access,
    /// The tables that it is for.
    pub tables: Vec<Placed<TablePattern>>,
    /// What it asks for.
    pub clauses: Clauses,
    /// Who asked for it and why: the line's comment.
    pub asked_by: Box<str>,
}

impl Rule {
    /// Returns whether the rule decides about `table`, or about a statement that names no table.
    pub fn matches(&self, group: &GroupName, access: Access, table: Option<&str>) -> bool {
        let table_matches = |pattern: &TablePattern| match table {
            Some(table) => pattern.matches(table),
            None => *pattern == TablePattern::Any,
        };
        self.access == access
            && self
                .groups
                .iter()
                .any(|pattern| pattern.value.matches(group))
            && self
                .tables
                .iter()
                .any(|pattern| table_matches(&pattern.value))
    }

    /// Returns the part of the line that says which statements it is for, in the canonical form.
    pub fn selector(&self) -> String {
        let groups = join(self.groups.iter().map(|groups| &groups.value));
        let tables = join(self.tables.iter().map(|tables| &tables.value));
        format!("groups {groups} {} {tables}", self.access)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{}  # {}",
            self.selector(),
            self.clauses,
            self.asked_by
        )
    }
}

crate::value! {
    /// What a list line names.
    pub enum ListKind {
        /// The tables there are.
        Tables,
        /// Functions of the users' own that only compute their result.
        Functions,
    }
}

impl fmt::Display for ListKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Tables => "tables",
            Self::Functions => "functions",
        })
    }
}

/// A line that names the tables there are, or functions that only compute their result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListLine {
    /// The line in the file, from one.
    pub line: u32,
    /// What it names.
    pub kind: ListKind,
    /// The names.
    pub names: Vec<Placed<Box<str>>>,
    /// Who vouches for the list: the line's comment.
    pub asked_by: Box<str>,
}

impl fmt::Display for ListLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = join(self.names.iter().map(|name| &name.value));
        write!(f, "{} {names}  # {}", self.kind, self.asked_by)
    }
}

fn join<T: fmt::Display>(items: impl Iterator<Item = T>) -> String {
    let mut texts: Vec<String> = items.map(|item| item.to_string()).collect();
    texts.sort();
    texts.join(",")
}

/// What is known to exist, to check a rules file against.
///
/// `None` means not known: any name is accepted.
///
/// # Examples
///
/// ```
/// use endivereach_core::rules::{Catalogue, RuleSet};
///
/// let catalogue = Catalogue {
///     groups: Some(vec!["bookings-1".into()]),
///     tables: None,
/// };
/// let text = "groups ledger read slots latest  # Anjali Mohan, desk: slots must be current\n";
/// assert!(RuleSet::parse(text, &catalogue).is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// The groups there are.
    pub groups: Option<Vec<GroupName>>,
    /// The tables there are, besides those of the file's own `tables` lines.
    pub tables: Option<Vec<Box<str>>>,
}

impl Catalogue {
    /// Returns a catalogue that accepts any name, as a proxy uses it: a set of rules that was
    /// accepted stays valid when a group is taken away.
    pub fn unknown() -> Self {
        Self::default()
    }
}
