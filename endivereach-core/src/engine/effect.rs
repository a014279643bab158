//! Effects: the I/O that the engine requests from its driver.

use super::statement::Answer;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::FencingToken;
use crate::allowance::Message;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::ProxyName;
use crate::tenants::TenantName;
use std::net::SocketAddr;

crate::data! {
    /// One operation that the engine's driver carries out.
    pub enum Effect {
        /// Send an answer to a caller.
        Answer {
            /// The caller.
            caller: CallerId,
            /// The answer.
            answer: Answer,
        },
        /// Close a caller's connection after everything sent has been flushed.
        CloseCaller {
            /// The caller.
            caller: CallerId,
        },
        /// Open a connection to a target.
        Open {
            /// The connection's new id.
            connection: ConnectionId,
            /// The target's address.
            addr: SocketAddr,
            /// The group to which the target must belong.
            group: GroupName,
            /// The server that is expected at the address.
            member: MemberId,
            /// The tenant whose statements the connection runs, or `None` for callers without
            /// one.
            tenant: Option<TenantName>,
        },
        /// Send a command on a connection.
        Send {
            /// The connection.
            connection: ConnectionId,
            /// The command.
            command: Command,
        },
        /// Close a connection to a target.
        Close {
            /// The connection.
            connection: ConnectionId,
        },
        /// Send a message to another proxy, which may be lost.
        SendToPeer {
            /// The other proxy.
            peer: ProxyName,
            /// The message.
            message: Message,
        },
        /// Try to acquire the duty to promote.
        AcquireDuty,
        /// Read the whole list of targets from the store, and pass it to the engine.
        ReadTargets,
        /// Tell all other proxies that this process begins to promote a server.
        AnnouncePromotion {
            /// The server's group.
            group: GroupName,
        },
        /// Send an order to promote a server.
        Promote {
            /// The group.
            group: GroupName,
            /// The server.
            member: MemberId,
            /// The fencing token of the duty that this process holds.
            token: FencingToken,
        },
    }

    /// The result of a promotion order.
    pub enum PromoteResult {
        /// The server was promoted.
        Accepted,
        /// The order was refused: this server can't become the primary now.
        Refused,
        /// The outcome is unknown: the same order may be sent again.
        Lost,
    }
}
