//! PostgreSQL frames over blocking streams.
//!
//! A frame is passed on as it arrived; only the frames that a decision depends on are decoded, by
//! the registry's codec crate.

pub mod frame;
