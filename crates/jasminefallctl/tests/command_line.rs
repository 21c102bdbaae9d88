//! Output and exit codes of the command line, for valid and invalid input.

use std::fmt::Write;
use std::process::{Command, Output};

use tempfile::TempDir;

const SAMPLES: [&str; 2] = ["mauritius", "sfax"];

/// Runs the program in a folder without the environment variables for options.
fn run(folder: &TempDir, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jasminefallctl"))
        .current_dir(folder.path())
        .env_remove("JASMINEFALL_CONTROL")
        .env_remove("JASMINEFALL_TOKEN_FILE")
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn folder() -> TempDir {
    let folder = TempDir::new().unwrap();
    let files = [
        ("valid.ini", "[fleet]\nname = f\n"),
        ("invalid.ini", "[fleet]\n[pool.p]\nbudget = none\n"),
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
fn invalid_input_is_reported_with_a_remedy_and_an_exit_code() {
    let folder = folder();
    let cases: [&[&str]; 20] = [
        &[],
        &["fly"],
        &["check"],
        &["check", "valid.ini"],
        &["check", "valid.ini", "--json"],
        &["check", "invalid.ini"],
        &["check", "invalid.ini", "--json"],
        &["check", "missing.ini"],
        &["check", "binary"],
        &["--colour", "check", "valid.ini"],
        &["status"],
        &["apply", "valid.ini"],
        &["apply", "valid.ini", "--base"],
        &["apply", "valid.ini", "--base", "one"],
        &["apply", "valid.ini", "--base", "0"],
        &["rollback", "last", "--base", "1"],
        &["export", "first"],
        &["status", "--token-file", "missing"],
        &["status", "--token-file", "empty-token"],
        &["status", "--token-file", "two-words"],
    ];
    let mut report = String::new();
    for arguments in cases {
        let output = run(&folder, arguments);
        let code = output.status.code().unwrap();
        let (stdout, stderr) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        let _ = writeln!(
            report,
            "$ jasminefallctl {}\n{stdout}{stderr}= {code}",
            arguments.join(" ")
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
fn unreachable_control_instance_is_reported() {
    let folder = folder();
    // No process listens on the discard port of this loopback address.
    let output = run(&folder, &["--control", "127.255.255.254:9", "status"]);
    assert_eq!(output.status.code(), Some(5));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("no control instance answered"), "{stderr}");
}

#[test]
fn sample_sites_are_valid() {
    let folder = folder();
    for site in SAMPLES {
        let path = format!(
            "{}/../../config/{site}/desired.ini",
            env!("CARGO_MANIFEST_DIR")
        );
        let output = run(&folder, &["check", &path]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{stderr}");
        let stdout = String::from_utf8_lossy(&output.stdout);
        assert!(stdout.contains("(6 pools, 50 instances)"), "{stdout}");
    }
}

#[test]
fn options_are_validated_without_a_control_instance() {
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
    for (arguments, is_valid) in cases {
        let output = run(&folder, arguments);
        assert_eq!(output.status.success(), is_valid, "{arguments:?}");
        assert_eq!(output.stderr.is_empty(), is_valid, "{arguments:?}");
    }
}
