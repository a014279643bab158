//! Worker threads. Each worker executes one request at a time, from its first byte to the last byte
//! of its reply.

use super::dedicated::abort_transaction;
use super::error_replies;
use super::idle::Ready;
use super::reply_relay::Output;
use super::request::Frames;
use super::request::Request;
use super::request::RequestError;
use super::request::RequestReader;
use super::request_log::RequestRecord;
use super::run::RequestExecution;
use super::run::SessionEnd;
use super::server::Parked;
use super::server::Server;
use super::session::Session;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use crate::targets::ConnectionBudget;
use endivereach_core::treatment::DEADLINE_DEFAULT;
use endivereach_wire::pg::buffer::FrameBuffer;
use endivereach_wire::pg::frame::CALLER_FRAME_MAX_BYTES;
use endivereach_wire::pg::layout::is_well_formed;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::status;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// How long a worker waits for a caller's next request after a reply before it parks the caller.
pub(crate) const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_millis(2);

/// How long a caller may take to send the rest of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay between a caller's last reply and the error that announces the proxy's shutdown.
const SHUTDOWN_NOTICE_DELAY: Duration = Duration::from_millis(5);

/// How long a drain waits until a caller pauses between its requests.
const DRAIN_PAUSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of workers. Callers beyond this number wait in the poller.
const WORKERS_MAX: usize = 1024;

/// The maximum number of workers that wait in the poller; surplus workers exit.
const IDLE_WORKERS_MAX: usize = 8;

/// The number of workers above which workers park their callers right after a reply instead of
/// waiting for the next request.
const WAITING_WORKERS_MAX: usize = 64;

/// The stack size of a worker thread, in bytes.
const WORKER_STACK_BYTES: usize = 512 * 1024;

/// The capacity of a worker's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The capacity of each output buffer that a worker retains between requests, in bytes.
const RETAINED_OUTPUT_MAX_BYTES: usize = 64 * 1024;

/// The buffers that a worker reuses for all its requests.
struct WorkerBuffers {
    input: FrameBuffer,
    frames: Frames,
    output: Vec<u8>,
    target_output: Vec<u8>,
    normalized_sql: String,
}

impl WorkerBuffers {
    fn new() -> Self {
        Self {
            input: FrameBuffer::with_capacity(READ_BUFFER_BYTES),
            frames: Frames::default(),
            output: Vec::new(),
            target_output: Vec::new(),
            normalized_sql: String::new(),
        }
    }

    fn clear(&mut self) {
        self.input.clear();
        self.frames.clear();
        self.output.clear();
        self.output.shrink_to(RETAINED_OUTPUT_MAX_BYTES);
        self.target_output.clear();
        self.target_output.shrink_to(RETAINED_OUTPUT_MAX_BYTES);
    }
}

/// The result of reading from a caller.
enum Incoming {
    /// A simple query.
    Simple,
    /// An extended-protocol batch.
    Batch,
    /// The caller has sent no further request yet.
    NoInput,
    /// The caller disconnected, or was disconnected after a protocol violation.
    Disconnected,
}

/// Starts a worker thread.
///
/// # Errors
///
/// Returns the operating system's error when the thread can't be started.
pub(crate) fn spawn<G, S, B>(server: &Arc<Server<G, S, B>>) -> io::Result<()>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    server.workers.fetch_add(1, Ordering::SeqCst);
    let shared = Arc::clone(server);
    let spawned = thread::Builder::new()
        .name("worker".into())
        .stack_size(WORKER_STACK_BYTES)
        .spawn(move || {
            run_worker(&shared);
            shared.workers.fetch_sub(1, Ordering::SeqCst);
        });
    if let Err(error) = spawned {
        server.workers.fetch_sub(1, Ordering::SeqCst);
        return Err(error);
    }
    Ok(())
}

/// Handles events of the poller until the worker is surplus or the workers must exit.
fn run_worker<G, S, B>(server: &Arc<Server<G, S, B>>)
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    let mut buffers = WorkerBuffers::new();
    loop {
        server.idle_workers.fetch_add(1, Ordering::SeqCst);
        let ready = server.idle.next();
        let other_idle_workers = server.idle_workers.fetch_sub(1, Ordering::SeqCst) - 1;
        if other_idle_workers == 0 && server.workers.load(Ordering::SeqCst) < WORKERS_MAX {
            // If no other worker starts, this worker handles its event, and the next event waits
            // until this worker is done.
            if let Err(error) = spawn(server) {
                log::warn!("a worker could not be started: {error}");
            }
        }
        match ready {
            Ready::Stopped => return,
            Ready::Listener => server.accept(),
            Ready::Caller(parked) => {
                let unwind_result = catch_unwind(AssertUnwindSafe(|| {
                    server.serve_caller(parked, &mut buffers)
                }));
                if unwind_result.is_err() {
                    log::error!("a request ended in a panic; its caller was disconnected");
                    buffers = WorkerBuffers::new();
                }
                buffers.clear();
            }
        }
        if server.idle_workers.load(Ordering::SeqCst) >= IDLE_WORKERS_MAX {
            return;
        }
    }
}

impl<G, S, B> Server<G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Accepts and parks every caller in the listener's backlog.
    fn accept(&self) {
        while !self.is_draining.load(Ordering::SeqCst) {
            match self.listener.accept() {
                Ok((stream, _)) => self.park_new_caller(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    log::warn!("a caller could not be accepted: {error}");
                    break;
                }
            }
        }
        if !self.is_draining.load(Ordering::SeqCst)
            && let Err(error) = self.idle.watch_listener(&self.listener, true)
        {
            log::error!("the listener failed: {error}; no more callers are accepted");
        }
    }

    fn park_new_caller(&self, stream: TcpStream) {
        // An error here means that the caller has disconnected.
        let _ = stream
            .set_nonblocking(false)
            .and_then(|()| self.idle.park(Parked::New(self.idle.create_socket(stream))));
    }

    /// Executes the requests of a caller until the caller pauses and is parked, or its session
    /// ends.
    fn serve_caller(&self, parked: Parked<G::Group>, buffers: &mut WorkerBuffers) {
        let session = match parked {
            Parked::New(socket) => self.start_session(socket),
            Parked::Session(session) => Some(session),
        };
        let Some(mut session) = session else { return };
        loop {
            let incoming = self.read_request(&session, buffers);
            let request_result = match incoming {
                Incoming::NoInput => {
                    // An error here means that the caller has disconnected.
                    let _ = self.idle.park(Parked::Session(session));
                    return;
                }
                Incoming::Disconnected => return,
                Incoming::Simple | Incoming::Batch => {
                    self.run_request(&mut session, buffers, matches!(incoming, Incoming::Batch))
                }
            };
            buffers.frames.clear();
            if request_result.is_err() {
                return;
            }
            if self.is_draining.load(Ordering::SeqCst) && session.dedicated.is_none() {
                // A driver that receives the reply and the shutdown error at once may report only
                // the error.
                thread::sleep(SHUTDOWN_NOTICE_DELAY);
                if !session.has_input() || self.is_drain_overdue() {
                    self.send_shutdown_notice(session.socket.stream());
                    return;
                }
            }
        }
    }

    /// Sends the shutdown error to a caller and shuts down the sending side of its connection.
    pub(crate) fn send_shutdown_notice(&self, mut stream: &TcpStream) {
        let mut bytes = Vec::new();
        error_replies::shutting_down().put(&mut bytes);
        // A write error is ignored because the connection is closed in any case.
        let _ = stream.write_all(&bytes);
        self.half_closed_connections.shut_down_sending(stream);
    }

    /// Returns whether the drain no longer waits for callers that send requests without a pause.
    /// The next request of such a caller is refused before it is executed.
    fn is_drain_overdue(&self) -> bool {
        let started_at = self.drain_started_at.lock();
        let started_at = started_at.unwrap_or_else(PoisonError::into_inner);
        started_at.is_some_and(|started_at| started_at.elapsed() > DRAIN_PAUSE_TIMEOUT)
    }

    /// Reads the frames of one request into `buffers.frames`.
    fn read_request(&self, session: &Session<G::Group>, buffers: &mut WorkerBuffers) -> Incoming {
        let mut stream = session.socket.stream();
        let waits_for_next_request = self.workers.load(Ordering::Relaxed) <= WAITING_WORKERS_MAX;
        let mut waiting_since = None;
        loop {
            loop {
                let frame = match buffers.input.next_frame(CALLER_FRAME_MAX_BYTES) {
                    Ok(Some(frame)) => frame,
                    Ok(None) => break,
                    Err(error) => return self.send_protocol_violation(stream, &error.to_string()),
                };
                let tag = frame.tag();
                if !is_well_formed(tag, frame.body()) {
                    return self.send_protocol_violation(stream, "a malformed frame");
                }
                match tag {
                    caller::TERMINATE => return Incoming::Disconnected,
                    caller::QUERY if !buffers.frames.is_empty() => {
                        return self
                            .send_protocol_violation(stream, "a simple query inside a batch");
                    }
                    caller::FUNCTION_CALL => {
                        return self
                            .send_protocol_violation(stream, "function calls are not supported");
                    }
                    // The caller may still send COPY data after the target refused the COPY.
                    caller::COPY_DATA | caller::COPY_DONE | caller::COPY_FAIL => continue,
                    _ => buffers.frames.push(frame.bytes),
                }
                let request_max = self.context.settings.limits.request_max;
                if buffers.frames.len_bytes() as u64 > request_max.get() {
                    return self
                        .send_protocol_violation(stream, "a batch above limits.request_max");
                }
                match tag {
                    caller::QUERY => return Incoming::Simple,
                    caller::SYNC | caller::FLUSH => return Incoming::Batch,
                    _ => {}
                }
            }
            let is_between_requests = buffers.frames.is_empty() && buffers.input.is_empty();
            match buffers.input.fill(&mut stream) {
                Ok(0) => return Incoming::Disconnected,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if is_between_requests {
                        return Incoming::NoInput;
                    }
                    let waiting_since = waiting_since.get_or_insert_with(Instant::now);
                    if waiting_since.elapsed() > REQUEST_TIMEOUT {
                        return Incoming::Disconnected;
                    }
                }
                Err(_) => return Incoming::Disconnected,
            }
            if is_between_requests && !waits_for_next_request && buffers.input.is_empty() {
                return Incoming::NoInput;
            }
        }
    }

    fn send_protocol_violation(&self, mut stream: &TcpStream, message: &str) -> Incoming {
        let mut bytes = Vec::new();
        error_replies::protocol_violation(message).put(&mut bytes);
        // A write error is ignored because the connection is closed in any case.
        let _ = stream.write_all(&bytes);
        Incoming::Disconnected
    }

    fn run_request(
        &self,
        session: &mut Session<G::Group>,
        buffers: &mut WorkerBuffers,
        is_batch: bool,
    ) -> Result<(), SessionEnd> {
        let arrival = Instant::now();
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.counters.requests_started.increment();
        self.counters.requests_now.increment();
        self.deposit_retry();
        buffers.output.clear();
        let parsed = self.parse_request(session, buffers, is_batch);
        let result = match parsed {
            Ok(request) => self.execute_request(session, buffers, &request, arrival, id),
            Err(request_error) => reply_to_invalid_request(
                session,
                request_error,
                buffers.frames.ends_with(caller::FLUSH),
            ),
        };
        self.counters.requests_now.decrement();
        result
    }

    fn parse_request(
        &self,
        session: &mut Session<G::Group>,
        buffers: &mut WorkerBuffers,
        is_batch: bool,
    ) -> Result<Request, RequestError> {
        let mut reader = RequestReader {
            statements: &self.statements,
            prepared: &self.prepared,
            scratch: &mut buffers.normalized_sql,
        };
        if is_batch {
            return reader.read_batch(session, &buffers.frames);
        }
        let (_, frame) = buffers.frames.iter().next().ok_or_else(|| {
            RequestError::Fatal(error_replies::protocol_violation(
                "a request without a frame",
            ))
        })?;
        reader.read_simple(session, frame)
    }

    fn execute_request(
        &self,
        session: &mut Session<G::Group>,
        buffers: &mut WorkerBuffers,
        request: &Request,
        arrival: Instant,
        id: u64,
    ) -> Result<(), SessionEnd> {
        let classified = request.statement.as_ref();
        let treatment = classified.map(|statement| &statement.classified.treatment);
        let rule_deadline = treatment.map_or(DEADLINE_DEFAULT, |treatment| treatment.deadline);
        let deadline = arrival + session.proxy_parameters.deadline.unwrap_or(rule_deadline);
        let record = RequestRecord {
            id,
            request_id: session
                .proxy_parameters
                .request_id
                .as_ref()
                .map(|id| id.as_str().into()),
            at_unix_ms: unix_time_ms(),
            fingerprint: classified.map_or(0, |statement| statement.fingerprint),
            rule_line: treatment.and_then(|treatment| treatment.rule_line),
            ..RequestRecord::default()
        };
        let stream = session.socket.shared_stream();
        let mut execution = RequestExecution {
            server: self,
            session,
            frames: &buffers.frames,
            request,
            output: Output {
                buffer: &mut buffers.output,
                caller: &stream,
                is_started: false,
            },
            target_output: &mut buffers.target_output,
            deadline,
            has_caller_request_id: false,
            record,
        };
        let result = execution.run();
        let mut record = execution.record;
        record.total_us = arrival.elapsed().as_micros() as u32;
        self.requests.push(record);
        result
    }
}

/// Sends the error reply for a request that could not be parsed.
fn reply_to_invalid_request<G>(
    session: &mut Session<G>,
    request_error: RequestError,
    is_flushed: bool,
) -> Result<(), SessionEnd> {
    let (error, is_fatal): (ErrorReply, bool) = match request_error {
        RequestError::Refused(error) => (error, is_flushed),
        RequestError::Fatal(error) => (error, true),
    };
    let mut bytes = Vec::new();
    error.put(&mut bytes);
    if !is_fatal {
        let status = match session.has_lost_transaction {
            true => status::FAILED,
            false => abort_transaction(session),
        };
        endivereach_wire::pg::reply::put_ready_for_query(&mut bytes, status);
    }
    let mut stream = session.socket.stream();
    stream
        .write_all(&bytes)
        .map_err(|_| SessionEnd::CallerDisconnected)?;
    if is_fatal {
        Err(SessionEnd::CallerDisconnected)
    } else {
        Ok(())
    }
}

/// Returns the current Unix time in milliseconds, by this VM's clock.
fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
