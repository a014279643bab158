//! Idle callers, which are parked in a readiness poller without a thread and without buffers.

use polling::Event;
use polling::Events;
use polling::Poller;
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The key of the listener's events.
const LISTENER_KEY: usize = 0;

/// A caller's socket. The poller watches it while the caller is parked.
///
/// # Invariants
///
/// A socket that was added to the poller is deleted from the poller before it is closed.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: Arc<TcpStream>,
    key: usize,
    poller: Arc<Poller>,
    is_added: bool,
}

impl CallerSocket {
    /// Returns the stream.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the stream as a shared handle.
    pub(crate) fn shared_stream(&self) -> Arc<TcpStream> {
        Arc::clone(&self.stream)
    }

    /// Requests one event for when the socket becomes readable.
    fn watch(&mut self) -> io::Result<()> {
        let event = Event::readable(self.key);
        if self.is_added {
            return self.poller.modify(&*self.stream, event);
        }
        // SAFETY: The socket is deleted from the poller when this value is dropped, before the
        // stream closes.
        unsafe { self.poller.add(&*self.stream, event)? };
        self.is_added = true;
        Ok(())
    }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        if self.is_added {
            // An error is ignored because closing the descriptor removes it from the poller, too.
            let _ = self.poller.delete(&*self.stream);
        }
    }
}

/// A value that owns a caller's socket and can be parked in [`IdleCallers`].
pub(crate) trait Parkable: Send {
    /// Returns the caller's socket.
    fn socket(&mut self) -> &mut CallerSocket;
}

/// The event for which a worker was woken.
#[derive(Debug)]
pub(crate) enum Ready<T> {
    /// A parked caller sent data or disconnected.
    Caller(T),
    /// The listener has connections to accept.
    Listener,
    /// The workers must exit.
    Stopped,
}

/// The parked callers and the poller that watches their sockets.
///
/// Workers follow the leader/follower pattern: one worker at a time waits in the poller. When that
/// worker receives an event, it lets the next worker wait and handles the event itself, so that no
/// request is passed between threads.
pub(crate) struct IdleCallers<T> {
    poller: Arc<Poller>,
    poll_events: Mutex<Events>,
    parked: Mutex<HashMap<usize, T>>,
    next_key: AtomicUsize,
    is_stopped: AtomicBool,
}

impl<T: Parkable> IdleCallers<T> {
    /// Creates a poller without sockets.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            poller: Arc::new(Poller::new()?),
            poll_events: Mutex::new(Events::with_capacity(NonZeroUsize::MIN)),
            parked: Mutex::default(),
            next_key: AtomicUsize::new(LISTENER_KEY + 1),
            is_stopped: AtomicBool::new(false),
        })
    }

    /// Requests one event for when the listener has connections to accept. `is_added` tells whether
    /// the listener was added to the poller before.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) fn watch_listener(&self, listener: &TcpListener, is_added: bool) -> io::Result<()> {
        let event = Event::readable(LISTENER_KEY);
        if is_added {
            return self.poller.modify(listener, event);
        }
        // SAFETY: The listener is deleted from the poller by `remove_listener` before it is closed.
        unsafe { self.poller.add(listener, event) }
    }

    /// Removes the listener from the poller.
    pub(crate) fn remove_listener(&self, listener: &TcpListener) {
        // The only possible error is that the listener has been removed already.
        let _ = self.poller.delete(listener);
    }

    /// Creates the socket of a new caller with a unique key. The caller is not parked yet.
    pub(crate) fn create_socket(&self, stream: TcpStream) -> CallerSocket {
        CallerSocket {
            stream: Arc::new(stream),
            key: self.next_key.fetch_add(1, Ordering::Relaxed),
            poller: Arc::clone(&self.poller),
            is_added: false,
        }
    }

    fn lock_parked(&self) -> MutexGuard<'_, HashMap<usize, T>> {
        self.parked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Parks a caller until its socket becomes readable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. The caller is dropped and thereby disconnected.
    pub(crate) fn park(&self, mut caller: T) -> io::Result<()> {
        // The event may arrive at once, and its handler must find the caller in the map. The map
        // therefore stays locked until the caller is inserted.
        let mut parked = self.lock_parked();
        caller.socket().watch()?;
        parked.insert(caller.socket().key, caller);
        Ok(())
    }

    /// Waits until a caller's socket or the listener becomes readable, or the workers must exit.
    pub(crate) fn next(&self) -> Ready<T> {
        let mut events = self
            .poll_events
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loop {
            if self.is_stopped.load(Ordering::SeqCst) {
                return Ready::Stopped;
            }
            events.clear();
            if let Err(error) = self.poller.wait(&mut events, None) {
                log::error!(
                    "waiting for callers failed: {error}; no more requests are served, restart the daemon"
                );
                self.is_stopped.store(true, Ordering::SeqCst);
                return Ready::Stopped;
            }
            let Some(event) = events.iter().next() else {
                continue;
            };
            if event.key == LISTENER_KEY {
                return Ready::Listener;
            }
            // A caller that `take_if` has removed in the meantime has no entry.
            if let Some(caller) = self.lock_parked().remove(&event.key) {
                return Ready::Caller(caller);
            }
        }
    }

    /// Removes and returns the parked callers for which `predicate` returns true.
    pub(crate) fn take_if(&self, mut predicate: impl FnMut(&mut T) -> bool) -> Vec<T> {
        self.lock_parked()
            .extract_if(|_, caller| predicate(caller))
            .map(|(_, caller)| caller)
            .collect()
    }

    /// Makes [`next`](Self::next) return [`Ready::Stopped`] to all workers from now on.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // If the notification fails, the poller has failed, and `next` returns `Stopped` anyway.
        let _ = self.poller.notify();
    }
}
