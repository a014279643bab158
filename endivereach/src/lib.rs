//! The command-line tool for operators. It checks and applies rules, shows the status of proxies
//! and database groups, and explains decisions.
//!
//! # Examples
//!
//! ```text
//! endivereach rules check caroni.rules
//! endivereach rules apply caroni.rules --platform 10.20.0.5:7000 --by "Priya Ramdeen" --expect 41
//! endivereach status --platform 10.20.0.5:7000 --json
//! ```

pub mod apply;
pub mod commands;
pub mod exit;
pub mod fleet;
pub mod history;
pub mod logs;
pub mod output;

pub use commands::Arguments;
