//! Targets: connections to the servers of database groups, and who may use them.

mod budget;

pub use self::budget::ConnectionBudget;
pub use self::budget::EqualSplit;
