//! Tenants: who a caller is, and the limits of each tenant.
//!
//! A caller presents a key when it starts a session. A configuration lists the keys of each tenant.
//! Keys are secrets, so only their digests are kept and passed between processes.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;

crate::text_newtype! {
    /// The name of a tenant. Servers are told this name.
    TenantName
}

/// The key that a caller presents. It is never logged or sent to a server.
///
/// # Examples
///
/// ```
/// use endivereach_core::tenants::CallerKey;
///
/// let key = CallerKey::from("s3cr3t");
/// assert_eq!(format!("{key:?}"), "CallerKey(..)");
/// assert_eq!(key.digest(), CallerKey::from("s3cr3t").digest());
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(Box<str>);

impl CallerKey {
    /// Returns the key's text, which is sent only to other proxies.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the digest by which the key is looked up.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl From<&str> for CallerKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// The SHA-256 digest of a [`CallerKey`].
///
/// A comparison of digests may end early: how long it takes shows nothing about a key that isn't
/// known already.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

crate::value! {
    /// The limits of one tenant's operations, over all proxies together.
    pub struct TenantLimits {
        /// The sustained rate, in operations a second.
        pub rate_per_s: u32,
        /// The number of operations that may exceed the rate at once.
        pub burst: u32,
    }
}

crate::data! {
    /// The tenants of one configuration.
    #[derive(Default)]
    pub struct Tenants {
        /// The limits of each tenant.
        pub limits: BTreeMap<TenantName, TenantLimits>,
        /// The tenant that holds each key.
        pub keys: BTreeMap<KeyDigest, TenantName>,
    }
}

impl Tenants {
    /// Returns the tenant that holds a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::tenants::{CallerKey, TenantName, Tenants};
    ///
    /// let key = CallerKey::from("s3cr3t");
    /// let mut tenants = Tenants::default();
    /// assert_eq!(tenants.holder(&key.digest()), None);
    /// tenants.keys.insert(key.digest(), "harbour".into());
    /// assert_eq!(tenants.holder(&key.digest()), Some(&TenantName::from("harbour")));
    /// ```
    pub fn holder(&self, key: &KeyDigest) -> Option<&TenantName> {
        self.keys.get(key)
    }
}
