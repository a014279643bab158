//! The end of connections to callers at a planned stop.
//!
//! A connection that is closed while a request of the caller is on its way is reset, and a reset may
//! overtake the message that says why. So only the sending side is shut down at first, and the
//! connection is closed when the caller closed its side, or after a bounded wait.

use std::io;
use std::io::Read;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long callers that were told of the stop may take to close their side.
const LINGER_MAX: Duration = Duration::from_secs(1);

/// The pause between two looks at the callers.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// How many bytes are dropped at a time.
const DROPPED_BYTES: usize = 4096;

/// Connections whose sending side is shut down.
#[derive(Debug, Default)]
pub(crate) struct Farewells {
    streams: Mutex<Vec<TcpStream>>,
}

impl Farewells {
    /// Shuts the sending side of a connection down, and keeps the rest until [`Farewells::wait`].
    pub(crate) fn linger(&self, stream: &TcpStream) {
        // A connection that can't be kept or shut down is gone already.
        let Ok(kept) = stream.try_clone() else { return };
        if kept.shutdown(Shutdown::Write).is_ok() && kept.set_nonblocking(true).is_ok() {
            let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
            streams.push(kept);
        }
    }

    /// Waits until every caller closed its side, for a bounded time, and closes the connections.
    pub(crate) fn wait(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let mut streams = std::mem::take(&mut *streams);
        let deadline = Instant::now() + LINGER_MAX;
        while !streams.is_empty() && Instant::now() < deadline {
            streams.retain_mut(is_open);
            thread::sleep(LOOK_AGAIN);
        }
    }
}

/// Drops what the caller sent, and returns whether its side is still open.
fn is_open(stream: &mut TcpStream) -> bool {
    let mut dropped = [0; DROPPED_BYTES];
    loop {
        match stream.read(&mut dropped) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}
