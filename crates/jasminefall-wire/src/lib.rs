//! Calls between jasminefall's own processes over capnp-rpc.
//!
//! The schema `schema/node.capnp` names the calls; their bodies are the typed messages of
//! [`message`]. Both ends of a connection first prove that they hold the site key ([`handshake`]);
//! nothing else is read before.
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
//! - [`message`]: the bodies of the calls
//! - [`codec`]: bodies as bytes
//! - [`handshake`]: the proof of the site key
//! - [`link`]: a connection to another process that is replaced when it goes silent
//! - [`client`]: typed calls on links
//! - [`peers`]: messages to the other replicas
//! - [`server`]: accepting connections

pub mod client;
pub mod codec;
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
