//! Applies rules with a conditional update, which never overwrites the change of another operator
//! and takes effect at most once.
//!
//! All attempts of one change have the same operation id. The rules object lists the ids of the
//! changes before it, so that a writer that got no response finds its own change even after other
//! changes replaced it.

use endivereach_core::ids::Version;
use endivereach_wire::http::CallError;
use endivereach_wire::operator::KIND_RULES_HISTORY;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::PREVIOUS_CHANGES_MAX;
use endivereach_wire::operator::RulesChange;
use endivereach_wire::operator::RulesObject;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::PlatformClient;
use endivereach_wire::platform::PutOutcome;
use std::thread;
use std::time::Duration;
use twox_hash::XxHash64;

/// A change of the rules, to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The operation id, which is the same for every attempt.
    pub op_id: Box<str>,
    /// The version that the new rules are based on, or zero when there are no rules yet.
    pub expected: Version,
    /// The text of the new rules file.
    pub text: Box<str>,
    /// The operator who applies the rules.
    pub by: Box<str>,
    /// The reason of the change. May be empty.
    pub reason: Box<str>,
    /// The time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl Change {
    /// Returns the operation id of a change. It is a hash of the expected version, the operator,
    /// the reason and the text, so that running the same command again doesn't make a second
    /// change.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach::apply::Change;
    ///
    /// let id = Change::operation_id("7".parse().unwrap(), "Priya", "", "text");
    /// assert_eq!(id, Change::operation_id("7".parse().unwrap(), "Priya", "", "text"));
    /// assert_ne!(id, Change::operation_id("8".parse().unwrap(), "Priya", "", "text"));
    /// ```
    pub fn operation_id(expected: Version, by: &str, reason: &str, text: &str) -> Box<str> {
        let parts = [by, reason, text].map(|part| format!("{}:{part}", part.len()));
        let bytes = parts.concat();
        let low = XxHash64::oneshot(1, bytes.as_bytes());
        let high = XxHash64::oneshot(2, bytes.as_bytes());
        format!("rules-{expected}-{high:016x}{low:016x}").into()
    }
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The platform stored the change.
    Accepted {
        /// The version that the change created.
        version: Version,
        /// The newest change, if it replaced this version since.
        overtaken_by: Option<RulesChange>,
    },
    /// The expected version isn't the current one, and nothing was changed.
    Conflict {
        /// The changes after the expected version, newest first.
        changes: Vec<RulesChange>,
    },
}

/// The error of a change that failed or whose outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The platform didn't store the change.
    #[error("nothing was changed: {reason}; {remedy}")]
    NotStored {
        /// The error of the last attempt.
        reason: Box<str>,
        /// A suggestion how to fix the error.
        remedy: Box<str>,
    },
    /// No response to the write arrived, and the platform can't be read to determine the outcome.
    #[error(
        "the outcome of operation {op_id} is not known: {reason}; run the same command again, \
         which applies the change at most once"
    )]
    Unknown {
        /// The operation id of the change.
        op_id: Box<str>,
        /// The error of the last attempt.
        reason: Box<str>,
    },
}

/// The limits of the retries of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyConfig {
    /// The maximum number of attempts. Default: 8.
    pub attempts_max: u32,
    /// The delay after the first failed attempt. It doubles after each further one, up to
    /// [`ApplyConfig::retry_delay_max`]. Default: 200 ms.
    pub retry_delay: Duration,
    /// The maximum delay between attempts. Default: 5 s.
    pub retry_delay_max: Duration,
}

impl Default for ApplyConfig {
    fn default() -> Self {
        Self {
            attempts_max: 8,
            retry_delay: Duration::from_millis(200),
            retry_delay_max: Duration::from_secs(5),
        }
    }
}

/// The rules object that was read, and its decoded value.
#[derive(Clone, Debug)]
struct CurrentRules {
    object: Option<Object>,
    rules: Option<RulesObject>,
}

impl CurrentRules {
    fn version(&self) -> Version {
        self.object
            .as_ref()
            .map_or(Version::new(0), |object| object.version)
    }

    /// Returns every change that the object lists, newest first.
    fn changes(&self) -> Vec<RulesChange> {
        let (Some(object), Some(rules)) = (&self.object, &self.rules) else {
            return Vec::new();
        };
        let newest = rules.change(object.version, &object.op_id);
        std::iter::once(newest)
            .chain(rules.previous.iter().cloned())
            .collect()
    }

    /// Returns the outcome of the operation if the object lists its change.
    fn outcome_of(&self, op_id: &str) -> Option<ApplyOutcome> {
        let changes = self.changes();
        let index = changes.iter().position(|change| &*change.op_id == op_id)?;
        Some(ApplyOutcome::Accepted {
            version: changes[index].version,
            overtaken_by: (index > 0).then(|| changes[0].clone()),
        })
    }
}

/// Makes the change if its expected version is still the current one. Calling this function again
/// with the same change has no further effect.
///
/// # Errors
///
/// Returns [`ApplyError::Unknown`] when the change may have taken effect, and
/// [`ApplyError::NotStored`] when it has not.
pub fn apply(
    platform: &PlatformClient,
    change: &Change,
    config: ApplyConfig,
) -> Result<ApplyOutcome, ApplyError> {
    // An error before the first write of the rules object means that nothing was changed.
    let mut write_sent = false;
    let mut backoff = Backoff::new(config);
    loop {
        let result = try_apply(platform, change, &mut write_sent);
        let error = match result {
            Ok(outcome) => return Ok(outcome),
            Err(error) => error,
        };
        let is_permanent = matches!(error, AttemptError::Permanent(_));
        if is_permanent || !backoff.wait() {
            return Err(apply_error(error, write_sent, change));
        }
    }
}

/// The error of one attempt.
#[derive(Debug)]
enum AttemptError {
    /// A retry may succeed.
    Retryable(Box<str>),
    /// A retry can't succeed.
    Permanent(Box<str>),
}

impl From<CallError> for AttemptError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NoAnswer { .. } => Self::Retryable(error.to_string().into()),
            // A refused call had no effect, and a platform that is temporarily down also refuses
            // calls.
            CallError::Refused(_) => Self::Retryable(error.to_string().into()),
            CallError::Malformed { .. } => Self::Permanent(error.to_string().into()),
        }
    }
}

fn apply_error(error: AttemptError, write_sent: bool, change: &Change) -> ApplyError {
    let (AttemptError::Retryable(reason) | AttemptError::Permanent(reason)) = error;
    if write_sent {
        return ApplyError::Unknown {
            op_id: change.op_id.clone(),
            reason,
        };
    }
    ApplyError::NotStored {
        reason,
        remedy:
            "check the address in --platform, and run the command again when the platform answers"
                .into(),
    }
}

/// Reads the current rules, archives them and replaces them. Sets `write_sent` before the write
/// that replaces them.
fn try_apply(
    platform: &PlatformClient,
    change: &Change,
    write_sent: &mut bool,
) -> Result<ApplyOutcome, AttemptError> {
    let current = read_current(platform)?;
    if let Some(outcome) = current.outcome_of(&change.op_id) {
        return Ok(outcome);
    }
    if current.version() != change.expected {
        return resolve_conflict(&current, change, *write_sent);
    }
    archive(platform, &current)?;
    let value = build_replacement(change, &current);
    *write_sent = true;
    let put = platform.put(
        KIND_RULES,
        NAME_CURRENT,
        change.expected,
        &change.op_id,
        &value,
    )?;
    match put {
        PutOutcome::Stored { version } => Ok(ApplyOutcome::Accepted {
            version,
            overtaken_by: None,
        }),
        PutOutcome::Conflict { .. } => {
            let current = read_current(platform)?;
            match current.outcome_of(&change.op_id) {
                Some(outcome) => Ok(outcome),
                None => resolve_conflict(&current, change, true),
            }
        }
    }
}

/// Returns the outcome of a change that the object doesn't list, when the object's version isn't
/// the expected one.
///
/// If the list is complete or includes the expected version or an older one, the change was not
/// made. Otherwise a change that was sent may have been made and since dropped from the list, so
/// its outcome is unknown.
fn resolve_conflict(
    current: &CurrentRules,
    change: &Change,
    write_sent: bool,
) -> Result<ApplyOutcome, AttemptError> {
    let changes = current.changes();
    let covers_expected = changes.len() <= PREVIOUS_CHANGES_MAX
        || changes
            .last()
            .is_some_and(|oldest| oldest.version <= change.expected);
    if write_sent && !covers_expected {
        let reason = "there are more newer changes than the rules object lists; look for the \
                      operation in 'endivereach rules history'";
        return Err(AttemptError::Permanent(reason.into()));
    }
    let newer = changes
        .into_iter()
        .filter(|listed| listed.version > change.expected);
    Ok(ApplyOutcome::Conflict {
        changes: newer.collect(),
    })
}

fn read_current(platform: &PlatformClient) -> Result<CurrentRules, AttemptError> {
    let object = platform.get(KIND_RULES, NAME_CURRENT)?;
    let rules = match &object {
        None => None,
        Some(object) => Some(object.decode::<RulesObject>().map_err(|reason| {
            AttemptError::Permanent(format!("the rules object can't be decoded: {reason}").into())
        })?),
    };
    Ok(CurrentRules { object, rules })
}

/// Stores a copy of the version that is about to be replaced. A conflict means that an earlier
/// attempt or another writer has already stored it.
fn archive(platform: &PlatformClient, current: &CurrentRules) -> Result<(), AttemptError> {
    let (Some(object), Some(rules)) = (&current.object, &current.rules) else {
        return Ok(());
    };
    let name = object.version.to_string();
    platform.put(
        KIND_RULES_HISTORY,
        &name,
        Version::new(0),
        &object.op_id,
        rules,
    )?;
    Ok(())
}

fn build_replacement(change: &Change, current: &CurrentRules) -> RulesObject {
    let mut previous = current.changes();
    previous.truncate(PREVIOUS_CHANGES_MAX);
    RulesObject {
        text: change.text.clone(),
        by: change.by.clone(),
        reason: change.reason.clone(),
        at_unix_ms: change.at_unix_ms,
        previous,
    }
}

/// Exponential backoff between attempts. Jitter prevents two operators whose writes conflicted from
/// retrying at the same time again.
#[derive(Debug)]
struct Backoff {
    config: ApplyConfig,
    attempts_made: u32,
}

impl Backoff {
    fn new(config: ApplyConfig) -> Self {
        Self {
            config,
            attempts_made: 0,
        }
    }

    /// Counts a failed attempt and sleeps before the next one. Returns `false` without sleeping
    /// when no attempts are left.
    fn wait(&mut self) -> bool {
        self.attempts_made += 1;
        if self.attempts_made >= self.config.attempts_max {
            return false;
        }
        let doubled = self.config.retry_delay * 2u32.saturating_pow(self.attempts_made - 1);
        let delay = doubled.min(self.config.retry_delay_max);
        thread::sleep(delay.mul_f64(rand::random_range(0.5..1.0)));
        true
    }
}
