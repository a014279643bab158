//! SQL values and column types.

use std::fmt;

endivereach_core::data! {
    /// A SQL value.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Value {
        /// The null value.
        Null,
        /// A boolean.
        Bool(bool),
        /// An integer of any supported size.
        Int(i64),
        /// A string.
        Text(Box<str>),
    }
}

endivereach_core::value! {
    /// The type of a column, as reported to clients.
    pub enum ColumnType {
        /// A boolean.
        Bool,
        /// A 32-bit integer.
        Int4,
        /// A 64-bit integer.
        Int8,
        /// A string of any length.
        Text,
        /// The result type of a function without a return value.
        Void,
    }
}

impl Value {
    /// Returns whether the value is null.
    pub fn is_null(&self) -> bool {
        *self == Self::Null
    }

    /// Returns the type of a literal with this value.
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
    /// Returns the type's object ID in PostgreSQL's system catalog.
    pub fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int8 => 20,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Void => 2278,
        }
    }

    /// Returns the type with the given object ID. Unsupported types are treated as text.
    pub fn from_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            20 => Self::Int8,
            21 | 23 => Self::Int4,
            2278 => Self::Void,
            _ => Self::Text,
        }
    }

    /// Returns the size of a value in bytes, or -1 if the size varies.
    pub fn size_bytes(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int4 | Self::Void => 4,
            Self::Int8 => 8,
            Self::Text => -1,
        }
    }
}
