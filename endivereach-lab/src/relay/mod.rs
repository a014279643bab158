//! A TCP relay that injects network faults: delay, jitter, loss, held and silent connections.
//!
//! One thread drives every link, which keeps hundreds of links and thousands of connections cheap.
//!
//! # Examples
//!
//! ```
//! use endivereach_lab::relay::{Conditions, Relay};
//! use std::io::{Read, Write};
//! use std::net::{TcpListener, TcpStream};
//!
//! let listener = TcpListener::bind("127.0.0.1:0").unwrap();
//! let relay = Relay::spawn(1).unwrap();
//! let link = relay.add_link(Conditions::default()).unwrap();
//! link.set_destination(listener.local_addr().unwrap());
//! let mut caller = TcpStream::connect(link.addr()).unwrap();
//! caller.write_all(b"x").unwrap();
//! let (mut server, _) = listener.accept().unwrap();
//! let mut byte = [0];
//! server.read_exact(&mut byte).unwrap();
//! assert_eq!(&byte, b"x");
//! ```

mod conditions;
mod driver;
mod stream;

pub use conditions::Conditions;
pub use conditions::Flow;

use driver::Driver;
use driver::LinkState;
use driver::Shared;
use polling::Poller;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

/// A running relay. Dropping it closes every link.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay without links. `seed` seeds the random choices of jitter and loss.
    ///
    /// # Errors
    ///
    /// Returns an error when the poller or the thread can't be created.
    pub fn spawn(seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(Poller::new()?));
        let thread = thread::Builder::new().name("relay".into()).spawn({
            let shared = shared.clone();
            move || Driver::new(shared, seed).run()
        })?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Adds a link, which closes new connections until it has a destination.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub fn add_link(&self, conditions: Conditions) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let mut links = self.shared.links();
        let number = links.len();
        links.push(LinkState::new(conditions));
        drop(links);
        self.shared.add_listener(number, listener);
        Ok(Link {
            shared: self.shared.clone(),
            number,
            addr,
        })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.shared.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A handle of one link of a relay, which forwards from a listening address to a destination.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
    number: usize,
    addr: SocketAddr,
}

impl Link {
    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Forwards connections that are opened from now on to `destination`.
    pub fn set_destination(&self, destination: SocketAddr) {
        self.update(|link| link.destination = Some(destination));
    }

    /// Replaces the conditions, also for open connections.
    pub fn set_conditions(&self, conditions: Conditions) {
        self.update(|link| link.conditions = conditions);
    }

    /// Returns the current conditions.
    pub fn conditions(&self) -> Conditions {
        self.shared.links()[self.number].conditions
    }

    /// Discards all further bytes of the connections that are open now. New connections work.
    pub fn silence_open_connections(&self) {
        self.update(|link| link.silenced_before = link.opened);
    }

    /// Closes the silenced connections, as expired TCP keepalives would.
    pub fn reset_silenced_connections(&self) {
        self.update(|link| link.reset_before = link.reset_before.max(link.silenced_before));
    }

    /// Closes the connections that are open now.
    pub fn reset_open(&self) {
        self.update(|link| link.reset_before = link.opened);
    }

    fn update(&self, update: impl FnOnce(&mut LinkState)) {
        update(&mut self.shared.links()[self.number]);
        self.shared.wake();
    }
}
