//! Counters of the fleet's exchange.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.add_many(1);
    }

    /// Adds `count`.
    pub fn add_many(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the present value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// What the fleet's part of this process did since its start.
        #[derive(Debug, Default)]
        pub struct FleetCounters {
            $($(#[doc = $doc])+ pub $name: Counter,)+
        }

        impl FleetCounters {
            /// Calls `visit` with the name and value of every counter, in a fixed order.
            pub fn visit(&self, mut visit: impl FnMut(&'static str, u64)) {
                $(visit(concat!("fleet_", stringify!($name)), self.$name.get());)+
            }
        }
    };
}

counters! {
    /// Calls to peers.
    peer_calls,
    /// Calls to peers that got no answer.
    peer_calls_failed,
    /// Exchanges answered for peers.
    exchanges_answered,
    /// Bytes of exchange bodies sent to peers, questions and answers.
    exchange_bytes_sent,
    /// Calls to the platform that read, waiting watches included.
    platform_reads,
    /// Calls to the platform that write.
    platform_writes,
    /// Calls to the platform that got no answer.
    platform_calls_failed,
    /// Objects that moved to a higher version.
    objects_moved,
    /// Objects that could not be read and were skipped.
    objects_broken,
    /// Versions of the rules applied.
    rules_applied,
    /// Versions of the rules refused as broken.
    rules_refused,
    /// Times that the rules could no longer be shown to be current.
    rules_unconfirmed,
    /// Share objects written.
    shares_written,
    /// Shares of ended holders taken back.
    shares_reclaimed,
}
