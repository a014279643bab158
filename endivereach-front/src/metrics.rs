//! The text format of metrics.

use std::fmt;
use std::fmt::Display;
use std::fmt::Write;

/// Appends a sample with one label to `text`.
///
/// # Examples
///
/// ```
/// let mut text = String::new();
/// endivereach_front::metrics::write_labelled(&mut text, "refused_total", ("tenant", "a\"b"), 3);
/// assert_eq!(text, "refused_total{tenant=\"a\\\"b\"} 3\n");
/// ```
pub fn write_labelled(
    text: &mut String,
    name: &str,
    (label, label_value): (&str, &str),
    value: impl Display,
) {
    let label_value = LabelValue(label_value);
    // Writing to a string can't fail.
    let _ = writeln!(text, "{name}{{{label}=\"{label_value}\"}} {value}");
}

/// The value of a label, which may come from another writer of the store.
struct LabelValue<'v>(&'v str);

impl Display for LabelValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for character in self.0.chars() {
            match character {
                '"' | '\\' | '\n' => write!(f, "{}", character.escape_debug())?,
                // The format escapes no others, but some readers end a line at them.
                control if control.is_control() || matches!(control, '\u{2028}' | '\u{2029}') => {
                    write!(f, "\\{}", control.escape_debug())?;
                }
                plain => f.write_char(plain)?,
            }
        }
        Ok(())
    }
}
