//! The command line as a new user meets it, with wrong input too.

use std::fmt::Write;
use std::process::{Command, Output};

use tempfile::TempDir;

const SAMPLES: [&str; 2] = ["mauritius", "sfax"];

/// Runs the program in a folder without any variable that it reads.
fn run(folder: &TempDir, words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jasminefallctl"))
        .current_dir(folder.path())
        .env_remove("JASMINEFALL_CONTROL")
        .env_remove("JASMINEFALL_TOKEN_FILE")
        .args(words)
        .output()
        .expect("the program starts")
}

fn folder() -> TempDir {
    let folder = TempDir::new().unwrap();
    let files = [
        ("sound.ini", "[fleet]\nname = f\n"),
        ("faulty.ini", "[fleet]\n[pool.p]\nbudget = none\n"),
        ("empty-token", "\n"),
        ("two-words", "one two\n"),
    ];
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).unwrap();
    }
    std::fs::write(folder.path().join("binary"), [0xff, 0xfe]).unwrap();
    folder
}

#[test]
fn wrong_input_is_answered_with_a_remedy_and_a_code() {
    let folder = folder();
    let cases: [&[&str]; 20] = [
        &[],
        &["fly"],
        &["check"],
        &["check", "sound.ini"],
        &["check", "sound.ini", "--json"],
        &["check", "faulty.ini"],
        &["check", "faulty.ini", "--json"],
        &["check", "missing.ini"],
        &["check", "binary"],
        &["--colour", "check", "sound.ini"],
        &["status"],
        &["apply", "sound.ini"],
        &["apply", "sound.ini", "--base"],
        &["apply", "sound.ini", "--base", "one"],
        &["apply", "sound.ini", "--base", "0"],
        &["rollback", "last", "--base", "1"],
        &["export", "first"],
        &["status", "--token-file", "missing"],
        &["status", "--token-file", "empty-token"],
        &["status", "--token-file", "two-words"],
    ];
    let mut report = String::new();
    for words in cases {
        let output = run(&folder, words);
        let code = output.status.code().unwrap();
        let (printed, complaint) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        let _ = writeln!(
            report,
            "$ jasminefallctl {}\n{printed}{complaint}= {code}",
            words.join(" ")
        );
    }
    insta::assert_snapshot!(report);
}

#[test]
fn help_and_version_are_printed() {
    let folder = folder();
    let help = run(&folder, &["--help"]);
    assert!(help.status.success());
    insta::assert_snapshot!(String::from_utf8_lossy(&help.stdout));
    let version = run(&folder, &["--version"]);
    let expected = format!("jasminefallctl {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&version.stdout), expected);
}

#[test]
fn nobody_at_the_address_is_said_without_a_guess() {
    let folder = folder();
    // The discard port of a loopback address that nothing uses.
    let output = run(&folder, &["--control", "127.255.255.254:9", "status"]);
    assert_eq!(output.status.code(), Some(5));
    let complaint = String::from_utf8_lossy(&output.stderr);
    assert!(
        complaint.contains("no control instance answered"),
        "{complaint}"
    );
}

#[test]
fn the_sample_sites_hold_as_a_whole() {
    let folder = folder();
    for site in SAMPLES {
        let path = format!(
            "{}/../../config/{site}/desired.ini",
            env!("CARGO_MANIFEST_DIR")
        );
        let output = run(&folder, &["check", &path]);
        let complaint = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{complaint}");
        let printed = String::from_utf8_lossy(&output.stdout);
        assert!(printed.contains("(6 pools, 50 instances)"), "{printed}");
    }
}

#[test]
fn options_are_checked_without_any_call() {
    let folder = folder();
    let cases: [(&[&str], bool); 4] = [
        (&["--check", "--control", "127.0.0.1:1,127.0.0.1:2"], true),
        (&["--check"], false),
        (&["--check", "--control", "nowhere"], false),
        (
            &[
                "--check",
                "--control",
                "127.0.0.1:1",
                "--token-file",
                "empty-token",
            ],
            false,
        ),
    ];
    for (words, holds) in cases {
        let output = run(&folder, words);
        assert_eq!(output.status.success(), holds, "{words:?}");
        assert_eq!(output.stderr.is_empty(), holds, "{words:?}");
    }
}
