//! The daemon's settings, as read from TOML.

use crate::ids::ProxyName;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use std::net::SocketAddr;

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
