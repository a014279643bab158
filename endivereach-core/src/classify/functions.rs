//! Side effects of SQL functions.

use std::collections::BTreeSet;

/// User-defined functions that a rules file declares to have no side effects.
///
/// # Examples
///
/// ```
/// use endivereach_core::classify::{DeclaredFunctions, analyse_with};
/// use endivereach_core::treatment::StatementKind;
///
/// let declared: DeclaredFunctions = ["berth_distance".into()].into_iter().collect();
/// let analysis = analyse_with("SELECT berth_distance(1, 2)", &declared);
/// assert_eq!(analysis.kind, StatementKind::Read);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclaredFunctions {
    names: BTreeSet<Box<str>>,
}

impl DeclaredFunctions {
    /// Returns whether the function is declared. The declaration applies to every schema.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}

impl FromIterator<Box<str>> for DeclaredFunctions {
    fn from_iter<I: IntoIterator<Item = Box<str>>>(names: I) -> Self {
        Self {
            names: names.into_iter().collect(),
        }
    }
}

/// The side effect of calling a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The function only computes its result.
    None,
    /// The function changes something that is not a table, such as a sequence, or depends on such a
    /// change.
    Writes,
    /// The side effects of the function are unknown.
    Unknown,
    /// The function changes a lock or a setting that lasts as long as the connection.
    Session,
}

/// Built-in functions without side effects. Sorted for binary search.
const SIDE_EFFECT_FREE: [&str; 199] = [
    "abs",
    "age",
    "any_value",
    "array_agg",
    "array_append",
    "array_cat",
    "array_length",
    "array_lower",
    "array_position",
    "array_positions",
    "array_prepend",
    "array_remove",
    "array_replace",
    "array_to_json",
    "array_to_string",
    "array_upper",
    "ascii",
    "avg",
    "bit_and",
    "bit_length",
    "bit_or",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "cbrt",
    "ceil",
    "ceiling",
    "char_length",
    "character_length",
    "chr",
    "clock_timestamp",
    "coalesce",
    "concat",
    "concat_ws",
    "corr",
    "count",
    "cume_dist",
    "current_catalog",
    "current_database",
    "current_date",
    "current_schema",
    "current_time",
    "current_timestamp",
    "current_user",
    "date_bin",
    "date_part",
    "date_trunc",
    "daterange",
    "decode",
    "degrees",
    "dense_rank",
    "div",
    "encode",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "gen_random_uuid",
    "generate_series",
    "generate_subscripts",
    "greatest",
    "grouping",
    "initcap",
    "int4range",
    "isempty",
    "isfinite",
    "json_agg",
    "json_array_elements",
    "json_array_elements_text",
    "json_array_length",
    "json_build_array",
    "json_build_object",
    "json_each",
    "json_each_text",
    "json_extract_path",
    "json_extract_path_text",
    "json_object_agg",
    "json_object_keys",
    "json_typeof",
    "jsonb_agg",
    "jsonb_array_elements",
    "jsonb_array_elements_text",
    "jsonb_array_length",
    "jsonb_build_array",
    "jsonb_build_object",
    "jsonb_each",
    "jsonb_each_text",
    "jsonb_extract_path",
    "jsonb_extract_path_text",
    "jsonb_object_agg",
    "jsonb_object_keys",
    "jsonb_pretty",
    "jsonb_set",
    "jsonb_strip_nulls",
    "jsonb_typeof",
    "justify_days",
    "justify_hours",
    "justify_interval",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "localtime",
    "localtimestamp",
    "log",
    "lower",
    "lower_inf",
    "lpad",
    "ltrim",
    "make_date",
    "make_interval",
    "make_time",
    "make_timestamp",
    "make_timestamptz",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "octet_length",
    "percent_rank",
    "percentile_cont",
    "percentile_disc",
    "pg_typeof",
    "pi",
    "position",
    "power",
    "quote_ident",
    "quote_literal",
    "radians",
    "random",
    "rank",
    "regexp_match",
    "regexp_matches",
    "regexp_replace",
    "regexp_split_to_array",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "session_user",
    "sign",
    "split_part",
    "sqrt",
    "starts_with",
    "statement_timestamp",
    "stddev",
    "stddev_pop",
    "stddev_samp",
    "string_agg",
    "string_to_array",
    "strpos",
    "substr",
    "substring",
    "sum",
    "timeofday",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "to_tsquery",
    "to_tsvector",
    "transaction_timestamp",
    "translate",
    "trim",
    "trim_array",
    "trunc",
    "ts_rank",
    "tsrange",
    "tstzrange",
    "unnest",
    "upper",
    "upper_inf",
    "user",
    "var_pop",
    "var_samp",
    "variance",
    "version",
    "websearch_to_tsquery",
    "width_bucket",
    "xmlagg",
    "xmlelement",
    "xmlforest",
];

/// Built-in functions that change something other than a table, or depend on such a change. Sorted
/// for binary search.
const WRITING_FUNCTIONS: [&str; 10] = [
    "currval",
    "lastval",
    "nextval",
    "pg_advisory_xact_lock",
    "pg_advisory_xact_lock_shared",
    "pg_current_xact_id",
    "pg_notify",
    "pg_try_advisory_xact_lock",
    "setval",
    "txid_current",
];

/// Built-in functions that change state of the connection that outlasts the transaction. Sorted for
/// binary search.
const SESSION_FUNCTIONS: [&str; 7] = [
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
];

/// Returns the side effect of calling the built-in function `name`.
pub(crate) fn builtin_effect(name: &str) -> Effect {
    let listed = |list: &[&str]| list.binary_search(&name).is_ok();
    if listed(&SIDE_EFFECT_FREE) {
        return Effect::None;
    }
    if listed(&WRITING_FUNCTIONS) {
        return Effect::Writes;
    }
    if listed(&SESSION_FUNCTIONS) {
        return Effect::Session;
    }
    Effect::Unknown
}
