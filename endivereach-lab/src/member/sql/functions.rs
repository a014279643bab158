//! Scalar functions.

use super::eval::cast;
use super::plan::Function;
use crate::member::concurrency::locks::LockKey;
use crate::member::concurrency::locks::LockScope;
use crate::member::errors::LIMIT_EXCEEDED;
use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_FUNCTION;
use crate::member::errors::UNDEFINED_SETTING;
use crate::member::session::Session;
use crate::member::storage::value::ColumnType;
use crate::member::storage::value::Value;
use std::time::Duration;

/// The maximum length of a result of `repeat`, in bytes.
const REPEAT_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The maximum duration of `pg_sleep`, in seconds.
const SLEEP_MAX_S: f64 = 86_400.0;

impl Session {
    /// Calls a function with evaluated arguments.
    pub(super) fn call_function(
        &mut self,
        function: Function,
        arguments: &[Value],
    ) -> Result<Value, SqlError> {
        match function {
            Function::Sleep => self.sleep(&text_argument(arguments, 0)?),
            Function::AdvisoryLock => self.advisory_lock(arguments, LockScope::Session),
            Function::AdvisoryXactLock => self.advisory_lock(arguments, LockScope::Transaction),
            Function::TryAdvisoryLock => {
                let key = LockKey::Advisory(integer_argument(arguments, 0)?);
                let locks = &self.server().locks;
                Ok(Value::Bool(locks.try_lock(
                    self.pid(),
                    &key,
                    LockScope::Session,
                )))
            }
            Function::AdvisoryUnlock => {
                let key = LockKey::Advisory(integer_argument(arguments, 0)?);
                Ok(Value::Bool(self.server().locks.unlock(self.pid(), &key)))
            }
            Function::AdvisoryUnlockAll => {
                self.server().locks.release_session_locks(self.pid());
                Ok("".into())
            }
            Function::BackendPid => Ok(Value::Int(i64::from(self.pid()))),
            Function::CancelBackend => {
                let pid = pid_argument(arguments)?;
                Ok(Value::Bool(self.server().registry.cancel_backend(pid)))
            }
            Function::TerminateBackend => {
                let pid = pid_argument(arguments)?;
                Ok(Value::Bool(self.server().registry.terminate_backend(pid)))
            }
            Function::IsInRecovery => Ok(Value::Bool(
                self.server().replication.writable_term().is_err(),
            )),
            Function::CurrentSetting => self.current_setting(arguments),
            Function::SetConfig => {
                let name = text_argument(arguments, 0)?;
                let value = text_argument(arguments, 1)?;
                let local = arguments.get(2) == Some(&Value::Bool(true));
                self.set(&name, Some(&value), local)?;
                Ok(Value::Text(value))
            }
            Function::CurrentDatabase => Ok(Value::Text(self.database().into())),
            Function::CurrentUser => Ok(Value::Text(self.user().into())),
            Function::Version => Ok("PostgreSQL 16.0 (endivereach-lab stand-in)".into()),
            Function::Repeat => repeat(
                &text_argument(arguments, 0)?,
                integer_argument(arguments, 1)?,
            ),
            Function::Length => {
                let length = text_argument(arguments, 0)?.chars().count();
                Ok(Value::Int(length as i64))
            }
            Function::Coalesce => {
                let first = arguments.iter().find(|value| !value.is_null());
                Ok(first.cloned().unwrap_or(Value::Null))
            }
        }
    }

    fn sleep(&mut self, seconds: &str) -> Result<Value, SqlError> {
        let seconds: f64 = seconds.parse().map_err(|_| {
            SqlError::new(
                crate::member::errors::INVALID_TEXT,
                "pg_sleep needs a number of seconds",
            )
        })?;
        let duration = Duration::from_secs_f64(seconds.clamp(0.0, SLEEP_MAX_S));
        self.wait_limits().sleep(duration)?;
        Ok("".into())
    }

    fn advisory_lock(&mut self, arguments: &[Value], scope: LockScope) -> Result<Value, SqlError> {
        let key = LockKey::Advisory(integer_argument(arguments, 0)?);
        self.lock(key, scope)?;
        Ok("".into())
    }

    fn current_setting(&self, arguments: &[Value]) -> Result<Value, SqlError> {
        let name = text_argument(arguments, 0)?;
        let missing_ok = arguments.get(1) == Some(&Value::Bool(true));
        match self.settings().get(&name) {
            Some(value) => Ok(value.into()),
            None if missing_ok => Ok(Value::Null),
            None => Err(SqlError::new(
                UNDEFINED_SETTING,
                format!("unrecognized configuration parameter \"{name}\""),
            )),
        }
    }
}

fn argument(arguments: &[Value], index: usize) -> Result<&Value, SqlError> {
    arguments
        .get(index)
        .ok_or_else(|| SqlError::new(UNDEFINED_FUNCTION, "too few arguments for the function"))
}

fn text_argument(arguments: &[Value], index: usize) -> Result<Box<str>, SqlError> {
    Ok(argument(arguments, index)?.to_string().into())
}

fn integer_argument(arguments: &[Value], index: usize) -> Result<i64, SqlError> {
    match cast(argument(arguments, index)?, ColumnType::Int8)? {
        Value::Int(number) => Ok(number),
        _ => Ok(0),
    }
}

fn pid_argument(arguments: &[Value]) -> Result<u32, SqlError> {
    Ok(u32::try_from(integer_argument(arguments, 0)?).unwrap_or(0))
}

fn repeat(text: &str, times: i64) -> Result<Value, SqlError> {
    let times = usize::try_from(times).unwrap_or(0);
    if text.len().saturating_mul(times) > REPEAT_MAX_BYTES {
        return Err(SqlError::new(
            LIMIT_EXCEEDED,
            format!("repeat makes at most {REPEAT_MAX_BYTES} bytes"),
        ));
    }
    Ok(Value::Text(text.repeat(times).into()))
}
