//! What callers and backend servers speak: HTTP, as docs/INTERFACES.md describes.

pub(crate) mod backends;
pub(crate) mod callers;
pub(crate) mod jobs;
mod parsing;
