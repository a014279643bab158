//! The limits and intervals of the exchange with peers and the platform.

use endivereach_core::settings::FleetSettings;
use std::time::Duration;

/// The limits and intervals of calls to peers and to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The maximum age of the evidence for the rules; beyond it every request gets the strictest
    /// treatment. Default: 4 s.
    pub evidence_age_max: Duration,
    /// How long a peer holds an exchange while it has no newer objects. Default: 1 s.
    pub exchange_wait: Duration,
    /// The timeout of a call, in addition to the time that the callee may hold it. Default: 500 ms.
    pub call_timeout: Duration,
    /// The number of proxies per availability zone that watch the platform. Default: 2.
    pub relays_per_zone: usize,
    /// How long the platform holds a relay's watch while nothing changes. Default: 1 s.
    pub watch_wait: Duration,
    /// The interval between a relay's reads of the list of VMs. Default: 2 s.
    pub members_interval: Duration,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            evidence_age_max: Duration::from_secs(4),
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
            evidence_age_max: settings.evidence_max.get(),
            relays_per_zone: settings.relays_per_zone as usize,
            ..Self::default()
        }
    }
}
