//! Runs one case of the review: `review-standin CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod executor;
mod http;
mod proxy;
mod record;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::create(&PathBuf::from(folder)));
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!(
        "case {case}, disruption {}",
        if with_trouble { "on" } else { "off" }
    ));
    let run = std::panic::AssertUnwindSafe(|| cases::run(&case, &record, with_trouble));
    let verdict = std::panic::catch_unwind(run);
    let verdict = verdict.unwrap_or_else(|_| Verdict::CouldNotRun("the stand-in failed".into()));
    match verdict {
        Verdict::Held => {
            record.say("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(text) => {
            record.say(format!("broken: {text}"));
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(text) => {
            record.say(format!("could not run: {text}"));
            ExitCode::from(2)
        }
    }
}
