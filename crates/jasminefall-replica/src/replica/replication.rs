//! Entries, acknowledgements and snapshots.

use super::{Progress, Replica, Role};
use crate::entry::{Entry, Payload};
use crate::message::Body;
use crate::types::{LogIndex, ReplicaId, Term};

impl Replica {
    pub(super) fn append_own(&mut self, payload: Payload) -> LogIndex {
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

    /// Sends what the others have not been sent yet.
    pub(super) fn replicate(&mut self) {
        let last = self.log.last_index();
        for (to, known) in self.known_progress() {
            let mut known = known;
            while known.sent_index < last
                && known.snapshot_transfer.is_none()
                && self.has_room(&known)
            {
                known = self.send_entries(to, known);
            }
        }
    }

    /// Returns whether more entries may be on their way to a replica.
    fn has_room(&self, known: &Progress) -> bool {
        let unacknowledged = known.sent_index.0.saturating_sub(known.match_index.0);
        unacknowledged < self.settings.max_unacknowledged_entries
    }

    pub(super) fn send_heartbeats(&mut self) {
        for (to, known) in self.known_progress() {
            if self.now_ms >= known.last_sent_at_ms + self.settings.heartbeat_ms {
                self.send_entries(to, known);
            }
        }
    }

    fn known_progress(&self) -> Vec<(ReplicaId, Progress)> {
        let Role::Leader(progress) = &self.role else {
            return Vec::new();
        };
        let known = |other| (other, progress.get(&other).copied().unwrap_or_default());
        self.membership()
            .members_except(self.id)
            .map(known)
            .collect()
    }

    /// Sends the next entries, none where too many are on their way, or a part of the snapshot.
    fn send_entries(&mut self, to: ReplicaId, known: Progress) -> Progress {
        let previous_index = known.sent_index.min(self.log.last_index());
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return self.send_chunk(to, known);
        };
        let (limit, limit_bytes) = if self.has_room(&known) {
            let settings = &self.settings;
            (settings.max_batch_entries, settings.max_batch_bytes)
        } else {
            (0, 0)
        };
        let entries = self.log.batch_after(previous_index, limit, limit_bytes);
        let entries = entries.to_vec();
        let known = Progress {
            sent_index: entries.last().map_or(previous_index, |entry| entry.index),
            last_sent_at_ms: self.now_ms,
            snapshot_transfer: None,
            ..known
        };
        let body = Body::Append {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            sent_at_ms: self.now_ms,
        };
        self.send(to, body);
        self.update_progress(to, known);
        known
    }

    pub(super) fn update_progress(&mut self, of: ReplicaId, progress: Progress) {
        if let Role::Leader(known) = &mut self.role {
            known.insert(of, progress);
        }
    }

    pub(super) fn follow_leader(&mut self, leader: ReplicaId) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.promised_until_ms = self.now_ms + self.settings.election_timeout_ms;
        self.reset_election_timer();
    }

    pub(super) fn accept_entries(
        &mut self,
        previous: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        sent_at_ms: u64,
    ) {
        let leader = self.leader.unwrap_or(self.id);
        let (previous_index, previous_term) = previous;
        let covered = previous_index < self.log.snapshot().index;
        if !covered && self.log.term_at(previous_index) != Some(previous_term) {
            let body = Body::AppendReply {
                accepted: false,
                match_index: self.last_possible_match(previous_index),
                sent_at_ms,
            };
            return self.send_after_sync(leader, body);
        }
        let last_new = entries.last().map_or(previous_index, |entry| entry.index);
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last_new));
        let body = Body::AppendReply {
            accepted: true,
            match_index: last_new,
            sent_at_ms,
        };
        self.send_after_sync(leader, body);
    }

    /// Returns the last index before `missing` that may agree with the leader.
    ///
    /// A whole term of entries that the leader lacks is passed over at once.
    fn last_possible_match(&self, missing: LogIndex) -> LogIndex {
        let mut index = missing.previous().min(self.log.last_index());
        let conflicting = self.log.term_at(missing);
        while conflicting.is_some() && index > self.commit && self.log.term_at(index) == conflicting
        {
            index = index.previous();
        }
        index
    }

    fn accept_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                assert!(
                    entry.index > self.commit,
                    "a committed entry is never replaced"
                );
                self.log.truncate_from(entry.index);
                self.ready
                    .append
                    .retain(|pending| pending.index < entry.index);
                self.synced = self.synced.min(entry.index.previous());
                self.append(entry);
            }
            None => self.append(entry),
        }
    }

    /// Notes that a replica has answered and returns how far it is, if this one leads and knows it.
    pub(super) fn note_answer(
        &mut self,
        from: ReplicaId,
        sent_at_ms: u64,
    ) -> Option<&mut Progress> {
        let Role::Leader(progress) = &mut self.role else {
            return None;
        };
        let known = progress.get_mut(&from)?;
        known.last_contact_at_ms = known.last_contact_at_ms.max(sent_at_ms);
        Some(known)
    }

    pub(super) fn note_progress(
        &mut self,
        from: ReplicaId,
        accepted: bool,
        match_index: LogIndex,
        sent_at_ms: u64,
    ) {
        let now_ms = self.now_ms;
        let Some(known) = self.note_answer(from, sent_at_ms) else {
            return;
        };
        if accepted {
            known.snapshot_transfer = None;
            known.match_index = known.match_index.max(match_index);
            known.sent_index = known.sent_index.max(match_index);
            self.advance_commit();
        } else if sent_at_ms >= known.rewound_at_ms {
            known.rewound_at_ms = now_ms.max(sent_at_ms + 1);
            known.sent_index = known.match_index.max(match_index);
            let known = *known;
            self.send_entries(from, known);
        }
    }

    /// Commits what a majority of voters has stored, if it is of the own term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(progress) = &self.role else {
            return;
        };
        let membership = self.membership();
        let mut stored: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.id {
                    self.synced
                } else {
                    progress
                        .get(voter)
                        .map_or(LogIndex(0), |known| known.match_index)
                }
            })
            .collect();
        stored.sort_unstable_by(|left, right| right.cmp(left));
        let index = stored
            .get(membership.quorum() - 1)
            .copied()
            .unwrap_or_default();
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }
}
