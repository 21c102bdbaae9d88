//! What both programs are told.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use jasminefall_core::problem::{Place, Problems};
use jasminefall_jobs::policy::mechanisms::UnknownMechanism;
use jasminefall_platform::settings::{PlatformSettings, read_settings};
use jasminefall_replica::prelude::ReplicaId;
use jasminefall_wire::handshake::SiteKey;
use sha2::{Digest, Sha256};

/// Reads and checks the settings of an entry.
///
/// # Errors
///
/// Returns [`Problems`] where the file cannot be read or does not hold.
pub fn load_entry(path: &Path) -> Result<PlatformSettings, Problems> {
    let settings = load(path)?;
    let complete = settings.clients.is_some() && settings.readiness.is_some();
    require(
        complete,
        path,
        "an entry listens to clients and answers whether it is ready",
    )?;
    Ok(settings)
}

/// Reads and checks the settings of a control instance, and the names of the mechanisms that it does
/// without.
///
/// # Errors
///
/// Returns [`Problems`] where the file cannot be read or does not hold, or where a name is unknown.
pub fn load_control(path: &Path, without: &str) -> Result<PlatformSettings, Problems> {
    let mut settings = load(path)?;
    settings.leader.mechanisms = without.parse().map_err(|error: UnknownMechanism| {
        problem(
            Path::new("--without"),
            &error.to_string(),
            "name known ones",
        )
    })?;
    let complete = settings.control.is_some() && settings.data_folder.is_some();
    require(
        complete,
        path,
        "a control instance listens to workers and has a data folder",
    )?;
    Ok(settings)
}

/// Reads the settings file.
///
/// # Errors
///
/// Returns [`Problems`] where the file cannot be read or a value is missing or wrong.
pub fn load(path: &Path) -> Result<PlatformSettings, Problems> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| problem(path, &error.to_string(), "name a readable file"))?;
    read_settings(&text).map_err(|error| problem(path, &error.to_string(), "correct the line"))
}

fn require(holds: bool, path: &Path, what: &str) -> Result<(), Problems> {
    if holds {
        return Ok(());
    }
    Err(problem(
        path,
        what,
        "give the addresses and the folder that this needs",
    ))
}

fn problem(path: &Path, message: &str, remedy: &str) -> Problems {
    let mut problems = Problems::new();
    let place = Place {
        file: path.display().to_string().into(),
        ..Place::default()
    };
    problems.add(place, message, remedy);
    problems
}

/// Returns the key by which processes of one site know each other.
///
/// The platform hands out no secret, so the key only keeps processes of other sites apart.
#[must_use]
pub fn site_key(settings: &PlatformSettings) -> SiteKey {
    SiteKey::new(&Sha256::digest(settings.site_identity.as_bytes()))
}

/// Returns where another control instance listens to our own processes.
#[must_use]
pub const fn peer_address(settings: &PlatformSettings, address: IpAddr) -> SocketAddr {
    SocketAddr::new(address, settings.own_ports.0)
}

/// Returns the replica at a peer address; the identifier holds the address.
#[must_use]
pub fn replica_id_at(peer: SocketAddr) -> ReplicaId {
    let address = match peer.ip() {
        IpAddr::V4(address) => u64::from(u32::from(address)),
        IpAddr::V6(address) => u64::from(u128::from(address) as u32),
    };
    ReplicaId(address << 16 | u64::from(peer.port()))
}

/// Returns the peer address that a replica's identifier holds.
#[must_use]
pub fn replica_address(replica: ReplicaId) -> Option<SocketAddr> {
    let address = u32::try_from(replica.0 >> 16).ok()?;
    let port = u16::try_from(replica.0 & 0xffff).ok()?;
    Some(SocketAddr::new(IpAddr::V4(address.into()), port))
}
