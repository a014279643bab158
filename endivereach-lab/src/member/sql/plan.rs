//! Compiled statements, as input to execution.

use crate::member::storage::table::TableSchema;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use std::sync::Arc;

/// A compiled statement.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Changes a setting, or resets it if there is no value.
    Set {
        /// The name of the setting.
        name: Box<str>,
        /// The new value as text.
        value: Option<Box<str>>,
        /// Whether the change lasts only until the end of the transaction.
        local: bool,
    },
    /// Resets all settings.
    ResetAll,
    /// Returns the value of a setting.
    Show {
        /// The name of the setting.
        name: Box<str>,
    },
    /// Discards session state.
    Discard(Discard),
    /// Deallocates a prepared statement, or all of them.
    Deallocate {
        /// The name of the statement; `None` for all.
        name: Option<Box<str>>,
    },
    /// Creates a table.
    CreateTable {
        /// The definition of the table.
        schema: Arc<TableSchema>,
        /// Whether the statement succeeds if the table already exists.
        if_not_exists: bool,
        /// Whether the table is temporary, and thus visible only to this session.
        temporary: bool,
    },
    /// Drops a table.
    DropTable {
        /// The table's name.
        table: Box<str>,
        /// Whether the statement succeeds if the table doesn't exist.
        if_exists: bool,
    },
    /// Inserts rows.
    Insert(Insert),
    /// Returns rows.
    Select(Select),
    /// Updates rows.
    Update(Update),
    /// Deletes rows.
    Delete(Delete),
}

endivereach_core::value! {
    /// The session state that a `DISCARD` statement discards.
    pub enum Discard {
        /// Settings, temporary tables, prepared statements and advisory locks.
        All,
        /// Temporary tables.
        Temp,
        /// Nothing, because `DISCARD PLANS` and `DISCARD SEQUENCES` have no effect in the stand-in.
        Nothing,
    }
}

/// An `INSERT` statement.
#[derive(Clone, Debug)]
pub struct Insert {
    /// The table's name.
    pub table: Box<str>,
    /// The target columns. An empty list means all columns in order.
    pub columns: Vec<Box<str>>,
    /// The source of the inserted rows.
    pub source: InsertSource,
    /// Whether rows that violate a unique constraint are skipped (`ON CONFLICT DO NOTHING`).
    pub skip_conflicts: bool,
    /// The `RETURNING` clause, evaluated over the inserted rows.
    pub returning: Vec<Output>,
}

/// The source of the rows of an [`Insert`].
#[derive(Clone, Debug)]
pub enum InsertSource {
    /// A `VALUES` list.
    Values(Vec<Vec<Expr>>),
    /// The result of a query.
    Select(Box<Select>),
}

/// An `UPDATE` statement.
#[derive(Clone, Debug)]
pub struct Update {
    /// The table's name.
    pub table: Box<str>,
    /// The `SET` clause.
    pub assignments: Vec<Assignment>,
    /// The `WHERE` clause.
    pub filter: Option<Expr>,
    /// The `RETURNING` clause, evaluated over the updated rows.
    pub returning: Vec<Output>,
}

/// An assignment in the `SET` clause of an [`Update`].
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The name of the assigned column.
    pub column: Box<str>,
    /// The expression for the new value.
    pub value: Expr,
}

/// A `DELETE` statement.
#[derive(Clone, Debug)]
pub struct Delete {
    /// The table's name.
    pub table: Box<str>,
    /// The `WHERE` clause.
    pub filter: Option<Expr>,
    /// The `RETURNING` clause, evaluated over the deleted rows.
    pub returning: Vec<Output>,
}

/// A `SELECT` statement.
#[derive(Clone, Debug)]
pub struct Select {
    /// The items of the `SELECT` list.
    pub outputs: Vec<Output>,
    /// The `FROM` clause.
    pub source: SelectSource,
    /// The `WHERE` clause.
    pub filter: Option<Expr>,
    /// The `ORDER BY` clause.
    pub order_by: Vec<SortKey>,
    /// The `LIMIT` clause.
    pub limit: Option<Expr>,
    /// The `OFFSET` clause.
    pub offset: Option<Expr>,
    /// Whether the rows are locked (`FOR UPDATE`).
    pub for_update: bool,
}

/// The source of the rows of a [`Select`].
#[derive(Clone, Debug)]
pub enum SelectSource {
    /// No `FROM` clause: a single row without columns.
    SingleRow,
    /// The table with the given name.
    Table(Box<str>),
    /// A call of `generate_series`.
    Series(Series),
}

/// A call of `generate_series`, which returns consecutive integers.
#[derive(Clone, Debug)]
pub struct Series {
    /// The first integer.
    pub start: Expr,
    /// The last integer, inclusive.
    pub end: Expr,
    /// The name of the only column.
    pub column: Box<str>,
}

/// A sort key of an `ORDER BY` clause.
#[derive(Clone, Debug)]
pub struct SortKey {
    /// The expression to sort by.
    pub expr: Expr,
    /// Whether the order is descending.
    pub descending: bool,
}

/// An item of a `SELECT` list or `RETURNING` clause.
#[derive(Clone, Debug)]
pub enum Output {
    /// All columns (`*`).
    Wildcard,
    /// A scalar expression.
    Value {
        /// The expression.
        expr: Expr,
        /// The name of the result column.
        name: Box<str>,
    },
    /// An aggregate over all rows.
    Aggregate {
        /// The aggregate function.
        function: Aggregate,
        /// The argument; `None` for `count(*)`.
        expr: Option<Expr>,
        /// The name of the result column.
        name: Box<str>,
    },
}

endivereach_core::value! {
    /// An aggregate function.
    pub enum Aggregate {
        /// The number of values that aren't null, or the number of rows for `count(*)`.
        Count,
        /// The largest value.
        Max,
        /// The smallest value.
        Min,
        /// The sum of the values.
        Sum,
    }

    /// A binary operator.
    pub enum Operator {
        /// Logical conjunction.
        And,
        /// Logical disjunction.
        Or,
        /// Equal to (`=`).
        Equal,
        /// Not equal to (`<>`).
        NotEqual,
        /// Less than (`<`).
        Less,
        /// Less than or equal to (`<=`).
        LessOrEqual,
        /// Greater than (`>`).
        Greater,
        /// Greater than or equal to (`>=`).
        GreaterOrEqual,
        /// Addition.
        Add,
        /// Subtraction.
        Subtract,
        /// Multiplication.
        Multiply,
        /// Integer division.
        Divide,
        /// The remainder of an integer division.
        Modulo,
        /// String concatenation.
        Concat,
    }

    /// A scalar function.
    pub enum Function {
        /// `pg_sleep`: waits for a number of seconds.
        Sleep,
        /// `pg_advisory_lock`: acquires an advisory lock until the session releases it.
        AdvisoryLock,
        /// `pg_try_advisory_lock`: acquires an advisory lock if it is available.
        TryAdvisoryLock,
        /// `pg_advisory_xact_lock`: acquires an advisory lock until the transaction ends.
        AdvisoryXactLock,
        /// `pg_advisory_unlock`: releases an advisory lock of the session.
        AdvisoryUnlock,
        /// `pg_advisory_unlock_all`: releases all advisory locks of the session.
        AdvisoryUnlockAll,
        /// `pg_backend_pid`: the process ID of the connection.
        BackendPid,
        /// `pg_cancel_backend`: cancels the running statement of a connection.
        CancelBackend,
        /// `pg_terminate_backend`: terminates a connection.
        TerminateBackend,
        /// `pg_is_in_recovery`: whether the server refuses writes.
        IsInRecovery,
        /// `current_setting`: the value of a setting.
        CurrentSetting,
        /// `set_config`: changes a setting.
        SetConfig,
        /// `current_database`: the name of the database.
        CurrentDatabase,
        /// `current_user` and `session_user`: the name of the user.
        CurrentUser,
        /// `version`: the version of the server.
        Version,
        /// `repeat`: a text repeated a number of times.
        Repeat,
        /// `length`: the length of a text in characters.
        Length,
        /// `coalesce`: the first argument that isn't null.
        Coalesce,
    }
}

/// A compiled expression.
#[derive(Clone, Debug)]
pub enum Expr {
    /// A constant value.
    Literal(Value),
    /// A parameter, by its index from zero; `$1` has index 0.
    Parameter(usize),
    /// The value of the named column.
    Column(Box<str>),
    /// A binary operation.
    Binary {
        /// The operator.
        operator: Operator,
        /// The left operand.
        left: Box<Expr>,
        /// The right operand.
        right: Box<Expr>,
    },
    /// Logical negation.
    Not(Box<Expr>),
    /// Arithmetic negation.
    Negate(Box<Expr>),
    /// Whether the operand is null.
    IsNull(Box<Expr>),
    /// Whether a value equals an item of a list.
    InList {
        /// The value to find.
        expr: Box<Expr>,
        /// The items of the list.
        list: Vec<Expr>,
    },
    /// A function call.
    Call {
        /// The function to call.
        function: Function,
        /// The arguments in order.
        arguments: Vec<Expr>,
    },
    /// A type conversion.
    Cast {
        /// The value to convert.
        expr: Box<Expr>,
        /// The target type.
        to: ColumnType,
    },
}

/// A column of a result set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutputColumn {
    /// The name of the column.
    pub name: Box<str>,
    /// The type of its values.
    pub column_type: ColumnType,
}
