//! Writing the server's messages.

use crate::member::errors::SqlError;
use crate::member::sql::execute::Tag;
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

/// Gathers messages and sends them.
pub(super) struct Writer {
    stream: TcpStream,
    buffer: BytesMut,
    /// The values of the row under way, kept for its allocation.
    row: BytesMut,
}

impl Writer {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::with_capacity(4096),
            row: BytesMut::new(),
        }
    }

    /// Returns how many bytes wait to be sent.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Sends what has gathered.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        let sent = self.stream.write_all(&self.buffer);
        self.buffer.clear();
        sent
    }

    /// Adds a message.
    pub(super) fn put(&mut self, message: &impl Message) {
        message
            .encode(&mut self.buffer)
            .expect("the server's messages are within the protocol's limits");
    }

    pub(super) fn parameter_status(&mut self, name: &str, value: &str) {
        self.put(&ParameterStatus::new(name.into(), value.into()));
    }

    pub(super) fn ready(&mut self, status: TransactionStatus) {
        self.put(&ReadyForQuery::new(status));
    }

    pub(super) fn command_complete(&mut self, tag: Tag) {
        let text = match (tag.command, tag.rows) {
            ("INSERT", Some(rows)) => format!("INSERT 0 {rows}"),
            (command, Some(rows)) => format!("{command} {rows}"),
            (command, None) => command.into(),
        };
        self.put(&CommandComplete::new(text));
    }

    pub(super) fn error(&mut self, severity: &str, error: &SqlError) {
        let fields = vec![
            (b'S', severity.into()),
            (b'V', severity.into()),
            (b'C', error.code.into()),
            (b'M', error.message.clone().into_string()),
        ];
        self.put(&ErrorResponse::new(fields));
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
                format_of(formats, index),
            )
        };
        let fields = columns.iter().enumerate().map(field).collect();
        self.put(&RowDescription::new(fields));
    }

    pub(super) fn data_row(&mut self, row: &[Value], columns: &[OutputColumn], formats: &[i16]) {
        let mut data = std::mem::take(&mut self.row);
        data.clear();
        for (index, value) in row.iter().enumerate() {
            let column_type = columns
                .get(index)
                .map_or(ColumnType::Text, |column| column.column_type);
            put_value(&mut data, value, column_type, format_of(formats, index));
        }
        let message = DataRow::new(data, row.len() as i16);
        self.put(&message);
        self.row = message.data;
    }
}

/// Returns the format of a column: one format may stand for all.
pub(super) fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => FORMAT_CODE_TEXT,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(FORMAT_CODE_TEXT),
    }
}

fn put_value(data: &mut BytesMut, value: &Value, column_type: ColumnType, format: i16) {
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
        (Value::Bool(truth), _) if format == FORMAT_CODE_BINARY => {
            data.put_i32(1);
            data.put_u8(u8::from(*truth));
        }
        (other, _) => put_text(data, other),
    }
}

/// Writes a value as text, with its length, which is known only afterwards.
fn put_text(data: &mut BytesMut, value: &Value) {
    let start = data.len();
    data.put_i32(0);
    write!(data, "{value}").expect("a buffer takes any text");
    let length = (data.len() - start - size_of::<i32>()) as i32;
    data[start..start + size_of::<i32>()].copy_from_slice(&length.to_be_bytes());
}
