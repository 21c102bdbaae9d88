//! HTTP listeners and connections.

pub mod budget;
pub mod client;
pub mod server;
