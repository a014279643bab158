//! Protocol adapters: typed calls over HTTP with MessagePack bodies, the platform's object API, the
//! control calls of a database server, the operators' calls to proxies, and PostgreSQL messages.
//!
//! # Examples
//!
//! A server that doubles numbers, and a client that calls it:
//!
//! ```
//! use endivereach_wire::http::{Client, Reply, Server};
//! use std::time::Duration;
//!
//! let server = Server::bind("127.0.0.1:0".parse().unwrap(), |call| {
//!     Reply::value(&call.decode::<u32>().unwrap_or(0))
//! })
//! .unwrap();
//! let client = Client::new();
//! let answer: u32 = client
//!     .call(server.addr(), "/double", &21u32, Duration::from_secs(5))
//!     .unwrap();
//! assert_eq!(answer, 21);
//! ```

pub mod http;
pub mod member;
pub mod operator;
pub mod pg;
pub mod platform;
