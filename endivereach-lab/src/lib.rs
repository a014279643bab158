//! The lab of endivereach: stand-ins for what surrounds the system, and experiments over it.
//!
//! The stand-ins are a platform with its object API ([`platform`]), a database group that speaks
//! PostgreSQL ([`member`]), and a TCP relay that injects faults ([`relay`]).

pub mod commands;
pub mod member;
pub mod platform;
pub mod relay;
