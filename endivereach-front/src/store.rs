//! State that the process reads from the platform's object store and writes to it.

use crate::mirror::Call;
use crate::mirror::Mirror;
use crate::platform::ObjectKind;
use crate::platform::ObjectValue;
use crate::platform::OwnObjectName;
use crate::platform::Platform;
use crate::platform_calls::CallResult;
use crate::platform_calls::LostCall;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use endivereach_core::directory::Vm;
use endivereach_core::duty::DutyAction;
use endivereach_core::engine::PromoteResult;
use endivereach_core::engine::statement::FencingToken;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyName;
use endivereach_core::logfmt::LogValue;
use endivereach_core::store_era::StorePosition;
use endivereach_core::tenant_homes::HomeCandidate;
use endivereach_core::transfer::TransferDeadline;
use endivereach_core::transfer::TransferLimits;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The time after the end of its wait at which a watch without a response times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// The timeout of a read or a write, and of the start of a list. A store that is slowed down sixtyfold
/// still answers within it.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long the rest of a list or of a watch's changes may take to arrive. There is no other source
/// that is more likely to deliver it, so this is only a limit for a store that sends without an end.
const STORE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// The age up to which routes are assumed to contain every key, if the settings state no bound.
const KEYS_CURRENT_DEFAULT: Duration = Duration::from_secs(5);

/// The timeout of a promotion order, after which the order may be repeated.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) const OK: u16 = 200;
pub(crate) const CREATED: u16 = 201;
pub(crate) const NOT_FOUND: u16 = 404;
pub(crate) const CONFLICT: u16 = 409;
const GONE: u16 = 410;

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Fails expired calls and starts the calls that are due. Also passes the promotion duty to the
    /// engine, because its lease may have expired.
    pub(crate) fn start_due_calls(&mut self, now: Instant) {
        self.expire_calls(now);
        self.update_source(now);
        if self.feed_client.reader().is_some() {
            self.start_poll(now);
        } else {
            for mirror_index in 0..self.mirrors.len() {
                self.start_mirror_call(now, mirror_index);
            }
        }
        self.update_restored_lists(now);
        self.update_key_validity();
        self.start_registration(now);
        self.update_target_evidence();
        let held = self.duty.held(now);
        self.engine.set_duty(now, held);
        self.engine.set_duty_changed_at(self.duty.changed_at());
    }

    fn start_mirror_call(&mut self, now: Instant, mirror_index: usize) {
        let Some(connection_index) = self.platform_connection_index(Purpose::Mirror(mirror_index))
        else {
            return;
        };
        if self.platform_connections[connection_index].is_busy() {
            return;
        }
        let kind = self.mirrors[mirror_index].kind();
        if kind != ObjectKind::Own && self.waits_for_proxy_list(now) {
            return;
        }
        if !self.store_retry.is_due(now) {
            return;
        }
        let Some(call) = self.mirrors[mirror_index].next_call(now) else {
            return;
        };
        let (request, timeout) = match call {
            Call::List { after, age } => (
                self.platform.list(kind, after.as_deref(), age),
                CALL_TIMEOUT,
            ),
            Call::Watch { from, wait } => (
                self.platform.watch(kind, from, wait),
                wait + WATCH_TIMEOUT_MARGIN,
            ),
        };
        // While the store fails, one kind at a time finds out whether it has recovered. A watch that
        // is held longer than another call may take doesn't hold up the other kinds.
        self.store_retry
            .record_attempt(now, timeout.min(CALL_TIMEOUT));
        let limits = TransferLimits {
            first_byte: timeout,
            stall: CALL_TIMEOUT,
            total: timeout + STORE_TRANSFER_TIMEOUT,
        };
        self.start_call(now, connection_index, &request, limits);
    }

    pub(crate) fn acquire_duty(&mut self, now: Instant) {
        let Some(connection_index) = self.platform_connection_index(Purpose::Duty) else {
            return;
        };
        if self.platform_connections[connection_index].is_busy() {
            return;
        }
        let request = match self.duty.step(now) {
            DutyAction::Wait => return,
            DutyAction::Read => self.platform.get(&OwnObjectName::Duty),
            DutyAction::Write { expected } => {
                let value = ObjectValue::Duty(self.duty.record_write_sent(now));
                log::info!(target: "belief", "event=duty-asked expected={expected:?}");
                // The promotion needs a recent list, which is read while the write is in flight.
                if !self.engine.target_list().is_recent(now) {
                    self.read_targets(now);
                }
                self.platform.put(&OwnObjectName::Duty, expected, &value)
            }
        };
        let limits = TransferLimits::fixed(CALL_TIMEOUT);
        self.start_call(now, connection_index, &request, limits);
    }

    pub(crate) fn order_promotion(
        &mut self,
        now: Instant,
        group: GroupName,
        member: &MemberId,
        token: FencingToken,
    ) {
        let Some(connection_index) = self.platform_connection_index(Purpose::Promote) else {
            return;
        };
        let held = self.duty.held(now).filter(|held| held.token == token);
        let is_busy = self.platform_connections[connection_index].is_busy();
        let Some(held) = held.filter(|_| !is_busy) else {
            self.engine
                .promotion_finished(now, &group, PromoteResult::Lost);
            return;
        };
        let holder = self.proxy_id.name.clone();
        let request = self.platform.promote(&holder, token, &group, member);
        self.promotion_in_flight = Some(group);
        let limits = TransferLimits::fixed(PROMOTION_TIMEOUT);
        let deadline = TransferDeadline::new(now, limits).send_before(held.expires_at);
        self.start_call_before(connection_index, &request, deadline);
    }

    /// Dispatches the result of a call by the purpose of its connection.
    pub(crate) fn on_call_result(
        &mut self,
        now: Instant,
        connection_index: usize,
        result: CallResult,
    ) {
        let purpose = self.platform_connections[connection_index].purpose;
        let Some(result) = self.check_era(now, connection_index, result) else {
            return;
        };
        match purpose {
            Purpose::Mirror(mirror_index) => self.on_mirror_result(now, mirror_index, result),
            Purpose::Duty => {
                self.on_duty_result(now, result);
                self.close_platform_connection(connection_index);
            }
            Purpose::ReadTargets => self.on_target_read_result(now, connection_index, result),
            Purpose::Register => {
                self.on_registration_result(now, result);
                self.close_platform_connection(connection_index);
            }
            Purpose::RemoveProxy => {
                self.on_removal_result(&result);
                self.close_platform_connection(connection_index);
            }
            Purpose::Promote => {
                self.on_promote_result(now, result);
                self.close_platform_connection(connection_index);
            }
            Purpose::Feed => self.on_poll_result(now, connection_index, result),
        }
    }

    fn on_mirror_result(&mut self, now: Instant, mirror_index: usize, result: CallResult) {
        let kind = self.mirrors[mirror_index].kind();
        let is_changed = match result {
            CallResult::Answered(response) if response.status == OK => {
                match self.apply_response(now, mirror_index, &response.body) {
                    Ok(is_changed) => {
                        self.record_store_success(now);
                        is_changed
                    }
                    Err(error) => {
                        log::warn!(target: "belief", "event=store-unreadable kind={kind:?} error={}", LogValue(&error));
                        self.record_mirror_failure(now, mirror_index);
                        false
                    }
                }
            }
            CallResult::Answered(response) if response.status == GONE => {
                log::info!(target: "belief", "event=history-gone kind={kind:?}");
                self.mirrors[mirror_index].record_history_gone();
                false
            }
            CallResult::Answered(response) => {
                log::info!(target: "belief", "event=store-refused kind={kind:?} status={}", response.status);
                self.record_mirror_failure(now, mirror_index);
                false
            }
            CallResult::Lost(lost) => {
                log::info!(target: "belief", "event=store-lost kind={kind:?} {lost}");
                self.record_mirror_failure(now, mirror_index);
                false
            }
        };
        // Every response renews the evidence, which a waiting poll may need.
        self.feed_server.note_change();
        if is_changed {
            self.update_engine(now, mirror_index);
        }
        if kind == ObjectKind::Own {
            self.hasten_proxy_list(now, mirror_index);
        }
    }

    fn record_mirror_failure(&mut self, now: Instant, mirror_index: usize) {
        self.store_retry.record_failure(now, rand::random());
        self.mirrors[mirror_index].record_failure(now, rand::random());
    }

    /// Lets the calls that waited for the store to recover start at once.
    fn record_store_success(&mut self, now: Instant) {
        if self.store_retry.record_success() {
            for mirror in &mut self.mirrors {
                mirror.end_retry_delay(now);
            }
            self.duty.end_refused_delay();
            self.target_reads.end_retry_delay();
        }
    }

    fn apply_response(
        &mut self,
        now: Instant,
        mirror_index: usize,
        body: &[u8],
    ) -> Result<bool, crate::platform::DecodeError> {
        let kind = self.mirrors[mirror_index].kind();
        if self.mirrors[mirror_index].is_watching() {
            let changes = self.platform.decode_changes(kind, body)?;
            return Ok(self.mirrors[mirror_index].apply_changes(now, changes));
        }
        let page = self.platform.decode_page(kind, body)?;
        Ok(self.mirrors[mirror_index].apply_page(page))
    }

    /// Tells the engine how old the list of targets is.
    fn update_target_evidence(&mut self) {
        let mut mirrors = self.mirrors.iter();
        let targets = mirrors.find(|mirror| mirror.kind() == ObjectKind::Targets);
        if let Some(evidence) = targets.and_then(Mirror::evidence) {
            self.engine.record_target_evidence(evidence);
        }
    }

    /// Ends the call in flight of a mirror, and starts the next one at once.
    pub(crate) fn restart_mirror_call(&mut self, now: Instant, mirror_index: usize) {
        let Some(connection_index) = self.platform_connection_index(Purpose::Mirror(mirror_index))
        else {
            return;
        };
        if self.platform_connections[connection_index].is_busy() {
            self.mirrors[mirror_index].restart_call(now, Duration::ZERO);
            self.platform_connections[connection_index].cancel();
            self.close_platform_connection(connection_index);
        }
    }

    /// Tells the engine how long keys count as current, if the settings limit their age.
    fn update_key_validity(&mut self) {
        let Some(age_max) = self.settings.key_age_max else {
            return;
        };
        let mut mirrors = self.mirrors.iter();
        let routes = mirrors.find(|mirror| mirror.kind() == ObjectKind::Routes);
        let evidence = routes.and_then(Mirror::evidence);
        // Without evidence there are no routes yet, and no session has started.
        if let Some(evidence) = evidence {
            let until = evidence.valid_until(age_max);
            self.engine.set_keys_valid_until(Some(until));
        }
    }

    /// Returns whether the routes are so recent that they contain every key that must be accepted.
    pub(crate) fn are_keys_current(&self, now: Instant) -> bool {
        let routes = self
            .mirrors
            .iter()
            .find(|mirror| mirror.kind() == ObjectKind::Routes);
        let Some(routes) = routes else {
            return false;
        };
        let limit = self
            .settings
            .routes_in_force
            .unwrap_or(KEYS_CURRENT_DEFAULT);
        let evidence = routes.evidence();
        evidence.is_some_and(|evidence| evidence.age(now) < limit)
    }

    /// Returns whether the list of proxies has been read since the process started.
    pub(crate) fn is_proxy_list_known(&self) -> bool {
        let proxy_list = self
            .mirrors
            .iter()
            .find(|mirror| mirror.kind() == ObjectKind::Own);
        proxy_list.is_some_and(Mirror::is_listed)
    }

    /// Passes the current content of a mirror to the engine.
    pub(crate) fn update_engine(&mut self, now: Instant, mirror_index: usize) {
        let mirror = &self.mirrors[mirror_index];
        match mirror.kind() {
            ObjectKind::Routes => {
                for (_, value) in mirror.values() {
                    if let ObjectValue::Routes(routes) = value {
                        self.engine.set_routes(now, routes.clone());
                    }
                }
                if let Some(in_force) = self.settings.routes_in_force
                    && self.engine.tenants().is_some()
                {
                    // The routes' evidence shows whether a key is unknown or only newer.
                    self.mirrors[mirror_index].limit_watch_wait(in_force / 2);
                }
                self.update_home_groups();
                self.update_rate_limits(now);
                self.withdraw_relays();
            }
            ObjectKind::Targets => {
                let targets = mirror.values().filter_map(|(_, value)| match value {
                    ObjectValue::Target(entry) => Some(entry.clone()),
                    _ => None,
                });
                let targets = self.target_list.update(now, targets.collect());
                self.engine.set_targets(now, targets);
            }
            ObjectKind::Own => {
                let era = self.era.current();
                let listed = StorePosition {
                    era,
                    version: mirror.store_version(),
                };
                let mut entries = Vec::new();
                let mut has_duty = false;
                for (object, value) in mirror.values() {
                    match value {
                        ObjectValue::Proxy(entry) => entries.push(entry.clone()),
                        ObjectValue::Duty(claim) => {
                            has_duty = true;
                            let position = StorePosition {
                                era,
                                version: object.version,
                            };
                            self.duty.record_holder(position, claim.clone(), now);
                        }
                        _ => {}
                    }
                }
                if !has_duty && mirror.is_listed() {
                    self.duty.record_unlisted(listed, now);
                }
                let own_name = &self.proxy_id.name;
                // A proxy that had lost contact to this one may have marked the entry as leaving.
                let is_registered = entries
                    .iter()
                    .any(|entry| &entry.vm.name == own_name && !entry.vm.leaving);
                let entries = self.proxy_list.update(now, entries);
                let proxy_count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
                self.registration.record_list(
                    now,
                    listed.version,
                    is_registered,
                    proxy_count,
                    rand::random(),
                );
                self.engine.set_proxy_count(proxy_count);
                let feed_addrs: BTreeMap<ProxyName, SocketAddr> = entries
                    .iter()
                    .filter_map(|entry| Some((entry.vm.name.clone(), entry.feed_addr?)))
                    .collect();
                let proxies: Vec<HomeCandidate> = entries
                    .into_iter()
                    .map(|entry| HomeCandidate {
                        vm: entry.vm,
                        cpu_share: entry.cpu_share,
                    })
                    .collect();
                let readers: Vec<Vm> = proxies
                    .iter()
                    .map(|proxy| &proxy.vm)
                    .filter(|vm| feed_addrs.contains_key(&vm.name))
                    .cloned()
                    .collect();
                self.source_selector.set_proxies(&readers);
                self.feed_addrs = feed_addrs;
                self.update_home_members(proxies);
                self.update_rate_limits(now);
            }
        }
    }

    fn on_duty_result(&mut self, now: Instant, result: CallResult) {
        match result {
            CallResult::Answered(response) => match response.status {
                OK | CREATED | CONFLICT => {
                    self.target_reads.end_retry_delay();
                    match self.platform.decode_object(ObjectKind::Own, &response.body) {
                        Ok(object) => {
                            let position = StorePosition {
                                era: self.era.current(),
                                version: object.version,
                            };
                            if let Some(ObjectValue::Duty(claim)) = object.value {
                                if response.status == CONFLICT {
                                    self.duty.record_conflict(position, claim, now);
                                } else {
                                    self.duty.record_holder(position, claim, now);
                                }
                            }
                        }
                        Err(error) => {
                            log::warn!(target: "belief", "event=duty-unreadable error={}", LogValue(&error));
                        }
                    }
                    self.duty.record_write_failed();
                }
                NOT_FOUND => self.duty.record_absent(now),
                status => {
                    log::info!(target: "belief", "event=duty-refused status={status}");
                    self.duty.record_refused(now, rand::random());
                }
            },
            // A later read of the object shows whether the write took effect.
            CallResult::Lost(LostCall { reason, .. }) => {
                log::info!(target: "belief", "event=duty-answer-lost reason={reason:?}");
            }
        }
        let held = self.duty.held(now);
        self.engine.set_duty(now, held);
        self.engine.set_duty_changed_at(self.duty.changed_at());
    }

    fn on_promote_result(&mut self, now: Instant, result: CallResult) {
        let Some(group) = self.promotion_in_flight.take() else {
            return;
        };
        let outcome = match result {
            CallResult::Answered(response) => match response.status {
                OK | CREATED => PromoteResult::Accepted,
                CONFLICT => PromoteResult::Refused,
                status => {
                    log::info!(target: "belief", "event=promote-refused group={} status={status}", LogValue(&group));
                    PromoteResult::Lost
                }
            },
            CallResult::Lost(LostCall { reason, .. }) => {
                log::info!(target: "belief", "event=promote-lost group={} reason={reason:?}", LogValue(&group));
                PromoteResult::Lost
            }
        };
        self.engine.promotion_finished(now, &group, outcome);
    }
}
