//! Analysis of SQL text: the kind of a statement, and the tables that it reads and writes.
//!
//! Text is parsed with the PostgreSQL dialect. A text that can't be parsed, or is too large or too
//! deeply nested to be parsed safely, counts as a write and gets the strictest treatment. The same
//! applies to a statement that calls a function not known to be free of side effects.
//!
//! # Examples
//!
//! ```
//! use endivereach_core::classify::analyse;
//! use endivereach_core::treatment::StatementKind;
//!
//! assert_eq!(analyse("SELECT * FROM berths").kind, StatementKind::Read);
//! assert_eq!(analyse("SELECT * FROM berths FOR UPDATE").kind, StatementKind::Write);
//! assert_eq!(analyse("SELECT nextval('booking_ids')").kind, StatementKind::Write);
//! ```

mod bounds;
mod cache;
mod fingerprint;
mod functions;
mod names;
mod statement;
mod unparsed;
mod visit;

pub use bounds::CHAIN_MAX;
pub use bounds::NESTING_MAX;
pub use bounds::SQL_MAX_BYTES;
pub use cache::CACHED_TEXT_MAX_BYTES;
pub use cache::Cache;
pub use cache::CacheStats;
pub use fingerprint::fingerprint;
pub use functions::DeclaredFunctions;
pub use statement::Analysis;
pub use statement::analyse;
pub use statement::analyse_with;
