//! Stand-ins and scripts of the second review: each case is a subcommand, run from the repository's root.
//!
//! Usage: `standin-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. Without the disruption if `TROUBLE=0`.

mod cases;
mod cloud;
mod executor;
mod http;
mod record;
mod site;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// The longest time that a script runs.
const LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            exit(2);
        }
    };
    let (done, waiting) = std::sync::mpsc::channel();
    let (case, running) = (case.clone(), record.clone());
    thread::spawn(move || {
        let _ = done.send(cases::run(&case, &running, trouble));
    });
    let result = waiting.recv_timeout(LIMIT);
    let code = match result {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(error)) => {
            record.line(format_args!("the case couldn't run: {error}"));
            2
        }
        Err(_) => {
            record.line("the case couldn't run: out of time");
            site::kill_all();
            2
        }
    };
    record.line(format_args!("exit {code}"));
    exit(code);
}
