//! The lab of endivereach: stand-ins for the systems that endivereach depends on, and experiments
//! that run it against them.
//!
//! The stand-ins are a platform with its object API ([`platform`]), a server of a database group
//! with the PostgreSQL protocol ([`member`]), and a TCP relay that injects faults ([`relay`]).
//!
//! An experiment starts them together with the daemons, runs [`load`], injects faults, and checks
//! the recorded history ([`checks`]).

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
