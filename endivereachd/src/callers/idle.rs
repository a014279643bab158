//! Idle callers: parked in a readiness poller, without a thread and without buffers.

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

/// The poller's key of the listener.
const LISTENER_KEY: usize = 0;

/// A caller's socket, known to the poller while it is parked.
///
/// # Invariants
///
/// A socket that was added to the poller is deleted from it before it is closed.
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
    pub(crate) fn share(&self) -> Arc<TcpStream> {
        Arc::clone(&self.stream)
    }

    /// Asks for one event when the socket can be read.
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
            // The descriptor is closed right after, which removes it in any case.
            let _ = self.poller.delete(&*self.stream);
        }
    }
}

/// What has a caller's socket, so that it can be parked.
pub(crate) trait Parkable: Send {
    /// Returns the socket.
    fn socket(&mut self) -> &mut CallerSocket;
}

/// What a worker was woken for.
#[derive(Debug)]
pub(crate) enum Ready<T> {
    /// A caller sent something, or went away.
    Caller(T),
    /// The listener has callers to accept.
    Listener,
    /// The workers have to stop.
    Stopped,
}

/// The callers that wait for nothing but their own next request.
///
/// One worker at a time waits in the poller; when it gets an event, it lets the next worker wait and
/// runs the request itself, so that no request is handed from thread to thread.
pub(crate) struct Idle<T> {
    poller: Arc<Poller>,
    poll_events: Mutex<Events>,
    lock_parked: Mutex<HashMap<usize, T>>,
    next_key: AtomicUsize,
    is_stopped: AtomicBool,
}

impl<T: Parkable> Idle<T> {
    /// Creates the poller.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            poller: Arc::new(Poller::new()?),
            poll_events: Mutex::new(Events::with_capacity(NonZeroUsize::MIN)),
            lock_parked: Mutex::default(),
            next_key: AtomicUsize::new(LISTENER_KEY + 1),
            is_stopped: AtomicBool::new(false),
        })
    }

    /// Asks for one event when the listener has callers.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) fn watch_listener(&self, listener: &TcpListener, is_added: bool) -> io::Result<()> {
        let event = Event::readable(LISTENER_KEY);
        if is_added {
            return self.poller.modify(listener, event);
        }
        // SAFETY: The listener is deleted by `remove_listener` before it is closed.
        unsafe { self.poller.add(listener, event) }
    }

    /// Asks for no more events of the listener.
    pub(crate) fn remove_listener(&self, listener: &TcpListener) {
        // The only error is that it is no longer known, which is what is wanted.
        let _ = self.poller.delete(listener);
    }

    /// Takes a new caller's socket in.
    pub(crate) fn socket(&self, stream: TcpStream) -> CallerSocket {
        CallerSocket {
            stream: Arc::new(stream),
            key: self.next_key.fetch_add(1, Ordering::Relaxed),
            poller: Arc::clone(&self.poller),
            is_added: false,
        }
    }

    fn lock_parked(&self) -> MutexGuard<'_, HashMap<usize, T>> {
        self.lock_parked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Parks a caller until its socket can be read.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; the caller is gone.
    pub(crate) fn park(&self, mut caller: T) -> io::Result<()> {
        // The caller has to be found by the event, so it is armed while the map is locked.
        let mut lock_parked = self.lock_parked();
        caller.socket().watch()?;
        lock_parked.insert(caller.socket().key, caller);
        Ok(())
    }

    /// Waits until a caller's socket or the listener can be read.
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
                log::error!("the poller of idle callers failed: {error}; stopping");
                self.is_stopped.store(true, Ordering::SeqCst);
                return Ready::Stopped;
            }
            let Some(event) = events.iter().next() else {
                continue;
            };
            if event.key == LISTENER_KEY {
                return Ready::Listener;
            }
            // A caller that was taken out in the meantime has no entry.
            if let Some(caller) = self.lock_parked().remove(&event.key) {
                return Ready::Caller(caller);
            }
        }
    }

    /// Takes every parked caller out for which `wanted` holds.
    pub(crate) fn take_if(&self, mut wanted: impl FnMut(&mut T) -> bool) -> Vec<T> {
        self.lock_parked()
            .extract_if(|_, caller| wanted(caller))
            .map(|(_, caller)| caller)
            .collect()
    }

    /// Lets every worker that waits, now or later, stop.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // When the notification fails the poller itself has failed, and the workers stop by that.
        let _ = self.poller.notify();
    }
}
