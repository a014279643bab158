//! The daemon's settings, parsed from TOML and validated before the daemon opens any socket.
//!
//! # Examples
//!
//! ```
//! use endivereach_core::settings::Settings;
//!
//! let errors = Settings::parse("name = 'entry-1'\nzone = 7\n").unwrap_err();
//! assert!(errors.to_string().contains("2:8: zone: "));
//! ```

mod check;
mod error;
mod reader;
mod sections;

pub use error::SettingsError;
pub use error::SettingsErrors;

use crate::ids::ProxyName;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::units::ByteSize;
use crate::units::TimeSpan;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The maximum size of a settings file, in bytes.
pub const SETTINGS_MAX_BYTES: usize = 1024 * 1024;

crate::data! {
    /// The settings of one proxy process.
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// The name of this VM.
        pub name: ProxyName,
        /// The region that this VM runs in.
        pub region: RegionName,
        /// The availability zone that this VM runs in.
        pub zone: ZoneName,
        /// The addresses that this process binds.
        pub listen: Listen,
        /// The platform's object API.
        pub platform: PlatformSettings,
        /// Translations of published addresses into ones that this VM can connect to.
        #[serde(default)]
        pub network: Network,
        /// The login that the proxy uses at targets.
        pub target: TargetLogin,
        /// The logins that callers may use.
        #[serde(default)]
        pub callers: Vec<CallerLogin>,
        /// Time limits of a planned stop.
        #[serde(default)]
        pub drain: DrainSettings,
        /// Limits on requests and connections of this process.
        #[serde(default)]
        pub limits: LimitSettings,
        /// Settings for the exchange of objects with peers and the platform.
        #[serde(default)]
        pub fleet: FleetSettings,
    }

    /// Limits on the requests and connections of one process.
    #[serde(deny_unknown_fields)]
    #[serde(default)]
    pub struct LimitSettings {
        /// The maximum size of a request that a caller sends. Default: 64MiB.
        pub request_max: ByteSize,
        /// The timeout for opening a connection to a target. Default: 2s.
        pub connect_timeout: TimeSpan,
    }

    /// Settings for the exchange of objects with peers and the platform.
    #[serde(deny_unknown_fields)]
    #[serde(default)]
    pub struct FleetSettings {
        /// The maximum age of the evidence that the rules in use are current. With older evidence,
        /// every request gets the strictest treatment. Default: 4s.
        pub evidence_max: TimeSpan,
        /// The number of proxies per availability zone that watch the platform's objects. Default:
        /// 2.
        pub relays_per_zone: u32,
        /// Peers to contact while the platform's list of VMs can't be read. Default: none.
        pub peers: Vec<FleetPeer>,
    }

    /// A peer that is known before the platform's list of VMs has been read.
    #[serde(deny_unknown_fields)]
    pub struct FleetPeer {
        /// The address on which the process accepts connections from peers.
        pub peer_addr: SocketAddr,
    }

    /// Time limits of a planned stop.
    #[serde(deny_unknown_fields)]
    #[serde(default)]
    pub struct DrainSettings {
        /// How long the listener stays open after the health probe reports "draining", so that the
        /// load balancer stops sending connections first, in milliseconds. Default: 5000.
        pub balancer_wait_ms: u64,
        /// The time limit for requests and transactions in progress to end, in milliseconds.
        /// Default: 20000.
        pub in_progress_ms: u64,
    }

    /// The addresses that a process binds. For port zero the kernel chooses a free port.
    #[serde(deny_unknown_fields)]
    pub struct Listen {
        /// The address for connections from callers.
        pub sql_addr: SocketAddr,
        /// The address for peers, operators and the load balancer's health probe.
        pub peer_addr: SocketAddr,
    }

    /// How to connect to the platform.
    #[serde(deny_unknown_fields)]
    pub struct PlatformSettings {
        /// The address of the object API.
        pub addr: SocketAddr,
    }

    /// Translations of network addresses.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Network {
        /// The address translations. Each published address occurs once.
        #[serde(default)]
        pub via: Vec<AddressTranslation>,
    }

    /// One address translation.
    #[serde(deny_unknown_fields)]
    pub struct AddressTranslation {
        /// The address that another process or the platform publishes.
        #[serde(rename = "to")]
        pub published: SocketAddr,
        /// The address to connect to instead.
        #[serde(rename = "through")]
        pub connect_to: SocketAddr,
    }

    /// The role and password that the proxy uses at targets.
    #[serde(deny_unknown_fields)]
    pub struct TargetLogin {
        /// The database role.
        pub user: Box<str>,
        /// The role's password.
        pub password: Box<str>,
    }

    /// The name and password of a role that callers may log in with.
    #[serde(deny_unknown_fields)]
    pub struct CallerLogin {
        /// The name of the role.
        pub user: Box<str>,
        /// The role's password.
        pub password: Box<str>,
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            balancer_wait_ms: 5_000,
            in_progress_ms: 20_000,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            request_max: ByteSize::new(64 * 1024 * 1024),
            connect_timeout: TimeSpan::from(Duration::from_secs(2)),
        }
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            evidence_max: TimeSpan::from(Duration::from_secs(4)),
            relays_per_zone: 2,
            peers: Vec::new(),
        }
    }
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns all errors, not only the first.
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        sections::parse(text)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, or a single error if the file can't be read.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsErrors> {
        let path = path.as_ref();
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsErrors::unreadable(&file, &error))?;
        Self::parse(&text).map_err(|errors| errors.with_file(&file))
    }
}

impl Network {
    /// Returns the address to connect to for the address `published`, which is `published` itself
    /// if no translation lists it.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::settings::Network;
    /// let addr = "127.0.0.1:5432".parse().unwrap();
    /// assert_eq!(Network::default().translate(addr), addr);
    /// ```
    pub fn translate(&self, published: SocketAddr) -> SocketAddr {
        let via = self.via.iter().find(|via| via.published == published);
        via.map_or(published, |via| via.connect_to)
    }
}
