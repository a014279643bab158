//! A visitor that collects tables, row locks and function calls from the syntax tree of a
//! statement.

use super::functions::DeclaredFunctions;
use super::functions::Effect;
use super::functions::builtin_effect;
use super::names::builtin_function_name;
use super::names::fold_case;
use super::names::is_unqualified;
use super::names::unqualified_name;
use sqlparser::ast::BinaryOperator;
use sqlparser::ast::Expr;
use sqlparser::ast::Function;
use sqlparser::ast::FunctionArg;
use sqlparser::ast::FunctionArgExpr;
use sqlparser::ast::FunctionArguments;
use sqlparser::ast::ObjectName;
use sqlparser::ast::Query;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::ast::TableFactor;
use sqlparser::ast::Value;
use sqlparser::ast::Visitor;
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// Collects what a statement accesses and which side effects it has.
#[derive(Debug)]
pub(crate) struct StatementVisitor<'d> {
    /// All tables that the statement names, without common table expressions.
    pub(crate) tables: BTreeSet<Box<str>>,
    /// Tables that the statement or a statement nested in it changes.
    pub(crate) written: BTreeSet<Box<str>>,
    /// Whether the statement locks rows, or it or a statement nested in it changes data.
    pub(crate) writes: bool,
    /// Whether the statement uses a function, operator or construct with unknown side effects.
    pub(crate) has_unknown_effect: bool,
    /// Whether a function call changes state of the connection that outlasts the transaction.
    pub(crate) has_session_effect: bool,
    declared: &'d DeclaredFunctions,
    cte_scopes: Vec<CteScope>,
    /// The addresses of the names of table functions, which are also visited as relations.
    table_functions: Vec<*const ObjectName>,
}

/// The common table expressions of one query.
#[derive(Debug)]
struct CteScope {
    /// The name of each expression and the address of its body, in the order of declaration.
    ctes: Vec<(Box<str>, *const Query)>,
    /// The number of expressions, counted from the first, that are visible at the current node.
    visible: usize,
    recursive: bool,
}

impl CteScope {
    fn of(query: &Query) -> Self {
        let with = query.with.as_ref();
        let tables = with.map(|with| &with.cte_tables[..]).unwrap_or_default();
        Self {
            ctes: tables
                .iter()
                .map(|cte| (fold_case(&cte.alias.name), &raw const *cte.query))
                .collect(),
            visible: tables.len(),
            recursive: with.is_some_and(|with| with.recursive),
        }
    }

    /// Returns the index of the common table expression whose body is `query`.
    fn position_of(&self, query: &Query) -> Option<usize> {
        let is_body = |(_, body): &(Box<str>, *const Query)| std::ptr::eq(*body, query);
        self.ctes.iter().position(is_body)
    }

    fn has_visible_cte(&self, name: &str) -> bool {
        self.ctes[..self.visible]
            .iter()
            .any(|(cte_name, _)| &**cte_name == name)
    }
}

impl<'d> StatementVisitor<'d> {
    /// Creates a visitor that treats the declared functions as free of side effects.
    pub(crate) fn new(declared: &'d DeclaredFunctions) -> Self {
        Self {
            tables: BTreeSet::new(),
            written: BTreeSet::new(),
            writes: false,
            has_unknown_effect: false,
            has_session_effect: false,
            declared,
            cte_scopes: Vec::new(),
            table_functions: Vec::new(),
        }
    }

    /// Records the tables that a statement in the tree changes.
    fn record_written_tables(&mut self, statement: &Statement) {
        match directly_written_tables(statement) {
            Some(tables) => self.written.extend(tables),
            None => self.has_unknown_effect = true,
        }
    }

    fn record_call(&mut self, name: &ObjectName, is_transaction_local: bool) {
        let is_declared = unqualified_name(name).is_some_and(|name| self.declared.contains(&name));
        let name = builtin_function_name(name);
        match name.as_deref() {
            Some("set_config") if is_transaction_local => self.writes = true,
            Some("set_config") => self.has_session_effect = true,
            Some(name) => match builtin_effect(name) {
                Effect::None => {}
                Effect::Writes => self.writes = true,
                Effect::Unknown => self.has_unknown_effect |= !is_declared,
                Effect::Session => self.has_session_effect = true,
            },
            None => self.has_unknown_effect |= !is_declared,
        }
    }

    /// Inspects the parts of a query body for which the `Visitor` trait has no method.
    fn inspect_query_body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::Select(select) => self.writes |= select.into.is_some(),
            SetExpr::SetOperation { left, right, .. } => {
                self.inspect_query_body(left);
                self.inspect_query_body(right);
            }
            // The syntax tree has the name after `TABLE` without its quotes, so it can't be
            // case-folded.
            SetExpr::Table(_) => self.has_unknown_effect = true,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.writes = true;
            }
            SetExpr::Query(_) | SetExpr::Values(_) => {}
        }
    }
}

impl Visitor for StatementVisitor<'_> {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if let Some(outer) = self.cte_scopes.last_mut()
            && let Some(position) = outer.position_of(query)
            && !outer.recursive
        {
            // Without RECURSIVE, only the expressions declared before this one are visible in it.
            outer.visible = position;
        }
        self.cte_scopes.push(CteScope::of(query));
        self.writes |= !query.locks.is_empty();
        self.inspect_query_body(&query.body);
        ControlFlow::Continue(())
    }

    fn post_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        self.cte_scopes.pop();
        if let Some(outer) = self.cte_scopes.last_mut()
            && outer.position_of(query).is_some()
        {
            outer.visible = outer.ctes.len();
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            } => {
                self.table_functions.push(&raw const *name);
                self.record_call(name, false);
            }
            TableFactor::Function { name, .. } => self.record_call(name, false),
            TableFactor::Table { .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. }
            | TableFactor::UNNEST { .. } => {}
            _ => self.has_unknown_effect = true,
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        if self.table_functions.contains(&(&raw const *relation)) {
            return ControlFlow::Continue(());
        }
        let Some(name) = unqualified_name(relation) else {
            self.has_unknown_effect = true;
            return ControlFlow::Continue(());
        };
        let is_cte = self
            .cte_scopes
            .iter()
            .any(|scope| scope.has_visible_cte(&name));
        if !(is_cte && is_unqualified(relation)) {
            self.tables.insert(name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                self.record_call(&function.name, is_transaction_local(function));
            }
            Expr::BinaryOp {
                op: BinaryOperator::PGCustomBinaryOperator(_) | BinaryOperator::Custom(_),
                ..
            } => self.has_unknown_effect = true,
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        if !matches!(statement, Statement::Query(_)) {
            self.writes = true;
            self.record_written_tables(statement);
        }
        ControlFlow::Continue(())
    }
}

/// Returns whether a call of `set_config` applies to the transaction only: its third argument is
/// the literal `true`.
fn is_transaction_local(function: &Function) -> bool {
    let FunctionArguments::List(list) = &function.args else {
        return false;
    };
    let Some(FunctionArg::Unnamed(FunctionArgExpr::Expr(Expr::Value(value)))) = list.args.get(2)
    else {
        return false;
    };
    value.value == Value::Boolean(true)
}

/// Returns the tables that a statement changes, or `None` if they are unknown.
pub(crate) fn directly_written_tables(statement: &Statement) -> Option<Vec<Box<str>>> {
    use sqlparser::ast::FromTable;
    use sqlparser::ast::TableObject;
    match statement {
        Statement::Insert(insert) => match &insert.table {
            TableObject::TableName(name) => Some(vec![unqualified_name(name)?]),
            TableObject::TableFunction(_) => None,
        },
        Statement::Update { table, .. } => Some(vec![table_factor_name(&table.relation)?]),
        Statement::Delete(delete) => {
            let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
            from.iter()
                .map(|table| table_factor_name(&table.relation))
                .collect()
        }
        Statement::Merge { table, .. } => Some(vec![table_factor_name(table)?]),
        Statement::Truncate { table_names, .. } => table_names
            .iter()
            .map(|table| unqualified_name(&table.name))
            .collect(),
        _ => None,
    }
}

fn table_factor_name(factor: &TableFactor) -> Option<Box<str>> {
    match factor {
        TableFactor::Table {
            name, args: None, ..
        } => unqualified_name(name),
        _ => None,
    }
}
