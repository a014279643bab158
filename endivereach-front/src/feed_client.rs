//! Following a reader: the choice of the source of the platform's objects, and the polls of the
//! reader.

use crate::compression;
use crate::feed::Poll;
use crate::feed::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::mirror::Mirror;
use crate::platform::ObjectKind;
use crate::platform::Platform;
use crate::platform_calls::CallResult;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use endivereach_core::exchange::Evidence;
use endivereach_core::ids::Era;
use endivereach_core::ids::ProxyName;
use endivereach_core::logfmt::LogText;
use endivereach_core::logfmt::LogValue;
use endivereach_core::store_era::EraChange;
use endivereach_core::store_source::EVIDENCE_AGE_MAX;
use endivereach_core::store_source::Source;
use endivereach_core::transfer::TransferLimits;
use std::time::Duration;
use std::time::Instant;

/// How long a starting process waits for a list of proxies that includes readers or itself before it
/// reads all objects from the platform. Lists may be old, and if all processes start together, a
/// list from before this process registered misses the others too.
const PROXY_LIST_PATIENCE: Duration = Duration::from_millis(500);

/// The interval between the lists of proxies in this time, if they name several regions. Reads of
/// this list cost a tenth of the reads of routes and targets that they save.
const PROXY_LIST_INTERVAL_STARTING: Duration = Duration::from_millis(150);

/// The time between two arrivals of bytes after which a reader that has begun to reply counts as
/// failed. A reader sends a large reply to all its followers at the same time, so that the bytes of one
/// arrive with gaps.
const REPLY_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a reader's reply may take to arrive. A slower one is worth less than a read of the
/// platform, which starts from the beginning.
const REPLY_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a reader's reply isn't enough to follow the reader.
#[derive(Debug, thiserror::Error)]
enum ReplyError {
    #[error("the copy is {age_ms} ms old; another source is used")]
    OldCopy { age_ms: u128 },
    #[error("the copy is of the earlier era {era} of the store; another source is used")]
    EarlierEra { era: Era },
}

/// The state of a process that may follow a reader.
#[derive(Debug)]
pub(crate) struct FeedClient {
    started_at: Instant,
    source: Source,
    /// Whether the reader has answered a poll.
    is_confirmed: bool,
    sent_at: Instant,
    wait: Duration,
}

impl FeedClient {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            source: Source::Platform,
            is_confirmed: false,
            sent_at: now,
            wait: Duration::ZERO,
        }
    }

    /// Returns the reader that this process follows, or `None` if it reads the platform.
    pub(crate) fn reader(&self) -> Option<&ProxyName> {
        self.source.reader()
    }
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Returns whether the calls for routes and targets wait until the list of proxies shows
    /// whether this process follows a reader.
    pub(crate) fn waits_for_proxy_list(&self, now: Instant) -> bool {
        let is_list_incomplete =
            !self.is_listed_itself() || self.source_selector.may_get_region_readers();
        self.settings.feed_addr.is_some()
            && is_list_incomplete
            && !self.source_selector.has_readers()
            && now < self.feed_client.started_at + PROXY_LIST_PATIENCE
    }

    /// Asks for the next list of proxies early while a starting process of several regions waits for
    /// one that shows the reader of its region.
    pub(crate) fn hasten_proxy_list(&mut self, now: Instant, mirror_index: usize) {
        if self.source_selector.may_get_region_readers() && self.waits_for_proxy_list(now) {
            self.mirrors[mirror_index].shorten_delay(now + PROXY_LIST_INTERVAL_STARTING);
        }
    }

    fn is_listed_itself(&self) -> bool {
        self.feed_addrs.contains_key(&self.proxy_id.name)
    }

    /// Selects the source of the platform's objects, and moves to another one if it changed.
    pub(crate) fn update_source(&mut self, now: Instant) {
        if self.settings.feed_addr.is_none() || self.waits_for_proxy_list(now) {
            return;
        }
        let source = self.source_selector.select(now);
        if source == self.feed_client.source || self.is_response_arriving() {
            return;
        }
        let name = |source: &Source| source.reader().map_or("none".into(), ToString::to_string);
        log::info!(
            target: "belief",
            "event=store-source reader={} before={} is_regions={}",
            LogValue(name(&source)),
            LogValue(name(&self.feed_client.source)),
            matches!(source, Source::RegionReader(_))
        );
        self.cancel_source_calls(now, source.reader().is_some());
        self.feed_client.source = source;
        self.feed_client.is_confirmed = false;
    }

    /// Returns whether a response of the current source is arriving. The next source would send it again
    /// from the beginning.
    fn is_response_arriving(&self) -> bool {
        self.platform_connections.iter().any(|connection| {
            matches!(connection.purpose, Purpose::Mirror(_) | Purpose::Feed)
                && connection.received_bytes() > 0
        })
    }

    /// Cancels the calls to the previous source.
    fn cancel_source_calls(&mut self, now: Instant, follows_reader: bool) {
        let delay = if follows_reader {
            Duration::ZERO
        } else {
            self.source_selector.fallback_delay(rand::random())
        };
        for index in 0..self.platform_connections.len() {
            let purpose = self.platform_connections[index].purpose;
            if let Purpose::Mirror(mirror_index) = purpose {
                self.mirrors[mirror_index].restart_call(now, delay);
            }
            if matches!(purpose, Purpose::Mirror(_) | Purpose::Feed) {
                self.platform_connections[index].cancel();
                self.close_platform_connection(index);
            }
        }
    }

    /// Polls the reader, unless a poll is in flight.
    pub(crate) fn start_poll(&mut self, now: Instant) {
        let Some(connection_index) = self.platform_connection_index(Purpose::Feed) else {
            return;
        };
        let reader = self.feed_client.reader();
        let addr = reader.and_then(|reader| self.feed_addrs.get(reader));
        let Some(addr) = addr.copied() else {
            return;
        };
        if self.platform_connections[connection_index].is_busy() {
            return;
        }
        self.platform_connections[connection_index].addr = addr;
        let is_confirmed = self.feed_client.is_confirmed;
        let timing = self.feed_client.source.poll_timing(is_confirmed);
        let wait = timing.wait;
        let limits = TransferLimits {
            first_byte: wait + timing.timeout_margin,
            stall: REPLY_STALL_TIMEOUT,
            total: wait + REPLY_TRANSFER_TIMEOUT,
        };
        self.feed_client.sent_at = now;
        self.feed_client.wait = wait;
        let poll = Poll {
            era: self.era.current(),
            versions: std::array::from_fn(|index| self.mirrors[index].store_version()),
            wait,
        };
        let request = Request {
            method: "GET",
            path: poll.path().into(),
            headers: vec![("Accept-Encoding", compression::ENCODING.into())],
            body: Vec::new(),
        };
        self.start_call(now, connection_index, &request, limits);
        self.telemetry.count_poll();
    }

    /// Applies a reader's reply, or gives the reader up.
    pub(crate) fn on_poll_result(
        &mut self,
        now: Instant,
        connection_index: usize,
        result: CallResult,
    ) {
        let mut received_bytes = 0;
        let failure: Box<str> = match result {
            CallResult::Answered(response) if response.status == 200 => {
                match decode_reply(&response) {
                    Ok(reply) => match self.apply_reply(now, reply) {
                        Ok(()) => return,
                        Err(error) => error.to_string().into(),
                    },
                    Err(error) => error.to_string().into(),
                }
            }
            CallResult::Answered(response) => format!("status-{}", response.status).into(),
            CallResult::Lost(lost) => {
                received_bytes = lost.received_bytes;
                lost.reason.into()
            }
        };
        self.close_platform_connection(connection_index);
        let Some(reader) = self.feed_client.reader().cloned() else {
            return;
        };
        log::info!(
            target: "belief",
            "event=reader-failed reader={} waited_ms={} received_bytes={received_bytes} reason={}",
            LogValue(&reader),
            now.saturating_duration_since(self.feed_client.sent_at).as_millis(),
            LogText(&failure)
        );
        self.telemetry.count_failed_poll();
        self.source_selector
            .record_failure(now, &reader, rand::random());
    }

    /// Applies a reply to the copies of the platform's objects.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader's copy is of an earlier era of the store, or if the reader's
    /// evidence was too old when it replied. What is newer in an old copy is used all the same, and the
    /// process goes on looking for a better source.
    fn apply_reply(&mut self, now: Instant, reply: Reply) -> Result<(), ReplyError> {
        match self.era.observe(reply.era) {
            EraChange::Unchanged => {}
            EraChange::Older => return Err(ReplyError::EarlierEra { era: reply.era }),
            EraChange::Newer { before } => self.enter_era(now, before),
        }
        let held_until = self.feed_client.sent_at + self.feed_client.wait;
        let has_changes = reply
            .sections
            .iter()
            .any(|section| !section.objects.is_empty() || !section.deleted.is_empty());
        // A reply without changes was sent at the end of the wait, unless it came early.
        let stated_at = if !has_changes && now >= held_until {
            held_until
        } else {
            self.feed_client.sent_at
        };
        let evidence = Evidence::from_peer(stated_at, reply.age);
        if let Some(evidence) = evidence {
            for section in reply.sections {
                let is_of_kind = |mirror: &Mirror| mirror.kind() == section.kind;
                let Some(mirror_index) = self.mirrors.iter().position(is_of_kind) else {
                    continue;
                };
                if self.mirrors[mirror_index].apply_section(section, evidence) {
                    self.feed_server.note_change();
                    self.update_engine(now, mirror_index);
                }
            }
        }
        // The time in which the reply arrived says nothing about the reader's copy.
        if reply.age > EVIDENCE_AGE_MAX {
            return Err(ReplyError::OldCopy {
                age_ms: reply.age.as_millis(),
            });
        }
        self.feed_client.is_confirmed = true;
        Ok(())
    }

    /// Returns the age of the evidence for the oldest of the copies that must be current.
    pub(crate) fn evidence_age(&self, now: Instant) -> Option<Duration> {
        let must_be_current = |mirror: &&Mirror| mirror.kind() != ObjectKind::Own;
        let ages = self.mirrors.iter().filter(must_be_current);
        let ages: Option<Vec<Duration>> = ages
            .map(|mirror| Some(mirror.evidence()?.age(now)))
            .collect();
        ages?.into_iter().max()
    }
}

fn decode_reply(response: &Response) -> anyhow::Result<Reply> {
    if response.header("Content-Encoding") == Some(compression::ENCODING) {
        let body = compression::decompress(&response.body)?;
        return Ok(Reply::decode(&body)?);
    }
    Ok(Reply::decode(&response.body)?)
}
