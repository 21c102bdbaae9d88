//! Tests of which versions an entry adopts and when their lease ends.

use super::*;

const LEASE_MS: u64 = 2_500;

fn renewal(version: Option<u64>) -> Renewal {
    let published = version.map(|version| PublishedVersion {
        version: Version::new(version),
        text: "[fleet]\nname = test\n".into(),
        ..PublishedVersion::default()
    });
    Renewal {
        lease_ms: Some(DurationMs::new(LEASE_MS)),
        published,
    }
}

#[test]
fn lease_counts_from_the_time_of_the_request() {
    let mut configuration = Configuration::default();
    configuration.renew(1_000, renewal(Some(1)));
    assert!(configuration.in_force(1_000 + LEASE_MS - 1).is_some());
    assert!(configuration.in_force(1_000 + LEASE_MS).is_none());
    configuration.renew(2_000, renewal(None));
    assert!(configuration.in_force(2_000 + LEASE_MS - 1).is_some());
}

#[test]
fn older_version_is_not_adopted_and_does_not_extend_the_lease() {
    let mut configuration = Configuration::default();
    configuration.renew(1_000, renewal(Some(5)));
    configuration.renew(9_000, renewal(Some(4)));
    assert_eq!(configuration.version(), Version::new(5));
    assert!(configuration.in_force(9_000).is_none());
}

#[test]
fn refusal_ends_the_lease_and_older_versions_stay_rejected() {
    let mut configuration = Configuration::default();
    configuration.renew(1_000, renewal(Some(5)));
    let refusal = Renewal {
        lease_ms: None,
        published: None,
    };
    configuration.renew(1_100, refusal);
    assert!(configuration.in_force(1_100).is_none());
    assert_eq!(configuration.version(), Version::default());
    configuration.renew(1_200, renewal(Some(4)));
    assert!(configuration.in_force(1_200).is_none());
    configuration.renew(1_300, renewal(Some(6)));
    assert_eq!(configuration.version(), Version::new(6));
}
