//! Rate limits of tenants: the messages between proxies, the rankings, and the removal of proxies that
//! are lost.

use crate::datagrams::DatagramSocket;
use crate::feed_client::FeedClient;
use crate::metrics;
use crate::mirror::Mirror;
use crate::platform::ObjectKind;
use crate::platform::ObjectValue;
use crate::platform::OwnObjectName;
use crate::platform::Platform;
use crate::platform_calls::CallResult;
use crate::platform_calls::LostCall;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::proxy::EventSource;
use crate::proxy::ProxyProcess;
use crate::store::CALL_TIMEOUT;
use endivereach_core::allowance::Message;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_core::logfmt::LogValue;
use endivereach_core::restored_list::ProxyEntry;
use endivereach_core::transfer::TransferLimits;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

/// The time within which a watch of the store is known to be cut off: keepalive probes of the idle
/// connection fail by then.
const CUT_WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of tenants with metrics of their own.
const TENANTS_IN_METRICS_MAX: usize = 5;

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Opens the socket for datagrams. Without it, this process holds half of a rate limit at most.
    pub(crate) fn open_datagrams(&mut self) {
        let token = self.allocate_token(EventSource::Datagrams);
        let addr = self.settings.peers_addr;
        let name = self.proxy_id.name.clone();
        match DatagramSocket::bind(name, addr, token, self.poll.registry()) {
            Ok(socket) => self.datagrams = Some(socket),
            Err(error) => {
                self.event_sources.remove(&token);
                log::warn!(target: "process", "event=datagrams-not-opened addr={addr} error={}", LogValue(&error));
            }
        }
    }

    /// Sends a message to another proxy.
    pub(crate) fn send_to_peer(&mut self, peer: &ProxyName, message: &Message) {
        if let Some(datagrams) = &mut self.datagrams {
            datagrams.send(peer, message);
        }
    }

    /// Passes the messages that have arrived to the engine.
    pub(crate) fn on_datagrams(&mut self, now: Instant) {
        let Some(datagrams) = &mut self.datagrams else {
            return;
        };
        let received = datagrams.receive();
        if received.has_more
            && let Err(error) = datagrams.reregister(self.poll.registry())
        {
            log::warn!(target: "process", "event=datagrams-not-rearmed error={}", LogValue(&error));
        }
        for (from, message) in received.messages {
            self.engine.peer_message(now, &from, message);
        }
        for (from, announcement) in received.announcements {
            self.on_announcement(now, &from, &announcement);
        }
        for announcement in received.unlisted {
            self.on_unlisted_announcement(now, &announcement);
        }
    }

    /// Updates the peers and the rankings after the list of proxies or the tenants changed.
    pub(crate) fn update_rate_limits(&mut self, now: Instant) {
        if !self.is_proxy_list_known() {
            return;
        }
        let members = self.home_table.members().iter();
        let listed = members.map(|vm| (vm.name.clone(), vm.peer_addr)).collect();
        self.known_peers.set_listed(now, listed);
        if let Some(datagrams) = &mut self.datagrams {
            datagrams.set_peers(self.known_peers.at(now));
        }
        let tenant_homes = &self.tenant_homes;
        self.engine.set_tenant_rankings(now, |tenant| {
            let ranking = tenant_homes.ranking(tenant).iter();
            ranking.map(|vm| vm.name.clone()).collect()
        });
    }

    /// Passes the evidence for the list of proxies to the engine, and removes the registration of a
    /// proxy that is lost. Must be called with the engine's timeouts.
    pub(crate) fn check_rate_limits(&mut self, now: Instant) {
        if self.engine.tenants().is_none() {
            return;
        }
        if self.known_peers.expire(now)
            && let Some(datagrams) = &mut self.datagrams
        {
            datagrams.set_peers(self.known_peers.at(now));
        }
        if let Some(at) = proxy_list_evidence(now, &self.mirrors, &self.feed_client) {
            self.engine.record_proxy_list(at);
        }
        self.remove_lost_coordinator(now);
    }

    /// Marks the entry of a lost coordinator as leaving, unless its VM has written it again. Entries
    /// that are leaving are in no ranking; the VM replaces its entry when it is back.
    fn remove_lost_coordinator(&mut self, now: Instant) {
        let Some(connection_index) = self.platform_connection_index(Purpose::RemoveProxy) else {
            return;
        };
        if self.engine.drain().is_some() || self.platform_connections[connection_index].is_busy() {
            return;
        }
        let Some(lost) = self.engine.take_lost_coordinator(now) else {
            return;
        };
        let Some((version, mut entry)) = self.listed_entry(&lost) else {
            return;
        };
        log::warn!(target: "belief", "event=proxy-removed proxy={} version={version}", LogValue(&lost));
        entry.vm.leaving = true;
        let value = ObjectValue::Proxy(entry);
        let name = OwnObjectName::Proxy(lost);
        let request = self.platform.put(&name, Some(version), &value);
        self.start_call(
            now,
            connection_index,
            &request,
            TransferLimits::fixed(CALL_TIMEOUT),
        );
    }

    /// Returns the entry of a proxy in the list of proxies, with its version.
    fn listed_entry(&self, name: &ProxyName) -> Option<(Version, ProxyEntry)> {
        let list = self.mirrors.iter().find(|m| m.kind() == ObjectKind::Own)?;
        list.values().find_map(|(object, value)| match value {
            ObjectValue::Proxy(entry) if &entry.vm.name == name => {
                Some((object.version, entry.clone()))
            }
            _ => None,
        })
    }

    pub(crate) fn on_removal_result(&mut self, result: &CallResult) {
        match result {
            CallResult::Answered(response) => {
                log::info!(target: "belief", "event=proxy-removal status={}", response.status);
            }
            CallResult::Lost(LostCall { reason, .. }) => {
                log::info!(target: "belief", "event=proxy-removal-lost reason={reason:?}");
            }
        }
    }

    /// Returns the metrics of the rate limits.
    pub(crate) fn rate_limit_metrics(&self) -> String {
        let mut text = String::new();
        if let Some(datagrams) = &self.datagrams {
            let counters = datagrams.counters();
            for (result, count) in [
                ("sent", counters.sent),
                ("unsent", counters.unsent),
                ("received", counters.received),
                ("discarded", counters.discarded),
            ] {
                // Writing to a string can't fail.
                let _ = writeln!(text, "endivereach_datagrams_{result}_total {count}");
            }
        }
        for (tenant, refused) in self.engine.most_limited_tenants(TENANTS_IN_METRICS_MAX) {
            let name = "endivereach_tenant_rate_limited_total";
            metrics::write_labelled(&mut text, name, ("tenant", tenant.as_str()), refused);
        }
        text
    }
}

/// Returns when the list of proxies was last known to be complete.
fn proxy_list_evidence(now: Instant, mirrors: &[Mirror], feed: &FeedClient) -> Option<Instant> {
    let list = mirrors.iter().find(|m| m.kind() == ObjectKind::Own)?;
    let read_at = list
        .evidence()
        .and_then(|evidence| now.checked_sub(evidence.age(now)));
    // A watch that the platform holds would have returned a change.
    let is_held = feed.reader().is_none() && list.is_watch_held();
    let held_at = is_held
        .then(|| now.checked_sub(CUT_WATCH_TIMEOUT))
        .flatten();
    read_at.max(held_at)
}
