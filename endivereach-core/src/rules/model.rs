//! Types for the parts of a rules file.

use crate::ids::GroupName;
use crate::treatment::Freshness;
use crate::treatment::Priority;
use crate::treatment::Repeat;
use crate::units::TimeSpan;
use std::fmt;
use std::time::Duration;

/// The maximum data age that a rule may allow for reads.
pub const AGE_MAX: Duration = Duration::from_secs(24 * 3600);

/// The maximum request deadline that a rule may set.
pub const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// The minimum request deadline that a rule may set.
pub const DEADLINE_MIN: Duration = Duration::from_millis(10);

crate::value! {
    /// Whether a rule applies to reads or to writes.
    pub enum Access {
        /// Statements that only read.
        Read,
        /// Statements that change data or can't be shown not to.
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

/// A pattern for group names: one name, or every name with a given prefix.
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
    /// Creates a pattern from a name, or from a prefix followed by `*`.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns whether the pattern matches the group's name.
    pub fn matches(&self, group: &GroupName) -> bool {
        match self.prefix() {
            Some(prefix) => group.as_str().starts_with(prefix),
            None => group.as_str() == &*self.0,
        }
    }

    /// Returns whether this pattern matches every group that `other` matches.
    pub fn covers(&self, other: &Self) -> bool {
        match self.prefix() {
            Some(prefix) => other.0.starts_with(prefix),
            None => self == other,
        }
    }

    /// Returns whether some group name may match both patterns.
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

/// A pattern for table names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TablePattern {
    /// Matches every table, and statements that access no table.
    Any,
    /// Matches the table of this name in any schema.
    Named(Box<str>),
}

impl TablePattern {
    /// Returns whether the pattern matches the table's name.
    pub fn matches(&self, table: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Named(name) => &**name == table,
        }
    }

    /// Returns whether this pattern matches every table that `other` matches.
    pub fn covers(&self, other: &Self) -> bool {
        *self == Self::Any || self == other
    }

    /// Returns whether some table may match both patterns.
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

/// The clauses of a rule. A clause that the line doesn't state is `None` or `false`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Clauses {
    /// How recent the data that a read returns must be.
    pub freshness: Option<Freshness>,
    /// Whether a read must never return a cancelled slot as free.
    pub hide_cancelled_slots: bool,
    /// Whether a write may be repeated when its outcome is accept_any.
    pub repeat: Option<Repeat>,
    /// Whether the request waits while the primary changes instead of failing at once.
    pub wait_for_primary: Option<bool>,
    /// The priority of the request when capacity is short.
    pub priority: Option<Priority>,
    /// The time limit for the whole request.
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
        if self.hide_cancelled_slots {
            f.write_str(" no-free-cancelled")?;
        }
        match self.repeat {
            Some(Repeat::Never) => f.write_str(" once")?,
            Some(Repeat::Allowed) => f.write_str(" repeatable")?,
            None => {}
        }
        match self.wait_for_primary {
            Some(true) => f.write_str(" hold")?,
            Some(false) => f.write_str(" no-hold")?,
            None => {}
        }
        match self.priority {
            Some(Priority::Low) => f.write_str(" worth low")?,
            Some(Priority::Normal) => f.write_str(" worth normal")?,
            // Rules have no word for the highest priority, so none has it.
            Some(Priority::High | Priority::Highest) => f.write_str(" worth high")?,
            None => {}
        }
        match self.deadline {
            Some(deadline) => write!(f, " deadline {}", TimeSpan::from(deadline)),
            None => Ok(()),
        }
    }
}

/// A value parsed from a line, with its column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The parsed value.
    pub value: T,
    /// The column in characters, counted from one.
    pub column: u32,
}

/// A line of the file that states how matching statements are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The line number in the file, counted from one.
    pub line: u32,
    /// The groups that the rule applies to.
    pub groups: Vec<Located<GroupPattern>>,
    /// Whether the rule applies to reads or to writes.
    pub access: Access,
    /// The tables that the rule applies to.
    pub tables: Vec<Located<TablePattern>>,
    /// The treatment that the rule states.
    pub clauses: Clauses,
    /// The line's comment, which names the person who requested the rule and the reason.
    pub asked_by: Box<str>,
}

impl Rule {
    /// Returns whether the rule matches an access to `table` in `group`. `None` stands for a
    /// statement that accesses no table.
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

    /// Returns the groups, access and tables of the rule in the canonical form.
    pub fn selector(&self) -> String {
        let groups = join_sorted(self.groups.iter().map(|group| &group.value));
        let tables = join_sorted(self.tables.iter().map(|table| &table.value));
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
    /// Whether a list line names tables or functions.
    pub enum ListKind {
        /// Existing tables.
        Tables,
        /// User-defined functions without side effects.
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

/// A line that lists existing tables, or functions without side effects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListLine {
    /// The line number in the file, counted from one.
    pub line: u32,
    /// Whether the line lists tables or functions.
    pub kind: ListKind,
    /// The listed names, in the order of the line.
    pub names: Vec<Located<Box<str>>>,
    /// The line's comment, which names the person responsible for the list.
    pub asked_by: Box<str>,
}

impl fmt::Display for ListLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = join_sorted(self.names.iter().map(|name| &name.value));
        write!(f, "{} {names}  # {}", self.kind, self.asked_by)
    }
}

fn join_sorted<T: fmt::Display>(items: impl Iterator<Item = T>) -> String {
    let mut texts: Vec<String> = items.map(|item| item.to_string()).collect();
    texts.sort();
    texts.join(",")
}

/// The groups and tables known to exist, against which a rules file is checked.
///
/// `None` means that the names are accept_any, so any name is accepted.
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
    /// The existing groups.
    pub groups: Option<Vec<GroupName>>,
    /// The existing tables, in addition to those on the file's own `tables` lines.
    pub tables: Option<Vec<Box<str>>>,
}

impl Catalogue {
    /// Returns a catalogue that accepts any name.
    ///
    /// Proxies use it so that a set of rules stays valid when a group that it names is removed.
    pub fn accept_any() -> Self {
        Self::default()
    }
}
