//! Storage under injected faults: each file operation fails once, with each partial effect.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use jasminefall_replica::prelude::*;
use proptest::prelude::*;
use tempfile::TempDir;

const FIRST_INCARNATION: Incarnation = Incarnation(7);

/// Describes the effect that a failing operation has on the disk.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PartialEffect {
    /// No effect.
    Nothing,
    /// Half of the bytes are written, as with a full disk or a torn write.
    Half,
    /// The full effect, although the operation otherwise reports an error.
    All,
}

/// Returns operations of which the one with number `failing_number` fails.
fn failing_operations(
    failing_number: usize,
    effect: PartialEffect,
    count: Arc<AtomicUsize>,
) -> FileOperations {
    let system = Arc::new(Mutex::new(FileOperations::system()));
    let fails = move || count.fetch_add(1, Ordering::SeqCst) == failing_number;
    let error = || Err(io::Error::other("injected fault"));
    let (write_fails, sync_fails, rename_fails, folder_sync_fails, remove_fails) = (
        fails.clone(),
        fails.clone(),
        fails.clone(),
        fails.clone(),
        fails,
    );
    let [for_write, for_sync, for_rename, for_folder_sync, for_remove] =
        std::array::from_fn(|_| system.clone());
    FileOperations {
        write: Box::new(move |file, bytes| {
            if !write_fails() {
                return (for_write.lock().unwrap().write)(file, bytes);
            }
            let length = match effect {
                PartialEffect::Nothing => 0,
                PartialEffect::Half => bytes.len() / 2,
                PartialEffect::All => bytes.len(),
            };
            file.write_all(&bytes[..length])?;
            error()
        }),
        sync: Box::new(move |file| {
            if sync_fails() {
                error()
            } else {
                (for_sync.lock().unwrap().sync)(file)
            }
        }),
        rename: Box::new(move |from, to| {
            if !rename_fails() {
                return (for_rename.lock().unwrap().rename)(from, to);
            }
            if effect == PartialEffect::All {
                (for_rename.lock().unwrap().rename)(from, to)?;
            }
            error()
        }),
        sync_folder: Box::new(move |folder| {
            if folder_sync_fails() {
                error()
            } else {
                (for_folder_sync.lock().unwrap().sync_folder)(folder)
            }
        }),
        remove: Box::new(move |path| {
            if !remove_fails() {
                return (for_remove.lock().unwrap().remove)(path);
            }
            if effect == PartialEffect::All {
                (for_remove.lock().unwrap().remove)(path)?;
            }
            error()
        }),
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(vec![u8::try_from(index).unwrap(); 40]),
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index: LogIndex(index),
        term: Term(term),
        membership: Membership::with_voters([ReplicaId(1)]),
        state: vec![9; 100],
    }
}

const fn voted(term: u64) -> Option<HardState> {
    let voted_for = Some(ReplicaId(term));
    Some(HardState {
        term: Term(term),
        voted_for,
    })
}

type Step = Box<dyn Fn(&mut Storage) -> Result<(), StorageError>>;

/// Returns the writes of a replica: votes, entries, a replaced tail, and two snapshots, one of which
/// conflicts with the log.
fn storage_steps() -> Vec<Step> {
    vec![
        Box::new(|storage| storage.store(voted(1), &[entry(1, 1), entry(2, 1)])),
        Box::new(|storage| storage.store(None, &[entry(3, 1), entry(4, 1)])),
        Box::new(|storage| storage.store(voted(2), &[entry(4, 2), entry(5, 2)])),
        Box::new(|storage| storage.store_snapshot(&snapshot(3, 1), &[entry(4, 2), entry(5, 2)])),
        Box::new(|storage| storage.store(voted(3), &[entry(6, 2)])),
        Box::new(|storage| storage.store_snapshot(&snapshot(5, 3), &[])),
        Box::new(|storage| storage.store(None, &[entry(6, 3)])),
    ]
}

/// Returns the state recovered from a folder after each number of steps.
fn states_after_each_step() -> Vec<RecoveredState> {
    (0..=storage_steps().len())
        .map(|done| {
            let folder = TempDir::new().unwrap();
            let (mut storage, _) = Storage::open(folder.path(), FIRST_INCARNATION).unwrap();
            storage_steps()[..done]
                .iter()
                .for_each(|step| step(&mut storage).unwrap());
            Storage::open(folder.path(), Incarnation(8)).unwrap().1
        })
        .collect()
}

#[test]
fn stored_data_survives_a_fault_in_every_file_operation() {
    let states = states_after_each_step();
    let mut fault_points = 0;
    for effect in [
        PartialEffect::Nothing,
        PartialEffect::Half,
        PartialEffect::All,
    ] {
        for failing_number in 0.. {
            let folder = TempDir::new().unwrap();
            let count = Arc::new(AtomicUsize::new(0));
            let operations = failing_operations(failing_number, effect, count.clone());
            let mut done = 0;
            if let Ok((mut storage, _)) =
                Storage::open_with(folder.path(), FIRST_INCARNATION, operations)
            {
                let steps = storage_steps();
                done = steps
                    .iter()
                    .take_while(|step| step(&mut storage).is_ok())
                    .count();
                if done < steps.len() {
                    let again = storage.store(None, &[]);
                    assert!(
                        matches!(again, Err(StorageError::Failed { .. })),
                        "no write may be tried after a failure"
                    );
                }
            }
            let (_, held) = Storage::open(folder.path(), Incarnation(8)).unwrap();
            let case =
                format!("{effect:?} effect of operation {failing_number}, {done} steps stored");
            let allowed = &states[done..(done + 2).min(states.len())];
            let is_empty = done == 0 && held.hard_state == HardState::default();
            assert!(
                is_empty || allowed.contains(&held) || is_between_snapshot_and_log(&held, allowed),
                "{case}: {held:?}"
            );
            if count.load(Ordering::SeqCst) <= failing_number {
                break;
            }
            fault_points += 1;
        }
    }
    assert!(
        fault_points > 60,
        "only {fault_points} fault points were reached"
    );
}

/// Returns whether a fault left the new snapshot with the previous log file.
///
/// The recovered entries then equal those of the next state.
fn is_between_snapshot_and_log(held: &RecoveredState, allowed: &[RecoveredState]) -> bool {
    let [before, after] = allowed else {
        return false;
    };
    held.snapshot == after.snapshot
        && held.hard_state == before.hard_state
        && held.entries == after.entries
}

#[test]
fn torn_tail_is_truncated_and_other_damage_is_refused() {
    let folder = TempDir::new().unwrap();
    let (mut storage, _) = Storage::open(folder.path(), FIRST_INCARNATION).unwrap();
    (1..=3).for_each(|index| storage.store(None, &[entry(index, 1)]).unwrap());
    let path = folder.path().join("log-1");
    let whole = std::fs::read(&path).unwrap();
    let frame_bytes = (whole.len() - first_frame_bytes(&whole)) / 3;
    for cut in 1..frame_bytes {
        std::fs::write(&path, &whole[..whole.len() - cut]).unwrap();
        let (_, held) = Storage::open(folder.path(), Incarnation(8)).unwrap();
        assert_eq!(held.entries.len(), 2, "{cut} bytes are missing");
    }
    for offset in 0..whole.len() - frame_bytes {
        let mut damaged = whole.clone();
        damaged[offset] ^= 0x10;
        std::fs::write(&path, &damaged).unwrap();
        let opened = Storage::open(folder.path(), Incarnation(8));
        let error = opened.expect_err(&format!("damage at byte {offset} was not detected"));
        assert!(
            error.to_string().contains("rejoins as a learner"),
            "{error}"
        );
    }
}

/// Returns the length of the first frame, in bytes.
fn first_frame_bytes(content: &[u8]) -> usize {
    8 + u32::from_le_bytes(content[..4].try_into().unwrap()) as usize
}

#[test]
fn new_folder_takes_the_given_incarnation_and_keeps_it() {
    let folder = TempDir::new().unwrap();
    assert_eq!(
        Storage::open(folder.path(), FIRST_INCARNATION)
            .unwrap()
            .1
            .incarnation,
        FIRST_INCARNATION
    );
    let again = Storage::open(folder.path(), Incarnation(8)).unwrap().1;
    assert_eq!(again.incarnation, FIRST_INCARNATION);
}

#[test]
fn folder_with_a_snapshot_but_no_log_is_refused() {
    let folder = TempDir::new().unwrap();
    let (mut storage, _) = Storage::open(folder.path(), FIRST_INCARNATION).unwrap();
    storage.store_snapshot(&snapshot(3, 1), &[]).unwrap();
    std::fs::remove_file(folder.path().join("log-2")).unwrap();
    assert!(matches!(
        Storage::open(folder.path(), FIRST_INCARNATION),
        Err(StorageError::Corrupt { .. })
    ));
}

fn open_with_log(folder: &Path, content: &[u8]) {
    let path = folder.join("log-1");
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .unwrap();
    file.write_all(content).unwrap();
    let _ = Storage::open(folder, FIRST_INCARNATION);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn opening_arbitrary_log_bytes_does_not_panic(content in prop::collection::vec(any::<u8>(), 0..400)) {
        let folder = TempDir::new().unwrap();
        open_with_log(folder.path(), &content);
        let valid = TempDir::new().unwrap();
        drop(Storage::open(valid.path(), FIRST_INCARNATION).unwrap());
        open_with_log(valid.path(), &content);
    }
}

/// Returns operations that record the length of the latest file that was synced; no sync succeeds while
/// `is_killed` is set.
fn tracking_operations(
    synced_bytes: &Arc<AtomicUsize>,
    is_killed: &Arc<AtomicBool>,
) -> FileOperations {
    let (synced_bytes, is_killed) = (synced_bytes.clone(), is_killed.clone());
    FileOperations {
        sync: Box::new(move |file| {
            if is_killed.load(Ordering::SeqCst) {
                return Err(io::Error::other("the process was killed"));
            }
            let length = usize::try_from(file.metadata()?.len()).unwrap();
            synced_bytes.store(length, Ordering::SeqCst);
            file.sync_data()
        }),
        ..FileOperations::system()
    }
}

/// Guards against CONFIG and LOST: entries that a killed process had not synced were read back and acknowledged,
/// and a loss of power took them.
#[test]
fn data_that_is_read_back_after_a_kill_survives_a_loss_of_power() {
    let folder = TempDir::new().unwrap();
    let (synced_bytes, is_killed) = (Arc::default(), Arc::default());
    let open = || {
        let operations = tracking_operations(&synced_bytes, &is_killed);
        Storage::open_with(folder.path(), FIRST_INCARNATION, operations).unwrap()
    };
    let (mut storage, _) = open();
    storage.store(voted(1), &[entry(1, 1)]).unwrap();
    is_killed.store(true, Ordering::SeqCst);
    storage.store(voted(2), &[entry(2, 2)]).unwrap_err();
    drop(storage);
    is_killed.store(false, Ordering::SeqCst);

    let (storage, read_back) = open();
    assert_eq!(read_back.entries.len(), 2);
    drop(storage);
    let log_path = folder.path().join("log-1");
    let log = OpenOptions::new().write(true).open(log_path).unwrap();
    let synced_bytes = synced_bytes.load(Ordering::SeqCst) as u64;
    log.set_len(synced_bytes).unwrap();
    let (_, recovered) = open();
    assert_eq!(recovered, read_back);
}
