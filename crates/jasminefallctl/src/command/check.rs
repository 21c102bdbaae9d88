//! Judges a desired state without publishing it.

use jasminefall_core::prelude::*;

use super::read_file;
use crate::failure::Failure;

/// Judges the desired state in a file.
pub(crate) fn run(file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    match DesiredState::parse(file, &text) {
        Ok(desired) => {
            let (pools, instances) = (desired.pools.len(), desired.instances.len());
            println!("{file}: the whole holds ({pools} pools, {instances} instances)");
            Ok(())
        }
        Err(problems) => Err(Failure::Faulty(problems.to_string())),
    }
}
