//! Settings of both programs.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use jasminefall_core::problem::{Place, Problems};
use jasminefall_jobs::policy::mechanisms::UnknownMechanism;
use jasminefall_platform::settings::{PlatformSettings, parse_settings};
use jasminefall_replica::prelude::ReplicaId;
use jasminefall_wire::handshake::SiteKey;
use sha2::{Digest, Sha256};

/// Reads and checks the settings of an entry.
///
/// # Errors
///
/// Returns [`Problems`] if the file cannot be read, is invalid or lacks an address of the entry.
pub fn load_entry(path: &Path) -> Result<PlatformSettings, Problems> {
    let settings = load(path)?;
    let complete = settings.client_address.is_some() && settings.readiness_address.is_some();
    require(
        complete,
        path,
        "an entry needs a listener for clients and one for readiness checks",
    )?;
    Ok(settings)
}

/// Reads and checks the settings of a control instance; `without` names the decision mechanisms to
/// disable.
///
/// # Errors
///
/// Returns [`Problems`] if the file cannot be read, is invalid or lacks a value that a control
/// instance needs, or if a mechanism is unknown.
pub fn load_control(path: &Path, without: &str) -> Result<PlatformSettings, Problems> {
    let mut settings = load(path)?;
    settings.leader.mechanisms = without.parse().map_err(|error: UnknownMechanism| {
        problem(
            Path::new("--without"),
            &error.to_string(),
            "give only names of existing mechanisms",
        )
    })?;
    let complete = settings.control_address.is_some() && settings.data_folder.is_some();
    require(
        complete,
        path,
        "a control instance needs a listener for workers and a data folder",
    )?;
    Ok(settings)
}

/// Reads the settings file without the checks that belong to one program.
///
/// # Errors
///
/// Returns [`Problems`] if the file cannot be read, or a value is missing or invalid.
pub fn load(path: &Path) -> Result<PlatformSettings, Problems> {
    let text = std::fs::read_to_string(path);
    let text = text
        .map_err(|error| problem(path, &error.to_string(), "give the path of a readable file"))?;
    parse_settings(&text).map_err(|error| problem(path, &error.to_string(), "correct the line"))
}

fn require(is_satisfied: bool, path: &Path, message: &str) -> Result<(), Problems> {
    if is_satisfied {
        return Ok(());
    }
    Err(problem(
        path,
        message,
        "set the missing addresses or the data folder",
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

/// Returns the key by which processes of one site authenticate each other.
///
/// The platform provides no secret, so the key only prevents connections between different sites.
#[must_use]
pub fn site_key(settings: &PlatformSettings) -> SiteKey {
    SiteKey::new(&Sha256::digest(settings.site_identity.as_bytes()))
}

/// Returns the address at which the control instance with this IP address accepts connections from
/// entries and other control instances.
#[must_use]
pub const fn peer_address(settings: &PlatformSettings, address: IpAddr) -> SocketAddr {
    SocketAddr::new(address, settings.internal_ports.0)
}

/// Returns the identifier of the replica at a peer address: the IPv4 address and the port.
///
/// Only the low 32 bits of an IPv6 address are kept.
#[must_use]
pub fn replica_id_at(peer: SocketAddr) -> ReplicaId {
    let address = match peer.ip() {
        IpAddr::V4(address) => u64::from(u32::from(address)),
        IpAddr::V6(address) => u64::from(u128::from(address) as u32),
    };
    ReplicaId(address << 16 | u64::from(peer.port()))
}

/// Returns the peer address encoded in a replica's identifier, or `None` if the identifier holds no
/// IPv4 address.
#[must_use]
pub fn replica_address(replica: ReplicaId) -> Option<SocketAddr> {
    let address = u32::try_from(replica.0 >> 16).ok()?;
    let port = u16::try_from(replica.0 & 0xffff).ok()?;
    Some(SocketAddr::new(IpAddr::V4(address.into()), port))
}
