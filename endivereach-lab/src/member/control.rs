//! The control API of a member: group management, replication pulls, and calls that experiments use
//! to inject faults and to read counters.

use super::concurrency::registry::ConnectionCounts;
use super::group::apply::ApplyFault;
use super::group::pull::PATH_PULL;
use super::group::pull::PULL_WAIT;
use super::group::pull::Peers;
use super::group::transitions::TransitionError;
use super::server::Server;
use endivereach_core::ids::MemberId;
use endivereach_wire::http::Call;
use endivereach_wire::http::Reply;
use endivereach_wire::member as api;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// The path of the call that replaces the injected faults. The request is a [`MemberFault`].
pub const PATH_FAULT: &str = "/fault";
/// The path of the call that returns [`MemberCounters`].
pub const PATH_COUNTERS: &str = "/counters";
/// The path of the call that replaces the addresses of the other members. The request is a
/// [`PeerList`].
pub const PATH_PEERS: &str = "/peers";

endivereach_core::data! {
    /// The faults to inject from now on. The default injects none.
    #[derive(Copy, Default)]
    pub struct MemberFault {
        /// The delay of applying log entries while the member is a replica.
        #[serde(default)]
        pub apply: ApplyFault,
        /// The delay between a durable commit and its response to the client, in milliseconds.
        #[serde(default)]
        pub commit_answer_delay_ms: u64,
    }

    /// Counts since the member's start.
    pub struct MemberCounters {
        /// Opened, refused and cancelled connections.
        pub connections: ConnectionCounts,
        /// Statements executed.
        pub statements: u64,
        /// `SELECT` statements on tables executed while the member was a replica.
        pub reads_as_replica: u64,
        /// `SELECT` statements on tables executed while the member was the primary.
        pub reads_as_primary: u64,
    }

    /// The control addresses of the other members, as reachable from the member that receives the
    /// list.
    pub struct PeerList {
        /// The other members of the group.
        pub peers: Vec<Peer>,
    }

    /// Another member of the group.
    pub struct Peer {
        /// The name by which the group identifies the member.
        pub id: MemberId,
        /// The address of the member's control API.
        pub control_addr: SocketAddr,
    }
}

/// Handles one control call and returns its response.
pub(super) fn handle_call(server: &Server, peers: &Peers, call: &Call) -> Reply {
    dispatch(server, peers, call).unwrap_or_else(|refusal| refusal)
}

fn dispatch(server: &Server, peers: &Peers, call: &Call) -> Result<Reply, Reply> {
    let member_replication = &server.replication;
    match &*call.path {
        api::PATH_STATUS => {}
        api::PATH_WATCH_POSITION => {
            let watch = call.decode()?;
            let status =
                member_replication.watch(&watch, || server.registry.count_by_application_name());
            return Ok(Reply::value(&status));
        }
        api::PATH_FENCE => {
            let fence: api::Fence = call.decode()?;
            member_replication
                .fence(fence.term)
                .map_err(transition_refusal)?;
        }
        api::PATH_PROMOTE => {
            let promote: api::Promote = call.decode()?;
            member_replication
                .promote(promote.term)
                .map_err(transition_refusal)?;
        }
        api::PATH_FOLLOW => {
            let follow: api::Follow = call.decode()?;
            member_replication
                .follow(follow.term, &follow.primary)
                .map_err(transition_refusal)?;
            // Transactions that began to write in an earlier term can't commit any more, so their
            // locks need not be held until they end.
            server.locks.release_all_transaction_locks();
        }
        PATH_PULL => {
            let response = member_replication.serve_pull(&call.decode()?, PULL_WAIT);
            return Ok(Reply::value(&response));
        }
        PATH_FAULT => {
            let fault: MemberFault = call.decode()?;
            member_replication.set_apply_fault(fault.apply);
            let delay_ms = fault.commit_answer_delay_ms;
            server
                .commit_answer_delay_ms
                .store(delay_ms, Ordering::Relaxed);
            return Ok(Reply::value(&()));
        }
        PATH_COUNTERS => {
            return Ok(Reply::value(&MemberCounters {
                connections: server.registry.counts(),
                statements: server.statements.load(Ordering::Relaxed),
                reads_as_replica: server.reads_as_replica.load(Ordering::Relaxed),
                reads_as_primary: server.reads_as_primary.load(Ordering::Relaxed),
            }));
        }
        PATH_PEERS => {
            let list: PeerList = call.decode()?;
            let addrs = list.peers.into_iter();
            peers.set(addrs.map(|peer| (peer.id, peer.control_addr)).collect());
            return Ok(Reply::value(&()));
        }
        _ => {
            return Err(Reply::error_response(
                "unknown_call",
                "use a path of the member",
            ));
        }
    }
    Ok(Reply::value(
        &member_replication.status(server.registry.count_by_application_name()),
    ))
}

fn transition_refusal(error: TransitionError) -> Reply {
    let kind = match &error {
        TransitionError::StaleTerm(_) => api::REFUSAL_STALE_TERM,
        TransitionError::Storage(_) => "storage",
    };
    Reply::error_response(kind, error.to_string())
}
