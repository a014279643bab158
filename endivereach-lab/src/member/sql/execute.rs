//! Execution of plans within a session.

use super::describe::output_columns;
use super::eval::EvalContext;
use super::plan::Discard;
use super::plan::Output;
use super::plan::OutputColumn;
use super::plan::Plan;
use crate::member::errors::DUPLICATE_TABLE;
use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_SETTING;
use crate::member::errors::UNDEFINED_TABLE;
use crate::member::session::Session;
use crate::member::storage::table::Change;
use crate::member::storage::table::Row;
use crate::member::storage::table::Snapshot;
use crate::member::storage::table::Table;
use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use std::sync::Arc;

/// The command tag and rows that a statement produced.
#[derive(Clone, Debug, Default)]
pub struct StatementOutput {
    /// The command tag to report to the client.
    pub tag: CommandTag,
    /// The result set, if the statement returns rows.
    pub rows: Option<ResultSet>,
}

/// A command tag, as reported in `CommandComplete`.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandTag {
    /// The name of the command.
    pub command: &'static str,
    /// The number of affected or returned rows, for commands whose tag includes it.
    pub rows: Option<u64>,
}

/// The rows that a statement returns.
#[derive(Clone, Debug)]
pub struct ResultSet {
    /// The names and types of the columns.
    pub columns: Vec<OutputColumn>,
    /// The rows in the order in which they are returned.
    pub rows: Vec<Row>,
}

impl StatementOutput {
    /// Creates the outcome of a command without a row count and a result set.
    pub(in crate::member) fn without_rows(command: &'static str) -> Self {
        Self {
            tag: CommandTag {
                command,
                rows: None,
            },
            rows: None,
        }
    }

    /// Creates the outcome of a command that affected `count` rows, without a result set.
    pub(super) fn with_row_count(command: &'static str, count: usize) -> Self {
        Self {
            tag: CommandTag {
                command,
                rows: Some(count as u64),
            },
            rows: None,
        }
    }
}

/// A table as seen by one statement.
#[derive(Clone, Debug)]
pub(in crate::member) struct TableView {
    pub(in crate::member) table: Table,
    /// Whether the table is temporary, and thus visible only to this session.
    pub(super) temporary: bool,
}

impl Session {
    /// Executes one plan. Transaction control is handled by [`Session::run`] and doesn't reach this
    /// method.
    ///
    /// # Errors
    ///
    /// Returns the error of the statement.
    pub(in crate::member) fn execute(
        &mut self,
        plan: &Plan,
        parameters: &[Value],
    ) -> Result<StatementOutput, SqlError> {
        match plan {
            Plan::Select(select) => self.select(select, parameters),
            Plan::Insert(insert) => self.insert(insert, parameters),
            Plan::Update(update) => self.update(update, parameters),
            Plan::Delete(delete) => self.delete(delete, parameters),
            Plan::CreateTable {
                schema,
                if_not_exists,
                temporary,
            } => self.create_table(schema, *if_not_exists, *temporary),
            Plan::DropTable { table, if_exists } => self.drop_table(table, *if_exists),
            Plan::Set { name, value, local } => {
                self.set(name, value.as_deref(), *local)?;
                Ok(StatementOutput::without_rows(if value.is_some() {
                    "SET"
                } else {
                    "RESET"
                }))
            }
            Plan::ResetAll => {
                self.reset_settings();
                Ok(StatementOutput::without_rows("RESET"))
            }
            Plan::Show { name } => self.show(name),
            Plan::Discard(target) => Ok(self.discard(*target)),
            Plan::Begin { .. } | Plan::Commit | Plan::Rollback | Plan::Deallocate { .. } => {
                Err(SqlError::unsupported("this statement in this place"))
            }
        }
    }

    fn show(&mut self, name: &str) -> Result<StatementOutput, SqlError> {
        let Some(value) = self.settings().get(name) else {
            return Err(SqlError::new(
                UNDEFINED_SETTING,
                format!("unrecognized configuration parameter \"{name}\""),
            ));
        };
        Ok(StatementOutput {
            tag: CommandTag {
                command: "SHOW",
                rows: None,
            },
            rows: Some(ResultSet {
                rows: vec![[Value::from(value)].into()],
                columns: vec![OutputColumn {
                    name: name.into(),
                    column_type: ColumnType::Text,
                }],
            }),
        })
    }

    fn discard(&mut self, target: Discard) -> StatementOutput {
        match target {
            Discard::All => {
                self.discard_all();
                StatementOutput::without_rows("DISCARD ALL")
            }
            Discard::Temp => {
                self.discard_temporary_tables();
                StatementOutput::without_rows("DISCARD TEMP")
            }
            Discard::Nothing => StatementOutput::without_rows("DISCARD"),
        }
    }

    fn create_table(
        &mut self,
        schema: &Arc<TableSchema>,
        if_not_exists: bool,
        temporary: bool,
    ) -> Result<StatementOutput, SqlError> {
        self.begin_write()?;
        let outcome = StatementOutput::without_rows("CREATE TABLE");
        let change = Change::CreateTable {
            schema: schema.clone(),
        };
        let exists = if temporary {
            self.temporary_tables().get(&schema.name).is_some()
        } else {
            self.lock_table_name(&schema.name)?;
            let snapshot = self.snapshot();
            snapshot.tables.get(&schema.name).is_some()
        };
        match (exists, if_not_exists) {
            (true, true) => return Ok(outcome),
            (true, false) => {
                return Err(SqlError::new(
                    DUPLICATE_TABLE,
                    format!("relation \"{}\" already exists", schema.name),
                ));
            }
            (false, _) => {}
        }
        self.write(temporary, change);
        Ok(outcome)
    }

    fn drop_table(&mut self, name: &str, if_exists: bool) -> Result<StatementOutput, SqlError> {
        self.begin_write()?;
        let view = match self.table(name) {
            Ok(view) => view,
            Err(_) if if_exists => return Ok(StatementOutput::without_rows("DROP TABLE")),
            Err(error) => return Err(error),
        };
        if !view.temporary {
            self.lock_table_name(name)?;
        }
        let change = Change::DropTable { table: name.into() };
        self.write(view.temporary, change);
        Ok(StatementOutput::without_rows("DROP TABLE"))
    }

    /// Returns a table as seen by a statement that begins now.
    pub(in crate::member) fn table(&mut self, name: &str) -> Result<TableView, SqlError> {
        let snapshot = self.snapshot();
        self.table_in(&snapshot, name)
    }

    /// Returns a table as of `snapshot`, or the temporary table of that name.
    pub(super) fn table_in(&self, snapshot: &Snapshot, name: &str) -> Result<TableView, SqlError> {
        let temporary = self.temporary_tables().get(name);
        let found = temporary.or_else(|| snapshot.tables.get(name));
        let Some(table) = found else {
            return Err(SqlError::new(
                UNDEFINED_TABLE,
                format!("relation \"{name}\" does not exist"),
            ));
        };
        Ok(TableView {
            table: table.clone(),
            temporary: temporary.is_some(),
        })
    }

    /// Evaluates a `RETURNING` clause over `rows`. Returns `None` if there is no such clause.
    pub(super) fn eval_returning(
        &mut self,
        outputs: &[Output],
        schema: &TableSchema,
        rows: &[Row],
        parameters: &[Value],
    ) -> Result<Option<ResultSet>, SqlError> {
        if outputs.is_empty() {
            return Ok(None);
        }
        let context = EvalContext {
            schema: Some(schema),
            row: &[],
            parameters,
        };
        let mut returned = Vec::with_capacity(rows.len());
        for row in rows {
            returned.push(self.project(outputs, context.with_row(row))?);
        }
        Ok(Some(ResultSet {
            columns: output_columns(outputs, &schema.columns)?,
            rows: returned,
        }))
    }

    /// Evaluates the output expressions for one row.
    pub(super) fn project(
        &mut self,
        outputs: &[Output],
        context: EvalContext<'_>,
    ) -> Result<Row, SqlError> {
        let mut values = Vec::with_capacity(outputs.len());
        for output in outputs {
            match output {
                Output::Wildcard => values.extend_from_slice(context.row),
                Output::Value { expr, .. } => values.push(self.eval(expr, context)?),
                Output::Aggregate { .. } => {
                    return Err(SqlError::unsupported("an aggregate in this place"));
                }
            }
        }
        Ok(values.into())
    }
}
