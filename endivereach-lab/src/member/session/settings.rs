//! Configuration settings of a session.

use crate::member::errors::SqlError;
use crate::member::errors::UNDEFINED_SETTING;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The known settings and their default values. As in PostgreSQL, a name that contains a dot is a
/// custom setting, which exists without being listed here.
const DEFAULT_VALUES: &[(&str, &str)] = &[
    ("application_name", ""),
    ("bytea_output", "hex"),
    ("client_encoding", "UTF8"),
    ("client_min_messages", "notice"),
    ("datestyle", "ISO, MDY"),
    ("default_transaction_isolation", "read committed"),
    ("default_transaction_read_only", "off"),
    ("extra_float_digits", "1"),
    ("idle_in_transaction_session_timeout", "0"),
    ("in_hot_standby", "off"),
    ("integer_datetimes", "on"),
    ("intervalstyle", "postgres"),
    ("is_superuser", "on"),
    ("lock_timeout", "0"),
    ("role", "none"),
    ("search_path", "\"$user\", public"),
    ("server_encoding", "UTF8"),
    ("server_version", "16.0"),
    ("session_authorization", ""),
    ("standard_conforming_strings", "on"),
    ("statement_timeout", "0"),
    ("synchronous_commit", "on"),
    ("timezone", "UTC"),
    ("transaction_isolation", "read committed"),
    ("transaction_read_only", "off"),
    ("work_mem", "4MB"),
];

/// The settings that are reported to the client with `ParameterStatus`, and the spelling of their
/// names in that message.
const REPORTED_SETTINGS: &[(&str, &str)] = &[
    ("application_name", "application_name"),
    ("client_encoding", "client_encoding"),
    ("datestyle", "DateStyle"),
    (
        "default_transaction_read_only",
        "default_transaction_read_only",
    ),
    ("in_hot_standby", "in_hot_standby"),
    ("integer_datetimes", "integer_datetimes"),
    ("intervalstyle", "IntervalStyle"),
    ("is_superuser", "is_superuser"),
    ("server_encoding", "server_encoding"),
    ("server_version", "server_version"),
    ("session_authorization", "session_authorization"),
    ("standard_conforming_strings", "standard_conforming_strings"),
    ("timezone", "TimeZone"),
];

/// A setting to report to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedSetting {
    /// The name as spelled in `ParameterStatus`.
    pub name: &'static str,
    /// The current value.
    pub value: Box<str>,
}

/// The current values of a session's settings.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The values given at session start, which `RESET` restores.
    initial: Arc<BTreeMap<Box<str>, Box<str>>>,
    /// The values changed since then. The map is shared with the copy that a rollback restores.
    changed: Arc<BTreeMap<Box<str>, Box<str>>>,
    /// The names of the settings that may have changed since the last report.
    unreported: Vec<Box<str>>,
}

impl Settings {
    /// Creates the settings from the values given at session start.
    ///
    /// # Errors
    ///
    /// Returns an error with [`UNDEFINED_SETTING`] when the setting doesn't exist.
    pub fn new(initial: BTreeMap<Box<str>, Box<str>>) -> Result<Self, SqlError> {
        if let Some(name) = initial.keys().find(|name| !setting_exists(name)) {
            return Err(unknown_setting(name));
        }
        let unreported = REPORTED_SETTINGS
            .iter()
            .map(|(name, _)| (*name).into())
            .collect();
        Ok(Self {
            initial: Arc::new(initial),
            changed: Arc::default(),
            unreported,
        })
    }

    /// Returns the value of a setting, or `None` if it doesn't exist.
    pub fn get(&self, name: &str) -> Option<&str> {
        let lowercase_name;
        let name = if name.contains(|c: char| c.is_ascii_uppercase()) {
            lowercase_name = name.to_ascii_lowercase();
            &lowercase_name
        } else {
            name
        };
        let given = self.changed.get(name).or_else(|| self.initial.get(name));
        given.map(|value| &**value).or_else(|| default_value(name))
    }

    /// Returns the value of a timeout setting, or `None` if the timeout is disabled.
    pub fn duration(&self, name: &str) -> Option<Duration> {
        if self.changed.is_empty() && self.initial.is_empty() {
            return None;
        }
        let duration = parse_duration(self.get(name)?)?;
        (!duration.is_zero()).then_some(duration)
    }

    /// Changes a setting. Without a value, the setting is reset to its value at session start.
    ///
    /// # Errors
    ///
    /// Returns an error with [`UNDEFINED_SETTING`] when the setting doesn't exist.
    pub fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), SqlError> {
        let name = name.to_ascii_lowercase();
        if !setting_exists(&name) {
            return Err(unknown_setting(&name));
        }
        self.unreported.push(name.as_str().into());
        let changed = Arc::make_mut(&mut self.changed);
        match value {
            Some(value) => changed.insert(name.into(), value.into()),
            None => changed.remove(&*name),
        };
        Ok(())
    }

    /// Resets every setting to its value at session start.
    pub fn reset(&mut self) {
        let changed = std::mem::take(&mut self.changed);
        self.unreported.extend(changed.keys().cloned());
    }

    /// Restores the value of one setting from `saved`.
    pub(super) fn restore(&mut self, name: &str, saved: &Self) {
        let changed = Arc::make_mut(&mut self.changed);
        match saved.changed.get(name) {
            Some(value) => changed.insert(name.into(), value.clone()),
            None => changed.remove(name),
        };
        self.unreported.push(name.into());
    }

    /// Restores the values of all settings from `saved`.
    pub(super) fn restore_all_from(&mut self, saved: Self) {
        if Arc::ptr_eq(&self.changed, &saved.changed) {
            return;
        }
        let changed = std::mem::replace(&mut self.changed, saved.changed);
        self.unreported.extend(changed.keys().cloned());
        self.unreported.extend(self.changed.keys().cloned());
    }

    /// Returns the settings to report to the client because they may have changed since the last
    /// call.
    pub fn take_reports(&mut self) -> Vec<ReportedSetting> {
        if self.unreported.is_empty() {
            return Vec::new();
        }
        let mut names = std::mem::take(&mut self.unreported);
        names.sort();
        names.dedup();
        let report = |name: &str| {
            let (_, reported_name) = REPORTED_SETTINGS
                .iter()
                .find(|(reported, _)| *reported == name)?;
            Some(ReportedSetting {
                name: reported_name,
                value: self.get(name).unwrap_or_default().into(),
            })
        };
        names.iter().filter_map(|name| report(name)).collect()
    }
}

fn setting_exists(name: &str) -> bool {
    name.contains('.') || default_value(name).is_some()
}

fn default_value(name: &str) -> Option<&'static str> {
    let found = DEFAULT_VALUES.iter().find(|(known, _)| *known == name);
    found.map(|(_, value)| *value)
}

fn unknown_setting(name: &str) -> SqlError {
    SqlError::new(
        UNDEFINED_SETTING,
        format!("unrecognized configuration parameter \"{name}\""),
    )
}

/// Parses a timeout. Without a unit, the number is in milliseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim().trim_matches('\'');
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == ' ');
    let number: u64 = digits.parse().ok()?;
    match text[digits.len()..].trim() {
        "" | "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "min" => Some(Duration::from_secs(number * 60)),
        _ => None,
    }
}
