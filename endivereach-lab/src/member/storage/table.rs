//! Tables as immutable maps that share structure, so that a clone is cheap and serves as a
//! snapshot.

use super::value::ColumnType;
use super::value::Value;
use endivereach_core::ids::Position;
use std::sync::Arc;

/// The values of a row in column order, shared between snapshots.
pub type Row = Arc<[Value]>;

endivereach_core::data! {
    /// The definition of a table's column.
    pub struct Column {
        /// The name, folded to lower case unless it was quoted in the declaration.
        pub name: Box<str>,
        /// The type of its values.
        pub column_type: ColumnType,
        /// Whether the column has a unique constraint.
        pub unique: bool,
        /// Whether null values are rejected.
        pub not_null: bool,
    }

    /// The definition of a table.
    pub struct TableSchema {
        /// The table's name.
        pub name: Box<str>,
        /// The columns in the order of declaration.
        pub columns: Vec<Column>,
        /// The index of the primary key column. Without one, each row gets a hidden numeric key.
        pub primary_key: Option<usize>,
    }

    /// A change made by a transaction.
    pub enum Change {
        /// Creates a table unless it already exists.
        CreateTable {
            /// The definition of the table.
            schema: Arc<TableSchema>,
        },
        /// Drops a table if it exists.
        DropTable {
            /// The table's name.
            table: Box<str>,
        },
        /// Inserts or replaces a row.
        Put {
            /// The table's name.
            table: Box<str>,
            /// The row's primary key or hidden key.
            key: Value,
            /// The values of the row in column order.
            row: Row,
        },
        /// Deletes a row.
        Delete {
            /// The table's name.
            table: Box<str>,
            /// The row's primary key or hidden key.
            key: Value,
        },
    }
}

impl TableSchema {
    /// Returns the index of the column with the given name.
    pub fn column_index(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| &*column.name == name)
    }

    /// Returns the indices of the unique columns, except the primary key.
    pub fn unique_columns(&self) -> impl Iterator<Item = usize> + '_ {
        let is_indexed =
            |&index: &usize| self.columns[index].unique && Some(index) != self.primary_key;
        (0..self.columns.len()).filter(is_indexed)
    }
}

/// A table: its definition, its rows by key, and its unique indexes.
#[derive(Clone, Debug)]
pub struct Table {
    /// The definition of the table.
    pub schema: Arc<TableSchema>,
    rows: imbl::OrdMap<Value, Row>,
    /// One index for each unique column except the primary key. It maps a value to the key of the
    /// row that contains it.
    unique: Vec<imbl::OrdMap<Value, Value>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(schema: Arc<TableSchema>) -> Self {
        let unique = schema
            .unique_columns()
            .map(|_| Default::default())
            .collect();
        Self {
            schema,
            rows: Default::default(),
            unique,
        }
    }

    /// Returns the row with the given key.
    pub fn get(&self, key: &Value) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the key of the row with `value` in the given unique column, which isn't the primary
    /// key.
    pub fn find_unique(&self, column: usize, value: &Value) -> Option<&Value> {
        let position = self
            .schema
            .unique_columns()
            .position(|unique| unique == column)?;
        self.unique[position].get(value)
    }

    /// Returns all rows with their keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&Value, &Row)> {
        self.rows.iter()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn put(&mut self, key: Value, row: Row) {
        self.delete(&key);
        for (position, column) in self.schema.unique_columns().enumerate() {
            if !row[column].is_null() {
                self.unique[position].insert(row[column].clone(), key.clone());
            }
        }
        self.rows.insert(key, row);
    }

    fn delete(&mut self, key: &Value) {
        let Some(previous) = self.rows.remove(key) else {
            return;
        };
        for (position, column) in self.schema.unique_columns().enumerate() {
            if self.unique[position].get(&previous[column]) == Some(key) {
                self.unique[position].remove(&previous[column]);
            }
        }
    }
}

/// A set of tables by name.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    by_name: imbl::OrdMap<Box<str>, Table>,
}

impl Tables {
    /// Returns the table with the given name.
    pub fn get(&self, name: &str) -> Option<&Table> {
        self.by_name.get(name)
    }

    /// Applies one change. A change to a table that doesn't exist has no effect.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::CreateTable { schema } => {
                if !self.by_name.contains_key(&schema.name) {
                    self.by_name
                        .insert(schema.name.clone(), Table::new(schema.clone()));
                }
            }
            Change::DropTable { table } => {
                self.by_name.remove(table);
            }
            Change::Put { table, key, row } => {
                if let Some(table) = self.by_name.get_mut(table) {
                    table.put(key.clone(), row.clone());
                }
            }
            Change::Delete { table, key } => {
                if let Some(table) = self.by_name.get_mut(table) {
                    table.delete(key);
                }
            }
        }
    }
}

/// The state of all tables at a log position.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The position of the last log entry that is included.
    pub position: Position,
    /// The tables at that position.
    pub tables: Tables,
}
