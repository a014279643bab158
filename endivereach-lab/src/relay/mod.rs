//! A TCP relay that injects faults.
