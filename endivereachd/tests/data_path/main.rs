//! The data path over real sockets: the postgres driver as caller, fake groups and targets behind.

mod failures;
mod frames;
mod ordinary;
mod support;
