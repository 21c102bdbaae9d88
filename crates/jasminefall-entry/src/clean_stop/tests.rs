//! The marker of a clean stop is used once, and only if it is complete.

use jasminefall_core::prelude::*;

use super::{consume, write};

#[test]
fn marker_is_consumed_once() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("clean");
    assert_eq!(consume(&path), None, "no marker before the first stop");
    write(&path, Version::new(7));
    assert_eq!(consume(&path), Some(Version::new(7)));
    assert_eq!(
        consume(&path),
        None,
        "no marker after a crash that follows a clean start"
    );
}

#[test]
fn empty_marker_is_removed_and_ignored() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("clean");
    std::fs::write(&path, "").unwrap();
    assert_eq!(consume(&path), None);
    assert!(!path.exists());
}
