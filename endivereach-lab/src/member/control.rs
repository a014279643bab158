//! The member's control calls: the group's, replication's and the experiments'.

use super::access::registry::ConnectionCounts;
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

/// The path of the control call that replaces the injected faults; its request is a [`MemberFault`].
pub const PATH_FAULT: &str = "/fault";
/// The path of the control call that reads [`Counters`].
pub const PATH_COUNTERS: &str = "/counters";
/// The path of the control call that names the other members; its request is a [`PeerList`].
pub const PATH_PEERS: &str = "/peers";

endivereach_core::data! {
    /// The faults that are injected from now on. The default injects none.
    #[derive(Copy, Default)]
    pub struct MemberFault {
        /// How applying is slowed down while the member is a replica.
        #[serde(default)]
        pub apply: ApplyFault,
        /// How long the answer to a commit is held back after the commit is durable, in
        /// milliseconds.
        #[serde(default)]
        pub commit_answer_delay_ms: u64,
    }

    /// Counts since the start.
    pub struct Counters {
        /// Connections.
        pub connections: ConnectionCounts,
        /// Statements run.
        pub statements: u64,
        /// Reads of tables run while the member was a replica.
        pub reads_as_replica: u64,
        /// Reads of tables run while the member was the primary.
        pub reads_as_primary: u64,
    }

    /// Where the other members answer control calls, as seen from the member that is told.
    pub struct PeerList {
        /// The members, each with its address.
        pub peers: Vec<Peer>,
    }

    /// One other member.
    pub struct Peer {
        /// The member's name.
        pub id: MemberId,
        /// Where it answers control calls.
        pub control_addr: SocketAddr,
    }
}

/// Answers one control call.
pub(super) fn answer(server: &Server, peers: &Peers, call: &Call) -> Reply {
    dispatch(server, peers, call).unwrap_or_else(|refusal| refusal)
}

fn dispatch(server: &Server, peers: &Peers, call: &Call) -> Result<Reply, Reply> {
    let group = &server.replication;
    match &*call.path {
        api::PATH_STATUS => {}
        api::PATH_WATCH_POSITION => {
            let watch = call.decode()?;
            let status = group.watch(&watch, || server.registry.by_holder());
            return Ok(Reply::value(&status));
        }
        api::PATH_FENCE => {
            let fence: api::Fence = call.decode()?;
            group.fence(fence.term).map_err(refuse)?;
        }
        api::PATH_PROMOTE => {
            let promote: api::Promote = call.decode()?;
            group.promote(promote.term).map_err(refuse)?;
        }
        api::PATH_FOLLOW => {
            let follow: api::Follow = call.decode()?;
            group.follow(follow.term, &follow.primary).map_err(refuse)?;
            // Whatever transactions of a former term still hold, they can't commit any more.
            server.locks.release_transactions();
        }
        PATH_PULL => {
            let answer = group.serve_pull(&call.decode()?, PULL_WAIT);
            return Ok(Reply::value(&answer));
        }
        PATH_FAULT => {
            let fault: MemberFault = call.decode()?;
            group.set_apply_fault(fault.apply);
            let delay_ms = fault.commit_answer_delay_ms;
            server
                .commit_answer_delay_ms
                .store(delay_ms, Ordering::Relaxed);
            return Ok(Reply::value(&()));
        }
        PATH_COUNTERS => {
            return Ok(Reply::value(&Counters {
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
        _ => return Err(Reply::refuse("unknown_call", "use a path of the member")),
    }
    Ok(Reply::value(&group.status(server.registry.by_holder())))
}

fn refuse(error: TransitionError) -> Reply {
    let kind = match &error {
        TransitionError::StaleTerm(_) => api::REFUSAL_STALE_TERM,
        TransitionError::Storage(_) => "storage",
    };
    Reply::refuse(kind, error.to_string())
}
