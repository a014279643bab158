//! Connection startup: encryption requests, cancel requests, authentication and initial settings.

use super::Connection;
use super::READ_BUFFER_BYTES;
use super::login::authenticate;
use super::messages::MessageWriter;
use crate::member::errors::SqlError;
use crate::member::errors::TOO_MANY_CONNECTIONS;
use crate::member::server::Server;
use crate::member::session::Session;
use crate::member::session::settings::Settings;
use bytes::Buf;
use bytes::BytesMut;
use endivereach_wire::pg::frame::read_startup;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::ProtocolVersion;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::NegotiateProtocolVersion;
use pgwire::messages::startup::SecretKey;
use pgwire::messages::startup::Startup;
use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// The request code of a `CancelRequest`.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// The request code of an `SSLRequest`.
const SSL_REQUEST_CODE: u32 = 80_877_103;
/// The request code of a `GSSENCRequest`.
const GSSENC_REQUEST_CODE: u32 = 80_877_104;

/// The parameters of a startup message that aren't settings themselves.
const IGNORED_PARAMETERS: &[&str] = &["user", "database", "options", "replication"];

/// Performs the startup of a connection. Returns `None` if the client sent a cancel request or was
/// refused.
pub(super) fn start_connection(
    server: &Arc<Server>,
    stream: TcpStream,
) -> io::Result<Option<Connection>> {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream.try_clone()?);
    let Some(startup) = read_startup_message(server, &mut reader)? else {
        return Ok(None);
    };
    let mut writer = MessageWriter::new(stream.try_clone()?);
    let result = open_session(server, &startup, &mut reader, &mut writer, stream)?;
    match result {
        Ok(session) => Ok(Some(Connection::new(
            server.clone(),
            reader,
            writer,
            session,
        ))),
        Err(error) => {
            writer.error("FATAL", &error);
            writer.flush()?;
            Ok(None)
        }
    }
}

/// Reads packets up to the startup message. Returns `None` after a cancel request.
fn read_startup_message(
    server: &Server,
    reader: &mut BufReader<TcpStream>,
) -> io::Result<Option<Startup>> {
    loop {
        let body = read_startup(reader)?;
        let mut remaining_body = &body[..];
        if remaining_body.len() < size_of::<u32>() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match remaining_body.get_u32() {
            SSL_REQUEST_CODE | GSSENC_REQUEST_CODE => reader.get_mut().write_all(b"N")?,
            CANCEL_REQUEST_CODE => {
                if remaining_body.len() >= 2 * size_of::<u32>() {
                    server
                        .registry
                        .cancel(remaining_body.get_u32(), remaining_body.get_i32());
                }
                return Ok(None);
            }
            _ => return decode_startup(&body).map(Some),
        }
    }
}

fn decode_startup(body: &[u8]) -> io::Result<Startup> {
    let mut bytes = BytesMut::from(body);
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    Startup::decode_body(&mut bytes, body.len() + 4, &context)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}

/// Authenticates the client and opens its session. The outer error is an I/O error of the
/// connection, the inner one is sent to the client.
fn open_session(
    server: &Arc<Server>,
    startup: &Startup,
    reader: &mut BufReader<TcpStream>,
    writer: &mut MessageWriter,
    stream: TcpStream,
) -> io::Result<Result<Session, SqlError>> {
    if startup.protocol_number_minor > 0 {
        writer.push(&NegotiateProtocolVersion::new(0, Vec::new()));
    }
    let parameters = &startup.parameters;
    let text = |name: &str| parameters.get(name).map_or("", |value| value.as_str());
    if let Some(delay) = server.config.connect_delay {
        thread::sleep(delay);
    }
    if let Err(error) = authenticate(server, reader, writer)? {
        return Ok(Err(error));
    }
    let settings = match initial_settings(server, startup) {
        Ok(settings) => settings,
        Err(error) => return Ok(Err(error)),
    };
    let name = settings.get("application_name").unwrap_or_default();
    let Some(registration) = server.registry.register(name, stream) else {
        return Ok(Err(SqlError::new(
            TOO_MANY_CONNECTIONS,
            "sorry, too many clients already",
        )));
    };
    writer.push(&Authentication::Ok);
    let pid = registration.pid as i32;
    let secret = SecretKey::I32(registration.secret);
    writer.push(&BackendKeyData::new(pid, secret));
    let user = text("user");
    let database = match text("database") {
        "" => user,
        database => database,
    };
    Ok(Ok(Session::new(
        server.clone(),
        registration,
        user,
        database,
        settings,
    )))
}

/// Collects the settings from the parameters of a startup message, including those in `options`.
fn initial_settings(server: &Server, startup: &Startup) -> Result<Settings, SqlError> {
    let mut initial = BTreeMap::<Box<str>, Box<str>>::new();
    for (name, value) in &startup.parameters {
        if !IGNORED_PARAMETERS.contains(&name.as_str()) {
            let name = name.to_ascii_lowercase();
            initial.insert(name.into(), value.as_str().into());
        }
    }
    if let Some(options) = startup.parameters.get("options") {
        let normalized_options = options.replace("-c ", "-c");
        for word in normalized_options.split_whitespace() {
            let assignment = word.trim_start_matches("--").trim_start_matches("-c");
            if let Some((name, value)) = assignment.split_once('=') {
                initial.insert(name.to_ascii_lowercase().into(), value.into());
            }
        }
    }
    let user = startup.parameters.get("user").cloned().unwrap_or_default();
    initial.insert("session_authorization".into(), user.into());
    let is_replica = server.replication.writable_term().is_err();
    let in_hot_standby = if is_replica { "on" } else { "off" };
    initial.insert("in_hot_standby".into(), in_hot_standby.into());
    Settings::new(initial)
}
