//! What the process learns from the platform and writes to it.

use crate::front::Front;
use crate::lanes::CallEnd;
use crate::lanes::Purpose;
use crate::mirror::Call;
use crate::mirror::Mirror;
use crate::platform::Kind;
use crate::platform::OwnName;
use crate::platform::Platform;
use crate::platform::Value;
use crate::protocol::Protocol;
use endivereach_core::directory::Vm;
use endivereach_core::duty::Step;
use endivereach_core::engine::PromoteResult;
use endivereach_core::engine::statement::FencingToken;
use endivereach_core::engine::topology::TargetEntry;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use std::time::Duration;
use std::time::Instant;

/// How long a watch may wait for a change.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// How much longer than its wait a watch may stay without an answer.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// How long a list, a read or a write may take. It covers a store that is slowed sixtyfold.
const CALL_PATIENCE: Duration = Duration::from_millis(700);

/// How long an order to promote may take before it is given again.
const PROMOTE_PATIENCE: Duration = Duration::from_millis(500);

const OK: u16 = 200;
const CREATED: u16 = 201;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const GONE: u16 = 410;

impl<P: Protocol, A: Platform> Front<P, A> {
    /// Makes the calls that are due.
    pub(crate) fn drive_store(&mut self, now: Instant) {
        self.expire_calls(now);
        for mirror in 0..self.mirrors.len() {
            self.drive_mirror(now, mirror);
        }
        if !self.is_registered && self.draining_since.is_none() {
            self.register(now);
        }
        let held = self.duty.held(now);
        self.engine.set_duty(now, held);
    }

    fn drive_mirror(&mut self, now: Instant, mirror: usize) {
        let Some(lane) = self.lane(Purpose::Mirror(mirror)) else {
            return;
        };
        if self.lanes[lane].is_busy() {
            return;
        }
        let Some(call) = self.mirrors[mirror].next_call(now) else {
            return;
        };
        let kind = self.mirrors[mirror].kind();
        let (request, patience) = match call {
            Call::List { after } => (self.platform.list(kind, after.as_deref()), CALL_PATIENCE),
            Call::Watch { from } => (
                self.platform.watch(kind, from, WATCH_WAIT),
                WATCH_WAIT + WATCH_SLACK,
            ),
        };
        self.call(now, lane, &request, patience);
    }

    /// Lists this process among the proxies, so that the others know how many share.
    fn register(&mut self, now: Instant) {
        let Some(lane) = self.lane(Purpose::Register) else {
            return;
        };
        if self.lanes[lane].is_busy() {
            return;
        }
        let name = OwnName::Proxy(self.own.name.clone());
        let location = &self.settings.location;
        let value = Value::Proxy {
            vm: Vm {
                name: self.own.name.clone(),
                region: location.region.clone(),
                zone: location.zone.clone(),
                peer_addr: self.settings.peers_addr,
                sql_addr: self.settings.callers_addr,
                leaving: false,
            },
        };
        let request = self.platform.put(&name, None, &value);
        self.call(now, lane, &request, CALL_PATIENCE);
    }

    /// Takes this process off the list of proxies.
    pub(crate) fn unregister(&mut self, now: Instant) {
        let Some(lane) = self.lane(Purpose::Register) else {
            return;
        };
        if self.lanes[lane].is_busy() {
            // The list only guides how connections are shared: a stale entry makes shares smaller.
            log::info!(target: "process", "event=not-unregistered reason=call-under-way");
            return;
        }
        let request = self.platform.delete(&OwnName::Proxy(self.own.name.clone()));
        self.call(now, lane, &request, CALL_PATIENCE);
    }

    pub(crate) fn acquire_duty(&mut self, now: Instant) {
        let Some(lane) = self.lane(Purpose::Duty) else {
            return;
        };
        if self.lanes[lane].is_busy() {
            return;
        }
        let request = match self.duty.step(now) {
            Step::Wait => return,
            Step::Read => self.platform.get(&OwnName::Duty),
            Step::Write { expected } => {
                self.duty.note_write_sent(now);
                self.duty_turn += 1;
                let value = Value::Duty {
                    holder: self.own.clone(),
                    turn: self.duty_turn,
                };
                log::info!(target: "belief", "event=duty-asked expected={expected:?}");
                self.platform.put(&OwnName::Duty, expected, &value)
            }
        };
        self.call(now, lane, &request, CALL_PATIENCE);
    }

    pub(crate) fn order_promotion(
        &mut self,
        now: Instant,
        group: GroupName,
        member: &MemberId,
        token: FencingToken,
    ) {
        let Some(lane) = self.lane(Purpose::Promote) else {
            return;
        };
        if self.lanes[lane].is_busy() || self.duty.held(now).is_none() {
            self.engine.promote_ended(now, &group, PromoteResult::Lost);
            return;
        }
        let holder = self.own.name.clone();
        let request = self.platform.promote(&holder, token, &group, member);
        self.promoting = Some(group);
        self.call(now, lane, &request, PROMOTE_PATIENCE);
    }

    /// A call ended: dispatches it by its lane's purpose.
    pub(crate) fn call_ended(&mut self, now: Instant, lane: usize, end: CallEnd) {
        match self.lanes[lane].purpose {
            Purpose::Mirror(mirror) => self.mirror_call_ended(now, mirror, end),
            Purpose::Duty => {
                self.duty_call_ended(now, end);
                self.close_lane(lane);
            }
            Purpose::Register => {
                self.register_call_ended(end);
                self.close_lane(lane);
            }
            Purpose::Promote => {
                self.promote_call_ended(now, end);
                self.close_lane(lane);
            }
        }
    }

    fn mirror_call_ended(&mut self, now: Instant, mirror: usize, end: CallEnd) {
        let kind = self.mirrors[mirror].kind();
        let is_changed = match end {
            CallEnd::Answered(response) if response.status == OK => {
                match self.take_in(now, mirror, &response.body) {
                    Ok(is_changed) => is_changed,
                    Err(error) => {
                        log::warn!(target: "belief", "event=store-unreadable kind={kind:?} error={error}");
                        self.mirror_failed(now, mirror);
                        false
                    }
                }
            }
            CallEnd::Answered(response) if response.status == GONE => {
                log::info!(target: "belief", "event=history-gone kind={kind:?}");
                self.mirrors[mirror].note_history_gone();
                false
            }
            CallEnd::Answered(response) => {
                log::info!(target: "belief", "event=store-refused kind={kind:?} status={}", response.status);
                self.mirror_failed(now, mirror);
                false
            }
            CallEnd::Lost(reason) => {
                log::info!(target: "belief", "event=store-lost kind={kind:?} reason={reason:?}");
                self.mirror_failed(now, mirror);
                false
            }
        };
        if is_changed {
            self.apply(now, mirror);
        }
    }

    fn mirror_failed(&mut self, now: Instant, mirror: usize) {
        self.mirrors[mirror].note_failure(now, rand::random());
    }

    fn take_in(
        &mut self,
        now: Instant,
        mirror: usize,
        body: &[u8],
    ) -> Result<bool, crate::platform::DecodeError> {
        let kind = self.mirrors[mirror].kind();
        if self.mirrors[mirror].is_watching() {
            let events = self.platform.decode_events(kind, body)?;
            return Ok(self.mirrors[mirror].note_events(now, events));
        }
        let page = self.platform.decode_page(kind, body)?;
        Ok(self.mirrors[mirror].note_page(page))
    }

    /// Returns whether the list of proxies was read since the start.
    pub(crate) fn is_fleet_known(&self) -> bool {
        let own = self
            .mirrors
            .iter()
            .find(|mirror| mirror.kind() == Kind::Own);
        own.is_some_and(Mirror::is_listed)
    }

    /// Hands what a mirror shows to the engine.
    fn apply(&mut self, now: Instant, mirror: usize) {
        let mirror = &self.mirrors[mirror];
        match mirror.kind() {
            Kind::Routes => {
                for (_, value) in mirror.values() {
                    if let Value::Routes(routes) = value {
                        self.engine.set_routes(now, routes.clone());
                    }
                }
                self.choose_homes();
            }
            Kind::Targets => {
                let targets: Vec<TargetEntry> = mirror
                    .values()
                    .filter_map(|(_, value)| match value {
                        Value::Target(entry) => Some(entry.clone()),
                        _ => None,
                    })
                    .collect();
                self.engine.set_targets(now, targets);
            }
            Kind::Own => {
                let mut proxies = Vec::new();
                let mut has_duty = false;
                for (object, value) in mirror.values() {
                    match value {
                        Value::Proxy { vm } => proxies.push(vm.clone()),
                        Value::Duty { holder, .. } => {
                            has_duty = true;
                            self.duty.observe(object.version, holder.clone(), now);
                        }
                        _ => {}
                    }
                }
                if !has_duty && mirror.is_listed() {
                    self.duty.observe_absent();
                }
                let fleet_size = u32::try_from(proxies.len()).unwrap_or(u32::MAX);
                self.engine.set_fleet_size(fleet_size);
                self.proxies = proxies;
                self.choose_homes();
            }
        }
    }

    fn duty_call_ended(&mut self, now: Instant, end: CallEnd) {
        match end {
            CallEnd::Answered(response) => match response.status {
                OK | CREATED | CONFLICT => {
                    match self.platform.decode_object(Kind::Own, &response.body) {
                        Ok(object) => {
                            if let Some(Value::Duty { holder, .. }) = object.value {
                                self.duty.observe(object.version, holder, now);
                            }
                        }
                        Err(error) => {
                            log::warn!(target: "belief", "event=duty-unreadable error={error}");
                        }
                    }
                    self.duty.note_not_written();
                }
                NOT_FOUND => self.duty.observe_absent(),
                status => {
                    log::info!(target: "belief", "event=duty-refused status={status}");
                    self.duty.note_not_written();
                }
            },
            // Whether it was written is found out by reading the object.
            CallEnd::Lost(reason) => {
                log::info!(target: "belief", "event=duty-answer-lost reason={reason:?}");
            }
        }
        let held = self.duty.held(now);
        self.engine.set_duty(now, held);
    }

    fn register_call_ended(&mut self, end: CallEnd) {
        match end {
            CallEnd::Answered(response) if matches!(response.status, OK | CREATED | CONFLICT) => {
                self.is_registered = true;
            }
            CallEnd::Answered(response) => {
                log::info!(target: "belief", "event=register-refused status={}", response.status);
            }
            CallEnd::Lost(reason) => {
                log::info!(target: "belief", "event=register-lost reason={reason:?}");
            }
        }
    }

    fn promote_call_ended(&mut self, now: Instant, end: CallEnd) {
        let Some(group) = self.promoting.take() else {
            return;
        };
        let result = match end {
            CallEnd::Answered(response) => match response.status {
                OK | CREATED => PromoteResult::Accepted,
                CONFLICT => PromoteResult::Refused,
                status => {
                    log::info!(target: "belief", "event=promote-refused group={group} status={status}");
                    PromoteResult::Lost
                }
            },
            CallEnd::Lost(reason) => {
                log::info!(target: "belief", "event=promote-lost group={group} reason={reason:?}");
                PromoteResult::Lost
            }
        };
        self.engine.promote_ended(now, &group, result);
    }
}
