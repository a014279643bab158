//! The extended query protocol: prepared statements and portals.
//!
//! The command tag of a statement outside a transaction is held back until the next message: when
//! that is a `Sync`, the statement is committed first, so that the position of its commit goes ahead
//! of its `CommandComplete`.

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
use crate::member::sql::execute::Outcome;
use crate::member::sql::execute::Tag;
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

/// A prepared statement; without a plan for an empty text.
#[derive(Debug)]
struct Prepared {
    plan: Option<Plan>,
    description: Description,
}

/// A statement with its parameters, and its answer once it ran.
struct Portal {
    statement: Arc<Prepared>,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    outcome: Option<Outcome>,
    /// How many rows were sent.
    sent: usize,
}

/// The state of the extended protocol on one connection.
#[derive(Default)]
pub(super) struct Extended {
    statements: HashMap<Box<str>, Arc<Prepared>>,
    portals: HashMap<Box<str>, Portal>,
    /// The tag of a statement whose `CommandComplete` is held back.
    held: Option<Tag>,
    /// Whether messages are skipped until the next `Sync`, after an error.
    skipping: bool,
}

impl Extended {
    /// Drops a prepared statement, or all of them.
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
    /// Answers one message of the extended protocol.
    pub(super) fn extended_message(&mut self, frame: Frame) -> io::Result<()> {
        if frame.tag == b'S' {
            return self.sync();
        }
        if self.extended.skipping {
            return Ok(());
        }
        self.complete_held();
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
            self.extended.skipping = true;
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.extended.skipping = false;
        let finished = self.end_implicit_transaction();
        let held = self.extended.held.take();
        match (finished, held) {
            (Ok(()), Some(tag)) => self.writer.command_complete(tag),
            (Ok(()), None) => {}
            (Err(error), _) => self.writer.error("ERROR", &error),
        }
        if self.session.state() == TransactionState::Idle {
            self.extended.portals.clear();
        }
        self.ready()
    }

    fn complete_held(&mut self) {
        if let Some(tag) = self.extended.held.take() {
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
        let plans = self.texts.compile(&message.query)?;
        if plans.len() > 1 {
            return Err(SqlError::new(
                SYNTAX_ERROR,
                "cannot insert multiple commands into a prepared statement",
            ));
        }
        let prepared = match plans.first() {
            None => Prepared {
                plan: None,
                description: Description::default(),
            },
            Some(plan) => {
                let schema = self.session.table_schema(plan)?;
                Prepared {
                    description: describe(plan, schema.as_deref(), &message.type_oids)?,
                    plan: Some(plan.clone()),
                }
            }
        };
        let statements = &mut self.extended.statements;
        statements.insert(name.into(), Arc::new(prepared));
        self.writer.put(&ParseComplete::new());
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
            sent: 0,
        };
        let name = message.portal_name.unwrap_or_default();
        self.extended.portals.insert(name.into(), portal);
        self.writer.put(&BindComplete::new());
        Ok(())
    }

    fn describe(&mut self, message: Describe) -> Result<(), SqlError> {
        let name = message.name.unwrap_or_default();
        let (statement, formats) = if message.target_type == b'S' {
            let statement = self.statement(&name)?;
            let types = &statement.description.parameters;
            let oids = types.iter().map(|column_type| column_type.oid()).collect();
            self.writer.put(&ParameterDescription::new(oids));
            (statement, Vec::new())
        } else {
            let portal = self.extended.portals.get(&*name);
            let portal = portal.ok_or_else(|| undefined_portal(&name))?;
            (portal.statement.clone(), portal.formats.clone())
        };
        match &statement.description.columns {
            Some(columns) => self.writer.row_description(columns, &formats),
            None => self.writer.put(&NoData::new()),
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
        self.writer.put(&CloseComplete::new());
    }

    /// Runs a portal or goes on with its rows. The outer error is the connection's.
    fn execute(&mut self, message: &Execute) -> io::Result<Result<(), SqlError>> {
        let name = message.name.as_deref().unwrap_or_default();
        let Some(mut portal) = self.extended.portals.remove(name) else {
            return Ok(Err(undefined_portal(name)));
        };
        if portal.outcome.is_none()
            && let Err(error) = self.start(&mut portal)
        {
            return Ok(Err(error));
        }
        self.continue_portal(&mut portal, message.max_rows)?;
        self.extended.portals.insert(name.into(), portal);
        Ok(Ok(()))
    }

    fn start(&mut self, portal: &mut Portal) -> Result<(), SqlError> {
        let statement = portal.statement.clone();
        let Some(plan) = &statement.plan else {
            return Ok(());
        };
        let done = self.run(plan, &portal.parameters)?;
        self.report_read(done.outcome.tag);
        self.report_commit(done.committed);
        portal.outcome = Some(done.outcome);
        Ok(())
    }

    fn continue_portal(&mut self, portal: &mut Portal, max_rows: i32) -> io::Result<()> {
        let Some(outcome) = &portal.outcome else {
            self.writer.put(&EmptyQueryResponse::new());
            return Ok(());
        };
        if let Some(set) = &outcome.rows {
            let left = set.rows.len() - portal.sent;
            let count = match usize::try_from(max_rows) {
                Ok(max @ 1..) => left.min(max),
                _ => left,
            };
            let rows = &set.rows[portal.sent..portal.sent + count];
            self.write_rows(set, rows, &portal.formats)?;
            portal.sent += count;
            if count < left {
                self.writer.put(&PortalSuspended::new());
                return Ok(());
            }
        }
        if self.session.state() == TransactionState::Idle {
            self.extended.held = Some(outcome.tag);
        } else {
            self.writer.command_complete(outcome.tag);
        }
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<Arc<Prepared>, SqlError> {
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
