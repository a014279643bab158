//! Counters of the exchange with peers and the platform.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `count`.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Counts of the operations of the fleet module since the start of the process.
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
    /// Calls to peers that were not answered.
    peer_calls_failed,
    /// Exchanges answered for peers.
    exchanges_answered,
    /// Bytes of the exchange bodies sent to peers, in requests and answers.
    exchange_bytes_sent,
    /// Read calls to the platform, watches included.
    platform_reads,
    /// Write calls to the platform.
    platform_writes,
    /// Calls to the platform that failed.
    platform_calls_failed,
    /// Objects replaced by a higher version.
    objects_moved,
    /// Objects that were skipped because they could not be decoded or processed.
    objects_broken,
    /// Versions of the rules applied.
    rules_applied,
    /// Versions of the rules refused as invalid.
    rules_refused,
    /// Times that the rules stopped being confirmed as current.
    rules_unconfirmed,
    /// Share objects written.
    shares_written,
    /// Shares reclaimed from holders that ended.
    shares_reclaimed,
}
