//! Execution of `INSERT`, `UPDATE` and `DELETE`.
//!
//! A write locks the unique values of its rows both before and after the change, and reads the data
//! again after it has acquired the locks. A conflicting insert therefore waits until the other
//! transaction ends, and then sees whether that transaction committed the row.

use super::eval::EvalContext;
use super::eval::cast;
use super::execute::StatementOutput;
use super::execute::TableView;
use super::plan::Delete;
use super::plan::Insert;
use super::plan::InsertSource;
use super::plan::Update;
use super::select::KeyedRow;
use crate::member::concurrency::locks::LockKey;
use crate::member::concurrency::locks::LockScope;
use crate::member::errors::NOT_NULL_VIOLATION;
use crate::member::errors::SYNTAX_ERROR;
use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_COLUMN;
use crate::member::errors::UNIQUE_VIOLATION;
use crate::member::session::Session;
use crate::member::storage::table::Change;
use crate::member::storage::table::Row;
use crate::member::storage::table::Table;
use crate::member::storage::table::TableSchema;
use crate::member::storage::value::Value;

impl Session {
    /// Executes an `INSERT`.
    pub(super) fn insert(
        &mut self,
        insert: &Insert,
        parameters: &[Value],
    ) -> Result<StatementOutput, SqlError> {
        self.begin_write()?;
        let view = self.table(&insert.table)?;
        let columns = target_columns(&view.table.schema, &insert.columns)?;
        let mut inserted = Vec::new();
        for values in self.insert_values(&insert.source, parameters)? {
            let row = build_row(&view.table.schema, &columns, values)?;
            if self.insert_row(&insert.table, row.clone(), insert.skip_conflicts)? {
                inserted.push(row);
            }
        }
        let schema = &view.table.schema;
        let rows = self.eval_returning(&insert.returning, schema, &inserted, parameters)?;
        Ok(StatementOutput {
            rows,
            ..StatementOutput::with_row_count("INSERT", inserted.len())
        })
    }

    fn insert_values(
        &mut self,
        source: &InsertSource,
        parameters: &[Value],
    ) -> Result<Vec<Vec<Value>>, SqlError> {
        match source {
            InsertSource::Values(rows) => {
                let mut evaluated_rows = Vec::with_capacity(rows.len());
                for row in rows {
                    let mut values = Vec::with_capacity(row.len());
                    for expr in row {
                        values.push(self.eval(expr, EvalContext::without_row(parameters))?);
                    }
                    evaluated_rows.push(values);
                }
                Ok(evaluated_rows)
            }
            InsertSource::Select(select) => {
                let rows = self.select(select, parameters)?.rows;
                let rows = rows.map_or(Vec::new(), |result_set| result_set.rows);
                Ok(rows.iter().map(|row| row.to_vec()).collect())
            }
        }
    }

    /// Inserts one row. On a conflict with a unique value, returns `false` if `skip_if_conflicting`
    /// is set, and an error otherwise.
    fn insert_row(
        &mut self,
        name: &str,
        row: Row,
        skip_if_conflicting: bool,
    ) -> Result<bool, SqlError> {
        let view = self.table(name)?;
        let key = match view.table.schema.primary_key {
            Some(index) => row[index].clone(),
            None => self.next_hidden_key(),
        };
        if !view.temporary {
            self.lock_row(&view.table.schema, &key, &row)?;
        }
        let view = self.table(name)?;
        if let Some(column) = conflicting_column(&view.table, &row, None) {
            if skip_if_conflicting {
                return Ok(false);
            }
            return Err(unique_violation(&view.table.schema, column, &row));
        }
        self.put(&view, key, row);
        Ok(true)
    }

    /// Executes an `UPDATE`.
    pub(super) fn update(
        &mut self,
        update: &Update,
        parameters: &[Value],
    ) -> Result<StatementOutput, SqlError> {
        self.begin_write()?;
        let view = self.table(&update.table)?;
        let rows_found = self.matching_rows(&view.table, update.filter.as_ref(), parameters)?;
        let view = self.lock_rows(view, &update.table, &rows_found)?;
        let rows_found =
            self.recheck_rows(&view.table, update.filter.as_ref(), rows_found, parameters)?;
        let mut changed = Vec::with_capacity(rows_found.len());
        for previous in rows_found {
            changed.push(self.update_row(update, &view, previous, parameters)?);
        }
        let schema = &view.table.schema;
        let rows = self.eval_returning(&update.returning, schema, &changed, parameters)?;
        Ok(StatementOutput {
            rows,
            ..StatementOutput::with_row_count("UPDATE", changed.len())
        })
    }

    fn update_row(
        &mut self,
        update: &Update,
        view: &TableView,
        previous: KeyedRow,
        parameters: &[Value],
    ) -> Result<Row, SqlError> {
        let schema = view.table.schema.clone();
        let context = EvalContext {
            schema: Some(&schema),
            row: &previous.row,
            parameters,
        };
        let mut values = previous.row.to_vec();
        for assignment in &update.assignments {
            let index = find_column(&schema, &assignment.column)?;
            let value = self.eval(&assignment.value, context)?;
            values[index] = cast(&value, schema.columns[index].column_type)?;
        }
        check_not_null(&schema, &values)?;
        let row: Row = values.into();
        let key = schema
            .primary_key
            .map_or(previous.key.clone(), |index| row[index].clone());
        if !view.temporary {
            self.lock_row(&schema, &key, &row)?;
        }
        let view = self.table(&update.table)?;
        if let Some(column) = conflicting_column(&view.table, &row, Some(&previous.key)) {
            return Err(unique_violation(&schema, column, &row));
        }
        if key != previous.key {
            self.remove(&view, previous.key);
        }
        self.put(&view, key, row.clone());
        Ok(row)
    }

    /// Executes a `DELETE`.
    pub(super) fn delete(
        &mut self,
        delete: &Delete,
        parameters: &[Value],
    ) -> Result<StatementOutput, SqlError> {
        self.begin_write()?;
        let view = self.table(&delete.table)?;
        let rows_found = self.matching_rows(&view.table, delete.filter.as_ref(), parameters)?;
        let view = self.lock_rows(view, &delete.table, &rows_found)?;
        let rows_found =
            self.recheck_rows(&view.table, delete.filter.as_ref(), rows_found, parameters)?;
        let deleted: Vec<Row> = rows_found.iter().map(|row| row.row.clone()).collect();
        for row in rows_found {
            self.remove(&view, row.key);
        }
        let schema = &view.table.schema;
        let rows = self.eval_returning(&delete.returning, schema, &deleted, parameters)?;
        Ok(StatementOutput {
            rows,
            ..StatementOutput::with_row_count("DELETE", deleted.len())
        })
    }

    /// Locks rows, and returns the table as it is after all locks are acquired.
    fn lock_rows(
        &mut self,
        view: TableView,
        name: &str,
        rows: &[KeyedRow],
    ) -> Result<TableView, SqlError> {
        if view.temporary {
            return Ok(view);
        }
        for row in rows {
            self.lock_row(&view.table.schema, &row.key, &row.row)?;
        }
        self.table(name)
    }

    /// Locks a row by its hidden key, if it has one, and by each of its unique values.
    pub(super) fn lock_row(
        &mut self,
        schema: &TableSchema,
        key: &Value,
        row: &Row,
    ) -> Result<(), SqlError> {
        if schema.primary_key.is_none() {
            let (table, key) = (schema.name.clone(), key.clone());
            self.lock(LockKey::Hidden { table, key }, LockScope::Transaction)?;
        }
        let unique = schema
            .primary_key
            .into_iter()
            .chain(schema.unique_columns());
        for column in unique {
            if row[column].is_null() {
                continue;
            }
            let lock = LockKey::Unique {
                table: schema.name.clone(),
                column,
                value: row[column].clone(),
            };
            self.lock(lock, LockScope::Transaction)?;
        }
        Ok(())
    }

    /// Locks the name of a table that is created or dropped.
    pub(super) fn lock_table_name(&mut self, name: &str) -> Result<(), SqlError> {
        self.lock(LockKey::Table(name.into()), LockScope::Transaction)
    }

    fn put(&mut self, view: &TableView, key: Value, row: Row) {
        let table = view.table.schema.name.clone();
        self.write(view.temporary, Change::Put { table, key, row });
    }

    fn remove(&mut self, view: &TableView, key: Value) {
        let table = view.table.schema.name.clone();
        self.write(view.temporary, Change::Delete { table, key });
    }
}

fn find_column(schema: &TableSchema, name: &str) -> Result<usize, SqlError> {
    schema.column_index(name).ok_or_else(|| {
        SqlError::new(
            UNDEFINED_COLUMN,
            format!(
                "column \"{name}\" of relation \"{}\" does not exist",
                schema.name
            ),
        )
    })
}

fn target_columns(schema: &TableSchema, names: &[Box<str>]) -> Result<Vec<usize>, SqlError> {
    if names.is_empty() {
        return Ok((0..schema.columns.len()).collect());
    }
    names.iter().map(|name| find_column(schema, name)).collect()
}

fn build_row(schema: &TableSchema, columns: &[usize], values: Vec<Value>) -> Result<Row, SqlError> {
    if values.len() > columns.len() {
        return Err(SqlError::new(
            SYNTAX_ERROR,
            "INSERT has more expressions than target columns",
        ));
    }
    let mut row = vec![Value::Null; schema.columns.len()];
    for (column, value) in columns.iter().zip(values) {
        row[*column] = cast(&value, schema.columns[*column].column_type)?;
    }
    check_not_null(schema, &row)?;
    Ok(row.into())
}

fn check_not_null(schema: &TableSchema, values: &[Value]) -> Result<(), SqlError> {
    for (column, value) in schema.columns.iter().zip(values) {
        if column.not_null && value.is_null() {
            return Err(SqlError::new(
                NOT_NULL_VIOLATION,
                format!(
                    "null value in column \"{}\" of relation \"{}\" violates not-null constraint",
                    column.name, schema.name
                ),
            ));
        }
    }
    Ok(())
}

/// Returns a unique column in which a row with a key other than `own_key` has the same value as
/// `row`.
fn conflicting_column(table: &Table, row: &Row, own_key: Option<&Value>) -> Option<usize> {
    if let Some(column) = table.schema.primary_key
        && own_key != Some(&row[column])
        && table.get(&row[column]).is_some()
    {
        return Some(column);
    }
    table.schema.unique_columns().find(|column| {
        let holder = table.find_unique(*column, &row[*column]);
        holder.is_some() && holder != own_key
    })
}

fn unique_violation(schema: &TableSchema, column: usize, row: &Row) -> SqlError {
    let name = &schema.columns[column].name;
    let constraint = if schema.primary_key == Some(column) {
        format!("{}_pkey", schema.name)
    } else {
        format!("{}_{name}_key", schema.name)
    };
    SqlError::new(
        UNIQUE_VIOLATION,
        format!(
            "duplicate key value violates unique constraint \"{constraint}\" (key {name} = {})",
            row[column]
        ),
    )
}
