//! Tests of entry leases and of the entries that lag behind a version.

use super::*;

/// Later than the expiry of every lease that a previous leader may have granted.
const START_MS: u64 = 10_000;
const LEASE_EXPIRY_MS: u64 = LEASE_MS.get() + CLOCK_DRIFT_MARGIN_MS;

/// Publishes a desired state that declares these entries.
fn publish(configuration: &mut Configuration, entries: &[&str]) {
    let mut text = "[fleet]\nname = test\n".to_owned();
    for entry in entries {
        text += &format!("[entry.{entry}]\ndata_centre = dc1\n");
    }
    let base = configuration.version();
    let outcome = configuration.apply(
        0,
        ApplyRequest {
            change: ChangeId::new(format!("change-{base}")),
            operator: "amina".into(),
            base,
            text,
        },
    );
    assert_eq!(outcome, Outcome::Published(base.next()));
}

fn renewal(entry: &str, incarnation: u64, holds: u64) -> RenewRequest {
    RenewRequest {
        entry: entry.into(),
        holds: Version::new(holds),
        incarnation: Incarnation::new(incarnation),
    }
}

fn lagging(leases: &EntryLeases, configuration: &Configuration, now_ms: u64) -> Vec<String> {
    let lagging = leases.lagging_entries(configuration, configuration.version(), now_ms);
    lagging.iter().map(ToString::to_string).collect()
}

#[test]
fn entry_lags_until_it_renews_or_its_lease_expires() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1", "e2"]);
    let mut leases = EntryLeases::default();
    let now_ms = START_MS;
    leases.renew(&configuration, &renewal("e1", 1, 1), now_ms);
    leases.renew(&configuration, &renewal("e2", 1, 1), now_ms);
    assert!(lagging(&leases, &configuration, now_ms).is_empty());

    publish(&mut configuration, &["e1", "e2"]);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e1", "e2"]);
    leases.renew(&configuration, &renewal("e1", 1, 2), now_ms + 1);
    assert_eq!(lagging(&leases, &configuration, now_ms + 1), ["e2"]);
    assert_eq!(
        lagging(&leases, &configuration, now_ms + LEASE_EXPIRY_MS - 1),
        ["e2"]
    );
    assert!(lagging(&leases, &configuration, now_ms + LEASE_EXPIRY_MS).is_empty());
}

#[test]
fn starting_entry_lags_behind_a_version_published_after_its_renewal() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1"]);
    let mut leases = EntryLeases::default();
    leases.renew(&configuration, &renewal("e1", 1, 0), START_MS);
    // The response to the renewal carries version 1 and may still be in transit.
    publish(&mut configuration, &["e1"]);
    assert_eq!(lagging(&leases, &configuration, START_MS), ["e1"]);
}

#[test]
fn paused_process_of_an_entry_lags_although_its_replacement_renewed() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1"]);
    let mut leases = EntryLeases::default();
    leases.renew(&configuration, &renewal("e1", 1, 1), START_MS);
    publish(&mut configuration, &["e1"]);
    leases.renew(&configuration, &renewal("e1", 2, 2), START_MS + 1);
    assert_eq!(lagging(&leases, &configuration, START_MS + 1), ["e1"]);
}

#[test]
fn removed_entry_lags_until_it_reports_that_it_uses_no_version() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1", "e2"]);
    let mut leases = EntryLeases::default();
    let now_ms = START_MS;
    leases.renew(&configuration, &renewal("e1", 1, 1), now_ms);
    leases.renew(&configuration, &renewal("e2", 1, 1), now_ms);
    publish(&mut configuration, &["e1"]);
    leases.renew(&configuration, &renewal("e1", 1, 2), now_ms);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e2"]);

    let refused = leases.renew(&configuration, &renewal("e2", 1, 1), now_ms + 1);
    assert_eq!(refused, None);
    assert_eq!(lagging(&leases, &configuration, now_ms + 1), ["e2"]);
    // The entry reports that it no longer uses a configuration.
    leases.renew(&configuration, &renewal("e2", 1, 0), now_ms + 2);
    assert!(lagging(&leases, &configuration, now_ms + 2).is_empty());
}

#[test]
fn new_leader_assumes_unknown_leases_until_they_must_have_expired() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1", "e2"]);
    publish(&mut configuration, &["e1"]);
    let mut leases = EntryLeases::default();
    let now_ms = START_MS;
    leases.reset(now_ms);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e1", "e2"]);
    leases.renew(&configuration, &renewal("e1", 1, 2), now_ms);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e2"]);
    assert!(lagging(&leases, &configuration, now_ms + LEASE_EXPIRY_MS).is_empty());
}
