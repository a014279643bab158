//! The entry of this process in the list of proxies, from which every proxy computes the homes of the
//! groups and its share of the connections.

use crate::platform::ObjectKind;
use crate::platform::ObjectValue;
use crate::platform::OwnObjectName;
use crate::platform::Platform;
use crate::platform_calls::CallResult;
use crate::platform_calls::LostCall;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use crate::store::CALL_TIMEOUT;
use crate::store::CONFLICT;
use crate::store::CREATED;
use crate::store::NOT_FOUND;
use crate::store::OK;
use endivereach_core::directory::Vm;
use endivereach_core::logfmt::LogValue;
use endivereach_core::registration::RegistrationAction;
use endivereach_core::restored_list::ProxyEntry;
use endivereach_core::transfer::TransferLimits;
use std::time::Instant;

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Writes or removes this process's entry if that is due.
    pub(crate) fn start_registration(&mut self, now: Instant) {
        let Some(connection_index) = self.platform_connection_index(Purpose::Register) else {
            return;
        };
        if self.platform_connections[connection_index].is_busy() {
            return;
        }
        let name = OwnObjectName::Proxy(self.proxy_id.name.clone());
        let own_entry = || ObjectValue::Proxy(self.own_entry());
        let request = match self.registration.step(now) {
            RegistrationAction::Wait => return,
            RegistrationAction::Create => self.platform.put(&name, None, &own_entry()),
            RegistrationAction::Replace { expected } => {
                self.platform.put(&name, Some(expected), &own_entry())
            }
            RegistrationAction::Remove => self.platform.delete(&name),
        };
        self.registration.record_sent(now, rand::random());
        self.start_call(
            now,
            connection_index,
            &request,
            TransferLimits::fixed(CALL_TIMEOUT),
        );
    }

    /// Returns this process's description of the VM that it runs on.
    pub(crate) fn own_vm(&self) -> Vm {
        let location = &self.settings.location;
        Vm {
            name: self.proxy_id.name.clone(),
            region: location.region.clone(),
            zone: location.zone.clone(),
            peer_addr: self.settings.peers_addr,
            sql_addr: self.settings.callers_addr,
            leaving: false,
        }
    }

    fn own_entry(&self) -> ProxyEntry {
        ProxyEntry {
            vm: self.own_vm(),
            feed_addr: self.settings.feed_addr,
            incarnation: self.proxy_id.incarnation,
            cpu_share: self.settings.cpu_share,
        }
    }

    pub(crate) fn on_registration_result(&mut self, now: Instant, result: CallResult) {
        if self.registration.is_removal_requested() {
            let is_confirmed = match &result {
                CallResult::Answered(response) => matches!(response.status, OK | NOT_FOUND),
                CallResult::Lost(_) => false,
            };
            self.registration.record_removal_result(is_confirmed);
            return;
        }
        let response = match result {
            CallResult::Answered(response) => response,
            CallResult::Lost(LostCall { reason, .. }) => {
                log::info!(target: "belief", "event=register-lost reason={reason:?}");
                return;
            }
        };
        match response.status {
            OK | CREATED | CONFLICT => {
                match self.platform.decode_object(ObjectKind::Own, &response.body) {
                    Ok(object) => {
                        let own_value = ObjectValue::Proxy(self.own_entry());
                        let is_own = object.value.as_ref() == Some(&own_value);
                        self.registration.record_entry(now, object.version, is_own);
                    }
                    Err(error) => {
                        log::warn!(target: "belief", "event=registration-unreadable error={}", LogValue(&error));
                    }
                }
            }
            NOT_FOUND => self.registration.record_absent(now),
            status => {
                log::info!(target: "belief", "event=register-refused status={status}");
            }
        }
    }
}
