//! Checks that session state of one caller isn't visible to later callers.

use super::Endpoints;
use super::PROBE_TIMEOUT;
use crate::sql::Login;
use crate::sql::SqlClient;
use crate::sql::SqlError;
use rand::Rng;

/// The number of later callers that check for session state of the first caller after it
/// disconnected.
const LATER_CALLERS: usize = 4;

/// The statements with which the first caller leaves session state behind. The proxy may refuse
/// them.
const SESSION_STATE_STATEMENTS: [&str; 3] = [
    "SET lock_timeout = '1234ms'",
    "CREATE TEMP TABLE left_behind (id INT)",
    "SELECT pg_advisory_lock(4711)",
];

/// Leaves session state behind at a random proxy, in the first group, and returns the number of
/// later callers that saw some of it.
///
/// In every third round, the first caller disconnects within a transaction. In every fourth round,
/// it disconnects after an error in a transaction.
///
/// # Errors
///
/// Returns an error when a proxy can't be reached.
pub fn leave_session_state(
    endpoints: &Endpoints,
    round: usize,
    rng: &mut impl Rng,
) -> Result<usize, SqlError> {
    let proxy = rng.random_range(0..endpoints.proxy_count());
    let mut first_caller = connect(endpoints, proxy)?;
    for sql in SESSION_STATE_STATEMENTS {
        query_unless_refused(&mut first_caller, sql)?;
    }
    if round.is_multiple_of(3) {
        query_unless_refused(&mut first_caller, "BEGIN")?;
        query_unless_refused(
            &mut first_caller,
            "UPDATE aged_counters SET value = 0 WHERE key = 'none'",
        )?;
    }
    if round.is_multiple_of(4) {
        query_unless_refused(&mut first_caller, "BEGIN")?;
        query_unless_refused(&mut first_caller, "SELECT nothing FROM nowhere")?;
    }
    drop(first_caller);
    let mut violations = 0;
    for _ in 0..LATER_CALLERS {
        let mut later_caller = connect(endpoints, proxy)?;
        violations += usize::from(sees_foreign_state(&mut later_caller)?);
    }
    Ok(violations)
}

/// Returns whether a caller sees a setting, a table or a failed transaction of another caller.
fn sees_foreign_state(client: &mut SqlClient) -> Result<bool, SqlError> {
    let setting = query_unless_refused(client, "SHOW lock_timeout")?;
    let table = query_unless_refused(client, "SELECT id FROM left_behind")?;
    let row = query_unless_refused(client, "SELECT key FROM aged_counters LIMIT 1")?;
    let has_setting = setting.is_some_and(|value| value.contains("1234"));
    Ok(has_setting || table.is_some() || row.is_none())
}

/// Runs a request and returns its first value as text, or `None` when the request was refused.
fn query_unless_refused(client: &mut SqlClient, sql: &str) -> Result<Option<String>, SqlError> {
    match client.query(sql) {
        Ok(answer) => Ok(Some(answer.first(0).unwrap_or_default().to_owned())),
        Err(SqlError::Server { .. }) => Ok(None),
        Err(broken) => Err(broken),
    }
}

fn connect(endpoints: &Endpoints, proxy: usize) -> Result<SqlClient, SqlError> {
    let login = Login {
        user: "lab".into(),
        database: endpoints.groups[0].as_str().into(),
        parameters: Vec::new(),
    };
    SqlClient::connect(endpoints.proxy(proxy), &login, PROBE_TIMEOUT)
}
