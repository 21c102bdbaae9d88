//! The files under faults: every operation fails once, in every way that a crash can leave.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use jasminefall_replica::prelude::*;
use proptest::prelude::*;
use tempfile::TempDir;

const FIRST: Incarnation = Incarnation(7);

/// Says what is left of the operation that fails.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Left {
    /// Nothing of it.
    Nothing,
    /// Half of the bytes, as with a full disk or a torn write.
    Half,
    /// All of it, but the caller is told otherwise.
    All,
}

/// Returns operations of which number `failing` fails.
fn failing_at(failing: usize, left: Left, count: Arc<AtomicUsize>) -> FileOperations {
    let system = Arc::new(Mutex::new(FileOperations::system()));
    let fails = move || count.fetch_add(1, Ordering::SeqCst) == failing;
    let error = || Err(io::Error::other("a fault of the test"));
    let (one, two, three, four, five) = (
        fails.clone(),
        fails.clone(),
        fails.clone(),
        fails.clone(),
        fails,
    );
    let [a, b, c, d, e] = std::array::from_fn(|_| system.clone());
    FileOperations {
        write: Box::new(move |file, bytes| {
            if !one() {
                return (a.lock().unwrap().write)(file, bytes);
            }
            let length = match left {
                Left::Nothing => 0,
                Left::Half => bytes.len() / 2,
                Left::All => bytes.len(),
            };
            file.write_all(&bytes[..length])?;
            error()
        }),
        sync: Box::new(move |file| {
            if two() {
                error()
            } else {
                (b.lock().unwrap().sync)(file)
            }
        }),
        rename: Box::new(move |from, to| {
            if !three() {
                return (c.lock().unwrap().rename)(from, to);
            }
            if left == Left::All {
                (c.lock().unwrap().rename)(from, to)?;
            }
            error()
        }),
        sync_folder: Box::new(move |folder| {
            if four() {
                error()
            } else {
                (d.lock().unwrap().sync_folder)(folder)
            }
        }),
        remove: Box::new(move |path| {
            if !five() {
                return (e.lock().unwrap().remove)(path);
            }
            if left == Left::All {
                (e.lock().unwrap().remove)(path)?;
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

/// Returns the work of a replica: votes, entries, a replaced tail, two snapshots, one that contradicts.
fn steps() -> Vec<Step> {
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

/// Returns what a folder holds after each number of steps.
fn states() -> Vec<RecoveredState> {
    (0..=steps().len())
        .map(|done| {
            let folder = TempDir::new().unwrap();
            let (mut storage, _) = Storage::open(folder.path(), FIRST).unwrap();
            steps()[..done]
                .iter()
                .for_each(|step| step(&mut storage).unwrap());
            Storage::open(folder.path(), Incarnation(8)).unwrap().1
        })
        .collect()
}

#[test]
fn what_was_stored_survives_a_fault_at_every_operation() {
    let states = states();
    let mut points = 0;
    for left in [Left::Nothing, Left::Half, Left::All] {
        for failing in 0.. {
            let folder = TempDir::new().unwrap();
            let count = Arc::new(AtomicUsize::new(0));
            let operations = failing_at(failing, left, count.clone());
            let mut done = 0;
            if let Ok((mut storage, _)) = Storage::open_with(folder.path(), FIRST, operations) {
                let steps = steps();
                done = steps
                    .iter()
                    .take_while(|step| step(&mut storage).is_ok())
                    .count();
                if done < steps.len() {
                    let again = storage.store(None, &[]);
                    assert!(
                        matches!(again, Err(StorageError::Failed { .. })),
                        "tried again"
                    );
                }
            }
            let (_, held) = Storage::open(folder.path(), Incarnation(8)).unwrap();
            let case = format!("{left:?} of operation {failing}, {done} steps stored");
            let allowed = &states[done..(done + 2).min(states.len())];
            let is_new = done == 0 && held.hard_state == HardState::default();
            assert!(
                is_new || allowed.contains(&held) || is_between(&held, allowed),
                "{case}: {held:?}"
            );
            if count.load(Ordering::SeqCst) <= failing {
                break;
            }
            points += 1;
        }
    }
    assert!(points > 60, "only {points} fault points were reached");
}

/// Returns whether a new snapshot lies beside the log of before: the same entries, already covered.
fn is_between(held: &RecoveredState, allowed: &[RecoveredState]) -> bool {
    let [before, after] = allowed else {
        return false;
    };
    held.snapshot == after.snapshot
        && held.hard_state == before.hard_state
        && held.entries == after.entries
}

#[test]
fn a_torn_tail_is_cut_and_a_corrupt_middle_refused() {
    let folder = TempDir::new().unwrap();
    let (mut storage, _) = Storage::open(folder.path(), FIRST).unwrap();
    (1..=3).for_each(|index| storage.store(None, &[entry(index, 1)]).unwrap());
    let path = folder.path().join("log-1");
    let whole = std::fs::read(&path).unwrap();
    let frame_bytes = (whole.len() - header_end(&whole)) / 3;
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
        let error = opened.expect_err(&format!("damage at byte {offset} goes unnoticed"));
        assert!(
            error.to_string().contains("rejoins as a learner"),
            "{error}"
        );
    }
}

/// Returns the end of the first frame.
fn header_end(content: &[u8]) -> usize {
    8 + u32::from_le_bytes(content[..4].try_into().unwrap()) as usize
}

#[test]
fn a_folder_keeps_its_incarnation_and_a_new_one_takes_the_given() {
    let folder = TempDir::new().unwrap();
    assert_eq!(
        Storage::open(folder.path(), FIRST).unwrap().1.incarnation,
        FIRST
    );
    let again = Storage::open(folder.path(), Incarnation(8)).unwrap().1;
    assert_eq!(again.incarnation, FIRST);
}

#[test]
fn a_folder_without_its_log_is_refused() {
    let folder = TempDir::new().unwrap();
    let (mut storage, _) = Storage::open(folder.path(), FIRST).unwrap();
    storage.store_snapshot(&snapshot(3, 1), &[]).unwrap();
    std::fs::remove_file(folder.path().join("log-2")).unwrap();
    assert!(matches!(
        Storage::open(folder.path(), FIRST),
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
    let _ = Storage::open(folder, FIRST);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn arbitrary_bytes_never_make_the_reader_panic(content in prop::collection::vec(any::<u8>(), 0..400)) {
        let folder = TempDir::new().unwrap();
        open_with_log(folder.path(), &content);
        let sound = TempDir::new().unwrap();
        drop(Storage::open(sound.path(), FIRST).unwrap());
        open_with_log(sound.path(), &content);
    }
}
