//! Applying rules: a conditional update that overwrites nothing and is found again after a lost
//! answer.
//!
//! Every attempt of one change carries the same operation id. The object keeps the ids of the
//! changes before it, so that a writer whose answer was lost finds its own change also when another
//! one came on top.

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

/// A change of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The identity of this change, the same for every attempt.
    pub op_id: Box<str>,
    /// The version that the operator has seen; zero when there are no rules yet.
    pub expected: Version,
    /// The new rules file.
    pub text: Box<str>,
    /// Who applies it.
    pub by: Box<str>,
    /// Why.
    pub reason: Box<str>,
    /// When, in milliseconds of Unix time.
    pub at_unix_ms: u64,
}

impl Change {
    /// Returns the identity of a change: the same for the same text, expected version, person and
    /// reason, so that running a command again makes no second change.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach::apply::Change;
    ///
    /// let seven = Change::identity("7".parse().unwrap(), "Priya", "", "text");
    /// assert_eq!(seven, Change::identity("7".parse().unwrap(), "Priya", "", "text"));
    /// assert_ne!(seven, Change::identity("8".parse().unwrap(), "Priya", "", "text"));
    /// ```
    pub fn identity(expected: Version, by: &str, reason: &str, text: &str) -> Box<str> {
        let parts = [by, reason, text].map(|part| format!("{}:{part}", part.len()));
        let bytes = parts.concat();
        let low = XxHash64::oneshot(1, bytes.as_bytes());
        let high = XxHash64::oneshot(2, bytes.as_bytes());
        format!("rules-{expected}-{high:016x}{low:016x}").into()
    }
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted as this version.
    Accepted {
        /// The version.
        version: Version,
        /// Whether a newer version has come on top since.
        overtaken_by: Option<RulesChange>,
    },
    /// Other changes came first, newest first, and nothing was overwritten.
    Conflict {
        /// The changes after the expected version.
        changes: Vec<RulesChange>,
    },
}

/// Why a change could not be made, or not be found out about.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Nothing was changed.
    #[error("nothing was changed: {reason}; {remedy}")]
    NotApplied {
        /// What went wrong.
        reason: Box<str>,
        /// What to do about it.
        remedy: Box<str>,
    },
    /// The answer to the change was lost, and the platform can't be asked.
    #[error(
        "the outcome of operation {op_id} is not known: {reason}; run the same command again, \
         which applies the change at most once"
    )]
    Unknown {
        /// The operation.
        op_id: Box<str>,
        /// What went wrong last.
        reason: Box<str>,
    },
}

/// How often and how far apart the platform is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyConfig {
    /// How many times a call is made before giving up. Default: 8.
    pub attempts: u32,
    /// The pause after the first failed call; each further one is twice as long, up to
    /// [`ApplyConfig::pause_max`]. Default: 200 ms.
    pub pause: Duration,
    /// The longest pause. Default: 5 s.
    pub pause_max: Duration,
}

impl Default for ApplyConfig {
    fn default() -> Self {
        Self {
            attempts: 8,
            pause: Duration::from_millis(200),
            pause_max: Duration::from_secs(5),
        }
    }
}

/// The rules object as it stands.
#[derive(Clone, Debug)]
struct Current {
    object: Option<Object>,
    rules: Option<RulesObject>,
}

impl Current {
    fn version(&self) -> Version {
        self.object
            .as_ref()
            .map_or(Version::new(0), |object| object.version)
    }

    /// Returns every change that the object names, newest first.
    fn changes(&self) -> Vec<RulesChange> {
        let (Some(object), Some(rules)) = (&self.object, &self.rules) else {
            return Vec::new();
        };
        let newest = rules.change(object.version, &object.op_id);
        std::iter::once(newest)
            .chain(rules.previous.iter().cloned())
            .collect()
    }

    /// Returns the outcome of a change that this object already holds.
    fn outcome_of(&self, op_id: &str) -> Option<Outcome> {
        let changes = self.changes();
        let own = changes.iter().position(|change| &*change.op_id == op_id)?;
        Some(Outcome::Accepted {
            version: changes[own].version,
            overtaken_by: (own > 0).then(|| changes[0].clone()),
        })
    }
}

/// Makes the change, unless somebody else changed the rules first. Calling it again with the same
/// change has no further effect.
///
/// # Errors
///
/// Returns [`ApplyError::Unknown`] when the change may have taken effect.
pub fn apply(
    platform: &PlatformClient,
    change: &Change,
    config: ApplyConfig,
) -> Result<Outcome, ApplyError> {
    // Before the first write, no answer means no change.
    let mut sent = false;
    let mut pauses = Pauses::new(config);
    loop {
        let step = attempt(platform, change, &mut sent);
        let error = match step {
            Ok(outcome) => return Ok(outcome),
            Err(error) => error,
        };
        let is_final = matches!(error, StepError::Final(_));
        if is_final || !pauses.wait() {
            return Err(give_up(error, sent, change));
        }
    }
}

/// Why one attempt ended without an outcome.
#[derive(Debug)]
enum StepError {
    /// Trying again may help.
    Again(Box<str>),
    /// Trying again can't help.
    Final(Box<str>),
}

impl From<CallError> for StepError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NoAnswer { .. } => Self::Again(error.to_string().into()),
            // A refused call took no effect; a platform that is down refuses, too.
            CallError::Refused(_) => Self::Again(error.to_string().into()),
            CallError::Malformed { .. } => Self::Final(error.to_string().into()),
        }
    }
}

fn give_up(error: StepError, sent: bool, change: &Change) -> ApplyError {
    let (StepError::Again(reason) | StepError::Final(reason)) = error;
    if sent {
        return ApplyError::Unknown {
            op_id: change.op_id.clone(),
            reason,
        };
    }
    ApplyError::NotApplied {
        reason,
        remedy: "check --platform, and try again when it answers".into(),
    }
}

/// Reads the rules, archives them, and replaces them.
fn attempt(
    platform: &PlatformClient,
    change: &Change,
    sent: &mut bool,
) -> Result<Outcome, StepError> {
    let current = read_current(platform)?;
    if let Some(outcome) = current.outcome_of(&change.op_id) {
        return Ok(outcome);
    }
    if current.version() != change.expected {
        return resolve_conflict(&current, change, *sent);
    }
    archive(platform, &current)?;
    let value = replacement(change, &current);
    *sent = true;
    let put = platform.put(
        KIND_RULES,
        NAME_CURRENT,
        change.expected,
        &change.op_id,
        &value,
    )?;
    match put {
        PutOutcome::Stored { version } => Ok(Outcome::Accepted {
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

/// Decides about a change that the object doesn't hold, at another version than expected.
///
/// The object names enough of its past to show that the change isn't in it: it reaches back to the
/// expected version. Otherwise a sent change may have been made and forgotten.
fn resolve_conflict(current: &Current, change: &Change, sent: bool) -> Result<Outcome, StepError> {
    let changes = current.changes();
    let reaches_back = changes.len() <= PREVIOUS_CHANGES_MAX
        || changes
            .last()
            .is_some_and(|oldest| oldest.version <= change.expected);
    if sent && !reaches_back {
        let reason = "more changes came on top than the rules object remembers; look for the \
                      operation in 'endivereach rules history'";
        return Err(StepError::Final(reason.into()));
    }
    let newer = changes
        .into_iter()
        .filter(|newer| newer.version > change.expected);
    Ok(Outcome::Conflict {
        changes: newer.collect(),
    })
}

fn read_current(platform: &PlatformClient) -> Result<Current, StepError> {
    let object = platform.get(KIND_RULES, NAME_CURRENT)?;
    let rules = match &object {
        None => None,
        Some(object) => Some(object.decode::<RulesObject>().map_err(|reason| {
            StepError::Final(format!("the rules object can't be decoded: {reason}").into())
        })?),
    };
    Ok(Current { object, rules })
}

/// Keeps the version that is about to be replaced. It is already kept when an earlier attempt, or
/// another writer, did so.
fn archive(platform: &PlatformClient, current: &Current) -> Result<(), StepError> {
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

fn replacement(change: &Change, current: &Current) -> RulesObject {
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

/// Pauses between attempts, each twice as long as the one before, with a random part so that two
/// operators don't keep step.
#[derive(Debug)]
struct Pauses {
    config: ApplyConfig,
    made: u32,
}

impl Pauses {
    fn new(config: ApplyConfig) -> Self {
        Self { config, made: 0 }
    }

    /// Pauses. Returns `false` when the attempts are used up.
    fn wait(&mut self) -> bool {
        self.made += 1;
        if self.made >= self.config.attempts {
            return false;
        }
        let doubled = self.config.pause * 2u32.saturating_pow(self.made - 1);
        let pause = doubled.min(self.config.pause_max);
        thread::sleep(pause.mul_f64(rand::random_range(0.5..1.0)));
        true
    }
}
