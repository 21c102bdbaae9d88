//! What must hold at every moment of a schedule.

use std::collections::BTreeMap;

use jasminefall_replica::prelude::*;

/// Remembers what was seen, and fails on a contradiction.
#[derive(Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, ReplicaId>,
    entries: BTreeMap<(LogIndex, Term), (Term, Payload)>,
    applied: BTreeMap<LogIndex, u64>,
    membership: Option<Membership>,
    membership_index: LogIndex,
    pub(crate) acknowledged_index: LogIndex,
    pub(crate) acknowledged: u64,
}

impl Checks {
    /// Checks that a term has one leader.
    pub(crate) fn leads(&mut self, replica: &Replica) {
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

    /// Checks that an index and a term name one entry with one predecessor.
    pub(crate) fn stored(&mut self, disk: &RecoveredState, entry: &Entry) {
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
        let known = self.entries.entry(key).or_insert_with(|| seen.clone());
        assert_eq!(
            *known, seen,
            "two entries at index {} of term {}",
            entry.index, entry.term
        );
    }

    /// Checks that every replica goes through the same states and memberships.
    pub(crate) fn applied(&mut self, entry: &Entry, hash: u64) {
        let agreed = *self.applied.entry(entry.index).or_insert(hash);
        assert_eq!(agreed, hash, "two states at index {}", entry.index);
        if let Payload::Membership(next) = &entry.payload
            && entry.index > self.membership_index
        {
            if let Some(before) = &self.membership {
                let changed = before.voters.symmetric_difference(&next.voters).count();
                assert!(
                    changed <= 1,
                    "{changed} voters changed at once at {}",
                    entry.index
                );
            }
            self.membership = Some(next.clone());
            self.membership_index = entry.index;
        }
    }

    pub(crate) fn acknowledged(&mut self, index: LogIndex) {
        self.acknowledged_index = self.acknowledged_index.max(index);
        self.acknowledged += 1;
    }

    /// Checks that a read served as fresh sees all that was acknowledged before.
    pub(crate) fn read(&self, index: LogIndex) {
        let acknowledged = self.acknowledged_index;
        assert!(
            index >= acknowledged,
            "a read at {index} misses {acknowledged}"
        );
    }
}
