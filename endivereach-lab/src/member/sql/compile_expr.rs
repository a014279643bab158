//! Compilation of parsed expressions into [`Expr`].

use super::compile::column_type;
use super::plan::Expr;
use super::plan::Function;
use super::plan::Operator;
use crate::member::errors::SYNTAX_ERROR;
use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_FUNCTION;
use crate::member::storage::value::Value;
use sqlparser::ast;

/// Returns an identifier with PostgreSQL's case folding: in lower case unless it is quoted.
pub(super) fn identifier(identifier: &ast::Ident) -> Box<str> {
    if identifier.quote_style.is_some() {
        identifier.value.as_str().into()
    } else {
        identifier.value.to_ascii_lowercase().into()
    }
}

/// Returns the last part of a name that may be qualified with a schema.
pub(super) fn object_name(name: &ast::ObjectName) -> Result<Box<str>, SqlError> {
    let last = name.0.last().and_then(|part| part.as_ident());
    last.map(identifier)
        .ok_or_else(|| SqlError::unsupported(name))
}

/// Compiles a parsed expression.
pub(super) fn compile_expr(expr: ast::Expr) -> Result<Expr, SqlError> {
    match expr {
        ast::Expr::Value(value) => compile_value(value.value),
        ast::Expr::Identifier(name) => Ok(Expr::Column(identifier(&name))),
        ast::Expr::CompoundIdentifier(parts) => parts
            .last()
            .map(|name| Expr::Column(identifier(name)))
            .ok_or_else(|| SqlError::unsupported("an empty name")),
        ast::Expr::Nested(inner) => compile_expr(*inner),
        ast::Expr::BinaryOp { left, op, right } => Ok(Expr::Binary {
            operator: compile_operator(&op)?,
            left: compile_boxed(*left)?,
            right: compile_boxed(*right)?,
        }),
        ast::Expr::UnaryOp { op, expr } => match op {
            ast::UnaryOperator::Not => Ok(Expr::Not(compile_boxed(*expr)?)),
            ast::UnaryOperator::Minus => Ok(Expr::Negate(compile_boxed(*expr)?)),
            ast::UnaryOperator::Plus => compile_expr(*expr),
            other => Err(SqlError::unsupported(other)),
        },
        ast::Expr::IsNull(inner) => Ok(Expr::IsNull(compile_boxed(*inner)?)),
        ast::Expr::IsNotNull(inner) => {
            Ok(Expr::Not(Box::new(Expr::IsNull(compile_boxed(*inner)?))))
        }
        ast::Expr::InList {
            expr,
            list,
            negated,
        } => {
            let list = list
                .into_iter()
                .map(compile_expr)
                .collect::<Result<_, _>>()?;
            let expr = compile_boxed(*expr)?;
            Ok(negate(Expr::InList { expr, list }, negated))
        }
        ast::Expr::Between {
            expr,
            negated,
            low,
            high,
        } => {
            let expr = compile_boxed(*expr)?;
            let low = binary_expr(Operator::GreaterOrEqual, expr.clone(), compile_boxed(*low)?);
            let high = binary_expr(Operator::LessOrEqual, expr, compile_boxed(*high)?);
            let range = binary_expr(Operator::And, Box::new(low), Box::new(high));
            Ok(negate(range, negated))
        }
        ast::Expr::Cast {
            expr, data_type, ..
        } => Ok(Expr::Cast {
            expr: compile_boxed(*expr)?,
            to: column_type(&data_type)?,
        }),
        ast::Expr::Function(function) => compile_call(function),
        other => Err(SqlError::unsupported(other)),
    }
}

fn compile_boxed(expr: ast::Expr) -> Result<Box<Expr>, SqlError> {
    compile_expr(expr).map(Box::new)
}

fn negate(expr: Expr, negated: bool) -> Expr {
    if negated {
        Expr::Not(Box::new(expr))
    } else {
        expr
    }
}

fn binary_expr(operator: Operator, left: Box<Expr>, right: Box<Expr>) -> Expr {
    Expr::Binary {
        operator,
        left,
        right,
    }
}

fn compile_value(value: ast::Value) -> Result<Expr, SqlError> {
    let literal = match value {
        ast::Value::Number(digits, _) => match digits.parse() {
            Ok(number) => Value::Int(number),
            // Only `pg_sleep` takes fractions as an argument, and it accepts text as well.
            Err(_) => Value::Text(digits.into()),
        },
        ast::Value::SingleQuotedString(text) | ast::Value::EscapedStringLiteral(text) => {
            Value::Text(text.into())
        }
        ast::Value::Boolean(boolean) => Value::Bool(boolean),
        ast::Value::Null => Value::Null,
        ast::Value::Placeholder(name) => return compile_parameter(&name),
        other => return Err(SqlError::unsupported(other)),
    };
    Ok(Expr::Literal(literal))
}

fn compile_parameter(name: &str) -> Result<Expr, SqlError> {
    let number = name.strip_prefix('$').and_then(|it| it.parse().ok());
    match number {
        Some(number @ 1usize..=65_535) => Ok(Expr::Parameter(number - 1)),
        _ => Err(SqlError::new(
            SYNTAX_ERROR,
            format!("there is no parameter {name}"),
        )),
    }
}

fn compile_operator(operator: &ast::BinaryOperator) -> Result<Operator, SqlError> {
    use ast::BinaryOperator;
    Ok(match operator {
        BinaryOperator::And => Operator::And,
        BinaryOperator::Or => Operator::Or,
        BinaryOperator::Eq => Operator::Equal,
        BinaryOperator::NotEq => Operator::NotEqual,
        BinaryOperator::Lt => Operator::Less,
        BinaryOperator::LtEq => Operator::LessOrEqual,
        BinaryOperator::Gt => Operator::Greater,
        BinaryOperator::GtEq => Operator::GreaterOrEqual,
        BinaryOperator::Plus => Operator::Add,
        BinaryOperator::Minus => Operator::Subtract,
        BinaryOperator::Multiply => Operator::Multiply,
        BinaryOperator::Divide => Operator::Divide,
        BinaryOperator::Modulo => Operator::Modulo,
        BinaryOperator::StringConcat => Operator::Concat,
        other => return Err(SqlError::unsupported(format!("operator {other}"))),
    })
}

/// Compiles the arguments of a function call. Returns `None` for `*`, as in `count(*)`.
pub(super) fn call_arguments(
    arguments: ast::FunctionArguments,
) -> Result<Option<Vec<Expr>>, SqlError> {
    let list = match arguments {
        ast::FunctionArguments::None => return Ok(Some(Vec::new())),
        ast::FunctionArguments::List(list) => list.args,
        ast::FunctionArguments::Subquery(_) => {
            return Err(SqlError::unsupported("a query as argument"));
        }
    };
    let mut compiled = Vec::new();
    for argument in list {
        match argument {
            ast::FunctionArg::Unnamed(ast::FunctionArgExpr::Expr(expr)) => {
                compiled.push(compile_expr(expr)?);
            }
            ast::FunctionArg::Unnamed(ast::FunctionArgExpr::Wildcard) => return Ok(None),
            other => return Err(SqlError::unsupported(other)),
        }
    }
    Ok(Some(compiled))
}

fn compile_call(function: ast::Function) -> Result<Expr, SqlError> {
    let name = object_name(&function.name)?;
    let Some(supported_function) = function_by_name(&name) else {
        return Err(SqlError::new(
            UNDEFINED_FUNCTION,
            format!("function {name} does not exist"),
        ));
    };
    let Some(arguments) = call_arguments(function.args)? else {
        return Err(SqlError::unsupported(format!("{name}(*)")));
    };
    Ok(Expr::Call {
        function: supported_function,
        arguments,
    })
}

fn function_by_name(name: &str) -> Option<Function> {
    Some(match name {
        "pg_sleep" => Function::Sleep,
        "pg_advisory_lock" => Function::AdvisoryLock,
        "pg_try_advisory_lock" => Function::TryAdvisoryLock,
        "pg_advisory_xact_lock" => Function::AdvisoryXactLock,
        "pg_advisory_unlock" => Function::AdvisoryUnlock,
        "pg_advisory_unlock_all" => Function::AdvisoryUnlockAll,
        "pg_backend_pid" => Function::BackendPid,
        "pg_cancel_backend" => Function::CancelBackend,
        "pg_terminate_backend" => Function::TerminateBackend,
        "pg_is_in_recovery" => Function::IsInRecovery,
        "current_setting" => Function::CurrentSetting,
        "set_config" => Function::SetConfig,
        "current_database" => Function::CurrentDatabase,
        "current_user" | "session_user" => Function::CurrentUser,
        "version" => Function::Version,
        "repeat" => Function::Repeat,
        "length" => Function::Length,
        "coalesce" => Function::Coalesce,
        _ => return None,
    })
}
