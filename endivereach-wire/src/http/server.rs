//! The server: a thread for each connection, so that no call waits for another's connection to end.

use super::BODY_MAX_BYTES;
use super::Call;
use super::Reply;
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

/// How many connections one server holds; waiting watches are among them.
const CONNECTIONS_MAX: usize = 1024;

/// How long a connection may be silent: four times what this module's client keeps an idle one.
const CONNECTION_SILENCE_MAX: Duration = Duration::from_secs(60);

/// The largest head of a request, in bytes: a line for the path and the few headers of a client.
const HEAD_MAX_BYTES: usize = 8 * 1024;

/// Header lines that a request may have.
const HEADERS_MAX: usize = 32;

/// The largest body that is read and thrown away, so that the refusal of it arrives, in bytes.
const DISCARDED_MAX_BYTES: usize = 64 * 1024 * 1024;

/// How many bytes are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// How long the acceptor waits after an error, such as a lack of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The stack of a connection's thread, in bytes: handlers do no deep recursion.
const STACK_BYTES: usize = 256 * 1024;

/// A running server. Dropping the handle stops it.
pub struct Server {
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    listener: TcpListener,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Binds `addr` and answers every call with `handler`, each connection on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address can't be bound.
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

    /// Returns the address that the server is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // SAFETY: The listener is open for the call. Shutting it down ends a wait in `accept`.
        let status = unsafe { libc::shutdown(self.listener.as_raw_fd(), libc::SHUT_RDWR) };
        if status != 0 {
            log::warn!(
                "http-stop addr={} error={}; its acceptor is left behind",
                self.addr,
                io::Error::last_os_error()
            );
            return;
        }
        if let Some(acceptor) = self.acceptor.take()
            && acceptor.join().is_err()
        {
            log::error!("http-stop addr={} its acceptor had failed", self.addr);
        }
    }
}

/// Starts a thread for each connection until the server stops.
fn accept<H>(listener: &TcpListener, stopped: &Arc<AtomicBool>, handler: &Arc<H>)
where
    H: Fn(Call) -> Reply + Send + Sync + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = listener.accept();
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("http-accept error={error}; trying again");
                thread::sleep(ACCEPT_RETRY_INTERVAL);
                continue;
            }
        };
        if open.load(Ordering::SeqCst) >= CONNECTIONS_MAX {
            log::warn!("http-accept from={from} refused: {CONNECTIONS_MAX} connections are open");
            continue;
        }
        let place = Place::take(&open);
        let (stopped, handler) = (Arc::clone(stopped), Arc::clone(handler));
        let spawned = thread::Builder::new()
            .name("http-call".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _place = place;
                if let Err(error) = serve(stream, from, &stopped, &*handler) {
                    log::debug!("http-connection from={from} ended: {error}");
                }
            });
        if let Err(error) = spawned {
            log::warn!("http-accept from={from} refused: no thread: {error}");
        }
    }
}

/// One of the server's connections, counted until it is dropped.
struct Place(Arc<AtomicUsize>);

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(open))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Answers the calls of one connection until it ends, falls silent, or the server stops.
fn serve<H: Fn(Call) -> Reply>(
    mut stream: TcpStream,
    from: SocketAddr,
    stopped: &AtomicBool,
    handler: &H,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(CONNECTION_SILENCE_MAX))?;
    stream.set_write_timeout(Some(CONNECTION_SILENCE_MAX))?;
    let mut input = Vec::new();
    loop {
        let request = match read_request(&mut stream, &mut input) {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                let reply = Reply::refuse("malformed", format!("{error}; send HTTP/1.1"));
                write_reply(&mut stream, &reply, true)?;
                return Err(error);
            }
            Err(error) => return Err(error),
        };
        if stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let (reply, ends) = match request {
            Request::Whole { path, body, ends } => (
                handler(Call {
                    path,
                    body,
                    from: Some(from),
                }),
                ends,
            ),
            Request::TooLarge => (
                Reply::refuse("too_large", "send a body of at most 2 MiB"),
                true,
            ),
        };
        write_reply(&mut stream, &reply, ends)?;
        if ends {
            return Ok(());
        }
    }
}

/// A request off a connection.
enum Request {
    /// A request with its body.
    Whole {
        path: Box<str>,
        body: Vec<u8>,
        /// Whether the caller wants the connection closed after the answer.
        ends: bool,
    },
    /// A request whose body wasn't kept.
    TooLarge,
}

/// What the head of a request says.
struct Head {
    path: Box<str>,
    head_bytes: usize,
    body_bytes: usize,
    ends: bool,
}

/// Reads one request, or returns `None` when the connection ends between requests.
fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let head = loop {
        if let Some(head) = parse_head(input)? {
            break head;
        }
        if input.len() > HEAD_MAX_BYTES {
            return Err(invalid("the head of a request is too large"));
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
        let mut left = end.min(DISCARDED_MAX_BYTES).saturating_sub(input.len());
        input.clear();
        while left > 0 {
            let count = read_more(stream, input)?;
            if count == 0 {
                break;
            }
            left = left.saturating_sub(count);
            input.clear();
        }
        return Ok(Some(Request::TooLarge));
    }
    while input.len() < end {
        if read_more(stream, input)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let rest = input.split_off(end);
    let body = std::mem::replace(input, rest).split_off(head.head_bytes);
    Ok(Some(Request::Whole {
        path: head.path,
        body,
        ends: head.ends,
    }))
}

/// Parses the head of a request, or returns `None` while it isn't whole.
fn parse_head(input: &[u8]) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_bytes) = request.parse(input).map_err(invalid)? else {
        return Ok(None);
    };
    let mut body_bytes = 0;
    let mut ends = request.version == Some(0);
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(invalid)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            body_bytes = value.parse().map_err(invalid)?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(invalid("bodies in chunks aren't supported"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            ends = value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some(Head {
        path: request.path.unwrap_or("/").into(),
        head_bytes,
        body_bytes,
        ends,
    }))
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; READ_BYTES];
    let count = stream.read(&mut bytes)?;
    input.extend_from_slice(&bytes[..count]);
    Ok(count)
}

fn write_reply(stream: &mut TcpStream, reply: &Reply, ends: bool) -> io::Result<()> {
    let mut out = Vec::with_capacity(reply.body.len() + 128);
    write!(
        out,
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n",
        reply.status,
        if reply.status < 400 { "OK" } else { "Refused" },
        reply.content_type,
        reply.body.len(),
        if ends { "Connection: close\r\n" } else { "" },
    )?;
    out.extend_from_slice(&reply.body);
    stream.write_all(&out)
}

fn invalid(reason: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
