//! Log replication: append messages, acknowledgements and the commit index.

use super::{Progress, Replica, Role};
use crate::entry::{Entry, Payload};
use crate::message::Body;
use crate::types::{LogIndex, ReplicaId, Term};

impl Replica {
    /// Appends an entry of the current term and returns its index.
    pub(super) fn append_new_entry(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index().next();
        self.append(Entry {
            index,
            term: self.hard_state.term,
            payload,
        });
        index
    }

    fn append(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.ready.append.push(entry);
    }

    /// Sends new entries to the other members, as far as the in-flight limit allows.
    pub(super) fn replicate(&mut self) {
        let last = self.log.last_index();
        for (to, progress) in self.progress_of_others() {
            let mut progress = progress;
            while progress.sent_index < last
                && progress.snapshot_transfer.is_none()
                && self.has_inflight_capacity(&progress)
            {
                progress = self.send_entries(to, progress);
            }
        }
    }

    /// Returns whether the in-flight limit allows more entries to be sent to a replica.
    fn has_inflight_capacity(&self, progress: &Progress) -> bool {
        let unacknowledged = progress.sent_index.0.saturating_sub(progress.match_index.0);
        unacknowledged < self.settings.max_unacknowledged_entries
    }

    pub(super) fn send_heartbeats(&mut self) {
        for (to, progress) in self.progress_of_others() {
            if self.now_ms >= progress.last_sent_at_ms + self.settings.heartbeat_ms {
                self.send_entries(to, progress);
            }
        }
    }

    fn progress_of_others(&self) -> Vec<(ReplicaId, Progress)> {
        let Role::Leader(progress) = &self.role else {
            return Vec::new();
        };
        let with_progress = |other| (other, progress.get(&other).copied().unwrap_or_default());
        self.membership()
            .members_except(self.id)
            .map(with_progress)
            .collect()
    }

    /// Sends the next entries, or a snapshot chunk if they are no longer in the log, and returns
    /// the updated progress.
    ///
    /// At the in-flight limit the message carries no entries.
    fn send_entries(&mut self, to: ReplicaId, progress: Progress) -> Progress {
        let previous_index = progress.sent_index.min(self.log.last_index());
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return self.send_snapshot_chunk(to, progress);
        };
        let (limit, limit_bytes) = if self.has_inflight_capacity(&progress) {
            let settings = &self.settings;
            (settings.max_batch_entries, settings.max_batch_bytes)
        } else {
            (0, 0)
        };
        let entries = self.log.batch_after(previous_index, limit, limit_bytes);
        let entries = entries.to_vec();
        let progress = Progress {
            sent_index: entries.last().map_or(previous_index, |entry| entry.index),
            last_sent_at_ms: self.now_ms,
            snapshot_transfer: None,
            ..progress
        };
        let body = Body::Append {
            previous_index,
            previous_term,
            entries,
            commit: self.commit_index,
            sent_at_ms: self.now_ms,
        };
        self.send(to, body);
        self.update_progress(to, progress);
        progress
    }

    pub(super) fn update_progress(&mut self, of: ReplicaId, progress: Progress) {
        if let Role::Leader(members) = &mut self.role {
            members.insert(of, progress);
        }
    }

    /// Becomes a follower of `leader` and withholds votes for an election timeout.
    pub(super) fn follow_leader(&mut self, leader: ReplicaId) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.withhold_votes_until_ms = self.now_ms + self.settings.election_timeout_ms;
        self.reset_election_timer();
    }

    pub(super) fn handle_append(
        &mut self,
        previous: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        sent_at_ms: u64,
    ) {
        let leader = self.leader.unwrap_or(self.id);
        let (previous_index, previous_term) = previous;
        let is_covered = previous_index < self.log.snapshot().index;
        if !is_covered && self.log.term_at(previous_index) != Some(previous_term) {
            let body = Body::AppendReply {
                accepted: false,
                match_index: self.last_possible_match(previous_index),
                sent_at_ms,
            };
            return self.send_after_sync(leader, body);
        }
        let last_new = entries.last().map_or(previous_index, |entry| entry.index);
        for entry in entries {
            self.append_from_leader(entry);
        }
        self.commit_index = self.commit_index.max(commit.min(last_new));
        let body = Body::AppendReply {
            accepted: true,
            match_index: last_new,
            sent_at_ms,
        };
        self.send_after_sync(leader, body);
    }

    /// Returns the last index before `mismatch` at which the log may match the leader's log.
    ///
    /// All entries of the conflicting term are skipped in one step.
    fn last_possible_match(&self, mismatch: LogIndex) -> LogIndex {
        let mut index = mismatch.previous().min(self.log.last_index());
        let conflicting_term = self.log.term_at(mismatch);
        while conflicting_term.is_some()
            && index > self.commit_index
            && self.log.term_at(index) == conflicting_term
        {
            index = index.previous();
        }
        index
    }

    fn append_from_leader(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                assert!(
                    entry.index > self.commit_index,
                    "a leader must not replace a committed entry"
                );
                self.log.truncate_from(entry.index);
                self.ready
                    .append
                    .retain(|pending| pending.index < entry.index);
                self.synced_index = self.synced_index.min(entry.index.previous());
                self.append(entry);
            }
            None => self.append(entry),
        }
    }

    /// Records a reply of another replica and returns its progress.
    ///
    /// Returns `None` if this replica is not the leader or does not track the sender.
    pub(super) fn record_contact(
        &mut self,
        from: ReplicaId,
        sent_at_ms: u64,
    ) -> Option<&mut Progress> {
        let Role::Leader(progress) = &mut self.role else {
            return None;
        };
        let progress = progress.get_mut(&from)?;
        progress.last_contact_at_ms = progress.last_contact_at_ms.max(sent_at_ms);
        progress.responded_at_ms = progress.responded_at_ms.max(sent_at_ms);
        progress.has_answered = true;
        Some(progress)
    }

    pub(super) fn handle_append_reply(
        &mut self,
        from: ReplicaId,
        accepted: bool,
        match_index: LogIndex,
        sent_at_ms: u64,
    ) {
        let now_ms = self.now_ms;
        let Some(progress) = self.record_contact(from, sent_at_ms) else {
            return;
        };
        if accepted {
            progress.snapshot_transfer = None;
            progress.match_index = progress.match_index.max(match_index);
            progress.sent_index = progress.sent_index.max(match_index);
            self.advance_commit();
        } else if sent_at_ms >= progress.rewound_at_ms {
            progress.rewound_at_ms = now_ms.max(sent_at_ms + 1);
            progress.sent_index = progress.match_index.max(match_index);
            let progress = *progress;
            self.send_entries(from, progress);
        }
    }

    /// Advances the commit index to the last entry that a majority of voters has synced.
    ///
    /// Only an entry of the current term is committed this way; a majority alone does not protect an
    /// entry of an earlier term from being replaced by another leader.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(progress) = &self.role else {
            return;
        };
        let membership = self.membership();
        let mut synced_indexes: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.id {
                    self.synced_index
                } else {
                    progress
                        .get(voter)
                        .map_or(LogIndex(0), |progress| progress.match_index)
                }
            })
            .collect();
        synced_indexes.sort_unstable_by(|left, right| right.cmp(left));
        let index = synced_indexes
            .get(membership.quorum() - 1)
            .copied()
            .unwrap_or_default();
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_index = index;
        }
    }
}
