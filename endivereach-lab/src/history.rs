//! What callers asked for and what they were told, with times on one clock.

use std::time::Duration;

endivereach_core::value! {
    /// A moment, measured from the start of the run.
    #[derive(Default)]
    pub struct At(pub Duration);
}

endivereach_core::data! {
    /// One request as its caller saw it.
    pub struct Record {
        /// The caller's number.
        pub caller: u32,
        /// The number of the group in the run's list.
        pub group: usize,
        /// The number of the proxy in the run's list.
        pub proxy: usize,
        /// What was asked.
        pub op: Op,
        /// When the request was sent.
        pub started: At,
        /// When its answer was complete, or the connection broke.
        pub ended: At,
        /// What the caller was told.
        pub outcome: Outcome,
    }

    /// What a caller asked for.
    pub enum Op {
        /// Add one to the caller's own counter: must not be repeated.
        Increment,
        /// Insert one booking with a fresh id.
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
        /// Read the group's tick, which may be `max_age` old.
        ReadAged {
            /// The greatest age allowed.
            max_age: Duration,
        },
        /// Read the group's tick with everything acknowledged so far.
        ReadLatest,
        /// Set the group's tick.
        Tick {
            /// The new value.
            value: i64,
        },
        /// Cancel a slot.
        Cancel {
            /// The slot.
            slot: Box<str>,
        },
        /// List the free slots.
        ViewFree,
    }

    /// What a caller was told.
    pub enum Outcome {
        /// Done, with the number read, where there is one.
        Done {
            /// The number that the answer held.
            value: Option<i64>,
        },
        /// Done, with the free slots listed.
        Slots {
            /// The names of the slots that the answer showed as free.
            free: Vec<Box<str>>,
        },
        /// The answer belonged to another request.
        Crossed,
        /// Failed by the database.
        Failed {
            /// The error's SQLSTATE.
            sqlstate: Box<str>,
        },
        /// Not run, and safe to repeat.
        NotRun,
        /// The proxy said that the outcome is unknown.
        Unknown,
        /// The connection broke before the answer.
        Broken,
    }
}

impl Record {
    /// Returns whether the request changes data.
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

    /// Returns whether the caller was told that the request is done.
    pub fn is_done(&self) -> bool {
        matches!(self.outcome, Outcome::Done { .. } | Outcome::Slots { .. })
    }

    /// Returns whether the caller can't know what became of the request.
    pub fn is_open(&self) -> bool {
        matches!(self.outcome, Outcome::Unknown | Outcome::Broken)
    }
}

endivereach_core::data! {
    /// What the surviving primary of one group holds after the run.
    #[derive(Default)]
    pub struct FinalState {
        /// The ids of all bookings.
        pub bookings: std::collections::BTreeSet<Box<str>>,
        /// Each caller's counter.
        pub counters: std::collections::BTreeMap<u32, i64>,
        /// For each pair of wayleaves, the holder of each row found.
        pub pairs: std::collections::BTreeMap<Box<str>, Vec<Box<str>>>,
    }
}
