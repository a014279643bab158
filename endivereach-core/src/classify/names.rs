//! Names of tables and functions as the database folds them.

use sqlparser::ast::Ident;
use sqlparser::ast::ObjectName;

/// Returns an identifier as the database compares it: unquoted ones in lower case.
pub(crate) fn folded(ident: &Ident) -> Box<str> {
    match ident.quote_style {
        Some(_) => ident.value.as_str().into(),
        None => ident.value.to_lowercase().into(),
    }
}

/// Returns the last part of a name, without its schema.
pub(crate) fn last_part(name: &ObjectName) -> Option<Box<str>> {
    name.0.last()?.as_ident().map(folded)
}

/// Returns whether a name is written without a schema.
pub(crate) fn is_unqualified(name: &ObjectName) -> bool {
    name.0.len() == 1
}

/// Returns a function's name when it is one of the database's own: unqualified, or in
/// `pg_catalog`.
pub(crate) fn catalog_function(name: &ObjectName) -> Option<Box<str>> {
    match &name.0[..] {
        [function] => function.as_ident().map(folded),
        [schema, function] if schema.as_ident().map(folded).as_deref() == Some("pg_catalog") => {
            function.as_ident().map(folded)
        }
        _ => None,
    }
}
