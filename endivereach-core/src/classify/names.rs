//! Normalization of table and function names.

use sqlparser::ast::Ident;
use sqlparser::ast::ObjectName;

/// Returns an identifier as the database compares it: in lower case unless it is quoted.
pub(crate) fn fold_case(ident: &Ident) -> Box<str> {
    match ident.quote_style {
        Some(_) => ident.value.as_str().into(),
        None => ident.value.to_lowercase().into(),
    }
}

/// Returns a name without its schema.
pub(crate) fn unqualified_name(name: &ObjectName) -> Option<Box<str>> {
    name.0.last()?.as_ident().map(fold_case)
}

/// Returns whether a name has no schema.
pub(crate) fn is_unqualified(name: &ObjectName) -> bool {
    name.0.len() == 1
}

/// Returns the name of a function that may be built in: one without a schema, or in `pg_catalog`.
pub(crate) fn builtin_function_name(name: &ObjectName) -> Option<Box<str>> {
    match &name.0[..] {
        [function] => function.as_ident().map(fold_case),
        [schema, function] if schema.as_ident().map(fold_case).as_deref() == Some("pg_catalog") => {
            function.as_ident().map(fold_case)
        }
        _ => None,
    }
}
