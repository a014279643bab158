//! Session parameters: those that the proxy itself interprets, and PostgreSQL parameters, which the
//! proxy sets again on every connection that the caller uses.

use super::error_replies;
use super::reply_relay::RelayOptions;
use super::reply_relay::relay;
use super::run::RequestExecution;
use super::run::SessionEnd;
use super::session::PROXY_PARAMETER_PREFIX;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use crate::targets::ConnectionBudget;
use endivereach_wire::pg::tag::status;
use std::time::Duration;

/// The maximum time for which a target may send nothing while it sets a parameter.
const SET_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A `SET` or `RESET` of a parameter of the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProxySet<'a> {
    pub(crate) name: &'a str,
    pub(crate) value: &'a str,
}

/// Parses `SET [SESSION|LOCAL] endivereach.name {=|TO} 'value'` and `RESET endivereach.name`.
/// Returns `None` for any other statement.
pub(crate) fn parse_proxy_set(sql: &str) -> Option<ProxySet<'_>> {
    let sql = sql.trim().trim_end_matches(';').trim_end();
    let (verb, rest) = sql.split_once(char::is_whitespace)?;
    let mut rest = rest.trim_start();
    for scope in ["SESSION ", "LOCAL "] {
        if rest.len() > scope.len() && rest.is_char_boundary(scope.len()) {
            let (head, tail) = rest.split_at(scope.len());
            rest = if head.eq_ignore_ascii_case(scope) {
                tail.trim_start()
            } else {
                rest
            };
        }
    }
    if !rest.starts_with(PROXY_PARAMETER_PREFIX) {
        return None;
    }
    if verb.eq_ignore_ascii_case("RESET") {
        return Some(ProxySet {
            name: rest,
            value: "",
        });
    }
    if !verb.eq_ignore_ascii_case("SET") {
        return None;
    }
    let end = rest.find(|c: char| c == '=' || c.is_whitespace())?;
    let (name, value) = rest.split_at(end);
    let value = value.trim_start();
    let value = value
        .strip_prefix('=')
        .or_else(|| value.strip_prefix("TO "))
        .or_else(|| value.strip_prefix("to "))?
        .trim();
    let value = value
        .strip_prefix('\'')
        .and_then(|value| value.strip_suffix('\''))
        .unwrap_or(value);
    Some(ProxySet { name, value })
}

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Sets a parameter of the proxy itself.
    pub(crate) fn run_proxy_set(&mut self, proxy_set: ProxySet<'_>) -> Result<(), SessionEnd> {
        let status = self.dedicated_status();
        match self
            .session
            .set_proxy_parameter(proxy_set.name, proxy_set.value)
        {
            Ok(()) => {
                self.put_local_reply("SET");
                self.finish(status)
            }
            Err(error) => self.fail(&error, status),
        }
    }

    /// Sets a PostgreSQL parameter on this connection and records it for each connection that the
    /// caller uses later.
    pub(crate) fn run_set(&mut self) -> Result<(), SessionEnd> {
        let request = self.request;
        let mut primary = match self.lease_primary(self.is_held_through_failover()) {
            Ok(primary) => primary,
            Err(error) => return self.fail(&error, status::IDLE),
        };
        let connection = primary.lease.connection();
        self.target_output.clear();
        let mut expected = match self.put_request(connection) {
            Ok(expected) => expected,
            Err(request_error) => return self.fail_request(request_error, status::IDLE),
        };
        // The parameter is recorded in `parameters_hash`, and the request leaves no other state on
        // the connection.
        connection.is_dirty = false;
        let options = RelayOptions {
            required: None,
            withhold: true,
            silence_timeout: SET_SILENCE_TIMEOUT,
        };
        let relayed = match self.send(connection) {
            Ok(()) => relay(connection, &mut self.output, &mut expected, options, false),
            Err(error) => Err(error.into()),
        };
        let Ok(relayed) = relayed else {
            primary.lease.discard();
            return self.fail(&error_replies::primary_failed(), status::IDLE);
        };
        if relayed.sqlstate.is_none() {
            if let Err(error) = self.session.parameters.push(&request.sql) {
                connection.is_dirty = true;
                return self.fail(&error, status::IDLE);
            }
            connection.parameters_hash = self.session.parameters.hash();
        }
        drop(primary);
        self.finish(status::IDLE)
    }
}
