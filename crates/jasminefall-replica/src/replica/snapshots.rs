//! Snapshots, sent in parts so that none holds up a heartbeat.

use super::{Progress, Replica};
use crate::entry::Snapshot;
use crate::message::Body;
use crate::types::{LogIndex, ReplicaId};

/// The largest snapshot that is accepted; a larger announcement is a fault of the sender.
const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Holds a snapshot that has arrived in part.
#[derive(Debug, Clone)]
pub(super) struct Incoming {
    snapshot: Snapshot,
    total_bytes: u64,
}

impl Replica {
    /// Sends the part of the latest snapshot that a replica lacks next.
    pub(super) fn send_chunk(&mut self, to: ReplicaId, known: Progress) -> Progress {
        let snapshot = self.log.snapshot();
        let offset_bytes = match known.snapshot_transfer {
            Some((index, received_bytes)) if index == snapshot.index => received_bytes,
            _ => 0,
        };
        let start = usize::try_from(offset_bytes).unwrap_or(usize::MAX);
        let start = start.min(snapshot.state.len());
        let end = start.saturating_add(self.settings.snapshot_chunk_bytes);
        let data = snapshot.state[start..end.min(snapshot.state.len())].to_vec();
        let body = Body::SnapshotChunk {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset_bytes: start as u64,
            total_bytes: snapshot.state.len() as u64,
            data,
            sent_at_ms: self.now_ms,
        };
        let known = Progress {
            snapshot_transfer: Some((snapshot.index, start as u64)),
            last_sent_at_ms: self.now_ms,
            ..known
        };
        self.send(to, body);
        self.update_progress(to, known);
        known
    }

    /// Takes a part of a snapshot and installs the whole once it has arrived.
    pub(super) fn accept_chunk(
        &mut self,
        announced: Snapshot,
        offset_bytes: u64,
        total_bytes: u64,
        data: &[u8],
        sent_at_ms: u64,
    ) {
        let index = announced.index;
        if index <= self.commit {
            return self.acknowledge_snapshot(index, sent_at_ms);
        }
        let continues = self.incoming.as_ref().is_some_and(|incoming| {
            let held = &incoming.snapshot;
            (held.index, held.term, incoming.total_bytes) == (index, announced.term, total_bytes)
        });
        if !continues {
            if total_bytes > MAX_SNAPSHOT_BYTES {
                return;
            }
            self.incoming = Some(Incoming {
                snapshot: announced,
                total_bytes,
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        let state = &mut incoming.snapshot.state;
        if offset_bytes == state.len() as u64 {
            state.extend_from_slice(data);
        }
        let received_bytes = state.len() as u64;
        if received_bytes < total_bytes {
            let leader = self.leader.unwrap_or(self.id);
            let body = Body::SnapshotReply {
                index,
                received_bytes,
                sent_at_ms,
            };
            return self.send_after_sync(leader, body);
        }
        if let Some(incoming) = self.incoming.take() {
            self.install(incoming.snapshot);
        }
        self.acknowledge_snapshot(index, sent_at_ms);
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.commit = index;
        self.handed_over = index;
        self.log.install_snapshot(snapshot.clone());
        // Entries that contradict the snapshot are gone, whether they were synced or not.
        self.synced = self.synced.min(self.log.last_index()).max(index);
        self.ready.snapshot = Some(snapshot);
    }

    fn acknowledge_snapshot(&mut self, match_index: LogIndex, sent_at_ms: u64) {
        let leader = self.leader.unwrap_or(self.id);
        let body = Body::AppendReply {
            accepted: true,
            match_index,
            sent_at_ms,
        };
        self.send_after_sync(leader, body);
    }

    /// Notes how much of a snapshot has arrived and sends the next part.
    pub(super) fn note_received(
        &mut self,
        from: ReplicaId,
        index: LogIndex,
        received_bytes: u64,
        sent_at_ms: u64,
    ) {
        let Some(known) = self.note_answer(from, sent_at_ms) else {
            return;
        };
        let asked = known.snapshot_transfer;
        if asked.is_none_or(|(transferring, _)| transferring != index) {
            return;
        }
        known.snapshot_transfer = Some((index, received_bytes));
        let known = *known;
        if asked != known.snapshot_transfer {
            self.send_chunk(from, known);
        }
    }
}
