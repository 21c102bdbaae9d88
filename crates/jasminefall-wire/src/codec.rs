//! Bodies as bytes.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the bytes of a body.
///
/// # Panics
///
/// Never for the messages of this crate: they hold nothing that cannot be encoded.
pub fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    postcard::to_stdvec(body).expect("messages hold nothing that cannot be encoded")
}

/// Reads a body.
///
/// # Errors
///
/// Returns an error that names the likely cause where the bytes are not a body of this kind.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, capnp::Error> {
    postcard::from_bytes(bytes).map_err(|error| {
        capnp::Error::failed(format!(
            "the body cannot be read ({error}); run the same version of jasminefall at both ends"
        ))
    })
}
