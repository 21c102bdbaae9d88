//! The settings file of a control instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jasminefall_core::prelude::*;
use jasminefall_replica::prelude::{DataCentre, ReplicaId};
use jasminefall_runtime::settings::{self, SettingsFile};
use jasminefall_runtime::tls::TlsFiles;
use jasminefall_runtime::tokens::Tokens;
use jasminefall_wire::handshake::SiteKey;

/// Exceeds the restart time of a control instance, so that a restart does not cause the replacement
/// of its voter.
const DEFAULT_REPLACE_AFTER_MS: DurationMs = DurationMs::new(30_000);
const EXAMPLE_ADDRESS: &str = "127.0.0.1:7101";

/// Holds the declaration of a control replica: its addresses, initial role and data centre.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaAddresses {
    /// The listen address for other processes of the system.
    pub(crate) peer: SocketAddr,
    /// The listen address for operators.
    pub(crate) operators: SocketAddr,
    /// The listen address for workers.
    pub(crate) workers: SocketAddr,
    /// Whether the replica is a voter of the initial group when a new site is bootstrapped.
    pub(crate) first_voter: bool,
    /// The data centre of the replica; empty if it is not set.
    pub(crate) data_centre: DataCentre,
}

/// Holds the settings of a control instance.
#[derive(Debug)]
pub(crate) struct Settings {
    /// The identifier of this replica.
    pub(crate) replica: ReplicaId,
    /// The listen address for other processes of the system.
    pub(crate) peer: SocketAddr,
    /// The listen address for operators.
    pub(crate) operators: SocketAddr,
    /// The listen address for workers.
    pub(crate) workers: SocketAddr,
    /// The folder of the replica's log and snapshots.
    pub(crate) data_folder: PathBuf,
    /// The listen address for metrics, if they are served.
    pub(crate) metrics: Option<SocketAddr>,
    /// The key that authenticates processes of the site to each other.
    pub(crate) site_key: SiteKey,
    /// The certificate and private key of the operators' listener, if it uses TLS.
    pub(crate) operators_tls: Option<TlsFiles>,
    /// The tokens of operators with their roles.
    pub(crate) tokens: Tokens,
    /// The time without a response of a voter after which a learner replaces it.
    pub(crate) replace_after_ms: DurationMs,
    /// The addresses of every declared replica.
    pub(crate) replicas: BTreeMap<ReplicaId, ReplicaAddresses>,
}

impl Settings {
    /// Loads and validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its place and remedy.
    pub(crate) fn load(path: &Path) -> Result<Self, Problems> {
        let mut file = SettingsFile::load(path)?;
        let section = file.required_section("control");
        let known_keys = [
            "replica",
            "data_folder",
            "site_key_file",
            "replace_after",
            "metrics",
            "operators_certificate",
            "operators_key",
        ];
        section.refuse_unknown_keys(&known_keys, &mut file.problems);
        let replicas = read_replicas(&mut file);
        let tokens = Tokens::read(
            &path.display().to_string(),
            &file.document,
            &mut file.problems,
        );
        let problems = &mut file.problems;
        let replica = section.read_required("replica", "1", problems);
        let operators_tls = TlsFiles::read(&section, "operators", problems);
        let metrics = section.read_optional("metrics", problems);
        let data_folder: Option<SmolStr> = section.read_required("data_folder", "data", problems);
        let secret = settings::read_site_key(&section, problems);
        let replace_after_ms = section.read_or("replace_after", DEFAULT_REPLACE_AFTER_MS, problems);
        let own_addresses = replica.and_then(|replica| replicas.get(&replica).cloned());
        if let (Some(replica), None) = (replica, &own_addresses) {
            let remedy = format!("add [replica.{replica}] with its addresses");
            problems.add(
                section.place("replica"),
                "the replica is not declared",
                remedy,
            );
        }
        let (Some(replica), Some(own_addresses), Some(data_folder), Some(secret)) =
            (replica, own_addresses, data_folder, secret)
        else {
            return file.finish(None);
        };
        let settings = Self {
            replica,
            peer: own_addresses.peer,
            operators: own_addresses.operators,
            workers: own_addresses.workers,
            data_folder: PathBuf::from(data_folder.as_str()),
            metrics,
            site_key: SiteKey::new(&secret),
            operators_tls,
            tokens,
            replace_after_ms,
            replicas,
        };
        file.finish(Some(settings))
    }
}

fn read_replicas(file: &mut SettingsFile) -> BTreeMap<ReplicaId, ReplicaAddresses> {
    let mut replicas = BTreeMap::new();
    let problems = &mut file.problems;
    for section in file
        .document
        .sections()
        .filter(|section| section.name() != "control" && !section.name().starts_with("token."))
    {
        let id = section
            .name()
            .strip_prefix("replica.")
            .and_then(|id| id.parse().ok());
        let Some(id) = id else {
            problems.add(
                section.place(""),
                "the section is unknown",
                "use [control], [replica.NUMBER] or [token.NAME]",
            );
            continue;
        };
        let known_keys = ["peer", "operators", "workers", "first_voter", "data_centre"];
        section.refuse_unknown_keys(&known_keys, problems);
        let peer = section.read_required("peer", EXAMPLE_ADDRESS, problems);
        let operators = section.read_required("operators", EXAMPLE_ADDRESS, problems);
        let workers = section.read_required("workers", EXAMPLE_ADDRESS, problems);
        let first_voter = section.read_or("first_voter", true, problems);
        let data_centre = section.text("data_centre").unwrap_or_default().to_owned();
        if let (Some(peer), Some(operators), Some(workers)) = (peer, operators, workers) {
            replicas.insert(
                id,
                ReplicaAddresses {
                    peer,
                    operators,
                    workers,
                    first_voter,
                    data_centre: DataCentre(data_centre),
                },
            );
        }
    }
    replicas
}
