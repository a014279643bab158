//! Passing the platform's objects on to the processes that follow this one.

use crate::compression;
use crate::feed::KINDS;
use crate::feed::Poll;
use crate::feed::PollVersions;
use crate::feed::Reply;
use crate::http;
use crate::http::RequestHead;
use crate::mirror::Mirror;
use crate::net::Stream;
use crate::platform::Platform;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use endivereach_core::clock::Clock;
use endivereach_core::logfmt::LogText;
use endivereach_core::logfmt::LogValue;
use endivereach_core::store_source::EVIDENCE_AGE_MAX;
use mio::Token;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;
use std::time::Instant;

/// How long this process counts as followed after the last poll.
const FOLLOWED_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum size of a reply that is logged, before compression. Ordinary changes of targets are smaller.
const LOGGED_REPLY_BYTES_MIN: usize = 32 * 1024;

/// A poll that waits for a change.
#[derive(Debug)]
struct WaitingPoll {
    token: Token,
    poll: Poll,
    accepts_compression: bool,
    deadline: Instant,
}

/// The body of a reply.
#[derive(Debug)]
struct EncodedReply {
    body: Vec<u8>,
    is_compressed: bool,
    uncompressed_bytes: usize,
}

/// The polls of the processes that follow this one.
#[derive(Debug, Default)]
pub(crate) struct FeedServer {
    waiting: Vec<WaitingPoll>,
    last_poll_at: Option<Instant>,
    is_followed: bool,
    /// Whether a copy has changed since the waiting polls were last checked.
    has_changed: bool,
    next_deadline: Option<Instant>,
}

impl FeedServer {
    /// Records that a copy of the platform's objects changed.
    pub(crate) fn note_change(&mut self) {
        self.has_changed = true;
    }

    /// Removes the waiting poll of a connection that ended.
    pub(crate) fn forget(&mut self, token: Token) {
        self.waiting.retain(|waiting| waiting.token != token);
    }
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Accepts a poll. It is answered once this process has a current copy with changes.
    pub(crate) fn on_poll(&mut self, now: Instant, token: Token, request: &RequestHead) {
        let path = &*request.path;
        let Some(poll) = Poll::parse(path) else {
            log::warn!(target: "process", "event=poll-unreadable path={}", LogText(path));
            self.write_feed_refusal(token, 404, "Not Found");
            return;
        };
        self.feed_server.last_poll_at = Some(now);
        self.update_followed(now);
        self.feed_server.waiting.push(WaitingPoll {
            token,
            poll,
            accepts_compression: request.accepts_compression,
            deadline: now + poll.wait,
        });
        self.feed_server.has_changed = true;
    }

    /// Watches the platform with short waits while other processes need current evidence.
    fn update_followed(&mut self, now: Instant) {
        let last_poll_at = self.feed_server.last_poll_at;
        let is_followed = last_poll_at.is_some_and(|at| now < at + FOLLOWED_TIMEOUT);
        if is_followed == self.feed_server.is_followed {
            return;
        }
        log::info!(target: "belief", "event=followed here={is_followed}");
        self.feed_server.is_followed = is_followed;
        for mirror_index in 0..self.mirrors.len() {
            if !self.mirrors[mirror_index].set_followed(is_followed) {
                continue;
            }
            if let Some(index) = self.platform_connection_index(Purpose::Mirror(mirror_index))
                && self.platform_connections[index].received_bytes() == 0
            {
                self.platform_connections[index].cancel();
                self.close_platform_connection(index);
                self.mirrors[mirror_index].restart_call(now, Duration::ZERO);
            }
        }
    }

    /// Answers the polls for which there are changes, and those whose wait is over.
    pub(crate) fn answer_polls(&mut self, now: Instant) {
        self.update_followed(now);
        let is_deadline_over = self.feed_server.next_deadline.is_some_and(|at| now >= at);
        if !self.feed_server.has_changed && !is_deadline_over {
            return;
        }
        let age = self.evidence_age(now);
        let is_listed = self.mirrors.iter().all(Mirror::is_listed_in_era);
        let era = self.era.current();
        let is_current = is_listed && age.is_some_and(|age| age <= EVIDENCE_AGE_MAX);
        let is_leaving = self.engine.drain().is_some();
        let waiting = std::mem::take(&mut self.feed_server.waiting);
        let mut still_waiting = Vec::new();
        // Followers that have the same versions get the same reply.
        let mut replies: BTreeMap<(PollVersions, bool), EncodedReply> = BTreeMap::new();
        for waiting in waiting {
            let is_over = is_leaving || now >= waiting.deadline;
            let versions = waiting.poll.versions_in(era);
            let is_due =
                is_current && versions.is_none_or(|versions| self.has_changes_for(versions));
            if !is_over && !is_due {
                still_waiting.push(waiting);
                continue;
            }
            let Some(versions) = versions else {
                // The follower has seen a newer era of the store than this process.
                self.write_feed_refusal(waiting.token, 503, "Service Unavailable");
                continue;
            };
            // A process without a copy prefers an old one to none.
            let knows_nothing = versions.iter().any(|version| version.get() == 0);
            let may_answer = is_current || (is_listed && knows_nothing);
            let Some(age) = age.filter(|_| may_answer && !is_leaving) else {
                self.write_feed_refusal(waiting.token, 503, "Service Unavailable");
                continue;
            };
            let key = (versions, waiting.accepts_compression);
            let reply = match replies.entry(key) {
                Entry::Occupied(known) => known.into_mut(),
                Entry::Vacant(unknown) => {
                    match self.encode_reply(versions, age, waiting.accepts_compression) {
                        Ok(reply) => {
                            self.log_large_reply(now, &reply);
                            unknown.insert(reply)
                        }
                        Err(error) => {
                            log::warn!(target: "process", "event=reply-not-encoded error={}", LogValue(&error));
                            self.write_feed_refusal(waiting.token, 503, "Service Unavailable");
                            continue;
                        }
                    }
                }
            };
            self.write_feed_reply(waiting.token, reply);
        }
        self.feed_server.next_deadline = still_waiting.iter().map(|waiting| waiting.deadline).min();
        self.feed_server.waiting = still_waiting;
        self.feed_server.has_changed = false;
    }

    fn has_changes_for(&self, versions: PollVersions) -> bool {
        let mut mirrors = self.mirrors.iter().zip(versions);
        mirrors.any(|(mirror, version)| mirror.has_changed_after(version) || version.get() == 0)
    }

    fn encode_reply(
        &self,
        versions: PollVersions,
        age: Duration,
        accepts_compression: bool,
    ) -> anyhow::Result<EncodedReply> {
        debug_assert_eq!(self.mirrors.len(), KINDS.len());
        let sections = self.mirrors.iter().zip(versions);
        let reply = Reply {
            era: self.era.current(),
            age,
            sections: sections
                .map(|(mirror, version)| mirror.section_after(version))
                .collect(),
        };
        let body = reply.encode()?;
        let uncompressed_bytes = body.len();
        let is_compressed =
            accepts_compression && uncompressed_bytes >= compression::COMPRESSED_BYTES_MIN;
        Ok(EncodedReply {
            body: if is_compressed {
                compression::compress(&body)?
            } else {
                body
            },
            is_compressed,
            uncompressed_bytes,
        })
    }

    fn log_large_reply(&self, now: Instant, reply: &EncodedReply) {
        let uncompressed_bytes = reply.uncompressed_bytes;
        if uncompressed_bytes >= LOGGED_REPLY_BYTES_MIN {
            let elapsed = self.clock.now().saturating_duration_since(now);
            log::info!(
                target: "belief",
                "event=large-reply reply_bytes={} uncompressed_bytes={uncompressed_bytes} encoded_after_ms={}",
                reply.body.len(),
                elapsed.as_millis()
            );
        }
    }

    /// Returns the bytes of replies that the sockets haven't accepted yet.
    pub(crate) fn unsent_reply_bytes(&self) -> usize {
        let streams = self.http_connections.values().map(|(_, stream)| stream);
        streams.map(Stream::unsent_bytes).sum()
    }

    fn write_feed_reply(&mut self, token: Token, reply: &EncodedReply) {
        if let Some((_, stream)) = self.http_connections.get_mut(&token) {
            let headers: &[(&str, &str)] = if reply.is_compressed {
                &[
                    ("Content-Type", "application/msgpack"),
                    ("Content-Encoding", compression::ENCODING),
                ]
            } else {
                &[("Content-Type", "application/msgpack")]
            };
            http::write_response(200, "OK", headers, &reply.body, stream.output());
            self.unflushed.insert(token);
            self.telemetry.count_answered_poll(reply.body.len());
        }
    }

    fn write_feed_refusal(&mut self, token: Token, status: u16, reason: &str) {
        if let Some((_, stream)) = self.http_connections.get_mut(&token) {
            http::write_text_response(status, reason, "no current copy\n", stream.output());
            self.unflushed.insert(token);
        }
    }
}
