//! PostgreSQL frames over blocking streams.
//!
//! A frame is passed on as it arrived; only the frames that a decision depends on are decoded, by
//! the registry's codec crates.

pub mod buffer;
pub mod frame;
pub mod reply;
pub mod scram;
pub mod startup;
pub mod tag;
