//! Reads the rules in force, the rules of earlier versions and the list of changes.

use anyhow::Context;
use anyhow::anyhow;
use endivereach_core::ids::Version;
use endivereach_wire::operator::KIND_RULES_HISTORY;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::RulesChange;
use endivereach_wire::operator::RulesObject;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::PlatformClient;

/// One version of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRules {
    /// The version of the rules.
    pub version: Version,
    /// The id of the operation that created the version.
    pub op_id: Box<str>,
    /// The text of the rules and the metadata of their change.
    pub rules: RulesObject,
}

impl VersionedRules {
    /// Returns the metadata of the change that created the version.
    pub fn change(&self) -> RulesChange {
        self.rules.change(self.version, &self.op_id)
    }
}

/// Reads the rules in force, or returns `None` when there are no rules yet.
///
/// # Errors
///
/// Returns an error when the platform doesn't answer or the object can't be decoded.
pub fn current(platform: &PlatformClient) -> anyhow::Result<Option<VersionedRules>> {
    let object = platform
        .get(KIND_RULES, NAME_CURRENT)
        .context("reading the rules from the platform")?;
    object
        .map(|object| decode(object.version, &object))
        .transpose()
}

/// Reads the rules of one version.
///
/// # Errors
///
/// Returns the errors of [`current`], and an error when the version isn't stored.
pub fn at_version(platform: &PlatformClient, version: Version) -> anyhow::Result<VersionedRules> {
    if let Some(current) = current(platform)?.filter(|current| current.version == version) {
        return Ok(current);
    }
    let object = platform
        .get(KIND_RULES_HISTORY, &version.to_string())
        .context("reading the rules' history from the platform")?;
    let object = object.ok_or_else(|| {
        anyhow!("there is no version {version} of the rules; 'endivereach rules history' lists the versions")
    })?;
    decode(version, &object)
}

/// Reads the metadata of all changes of the rules, newest first.
///
/// # Errors
///
/// Returns the errors of [`current`], and an error when an object of the history is invalid.
pub fn changes(platform: &PlatformClient) -> anyhow::Result<Vec<RulesChange>> {
    let archived = platform
        .list(KIND_RULES_HISTORY)
        .context("listing the rules' history at the platform")?;
    let mut changes: Vec<RulesChange> = Vec::new();
    for object in &archived {
        let version = object.name.parse().with_context(|| {
            format!(
                "parsing the name of the history object {:?} as a version",
                object.name
            )
        })?;
        changes.push(decode(version, object)?.change());
    }
    changes.extend(current(platform)?.map(|current| current.change()));
    changes.sort_by_key(|change| std::cmp::Reverse(change.version));
    changes.dedup_by_key(|change| change.version);
    Ok(changes)
}

fn decode(version: Version, object: &Object) -> anyhow::Result<VersionedRules> {
    let rules = object.decode().map_err(|reason| {
        anyhow!("the rules of version {version} can't be decoded: {reason}; use the newest release of endivereach")
    })?;
    Ok(VersionedRules {
        version,
        op_id: object.op_id.clone(),
        rules,
    })
}
