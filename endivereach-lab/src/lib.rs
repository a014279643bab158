//! The lab of endivereach: stand-ins for what surrounds the system, and experiments over it.
//!
//! The stand-ins are a platform with its object API ([`platform`]), a database group that speaks
//! PostgreSQL ([`member`]), and a TCP relay that injects faults ([`relay`]).

//!
//! An experiment starts them together with the daemons, puts [`load`] on, injects faults, and runs
//! [`checks`] over the history.

pub mod bench;
pub mod checks;
pub mod cluster;
pub mod commands;
pub mod history;
pub mod load;
pub mod member;
pub mod platform;
pub mod process;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod sql;
pub mod summary;
pub mod topology;
