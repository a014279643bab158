//! A cache of a connection's compiled statements, by SQL text.
//!
//! Clients of the simple query protocol write values as literals into the text, so the same text
//! rarely occurs twice. String literals are therefore replaced by parameters before the lookup.

use crate::member::errors::SqlError;
use crate::member::sql::compile::compile;
use crate::member::sql::plan::Plan;
use crate::member::storage::value::Value;
use std::collections::HashMap;
use std::sync::Arc;

/// The maximum number of cached texts per connection. When it is reached, the cache is cleared.
const CACHED_TEXTS_MAX: usize = 512;

/// The longest text in which literals are replaced by parameters, in bytes.
const PARAMETERIZED_MAX_BYTES: usize = 4096;

/// The compiled statements of one text.
pub(super) type Plans = Arc<[Plan]>;

/// The compiled statements of one text, and the values of the literals that were replaced.
pub(super) struct CompiledStatements {
    pub(super) plans: Plans,
    pub(super) parameters: Vec<Value>,
}

/// The cache of a connection's compiled statements.
#[derive(Default)]
pub(super) struct StatementCache {
    plans: HashMap<Box<str>, Plans>,
}

impl StatementCache {
    /// Returns the compiled statements of `sql` from the cache, or compiles them.
    pub(super) fn compile(&mut self, sql: &str) -> Result<Plans, SqlError> {
        if let Some(plans) = self.plans.get(sql) {
            return Ok(plans.clone());
        }
        let plans: Plans = compile(sql)?.into();
        if self.plans.len() >= CACHED_TEXTS_MAX {
            self.plans.clear();
        }
        self.plans.insert(sql.into(), plans.clone());
        Ok(plans)
    }

    /// Returns the compiled statements of `sql` with its string literals replaced by parameters.
    /// Falls back to the unchanged text where the literals can't be replaced.
    pub(super) fn compile_parameterized(
        &mut self,
        sql: &str,
    ) -> Result<CompiledStatements, SqlError> {
        if let Some(parameterized) = ParameterizedText::from_sql(sql)
            && let Ok(plans) = self.compile(&parameterized.text)
        {
            return Ok(CompiledStatements {
                plans,
                parameters: parameterized.parameters,
            });
        }
        Ok(CompiledStatements {
            plans: self.compile(sql)?,
            parameters: Vec::new(),
        })
    }
}

/// A text whose string literals were replaced by parameters, and the values of these literals.
struct ParameterizedText {
    text: String,
    parameters: Vec<Value>,
}

impl ParameterizedText {
    /// Replaces the string literals of a `SELECT`, `INSERT`, `UPDATE` or `DELETE`. Returns `None`
    /// for other statements, and for texts in which a quote might not delimit a plain string
    /// literal.
    fn from_sql(sql: &str) -> Option<Self> {
        if sql.len() > PARAMETERIZED_MAX_BYTES || !is_row_statement(sql) {
            return None;
        }
        let mut parameterized = Self {
            text: String::with_capacity(sql.len()),
            parameters: Vec::new(),
        };
        let mut remaining = sql.trim_end().trim_end_matches(';');
        while let Some(quote) = remaining.find('\'') {
            let (before, quoted) = remaining.split_at(quote);
            if !is_free_of_special_syntax(before) || !precedes_plain_literal(before) {
                return None;
            }
            let value = &quoted[1..];
            let end = value.find('\'')?;
            let after = &value[end + 1..];
            if after.starts_with('\'') {
                return None;
            }
            parameterized.parameters.push(Value::from(&value[..end]));
            parameterized.text.push_str(before);
            parameterized.text.push('$');
            parameterized
                .text
                .push_str(&parameterized.parameters.len().to_string());
            remaining = after;
        }
        if !is_free_of_special_syntax(remaining) {
            return None;
        }
        parameterized.text.push_str(remaining);
        Some(parameterized)
    }
}

/// Returns whether the text starts with the keyword of a statement that reads or writes rows.
fn is_row_statement(sql: &str) -> bool {
    let word = sql.split_whitespace().next().unwrap_or_default();
    ["select", "insert", "update", "delete"]
        .iter()
        .any(|keyword| word.eq_ignore_ascii_case(keyword))
}

/// Returns whether the text between literals contains no comment, other kind of quote, parameter or
/// further statement.
fn is_free_of_special_syntax(text: &str) -> bool {
    let has_special = text.contains(['"', '$', '\\', ';']);
    !has_special && !text.contains("--") && !text.contains("/*")
}

/// Returns whether a quote after `text` starts a plain string literal, as opposed to one with a
/// prefix such as `E'...'`.
fn precedes_plain_literal(text: &str) -> bool {
    !text.ends_with(|last: char| last.is_alphanumeric() || last == '_')
}
