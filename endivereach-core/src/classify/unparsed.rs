//! Analysis of text that the parser doesn't support, by the first words of the text.
//!
//! The analysis detects the statements that must not run on a shared connection.

use super::statement::Analysis;
use crate::treatment::StatementKind;

const REFUSE_TWO_PHASE: &str = "two-phase commit isn't carried by this proxy; use one transaction \
                                per group";
const REFUSE_COPY: &str = "this COPY isn't carried by the proxy; use COPY TO STDOUT or INSERT with \
                           several rows, or connect to the server directly";
const REFUSE_LISTEN: &str = "notifications don't reach a caller through a pooled proxy; poll a \
                             table, or connect to the primary directly for LISTEN";
const PINS_UNKNOWN: &str = "the statement may leave state on its connection, so the caller keeps \
                            it until it disconnects";

/// Analyses text that can't be parsed. Unless its first words are known, it counts as a write with
/// the strictest treatment.
pub(crate) fn analyse_unparsed(sql: &str) -> Analysis {
    let text = sql.trim().trim_end_matches(';');
    let words: Vec<String> = text
        .split_whitespace()
        .take(4)
        .map(str::to_ascii_uppercase)
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let has_several_statements = text.contains(';');
    match &words[..] {
        ["ABORT"] | ["ABORT", "WORK" | "TRANSACTION"] => Analysis::of_kind(StatementKind::Rollback),
        ["BEGIN", ..] | ["START", "TRANSACTION", ..] if !has_several_statements => {
            Analysis::of_kind(StatementKind::Begin)
        }
        ["RESET", ..] if !has_several_statements => Analysis::of_kind(StatementKind::Set),
        ["PREPARE", "TRANSACTION", ..] | ["COMMIT" | "ROLLBACK" | "END", "PREPARED", ..] => {
            Analysis::with_reason(StatementKind::Refused, REFUSE_TWO_PHASE)
        }
        ["COPY", ..] if !has_several_statements && is_copy_from_stdin(text) => {
            analyse_copy_from_stdin(text)
        }
        ["COPY", ..] => Analysis::with_reason(StatementKind::Refused, REFUSE_COPY),
        ["LISTEN" | "UNLISTEN", ..] => Analysis::with_reason(StatementKind::Refused, REFUSE_LISTEN),
        ["SET" | "RESET" | "PREPARE" | "DECLARE" | "LOAD", ..]
        | ["CREATE", "TEMP" | "TEMPORARY", ..]
        | ["CREATE", "GLOBAL" | "LOCAL", "TEMP" | "TEMPORARY", ..]
        | ["CREATE", "OR", "REPLACE", "TEMP" | "TEMPORARY"] => {
            Analysis::with_reason(StatementKind::PinsConnection, PINS_UNKNOWN)
        }
        _ => Analysis::unknown_write(),
    }
}

/// Returns whether the text contains `FROM STDIN`, after which the caller sends the data.
fn is_copy_from_stdin(text: &str) -> bool {
    let words: Vec<&str> = text.split_whitespace().collect();
    words
        .windows(2)
        .any(|pair| pair[0].eq_ignore_ascii_case("from") && pair[1].eq_ignore_ascii_case("stdin"))
}

/// Analyses `COPY .. FROM STDIN`, which writes to its table. A quoted name, or one with characters
/// other than ASCII letters, digits and `_`, gives an unknown write.
fn analyse_copy_from_stdin(text: &str) -> Analysis {
    let name = text.split_whitespace().nth(1).unwrap_or("");
    let name = name.split('(').next().unwrap_or("");
    let table = name.rsplit('.').next().unwrap_or("");
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '_';
    if table.is_empty() || !table.chars().all(is_plain) {
        return Analysis::unknown_write();
    }
    let tables = vec![table.to_ascii_lowercase().into()];
    Analysis {
        named_tables: tables.clone(),
        written_tables: tables,
        ..Analysis::of_kind(StatementKind::Write)
    }
}
