//! The proof of the site key.
//!
//! The server sends a random challenge, the client answers with its own challenge and a keyed hash
//! of both, and the server answers with another keyed hash. The key itself never crosses the wire.

use std::io::{Error, ErrorKind};
use std::sync::Arc;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

/// Holds the secret that the processes of a site share.
#[derive(Clone)]
pub struct SiteKey(Arc<[u8]>);

impl SiteKey {
    /// Creates the key from its secret bytes.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    fn proof(&self, side: &[u8], challenges: [&[u8; CHALLENGE_BYTES]; 2]) -> [u8; PROOF_BYTES] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any length is a key");
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

/// Proves the key to a server and asks it for the same.
///
/// # Errors
///
/// Returns an error where the connection fails or the server does not hold the key.
pub async fn authenticate_as_client(stream: &mut TcpStream, key: &SiteKey) -> Result<(), Error> {
    let mut theirs = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut theirs).await?;
    let ours: [u8; CHALLENGE_BYTES] = rand::random();
    stream.write_all(&ours).await?;
    stream
        .write_all(&key.proof(b"client", [&theirs, &ours]))
        .await?;
    expect_proof(stream, &key.proof(b"server", [&theirs, &ours])).await
}

/// Asks a client for the proof and gives the server's.
///
/// # Errors
///
/// Returns an error where the connection fails or the client does not hold the key.
pub async fn authenticate_as_server(stream: &mut TcpStream, key: &SiteKey) -> Result<(), Error> {
    let ours: [u8; CHALLENGE_BYTES] = rand::random();
    stream.write_all(&ours).await?;
    let mut theirs = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut theirs).await?;
    expect_proof(stream, &key.proof(b"client", [&ours, &theirs])).await?;
    stream
        .write_all(&key.proof(b"server", [&ours, &theirs]))
        .await
}

async fn expect_proof(stream: &mut TcpStream, expected: &[u8; PROOF_BYTES]) -> Result<(), Error> {
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    if bool::from(proof.ct_eq(expected)) {
        return Ok(());
    }
    let message = "the other end does not hold the site key; give both the same `site_key_file`";
    Err(Error::new(ErrorKind::PermissionDenied, message))
}
