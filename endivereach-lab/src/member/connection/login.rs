//! Client authentication with a cleartext password or SCRAM-SHA-256.

use super::decode;
use super::messages::MessageWriter;
use crate::member::errors::INVALID_PASSWORD;
use crate::member::errors::PROTOCOL_VIOLATION;
use crate::member::errors::SqlError;
use crate::member::server::Server;
use endivereach_wire::pg::frame::Frame;
use endivereach_wire::pg::frame::read_frame;
use endivereach_wire::pg::scram;
use endivereach_wire::pg::scram::ScramExchange;
use endivereach_wire::pg::scram::Verifier;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::Password;
use pgwire::messages::startup::SASLInitialResponse;
use pgwire::messages::startup::SASLResponse;
use rand::Rng;
use rand::distr::Alphanumeric;
use std::io;
use std::io::BufReader;
use std::net::TcpStream;

/// The largest frame accepted during authentication, in bytes.
const AUTHENTICATION_FRAME_MAX_BYTES: usize = 10_000;

/// The length of the server's nonce, in characters.
const NONCE_CHARS: usize = 24;

/// Authenticates the client if a password is configured. The outer error is an I/O error of the
/// connection, the inner one is sent to the client.
pub(super) fn authenticate(
    server: &Server,
    reader: &mut BufReader<TcpStream>,
    writer: &mut MessageWriter,
) -> io::Result<Result<(), SqlError>> {
    let Some(password) = &server.config.password else {
        return Ok(Ok(()));
    };
    if server.config.scram {
        return authenticate_scram(password, reader, writer);
    }
    writer.push(&Authentication::CleartextPassword);
    let frame = receive_response(reader, writer)?;
    Ok(decode_response::<Password>(frame).and_then(|message| {
        if message.password == **password {
            Ok(())
        } else {
            Err(wrong_password())
        }
    }))
}

fn authenticate_scram(
    password: &str,
    reader: &mut BufReader<TcpStream>,
    writer: &mut MessageWriter,
) -> io::Result<Result<(), SqlError>> {
    let verifier = Verifier::from_password(password);
    writer.push(&Authentication::SASL(vec![scram::MECHANISM.into()]));
    let frame = receive_response(reader, writer)?;
    let exchange = match start_exchange(&verifier, frame) {
        Ok(exchange) => exchange,
        Err(error) => return Ok(Err(error)),
    };
    let server_first = exchange.server_first().to_owned();
    writer.push(&Authentication::SASLContinue(server_first.into()));
    let frame = receive_response(reader, writer)?;
    Ok(finish_exchange(exchange, frame).map(|server_final| {
        writer.push(&Authentication::SASLFinal(server_final.into()));
    }))
}

fn start_exchange(verifier: &Verifier, frame: Frame) -> Result<ScramExchange<'_>, SqlError> {
    let message: SASLInitialResponse = decode_response(frame)?;
    if message.auth_method != scram::MECHANISM {
        return Err(malformed_login());
    }
    let data = message.data.ok_or_else(malformed_login)?;
    let client_first = std::str::from_utf8(&data).map_err(|_| malformed_login())?;
    let nonce: String = rand::rng()
        .sample_iter(Alphanumeric)
        .take(NONCE_CHARS)
        .map(char::from)
        .collect();
    ScramExchange::start(verifier, client_first, &nonce).map_err(|_| malformed_login())
}

fn finish_exchange(exchange: ScramExchange<'_>, frame: Frame) -> Result<String, SqlError> {
    let message: SASLResponse = decode_response(frame)?;
    let client_final = std::str::from_utf8(&message.data).map_err(|_| malformed_login())?;
    exchange.finish(client_final).map_err(|_| wrong_password())
}

/// Sends the buffered authentication request and reads the client's response.
fn receive_response(
    reader: &mut BufReader<TcpStream>,
    writer: &mut MessageWriter,
) -> io::Result<Frame> {
    writer.flush()?;
    read_frame(reader, AUTHENTICATION_FRAME_MAX_BYTES)
}

/// Decodes the client's response to an authentication request.
fn decode_response<M: pgwire::messages::Message>(frame: Frame) -> Result<M, SqlError> {
    if frame.tag != b'p' {
        return Err(malformed_login());
    }
    decode(frame)
}

fn malformed_login() -> SqlError {
    SqlError::new(
        PROTOCOL_VIOLATION,
        "the login breaks the protocol; answer the server's request for a password",
    )
}

fn wrong_password() -> SqlError {
    SqlError::new(INVALID_PASSWORD, "password authentication failed")
}
