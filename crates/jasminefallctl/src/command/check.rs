//! Validation of a desired state without a control instance.

use jasminefall_core::prelude::*;

use super::{print_json, read_file};
use crate::arguments::Arguments;
use crate::failure::Failure;

/// Validates the desired state in a file.
pub(crate) fn run(arguments: &Arguments, file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    match DesiredState::parse(file, &text) {
        Ok(_) if arguments.json => {
            print_json(&Problems::new());
            Ok(())
        }
        Ok(desired) => {
            let (pools, instances) = (desired.pools.len(), desired.instances.len());
            println!("{file}: the desired state is valid ({pools} pools, {instances} instances)");
            Ok(())
        }
        Err(problems) => Err(Failure::InvalidState(problems)),
    }
}
