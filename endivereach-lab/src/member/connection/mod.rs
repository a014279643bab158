//! A database connection: the server side of the PostgreSQL wire protocol for one [`Session`].

mod extended;
mod login;
mod messages;
mod parameters;
mod simple;
mod startup;
mod statement_cache;

use super::errors::IDLE_IN_TRANSACTION_TIMEOUT;
use super::errors::PROTOCOL_VIOLATION;
use super::errors::SqlError;
use super::server::Server;
use super::session::Session;
use super::session::StatementResult;
use super::session::TransactionState;
use super::sql::execute::CommandTag;
use super::sql::execute::ResultSet;
use super::sql::plan::Plan;
use super::storage::table::Row;
use bytes::BytesMut;
use endivereach_core::ids::Position;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::frame::CALLER_FRAME_MAX_BYTES;
use endivereach_wire::pg::frame::Frame;
use endivereach_wire::pg::frame::read_frame;
use extended::ExtendedProtocol;
use messages::MessageWriter;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::ProtocolVersion;
use pgwire::messages::response::TransactionStatus;
use statement_cache::StatementCache;
use std::io;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The size of the write buffer, in bytes, beyond which a response is sent before it is complete.
const FLUSH_THRESHOLD_BYTES: usize = 64 * 1024;

/// A database connection after a successful startup.
struct Connection {
    server: Arc<Server>,
    reader: BufReader<TcpStream>,
    writer: MessageWriter,
    session: Session,
    extended: ExtendedProtocol,
    statement_cache: StatementCache,
    /// The log position last reported to the client.
    reported_position: Position,
    /// The read timeout set on the socket.
    read_timeout: Option<Duration>,
}

/// Serves one connection until it is closed.
pub(super) fn serve(server: &Arc<Server>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(mut connection) = startup::start_connection(server, stream)? else {
        return Ok(());
    };
    connection.serve()
}

impl Connection {
    fn new(
        server: Arc<Server>,
        reader: BufReader<TcpStream>,
        writer: MessageWriter,
        session: Session,
    ) -> Self {
        Self {
            server,
            reader,
            writer,
            session,
            extended: ExtendedProtocol::default(),
            statement_cache: StatementCache::default(),
            reported_position: Position::default(),
            read_timeout: None,
        }
    }

    fn serve(&mut self) -> io::Result<()> {
        self.send_ready()?;
        loop {
            let frame = match self.next_frame() {
                Ok(frame) => frame,
                Err(error) if is_timeout(&error) => return self.terminate_idle_transaction(),
                Err(_) if self.session.registration().interrupt.is_terminated() => {
                    return self.terminate_on_request();
                }
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                Err(error) => return Err(error),
            };
            if frame.tag == b'X' {
                return Ok(());
            }
            self.handle_frame(frame)?;
        }
    }

    /// Reads the next frame. If that may block, sets the idle timeout of an open transaction first.
    fn next_frame(&mut self) -> io::Result<Frame> {
        if self.reader.buffer().is_empty() {
            let timeout = self.session.idle_timeout();
            if timeout != self.read_timeout {
                self.reader.get_ref().set_read_timeout(timeout)?;
                self.read_timeout = timeout;
            }
        }
        read_frame(&mut self.reader, CALLER_FRAME_MAX_BYTES)
    }

    fn handle_frame(&mut self, frame: Frame) -> io::Result<()> {
        match frame.tag {
            b'Q' => self.handle_query(frame),
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' => self.handle_extended_message(frame),
            tag => {
                let message = format!("unexpected message of type {:?}", char::from(tag));
                self.writer
                    .error("FATAL", &SqlError::new(PROTOCOL_VIOLATION, message));
                self.writer.flush()?;
                Err(io::ErrorKind::InvalidData.into())
            }
        }
    }

    /// Sends `ReadyForQuery` with the transaction state.
    fn send_ready(&mut self) -> io::Result<()> {
        self.report_settings();
        self.writer.ready_for_query(match self.session.state() {
            TransactionState::Idle => TransactionStatus::Idle,
            TransactionState::Open => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        });
        self.flush_unless_pipelined()
    }

    /// Sends the buffered responses, unless further requests are already buffered and the responses
    /// are small.
    fn flush_unless_pipelined(&mut self) -> io::Result<()> {
        if self.reader.buffer().is_empty() || self.writer.len() > FLUSH_THRESHOLD_BYTES {
            self.writer.flush()?;
        }
        Ok(())
    }

    /// Runs one statement and counts it.
    fn run(
        &mut self,
        plan: &Plan,
        parameters: &[super::storage::value::Value],
    ) -> Result<StatementResult, SqlError> {
        self.server.statements.fetch_add(1, Ordering::Relaxed);
        if matches!(plan, Plan::Select(_)) && plan.table_name().is_some() {
            self.server.count_read();
        }
        if let Plan::Deallocate { name } = plan {
            self.extended.deallocate(name.as_deref());
        }
        if let Plan::Discard(super::sql::plan::Discard::All) = plan {
            self.extended.deallocate(None);
        }
        let statement_result = self.session.run(plan, parameters)?;
        self.delay_commit_response(statement_result.commit_position);
        Ok(statement_result)
    }

    /// Ends the implicit transaction and reports the log position of its commit.
    fn end_implicit_transaction(&mut self) -> Result<(), SqlError> {
        let commit_position = self.session.end_implicit_transaction()?;
        self.delay_commit_response(commit_position);
        self.report_commit_position(commit_position);
        Ok(())
    }

    fn delay_commit_response(&self, commit_position: Option<Position>) {
        let delay = self.server.commit_answer_delay();
        if commit_position.is_some() && !delay.is_zero() {
            std::thread::sleep(delay);
        }
    }

    fn report_commit_position(&mut self, commit_position: Option<Position>) {
        if let Some(position) = commit_position {
            self.report_position(position);
        }
    }

    fn report_position(&mut self, position: Position) {
        if position != self.reported_position {
            self.reported_position = position;
            self.writer
                .parameter_status(PARAMETER_POSITION, &position.to_string());
        }
    }

    fn report_settings(&mut self) {
        for report in self.session.take_reports() {
            self.writer.parameter_status(report.name, &report.value);
        }
    }

    /// Reports the log position of the snapshot that a `SELECT` read.
    fn report_read_position(&mut self, tag: CommandTag) {
        if tag.is_read() {
            self.report_position(self.session.read_position());
        }
    }

    /// Writes rows, and flushes the buffer whenever it exceeds [`FLUSH_THRESHOLD_BYTES`].
    fn write_rows(
        &mut self,
        result_set: &ResultSet,
        rows: &[Row],
        formats: &[i16],
    ) -> io::Result<()> {
        for row in rows {
            self.writer.data_row(row, &result_set.columns, formats);
            if self.writer.len() > FLUSH_THRESHOLD_BYTES {
                self.writer.flush()?;
            }
        }
        Ok(())
    }

    fn terminate_idle_transaction(&mut self) -> io::Result<()> {
        let error = SqlError::new(
            IDLE_IN_TRANSACTION_TIMEOUT,
            "terminating connection due to idle-in-transaction timeout",
        );
        self.writer.error("FATAL", &error);
        self.writer.flush()
    }

    fn terminate_on_request(&mut self) -> io::Result<()> {
        let error = SqlError::new(
            super::errors::ADMIN_SHUTDOWN,
            "terminating connection due to administrator command",
        );
        self.writer.error("FATAL", &error);
        self.writer.flush()
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Decodes the body of a frame as a message of type `M`.
fn decode<M: Message>(frame: Frame) -> Result<M, SqlError> {
    let full_len = frame.body.len() + 4;
    let mut body = BytesMut::from(&frame.body[..]);
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    M::decode_body(&mut body, full_len, &context)
        .map_err(|error| SqlError::new(PROTOCOL_VIOLATION, error.to_string()))
}
