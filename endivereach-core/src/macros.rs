//! Macros shared by the workspace for common derives, newtypes and named test cases.

/// Derives the common traits for a serializable data type.
///
/// The traits are `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
///
/// # Examples
///
/// ```
/// endivereach_core::data! {
///     /// The location of a VM.
///     pub struct Place {
///         /// The availability zone.
///         pub zone: Box<str>,
///     }
/// }
/// assert_eq!(Place { zone: "koege".into() }.clone().zone.as_ref(), "koege");
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )+
    };
}

/// Derives the common traits for a small serializable type that is copied, ordered and hashed.
///
/// # Examples
///
/// ```
/// endivereach_core::value! {
///     /// A side of a proxied connection.
///     pub enum Side {
///         /// The side of the caller.
///         Caller,
///         /// The side of the target.
///         Target,
///     }
/// }
/// assert!(Side::Caller < Side::Target);
/// ```
#[macro_export]
macro_rules! value {
    ($($item:item)+) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $item
        )+
    };
}

/// Declares newtypes for names, with `Display`, `FromStr` and `From<&str>`.
///
/// `FromStr` checks the name, `From<&str>` doesn't.
///
/// # Examples
///
/// ```
/// endivereach_core::text_newtype! {
///     /// The name of a berth.
///     BerthName
/// }
/// assert_eq!(BerthName::from("b1").to_string(), "b1");
/// ```
#[macro_export]
macro_rules! text_newtype {
    ($($(#[$meta:meta])* $name:ident)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(Box<str>);

            impl $name {
                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::ids::ParseIdError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    $crate::ids::check_name(text)?;
                    Ok(Self(text.into()))
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(text.into())
                }
            }
        )+
    };
}

/// Declares newtypes over `u64`, with `Display`, `FromStr` and `next`.
///
/// # Examples
///
/// ```
/// endivereach_core::number_newtype! {
///     /// A count of berths.
///     Berths
/// }
/// assert_eq!("3".parse::<Berths>().unwrap().next(), Berths::new(4));
/// ```
#[macro_export]
macro_rules! number_newtype {
    ($($(#[$meta:meta])* $name:ident)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(u64);

            impl $name {
                /// Creates the value from a number.
                pub const fn new(value: u64) -> Self {
                    Self(value)
                }

                /// Returns the value as a plain number.
                pub const fn get(self) -> u64 {
                    self.0
                }

                /// Returns the value incremented by one, or the same value if it is the largest.
                pub const fn next(self) -> Self {
                    Self(self.0.saturating_add(1))
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{}", self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::ids::ParseIdError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    $crate::ids::parse_number(text).map(Self)
                }
            }
        )+
    };
}

/// Declares one test function per named case, each of which calls a common check function.
///
/// # Examples
///
/// ```
/// fn check(input: &str, length: usize) {
///     assert_eq!(input.len(), length);
/// }
/// endivereach_core::cases! {
///     check;
///     empty: "", 0;
///     one_letter: "a", 1;
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path; $($name:ident: $($arg:expr),+;)+) => {
        $(
            #[test]
            fn $name() {
                $check($($arg),+);
            }
        )+
    };
}
