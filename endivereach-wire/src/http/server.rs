//! The HTTP server. Each connection has its own thread, so that a long call, such as a watch,
//! doesn't block calls on other connections.

use super::BODY_MAX_BYTES;
use super::Call;
use super::Reply;
use endivereach_core::ids::parse_number;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The maximum number of open connections of a server, including those of waiting watches.
const CONNECTIONS_MAX: usize = 1024;

/// The read and write timeout of a connection. It is four times as long as this crate's client
/// keeps an idle connection, which is ureq's default.
const CONNECTION_IO_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum size of a request's head in bytes: the request line and a client's few headers.
const HEAD_MAX_BYTES: usize = 8 * 1024;

/// The maximum number of headers of a request.
const HEADERS_MAX: usize = 32;

/// The maximum number of bytes that are read and discarded of a request whose body is too large. A
/// client that sends its whole request before it reads the response receives the refusal this way.
const DISCARDED_REQUEST_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The maximum number of bytes of one read call.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// The delay before the next `accept` after an error, such as too many open file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The stack size of a connection's thread, in bytes. Handlers don't recurse deeply.
const CONNECTION_STACK_BYTES: usize = 256 * 1024;

/// A running server. Dropping it stops the server.
pub struct Server {
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    listener: TcpListener,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Binds `addr` and starts to answer calls with `handler`, which runs on the thread of the
    /// call's connection.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address can't be bound or the thread that
    /// accepts connections can't be started.
    pub fn bind<H>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Call) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let acceptor = thread::Builder::new().name("http-accept".into()).spawn({
            let listener = listener.try_clone()?;
            let stopped = Arc::clone(&stopped);
            move || accept(&listener, &stopped, &Arc::new(handler))
        })?;
        Ok(Self {
            addr,
            stopped,
            listener,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the bound address, with the port that was assigned when port 0 was requested.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // SAFETY: `self.listener` keeps the descriptor open during the call. The shutdown makes a
        // blocked `accept` return.
        let status = unsafe { libc::shutdown(self.listener.as_raw_fd(), libc::SHUT_RDWR) };
        if status != 0 {
            log::warn!(
                "http-stop addr={} error={}; the accepting thread keeps running",
                self.addr,
                io::Error::last_os_error()
            );
            return;
        }
        if let Some(acceptor) = self.acceptor.take()
            && acceptor.join().is_err()
        {
            log::error!("http-stop addr={} the accepting thread panicked", self.addr);
        }
    }
}

/// Accepts connections and starts a thread for each until the server stops.
fn accept<H>(listener: &TcpListener, stopped: &Arc<AtomicBool>, handler: &Arc<H>)
where
    H: Fn(Call) -> Reply + Send + Sync + 'static,
{
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = listener.accept();
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("http-accept error={error}; retrying");
                thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            }
        };
        if open_connections.load(Ordering::SeqCst) >= CONNECTIONS_MAX {
            log::warn!(
                "http-accept from={from} refused: {CONNECTIONS_MAX} connections are already open"
            );
            continue;
        }
        let guard = ConnectionGuard::acquire(&open_connections);
        let (stopped, handler) = (Arc::clone(stopped), Arc::clone(handler));
        let spawned = thread::Builder::new()
            .name("http-call".into())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(move || {
                let _guard = guard;
                if let Err(error) = serve(stream, from, &stopped, &*handler) {
                    log::debug!("http-connection from={from} ended: {error}");
                }
            });
        if let Err(error) = spawned {
            log::warn!("http-accept from={from} refused: can't start a thread: {error}");
        }
    }
}

/// Counts a connection as open until the guard is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn acquire(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(open_connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Answers the calls of one connection until it is closed, times out, or the server stops.
fn serve<H: Fn(Call) -> Reply>(
    mut stream: TcpStream,
    from: SocketAddr,
    stopped: &AtomicBool,
    handler: &H,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(CONNECTION_IO_TIMEOUT))?;
    stream.set_write_timeout(Some(CONNECTION_IO_TIMEOUT))?;
    let mut input = Vec::new();
    loop {
        let request = match read_request(&mut stream, &mut input) {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                let reply = Reply::error_response("malformed", format!("{error}; send HTTP/1.1"));
                write_reply(&mut stream, &reply, true)?;
                return Err(error);
            }
            Err(error) => return Err(error),
        };
        if stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let (reply, closes_connection) = match request {
            Request::WithBody {
                path,
                body,
                closes_connection,
            } => (
                handler(Call {
                    path,
                    body,
                    client_addr: Some(from),
                }),
                closes_connection,
            ),
            Request::TooLarge => (
                Reply::error_response("too_large", "send a body of at most 2 MiB"),
                true,
            ),
        };
        write_reply(&mut stream, &reply, closes_connection)?;
        if closes_connection {
            return Ok(());
        }
    }
}

/// A request that was read from a connection.
enum Request {
    /// A request with its body.
    WithBody {
        path: Box<str>,
        body: Vec<u8>,
        /// Whether the connection is closed after the response.
        closes_connection: bool,
    },
    /// A request whose body is above [`BODY_MAX_BYTES`] and was discarded.
    TooLarge,
}

/// The parsed head of a request.
struct Head {
    path: Box<str>,
    head_bytes: usize,
    body_bytes: usize,
    /// Whether the connection is closed after the response.
    closes_connection: bool,
}

/// Reads one request, or returns `None` when the client closed the connection between requests.
fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let head = loop {
        if let Some(head) = parse_head(input)? {
            break head;
        }
        if input.len() > HEAD_MAX_BYTES {
            return Err(invalid_data("the head of a request is too large"));
        }
        if read_more(stream, input)? == 0 {
            return if input.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let end = head.head_bytes.saturating_add(head.body_bytes);
    if head.body_bytes as u64 > BODY_MAX_BYTES {
        let mut remaining = end
            .min(DISCARDED_REQUEST_MAX_BYTES)
            .saturating_sub(input.len());
        input.clear();
        while remaining > 0 {
            let count = read_more(stream, input)?;
            if count == 0 {
                break;
            }
            remaining = remaining.saturating_sub(count);
            input.clear();
        }
        return Ok(Some(Request::TooLarge));
    }
    while input.len() < end {
        if read_more(stream, input)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let next_input = input.split_off(end);
    let body = std::mem::replace(input, next_input).split_off(head.head_bytes);
    Ok(Some(Request::WithBody {
        path: head.path,
        body,
        closes_connection: head.closes_connection,
    }))
}

/// Parses the head of a request, or returns `None` when `input` ends before the head does.
fn parse_head(input: &[u8]) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_bytes) = request.parse(input).map_err(invalid_data)? else {
        return Ok(None);
    };
    let mut body_bytes = None;
    let mut closes_connection = request.version == Some(0);
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value)
            .map_err(invalid_data)?
            .trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = parse_number(value).map_err(invalid_data)?;
            let length = usize::try_from(length).map_err(invalid_data)?;
            // The client may have meant another of several lengths.
            if body_bytes.replace(length).is_some() {
                return Err(invalid_data("more than one Content-Length header"));
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(invalid_data("bodies in chunks aren't supported"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            closes_connection = value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some(Head {
        path: request.path.unwrap_or("/").into(),
        head_bytes,
        body_bytes: body_bytes.unwrap_or(0),
        closes_connection,
    }))
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; READ_CHUNK_BYTES];
    let count = stream.read(&mut bytes)?;
    input.extend_from_slice(&bytes[..count]);
    Ok(count)
}

fn write_reply(stream: &mut TcpStream, reply: &Reply, closes_connection: bool) -> io::Result<()> {
    let mut out = Vec::with_capacity(reply.body.len() + 128);
    write!(
        out,
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n",
        reply.status,
        if reply.status < 400 { "OK" } else { "Refused" },
        reply.content_type,
        reply.body.len(),
        if closes_connection {
            "Connection: close\r\n"
        } else {
            ""
        },
    )?;
    out.extend_from_slice(&reply.body);
    stream.write_all(&out)
}

fn invalid_data(reason: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
