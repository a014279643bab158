//! A proxy process that serves callers through the session engine.
//!
//! A [`proxy::ProxyProcess`] owns every socket of the process and runs on one thread. It is generic
//! over the [`protocol::Protocol`] of callers and targets and over the [`platform::Platform`] that
//! stores durable state.
//!
//! # Examples
//!
//! ```
//! use endivereach_core::clock::Clock;
//! use endivereach_front::clock::BootClock;
//!
//! let clock = BootClock::open();
//! let before = clock.now();
//! assert!(clock.now() >= before);
//! ```

mod announcements;
pub mod answer_assembly;
mod callers;
pub mod clock;
pub mod compression;
pub mod datagrams;
mod effects;
mod era;
pub mod feed;
mod feed_client;
mod feed_server;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod mirror;
pub mod net;
pub mod platform;
mod platform_calls;
pub mod protocol;
pub mod proxy;
mod rate_limits;
mod registration;
mod relays;
mod session_homes;
mod store;
mod target_reads;
mod targets;
mod telemetry;
