//! Statements as the executor sees them.

use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use std::sync::Arc;

/// A statement.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Begins a transaction.
    Begin {
        /// Whether it may not write.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Changes a setting; without a value, back to its default.
    Set {
        /// The setting's name.
        name: Box<str>,
        /// The value as text.
        value: Option<Box<str>>,
        /// Whether the change ends with the transaction.
        local: bool,
    },
    /// Sets every setting back to its default.
    ResetAll,
    /// Reads a setting.
    Show {
        /// The setting's name.
        name: Box<str>,
    },
    /// Drops session state.
    Discard(Discard),
    /// Drops a prepared statement, or all of them.
    Deallocate {
        /// The statement's name.
        name: Option<Box<str>>,
    },
    /// Creates a table.
    CreateTable {
        /// The table's shape.
        schema: Arc<TableSchema>,
        /// Whether an existing table of the name is no error.
        if_not_exists: bool,
        /// Whether only this session sees the table.
        temporary: bool,
    },
    /// Drops a table.
    DropTable {
        /// The table's name.
        table: Box<str>,
        /// Whether a missing table is no error.
        if_exists: bool,
    },
    /// Inserts rows.
    Insert(Insert),
    /// Reads rows.
    Select(Select),
    /// Changes rows.
    Update(Update),
    /// Deletes rows.
    Delete(Delete),
}

endivereach_core::value! {
    /// What `DISCARD` drops.
    pub enum Discard {
        /// Everything.
        All,
        /// Temporary tables.
        Temp,
        /// Nothing that this stand-in keeps: plans and sequences.
        Nothing,
    }
}

/// An `INSERT`.
#[derive(Clone, Debug)]
pub struct Insert {
    /// The table's name.
    pub table: Box<str>,
    /// The columns named, or none for all in their order.
    pub columns: Vec<Box<str>>,
    /// The rows' values.
    pub source: InsertSource,
    /// Whether rows whose unique key is taken are left out.
    pub skip_conflicts: bool,
    /// What is returned of the inserted rows.
    pub returning: Vec<Output>,
}

/// Where the rows of an [`Insert`] come from.
#[derive(Clone, Debug)]
pub enum InsertSource {
    /// Listed values.
    Values(Vec<Vec<Expr>>),
    /// A query.
    Select(Box<Select>),
}

/// An `UPDATE`.
#[derive(Clone, Debug)]
pub struct Update {
    /// The table's name.
    pub table: Box<str>,
    /// The columns changed and their new values.
    pub assignments: Vec<Assignment>,
    /// Which rows are changed.
    pub filter: Option<Expr>,
    /// What is returned of the changed rows.
    pub returning: Vec<Output>,
}

/// One assignment of an [`Update`].
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The column.
    pub column: Box<str>,
    /// Its new value.
    pub value: Expr,
}

/// A `DELETE`.
#[derive(Clone, Debug)]
pub struct Delete {
    /// The table's name.
    pub table: Box<str>,
    /// Which rows are deleted.
    pub filter: Option<Expr>,
    /// What is returned of the deleted rows.
    pub returning: Vec<Output>,
}

/// A `SELECT`.
#[derive(Clone, Debug)]
pub struct Select {
    /// What is returned.
    pub outputs: Vec<Output>,
    /// What is read.
    pub source: Source,
    /// Which rows are returned.
    pub filter: Option<Expr>,
    /// The order of the rows.
    pub order_by: Vec<OrderKey>,
    /// How many rows are returned at most.
    pub limit: Option<Expr>,
    /// How many rows are left out first.
    pub offset: Option<Expr>,
    /// Whether the rows are locked.
    pub for_update: bool,
}

/// What a [`Select`] reads.
#[derive(Clone, Debug)]
pub enum Source {
    /// Nothing: one row without columns.
    Nothing,
    /// A table.
    Table(Box<str>),
    /// `generate_series`.
    Series(Series),
}

/// A row source of consecutive numbers.
#[derive(Clone, Debug)]
pub struct Series {
    /// The first number.
    pub start: Expr,
    /// The last number.
    pub end: Expr,
    /// The column's name.
    pub column: Box<str>,
}

/// One key of an order.
#[derive(Clone, Debug)]
pub struct OrderKey {
    /// What is compared.
    pub expr: Expr,
    /// Whether larger values come first.
    pub descending: bool,
}

/// One item of a returned row.
#[derive(Clone, Debug)]
pub enum Output {
    /// Every column.
    Wildcard,
    /// One value.
    Value {
        /// The value.
        expr: Expr,
        /// The column's name in the answer.
        name: Box<str>,
    },
    /// One value over all rows.
    Aggregate {
        /// How the value is formed.
        function: Aggregate,
        /// What it is formed of; none for `count(*)`.
        expr: Option<Expr>,
        /// The column's name in the answer.
        name: Box<str>,
    },
}

endivereach_core::value! {
    /// A function over rows.
    pub enum Aggregate {
        /// How many values there are.
        Count,
        /// The largest value.
        Max,
        /// The smallest value.
        Min,
        /// The sum of the values.
        Sum,
    }

    /// An operator with two sides.
    pub enum Operator {
        /// Both hold.
        And,
        /// One holds at least.
        Or,
        /// Equal.
        Equal,
        /// Not equal.
        NotEqual,
        /// Less.
        Less,
        /// Less or equal.
        LessOrEqual,
        /// Greater.
        Greater,
        /// Greater or equal.
        GreaterOrEqual,
        /// Sum.
        Add,
        /// Difference.
        Subtract,
        /// Product.
        Multiply,
        /// Quotient.
        Divide,
        /// Remainder.
        Modulo,
        /// Texts after one another.
        Concat,
    }

    /// A function of one row.
    pub enum Function {
        /// Sleeps for a number of seconds.
        Sleep,
        /// Locks an advisory number.
        AdvisoryLock,
        /// Locks an advisory number if it is free.
        TryAdvisoryLock,
        /// Locks an advisory number until the transaction ends.
        AdvisoryXactLock,
        /// Unlocks an advisory number.
        AdvisoryUnlock,
        /// Unlocks every advisory number of the session.
        AdvisoryUnlockAll,
        /// The connection's number.
        BackendPid,
        /// Cancels another connection's statement.
        CancelBackend,
        /// Ends another connection.
        TerminateBackend,
        /// Whether the server is a replica.
        IsInRecovery,
        /// Reads a setting.
        CurrentSetting,
        /// Changes a setting.
        SetConfig,
        /// The database's name.
        CurrentDatabase,
        /// The user's name.
        CurrentUser,
        /// The server's version.
        Version,
        /// A text repeated.
        Repeat,
        /// The length of a text.
        Length,
        /// The first argument that isn't null.
        Coalesce,
    }
}

/// An expression.
#[derive(Clone, Debug)]
pub enum Expr {
    /// A constant.
    Literal(Value),
    /// A parameter, counted from zero.
    Parameter(usize),
    /// A column of the row.
    Column(Box<str>),
    /// An operator with two sides.
    Binary {
        /// The operator.
        operator: Operator,
        /// The left side.
        left: Box<Expr>,
        /// The right side.
        right: Box<Expr>,
    },
    /// The negation of a truth value.
    Not(Box<Expr>),
    /// The negation of a number.
    Negative(Box<Expr>),
    /// Whether a value is missing.
    IsNull(Box<Expr>),
    /// Whether a value is among others.
    InList {
        /// The value.
        expr: Box<Expr>,
        /// The others.
        list: Vec<Expr>,
    },
    /// A function's result.
    Call {
        /// The function.
        function: Function,
        /// Its arguments.
        arguments: Vec<Expr>,
    },
    /// A value converted to a type.
    Cast {
        /// The value.
        expr: Box<Expr>,
        /// The type.
        to: ColumnType,
    },
}

/// A column of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutputColumn {
    /// The column's name.
    pub name: Box<str>,
    /// The type of its values.
    pub column_type: ColumnType,
}
