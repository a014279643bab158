//! Tables, the log of committed transactions and its file.

pub mod disk;
pub mod log;
pub mod table;
pub mod value;
