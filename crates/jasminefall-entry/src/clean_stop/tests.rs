//! A note of a clean stop counts once and only whole.

use jasminefall_core::prelude::*;

use super::{consume, write};

#[test]
fn a_note_counts_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("clean");
    assert_eq!(consume(&path), None, "the first start");
    write(&path, Version::new(7));
    assert_eq!(consume(&path), Some(Version::new(7)));
    assert_eq!(consume(&path), None, "a crash after a clean start");
}

#[test]
fn a_broken_note_does_not_count() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("clean");
    std::fs::write(&path, "").unwrap();
    assert_eq!(consume(&path), None);
    assert!(!path.exists());
}
