//! Tables as persistent maps: a clone is cheap and is a snapshot.

use super::value::ColumnType;
use super::value::Value;
use endivereach_core::ids::Position;
use std::sync::Arc;

/// The values of one row, shared between snapshots.
pub type Row = Arc<[Value]>;

endivereach_core::data! {
    /// A column of a table.
    pub struct Column {
        /// The column's name.
        pub name: Box<str>,
        /// The type of its values.
        pub column_type: ColumnType,
        /// Whether no two rows may hold the same value.
        pub unique: bool,
        /// Whether a value must be there.
        pub not_null: bool,
    }

    /// The shape of a table.
    pub struct TableSchema {
        /// The table's name.
        pub name: Box<str>,
        /// The columns in their order.
        pub columns: Vec<Column>,
        /// The column that identifies a row; rows of a table without one get a hidden number.
        pub primary_key: Option<usize>,
    }

    /// One change of a transaction.
    pub enum Change {
        /// Creates a table, unless it is there.
        CreateTable {
            /// The table's shape.
            schema: Arc<TableSchema>,
        },
        /// Drops a table, if it is there.
        DropTable {
            /// The table's name.
            table: Box<str>,
        },
        /// Writes a row.
        Put {
            /// The table's name.
            table: Box<str>,
            /// What identifies the row.
            key: Value,
            /// The row.
            row: Row,
        },
        /// Deletes a row.
        Delete {
            /// The table's name.
            table: Box<str>,
            /// What identifies the row.
            key: Value,
        },
    }
}

impl TableSchema {
    /// Returns the index of a column.
    pub fn column_index(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| &*column.name == name)
    }

    /// Returns the indices of the unique columns other than the primary key.
    pub fn unique_columns(&self) -> impl Iterator<Item = usize> + '_ {
        let is_indexed =
            |&index: &usize| self.columns[index].unique && Some(index) != self.primary_key;
        (0..self.columns.len()).filter(is_indexed)
    }
}

/// A table's rows, by key, and its unique indices.
#[derive(Clone, Debug)]
pub struct Table {
    /// The table's shape.
    pub schema: Arc<TableSchema>,
    rows: imbl::OrdMap<Value, Row>,
    /// For each unique column other than the primary key, the key of the row that holds a value.
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

    /// Returns the key of the row that holds `value` in the given unique column.
    pub fn find_unique(&self, column: usize, value: &Value) -> Option<&Value> {
        let position = self
            .schema
            .unique_columns()
            .position(|unique| unique == column)?;
        self.unique[position].get(value)
    }

    /// Returns every row with its key, in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Value, &Row)> {
        self.rows.iter()
    }

    /// Returns how many rows there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there is no row.
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
        let Some(former) = self.rows.remove(key) else {
            return;
        };
        for (position, column) in self.schema.unique_columns().enumerate() {
            if self.unique[position].get(&former[column]) == Some(key) {
                self.unique[position].remove(&former[column]);
            }
        }
    }
}

/// A set of tables.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    by_name: imbl::OrdMap<Box<str>, Table>,
}

impl Tables {
    /// Returns the table with the given name.
    pub fn get(&self, name: &str) -> Option<&Table> {
        self.by_name.get(name)
    }

    /// Applies one change. A change of a table that isn't there has no effect.
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

/// The tables as of a position of the log.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The position of the last log entry included.
    pub position: Position,
    /// The tables.
    pub tables: Tables,
}
