//! Closing of callers' connections during a planned shutdown.
//!
//! Closing a socket while a request of the caller is in flight resets the connection, and the reset
//! may reach the caller before the error message does. The proxy therefore shuts down only its
//! sending side first. It closes the connection when the caller has closed its own side, or after a
//! timeout.

use std::io;
use std::io::Read;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The time after which connections are closed although their callers have not closed their side.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the connections are checked for the end of the caller's side.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size of the buffer into which discarded input is read, in bytes.
const DISCARD_CHUNK_BYTES: usize = 4096;

/// Connections whose sending side is shut down.
#[derive(Debug, Default)]
pub(crate) struct HalfClosedConnections {
    streams: Mutex<Vec<TcpStream>>,
}

impl HalfClosedConnections {
    /// Shuts down the sending side of a connection, and keeps its receiving side open until
    /// [`HalfClosedConnections::wait_for_disconnects`] returns.
    pub(crate) fn shut_down_sending(&self, stream: &TcpStream) {
        // A connection that can't be cloned or shut down is closed already.
        let Ok(retained) = stream.try_clone() else {
            return;
        };
        if retained.shutdown(Shutdown::Write).is_ok() && retained.set_nonblocking(true).is_ok() {
            let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
            streams.push(retained);
        }
    }

    /// Waits until every caller has closed its side or the timeout has passed, then closes the
    /// connections.
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

/// Discards the caller's input, and returns whether its side is still open.
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
