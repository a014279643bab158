//! The era of the platform's store: answers of earlier eras are ignored, and state that the store may
//! have lost is given up when it has returned from a copy.

use crate::platform::ObjectKind;
use crate::platform::Platform;
use crate::platform_calls::CallResult;
use crate::platform_calls::LostCall;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use endivereach_core::ids::Era;
use endivereach_core::logfmt::LogValue;
use endivereach_core::registration::Registration;
use endivereach_core::store_era::EraChange;
use std::time::Duration;
use std::time::Instant;

/// The maximum delay before a process reads the objects again, which spreads the lists of all
/// processes.
const LIST_DELAY_MAX: Duration = Duration::from_millis(200);

/// How long entries that a restored list lacks are kept: two seconds in which their writers write
/// them again, and half a second in which the changes arrive.
const KEEP_MISSING: Duration = Duration::from_millis(2_500);

/// The same for proxies, whose changes are read in batches, in addition to the time over which they
/// spread their writes.
const KEEP_MISSING_PROXIES: Duration = Duration::from_secs(5);

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Checks the era of a result. Returns the result to handle, or `None` if there is nothing left
    /// to do.
    pub(crate) fn check_era(
        &mut self,
        now: Instant,
        connection_index: usize,
        result: CallResult,
    ) -> Option<CallResult> {
        let purpose = self.platform_connections[connection_index].purpose;
        let response = match result {
            // Readers state the era in the body, and the promotion service has none.
            result if matches!(purpose, Purpose::Promote | Purpose::Feed) => return Some(result),
            CallResult::Lost(lost) => return Some(CallResult::Lost(lost)),
            CallResult::Answered(response) => response,
        };
        let era = match self.platform.decode_era(&response) {
            Ok(era) => era,
            Err(error) => {
                log::warn!(target: "belief", "event=store-era-unreadable error={}", LogValue(&error));
                self.close_platform_connection(connection_index);
                return Some(CallResult::Lost(LostCall::from("unreadable era")));
            }
        };
        match self.era.observe(era) {
            EraChange::Unchanged => Some(CallResult::Answered(response)),
            EraChange::Older => {
                self.close_platform_connection(connection_index);
                Some(CallResult::Lost(LostCall::from("answer of an earlier era")))
            }
            EraChange::Newer { before } => {
                self.enter_era(now, before);
                // Lists and watches start again.
                let is_cancelled = matches!(purpose, Purpose::Mirror(_));
                (!is_cancelled).then_some(CallResult::Answered(response))
            }
        }
    }

    /// Gives up what the store may have lost: the duty, all versions, and this process's entry.
    pub(crate) fn enter_era(&mut self, now: Instant, before: Era) {
        log::warn!(
            target: "belief",
            "event=store-restored era={} before={before} had_duty={} reads_again=all writes_again=registration",
            self.era.current(),
            self.duty.held(now).is_some()
        );
        self.telemetry.count_era();
        self.duty.enter_era();
        self.engine.set_duty(now, None);
        self.cancel_target_read();
        self.engine.discard_target_evidence();
        let list_delay = LIST_DELAY_MAX.mul_f64(rand::random());
        for mirror in &mut self.mirrors {
            mirror.enter_era(now, list_delay);
        }
        for index in 0..self.platform_connections.len() {
            if matches!(self.platform_connections[index].purpose, Purpose::Mirror(_)) {
                self.platform_connections[index].cancel();
                self.close_platform_connection(index);
            }
        }
        let proxy_count = u32::try_from(self.proxy_list.len()).unwrap_or(u32::MAX);
        self.registration.rewrite(now, proxy_count, rand::random());
        self.target_list.enter_era(now, KEEP_MISSING);
        let spread = Registration::spread(proxy_count);
        self.proxy_list
            .enter_era(now, KEEP_MISSING_PROXIES + spread);
    }

    /// Passes a list to the engine again when the time is over for which missing entries are kept.
    pub(crate) fn update_restored_lists(&mut self, now: Instant) {
        for mirror_index in 0..self.mirrors.len() {
            let mirror = &self.mirrors[mirror_index];
            let is_due = match mirror.kind() {
                ObjectKind::Targets => self.target_list.is_update_due(now),
                ObjectKind::Own => self.proxy_list.is_update_due(now),
                ObjectKind::Routes => false,
            };
            // Before a list of the new era, nothing shows which entries are missing.
            if is_due && mirror.is_listed_in_era() {
                self.update_engine(now, mirror_index);
            }
        }
    }
}
