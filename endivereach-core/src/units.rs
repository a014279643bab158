//! Durations and sizes written with a unit, such as `250ms` and `64MiB`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// An error for a text that is not a duration or a size. The message contains a remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a {expected}; {remedy}")]
pub struct ParseUnitError {
    text: Box<str>,
    expected: &'static str,
    remedy: &'static str,
}

const DURATION_REMEDY: &str =
    "write a whole number and its unit without a space, such as 250ms, 2s, 5m or 1h";
const SIZE_REMEDY: &str =
    "write a whole number and its unit without a space, such as 512B, 64KiB, 8MiB or 1GiB";

/// Units of time, from the longest to the shortest, in milliseconds.
const TIME_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// Units of size, from the largest to the smallest, in bytes.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1024 * 1024 * 1024),
    ("MiB", 1024 * 1024),
    ("KiB", 1024),
    ("B", 1),
];

/// A duration in whole milliseconds, written with a unit.
///
/// # Examples
///
/// ```
/// use endivereach_core::units::TimeSpan;
/// use std::time::Duration;
///
/// let span: TimeSpan = "250ms".parse().unwrap();
/// assert_eq!(span.get(), Duration::from_millis(250));
/// assert_eq!(TimeSpan::from(Duration::from_secs(120)).to_string(), "2m");
/// assert!("2 seconds".parse::<TimeSpan>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// Returns the duration.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(duration)
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_in_units(f, self.0.as_millis() as u64, &TIME_UNITS, "ms")
    }
}

impl FromStr for TimeSpan {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let millis = parse_in_units(text, &TIME_UNITS).ok_or_else(|| ParseUnitError {
            text: text.into(),
            expected: "duration",
            remedy: DURATION_REMEDY,
        })?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

/// A size in bytes, written with a unit.
///
/// # Examples
///
/// ```
/// use endivereach_core::units::ByteSize;
///
/// let size: ByteSize = "64MiB".parse().unwrap();
/// assert_eq!(size.get(), 64 * 1024 * 1024);
/// assert_eq!(size.to_string(), "64MiB");
/// assert!("64MB".parse::<ByteSize>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Creates a size from a number of bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for ByteSize {
    fn from(bytes: u64) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_in_units(f, self.0, &SIZE_UNITS, "B")
    }
}

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = parse_in_units(text, &SIZE_UNITS).ok_or_else(|| ParseUnitError {
            text: text.into(),
            expected: "size",
            remedy: SIZE_REMEDY,
        })?;
        Ok(Self(bytes))
    }
}

/// Writes `value` in the largest unit of which it is a whole multiple.
fn write_in_units(
    f: &mut fmt::Formatter<'_>,
    value: u64,
    units: &[(&str, u64)],
    smallest: &str,
) -> fmt::Result {
    let divides_value = |unit: &&(&str, u64)| value != 0 && value.is_multiple_of(unit.1);
    match units.iter().find(divides_value) {
        Some((name, factor)) => write!(f, "{}{name}", value / factor),
        None => write!(f, "{value}{smallest}"),
    }
}

fn parse_in_units(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

/// Implements `Serialize` and `Deserialize` through `Display` and `FromStr`.
macro_rules! serde_as_text {
    ($($name:ident)+) => {
        $(
            impl serde::Serialize for $name {
                fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                    serializer.collect_str(self)
                }
            }

            impl<'de> serde::Deserialize<'de> for $name {
                fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                    let text = <Box<str>>::deserialize(deserializer)?;
                    text.parse().map_err(serde::de::Error::custom)
                }
            }
        )+
    };
}

serde_as_text! { TimeSpan ByteSize }
