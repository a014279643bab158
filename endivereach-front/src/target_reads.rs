//! Reads of the whole list of targets from the platform, on which promotions rest.
//!
//! The copy of the targets may be old: an answer to its watch may have been lost, or the process may
//! follow a reader. So this list is read on a connection of its own, whatever the copy's source is.

use crate::feed::Section;
use crate::mirror::Mirror;
use crate::platform::ListAge;
use crate::platform::Object;
use crate::platform::ObjectKind;
use crate::platform::Page;
use crate::platform::Platform;
use crate::platform_calls::CallResult;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use crate::store::CALL_TIMEOUT;
use crate::store::OK;
use endivereach_core::exchange::Evidence;
use endivereach_core::ids::Version;
use endivereach_core::logfmt::LogValue;
use endivereach_core::retry::RetryPace;
use endivereach_core::transfer::TransferLimits;
use std::collections::BTreeMap;
use std::time::Instant;

/// A read of the list, in one or more pages.
#[derive(Debug)]
struct ListRead {
    /// When the first page was requested, from which the list is complete.
    asked_at: Instant,
    /// The store version of the first page.
    version: Option<Version>,
    listed: BTreeMap<Box<str>, Object>,
    /// The name after which the next page starts.
    after: Option<Box<str>>,
}

/// The state of the reads of the list.
#[derive(Debug, Default)]
pub(crate) struct TargetReads {
    current: Option<ListRead>,
    pace: RetryPace,
}

impl TargetReads {
    /// Ends the delay after a failed read, because the platform answers other calls.
    pub(crate) fn end_retry_delay(&mut self) {
        self.pace.record_success();
    }
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Starts to read the list of targets, unless a read is in flight or one has just failed.
    pub(crate) fn read_targets(&mut self, now: Instant) {
        if self.target_reads.current.is_some() || !self.target_reads.pace.is_due(now) {
            return;
        }
        self.target_reads.current = Some(ListRead {
            asked_at: now,
            version: None,
            listed: BTreeMap::new(),
            after: None,
        });
        self.request_targets_page(now);
    }

    /// Ends the read in flight, because the store has returned from a copy.
    pub(crate) fn cancel_target_read(&mut self) {
        self.target_reads.current = None;
        if let Some(connection_index) = self.platform_connection_index(Purpose::ReadTargets) {
            self.platform_connections[connection_index].cancel();
            self.close_platform_connection(connection_index);
        }
    }

    fn request_targets_page(&mut self, now: Instant) {
        let (Some(connection_index), Some(read)) = (
            self.platform_connection_index(Purpose::ReadTargets),
            &self.target_reads.current,
        ) else {
            return;
        };
        let request =
            self.platform
                .list(ObjectKind::Targets, read.after.as_deref(), ListAge::Current);
        let limits = TransferLimits {
            first_byte: CALL_TIMEOUT,
            stall: CALL_TIMEOUT,
            total: CALL_TIMEOUT * 2,
        };
        self.start_call(now, connection_index, &request, limits);
    }

    /// Processes the result of a page.
    pub(crate) fn on_target_read_result(
        &mut self,
        now: Instant,
        connection_index: usize,
        result: CallResult,
    ) {
        let page = match result {
            CallResult::Answered(response) if response.status == OK => self
                .platform
                .decode_page(ObjectKind::Targets, &response.body)
                .map_err(|error| error.to_string()),
            CallResult::Answered(response) => Err(format!("status-{}", response.status)),
            CallResult::Lost(lost) => Err(lost.reason.to_owned()),
        };
        let read = self.target_reads.current.take();
        match (page, read) {
            (Ok(page), Some(read)) => self.add_targets_page(now, connection_index, read, page),
            (Err(reason), _) => {
                log::info!(target: "belief", "event=target-list-not-read reason={}", LogValue(&reason));
                self.target_reads.pace.record_failure(now, rand::random());
                self.close_platform_connection(connection_index);
            }
            (Ok(_), None) => self.close_platform_connection(connection_index),
        }
    }

    fn add_targets_page(
        &mut self,
        now: Instant,
        connection_index: usize,
        mut read: ListRead,
        page: Page,
    ) {
        let version = *read.version.get_or_insert(page.store_version);
        let last = page.objects.last().map(|object| object.name.clone());
        let objects = page.objects.into_iter();
        read.listed
            .extend(objects.map(|object| (object.name.clone(), object)));
        if page.has_more && last.is_some() {
            read.after = last;
            self.target_reads.current = Some(read);
            self.request_targets_page(now);
            return;
        }
        self.target_reads.pace.record_success();
        self.close_platform_connection(connection_index);
        let section = Section {
            kind: ObjectKind::Targets,
            store_version: version,
            is_complete: true,
            objects: read.listed.into_values().collect(),
            deleted: Vec::new(),
        };
        let is_changed = self.apply_target_list(now, section, read.asked_at);
        log::info!(
            target: "belief",
            "event=target-list-read version={version} took_ms={} is_changed={is_changed}",
            now.saturating_duration_since(read.asked_at).as_millis()
        );
        self.engine.targets_read(now, read.asked_at);
    }

    /// Applies a complete list to the copy of the targets. Returns whether it changed.
    fn apply_target_list(&mut self, now: Instant, section: Section, asked_at: Instant) -> bool {
        let is_of_targets = |mirror: &Mirror| mirror.kind() == ObjectKind::Targets;
        let Some(mirror_index) = self.mirrors.iter().position(is_of_targets) else {
            return false;
        };
        let evidence = Evidence::from_platform(asked_at);
        let mirror = &mut self.mirrors[mirror_index];
        let was_watching = mirror.is_watching();
        let is_changed = mirror.apply_section(section, evidence);
        if is_changed || mirror.is_watching() != was_watching {
            // The call in flight didn't return these changes: its answer may be lost, or describe an
            // older state.
            self.restart_mirror_call(now, mirror_index);
        }
        if is_changed {
            self.feed_server.note_change();
            self.update_engine(now, mirror_index);
        }
        is_changed
    }
}
