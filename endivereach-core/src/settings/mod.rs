//! The daemon's settings, as read from TOML and checked as a whole before anything is opened.
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

/// The largest settings file, in bytes.
pub const SETTINGS_MAX_BYTES: usize = 1024 * 1024;

crate::data! {
    /// Everything that one proxy is told at its start.
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
        /// How addresses that others publish are reached from this VM.
        #[serde(default)]
        pub network: Network,
        /// How the proxy logs in at targets.
        pub target: TargetLogin,
        /// Who may connect.
        #[serde(default)]
        pub callers: Vec<CallerLogin>,
        /// How a planned stop goes.
        #[serde(default)]
        pub drain: DrainSettings,
        /// What this process takes on at most.
        #[serde(default)]
        pub limits: LimitSettings,
        /// How this process deals with its peers and the platform.
        #[serde(default)]
        pub fleet: FleetSettings,
    }

    /// What one process takes on at most.
    #[serde(deny_unknown_fields)]
    #[serde(default)]
    pub struct LimitSettings {
        /// The largest request that a caller may send. Default: 64MiB.
        pub request_max: ByteSize,
        /// How long opening a connection to a target may take. Default: 2s.
        pub connect_timeout: TimeSpan,
    }

    /// How a process deals with its peers and the platform.
    #[serde(deny_unknown_fields)]
    #[serde(default)]
    pub struct FleetSettings {
        /// How old the evidence for the rules may be before every request gets the strictest
        /// treatment. Default: 4s.
        pub evidence_max: TimeSpan,
        /// How many proxies of each availability zone hold watches at the platform. Default: 2.
        pub relays_per_zone: u32,
        /// Processes to ask while the platform's list of VMs can't be read. Default: none.
        pub peers: Vec<FleetPeer>,
    }

    /// A process that a starting one may ask.
    #[serde(deny_unknown_fields)]
    pub struct FleetPeer {
        /// Where it answers its peers.
        pub peer_addr: SocketAddr,
    }

    /// How a planned stop goes.
    #[serde(deny_unknown_fields)]
    #[serde(default)]
    pub struct DrainSettings {
        /// How long the listener stays open after the health answer has turned to "draining", so
        /// that the balancer notices first, in milliseconds. Default: 5000.
        pub balancer_wait_ms: u64,
        /// How long requests and transactions in progress may take to end, in milliseconds.
        /// Default: 20000.
        pub in_progress_ms: u64,
    }

    /// The addresses that a process binds. Port zero lets the kernel choose.
    #[serde(deny_unknown_fields)]
    pub struct Listen {
        /// Where callers connect.
        pub sql_addr: SocketAddr,
        /// Where peers, operators and the balancer's health probe connect.
        pub peer_addr: SocketAddr,
    }

    /// Where the platform answers.
    #[serde(deny_unknown_fields)]
    pub struct PlatformSettings {
        /// The address of the object API.
        pub addr: SocketAddr,
    }

    /// Address translations.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Network {
        /// Published addresses and where to connect instead.
        #[serde(default)]
        pub via: Vec<Via>,
    }

    /// One address translation.
    #[serde(deny_unknown_fields)]
    pub struct Via {
        /// The published address.
        pub to: SocketAddr,
        /// The address to connect to instead.
        pub through: SocketAddr,
    }

    /// The role and password used at targets.
    #[serde(deny_unknown_fields)]
    pub struct TargetLogin {
        /// The database role.
        pub user: Box<str>,
        /// Its password.
        pub password: Box<str>,
    }

    /// A role that callers may use.
    #[serde(deny_unknown_fields)]
    pub struct CallerLogin {
        /// The role's name.
        pub user: Box<str>,
        /// Its password.
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
    /// Returns every fault at once.
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        sections::parse(text)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault at once, or the one that the file can't be read.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsErrors> {
        let path = path.as_ref();
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsErrors::unreadable(&file, &error))?;
        Self::parse(&text).map_err(|errors| errors.in_file(&file))
    }
}

impl Network {
    /// Returns where to connect in order to reach the published address `to`.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::settings::Network;
    /// let addr = "127.0.0.1:5432".parse().unwrap();
    /// assert_eq!(Network::default().reach(addr), addr);
    /// ```
    pub fn reach(&self, to: SocketAddr) -> SocketAddr {
        let via = self.via.iter().find(|via| via.to == to);
        via.map_or(to, |via| via.through)
    }
}
