//! Execution of `SELECT`, and the row lookup that it shares with `UPDATE` and `DELETE`.

use super::describe::output_columns;
use super::describe::series_schema;
use super::eval::EvalContext;
use super::eval::cast;
use super::eval::compare;
use super::execute::CommandTag;
use super::execute::ResultSet;
use super::execute::StatementOutput;
use super::plan::Aggregate;
use super::plan::Expr;
use super::plan::Operator;
use super::plan::Output;
use super::plan::Select;
use super::plan::SelectSource;
use super::plan::Series;
use super::plan::SortKey;
use crate::member::errors::SqlError;
use crate::member::session::Session;
use crate::member::storage::table::Row;
use crate::member::storage::table::Table;
use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use std::cmp::Ordering;
use std::sync::Arc;

/// The number of rows that a scan reads between two checks for cancellation and timeouts.
const INTERRUPT_CHECK_ROWS: usize = 4096;

/// A row with its primary key or hidden key.
#[derive(Clone, Debug)]
pub(super) struct KeyedRow {
    pub(super) key: Value,
    pub(super) row: Row,
}

impl Session {
    /// Executes a `SELECT`.
    pub(super) fn select(
        &mut self,
        select: &Select,
        parameters: &[Value],
    ) -> Result<StatementOutput, SqlError> {
        let rows = match &select.source {
            SelectSource::SingleRow => {
                let context = EvalContext::without_row(parameters);
                let mut rows: Vec<Row> = Vec::new();
                if self.passes_filter(select.filter.as_ref(), context)? {
                    rows.push(Arc::new([]));
                }
                self.build_result_set(select, &series_schema(""), rows, parameters)?
            }
            SelectSource::Series(series) => {
                let schema = series_schema(&series.column);
                let rows = self.series_rows(series, select.filter.as_ref(), &schema, parameters)?;
                self.build_result_set(select, &schema, rows, parameters)?
            }
            SelectSource::Table(name) => {
                let rows = self.read_table(name, select, parameters)?;
                let schema = rows.schema;
                self.build_result_set(select, &schema, rows.rows, parameters)?
            }
        };
        Ok(StatementOutput {
            tag: CommandTag {
                command: "SELECT",
                rows: Some(rows.rows.len() as u64),
            },
            rows: Some(rows),
        })
    }

    fn read_table(
        &mut self,
        name: &str,
        select: &Select,
        parameters: &[Value],
    ) -> Result<TableRows, SqlError> {
        let mut view = self.table(name)?;
        let filter = select.filter.as_ref();
        let mut found = self.matching_rows(&view.table, filter, parameters)?;
        if select.for_update && !view.temporary {
            self.begin_write()?;
            for row in &found {
                self.lock_row(&view.table.schema, &row.key, &row.row)?;
            }
            view = self.table(name)?;
            found = self.recheck_rows(&view.table, filter, found, parameters)?;
        }
        Ok(TableRows {
            schema: view.table.schema,
            rows: found.into_iter().map(|row| row.row).collect(),
        })
    }

    /// Returns the rows that pass `filter`. Uses an index where possible, and scans the table
    /// otherwise.
    pub(super) fn matching_rows(
        &mut self,
        table: &Table,
        filter: Option<&Expr>,
        parameters: &[Value],
    ) -> Result<Vec<KeyedRow>, SqlError> {
        let context = EvalContext {
            schema: Some(&table.schema),
            row: &[],
            parameters,
        };
        let mut found = Vec::new();
        if let Some(keys) = self.candidate_keys(table, filter, parameters)? {
            for key in keys {
                let Some(row) = table.get(&key) else { continue };
                if self.passes_filter(filter, context.with_row(row))? {
                    let row = row.clone();
                    found.push(KeyedRow { key, row });
                }
            }
            return Ok(found);
        }
        for (index, (key, row)) in table.iter().enumerate() {
            if index % INTERRUPT_CHECK_ROWS == 0 {
                self.wait_limits().check()?;
            }
            if self.passes_filter(filter, context.with_row(row))? {
                let (key, row) = (key.clone(), row.clone());
                found.push(KeyedRow { key, row });
            }
        }
        Ok(found)
    }

    /// Looks up `rows` in `table`, a newer view of the table that they were read from. Returns the
    /// current values of those that still exist and pass `filter`.
    pub(super) fn recheck_rows(
        &mut self,
        table: &Table,
        filter: Option<&Expr>,
        rows: Vec<KeyedRow>,
        parameters: &[Value],
    ) -> Result<Vec<KeyedRow>, SqlError> {
        let context = EvalContext {
            schema: Some(&table.schema),
            row: &[],
            parameters,
        };
        let mut found = Vec::with_capacity(rows.len());
        for KeyedRow { key, .. } in rows {
            let Some(row) = table.get(&key).cloned() else {
                continue;
            };
            if self.passes_filter(filter, context.with_row(&row))? {
                found.push(KeyedRow { key, row });
            }
        }
        Ok(found)
    }

    /// Returns the keys of all rows that can pass `filter`, or `None` if a scan is needed. Rows
    /// with these keys may still fail the filter.
    fn candidate_keys(
        &mut self,
        table: &Table,
        filter: Option<&Expr>,
        parameters: &[Value],
    ) -> Result<Option<Vec<Value>>, SqlError> {
        match filter {
            Some(Expr::Binary {
                operator: Operator::And,
                left,
                right,
            }) => {
                let keys = self.candidate_keys(table, Some(left), parameters)?;
                match keys {
                    Some(keys) => Ok(Some(keys)),
                    None => self.candidate_keys(table, Some(right), parameters),
                }
            }
            Some(Expr::Binary {
                operator: Operator::Equal,
                left,
                right,
            }) => match (&**left, &**right) {
                (Expr::Column(name), value) | (value, Expr::Column(name)) => {
                    self.keys_by_unique_column(table, name, std::slice::from_ref(value), parameters)
                }
                _ => Ok(None),
            },
            Some(Expr::InList { expr, list }) => match &**expr {
                Expr::Column(name) => self.keys_by_unique_column(table, name, list, parameters),
                _ => Ok(None),
            },
            _ => Ok(None),
        }
    }

    /// Returns the keys of the rows whose column `name` equals one of `values`. Returns `None` if
    /// the column isn't unique or `values` aren't all constants.
    fn keys_by_unique_column(
        &mut self,
        table: &Table,
        name: &str,
        values: &[Expr],
        parameters: &[Value],
    ) -> Result<Option<Vec<Value>>, SqlError> {
        let Some(index) = table.schema.column_index(name) else {
            return Ok(None);
        };
        let column = &table.schema.columns[index];
        let is_constant = |value: &Expr| matches!(value, Expr::Literal(_) | Expr::Parameter(_));
        if !column.unique || !values.iter().all(is_constant) {
            return Ok(None);
        }
        let mut keys = Vec::with_capacity(values.len());
        for value in values {
            let value = self.eval(value, EvalContext::without_row(parameters))?;
            let value = cast(&value, lookup_type(column.column_type))?;
            if Some(index) == table.schema.primary_key {
                keys.push(value);
            } else if let Some(key) = table.find_unique(index, &value) {
                keys.push(key.clone());
            }
        }
        keys.sort();
        keys.dedup();
        Ok(Some(keys))
    }

    fn series_rows(
        &mut self,
        series: &Series,
        filter: Option<&Expr>,
        schema: &TableSchema,
        parameters: &[Value],
    ) -> Result<Vec<Row>, SqlError> {
        let context = EvalContext::without_row(parameters);
        let start = self.eval(&series.start, context)?;
        let end = self.eval(&series.end, context)?;
        let (Value::Int(start), Value::Int(end)) = (
            cast(&start, ColumnType::Int8)?,
            cast(&end, ColumnType::Int8)?,
        ) else {
            return Ok(Vec::new());
        };
        let context = EvalContext {
            schema: Some(schema),
            row: &[],
            parameters,
        };
        let mut rows = Vec::new();
        for number in start..=end {
            if rows.len() % INTERRUPT_CHECK_ROWS == 0 {
                self.wait_limits().check()?;
            }
            let row: Row = Arc::new([Value::Int(number)]);
            if self.passes_filter(filter, context.with_row(&row))? {
                rows.push(row);
            }
        }
        Ok(rows)
    }

    /// Applies aggregates or `ORDER BY`, `OFFSET`, `LIMIT` and the `SELECT` list to the filtered
    /// rows.
    fn build_result_set(
        &mut self,
        select: &Select,
        schema: &TableSchema,
        mut rows: Vec<Row>,
        parameters: &[Value],
    ) -> Result<ResultSet, SqlError> {
        let columns = output_columns(&select.outputs, &schema.columns)?;
        let context = EvalContext {
            schema: Some(schema),
            row: &[],
            parameters,
        };
        let is_aggregate = |output: &Output| matches!(output, Output::Aggregate { .. });
        if select.outputs.iter().any(is_aggregate) {
            let row = self.aggregate(&select.outputs, &rows, context)?;
            let rows = vec![row];
            return Ok(ResultSet { columns, rows });
        }
        if !select.order_by.is_empty() {
            rows = self.sort(&select.order_by, &select.outputs, rows, context)?;
        }
        if let Some(offset) = self.eval_row_count(select.offset.as_ref(), parameters)? {
            rows.drain(..offset.min(rows.len()));
        }
        if let Some(limit) = self.eval_row_count(select.limit.as_ref(), parameters)? {
            rows.truncate(limit);
        }
        if let [Output::Wildcard] = select.outputs[..] {
            return Ok(ResultSet { columns, rows });
        }
        let mut projected = Vec::with_capacity(rows.len());
        for row in &rows {
            projected.push(self.project(&select.outputs, context.with_row(row))?);
        }
        Ok(ResultSet {
            columns,
            rows: projected,
        })
    }

    fn eval_row_count(
        &mut self,
        expr: Option<&Expr>,
        parameters: &[Value],
    ) -> Result<Option<usize>, SqlError> {
        let Some(expr) = expr else {
            return Ok(None);
        };
        let value = self.eval(expr, EvalContext::without_row(parameters))?;
        match cast(&value, ColumnType::Int8)? {
            Value::Int(number) => Ok(Some(usize::try_from(number).unwrap_or(0))),
            _ => Ok(None),
        }
    }

    fn sort(
        &mut self,
        order_by: &[SortKey],
        outputs: &[Output],
        rows: Vec<Row>,
        context: EvalContext<'_>,
    ) -> Result<Vec<Row>, SqlError> {
        let mut keyed = Vec::with_capacity(rows.len());
        for row in rows {
            let mut keys = Vec::with_capacity(order_by.len());
            for key in order_by {
                let expr = resolve_sort_key(&key.expr, outputs);
                keys.push(self.eval(expr, context.with_row(&row))?);
            }
            keyed.push((keys, row));
        }
        keyed.sort_by(|(left, _), (right, _)| compare_sort_keys(order_by, left, right));
        Ok(keyed.into_iter().map(|(_, row)| row).collect())
    }

    fn aggregate(
        &mut self,
        outputs: &[Output],
        rows: &[Row],
        context: EvalContext<'_>,
    ) -> Result<Row, SqlError> {
        let mut values = Vec::with_capacity(outputs.len());
        for output in outputs {
            let Output::Aggregate { function, expr, .. } = output else {
                return Err(SqlError::unsupported("a column beside an aggregate"));
            };
            let mut accumulator = Value::Null;
            let mut count = 0;
            for row in rows {
                let value = match expr {
                    Some(expr) => self.eval(expr, context.with_row(row))?,
                    None => Value::Bool(true),
                };
                if value.is_null() {
                    continue;
                }
                count += 1;
                accumulator = accumulate(*function, accumulator, value)?;
            }
            values.push(if *function == Aggregate::Count {
                Value::Int(count)
            } else {
                accumulator
            });
        }
        Ok(values.into())
    }
}

struct TableRows {
    schema: Arc<TableSchema>,
    rows: Vec<Row>,
}

/// Returns the type to which a value is converted for a lookup in a column. Integers are converted
/// to 64 bits, so that a value out of the column's range matches no row instead of causing an
/// error.
fn lookup_type(column_type: ColumnType) -> ColumnType {
    match column_type {
        ColumnType::Int4 => ColumnType::Int8,
        other => other,
    }
}

/// Returns the output expression that a sort key refers to by name or position, or the key itself.
fn resolve_sort_key<'a>(key: &'a Expr, outputs: &'a [Output]) -> &'a Expr {
    let named = |wanted: &str| {
        outputs.iter().find_map(|output| match output {
            Output::Value { expr, name } if &**name == wanted => Some(expr),
            _ => None,
        })
    };
    match key {
        Expr::Column(name) => named(name).unwrap_or(key),
        Expr::Literal(Value::Int(number)) => {
            let index = usize::try_from(number - 1).unwrap_or(usize::MAX);
            match outputs.get(index) {
                Some(Output::Value { expr, .. }) => expr,
                _ => key,
            }
        }
        _ => key,
    }
}

/// Compares the sort keys of two rows. Nulls come last in ascending order.
fn compare_sort_keys(order_by: &[SortKey], left: &[Value], right: &[Value]) -> Ordering {
    for (index, key) in order_by.iter().enumerate() {
        let (left, right) = (&left[index], &right[index]);
        let ordering = match (left.is_null(), right.is_null()) {
            (true, true) => Ordering::Equal,
            (true, false) => Ordering::Greater,
            (false, true) => Ordering::Less,
            (false, false) => left.cmp(right),
        };
        let ordering = if key.descending {
            ordering.reverse()
        } else {
            ordering
        };
        if ordering != Ordering::Equal {
            return ordering;
        }
    }
    Ordering::Equal
}

fn accumulate(function: Aggregate, accumulator: Value, value: Value) -> Result<Value, SqlError> {
    if accumulator.is_null() {
        return Ok(value);
    }
    Ok(match function {
        Aggregate::Count => accumulator,
        Aggregate::Max if compare(&value, &accumulator)? == Ordering::Greater => value,
        Aggregate::Min if compare(&value, &accumulator)? == Ordering::Less => value,
        Aggregate::Max | Aggregate::Min => accumulator,
        Aggregate::Sum => match (&accumulator, &value) {
            (Value::Int(accumulator), Value::Int(value)) => {
                Value::Int(accumulator.saturating_add(*value))
            }
            _ => return Err(SqlError::unsupported("the sum of texts")),
        },
    })
}
