//! Encoding and sending the server's messages.

use crate::member::errors::SqlError;
use crate::member::sql::execute::CommandTag;
use crate::member::sql::plan::OutputColumn;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FORMAT_CODE_BINARY;
use pgwire::messages::data::FORMAT_CODE_TEXT;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;
use std::fmt::Write as _;
use std::io;
use std::io::Write;
use std::net::TcpStream;

/// Encodes messages into a buffer and sends the buffer on request.
pub(super) struct MessageWriter {
    stream: TcpStream,
    buffer: BytesMut,
    /// The encoded values of the current row. The buffer is reused to avoid an allocation per row.
    row: BytesMut,
}

impl MessageWriter {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::with_capacity(4096),
            row: BytesMut::new(),
        }
    }

    /// Returns the number of buffered bytes.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Sends all buffered messages.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        let sent = self.stream.write_all(&self.buffer);
        self.buffer.clear();
        sent
    }

    /// Adds a message to the buffer.
    pub(super) fn push(&mut self, message: &impl Message) {
        message
            .encode(&mut self.buffer)
            .expect("server messages are within the size limits of the protocol");
    }

    pub(super) fn parameter_status(&mut self, name: &str, value: &str) {
        self.push(&ParameterStatus::new(name.into(), value.into()));
    }

    pub(super) fn ready_for_query(&mut self, status: TransactionStatus) {
        self.push(&ReadyForQuery::new(status));
    }

    pub(super) fn command_complete(&mut self, tag: CommandTag) {
        let text = match (tag.command, tag.rows) {
            ("INSERT", Some(rows)) => format!("INSERT 0 {rows}"),
            (command, Some(rows)) => format!("{command} {rows}"),
            (command, None) => command.into(),
        };
        self.push(&CommandComplete::new(text));
    }

    pub(super) fn error(&mut self, severity: &str, error: &SqlError) {
        let fields = vec![
            (b'S', severity.into()),
            (b'V', severity.into()),
            (b'C', error.sqlstate.into()),
            (b'M', error.message.clone().into_string()),
        ];
        self.push(&ErrorResponse::new(fields));
    }

    pub(super) fn row_description(&mut self, columns: &[OutputColumn], formats: &[i16]) {
        let field = |(index, column): (usize, &OutputColumn)| {
            FieldDescription::new(
                column.name.clone().into_string(),
                0,
                0,
                column.column_type.oid(),
                column.column_type.size_bytes(),
                -1,
                format_code(formats, index),
            )
        };
        let fields = columns.iter().enumerate().map(field).collect();
        self.push(&RowDescription::new(fields));
    }

    pub(super) fn data_row(&mut self, row: &[Value], columns: &[OutputColumn], formats: &[i16]) {
        let mut data = std::mem::take(&mut self.row);
        data.clear();
        for (index, value) in row.iter().enumerate() {
            let column_type = columns
                .get(index)
                .map_or(ColumnType::Text, |column| column.column_type);
            encode_value(&mut data, value, column_type, format_code(formats, index));
        }
        let message = DataRow::new(data, row.len() as i16);
        self.push(&message);
        self.row = message.data;
    }
}

/// Returns the format code of a column. As the protocol defines, no codes mean text for all
/// columns, and a single code applies to all columns.
pub(super) fn format_code(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => FORMAT_CODE_TEXT,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(FORMAT_CODE_TEXT),
    }
}

fn encode_value(data: &mut BytesMut, value: &Value, column_type: ColumnType, format: i16) {
    match (value, column_type) {
        (Value::Null, _) => data.put_i32(-1),
        (Value::Text(text), _) => {
            data.put_i32(text.len() as i32);
            data.put_slice(text.as_bytes());
        }
        (Value::Int(number), ColumnType::Int4) if format == FORMAT_CODE_BINARY => {
            data.put_i32(4);
            data.put_i32(*number as i32);
        }
        (Value::Int(number), _) if format == FORMAT_CODE_BINARY => {
            data.put_i32(8);
            data.put_i64(*number);
        }
        (Value::Bool(boolean), _) if format == FORMAT_CODE_BINARY => {
            data.put_i32(1);
            data.put_u8(u8::from(*boolean));
        }
        (other, _) => encode_text(data, other),
    }
}

/// Writes a value as text. The length prefix is filled in afterwards, when the length is known.
fn encode_text(data: &mut BytesMut, value: &Value) {
    let start = data.len();
    data.put_i32(0);
    write!(data, "{value}").expect("writing to a buffer never fails");
    let length = (data.len() - start - size_of::<i32>()) as i32;
    data[start..start + size_of::<i32>()].copy_from_slice(&length.to_be_bytes());
}
