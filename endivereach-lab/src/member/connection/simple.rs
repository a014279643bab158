//! The simple query protocol.

use super::Connection;
use super::decode;
use super::texts::Compiled;
use crate::member::errors::SqlError;
use crate::member::session::StatementResult;
use crate::member::sql::plan::Plan;
use crate::member::storage::value::Value;
use endivereach_wire::pg::frame::Frame;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::simplequery::Query;
use std::io;

impl Connection {
    /// Answers one `Query` message.
    pub(super) fn query(&mut self, frame: Frame) -> io::Result<()> {
        if let Err(error) = self.run_query(frame)? {
            self.writer.error("ERROR", &error);
        }
        // After an error nothing is left to commit, so this only ends the transaction.
        if let Err(error) = self.end_implicit_transaction() {
            self.writer.error("ERROR", &error);
        }
        self.ready()
    }

    /// Runs the statements of a message. The outer error is the connection's, the inner one the
    /// statement's.
    fn run_query(&mut self, frame: Frame) -> io::Result<Result<(), SqlError>> {
        let compiled =
            decode::<Query>(frame).and_then(|message| self.texts.compile_shape(&message.query));
        let Compiled { plans, parameters } = match compiled {
            Ok(compiled) => compiled,
            Err(error) => {
                self.session.fail_statement();
                return Ok(Err(error));
            }
        };
        if plans.is_empty() {
            self.writer.put(&EmptyQueryResponse::new());
        }
        for (index, plan) in plans.iter().enumerate() {
            let is_last = index + 1 == plans.len();
            if let Err(error) = self.run_one(plan, &parameters, is_last)? {
                return Ok(Err(error));
            }
        }
        Ok(Ok(()))
    }

    fn run_one(
        &mut self,
        plan: &Plan,
        parameters: &[Value],
        is_last: bool,
    ) -> io::Result<Result<(), SqlError>> {
        let done = match self.run(plan, parameters) {
            Ok(done) => done,
            Err(error) => return Ok(Err(error)),
        };
        self.answer_rows(&done)?;
        if is_last && let Err(error) = self.end_implicit_transaction() {
            return Ok(Err(error));
        }
        self.report_commit(done.committed);
        self.writer.command_complete(done.outcome.tag);
        Ok(Ok(()))
    }

    fn answer_rows(&mut self, done: &StatementResult) -> io::Result<()> {
        self.report_read(done.outcome.tag);
        let Some(set) = &done.outcome.rows else {
            return Ok(());
        };
        self.writer.row_description(&set.columns, &[]);
        self.write_rows(set, &set.rows, &[])
    }
}
