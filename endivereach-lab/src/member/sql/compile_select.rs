//! Compilation of parsed queries into [`Select`].

use super::compile::table_name;
use super::compile_expr::call_arguments;
use super::compile_expr::compile_expr;
use super::compile_expr::identifier;
use super::compile_expr::object_name;
use super::plan::Aggregate;
use super::plan::Output;
use super::plan::Select;
use super::plan::SelectSource;
use super::plan::Series;
use super::plan::SortKey;
use crate::member::errors::SqlError;
use sqlparser::ast;

/// The name that PostgreSQL gives to a result column without a name of its own.
const UNNAMED_COLUMN: &str = "?column?";

/// Compiles a parsed query.
pub(super) fn compile_query(query: ast::Query) -> Result<Select, SqlError> {
    if query.with.is_some() {
        return Err(SqlError::unsupported("WITH"));
    }
    let ast::SetExpr::Select(select) = *query.body else {
        return Err(SqlError::unsupported("a query other than SELECT"));
    };
    let has_group_by = match &select.group_by {
        ast::GroupByExpr::All(_) => true,
        ast::GroupByExpr::Expressions(list, _) => !list.is_empty(),
    };
    if has_group_by || select.distinct.is_some() || select.having.is_some() {
        return Err(SqlError::unsupported("GROUP BY, HAVING or DISTINCT"));
    }
    let mut compiled = Select {
        outputs: compile_outputs(select.projection)?,
        source: compile_source(&select.from)?,
        filter: select.selection.map(compile_expr).transpose()?,
        order_by: compile_sort_keys(query.order_by)?,
        limit: None,
        offset: None,
        for_update: !query.locks.is_empty(),
    };
    match query.limit_clause {
        None => {}
        Some(ast::LimitClause::LimitOffset { limit, offset, .. }) => {
            compiled.limit = limit.map(compile_expr).transpose()?;
            compiled.offset = offset.map(|it| compile_expr(it.value)).transpose()?;
        }
        Some(other) => return Err(SqlError::unsupported(other)),
    }
    Ok(compiled)
}

fn compile_source(from: &[ast::TableWithJoins]) -> Result<SelectSource, SqlError> {
    match from {
        [] => Ok(SelectSource::SingleRow),
        [from_item] => match compile_series(&from_item.relation)? {
            Some(series) => Ok(SelectSource::Series(series)),
            None => table_name(from_item).map(SelectSource::Table),
        },
        _ => Err(SqlError::unsupported("several tables in FROM")),
    }
}

/// Compiles `generate_series(start, end) [AS alias]`. Returns `None` for a plain table.
fn compile_series(relation: &ast::TableFactor) -> Result<Option<Series>, SqlError> {
    let ast::TableFactor::Table {
        name,
        alias,
        args: Some(arguments),
        ..
    } = relation
    else {
        return Ok(None);
    };
    if &*object_name(name)? != "generate_series" {
        return Err(SqlError::unsupported(name));
    }
    let list = ast::FunctionArguments::List(ast::FunctionArgumentList {
        duplicate_treatment: None,
        args: arguments.args.clone(),
        clauses: Vec::new(),
    });
    let arguments = call_arguments(list)?.unwrap_or_default();
    let Ok([start, end]) = <[_; 2]>::try_from(arguments) else {
        return Err(SqlError::unsupported("generate_series with a step"));
    };
    let column = alias.as_ref().map_or("generate_series".into(), |alias| {
        let column = alias.columns.first().map(|column| &column.name);
        identifier(column.unwrap_or(&alias.name))
    });
    Ok(Some(Series { start, end, column }))
}

fn compile_sort_keys(order_by: Option<ast::OrderBy>) -> Result<Vec<SortKey>, SqlError> {
    let Some(order_by) = order_by else {
        return Ok(Vec::new());
    };
    let ast::OrderByKind::Expressions(keys) = order_by.kind else {
        return Err(SqlError::unsupported("ORDER BY ALL"));
    };
    let compile = |key: ast::OrderByExpr| {
        Ok(SortKey {
            descending: key.options.asc == Some(false),
            expr: compile_expr(key.expr)?,
        })
    };
    keys.into_iter().map(compile).collect()
}

/// Compiles the items of a `SELECT` list or `RETURNING` clause.
pub(super) fn compile_outputs(items: Vec<ast::SelectItem>) -> Result<Vec<Output>, SqlError> {
    items.into_iter().map(compile_output).collect()
}

fn compile_output(item: ast::SelectItem) -> Result<Output, SqlError> {
    match item {
        ast::SelectItem::Wildcard(_) | ast::SelectItem::QualifiedWildcard(..) => {
            Ok(Output::Wildcard)
        }
        ast::SelectItem::UnnamedExpr(expr) => {
            let name = default_column_name(&expr);
            compile_named_output(expr, name)
        }
        ast::SelectItem::ExprWithAlias { expr, alias } => {
            compile_named_output(expr, identifier(&alias))
        }
    }
}

fn default_column_name(expr: &ast::Expr) -> Box<str> {
    match expr {
        ast::Expr::Identifier(name) => identifier(name),
        ast::Expr::CompoundIdentifier(parts) => {
            parts.last().map_or(UNNAMED_COLUMN.into(), identifier)
        }
        ast::Expr::Function(function) => {
            object_name(&function.name).unwrap_or_else(|_| UNNAMED_COLUMN.into())
        }
        ast::Expr::Cast { expr, .. } => default_column_name(expr),
        _ => UNNAMED_COLUMN.into(),
    }
}

fn compile_named_output(expr: ast::Expr, name: Box<str>) -> Result<Output, SqlError> {
    let ast::Expr::Function(function) = expr else {
        let expr = compile_expr(expr)?;
        return Ok(Output::Value { expr, name });
    };
    let aggregate = match &*object_name(&function.name)? {
        "count" => Aggregate::Count,
        "max" => Aggregate::Max,
        "min" => Aggregate::Min,
        "sum" => Aggregate::Sum,
        _ => {
            let expr = compile_expr(ast::Expr::Function(function))?;
            return Ok(Output::Value { expr, name });
        }
    };
    let arguments = call_arguments(function.args)?;
    Ok(Output::Aggregate {
        function: aggregate,
        expr: arguments.and_then(|list| list.into_iter().next()),
        name,
    })
}
