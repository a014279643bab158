//! Compilation of SQL text into plans.

use super::compile_expr::compile_expr;
use super::compile_expr::identifier;
use super::compile_expr::object_name;
use super::compile_select::compile_outputs;
use super::compile_select::compile_query;
use super::plan::Assignment;
use super::plan::Delete;
use super::plan::Discard;
use super::plan::Expr;
use super::plan::Insert;
use super::plan::InsertSource;
use super::plan::Output;
use super::plan::Plan;
use super::plan::Update;
use crate::member::errors::SYNTAX_ERROR;
use crate::member::errors::SqlError;
use crate::member::storage::table::Column;
use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;
use sqlparser::ast;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::sync::Arc;

/// Compiles all statements in `sql`.
///
/// # Errors
///
/// Returns an error with [`SYNTAX_ERROR`] when `sql` can't be parsed, and an error when a statement
/// uses a feature that the stand-in doesn't implement.
///
/// # Examples
///
/// ```
/// use endivereach_lab::member::sql::compile::compile;
/// assert_eq!(compile("BEGIN; SELECT 1; COMMIT").unwrap().len(), 3);
/// assert_eq!(compile("SELEC 1").unwrap_err().sqlstate, "42601");
/// ```
pub fn compile(sql: &str) -> Result<Vec<Plan>, SqlError> {
    if let Some(plan) = compile_reset(sql) {
        return Ok(vec![plan]);
    }
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, sql)
        .map_err(|error| SqlError::new(SYNTAX_ERROR, error.to_string()))?;
    statements.into_iter().map(compile_statement).collect()
}

/// Compiles a `RESET` statement, which the parser doesn't support. Returns `None` for other
/// statements.
fn compile_reset(sql: &str) -> Option<Plan> {
    let words = sql.trim().trim_end_matches(';');
    let (first, name) = words.split_once(char::is_whitespace)?;
    if !first.eq_ignore_ascii_case("reset") {
        return None;
    }
    let name = name.trim().to_ascii_lowercase();
    if name == "all" {
        return Some(Plan::ResetAll);
    }
    Some(Plan::Set {
        name: name.into(),
        value: None,
        local: false,
    })
}

fn compile_statement(statement: ast::Statement) -> Result<Plan, SqlError> {
    use ast::Statement;
    match statement {
        Statement::Query(query) => compile_query(*query).map(Plan::Select),
        Statement::Insert(insert) => compile_insert(insert),
        Statement::Update {
            table,
            assignments,
            selection,
            returning,
            from: None,
            ..
        } => compile_update(&table, assignments, selection, returning),
        Statement::Delete(delete) => compile_delete(delete),
        Statement::StartTransaction { modes, .. } => Ok(Plan::Begin {
            read_only: modes.contains(&ast::TransactionMode::AccessMode(
                ast::TransactionAccessMode::ReadOnly,
            )),
        }),
        Statement::Commit { .. } => Ok(Plan::Commit),
        Statement::Rollback {
            savepoint: None, ..
        } => Ok(Plan::Rollback),
        Statement::Set(set) => compile_set(set),
        Statement::ShowVariable { variable } => Ok(Plan::Show {
            name: show_name(&variable),
        }),
        Statement::Discard { object_type } => Ok(Plan::Discard(match object_type {
            ast::DiscardObject::ALL => Discard::All,
            ast::DiscardObject::TEMP => Discard::Temp,
            _ => Discard::Nothing,
        })),
        Statement::Deallocate { name, .. } => {
            let name = identifier(&name);
            let is_all = name.eq_ignore_ascii_case("all");
            Ok(Plan::Deallocate {
                name: (!is_all).then_some(name),
            })
        }
        Statement::CreateTable(create) => compile_create_table(create),
        Statement::Drop {
            object_type: ast::ObjectType::Table,
            if_exists,
            names,
            ..
        } if names.len() == 1 => Ok(Plan::DropTable {
            table: object_name(&names[0])?,
            if_exists,
        }),
        other => Err(SqlError::unsupported(statement_prefix(&other))),
    }
}

fn statement_prefix(statement: &ast::Statement) -> String {
    const PREFIX_WORDS: usize = 3;
    let text = statement.to_string();
    text.split_whitespace()
        .take(PREFIX_WORDS)
        .collect::<Vec<_>>()
        .join(" ")
}

fn show_name(variable: &[ast::Ident]) -> Box<str> {
    let parts: Vec<_> = variable.iter().map(|part| part.value.as_str()).collect();
    match parts[..] {
        ["TRANSACTION", "ISOLATION", "LEVEL"] | ["transaction", "isolation", "level"] => {
            "transaction_isolation".into()
        }
        _ => parts.join(".").to_ascii_lowercase().into(),
    }
}

fn compile_set(set: ast::Set) -> Result<Plan, SqlError> {
    use ast::ContextModifier;
    match set {
        ast::Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let parts: Vec<_> = variable
                .0
                .iter()
                .filter_map(|part| part.as_ident())
                .map(|part| part.value.to_ascii_lowercase())
                .collect();
            Ok(Plan::Set {
                name: parts.join(".").into(),
                value: set_value(&values),
                local: scope == Some(ContextModifier::Local),
            })
        }
        ast::Set::SetTimeZone { local, value } => Ok(Plan::Set {
            name: "timezone".into(),
            value: set_value(&[value]),
            local,
        }),
        ast::Set::SetNames { charset_name, .. } => Ok(Plan::Set {
            name: "client_encoding".into(),
            value: Some(charset_name.value.into()),
            local: false,
        }),
        ast::Set::SetTransaction { modes, .. } => {
            let read_only = ast::TransactionMode::AccessMode(ast::TransactionAccessMode::ReadOnly);
            Ok(Plan::Set {
                name: "transaction_read_only".into(),
                value: Some(
                    if modes.contains(&read_only) {
                        "on"
                    } else {
                        "off"
                    }
                    .into(),
                ),
                local: true,
            })
        }
        other => Err(SqlError::unsupported(other)),
    }
}

/// Returns the values of a `SET` statement as one text, or `None` for `DEFAULT`.
fn set_value(values: &[ast::Expr]) -> Option<Box<str>> {
    let texts: Vec<_> = values
        .iter()
        .map(|value| match value {
            ast::Expr::Value(value) => match &value.value {
                ast::Value::SingleQuotedString(text) => text.clone(),
                other => other.to_string(),
            },
            ast::Expr::Identifier(identifier) => identifier.value.clone(),
            other => other.to_string(),
        })
        .collect();
    let text = texts.join(", ");
    (!text.eq_ignore_ascii_case("default")).then(|| text.into())
}

fn compile_create_table(create: ast::CreateTable) -> Result<Plan, SqlError> {
    let mut columns = Vec::new();
    let mut primary_key = None;
    for (index, column) in create.columns.iter().enumerate() {
        let mut compiled = Column {
            name: identifier(&column.name),
            column_type: column_type(&column.data_type)?,
            unique: false,
            not_null: false,
        };
        for option in &column.options {
            match &option.option {
                ast::ColumnOption::Unique { is_primary, .. } => {
                    compiled.unique = true;
                    if *is_primary {
                        compiled.not_null = true;
                        primary_key = Some(index);
                    }
                }
                ast::ColumnOption::NotNull => compiled.not_null = true,
                ast::ColumnOption::Null => {}
                other => return Err(SqlError::unsupported(other)),
            }
        }
        columns.push(compiled);
    }
    for constraint in &create.constraints {
        apply_constraint(constraint, &mut columns, &mut primary_key)?;
    }
    Ok(Plan::CreateTable {
        schema: Arc::new(TableSchema {
            name: object_name(&create.name)?,
            columns,
            primary_key,
        }),
        if_not_exists: create.if_not_exists,
        temporary: create.temporary,
    })
}

/// Applies a table constraint to the column that it names.
fn apply_constraint(
    constraint: &ast::TableConstraint,
    columns: &mut [Column],
    primary_key: &mut Option<usize>,
) -> Result<(), SqlError> {
    let (indexed, is_primary) = match constraint {
        ast::TableConstraint::PrimaryKey { columns, .. } => (columns, true),
        ast::TableConstraint::Unique { columns, .. } => (columns, false),
        other => return Err(SqlError::unsupported(other)),
    };
    let [key_column] = &indexed[..] else {
        return Err(SqlError::unsupported("a key of several columns"));
    };
    let name = key_column.column.expr.to_string();
    let Some(index) = columns.iter().position(|column| *column.name == *name) else {
        return Err(SqlError::new(
            crate::member::errors::UNDEFINED_COLUMN,
            format!("column \"{name}\" named in key does not exist"),
        ));
    };
    columns[index].unique = true;
    if is_primary {
        columns[index].not_null = true;
        *primary_key = Some(index);
    }
    Ok(())
}

/// Returns the column type for a declared SQL type. Integers smaller than 32 bits become
/// [`ColumnType::Int4`].
pub(super) fn column_type(data_type: &ast::DataType) -> Result<ColumnType, SqlError> {
    use ast::DataType;
    Ok(match data_type {
        DataType::Int(_) | DataType::Integer(_) | DataType::Int4(_) | DataType::SmallInt(_) => {
            ColumnType::Int4
        }
        DataType::BigInt(_) | DataType::Int8(_) => ColumnType::Int8,
        DataType::Bool | DataType::Boolean => ColumnType::Bool,
        DataType::Text | DataType::Varchar(_) | DataType::CharacterVarying(_) => ColumnType::Text,
        other => return Err(SqlError::unsupported(format!("type {other}"))),
    })
}

fn compile_insert(insert: ast::Insert) -> Result<Plan, SqlError> {
    let ast::TableObject::TableName(table) = &insert.table else {
        return Err(SqlError::unsupported("INSERT into a function"));
    };
    let Some(query) = insert.source else {
        return Err(SqlError::unsupported("INSERT without VALUES"));
    };
    let source = match *query.body {
        ast::SetExpr::Values(values) => InsertSource::Values(compile_rows(values.rows)?),
        _ => InsertSource::Select(Box::new(compile_query(*query)?)),
    };
    let skip_conflicts = match insert.on {
        None => false,
        Some(ast::OnInsert::OnConflict(ast::OnConflict {
            action: ast::OnConflictAction::DoNothing,
            ..
        })) => true,
        Some(_) => return Err(SqlError::unsupported("ON CONFLICT other than DO NOTHING")),
    };
    Ok(Plan::Insert(Insert {
        table: object_name(table)?,
        columns: insert.columns.iter().map(identifier).collect(),
        source,
        skip_conflicts,
        returning: compile_returning(insert.returning)?,
    }))
}

fn compile_rows(rows: Vec<Vec<ast::Expr>>) -> Result<Vec<Vec<Expr>>, SqlError> {
    rows.into_iter()
        .map(|row| row.into_iter().map(compile_expr).collect())
        .collect()
}

fn compile_returning(items: Option<Vec<ast::SelectItem>>) -> Result<Vec<Output>, SqlError> {
    items.map_or(Ok(Vec::new()), compile_outputs)
}

fn compile_update(
    table: &ast::TableWithJoins,
    assignments: Vec<ast::Assignment>,
    selection: Option<ast::Expr>,
    returning: Option<Vec<ast::SelectItem>>,
) -> Result<Plan, SqlError> {
    let assignments = assignments
        .into_iter()
        .map(|assignment| match &assignment.target {
            ast::AssignmentTarget::ColumnName(name) => Ok(Assignment {
                column: object_name(name)?,
                value: compile_expr(assignment.value)?,
            }),
            ast::AssignmentTarget::Tuple(_) => Err(SqlError::unsupported("a tuple assignment")),
        })
        .collect::<Result<_, _>>()?;
    Ok(Plan::Update(Update {
        table: table_name(table)?,
        assignments,
        filter: selection.map(compile_expr).transpose()?,
        returning: compile_returning(returning)?,
    }))
}

fn compile_delete(delete: ast::Delete) -> Result<Plan, SqlError> {
    let (ast::FromTable::WithFromKeyword(from) | ast::FromTable::WithoutKeyword(from)) =
        &delete.from;
    let [table] = &from[..] else {
        return Err(SqlError::unsupported("DELETE from several tables"));
    };
    Ok(Plan::Delete(Delete {
        table: table_name(table)?,
        filter: delete.selection.map(compile_expr).transpose()?,
        returning: compile_returning(delete.returning)?,
    }))
}

/// Returns the table name of a `FROM` item, which must be a plain table without joins.
pub(super) fn table_name(table: &ast::TableWithJoins) -> Result<Box<str>, SqlError> {
    match &table.relation {
        ast::TableFactor::Table {
            name, args: None, ..
        } if table.joins.is_empty() => object_name(name),
        _ => Err(SqlError::unsupported(table)),
    }
}
