//! Encoding of requests and responses with postcard.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a request or response.
///
/// # Panics
///
/// Panics if the type cannot be encoded, which applies to no type in [`crate::message`] and to no
/// command.
pub fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    postcard::to_stdvec(body).expect("every message type can be encoded")
}

/// Decodes a request or response.
///
/// # Errors
///
/// Returns an error with the likely cause if the bytes do not encode a value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, capnp::Error> {
    postcard::from_bytes(bytes).map_err(|error| {
        capnp::Error::failed(format!(
            "the message cannot be decoded ({error}); run the same version of jasminefall at both \
             ends"
        ))
    })
}
