//! The layout of the messages that a caller sends.

use super::tag::caller;

/// Returns whether the body of a caller's message has the layout of its type, to its last byte. A
/// message of a type that a caller doesn't send is not well-formed.
///
/// A text ends at its zero byte. In a message with more than that, another reader may find the end of
/// the text elsewhere.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::layout::is_well_formed;
///
/// assert!(is_well_formed(b'Q', b"SELECT 1\0"));
/// assert!(!is_well_formed(b'Q', b"SELECT 1\0; SELECT 2\0"));
/// ```
pub fn is_well_formed(tag: u8, body: &[u8]) -> bool {
    match tag {
        caller::TERMINATE
        | caller::FUNCTION_CALL
        | caller::COPY_DATA
        | caller::COPY_DONE
        | caller::COPY_FAIL => true,
        _ => end_of_message(tag, body) == Some(&[]),
    }
}

/// Returns what follows the last field of a message, or `None` if a field is cut off or invalid.
fn end_of_message(tag: u8, body: &[u8]) -> Option<&[u8]> {
    match tag {
        caller::QUERY => skip_text(body),
        caller::PARSE => skip_list(skip_text(skip_text(body)?)?, |type_id| type_id.get(4..)),
        caller::BIND => {
            let formats = skip_text(skip_text(body)?)?;
            let parameters = skip_list(formats, |format| format.get(2..))?;
            let result_formats = skip_list(parameters, skip_parameter)?;
            skip_list(result_formats, |format| format.get(2..))
        }
        caller::DESCRIBE | caller::CLOSE => {
            let (kind, name) = body.split_first()?;
            skip_text(name).filter(|_| matches!(kind, b'S' | b'P'))
        }
        caller::EXECUTE => skip_text(body)?.get(4..),
        caller::SYNC | caller::FLUSH => Some(body),
        _ => None,
    }
}

/// Skips a text with its zero byte.
fn skip_text(bytes: &[u8]) -> Option<&[u8]> {
    let end = bytes.iter().position(|&byte| byte == 0)?;
    bytes.get(end + 1..)
}

/// Skips a count and as many items.
fn skip_list(bytes: &[u8], skip_item: impl Fn(&[u8]) -> Option<&[u8]>) -> Option<&[u8]> {
    let (count, items) = bytes.split_first_chunk()?;
    (0..u16::from_be_bytes(*count)).try_fold(items, |items, _| skip_item(items))
}

/// Skips the value of a parameter, whose length is -1 if it is null.
fn skip_parameter(bytes: &[u8]) -> Option<&[u8]> {
    let (length, value) = bytes.split_first_chunk()?;
    match i32::from_be_bytes(*length) {
        -1 => Some(value),
        length => value.get(usize::try_from(length).ok()?..),
    }
}
