//! The error replies that the proxy itself creates. Each has a hint on how to resolve the error.

use crate::targets::AcquireError;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::reply::SQLSTATE_NOT_RUN;
use endivereach_wire::pg::reply::SQLSTATE_REFUSED;
use endivereach_wire::pg::reply::SQLSTATE_UNKNOWN;
use std::time::Duration;

/// The retry delay suggested to callers when the group has no primary.
const NO_PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The retry delay suggested to callers when no target replied.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reports that the request was not executed for `reason`, and suggests a retry after
/// `retry_after`.
pub(crate) fn not_run(reason: &str, retry_after: Duration) -> ErrorReply {
    let hint = format!(
        "The request was not run and never will be. Send it again in {} ms.",
        retry_after.as_millis().max(1)
    );
    ErrorReply::new(SQLSTATE_NOT_RUN, reason, hint)
}

/// Reports that the request was not executed because the group has no primary.
pub(crate) fn no_primary() -> ErrorReply {
    not_run(
        "the group has no primary at present",
        NO_PRIMARY_RETRY_DELAY,
    )
}

/// Reports that the request was not executed because the primary failed.
pub(crate) fn primary_failed() -> ErrorReply {
    not_run(
        "the primary failed while the request was on its way",
        NO_PRIMARY_RETRY_DELAY,
    )
}

/// Reports that the transaction was not committed because its connection was lost.
pub(crate) fn transaction_lost() -> ErrorReply {
    not_run(
        "the connection of this transaction was lost before its commit; nothing of it was kept",
        NO_PRIMARY_RETRY_DELAY,
    )
}

/// Reports that the request was not executed because no connection could be leased.
pub(crate) fn not_acquired(error: &AcquireError) -> ErrorReply {
    let retry_after = match error {
        AcquireError::Shed(shed) => shed.retry_after,
        AcquireError::TimedOut | AcquireError::Unreachable(_) => UNREACHABLE_RETRY_DELAY,
    };
    not_run(&error.to_string(), retry_after)
}

/// Reports that the read was not executed because the position that it must include could not be
/// determined in time.
pub(crate) fn no_read_position() -> ErrorReply {
    not_run(
        "no server could show in time that it holds everything this read must include",
        UNREACHABLE_RETRY_DELAY,
    )
}

/// Reports that the read failed because no server replied.
pub(crate) fn read_failed() -> ErrorReply {
    not_run(
        "no server answered the read in time",
        UNREACHABLE_RETRY_DELAY,
    )
}

/// Reports that the outcome of the request could not be determined before its deadline.
pub(crate) fn outcome_unknown() -> ErrorReply {
    ErrorReply::new(
        SQLSTATE_UNKNOWN,
        "the outcome of the request could not be found out before its deadline",
        "Check whether the change is there before repeating it, or repeat it with the same \
         endivereach.request_id: it runs once at most.",
    )
}

/// Reports that the request was committed, but that its reply was not stored.
pub(crate) fn reply_lost() -> ErrorReply {
    ErrorReply::new(
        SQLSTATE_UNKNOWN,
        "the request was done, once; what it returned was too large to be kept and is lost",
        "Do not repeat it. Read the rows that it changed.",
    )
}

/// Reports that the proxy does not support the statement, with `reason` as the hint.
pub(crate) fn unsupported_statement(reason: &str) -> ErrorReply {
    ErrorReply::new(
        SQLSTATE_REFUSED,
        "a pooled proxy can't carry this statement",
        reason,
    )
}

/// Reports a violation of the PostgreSQL protocol.
pub(crate) fn protocol_violation(message: &str) -> ErrorReply {
    ErrorReply::fatal(
        "08P01",
        message,
        "Check that the driver speaks version 3 of the PostgreSQL protocol.",
    )
}

/// Reports that the proxy is shutting down.
pub(crate) fn shutting_down() -> ErrorReply {
    ErrorReply::fatal(
        "57P01",
        "this proxy is being stopped as planned; every answered request is done",
        "Connect again: the balancer leads to another proxy. A request that was not answered was \
         not run.",
    )
}

/// Reports that there is no database group called `name`.
pub(crate) fn unknown_group(name: &str) -> ErrorReply {
    ErrorReply::fatal(
        "3D000",
        format!("there is no database group {name:?}"),
        "Connect with the name of a group as the database name; `endivereach groups` lists them.",
    )
}

/// Reports that the password authentication of `user` failed.
pub(crate) fn login_failed(user: &str) -> ErrorReply {
    ErrorReply::fatal(
        "28P01",
        format!("password authentication failed for user {user:?}"),
        "Check the role and its password against the proxy's settings.",
    )
}

/// Reports that a parameter of the proxy itself has an invalid name or value.
pub(crate) fn bad_parameter(name: &str, reason: &str) -> ErrorReply {
    ErrorReply::new("22023", format!("{name} can't take this value"), reason)
}
