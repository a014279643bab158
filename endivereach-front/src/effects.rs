//! Performs the effects that the engine requests.

use crate::net::Stream;
use crate::platform::Platform;
use crate::protocol::Protocol;
use crate::proxy::EventSource;
use crate::proxy::ProxyProcess;
use crate::targets::TargetConnection;
use endivereach_core::engine::Effect;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::logfmt::LogValue;
use endivereach_core::tenants::TenantName;
use std::net::SocketAddr;
use std::time::Instant;

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    pub(crate) fn perform_effects(&mut self, now: Instant) {
        loop {
            let effects = self.engine.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.perform(now, effect);
            }
            self.engine.process_changed_groups(now);
        }
    }

    fn perform(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Answer { caller, answer } => {
                if let Some(caller) = self.callers.get_mut(&caller) {
                    self.protocol.write_answer(&answer, caller.stream.output());
                    self.unflushed.insert(caller.stream.token());
                }
            }
            Effect::CloseCaller { caller } => self.close_caller(caller),
            Effect::Open {
                connection,
                addr,
                group,
                member,
                tenant,
            } => self.open_target(now, connection, addr, &group, &member, tenant.as_ref()),
            Effect::Send {
                connection,
                command,
            } => {
                if let Some(target) = self.targets.get_mut(&connection) {
                    self.protocol
                        .write_command(&command, target.stream.output());
                    self.unflushed.insert(target.stream.token());
                }
            }
            Effect::Close { connection } => self.close_target(connection),
            Effect::SendToPeer { peer, message } => self.send_to_peer(&peer, &message),
            Effect::AcquireDuty => self.acquire_duty(now),
            Effect::ReadTargets => self.read_targets(now),
            Effect::AnnouncePromotion { group } => self.announce_promotion(&group),
            Effect::Promote {
                group,
                member,
                token,
            } => self.order_promotion(now, group, &member, token),
        }
    }

    fn open_target(
        &mut self,
        now: Instant,
        id: ConnectionId,
        addr: SocketAddr,
        group: &GroupName,
        member: &MemberId,
        tenant: Option<&TenantName>,
    ) {
        let token = self.allocate_token(EventSource::Target(id));
        match Stream::connect(addr, token, self.poll.registry()) {
            Ok(mut stream) => {
                self.protocol
                    .write_target_start(group, member, tenant, stream.output());
                self.targets.insert(id, TargetConnection::new(stream));
            }
            Err(error) => {
                log::warn!(target: "process", "event=connect-failed target={} addr={addr} error={}", LogValue(&member), LogValue(&error));
                self.event_sources.remove(&token);
                self.engine.target_disconnected(now, id);
            }
        }
    }
}
