//! Messages of the PostgreSQL protocol over blocking streams.
//!
//! A frame is a message with its type byte and its length. Frames are forwarded unchanged. Only
//! those that affect a decision are decoded, with the crates `pgwire` and `postgres-protocol`.

pub mod buffer;
pub mod frame;
pub mod layout;
pub mod reply;
pub mod scram;
pub mod startup;
pub mod tag;
