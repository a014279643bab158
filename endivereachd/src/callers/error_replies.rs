//! The errors that the proxy itself answers, each with its remedy.

use crate::targets::AcquireError;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::reply::SQLSTATE_NOT_RUN;
use endivereach_wire::pg::reply::SQLSTATE_REFUSED;
use endivereach_wire::pg::reply::SQLSTATE_UNKNOWN;
use std::time::Duration;

/// When to come back after a request that was not run for want of a primary.
const RETRY_AFTER_NO_PRIMARY: Duration = Duration::from_millis(500);

/// When to come back when a target did not answer.
const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_millis(200);

/// The request was not run.
pub(crate) fn not_run(reason: &str, retry_after: Duration) -> ErrorReply {
    let hint = format!(
        "The request was not run and never will be. Send it again in {} ms.",
        retry_after.as_millis().max(1)
    );
    ErrorReply::new(SQLSTATE_NOT_RUN, reason, hint)
}

/// The request was not run because the group has no primary now.
pub(crate) fn no_primary() -> ErrorReply {
    not_run(
        "the group has no primary at present",
        RETRY_AFTER_NO_PRIMARY,
    )
}

/// The request was not run because its primary failed.
pub(crate) fn primary_failed() -> ErrorReply {
    not_run(
        "the primary failed while the request was on its way",
        RETRY_AFTER_NO_PRIMARY,
    )
}

/// The transaction ended without its commit, because its connection was lost.
pub(crate) fn transaction_lost() -> ErrorReply {
    not_run(
        "the connection of this transaction was lost before its commit; nothing of it was kept",
        RETRY_AFTER_NO_PRIMARY,
    )
}

/// The request was not run because no connection was to be had.
pub(crate) fn not_acquired(error: &AcquireError) -> ErrorReply {
    let retry_after = match error {
        AcquireError::Shed(shed) => shed.retry_after,
        AcquireError::TimedOut | AcquireError::Unreachable(_) => RETRY_AFTER_UNREACHABLE,
    };
    not_run(&error.to_string(), retry_after)
}

/// The read was given up because its position could not be learnt in time.
pub(crate) fn no_position() -> ErrorReply {
    not_run(
        "no server could show in time that it holds everything this read must include",
        RETRY_AFTER_UNREACHABLE,
    )
}

/// The read was given up because no server answered it.
pub(crate) fn read_failed() -> ErrorReply {
    not_run(
        "no server answered the read in time",
        RETRY_AFTER_UNREACHABLE,
    )
}

/// The outcome could not be found out before the deadline.
pub(crate) fn outcome_unknown() -> ErrorReply {
    ErrorReply::new(
        SQLSTATE_UNKNOWN,
        "the outcome of the request could not be found out before its deadline",
        "Check whether the change is there before repeating it, or repeat it with the same \
         endivereach.request_id: it runs once at most.",
    )
}

/// The request was done, but what it returned is lost.
pub(crate) fn reply_lost() -> ErrorReply {
    ErrorReply::new(
        SQLSTATE_UNKNOWN,
        "the request was done, once; what it returned was too large to be kept and is lost",
        "Do not repeat it. Read the rows that it changed.",
    )
}

/// A pooled proxy can't carry the statement.
pub(crate) fn unsupported_statement(reason: &str) -> ErrorReply {
    ErrorReply::new(
        SQLSTATE_REFUSED,
        "a pooled proxy can't carry this statement",
        reason,
    )
}

/// The message breaks the protocol.
pub(crate) fn protocol_violation(message: &str) -> ErrorReply {
    ErrorReply::fatal(
        "08P01",
        message,
        "Check that the driver speaks version 3 of the PostgreSQL protocol.",
    )
}

/// The proxy stops.
pub(crate) fn shutting_down() -> ErrorReply {
    ErrorReply::fatal(
        "57P01",
        "this proxy is being stopped as planned; every answered request is done",
        "Connect again: the balancer leads to another proxy. A request that was not answered was \
         not run.",
    )
}

/// The database is unknown.
pub(crate) fn unknown_group(name: &str) -> ErrorReply {
    ErrorReply::fatal(
        "3D000",
        format!("there is no database group {name:?}"),
        "Connect with the name of a group as the database name; `endivereach groups` lists them.",
    )
}

/// The login failed.
pub(crate) fn login_failed(user: &str) -> ErrorReply {
    ErrorReply::fatal(
        "28P01",
        format!("password authentication failed for user {user:?}"),
        "Check the role and its password against the proxy's settings.",
    )
}

/// A parameter of the proxy's own has an impossible value.
pub(crate) fn bad_parameter(name: &str, reason: &str) -> ErrorReply {
    ErrorReply::new("22023", format!("{name} can't take this value"), reason)
}
