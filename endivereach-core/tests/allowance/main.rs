//! The rate limits of tenants over a fleet of simulated processes, without a network.

mod bound;
mod executions;
mod failures;
mod fleet;
mod load;
