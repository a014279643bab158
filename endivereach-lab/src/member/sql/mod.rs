//! The dialect of SQL that the stand-in runs: parsing into plans, types, and evaluation.

pub mod compile;
mod compile_expr;
mod compile_select;
pub mod describe;
pub mod eval;
pub mod execute;
mod functions;
pub mod plan;
mod select;
mod write;
