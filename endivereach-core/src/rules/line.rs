//! Splits a line of a rules file into words and a comment.

use super::model::Located;

/// A line of the file, split at its first `#`.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    /// The words before the comment. Each comma is a separate word.
    pub(crate) words: Vec<Located<&'a str>>,
    /// The text after `#`, trimmed, or `None` when there is no `#`.
    pub(crate) comment: Option<Located<&'a str>>,
    /// The column after the last word.
    pub(crate) end_column: u32,
}

impl<'a> Line<'a> {
    /// Splits the text of one line.
    pub(crate) fn split(text: &'a str) -> Self {
        let (code, comment) = match text.split_once('#') {
            Some((code, comment)) => (code, Some(comment)),
            None => (text, None),
        };
        let words = split_words(code);
        let code_end = column_of(code, code.trim_end().len());
        let comment = comment.map(|comment| Located {
            value: comment.trim(),
            column: column_of(text, code.len()),
        });
        Self {
            words,
            comment,
            end_column: code_end,
        }
    }
}

/// Returns the column of the byte at `offset`, in characters and counted from one.
fn column_of(text: &str, offset: usize) -> u32 {
    text[..offset].chars().count() as u32 + 1
}

fn split_words(code: &str) -> Vec<Located<&str>> {
    let mut words = Vec::new();
    let mut start = None;
    // The added space ends the last word.
    let chars_and_end = code.char_indices().chain([(code.len(), ' ')]);
    for (column, (offset, c)) in (1u32..).zip(chars_and_end) {
        let is_separator = c.is_whitespace() || c == ',';
        match start {
            Some((from, from_column)) if is_separator => {
                words.push(Located {
                    value: &code[from..offset],
                    column: from_column,
                });
                start = None;
            }
            None if !is_separator => start = Some((offset, column)),
            _ => {}
        }
        if c == ',' {
            words.push(Located {
                value: &code[offset..offset + 1],
                column,
            });
        }
    }
    words
}
