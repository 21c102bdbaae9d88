//! HTTP listeners and connections.

pub mod client;
pub mod server;
