//! HTTP server, HTTP client and connection limits.

pub mod budget;
pub mod client;
pub mod server;
