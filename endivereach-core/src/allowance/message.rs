//! The messages by which proxies agree on the holder of each tenant's bucket.

use crate::ids::Incarnation;
use crate::ids::ProxyName;
use crate::tenants::TenantName;

crate::value! {
    /// How much of a tenant's bucket a process holds.
    pub enum Held {
        /// Nothing.
        Nothing,
        /// Half of the rate and burst.
        Half,
        /// The whole rate and burst.
        Whole,
    }
}

crate::data! {
    /// The identity of a request, which its reply repeats.
    ///
    /// The incarnation prevents a process from using a reply to its predecessor.
    pub struct MessageId {
        /// The incarnation of the process that sent the request.
        pub incarnation: Incarnation,
        /// The number of the request.
        pub sequence: u64,
    }

    /// The answer to the renewal of one tenant's lease.
    pub enum Verdict {
        /// The receiver is the standby, and holds nothing until the lease has ended.
        Acknowledged,
        /// As [`Acknowledged`](Self::Acknowledged), and the receiver started a short time ago and has
        /// acknowledged nobody before. If the sender has just started too, no process held the bucket
        /// while both were down.
        AcknowledgedFirst,
        /// The receiver doesn't know the tenant or the list of proxies.
        Unknown,
        /// The receiver isn't the sender's standby.
        Denied {
            /// The coordinator according to the receiver's list of proxies. There is no objection if
            /// it is the sender.
            coordinator: ProxyName,
        },
    }

    /// A message between two proxies, small enough for one datagram.
    pub enum Message {
        /// The coordinator of tenants renews its leases.
        Renew {
            /// The identity of the renewal.
            id: MessageId,
            /// The tenants.
            tenants: Vec<TenantName>,
        },
        /// The answer to [`Message::Renew`].
        Renewed {
            /// The identity of the renewal.
            id: MessageId,
            /// One verdict for each tenant of the renewal, in the same order.
            verdicts: Vec<Verdict>,
            /// For each tenant, the tokens that the sender gives up to the receiver.
            #[serde(default)]
            tokens: Vec<u32>,
        },
        /// The standby of tenants has received no renewal, and is about to take half of their
        /// buckets or has taken it.
        Claim {
            /// The tenants.
            tenants: Vec<TenantName>,
        },
        /// The coordinator of tenants is stopping and holds nothing any more.
        Stop {
            /// The incarnation of the process that stops.
            incarnation: Incarnation,
            /// The tenants.
            tenants: Vec<TenantName>,
            /// For each tenant, the tokens that the sender gives up to its standby.
            #[serde(default)]
            tokens: Vec<u32>,
        },
        /// A process that holds no part of a tenant's bucket asks for tokens.
        Request {
            /// The identity of the request.
            id: MessageId,
            /// The tenant.
            tenant: TenantName,
            /// The number of tokens that the process expects to use.
            wanted: u32,
        },
        /// The answer to [`Message::Request`].
        Grant {
            /// The identity of the request.
            id: MessageId,
            /// The tenant.
            tenant: TenantName,
            /// The tokens, which are taken from the sender's bucket.
            tokens: u32,
            /// What the sender holds of the bucket.
            held: Held,
            /// When a refused operation may be repeated, in milliseconds, if the sender holds a part.
            #[serde(default)]
            retry_after_ms: u32,
        },
    }
}
