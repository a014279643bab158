//! Session state that one caller leaves behind, and a look whether the next ones find it.

use super::Endpoints;
use super::PROBE_TIMEOUT;
use crate::sql::Login;
use crate::sql::SqlClient;
use crate::sql::SqlError;
use rand::Rng;

/// How many callers look for the state after the first one left.
const FOLLOWERS: usize = 4;

/// What the first caller leaves behind. The proxy may refuse any of it.
const LEFT_BEHIND: [&str; 3] = [
    "SET lock_timeout = '1234ms'",
    "CREATE TEMP TABLE left_behind (id INT)",
    "SELECT pg_advisory_lock(4711)",
];

/// Lets a caller leave state behind at a random proxy, in the first group, and returns how often
/// callers that came after it found some.
///
/// Every third round ends in the middle of a transaction, and every fourth after an error in one.
///
/// # Errors
///
/// Returns an error when a proxy can't be reached.
pub fn leave_state(
    endpoints: &Endpoints,
    round: usize,
    rng: &mut impl Rng,
) -> Result<usize, SqlError> {
    let proxy = rng.random_range(0..endpoints.proxy_count());
    let mut first = connect(endpoints, proxy)?;
    for sql in LEFT_BEHIND {
        ask(&mut first, sql)?;
    }
    if round.is_multiple_of(3) {
        ask(&mut first, "BEGIN")?;
        ask(
            &mut first,
            "UPDATE aged_counters SET value = 0 WHERE key = 'none'",
        )?;
    }
    if round.is_multiple_of(4) {
        ask(&mut first, "BEGIN")?;
        ask(&mut first, "SELECT nothing FROM nowhere")?;
    }
    drop(first);
    let mut found = 0;
    for _ in 0..FOLLOWERS {
        let mut next = connect(endpoints, proxy)?;
        found += usize::from(finds_state(&mut next)?);
    }
    Ok(found)
}

/// Returns whether a caller sees a setting, a table or a transaction that isn't its own.
fn finds_state(client: &mut SqlClient) -> Result<bool, SqlError> {
    let setting = ask(client, "SHOW lock_timeout")?;
    let table = ask(client, "SELECT id FROM left_behind")?;
    let rollback = ask(client, "SELECT key FROM aged_counters LIMIT 1")?;
    let has_setting = setting.is_some_and(|value| value.contains("1234"));
    Ok(has_setting || table.is_some() || rollback.is_none())
}

/// Runs a request and returns its first value as text, or `None` when it was refused.
fn ask(client: &mut SqlClient, sql: &str) -> Result<Option<String>, SqlError> {
    match client.query(sql) {
        Ok(answer) => Ok(Some(answer.first(0).unwrap_or_default().to_owned())),
        Err(SqlError::Refused { .. }) => Ok(None),
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
