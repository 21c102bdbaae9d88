//! RPC between the processes of jasminefall over capnp-rpc.
//!
//! The schema `schema/node.capnp` declares the calls; their bodies are the types of [`message`],
//! encoded by [`codec`]. Both ends of a connection first authenticate with the site key
//! ([`handshake`]); neither reads anything else before.
//!
//! ```
//! use jasminefall_wire::codec;
//!
//! let bytes = codec::encode(&7_u64);
//! assert_eq!(codec::decode::<u64>(&bytes).unwrap(), 7);
//! ```
//!
//! # Module map
//!
//! - [`message`]: request and response types
//! - [`codec`]: encoding of requests and responses
//! - [`extended`]: messages with an optional extension
//! - [`handshake`]: mutual authentication with the site key
//! - [`link`]: connection to another process that reconnects after a failure
//! - [`client`]: typed clients of control replicas and entries
//! - [`peers`]: consensus messages to other control replicas
//! - [`server`]: listeners for control replicas and entries

pub mod client;
pub mod codec;
pub mod extended;
pub mod handshake;
pub mod link;
pub mod message;
pub mod peers;
pub mod server;

#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::nursery,
    missing_docs,
    unreachable_pub,
    unused_qualifications
)]
#[rustfmt::skip]
mod node_capnp;
