//! What sessions share while they run statements: locks, slots, and the register of connections.

pub mod interrupt;
pub mod locks;
pub mod registry;
pub mod slots;
