//! Readers for the sections of the settings file.

use super::AddressTranslation;
use super::CallerLogin;
use super::DrainSettings;
use super::FleetPeer;
use super::FleetSettings;
use super::LimitSettings;
use super::Listen;
use super::Network;
use super::PlatformSettings;
use super::SETTINGS_MAX_BYTES;
use super::Settings;
use super::TargetLogin;
use super::check;
use super::error::SettingsErrors;
use super::reader::ErrorCollector;
use super::reader::LocatedValue;
use super::reader::Section;
use crate::units::ByteSize;
use crate::units::TimeSpan;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;
use toml::de::DeTable;

/// Parses and validates the text of a settings file.
pub(crate) fn parse(text: &str) -> Result<Settings, SettingsErrors> {
    let collector = ErrorCollector::new(text);
    let settings = parse_collecting(text, &collector);
    match SettingsErrors::from_unordered(collector.into_errors()) {
        Some(errors) => Err(errors),
        None => Ok(settings.expect("settings without errors are complete")),
    }
}

fn parse_collecting(text: &str, collector: &ErrorCollector<'_>) -> Option<Settings> {
    if text.len() > SETTINGS_MAX_BYTES {
        let remedy = format!(
            "keep it within {}",
            ByteSize::new(SETTINGS_MAX_BYTES as u64)
        );
        collector.add(0..0, "", "the file is too large", remedy);
        return None;
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let span = error.span().unwrap_or(0..0);
        let message = error.message().trim();
        // The span of a duplicate key contains only the key. Other spans may contain a password, so
        // their text is not reported.
        let is_duplicate = message.starts_with("duplicate key");
        let key = text
            .get(span.clone())
            .filter(|_| is_duplicate)
            .unwrap_or("");
        let remedy = "correct the TOML; each key and section may occur only once";
        collector.add(span, key, message, remedy);
    }
    let root = Section::root(&table, collector);
    let settings = read_settings(&root);
    root.report_unknown_keys();
    settings
}

fn read_settings(root: &Section<'_, '_>) -> Option<Settings> {
    let name = root.required("name");
    let region = root.required("region");
    let zone = root.required("zone");
    let listen = root.required_section("listen").and_then(read_listen);
    let platform = root.required_section("platform").and_then(read_platform);
    let network = root.section("network").map(read_network);
    let target = root.required_section("target").and_then(read_target);
    let callers = read_callers(root);
    let drain = root.section("drain").map(read_drain);
    let limits = root.section("limits").map(read_limits);
    let fleet = root.section("fleet").map(read_fleet);
    let settings = Settings {
        name: name?.value,
        region: region?.value,
        zone: zone?.value,
        listen: listen?,
        platform: platform?,
        network: network.unwrap_or_default(),
        target: target?,
        callers,
        drain: drain.unwrap_or_default(),
        limits: limits.unwrap_or_default(),
        fleet: fleet.unwrap_or_default(),
    };
    check::check_addresses(&settings, root);
    Some(settings)
}

fn read_listen(section: Section<'_, '_>) -> Option<Listen> {
    let sql_addr = section.required("sql_addr");
    let peer_addr = section.required("peer_addr");
    section.report_unknown_keys();
    Some(Listen {
        sql_addr: sql_addr?.value,
        peer_addr: peer_addr?.value,
    })
}

fn read_platform(section: Section<'_, '_>) -> Option<PlatformSettings> {
    let addr = section.required("addr");
    section.report_unknown_keys();
    Some(PlatformSettings { addr: addr?.value })
}

fn read_network(section: Section<'_, '_>) -> Network {
    let mut via: Vec<AddressTranslation> = Vec::new();
    for entry in section.list("via") {
        let published: Option<LocatedValue<_>> = entry.required("to");
        let connect_to = entry.required("through");
        if let Some(published) = &published
            && via
                .iter()
                .any(|earlier| earlier.published == published.value)
        {
            let reason = format!("{} is translated twice", published.value);
            entry.collector().add(
                published.span.clone(),
                &published.key,
                reason,
                "keep one of the two entries",
            );
        }
        entry.report_unknown_keys();
        if let (Some(published), Some(connect_to)) = (published, connect_to) {
            via.push(AddressTranslation {
                published: published.value,
                connect_to: connect_to.value,
            });
        }
    }
    section.report_unknown_keys();
    Network { via }
}

fn read_target(section: Section<'_, '_>) -> Option<TargetLogin> {
    let user = read_credential(&section, "user");
    let password = read_credential(&section, "password");
    section.report_unknown_keys();
    Some(TargetLogin {
        user: user?.value,
        password: password?.value,
    })
}

fn read_callers(root: &Section<'_, '_>) -> Vec<CallerLogin> {
    let mut callers: Vec<CallerLogin> = Vec::new();
    for entry in root.list("callers") {
        let user = read_credential(&entry, "user");
        let password = read_credential(&entry, "password");
        if let Some(user) = &user
            && callers.iter().any(|earlier| earlier.user == user.value)
        {
            let reason = format!("the role {:?} is listed twice", user.value);
            entry.collector().add(
                user.span.clone(),
                &user.key,
                reason,
                "keep one of the two entries",
            );
        }
        entry.report_unknown_keys();
        if let (Some(user), Some(password)) = (user, password) {
            callers.push(CallerLogin {
                user: user.value,
                password: password.value,
            });
        }
    }
    callers
}

/// Reads a required, non-empty user name or password. The errors of this function never contain the
/// value.
fn read_credential(section: &Section<'_, '_>, key: &'static str) -> Option<LocatedValue<Box<str>>> {
    let located: LocatedValue<AnyText> = section.required(key)?;
    if located.value.0.is_empty() {
        let remedy = "write a value; with an empty one, anybody could log in";
        section
            .collector()
            .add(located.span, &located.key, "the value is empty", remedy);
        return None;
    }
    Some(LocatedValue {
        value: located.value.0,
        span: located.span,
        key: located.key,
    })
}

/// A string that is accepted without further parsing.
#[derive(Debug)]
struct AnyText(Box<str>);

impl FromStr for AnyText {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// The maximum of each time limit of a planned stop, in milliseconds.
const DRAIN_MAX_MS: u64 = 600_000;

fn read_drain(section: Section<'_, '_>) -> DrainSettings {
    let defaults = DrainSettings::default();
    let balancer_wait_ms = read_duration_ms(&section, "balancer_wait", "balancer_wait_ms");
    let in_progress_ms = read_duration_ms(&section, "in_progress", "in_progress_ms");
    section.report_unknown_keys();
    DrainSettings {
        balancer_wait_ms: balancer_wait_ms.unwrap_or(defaults.balancer_wait_ms),
        in_progress_ms: in_progress_ms.unwrap_or(defaults.in_progress_ms),
    }
}

/// Reads an optional duration from `key`, or as a number of milliseconds from `key_ms`. Adds an
/// error if both are present.
fn read_duration_ms(
    section: &Section<'_, '_>,
    key: &'static str,
    key_ms: &'static str,
) -> Option<u64> {
    let range = Duration::ZERO..=Duration::from_millis(DRAIN_MAX_MS);
    let span = read_in_range(section, key, range);
    let number = section.number(key_ms, 0..DRAIN_MAX_MS + 1);
    if span.is_some() && number.is_some() {
        let reason = format!("{key} and {key_ms} are two forms of the same setting");
        section.collector().add(
            section.span(),
            &section.full_key(key_ms),
            reason,
            "keep one of the two",
        );
    }
    span.map(|span: TimeSpan| span.get().as_millis() as u64)
        .or(number)
}

/// Parses an optional string whose value must lie within `range`.
fn read_in_range<T, B>(
    section: &Section<'_, '_>,
    key: &'static str,
    range: RangeInclusive<B>,
) -> Option<T>
where
    T: FromStr<Err: Display> + Display + PartialOrd + From<B>,
    B: Copy,
{
    let located: LocatedValue<T> = section.optional(key)?;
    let (min, max) = (T::from(*range.start()), T::from(*range.end()));
    if (&min..=&max).contains(&&located.value) {
        return Some(located.value);
    }
    let reason = format!("{} is outside {min} to {max}", located.value);
    let remedy = format!("choose a value of {min} to {max}");
    section
        .collector()
        .add(located.span, &located.key, reason, remedy);
    None
}

fn read_limits(section: Section<'_, '_>) -> LimitSettings {
    let defaults = LimitSettings::default();
    let request_max = read_in_range(&section, "request_max", 64 * 1024..=1024 * 1024 * 1024);
    let connect_range = Duration::from_millis(10)..=Duration::from_secs(60);
    let connect_timeout = read_in_range(&section, "connect_timeout", connect_range);
    section.report_unknown_keys();
    LimitSettings {
        request_max: request_max.unwrap_or(defaults.request_max),
        connect_timeout: connect_timeout.unwrap_or(defaults.connect_timeout),
    }
}

fn read_fleet(section: Section<'_, '_>) -> FleetSettings {
    let defaults = FleetSettings::default();
    // A shorter limit than two rounds of the exchange would be exceeded during normal operation.
    let evidence_range = Duration::from_secs(2)..=Duration::from_secs(60);
    let evidence_max = read_in_range(&section, "evidence_max", evidence_range);
    let relays_per_zone = section.number("relays_per_zone", 1..9);
    let peers = read_peers(&section);
    section.report_unknown_keys();
    FleetSettings {
        evidence_max: evidence_max.unwrap_or(defaults.evidence_max),
        relays_per_zone: relays_per_zone.map_or(defaults.relays_per_zone, |n| n as u32),
        peers,
    }
}

fn read_peers(section: &Section<'_, '_>) -> Vec<FleetPeer> {
    let mut peers = Vec::new();
    for entry in section.list("peers") {
        let peer_addr = entry.required("peer_addr");
        entry.report_unknown_keys();
        if let Some(peer_addr) = peer_addr {
            peers.push(FleetPeer {
                peer_addr: peer_addr.value,
            });
        }
    }
    peers
}
