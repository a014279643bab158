//! The process: its sockets, its event loop and its end.

use crate::callers::CallerStream;
use crate::clock::BootClock;
use crate::lanes::Lane;
use crate::lanes::Purpose;
use crate::logs::LogBuffer;
use crate::mirror::Mirror;
use crate::net;
use crate::net::Stream;
use crate::platform::Kind;
use crate::platform::Platform;
use crate::protocol::Protocol;
use crate::relays::Relay;
use crate::targets::TargetStream;
use crate::telemetry::Telemetry;
use anyhow::Context;
use endivereach_core::clock::Clock;
use endivereach_core::directory::Vm;
use endivereach_core::duty::Duty;
use endivereach_core::engine::Engine;
use endivereach_core::engine::Location;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::ProxyName;
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

/// Events taken from the operating system at a time.
const EVENTS_MAX: usize = 256;

/// The part of the grace period after which the process ends with whatever is open, in percent.
const GRACE_USED_PERCENT: u32 = 85;

/// Connections accepted before other events get their turn.
const ACCEPTS_MAX: usize = 64;

/// What a front is told when it starts.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Where the process runs.
    pub location: Location,
    /// Where callers connect.
    pub callers_addr: SocketAddr,
    /// Where the balancer asks whether new callers may come.
    pub ready_addr: SocketAddr,
    /// Where other proxies pass sessions on to.
    pub peers_addr: SocketAddr,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
    /// Where the platform's store answers.
    pub store_addr: SocketAddr,
    /// Where promotions are ordered.
    pub promotion_addr: SocketAddr,
    /// How long the process has to end after it was asked to.
    pub grace: Duration,
}

/// What an event's token stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Listener(ListenerRole),
    Caller(CallerId),
    Relay(CallerId),
    Target(ConnectionId),
    Lane(usize),
    Page,
}

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerRole {
    Callers,
    Peers,
    Ready,
    Metrics,
}

/// A running front.
pub struct Front<P, A> {
    pub(crate) protocol: P,
    pub(crate) platform: A,
    pub(crate) settings: FrontSettings,
    pub(crate) own: ProxyId,
    pub(crate) clock: BootClock,
    pub(crate) poll: Poll,
    pub(crate) listeners: Vec<(ListenerRole, TcpListener)>,
    pub(crate) roles: BTreeMap<Token, Role>,
    pub(crate) next_token: usize,
    pub(crate) next_caller: u64,
    pub(crate) engine: Engine,
    pub(crate) callers: BTreeMap<CallerId, CallerStream>,
    pub(crate) waiting_starts: BTreeSet<CallerId>,
    pub(crate) relays: BTreeMap<CallerId, Relay>,
    pub(crate) relay_turn: usize,
    pub(crate) proxies: Vec<Vm>,
    pub(crate) failing_homes: BTreeMap<ProxyName, Instant>,
    pub(crate) targets: BTreeMap<ConnectionId, TargetStream>,
    pub(crate) pages: BTreeMap<Token, (ListenerRole, Stream)>,
    pub(crate) lanes: Vec<Lane>,
    pub(crate) mirrors: Vec<Mirror>,
    pub(crate) duty: Duty,
    pub(crate) duty_turn: u64,
    pub(crate) is_registered: bool,
    pub(crate) promoting: Option<endivereach_core::ids::GroupName>,
    pub(crate) unflushed: BTreeSet<Token>,
    pub(crate) telemetry: Telemetry,
    logs: LogBuffer,
    stop_asked: Arc<AtomicBool>,
    reload_asked: Arc<AtomicBool>,
    pub(crate) draining_since: Option<Instant>,
}

impl<P: Protocol, A: Platform> Front<P, A> {
    /// Opens the front's listeners and starts to learn what it needs from the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be opened.
    pub fn open(
        settings: FrontSettings,
        protocol: P,
        platform: A,
        logs: LogBuffer,
    ) -> anyhow::Result<Self> {
        let clock = BootClock::open();
        let now = clock.now();
        let own = ProxyId {
            name: settings.location.node.clone(),
            incarnation: Incarnation::new(rand::random::<u32>().into()),
        };
        let stop_asked = Arc::new(AtomicBool::new(false));
        let reload_asked = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop_asked))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&reload_asked))?;
        let mut front = Self {
            engine: Engine::new(settings.location.clone(), now),
            duty: Duty::new(own.clone()),
            protocol,
            platform,
            settings,
            own,
            clock,
            poll: Poll::new().context("opening the poller")?,
            listeners: Vec::new(),
            roles: BTreeMap::new(),
            next_token: 0,
            next_caller: 0,
            callers: BTreeMap::new(),
            waiting_starts: BTreeSet::new(),
            relays: BTreeMap::new(),
            relay_turn: 0,
            proxies: Vec::new(),
            failing_homes: BTreeMap::new(),
            targets: BTreeMap::new(),
            pages: BTreeMap::new(),
            lanes: Vec::new(),
            mirrors: Vec::new(),
            duty_turn: 0,
            is_registered: false,
            promoting: None,
            unflushed: BTreeSet::new(),
            telemetry: Telemetry::default(),
            logs,
            stop_asked,
            reload_asked,
            draining_since: None,
        };
        front.listen(ListenerRole::Ready, front.settings.ready_addr)?;
        front.listen(ListenerRole::Callers, front.settings.callers_addr)?;
        front.listen(ListenerRole::Peers, front.settings.peers_addr)?;
        front.listen(ListenerRole::Metrics, front.settings.metrics_addr)?;
        for kind in [Kind::Routes, Kind::Targets, Kind::Own] {
            front.mirrors.push(Mirror::new(kind, now));
        }
        let store = front.settings.store_addr;
        let promotion = front.settings.promotion_addr;
        for (purpose, addr) in [
            (Purpose::Mirror(0), store),
            (Purpose::Mirror(1), store),
            (Purpose::Mirror(2), store),
            (Purpose::Duty, store),
            (Purpose::Register, store),
            (Purpose::Promote, promotion),
        ] {
            front.lanes.push(Lane::new(purpose, addr));
        }
        log::info!(
            target: "process",
            "event=start proxy={} zone={} callers_addr={} store_addr={store}",
            front.own,
            front.settings.location.zone,
            front.settings.callers_addr
        );
        Ok(front)
    }

    fn listen(&mut self, role: ListenerRole, addr: SocketAddr) -> anyhow::Result<()> {
        let token = self.new_token(Role::Listener(role));
        let listener = net::bind(addr, token, self.poll.registry())
            .with_context(|| format!("listening on {addr} for {role:?}"))?;
        self.listeners.push((role, listener));
        Ok(())
    }

    pub(crate) fn new_token(&mut self, role: Role) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.roles.insert(token, role);
        token
    }

    /// Serves until the process is asked to stop and has finished its open work.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system's poller fails.
    pub fn run(mut self) -> anyhow::Result<()> {
        let mut events = Events::with_capacity(EVENTS_MAX);
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
            self.on_time(now);
            if self.is_finished(now) {
                self.flush_outputs(now);
                log::info!(
                    target: "process",
                    "event=stop callers_left={}",
                    self.engine.caller_count()
                );
                self.logs.flush();
                return Ok(());
            }
            self.logs.flush();
        }
    }

    fn next_wake(&self) -> Instant {
        let mirrors = self.mirrors.iter().filter_map(Mirror::next_wake);
        let lanes = self.lanes.iter().filter_map(Lane::deadline);
        mirrors
            .chain(lanes)
            .fold(self.engine.next_wake(), Instant::min)
    }

    fn on_event(&mut self, now: Instant, event: &mio::event::Event) {
        let token = event.token();
        match self.roles.get(&token).copied() {
            Some(Role::Listener(role)) => self.accept_all(now, role),
            Some(Role::Caller(id)) => self.on_caller_event(now, id, event),
            Some(Role::Relay(id)) => self.on_relay_event(now, id, event),
            Some(Role::Target(id)) => self.on_target_event(now, id, event),
            Some(Role::Lane(lane)) => self.on_lane_event(now, lane, event),
            Some(Role::Page) => self.on_page_event(token, event),
            // The connection was closed earlier in this batch of events.
            None => {}
        }
    }

    /// Does what time makes due, and carries out what the engine asks for.
    fn on_time(&mut self, now: Instant) {
        if self.stop_asked.load(Ordering::Relaxed) && self.draining_since.is_none() {
            log::info!(target: "process", "event=stop-asked signal=SIGTERM");
            self.draining_since = Some(now);
            self.engine.begin_drain(now);
            self.unregister(now);
        }
        if self.reload_asked.swap(false, Ordering::Relaxed) {
            log::info!(target: "process", "event=reload signal=SIGHUP changed=none");
        }
        self.drive_store(now);
        self.retry_starts(now);
        if now >= self.engine.next_wake() {
            self.expire_relays(now);
            self.drain_relays(now);
        }
        if now >= self.engine.next_wake() {
            self.engine.sweep(now);
        }
        self.engine.process_changed_groups(now);
        self.perform_effects(now);
        self.flush_outputs(now);
        for latency in self.engine.take_latencies() {
            self.telemetry.note_latency(latency);
        }
    }

    fn is_finished(&self, now: Instant) -> bool {
        let Some(since) = self.draining_since else {
            return false;
        };
        let is_late = now >= since + self.settings.grace * GRACE_USED_PERCENT / 100;
        let may_leave = now >= since + self.settings.grace / 2;
        is_late || (may_leave && self.callers.is_empty())
    }

    fn accept_all(&mut self, now: Instant, role: ListenerRole) {
        for _ in 0..ACCEPTS_MAX {
            let Some((_, listener)) = self.listeners.iter().find(|(known, _)| *known == role)
            else {
                return;
            };
            match listener.accept() {
                Ok((socket, _)) => self.accept(now, role, socket),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!(target: "process", "event=accept-failed listener={role:?} error={error}");
                    return;
                }
            }
        }
        // More may wait, and the operating system reports each arrival once only.
        self.rearm(role);
    }

    fn rearm(&mut self, role: ListenerRole) {
        let token = self
            .roles
            .iter()
            .find(|(_, known)| **known == Role::Listener(role))
            .map(|(token, _)| *token);
        let listener = self.listeners.iter_mut().find(|(known, _)| *known == role);
        if let (Some(token), Some((_, listener))) = (token, listener) {
            let registry = self.poll.registry();
            if let Err(error) = registry.reregister(listener, token, Interest::READABLE) {
                log::warn!(target: "process", "event=listener-not-rearmed listener={role:?} error={error}");
            }
        }
    }

    fn accept(&mut self, now: Instant, role: ListenerRole, socket: mio::net::TcpStream) {
        let token = match role {
            ListenerRole::Callers | ListenerRole::Peers => {
                self.next_caller += 1;
                self.new_token(Role::Caller(CallerId::new(self.next_caller)))
            }
            ListenerRole::Ready | ListenerRole::Metrics => self.new_token(Role::Page),
        };
        let stream = match Stream::adopt(socket, token, self.poll.registry()) {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(target: "process", "event=connection-not-adopted error={error}");
                self.roles.remove(&token);
                return;
            }
        };
        match role {
            ListenerRole::Callers | ListenerRole::Peers => {
                let id = CallerId::new(self.next_caller);
                let is_relayed = role == ListenerRole::Peers;
                self.callers
                    .insert(id, CallerStream::new(stream, is_relayed));
                self.engine.caller_opened(now, id);
            }
            ListenerRole::Ready | ListenerRole::Metrics => {
                self.pages.insert(token, (role, stream));
            }
        }
    }

    /// Sends what was written since the last call.
    fn flush_outputs(&mut self, now: Instant) {
        for token in std::mem::take(&mut self.unflushed) {
            self.flush(now, token);
        }
    }

    pub(crate) fn flush(&mut self, now: Instant, token: Token) {
        match self.roles.get(&token).copied() {
            Some(Role::Caller(id)) => self.flush_caller(now, id),
            Some(Role::Relay(id)) => self.flush_relay(now, id),
            Some(Role::Target(id)) => self.flush_target(now, id),
            Some(Role::Lane(lane)) => self.flush_lane(now, lane),
            Some(Role::Page) => {
                let failed = self
                    .pages
                    .get_mut(&token)
                    .is_some_and(|(_, stream)| stream.flush().is_err());
                if failed {
                    self.close_page(token);
                }
            }
            Some(Role::Listener(_)) | None => {}
        }
    }
}
