//! Evaluation of expressions.

use super::plan::Expr;
use super::plan::Operator;
use crate::member::errors::DATATYPE_MISMATCH;
use crate::member::errors::INVALID_TEXT;
use crate::member::errors::OUT_OF_RANGE;
use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_COLUMN;
use crate::member::session::Session;
use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use std::cmp::Ordering;

/// What an expression may refer to.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// The shape of the row, if there is one.
    pub schema: Option<&'a TableSchema>,
    /// The row's values.
    pub row: &'a [Value],
    /// The statement's parameters.
    pub parameters: &'a [Value],
}

impl<'a> Scope<'a> {
    /// Returns a scope without a row.
    pub fn without_row(parameters: &'a [Value]) -> Self {
        Self {
            schema: None,
            row: &[],
            parameters,
        }
    }

    /// Returns the scope with another row.
    pub fn with_row(self, row: &'a [Value]) -> Self {
        Self { row, ..self }
    }
}

impl Session {
    /// Evaluates `expr`.
    ///
    /// # Errors
    ///
    /// Returns an error for types that don't fit, and the errors of functions.
    pub(super) fn eval(&mut self, expr: &Expr, scope: Scope<'_>) -> Result<Value, SqlError> {
        match expr {
            Expr::Literal(value) => Ok(value.clone()),
            Expr::Parameter(index) => parameter(scope.parameters, *index).cloned(),
            Expr::Column(name) => column(scope, name).cloned(),
            Expr::Binary {
                operator: operator @ (Operator::And | Operator::Or),
                left,
                right,
            } => self.eval_logic(*operator, left, right, scope),
            Expr::Binary {
                operator,
                left,
                right,
            } => {
                let left = self.eval(left, scope)?;
                let right = self.eval(right, scope)?;
                binary(*operator, &left, &right)
            }
            Expr::Not(inner) => Ok(match self.eval(inner, scope)? {
                Value::Null => Value::Null,
                value => Value::Bool(!truth(&value)?),
            }),
            Expr::Negative(inner) => {
                let value = self.eval(inner, scope)?;
                binary(Operator::Subtract, &Value::Int(0), &value)
            }
            Expr::IsNull(inner) => Ok(Value::Bool(self.eval(inner, scope)?.is_null())),
            Expr::InList { expr, list } => self.eval_in_list(expr, list, scope),
            Expr::Call {
                function,
                arguments,
            } => {
                let mut values = Vec::with_capacity(arguments.len());
                for argument in arguments {
                    values.push(self.eval(argument, scope)?);
                }
                self.call(*function, &values)
            }
            Expr::Cast { expr, to } => cast(&self.eval(expr, scope)?, *to),
        }
    }

    /// Evaluates a filter: only what is known to hold passes.
    pub(super) fn passes(
        &mut self,
        filter: Option<&Expr>,
        scope: Scope<'_>,
    ) -> Result<bool, SqlError> {
        let Some(filter) = filter else {
            return Ok(true);
        };
        let value = self.eval(filter, scope)?;
        Ok(!value.is_null() && truth(&value)?)
    }

    fn eval_logic(
        &mut self,
        operator: Operator,
        left: &Expr,
        right: &Expr,
        scope: Scope<'_>,
    ) -> Result<Value, SqlError> {
        // The value that decides the result alone: false for AND, true for OR.
        let deciding = operator == Operator::Or;
        let mut has_null = false;
        for side in [left, right] {
            match self.eval(side, scope)? {
                Value::Null => has_null = true,
                value if truth(&value)? == deciding => return Ok(Value::Bool(deciding)),
                _ => {}
            }
        }
        Ok(if has_null {
            Value::Null
        } else {
            Value::Bool(!deciding)
        })
    }

    fn eval_in_list(
        &mut self,
        expr: &Expr,
        list: &[Expr],
        scope: Scope<'_>,
    ) -> Result<Value, SqlError> {
        let value = self.eval(expr, scope)?;
        let mut has_null = false;
        for item in list {
            let item = self.eval(item, scope)?;
            match binary(Operator::Equal, &value, &item)? {
                Value::Bool(true) => return Ok(Value::Bool(true)),
                Value::Null => has_null = true,
                _ => {}
            }
        }
        Ok(if has_null {
            Value::Null
        } else {
            Value::Bool(false)
        })
    }
}

fn parameter(parameters: &[Value], index: usize) -> Result<&Value, SqlError> {
    parameters.get(index).ok_or_else(|| {
        SqlError::new(
            crate::member::errors::SYNTAX_ERROR,
            format!("there is no parameter ${}", index + 1),
        )
    })
}

fn column<'a>(scope: Scope<'a>, name: &str) -> Result<&'a Value, SqlError> {
    let index = scope.schema.and_then(|schema| schema.column_index(name));
    index.and_then(|index| scope.row.get(index)).ok_or_else(|| {
        SqlError::new(
            UNDEFINED_COLUMN,
            format!("column \"{name}\" does not exist"),
        )
    })
}

/// Returns a value as a truth value.
fn truth(value: &Value) -> Result<bool, SqlError> {
    match cast(value, ColumnType::Bool)? {
        Value::Bool(truth) => Ok(truth),
        _ => Ok(false),
    }
}

fn binary(operator: Operator, left: &Value, right: &Value) -> Result<Value, SqlError> {
    if left.is_null() || right.is_null() {
        return Ok(Value::Null);
    }
    let is = |wanted: &[Ordering]| -> Result<Value, SqlError> {
        Ok(Value::Bool(wanted.contains(&compare(left, right)?)))
    };
    match operator {
        Operator::Equal => is(&[Ordering::Equal]),
        Operator::NotEqual => is(&[Ordering::Less, Ordering::Greater]),
        Operator::Less => is(&[Ordering::Less]),
        Operator::LessOrEqual => is(&[Ordering::Less, Ordering::Equal]),
        Operator::Greater => is(&[Ordering::Greater]),
        Operator::GreaterOrEqual => is(&[Ordering::Greater, Ordering::Equal]),
        Operator::Concat => Ok(Value::Text(format!("{left}{right}").into())),
        Operator::And | Operator::Or => Err(SqlError::unsupported("a nested truth value")),
        Operator::Add
        | Operator::Subtract
        | Operator::Multiply
        | Operator::Divide
        | Operator::Modulo => arithmetic(operator, number(left)?, number(right)?),
    }
}

fn arithmetic(operator: Operator, left: i64, right: i64) -> Result<Value, SqlError> {
    let result = match operator {
        Operator::Add => left.checked_add(right),
        Operator::Subtract => left.checked_sub(right),
        Operator::Multiply => left.checked_mul(right),
        Operator::Divide => left.checked_div(right),
        _ => left.checked_rem(right),
    };
    result
        .map(Value::Int)
        .ok_or_else(|| SqlError::new(OUT_OF_RANGE, "the result is no number of 64 bits"))
}

fn number(value: &Value) -> Result<i64, SqlError> {
    match cast(value, ColumnType::Int8)? {
        Value::Int(number) => Ok(number),
        _ => Err(SqlError::new(DATATYPE_MISMATCH, "a number is needed")),
    }
}

/// Compares two values that aren't null. Text is converted when the other side isn't text.
pub(super) fn compare(left: &Value, right: &Value) -> Result<Ordering, SqlError> {
    match (left, right) {
        (Value::Int(_), Value::Text(_)) => Ok(left.cmp(&cast(right, ColumnType::Int8)?)),
        (Value::Text(_), Value::Int(_)) => Ok(cast(left, ColumnType::Int8)?.cmp(right)),
        (Value::Bool(_), Value::Text(_)) => Ok(left.cmp(&cast(right, ColumnType::Bool)?)),
        (Value::Text(_), Value::Bool(_)) => Ok(cast(left, ColumnType::Bool)?.cmp(right)),
        _ => Ok(left.cmp(right)),
    }
}

/// Converts a value to a type.
///
/// # Errors
///
/// Returns an error when the value has no counterpart in the type.
pub fn cast(value: &Value, to: ColumnType) -> Result<Value, SqlError> {
    let invalid = || {
        SqlError::new(
            INVALID_TEXT,
            format!("invalid input syntax: \"{value}\" is no {to:?}"),
        )
    };
    let fits = |number: i64| {
        if to == ColumnType::Int4 && i32::try_from(number).is_err() {
            return Err(SqlError::new(OUT_OF_RANGE, "integer out of range"));
        }
        Ok(Value::Int(number))
    };
    match (to, value) {
        (_, Value::Null) => Ok(Value::Null),
        (ColumnType::Text | ColumnType::Void, Value::Text(_)) => Ok(value.clone()),
        (ColumnType::Text | ColumnType::Void, other) => Ok(Value::Text(other.to_string().into())),
        (ColumnType::Int4 | ColumnType::Int8, Value::Int(number)) => fits(*number),
        (ColumnType::Int4 | ColumnType::Int8, Value::Bool(truth)) => fits(i64::from(*truth)),
        (ColumnType::Int4 | ColumnType::Int8, Value::Text(text)) => {
            fits(text.trim().parse().map_err(|_| invalid())?)
        }
        (ColumnType::Bool, Value::Bool(_)) => Ok(value.clone()),
        (ColumnType::Bool, Value::Int(number)) => Ok(Value::Bool(*number != 0)),
        (ColumnType::Bool, Value::Text(text)) => match &*text.to_ascii_lowercase() {
            "t" | "true" | "on" | "yes" | "1" => Ok(Value::Bool(true)),
            "f" | "false" | "off" | "no" | "0" => Ok(Value::Bool(false)),
            _ => Err(invalid()),
        },
    }
}
