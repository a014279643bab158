//! The proxy process: its sockets, its event loop and its shutdown.

use crate::announcements::Announcer;
use crate::callers::CallerConnection;
use crate::clock::BootClock;
use crate::datagrams::DatagramSocket;
use crate::feed;
use crate::feed_client::FeedClient;
use crate::feed_server::FeedServer;
use crate::logs::LogBuffer;
use crate::mirror::Mirror;
use crate::net;
use crate::net::Stream;
use crate::platform::Platform;
use crate::platform_calls::PlatformConnection;
use crate::platform_calls::Purpose;
use crate::protocol::Protocol;
use crate::relays::Relay;
use crate::target_reads::TargetReads;
use crate::targets::TargetConnection;
use crate::telemetry::Telemetry;
use anyhow::Context;
use endivereach_core::clock::Clock;
use endivereach_core::duty::Duty;
use endivereach_core::engine::Engine;
use endivereach_core::engine::Location;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::engine::topology::TargetEntry;
use endivereach_core::home_table::HomeTable;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::ProxyName;
use endivereach_core::known_peers::KnownPeers;
use endivereach_core::local_sessions::LocalSessions;
use endivereach_core::logfmt::LogValue;
use endivereach_core::rate_limit::Tolerance;
use endivereach_core::registration::Registration;
use endivereach_core::restored_list::ProxyEntry;
use endivereach_core::restored_list::RestoredList;
use endivereach_core::retry::RetryPace;
use endivereach_core::store_era::EraTracker;
use endivereach_core::store_source::SourceSelector;
use endivereach_core::tenant_homes::CpuShare;
use endivereach_core::tenant_homes::TenantHomes;
use mio::Events;
use mio::Interest;
use mio::Poll;
use mio::Token;
use mio::net::TcpListener;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGTERM;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The most events that one poll returns.
const EVENTS_PER_POLL_MAX: usize = 256;

/// The most connections accepted for one listener event, so that other events aren't delayed.
const ACCEPTS_PER_EVENT_MAX: usize = 64;

/// The settings of a proxy process.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// The name, availability zone and region of this process.
    pub location: Location,
    /// The address that callers connect to.
    pub callers_addr: SocketAddr,
    /// The address of the readiness check for the load balancer.
    pub ready_addr: SocketAddr,
    /// The address to which other proxies relay sessions.
    pub peers_addr: SocketAddr,
    /// The address at which this process passes the platform's objects on to other proxies, or
    /// `None` if it reads the platform for itself only.
    pub feed_addr: Option<SocketAddr>,
    /// The address on which metrics are served.
    pub metrics_addr: SocketAddr,
    /// The address of the platform's object store.
    pub store_addr: SocketAddr,
    /// The address of the platform's promotion service.
    pub promotion_addr: SocketAddr,
    /// The longest time from the request to stop until the process exits.
    pub grace: Duration,
    /// The time after which a change of the routes is in force everywhere, or `None` if no bound is
    /// stated. Routes whose evidence is younger contain every key that must be accepted.
    pub routes_in_force: Option<Duration>,
    /// The age of the routes from which callers with a key are refused, because the key may have been
    /// withdrawn; `None` if they are served however old the routes are.
    pub key_age_max: Option<Duration>,
    /// Whether one proxy of each region reads the platform for its region, where several are listed.
    pub region_readers: bool,
    /// The CPU share of the VM, by which tenants are assigned to it.
    pub cpu_share: CpuShare,
    /// By how much a tenant may exceed its rate limit, if the platform states it.
    pub limit_tolerance: Option<Tolerance>,
}

/// The number of watches that end within the age up to which keys are accepted, so that one lost
/// watch doesn't make them too old.
const WATCHES_PER_KEY_AGE: u32 = 4;

/// The socket that a poll token identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventSource {
    Listener(ListenerKind),
    Caller(CallerId),
    Relay(CallerId),
    Target(ConnectionId),
    PlatformCall(usize),
    Datagrams,
    Http,
}

/// The kind of client that a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ListenerKind {
    Callers,
    Peers,
    Ready,
    Metrics,
    Feed,
}

/// A running proxy process, with the wire protocol `P` on the platform `A`.
pub struct ProxyProcess<P, A> {
    pub(crate) protocol: P,
    pub(crate) platform: A,
    pub(crate) settings: ProxySettings,
    pub(crate) proxy_id: ProxyId,
    pub(crate) clock: BootClock,
    pub(crate) poll: Poll,
    pub(crate) listeners: Vec<(ListenerKind, TcpListener)>,
    /// Listeners at which accepting failed. Connections wait there that cause no further event.
    failed_listeners: BTreeSet<ListenerKind>,
    pub(crate) event_sources: BTreeMap<Token, EventSource>,
    pub(crate) last_token: usize,
    pub(crate) last_caller_id: u64,
    pub(crate) engine: Engine,
    pub(crate) callers: BTreeMap<CallerId, CallerConnection>,
    pub(crate) pending_starts: BTreeSet<CallerId>,
    pub(crate) relays: BTreeMap<CallerId, Relay>,
    /// A counter that spreads new sessions over the homes of a group.
    pub(crate) relay_round_robin: usize,
    /// All registered proxies, and the homes of each group among them.
    pub(crate) home_table: HomeTable,
    /// The ranking of the registered proxies for each tenant.
    pub(crate) tenant_homes: TenantHomes,
    /// The addresses of the proxies that pass the platform's objects on.
    pub(crate) feed_addrs: BTreeMap<ProxyName, SocketAddr>,
    pub(crate) source_selector: SourceSelector,
    pub(crate) feed_client: FeedClient,
    pub(crate) feed_server: FeedServer,
    /// Homes that failed to accept a session, with the time until which they are skipped.
    pub(crate) unavailable_homes: BTreeMap<ProxyName, Instant>,
    pub(crate) local_sessions: LocalSessions,
    pub(crate) targets: BTreeMap<ConnectionId, TargetConnection>,
    /// The socket for messages about rate limits, if it could be opened.
    pub(crate) datagrams: Option<DatagramSocket>,
    /// The proxies whose datagrams are accepted.
    pub(crate) known_peers: KnownPeers,
    /// Connections for readiness checks and metrics.
    pub(crate) http_connections: BTreeMap<Token, (ListenerKind, Stream)>,
    pub(crate) platform_connections: Vec<PlatformConnection>,
    pub(crate) mirrors: Vec<Mirror>,
    pub(crate) target_reads: TargetReads,
    pub(crate) announcer: Announcer,
    pub(crate) duty: Duty,
    pub(crate) era: EraTracker,
    pub(crate) registration: Registration,
    pub(crate) target_list: RestoredList<TargetEntry>,
    pub(crate) proxy_list: RestoredList<ProxyEntry>,
    pub(crate) store_retry: RetryPace,
    pub(crate) promotion_in_flight: Option<endivereach_core::ids::GroupName>,
    /// The tokens of streams that were written to since the last flush.
    pub(crate) unflushed: BTreeSet<Token>,
    pub(crate) telemetry: Telemetry,
    logs: LogBuffer,
    stop_requested: Arc<AtomicBool>,
    reload_requested: Arc<AtomicBool>,
    /// Whether a planned stop has ended all sessions.
    are_sessions_ended: bool,
}

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Opens the listeners and prepares the calls that read routes, targets and proxies from the
    /// platform.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener, the poller or a signal handler can't be set up.
    pub fn open(
        settings: ProxySettings,
        protocol: P,
        platform: A,
        logs: LogBuffer,
    ) -> anyhow::Result<Self> {
        let clock = BootClock::open();
        let now = clock.now();
        let proxy_id = ProxyId {
            name: settings.location.proxy.clone(),
            incarnation: Incarnation::new(rand::random::<u32>().into()),
        };
        let stop_requested = Arc::new(AtomicBool::new(false));
        let reload_requested = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop_requested))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&reload_requested))?;
        let mut proxy = Self {
            engine: Engine::new(settings.location.clone(), now),
            duty: Duty::new(proxy_id.clone()),
            protocol,
            platform,
            proxy_id,
            clock,
            poll: Poll::new().context("opening the poller")?,
            listeners: Vec::new(),
            failed_listeners: BTreeSet::new(),
            event_sources: BTreeMap::new(),
            last_token: 0,
            last_caller_id: 0,
            callers: BTreeMap::new(),
            pending_starts: BTreeSet::new(),
            relays: BTreeMap::new(),
            relay_round_robin: 0,
            home_table: HomeTable::default(),
            tenant_homes: TenantHomes::default(),
            feed_addrs: BTreeMap::new(),
            source_selector: SourceSelector::new(
                settings.location.proxy.clone(),
                settings.location.zone.clone(),
                settings.location.region.clone(),
            )
            .use_region_readers(settings.region_readers),
            feed_client: FeedClient::new(now),
            feed_server: FeedServer::default(),
            unavailable_homes: BTreeMap::new(),
            local_sessions: LocalSessions::new(now),
            targets: BTreeMap::new(),
            datagrams: None,
            known_peers: KnownPeers::new(settings.grace),
            http_connections: BTreeMap::new(),
            platform_connections: Vec::new(),
            mirrors: Vec::new(),
            target_reads: TargetReads::default(),
            announcer: Announcer::new(now),
            era: EraTracker::default(),
            registration: Registration::new(now),
            target_list: RestoredList::default(),
            proxy_list: RestoredList::default(),
            store_retry: RetryPace::default(),
            promotion_in_flight: None,
            unflushed: BTreeSet::new(),
            telemetry: Telemetry::default(),
            logs,
            stop_requested,
            reload_requested,
            are_sessions_ended: false,
            settings,
        };
        proxy.listen(ListenerKind::Ready, proxy.settings.ready_addr)?;
        proxy.listen(ListenerKind::Callers, proxy.settings.callers_addr)?;
        proxy.listen(ListenerKind::Peers, proxy.settings.peers_addr)?;
        proxy.open_datagrams();
        proxy.engine.set_incarnation(proxy.proxy_id.incarnation);
        let tolerance = proxy.settings.limit_tolerance;
        proxy.engine.set_limit_tolerance(tolerance);
        proxy.listen(ListenerKind::Metrics, proxy.settings.metrics_addr)?;
        if let Some(addr) = proxy.settings.feed_addr {
            proxy.listen(ListenerKind::Feed, addr)?;
        }
        for kind in feed::KINDS {
            let mut mirror = Mirror::new(kind, now);
            if let Some(age) = proxy.settings.key_age_max {
                mirror.limit_watch_wait(age / WATCHES_PER_KEY_AGE);
            }
            proxy.mirrors.push(mirror);
        }
        let store = proxy.settings.store_addr;
        let promotion = proxy.settings.promotion_addr;
        for (purpose, addr) in [
            (Purpose::Mirror(0), store),
            (Purpose::Mirror(1), store),
            (Purpose::Mirror(2), store),
            (Purpose::Duty, store),
            (Purpose::ReadTargets, store),
            (Purpose::Register, store),
            (Purpose::RemoveProxy, store),
            (Purpose::Promote, promotion),
            // The address is that of the reader, which is set before each call.
            (Purpose::Feed, store),
        ] {
            proxy
                .platform_connections
                .push(PlatformConnection::new(purpose, addr));
        }
        log::info!(
            target: "process",
            "event=start proxy={} zone={} callers_addr={} store_addr={store}",
            LogValue(&proxy.proxy_id),
            LogValue(&proxy.settings.location.zone),
            proxy.settings.callers_addr
        );
        Ok(proxy)
    }

    fn listen(&mut self, listener_kind: ListenerKind, addr: SocketAddr) -> anyhow::Result<()> {
        let token = self.allocate_token(EventSource::Listener(listener_kind));
        let listener = net::bind(addr, token, self.poll.registry())
            .with_context(|| format!("listening on {addr} for {listener_kind:?}"))?;
        self.listeners.push((listener_kind, listener));
        Ok(())
    }

    pub(crate) fn allocate_token(&mut self, source: EventSource) -> Token {
        self.last_token += 1;
        let token = Token(self.last_token);
        self.event_sources.insert(token, source);
        token
    }

    /// Runs the event loop until the process has received SIGTERM and drained its sessions, or most
    /// of the grace period is over.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system's poller fails.
    pub fn run(mut self) -> anyhow::Result<()> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL_MAX);
        loop {
            let timeout = self.next_wake().saturating_duration_since(self.clock.now());
            match self.poll.poll(&mut events, Some(timeout)) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error).context("waiting for events"),
            }
            let now = self.clock.now();
            for event in &events {
                self.on_event(now, event);
            }
            self.run_due_work(now);
            if self.should_exit(now) {
                log::info!(target: "process", "event=stop callers_left={}", self.callers.len());
                self.logs.write_to_standard_output();
                return Ok(());
            }
            self.logs.write_to_standard_output();
        }
    }

    /// Returns when the process has to act next without an event. Calls to the platform whose delay
    /// is over start at the engine's next deadline, which is never far away.
    fn next_wake(&self) -> Instant {
        self.platform_connections
            .iter()
            .filter_map(PlatformConnection::deadline)
            .fold(self.engine.next_deadline(), Instant::min)
    }

    fn on_event(&mut self, now: Instant, event: &mio::event::Event) {
        let token = event.token();
        match self.event_sources.get(&token).copied() {
            Some(EventSource::Listener(listener_kind)) => self.accept_all(now, listener_kind),
            Some(EventSource::Caller(id)) => self.on_caller_event(now, id, event),
            Some(EventSource::Relay(id)) => self.on_relay_event(now, id, event),
            Some(EventSource::Target(id)) => self.on_target_event(now, id, event),
            Some(EventSource::PlatformCall(connection_index)) => {
                self.on_platform_event(now, connection_index, event)
            }
            Some(EventSource::Datagrams) => self.on_datagrams(now),
            Some(EventSource::Http) => self.on_http_event(now, token, event),
            // An earlier event of this batch closed the connection.
            None => {}
        }
    }

    /// Handles signals and expired timers, performs the engine's effects and flushes all output.
    fn run_due_work(&mut self, now: Instant) {
        if self.stop_requested.load(Ordering::Relaxed) && self.engine.drain().is_none() {
            log::info!(target: "process", "event=stop-asked signal=SIGTERM");
            self.engine.begin_drain(now);
            self.registration.request_removal(now);
        }
        if self.reload_requested.swap(false, Ordering::Relaxed) {
            log::info!(target: "process", "event=reload signal=SIGHUP changed=none");
        }
        self.start_due_calls(now);
        self.answer_polls(now);
        self.retry_pending_starts(now);
        // The engine's timer also triggers the timeouts of relays, which may give sessions to the
        // engine.
        if now >= self.engine.next_deadline() {
            self.expire_relays(now);
            self.drain_relays(now);
            self.close_withdrawn_relays();
            self.return_local_sessions(now);
            self.check_rate_limits(now);
            self.check_copies(now);
            self.retry_accepting(now);
        }
        if now >= self.engine.next_deadline() {
            self.engine.check_timeouts(now);
        }
        self.engine.process_changed_groups(now);
        self.perform_effects(now);
        self.end_all_sessions_if_due(now);
        self.flush_outputs(now);
        for latency in self.engine.take_latencies() {
            self.telemetry.record_latency(latency);
        }
    }

    fn should_exit(&self, now: Instant) -> bool {
        let has_callers = !self.callers.is_empty();
        self.engine
            .drain()
            .is_some_and(|drain| drain.is_over(now, self.settings.grace, has_callers))
    }

    /// Answers every statement that is unanswered, and ends all sessions, once the planned stop has
    /// lasted for most of the grace period.
    fn end_all_sessions_if_due(&mut self, now: Instant) {
        let drain = self.engine.drain();
        let is_due = drain.is_some_and(|drain| drain.ends_all_sessions(now, self.settings.grace));
        if self.are_sessions_ended || !is_due {
            return;
        }
        self.are_sessions_ended = true;
        let sessions = self.callers.len();
        let unanswered = self.end_all_relays() + self.engine.end_all_sessions(now);
        self.perform_effects(now);
        let ids: Vec<CallerId> = self.callers.keys().copied().collect();
        for id in ids {
            self.close_caller(id);
        }
        log::info!(
            target: "process",
            "event=sessions-ended callers={sessions} unanswered={unanswered}"
        );
    }

    fn accept_all(&mut self, now: Instant, listener_kind: ListenerKind) {
        for _ in 0..ACCEPTS_PER_EVENT_MAX {
            let Some((_, listener)) = self
                .listeners
                .iter()
                .find(|(known, _)| *known == listener_kind)
            else {
                return;
            };
            match listener.accept() {
                Ok((socket, _)) => {
                    self.accept(now, listener_kind, socket);
                    self.failed_listeners.remove(&listener_kind);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.failed_listeners.remove(&listener_kind);
                    return;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    if self.failed_listeners.insert(listener_kind) {
                        log::warn!(target: "process", "event=accept-failed listener={listener_kind:?} error={}", LogValue(&error));
                    }
                    return;
                }
            }
        }
        // More connections may be pending, and an edge-triggered poll reports each of them only
        // once.
        self.reregister_listener(listener_kind);
    }

    /// Accepts again at the listeners where it failed, such as for want of descriptors. An edge-triggered
    /// poll reports no connection that waited before, and none that a full queue drops.
    fn retry_accepting(&mut self, now: Instant) {
        for listener_kind in self.failed_listeners.clone() {
            self.accept_all(now, listener_kind);
        }
    }

    fn reregister_listener(&mut self, listener_kind: ListenerKind) {
        let token = self
            .event_sources
            .iter()
            .find(|(_, known)| **known == EventSource::Listener(listener_kind))
            .map(|(token, _)| *token);
        let listener = self
            .listeners
            .iter_mut()
            .find(|(known, _)| *known == listener_kind);
        if let (Some(token), Some((_, listener))) = (token, listener) {
            let registry = self.poll.registry();
            if let Err(error) = registry.reregister(listener, token, Interest::READABLE) {
                log::warn!(target: "process", "event=listener-not-rearmed listener={listener_kind:?} error={}", LogValue(&error));
            }
        }
    }

    fn accept(&mut self, now: Instant, listener_kind: ListenerKind, socket: mio::net::TcpStream) {
        let token = match listener_kind {
            ListenerKind::Callers | ListenerKind::Peers => {
                self.last_caller_id += 1;
                self.allocate_token(EventSource::Caller(CallerId::new(self.last_caller_id)))
            }
            ListenerKind::Ready | ListenerKind::Metrics | ListenerKind::Feed => {
                self.allocate_token(EventSource::Http)
            }
        };
        let stream = match Stream::from_socket(socket, token, self.poll.registry()) {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(target: "process", "event=connection-not-adopted error={}", LogValue(&error));
                self.event_sources.remove(&token);
                return;
            }
        };
        match listener_kind {
            ListenerKind::Callers | ListenerKind::Peers => {
                let id = CallerId::new(self.last_caller_id);
                let is_relayed = listener_kind == ListenerKind::Peers;
                self.callers
                    .insert(id, CallerConnection::new(stream, is_relayed));
                self.engine.caller_opened(now, id);
            }
            ListenerKind::Ready | ListenerKind::Metrics | ListenerKind::Feed => {
                self.http_connections.insert(token, (listener_kind, stream));
            }
        }
    }

    /// Flushes every stream that was written to since the last call.
    fn flush_outputs(&mut self, now: Instant) {
        for token in std::mem::take(&mut self.unflushed) {
            self.flush(now, token);
        }
    }

    pub(crate) fn flush(&mut self, now: Instant, token: Token) {
        match self.event_sources.get(&token).copied() {
            Some(EventSource::Caller(id)) => self.flush_caller(now, id),
            Some(EventSource::Relay(id)) => self.flush_relay(now, id),
            Some(EventSource::Target(id)) => self.flush_target(now, id),
            Some(EventSource::PlatformCall(connection_index)) => {
                self.flush_platform_connection(now, connection_index)
            }
            Some(EventSource::Http) => {
                let failed = self
                    .http_connections
                    .get_mut(&token)
                    .is_some_and(|(_, stream)| stream.flush().is_err());
                if failed {
                    self.close_http_connection(token);
                }
            }
            Some(EventSource::Listener(_) | EventSource::Datagrams) | None => {}
        }
    }
}
