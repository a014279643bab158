//! Values and their types.

use std::fmt;

endivereach_core::data! {
    /// A value of a column.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Value {
        /// No value.
        Null,
        /// A truth value.
        Bool(bool),
        /// A number.
        Int(i64),
        /// Text.
        Text(Box<str>),
    }
}

endivereach_core::value! {
    /// The type of a column, as shown to clients.
    pub enum ColumnType {
        /// A truth value.
        Bool,
        /// A number of 32 bits.
        Int4,
        /// A number of 64 bits.
        Int8,
        /// Text.
        Text,
        /// The result of a function that returns nothing.
        Void,
    }
}

impl Value {
    /// Returns whether the value is missing.
    pub fn is_null(&self) -> bool {
        *self == Self::Null
    }

    /// Returns the type that a literal of this value has.
    pub fn column_type(&self) -> ColumnType {
        match self {
            Self::Bool(_) => ColumnType::Bool,
            Self::Int(number) if i32::try_from(*number).is_ok() => ColumnType::Int4,
            Self::Int(_) => ColumnType::Int8,
            Self::Null | Self::Text(_) => ColumnType::Text,
        }
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.into())
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => Ok(()),
            Self::Bool(true) => f.write_str("t"),
            Self::Bool(false) => f.write_str("f"),
            Self::Int(number) => write!(f, "{number}"),
            Self::Text(text) => f.write_str(text),
        }
    }
}

impl ColumnType {
    /// Returns the type's object id in PostgreSQL's catalogue.
    pub fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int8 => 20,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Void => 2278,
        }
    }

    /// Returns the type with the given object id; types unknown here are handled as text.
    pub fn from_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            20 => Self::Int8,
            21 | 23 => Self::Int4,
            2278 => Self::Void,
            _ => Self::Text,
        }
    }

    /// Returns the size of a value in bytes, or -1 when it varies.
    pub fn size_bytes(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int4 | Self::Void => 4,
            Self::Int8 => 8,
            Self::Text => -1,
        }
    }
}
