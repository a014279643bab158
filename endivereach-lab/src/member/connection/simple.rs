//! The simple query protocol.

use super::Connection;
use super::decode;
use super::statement_cache::CompiledStatements;
use crate::member::errors::SqlError;
use crate::member::session::StatementResult;
use crate::member::sql::plan::Plan;
use crate::member::storage::value::Value;
use endivereach_wire::pg::frame::Frame;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::simplequery::Query;
use std::io;

impl Connection {
    /// Handles a `Query` message.
    pub(super) fn handle_query(&mut self, frame: Frame) -> io::Result<()> {
        if let Err(error) = self.run_query(frame)? {
            self.writer.error("ERROR", &error);
        }
        // After an error there is nothing to commit, so this only ends the implicit transaction.
        if let Err(error) = self.end_implicit_transaction() {
            self.writer.error("ERROR", &error);
        }
        self.send_ready()
    }

    /// Runs the statements of a message. The outer error is an I/O error of the connection, the
    /// inner one the error of a statement.
    fn run_query(&mut self, frame: Frame) -> io::Result<Result<(), SqlError>> {
        let compiled = decode::<Query>(frame)
            .and_then(|message| self.statement_cache.compile_parameterized(&message.query));
        let CompiledStatements { plans, parameters } = match compiled {
            Ok(compiled) => compiled,
            Err(error) => {
                self.session.fail_statement();
                return Ok(Err(error));
            }
        };
        if plans.is_empty() {
            self.writer.push(&EmptyQueryResponse::new());
        }
        for (index, plan) in plans.iter().enumerate() {
            let is_last = index + 1 == plans.len();
            if let Err(error) = self.run_statement(plan, &parameters, is_last)? {
                return Ok(Err(error));
            }
        }
        Ok(Ok(()))
    }

    fn run_statement(
        &mut self,
        plan: &Plan,
        parameters: &[Value],
        is_last: bool,
    ) -> io::Result<Result<(), SqlError>> {
        let statement_result = match self.run(plan, parameters) {
            Ok(statement_result) => statement_result,
            Err(error) => return Ok(Err(error)),
        };
        self.send_rows(&statement_result)?;
        if is_last && let Err(error) = self.end_implicit_transaction() {
            return Ok(Err(error));
        }
        self.report_commit_position(statement_result.commit_position);
        self.writer.command_complete(statement_result.outcome.tag);
        Ok(Ok(()))
    }

    fn send_rows(&mut self, statement_result: &StatementResult) -> io::Result<()> {
        self.report_read_position(statement_result.outcome.tag);
        let Some(result_set) = &statement_result.outcome.rows else {
            return Ok(());
        };
        self.writer.row_description(&result_set.columns, &[]);
        self.write_rows(result_set, &result_set.rows, &[])
    }
}
