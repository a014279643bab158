//! Evaluation of expressions and conversion of values.

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

/// The row and parameters that an expression may refer to.
#[derive(Clone, Copy, Debug)]
pub struct EvalContext<'a> {
    /// The schema of the row, if there is a row.
    pub schema: Option<&'a TableSchema>,
    /// The values of the row, in column order.
    pub row: &'a [Value],
    /// The values of the statement's parameters.
    pub parameters: &'a [Value],
}

impl<'a> EvalContext<'a> {
    /// Returns a context without a row.
    pub fn without_row(parameters: &'a [Value]) -> Self {
        Self {
            schema: None,
            row: &[],
            parameters,
        }
    }

    /// Returns this context with another row.
    pub fn with_row(self, row: &'a [Value]) -> Self {
        Self { row, ..self }
    }
}

impl Session {
    /// Evaluates `expr` to a value.
    ///
    /// # Errors
    ///
    /// Returns an error when an operand has the wrong type, a reference can't be resolved, or a
    /// function fails.
    pub(super) fn eval(
        &mut self,
        expr: &Expr,
        context: EvalContext<'_>,
    ) -> Result<Value, SqlError> {
        match expr {
            Expr::Literal(value) => Ok(value.clone()),
            Expr::Parameter(index) => parameter_value(context.parameters, *index).cloned(),
            Expr::Column(name) => column_value(context, name).cloned(),
            Expr::Binary {
                operator: operator @ (Operator::And | Operator::Or),
                left,
                right,
            } => self.eval_logical(*operator, left, right, context),
            Expr::Binary {
                operator,
                left,
                right,
            } => {
                let left = self.eval(left, context)?;
                let right = self.eval(right, context)?;
                eval_binary(*operator, &left, &right)
            }
            Expr::Not(inner) => Ok(match self.eval(inner, context)? {
                Value::Null => Value::Null,
                value => Value::Bool(!to_boolean(&value)?),
            }),
            Expr::Negate(inner) => {
                let value = self.eval(inner, context)?;
                eval_binary(Operator::Subtract, &Value::Int(0), &value)
            }
            Expr::IsNull(inner) => Ok(Value::Bool(self.eval(inner, context)?.is_null())),
            Expr::InList { expr, list } => self.eval_in_list(expr, list, context),
            Expr::Call {
                function,
                arguments,
            } => {
                let mut values = Vec::with_capacity(arguments.len());
                for argument in arguments {
                    values.push(self.eval(argument, context)?);
                }
                self.call_function(*function, &values)
            }
            Expr::Cast { expr, to } => cast(&self.eval(expr, context)?, *to),
        }
    }

    /// Returns whether the row passes `filter`, which means that it evaluates to true. A null
    /// result doesn't pass.
    pub(super) fn passes_filter(
        &mut self,
        filter: Option<&Expr>,
        context: EvalContext<'_>,
    ) -> Result<bool, SqlError> {
        let Some(filter) = filter else {
            return Ok(true);
        };
        let value = self.eval(filter, context)?;
        Ok(!value.is_null() && to_boolean(&value)?)
    }

    fn eval_logical(
        &mut self,
        operator: Operator,
        left: &Expr,
        right: &Expr,
        context: EvalContext<'_>,
    ) -> Result<Value, SqlError> {
        // The operand value that determines the result by itself: false for AND, true for OR.
        let absorbing = operator == Operator::Or;
        let mut has_null = false;
        for side in [left, right] {
            match self.eval(side, context)? {
                Value::Null => has_null = true,
                value if to_boolean(&value)? == absorbing => return Ok(Value::Bool(absorbing)),
                _ => {}
            }
        }
        Ok(if has_null {
            Value::Null
        } else {
            Value::Bool(!absorbing)
        })
    }

    fn eval_in_list(
        &mut self,
        expr: &Expr,
        list: &[Expr],
        context: EvalContext<'_>,
    ) -> Result<Value, SqlError> {
        let value = self.eval(expr, context)?;
        let mut has_null = false;
        for item in list {
            let item = self.eval(item, context)?;
            match eval_binary(Operator::Equal, &value, &item)? {
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

fn parameter_value(parameters: &[Value], index: usize) -> Result<&Value, SqlError> {
    parameters.get(index).ok_or_else(|| {
        SqlError::new(
            crate::member::errors::SYNTAX_ERROR,
            format!("there is no parameter ${}", index + 1),
        )
    })
}

fn column_value<'a>(context: EvalContext<'a>, name: &str) -> Result<&'a Value, SqlError> {
    let index = context.schema.and_then(|schema| schema.column_index(name));
    index
        .and_then(|index| context.row.get(index))
        .ok_or_else(|| {
            SqlError::new(
                UNDEFINED_COLUMN,
                format!("column \"{name}\" does not exist"),
            )
        })
}

/// Converts a value to a boolean. Null is false.
fn to_boolean(value: &Value) -> Result<bool, SqlError> {
    match cast(value, ColumnType::Bool)? {
        Value::Bool(boolean) => Ok(boolean),
        _ => Ok(false),
    }
}

fn eval_binary(operator: Operator, left: &Value, right: &Value) -> Result<Value, SqlError> {
    if left.is_null() || right.is_null() {
        return Ok(Value::Null);
    }
    let ordering_is = |accepted: &[Ordering]| -> Result<Value, SqlError> {
        Ok(Value::Bool(accepted.contains(&compare(left, right)?)))
    };
    match operator {
        Operator::Equal => ordering_is(&[Ordering::Equal]),
        Operator::NotEqual => ordering_is(&[Ordering::Less, Ordering::Greater]),
        Operator::Less => ordering_is(&[Ordering::Less]),
        Operator::LessOrEqual => ordering_is(&[Ordering::Less, Ordering::Equal]),
        Operator::Greater => ordering_is(&[Ordering::Greater]),
        Operator::GreaterOrEqual => ordering_is(&[Ordering::Greater, Ordering::Equal]),
        Operator::Concat => Ok(Value::Text(format!("{left}{right}").into())),
        Operator::And | Operator::Or => Err(SqlError::unsupported("a nested truth value")),
        Operator::Add
        | Operator::Subtract
        | Operator::Multiply
        | Operator::Divide
        | Operator::Modulo => arithmetic(operator, to_integer(left)?, to_integer(right)?),
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

fn to_integer(value: &Value) -> Result<i64, SqlError> {
    match cast(value, ColumnType::Int8)? {
        Value::Int(number) => Ok(number),
        _ => Err(SqlError::new(DATATYPE_MISMATCH, "a number is needed")),
    }
}

/// Compares two values that aren't null. If only one of them is text, it is converted to the type
/// of the other.
pub(super) fn compare(left: &Value, right: &Value) -> Result<Ordering, SqlError> {
    match (left, right) {
        (Value::Int(_), Value::Text(_)) => Ok(left.cmp(&cast(right, ColumnType::Int8)?)),
        (Value::Text(_), Value::Int(_)) => Ok(cast(left, ColumnType::Int8)?.cmp(right)),
        (Value::Bool(_), Value::Text(_)) => Ok(left.cmp(&cast(right, ColumnType::Bool)?)),
        (Value::Text(_), Value::Bool(_)) => Ok(cast(left, ColumnType::Bool)?.cmp(right)),
        _ => Ok(left.cmp(right)),
    }
}

/// Converts a value to the given type.
///
/// # Errors
///
/// Returns an error when the value can't be represented in the type.
pub fn cast(value: &Value, to: ColumnType) -> Result<Value, SqlError> {
    let invalid = || {
        SqlError::new(
            INVALID_TEXT,
            format!("invalid input syntax: \"{value}\" is no {to:?}"),
        )
    };
    let check_range = |number: i64| {
        if to == ColumnType::Int4 && i32::try_from(number).is_err() {
            return Err(SqlError::new(OUT_OF_RANGE, "integer out of range"));
        }
        Ok(Value::Int(number))
    };
    match (to, value) {
        (_, Value::Null) => Ok(Value::Null),
        (ColumnType::Text | ColumnType::Void, Value::Text(_)) => Ok(value.clone()),
        (ColumnType::Text | ColumnType::Void, other) => Ok(Value::Text(other.to_string().into())),
        (ColumnType::Int4 | ColumnType::Int8, Value::Int(number)) => check_range(*number),
        (ColumnType::Int4 | ColumnType::Int8, Value::Bool(boolean)) => {
            check_range(i64::from(*boolean))
        }
        (ColumnType::Int4 | ColumnType::Int8, Value::Text(text)) => {
            check_range(text.trim().parse().map_err(|_| invalid())?)
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
