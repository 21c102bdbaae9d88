//! TLS of listeners.
//!
//! The certificate is read again once its files have changed, at the next handshake. Connections that
//! are open go on with the certificate that they were opened with.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use anyhow::Context;
use jasminefall_core::document::Section;
use jasminefall_core::prelude::*;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Names the PEM files of a listener's certificate chain and private key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    certificate: PathBuf,
    key: PathBuf,
}

impl TlsFiles {
    /// Reads the keys `PREFIX_certificate` and `PREFIX_key`; without both the listener speaks plainly.
    pub fn read(section: &Section, prefix: &str, problems: &mut Problems) -> Option<Self> {
        let names = [format!("{prefix}_certificate"), format!("{prefix}_key")];
        let [certificate, key] = names.each_ref().map(|name| section.text(name));
        let (certificate, key) = match (certificate, key) {
            (None, None) => return None,
            (Some(certificate), Some(key)) => (certificate.into(), key.into()),
            (Some(_), None) | (None, Some(_)) => {
                let remedy = format!("give both `{}` and `{}`, or neither", names[0], names[1]);
                problems.add(
                    section.place(&names[0]),
                    "half of the TLS files is missing",
                    remedy,
                );
                return None;
            }
        };
        let files = Self { certificate, key };
        if let Err(error) = files.load() {
            let remedy = "give readable PEM files that belong together";
            problems.add(section.place(&names[0]), format!("{error:#}"), remedy);
        }
        Some(files)
    }

    /// Returns the configuration of a listener that speaks TLS with these files.
    ///
    /// # Errors
    ///
    /// Returns an error where the files cannot be read or do not belong together.
    pub fn server_config(&self) -> anyhow::Result<ServerConfig> {
        let resolver = Resolver {
            files: self.clone(),
            held: Mutex::new(Held {
                certified: Arc::new(self.load()?),
                changed: self.changed(),
                checked: Instant::now(),
            }),
        };
        let builder = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let builder = builder.with_safe_default_protocol_versions()?;
        Ok(builder
            .with_no_client_auth()
            .with_cert_resolver(Arc::new(resolver)))
    }

    fn load(&self) -> anyhow::Result<CertifiedKey> {
        let name = |path: &Path| path.display().to_string();
        let chain = CertificateDer::pem_file_iter(&self.certificate)
            .and_then(Iterator::collect::<Result<Vec<_>, _>>)
            .with_context(|| name(&self.certificate))?;
        let key = PrivateKeyDer::from_pem_file(&self.key).with_context(|| name(&self.key))?;
        let provider = ring::default_provider();
        CertifiedKey::from_der(chain, key, &provider).with_context(|| name(&self.certificate))
    }

    /// Returns when the files were last written.
    fn changed(&self) -> [Option<SystemTime>; 2] {
        [&self.certificate, &self.key].map(|path| {
            std::fs::metadata(path)
                .and_then(|found| found.modified())
                .ok()
        })
    }
}

/// Holds the certificate as last read.
#[derive(Debug)]
struct Held {
    certified: Arc<CertifiedKey>,
    changed: [Option<SystemTime>; 2],
    checked: Instant,
}

/// Gives each handshake the certificate that the files hold.
#[derive(Debug)]
struct Resolver {
    files: TlsFiles,
    held: Mutex<Held>,
}

impl ResolvesServerCert for Resolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.checked.elapsed() >= CHECK_INTERVAL {
            held.checked = Instant::now();
            self.reload(&mut held);
        }
        Some(held.certified.clone())
    }
}

impl Resolver {
    /// Reads the files again where they have changed; what cannot be read leaves the old one in use.
    fn reload(&self, held: &mut Held) {
        let changed = self.files.changed();
        if changed == held.changed {
            return;
        }
        match self.files.load() {
            Ok(certified) => {
                held.certified = Arc::new(certified);
                held.changed = changed;
                log::info!("event=certificate_reloaded");
            }
            Err(error) => log::error!(
                "event=certificate_unreadable error=\"{error:#}\" \
                 remedy=\"write both files anew; the old certificate stays in use\""
            ),
        }
    }
}
