//! The event loop that drives every link.

use super::conditions::Conditions;
use super::conditions::Flow;
use super::stream::DelayQueue;
use super::stream::ReadOutcome;
use polling::Event;
use polling::Events;
use polling::PollMode;
use polling::Poller;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Poller keys below this value belong to listeners. From it on, each connection has two.
const FIRST_CONNECTION_KEY: usize = 1 << 24;

/// The index of the stream that was accepted by the link.
const CALLER: usize = 0;
/// The index of the stream that the link opened to its destination.
const DESTINATION: usize = 1;

/// The state of a link, which its handles update and the driver reads.
#[derive(Debug)]
pub(super) struct LinkState {
    pub(super) conditions: Conditions,
    pub(super) destination: Option<SocketAddr>,
    /// The number of connections opened so far, which is also the number of the next connection.
    pub(super) opened: u64,
    /// All bytes of connections with lower numbers are discarded.
    pub(super) silenced_before: u64,
    /// Connections with lower numbers are closed.
    pub(super) reset_before: u64,
}

impl LinkState {
    pub(super) fn new(conditions: Conditions) -> Self {
        Self {
            conditions,
            destination: None,
            opened: 0,
            silenced_before: 0,
            reset_before: 0,
        }
    }
}

/// The state shared by the driver and the handles.
#[derive(Debug)]
pub(super) struct Shared {
    poller: Poller,
    links: Mutex<Vec<LinkState>>,
    added: Mutex<Vec<AddedListener>>,
    changed: AtomicBool,
    pub(super) stopped: AtomicBool,
}

#[derive(Debug)]
struct AddedListener {
    link: usize,
    listener: TcpListener,
}

impl Shared {
    pub(super) fn new(poller: Poller) -> Self {
        Self {
            poller,
            links: Mutex::default(),
            added: Mutex::default(),
            changed: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    pub(super) fn links(&self) -> MutexGuard<'_, Vec<LinkState>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn add_listener(&self, link: usize, listener: TcpListener) {
        let added = self.added.lock();
        added
            .unwrap_or_else(PoisonError::into_inner)
            .push(AddedListener { link, listener });
        self.wake();
    }

    /// Makes the driver apply changed link states to every connection.
    pub(super) fn wake(&self) {
        self.changed.store(true, Ordering::SeqCst);
        // Notifying fails only for a closed poller, which has no driver to wake up.
        let _ = self.poller.notify();
    }
}

/// A relayed connection. `queues[side]` holds the bytes received from `streams[side]`.
#[derive(Debug)]
struct RelayedConnection {
    link: usize,
    number: u64,
    streams: [TcpStream; 2],
    queues: [DelayQueue; 2],
    interest: [Event; 2],
    /// Whether each stream is registered with the poller. A closed stream with nothing left to send
    /// or receive is deregistered.
    registered: [bool; 2],
}

/// The event loop and its state.
pub(super) struct Driver {
    shared: Arc<Shared>,
    listeners: BTreeMap<usize, TcpListener>,
    connections: BTreeMap<usize, RelayedConnection>,
    next_connection: usize,
    releases: BinaryHeap<Reverse<(Instant, usize)>>,
    rng: SmallRng,
    buffer: Vec<u8>,
}

impl Driver {
    pub(super) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        Self {
            shared,
            listeners: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_connection: 0,
            releases: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            buffer: Vec::new(),
        }
    }

    pub(super) fn run(mut self) {
        let mut events = Events::new();
        while !self.shared.stopped.load(Ordering::Relaxed) {
            events.clear();
            let next = self.releases.peek().map(|Reverse((release, _))| *release);
            let wait = next.map(|release| release.saturating_duration_since(Instant::now()));
            if self.shared.poller.wait(&mut events, wait).is_err() {
                continue;
            }
            self.register_added_listeners();
            if self.shared.changed.swap(false, Ordering::SeqCst) {
                self.apply_link_changes();
            }
            for event in events.iter() {
                self.handle(event);
            }
            self.release_due();
        }
        for stream in self.connections.values().flat_map(|c| &c.streams) {
            let _ = self.shared.poller.delete(stream);
        }
        for listener in self.listeners.values() {
            let _ = self.shared.poller.delete(listener);
        }
    }

    fn register_added_listeners(&mut self) {
        let added = self.shared.added.lock();
        let added = std::mem::take(&mut *added.unwrap_or_else(PoisonError::into_inner));
        for AddedListener { link, listener } in added {
            // SAFETY: The listener is deleted from the poller before it is dropped, in `run`.
            let result = unsafe {
                let event = Event::readable(link);
                let poller = &self.shared.poller;
                poller.add_with_mode(&listener, event, PollMode::Level)
            };
            if result.is_ok() {
                self.listeners.insert(link, listener);
            }
        }
    }

    /// Closes connections that were reset or refused, and transfers data on the others, since their
    /// link may have changed.
    fn apply_link_changes(&mut self) {
        let reset: Vec<usize> = {
            let links = self.shared.links();
            let is_reset = |connection: &RelayedConnection| {
                let link = &links[connection.link];
                connection.number < link.reset_before || link.conditions.flow == Flow::Refused
            };
            let connections = self.connections.iter();
            connections
                .filter(|(_, connection)| is_reset(connection))
                .map(|(&id, _)| id)
                .collect()
        };
        for id in reset {
            self.close(id);
        }
        let ids: Vec<usize> = self.connections.keys().copied().collect();
        for id in ids {
            self.transfer(id);
        }
    }

    fn handle(&mut self, event: Event) {
        if event.key < FIRST_CONNECTION_KEY {
            self.accept(event.key);
            return;
        }
        let id = (event.key - FIRST_CONNECTION_KEY) / 2;
        let side = (event.key - FIRST_CONNECTION_KEY) % 2;
        if event.readable {
            self.deregister_closed_side(id, side);
            self.read(id, side);
        }
        self.transfer(id);
    }

    /// Deregisters a closed stream with nothing left to send or receive, since a level-triggered
    /// poller would report it again and again.
    fn deregister_closed_side(&mut self, id: usize, side: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.queues[side].is_sender_closed() && !connection.interest[side].writable {
            connection.registered[side] = false;
            let _ = self.shared.poller.delete(&connection.streams[side]);
        }
    }

    fn accept(&mut self, link: usize) {
        let Some(Ok((caller, _))) = self.listeners.get(&link).map(TcpListener::accept) else {
            return;
        };
        let (destination, number, delay) = {
            let mut links = self.shared.links();
            let state = &mut links[link];
            state.opened += 1;
            let destination = match state.conditions.flow {
                Flow::Refused => None,
                _ => state.destination,
            };
            (destination, state.opened - 1, state.conditions.delay)
        };
        let Some(destination) = destination else {
            return;
        };
        // A TCP client sends its first bytes one round trip after it starts to connect.
        let first_release = Instant::now() + 2 * delay;
        if let Ok(connecting) = connect(destination) {
            // If the poller refuses a stream, both streams are dropped, which closes the
            // connection.
            let _ = self.register_connection(link, number, [caller, connecting], first_release);
        }
    }

    fn register_connection(
        &mut self,
        link: usize,
        number: u64,
        streams: [TcpStream; 2],
        first_release: Instant,
    ) -> io::Result<()> {
        let id = self.next_connection;
        self.next_connection += 1;
        let key = |side| FIRST_CONNECTION_KEY + 2 * id + side;
        let interest = [
            Event::readable(key(CALLER)),
            Event::readable(key(DESTINATION)),
        ];
        for (stream, event) in streams.iter().zip(interest) {
            stream.set_nonblocking(true)?;
            stream.set_nodelay(true)?;
            // SAFETY: The stream is deleted from the poller before it is dropped, in `close`.
            unsafe {
                let poller = &self.shared.poller;
                poller.add_with_mode(stream, event, PollMode::Level)?;
            }
        }
        let connection = RelayedConnection {
            link,
            number,
            streams,
            queues: [
                DelayQueue::with_first_release(first_release),
                DelayQueue::default(),
            ],
            interest,
            registered: [true; 2],
        };
        self.connections.insert(id, connection);
        Ok(())
    }

    fn read(&mut self, id: usize, side: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let (conditions, silent) = {
            let links = self.shared.links();
            let link = &links[connection.link];
            (link.conditions, connection.number < link.silenced_before)
        };
        let release = Instant::now() + conditions.draw_delay(&mut self.rng);
        let queue = &mut connection.queues[side];
        if queue.is_sender_closed() {
            return;
        }
        let stream = &mut connection.streams[side];
        match queue.read(stream, &mut self.buffer, release, silent) {
            ReadOutcome::Queued(release) => self.releases.push(Reverse((release, id))),
            ReadOutcome::NothingQueued => {}
            ReadOutcome::Broken => self.close(id),
        }
    }

    fn release_due(&mut self) {
        let now = Instant::now();
        while let Some(&Reverse((release, id))) = self.releases.peek() {
            if release > now {
                return;
            }
            self.releases.pop();
            self.transfer(id);
        }
    }

    /// Writes released bytes in both directions, and updates the poller's interest for both
    /// streams.
    fn transfer(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let (flow, silent) = {
            let links = self.shared.links();
            let link = &links[connection.link];
            (
                link.conditions.flow,
                connection.number < link.silenced_before,
            )
        };
        let now = Instant::now();
        let passes = flow == Flow::Open && !silent;
        let mut broken = false;
        for side in [CALLER, DESTINATION] {
            let receiver = &mut connection.streams[1 - side];
            if passes && connection.queues[side].write(receiver, now).is_err() {
                broken = true;
            }
        }
        let finished = connection.queues.iter().all(DelayQueue::is_finished);
        if broken || finished {
            self.close(id);
            return;
        }
        for side in [CALLER, DESTINATION] {
            let mut wanted = connection.interest[side];
            wanted.readable = connection.queues[side].has_room();
            wanted.writable = passes && connection.queues[1 - side].has_released_bytes(now);
            if wanted != connection.interest[side] && connection.registered[side] {
                connection.interest[side] = wanted;
                let stream = &connection.streams[side];
                let poller = &self.shared.poller;
                let _ = poller.modify_with_mode(stream, wanted, PollMode::Level);
            }
        }
    }

    fn close(&mut self, id: usize) {
        if let Some(connection) = self.connections.remove(&id) {
            for stream in &connection.streams {
                let _ = self.shared.poller.delete(stream);
            }
        }
    }
}

/// Starts a non-blocking connect, so that a slow destination doesn't block other connections.
fn connect(destination: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(destination), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&destination.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(socket.into()),
    }
}
