//! Tests of the session engine against simulated servers, without a network.

mod answer_orders;
mod answers;
mod cluster;
mod commits;
mod congestion;
mod failover;
mod limits;
mod log_lines;
mod overload;
mod primary_reach;
mod probes;
mod proofs;
mod regions;
mod repeated_answers;
mod repeated_rows;
mod repetition;
mod sessions;
mod shares;
mod stalls;
mod stops;
mod tenant_connections;
mod tenant_fleet;
mod tenant_probes;
mod tenants;
mod transaction_orders;
mod withdrawal;
