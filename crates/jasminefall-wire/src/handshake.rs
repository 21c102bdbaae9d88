//! Mutual authentication with the site key.
//!
//! The server sends a random challenge, the client responds with its own challenge and an HMAC of
//! both, and the server responds with another HMAC. The key itself is never sent.

use std::io::{Error, ErrorKind};
use std::sync::Arc;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

/// Holds the secret shared by the processes of a site.
#[derive(Clone)]
pub struct SiteKey(Arc<[u8]>);

impl SiteKey {
    /// Creates a key from secret bytes of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Returns the HMAC with which one side of a connection proves that it has the key.
    fn proof(&self, side: &[u8], challenges: [&[u8; CHALLENGE_BYTES]; 2]) -> [u8; PROOF_BYTES] {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(side);
        mac.update(challenges[0]);
        mac.update(challenges[1]);
        mac.finalize().into_bytes().into()
    }
}

impl std::fmt::Debug for SiteKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SiteKey(..)")
    }
}

/// Authenticates to a server and verifies that the server has the same key.
///
/// # Errors
///
/// Returns an error if the connection fails or the server does not have the key.
pub async fn authenticate_as_client(stream: &mut TcpStream, key: &SiteKey) -> Result<(), Error> {
    let mut peer_challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut peer_challenge).await?;
    let own_challenge: [u8; CHALLENGE_BYTES] = rand::random();
    stream.write_all(&own_challenge).await?;
    stream
        .write_all(&key.proof(b"client", [&peer_challenge, &own_challenge]))
        .await?;
    verify_proof(
        stream,
        &key.proof(b"server", [&peer_challenge, &own_challenge]),
    )
    .await
}

/// Verifies that a client has the key, then authenticates to it.
///
/// # Errors
///
/// Returns an error if the connection fails or the client does not have the key.
pub async fn authenticate_as_server(stream: &mut TcpStream, key: &SiteKey) -> Result<(), Error> {
    let own_challenge: [u8; CHALLENGE_BYTES] = rand::random();
    stream.write_all(&own_challenge).await?;
    let mut peer_challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut peer_challenge).await?;
    verify_proof(
        stream,
        &key.proof(b"client", [&own_challenge, &peer_challenge]),
    )
    .await?;
    stream
        .write_all(&key.proof(b"server", [&own_challenge, &peer_challenge]))
        .await
}

async fn verify_proof(stream: &mut TcpStream, expected: &[u8; PROOF_BYTES]) -> Result<(), Error> {
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    if bool::from(proof.ct_eq(expected)) {
        return Ok(());
    }
    let message =
        "the peer does not have the site key; configure the same `site_key_file` at both ends";
    Err(Error::new(ErrorKind::PermissionDenied, message))
}
