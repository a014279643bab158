//! The extended query protocol: prepared statements and portals.
//!
//! The `CommandComplete` of a statement outside an explicit transaction is deferred until the next
//! message. If that message is a `Sync`, the implicit transaction is committed first, so that the
//! client receives the position of the commit before the `CommandComplete`.

use super::Connection;
use super::decode;
use super::parameters::decode_parameters;
use crate::member::errors::DUPLICATE_STATEMENT;
use crate::member::errors::SYNTAX_ERROR;
use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_PORTAL;
use crate::member::errors::UNDEFINED_STATEMENT;
use crate::member::session::TransactionState;
use crate::member::sql::describe::Description;
use crate::member::sql::describe::describe;
use crate::member::sql::execute::CommandTag;
use crate::member::sql::execute::StatementOutput;
use crate::member::sql::plan::Plan;
use crate::member::storage::value::Value;
use endivereach_wire::pg::frame::Frame;
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::extendedquery::PortalSuspended;
use pgwire::messages::response::EmptyQueryResponse;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;

/// A prepared statement. The plan is `None` for an empty text.
#[derive(Debug)]
struct PreparedStatement {
    plan: Option<Plan>,
    description: Description,
}

/// A prepared statement bound to parameters, and its outcome after it was executed.
struct Portal {
    statement: Arc<PreparedStatement>,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    outcome: Option<StatementOutput>,
    /// The number of rows already sent to the client.
    sent_rows: usize,
}

/// The state of the extended query protocol on one connection.
#[derive(Default)]
pub(super) struct ExtendedProtocol {
    statements: HashMap<Box<str>, Arc<PreparedStatement>>,
    portals: HashMap<Box<str>, Portal>,
    /// The tag of the deferred `CommandComplete`, if there is one.
    deferred_tag: Option<CommandTag>,
    /// Whether messages are ignored until the next `Sync`, because an earlier message failed.
    skipping_until_sync: bool,
}

impl ExtendedProtocol {
    /// Deallocates the prepared statement `name`, or all of them without a name.
    pub(super) fn deallocate(&mut self, name: Option<&str>) {
        match name {
            Some(name) => {
                self.statements.remove(name);
            }
            None => self.statements.clear(),
        }
    }
}

impl Connection {
    /// Handles one message of the extended query protocol.
    pub(super) fn handle_extended_message(&mut self, frame: Frame) -> io::Result<()> {
        if frame.tag == b'S' {
            return self.sync();
        }
        if self.extended.skipping_until_sync {
            return Ok(());
        }
        self.send_deferred_tag();
        let result = match frame.tag {
            b'P' => decode(frame).and_then(|message| self.parse(message)),
            b'B' => decode(frame).and_then(|message| self.bind(message)),
            b'D' => decode(frame).and_then(|message| self.describe(message)),
            b'C' => decode(frame).map(|message| self.close(&message)),
            b'E' => match decode(frame) {
                Ok(message) => self.execute(&message)?,
                Err(error) => Err(error),
            },
            _ => {
                self.writer.flush()?;
                Ok(())
            }
        };
        if let Err(error) = result {
            self.session.fail_statement();
            self.writer.error("ERROR", &error);
            self.extended.skipping_until_sync = true;
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.extended.skipping_until_sync = false;
        let finished = self.end_implicit_transaction();
        let deferred_tag = self.extended.deferred_tag.take();
        match (finished, deferred_tag) {
            (Ok(()), Some(tag)) => self.writer.command_complete(tag),
            (Ok(()), None) => {}
            (Err(error), _) => self.writer.error("ERROR", &error),
        }
        if self.session.state() == TransactionState::Idle {
            self.extended.portals.clear();
        }
        self.send_ready()
    }

    fn send_deferred_tag(&mut self) {
        if let Some(tag) = self.extended.deferred_tag.take() {
            self.writer.command_complete(tag);
        }
    }

    fn parse(&mut self, message: Parse) -> Result<(), SqlError> {
        let name = message.name.unwrap_or_default();
        if !name.is_empty() && self.extended.statements.contains_key(&*name) {
            return Err(SqlError::new(
                DUPLICATE_STATEMENT,
                format!("prepared statement \"{name}\" already exists"),
            ));
        }
        let plans = self.statement_cache.compile(&message.query)?;
        if plans.len() > 1 {
            return Err(SqlError::new(
                SYNTAX_ERROR,
                "cannot insert multiple commands into a prepared statement",
            ));
        }
        let prepared = match plans.first() {
            None => PreparedStatement {
                plan: None,
                description: Description::default(),
            },
            Some(plan) => {
                let schema = self.session.table_schema(plan)?;
                PreparedStatement {
                    description: describe(plan, schema.as_deref(), &message.type_oids)?,
                    plan: Some(plan.clone()),
                }
            }
        };
        let statements = &mut self.extended.statements;
        statements.insert(name.into(), Arc::new(prepared));
        self.writer.push(&ParseComplete::new());
        Ok(())
    }

    fn bind(&mut self, message: Bind) -> Result<(), SqlError> {
        let name = message.statement_name.unwrap_or_default();
        let statement = self.statement(&name)?;
        let parameters = decode_parameters(
            &message.parameters,
            &message.parameter_format_codes,
            &statement.description.parameters,
        )?;
        let portal = Portal {
            statement,
            parameters,
            formats: message.result_column_format_codes,
            outcome: None,
            sent_rows: 0,
        };
        let name = message.portal_name.unwrap_or_default();
        self.extended.portals.insert(name.into(), portal);
        self.writer.push(&BindComplete::new());
        Ok(())
    }

    fn describe(&mut self, message: Describe) -> Result<(), SqlError> {
        let name = message.name.unwrap_or_default();
        let (statement, formats) = if message.target_type == b'S' {
            let statement = self.statement(&name)?;
            let types = &statement.description.parameters;
            let oids = types.iter().map(|column_type| column_type.oid()).collect();
            self.writer.push(&ParameterDescription::new(oids));
            (statement, Vec::new())
        } else {
            let portal = self.extended.portals.get(&*name);
            let portal = portal.ok_or_else(|| undefined_portal(&name))?;
            (portal.statement.clone(), portal.formats.clone())
        };
        match &statement.description.columns {
            Some(columns) => self.writer.row_description(columns, &formats),
            None => self.writer.push(&NoData::new()),
        }
        Ok(())
    }

    fn close(&mut self, message: &Close) {
        let name = message.name.as_deref().unwrap_or_default();
        if message.target_type == b'S' {
            self.extended.statements.remove(name);
        } else {
            self.extended.portals.remove(name);
        }
        self.writer.push(&CloseComplete::new());
    }

    /// Executes a portal, or continues to send its rows. The outer error is an I/O error of the
    /// connection, the inner one the error of the statement.
    fn execute(&mut self, message: &Execute) -> io::Result<Result<(), SqlError>> {
        let name = message.name.as_deref().unwrap_or_default();
        let Some(mut portal) = self.extended.portals.remove(name) else {
            return Ok(Err(undefined_portal(name)));
        };
        if portal.outcome.is_none()
            && let Err(error) = self.run_portal(&mut portal)
        {
            return Ok(Err(error));
        }
        self.send_portal_rows(&mut portal, message.max_rows)?;
        self.extended.portals.insert(name.into(), portal);
        Ok(Ok(()))
    }

    fn run_portal(&mut self, portal: &mut Portal) -> Result<(), SqlError> {
        let statement = portal.statement.clone();
        let Some(plan) = &statement.plan else {
            return Ok(());
        };
        let statement_result = self.run(plan, &portal.parameters)?;
        self.report_read_position(statement_result.outcome.tag);
        self.report_commit_position(statement_result.commit_position);
        portal.outcome = Some(statement_result.outcome);
        Ok(())
    }

    fn send_portal_rows(&mut self, portal: &mut Portal, max_rows: i32) -> io::Result<()> {
        let Some(outcome) = &portal.outcome else {
            self.writer.push(&EmptyQueryResponse::new());
            return Ok(());
        };
        if let Some(result_set) = &outcome.rows {
            let remaining = result_set.rows.len() - portal.sent_rows;
            let count = match usize::try_from(max_rows) {
                Ok(max @ 1..) => remaining.min(max),
                _ => remaining,
            };
            let rows = &result_set.rows[portal.sent_rows..portal.sent_rows + count];
            self.write_rows(result_set, rows, &portal.formats)?;
            portal.sent_rows += count;
            if count < remaining {
                self.writer.push(&PortalSuspended::new());
                return Ok(());
            }
        }
        if self.session.state() == TransactionState::Idle {
            self.extended.deferred_tag = Some(outcome.tag);
        } else {
            self.writer.command_complete(outcome.tag);
        }
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<Arc<PreparedStatement>, SqlError> {
        let statement = self.extended.statements.get(name).cloned();
        statement.ok_or_else(|| {
            SqlError::new(
                UNDEFINED_STATEMENT,
                format!("prepared statement \"{name}\" does not exist"),
            )
        })
    }
}

fn undefined_portal(name: &str) -> SqlError {
    SqlError::new(
        UNDEFINED_PORTAL,
        format!("portal \"{name}\" does not exist"),
    )
}
