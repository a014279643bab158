//! Session parameters: the proxy's own, and ordinary ones that follow the caller from connection
//! to connection.

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

/// How long a target may take to set a parameter.
const SET_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A `SET` of one of the proxy's own parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProxySet<'a> {
    pub(crate) name: &'a str,
    pub(crate) value: &'a str,
}

/// Reads `SET [SESSION|LOCAL] endivereach.name = 'value'`, also with `TO`, and `RESET`.
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
    /// Sets one of the proxy's own parameters.
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

    /// Sets an ordinary parameter, on this connection and on each that the caller uses later.
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
            Err(bad) => return self.fail_request(bad, status::IDLE),
        };
        // The session's list tells of the parameter; nothing else is left behind.
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
