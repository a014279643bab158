//! The login on a target.

use super::connection::CancelKey;
use bytes::BytesMut;
use endivereach_core::settings::TargetLogin;
use endivereach_wire::pg::buffer::FrameBuffer;
use endivereach_wire::pg::buffer::RawFrame;
use endivereach_wire::pg::reply::error_field;
use endivereach_wire::pg::reply::parse_parameter_status;
use endivereach_wire::pg::scram;
use endivereach_wire::pg::tag::target;
use postgres_protocol::authentication::sasl::ChannelBinding;
use postgres_protocol::authentication::sasl::ScramSha256;
use postgres_protocol::message::frontend;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// The maximum size of a frame during a login, in bytes.
const LOGIN_FRAME_MAX_BYTES: usize = 64 * 1024;

const AUTH_OK: i32 = 0;
const AUTH_SASL: i32 = 10;
const AUTH_SASL_CONTINUE: i32 = 11;
const AUTH_SASL_FINAL: i32 = 12;

/// A parameter that a target reported in a `ParameterStatus` message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerParameter {
    /// The name of the parameter.
    pub(crate) name: Box<str>,
    /// The value as the target reported it.
    pub(crate) value: Box<str>,
}

/// The parameters that the servers of a group reported during the latest login.
#[derive(Debug, Default)]
pub(crate) struct ReportedParameters(Mutex<Arc<[ServerParameter]>>);

impl ReportedParameters {
    /// Replaces the parameters with those of a newer login.
    pub(crate) fn replace(&self, parameters: Vec<ServerParameter>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = parameters.into();
    }

    /// Returns the latest parameters, or an empty list before the first login.
    pub(crate) fn latest(&self) -> Arc<[ServerParameter]> {
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The data that a target reported during a login.
#[derive(Debug, Default)]
pub(crate) struct LoginResult {
    /// The key for cancel requests on the new connection.
    pub(crate) key: CancelKey,
    /// The parameters that the target reported.
    pub(crate) parameters: Vec<ServerParameter>,
}

/// Logs in on a target, and returns when the target is ready for statements.
///
/// # Errors
///
/// Returns the socket's errors, and `PermissionDenied` when the target refuses the login.
pub(crate) fn log_in(
    stream: &mut TcpStream,
    input: &mut FrameBuffer,
    login: &TargetLogin,
    database: &str,
    application_name: &str,
) -> io::Result<LoginResult> {
    let mut output = BytesMut::new();
    let parameters = [
        ("user", &*login.user),
        ("database", database),
        ("application_name", application_name),
        ("client_encoding", "UTF8"),
    ];
    frontend::startup_message(parameters, &mut output)?;
    stream.write_all(&output)?;
    let mut scram = None;
    let mut login_result = LoginResult::default();
    loop {
        while let Some(frame) = input.next_frame(LOGIN_FRAME_MAX_BYTES)? {
            if frame.tag() == target::READY_FOR_QUERY {
                return finish_login(input, login_result);
            }
            output.clear();
            handle_login_frame(frame, login, &mut scram, &mut login_result, &mut output)?;
            if !output.is_empty() {
                stream.write_all(&output)?;
            }
        }
        if input.fill(stream)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Refuses a login after which more has arrived, which would count as the reply to the first statement.
fn finish_login(input: &FrameBuffer, login_result: LoginResult) -> io::Result<LoginResult> {
    if input.is_empty() {
        return Ok(login_result);
    }
    Err(io::Error::new(
        io::ErrorKind::InvalidData,
        "the target sent more after the login; check that it speaks PostgreSQL",
    ))
}

fn handle_login_frame(
    frame: RawFrame<'_>,
    login: &TargetLogin,
    scram: &mut Option<ScramSha256>,
    login_result: &mut LoginResult,
    output: &mut BytesMut,
) -> io::Result<()> {
    let body = frame.body();
    match frame.tag() {
        target::AUTHENTICATION => authenticate(body, login, scram, output),
        target::PARAMETER_STATUS => {
            if let Some((name, value)) = parse_parameter_status(body) {
                login_result.parameters.push(ServerParameter {
                    name: name.into(),
                    value: value.into(),
                });
            }
            Ok(())
        }
        target::BACKEND_KEY_DATA if body.len() >= 8 => {
            login_result.key = CancelKey {
                pid: read_i32(&body[..4]),
                secret: read_i32(&body[4..8]),
            };
            Ok(())
        }
        target::ERROR => {
            let message = error_field(body, b'M').unwrap_or("no reason given");
            let code = error_field(body, b'C').unwrap_or("");
            Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                format!("the target refused the login: {message} ({code})"),
            ))
        }
        _ => Ok(()),
    }
}

fn authenticate(
    body: &[u8],
    login: &TargetLogin,
    scram: &mut Option<ScramSha256>,
    output: &mut BytesMut,
) -> io::Result<()> {
    let unsupported = || {
        io::Error::new(
            io::ErrorKind::PermissionDenied,
            "the target asks for an unknown login method; let it use SCRAM-SHA-256 or trust",
        )
    };
    let code = body.get(..4).map(read_i32).ok_or_else(unsupported)?;
    let data = &body[4..];
    match (code, scram.as_mut()) {
        (AUTH_OK, _) => Ok(()),
        (AUTH_SASL, None) => {
            let password = login.password.as_bytes();
            let client = ScramSha256::new(password, ChannelBinding::unsupported());
            frontend::sasl_initial_response(scram::MECHANISM, client.message(), output)?;
            *scram = Some(client);
            Ok(())
        }
        (AUTH_SASL_CONTINUE, Some(scram)) => {
            scram.update(data)?;
            frontend::sasl_response(scram.message(), output)
        }
        (AUTH_SASL_FINAL, Some(scram)) => scram.finish(data),
        _ => Err(unsupported()),
    }
}

fn read_i32(bytes: &[u8]) -> i32 {
    i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
