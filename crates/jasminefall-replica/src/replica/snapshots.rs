//! Snapshot transfer, in chunks so that a large snapshot does not delay heartbeats.

use super::{Progress, Replica};
use crate::entry::Snapshot;
use crate::message::Body;
use crate::types::{LogIndex, ReplicaId};

/// Maximum accepted snapshot size; a sender that announces more is faulty.
const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Holds a snapshot that is being received.
#[derive(Debug, Clone)]
pub(super) struct IncomingSnapshot {
    snapshot: Snapshot,
    total_bytes: u64,
}

impl Replica {
    /// Sends the next missing chunk of the latest snapshot to a replica and returns the updated
    /// progress.
    pub(super) fn send_snapshot_chunk(&mut self, to: ReplicaId, progress: Progress) -> Progress {
        let snapshot = self.log.snapshot();
        let offset_bytes = match progress.snapshot_transfer {
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
        let progress = Progress {
            snapshot_transfer: Some((snapshot.index, start as u64)),
            last_sent_at_ms: self.now_ms,
            ..progress
        };
        self.send(to, body);
        self.update_progress(to, progress);
        progress
    }

    /// Adds a received chunk to the incoming snapshot, and installs the snapshot once it is
    /// complete.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        announced: Snapshot,
        offset_bytes: u64,
        total_bytes: u64,
        data: &[u8],
        sent_at_ms: u64,
    ) {
        let index = announced.index;
        if index <= self.commit_index {
            return self.acknowledge_snapshot(index, sent_at_ms);
        }
        let continues = self.incoming_snapshot.as_ref().is_some_and(|incoming| {
            let received = &incoming.snapshot;
            (received.index, received.term, incoming.total_bytes)
                == (index, announced.term, total_bytes)
        });
        if !continues {
            if total_bytes > MAX_SNAPSHOT_BYTES {
                return;
            }
            self.incoming_snapshot = Some(IncomingSnapshot {
                snapshot: announced,
                total_bytes,
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
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
        if let Some(incoming) = self.incoming_snapshot.take() {
            self.install(incoming.snapshot);
        }
        self.acknowledge_snapshot(index, sent_at_ms);
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.commit_index = index;
        self.delivered_index = index;
        self.log.install_snapshot(snapshot.clone());
        // The log has dropped entries that conflict with the snapshot, even synced ones.
        self.synced_index = self.synced_index.min(self.log.last_index()).max(index);
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

    /// Handles the acknowledgement of a chunk and sends the next one.
    pub(super) fn handle_snapshot_reply(
        &mut self,
        from: ReplicaId,
        index: LogIndex,
        received_bytes: u64,
        sent_at_ms: u64,
    ) {
        let Some(progress) = self.record_contact(from, sent_at_ms) else {
            return;
        };
        let previous = progress.snapshot_transfer;
        if previous.is_none_or(|(transferring, _)| transferring != index) {
            return;
        }
        progress.snapshot_transfer = Some((index, received_bytes));
        let progress = *progress;
        if previous != progress.snapshot_transfer {
            self.send_snapshot_chunk(from, progress);
        }
    }
}
