//! The analysis of one request's text.

use super::bounds::SQL_MAX_BYTES;
use super::bounds::depth_is_bounded;
use super::functions::DeclaredFunctions;
use super::unparsed::analyse_unparsed;
use super::visit::Found;
use super::visit::written_tables;
use crate::treatment::StatementKind;
use sqlparser::ast::CopyTarget;
use sqlparser::ast::Set;
use sqlparser::ast::Statement;
use sqlparser::ast::Visit;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::Tokenizer;
use std::collections::BTreeSet;

/// What the text of one request does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Analysis {
    /// What the statements do.
    pub kind: StatementKind,
    /// The tables that they name, in order.
    pub read_tables: Vec<Box<str>>,
    /// The tables that they change, in order; all that they name where that isn't known.
    pub written_tables: Vec<Box<str>>,
    /// Whether everything that they do is known. If not, the strictest treatment applies.
    pub understood: bool,
    /// Why they are refused or pinned, with the remedy; empty otherwise.
    pub reason: Box<str>,
}

impl Analysis {
    /// An analysis without tables.
    pub(crate) fn of_kind(kind: StatementKind) -> Self {
        Self {
            kind,
            read_tables: Vec::new(),
            written_tables: Vec::new(),
            understood: true,
            reason: "".into(),
        }
    }

    /// A write of which nothing is known.
    pub(crate) fn not_understood() -> Self {
        Self {
            understood: false,
            ..Self::of_kind(StatementKind::Write)
        }
    }

    /// A statement that is refused or pinned.
    pub(crate) fn with_reason(kind: StatementKind, reason: &str) -> Self {
        Self {
            understood: false,
            reason: reason.into(),
            ..Self::of_kind(kind)
        }
    }
}

/// Analyses the text of one request, which may hold several statements.
///
/// It never panics, and its use of the stack and of time is bounded by
/// [`SQL_MAX_BYTES`], [`NESTING_MAX`] and [`CHAIN_MAX`].
///
/// [`NESTING_MAX`]: super::NESTING_MAX
/// [`CHAIN_MAX`]: super::CHAIN_MAX
///
/// # Examples
///
/// ```
/// use endivereach_core::classify::analyse;
///
/// let analysis = analyse("SELECT b.id FROM bookings b JOIN berths USING (berth)");
/// assert_eq!(analysis.read_tables, vec!["berths".into(), "bookings".into()]);
/// ```
pub fn analyse(sql: &str) -> Analysis {
    analyse_with(sql, &DeclaredFunctions::default())
}

/// As [`analyse`], where calls of the declared functions have no side effect.
pub fn analyse_with(sql: &str, declared: &DeclaredFunctions) -> Analysis {
    if sql.len() > SQL_MAX_BYTES {
        return Analysis::not_understood();
    }
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, sql).tokenize() else {
        return analyse_unparsed(sql);
    };
    if !depth_is_bounded(&tokens) {
        return Analysis::not_understood();
    }
    let only_space = |token: &Token| matches!(token, Token::Whitespace(_) | Token::SemiColon);
    if tokens.iter().all(only_space) {
        return Analysis::of_kind(StatementKind::Read);
    }
    match Parser::new(&dialect).with_tokens(tokens).parse_statements() {
        Ok(statements) => {
            let analyse = |statement| analyse_statement(statement, declared);
            combine(statements.iter().map(analyse).collect())
        }
        Err(_) => analyse_unparsed(sql),
    }
}

const REFUSE_MIXED: &str = "transaction control and SET can't share one message with other \
                            statements behind this proxy; send each as a message of its own";

/// Combines the analyses of the statements of one message.
fn combine(mut analyses: Vec<Analysis>) -> Analysis {
    if analyses.len() == 1 {
        return analyses.remove(0);
    }
    let first_of = |kind| analyses.iter().find(|analysis| analysis.kind == kind);
    for kind in [StatementKind::Refused, StatementKind::Pins] {
        if let Some(found) = first_of(kind) {
            return found.clone();
        }
    }
    let plain =
        |analysis: &Analysis| matches!(analysis.kind, StatementKind::Read | StatementKind::Write);
    if !analyses.iter().all(plain) {
        return Analysis::with_reason(StatementKind::Refused, REFUSE_MIXED);
    }
    let reads = analyses
        .iter()
        .all(|analysis| analysis.kind == StatementKind::Read);
    let kind = if reads {
        StatementKind::Read
    } else {
        StatementKind::Write
    };
    Analysis {
        kind,
        read_tables: union(analyses.iter().map(|analysis| &analysis.read_tables)),
        written_tables: union(analyses.iter().map(|analysis| &analysis.written_tables)),
        understood: analyses.iter().all(|analysis| analysis.understood),
        reason: "".into(),
    }
}

fn union<'a>(lists: impl Iterator<Item = &'a Vec<Box<str>>>) -> Vec<Box<str>> {
    let all: BTreeSet<&Box<str>> = lists.flatten().collect();
    all.into_iter().cloned().collect()
}

const REFUSE_LISTEN: &str = "notifications don't reach a caller through a pooled proxy; poll a \
                             table, or connect to the primary directly for LISTEN";
const REFUSE_CHAIN: &str = "AND CHAIN isn't carried by this proxy; send COMMIT or ROLLBACK, then \
                            BEGIN";
const REFUSE_DISCARD: &str = "the proxy resets its connections itself; turn off the driver's \
                              reset on close (Npgsql: No Reset On Close=true)";
const REFUSE_COPY_FILE: &str = "COPY with a file or a program works on the server alone; use COPY \
                                TO STDOUT, or connect to the server directly";
const PINS_TEMPORARY: &str = "a temporary table lives on one connection, so the caller keeps it \
                              until it disconnects; use a plain table or a CTE to share \
                              connections";
const PINS_PREPARE: &str = "PREPARE lives on one connection, so the caller keeps it until it \
                            disconnects; use the driver's prepared statements instead";
const PINS_CURSOR: &str = "a cursor WITH HOLD lives on one connection, so the caller keeps it until \
                           it disconnects; read it inside one transaction instead";
const PINS_SESSION: &str = "a session lock or setting lives on one connection, so the caller keeps \
                            it until it disconnects; use pg_advisory_xact_lock, or set_config \
                            with true, inside a transaction";
const PINS_ROLE: &str = "a changed role or transaction default lives on one connection, so the \
                         caller keeps it until it disconnects; connect with the role instead";

fn analyse_statement(statement: &Statement, declared: &DeclaredFunctions) -> Analysis {
    match statement {
        Statement::StartTransaction { statements, .. } if statements.is_empty() => {
            Analysis::of_kind(StatementKind::Begin)
        }
        Statement::Commit { chain: true, .. } | Statement::Rollback { chain: true, .. } => {
            Analysis::with_reason(StatementKind::Refused, REFUSE_CHAIN)
        }
        Statement::Commit { .. } => Analysis::of_kind(StatementKind::Commit),
        Statement::Rollback {
            savepoint: None, ..
        } => Analysis::of_kind(StatementKind::Rollback),
        Statement::Set(set) => analyse_set(set),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            Analysis::with_reason(StatementKind::Refused, REFUSE_LISTEN)
        }
        Statement::Discard { .. } => Analysis::with_reason(StatementKind::Refused, REFUSE_DISCARD),
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Analysis::with_reason(StatementKind::Pins, PINS_PREPARE)
        }
        Statement::Declare { stmts } if stmts.iter().any(|cursor| cursor.hold == Some(true)) => {
            Analysis::with_reason(StatementKind::Pins, PINS_CURSOR)
        }
        Statement::CreateTable(table) if table.temporary => {
            Analysis::with_reason(StatementKind::Pins, PINS_TEMPORARY)
        }
        Statement::CreateView {
            temporary: true, ..
        }
        | Statement::CreateSequence {
            temporary: true, ..
        } => Analysis::with_reason(StatementKind::Pins, PINS_TEMPORARY),
        Statement::Copy { to, target, .. } => analyse_copy(statement, *to, target, declared),
        Statement::ShowVariable { .. } => Analysis::of_kind(StatementKind::Read),
        Statement::Explain { statement, .. } => analyse_explain(statement, declared),
        _ => analyse_data_statement(statement, declared),
    }
}

fn analyse_set(set: &Set) -> Analysis {
    use sqlparser::ast::ContextModifier;
    match set {
        Set::SingleAssignment {
            scope: Some(ContextModifier::Local),
            ..
        }
        | Set::SetTimeZone { local: true, .. }
        | Set::SetRole {
            context_modifier: Some(ContextModifier::Local),
            ..
        }
        | Set::SetTransaction { session: false, .. } => Analysis::of_kind(StatementKind::Write),
        Set::SingleAssignment { .. } | Set::SetTimeZone { .. } | Set::SetNames { .. } => {
            Analysis::of_kind(StatementKind::Set)
        }
        _ => Analysis::with_reason(StatementKind::Pins, PINS_ROLE),
    }
}

fn analyse_copy(
    statement: &Statement,
    to: bool,
    target: &CopyTarget,
    declared: &DeclaredFunctions,
) -> Analysis {
    match target {
        CopyTarget::File { .. } | CopyTarget::Program { .. } => {
            Analysis::with_reason(StatementKind::Refused, REFUSE_COPY_FILE)
        }
        _ if !to => Analysis::not_understood(),
        _ => analyse_copy_to(statement, declared),
    }
}

fn analyse_copy_to(statement: &Statement, declared: &DeclaredFunctions) -> Analysis {
    use sqlparser::ast::CopySource;
    let Statement::Copy { source, .. } = statement else {
        return Analysis::not_understood();
    };
    match source {
        CopySource::Table { table_name, .. } => match super::names::last_part(table_name) {
            Some(table) => Analysis {
                read_tables: vec![table],
                ..Analysis::of_kind(StatementKind::Read)
            },
            None => Analysis::not_understood(),
        },
        CopySource::Query(query) => {
            analyse_data_statement(&Statement::Query(query.clone()), declared)
        }
    }
}

/// An explained statement is treated like the statement itself, because `ANALYZE` runs it.
fn analyse_explain(statement: &Statement, declared: &DeclaredFunctions) -> Analysis {
    let analysis = analyse_statement(statement, declared);
    match analysis.kind {
        StatementKind::Read | StatementKind::Write => analysis,
        _ => Analysis::not_understood(),
    }
}

/// Analyses a statement by the tables and calls that it holds.
fn analyse_data_statement(statement: &Statement, declared: &DeclaredFunctions) -> Analysis {
    let mut found = Found::new(declared);
    let _ = statement.visit(&mut found);
    if found.session_effect {
        return Analysis::with_reason(StatementKind::Pins, PINS_SESSION);
    }
    let kind = match (statement, found.writes || found.unknown_effect) {
        (Statement::Query(_), false) => StatementKind::Read,
        _ => StatementKind::Write,
    };
    let written = match kind {
        StatementKind::Read => Vec::new(),
        _ => written_by(statement, &found),
    };
    Analysis {
        kind,
        read_tables: found.tables.into_iter().collect(),
        written_tables: written,
        understood: !found.unknown_effect,
        reason: "".into(),
    }
}

/// Returns the tables that a write changes: all that it names, where that isn't known.
fn written_by(statement: &Statement, found: &Found<'_>) -> Vec<Box<str>> {
    let mut written = found.written.clone();
    written.extend(written_tables(statement).into_iter().flatten());
    if written.is_empty() {
        written.clone_from(&found.tables);
    }
    written.into_iter().collect()
}
