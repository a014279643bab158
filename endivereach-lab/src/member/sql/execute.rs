//! Running one plan within a session.

use super::describe::output_columns;
use super::eval::Scope;
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

/// What a statement gave.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The command tag.
    pub tag: Tag,
    /// The rows, if the statement returns rows.
    pub rows: Option<ResultSet>,
}

/// A command tag.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tag {
    /// The command's name.
    pub command: &'static str,
    /// How many rows it concerned, for commands that tell.
    pub rows: Option<u64>,
}

/// The rows of an answer.
#[derive(Clone, Debug)]
pub struct ResultSet {
    /// The columns.
    pub columns: Vec<OutputColumn>,
    /// The rows.
    pub rows: Vec<Row>,
}

impl Outcome {
    /// Builds the outcome of a command that gives no rows.
    pub(in crate::member) fn done(command: &'static str) -> Self {
        Self {
            tag: Tag {
                command,
                rows: None,
            },
            rows: None,
        }
    }

    /// Builds the outcome of a command that concerned `count` rows.
    pub(super) fn counted(command: &'static str, count: usize) -> Self {
        Self {
            tag: Tag {
                command,
                rows: Some(count as u64),
            },
            rows: None,
        }
    }
}

/// A table as one statement sees it.
#[derive(Clone, Debug)]
pub(in crate::member) struct TableView {
    pub(in crate::member) table: Table,
    /// Whether only this session sees the table.
    pub(super) temporary: bool,
}

impl Session {
    /// Runs one plan. Transaction control is the session's own affair and doesn't come here.
    ///
    /// # Errors
    ///
    /// Returns the statement's error.
    pub(in crate::member) fn execute(
        &mut self,
        plan: &Plan,
        parameters: &[Value],
    ) -> Result<Outcome, SqlError> {
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
                Ok(Outcome::done(if value.is_some() { "SET" } else { "RESET" }))
            }
            Plan::ResetAll => {
                self.reset_settings();
                Ok(Outcome::done("RESET"))
            }
            Plan::Show { name } => self.show(name),
            Plan::Discard(what) => Ok(self.discard(*what)),
            Plan::Begin { .. } | Plan::Commit | Plan::Rollback | Plan::Deallocate { .. } => {
                Err(SqlError::unsupported("this statement in this place"))
            }
        }
    }

    fn show(&mut self, name: &str) -> Result<Outcome, SqlError> {
        let Some(value) = self.settings().get(name) else {
            return Err(SqlError::new(
                UNDEFINED_SETTING,
                format!("unrecognized configuration parameter \"{name}\""),
            ));
        };
        Ok(Outcome {
            tag: Tag {
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

    fn discard(&mut self, what: Discard) -> Outcome {
        match what {
            Discard::All => {
                self.discard_all();
                Outcome::done("DISCARD ALL")
            }
            Discard::Temp => {
                self.discard_temporary_tables();
                Outcome::done("DISCARD TEMP")
            }
            Discard::Nothing => Outcome::done("DISCARD"),
        }
    }

    fn create_table(
        &mut self,
        schema: &Arc<TableSchema>,
        if_not_exists: bool,
        temporary: bool,
    ) -> Result<Outcome, SqlError> {
        self.begin_write()?;
        let done = Outcome::done("CREATE TABLE");
        let change = Change::CreateTable {
            schema: schema.clone(),
        };
        let exists = if temporary {
            self.temporary_tables().get(&schema.name).is_some()
        } else {
            self.lock_table(&schema.name)?;
            let snapshot = self.snapshot();
            snapshot.tables.get(&schema.name).is_some()
        };
        match (exists, if_not_exists) {
            (true, true) => return Ok(done),
            (true, false) => {
                return Err(SqlError::new(
                    DUPLICATE_TABLE,
                    format!("relation \"{}\" already exists", schema.name),
                ));
            }
            (false, _) => {}
        }
        self.write(temporary, change);
        Ok(done)
    }

    fn drop_table(&mut self, name: &str, if_exists: bool) -> Result<Outcome, SqlError> {
        self.begin_write()?;
        let view = match self.table(name) {
            Ok(view) => view,
            Err(_) if if_exists => return Ok(Outcome::done("DROP TABLE")),
            Err(error) => return Err(error),
        };
        if !view.temporary {
            self.lock_table(name)?;
        }
        let change = Change::DropTable { table: name.into() };
        self.write(view.temporary, change);
        Ok(Outcome::done("DROP TABLE"))
    }

    /// Returns a table as a statement that begins now sees it.
    pub(in crate::member) fn table(&mut self, name: &str) -> Result<TableView, SqlError> {
        let snapshot = self.snapshot();
        self.table_in(&snapshot, name)
    }

    /// Returns a table as of `snapshot`.
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

    /// Forms the rows that `RETURNING` gives, or none without it.
    pub(super) fn returning(
        &mut self,
        outputs: &[Output],
        schema: &TableSchema,
        rows: &[Row],
        parameters: &[Value],
    ) -> Result<Option<ResultSet>, SqlError> {
        if outputs.is_empty() {
            return Ok(None);
        }
        let scope = Scope {
            schema: Some(schema),
            row: &[],
            parameters,
        };
        let mut returned = Vec::with_capacity(rows.len());
        for row in rows {
            returned.push(self.project(outputs, scope.with_row(row))?);
        }
        Ok(Some(ResultSet {
            columns: output_columns(outputs, &schema.columns)?,
            rows: returned,
        }))
    }

    /// Forms one returned row.
    pub(super) fn project(
        &mut self,
        outputs: &[Output],
        scope: Scope<'_>,
    ) -> Result<Row, SqlError> {
        let mut values = Vec::with_capacity(outputs.len());
        for output in outputs {
            match output {
                Output::Wildcard => values.extend_from_slice(scope.row),
                Output::Value { expr, .. } => values.push(self.eval(expr, scope)?),
                Output::Aggregate { .. } => {
                    return Err(SqlError::unsupported("an aggregate in this place"));
                }
            }
        }
        Ok(values.into())
    }
}
