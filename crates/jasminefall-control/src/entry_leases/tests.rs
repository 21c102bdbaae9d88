//! Tests of the bookkeeping of leases.

use super::*;

const AFTER_A_LEASE_MS: u64 = 10_000;
const RUN_OUT_MS: u64 = LEASE_MS.get() + LEASE_MARGIN_MS;

/// Publishes a text that declares these entries.
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

fn ask(entry: &str, incarnation: u64, holds: u64) -> RenewRequest {
    RenewRequest {
        entry: entry.into(),
        holds: Version::new(holds),
        incarnation: Incarnation::new(incarnation),
    }
}

fn lagging(leases: &EntryLeases, configuration: &Configuration, now_ms: u64) -> Vec<String> {
    let lagging = leases.lagging(configuration, configuration.version(), now_ms);
    lagging.iter().map(ToString::to_string).collect()
}

#[test]
fn a_version_waits_for_each_lease_on_an_older_one() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1", "e2"]);
    let mut leases = EntryLeases::default();
    let now_ms = AFTER_A_LEASE_MS;
    leases.renew(&configuration, &ask("e1", 1, 1), now_ms);
    leases.renew(&configuration, &ask("e2", 1, 1), now_ms);
    assert!(lagging(&leases, &configuration, now_ms).is_empty());

    publish(&mut configuration, &["e1", "e2"]);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e1", "e2"]);
    leases.renew(&configuration, &ask("e1", 1, 2), now_ms + 1);
    assert_eq!(lagging(&leases, &configuration, now_ms + 1), ["e2"]);
    assert_eq!(
        lagging(&leases, &configuration, now_ms + RUN_OUT_MS - 1),
        ["e2"]
    );
    assert!(lagging(&leases, &configuration, now_ms + RUN_OUT_MS).is_empty());
}

#[test]
fn an_entry_that_is_starting_is_waited_for() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1"]);
    let mut leases = EntryLeases::default();
    leases.renew(&configuration, &ask("e1", 1, 0), AFTER_A_LEASE_MS);
    // The answer carries version 1 and may still be under way.
    publish(&mut configuration, &["e1"]);
    assert_eq!(lagging(&leases, &configuration, AFTER_A_LEASE_MS), ["e1"]);
}

#[test]
fn a_paused_process_is_waited_for_beside_its_replacement() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1"]);
    let mut leases = EntryLeases::default();
    leases.renew(&configuration, &ask("e1", 1, 1), AFTER_A_LEASE_MS);
    publish(&mut configuration, &["e1"]);
    leases.renew(&configuration, &ask("e1", 2, 2), AFTER_A_LEASE_MS + 1);
    assert_eq!(
        lagging(&leases, &configuration, AFTER_A_LEASE_MS + 1),
        ["e1"]
    );
}

#[test]
fn an_entry_removed_by_the_new_version_is_waited_for() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1", "e2"]);
    let mut leases = EntryLeases::default();
    let now_ms = AFTER_A_LEASE_MS;
    leases.renew(&configuration, &ask("e1", 1, 1), now_ms);
    leases.renew(&configuration, &ask("e2", 1, 1), now_ms);
    publish(&mut configuration, &["e1"]);
    leases.renew(&configuration, &ask("e1", 1, 2), now_ms);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e2"]);

    let refused = leases.renew(&configuration, &ask("e2", 1, 1), now_ms + 1);
    assert_eq!(refused, None);
    assert_eq!(lagging(&leases, &configuration, now_ms + 1), ["e2"]);
    // It says that it acts on nothing any more.
    leases.renew(&configuration, &ask("e2", 1, 0), now_ms + 2);
    assert!(lagging(&leases, &configuration, now_ms + 2).is_empty());
}

#[test]
fn a_new_leader_waits_out_the_leases_that_it_cannot_know_of() {
    let mut configuration = Configuration::default();
    publish(&mut configuration, &["e1", "e2"]);
    publish(&mut configuration, &["e1"]);
    let mut leases = EntryLeases::default();
    let now_ms = AFTER_A_LEASE_MS;
    leases.start_over(now_ms);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e1", "e2"]);
    leases.renew(&configuration, &ask("e1", 1, 2), now_ms);
    assert_eq!(lagging(&leases, &configuration, now_ms), ["e2"]);
    assert!(lagging(&leases, &configuration, now_ms + RUN_OUT_MS).is_empty());
}
