//! Rules that state how statements are treated, one per line of a plain text file.
//!
//! For each table, the first matching line applies. A statement that accesses several tables gets
//! the strictest combination of their treatments. A statement that no line covers gets the
//! strictest treatment.
//!
//! # Examples
//!
//! ```
//! use endivereach_core::rules::{Catalogue, RuleSet};
//! use endivereach_core::treatment::{Classifier, Freshness};
//!
//! let text = "groups * read bookings session  # Anjali Mohan, desk: my own booking must show\n";
//! let rules = RuleSet::parse(text, &Catalogue::accept_any()).unwrap();
//! let classified = rules.classify(&"bookings-1".into(), "SELECT * FROM bookings");
//! assert_eq!(classified.treatment.freshness, Freshness::Session);
//! assert_eq!(classified.treatment.rule_line, Some(1));
//! ```

mod check;
mod clauses;
mod diff;
mod error;
mod line;
mod model;
mod parse;
mod rule_set;

pub use diff::Change;
pub use diff::RuleDiff;
pub use error::RuleError;
pub use error::RuleErrors;
pub use model::AGE_MAX;
pub use model::Access;
pub use model::Catalogue;
pub use model::Clauses;
pub use model::DEADLINE_MAX;
pub use model::DEADLINE_MIN;
pub use model::GroupPattern;
pub use model::ListKind;
pub use model::ListLine;
pub use model::Located;
pub use model::Rule;
pub use model::TablePattern;
pub use parse::LINE_MAX_BYTES;
pub use parse::RULES_MAX;
pub use parse::TEXT_MAX_BYTES;
pub use rule_set::RuleSet;
