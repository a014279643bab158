//! The log of recent requests that `endivereach explain request` reads.

use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

/// The maximum number of records in the log.
const RECENT_REQUESTS_MAX: usize = 1024;

endivereach_core::data! {
    /// The routing decisions for one request, and the time that each step took.
    #[derive(Default)]
    pub struct RequestRecord {
        /// The number of the request, which is unique on this proxy and ascending.
        pub id: u64,
        /// The caller-supplied request ID, if there is one.
        pub request_id: Option<Box<str>>,
        /// The time of arrival as Unix time in milliseconds, by this VM's clock.
        pub at_unix_ms: u64,
        /// A hash of the statement's text with its literals replaced.
        pub fingerprint: u64,
        /// The line of the rules file that determined the treatment, if there is one.
        pub rule_line: Option<u32>,
        /// The minimum log position of the reply, for reads.
        pub required: Option<Position>,
        /// The server that the request was last sent to, if it was sent.
        pub target: Option<MemberId>,
        /// The number of times that the request was sent to a server.
        pub attempts: u32,
        /// The time spent waiting for a read position, in microseconds.
        pub wait_us: u32,
        /// The time from sending the request to a server to the last byte of its reply, in
        /// microseconds.
        pub target_us: u32,
        /// The time spent waiting for the confirmation of the commit, in microseconds.
        pub confirm_us: u32,
        /// The time from the request's arrival to the last byte of the reply, in microseconds.
        pub total_us: u32,
        /// The SQLSTATE of the reply, or an empty string for success.
        pub sqlstate: Box<str>,
    }
}

/// A ring buffer of request records.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    recent: Mutex<VecDeque<RequestRecord>>,
}

impl RequestLog {
    /// Appends a record, and removes the oldest one when the log is full.
    pub(crate) fn push(&self, record: RequestRecord) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == RECENT_REQUESTS_MAX {
            recent.pop_front();
        }
        recent.push_back(record);
    }

    /// Returns all records, oldest first.
    pub(crate) fn recent(&self) -> Vec<RequestRecord> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().cloned().collect()
    }
}
