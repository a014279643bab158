//! Authentication of a client, by a password in clear text or by SCRAM-SHA-256.

use super::decode;
use super::messages::Writer;
use crate::member::errors::INVALID_PASSWORD;
use crate::member::errors::PROTOCOL_VIOLATION;
use crate::member::errors::SqlError;
use crate::member::server::Server;
use endivereach_wire::pg::frame::Frame;
use endivereach_wire::pg::frame::read_frame;
use endivereach_wire::pg::scram;
use endivereach_wire::pg::scram::Exchange;
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

/// The largest frame of a login, in bytes.
const LOGIN_FRAME_MAX_BYTES: usize = 10_000;

/// The length of the server's nonce, in characters.
const NONCE_LEN: usize = 24;

/// Asks for the password if there is one. The inner error is told to the client.
pub(super) fn authenticate(
    server: &Server,
    reader: &mut BufReader<TcpStream>,
    writer: &mut Writer,
) -> io::Result<Result<(), SqlError>> {
    let Some(password) = &server.config.password else {
        return Ok(Ok(()));
    };
    if server.config.scram {
        return check_scram(password, reader, writer);
    }
    writer.put(&Authentication::CleartextPassword);
    let frame = ask(reader, writer)?;
    Ok(answer::<Password>(frame).and_then(|message| {
        if message.password == **password {
            Ok(())
        } else {
            Err(wrong_password())
        }
    }))
}

fn check_scram(
    password: &str,
    reader: &mut BufReader<TcpStream>,
    writer: &mut Writer,
) -> io::Result<Result<(), SqlError>> {
    let verifier = Verifier::from_password(password);
    writer.put(&Authentication::SASL(vec![scram::MECHANISM.into()]));
    let frame = ask(reader, writer)?;
    let exchange = match begin(&verifier, frame) {
        Ok(exchange) => exchange,
        Err(error) => return Ok(Err(error)),
    };
    let server_first = exchange.server_first().to_owned();
    writer.put(&Authentication::SASLContinue(server_first.into()));
    let frame = ask(reader, writer)?;
    Ok(finish(exchange, frame).map(|server_final| {
        writer.put(&Authentication::SASLFinal(server_final.into()));
    }))
}

fn begin(verifier: &Verifier, frame: Frame) -> Result<Exchange<'_>, SqlError> {
    let message: SASLInitialResponse = answer(frame)?;
    if message.auth_method != scram::MECHANISM {
        return Err(malformed());
    }
    let data = message.data.ok_or_else(malformed)?;
    let client_first = std::str::from_utf8(&data).map_err(|_| malformed())?;
    let nonce: String = rand::rng()
        .sample_iter(Alphanumeric)
        .take(NONCE_LEN)
        .map(char::from)
        .collect();
    Exchange::start(verifier, client_first, &nonce).map_err(|_| malformed())
}

fn finish(exchange: Exchange<'_>, frame: Frame) -> Result<String, SqlError> {
    let message: SASLResponse = answer(frame)?;
    let client_final = std::str::from_utf8(&message.data).map_err(|_| malformed())?;
    exchange.finish(client_final).map_err(|_| wrong_password())
}

/// Sends what was asked and reads the client's answer.
fn ask(reader: &mut BufReader<TcpStream>, writer: &mut Writer) -> io::Result<Frame> {
    writer.flush()?;
    read_frame(reader, LOGIN_FRAME_MAX_BYTES)
}

/// Decodes an answer of the client's login.
fn answer<M: pgwire::messages::Message>(frame: Frame) -> Result<M, SqlError> {
    if frame.tag != b'p' {
        return Err(malformed());
    }
    decode(frame)
}

fn malformed() -> SqlError {
    SqlError::new(
        PROTOCOL_VIOLATION,
        "the login breaks the protocol; answer the server's request for a password",
    )
}

fn wrong_password() -> SqlError {
    SqlError::new(INVALID_PASSWORD, "password authentication failed")
}
