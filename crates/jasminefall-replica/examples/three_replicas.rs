//! Shows how to embed the crate: three replicas in one process replicate commands, each with its own
//! data folder.
//!
//! Run it with `cargo run -p jasminefall-replica --example three_replicas`.

use jasminefall_replica::prelude::*;

const TICK_MS: u64 = 20;
const TIMEOUT_MS: u64 = 60_000;

/// A replica with its files and its applied commands.
struct Member {
    replica: Replica,
    storage: Storage,
    applied: Vec<Vec<u8>>,
}

impl Member {
    fn open(
        id: ReplicaId,
        all: &[ReplicaId],
        folder: &std::path::Path,
    ) -> Result<Self, StorageError> {
        let (storage, recovered) = Storage::open(&folder.join(id.to_string()), Incarnation(id.0))?;
        let replica = Replica::new(id, Settings::default(), recovered, id.0);
        Ok(Self {
            replica: replica.with_first_voters(all.iter().copied()),
            storage,
            applied: Vec::new(),
        })
    }

    /// Processes a `Ready` in the required order: store, call `mark_synced`, send, apply.
    fn process_ready(&mut self, network: &mut Vec<Message>) -> Result<(), StorageError> {
        let ready = self.replica.take_ready();
        network.extend(ready.messages);
        if let Some(snapshot) = &ready.snapshot {
            self.storage.store(ready.hard_state, &[])?;
            self.storage.store_snapshot(snapshot, &ready.append)?;
        } else if ready.hard_state.is_some() || !ready.append.is_empty() {
            self.storage.store(ready.hard_state, &ready.append)?;
        }
        if let Some(last) = ready.append.last() {
            self.replica.mark_synced(last.index, last.term);
        }
        network.extend(ready.messages_after_sync);
        for entry in ready.committed {
            if let Payload::Command(command) = entry.payload {
                self.applied.push(command);
            }
        }
        Ok(())
    }
}

fn main() -> Result<(), StorageError> {
    let folder = tempfile::tempdir().map_err(|source| StorageError::Io {
        path: std::env::temp_dir(),
        source,
    })?;
    let all = [1, 2, 3].map(ReplicaId);
    let mut members = Vec::new();
    for id in all {
        members.push(Member::open(id, &all, folder.path())?);
    }
    let (mut network, mut proposed) = (Vec::<Message>::new(), 0);
    for now_ms in (0..TIMEOUT_MS).step_by(TICK_MS as usize) {
        for message in std::mem::take(&mut network) {
            let position = message.to.0 as usize - 1;
            members[position].replica.step(now_ms, message);
        }
        for member in &mut members {
            member.replica.tick(now_ms);
            if proposed < 5 && member.replica.is_leader() {
                let command = format!("command {proposed}").into_bytes();
                proposed += usize::from(member.replica.propose(now_ms, command).is_ok());
            }
            member.process_ready(&mut network)?;
        }
        if members.iter().all(|member| member.applied.len() == 5) {
            println!(
                "all three agree on {} commands after {now_ms} ms",
                members[0].applied.len()
            );
            assert!(
                members
                    .iter()
                    .all(|member| member.applied == members[0].applied)
            );
            return Ok(());
        }
    }
    panic!("the replicas did not apply all commands within {TIMEOUT_MS} ms");
}
