//! The daemon of endivereach. It accepts callers, routes their statements to the primary or a
//! replica of a database group, and preserves the group's guarantees when servers and proxies fail.
//!
//! # Examples
//!
//! ```text
//! endivereachd --settings entry-1.toml --check
//! endivereachd --settings entry-1.toml
//! ```

pub mod callers;
pub mod context;
pub mod control_api;
pub mod daemon;
pub mod events;
pub mod fleet;
pub mod groups;
pub mod logs;
pub mod phase;
pub mod supervisor;
pub mod targets;
pub mod telemetry;
