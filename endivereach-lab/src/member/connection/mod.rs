//! One database connection: the PostgreSQL protocol around a [`Session`].

mod extended;
mod login;
mod messages;
mod parameters;
mod simple;
mod startup;
mod texts;

use super::errors::IDLE_IN_TRANSACTION_TIMEOUT;
use super::errors::PROTOCOL_VIOLATION;
use super::errors::SqlError;
use super::server::Server;
use super::session::Session;
use super::session::StatementResult;
use super::session::TransactionState;
use super::sql::execute::ResultSet;
use super::sql::execute::Tag;
use super::sql::plan::Plan;
use super::storage::table::Row;
use bytes::BytesMut;
use endivereach_core::ids::Position;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::frame::CALLER_FRAME_MAX_BYTES;
use endivereach_wire::pg::frame::Frame;
use endivereach_wire::pg::frame::read_frame;
use extended::Extended;
use messages::Writer;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::ProtocolVersion;
use pgwire::messages::response::TransactionStatus;
use std::io;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use texts::Texts;

/// The bytes read from a connection at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// After how many bytes an answer under way is sent on.
const FLUSH_BYTES: usize = 64 * 1024;

/// One database connection after its startup.
struct Connection {
    server: Arc<Server>,
    reader: BufReader<TcpStream>,
    writer: Writer,
    session: Session,
    extended: Extended,
    texts: Texts,
    /// The position last reported to the client.
    reported_position: Position,
    /// The read timeout set on the socket.
    read_timeout: Option<Duration>,
}

/// Serves one connection until it ends.
pub(super) fn serve(server: &Arc<Server>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(mut connection) = startup::accept(server, stream)? else {
        return Ok(());
    };
    connection.serve()
}

impl Connection {
    fn new(
        server: Arc<Server>,
        reader: BufReader<TcpStream>,
        writer: Writer,
        session: Session,
    ) -> Self {
        Self {
            server,
            reader,
            writer,
            session,
            extended: Extended::default(),
            texts: Texts::default(),
            reported_position: Position::default(),
            read_timeout: None,
        }
    }

    fn serve(&mut self) -> io::Result<()> {
        self.ready()?;
        loop {
            let frame = match self.next_frame() {
                Ok(frame) => frame,
                Err(error) if is_timeout(&error) => return self.end_idle_transaction(),
                Err(_) if self.session.registration().interrupt.is_terminated() => {
                    return self.end_terminated();
                }
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                Err(error) => return Err(error),
            };
            if frame.tag == b'X' {
                return Ok(());
            }
            self.handle(frame)?;
        }
    }

    /// Reads the next frame, once the answers so far are sent.
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

    fn handle(&mut self, frame: Frame) -> io::Result<()> {
        match frame.tag {
            b'Q' => self.query(frame),
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' => self.extended_message(frame),
            tag => {
                let message = format!("unexpected message of type {:?}", char::from(tag));
                self.writer
                    .error("FATAL", &SqlError::new(PROTOCOL_VIOLATION, message));
                self.writer.flush()?;
                Err(io::ErrorKind::InvalidData.into())
            }
        }
    }

    /// Tells the client that the next statement may come.
    fn ready(&mut self) -> io::Result<()> {
        self.report_settings();
        self.writer.ready(match self.session.state() {
            TransactionState::Idle => TransactionStatus::Idle,
            TransactionState::Open => TransactionStatus::Transaction,
            TransactionState::Failed => TransactionStatus::Error,
        });
        self.flush_unless_pipelined()
    }

    /// Sends the answers so far, unless more requests wait and the answers are small.
    fn flush_unless_pipelined(&mut self) -> io::Result<()> {
        if self.reader.buffer().is_empty() || self.writer.len() > FLUSH_BYTES {
            self.writer.flush()?;
        }
        Ok(())
    }

    /// Runs one statement.
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
        let done = self.session.run(plan, parameters)?;
        self.hold_commit_answer(done.committed);
        Ok(done)
    }

    /// Ends the implicit transaction and reports the position of its commit.
    fn end_implicit_transaction(&mut self) -> Result<(), SqlError> {
        let committed = self.session.end_implicit_transaction()?;
        self.hold_commit_answer(committed);
        self.report_commit(committed);
        Ok(())
    }

    fn hold_commit_answer(&self, committed: Option<Position>) {
        let delay = self.server.commit_answer_delay();
        if committed.is_some() && !delay.is_zero() {
            std::thread::sleep(delay);
        }
    }

    fn report_commit(&mut self, committed: Option<Position>) {
        if let Some(position) = committed {
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

    /// Reports the position that a read's snapshot includes.
    fn report_read(&mut self, tag: Tag) {
        if tag.is_read() {
            self.report_position(self.session.read_position());
        }
    }

    /// Writes rows, sending what has gathered on the way.
    fn write_rows(&mut self, set: &ResultSet, rows: &[Row], formats: &[i16]) -> io::Result<()> {
        for row in rows {
            self.writer.data_row(row, &set.columns, formats);
            if self.writer.len() > FLUSH_BYTES {
                self.writer.flush()?;
            }
        }
        Ok(())
    }

    fn end_idle_transaction(&mut self) -> io::Result<()> {
        let error = SqlError::new(
            IDLE_IN_TRANSACTION_TIMEOUT,
            "terminating connection due to idle-in-transaction timeout",
        );
        self.writer.error("FATAL", &error);
        self.writer.flush()
    }

    fn end_terminated(&mut self) -> io::Result<()> {
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

/// Decodes the body of a frame as a message.
fn decode<M: Message>(frame: Frame) -> Result<M, SqlError> {
    let full_len = frame.body.len() + 4;
    let mut body = BytesMut::from(&frame.body[..]);
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    M::decode_body(&mut body, full_len, &context)
        .map_err(|error| SqlError::new(PROTOCOL_VIOLATION, error.to_string()))
}
