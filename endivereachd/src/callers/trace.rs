//! The most recent requests, kept for `endivereach explain request`.

use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

/// How many requests are kept.
const RECENT_REQUESTS_MAX: usize = 1024;

endivereach_core::data! {
    /// What was decided for one request, and how long each hop took.
    #[derive(Default)]
    pub struct RequestRecord {
        /// A number that is unique on this proxy, ascending.
        pub id: u64,
        /// The identity that the caller gave it, if it did.
        pub request_id: Option<Box<str>>,
        /// When it arrived, in milliseconds of Unix time by this VM's clock.
        pub at_unix_ms: u64,
        /// A hash of the statement's text.
        pub fingerprint: u64,
        /// The line of the rules file that decided, if one did.
        pub rule_line: Option<u32>,
        /// The position that the answer had to include, for reads.
        pub required: Option<Position>,
        /// The server that answered, if one did.
        pub target: Option<MemberId>,
        /// How many times it was sent to a server.
        pub attempts: u32,
        /// Waiting for a position or a connection, in microseconds.
        pub wait_us: u32,
        /// From sending to the server to its last byte, in microseconds.
        pub target_us: u32,
        /// Waiting for confirmation of the commit, in microseconds.
        pub confirm_us: u32,
        /// From the request's arrival to the last byte of the answer, in microseconds.
        pub total_us: u32,
        /// The SQLSTATE of the answer, or empty text for success.
        pub sqlstate: Box<str>,
    }
}

/// A bounded list of request records.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    recent: Mutex<VecDeque<RequestRecord>>,
}

impl RequestLog {
    /// Keeps a record, dropping the oldest when the list is full.
    pub(crate) fn push(&self, record: RequestRecord) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == RECENT_REQUESTS_MAX {
            recent.pop_front();
        }
        recent.push_back(record);
    }

    /// Returns the records kept, oldest first.
    pub(crate) fn recent(&self) -> Vec<RequestRecord> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().cloned().collect()
    }
}
