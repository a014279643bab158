//! What the engine asks its surroundings to do.

use super::statement::Answer;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::FencingToken;
use crate::ids::GroupName;
use crate::ids::MemberId;
use std::net::SocketAddr;

crate::data! {
    /// One request of the engine to its surroundings.
    pub enum Effect {
        /// Send an answer to a caller.
        Answer {
            /// The caller.
            caller: CallerId,
            /// The answer.
            answer: Answer,
        },
        /// Close a caller's connection once everything sent has left.
        CloseCaller {
            /// The caller.
            caller: CallerId,
        },
        /// Open a connection to a target.
        Open {
            /// The connection's new id.
            connection: ConnectionId,
            /// The address.
            addr: SocketAddr,
            /// The group that the target must belong to.
            group: GroupName,
            /// The server that must answer there.
            member: MemberId,
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
        /// Become the holder of the duty to promote.
        AcquireDuty,
        /// Order the promotion of a server.
        Promote {
            /// The group.
            group: GroupName,
            /// The server.
            member: MemberId,
            /// The token under which the duty is held.
            token: FencingToken,
        },
    }

    /// How an order to promote ended.
    pub enum PromoteResult {
        /// It was carried out.
        Accepted,
        /// It was refused: this server can't lead now.
        Refused,
        /// Nothing is known: the same order may be given again.
        Lost,
    }
}
