//! Workers: each runs one request at a time, from its first byte to the last byte of its answer.

use super::answer::Output;
use super::held::abort_transaction;
use super::idle::Ready;
use super::refusal;
use super::request::BadRequest;
use super::request::Frames;
use super::request::Reader;
use super::request::Request;
use super::run::End;
use super::run::Run;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::server::Parked;
use super::server::Server;
use super::session::Session;
use super::trace::RequestRecord;
use crate::targets::ConnectionBudget;
use endivereach_core::treatment::DEFAULT_DEADLINE;
use endivereach_wire::pg::buffer::FrameBuffer;
use endivereach_wire::pg::frame::CALLER_FRAME_MAX_BYTES;
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

/// How long a worker stays with a caller after an answer, before the caller is parked.
pub(crate) const LINGER: Duration = Duration::from_millis(2);

/// How long a caller may take to send the rest of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause between a caller's last answer and the farewell of a proxy that stops.
const FAREWELL_PAUSE: Duration = Duration::from_millis(5);

/// How long a drain waits for a pause between a caller's requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Workers at most. Callers beyond them wait in the poller.
const WORKERS_MAX: usize = 1024;

/// Workers that stay when there is nothing to do.
const SPARE_WORKERS_MAX: usize = 8;

/// Workers beyond this number don't stay with their callers after an answer.
const LINGERING_MAX: usize = 64;

/// The stack of a worker, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// The read buffer of a worker, in bytes.
const INPUT_BYTES: usize = 16 * 1024;

/// The memory that a worker keeps for answers between requests, in bytes.
const OUTPUT_KEPT_BYTES: usize = 64 * 1024;

/// What a worker reuses from request to request.
struct Scratch {
    input: FrameBuffer,
    frames: Frames,
    output: Vec<u8>,
    bytes: Vec<u8>,
    text: String,
}

impl Scratch {
    fn new() -> Self {
        Self {
            input: FrameBuffer::with_capacity(INPUT_BYTES),
            frames: Frames::default(),
            output: Vec::new(),
            bytes: Vec::new(),
            text: String::new(),
        }
    }

    fn clear(&mut self) {
        self.input.clear();
        self.frames.clear();
        self.output.clear();
        self.output.shrink_to(OUTPUT_KEPT_BYTES);
        self.bytes.clear();
        self.bytes.shrink_to(OUTPUT_KEPT_BYTES);
    }
}

/// What a caller sent.
enum Incoming {
    /// A simple query.
    Simple,
    /// An extended batch.
    Batch,
    /// Nothing for now.
    Nothing,
    /// The caller left, or broke the protocol.
    Gone,
}

/// Starts a worker.
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
        .stack_size(STACK_BYTES)
        .spawn(move || {
            work(&shared);
            shared.workers.fetch_sub(1, Ordering::SeqCst);
        });
    if let Err(error) = spawned {
        server.workers.fetch_sub(1, Ordering::SeqCst);
        return Err(error);
    }
    Ok(())
}

fn work<G, S, B>(server: &Arc<Server<G, S, B>>)
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    let mut scratch = Scratch::new();
    loop {
        server.spare_workers.fetch_add(1, Ordering::SeqCst);
        let ready = server.idle.next();
        let others = server.spare_workers.fetch_sub(1, Ordering::SeqCst) - 1;
        if others == 0 && server.workers.load(Ordering::SeqCst) < WORKERS_MAX {
            // Without another worker this one still serves; the next event waits for it.
            if let Err(error) = spawn(server) {
                log::warn!("a worker could not be started: {error}");
            }
        }
        match ready {
            Ready::Stopped => return,
            Ready::Listener => server.accept(),
            Ready::Caller(parked) => {
                let served = catch_unwind(AssertUnwindSafe(|| server.serve(parked, &mut scratch)));
                if served.is_err() {
                    log::error!("a request ended in a panic; its caller was disconnected");
                    scratch = Scratch::new();
                }
                scratch.clear();
            }
        }
        if server.spare_workers.load(Ordering::SeqCst) >= SPARE_WORKERS_MAX {
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
    /// Parks every caller that waits at the listener.
    fn accept(&self) {
        while !self.is_draining.load(Ordering::SeqCst) {
            match self.listener.accept() {
                Ok((stream, _)) => self.park_new(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    log::warn!("a caller could not be accepted: {error}");
                    break;
                }
            }
        }
        if !self.is_draining.load(Ordering::SeqCst)
            && let Err(error) = self.idle.arm_listener(&self.listener, true)
        {
            log::error!("the listener failed: {error}; no more callers are accepted");
        }
    }

    fn park_new(&self, stream: TcpStream) {
        // A socket that fails here belongs to a caller that is gone.
        let _ = stream
            .set_nonblocking(false)
            .and_then(|()| self.idle.park(Parked::New(self.idle.socket(stream))));
    }

    fn serve(&self, parked: Parked<G::Group>, scratch: &mut Scratch) {
        let session = match parked {
            Parked::New(socket) => self.start(socket),
            Parked::Session(session) => Some(session),
        };
        let Some(mut session) = session else { return };
        loop {
            let incoming = self.read_request(&session, scratch);
            let ran = match incoming {
                Incoming::Nothing => {
                    // A session that can't be parked has lost its caller.
                    let _ = self.idle.park(Parked::Session(session));
                    return;
                }
                Incoming::Gone => return,
                Incoming::Simple | Incoming::Batch => {
                    self.run(&mut session, scratch, matches!(incoming, Incoming::Batch))
                }
            };
            scratch.frames.clear();
            if ran.is_err() {
                return;
            }
            if self.is_draining.load(Ordering::SeqCst) && session.held.is_none() {
                // A driver that gets its answer and the farewell at once may report only the latter.
                thread::sleep(FAREWELL_PAUSE);
                if !session.has_input() || self.is_drain_late() {
                    self.say_stopping(session.socket.stream());
                    return;
                }
            }
        }
    }

    /// Tells a caller that the proxy stops.
    pub(crate) fn say_stopping(&self, mut stream: &TcpStream) {
        let mut bytes = Vec::new();
        refusal::stopping().put(&mut bytes);
        // The caller is disconnected in any case.
        let _ = stream.write_all(&bytes);
        self.farewells.linger(stream);
    }

    /// Returns whether the drain can't wait any longer for callers that send without a pause. Their
    /// next request is refused before it is run.
    fn is_drain_late(&self) -> bool {
        let since = self.draining_since.lock();
        let since = since.unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| since.elapsed() > DRAIN_GRACE)
    }

    /// Reads one request.
    fn read_request(&self, session: &Session<G::Group>, scratch: &mut Scratch) -> Incoming {
        let mut stream = session.socket.stream();
        let lingers = self.workers.load(Ordering::Relaxed) <= LINGERING_MAX;
        let mut began = None;
        loop {
            loop {
                let frame = match scratch.input.next_frame(CALLER_FRAME_MAX_BYTES) {
                    Ok(Some(frame)) => frame,
                    Ok(None) => break,
                    Err(error) => return self.protocol_error(stream, &error.to_string()),
                };
                let tag = frame.tag();
                match tag {
                    caller::TERMINATE => return Incoming::Gone,
                    caller::QUERY if !scratch.frames.is_empty() => {
                        return self.protocol_error(stream, "a simple query inside a batch");
                    }
                    caller::FUNCTION_CALL => {
                        return self.protocol_error(stream, "function calls are not supported");
                    }
                    // What is left of copied data after the target refused it.
                    caller::COPY_DATA | caller::COPY_DONE | caller::COPY_FAIL => continue,
                    _ => scratch.frames.push(frame.bytes),
                }
                let request_max = self.context.settings.limits.request_max;
                if scratch.frames.len_bytes() as u64 > request_max.get() {
                    return self.protocol_error(stream, "a batch above limits.request_max");
                }
                match tag {
                    caller::QUERY => return Incoming::Simple,
                    caller::SYNC | caller::FLUSH => return Incoming::Batch,
                    _ => {}
                }
            }
            let is_between = scratch.frames.is_empty() && scratch.input.is_empty();
            match scratch.input.fill(&mut stream) {
                Ok(0) => return Incoming::Gone,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if is_between {
                        return Incoming::Nothing;
                    }
                    let began = began.get_or_insert_with(Instant::now);
                    if began.elapsed() > REQUEST_TIMEOUT {
                        return Incoming::Gone;
                    }
                }
                Err(_) => return Incoming::Gone,
            }
            if is_between && !lingers && scratch.input.is_empty() {
                return Incoming::Nothing;
            }
        }
    }

    fn protocol_error(&self, mut stream: &TcpStream, message: &str) -> Incoming {
        let mut bytes = Vec::new();
        refusal::protocol(message).put(&mut bytes);
        // The caller is disconnected in any case.
        let _ = stream.write_all(&bytes);
        Incoming::Gone
    }

    fn run(
        &self,
        session: &mut Session<G::Group>,
        scratch: &mut Scratch,
        is_batch: bool,
    ) -> Result<(), End> {
        let arrival = Instant::now();
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.counters.requests_started.add();
        self.counters.requests_now.add();
        self.earn_retry();
        scratch.output.clear();
        let read = self.read_statement(session, scratch, is_batch);
        let ended = match read {
            Ok(request) => self.run_statement(session, scratch, &request, arrival, id),
            Err(bad) => answer_bad(session, bad, scratch.frames.ends_with(caller::FLUSH)),
        };
        self.counters.requests_now.sub();
        ended
    }

    fn read_statement(
        &self,
        session: &mut Session<G::Group>,
        scratch: &mut Scratch,
        is_batch: bool,
    ) -> Result<Request, BadRequest> {
        let mut reader = Reader {
            statements: &self.statements,
            prepared: &self.prepared,
            scratch: &mut scratch.text,
        };
        if is_batch {
            return reader.batch(session, &scratch.frames);
        }
        let (_, frame) = scratch
            .frames
            .iter()
            .next()
            .ok_or_else(|| BadRequest::Fatal(refusal::protocol("a request without a frame")))?;
        reader.simple(session, frame)
    }

    fn run_statement(
        &self,
        session: &mut Session<G::Group>,
        scratch: &mut Scratch,
        request: &Request,
        arrival: Instant,
        id: u64,
    ) -> Result<(), End> {
        let classified = request.statement.as_ref();
        let treatment = classified.map(|statement| &statement.classified.treatment);
        let ruled = treatment.map_or(DEFAULT_DEADLINE, |treatment| treatment.deadline);
        let deadline = arrival + session.own.deadline.unwrap_or(ruled);
        let record = RequestRecord {
            id,
            request_id: session.own.request_id.as_ref().map(|id| id.as_str().into()),
            at_unix_ms: unix_ms(),
            fingerprint: classified.map_or(0, |statement| statement.fingerprint),
            rule_line: treatment.and_then(|treatment| treatment.rule_line),
            ..RequestRecord::default()
        };
        let stream = session.socket.share();
        let mut run = Run {
            server: self,
            session,
            frames: &scratch.frames,
            request,
            output: Output {
                buffer: &mut scratch.output,
                caller: &stream,
                is_started: false,
            },
            bytes: &mut scratch.bytes,
            deadline,
            has_given_id: false,
            record,
        };
        let ended = run.run();
        let mut record = run.record;
        record.total_us = arrival.elapsed().as_micros() as u32;
        self.requests.push(record);
        ended
    }
}

/// Answers a request that could not be read.
fn answer_bad<G>(session: &mut Session<G>, bad: BadRequest, is_flushed: bool) -> Result<(), End> {
    let (error, is_fatal): (ErrorReply, bool) = match bad {
        BadRequest::Refused(error) => (error, is_flushed),
        BadRequest::Fatal(error) => (error, true),
    };
    let mut bytes = Vec::new();
    error.put(&mut bytes);
    if !is_fatal {
        let status = match session.lost_transaction {
            true => status::FAILED,
            false => abort_transaction(session),
        };
        endivereach_wire::pg::reply::put_ready(&mut bytes, status);
    }
    let mut stream = session.socket.stream();
    stream.write_all(&bytes).map_err(|_| End::CallerGone)?;
    if is_fatal {
        Err(End::CallerGone)
    } else {
        Ok(())
    }
}

/// Returns the present moment in milliseconds of Unix time, by this VM's clock.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
