//! What the settings file says.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jasminefall_core::prelude::*;
use jasminefall_runtime::settings::{self, SettingsFile};
use jasminefall_runtime::tls::TlsFiles;
use jasminefall_wire::handshake::SiteKey;

const KNOWN: [&str; 15] = [
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
const STOP_DELAY_MS: DurationMs = DurationMs::new(5_000);
const STOP_LIMIT_MS: DurationMs = DurationMs::new(60_000);
const CLAIM_BATCH: usize = 256;
const EXAMPLE_ADDRESS: &str = "127.0.0.1:7001";

/// Holds the settings of an entry instance.
#[derive(Debug)]
pub(crate) struct Settings {
    /// The name under which the desired state declares this entry.
    pub(crate) name: EntryId,
    /// Where callers reach it.
    pub(crate) callers: SocketAddr,
    /// The certificate that callers are shown, if the listener speaks TLS.
    pub(crate) callers_tls: Option<TlsFiles>,
    /// Where backend servers announce themselves.
    pub(crate) backends: SocketAddr,
    /// Where other processes of the system reach it.
    pub(crate) peer: SocketAddr,
    /// The secret of the site.
    pub(crate) site_key: SiteKey,
    /// The peer addresses of the control replicas.
    pub(crate) control: Vec<SocketAddr>,
    /// Where a metrics collector reads, if anywhere.
    pub(crate) metrics: Option<SocketAddr>,
    /// How often counts of requests are reported to control.
    pub(crate) observation_interval_ms: DurationMs,
    /// The peer addresses of the other entries.
    pub(crate) entries: Vec<SocketAddr>,
    /// How long the listeners stay after a stop was asked for, so that the balancer can move.
    pub(crate) stop_delay_ms: DurationMs,
    /// How long accepted requests may take after that.
    pub(crate) stop_limit_ms: DurationMs,
    /// Where a clean stop is noted, if anywhere.
    pub(crate) clean_stop_file: Option<PathBuf>,
    /// How many claims go into one commit at most.
    pub(crate) claim_batch: usize,
}

impl Settings {
    /// Loads and checks the settings.
    pub(crate) fn load(path: &Path) -> Result<Self, Problems> {
        let mut file = SettingsFile::load(path)?;
        file.refuse_unknown_sections(&["entry"]);
        let section = file.required_section("entry");
        let problems = &mut file.problems;
        section.refuse_unknown(&KNOWN, problems);
        let name = section.read_required("name", "e1", problems);
        let callers = section.read_required("callers", EXAMPLE_ADDRESS, problems);
        let backends = section.read_required("backends", EXAMPLE_ADDRESS, problems);
        let peer = section.read_required("peer", EXAMPLE_ADDRESS, problems);
        let control: Vec<SocketAddr> = section.read_list("control", problems);
        if control.is_empty() {
            let remedy = "add `control = ` with the peer addresses of the control replicas";
            problems.add(
                section.place("control"),
                "no control replica is named",
                remedy,
            );
        }
        let secret = settings::read_site_key(&section, problems);
        let entries = section.read_list("entries", problems);
        let observation_interval_ms = section.read_or(
            "observation_interval",
            DEFAULT_OBSERVATION_INTERVAL_MS,
            problems,
        );
        let callers_tls = TlsFiles::read(&section, "callers", problems);
        let metrics = section.read_optional("metrics", problems);
        let stop_delay_ms = section.read_or("stop_delay", STOP_DELAY_MS, problems);
        let clean_stop_file = section.read_optional("clean_stop_file", problems);
        let stop_limit_ms = section.read_or("stop_limit", STOP_LIMIT_MS, problems);
        let claim_batch = section.read_or("claim_batch", CLAIM_BATCH, problems).max(1);
        let (Some(name), Some(callers), Some(backends), Some(peer), Some(secret)) =
            (name, callers, backends, peer, secret)
        else {
            return file.finish(None);
        };
        let site_key = SiteKey::new(&secret);
        let settings = Self {
            name,
            callers,
            callers_tls,
            backends,
            peer,
            site_key,
            control,
            metrics,
            observation_interval_ms,
            entries,
            stop_delay_ms,
            stop_limit_ms,
            clean_stop_file,
            claim_batch,
        };
        file.finish(Some(settings))
    }
}
