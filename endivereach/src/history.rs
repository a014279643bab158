//! Reading the rules in force and those of earlier versions.

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
    /// The version.
    pub version: Version,
    /// The operation that made it.
    pub op_id: Box<str>,
    /// The rules.
    pub rules: RulesObject,
}

impl VersionedRules {
    /// Returns who made this version, when and why.
    pub fn change(&self) -> RulesChange {
        self.rules.change(self.version, &self.op_id)
    }
}

/// Reads the current version, or `None` before the first.
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

/// Reads one version.
///
/// # Errors
///
/// As [`current`], and when the version isn't kept.
pub fn at(platform: &PlatformClient, version: Version) -> anyhow::Result<VersionedRules> {
    if let Some(current) = current(platform)?.filter(|current| current.version == version) {
        return Ok(current);
    }
    let object = platform
        .get(KIND_RULES_HISTORY, &version.to_string())
        .context("reading the rules' history from the platform")?;
    let object = object.ok_or_else(|| {
        anyhow!("there are no rules of version {version}; 'endivereach rules history' lists them")
    })?;
    decode(version, &object)
}

/// Reads who changed the rules and when, newest first.
///
/// # Errors
///
/// As [`current`].
pub fn changes(platform: &PlatformClient) -> anyhow::Result<Vec<RulesChange>> {
    let archived = platform
        .list(KIND_RULES_HISTORY)
        .context("listing the rules' history at the platform")?;
    let mut changes: Vec<RulesChange> = Vec::new();
    for object in &archived {
        let version = object
            .name
            .parse()
            .with_context(|| format!("in the history's object {:?}", object.name))?;
        changes.push(decode(version, object)?.change());
    }
    changes.extend(current(platform)?.map(|current| current.change()));
    changes.sort_by_key(|change| std::cmp::Reverse(change.version));
    changes.dedup_by_key(|change| change.version);
    Ok(changes)
}

fn decode(version: Version, object: &Object) -> anyhow::Result<VersionedRules> {
    let rules = object.decode().map_err(|reason| {
        anyhow!("the rules of version {version} can't be decoded: {reason}; use the tool's newest release")
    })?;
    Ok(VersionedRules {
        version,
        op_id: object.op_id.clone(),
        rules,
    })
}
