//! Safety invariants that are checked throughout a schedule.

use std::collections::BTreeMap;

use jasminefall_replica::prelude::*;

/// Records the observed leaders, entries and states, and panics on a conflict.
#[derive(Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, ReplicaId>,
    entries: BTreeMap<(LogIndex, Term), (Term, Payload)>,
    applied: BTreeMap<LogIndex, u64>,
    membership: Option<Membership>,
    membership_index: LogIndex,
    pub(crate) acknowledged_index: LogIndex,
    pub(crate) acknowledged_count: u64,
}

impl Checks {
    /// Checks that a term has at most one leader.
    pub(crate) fn check_leader(&mut self, replica: &Replica) {
        if replica.is_leader() {
            let leader = *self.leaders.entry(replica.term()).or_insert(replica.id());
            assert_eq!(
                leader,
                replica.id(),
                "two leaders in term {}",
                replica.term()
            );
        }
    }

    /// Checks that an index and a term identify one entry and the term of its predecessor.
    pub(crate) fn check_stored(&mut self, disk: &RecoveredState, entry: &Entry) {
        let before = entry.index.previous();
        let held = disk.entries.iter().find(|held| held.index == before);
        let snapshot = &disk.snapshot;
        let previous = match held {
            Some(held) => held.term,
            None if snapshot.index == before => snapshot.term,
            None => return,
        };
        let seen = (previous, entry.payload.clone());
        let key = (entry.index, entry.term);
        let first_seen = self.entries.entry(key).or_insert_with(|| seen.clone());
        assert_eq!(
            *first_seen, seen,
            "two different entries at index {} of term {}",
            entry.index, entry.term
        );
    }

    /// Checks that all replicas apply the same states, and that memberships change one voter at a time.
    pub(crate) fn check_applied(&mut self, entry: &Entry, hash: u64) {
        let first_hash = *self.applied.entry(entry.index).or_insert(hash);
        assert_eq!(
            first_hash, hash,
            "two different states at index {}",
            entry.index
        );
        if let Payload::Membership(next) = &entry.payload
            && entry.index > self.membership_index
        {
            if let Some(before) = &self.membership {
                let changed = before.voters.symmetric_difference(&next.voters).count();
                assert!(
                    changed <= 1,
                    "{changed} voters changed in one entry at index {}",
                    entry.index
                );
            }
            self.membership = Some(next.clone());
            self.membership_index = entry.index;
        }
    }

    pub(crate) fn record_acknowledged(&mut self, index: LogIndex) {
        self.acknowledged_index = self.acknowledged_index.max(index);
        self.acknowledged_count += 1;
    }

    /// Checks that a linearizable read includes every entry acknowledged before.
    pub(crate) fn check_read(&self, index: LogIndex) {
        let acknowledged = self.acknowledged_index;
        assert!(
            index >= acknowledged,
            "a read at index {index} misses acknowledged index {acknowledged}"
        );
    }
}
