//! The history of a run: the requests of all callers and their outcomes, with times on one clock.

use std::time::Duration;

endivereach_core::value! {
    /// A time, as the duration since the start of the run.
    #[derive(Default)]
    pub struct Timestamp(pub Duration);
}

endivereach_core::data! {
    /// One request as observed by its caller.
    pub struct Record {
        /// The caller's number.
        pub caller: u32,
        /// The group's number.
        pub group: usize,
        /// The proxy's number.
        pub proxy: usize,
        /// The operation of the request.
        pub op: Op,
        /// When the request was sent.
        pub started: Timestamp,
        /// When its answer was complete or the connection broke.
        pub ended: Timestamp,
        /// The outcome that the caller observed.
        pub outcome: Outcome,
    }

    /// The operation of a request.
    pub enum Op {
        /// Increment the caller's own counter, which must not run more than once.
        Increment,
        /// Insert one booking with a new id.
        Book {
            /// The booking's id.
            id: Box<str>,
        },
        /// Insert two wayleaves in one transaction.
        RegisterPair {
            /// The name shared by both rows.
            pair: Box<str>,
        },
        /// Read the caller's own counter.
        ReadOwn,
        /// Read the group's tick, with data up to `max_age` old.
        ReadAged {
            /// The maximum age of the data.
            max_age: Duration,
        },
        /// Read the group's tick, including every acknowledged write.
        ReadLatest,
        /// Set the group's tick, an increasing number with which the checks compare later reads.
        Tick {
            /// The new value.
            value: i64,
        },
        /// Mark a slot as cancelled.
        Cancel {
            /// The slot's name.
            slot: Box<str>,
        },
        /// List the free slots.
        ViewFree,
    }

    /// The outcome of a request, as observed by the caller.
    pub enum Outcome {
        /// Acknowledged, with the number that was read, if any.
        Done {
            /// The number in the answer.
            value: Option<i64>,
        },
        /// Acknowledged, with a list of free slots.
        Slots {
            /// The names of the slots that the answer lists as free.
            free: Vec<Box<str>>,
        },
        /// The answer belonged to another request.
        Crossed,
        /// Failed with another error.
        Failed {
            /// The error's SQLSTATE.
            sqlstate: Box<str>,
        },
        /// Answered as not run, and safe to repeat.
        NotRun,
        /// Answered as a request with an unknown outcome.
        Unknown,
        /// The connection broke before the answer was complete.
        Broken,
    }
}

impl Record {
    /// Returns whether the request is a write.
    pub fn is_write(&self) -> bool {
        matches!(
            self.op,
            Op::Increment
                | Op::Book { .. }
                | Op::RegisterPair { .. }
                | Op::Tick { .. }
                | Op::Cancel { .. }
        )
    }

    /// Returns whether the request was acknowledged.
    pub fn is_done(&self) -> bool {
        matches!(self.outcome, Outcome::Done { .. } | Outcome::Slots { .. })
    }

    /// Returns whether the caller can't know if the request took effect.
    pub fn has_unknown_outcome(&self) -> bool {
        matches!(self.outcome, Outcome::Unknown | Outcome::Broken)
    }
}

endivereach_core::data! {
    /// The rows on the primary of a group after the run.
    #[derive(Default)]
    pub struct FinalState {
        /// The ids of all bookings.
        pub bookings: std::collections::BTreeSet<Box<str>>,
        /// The counter of each caller, by the caller's number.
        pub counters: std::collections::BTreeMap<u32, i64>,
        /// For each pair of wayleaves, the holders of the rows that exist.
        pub pairs: std::collections::BTreeMap<Box<str>, Vec<Box<str>>>,
    }
}
