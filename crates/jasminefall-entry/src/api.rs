//! HTTP listeners for callers and backend servers; docs/INTERFACES.md describes the interface.

pub(crate) mod backends;
pub(crate) mod callers;
pub(crate) mod jobs;
mod parsing;
