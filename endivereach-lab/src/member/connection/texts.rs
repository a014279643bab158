//! The compiled statements of a connection, by their texts.
//!
//! Clients of the simple protocol write their values into the text, so that hardly any text comes
//! twice. Quoted values are therefore taken out of the text before it is looked up, and become
//! parameters.

use crate::member::errors::SqlError;
use crate::member::sql::compile::compile;
use crate::member::sql::plan::Plan;
use crate::member::storage::value::Value;
use std::collections::HashMap;
use std::sync::Arc;

/// How many compiled texts a connection keeps.
const TEXTS_MAX: usize = 512;

/// The longest text whose values are taken out, in bytes.
const SHAPE_MAX_BYTES: usize = 4096;

/// The statements of one text, compiled.
pub(super) type Plans = Arc<[Plan]>;

/// The statements of one text with the values that were taken out of it.
pub(super) struct Compiled {
    pub(super) plans: Plans,
    pub(super) parameters: Vec<Value>,
}

/// The compiled statements of a connection.
#[derive(Default)]
pub(super) struct Texts {
    plans: HashMap<Box<str>, Plans>,
}

impl Texts {
    /// Compiles a text as it is, or finds it compiled.
    pub(super) fn compile(&mut self, sql: &str) -> Result<Plans, SqlError> {
        if let Some(plans) = self.plans.get(sql) {
            return Ok(plans.clone());
        }
        let plans: Plans = compile(sql)?.into();
        if self.plans.len() >= TEXTS_MAX {
            self.plans.clear();
        }
        self.plans.insert(sql.into(), plans.clone());
        Ok(plans)
    }

    /// Compiles a text whose quoted values may be taken out.
    pub(super) fn compile_shape(&mut self, sql: &str) -> Result<Compiled, SqlError> {
        if let Some(shape) = Shape::of(sql)
            && let Ok(plans) = self.compile(&shape.text)
        {
            return Ok(Compiled {
                plans,
                parameters: shape.parameters,
            });
        }
        Ok(Compiled {
            plans: self.compile(sql)?,
            parameters: Vec::new(),
        })
    }
}

/// A text without its quoted values.
struct Shape {
    text: String,
    parameters: Vec<Value>,
}

impl Shape {
    /// Takes the quoted values out of a statement on rows. Returns `None` for other statements and
    /// for texts in which a quote may mean something else.
    fn of(sql: &str) -> Option<Self> {
        if sql.len() > SHAPE_MAX_BYTES || !is_on_rows(sql) {
            return None;
        }
        let mut shape = Self {
            text: String::with_capacity(sql.len()),
            parameters: Vec::new(),
        };
        let mut rest = sql.trim_end().trim_end_matches(';');
        while let Some(quote) = rest.find('\'') {
            let (before, quoted) = rest.split_at(quote);
            if !is_plain(before) || !begins_value(before) {
                return None;
            }
            let value = &quoted[1..];
            let end = value.find('\'')?;
            let after = &value[end + 1..];
            if after.starts_with('\'') {
                return None;
            }
            shape.parameters.push(Value::from(&value[..end]));
            shape.text.push_str(before);
            shape.text.push('$');
            shape.text.push_str(&shape.parameters.len().to_string());
            rest = after;
        }
        if !is_plain(rest) {
            return None;
        }
        shape.text.push_str(rest);
        Some(shape)
    }
}

/// Returns whether the text begins as a statement that reads or writes rows.
fn is_on_rows(sql: &str) -> bool {
    let word = sql.split_whitespace().next().unwrap_or_default();
    ["select", "insert", "update", "delete"]
        .iter()
        .any(|known| word.eq_ignore_ascii_case(known))
}

/// Returns whether the text between values holds no comment, other quote, parameter or further
/// statement.
fn is_plain(text: &str) -> bool {
    let has_special = text.contains(['"', '$', '\\', ';']);
    !has_special && !text.contains("--") && !text.contains("/*")
}

/// Returns whether a quote after `text` begins a plain value, not one such as `E'...'`.
fn begins_value(text: &str) -> bool {
    !text.ends_with(|last: char| last.is_alphanumeric() || last == '_')
}
