//! The startup of a caller's session: encryption requests, login, startup parameters and cancel
//! requests.

use super::error_replies;
use super::idle::CallerSocket;
use super::server::Server;
use super::session::CallerGauge;
use super::session::PROXY_PARAMETER_PREFIX;
use super::session::ProxyParameters;
use super::session::Session;
use super::session::SessionParameters;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::worker::NEXT_REQUEST_TIMEOUT;
use crate::targets::CancelKey;
use crate::targets::ConnectionBudget;
use crate::targets::cancel;
use endivereach_core::ids::GroupName;
use endivereach_core::session::SessionPosition;
use endivereach_wire::pg::frame::read_frame;
use endivereach_wire::pg::frame::read_startup;
use endivereach_wire::pg::reply;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::scram;
use endivereach_wire::pg::scram::ScramExchange;
use endivereach_wire::pg::startup::FirstPacket;
use endivereach_wire::pg::startup::Parameter;
use endivereach_wire::pg::startup::Parameters;
use endivereach_wire::pg::startup::parse_first_packet;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::status;
use pgwire::messages::startup::Authentication;
use rand::Rng;
use rand::distr::Alphanumeric;
use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// The read timeout of each message of the startup.
const STARTUP_STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum time for which a write to a caller may make no progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum size of a frame during a login, in bytes.
const LOGIN_FRAME_MAX_BYTES: usize = 10_000;

/// The maximum number of packets that are read from a caller until its startup message; each
/// encryption request is one.
const FIRST_PACKETS_MAX: u32 = 3;

/// The length of the server's nonce in a SCRAM exchange, in characters.
const SCRAM_NONCE_LEN: usize = 24;

/// The reply to an encryption request: the proxy offers no encryption.
const ENCRYPTION_REFUSED: &[u8] = b"N";

/// The parameters that are reported to callers, with the values used until a server of the group
/// has reported its own.
const DEFAULT_PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The parameter that determines where a server ends a text that holds a backslash.
const STRING_SYNTAX_PARAMETER: &str = "standard_conforming_strings";

/// Startup parameters that are not set on connections to targets.
const IGNORED_PARAMETERS: [&str; 6] = [
    "user",
    "database",
    "options",
    "application_name",
    "replication",
    "client_encoding",
];

/// The reason why no session was started.
enum StartError {
    /// The caller receives an error reply.
    Rejected(ErrorReply),
    /// The caller has disconnected.
    Disconnected,
}

impl From<io::Error> for StartError {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

impl<G, S, B> Server<G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Starts the session of a new caller, or forwards its cancel request.
    pub(crate) fn start_session(&self, socket: CallerSocket) -> Option<Box<Session<G::Group>>> {
        let shared = socket.shared_stream();
        let stream = &*shared;
        let configured = stream
            .set_nodelay(true)
            .and_then(|()| stream.set_read_timeout(Some(STARTUP_STEP_TIMEOUT)))
            .and_then(|()| stream.set_write_timeout(Some(WRITE_TIMEOUT)));
        configured.ok()?;
        let parameters = self.read_first_packet(stream)?;
        let mut caller = stream;
        let session = match self.authenticate(stream, &parameters) {
            Ok(group) => self.open_session(socket, group, &parameters),
            Err(start_error) => Err(start_error),
        };
        match session {
            Ok(session) => Some(session),
            Err(StartError::Disconnected) => None,
            Err(StartError::Rejected(error)) => {
                self.counters.callers_refused.increment();
                let mut bytes = Vec::new();
                error.put(&mut bytes);
                // A write error is ignored because the connection is closed in any case.
                let _ = caller.write_all(&bytes);
                None
            }
        }
    }

    /// Refuses encryption requests and returns the parameters of the startup message. Returns
    /// `None` when no session is to be started.
    fn read_first_packet(&self, mut stream: &TcpStream) -> Option<Parameters> {
        for _ in 0..FIRST_PACKETS_MAX {
            match parse_first_packet(&read_startup(&mut stream).ok()?)? {
                FirstPacket::EncryptionRequest => stream.write_all(ENCRYPTION_REFUSED).ok()?,
                FirstPacket::StartupMessage(parameters) => return Some(parameters),
                FirstPacket::Cancel { pid, secret } => {
                    self.cancel(CancelKey { pid, secret });
                    return None;
                }
                FirstPacket::Unsupported => return None,
            }
        }
        None
    }

    /// Forwards a cancel request to the connection that currently serves the caller. While the
    /// slot is locked, the connection can't be leased to another caller.
    fn cancel(&self, key: CancelKey) {
        let Some(slot) = self.cancel_slots.find(key) else {
            return;
        };
        let serving = slot.lock();
        if let Some(serving) = *serving {
            self.counters.cancels.increment();
            if let Err(error) = cancel(serving.addr, serving.key) {
                log::debug!("a cancel request could not be forwarded: {error}");
            }
        }
    }

    /// Checks the caller's password, unless every caller is trusted, and returns the database group
    /// that the caller connects to.
    fn authenticate(
        &self,
        stream: &TcpStream,
        parameters: &Parameters,
    ) -> Result<Arc<G::Group>, StartError> {
        let user = parameters.get("user").unwrap_or("");
        if !self.verifiers.is_empty() {
            self.check_password(stream, user)?;
        }
        let database = parameters.get("database").unwrap_or(user);
        let group_handle = self.groups.find(&GroupName::from(database));
        group_handle.ok_or_else(|| StartError::Rejected(error_replies::unknown_group(database)))
    }

    fn check_password(&self, mut stream: &TcpStream, user: &str) -> Result<(), StartError> {
        let failed = || StartError::Rejected(error_replies::login_failed(user));
        // An unknown role gets the same message exchange, so that callers can't find out which
        // roles exist.
        let verifier = self.verifiers.get(user);
        let checked_verifier = verifier.unwrap_or(&self.dummy_verifier);
        let mechanisms = vec![scram::MECHANISM.to_owned()];
        send(stream, &Authentication::SASL(mechanisms))?;
        let frame = read_frame(&mut stream, LOGIN_FRAME_MAX_BYTES)?;
        let first = client_first(&frame.body).filter(|_| frame.tag == caller::PASSWORD);
        let nonce: String = rand::rng()
            .sample_iter(Alphanumeric)
            .take(SCRAM_NONCE_LEN)
            .map(char::from)
            .collect();
        let exchange = ScramExchange::start(checked_verifier, first.ok_or_else(failed)?, &nonce);
        let exchange = exchange.map_err(|_| failed())?;
        let server_first = exchange.server_first().to_owned();
        send(stream, &Authentication::SASLContinue(server_first.into()))?;
        let frame = read_frame(&mut stream, LOGIN_FRAME_MAX_BYTES)?;
        let last = std::str::from_utf8(&frame.body).map_err(|_| failed())?;
        let server_final = exchange.finish(last).map_err(|_| failed())?;
        if verifier.is_none() {
            return Err(failed());
        }
        send(stream, &Authentication::SASLFinal(server_final.into()))?;
        Ok(())
    }

    fn open_session(
        &self,
        socket: CallerSocket,
        group: Arc<G::Group>,
        parameters: &Parameters,
    ) -> Result<Box<Session<G::Group>>, StartError> {
        let user = parameters.get("user").unwrap_or("");
        let group_name = GroupName::from(parameters.get("database").unwrap_or(user));
        let cancel = self.cancel_slots.register();
        let mut session = Box::new(Session {
            socket,
            group,
            pools: self.targets.group(&group_name),
            group_name,
            cancel,
            position: SessionPosition::new(false),
            proxy_parameters: ProxyParameters::default(),
            parameters: SessionParameters::default(),
            prepared: HashMap::new(),
            dedicated: None,
            has_lost_transaction: false,
            _caller_gauge: CallerGauge::new(&self.counters),
        });
        for parameter in parameters.iter() {
            apply_startup_parameter(&mut session, parameter).map_err(StartError::Rejected)?;
        }
        let mut bytes = Vec::new();
        reply::put_authentication_ok(&mut bytes);
        let reported = session.pools.reported.latest();
        for (name, value) in DEFAULT_PARAMETERS {
            let reported_value = reported.iter().find(|parameter| &*parameter.name == name);
            let value = reported_value.map_or(value, |parameter| &parameter.value);
            let requested_value = parameters.get(name).unwrap_or(value);
            reply::put_parameter_status(&mut bytes, name, requested_value);
        }
        let key = session.cancel.slot().key;
        reply::put_backend_key_data(&mut bytes, key.pid, key.secret);
        reply::put_ready_for_query(&mut bytes, status::IDLE);
        let mut stream = session.socket.stream();
        stream.write_all(&bytes)?;
        stream.set_read_timeout(Some(NEXT_REQUEST_TIMEOUT))?;
        Ok(session)
    }
}

/// Sets a startup parameter in the session.
fn apply_startup_parameter<G>(
    session: &mut Session<G>,
    parameter: &Parameter,
) -> Result<(), ErrorReply> {
    let (name, value) = (&*parameter.name, &*parameter.value);
    if name.starts_with(PROXY_PARAMETER_PREFIX) {
        return session.set_proxy_parameter(name, value);
    }
    if name.eq_ignore_ascii_case(STRING_SYNTAX_PARAMETER) && value != "on" {
        // The values below, and the statements of the session, would end elsewhere on the server.
        return Err(error_replies::unsupported_statement(
            "Start with standard_conforming_strings = on, and write escapes as E'...'.",
        ));
    }
    let is_default = DEFAULT_PARAMETERS.contains(&(name, value));
    let is_name = name
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
    if IGNORED_PARAMETERS.contains(&name) || is_default || !is_name {
        return Ok(());
    }
    let value = value.replace('\'', "''");
    session.parameters.push(&format!("SET {name} = '{value}'"))
}

fn send(mut stream: &TcpStream, message: &Authentication) -> io::Result<()> {
    let mut bytes = Vec::new();
    reply::put(&mut bytes, message);
    stream.write_all(&bytes)
}

/// Parses the body of a `SASLInitialResponse`, which consists of mechanism, length and message, and
/// returns the message.
fn client_first(body: &[u8]) -> Option<&str> {
    let mechanism = scram::MECHANISM.as_bytes();
    let rest = body.strip_prefix(mechanism)?.strip_prefix(&[0])?;
    std::str::from_utf8(rest.get(4..)?).ok()
}
