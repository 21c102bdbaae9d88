//! The settings file of an entry instance.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jasminefall_core::prelude::*;
use jasminefall_runtime::settings::{self, SettingsFile};
use jasminefall_runtime::tls::TlsFiles;
use jasminefall_wire::handshake::SiteKey;

const KNOWN_KEYS: [&str; 15] = [
    "callers_certificate",
    "callers_key",
    "metrics",
    "observation_interval",
    "name",
    "callers",
    "backends",
    "peer",
    "site_key_file",
    "control",
    "entries",
    "stop_delay",
    "stop_limit",
    "clean_stop_file",
    "claim_batch",
];
const DEFAULT_OBSERVATION_INTERVAL_MS: DurationMs = DurationMs::new(10_000);
const DEFAULT_STOP_DELAY_MS: DurationMs = DurationMs::new(5_000);
const DEFAULT_STOP_LIMIT_MS: DurationMs = DurationMs::new(60_000);
const DEFAULT_MAX_CLAIM_BATCH: usize = 256;
const EXAMPLE_ADDRESS: &str = "127.0.0.1:7001";

/// Holds the settings of an entry instance.
#[derive(Debug)]
pub(crate) struct Settings {
    /// The name under which the desired state declares this entry.
    pub(crate) name: EntryId,
    /// The listen address for callers.
    pub(crate) callers_address: SocketAddr,
    /// The certificate and private key of the callers' listener, if it uses TLS.
    pub(crate) callers_tls: Option<TlsFiles>,
    /// The listen address for announcements of backend servers.
    pub(crate) backends_address: SocketAddr,
    /// The listen address for other processes of the system.
    pub(crate) peer_address: SocketAddr,
    /// The key that authenticates processes of the site to each other.
    pub(crate) site_key: SiteKey,
    /// The peer addresses of the control replicas.
    pub(crate) control_addresses: Vec<SocketAddr>,
    /// The listen address for metrics, if they are served.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// The interval between reports of request counts to control.
    pub(crate) observation_interval_ms: DurationMs,
    /// The peer addresses of the other entries.
    pub(crate) entry_addresses: Vec<SocketAddr>,
    /// How long the listeners stay open after a stop request, so that the load balancer can move
    /// traffic away.
    pub(crate) stop_delay_ms: DurationMs,
    /// How long accepted requests may take after the listeners close.
    pub(crate) stop_limit_ms: DurationMs,
    /// The marker file of a clean stop, if one is kept.
    pub(crate) clean_stop_file: Option<PathBuf>,
    /// The maximum number of claims, recorded results or releases that one command proposes; at
    /// least one.
    pub(crate) max_claim_batch: usize,
}

impl Settings {
    /// Loads and validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its place and remedy.
    pub(crate) fn load(path: &Path) -> Result<Self, Problems> {
        let mut file = SettingsFile::load(path)?;
        file.refuse_unknown_sections(&["entry"]);
        let section = file.required_section("entry");
        let problems = &mut file.problems;
        section.refuse_unknown_keys(&KNOWN_KEYS, problems);
        let name = section.read_required("name", "e1", problems);
        let callers_address = section.read_required("callers", EXAMPLE_ADDRESS, problems);
        let backends_address = section.read_required("backends", EXAMPLE_ADDRESS, problems);
        let peer_address = section.read_required("peer", EXAMPLE_ADDRESS, problems);
        let control_addresses: Vec<SocketAddr> = section.read_list("control", problems);
        if control_addresses.is_empty() {
            let remedy = "add `control = ` with the peer addresses of the control replicas";
            problems.add(
                section.place("control"),
                "no control replica is named",
                remedy,
            );
        }
        let secret = settings::read_site_key(&section, problems);
        let entry_addresses = section.read_list("entries", problems);
        let observation_interval_ms = section.read_or(
            "observation_interval",
            DEFAULT_OBSERVATION_INTERVAL_MS,
            problems,
        );
        let callers_tls = TlsFiles::read(&section, "callers", problems);
        let metrics_address = section.read_optional("metrics", problems);
        let stop_delay_ms = section.read_or("stop_delay", DEFAULT_STOP_DELAY_MS, problems);
        let clean_stop_file = section.read_optional("clean_stop_file", problems);
        let stop_limit_ms = section.read_or("stop_limit", DEFAULT_STOP_LIMIT_MS, problems);
        let max_claim_batch = section
            .read_or("claim_batch", DEFAULT_MAX_CLAIM_BATCH, problems)
            .max(1);
        let (
            Some(name),
            Some(callers_address),
            Some(backends_address),
            Some(peer_address),
            Some(secret),
        ) = (
            name,
            callers_address,
            backends_address,
            peer_address,
            secret,
        )
        else {
            return file.finish(None);
        };
        let site_key = SiteKey::new(&secret);
        let settings = Self {
            name,
            callers_address,
            callers_tls,
            backends_address,
            peer_address,
            site_key,
            control_addresses,
            metrics_address,
            observation_interval_ms,
            entry_addresses,
            stop_delay_ms,
            stop_limit_ms,
            clean_stop_file,
            max_claim_batch,
        };
        file.finish(Some(settings))
    }
}
