//! Decoding of the parameter values in a `Bind` message.

use super::messages::format_code;
use crate::member::errors::INVALID_TEXT;
use crate::member::errors::SqlError;
use crate::member::sql::eval::cast;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use bytes::Bytes;
use pgwire::messages::data::FORMAT_CODE_TEXT;

/// Decodes parameter values of the given types and format codes.
pub(super) fn decode_parameters(
    parameters: &[Option<Bytes>],
    formats: &[i16],
    types: &[ColumnType],
) -> Result<Vec<Value>, SqlError> {
    let decode = |(index, bytes): (usize, &Option<Bytes>)| {
        let Some(bytes) = bytes else {
            return Ok(Value::Null);
        };
        let column_type = types.get(index).copied().unwrap_or(ColumnType::Text);
        if format_code(formats, index) == FORMAT_CODE_TEXT {
            return cast(&text_value(bytes)?, column_type);
        }
        decode_binary(bytes, column_type)
    };
    parameters.iter().enumerate().map(decode).collect()
}

fn text_value(bytes: &[u8]) -> Result<Value, SqlError> {
    let text = std::str::from_utf8(bytes)
        .map_err(|_| SqlError::new("22021", "invalid byte sequence for encoding \"UTF8\""))?;
    Ok(text.into())
}

fn decode_binary(bytes: &[u8], column_type: ColumnType) -> Result<Value, SqlError> {
    match (column_type, bytes) {
        (ColumnType::Text | ColumnType::Void, bytes) => text_value(bytes),
        (ColumnType::Bool, [byte]) => Ok(Value::Bool(*byte != 0)),
        (_, [a, b]) => Ok(Value::Int(i64::from(i16::from_be_bytes([*a, *b])))),
        (_, [a, b, c, d]) => Ok(Value::Int(i64::from(i32::from_be_bytes([*a, *b, *c, *d])))),
        (_, bytes) => match <[u8; 8]>::try_from(bytes) {
            Ok(bytes) => Ok(Value::Int(i64::from_be_bytes(bytes))),
            Err(_) => Err(SqlError::new(
                INVALID_TEXT,
                format!(
                    "a binary parameter of {} bytes is no {column_type:?}",
                    bytes.len()
                ),
            )),
        },
    }
}
