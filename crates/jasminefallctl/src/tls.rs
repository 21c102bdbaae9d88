//! TLS configuration of the client.

use std::path::Path;
use std::sync::Arc;

use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};

use crate::arguments::usage_error;
use crate::failure::Failure;

/// Returns a client configuration that trusts only the certificates in a PEM file.
pub(crate) fn client_config(ca: &Path) -> Result<Arc<ClientConfig>, Failure> {
    let failure = |error: &dyn std::fmt::Display| {
        let file = ca.display();
        usage_error(&format!(
            "the certificates in {file} cannot be read: {error}"
        ))
    };
    let mut roots = RootCertStore::empty();
    let certificates = CertificateDer::pem_file_iter(ca).map_err(|error| failure(&error))?;
    for certificate in certificates {
        let certificate = certificate.map_err(|error| failure(&error))?;
        roots.add(certificate).map_err(|error| failure(&error))?;
    }
    let provider = Arc::new(ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| failure(&error))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Arc::new(config))
}
