//! Values in log lines of `key=value` fields.
//!
//! A value may come from a caller, a server or another writer of the store and hold any text. It
//! must not end its line or its field.
//!
//! A quoted value is escaped as in Rust's string literals. One that is cut to [`VALUE_MAX_BYTES`]
//! ends with `\+N` for the N bytes that are missing, which no other value contains.

use std::fmt;
use std::fmt::Display;
use std::fmt::Write;

/// The most bytes of a value that are written, before escaping.
pub const VALUE_MAX_BYTES: usize = 256;

/// The most bytes of a line that are written, before escaping.
pub const LINE_MAX_BYTES: usize = 8 * 1024;

/// A value that is quoted only where it needs to be, such as a name.
///
/// The value is formatted twice, so that it isn't copied.
///
/// # Examples
///
/// ```
/// use endivereach_core::logfmt::LogValue;
///
/// assert_eq!(LogValue("front-1").to_string(), "front-1");
/// assert_eq!(LogValue("a event=b\n").to_string(), r#""a event=b\n""#);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LogValue<T>(pub T);

impl<T: Display> Display for LogValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut scan = Scan::default();
        write!(scan, "{}", self.0)?;
        if scan.is_special || scan.bytes == 0 || scan.bytes > VALUE_MAX_BYTES {
            LogText(&self.0).fmt(f)
        } else {
            self.0.fmt(f)
        }
    }
}

/// A value that is always quoted, such as a message.
///
/// # Examples
///
/// ```
/// use endivereach_core::logfmt::LogText;
///
/// assert_eq!(LogText("no \"such\" name").to_string(), r#""no \"such\" name""#);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LogText<T>(pub T);

impl<T: Display> Display for LogText<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('"')?;
        let mut out = Escaper::new(f, VALUE_MAX_BYTES, needs_escape_in_quotes);
        write!(out, "{}", self.0)?;
        out.finish()?;
        f.write_char('"')
    }
}

/// Text that is written as one line: control characters are escaped, everything else stays as it is.
///
/// # Examples
///
/// ```
/// use endivereach_core::logfmt::OneLine;
///
/// assert_eq!(OneLine("say \"no\"\n").to_string(), r#"say "no"\n"#);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct OneLine<T>(pub T);

impl<T: Display> Display for OneLine<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = Escaper::new(f, LINE_MAX_BYTES, ends_line);
        write!(out, "{}", self.0)?;
        out.finish()
    }
}

/// Returns whether a character may end a line for some reader, or changes how a terminal shows it.
fn ends_line(character: char) -> bool {
    character.is_control() || (!character.is_ascii() && is_escaped_in_literals(character))
}

fn needs_escape_in_quotes(character: char) -> bool {
    match character {
        '"' | '\\' => true,
        other => ends_line(other),
    }
}

fn is_escaped_in_literals(character: char) -> bool {
    character.escape_debug().len() > 1
}

/// Returns whether a character can be part of a value without quotes.
fn is_plain(character: char) -> bool {
    match character {
        '"' | '\\' | '=' | '(' | ')' | '[' | ']' | '{' | '}' => false,
        ascii if ascii.is_ascii() => ascii.is_ascii_graphic(),
        other => other.is_alphanumeric() && !ends_line(other),
    }
}

/// Checks what is written to it.
#[derive(Default)]
struct Scan {
    bytes: usize,
    is_special: bool,
}

impl Write for Scan {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.bytes += text.len();
        self.is_special = self.is_special || !text.chars().all(is_plain);
        Ok(())
    }
}

/// Escapes what is written to it, and cuts it after a number of bytes.
struct Escaper<'o, W> {
    out: &'o mut W,
    left_bytes: usize,
    cut_bytes: usize,
    is_escaped: fn(char) -> bool,
}

impl<'o, W: Write> Escaper<'o, W> {
    fn new(out: &'o mut W, max_bytes: usize, is_escaped: fn(char) -> bool) -> Self {
        Self {
            out,
            left_bytes: max_bytes,
            cut_bytes: 0,
            is_escaped,
        }
    }

    /// Writes how many bytes were cut, if any.
    fn finish(self) -> fmt::Result {
        match self.cut_bytes {
            0 => Ok(()),
            cut_bytes => write!(self.out, "\\+{cut_bytes}"),
        }
    }
}

impl<W: Write> Write for Escaper<'_, W> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        if self.cut_bytes > 0 {
            self.cut_bytes += text.len();
            return Ok(());
        }
        let end = text.floor_char_boundary(self.left_bytes);
        let (kept, cut) = text.split_at(end);
        self.left_bytes -= kept.len();
        self.cut_bytes = cut.len();
        let mut unescaped = kept;
        while let Some(at) = unescaped.find(self.is_escaped) {
            let (plain, rest) = unescaped.split_at(at);
            self.out.write_str(plain)?;
            let mut characters = rest.chars();
            if let Some(character) = characters.next() {
                write!(self.out, "{}", character.escape_debug())?;
            }
            unescaped = characters.as_str();
        }
        self.out.write_str(unescaped)
    }
}
