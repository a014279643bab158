//! A walk over one statement's tree that gathers tables, locks and calls.

use super::functions::DeclaredFunctions;
use super::functions::Effect;
use super::functions::effect;
use super::names::catalog_function;
use super::names::folded;
use super::names::is_unqualified;
use super::names::last_part;
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

/// What a walk found.
#[derive(Debug)]
pub(crate) struct Found<'d> {
    /// Tables named anywhere, without the names of common table expressions.
    pub(crate) tables: BTreeSet<Box<str>>,
    /// Tables that an inner statement changes.
    pub(crate) written: BTreeSet<Box<str>>,
    /// Whether rows are locked, or a statement inside changes data.
    pub(crate) writes: bool,
    /// Whether something is called or used whose effect isn't known.
    pub(crate) unknown_effect: bool,
    /// Whether a call leaves something on the connection.
    pub(crate) session_effect: bool,
    declared: &'d DeclaredFunctions,
    scopes: Vec<Scope>,
    functions_in_from: Vec<*const ObjectName>,
}

/// The common table expressions of one query.
#[derive(Debug)]
struct Scope {
    /// Their names and the addresses of their bodies, in order.
    expressions: Vec<(Box<str>, *const Query)>,
    /// How many of the names are visible at this point of the walk.
    visible: usize,
    recursive: bool,
}

impl Scope {
    fn of(query: &Query) -> Self {
        let with = query.with.as_ref();
        let tables = with.map(|with| &with.cte_tables[..]).unwrap_or_default();
        Self {
            expressions: tables
                .iter()
                .map(|cte| (folded(&cte.alias.name), &raw const *cte.query))
                .collect(),
            visible: tables.len(),
            recursive: with.is_some_and(|with| with.recursive),
        }
    }

    /// Returns the place of the expression whose body is `query`.
    fn position_of(&self, query: &Query) -> Option<usize> {
        let is_body = |(_, body): &(Box<str>, *const Query)| std::ptr::eq(*body, query);
        self.expressions.iter().position(is_body)
    }

    fn hides(&self, name: &str) -> bool {
        self.expressions[..self.visible]
            .iter()
            .any(|(hidden, _)| &**hidden == name)
    }
}

impl<'d> Found<'d> {
    /// Starts a walk that knows the declared functions.
    pub(crate) fn new(declared: &'d DeclaredFunctions) -> Self {
        Self {
            tables: BTreeSet::new(),
            written: BTreeSet::new(),
            writes: false,
            unknown_effect: false,
            session_effect: false,
            declared,
            scopes: Vec::new(),
            functions_in_from: Vec::new(),
        }
    }

    /// Records the tables that a statement inside the tree changes.
    fn add_written(&mut self, statement: &Statement) {
        match written_tables(statement) {
            Some(tables) => self.written.extend(tables),
            None => self.unknown_effect = true,
        }
    }

    fn call(&mut self, name: &ObjectName, sets_for_transaction: bool) {
        let is_declared = last_part(name).is_some_and(|name| self.declared.contains(&name));
        let name = catalog_function(name);
        match name.as_deref() {
            Some("set_config") if sets_for_transaction => self.writes = true,
            Some("set_config") => self.session_effect = true,
            Some(name) => match effect(name) {
                Effect::None => {}
                Effect::Writes => self.writes = true,
                Effect::Unknown => self.unknown_effect |= !is_declared,
                Effect::Session => self.session_effect = true,
            },
            None => self.unknown_effect |= !is_declared,
        }
    }

    /// Looks at the body of a query for what the visitor has no method for.
    fn look_at_body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::Select(select) => self.writes |= select.into.is_some(),
            SetExpr::SetOperation { left, right, .. } => {
                self.look_at_body(left);
                self.look_at_body(right);
            }
            // The name after `TABLE` is plain text in the tree, without its quotes.
            SetExpr::Table(_) => self.unknown_effect = true,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.writes = true;
            }
            SetExpr::Query(_) | SetExpr::Values(_) => {}
        }
    }
}

impl Visitor for Found<'_> {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if let Some(outer) = self.scopes.last_mut()
            && let Some(position) = outer.position_of(query)
            && !outer.recursive
        {
            outer.visible = position;
        }
        self.scopes.push(Scope::of(query));
        self.writes |= !query.locks.is_empty();
        self.look_at_body(&query.body);
        ControlFlow::Continue(())
    }

    fn post_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        self.scopes.pop();
        if let Some(outer) = self.scopes.last_mut()
            && outer.position_of(query).is_some()
        {
            outer.visible = outer.expressions.len();
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
                self.functions_in_from.push(&raw const *name);
                self.call(name, false);
            }
            TableFactor::Function { name, .. } => self.call(name, false),
            TableFactor::Table { .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. }
            | TableFactor::UNNEST { .. } => {}
            _ => self.unknown_effect = true,
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        if self.functions_in_from.contains(&(&raw const *relation)) {
            return ControlFlow::Continue(());
        }
        let Some(name) = last_part(relation) else {
            self.unknown_effect = true;
            return ControlFlow::Continue(());
        };
        let hidden = self.scopes.iter().any(|scope| scope.hides(&name));
        if !(hidden && is_unqualified(relation)) {
            self.tables.insert(name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => {
                self.call(&function.name, sets_for_transaction(function));
            }
            Expr::BinaryOp {
                op: BinaryOperator::PGCustomBinaryOperator(_) | BinaryOperator::Custom(_),
                ..
            } => self.unknown_effect = true,
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        if !matches!(statement, Statement::Query(_)) {
            self.writes = true;
            self.add_written(statement);
        }
        ControlFlow::Continue(())
    }
}

/// Returns whether a call of `set_config` ends with the transaction: its third argument is the
/// word `true`.
fn sets_for_transaction(function: &Function) -> bool {
    let FunctionArguments::List(list) = &function.args else {
        return false;
    };
    let Some(FunctionArg::Unnamed(FunctionArgExpr::Expr(Expr::Value(value)))) = list.args.get(2)
    else {
        return false;
    };
    value.value == Value::Boolean(true)
}

/// Returns the tables that a statement changes, or `None` when that isn't known.
pub(crate) fn written_tables(statement: &Statement) -> Option<Vec<Box<str>>> {
    use sqlparser::ast::FromTable;
    use sqlparser::ast::TableObject;
    match statement {
        Statement::Insert(insert) => match &insert.table {
            TableObject::TableName(name) => Some(vec![last_part(name)?]),
            TableObject::TableFunction(_) => None,
        },
        Statement::Update { table, .. } => Some(vec![factor_name(&table.relation)?]),
        Statement::Delete(delete) => {
            let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
            from.iter()
                .map(|table| factor_name(&table.relation))
                .collect()
        }
        Statement::Merge { table, .. } => Some(vec![factor_name(table)?]),
        Statement::Truncate { table_names, .. } => table_names
            .iter()
            .map(|table| last_part(&table.name))
            .collect(),
        _ => None,
    }
}

fn factor_name(factor: &TableFactor) -> Option<Box<str>> {
    match factor {
        TableFactor::Table {
            name, args: None, ..
        } => last_part(name),
        _ => None,
    }
}
