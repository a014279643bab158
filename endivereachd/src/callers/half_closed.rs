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
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause between two looks at the callers.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How many bytes are dropped at a time.
const DISCARD_CHUNK_BYTES: usize = 4096;

/// Connections whose sending side is shut down.
#[derive(Debug, Default)]
pub(crate) struct HalfClosedConnections {
    streams: Mutex<Vec<TcpStream>>,
}

impl HalfClosedConnections {
    /// Shuts the sending side of a connection down, and keeps the rest until [`HalfClosedConnections::wait_for_disconnects`].
    pub(crate) fn shut_down_sending(&self, stream: &TcpStream) {
        // A connection that can't be kept or shut down is gone already.
        let Ok(retained) = stream.try_clone() else {
            return;
        };
        if retained.shutdown(Shutdown::Write).is_ok() && retained.set_nonblocking(true).is_ok() {
            let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
            streams.push(retained);
        }
    }

    /// Waits until every caller closed its side, for a bounded time, and closes the connections.
    pub(crate) fn wait_for_disconnects(&self) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let mut streams = std::mem::take(&mut *streams);
        let deadline = Instant::now() + DISCONNECT_TIMEOUT;
        while !streams.is_empty() && Instant::now() < deadline {
            streams.retain_mut(discard_input);
            thread::sleep(DISCONNECT_POLL_INTERVAL);
        }
    }
}

/// Drops what the caller sent, and returns whether its side is still open.
fn discard_input(stream: &mut TcpStream) -> bool {
    let mut discarded = [0; DISCARD_CHUNK_BYTES];
    loop {
        match stream.read(&mut discarded) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}
