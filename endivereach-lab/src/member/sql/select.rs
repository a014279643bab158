//! Reading rows.

use super::describe::output_columns;
use super::describe::series_schema;
use super::eval::Scope;
use super::eval::cast;
use super::eval::compare;
use super::execute::Outcome;
use super::execute::ResultSet;
use super::execute::Tag;
use super::plan::Aggregate;
use super::plan::Expr;
use super::plan::Operator;
use super::plan::OrderKey;
use super::plan::Output;
use super::plan::Select;
use super::plan::Series;
use super::plan::Source;
use crate::member::errors::SqlError;
use crate::member::session::Session;
use crate::member::storage::table::Row;
use crate::member::storage::table::Table;
use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use std::cmp::Ordering;
use std::sync::Arc;

/// After how many rows a scan looks whether the statement was stopped.
const CHECK_ROWS: usize = 4096;

/// A row with its key.
#[derive(Clone, Debug)]
pub(super) struct KeyedRow {
    pub(super) key: Value,
    pub(super) row: Row,
}

impl Session {
    /// Runs a `SELECT`.
    pub(super) fn select(
        &mut self,
        select: &Select,
        parameters: &[Value],
    ) -> Result<Outcome, SqlError> {
        let rows = match &select.source {
            Source::Nothing => {
                let scope = Scope::without_row(parameters);
                let mut rows: Vec<Row> = Vec::new();
                if self.passes(select.filter.as_ref(), scope)? {
                    rows.push(Arc::new([]));
                }
                self.finish(select, &series_schema(""), rows, parameters)?
            }
            Source::Series(series) => {
                let schema = series_schema(&series.column);
                let rows = self.series(series, select.filter.as_ref(), &schema, parameters)?;
                self.finish(select, &schema, rows, parameters)?
            }
            Source::Table(name) => {
                let rows = self.read_table(name, select, parameters)?;
                let schema = rows.schema;
                self.finish(select, &schema, rows.rows, parameters)?
            }
        };
        Ok(Outcome {
            tag: Tag {
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
        let mut found = self.matching(&view.table, filter, parameters)?;
        if select.for_update && !view.temporary {
            self.begin_write()?;
            for row in &found {
                self.lock_row(&view.table.schema, &row.key, &row.row)?;
            }
            view = self.table(name)?;
            found = self.still_matching(&view.table, filter, found, parameters)?;
        }
        Ok(TableRows {
            schema: view.table.schema,
            rows: found.into_iter().map(|row| row.row).collect(),
        })
    }

    /// Returns the rows that pass `filter`, by an index where the filter allows.
    pub(super) fn matching(
        &mut self,
        table: &Table,
        filter: Option<&Expr>,
        parameters: &[Value],
    ) -> Result<Vec<KeyedRow>, SqlError> {
        let scope = Scope {
            schema: Some(&table.schema),
            row: &[],
            parameters,
        };
        let mut found = Vec::new();
        if let Some(keys) = self.candidate_keys(table, filter, parameters)? {
            for key in keys {
                let Some(row) = table.get(&key) else { continue };
                if self.passes(filter, scope.with_row(row))? {
                    let row = row.clone();
                    found.push(KeyedRow { key, row });
                }
            }
            return Ok(found);
        }
        for (index, (key, row)) in table.iter().enumerate() {
            if index % CHECK_ROWS == 0 {
                self.wait_limits().check()?;
            }
            if self.passes(filter, scope.with_row(row))? {
                let (key, row) = (key.clone(), row.clone());
                found.push(KeyedRow { key, row });
            }
        }
        Ok(found)
    }

    /// Returns those of `rows` that are there and pass `filter` in a newer view, as they are there.
    pub(super) fn still_matching(
        &mut self,
        table: &Table,
        filter: Option<&Expr>,
        rows: Vec<KeyedRow>,
        parameters: &[Value],
    ) -> Result<Vec<KeyedRow>, SqlError> {
        let scope = Scope {
            schema: Some(&table.schema),
            row: &[],
            parameters,
        };
        let mut found = Vec::with_capacity(rows.len());
        for KeyedRow { key, .. } in rows {
            let Some(row) = table.get(&key).cloned() else {
                continue;
            };
            if self.passes(filter, scope.with_row(&row))? {
                found.push(KeyedRow { key, row });
            }
        }
        Ok(found)
    }

    /// Returns the only keys that can pass `filter`, or `None` when it takes a scan to tell.
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
                    self.keys_of(table, name, std::slice::from_ref(value), parameters)
                }
                _ => Ok(None),
            },
            Some(Expr::InList { expr, list }) => match &**expr {
                Expr::Column(name) => self.keys_of(table, name, list, parameters),
                _ => Ok(None),
            },
            _ => Ok(None),
        }
    }

    /// Returns the keys of the rows whose unique column `name` holds one of `values`.
    fn keys_of(
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
            let value = self.eval(value, Scope::without_row(parameters))?;
            let value = cast(&value, wide(column.column_type))?;
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

    fn series(
        &mut self,
        series: &Series,
        filter: Option<&Expr>,
        schema: &TableSchema,
        parameters: &[Value],
    ) -> Result<Vec<Row>, SqlError> {
        let scope = Scope::without_row(parameters);
        let start = self.eval(&series.start, scope)?;
        let end = self.eval(&series.end, scope)?;
        let (Value::Int(start), Value::Int(end)) = (
            cast(&start, ColumnType::Int8)?,
            cast(&end, ColumnType::Int8)?,
        ) else {
            return Ok(Vec::new());
        };
        let scope = Scope {
            schema: Some(schema),
            row: &[],
            parameters,
        };
        let mut rows = Vec::new();
        for number in start..=end {
            if rows.len() % CHECK_ROWS == 0 {
                self.wait_limits().check()?;
            }
            let row: Row = Arc::new([Value::Int(number)]);
            if self.passes(filter, scope.with_row(&row))? {
                rows.push(row);
            }
        }
        Ok(rows)
    }

    /// Orders, cuts and projects the rows that passed the filter.
    fn finish(
        &mut self,
        select: &Select,
        schema: &TableSchema,
        mut rows: Vec<Row>,
        parameters: &[Value],
    ) -> Result<ResultSet, SqlError> {
        let columns = output_columns(&select.outputs, &schema.columns)?;
        let scope = Scope {
            schema: Some(schema),
            row: &[],
            parameters,
        };
        let is_aggregate = |output: &Output| matches!(output, Output::Aggregate { .. });
        if select.outputs.iter().any(is_aggregate) {
            let row = self.aggregate(&select.outputs, &rows, scope)?;
            let rows = vec![row];
            return Ok(ResultSet { columns, rows });
        }
        if !select.order_by.is_empty() {
            rows = self.sort(&select.order_by, &select.outputs, rows, scope)?;
        }
        if let Some(offset) = self.bound(select.offset.as_ref(), parameters)? {
            rows.drain(..offset.min(rows.len()));
        }
        if let Some(limit) = self.bound(select.limit.as_ref(), parameters)? {
            rows.truncate(limit);
        }
        if let [Output::Wildcard] = select.outputs[..] {
            return Ok(ResultSet { columns, rows });
        }
        let mut projected = Vec::with_capacity(rows.len());
        for row in &rows {
            projected.push(self.project(&select.outputs, scope.with_row(row))?);
        }
        Ok(ResultSet {
            columns,
            rows: projected,
        })
    }

    fn bound(
        &mut self,
        expr: Option<&Expr>,
        parameters: &[Value],
    ) -> Result<Option<usize>, SqlError> {
        let Some(expr) = expr else {
            return Ok(None);
        };
        let value = self.eval(expr, Scope::without_row(parameters))?;
        match cast(&value, ColumnType::Int8)? {
            Value::Int(number) => Ok(Some(usize::try_from(number).unwrap_or(0))),
            _ => Ok(None),
        }
    }

    fn sort(
        &mut self,
        order_by: &[OrderKey],
        outputs: &[Output],
        rows: Vec<Row>,
        scope: Scope<'_>,
    ) -> Result<Vec<Row>, SqlError> {
        let mut keyed = Vec::with_capacity(rows.len());
        for row in rows {
            let mut keys = Vec::with_capacity(order_by.len());
            for key in order_by {
                let expr = resolve_order(&key.expr, outputs);
                keys.push(self.eval(expr, scope.with_row(&row))?);
            }
            keyed.push((keys, row));
        }
        keyed.sort_by(|(left, _), (right, _)| compare_keys(order_by, left, right));
        Ok(keyed.into_iter().map(|(_, row)| row).collect())
    }

    fn aggregate(
        &mut self,
        outputs: &[Output],
        rows: &[Row],
        scope: Scope<'_>,
    ) -> Result<Row, SqlError> {
        let mut values = Vec::with_capacity(outputs.len());
        for output in outputs {
            let Output::Aggregate { function, expr, .. } = output else {
                return Err(SqlError::unsupported("a column beside an aggregate"));
            };
            let mut state = Value::Null;
            let mut count = 0;
            for row in rows {
                let value = match expr {
                    Some(expr) => self.eval(expr, scope.with_row(row))?,
                    None => Value::Bool(true),
                };
                if value.is_null() {
                    continue;
                }
                count += 1;
                state = fold(*function, state, value)?;
            }
            values.push(if *function == Aggregate::Count {
                Value::Int(count)
            } else {
                state
            });
        }
        Ok(values.into())
    }
}

struct TableRows {
    schema: Arc<TableSchema>,
    rows: Vec<Row>,
}

/// Returns the type in which a value is compared: a number out of a column's range isn't found, but
/// is no error either.
fn wide(column_type: ColumnType) -> ColumnType {
    match column_type {
        ColumnType::Int4 => ColumnType::Int8,
        other => other,
    }
}

/// Returns the output that an order's key names, or the key itself.
fn resolve_order<'a>(key: &'a Expr, outputs: &'a [Output]) -> &'a Expr {
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

/// Compares two rows' keys; nulls come last in ascending order.
fn compare_keys(order_by: &[OrderKey], left: &[Value], right: &[Value]) -> Ordering {
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

fn fold(function: Aggregate, state: Value, value: Value) -> Result<Value, SqlError> {
    if state.is_null() {
        return Ok(value);
    }
    Ok(match function {
        Aggregate::Count => state,
        Aggregate::Max if compare(&value, &state)? == Ordering::Greater => value,
        Aggregate::Min if compare(&value, &state)? == Ordering::Less => value,
        Aggregate::Max | Aggregate::Min => state,
        Aggregate::Sum => match (&state, &value) {
            (Value::Int(state), Value::Int(value)) => Value::Int(state.saturating_add(*value)),
            _ => return Err(SqlError::unsupported("the sum of texts")),
        },
    })
}
