//! Analysis of the text of one request.

use super::bounds::SQL_MAX_BYTES;
use super::bounds::is_depth_within_limits;
use super::functions::DeclaredFunctions;
use super::unparsed::analyse_unparsed;
use super::visit::StatementVisitor;
use super::visit::directly_written_tables;
use crate::treatment::StatementKind;
use sqlparser::ast::CopyTarget;
use sqlparser::ast::Expr;
use sqlparser::ast::Set;
use sqlparser::ast::Statement;
use sqlparser::ast::Visit;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::Tokenizer;
use std::collections::BTreeSet;

/// The result of analysing the text of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Analysis {
    /// The combined kind of the statements.
    pub kind: StatementKind,
    /// The tables that the statements name, sorted by name.
    pub named_tables: Vec<Box<str>>,
    /// The tables that the statements change, sorted by name, or all tables that they name if the
    /// changed ones are unknown.
    pub written_tables: Vec<Box<str>>,
    /// Whether all effects of the statements are known. If not, the strictest treatment applies.
    pub effects_known: bool,
    /// Why the statements are refused or pin their connection, with the remedy. Empty for other
    /// kinds.
    pub reason: Box<str>,
}

impl Analysis {
    /// Creates an analysis without tables.
    pub(crate) fn of_kind(kind: StatementKind) -> Self {
        Self {
            kind,
            named_tables: Vec::new(),
            written_tables: Vec::new(),
            effects_known: true,
            reason: "".into(),
        }
    }

    /// Creates the analysis of a write whose tables and effects are unknown.
    pub(crate) fn unknown_write() -> Self {
        Self {
            effects_known: false,
            ..Self::of_kind(StatementKind::Write)
        }
    }

    /// Creates the analysis of a statement that is refused or pins its connection.
    pub(crate) fn with_reason(kind: StatementKind, reason: &str) -> Self {
        Self {
            effects_known: false,
            reason: reason.into(),
            ..Self::of_kind(kind)
        }
    }
}

/// Analyses the text of one request, which may hold several statements.
///
/// Never panics. [`SQL_MAX_BYTES`], [`NESTING_MAX`] and [`CHAIN_MAX`] bound its time and stack use.
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
/// assert_eq!(analysis.named_tables, vec!["berths".into(), "bookings".into()]);
/// ```
pub fn analyse(sql: &str) -> Analysis {
    analyse_with(sql, &DeclaredFunctions::default())
}

/// Like [`analyse`], but treats the declared functions as free of side effects.
pub fn analyse_with(sql: &str, declared: &DeclaredFunctions) -> Analysis {
    if sql.len() > SQL_MAX_BYTES {
        return Analysis::unknown_write();
    }
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, sql).tokenize() else {
        return analyse_unparsed(sql);
    };
    if !is_depth_within_limits(&tokens) {
        return Analysis::unknown_write();
    }
    let is_blank = |token: &Token| matches!(token, Token::Whitespace(_) | Token::SemiColon);
    if tokens.iter().all(is_blank) {
        return Analysis::of_kind(StatementKind::Read);
    }
    match Parser::new(&dialect).with_tokens(tokens).parse_statements() {
        Ok(statements) => {
            let analyse_one = |statement| analyse_statement(statement, declared);
            combine(statements.iter().map(analyse_one).collect())
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
    for kind in [StatementKind::Refused, StatementKind::PinsConnection] {
        if let Some(first) = first_of(kind) {
            return first.clone();
        }
    }
    let is_data_statement =
        |analysis: &Analysis| matches!(analysis.kind, StatementKind::Read | StatementKind::Write);
    if !analyses.iter().all(is_data_statement) {
        return Analysis::with_reason(StatementKind::Refused, REFUSE_MIXED);
    }
    let all_reads = analyses
        .iter()
        .all(|analysis| analysis.kind == StatementKind::Read);
    let kind = if all_reads {
        StatementKind::Read
    } else {
        StatementKind::Write
    };
    Analysis {
        kind,
        named_tables: union(analyses.iter().map(|analysis| &analysis.named_tables)),
        written_tables: union(analyses.iter().map(|analysis| &analysis.written_tables)),
        effects_known: analyses.iter().all(|analysis| analysis.effects_known),
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
const REFUSE_STRING_SYNTAX: &str = "the proxy reads texts as with standard_conforming_strings = on; \
                                    write escapes as E'...' instead";
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
            Analysis::with_reason(StatementKind::PinsConnection, PINS_PREPARE)
        }
        Statement::Declare { stmts } if stmts.iter().any(|cursor| cursor.hold == Some(true)) => {
            Analysis::with_reason(StatementKind::PinsConnection, PINS_CURSOR)
        }
        Statement::CreateTable(table) if table.temporary => {
            Analysis::with_reason(StatementKind::PinsConnection, PINS_TEMPORARY)
        }
        Statement::CreateView {
            temporary: true, ..
        }
        | Statement::CreateSequence {
            temporary: true, ..
        } => Analysis::with_reason(StatementKind::PinsConnection, PINS_TEMPORARY),
        Statement::Copy { to, target, .. } => analyse_copy(statement, *to, target, declared),
        Statement::ShowVariable { .. } => Analysis::of_kind(StatementKind::Read),
        Statement::Explain { statement, .. } => analyse_explain(statement, declared),
        _ => analyse_data_statement(statement, declared),
    }
}

/// Returns whether an assignment makes the server read texts in another way than the parser.
fn changes_string_syntax(set: &Set) -> bool {
    let Set::SingleAssignment {
        variable, values, ..
    } = set
    else {
        return false;
    };
    // An analysis doesn't depend on literals, so 'on' in quotes is refused as well.
    let is_on = |value: &Expr| {
        let value = value.to_string().to_ascii_lowercase();
        matches!(&*value, "on" | "true" | "default")
    };
    let variable = variable.to_string();
    let is_string_syntax = variable
        .trim_matches('"')
        .eq_ignore_ascii_case("standard_conforming_strings");
    is_string_syntax && !values.iter().all(is_on)
}

fn analyse_set(set: &Set) -> Analysis {
    use sqlparser::ast::ContextModifier;
    if changes_string_syntax(set) {
        return Analysis::with_reason(StatementKind::Refused, REFUSE_STRING_SYNTAX);
    }
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
        _ => Analysis::with_reason(StatementKind::PinsConnection, PINS_ROLE),
    }
}

fn analyse_copy(
    statement: &Statement,
    is_copy_to: bool,
    target: &CopyTarget,
    declared: &DeclaredFunctions,
) -> Analysis {
    match target {
        CopyTarget::File { .. } | CopyTarget::Program { .. } => {
            Analysis::with_reason(StatementKind::Refused, REFUSE_COPY_FILE)
        }
        _ if !is_copy_to => Analysis::unknown_write(),
        _ => analyse_copy_to(statement, declared),
    }
}

fn analyse_copy_to(statement: &Statement, declared: &DeclaredFunctions) -> Analysis {
    use sqlparser::ast::CopySource;
    let Statement::Copy { source, .. } = statement else {
        return Analysis::unknown_write();
    };
    match source {
        CopySource::Table { table_name, .. } => match super::names::unqualified_name(table_name) {
            Some(table) => Analysis {
                named_tables: vec![table],
                ..Analysis::of_kind(StatementKind::Read)
            },
            None => Analysis::unknown_write(),
        },
        CopySource::Query(query) => {
            analyse_data_statement(&Statement::Query(query.clone()), declared)
        }
    }
}

/// Analyses `EXPLAIN` like the explained statement itself, because `ANALYZE` executes it.
fn analyse_explain(statement: &Statement, declared: &DeclaredFunctions) -> Analysis {
    let analysis = analyse_statement(statement, declared);
    match analysis.kind {
        StatementKind::Read | StatementKind::Write => analysis,
        _ => Analysis::unknown_write(),
    }
}

/// Analyses a statement by the tables, locks and function calls in its syntax tree.
fn analyse_data_statement(statement: &Statement, declared: &DeclaredFunctions) -> Analysis {
    let mut visitor = StatementVisitor::new(declared);
    let _ = statement.visit(&mut visitor);
    if visitor.has_session_effect {
        return Analysis::with_reason(StatementKind::PinsConnection, PINS_SESSION);
    }
    let kind = match (statement, visitor.writes || visitor.has_unknown_effect) {
        (Statement::Query(_), false) => StatementKind::Read,
        _ => StatementKind::Write,
    };
    let written = match kind {
        StatementKind::Read => Vec::new(),
        _ => written_or_named_tables(statement, &visitor),
    };
    Analysis {
        kind,
        named_tables: visitor.tables.into_iter().collect(),
        written_tables: written,
        effects_known: !visitor.has_unknown_effect,
        reason: "".into(),
    }
}

/// Returns the tables that a write changes, or all tables that it names if the changed ones are
/// unknown.
fn written_or_named_tables(statement: &Statement, visitor: &StatementVisitor<'_>) -> Vec<Box<str>> {
    let mut written = visitor.written.clone();
    written.extend(directly_written_tables(statement).into_iter().flatten());
    if written.is_empty() {
        written.clone_from(&visitor.tables);
    }
    written.into_iter().collect()
}
