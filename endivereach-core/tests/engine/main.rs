//! Tests of the session engine against simulated servers, without a network.

mod answers;
mod cluster;
mod congestion;
mod failover;
mod overload;
mod probes;
mod proofs;
mod sessions;
mod shares;
mod stalls;
mod tenant_connections;
mod tenants;
