//! Shows what differs between two texts.

use jasminefall_core::desired::differences;
use jasminefall_core::prelude::*;

use super::{PublishedText, print_json, read_file, read_version};
use crate::arguments::Arguments;
use crate::client::ControlCalls;
use crate::failure::Failure;

/// Shows what the desired state in a file changes against the latest version.
pub(crate) async fn run_file(arguments: &Arguments, file: &str) -> Result<(), Failure> {
    let text = read_file(file)?;
    let calls = ControlCalls::new(arguments)?;
    let latest: PublishedText = calls.get("/v1/history/latest").await?.read()?;
    if !arguments.json {
        println!("against version {}:", latest.version);
    }
    show(arguments, &differences(&latest.text, &text));
    Ok(())
}

/// Shows what differs between two versions.
pub(crate) async fn run_versions(
    arguments: &Arguments,
    before: &str,
    after: &str,
) -> Result<(), Failure> {
    let (before, after) = (read_version(before)?, read_version(after)?);
    let calls = ControlCalls::new(arguments)?;
    let answer = calls.get(&format!("/v1/diff/{before}/{after}")).await?;
    show(arguments, &answer.read::<Vec<ObjectChange>>()?);
    Ok(())
}

fn show(arguments: &Arguments, changes: &[ObjectChange]) {
    if arguments.json {
        return print_json(&changes);
    }
    if changes.is_empty() {
        println!("no object differs");
    }
    changes.iter().for_each(|change| println!("{change}"));
}
