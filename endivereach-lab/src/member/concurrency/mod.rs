//! Concurrency control between sessions: locks, the limit on running statements, interrupts, and
//! the registry of connections.

pub mod interrupt;
pub mod locks;
pub mod registry;
pub mod slots;
