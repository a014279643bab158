//! Tables, the log of committed transactions, and their files on disk.

pub mod disk;
pub mod log;
pub mod table;
pub mod value;
