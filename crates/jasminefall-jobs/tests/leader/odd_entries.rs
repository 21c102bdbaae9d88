//! Entries of the instance list and heartbeats that another writer has left.

use jasminefall_jobs::prelude::*;

use crate::harness::{self, Harness, POOL, up_instance};

/// Guards against TWICE: a new leader took a worker for ended whose instance an odd entry put in a pool that
/// doesn't exist.
#[test]
fn entry_of_an_unknown_pool_ends_no_worker() {
    for pool in ["", "elsewhere"] {
        let mut harness = Harness::new(2);
        harness.submit(1, harness::job(&[1], 100));
        let starts = harness.take_starts();
        harness.accept_starts(&starts);
        harness.change_leader();
        let listed = [up_instance("m-0", pool), up_instance("m-1", pool)];
        harness.deliver_instance_list(&listed);
        assert_eq!(harness.worker_count(), 2, "{pool:?}");
        assert_eq!(harness.take_starts(), []);
    }
}

/// Guards against MIXED and LOST: an odd entry replaced the sound one of the same instance.
#[test]
fn sound_entry_of_an_instance_comes_before_an_odd_one() {
    for odd_first in [true, false] {
        let mut harness = Harness::new(2);
        let mut listed = vec![up_instance("m-0", POOL), up_instance("m-1", POOL)];
        let mut odd = up_instance("m-0", "");
        odd.up = false;
        listed.insert(if odd_first { 0 } else { 2 }, odd);
        harness.start_wave(&["m-0"]);
        harness.deliver_instance_list(&listed);
        harness.advance(100);
        harness.answer_polls();
        harness.advance(100);
        assert_eq!(harness.take_maintenance().len(), 1, "{odd_first}");
    }
}

/// Guards against MIXED: an instance whose entry can't be read was recorded as one that no longer exists.
#[test]
fn wave_waits_for_an_instance_whose_entry_is_odd() {
    let mut harness = Harness::new(2);
    harness.start_wave(&["m-0"]);
    let mut odd = up_instance("m-0", "");
    odd.up = false;
    harness.deliver_instance_list(&[odd, up_instance("m-1", POOL)]);
    harness.advance(100);
    assert!(!harness.state.waves[&1].is_complete());
    assert_eq!(harness.status(1), None::<JobStatus>);
}

/// Guards against LOST, as in review/9: a heartbeat of another writer, with the incarnation of a known worker and
/// another pool, replaced its labels, and later ones of the worker were taken for outdated.
#[test]
fn heartbeat_with_another_pool_changes_nothing_of_a_known_worker() {
    for pool in ["", "elsewhere", harness::STANDBY] {
        let mut harness = Harness::new(1);
        let is_accepted = harness.heartbeat_with(0, |heartbeat| {
            heartbeat.pool = pool.into();
            heartbeat.labels = vec!["a".into()];
            heartbeat.capacity = Resources::default();
            heartbeat.address = "10.0.9.9:80".into();
            heartbeat.draining = true;
            heartbeat.sequence = u64::MAX;
        });
        assert!(!is_accepted, "{pool:?}");
        assert_eq!(harness.worker_count(), 1);
        harness.submit(1, harness::job(&[1], 100));
        assert_eq!(harness.take_starts().len(), 1, "{pool:?}");
        let with_label = |heartbeat: &mut Heartbeat| heartbeat.labels = vec!["b".into()];
        assert!(harness.heartbeat_with(0, with_label));
        let mut job = harness::job(&[1], 100);
        job.steps[0].needs_label = Some("b".into());
        harness.submit(2, job);
        assert_eq!(harness.take_starts().len(), 1, "{pool:?}");
    }
}

/// A worker goes on in its pool when a configuration no longer declares the pool.
#[test]
fn heartbeat_of_a_known_worker_counts_without_a_declaration_of_its_pool() {
    let mut harness = Harness::new(0);
    harness.set_queue_pool(2, harness::OTHER_POOL);
    harness.start_ready_worker_in_other_pool();
    harness.remove_queue(3);
    assert!(harness.heartbeat_with(0, |heartbeat| heartbeat.draining = true));
}
