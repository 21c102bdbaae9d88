//! Runs one case of the third review: starts the programs and the stand-ins, causes the disruption, and checks the
//! rule.
//!
//! Usage: `standin-3 CASE REPOSITORY TEMPORARY-FOLDER RECORD`. The process ends with 0 if the rule held, 1 if it was
//! broken and 2 if the case could not run.

mod cases;
mod http;
mod platform;
mod record;
mod site;
mod worker;

use std::path::PathBuf;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE REPOSITORY TEMPORARY-FOLDER RECORD");
        std::process::exit(2);
    };
    if let Err(error) = record::open(&PathBuf::from(record)) {
        eprintln!("cannot write {record}: {error}");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::line(format_args!("case {case}, trouble {trouble}"));
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let (code, text) = match cases::run(case, &root, &folder, trouble) {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record::line(&text);
    println!("{text}");
    std::process::exit(code);
}
