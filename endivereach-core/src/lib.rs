//! The I/O-free core of endivereach: routing, consistency, failover, rules and settings.
//!
//! The code in this crate gets the current time as a parameter, so that tests can control
//! it.
//!
//! # Examples
//!
//! Log positions are compared by term first:
//!
//! ```
//! use endivereach_core::ids::Position;
//!
//! assert!(Position::new(2, 1) > Position::new(1, 99));
//! ```
//!
//! A statement that no rule covers gets the strictest treatment:
//!
//! ```
//! use endivereach_core::treatment::Freshness;
//! use endivereach_core::treatment::Treatment;
//!
//! assert_eq!(Treatment::strictest().freshness, Freshness::Latest);
//! ```

mod macros;

pub mod allowance;
pub mod canary;
pub mod classify;
pub mod clock;
pub mod commit_safety;
pub mod confirm;
pub mod congestion;
pub mod directory;
pub mod drain;
pub mod duty;
pub mod engine;
pub mod event;
pub mod exchange;
pub mod failure_detection;
pub mod fair_share;
pub mod far_reads;
pub mod floor;
pub mod grants;
pub mod handover;
pub mod home_table;
pub mod homes;
pub mod ids;
pub mod known_peers;
pub mod local_sessions;
pub mod logfmt;
pub mod membership;
pub mod outcome;
pub mod promotion;
pub mod queue;
pub mod rate_limit;
pub mod registration;
pub mod relayed_session;
pub mod restored_list;
pub mod retry;
pub mod return_delay;
pub mod round_trip;
pub mod routing;
pub mod rules;
pub mod session;
pub mod settings;
pub mod shares;
pub mod shedding;
pub mod store_era;
pub mod store_source;
pub mod supervision;
pub mod target_list;
pub mod tenant_homes;
pub mod tenants;
pub mod transfer;
pub mod treatment;
pub mod units;
