//! Invalid settings are rejected with file, line, key and remedy; the sample settings are valid.

use std::fmt::Write;
use std::path::Path;
use std::process::Command;

use jasminefall_testing::site::Site;
use tempfile::TempDir;

const CONTROL: &str = "[control]\nreplica = 1\ndata_folder = data\nsite_key_file = key\n\
    [token.amina]\nsha256 = 9db7e4623d1f25613cd401e84b1a6262929112129b0daf6b33af600f84e2f6f8\n\
    role = operate\n\
    [replica.1]\npeer = 127.0.0.1:1\noperators = 127.0.0.1:2\nworkers = 127.0.0.1:3\n";
const ENTRY: &str = "[entry]\nname = e1\ncallers = 127.0.0.1:1\nbackends = 127.0.0.1:2\n\
    peer = 127.0.0.1:3\nsite_key_file = key\ncontrol = 127.0.0.1:4\n";

/// Each case is a program, a text of its valid settings and the replacement of that text.
const CASES: [(&str, &str, &str); 22] = [
    ("control", "", ""),
    ("control", "replica = 1", "replica = one"),
    ("control", "replica = 1", "replica = 2"),
    ("control", "replica = 1", "replica = 1\nreplica = 1"),
    ("control", "data_folder = data\n", ""),
    ("control", "data_folder", "data_foldr"),
    ("control", "site_key_file = key", "site_key_file = missing"),
    ("control", "site_key_file = key", "site_key_file = short"),
    ("control", "[control]", "[controll]"),
    ("control", "sha256 = 9db", "sha256 = xyz"),
    ("control", "role = operate", "role = king"),
    ("control", "[token.amina]", "[token.amina]\n[token.amina]"),
    ("control", "peer = 127.0.0.1:1", "peer = localhost"),
    ("control", "[replica.1]", "[replica.one]"),
    ("control", "replica = 1", "replica = 1\noperators_key = key"),
    ("entry", "", ""),
    (
        "entry",
        "name = e1",
        "name = e1\ncallers_certificate = key\ncallers_key = key",
    ),
    ("entry", "name = e1", "name"),
    ("entry", "callers = 127.0.0.1:1", "callers = 127.0.0.1"),
    ("entry", "control = 127.0.0.1:4", "control = "),
    (
        "entry",
        "control = 127.0.0.1:4",
        "control = 127.0.0.1:4, nowhere",
    ),
    ("entry", "[entry]", "early = 1\n[entry]\n[token.x]"),
];

/// Runs a daemon with `--check` on a settings file; returns its exit code and output.
fn check(program: &str, folder: &Path, file: &Path) -> (i32, String) {
    let output = Command::new(Site::program(program))
        .current_dir(folder)
        .arg("--check")
        .arg("--settings")
        .arg(file)
        .output()
        .expect("the program can be started; run `cargo build --workspace --bins` first");
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8_lossy(&printed).into_owned();
    (output.status.code().unwrap_or(-1), printed)
}

#[test]
fn invalid_settings_are_rejected_with_location_and_remedy() {
    let folder = TempDir::new().unwrap();
    std::fs::write(folder.path().join("key"), "a secret for tests").unwrap();
    std::fs::write(folder.path().join("short"), "secret").unwrap();
    let mut report = String::new();
    for (program, before, after) in CASES {
        let valid = if program == "control" { CONTROL } else { ENTRY };
        let file = Path::new("settings.ini");
        std::fs::write(folder.path().join(file), valid.replace(before, after)).unwrap();
        let (code, printed) = check(&format!("jasminefall-{program}"), folder.path(), file);
        let (before, after) = (before.escape_debug(), after.escape_debug());
        let _ = writeln!(
            report,
            "== {program}: {before} -> {after}\n{}\n= {code}",
            printed.trim_end()
        );
    }
    insta::assert_snapshot!(report);
}

#[test]
fn sample_settings_are_valid() {
    let folder = TempDir::new().unwrap();
    std::fs::write(folder.path().join("key"), "a secret for tests").unwrap();
    for site in ["mauritius", "sfax"] {
        for program in ["control", "entry"] {
            let sample = format!(
                "{}/../../config/{site}/{program}.ini",
                env!("CARGO_MANIFEST_DIR")
            );
            let text = std::fs::read_to_string(&sample).unwrap();
            let file = folder.path().join("settings.ini");
            std::fs::write(&file, text.replace("/etc/jasminefall/site.key", "key")).unwrap();
            let (code, printed) = check(&format!("jasminefall-{program}"), folder.path(), &file);
            assert_eq!(code, 0, "{sample}: {printed}");
        }
    }
}
