//! Judges a desired state without publishing it.

use jasminefall_core::prelude::*;

use super::{print_json, read_file};
use crate::arguments::Arguments;
use crate::failure::Failure;

/// Judges the desired state in a file.
pub(crate) fn run(arguments: &Arguments, file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    let judged = DesiredState::parse(file, &text);
    match judged {
        Ok(_) if arguments.json => {
            print_json(&Problems::new());
            Ok(())
        }
        Ok(desired) => {
            let (pools, instances) = (desired.pools.len(), desired.instances.len());
            println!("{file}: the whole holds ({pools} pools, {instances} instances)");
            Ok(())
        }
        Err(problems) => Err(Failure::Faulty(problems)),
    }
}
