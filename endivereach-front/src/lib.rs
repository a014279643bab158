//! One process that serves callers through the session engine.
//!
//! A [`front::Front`] owns every socket of the process and runs on one thread. It is generic over
//! the [`protocol::Protocol`] that callers and targets speak and over the
//! [`platform::Platform`] that keeps what has to last.
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

mod callers;
pub mod clock;
mod effects;
pub mod front;
pub mod http;
mod lanes;
pub mod logs;
pub mod mirror;
pub mod net;
pub mod platform;
pub mod protocol;
mod relays;
mod store;
mod targets;
mod telemetry;
