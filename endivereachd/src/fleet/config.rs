//! The bounds and intervals of the fleet's exchange.

use endivereach_core::settings::FleetSettings;
use std::time::Duration;

/// How this process deals with its peers and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// How old the evidence for the rules may be before every request gets the strictest treatment.
    /// Default: 4 s.
    pub evidence_max: Duration,
    /// How long a peer holds an exchange that has no news. Default: 1 s.
    pub exchange_wait: Duration,
    /// How long a call may take beyond its wait. Default: 500 ms.
    pub call_timeout: Duration,
    /// How many proxies of each availability zone hold watches at the platform. Default: 2.
    pub relays_per_zone: usize,
    /// How long a relay's watch waits at the platform. Default: 1 s.
    pub watch_wait: Duration,
    /// How often a relay reads the list of VMs. Default: 2 s.
    pub members_interval: Duration,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            evidence_max: Duration::from_secs(4),
            exchange_wait: Duration::from_secs(1),
            call_timeout: Duration::from_millis(500),
            relays_per_zone: 2,
            watch_wait: Duration::from_secs(1),
            members_interval: Duration::from_secs(2),
        }
    }
}

impl From<&FleetSettings> for FleetConfig {
    fn from(settings: &FleetSettings) -> Self {
        Self {
            evidence_max: settings.evidence_max.get(),
            relays_per_zone: settings.relays_per_zone as usize,
            ..Self::default()
        }
    }
}
