//! TLS configuration of listeners.
//!
//! A handshake reloads the certificate if its files have changed. Open connections keep the
//! certificate with which they were established.

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

/// The minimum time between two checks of whether the files have changed.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Holds the paths of the PEM files with a listener's certificate chain and private key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    certificate: PathBuf,
    key: PathBuf,
}

impl TlsFiles {
    /// Reads the settings `PREFIX_certificate` and `PREFIX_key`.
    ///
    /// Returns `None` if neither is set, which disables TLS. Adds a problem if only one is set or the
    /// files cannot be loaded.
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
                    "one of the two TLS files is not set",
                    remedy,
                );
                return None;
            }
        };
        let files = Self { certificate, key };
        if let Err(error) = files.load() {
            let remedy = "give readable PEM files of a certificate and its private key";
            problems.add(section.place(&names[0]), format!("{error:#}"), remedy);
        }
        Some(files)
    }

    /// Returns a server configuration that uses these files and reloads them when they change.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be read or the key does not match the certificate.
    pub fn server_config(&self) -> anyhow::Result<ServerConfig> {
        let resolver = ReloadingResolver {
            files: self.clone(),
            cache: Mutex::new(CachedCertificate {
                certified_key: Arc::new(self.load()?),
                modified: self.modified(),
                last_check: Instant::now(),
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

    /// Returns the modification times of the files; `None` for a file that is not accessible.
    fn modified(&self) -> [Option<SystemTime>; 2] {
        [&self.certificate, &self.key].map(|path| {
            std::fs::metadata(path)
                .and_then(|metadata| metadata.modified())
                .ok()
        })
    }
}

/// Holds the certificate and key that were last loaded.
#[derive(Debug)]
struct CachedCertificate {
    certified_key: Arc<CertifiedKey>,
    /// The modification times of the files when they were loaded.
    modified: [Option<SystemTime>; 2],
    last_check: Instant,
}

/// Provides each handshake with the current certificate of the files.
#[derive(Debug)]
struct ReloadingResolver {
    files: TlsFiles,
    cache: Mutex<CachedCertificate>,
}

impl ResolvesServerCert for ReloadingResolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        if cache.last_check.elapsed() >= FILE_CHECK_INTERVAL {
            cache.last_check = Instant::now();
            self.reload_if_modified(&mut cache);
        }
        Some(cache.certified_key.clone())
    }
}

impl ReloadingResolver {
    /// Reloads the files if they were modified; on an error the old certificate stays in use.
    fn reload_if_modified(&self, cache: &mut CachedCertificate) {
        let modified = self.files.modified();
        if modified == cache.modified {
            return;
        }
        match self.files.load() {
            Ok(certified_key) => {
                cache.certified_key = Arc::new(certified_key);
                cache.modified = modified;
                log::info!("event=certificate_reloaded");
            }
            Err(error) => log::error!(
                "event=certificate_unreadable error=\"{error:#}\" \
                 remedy=\"write both files again; the old certificate stays in use\""
            ),
        }
    }
}
