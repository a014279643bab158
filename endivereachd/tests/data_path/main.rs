//! Tests the data path over real sockets: the postgres driver connects as a caller, and the group
//! and its targets are fakes in this process.

mod failures;
mod frames;
mod ordinary;
mod support;
