//! The state shared by every module of the daemon.

use crate::events::Events;
use endivereach_core::clock::SystemClock;
use endivereach_core::ids::ProxyId;
use endivereach_core::settings::Settings;
use endivereach_wire::http::Client;

/// The identity, settings and shared clients of this process.
#[derive(Debug)]
pub struct Context {
    /// The identity of this process: the VM's name and an incarnation that changes at each start.
    pub id: ProxyId,
    /// The settings, which are read once at the start.
    pub settings: Settings,
    /// The clock that the daemon's timers use.
    pub clock: SystemClock,
    /// The HTTP client for control calls, which reuses connections.
    pub http: Client,
    /// The log of recent events.
    pub events: Events,
}
