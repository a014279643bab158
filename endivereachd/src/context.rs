//! What every part of the daemon shares.

use crate::events::Events;
use endivereach_core::clock::SystemClock;
use endivereach_core::ids::ProxyId;
use endivereach_core::settings::Settings;
use endivereach_wire::http::Client;

/// The identity, settings and shared clients of this process.
#[derive(Debug)]
pub struct Context {
    /// This run of the proxy.
    pub id: ProxyId,
    /// The settings read at the start.
    pub settings: Settings,
    /// The clock of the daemon.
    pub clock: SystemClock,
    /// The client for control calls, which keeps connections open.
    pub http: Client,
    /// The events recorded so far.
    pub events: Events,
}
