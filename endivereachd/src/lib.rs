//! The daemon of endivereach: it accepts callers, routes their statements to the primary or a
//! replica of a database group, and keeps the group's promises when servers and proxies fail.
//!
//! # Examples
//!
//! ```text
//! endivereachd --settings entry-1.toml --check
//! endivereachd --settings entry-1.toml
//! ```

pub mod callers;
pub mod context;
pub mod daemon;
pub mod drain;
pub mod events;
pub mod fleet;
pub mod groups;
pub mod peers;
pub mod supervisor;
pub mod targets;
pub mod telemetry;
