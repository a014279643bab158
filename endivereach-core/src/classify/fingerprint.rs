//! Cache keys that are equal for statements that differ only in their literals.
//!
//! The analysis doesn't depend on the value of a plain literal, so texts that differ only in plain
//! literals have the same analysis. The scanner in this module and the SQL parser must agree on
//! where a literal ends. A text for which they might disagree is used as its own key, unchanged.

/// Replaces a string literal in a key. A text that contains this byte outside a literal is its own
/// key.
const STRING_PLACEHOLDER: u8 = 0x01;

/// Replaces a number in a key. A text that contains this byte outside a literal is its own key.
const NUMBER_PLACEHOLDER: u8 = 0x02;

/// Writes the key of `sql` to `key`, which is cleared first.
///
/// # Examples
///
/// ```
/// use endivereach_core::classify::fingerprint;
///
/// let (mut a, mut b) = (Vec::new(), Vec::new());
/// fingerprint("SELECT * FROM berths WHERE id = 7 AND name = 'x'", &mut a);
/// fingerprint("SELECT * FROM berths WHERE id = 812 AND name = 'it''s'", &mut b);
/// assert_eq!(a, b);
/// ```
pub fn fingerprint(sql: &str, key: &mut Vec<u8>) {
    key.clear();
    let bytes = sql.as_bytes();
    if replace_literals(bytes, key).is_none() {
        key.clear();
        key.extend_from_slice(bytes);
    }
}

/// Copies `bytes` to `key` with placeholders for literals.
///
/// Returns `None` if the parser might find other literals than this scanner.
fn replace_literals(bytes: &[u8], key: &mut Vec<u8>) -> Option<()> {
    let mut index = 0;
    while let Some(&byte) = bytes.get(index) {
        match byte {
            b'\'' => {
                if index > 0 && may_prefix_string(bytes[index - 1]) {
                    return None;
                }
                index = end_of_string(bytes, index)?;
                key.push(STRING_PLACEHOLDER);
            }
            b'"' => {
                let end = end_of_quoted_name(bytes, index)?;
                key.extend_from_slice(&bytes[index..end]);
                index = end;
            }
            b'0'..=b'9' => {
                let end = end_of_run(bytes, index, |b| b.is_ascii_digit());
                if bytes.get(end).copied().is_some_and(is_name_byte) {
                    return None;
                }
                key.push(NUMBER_PLACEHOLDER);
                index = end;
            }
            _ if is_name_byte(byte) => {
                let end = end_of_run(bytes, index, |b| is_name_byte(b) || b == b'$');
                key.extend_from_slice(&bytes[index..end]);
                index = end;
            }
            b'$' => {
                let end = end_of_run(bytes, index + 1, |b| b.is_ascii_digit());
                let next = bytes.get(end).copied();
                if end == index + 1 || next.is_some_and(|b| is_name_byte(b) || b == b'$') {
                    return None;
                }
                key.extend_from_slice(&bytes[index..end]);
                index = end;
            }
            b'\\' | b'`' | b'#' => return None,
            b'-' | b'/' | b'*' if starts_comment(bytes, index) => return None,
            b' ' | b'\t' | b'\n' | b'\r' => {
                key.push(byte);
                index += 1;
            }
            0..0x20 | 0x7f => return None,
            _ => {
                key.push(byte);
                index += 1;
            }
        }
    }
    Some(())
}

/// Returns whether a byte before a quote may change the kind of the literal, as in `E'..'` and
/// `U&'..'`.
fn may_prefix_string(byte: u8) -> bool {
    is_name_byte(byte) || byte == b'&' || byte == b'$' || byte == b'\''
}

/// Returns whether a byte may be part of an identifier. All bytes above ASCII may.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

fn starts_comment(bytes: &[u8], index: usize) -> bool {
    matches!(
        bytes.get(index..index + 2),
        Some(b"--" | b"/*" | b"*/" | b"//")
    )
}

/// Returns the end of the string literal that starts at `index`. A doubled quote is an escaped
/// quote.
fn end_of_string(bytes: &[u8], index: usize) -> Option<usize> {
    let mut end = index + 1;
    loop {
        match bytes.get(end)? {
            b'\\' | 0 => return None,
            b'\'' if bytes.get(end + 1) == Some(&b'\'') => end += 2,
            b'\'' => return Some(end + 1),
            _ => end += 1,
        }
    }
}

fn end_of_quoted_name(bytes: &[u8], index: usize) -> Option<usize> {
    let mut end = index + 1;
    loop {
        match bytes.get(end)? {
            b'\\' | 0..0x20 => return None,
            b'"' => return Some(end + 1),
            _ => end += 1,
        }
    }
}

fn end_of_run(bytes: &[u8], index: usize, in_run: impl Fn(u8) -> bool) -> usize {
    let rest = bytes[index..].iter();
    index + rest.take_while(|byte| in_run(**byte)).count()
}
