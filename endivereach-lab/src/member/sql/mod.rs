//! The SQL dialect of the stand-in: compilation into plans, type inference, and execution.

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
